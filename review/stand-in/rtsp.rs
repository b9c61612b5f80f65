//! Messages of the platform's protocol on a TCP connection.
use std::io::Read;
use std::net::TcpStream;

#[derive(Debug, Clone)]
pub struct Message {
    /// The first line and the fields, as received.
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or("")
    }

    /// The method of a request, or `RTSP/1.0` for an answer.
    pub fn method(&self) -> &str {
        self.first_line().split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> Option<u16> {
        let mut words = self.first_line().split(' ');
        (words.next() == Some("RTSP/1.0")).then(|| words.next()?.parse().ok()).flatten()
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        fields.find(|(n, _)| n.trim().eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
    }

    pub fn id(&self) -> u64 {
        self.field("Session").and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0)
    }

    /// For the record: the first line and the fields that matter.
    pub fn summary(&self) -> String {
        let fields = ["CSeq", "Session", "Reason", "Rate-Step", "X-Ring-Limit", "X-Circuits"];
        let fields: Vec<String> =
            fields.iter().filter_map(|n| Some(format!("{n}: {}", self.field(n)?))).collect();
        format!("{} | {}", self.first_line(), fields.join(" | "))
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// The next message; `None` at the end of the connection.
    pub fn next(&mut self) -> Option<Message> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                let mut message = Message { head, body: Vec::new() };
                let length: usize = message.field("Content-Length").and_then(|v| v.parse().ok()).unwrap_or(0);
                if self.buffer.len() >= at + 4 + length {
                    message.body = self.buffer[at + 4..at + 4 + length].to_vec();
                    self.buffer.drain(..at + 4 + length);
                    return Some(message);
                }
            }
            let mut bytes = [0; 8192];
            match self.stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buffer.extend_from_slice(&bytes[..n]),
                _ => return None,
            }
        }
    }
}

pub fn answer(status: &str, cseq: &str, id: u64, fields: &str, body: &str) -> String {
    format!(
        "RTSP/1.0 {status}\r\nCSeq: {cseq}\r\nSession: {id:016x}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn release(id: u64, cause: u32) -> String {
    format!(
        "TEARDOWN rtsp://media/over RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\nReason: cause={cause}\r\nContent-Length: 0\r\n\r\n"
    )
}
