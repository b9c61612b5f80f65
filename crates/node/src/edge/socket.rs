//! One descriptor and one coroutine a connection. The coroutine reads; the hub writes to the same socket without
//! waiting and shuts it.
use super::{Clock, News};
use crate::exchange::{ConnId, End};
use crate::limits;
use crossbeam_channel::Sender;
use may::io::{CoIo, WaitIo};
use socket2::{Domain, Protocol, SockAddr, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

pub(crate) struct Socket {
    io: CoIo<TcpStream>,
    /// The gate that this connection came in by.
    gate: Option<Arc<Gate>>,
}

impl Socket {
    /// Writes what the socket takes now.
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.io.inner().write(bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(0),
                done => return done,
            }
        }
    }

    pub fn shut(&self) {
        let _ = self.io.inner().shutdown(Shutdown::Both);
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if let Some(gate) = &self.gate {
            gate.left();
        }
    }
}

/// Counts viewers' connections, and stops accepting while as many are open as there is room for.
pub(crate) struct Gate {
    most: usize,
    open: AtomicUsize,
    waiting: Mutex<Option<may::coroutine::Coroutine>>,
}

impl Gate {
    /// A few more than the core holds: it closes one for each that comes in beyond.
    pub fn new(most: usize) -> Self {
        Gate { most: most + 4, open: AtomicUsize::new(0), waiting: Mutex::new(None) }
    }

    fn left(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
        if let Some(waiting) = self.waiting.lock().unwrap_or_else(|e| e.into_inner()).take() {
            waiting.unpark();
        }
    }

    fn enter(&self) {
        while self.open.load(Ordering::SeqCst) >= self.most {
            *self.waiting.lock().unwrap_or_else(|e| e.into_inner()) = Some(may::coroutine::current());
            if self.open.load(Ordering::SeqCst) >= self.most {
                may::coroutine::park();
            }
        }
        self.open.fetch_add(1, Ordering::SeqCst);
    }
}

/// Starts a coroutine; one that can't be started is logged.
fn spawn(run: impl FnOnce() + Send + 'static) -> bool {
    // Sound here: coroutines of this crate keep no thread-local state across a point where they yield.
    match unsafe { may::coroutine::Builder::new().spawn(run) } {
        Ok(_) => true,
        Err(e) => {
            tracing::error!("coroutine not started: {e}");
            false
        }
    }
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// Takes viewers' connections in.
pub(crate) fn accept(
    listener: TcpListener,
    clock: Clock,
    hub: Sender<News>,
    gate: Arc<Gate>,
) -> io::Result<()> {
    let listener = CoIo::new(listener)?;
    let run = move || loop {
        gate.enter();
        let stream = loop {
            match listener.inner().accept() {
                Ok((stream, _)) => break Some(stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    listener.wait_io();
                }
                // One that was closed before it was taken, or no descriptor for it: the next call waits for more.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted || e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    std::thread::sleep(std::time::Duration::from_millis(20));
                    break None;
                }
            }
        };
        let socket = stream.and_then(|s| {
            let _ = s.set_nodelay(true);
            CoIo::new(s).ok()
        });
        match socket {
            Some(io) => {
                let socket = Arc::new(Socket { io, gate: Some(gate.clone()) });
                if hub.send(News::Accepted(socket)).is_err() {
                    return;
                }
            }
            None => gate.left(),
        }
        let _ = clock;
    };
    spawn(run);
    Ok(())
}

/// Begins to open a connection; whether it comes up is told by its coroutine.
pub(crate) fn connect(
    conn: ConnId,
    address: SocketAddr,
    clock: Clock,
    hub: &Sender<News>,
) -> io::Result<Arc<Socket>> {
    let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_tcp_nodelay(true);
    match socket.connect(&SockAddr::from(address)) {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
        Err(e) => return Err(e),
    }
    let socket = Arc::new(Socket { io: CoIo::new(socket.into())?, gate: None });
    serve(conn, socket.clone(), true, clock, hub.clone());
    Ok(socket)
}

/// Reads a connection to its end.
pub(crate) fn serve(conn: ConnId, socket: Arc<Socket>, opening: bool, clock: Clock, hub: Sender<News>) {
    let to_hub = hub.clone();
    let run = move || {
        let end = match opened(&socket, opening) {
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => End::Refused,
            Err(_) => End::Closed,
            Ok(()) => {
                if opening && hub.send(News::Connected(conn)).is_err() {
                    return;
                }
                read(conn, &socket, clock, &hub);
                End::Closed
            }
        };
        drop(socket);
        let _ = hub.send(News::Closed { conn, end });
    };
    if !spawn(run) {
        let _ = to_hub.try_send(News::Closed { conn, end: End::Closed });
    }
}

fn opened(socket: &Socket, opening: bool) -> io::Result<()> {
    while opening {
        if let Some(e) = socket.io.inner().take_error()? {
            return Err(e);
        }
        match socket.io.inner().peer_addr() {
            Ok(_) => break,
            Err(e) if e.kind() == ErrorKind::NotConnected => {
                socket.io.wait_io();
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

fn read(conn: ConnId, socket: &Socket, clock: Clock, hub: &Sender<News>) {
    let mut buffer = [0; limits::PIECE];
    loop {
        match socket.io.inner().read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => {
                let news = News::Bytes { conn, at: clock.now(), bytes: buffer[..n].to_vec() };
                if hub.send(news).is_err() {
                    return;
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                socket.io.wait_io();
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
