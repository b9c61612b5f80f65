//! Coroutines, time-outs and HTTP reading for the sockets of the stand-ins.
//!
//! The timers of the coroutine library are not used: with many sleeps of different lengths some were lost, and a sleep of
//! length zero may write to its coroutine after that has ended. One thread wakes up all sleeping coroutines instead.
use may::coroutine::JoinHandle;
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Once, Weak};
use std::time::{Duration, Instant};

/// Starts a coroutine; `None`, with a message on standard error, if that fails.
pub fn spawn(run: impl FnOnce() + Send + 'static) -> Option<JoinHandle<()>> {
    // SAFETY: coroutines of this crate keep no thread-local state across a point where they yield.
    unsafe { may::coroutine::Builder::new().spawn(run) }
        .map_err(|e| eprintln!("coroutine not started: {e}"))
        .ok()
}

/// A coroutine that sleeps until a time.
struct Sleeper {
    wakeup_at: Instant,
    coroutine: may::coroutine::Coroutine,
}

static SLEEPERS: Mutex<Vec<Sleeper>> = Mutex::new(Vec::new());
static SLEEPER_THREAD: Once = Once::new();

/// Starts the thread that wakes up sleeping coroutines. Each checks the clock itself, so that one woken up early sleeps
/// on.
fn start_sleeper_thread() {
    std::thread::spawn(|| loop {
        std::thread::sleep(Duration::from_millis(1));
        let now = Instant::now();
        let mut due = Vec::new();
        SLEEPERS.lock().unwrap_or_else(|e| e.into_inner()).retain(|s| {
            if s.wakeup_at <= now {
                due.push(s.coroutine.clone());
            }
            s.wakeup_at > now
        });
        due.iter().for_each(|coroutine| coroutine.unpark());
    });
}

/// Lets the current coroutine sleep.
pub fn sleep(ms: f64) {
    SLEEPER_THREAD.call_once(start_sleeper_thread);
    let wakeup_at = Instant::now() + Duration::from_secs_f64(ms.max(0.0) / 1_000.0);
    let coroutine = may::coroutine::current();
    SLEEPERS.lock().unwrap_or_else(|e| e.into_inner()).push(Sleeper { wakeup_at, coroutine });
    while Instant::now() < wakeup_at {
        may::coroutine::park();
    }
}

/// A socket with a read time-out: when it expires, a thread shuts down the reading side permanently.
pub struct TimedStream {
    pub stream: TcpStream,
    timeout: Arc<ReadTimeout>,
}

struct ReadTimeout {
    socket: std::net::TcpStream,
    expires_at: Mutex<Option<Instant>>,
    expired: AtomicBool,
}

static READ_TIMEOUTS: Mutex<Vec<Weak<ReadTimeout>>> = Mutex::new(Vec::new());
static TIMEOUT_THREAD: Once = Once::new();

/// Starts the thread that shuts down sockets whose time-out has expired.
fn start_timeout_thread() {
    std::thread::spawn(|| loop {
        std::thread::sleep(Duration::from_millis(2));
        let now = Instant::now();
        READ_TIMEOUTS.lock().unwrap_or_else(|e| e.into_inner()).retain(|timeout| {
            let Some(timeout) = timeout.upgrade() else { return false };
            let mut expires_at = timeout.expires_at.lock().unwrap_or_else(|e| e.into_inner());
            if expires_at.is_some_and(|t| t <= now) {
                *expires_at = None;
                timeout.expired.store(true, Ordering::SeqCst);
                let _ = timeout.socket.shutdown(Shutdown::Read);
            }
            true
        });
    });
}

impl TimedStream {
    /// A stream without a time-out.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        TIMEOUT_THREAD.call_once(start_timeout_thread);
        let socket = stream.inner().try_clone()?;
        let timeout =
            Arc::new(ReadTimeout { socket, expires_at: Mutex::new(None), expired: AtomicBool::new(false) });
        READ_TIMEOUTS.lock().unwrap_or_else(|e| e.into_inner()).push(Arc::downgrade(&timeout));
        Ok(TimedStream { stream, timeout })
    }

    /// Connects to an address.
    pub fn connect(address: &SocketAddr) -> io::Result<Self> {
        TimedStream::new(TcpStream::connect(address)?)
    }

    /// Lets all reads fail from this time on, unless the time-out is cleared or set anew before.
    pub fn set_read_timeout(&self, ms: f64) {
        let expires_at = Instant::now() + Duration::from_secs_f64(ms.max(0.0) / 1_000.0);
        *self.timeout.expires_at.lock().unwrap_or_else(|e| e.into_inner()) = Some(expires_at);
    }

    /// Removes the time-out.
    pub fn clear_read_timeout(&self) {
        *self.timeout.expires_at.lock().unwrap_or_else(|e| e.into_inner()) = None;
    }

    /// Whether received data has not been read yet.
    pub fn has_unread_data(&self) -> bool {
        let mut socket = self.stream.inner();
        matches!(socket.read(&mut [0; 16]), Ok(n) if n > 0)
    }
}

impl Read for TimedStream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let n = self.stream.read(buf)?;
        if self.timeout.expired.load(Ordering::SeqCst) {
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(n)
    }
}

impl Write for TimedStream {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.stream.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

/// Reads the head of an HTTP message; what was received beyond it stays in `buffer`. `None` if the connection ended
/// before.
pub fn read_head(stream: &mut impl Read, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut bytes = [0; 2_048];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if buffer.len() > 16_384 {
            return Err(io::Error::other("HTTP header longer than 16384 bytes"));
        }
        match stream.read(&mut bytes)? {
            0 => return Ok(None),
            n => buffer.extend_from_slice(&bytes[..n]),
        }
    }
}

/// The value of a header field.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let line = head.lines().filter_map(|l| l.split_once(':')).find(|(n, _)| n.eq_ignore_ascii_case(name));
    line.map(|(_, v)| v.trim())
}

/// Reads the body of an HTTP message, of the length given by `Content-Length`.
pub fn read_body(stream: &mut impl Read, buffer: &mut Vec<u8>, head: &str) -> io::Result<Vec<u8>> {
    let len = header_value(head, "Content-Length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
    let mut bytes = vec![0; 16_384];
    while buffer.len() < len {
        match stream.read(&mut bytes)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&bytes[..n]),
        }
    }
    Ok(buffer.drain(..len).collect())
}
