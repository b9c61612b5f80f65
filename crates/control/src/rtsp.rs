//! The control messages between front and box: RTSP 2.0 (RFC 7826), both ways.
//!
//! | message | from | carries |
//! | --- | --- | --- |
//! | SETUP | front | title and token in the URI and `Session-Token`, rung in `Rung`, service group in `Service-Group` |
//! | GET_PARAMETER | front | the names of the load figures asked for: a probe |
//! | SET_PARAMETER | front | `rung`, on a session |
//! | TEARDOWN | front, box | the end of a session |
//! | SET_PARAMETER | box | `delivered-share`, `link-use`, `uplink-use`, `streams`: news of itself |
//!
//! Media goes over HTTP and not over RTP, so `Transport` names an extension, `DASH/HTTP`. Answers may carry
//! load figures in a `text/parameters` body.
use rtsp_types::headers::{HeaderName, CONTENT_TYPE, CSEQ, SESSION, TRANSPORT};
use rtsp_types::{Message as Raw, Method, ParseError, Request, Response, StatusCode, Url, Version};

/// Longest message that is taken, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

pub const DELIVERED_SHARE: &str = "delivered-share";
pub const STREAMS: &str = "streams";
pub const LINK_USE: &str = "link-use";
pub const UPLINK_USE: &str = "uplink-use";
pub const RUNG: &str = "rung";

/// Stands before the title in the URI of a SETUP.
const TITLE: &str = "t:";

pub const NOT_ENOUGH_BANDWIDTH: u16 = 453;
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// One message as it was read.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    Request { cseq: u32, request: ControlRequest },
    Response { cseq: u32, status: u16, session: Option<String>, parameters: Vec<(String, f64)> },
}

/// What a message asks.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlRequest {
    Setup {
        title: String,
        service_group: String,
        rung: u8,
        /// The front's own name for the session, in records.
        front_session: u64,
        token: String,
    },
    /// A probe; names of figures.
    GetParameter(Vec<String>),
    /// Figures, of a session or of the box.
    SetParameter {
        session: Option<String>,
        parameters: Vec<(String, f64)>,
    },
    Teardown {
        session: String,
    },
    /// A method that is not used here; it is answered by 501.
    Unsupported(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RtspError {
    /// Bytes of the stream before the message at fault.
    pub offset: u64,
    pub reason: String,
}

impl std::fmt::Display for RtspError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "RTSP message at byte {}: {}", self.offset, self.reason)
    }
}

/// Cuts a stream of bytes into messages. After an error it is of no more use.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
    at: u64,
}

impl MessageReader {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Message>, RtspError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let bad = |why: String| RtspError { offset: self.at, reason: why };
        let (raw, used): (Raw<Vec<u8>>, usize) = match Raw::parse(&self.buffer) {
            Ok(parsed) => parsed,
            Err(ParseError::Incomplete(_)) if self.buffer.len() <= MAX_MESSAGE_BYTES => return Ok(None),
            Err(ParseError::Incomplete(_)) => {
                return Err(bad(format!("longer than {MAX_MESSAGE_BYTES} bytes")))
            }
            Err(ParseError::Error) => return Err(bad("not RTSP".into())),
        };
        let message = match raw {
            Raw::Request(r) => read_request(&r),
            Raw::Response(r) => read_response(&r),
            Raw::Data(_) => Err("interleaved data is not taken".into()),
        };
        let message = message.map_err(bad)?;
        self.buffer.drain(..used);
        self.at += used as u64;
        Ok(Some(message))
    }
}

fn named(name: &'static str) -> HeaderName {
    HeaderName::from_static_str(name).expect("a name of letters")
}

fn read_request(r: &Request<Vec<u8>>) -> Result<Message, String> {
    if r.version() != Version::V2_0 {
        return Err("not RTSP 2.0".into());
    }
    let header = |name: &HeaderName| r.header(name).map(|v| v.as_str().trim().to_owned());
    let cseq = number::<u32>(header(&CSEQ), "CSeq")?;
    let session = || header(&SESSION).map(|s| s.split(';').next().unwrap_or("").to_owned());
    let request = match r.method() {
        Method::Setup => {
            let uri = r.request_uri().ok_or("SETUP without a URI")?;
            // Marked, as a title that is a dot or two would not survive as a segment of its own.
            let title = uri.path_segments().and_then(|mut s| s.next()).unwrap_or("");
            let title = percent_decoded(title)?;
            let title = title.strip_prefix(TITLE).ok_or("SETUP: the URI names no title")?;
            ControlRequest::Setup {
                title: title.to_owned(),
                service_group: header(&named("Service-Group")).ok_or("Service-Group: missing")?,
                rung: number(header(&named("Rung")), "Rung")?,
                front_session: number(header(&named("Front-Session")), "Front-Session")?,
                token: header(&named("Session-Token")).ok_or("Session-Token: missing")?,
            }
        }
        Method::GetParameter => ControlRequest::GetParameter(lines(r.body())?.map(str::to_owned).collect()),
        Method::SetParameter => {
            ControlRequest::SetParameter { session: session(), parameters: figures(r.body())? }
        }
        Method::Teardown => ControlRequest::Teardown { session: session().ok_or("Session: missing")? },
        other => ControlRequest::Unsupported(<&str>::from(other).to_owned()),
    };
    Ok(Message::Request { cseq, request })
}

