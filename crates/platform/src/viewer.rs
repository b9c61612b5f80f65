//! Messages between viewers and a node.
use crate::headers::{self, Destination};
use crate::rtsp::{self, named, Parsed};
use rtsp_types::headers::{HeaderName, CSEQ, SESSION};
use rtsp_types::{Method, Request};

/// A set-up as it is wanted. Id, class, title and description go on to the server unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct Wanted {
    pub id: u64,
    pub title: u64,
    pub class: String,
    /// How long the viewer waits, from when it sent this.
    pub limit: f64,
    pub dest: Destination,
    pub description: Vec<u8>,
}

#[derive(Debug, PartialEq)]
pub enum FromViewer {
    Setup(Wanted),
    /// A set-up is given up, or a session that stands is released.
    Teardown {
        id: u64,
        cseq: Option<u32>,
    },
    Test {
        id: Option<u64>,
        cseq: Option<u32>,
    },
    /// An answer: the id of a release that was heard.
    Heard {
        id: Option<u64>,
    },
}

/// What can't be taken; it is answered and the stream goes on.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    pub id: Option<u64>,
    pub cseq: Option<u32>,
    pub why: String,
}

pub fn read(message: Parsed) -> Result<FromViewer, Fault> {
    let request = match message {
        Parsed::Request(r) => r,
        Parsed::Response(r) => {
            let id = r.header(&SESSION).and_then(|v| rtsp::id(v.as_str().trim()));
            return Ok(FromViewer::Heard { id });
        }
        Parsed::Data(_) => return Err(Fault { id: None, cseq: None, why: "interleaved data".into() }),
    };
    let text = |name: &HeaderName| request.header(name).map(|v| v.as_str().trim());
    let cseq = text(&CSEQ).and_then(|v| v.parse().ok());
    let id = text(&SESSION).and_then(rtsp::id);
    let fault = |why: String| Fault { id, cseq, why };
    match request.method() {
        Method::Setup => wanted(&request).map(FromViewer::Setup).map_err(fault),
        Method::Teardown => {
            let id = id.ok_or_else(|| fault("Session: missing or no id".into()))?;
            Ok(FromViewer::Teardown { id, cseq })
        }
        Method::Options => Ok(FromViewer::Test { id, cseq }),
        other => Err(fault(format!("{}: not taken here", <&str>::from(other)))),
    }
}

fn wanted(r: &Request<Vec<u8>>) -> Result<Wanted, String> {
    let text = |name: HeaderName| r.header(&name).map(|v| v.as_str().trim());
    let need = |name: &'static str| text(named(name)).ok_or_else(|| format!("{name}: missing"));
    let uri = r.request_uri().ok_or("no address")?;
    let title = uri.as_str().strip_prefix("rtsp://media/").and_then(rtsp::id).ok_or("no title")?;
    if text(named(headers::HEADER_EXPECTED_MS))
        .is_some_and(|h| headers::parse_finite(h).is_none_or(|h| h < 0.0))
    {
        return Err(format!("{}: not a time", headers::HEADER_EXPECTED_MS));
    }
    let wait = need(headers::HEADER_RING_LIMIT)?;
    Ok(Wanted {
        id: text(SESSION).and_then(rtsp::id).ok_or("Session: missing or no id")?,
        title,
        class: need(headers::HEADER_CALL_CLASS)?.to_owned(),
        limit: headers::parse_wait_ms(wait)
            .ok_or_else(|| format!("{}: not a time", headers::HEADER_RING_LIMIT))?,
        dest: headers::parse_destination(need(headers::HEADER_DEST)?)?,
        description: r.body().clone(),
    })
}

/// The session stands.
pub fn plays(id: u64, description: &[u8]) -> Vec<u8> {
    rtsp::reply(200, Some(1), Some(id), &[], description)
}

/// Refused: trying again is harmless.
pub fn busy(id: u64, come_back: Option<f64>) -> Vec<u8> {
    let hold_off = come_back.map(|t| (headers::HEADER_HOLD_OFF, format!("{}", t.round().max(0.0) as u64)));
    rtsp::reply(503, Some(1), Some(id), hold_off.as_slice(), &[])
}

pub fn torn_down(id: u64) -> Vec<u8> {
    rtsp::reply(500, Some(1), Some(id), &[], &[])
}

/// What can't be taken.
pub fn refused(fault: &Fault, status: u16) -> Vec<u8> {
    rtsp::reply(status, fault.cseq, fault.id, &[], &[])
}

/// The answer to a test, or to a release.
pub fn heard(id: Option<u64>, cseq: Option<u32>, status: u16) -> Vec<u8> {
    rtsp::reply(status, cseq, id, &[], &[])
}

/// A session that stood is over.
pub fn release(id: u64, cause: u32) -> Vec<u8> {
    rtsp::ask(Method::Teardown, "over", 2, id, &[(headers::HEADER_REASON, format!("cause={cause}"))], &[])
}
