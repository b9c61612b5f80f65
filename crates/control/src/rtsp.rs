//! Control messages between front and box: RTSP 2.0 (RFC 7826), with requests in both directions.
//!
//! | request | sender | content |
//! | --- | --- | --- |
//! | SETUP | front | title in the URI, token in `Session-Token`, rung in `Rung`, service group in `Service-Group`, session id in `Front-Session` |
//! | GET_PARAMETER | front | names of the requested load parameters (a probe) |
//! | SET_PARAMETER | front | `rung`, on a session |
//! | TEARDOWN | front, box | the end of a session |
//! | SET_PARAMETER | box | `delivered-share`, `link-use`, `uplink-use`, `streams`: an unsolicited load report |
//!
//! Media is delivered over HTTP and not over RTP, so `Transport` names an extension, `DASH/HTTP`. Responses may carry
//! load parameters in a `text/parameters` body.
use rtsp_types::headers::{HeaderName, CONTENT_TYPE, CSEQ, SESSION, TRANSPORT};
use rtsp_types::{Message as RawMessage, Method, ParseError, Request, Response, StatusCode, Url, Version};

/// Longest message that is accepted.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Parameter: fraction of the requested media traffic that the box delivers.
pub const DELIVERED_SHARE: &str = "delivered-share";
/// Parameter: number of streams that the box serves.
pub const STREAMS: &str = "streams";
/// Parameter: fraction of the box's link capacity in use.
pub const LINK_USE: &str = "link-use";
/// Parameter: fraction of the uplink capacity in use.
pub const UPLINK_USE: &str = "uplink-use";
/// Parameter: rung of a session.
pub const RUNG: &str = "rung";

/// Prefix of the title in the URI of a SETUP. Without it, a title `.` or `..` would be lost, since URI normalization
/// removes such path segments.
const TITLE_PREFIX: &str = "t:";

/// Status of a box whose link has no room for the session.
pub const NOT_ENOUGH_BANDWIDTH: u16 = 453;
/// Status of a box that takes no sessions at present.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// A decoded message. `cseq` is the sequence number that a response shares with its request.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A request.
    Request { cseq: u32, request: ControlRequest },
    /// A response, with the load parameters from its body.
    Response { cseq: u32, status: u16, session: Option<String>, parameters: Vec<(String, f64)> },
}

/// A request, by method.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlRequest {
    /// Starts a session.
    Setup {
        /// Title to play.
        title: String,
        /// Name of the viewer's service group.
        service_group: String,
        /// Rung to start with.
        rung: u8,
        /// The front's id of the session, for records.
        front_session: u64,
        /// Session token that the viewer presents to fetch segments.
        token: String,
    },
    /// Probes the box for the named load parameters.
    GetParameter(Vec<String>),
    /// Sets parameters of a session, or reports those of the box if there is no session.
    SetParameter {
        /// Session id assigned by the box.
        session: Option<String>,
        /// Names and values.
        parameters: Vec<(String, f64)>,
    },
    /// Ends a session.
    Teardown {
        /// Session id assigned by the box.
        session: String,
    },
    /// Any other method, which is answered with status 501.
    Unsupported(String),
}

/// Why a message could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RtspError {
    /// Offset of the invalid message in the stream, in bytes.
    pub offset: u64,
    /// What is wrong with the message.
    pub reason: String,
}

impl std::fmt::Display for RtspError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "RTSP message at byte {}: {}", self.offset, self.reason)
    }
}

/// Splits a byte stream into messages. It must not be used after an error.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
    /// Offset of the buffer in the stream, in bytes.
    offset: u64,
}

impl MessageReader {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next message, or `None` until it is complete.
    pub fn next_message(&mut self) -> Result<Option<Message>, RtspError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let error = |reason: String| RtspError { offset: self.offset, reason };
        let (raw, message_len): (RawMessage<Vec<u8>>, usize) = match RawMessage::parse(&self.buffer) {
            Ok(parsed) => parsed,
            Err(ParseError::Incomplete(_)) if self.buffer.len() <= MAX_MESSAGE_BYTES => return Ok(None),
            Err(ParseError::Incomplete(_)) => {
                return Err(error(format!("longer than {MAX_MESSAGE_BYTES} bytes")))
            }
            Err(ParseError::Error) => return Err(error("not RTSP".into())),
        };
        let message = match raw {
            RawMessage::Request(request) => parse_request(&request),
            RawMessage::Response(response) => parse_response(&response),
            RawMessage::Data(_) => Err("interleaved data is not supported".into()),
        };
        let message = message.map_err(error)?;
        self.buffer.drain(..message_len);
        self.offset += message_len as u64;
        Ok(Some(message))
    }
}

fn header_name(name: &'static str) -> HeaderName {
    HeaderName::from_static_str(name).expect("header names are ASCII")
}

