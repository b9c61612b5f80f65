//! Messages between a node and servers.
use crate::headers;
use crate::rtsp::{self, header_name, Message};
use crate::viewer::SetupRequest;
use rtsp_types::headers::{HeaderName, CSEQ, SESSION};
use rtsp_types::Method;

pub type LoadReport = Vec<(String, f64)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quantity {
    DeliveredShare,
    Rung,
    LinkUse,
    UplinkUse,
}

#[derive(Debug, PartialEq)]
pub enum ServerMessage {
    /// The answer to a set-up.
    SetupResponse {
        id: u64,
        status: u16,
        description: Vec<u8>,
        report: LoadReport,
    },
    /// The answer to a test.
    OptionsResponse {
        id: u64,
        status: u16,
        report: LoadReport,
    },
    /// A session is over.
    Teardown {
        id: u64,
        cause: Option<u32>,
        cseq: Option<u32>,
        report: LoadReport,
    },
    /// A release was heard.
    TeardownResponse {
        id: u64,
    },
    Announcement {
        id: u64,
        quantity: Quantity,
        value: f64,
    },
    /// Progress, what wants no answer, and what means nothing here.
    Ignored,
}

/// What a message of a server says; what it leaves out or tells unreadably makes it one that says nothing.
pub fn parse_message(message: Message) -> ServerMessage {
    match message {
        Message::Request(r) => {
            let text = |name: &HeaderName| r.header(name).map(|v| v.as_str().trim());
            let Some(id) = text(&SESSION).and_then(rtsp::parse_hex_id) else {
                return ServerMessage::Ignored;
            };
            match r.method() {
                Method::Teardown => ServerMessage::Teardown {
                    id,
                    cause: text(&header_name(headers::HEADER_REASON)).and_then(headers::parse_release_cause),
                    cseq: text(&CSEQ).and_then(|v| v.parse().ok()),
                    report: text(&header_name(headers::HEADER_CIRCUITS))
                        .map(headers::parse_load_report)
                        .unwrap_or_default(),
                },
                Method::Announce => {
                    let note = match text(&header_name(headers::HEADER_WHY)) {
                        Some("quality") => Quantity::DeliveredShare,
                        Some("profile") => Quantity::Rung,
                        Some("nic") => Quantity::LinkUse,
                        Some("tor") => Quantity::UplinkUse,
                        _ => return ServerMessage::Ignored,
                    };
                    match text(&header_name(headers::HEADER_FIGURE)).and_then(headers::parse_finite) {
                        Some(figure) => ServerMessage::Announcement { id, quantity: note, value: figure },
                        None => ServerMessage::Ignored,
                    }
                }
                _ => ServerMessage::Ignored,
            }
        }
        Message::Response(r) => {
            let text = |name: &HeaderName| r.header(name).map(|v| v.as_str().trim());
            let Some(id) = text(&SESSION).and_then(rtsp::parse_hex_id) else {
                return ServerMessage::Ignored;
            };
            let status: u16 = r.status().into();
            let report = || {
                text(&header_name(headers::HEADER_CIRCUITS))
                    .map(headers::parse_load_report)
                    .unwrap_or_default()
            };
            match text(&CSEQ) {
                _ if status < 200 => ServerMessage::Ignored,
                Some("1") => ServerMessage::SetupResponse {
                    id,
                    status,
                    report: report(),
                    description: r.body().clone(),
                },
                Some("2") => ServerMessage::TeardownResponse { id },
                Some("3") => ServerMessage::OptionsResponse { id, status, report: report() },
                _ => ServerMessage::Ignored,
            }
        }
        Message::Data(_) => ServerMessage::Ignored,
    }
}

/// A set-up goes on; `wait`: how long its answer is waited for.
pub fn setup_request(wanted: &SetupRequest, rung: u8, wait: f64) -> Vec<u8> {
    let fields = [
        (headers::HEADER_CALL_CLASS, wanted.class.clone()),
        (headers::HEADER_RING_LIMIT, format!("{}", wait.floor().max(1.0) as u64)),
        (headers::HEADER_RATE_STEP, rung.to_string()),
    ];
    let path = format!("{:016x}", wanted.title);
    rtsp::encode_request(Method::Setup, &path, 1, wanted.id, &fields, &wanted.description)
}

/// A set-up is given up.
pub fn setup_cancel_request(id: u64) -> Vec<u8> {
    rtsp::encode_request(Method::Teardown, "over", 2, id, &[], &[])
}

/// A session that stands is to end.
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

/// Asks for the load.
pub fn load_probe_request(id: u64) -> Vec<u8> {
    rtsp::encode_request(Method::Options, "load", 3, id, &[], &[])
}

/// Asks whether it is there.
pub fn ping_request(id: u64) -> Vec<u8> {
    rtsp::encode_request(Method::Options, "ping", 3, id, &[], &[])
}

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

/// A release was heard.
pub fn teardown_response(id: u64, cseq: Option<u32>) -> Vec<u8> {
    rtsp::encode_response(200, cseq, Some(id), &[], &[])
}
