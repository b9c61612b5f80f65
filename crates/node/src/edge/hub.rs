//! The one thread that owns the core and all sockets: it polls them, tells the core what came in, and does at once
//! what the core says to it.
use super::socket::{Heard, Peer, Side, Socket};
use super::{Clock, News};
use crate::actions::{ConnectionEnd, ConnectionId, IoAction};
use crate::core::Node;
use crate::limits;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc::Receiver;
use std::time::Duration;
use walnutline::ids::{Ms, SessionId};
use walnutline_platform::{discovery, peers};

/// How soon bytes that a socket did not take, or a SETUP that is held back, are tried again, in milliseconds.
const AGAIN: Ms = 10.0;
/// How long no connection is taken in once there was no descriptor for one.
const REFUSED: Ms = 20.0;
/// Connections taken in, and datagrams heard of each kind, before others have their turn.
const TURN: usize = 64;
/// Events that one poll may tell.
const EVENTS: usize = 256;

// Connections are polled under their own numbers, which count from one.
pub(super) const SIGNALS: Token = Token(usize::MAX);
const LISTENER: Token = Token(usize::MAX - 1);
const NAMES: Token = Token(usize::MAX - 2);
const PEERS: Token = Token(usize::MAX - 3);

/// A SETUP that is held back while something of its viewer is unheard.
struct Held {
    id: SessionId,
    no: u32,
    since: Ms,
}

/// What comes in by datagrams.
struct Datagrams {
    socket: UdpSocket,
    buffer: Vec<u8>,
    /// There may be more to hear.
    queued: bool,
}

impl Datagrams {
    fn new(poll: &Poll, mut socket: UdpSocket, token: Token, longest: usize) -> io::Result<Self> {
        poll.registry().register(&mut socket, token, Interest::READABLE)?;
        Ok(Datagrams { socket, buffer: vec![0; longest], queued: true })
    }

    /// The next one. Errors of a socket without a connection tell of earlier sends and are passed over.
    fn next(&mut self) -> Option<(SocketAddr, &[u8])> {
        for _ in 0..TURN {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((n, from)) => return Some((from, &self.buffer[..n])),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {}
            }
        }
        self.queued = false;
        None
    }
}

pub(super) struct Hub {
    node: Node,
    clock: Clock,
    poll: Poll,
    listener: TcpListener,
    names: Datagrams,
    peers: Option<Datagrams>,
    open: HashMap<ConnectionId, Socket>,
    /// How many of them are viewers', and may be at most: a few more than the core holds, which closes one for each
    /// that comes in beyond.
    viewers: usize,
    most_viewers: usize,
    /// There may be connections to take in, and from when on.
    coming: bool,
    coming_from: Ms,
    /// Connections that may hold something to read.
    unread: VecDeque<ConnectionId>,
    /// Connections with a backlog.
    behind: Vec<ConnectionId>,
    held: Vec<Held>,
    /// When the last poll told what came in.
    woke: Ms,
    /// The core has said that the process may end, or must.
    exit: Option<bool>,
}

/// Without its hub a node takes requests and answers none: better that the process ends.
struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!("the hub broke; the node ends");
            std::process::abort();
        }
    }
}

impl Hub {
    pub fn new(
        node: Node,
        clock: Clock,
        poll: Poll,
        mut listener: TcpListener,
        names: UdpSocket,
        peers: Option<UdpSocket>,
    ) -> io::Result<Self> {
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let names = Datagrams::new(&poll, names, NAMES, discovery::MAX_ANSWER_BYTES)?;
        // A byte more than is allowed: a longer one is told from one of that length.
        let peers =
            peers.map(|p| Datagrams::new(&poll, p, PEERS, peers::MAX_DATAGRAM_BYTES + 1)).transpose()?;
        Ok(Hub {
            most_viewers: node.max_viewer_connections() + limits::EXTRA_VIEWER_CONNECTIONS,
            node,
            clock,
            poll,
            listener,
            names,
            peers,
            open: HashMap::new(),
            viewers: 0,
            coming: true,
            coming_from: Ms::NEG_INFINITY,
            unread: VecDeque::new(),
            behind: Vec::new(),
            held: Vec::new(),
            woke: clock.now(),
            exit: None,
        })
    }

