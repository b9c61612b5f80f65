//! Small things that the stand-ins' sockets share.
use may::coroutine::JoinHandle;
use may::net::TcpStream;
use std::io::{self, Read};
use std::time::Duration;

pub fn spawn(run: impl FnOnce() + Send + 'static) -> Option<JoinHandle<()>> {
    // Sound here: coroutines of this crate keep no thread-local state across a point where they yield.
    unsafe { may::coroutine::Builder::new().spawn(run) }
        .map_err(|e| eprintln!("coroutine not started: {e}"))
        .ok()
}

pub fn sleep(ms: f64) {
    may::coroutine::sleep(Duration::from_secs_f64(ms.max(0.0) / 1_000.0));
}

pub fn within(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(1.0) / 1_000.0)
}

/// The head of an HTTP message and what was read beyond it. `None`: the connection ended before.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut bytes = [0; 2_048];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if buffer.len() > 16_384 {
            return Err(io::Error::other("endless header"));
        }
        match stream.read(&mut bytes)? {
            0 => return Ok(None),
            n => buffer.extend_from_slice(&bytes[..n]),
        }
    }
}

/// A header's value in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let line = head.lines().filter_map(|l| l.split_once(':')).find(|(n, _)| n.eq_ignore_ascii_case(name));
    line.map(|(_, v)| v.trim())
}

/// Reads a body of its stated length.
pub fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> io::Result<Vec<u8>> {
    let len = header(head, "Content-Length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
    let mut bytes = vec![0; 16_384];
    while buffer.len() < len {
        match stream.read(&mut bytes)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&bytes[..n]),
        }
    }
    Ok(buffer.drain(..len).collect())
}
