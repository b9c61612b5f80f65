//! A TCP connection as the hub holds it: read and written without waiting, polled by edges.
use crate::actions::ConnectionEnd;
use crate::limits;
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, SockAddr, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// Whose connection it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Viewer,
    Server,
}

pub(crate) struct Socket {
    pub stream: TcpStream,
    pub side: Side,
    /// It has not come up yet.
    pub opening: bool,
    /// It is among those that are to be read.
    pub queued: bool,
    /// Writing failed: it is over once what it still holds has been read.
    broken: bool,
    /// What the socket has not taken yet.
    backlog: Vec<u8>,
}

/// What is known of a peer at this instant, whatever was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peer {
    /// There, and all that it sent has been heard.
    Quiet,
    /// Something that it sent is not heard yet.
    Unheard,
    /// It has closed, or its connection broke.
    Gone,
}

/// What one read brought.
pub(crate) enum Heard {
    Bytes(usize),
    Nothing,
    End(ConnectionEnd),
}

impl Socket {
    pub fn accepted(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true);
        Socket::new(stream, Side::Viewer)
    }

    fn new(stream: TcpStream, side: Side) -> Socket {
        let opening = side == Side::Server;
        Socket { stream, side, opening, queued: false, broken: false, backlog: Vec::new() }
    }

    /// Begins to open a connection to a server.
    pub fn connect(address: SocketAddr) -> io::Result<Socket> {
        let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        let _ = socket.set_tcp_nodelay(true);
        match socket.connect(&SockAddr::from(address)) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Ok(Socket::new(TcpStream::from_std(socket.into()), Side::Server))
    }

    /// Whether it has come up by now.
    pub fn came_up(&mut self) -> io::Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => self.opening = false,
            Err(e) if e.kind() == ErrorKind::NotConnected => {}
            Err(e) => return Err(e),
        }
        Ok(!self.opening)
    }

    pub fn read(&mut self, buffer: &mut [u8]) -> Heard {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return Heard::End(ConnectionEnd::Closed),
                Ok(n) => return Heard::Bytes(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && !self.broken => return Heard::Nothing,
                Err(_) => return Heard::End(ConnectionEnd::Closed),
            }
        }
    }

    /// What the peer has done by now. Its end may be known to the kernel before it is read.
    pub fn peer(&self) -> Peer {
        loop {
            match self.stream.peek(&mut [0; 1]) {
                Ok(0) => return Peer::Gone,
                Ok(_) => return Peer::Unheard,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && !self.broken => return Peer::Quiet,
                Err(_) => return Peer::Gone,
            }
        }
    }

    /// Writes after what waits already; whether the connection still serves. One whose peer does not read, or that
    /// broke, is shut: its end is read like any other.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        let taken = if self.backlog.is_empty() { self.take(bytes) } else { Ok(0) };
        match taken {
            Ok(n) if self.backlog.len() + bytes.len() - n <= limits::MAX_BACKLOG_BYTES => {
                self.backlog.extend_from_slice(&bytes[n..]);
            }
            _ => self.breaks(),
        }
        !self.broken
    }

    /// Writes what waits; whether the connection still serves.
    pub fn catch_up(&mut self) -> bool {
        let backlog = std::mem::take(&mut self.backlog);
        match self.take(&backlog) {
            Ok(n) => self.backlog = backlog[n..].to_vec(),
            Err(_) => self.breaks(),
        }
        !self.broken
    }

    pub fn is_behind(&self) -> bool {
        !self.backlog.is_empty()
    }

    fn take(&mut self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.stream.write(bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(0),
                done => return done,
            }
        }
    }

    fn breaks(&mut self) {
        self.shut(Shutdown::Both);
        self.broken = true;
        self.backlog = Vec::new();
    }

    pub fn shut(&self, how: Shutdown) {
        let _ = self.stream.shutdown(how);
    }
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(1024)?;
    Ok(TcpListener::from_std(socket.into()))
}