fn read_response(r: &Response<Vec<u8>>) -> Result<Message, String> {
    let header = |name: &HeaderName| r.header(name).map(|v| v.as_str().trim().to_owned());
    Ok(Message::Response {
        cseq: number(header(&CSEQ), "CSeq")?,
        status: r.status().into(),
        session: header(&SESSION).map(|s| s.split(';').next().unwrap_or("").to_owned()),
        parameters: figures(r.body())?,
    })
}

fn number<N: std::str::FromStr>(text: Option<String>, name: &str) -> Result<N, String> {
    let text = text.ok_or_else(|| format!("{name}: missing"))?;
    text.parse().map_err(|_| format!("{name}: {text:?} is not a number"))
}

fn percent_decoded(text: &str) -> Result<String, String> {
    let bytes = percent_encoding::percent_decode_str(text).decode_utf8();
    bytes.map(|t| t.into_owned()).map_err(|_| format!("title {text:?} is not UTF-8"))
}

fn lines(body: &[u8]) -> Result<impl Iterator<Item = &str>, String> {
    let text = std::str::from_utf8(body).map_err(|_| "body is not UTF-8".to_owned())?;
    Ok(text.lines().map(str::trim).filter(|l| !l.is_empty()))
}

/// A `text/parameters` body: `name: value` lines (RFC 7826, section 20.3).
fn figures(body: &[u8]) -> Result<Vec<(String, f64)>, String> {
    let mut figures = Vec::new();
    for line in lines(body)? {
        let (name, value) = line.split_once(':').ok_or_else(|| format!("parameter {line:?} has no value"))?;
        let value: f64 = value
            .trim()
            .parse()
            .map_err(|_| format!("parameter {name}: {:?} is not a number", value.trim()))?;
        figures.push((name.trim().to_owned(), value));
    }
    Ok(figures)
}