    /// `signals` come by a way of their own: what peers send does not hold them up.
    pub fn run(mut self, signals: &Receiver<News>) {
        let _guard = Guard;
        let mut events = Events::with_capacity(EVENTS);
        self.perform();
        loop {
            let wait = Duration::from_secs_f64(self.wait() / 1_000.0);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => panic!("poll: {e}"),
                _ => {}
            }
            self.woke = self.clock.now();
            for news in signals.try_iter() {
                match news {
                    News::Configured(told) => {
                        tracing::info!(target: "walnutline::mode", names = %told.name_service, "configuration read anew");
                        self.node.apply_configuration(*told, self.woke);
                    }
                    News::Stop { at } => self.node.stop(at),
                }
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.coming = true,
                    NAMES => self.names.queued = true,
                    PEERS => self.peers.iter_mut().for_each(|p| p.queued = true),
                    SIGNALS => {}
                    Token(conn) => self.queue(ConnectionId(conn as u64)),
                }
            }
            for _ in 0..self.unread.len() {
                self.turn();
            }
            self.accept(self.most_viewers);
            self.hear_datagrams();
            self.node.process_due(self.clock.now());
            self.perform();
            self.try_held();
            self.catch_up();
            self.exit_if_settled();
        }
    }

    /// How long nothing is to be done unless something comes in.
    fn wait(&self) -> Ms {
        let now = self.clock.now();
        let mut wait = (self.node.next_call_at(now) - now).clamp(0.0, 1_000.0);
        if !self.behind.is_empty() || !self.held.is_empty() {
            wait = wait.min(AGAIN);
        }
        if self.coming && self.viewers < self.most_viewers {
            wait = wait.min((self.coming_from - now).max(0.0));
        }
        let datagrams = self.names.queued || self.peers.as_ref().is_some_and(|p| p.queued);
        if datagrams || !self.unread.is_empty() {
            wait = 0.0;
        }
        wait
    }

    // ---- what comes in ----

    /// A connection may hold something to read.
    fn queue(&mut self, conn: ConnectionId) {
        if let Some(socket) = self.open.get_mut(&conn).filter(|s| !s.queued) {
            socket.queued = true;
            self.unread.push_back(conn);
        }
    }

    /// Reads the connection that is next, so much of it that the others do not wait long.
    fn turn(&mut self) {
        let Some(conn) = self.unread.pop_front() else { return };
        let Some(socket) = self.open.get_mut(&conn) else { return };
        socket.queued = false;
        if socket.opening {
            match socket.came_up() {
                Ok(false) => return,
                Ok(true) => {
                    self.node.server_connected(conn, self.clock.now());
                    self.perform();
                }
                Err(e) => return self.ended(conn, connecting_ended(&e)),
            }
        }
        let mut buffer = [0; limits::READ_BUFFER_BYTES];
        for _ in 0..limits::MAX_CONSECUTIVE_READS {
            let Some(socket) = self.open.get_mut(&conn) else { return };
            match socket.read(&mut buffer) {
                Heard::Bytes(n) => {
                    tracing::trace!(target: "walnutline::bytes", conn = conn.0, "in {}", buffer[..n].escape_ascii());
                    self.node.bytes_received(conn, &buffer[..n], self.woke, self.clock.now());
                    // An answer goes out before anything else is looked at: until its viewer has it, its session
                    // may be over already.
                    self.perform();
                }
                Heard::Nothing => return,
                Heard::End(end) => return self.ended(conn, end),
            }
        }
        self.queue(conn);
    }

    /// A connection is over.
    fn ended(&mut self, conn: ConnectionId, end: ConnectionEnd) {
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "closed {end:?}");
        self.remove(conn);
        self.node.connection_closed(conn, end, self.clock.now());
        self.perform();
    }

    fn remove(&mut self, conn: ConnectionId) -> Option<Socket> {
        let socket = self.open.remove(&conn)?;
        self.viewers -= usize::from(socket.side == Side::Viewer);
        Some(socket)
    }

    /// Takes in viewers' connections that wait, so many that there are `most`; whether there was one.
    fn accept(&mut self, most: usize) -> bool {
        let mut any = false;
        for _ in 0..TURN {
            let now = self.clock.now();
            if !self.coming || now < self.coming_from || self.viewers >= most {
                break;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    any = true;
                    self.accepted(Socket::accepted(stream), now);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.coming = false,
                // One that was closed before it was taken.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    self.coming_from = now + REFUSED;
                }
            }
        }
        any
    }

    fn accepted(&mut self, socket: Socket, now: Ms) {
        let conn = self.node.new_connection_id();
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "accepted");
        if self.add(conn, socket).is_ok() {
            self.node.viewer_accepted(conn, now);
            // Its first request is often there with it.
            self.queue(conn);
            // Room is made at once, and not only after all that come in.
            self.perform();
        }
    }

    fn add(&mut self, conn: ConnectionId, mut socket: Socket) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut socket.stream, Token(conn.0 as usize), interest)?;
        self.viewers += usize::from(socket.side == Side::Viewer);
        self.open.insert(conn, socket);
        Ok(())
    }

    fn hear_datagrams(&mut self) {
        for _ in 0..TURN {
            let Some((from, bytes)) = self.names.next() else { break };
            self.node.name_service_datagram(from, bytes, self.clock.now());
        }
        let Some(peers) = &mut self.peers else { return };
        for _ in 0..TURN {
            let Some((from, bytes)) = peers.next() else { break };
            self.node.peer_datagram(from, bytes, self.clock.now());
        }
    }

    // ---- what the core says ----

    /// Does what the core says, and what it says to what comes of that at once.
    fn perform(&mut self) {
        loop {
            let dos = self.node.take_actions();
            if dos.is_empty() {
                return;
            }
            dos.into_iter().for_each(|what| self.perform_one(what));
        }
    }

    fn perform_one(&mut self, what: IoAction) {
        match what {
            IoAction::Connect { conn, address } => {
                tracing::trace!(target: "walnutline::bytes", conn = conn.0, "connect {address}");
                if let Err(e) = Socket::connect(address).and_then(|socket| self.add(conn, socket)) {
                    self.node.connection_closed(conn, connecting_ended(&e), self.clock.now());
                }
            }
            IoAction::Write { conn, bytes } => self.write(conn, &bytes),
            IoAction::OfferSetup { id, attempt: no } => self.setup(Held { id, no, since: self.clock.now() }),
            IoAction::CloseIfIdle { conn } => self.retire(conn),
            IoAction::Close { conn } => {
                tracing::trace!(target: "walnutline::bytes", conn = conn.0, "close");
                if let Some(socket) = self.remove(conn) {
                    socket.shut(Shutdown::Both);
                }
            }
            IoAction::SendListQuery { to, bytes } => {
                // A question that is lost is asked again.
                let _ = self.names.socket.send_to(&bytes, to);
            }
            IoAction::SendPeerReports { to, bytes } => {
                if let Some(peers) = &self.peers {
                    let _ = peers.socket.send_to(&bytes, to);
                }
            }
            IoAction::Log(line) => tracing::info!(target: "walnutline::mode", "{line}"),
            IoAction::Exit { at_once } => self.exit = Some(at_once),
        }
    }

    /// A SETUP goes out only for a viewer who is there. Its close or its cancel may be known to the kernel while
    /// the core does not know of it.
    fn setup(&mut self, held: Held) {
        let now = self.clock.now();
        let Some((viewer, conn)) = self.node.offered_setup_connections(held.id, held.no) else { return };
        let peer = self.open.get(&viewer).map_or(Peer::Gone, Socket::peer);
        if peer == Peer::Unheard && now - held.since < limits::MAX_SETUP_HOLD {
            self.queue(viewer);
            return self.held.push(held);
        }
        if peer == Peer::Gone {
            self.remove(viewer);
            return self.node.connection_closed(viewer, ConnectionEnd::Closed, now);
        }
        if self.open.get(&conn).is_some_and(Socket::is_behind) {
            self.node.setup_blocked(held.id, held.no, now);
        } else if let Some(bytes) = self.node.send_setup(held.id, held.no, now) {
            self.write(conn, &bytes);
        }
    }

    fn try_held(&mut self) {
        std::mem::take(&mut self.held).into_iter().for_each(|held| self.setup(held));
        self.perform();
    }

    /// Closes a viewer's connection on which nothing is open, unless something is on its way.
    fn retire(&mut self, conn: ConnectionId) {
        let now = self.clock.now();
        let Some(socket) = self.open.get(&conn) else { return };
        if socket.peer() == Peer::Unheard || socket.is_behind() {
            self.queue(conn);
            return self.node.connection_in_use(conn, now);
        }
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "retire");
        socket.shut(Shutdown::Both);
        self.remove(conn);
        self.node.connection_closed(conn, ConnectionEnd::Closed, now);
    }

    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(socket) = self.open.get_mut(&conn) else { return };
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "out {}", bytes.escape_ascii());
        let behind = socket.is_behind();
        if !socket.write(bytes) {
            tracing::debug!(target: "walnutline::mode", "connection {} broke or is not read: shut", conn.0);
            // What it still holds is read before its end.
            self.queue(conn);
        } else if !behind && socket.is_behind() {
            self.behind.push(conn);
        }
    }

    fn catch_up(&mut self) {
        for conn in std::mem::take(&mut self.behind) {
            let Some(socket) = self.open.get_mut(&conn) else { continue };
            if !socket.catch_up() {
                self.queue(conn);
            } else if socket.is_behind() {
                self.behind.push(conn);
            }
        }
    }

    // ---- the end ----

    /// Ends the process, unless something that came in is unheard or something written has not gone out: what
    /// is read by nobody turns the close into a reset, which destroys an answer on its way as well.
    fn exit_if_settled(&mut self) {
        let Some(at_once) = self.exit.take() else { return };
        if !at_once {
            // The poll may not have told of it yet, and those that found no place have waited for one. What is taken in
            // now is heard before the core is asked again.
            self.coming = true;
            let came = self.accept(usize::MAX);
            let heard = |s: &Socket| s.peer() != Peer::Unheard;
            let settled = self.held.is_empty() && self.behind.is_empty() && self.unread.is_empty();
            if came || !settled || !self.open.values().all(heard) {
                return;
            }
        }
        self.end(at_once);
    }

    /// Ends the process. Viewers' connections are closed towards them and read to their end first, as long as the kill
    /// leaves time for it: closing one with something unread would be a reset, which may destroy what is on its way.
    fn end(&mut self, at_once: bool) -> ! {
        let _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
        let mut last: Vec<Socket> =
            self.open.drain().map(|(_, s)| s).filter(|s| s.side == Side::Viewer).collect();
        last.iter().for_each(|s| s.shut(Shutdown::Write));
        let until = self.clock.now() + if at_once { 0.0 } else { limits::SHUTDOWN_READ_TIMEOUT };
        let mut events = Events::with_capacity(EVENTS);
        let mut buffer = [0; limits::READ_BUFFER_BYTES];
        loop {
            last.retain_mut(|s| {
                // One that sends without end is left to its reset.
                let ended = (0..TURN).find_map(|_| match s.read(&mut buffer) {
                    Heard::Bytes(_) => None,
                    Heard::Nothing => Some(false),
                    Heard::End(_) => Some(true),
                });
                ended != Some(true)
            });
            let left = until - self.clock.now();
            if last.is_empty() || left <= 0.0 {
                break;
            }
            let _ = self.poll.poll(&mut events, Some(Duration::from_secs_f64(left / 1_000.0)));
        }
        tracing::info!(target: "walnutline::mode", "stopped {}", self.node.request_counts());
        std::process::exit(0);
    }
}

/// What the failure to open a connection tells of its server.
fn connecting_ended(e: &io::Error) -> ConnectionEnd {
    match e.raw_os_error() {
        Some(libc::ECONNREFUSED) => ConnectionEnd::Refused,
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => ConnectionEnd::Unopened,
        _ => ConnectionEnd::Closed,
    }
}
