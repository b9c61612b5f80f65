//! The responses to viewers: manifests for sessions that play, and the other final answers.
use crate::http::Response;
use crate::hub::{PlayingSession, SessionReply};
use crate::Shared;
use walnutline_auth::authorization::Refusal;
use walnutline_dash::mpd;

/// The response for a reply of the hub.
pub fn from_reply(shared: &Shared, reply: &SessionReply) -> Response {
    match reply {
        SessionReply::Playing(session) => {
            manifest(shared, session).unwrap_or_else(|reason| Response::plain_text(500, &reason))
        }
        SessionReply::Busy { retry_after } => busy("busy", retry_after.unwrap_or(0.0)),
        SessionReply::TornDown => Response::plain_text(504, "torn down"),
        SessionReply::Ended => Response::plain_text(410, "the session is over"),
    }
}

/// A busy reply. `Retry-After` is in whole seconds (RFC 9110), so `Retry-After-Ms` states the exact time.
pub fn busy(reason: &str, retry_after_ms: f64) -> Response {
    let mut response = Response::plain_text(503, reason);
    response.headers.push(("Retry-After", format!("{}", (retry_after_ms / 1_000.0).ceil())));
    response.headers.push(("Retry-After-Ms", format!("{retry_after_ms:.0}")));
    response
}

/// The wait that a busy reply asks for after a refusal that is only temporary.
const REFUSAL_RETRY_AFTER_MS: f64 = 1_000.0;

/// The response to a request that was not authorized.
pub fn refused(refusal: &Refusal) -> Response {
    let status = refusal.http_status();
    if status == 503 {
        return busy(refusal.reason(), REFUSAL_RETRY_AFTER_MS);
    }
    let mut response = Response::plain_text(status, refusal.reason());
    if status == 401 {
        let error = if refusal.reason().contains("proof") { "invalid_dpop_proof" } else { "invalid_token" };
        response.headers.push(("WWW-Authenticate", format!("DPoP error=\"{error}\", algs=\"EdDSA\"")));
    }
    response
}

/// The manifest of a session that plays.
fn manifest(shared: &Shared, session: &PlayingSession) -> Result<Response, String> {
    let now = shared.clock.now();
    let context = &session.context;
    let token = context.session_token(shared, session.server, now).ok_or("no session key is in force")?;
    let group = &shared.service_groups[context.group_index];
    let offered_rungs = group.lowest_rung..=session.rung.max(group.lowest_rung);
    let rates = context.title_rates.as_deref().unwrap_or(&shared.ladder_kb_per_s);
    let scaled_rate = |rung: u8| Some((rung, rates.get(rung as usize)? * group.rate_scale));
    let params = mpd::ManifestParams {
        title: &context.title,
        base_url: format!("{}/s/{}/{token}/", session.media_url, context.id.0),
        location: format!("{}/s/{}.mpd?CAT={token}", shared.public_url, context.id.0),
        started_at_ms: context.received_at,
        published_at_ms: now,
        update_period_ms: shared.manifest.update_period_ms,
        segment_duration_ms: shared.manifest.segment_duration_ms,
        rungs: offered_rungs.filter_map(scaled_rate).collect(),
    };
    Ok(Response {
        status: 200,
        headers: Vec::new(),
        body: mpd::to_xml(&params)?,
        content_type: "application/dash+xml",
    })
}
