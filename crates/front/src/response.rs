//! What a viewer is answered: manifests for sessions that play, and the other final answers.
use crate::http::Response;
use crate::hub::{PlayingSession, SessionReply};
use crate::Shared;
use walnutline_auth::authorization::Refusal;
use walnutline_dash::mpd;

pub fn from_reply(shared: &Shared, reply: &SessionReply) -> Response {
    match reply {
        SessionReply::Playing(plays) => {
            manifest(shared, plays).unwrap_or_else(|why| Response::plain_text(500, &why))
        }
        SessionReply::Busy { retry_after } => busy("busy", retry_after.unwrap_or(0.0)),
        SessionReply::TornDown => Response::plain_text(504, "torn down"),
        SessionReply::Ended => Response::plain_text(410, "the session is over"),
    }
}

/// A busy reply. `Retry-After` counts whole seconds (RFC 9110); the finer time stands beside it.
pub fn busy(why: &str, retry_after: f64) -> Response {
    let mut r = Response::plain_text(503, why);
    r.headers.push(("Retry-After", format!("{}", (retry_after / 1_000.0).ceil())));
    r.headers.push(("Retry-After-Ms", format!("{retry_after:.0}")));
    r
}

pub fn refused(refusal: &Refusal) -> Response {
    let status = refusal.http_status();
    if status == 503 {
        return busy(refusal.reason(), 1_000.0);
    }
    let mut r = Response::plain_text(status, refusal.reason());
    if status == 401 {
        let error = if refusal.reason().contains("proof") { "invalid_dpop_proof" } else { "invalid_token" };
        r.headers.push(("WWW-Authenticate", format!("DPoP error=\"{error}\", algs=\"EdDSA\"")));
    }
    r
}

fn manifest(shared: &Shared, plays: &PlayingSession) -> Result<Response, String> {
    let now = shared.clock.now();
    let ticket = &plays.context;
    let token = ticket.session_token(shared, plays.server, now).ok_or("no session key is in force")?;
    let group = &shared.service_groups[ticket.group_index];
    let in_force = group.lowest_rung..=plays.rung.max(group.lowest_rung);
    let ladder = ticket.title_rates.as_deref().unwrap_or(&shared.ladder_kb_per_s);
    let rate = |rung: u8| Some((rung, ladder.get(rung as usize)? * group.rate_scale));
    let told = mpd::ManifestParams {
        title: &ticket.title,
        base_url: format!("{}/s/{}/{token}/", plays.media_url, ticket.id.0),
        location: format!("{}/s/{}.mpd?CAT={token}", shared.public_url, ticket.id.0),
        started_at_ms: ticket.received_at,
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