fn parse_request(request: &Request<Vec<u8>>) -> Result<Message, String> {
    if request.version() != Version::V2_0 {
        return Err("not RTSP 2.0".into());
    }
    let header = |name: &HeaderName| request.header(name).map(|v| v.as_str().trim().to_owned());
    let cseq = parse_number::<u32>(header(&CSEQ), "CSeq")?;
    let session = || header(&SESSION).map(|s| s.split(';').next().unwrap_or("").to_owned());
    let control_request = match request.method() {
        Method::Setup => {
            let uri = request.request_uri().ok_or("SETUP without a URI")?;
            let title = uri.path_segments().and_then(|mut s| s.next()).unwrap_or("");
            let title = percent_decode_title(title)?;
            let title = title.strip_prefix(TITLE_PREFIX).ok_or("SETUP: no title in the URI")?;
            ControlRequest::Setup {
                title: title.to_owned(),
                service_group: header(&header_name("Service-Group")).ok_or("Service-Group: missing")?,
                rung: parse_number(header(&header_name("Rung")), "Rung")?,
                front_session: parse_number(header(&header_name("Front-Session")), "Front-Session")?,
                token: header(&header_name("Session-Token")).ok_or("Session-Token: missing")?,
            }
        }
        Method::GetParameter => {
            ControlRequest::GetParameter(body_lines(request.body())?.map(str::to_owned).collect())
        }
        Method::SetParameter => {
            ControlRequest::SetParameter { session: session(), parameters: parse_parameters(request.body())? }
        }
        Method::Teardown => ControlRequest::Teardown { session: session().ok_or("Session: missing")? },
        other => ControlRequest::Unsupported(<&str>::from(other).to_owned()),
    };
    Ok(Message::Request { cseq, request: control_request })
}

fn parse_response(response: &Response<Vec<u8>>) -> Result<Message, String> {
    let header = |name: &HeaderName| response.header(name).map(|v| v.as_str().trim().to_owned());
    Ok(Message::Response {
        cseq: parse_number(header(&CSEQ), "CSeq")?,
        status: response.status().into(),
        session: header(&SESSION).map(|s| s.split(';').next().unwrap_or("").to_owned()),
        parameters: parse_parameters(response.body())?,
    })
}

fn parse_number<N: std::str::FromStr>(text: Option<String>, name: &str) -> Result<N, String> {
    let text = text.ok_or_else(|| format!("{name}: missing"))?;
    text.parse().map_err(|_| format!("{name}: {text:?} is not a number"))
}

fn percent_decode_title(text: &str) -> Result<String, String> {
    let title = percent_encoding::percent_decode_str(text).decode_utf8();
    title.map(|title| title.into_owned()).map_err(|_| format!("title {text:?} is not UTF-8"))
}

/// Non-empty lines of a body, trimmed.
fn body_lines(body: &[u8]) -> Result<impl Iterator<Item = &str>, String> {
    let text = std::str::from_utf8(body).map_err(|_| "body is not UTF-8".to_owned())?;
    Ok(text.lines().map(str::trim).filter(|line| !line.is_empty()))
}

/// Parses a `text/parameters` body: `name: value` lines (RFC 7826, section 20.3).
fn parse_parameters(body: &[u8]) -> Result<Vec<(String, f64)>, String> {
    let mut parameters = Vec::new();
    for line in body_lines(body)? {
        let (name, value) = line.split_once(':').ok_or_else(|| format!("parameter {line:?} has no value"))?;
        let value: f64 = value
            .trim()
            .parse()
            .map_err(|_| format!("parameter {name}: {:?} is not a number", value.trim()))?;
        parameters.push((name.trim().to_owned(), value));
    }
    Ok(parameters)
}

