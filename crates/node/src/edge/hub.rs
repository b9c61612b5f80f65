//! The one thread that owns the core and all sockets. It polls the sockets, passes everything received to the
//! core, and performs the core's actions at once.
use super::read_queue::ReadQueue;
use super::socket::{PeerRole, PeerState, ReadResult, Socket};
use super::{Clock, HubMessage};
use crate::actions::{ConnectionEnd, ConnectionId, IoAction};
use crate::core::Node;
use crate::limits;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc::Receiver;
use std::time::Duration;
use walnutline::ids::{Ms, SessionId};
use walnutline_platform::{discovery, peers};

/// Interval at which writes that the kernel did not accept, and SETUPs that are held back, are tried again.
const RETRY_INTERVAL: Ms = 10.0;
/// Pause before connections are accepted again after `accept` has failed, usually for want of a descriptor.
const ACCEPT_PAUSE: Ms = 20.0;
/// Connections accepted, and datagrams received on one socket, before other work is done, so that none is
/// starved.
const MAX_BATCH: usize = 64;
/// Target of the log lines about single requests.
const REQUEST_LOG_TARGET: &str = "walnutline::requests";
/// Most events returned by one poll.
const EVENT_CAPACITY: usize = 256;

// A connection is polled under its id; ids count up from one and never reach these.
pub(super) const WAKER_TOKEN: Token = Token(usize::MAX);
const LISTENER_TOKEN: Token = Token(usize::MAX - 1);
const NAME_SERVICE_TOKEN: Token = Token(usize::MAX - 2);
const PEERS_TOKEN: Token = Token(usize::MAX - 3);

/// A SETUP that is held back because data from its viewer has not been read yet.
struct HeldSetup {
    id: SessionId,
    attempt: u32,
    /// The viewer's connection that the data came on, and what it will have read in all by then.
    read_until: Option<(ConnectionId, u64)>,
}

/// A UDP socket and its receive buffer.
struct DatagramSocket {
    socket: UdpSocket,
    buffer: Vec<u8>,
    /// There may be datagrams to receive.
    readable: bool,
}

impl DatagramSocket {
    fn new(poll: &Poll, mut socket: UdpSocket, token: Token, max_bytes: usize) -> io::Result<Self> {
        poll.registry().register(&mut socket, token, Interest::READABLE)?;
        Ok(DatagramSocket { socket, buffer: vec![0; max_bytes], readable: true })
    }

    /// Receives the next datagram. Errors are skipped: on an unconnected socket they report earlier sends.
    fn receive(&mut self) -> Option<(SocketAddr, &[u8])> {
        for _ in 0..MAX_BATCH {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((n, from)) => return Some((from, &self.buffer[..n])),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {}
            }
        }
        self.readable = false;
        None
    }
}

/// The event loop, with the core and all sockets.
pub(super) struct Hub {
    node: Node,
    clock: Clock,
    poll: Poll,
    listener: TcpListener,
    name_service: DatagramSocket,
    peers: Option<DatagramSocket>,
    sockets: HashMap<ConnectionId, Socket>,
    /// Number of viewers' connections in `sockets`.
    viewer_count: usize,
    /// Limit of `viewer_count`: a few more than the core holds, which closes one for each that exceeds its
    /// own limit.
    max_viewers: usize,
    /// There may be connections to accept.
    accept_pending: bool,
    /// No connection is accepted before this time.
    accept_not_before: Ms,
    /// Connections that may have data to read.
    read_queue: ReadQueue,
    /// Viewers' connections that their peer has closed since the last round.
    closed_viewers: Vec<ConnectionId>,
    /// Connections with a write backlog.
    backlogged: Vec<ConnectionId>,
    held_setups: Vec<HeldSetup>,
    /// When the last poll returned.
    last_wakeup: Ms,
    /// Set when the core has requested the end of the process; `true`: at once, whatever is still in transit.
    requested_exit: Option<bool>,
}

/// Aborts the process when the hub panics: without its hub, a node would accept requests and answer none.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!("the hub broke; the node ends");
            std::process::abort();
        }
    }
}

