//! One descriptor and one coroutine a connection. The coroutine reads; the hub writes to the same socket without
//! waiting and shuts it.
use super::{Clock, News};
use crate::exchange::{ConnId, End};
use crate::limits;
use crossbeam_channel::Sender;
use may::io::{CoIo, WaitIo};
use may::sync::Semphore;
use socket2::{Domain, Protocol, SockAddr, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Names a descriptor to the poller without owning it.
#[derive(Debug)]
struct Polled(RawFd);

impl AsRawFd for Polled {
    fn as_raw_fd(&self) -> RawFd {
        self.0
    }
}

/// The order of the fields counts: the poller lets go of the descriptor before it is closed. The other way round,
/// as in a `CoIo` of the stream itself, the number may by then be that of a new connection, which the poller
/// would forget: nothing would ever be read from it.
pub(crate) struct Socket {
    io: CoIo<Polled>,
    stream: TcpStream,
    /// The gate that this connection came in by.
    gate: Option<Arc<Gate>>,
    /// Pieces that may still be read before the hub has handled earlier ones.
    pieces: Semphore,
    /// Pieces being read, or read and not handled.
    unheard: AtomicUsize,
    /// The reader came to its end.
    ended: AtomicBool,
    /// It is to come to its end, whatever it waits for.
    shut: AtomicBool,
}

/// What is known of a peer at this instant, whatever waits in queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peer {
    /// There, and all that it sent has been heard.
    Quiet,
    /// Something that it sent is not heard yet.
    Unheard,
    /// It has closed, or its connection broke.
    Gone,
}

/// A piece read from a connection that the hub has not handled yet.
pub(crate) struct Piece(Arc<Socket>);

impl Piece {
    fn new(socket: &Arc<Socket>) -> Piece {
        socket.pieces.wait();
        socket.unheard.fetch_add(1, Ordering::SeqCst);
        Piece(socket.clone())
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.0.unheard.fetch_sub(1, Ordering::SeqCst);
        self.0.pieces.post();
    }
}

impl Socket {
    fn new(stream: TcpStream, gate: Option<Arc<Gate>>) -> io::Result<Self> {
        let pieces = Semphore::new(limits::PIECES);
        let io = CoIo::new(Polled(stream.as_raw_fd()))?;
        let (unheard, ended, shut) = (AtomicUsize::new(0), AtomicBool::new(false), AtomicBool::new(false));
        Ok(Socket { io, stream, gate, pieces, unheard, ended, shut })
    }

    /// What the peer has done by now. Its end may be known to the kernel long before it comes up in a queue.
    pub fn peer(&self) -> Peer {
        let unheard = || self.unheard.load(Ordering::SeqCst) > 0;
        if unheard() {
            return Peer::Unheard;
        }
        if self.ended.load(Ordering::SeqCst) {
            return Peer::Gone;
        }
        match self.stream.peek(&mut [0; 1]) {
            Ok(0) => Peer::Gone,
            Ok(_) => Peer::Unheard,
            // Its reader may have taken something since the first look.
            Err(e) if e.kind() == ErrorKind::WouldBlock && !unheard() => Peer::Quiet,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Peer::Unheard,
            Err(_) => Peer::Gone,
        }
    }

    /// Whether it came in by the gate.
    pub fn is_viewers(&self) -> bool {
        self.gate.is_some()
    }

    /// Writes what the socket takes now.
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match (&self.stream).write(bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(0),
                done => return done,
            }
        }
    }

    pub fn shut(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
        self.wake();
    }

    /// Ends the reader. A connection that is being opened need not tell of its shutdown: its reader would
    /// wait for ever and hold the descriptor.
    fn wake(&self) {
        self.shut.store(true, Ordering::SeqCst);
        self.io.waker().wakeup();
    }

    fn is_shut(&self) -> bool {
        self.shut.load(Ordering::SeqCst)
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
        Gate { most: most + limits::VIEWERS_OVER, open: AtomicUsize::new(0), waiting: Mutex::new(None) }
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
pub(crate) fn accept(listener: TcpListener, hub: Sender<News>, gate: Arc<Gate>) -> io::Result<()> {
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
                    // Not the thread, which all coroutines share: those that end give descriptors back.
                    may::coroutine::sleep(Duration::from_millis(20));
                    break None;
                }
            }
        };
        let socket = stream.and_then(|s| {
            let _ = s.set_nodelay(true);
            Socket::new(s, Some(gate.clone())).ok()
        });
        match socket {
            Some(socket) => {
                if hub.send(News::Accepted(Arc::new(socket))).is_err() {
                    return;
                }
            }
            None => gate.left(),
        }
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
    let socket = Arc::new(Socket::new(socket.into(), None)?);
    match serve(conn, socket.clone(), true, clock, hub.clone()) {
        true => Ok(socket),
        false => Err(ErrorKind::OutOfMemory.into()),
    }
}

/// Reads a connection to its end, and tells it; whether that could be begun.
pub(crate) fn serve(
    conn: ConnId,
    socket: Arc<Socket>,
    opening: bool,
    clock: Clock,
    hub: Sender<News>,
) -> bool {
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
        // Told at once to whoever looks: what is sent may wait behind others.
        socket.ended.store(true, Ordering::SeqCst);
        drop(socket);
        let _ = hub.send(News::Closed { conn, end });
    };
    spawn(run)
}

fn opened(socket: &Socket, opening: bool) -> io::Result<()> {
    if !opening {
        return Ok(());
    }
    loop {
        if socket.is_shut() {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        if let Some(e) = socket.stream.take_error()? {
            return Err(e);
        }
        match socket.stream.peer_addr() {
            Ok(_) => return Ok(()),
            Err(e) if e.kind() == ErrorKind::NotConnected => {
                socket.io.wait_io();
            }
            Err(e) => return Err(e),
        }
    }
}

fn read(conn: ConnId, socket: &Arc<Socket>, clock: Clock, hub: &Sender<News>) {
    let mut buffer = [0; limits::PIECE];
    while !socket.is_shut() {
        // A peer that sends without end waits for its own pieces here: it fills neither the hub's queue, nor the one
        // thread that all coroutines share.
        let piece = Piece::new(socket);
        match (&socket.stream).read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => {
                let news = News::Bytes { conn, at: clock.now(), bytes: buffer[..n].to_vec(), piece };
                if hub.send(news).is_err() {
                    return;
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                drop(piece);
                socket.io.wait_io();
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}

#[cfg(test)]
mod tests;
