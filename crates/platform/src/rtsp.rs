//! Cuts a stream of bytes into RTSP 1.0 messages. A message's length is known, and refused, before its body is
//! there: a peer can make a reader hold one message's bytes and no more.
use rtsp_types::headers::{HeaderName, CONTENT_LENGTH, CSEQ, SESSION};
use rtsp_types::{Message as Raw, Method, Request, Response, StatusCode, Url, Version};

/// Longest message that the platform allows, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

pub type Message = Raw<Vec<u8>>;

/// Why a stream is of no more use. Where the next message would begin is not known after any of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    TooLong,
    BadContentLength,
    NotRtsp,
    /// What follows a message is no message: its length was told wrong, and nothing says where it truly ends.
    UnexpectedBytes,
}

impl std::fmt::Display for FramingError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            FramingError::TooLong => "message too long",
            FramingError::BadContentLength => "bad Content-Length",
            FramingError::NotRtsp => "not RTSP",
            FramingError::UnexpectedBytes => "length does not fit",
        })
    }
}

#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
}

impl MessageReader {
    /// Takes more bytes; callers ask for messages after each piece, so that no more than a piece beyond one
    /// message is ever held.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that are held for a message that is not whole.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether a message has begun and is not whole.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole message, if there is one. After an error the stream is of no more use.
    pub fn next_message(&mut self) -> Result<Option<Message>, FramingError> {
        let blank = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.buffer.drain(..blank);
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
            return Ok(None);
        }
        if !may_begin(&self.buffer) {
            return Err(FramingError::NotRtsp);
        }
        let Some(head) = find(&self.buffer, b"\r\n\r\n").map(|at| at + 4) else {
            return if self.buffer.len() > MAX_MESSAGE_BYTES { Err(FramingError::TooLong) } else { Ok(None) };
        };
        let whole =
            head.checked_add(content_length(&self.buffer[..head])?).ok_or(FramingError::BadContentLength)?;
        if whole > MAX_MESSAGE_BYTES {
            return Err(FramingError::TooLong);
        }
        if self.buffer.len() < whole {
            return Ok(None);
        }
        if !may_begin(&self.buffer[whole..]) {
            return Err(FramingError::UnexpectedBytes);
        }
        let (message, used) = Raw::parse(&self.buffer[..whole]).map_err(|_| FramingError::NotRtsp)?;
        if used != whole {
            return Err(FramingError::BadContentLength);
        }
        self.buffer.drain(..whole);
        Ok(Some(message))
    }
}

/// What messages begin with. A closed list: the rest of a description is often words in capitals too.
const BEGINNINGS: [&[u8]; 12] = [
    b"RTSP/1.0 ",
    b"SETUP ",
    b"TEARDOWN ",
    b"OPTIONS ",
    b"ANNOUNCE ",
    b"REDIRECT ",
    b"SET_PARAMETER ",
    b"GET_PARAMETER ",
    b"DESCRIBE ",
    b"PLAY ",
    b"PAUSE ",
    b"RECORD ",
];

/// Whether a message may begin with these bytes, as far as they go.
fn may_begin(bytes: &[u8]) -> bool {
    let blank = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let bytes = &bytes[blank..];
    BEGINNINGS.iter().any(|word| {
        let both = word.len().min(bytes.len());
        word[..both] == bytes[..both]
    })
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

fn content_length(head: &[u8]) -> Result<usize, FramingError> {
    let mut told = None;
    for line in head.split(|b| *b == b'\n') {
        let Some(colon) = line.iter().position(|b| *b == b':') else { continue };
        if !line[..colon].trim_ascii().eq_ignore_ascii_case(b"content-length") {
            continue;
        }
        let value = line[colon + 1..].trim_ascii();
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let value = std::str::from_utf8(value).ok().filter(|_| digits).and_then(|v| v.parse().ok());
        if told.replace(value.ok_or(FramingError::BadContentLength)?).is_some() {
            return Err(FramingError::BadContentLength);
        }
    }
    Ok(told.unwrap_or(0))
}

/// A session's id: 16 lower-case hex digits, so that it is written again as it was read.
pub fn parse_hex_id(text: &str) -> Option<u64> {
    let lower = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    (text.len() == 16 && text.bytes().all(lower)).then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

pub(crate) fn header_name(name: &'static str) -> HeaderName {
    HeaderName::from_static_str(name).expect("a name of letters")
}

/// The bytes of a request. `path` is what follows `rtsp://media/`.
pub(crate) fn encode_request(
    method: Method,
    path: &str,
    cseq: u32,
    id: u64,
    fields: &[(&'static str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut b = Request::builder(method, Version::V1_0)
        .header(CSEQ, cseq.to_string())
        .header(SESSION, format!("{id:016x}"))
        .header(CONTENT_LENGTH, body.len().to_string());
    if let Ok(uri) = Url::parse(&format!("rtsp://media/{path}")) {
        b = b.request_uri(uri);
    }
    for (name, value) in fields {
        b = b.header(header_name(name), value.as_str());
    }
    let mut bytes = Vec::with_capacity(256 + body.len());
    // Writing to memory does not fail.
    let _ = b.build(body).write(&mut bytes);
    bytes
}

/// The bytes of an answer.
pub(crate) fn encode_response(
    status: u16,
    cseq: Option<u32>,
    id: Option<u64>,
    fields: &[(&'static str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut b = Response::builder(Version::V1_0, StatusCode::from(status))
        .header(CONTENT_LENGTH, body.len().to_string());
    if let Some(cseq) = cseq {
        b = b.header(CSEQ, cseq.to_string());
    }
    if let Some(id) = id {
        b = b.header(SESSION, format!("{id:016x}"));
    }
    for (name, value) in fields {
        b = b.header(header_name(name), value.as_str());
    }
    let mut bytes = Vec::with_capacity(192 + body.len());
    let _ = b.build(body).write(&mut bytes);
    bytes
}
