//! Messages between viewers and a node.
use crate::headers::{self, Destination};
use crate::rtsp::{self, header_name, Message};
use rtsp_types::headers::{HeaderName, CSEQ, SESSION};
use rtsp_types::{Method, Request};

/// A set-up as it is wanted. Id, class, title and description go on to the server unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct SetupRequest {
    pub id: u64,
    pub title: u64,
    pub class: String,
    /// How long the viewer waits, from when it sent this.
    pub wait_limit_ms: f64,
    pub destination: Destination,
    pub description: Vec<u8>,
}

#[derive(Debug, PartialEq)]
pub enum ViewerMessage {
    Setup(SetupRequest),
    /// A set-up is given up, or a session that stands is released.
    Teardown {
        id: u64,
        cseq: Option<u32>,
    },
    Options {
        id: Option<u64>,
        cseq: Option<u32>,
    },
    /// An answer: the id of a release that was heard.
    TeardownResponse {
        id: Option<u64>,
    },
}

/// What can't be taken; it is answered and the stream goes on.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestError {
    pub id: Option<u64>,
    pub cseq: Option<u32>,
    pub reason: String,
}

pub fn parse_message(message: Message) -> Result<ViewerMessage, RequestError> {
    let request = match message {
        Message::Request(r) => r,
        Message::Response(r) => {
            let id = r.header(&SESSION).and_then(|v| rtsp::parse_hex_id(v.as_str().trim()));
            return Ok(ViewerMessage::TeardownResponse { id });
        }
        Message::Data(_) => {
            return Err(RequestError { id: None, cseq: None, reason: "interleaved data".into() })
        }
    };
    let text = |name: &HeaderName| request.header(name).map(|v| v.as_str().trim());
    let cseq = text(&CSEQ).and_then(|v| v.parse().ok());
    let id = text(&SESSION).and_then(rtsp::parse_hex_id);
    let fault = |why: String| RequestError { id, cseq, reason: why };
    match request.method() {
        Method::Setup => wanted(&request).map(ViewerMessage::Setup).map_err(fault),
        Method::Teardown => {
            let id = id.ok_or_else(|| fault("Session: missing or no id".into()))?;
            Ok(ViewerMessage::Teardown { id, cseq })
        }
        Method::Options => Ok(ViewerMessage::Options { id, cseq }),
        other => Err(fault(format!("{}: not taken here", <&str>::from(other)))),
    }
}

fn wanted(r: &Request<Vec<u8>>) -> Result<SetupRequest, String> {
    let text = |name: HeaderName| r.header(&name).map(|v| v.as_str().trim());
    let need = |name: &'static str| text(header_name(name)).ok_or_else(|| format!("{name}: missing"));
    let uri = r.request_uri().ok_or("no address")?;
    let title = uri.as_str().strip_prefix("rtsp://media/").and_then(rtsp::parse_hex_id).ok_or("no title")?;
    if text(header_name(headers::HEADER_EXPECTED_MS))
        .is_some_and(|h| headers::parse_finite(h).is_none_or(|h| h < 0.0))
    {
        return Err(format!("{}: not a time", headers::HEADER_EXPECTED_MS));
    }
    let wait = need(headers::HEADER_RING_LIMIT)?;
    Ok(SetupRequest {
        id: text(SESSION).and_then(rtsp::parse_hex_id).ok_or("Session: missing or no id")?,
        title,
        class: need(headers::HEADER_CALL_CLASS)?.to_owned(),
        wait_limit_ms: headers::parse_wait_ms(wait)
            .ok_or_else(|| format!("{}: not a time", headers::HEADER_RING_LIMIT))?,
        destination: headers::parse_destination(need(headers::HEADER_DEST)?)?,
        description: r.body().clone(),
    })
}

/// The session stands.
pub fn setup_response(id: u64, description: &[u8]) -> Vec<u8> {
    rtsp::encode_response(200, Some(1), Some(id), &[], description)
}

/// Refused: trying again is harmless.
pub fn busy_response(id: u64, come_back: Option<f64>) -> Vec<u8> {
    let hold_off = come_back.map(|t| (headers::HEADER_HOLD_OFF, format!("{}", t.round().max(0.0) as u64)));
    rtsp::encode_response(503, Some(1), Some(id), hold_off.as_slice(), &[])
}

pub fn setup_failed_response(id: u64) -> Vec<u8> {
    rtsp::encode_response(500, Some(1), Some(id), &[], &[])
}

/// What can't be taken.
pub fn error_response(fault: &RequestError, status: u16) -> Vec<u8> {
    rtsp::encode_response(status, fault.cseq, fault.id, &[], &[])
}

/// The answer to a test, or to a release.
pub fn status_response(id: Option<u64>, cseq: Option<u32>, status: u16) -> Vec<u8> {
    rtsp::encode_response(status, cseq, id, &[], &[])
}

/// A session that stood is over.
pub fn release_request(id: u64, cause: u32) -> Vec<u8> {
    rtsp::encode_request(
        Method::Teardown,
        "over",
        2,
        id,
        &[(headers::HEADER_REASON, format!("cause={cause}"))],
        &[],
    )
}
