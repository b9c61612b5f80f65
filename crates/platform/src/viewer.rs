//! Messages between a node and the viewers.
use crate::headers::{self, Destination};
use crate::rtsp::{self, header_name, Message};
use rtsp_types::headers::{HeaderName, CSEQ, SESSION};
use rtsp_types::{Method, Request};

/// A viewer's SETUP. Id, class, title and description are forwarded to the server unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct SetupRequest {
    /// Id of the session.
    pub id: u64,
    /// Id of the title.
    pub title: u64,
    /// Name of the request's class.
    pub class: String,
    /// How long the viewer waits for the response, counted from when it sent the request.
    pub wait_limit_ms: f64,
    /// Where the session may be placed.
    pub destination: Destination,
    /// Session description, passed on without being parsed.
    pub description: Vec<u8>,
}

/// A message from a viewer.
#[derive(Debug, PartialEq)]
pub enum ViewerMessage {
    /// Request for a session.
    Setup(SetupRequest),
    /// Request that cancels a SETUP or ends an established session.
    Teardown { id: u64, cseq: Option<u32> },
    /// Request that checks whether the node responds.
    Options { id: Option<u64>, cseq: Option<u32> },
    /// Acknowledgement of a TEARDOWN sent by the node.
    TeardownResponse { id: Option<u64> },
}

/// A request that the node rejects. The error is reported in the response, and the connection stays open.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestError {
    /// Id of the session, if the request has a valid one.
    pub id: Option<u64>,
    /// CSeq of the request, if it has a valid one.
    pub cseq: Option<u32>,
    /// What is wrong with the request.
    pub reason: String,
}

/// Interprets a message from a viewer.
pub fn parse_message(message: Message) -> Result<ViewerMessage, RequestError> {
    let request = match message {
        Message::Request(request) => request,
        Message::Response(response) => {
            let id = response.header(&SESSION).and_then(|v| rtsp::parse_hex_id(v.as_str().trim()));
            return Ok(ViewerMessage::TeardownResponse { id });
        }
        Message::Data(_) => {
            return Err(RequestError {
                id: None,
                cseq: None,
                reason: "interleaved data is not supported".into(),
            })
        }
    };
    let header = |name: &HeaderName| request.header(name).map(|v| v.as_str().trim());
    let cseq = header(&CSEQ).and_then(|v| v.parse().ok());
    let id = header(&SESSION).and_then(rtsp::parse_hex_id);
    let error = |reason: String| RequestError { id, cseq, reason };
    match request.method() {
        Method::Setup => parse_setup(&request).map(ViewerMessage::Setup).map_err(error),
        Method::Teardown => {
            let id = id.ok_or_else(|| error("Session: missing or not a session id".into()))?;
            Ok(ViewerMessage::Teardown { id, cseq })
        }
        Method::Options => Ok(ViewerMessage::Options { id, cseq }),
        other => Err(error(format!("{}: method not supported", <&str>::from(other)))),
    }
}

fn parse_setup(request: &Request<Vec<u8>>) -> Result<SetupRequest, String> {
    let header = |name: HeaderName| request.header(&name).map(|v| v.as_str().trim());
    let required = |name: &'static str| header(header_name(name)).ok_or_else(|| format!("{name}: missing"));
    let uri = request.request_uri().ok_or("request URI: missing")?;
    let title = uri
        .as_str()
        .strip_prefix("rtsp://media/")
        .and_then(rtsp::parse_hex_id)
        .ok_or("request URI: no title id")?;
    if header(header_name(headers::HEADER_EXPECTED_MS))
        .is_some_and(|text| headers::parse_finite(text).is_none_or(|ms| ms < 0.0))
    {
        return Err(format!("{}: not a time in milliseconds", headers::HEADER_EXPECTED_MS));
    }
    let wait_limit = required(headers::HEADER_RING_LIMIT)?;
    Ok(SetupRequest {
        id: header(SESSION).and_then(rtsp::parse_hex_id).ok_or("Session: missing or not a session id")?,
        title,
        class: required(headers::HEADER_CALL_CLASS)?.to_owned(),
        wait_limit_ms: headers::parse_wait_ms(wait_limit)
            .ok_or_else(|| format!("{}: not a time in milliseconds", headers::HEADER_RING_LIMIT))?,
        destination: headers::parse_destination(required(headers::HEADER_DEST)?)?,
        description: request.body().clone(),
    })
}

/// Encodes the response to a SETUP whose session is established.
pub fn setup_response(id: u64, description: &[u8]) -> Vec<u8> {
    rtsp::encode_response(200, Some(1), Some(id), &[], description)
}

/// Status of a refusal after which trying again is harmless.
pub const BUSY_STATUS: u16 = 503;
/// Status of the answer to a request whose set-up failed and may have taken effect.
pub const FAILED_STATUS: u16 = 500;

/// Encodes the refusal of a SETUP that the viewer may safely retry, after `retry_after_ms` if given.
pub fn busy_response(id: u64, retry_after_ms: Option<f64>) -> Vec<u8> {
    let hold_off =
        retry_after_ms.map(|t| (headers::HEADER_HOLD_OFF, format!("{}", t.round().max(0.0) as u64)));
    rtsp::encode_response(BUSY_STATUS, Some(1), Some(id), hold_off.as_slice(), &[])
}

/// Encodes the response to a SETUP that failed.
pub fn setup_failed_response(id: u64) -> Vec<u8> {
    rtsp::encode_response(FAILED_STATUS, Some(1), Some(id), &[], &[])
}

/// Encodes the response to a rejected request.
pub fn error_response(error: &RequestError, status: u16) -> Vec<u8> {
    rtsp::encode_response(status, error.cseq, error.id, &[], &[])
}

/// Encodes the response to an OPTIONS or TEARDOWN request.
pub fn status_response(id: Option<u64>, cseq: Option<u32>, status: u16) -> Vec<u8> {
    rtsp::encode_response(status, cseq, id, &[], &[])
}

/// Encodes the TEARDOWN that tells a viewer that its established session has ended. `cause` is one of the
/// `RELEASE_CAUSE_` constants of [`headers`].
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
