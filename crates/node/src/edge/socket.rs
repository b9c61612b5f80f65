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
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

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
}

/// A piece read from a connection that the hub has not handled yet.
pub(crate) struct Piece(Arc<Socket>);

impl Drop for Piece {
    fn drop(&mut self) {
        self.0.pieces.post();
    }
}

impl Socket {
    fn new(stream: TcpStream, gate: Option<Arc<Gate>>) -> io::Result<Self> {
        let pieces = Semphore::new(limits::PIECES);
        Ok(Socket { io: CoIo::new(Polled(stream.as_raw_fd()))?, stream, gate, pieces })
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
                    std::thread::sleep(std::time::Duration::from_millis(20));
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
    if !opening {
        return Ok(());
    }
    loop {
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
    loop {
        // A peer that sends without end waits for its own pieces here: it fills neither the hub's queue, nor the one
        // thread that all coroutines share.
        socket.pieces.wait();
        let piece = Piece(socket.clone());
        match (&socket.stream).read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => {
                let news = News::Bytes { conn, at: clock.now(), bytes: buffer[..n].to_vec(), piece };
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    /// A connection that hangs while it is opened: shutting it ends its coroutine, which frees the descriptor.
    #[test]
    fn a_connect_that_hangs_ends_when_it_is_shut() {
        let slow = socket2::Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        slow.bind(&SockAddr::from(SocketAddr::from(([127, 0, 0, 1], 0)))).unwrap();
        slow.listen(0).unwrap();
        let address = slow.local_addr().unwrap().as_socket().unwrap();
        let (hub, news) = crossbeam_channel::unbounded();
        // Those that find room come up; the first that does not hangs.
        let mut held = Vec::new();
        let hangs = (0..16).map(ConnId).find_map(|conn| {
            let socket = connect(conn, address, Clock::start(), &hub).unwrap();
            match news.recv_timeout(Duration::from_millis(300)) {
                Ok(News::Connected(_)) => {
                    held.push(socket);
                    None
                }
                _ => Some((conn, socket)),
            }
        });
        let (conn, socket) = hangs.expect("one that hangs");
        socket.shut();
        let weak = Arc::downgrade(&socket);
        drop(socket);
        match news.recv_timeout(Duration::from_secs(10)) {
            Ok(News::Closed { conn: c, .. }) => assert_eq!(c, conn),
            _ => panic!("its coroutine still waits"),
        }
        assert!(weak.upgrade().is_none(), "the descriptor is still held");
    }

    /// A peer sends without end and the hub handles none of it: another one is still heard.
    #[test]
    fn who_sends_without_end_has_few_pieces_in_the_queue() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (hub, news) = crossbeam_channel::bounded(limits::PIECES * 2);
        let flood = connect(ConnId(1), address, Clock::start(), &hub).unwrap();
        let (mut sends, _) = listener.accept().unwrap();
        let sender = std::thread::spawn(move || while sends.write_all(&[0; limits::PIECE]).is_ok() {});
        // What is handed over is kept, so that none of it counts as handled.
        let mut kept = Vec::new();
        let bytes = |kept: &mut Vec<News>| loop {
            match news.recv_timeout(Duration::from_secs(10)).expect("news") {
                more @ News::Bytes { conn, .. } => {
                    kept.push(more);
                    return conn.0;
                }
                _ => continue,
            }
        };
        (0..limits::PIECES).for_each(|_| assert_eq!(bytes(&mut kept), 1));
        let other = connect(ConnId(2), address, Clock::start(), &hub).unwrap();
        listener.accept().unwrap().0.write_all(b"x").unwrap();
        assert_eq!(bytes(&mut kept), 2);
        kept.clear();
        assert_eq!(bytes(&mut kept), 1, "read on once they are handled");
        [&flood, &other].iter().for_each(|s| s.shut());
        drop((kept, news));
        sender.join().unwrap();
    }

    /// Connections that end while others begin: each new one is read, whatever number its descriptor has.
    #[test]
    fn descriptors_used_again_are_still_polled() {
        const ROUNDS: usize = 3_000;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let clock = Clock::start();
        // Threads of their own end connections all the time, as viewers that go away do.
        let (ends, to_end) = crossbeam_channel::unbounded::<Arc<Socket>>();
        let closers: Vec<_> = (0..2)
            .map(|_| {
                let to_end = to_end.clone();
                std::thread::spawn(move || to_end.iter().for_each(drop))
            })
            .collect();
        let server = std::thread::spawn(move || {
            for stream in listener.incoming().take(ROUNDS) {
                let mut stream = stream.unwrap();
                let (mut asked, _) = ([0; 1], stream.set_nodelay(true));
                if stream.read_exact(&mut asked).is_ok() {
                    let _ = stream.write_all(&asked);
                }
            }
        });
        let (hub, news) = crossbeam_channel::unbounded();
        for n in 0..ROUNDS {
            let conn = ConnId(n as u64);
            let socket = connect(conn, address, clock, &hub).unwrap();
            let heard = |what: &str| loop {
                match news.recv_timeout(Duration::from_secs(5)) {
                    Ok(News::Connected(c)) if c == conn && what == "open" => return,
                    Ok(News::Bytes { conn: c, .. }) if c == conn && what == "bytes" => return,
                    Ok(_) => {}
                    Err(_) => panic!("round {n}: nothing heard ({what})"),
                }
            };
            heard("open");
            socket.write(b"x").unwrap();
            heard("bytes");
            socket.shut();
            ends.send(socket).unwrap();
        }
        drop(ends);
        closers.into_iter().for_each(|c| c.join().unwrap());
        server.join().unwrap();
    }
}
