//! Long answers of the list and of a catalogue's publisher, read as they come. HTTP/1.0, so that they come plain and not
//! in chunks. For threads of their own: reads wait.
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use walnutline_sessions::session_manager::Timeouts;

/// Longest header of an answer.
const HEADER: usize = 16 * 1024;
/// Bytes read at once.
const READ: usize = 256 * 1024;
/// How long one read waits, unless it is told otherwise.
const BEAT: Duration = Duration::from_millis(200);

/// An answer whose header was good.
pub struct ResponseBody {
    stream: TcpStream,
    pub buffer: Vec<u8>,
    /// What came with the header.
    first: Vec<u8>,
    /// How long one read waits, when anything was last heard, and for how long that may be ago.
    wait: Duration,
    heard: Instant,
    silence: Duration,
}

impl ResponseBody {
    /// Asks; `header`: further lines of it. Returns once the header of a good answer is read.
    pub fn open(at: SocketAddr, path: &str, header: &str, waits: Timeouts) -> io::Result<ResponseBody> {
        let within = |ms: f64| Duration::from_secs_f64(ms / 1_000.0);
        let mut stream = TcpStream::connect_timeout(&at, within(waits.connect))?;
        stream.set_read_timeout(Some(within(waits.max_silence)))?;
        stream.set_write_timeout(Some(within(waits.max_silence)))?;
        stream.write_all(format!("GET {path} HTTP/1.0\r\nHost: {at}\r\n{header}\r\n").as_bytes())?;
        let (mut bytes, mut head) = (vec![0; READ + HEADER], Vec::new());
        let end = loop {
            let n = stream.read(&mut bytes[..READ])?;
            if n == 0 || head.len() > HEADER {
                return Err(io::Error::other("no whole header"));
            }
            head.extend_from_slice(&bytes[..n]);
            if let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") {
                break end + 4;
            }
        };
        if !head.starts_with(b"HTTP/1.") || head.get(9..12) != Some(b"200") {
            let first = String::from_utf8_lossy(&head[..head.len().min(60)]).into_owned();
            return Err(io::Error::other(format!("answered {:?}", first.lines().next().unwrap_or(""))));
        }
        let mut body = ResponseBody {
            stream,
            buffer: bytes,
            first: head.split_off(end),
            wait: Duration::ZERO,
            heard: Instant::now(),
            silence: within(waits.max_silence),
        };
        body.set_read_timeout(BEAT)?;
        Ok(body)
    }

    /// How long one read waits.
    pub fn set_read_timeout(&mut self, wait: Duration) -> io::Result<()> {
        if self.wait != wait {
            self.stream.set_read_timeout(Some(wait))?;
            self.wait = wait;
        }
        Ok(())
    }

    /// Reads what comes next into `bytes`; an error also where nothing was heard for too long.
    pub fn read(&mut self) -> io::Result<BodyRead> {
        if !self.first.is_empty() {
            let n = self.first.len();
            self.buffer[..n].copy_from_slice(&self.first);
            self.first.clear();
            return Ok(BodyRead::Data(n));
        }
        match self.stream.read(&mut self.buffer) {
            Ok(0) => Ok(BodyRead::End),
            Ok(n) => {
                self.heard = Instant::now();
                Ok(BodyRead::Data(n))
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if self.heard.elapsed() > self.silence {
                    return Err(e);
                }
                Ok(BodyRead::Idle)
            }
            Err(e) => Err(e),
        }
    }
}

/// What a read brought.
pub enum BodyRead {
    /// So many, at the beginning of [`Body::bytes`].
    Data(usize),
    /// Nothing came within the time of one read.
    Idle,
    End,
}