impl Hub {
    /// Registers the listener and the datagram sockets with `poll`. Without `peers`, nothing is exchanged
    /// with other nodes.
    pub fn new(
        mut node: Node,
        clock: Clock,
        poll: Poll,
        mut listener: TcpListener,
        name_service: UdpSocket,
        peers: Option<UdpSocket>,
    ) -> io::Result<Self> {
        poll.registry().register(&mut listener, LISTENER_TOKEN, Interest::READABLE)?;
        let name_service =
            DatagramSocket::new(&poll, name_service, NAME_SERVICE_TOKEN, discovery::MAX_ANSWER_BYTES)?;
        // One byte more than the limit, so that a longer datagram can be told from one of exactly that
        // length.
        let peers = peers
            .map(|p| DatagramSocket::new(&poll, p, PEERS_TOKEN, peers::MAX_DATAGRAM_BYTES + 1))
            .transpose()?;
        if tracing::enabled!(target: REQUEST_LOG_TARGET, tracing::Level::DEBUG) {
            node.log_requests();
        }
        Ok(Hub {
            max_viewers: node.max_viewer_connections() + limits::EXTRA_VIEWER_CONNECTIONS,
            node,
            clock,
            poll,
            listener,
            name_service,
            peers,
            sockets: HashMap::new(),
            viewer_count: 0,
            accept_pending: true,
            accept_not_before: Ms::NEG_INFINITY,
            read_queue: ReadQueue::default(),
            closed_viewers: Vec::new(),
            backlogged: Vec::new(),
            held_setups: Vec::new(),
            last_wakeup: clock.now(),
            requested_exit: None,
        })
    }

    /// Runs the event loop until the process ends. `messages` have a channel of their own, so that traffic on
    /// the sockets does not delay them.
    pub fn run(mut self, messages: &Receiver<HubMessage>) {
        let _guard = AbortOnPanic;
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        self.perform_actions();
        loop {
            let timeout = Duration::from_secs_f64(self.poll_timeout() / 1_000.0);
            match self.poll.poll(&mut events, Some(timeout)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => panic!("poll: {e}"),
                _ => {}
            }
            self.last_wakeup = self.clock.now();
            for message in messages.try_iter() {
                match message {
                    HubMessage::Reconfigure(configuration) => {
                        tracing::info!(target: "walnutline::mode", names = %configuration.name_service, "configuration read anew");
                        self.node.apply_configuration(*configuration, self.last_wakeup);
                    }
                    HubMessage::Stop { at } => self.node.stop(at),
                }
            }
            for event in &events {
                match event.token() {
                    LISTENER_TOKEN => self.accept_pending = true,
                    NAME_SERVICE_TOKEN => self.name_service.readable = true,
                    PEERS_TOKEN => self.peers.iter_mut().for_each(|p| p.readable = true),
                    WAKER_TOKEN => {}
                    Token(conn) => {
                        let conn = ConnectionId(conn as u64);
                        if event.is_read_closed() || event.is_error() {
                            self.closed_viewers.push(conn);
                        }
                        self.queue_for_reading(conn);
                    }
                }
            }
            self.read_connections();
            self.accept_viewers(self.max_viewers);
            self.receive_datagrams();
            self.node.process_due(self.clock.now());
            self.perform_actions();
            self.retry_held_setups();
            self.flush_backlogs();
            self.exit_if_drained();
        }
    }

    /// Returns how long the poll may block.
    fn poll_timeout(&self) -> Ms {
        let now = self.clock.now();
        let mut timeout = (self.node.next_call_at(now) - now).clamp(0.0, 1_000.0);
        if !self.backlogged.is_empty() || !self.held_setups.is_empty() {
            timeout = timeout.min(RETRY_INTERVAL);
        }
        if self.accept_pending && self.viewer_count < self.max_viewers {
            timeout = timeout.min((self.accept_not_before - now).max(0.0));
        }
        let datagrams_pending = self.name_service.readable || self.peers.as_ref().is_some_and(|p| p.readable);
        if datagrams_pending || !self.read_queue.is_empty() {
            timeout = 0.0;
        }
        timeout
    }

    // ---- input ----

    /// Adds a connection that may have data to the read queue, unless it is there already.
    fn queue_for_reading(&mut self, conn: ConnectionId) {
        let now = self.clock.now();
        if let Some(socket) = self.sockets.get_mut(&conn).filter(|s| s.queued_at.is_none()) {
            socket.queued_at = Some(now);
            match socket.peer_role {
                PeerRole::Server => self.read_queue.push_server(conn),
                PeerRole::Viewer => self.read_queue.push_viewer(conn),
            }
        }
    }

    /// Gives up the requests of viewers that have closed their connection while data on it is still unread. The data is
    /// read for what it says of sessions. To be called after reading from servers: what they have answered is not
    /// withdrawn.
    fn handle_closed_viewers(&mut self) {
        for conn in std::mem::take(&mut self.closed_viewers) {
            let Some(socket) = self.sockets.get(&conn).filter(|s| s.peer_role == PeerRole::Viewer) else {
                continue;
            };
            if socket.peer_state() == PeerState::UnreadData {
                self.node.viewer_left(conn, self.clock.now());
                self.perform_actions();
            }
        }
    }

