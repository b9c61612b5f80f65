//! A client for long responses, which are read as they arrive: the list of boxes and the catalogue.
//!
//! It speaks HTTP/1.0, so that responses are not chunked. Reads block, so it is for threads and not for coroutines.
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use walnutline_sessions::session_manager::Timeouts;

/// Maximum size of a response's header.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Maximum number of bytes of one read of the header.
const READ_BYTES: usize = 256 * 1024;
/// Time-out of one read of the body, unless [`ResponseBody::set_read_timeout`] changes it.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// The body of a successful response.
pub struct ResponseBody {
    stream: TcpStream,
    /// What the last read returned is at its start.
    pub buffer: Vec<u8>,
    /// Bytes of the body that were received with the header.
    unread: Vec<u8>,
    read_timeout: Duration,
    last_received_at: Instant,
    /// The body is given up when nothing is received for this long.
    max_silence: Duration,
}

impl ResponseBody {
    /// Sends a GET request and reads the response's header; any status but 200 is an error. `headers` are additional
    /// header lines, each with its line end.
    pub fn open(
        address: SocketAddr,
        path: &str,
        headers: &str,
        timeouts: Timeouts,
    ) -> io::Result<ResponseBody> {
        let duration = |ms: f64| Duration::from_secs_f64(ms / 1_000.0);
        let mut stream = TcpStream::connect_timeout(&address, duration(timeouts.connect))?;
        stream.set_read_timeout(Some(duration(timeouts.max_silence)))?;
        stream.set_write_timeout(Some(duration(timeouts.max_silence)))?;
        stream.write_all(format!("GET {path} HTTP/1.0\r\nHost: {address}\r\n{headers}\r\n").as_bytes())?;
        // The buffer has room for everything that can be received with the header.
        let (mut bytes, mut header) = (vec![0; READ_BYTES + MAX_HEADER_BYTES], Vec::new());
        let body_start = loop {
            let n = stream.read(&mut bytes[..READ_BYTES])?;
            if n == 0 || header.len() > MAX_HEADER_BYTES {
                return Err(io::Error::other("incomplete or oversized response header"));
            }
            header.extend_from_slice(&bytes[..n]);
            if let Some(header_end) = header.windows(4).position(|w| w == b"\r\n\r\n") {
                break header_end + 4;
            }
        };
        if !header.starts_with(b"HTTP/1.") || header.get(9..12) != Some(b"200") {
            let start = String::from_utf8_lossy(&header[..header.len().min(60)]).into_owned();
            return Err(io::Error::other(format!("answered {:?}", start.lines().next().unwrap_or(""))));
        }
        let mut body = ResponseBody {
            stream,
            buffer: bytes,
            unread: header.split_off(body_start),
            read_timeout: Duration::ZERO,
            last_received_at: Instant::now(),
            max_silence: duration(timeouts.max_silence),
        };
        body.set_read_timeout(DEFAULT_READ_TIMEOUT)?;
        Ok(body)
    }

    /// Sets the time-out of one read.
    pub fn set_read_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        if self.read_timeout != timeout {
            self.stream.set_read_timeout(Some(timeout))?;
            self.read_timeout = timeout;
        }
        Ok(())
    }

    /// Reads the next bytes into [`Self::buffer`]. Silence for longer than [`Timeouts::max_silence`] is an error.
    pub fn read(&mut self) -> io::Result<BodyRead> {
        if !self.unread.is_empty() {
            let n = self.unread.len();
            self.buffer[..n].copy_from_slice(&self.unread);
            self.unread.clear();
            return Ok(BodyRead::Data(n));
        }
        match self.stream.read(&mut self.buffer) {
            Ok(0) => Ok(BodyRead::End),
            Ok(n) => {
                self.last_received_at = Instant::now();
                Ok(BodyRead::Data(n))
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if self.last_received_at.elapsed() > self.max_silence {
                    return Err(e);
                }
                Ok(BodyRead::Idle)
            }
            Err(e) => Err(e),
        }
    }
}

/// Outcome of a read.
pub enum BodyRead {
    /// This many bytes were read; they are at the start of [`ResponseBody::buffer`].
    Data(usize),
    /// Nothing was received within the time-out of one read.
    Idle,
    /// The server closed the connection, which in HTTP/1.0 ends the body.
    End,
}
