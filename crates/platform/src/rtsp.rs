//! Framing and encoding of RTSP 1.0 messages.
//!
//! The length of a message is taken from its header and checked against the limit before the body arrives, so a
//! peer cannot make a reader buffer more than one message of the permitted size.
use rtsp_types::headers::{HeaderName, CONTENT_LENGTH, CSEQ, SESSION};
use rtsp_types::{Message as RawMessage, Method, Request, Response, StatusCode, Url, Version};

/// Longest message that the platform allows, header and body together.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// An RTSP request, response or block of interleaved data.
pub type Message = RawMessage<Vec<u8>>;

/// An error after which a stream is unusable, since the start of the next message is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// The message exceeds [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// Content-Length is repeated, not a number, or does not match the parsed message.
    BadContentLength,
    /// The bytes are not an RTSP message.
    NotRtsp,
    /// The bytes that follow a message do not start another one, so its Content-Length was too small.
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

/// Reassembles messages from the bytes of a stream.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
    /// Whether the last message had a body. Blank lines behind one are the rest of a body whose length was understated;
    /// elsewhere they are skipped.
    follows_body: bool,
}

impl MessageReader {
    /// Appends received bytes. Callers drain [`next_message`](Self::next_message) after each call, so that the
    /// buffer never exceeds one message by more than the bytes of one call.
    pub fn push(&mut self, bytes: &[u8]) {
        // Memory for what has arrived alone: hundreds of peers may each be in the middle of a large message.
        self.buffer.reserve_exact(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes allocated for the buffer.
    pub fn allocated_len(&self) -> usize {
        self.buffer.capacity()
    }

    /// Number of buffered bytes of an incomplete message.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds the start of an incomplete message.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete message, or `None` until more bytes arrive. After an error the stream is unusable.
    pub fn next_message(&mut self) -> Result<Option<Message>, FramingError> {
        let blank_len = leading_blank_len(&self.buffer);
        if blank_len > 0 && self.follows_body {
            return Err(FramingError::UnexpectedBytes);
        }
        self.buffer.drain(..blank_len);
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
            return Ok(None);
        }
        if !may_start_message(&self.buffer) {
            return Err(FramingError::NotRtsp);
        }
        let Some(head_len) = find_subslice(&self.buffer, b"\r\n\r\n").map(|at| at + 4) else {
            return if self.buffer.len() > MAX_MESSAGE_BYTES { Err(FramingError::TooLong) } else { Ok(None) };
        };
        let message_len = head_len
            .checked_add(content_length(&self.buffer[..head_len])?)
            .ok_or(FramingError::BadContentLength)?;
        if message_len > MAX_MESSAGE_BYTES {
            return Err(FramingError::TooLong);
        }
        if self.buffer.len() < message_len {
            return Ok(None);
        }
        let (has_body, following) = (message_len > head_len, &self.buffer[message_len..]);
        let skipped_len = if has_body { 0 } else { leading_blank_len(following) };
        if !may_start_message(&following[skipped_len..]) {
            return Err(FramingError::UnexpectedBytes);
        }
        let (message, parsed_len) =
            RawMessage::parse(&self.buffer[..message_len]).map_err(|_| FramingError::NotRtsp)?;
        if parsed_len != message_len {
            return Err(FramingError::BadContentLength);
        }
        self.buffer.drain(..message_len);
        self.buffer.shrink_to_fit();
        self.follows_body = has_body;
        Ok(Some(message))
    }
}

/// The first bytes of every kind of message. A fixed list rather than any word in capitals, since the remainder of a
/// description whose length was understated often starts with such a word.
const MESSAGE_PREFIXES: [&[u8]; 12] = [
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

/// Number of bytes of blank lines at the start.
fn leading_blank_len(bytes: &[u8]) -> usize {
    bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count()
}

/// Whether the bytes are empty or may be the start of a message, of which any number of bytes may have arrived.
fn may_start_message(bytes: &[u8]) -> bool {
    MESSAGE_PREFIXES.iter().any(|prefix| {
        let common_len = prefix.len().min(bytes.len());
        prefix[..common_len] == bytes[..common_len]
    })
}

fn find_subslice(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Reads the length of the body from the header; 0 if it has no Content-Length.
fn content_length(head: &[u8]) -> Result<usize, FramingError> {
    let mut length = None;
    for line in head.split(|b| *b == b'\n') {
        let Some(colon) = line.iter().position(|b| *b == b':') else { continue };
        if !line[..colon].trim_ascii().eq_ignore_ascii_case(b"content-length") {
            continue;
        }
        let value = line[colon + 1..].trim_ascii();
        let only_digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let value = std::str::from_utf8(value).ok().filter(|_| only_digits).and_then(|v| v.parse().ok());
        if length.replace(value.ok_or(FramingError::BadContentLength)?).is_some() {
            return Err(FramingError::BadContentLength);
        }
    }
    Ok(length.unwrap_or(0))
}

/// Parses the id of a session or title: exactly 16 lower-case hex digits, so that encoding restores the same text.
pub fn parse_hex_id(text: &str) -> Option<u64> {
    let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    (text.len() == 16 && text.bytes().all(is_lower_hex)).then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Converts the name of a header. Panics if it is not a valid token.
pub(crate) fn header_name(name: &'static str) -> HeaderName {
    HeaderName::from_static_str(name).expect("header names of this package are ASCII tokens")
}

/// Encodes a request to `rtsp://media/{path}`.
pub(crate) fn encode_request(
    method: Method,
    path: &str,
    cseq: u32,
    session_id: u64,
    headers: &[(&'static str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut builder = Request::builder(method, Version::V1_0)
        .header(CSEQ, cseq.to_string())
        .header(SESSION, format!("{session_id:016x}"))
        .header(CONTENT_LENGTH, body.len().to_string());
    if let Ok(uri) = Url::parse(&format!("rtsp://media/{path}")) {
        builder = builder.request_uri(uri);
    }
    for (name, value) in headers {
        builder = builder.header(header_name(name), value.as_str());
    }
    let mut bytes = Vec::with_capacity(256 + body.len());
    // Writing to a vector cannot fail.
    let _ = builder.build(body).write(&mut bytes);
    bytes
}

/// Encodes a response.
pub(crate) fn encode_response(
    status: u16,
    cseq: Option<u32>,
    session_id: Option<u64>,
    headers: &[(&'static str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut builder = Response::builder(Version::V1_0, StatusCode::from(status))
        .header(CONTENT_LENGTH, body.len().to_string());
    if let Some(cseq) = cseq {
        builder = builder.header(CSEQ, cseq.to_string());
    }
    if let Some(session_id) = session_id {
        builder = builder.header(SESSION, format!("{session_id:016x}"));
    }
    for (name, value) in headers {
        builder = builder.header(header_name(name), value.as_str());
    }
    let mut bytes = Vec::with_capacity(192 + body.len());
    let _ = builder.build(body).write(&mut bytes);
    bytes
}