    /// Reads from the connections to servers in the read queue, and then from viewers' connections, each for a limited
    /// time: datagrams, timers and new connections have their turn whatever viewers send. The rest of the queue
    /// is read in the next round.
    fn read_connections(&mut self) {
        let ends_at = self.last_wakeup + limits::MAX_READ_TIME;
        for _ in 0..self.read_queue.server_count() {
            let Some(conn) = self.read_queue.pop_server() else { break };
            self.read_connection(conn);
            if self.clock.now() >= ends_at {
                break;
            }
        }
        self.handle_closed_viewers();
        let ends_at = self.clock.now() + limits::MAX_READ_TIME;
        for _ in 0..self.read_queue.viewer_count() {
            let Some(conn) = self.read_queue.pop_viewer() else { return };
            let bytes_read = self.read_connection(conn);
            self.read_queue.charge_viewer(conn, bytes_read);
            if self.clock.now() >= ends_at {
                return;
            }
        }
    }

    /// Reads from a connection and returns how many bytes. The amount is limited, so that the others are not delayed; a
    /// connection that may have more is queued again.
    fn read_connection(&mut self, conn: ConnectionId) -> usize {
        let Some(socket) = self.sockets.get_mut(&conn) else { return 0 };
        // A request may have waited for several rounds, which counts towards its viewer's wait.
        let received_at = socket.queued_at.take().unwrap_or(self.last_wakeup);
        if socket.connecting && !self.finish_connecting(conn) {
            return 0;
        }
        let mut buffer = [0; limits::READ_BUFFER_BYTES];
        let mut bytes_read = 0;
        while bytes_read < limits::MAX_BYTES_PER_TURN {
            let Some(socket) = self.sockets.get_mut(&conn) else { return bytes_read };
            match socket.read(&mut buffer) {
                ReadResult::Bytes(n) => {
                    bytes_read += n;
                    tracing::trace!(target: "walnutline::bytes", conn = conn.0, "in {}", buffer[..n].escape_ascii());
                    self.node.bytes_received(conn, &buffer[..n], received_at, self.clock.now());
                    // Answers are sent before anything else is processed: a session may end before its viewer
                    // has received the answer.
                    self.perform_actions();
                }
                ReadResult::WouldBlock => return bytes_read,
                ReadResult::Ended(end) => {
                    self.connection_ended(conn, end);
                    return bytes_read;
                }
            }
        }
        self.queue_for_reading(conn);
        bytes_read
    }

    /// Reports a connection to a server that has been established, or could not be. Returns whether it is established.
    fn finish_connecting(&mut self, conn: ConnectionId) -> bool {
        let Some(socket) = self.sockets.get_mut(&conn) else { return false };
        match socket.check_connected() {
            Ok(false) => false,
            Ok(true) => {
                self.node.server_connected(conn, self.clock.now());
                self.perform_actions();
                true
            }
            Err(e) => {
                self.connection_ended(conn, connect_error_end(&e));
                false
            }
        }
    }

