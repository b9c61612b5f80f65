//! Messages between a node and servers.
use crate::headers;
use crate::rtsp::{self, named, Parsed};
use crate::viewer::Wanted;
use rtsp_types::headers::{HeaderName, CSEQ, SESSION};
use rtsp_types::Method;

pub type Report = Vec<(String, f64)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    Share,
    Rung,
    Link,
    Uplink,
}

#[derive(Debug, PartialEq)]
pub enum FromServer {
    /// The answer to a set-up.
    Setup {
        id: u64,
        status: u16,
        description: Vec<u8>,
        report: Report,
    },
    /// The answer to a test.
    Tested {
        id: u64,
        status: u16,
        report: Report,
    },
    /// A session is over.
    Released {
        id: u64,
        cause: Option<u32>,
        cseq: Option<u32>,
        report: Report,
    },
    /// A release was heard.
    Heard {
        id: u64,
    },
    Note {
        id: u64,
        note: Note,
        figure: f64,
    },
    /// Progress, what wants no answer, and what means nothing here.
    Other,
}

/// What a message of a server says; what it leaves out or tells unreadably makes it one that says nothing.
pub fn read(message: Parsed) -> FromServer {
    match message {
        Parsed::Request(r) => {
            let text = |name: &HeaderName| r.header(name).map(|v| v.as_str().trim());
            let Some(id) = text(&SESSION).and_then(rtsp::id) else { return FromServer::Other };
            match r.method() {
                Method::Teardown => FromServer::Released {
                    id,
                    cause: text(&named(headers::HEADER_REASON)).and_then(headers::parse_release_cause),
                    cseq: text(&CSEQ).and_then(|v| v.parse().ok()),
                    report: text(&named(headers::HEADER_CIRCUITS))
                        .map(headers::parse_load_report)
                        .unwrap_or_default(),
                },
                Method::Announce => {
                    let note = match text(&named(headers::HEADER_WHY)) {
                        Some("quality") => Note::Share,
                        Some("profile") => Note::Rung,
                        Some("nic") => Note::Link,
                        Some("tor") => Note::Uplink,
                        _ => return FromServer::Other,
                    };
                    match text(&named(headers::HEADER_FIGURE)).and_then(headers::parse_finite) {
                        Some(figure) => FromServer::Note { id, note, figure },
                        None => FromServer::Other,
                    }
                }
                _ => FromServer::Other,
            }
        }
        Parsed::Response(r) => {
            let text = |name: &HeaderName| r.header(name).map(|v| v.as_str().trim());
            let Some(id) = text(&SESSION).and_then(rtsp::id) else { return FromServer::Other };
            let status: u16 = r.status().into();
            let report =
                || text(&named(headers::HEADER_CIRCUITS)).map(headers::parse_load_report).unwrap_or_default();
            match text(&CSEQ) {
                _ if status < 200 => FromServer::Other,
                Some("1") => {
                    FromServer::Setup { id, status, report: report(), description: r.body().clone() }
                }
                Some("2") => FromServer::Heard { id },
                Some("3") => FromServer::Tested { id, status, report: report() },
                _ => FromServer::Other,
            }
        }
        Parsed::Data(_) => FromServer::Other,
    }
}

/// A set-up goes on; `wait`: how long its answer is waited for.
pub fn setup(wanted: &Wanted, rung: u8, wait: f64) -> Vec<u8> {
    let fields = [
        (headers::HEADER_CALL_CLASS, wanted.class.clone()),
        (headers::HEADER_RING_LIMIT, format!("{}", wait.floor().max(1.0) as u64)),
        (headers::HEADER_RATE_STEP, rung.to_string()),
    ];
    let path = format!("{:016x}", wanted.title);
    rtsp::ask(Method::Setup, &path, 1, wanted.id, &fields, &wanted.description)
}

/// A set-up is given up.
pub fn give_up(id: u64) -> Vec<u8> {
    rtsp::ask(Method::Teardown, "over", 2, id, &[], &[])
}

/// A session that stands is to end.
pub fn release(id: u64, cause: u32) -> Vec<u8> {
    rtsp::ask(Method::Teardown, "over", 2, id, &[(headers::HEADER_REASON, format!("cause={cause}"))], &[])
}

/// Asks for the load.
pub fn probe(id: u64) -> Vec<u8> {
    rtsp::ask(Method::Options, "load", 3, id, &[], &[])
}

/// Asks whether it is there.
pub fn test(id: u64) -> Vec<u8> {
    rtsp::ask(Method::Options, "ping", 3, id, &[], &[])
}

pub fn rung(id: u64, rung: u8) -> Vec<u8> {
    rtsp::ask(Method::SetParameter, "rung", 4, id, &[(headers::HEADER_RATE_STEP, rung.to_string())], &[])
}

/// A release was heard.
pub fn heard(id: u64, cseq: Option<u32>) -> Vec<u8> {
    rtsp::reply(200, cseq, Some(id), &[], &[])
}
