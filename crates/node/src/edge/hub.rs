//! The one thread that owns the core: it tells it what came in and does what it says.
use super::socket::{self, Gate, Peer, Socket};
use super::{Clock, News};
use crate::core::Node;
use crate::exchange::{ConnId, Do, End};
use crate::limits;
use crossbeam_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;
use walnutline::ids::{Ms, SessId};

/// Events handled before what they lead to goes out.
const ROUND: usize = 128;
/// How soon bytes that a socket did not take, or a SETUP that is held back, are tried again, in milliseconds.
const AGAIN: f64 = 10.0;

struct Open {
    socket: Arc<Socket>,
    /// What the socket has not taken yet.
    backlog: Vec<u8>,
}

/// A SETUP that is held back while something of its viewer is unheard.
struct Held {
    id: SessId,
    no: u32,
    since: Ms,
}

pub(crate) struct Hub {
    node: Node,
    clock: Clock,
    names: Arc<UdpSocket>,
    peers: Option<Arc<UdpSocket>>,
    news: Sender<News>,
    open: HashMap<ConnId, Open>,
    /// Connections with a backlog.
    behind: Vec<ConnId>,
    held: Vec<Held>,
    /// The core has said that the process may end, or must.
    exit: Option<bool>,
    /// Kept for its count: sockets that came in hold it as well.
    gate: Arc<Gate>,
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
        names: Arc<UdpSocket>,
        peers: Option<Arc<UdpSocket>>,
        news: Sender<News>,
        gate: Arc<Gate>,
    ) -> Self {
        let (open, behind, held) = (HashMap::new(), Vec::new(), Vec::new());
        Hub { node, clock, names, peers, news, open, behind, held, exit: None, gate }
    }

    /// `signals` come by a way of their own: what peers send does not hold them up.
    pub fn run(mut self, events: &Receiver<News>, signals: &Receiver<News>) {
        let _guard = Guard;
        self.perform();
        loop {
            let now = self.clock.now();
            let mut wait = (self.node.next_at(now) - now).clamp(0.0, 1_000.0);
            if !self.behind.is_empty() || !self.held.is_empty() {
                wait = wait.min(AGAIN);
            }
            let mut ready = crossbeam_channel::Select::new_biased();
            ready.recv(signals);
            ready.recv(events);
            let _ = ready.ready_timeout(Duration::from_secs_f64(wait / 1_000.0));
            signals.try_iter().for_each(|signal| self.event(signal));
            for event in events.try_iter().take(ROUND) {
                self.event(event);
            }
            self.node.attend(self.clock.now());
            self.perform();
            self.try_held();
            self.catch_up();
            self.exit_if_settled(events);
        }
    }

    /// Ends the process, unless something that came in is unheard or something written has not gone out: what
    /// is read by nobody turns the close into a reset, which destroys an answer on its way as well.
    fn exit_if_settled(&mut self, events: &Receiver<News>) {
        let Some(at_once) = self.exit.take() else { return };
        let heard = |o: &Open| o.socket.peer() != Peer::Unheard;
        let settled = events.is_empty() && self.held.is_empty() && self.behind.is_empty();
        if at_once || settled && self.open.values().all(heard) {
            tracing::info!(target: "walnutline::mode", "stopped");
            std::process::exit(0);
        }
    }

    fn event(&mut self, news: News) {
        let now = self.clock.now();
        match news {
            News::Accepted(socket) => {
                let conn = self.node.conn();
                tracing::trace!(target: "walnutline::bytes", conn = conn.0, "accepted");
                self.open.insert(conn, Open { socket: socket.clone(), backlog: Vec::new() });
                self.node.accepted(conn, now);
                if !socket::serve(conn, socket, false, self.clock, self.news.clone()) {
                    self.open.remove(&conn);
                    self.node.closed(conn, End::Closed, now);
                }
                // Room is made at once, and not only after a round of hundreds that come in.
                self.perform();
            }
            News::Connected(conn) => self.node.connected(conn, now),
            News::Bytes { conn, at, bytes, piece } => {
                if self.open.contains_key(&conn) {
                    tracing::trace!(target: "walnutline::bytes", conn = conn.0, "in {}", bytes.escape_ascii());
                    self.node.bytes(conn, &bytes, at, now);
                }
                drop(piece);
            }
            News::Closed { conn, end } => {
                tracing::trace!(target: "walnutline::bytes", conn = conn.0, "closed {end:?}");
                self.open.remove(&conn);
                self.node.closed(conn, end, now);
            }
            News::Datagram { from, bytes } => self.node.datagram(from, &bytes, now),
            News::Peer { from, bytes } => self.node.peer(from, &bytes, now),
            News::Configured(told) => {
                tracing::info!(target: "walnutline::mode", names = %told.names, "configuration read anew");
                self.node.configured(*told, now);
            }
            News::Stop { at } => self.node.stop(at),
        }
    }

    /// Does what the core says, and what it says to what comes of that at once.
    fn perform(&mut self) {
        loop {
            let dos = self.node.take();
            if dos.is_empty() {
                return;
            }
            dos.into_iter().for_each(|what| self.perform_one(what));
        }
    }

    fn perform_one(&mut self, what: Do) {
        match what {
            Do::Connect { conn, address } => {
                tracing::trace!(target: "walnutline::bytes", conn = conn.0, "connect {address}");
                match socket::connect(conn, address, self.clock, &self.news) {
                    Ok(socket) => {
                        self.open.insert(conn, Open { socket, backlog: Vec::new() });
                    }
                    Err(e) => {
                        let end = match e.raw_os_error() {
                            Some(libc::ECONNREFUSED) => End::Refused,
                            Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => End::Unopened,
                            // Its reader could not be started.
                            None => End::Unopened,
                            _ => End::Closed,
                        };
                        self.node.closed(conn, end, self.clock.now());
                    }
                }
            }
            Do::Write { conn, bytes } => self.write(conn, &bytes),
            Do::Setup { id, no } => self.setup(Held { id, no, since: self.clock.now() }),
            Do::Retire { conn } => self.retire(conn),
            Do::Close { conn } => {
                tracing::trace!(target: "walnutline::bytes", conn = conn.0, "close");
                if let Some(open) = self.open.remove(&conn) {
                    open.socket.shut();
                }
            }
            Do::Query { to, bytes } => {
                // A question that is lost is asked again.
                let _ = self.names.send_to(&bytes, to);
            }
            Do::Tell { to, bytes } => {
                if let Some(peers) = &self.peers {
                    let _ = peers.send_to(&bytes, to);
                }
            }
            Do::Log(line) => tracing::info!(target: "walnutline::mode", "{line}"),
            Do::Exit { at_once } => self.exit = Some(at_once),
        }
    }

    /// A SETUP goes out only for a viewer who is there. Its close or its cancel may be known to the kernel,
    /// or wait in a queue, while the core does not know of it.
    fn setup(&mut self, held: Held) {
        let now = self.clock.now();
        let Some((viewer, conn)) = self.node.offered(held.id, held.no) else { return };
        let peer = self.open.get(&viewer).map_or(Peer::Gone, |o| o.socket.peer());
        if peer == Peer::Unheard && now - held.since < limits::UNHEARD {
            return self.held.push(held);
        }
        if peer == Peer::Gone {
            self.open.remove(&viewer);
            return self.node.closed(viewer, End::Closed, now);
        }
        let stuck = self.open.get(&conn).is_some_and(|o| !o.backlog.is_empty());
        if stuck {
            self.node.setup_stuck(held.id, held.no, now);
        } else if let Some(bytes) = self.node.send_setup(held.id, held.no, now) {
            self.write(conn, &bytes);
        }
    }

    fn try_held(&mut self) {
        std::mem::take(&mut self.held).into_iter().for_each(|held| self.setup(held));
        self.perform();
    }

    /// Closes a viewer's connection on which nothing is open, unless something is on its way.
    fn retire(&mut self, conn: ConnId) {
        let now = self.clock.now();
        let Some(open) = self.open.get(&conn) else { return };
        if open.socket.is_viewers() && (open.socket.peer() == Peer::Unheard || !open.backlog.is_empty()) {
            return self.node.stays(conn, now);
        }
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "retire");
        open.socket.shut();
        self.open.remove(&conn);
        self.node.closed(conn, End::Closed, now);
    }

    fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(open) = self.open.get_mut(&conn) else { return };
        tracing::trace!(target: "walnutline::bytes", conn = conn.0, "out {}", bytes.escape_ascii());
        let taken = if open.backlog.is_empty() { open.socket.write(bytes) } else { Ok(0) };
        match taken {
            Ok(n) if n == bytes.len() => {}
            Ok(n) if open.backlog.len() + bytes.len() - n <= limits::BACKLOG => {
                if open.backlog.is_empty() {
                    self.behind.push(conn);
                }
                open.backlog.extend_from_slice(&bytes[n..]);
            }
            // It does not read, or is broken: its reader tells the core.
            _ => open.socket.shut(),
        }
    }

    fn catch_up(&mut self) {
        let open = &mut self.open;
        self.behind.retain(|conn| {
            let Some(open) = open.get_mut(conn) else { return false };
            match open.socket.write(&open.backlog) {
                Ok(n) => drop(open.backlog.drain(..n)),
                Err(_) => {
                    open.socket.shut();
                    open.backlog = Vec::new();
                }
            }
            !open.backlog.is_empty()
        });
        let _ = &self.gate;
    }
}