    /// Removes a connection that has ended, or could not be established, and reports it to the core.
    fn connection_ended(&mut self, conn: ConnectionId, end: ConnectionEnd) {
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "closed {end:?}");
        self.remove_socket(conn);
        self.node.connection_closed(conn, end, self.clock.now());
        self.perform_actions();
    }

    fn remove_socket(&mut self, conn: ConnectionId) -> Option<Socket> {
        let socket = self.sockets.remove(&conn)?;
        self.read_queue.remove_viewer(conn);
        self.viewer_count -= usize::from(socket.peer_role == PeerRole::Viewer);
        Some(socket)
    }

    /// Accepts viewers' connections as long as there are fewer than `max_viewers`; returns whether it
    /// accepted any.
    fn accept_viewers(&mut self, max_viewers: usize) -> bool {
        let mut accepted_any = false;
        for _ in 0..MAX_BATCH {
            let now = self.clock.now();
            if !self.accept_pending || now < self.accept_not_before || self.viewer_count >= max_viewers {
                break;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    accepted_any = true;
                    self.add_viewer(Socket::from_accepted(stream), now);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.accept_pending = false,
                // The peer closed the connection before it was accepted.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    self.accept_not_before = now + ACCEPT_PAUSE;
                }
            }
        }
        accepted_any
    }

    fn add_viewer(&mut self, socket: Socket, now: Ms) {
        let conn = self.node.new_connection_id();
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "accepted");
        if self.add_socket(conn, socket).is_ok() {
            self.node.viewer_accepted(conn, now);
            // The first request has often arrived with the connection.
            self.queue_for_reading(conn);
            // Closes a surplus connection now, and not only after the whole batch has been accepted.
            self.perform_actions();
        }
    }

    fn add_socket(&mut self, conn: ConnectionId, mut socket: Socket) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut socket.stream, Token(conn.0 as usize), interest)?;
        self.viewer_count += usize::from(socket.peer_role == PeerRole::Viewer);
        self.sockets.insert(conn, socket);
        Ok(())
    }

    fn receive_datagrams(&mut self) {
        for _ in 0..MAX_BATCH {
            let Some((from, bytes)) = self.name_service.receive() else { break };
            self.node.name_service_datagram(from, bytes, self.clock.now());
        }
        let Some(peers) = &mut self.peers else { return };
        for _ in 0..MAX_BATCH {
            let Some((from, bytes)) = peers.receive() else { break };
            self.node.peer_datagram(from, bytes, self.clock.now());
        }
    }

    // ---- actions of the core ----

    /// Performs the core's actions, and those that follow from them, until there are none left.
    fn perform_actions(&mut self) {
        loop {
            let actions = self.node.take_actions();
            if actions.is_empty() {
                return;
            }
            actions.into_iter().for_each(|action| self.perform_action(action));
        }
    }

    fn perform_action(&mut self, action: IoAction) {
        match action {
            IoAction::Connect { conn, address } => {
                tracing::trace!(target: "walnutline::bytes", conn = conn.0, "connect {address}");
                if let Err(e) = Socket::connect(address).and_then(|socket| self.add_socket(conn, socket)) {
                    self.node.connection_closed(conn, connect_error_end(&e), self.clock.now());
                }
            }
            IoAction::Write { conn, bytes } => self.write(conn, &bytes),
            IoAction::OfferSetup { id, attempt } => {
                self.try_setup(HeldSetup { id, attempt, read_until: None })
            }
            IoAction::CloseIfIdle { conn } => self.close_if_idle(conn),
            IoAction::Close { conn } => {
                tracing::trace!(target: "walnutline::bytes", conn = conn.0, "close");
                if let Some(socket) = self.remove_socket(conn) {
                    socket.shutdown(Shutdown::Both);
                }
            }
            IoAction::SendListQuery { to, bytes } => {
                // The core repeats queries that are lost.
                let _ = self.name_service.socket.send_to(&bytes, to);
            }
            IoAction::SendPeerReports { to, bytes } => {
                if let Some(peers) = &self.peers {
                    let _ = peers.socket.send_to(&bytes, to);
                }
            }
            IoAction::Log(line) => tracing::info!(target: "walnutline::mode", "{line}"),
            IoAction::LogRequest { line, stopping: true } => {
                tracing::info!(target: REQUEST_LOG_TARGET, "{line}")
            }
            IoAction::LogRequest { line, stopping: false } => {
                tracing::debug!(target: REQUEST_LOG_TARGET, "{line}")
            }
            IoAction::Exit { at_once } => self.requested_exit = Some(at_once),
        }
    }

    /// Sends a SETUP, but only for a viewer that is still connected. What is unread from the viewer may contain its
    /// cancellation, so the SETUP is held back until that has been read, as far as a limit.
    fn try_setup(&mut self, mut setup: HeldSetup) {
        let now = self.clock.now();
        let Some((viewer_conn, server_conn)) = self.node.offered_setup_connections(setup.id, setup.attempt)
        else {
            return;
        };
        if self.awaits_reading(viewer_conn, &mut setup) {
            self.queue_for_reading(viewer_conn);
            return self.held_setups.push(setup);
        }
        let viewer_state = self.sockets.get(&viewer_conn).map_or(PeerState::Closed, Socket::peer_state);
        if viewer_state == PeerState::Closed {
            self.remove_socket(viewer_conn);
            return self.node.connection_closed(viewer_conn, ConnectionEnd::Closed, now);
        }
        if self.sockets.get(&server_conn).is_some_and(Socket::has_backlog) {
            self.node.setup_blocked(setup.id, setup.attempt, now);
        } else if let Some(bytes) = self.node.send_setup(setup.id, setup.attempt, now) {
            self.write(server_conn, &bytes);
        }
    }

    /// Whether what was unread from the viewer when the SETUP was first tried has not been read yet.
    fn awaits_reading(&self, viewer_conn: ConnectionId, setup: &mut HeldSetup) -> bool {
        let Some(socket) = self.sockets.get(&viewer_conn) else { return false };
        let (_, read_until) = *setup.read_until.get_or_insert_with(|| {
            (viewer_conn, socket.bytes_read + socket.unread_len().min(limits::MAX_UNREAD_BEFORE_SETUP))
        });
        let moved = setup.read_until.is_some_and(|(conn, _)| conn != viewer_conn);
        !moved && socket.bytes_read < read_until
    }

    fn retry_held_setups(&mut self) {
        std::mem::take(&mut self.held_setups).into_iter().for_each(|setup| self.try_setup(setup));
        self.perform_actions();
    }

    /// Closes a viewer's connection without open set-ups, unless it has unread data or a write backlog.
    fn close_if_idle(&mut self, conn: ConnectionId) {
        let now = self.clock.now();
        let Some(socket) = self.sockets.get(&conn) else { return };
        if socket.peer_state() == PeerState::UnreadData || socket.has_backlog() {
            self.queue_for_reading(conn);
            return self.node.connection_in_use(conn, now);
        }
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "retire");
        socket.shutdown(Shutdown::Both);
        self.remove_socket(conn);
        self.node.connection_closed(conn, ConnectionEnd::Closed, now);
    }

    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "out {}", bytes.escape_ascii());
        let had_backlog = socket.has_backlog();
        if !socket.write(bytes) {
            tracing::debug!(target: "walnutline::mode", "connection {} shut down: write failed or backlog limit exceeded", conn.0);
            // Data already received is read before the end is reported.
            self.queue_for_reading(conn);
        } else if !had_backlog && socket.has_backlog() {
            self.backlogged.push(conn);
        }
    }

    fn flush_backlogs(&mut self) {
        for conn in std::mem::take(&mut self.backlogged) {
            let Some(socket) = self.sockets.get_mut(&conn) else { continue };
            if !socket.flush_backlog() {
                self.queue_for_reading(conn);
            } else if socket.has_backlog() {
                self.backlogged.push(conn);
            }
        }
    }

    // ---- end of the process ----

    /// Ends the process if the core has requested it, unless received data is still unread or written data
    /// has not been sent. Closing a connection with unread data sends a reset, which can also destroy an
    /// answer in transit.
    fn exit_if_drained(&mut self) {
        let Some(at_once) = self.requested_exit.take() else { return };
        if !at_once {
            // The poll may not have reported new connections yet, and others were left waiting because of the
            // limit. Requests on connections accepted here are processed before the core is asked about the
            // exit again.
            self.accept_pending = true;
            let accepted = self.accept_viewers(usize::MAX);
            let is_read = |s: &Socket| s.peer_state() != PeerState::UnreadData;
            let drained =
                self.held_setups.is_empty() && self.backlogged.is_empty() && self.read_queue.is_empty();
            if accepted || !drained || !self.sockets.values().all(is_read) {
                return;
            }
        }
        self.exit(at_once);
    }

    /// Ends the process. Viewers' connections are first shut down for writing and read: closing one with
    /// unread data would send a reset, which can destroy what is still in transit to the viewer. They are
    /// read to their end within the time that the platform leaves before it kills the process; with
    /// `at_once`, only what is already there is read.
    fn exit(&mut self, at_once: bool) -> ! {
        let _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
        let mut viewers: Vec<Socket> =
            self.sockets.drain().map(|(_, s)| s).filter(|s| s.peer_role == PeerRole::Viewer).collect();
        viewers.iter().for_each(|s| s.shutdown(Shutdown::Write));
        let deadline = self.clock.now() + if at_once { 0.0 } else { limits::SHUTDOWN_READ_TIMEOUT };
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut buffer = [0; limits::READ_BUFFER_BYTES];
        loop {
            viewers.retain_mut(|s| {
                // Bounded: a viewer that never stops sending gets the reset.
                let ended = (0..MAX_BATCH).find_map(|_| match s.read(&mut buffer) {
                    ReadResult::Bytes(_) => None,
                    ReadResult::WouldBlock => Some(false),
                    ReadResult::Ended(_) => Some(true),
                });
                ended != Some(true)
            });
            let remaining = deadline - self.clock.now();
            if viewers.is_empty() || remaining <= 0.0 {
                break;
            }
            let _ = self.poll.poll(&mut events, Some(Duration::from_secs_f64(remaining / 1_000.0)));
        }
        tracing::info!(target: "walnutline::mode", "stopped {}", self.node.request_counts());
        std::process::exit(0);
    }
}

/// Classifies the failure to open a connection by what it says about the server.
fn connect_error_end(e: &io::Error) -> ConnectionEnd {
    match e.raw_os_error() {
        Some(libc::ECONNREFUSED) => ConnectionEnd::Refused,
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => ConnectionEnd::Unopened,
        _ => ConnectionEnd::Closed,
    }
}