/// The bytes of a message; fails only for an address that no URI can hold.
pub fn encode(message: &Message, host: &str) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::with_capacity(512);
    let uri = |path: &str| {
        let path = percent_encoding::utf8_percent_encode(path, percent_encoding::NON_ALPHANUMERIC);
        Url::parse(&format!("rtsp://{host}/{path}")).map_err(|e| format!("{host}: {e}"))
    };
    let body = |lines: Vec<String>| lines.into_iter().map(|l| l + "\r\n").collect::<String>().into_bytes();
    let figure_lines = |figures: &[(String, f64)]| figures.iter().map(|(n, v)| format!("{n}: {v}")).collect();
    let text = "text/parameters";
    match message {
        Message::Request { cseq, request } => {
            let builder = |method, path: &str| -> Result<_, String> {
                let b = Request::builder(method, Version::V2_0).request_uri(uri(path)?);
                Ok(b.header(CSEQ, cseq.to_string()))
            };
            let message = match request {
                ControlRequest::Setup { title, service_group, rung, front_session, token } => {
                    builder(Method::Setup, &format!("{TITLE}{title}"))?
                        .header(TRANSPORT, "DASH/HTTP;unicast")
                        .header(named("Service-Group"), service_group.as_str())
                        .header(named("Rung"), rung.to_string())
                        .header(named("Front-Session"), front_session.to_string())
                        .header(named("Session-Token"), token.as_str())
                        .build(Vec::new())
                }
                ControlRequest::GetParameter(names) => {
                    builder(Method::GetParameter, "")?.header(CONTENT_TYPE, text).build(body(names.clone()))
                }
                ControlRequest::SetParameter { session, parameters } => {
                    let mut b = builder(Method::SetParameter, "")?.header(CONTENT_TYPE, text);
                    if let Some(session) = session {
                        b = b.header(SESSION, session.as_str());
                    }
                    b.build(body(figure_lines(parameters)))
                }
                ControlRequest::Teardown { session } => {
                    builder(Method::Teardown, "")?.header(SESSION, session.as_str()).build(Vec::new())
                }
                ControlRequest::Unsupported(method) => {
                    builder(Method::Extension(method.clone()), "")?.build(Vec::new())
                }
            };
            message.write(&mut bytes)
        }
        Message::Response { cseq, status, session, parameters } => {
            let mut b = Response::builder(Version::V2_0, StatusCode::from(*status));
            b = b.header(CSEQ, cseq.to_string());
            if let Some(session) = session {
                b = b.header(SESSION, session.as_str());
            }
            if !parameters.is_empty() {
                b = b.header(CONTENT_TYPE, text);
            }
            b.build(body(figure_lines(parameters))).write(&mut bytes)
        }
    }
    .map_err(|e| format!("RTSP message: {e:?}"))?;
    Ok(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn requests() -> impl Strategy<Value = ControlRequest> {
        let figures = || prop::collection::vec(("[a-z][a-z-]{0,8}", -1e6..1e6f64), 0..4);
        prop_oneof![
            ("\\PC{1,20}", "[a-z-]{1,9}", any::<u8>(), any::<u64>(), "[A-Za-z0-9_-]{1,300}").prop_map(
                |(title, service_group, rung, front_session, token)| ControlRequest::Setup {
                    title,
                    service_group,
                    rung,
                    front_session,
                    token
                }
            ),
            prop::collection::vec("[a-z-]{1,9}".prop_map(|s| s), 0..4).prop_map(ControlRequest::GetParameter),
            (prop::option::of("[A-Za-z0-9]{1,20}"), figures())
                .prop_map(|(session, parameters)| ControlRequest::SetParameter { session, parameters }),
            "[A-Za-z0-9]{1,20}".prop_map(|session| ControlRequest::Teardown { session }),
        ]
    }

    fn messages() -> impl Strategy<Value = Message> {
        let reply = (any::<u32>(), 100u16..600, prop::option::of("[A-Za-z0-9]{1,20}"));
        prop_oneof![
            (any::<u32>(), requests()).prop_map(|(cseq, request)| Message::Request { cseq, request }),
            reply.prop_map(|(cseq, status, session)| Message::Response {
                cseq,
                status,
                session,
                parameters: vec![("link-use".into(), 0.75)],
            }),
        ]
    }

    proptest! {
        /// What was written is read back, wherever the stream is cut.
        #[test]
        fn read_back(wanted in prop::collection::vec(messages(), 1..4), cut in 1usize..80) {
            let mut bytes = Vec::new();
            for m in &wanted {
                bytes.extend(encode(m, "127.0.0.1:554").unwrap());
            }
            let (mut reader, mut got) = (MessageReader::default(), Vec::new());
            for piece in bytes.chunks(cut) {
                reader.push(piece);
                while let Some(m) = reader.next_message().unwrap() {
                    got.push(m);
                }
            }
            prop_assert_eq!(got, wanted);
        }

        #[test]
        fn rubbish_is_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let mut reader = MessageReader::default();
            reader.push(&bytes);
            while let Ok(Some(_)) = reader.next_message() {}
        }

        /// A sound message with some bytes changed is read or refused, never a panic.
        #[test]
        fn nearly_right_is_no_panic(m in messages(), at in any::<prop::sample::Index>(), to in any::<u8>()) {
            let mut bytes = encode(&m, "127.0.0.1:554").unwrap();
            let at = at.index(bytes.len());
            bytes[at] = to;
            let mut reader = MessageReader::default();
            reader.push(&bytes);
            while let Ok(Some(_)) = reader.next_message() {}
        }
    }

    #[test]
    fn errors_name_their_place() {
        let mut reader = MessageReader::default();
        let good =
            encode(&Message::Response { cseq: 1, status: 200, session: None, parameters: vec![] }, "h")
                .unwrap();
        reader.push(&good);
        reader.push(b"RTSP/2.0 200 OK\r\nCSeq: x\r\n\r\n");
        assert!(reader.next_message().unwrap().is_some());
        let bad = reader.next_message().unwrap_err();
        assert_eq!(
            bad,
            RtspError { offset: good.len() as u64, reason: "CSeq: \"x\" is not a number".into() }
        );
        let mut endless = MessageReader::default();
        endless.push(b"RTSP/2.0 200 OK\r\nCSeq: 1\r\nContent-Length: 999999999\r\n\r\n");
        endless.push(&[b'x'; MAX_MESSAGE_BYTES]);
        assert!(endless.next_message().unwrap_err().reason.contains("longer than"));
    }
}
