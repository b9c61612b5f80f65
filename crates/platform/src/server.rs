//! Messages between a node and the servers.
//!
//! Each kind of request has a fixed CSeq: 1 for SETUP, 2 for TEARDOWN, 3 for OPTIONS and 4 for SET_PARAMETER. A
//! response is matched to its request by CSeq and session id.
use crate::headers;
use crate::rtsp::{self, header_name, Message};
use crate::viewer::SetupRequest;
use rtsp_types::headers::{HeaderName, CSEQ, SESSION};
use rtsp_types::Method;

/// Values of a load report by name, as measured by the server.
pub type LoadReport = Vec<(String, f64)>;

/// What the value of an announcement measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quantity {
    /// Share of their rates that the sessions at the server get.
    DeliveredShare,
    /// Rung in force for the session.
    Rung,
    /// Demand on the server's own network link, relative to its capacity.
    LinkUse,
    /// Demand on the uplink of the server's rack, relative to its capacity.
    UplinkUse,
}

/// A message from a server.
#[derive(Debug, PartialEq)]
pub enum ServerMessage {
    /// Response to a SETUP.
    SetupResponse { id: u64, status: u16, description: Vec<u8>, report: LoadReport },
    /// Response to a load probe or ping.
    OptionsResponse { id: u64, status: u16, report: LoadReport },
    /// Request that ends a session.
    Teardown { id: u64, cause: Option<u32>, cseq: Option<u32>, report: LoadReport },
    /// Acknowledgement of a TEARDOWN.
    TeardownResponse { id: u64 },
    /// A measured value, announced without being asked for.
    Announcement { id: u64, quantity: Quantity, value: f64 },
    /// A provisional response, or a message that the node does not use.
    Ignored,
}

/// Interprets a message from a server. A message that lacks a required header, or has an invalid one, is
/// [`ServerMessage::Ignored`].
pub fn parse_message(message: Message) -> ServerMessage {
    match message {
        Message::Request(request) => {
            let header = |name: &HeaderName| request.header(name).map(|v| v.as_str().trim());
            let Some(id) = header(&SESSION).and_then(rtsp::parse_hex_id) else {
                return ServerMessage::Ignored;
            };
            match request.method() {
                Method::Teardown => ServerMessage::Teardown {
                    id,
                    cause: header(&header_name(headers::HEADER_REASON))
                        .and_then(headers::parse_release_cause),
                    cseq: header(&CSEQ).and_then(|v| v.parse().ok()),
                    report: header(&header_name(headers::HEADER_CIRCUITS))
                        .map(headers::parse_load_report)
                        .unwrap_or_default(),
                },
                Method::Announce => {
                    let quantity = match header(&header_name(headers::HEADER_WHY)) {
                        Some("quality") => Quantity::DeliveredShare,
                        Some("profile") => Quantity::Rung,
                        Some("nic") => Quantity::LinkUse,
                        Some("tor") => Quantity::UplinkUse,
                        _ => return ServerMessage::Ignored,
                    };
                    match header(&header_name(headers::HEADER_FIGURE)).and_then(headers::parse_finite) {
                        Some(value) => ServerMessage::Announcement { id, quantity, value },
                        None => ServerMessage::Ignored,
                    }
                }
                _ => ServerMessage::Ignored,
            }
        }
        Message::Response(response) => {
            let header = |name: &HeaderName| response.header(name).map(|v| v.as_str().trim());
            let Some(id) = header(&SESSION).and_then(rtsp::parse_hex_id) else {
                return ServerMessage::Ignored;
            };
            let status: u16 = response.status().into();
            let report = || {
                header(&header_name(headers::HEADER_CIRCUITS))
                    .map(headers::parse_load_report)
                    .unwrap_or_default()
            };
            match header(&CSEQ) {
                _ if status < 200 => ServerMessage::Ignored,
                Some("1") => ServerMessage::SetupResponse {
                    id,
                    status,
                    report: report(),
                    description: response.body().clone(),
                },
                Some("2") => ServerMessage::TeardownResponse { id },
                Some("3") => ServerMessage::OptionsResponse { id, status, report: report() },
                _ => ServerMessage::Ignored,
            }
        }
        Message::Data(_) => ServerMessage::Ignored,
    }
}

/// Encodes the SETUP that forwards a viewer's request to a server at this rung. `wait_ms` tells the server how long
/// the node waits for the response.
pub fn setup_request(request: &SetupRequest, rung: u8, wait_ms: f64) -> Vec<u8> {
    let headers = [
        (headers::HEADER_CALL_CLASS, request.class.clone()),
        (headers::HEADER_RING_LIMIT, format!("{}", wait_ms.floor().max(1.0) as u64)),
        (headers::HEADER_RATE_STEP, rung.to_string()),
    ];
    let path = format!("{:016x}", request.title);
    rtsp::encode_request(Method::Setup, &path, 1, request.id, &headers, &request.description)
}

/// Encodes the TEARDOWN that cancels a SETUP whose response is no longer needed.
pub fn setup_cancel_request(id: u64) -> Vec<u8> {
    rtsp::encode_request(Method::Teardown, "over", 2, id, &[], &[])
}

/// Encodes the TEARDOWN that ends an established session. `cause` is one of the `RELEASE_CAUSE_` constants of
/// [`headers`].
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

/// Encodes the OPTIONS request for a load report.
pub fn load_probe_request(id: u64) -> Vec<u8> {
    rtsp::encode_request(Method::Options, "load", 3, id, &[], &[])
}

/// Encodes the OPTIONS request that checks whether the server responds.
pub fn ping_request(id: u64) -> Vec<u8> {
    rtsp::encode_request(Method::Options, "ping", 3, id, &[], &[])
}

/// Encodes the SET_PARAMETER that changes the rung of a session.
pub fn rung_request(id: u64, rung: u8) -> Vec<u8> {
    rtsp::encode_request(
        Method::SetParameter,
        "rung",
        4,
        id,
        &[(headers::HEADER_RATE_STEP, rung.to_string())],
        &[],
    )
}

/// Encodes the response to a TEARDOWN from a server.
pub fn teardown_response(id: u64, cseq: Option<u32>) -> Vec<u8> {
    rtsp::encode_response(200, cseq, Some(id), &[], &[])
}
