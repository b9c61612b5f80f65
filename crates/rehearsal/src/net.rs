//! Small things that the stand-ins' sockets share. The coroutine library's own timers are not used: it lost some of many
//! with unlike lengths, and a sleep of no length writes to its coroutine when that may be over already.
use may::coroutine::JoinHandle;
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Once, Weak};
use std::time::{Duration, Instant};

pub fn spawn(run: impl FnOnce() + Send + 'static) -> Option<JoinHandle<()>> {
    // Sound here: coroutines of this crate keep no thread-local state across a point where they yield.
    unsafe { may::coroutine::Builder::new().spawn(run) }
        .map_err(|e| eprintln!("coroutine not started: {e}"))
        .ok()
}

struct Sleeper {
    due: Instant,
    who: may::coroutine::Coroutine,
}

static SLEEPERS: Mutex<Vec<Sleeper>> = Mutex::new(Vec::new());
static WAKER: Once = Once::new();

/// Wakes sleepers that are due; each looks at the clock itself, so one woken early sleeps on.
fn wake() {
    std::thread::spawn(|| loop {
        std::thread::sleep(Duration::from_millis(1));
        let now = Instant::now();
        let mut due = Vec::new();
        SLEEPERS.lock().unwrap_or_else(|e| e.into_inner()).retain(|s| {
            if s.due <= now {
                due.push(s.who.clone());
            }
            s.due > now
        });
        due.iter().for_each(|who| who.unpark());
    });
}

/// Lets a coroutine sleep; one thread wakes all of them. Not by the library's timers, see above: sleeps here are of
/// thousands of unlike lengths.
pub fn sleep(ms: f64) {
    WAKER.call_once(wake);
    let due = Instant::now() + Duration::from_secs_f64(ms.max(0.0) / 1_000.0);
    let who = may::coroutine::current();
    SLEEPERS.lock().unwrap_or_else(|e| e.into_inner()).push(Sleeper { due, who });
    while Instant::now() < due {
        may::coroutine::park();
    }
}

/// A socket whose reads end at a stated time: one thread shuts what is due, for good.
pub struct TimedStream {
    pub stream: TcpStream,
    cut: Arc<Cut>,
}

struct Cut {
    socket: std::net::TcpStream,
    due: Mutex<Option<Instant>>,
    over: AtomicBool,
}

static CUTS: Mutex<Vec<Weak<Cut>>> = Mutex::new(Vec::new());
static WATCH: Once = Once::new();

fn watch() {
    std::thread::spawn(|| loop {
        std::thread::sleep(Duration::from_millis(2));
        let now = Instant::now();
        CUTS.lock().unwrap_or_else(|e| e.into_inner()).retain(|cut| {
            let Some(cut) = cut.upgrade() else { return false };
            let mut due = cut.due.lock().unwrap_or_else(|e| e.into_inner());
            if due.is_some_and(|t| t <= now) {
                *due = None;
                cut.over.store(true, Ordering::SeqCst);
                let _ = cut.socket.shutdown(Shutdown::Read);
            }
            true
        });
    });
}

impl TimedStream {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        WATCH.call_once(watch);
        let socket = stream.inner().try_clone()?;
        let cut = Arc::new(Cut { socket, due: Mutex::new(None), over: AtomicBool::new(false) });
        CUTS.lock().unwrap_or_else(|e| e.into_inner()).push(Arc::downgrade(&cut));
        Ok(TimedStream { stream, cut })
    }

    pub fn connect(to: &SocketAddr) -> io::Result<Self> {
        TimedStream::new(TcpStream::connect(to)?)
    }

    /// Reads fail from then on.
    pub fn set_read_timeout(&self, ms: f64) {
        let due = Instant::now() + Duration::from_secs_f64(ms.max(0.0) / 1_000.0);
        *self.cut.due.lock().unwrap_or_else(|e| e.into_inner()) = Some(due);
    }

    pub fn clear_read_timeout(&self) {
        *self.cut.due.lock().unwrap_or_else(|e| e.into_inner()) = None;
    }

    /// Whether something stands there unread.
    pub fn has_unread_data(&self) -> bool {
        let mut socket = self.stream.inner();
        matches!(socket.read(&mut [0; 16]), Ok(n) if n > 0)
    }
}

impl Read for TimedStream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let n = self.stream.read(buf)?;
        if self.cut.over.load(Ordering::SeqCst) {
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

/// The head of an HTTP message and what was read beyond it. `None`: the connection ended before.
pub fn read_head(stream: &mut impl Read, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
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
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let line = head.lines().filter_map(|l| l.split_once(':')).find(|(n, _)| n.eq_ignore_ascii_case(name));
    line.map(|(_, v)| v.trim())
}

/// Reads a body of its stated length.
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
