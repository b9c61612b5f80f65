//! A non-blocking TCP connection with a write backlog, made for edge-triggered polling by the hub.
use crate::actions::ConnectionEnd;
use crate::limits;
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, SockAddr, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use walnutline::ids::Ms;

/// Who is at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerRole {
    Viewer,
    Server,
}

/// One TCP connection to a viewer or a server.
pub(crate) struct Socket {
    pub stream: TcpStream,
    pub peer_role: PeerRole,
    /// The connection has not been established yet.
    pub connecting: bool,
    /// When the connection was put into the hub's read queue, if it is there.
    pub queued_at: Option<Ms>,
    /// Bytes read so far.
    pub bytes_read: u64,
    /// A write failed or the backlog overflowed. The connection ends once everything that was received has
    /// been read.
    broken: bool,
    /// Bytes that the kernel has not accepted yet.
    backlog: Vec<u8>,
}

/// State of the peer as the kernel knows it at this instant, ahead of what has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerState {
    /// Connected, and everything that it sent has been read.
    Idle,
    /// Something that it sent has not been read yet.
    UnreadData,
    /// It has closed, or the connection broke.
    Closed,
}

/// Result of one read.
pub(crate) enum ReadResult {
    /// Number of bytes read.
    Bytes(usize),
    WouldBlock,
    Ended(ConnectionEnd),
}

impl Socket {
    /// Wraps a connection that a viewer opened.
    pub fn from_accepted(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true);
        Socket::new(stream, PeerRole::Viewer)
    }

    fn new(stream: TcpStream, peer_role: PeerRole) -> Socket {
        let connecting = peer_role == PeerRole::Server;
        Socket {
            stream,
            peer_role,
            connecting,
            queued_at: None,
            bytes_read: 0,
            broken: false,
            backlog: Vec::new(),
        }
    }

    /// Starts to open a connection to a server, without waiting for it.
    pub fn connect(address: SocketAddr) -> io::Result<Socket> {
        let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        let _ = socket.set_tcp_nodelay(true);
        match socket.connect(&SockAddr::from(address)) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Ok(Socket::new(TcpStream::from_std(socket.into()), PeerRole::Server))
    }

    /// Returns whether the connection has been established by now, or the error that it failed with.
    pub fn check_connected(&mut self) -> io::Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => self.connecting = false,
            Err(e) if e.kind() == ErrorKind::NotConnected => {}
            Err(e) => return Err(e),
        }
        Ok(!self.connecting)
    }

    /// Reads what is available into `buffer`.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadResult {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return ReadResult::Ended(ConnectionEnd::Closed),
                Ok(n) => {
                    self.bytes_read += n as u64;
                    return ReadResult::Bytes(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && !self.broken => {
                    return ReadResult::WouldBlock;
                }
                Err(_) => return ReadResult::Ended(ConnectionEnd::Closed),
            }
        }
    }

    /// Peeks at the connection: the kernel may know of data or of a close that has not been read yet.
    pub fn peer_state(&self) -> PeerState {
        loop {
            match self.stream.peek(&mut [0; 1]) {
                Ok(0) => return PeerState::Closed,
                Ok(_) => return PeerState::UnreadData,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && !self.broken => return PeerState::Idle,
                Err(_) => return PeerState::Closed,
            }
        }
    }

    /// Bytes that have been received and not read yet.
    pub fn unread_len(&self) -> u64 {
        rustix::io::ioctl_fionread(&self.stream).unwrap_or(0)
    }

    /// Writes `bytes` after the backlog and returns whether the connection is still usable. A connection that
    /// broke, or whose backlog exceeds its limit, is shut down; reading then reports its end.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        let written = if self.backlog.is_empty() { self.try_write(bytes) } else { Ok(0) };
        match written {
            Ok(n) if self.backlog.len() + bytes.len() - n <= limits::MAX_BACKLOG_BYTES => {
                self.backlog.extend_from_slice(&bytes[n..]);
            }
            _ => self.abort(),
        }
        !self.broken
    }

    /// Writes the backlog as far as the kernel accepts it and returns whether the connection is still usable.
    pub fn flush_backlog(&mut self) -> bool {
        let backlog = std::mem::take(&mut self.backlog);
        match self.try_write(&backlog) {
            Ok(n) => self.backlog = backlog[n..].to_vec(),
            Err(_) => self.abort(),
        }
        !self.broken
    }

    /// Returns whether bytes are waiting to be written.
    pub fn has_backlog(&self) -> bool {
        !self.backlog.is_empty()
    }

    /// Returns how many bytes the kernel accepted.
    fn try_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.stream.write(bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(0),
                result => return result,
            }
        }
    }

    fn abort(&mut self) {
        self.shutdown(Shutdown::Both);
        self.broken = true;
        self.backlog = Vec::new();
    }

    /// Shuts down one or both directions. Errors are ignored: the connection may have ended already.
    pub fn shutdown(&self, how: Shutdown) {
        let _ = self.stream.shutdown(how);
    }
}

/// Opens a non-blocking listener with address reuse.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(1024)?;
    Ok(TcpListener::from_std(socket.into()))
}
