//! What a viewer is answered: manifests for sessions that play, and the other final answers.
use crate::http::Response;
use crate::hub::{Plays, Reply};
use crate::Shared;
use walnutline_dash::mpd;
use walnutline_gate::authorization::Refusal;

pub fn write(shared: &Shared, reply: &Reply) -> Response {
    match reply {
        Reply::Plays(plays) => manifest(shared, plays).unwrap_or_else(|why| Response::plain(500, &why)),
        Reply::Busy { come_back } => busy("busy", come_back.unwrap_or(0.0)),
        Reply::TornDown => Response::plain(504, "torn down"),
        Reply::Over => Response::plain(410, "the session is over"),
    }
}

/// A busy reply. `Retry-After` counts whole seconds (RFC 9110); the finer time stands beside it.
pub fn busy(why: &str, come_back: f64) -> Response {
    let mut r = Response::plain(503, why);
    r.headers.push(("Retry-After", format!("{}", (come_back / 1_000.0).ceil())));
    r.headers.push(("Retry-After-Ms", format!("{come_back:.0}")));
    r
}

pub fn refused(refusal: &Refusal) -> Response {
    let status = refusal.http_status();
    if status == 503 {
        return busy(refusal.reason(), 1_000.0);
    }
    let mut r = Response::plain(status, refusal.reason());
    if status == 401 {
        let error = if refusal.reason().contains("proof") { "invalid_dpop_proof" } else { "invalid_token" };
        r.headers.push(("WWW-Authenticate", format!("DPoP error=\"{error}\", algs=\"EdDSA\"")));
    }
    r
}

fn manifest(shared: &Shared, plays: &Plays) -> Result<Response, String> {
    let now = shared.clock.now();
    let ticket = &plays.ticket;
    let token = ticket.session_token(shared, plays.server, now).ok_or("no session key is in force")?;
    let group = &shared.groups[ticket.group];
    let in_force = group.floor..=plays.rung.max(group.floor);
    let ladder = ticket.rates.as_deref().unwrap_or(&shared.ladder);
    let rate = |rung: u8| Some((rung, ladder.get(rung as usize)? * group.scale));
    let told = mpd::ManifestParams {
        title: &ticket.title,
        base_url: format!("{}/s/{}/{token}/", plays.media, ticket.id.0),
        location: format!("{}/s/{}.mpd?CAT={token}", shared.public_url, ticket.id.0),
        started_at_ms: ticket.at,
        published_at_ms: now,
        update_period_ms: shared.manifest.update_period_ms,
        segment_duration_ms: shared.manifest.segment_duration_ms,
        rungs: in_force.filter_map(rate).collect(),
    };
    Ok(Response {
        status: 200,
        headers: Vec::new(),
        body: mpd::to_xml(&told)?,
        content_type: "application/dash+xml",
    })
}