/// Encodes a message. Fails only if `host` cannot be part of a URI.
pub fn encode(message: &Message, host: &str) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::with_capacity(512);
    let uri = |path: &str| {
        let path = percent_encoding::utf8_percent_encode(path, percent_encoding::NON_ALPHANUMERIC);
        Url::parse(&format!("rtsp://{host}/{path}")).map_err(|e| format!("{host}: {e}"))
    };
    let body =
        |lines: Vec<String>| lines.into_iter().map(|line| line + "\r\n").collect::<String>().into_bytes();
    let parameter_lines = |parameters: &[(String, f64)]| {
        parameters.iter().map(|(name, value)| format!("{name}: {value}")).collect()
    };
    let content_type = "text/parameters";
    match message {
        Message::Request { cseq, request } => {
            let request_builder = |method, path: &str| -> Result<_, String> {
                let builder = Request::builder(method, Version::V2_0).request_uri(uri(path)?);
                Ok(builder.header(CSEQ, cseq.to_string()))
            };
            let message = match request {
                ControlRequest::Setup { title, service_group, rung, front_session, token } => {
                    request_builder(Method::Setup, &format!("{TITLE_PREFIX}{title}"))?
                        .header(TRANSPORT, "DASH/HTTP;unicast")
                        .header(header_name("Service-Group"), service_group.as_str())
                        .header(header_name("Rung"), rung.to_string())
                        .header(header_name("Front-Session"), front_session.to_string())
                        .header(header_name("Session-Token"), token.as_str())
                        .build(Vec::new())
                }
                ControlRequest::GetParameter(names) => request_builder(Method::GetParameter, "")?
                    .header(CONTENT_TYPE, content_type)
                    .build(body(names.clone())),
                ControlRequest::SetParameter { session, parameters } => {
                    let mut builder =
                        request_builder(Method::SetParameter, "")?.header(CONTENT_TYPE, content_type);
                    if let Some(session) = session {
                        builder = builder.header(SESSION, session.as_str());
                    }
                    builder.build(body(parameter_lines(parameters)))
                }
                ControlRequest::Teardown { session } => {
                    request_builder(Method::Teardown, "")?.header(SESSION, session.as_str()).build(Vec::new())
                }
                ControlRequest::Unsupported(method) => {
                    request_builder(Method::Extension(method.clone()), "")?.build(Vec::new())
                }
            };
            message.write(&mut bytes)
        }
        Message::Response { cseq, status, session, parameters } => {
            let mut builder = Response::builder(Version::V2_0, StatusCode::from(*status));
            builder = builder.header(CSEQ, cseq.to_string());
            if let Some(session) = session {
                builder = builder.header(SESSION, session.as_str());
            }
            if !parameters.is_empty() {
                builder = builder.header(CONTENT_TYPE, content_type);
            }
            builder.build(body(parameter_lines(parameters))).write(&mut bytes)
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
        let parameters = || prop::collection::vec(("[a-z][a-z-]{0,8}", -1e6..1e6f64), 0..4);
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
            (prop::option::of("[A-Za-z0-9]{1,20}"), parameters())
                .prop_map(|(session, parameters)| ControlRequest::SetParameter { session, parameters }),
            "[A-Za-z0-9]{1,20}".prop_map(|session| ControlRequest::Teardown { session }),
        ]
    }

    fn messages() -> impl Strategy<Value = Message> {
        let response = (any::<u32>(), 100u16..600, prop::option::of("[A-Za-z0-9]{1,20}"));
        prop_oneof![
            (any::<u32>(), requests()).prop_map(|(cseq, request)| Message::Request { cseq, request }),
            response.prop_map(|(cseq, status, session)| Message::Response {
                cseq,
                status,
                session,
                parameters: vec![("link-use".into(), 0.75)],
            }),
        ]
    }

    proptest! {
        #[test]
        fn messages_round_trip_regardless_of_chunk_length(
            expected in prop::collection::vec(messages(), 1..4),
            chunk_len in 1usize..80,
        ) {
            let mut bytes = Vec::new();
            for message in &expected {
                bytes.extend(encode(message, "127.0.0.1:554").unwrap());
            }
            let (mut reader, mut decoded) = (MessageReader::default(), Vec::new());
            for chunk in bytes.chunks(chunk_len) {
                reader.push(chunk);
                while let Some(message) = reader.next_message().unwrap() {
                    decoded.push(message);
                }
            }
            prop_assert_eq!(decoded, expected);
        }

        #[test]
        fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let mut reader = MessageReader::default();
            reader.push(&bytes);
            while let Ok(Some(_)) = reader.next_message() {}
        }

        /// A valid message with one byte changed is accepted or rejected, but causes no panic.
        #[test]
        fn altered_message_causes_no_panic(
            message in messages(),
            position in any::<prop::sample::Index>(),
            new_byte in any::<u8>(),
        ) {
            let mut bytes = encode(&message, "127.0.0.1:554").unwrap();
            let index = position.index(bytes.len());
            bytes[index] = new_byte;
            let mut reader = MessageReader::default();
            reader.push(&bytes);
            while let Ok(Some(_)) = reader.next_message() {}
        }
    }

    #[test]
    fn errors_carry_the_offset_of_the_message() {
        let mut reader = MessageReader::default();
        let valid =
            encode(&Message::Response { cseq: 1, status: 200, session: None, parameters: vec![] }, "h")
                .unwrap();
        reader.push(&valid);
        reader.push(b"RTSP/2.0 200 OK\r\nCSeq: x\r\n\r\n");
        assert!(reader.next_message().unwrap().is_some());
        let error = reader.next_message().unwrap_err();
        assert_eq!(
            error,
            RtspError { offset: valid.len() as u64, reason: "CSeq: \"x\" is not a number".into() }
        );
        let mut oversized = MessageReader::default();
        oversized.push(b"RTSP/2.0 200 OK\r\nCSeq: 1\r\nContent-Length: 999999999\r\n\r\n");
        oversized.push(&[b'x'; MAX_MESSAGE_BYTES]);
        assert!(oversized.next_message().unwrap_err().reason.contains("longer than"));
    }
}
