//! Connections to servers: which one a message is sent on, and what the end of one implies.
use super::liveness::{Liveness, RequestId};
use super::{Node, PendingSetup, Stage, TimerEvent};
use crate::actions::{ConnectionEnd, ConnectionId, IoAction};
use crate::limits;
use crate::request_log::RequestEvent;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use walnutline::api::SetupOutcome;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline_platform::headers;
use walnutline_platform::rtsp::MessageReader;
use walnutline_platform::server;
use walnutline_sessions::backoff::Backoff;

/// A server that is listed or still in use.
pub(super) struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub list_state: ServerState,
    /// When its process started, according to the list.
    pub started_at: Option<Ms>,
    pub connections: Vec<ConnectionId>,
    /// Sessions that play on it.
    pub sessions: BTreeSet<SessionId>,
    /// The last message on each session that waits for a connection.
    pub unsent: BTreeMap<SessionId, SessionMessage>,
    /// When it last sent anything, to this node or another.
    pub last_seen_at: Ms,
    /// When it last sent anything to this node.
    pub last_message_at: Ms,
    /// When the connection was opened on which it last sent anything: its process is at least as old.
    pub process_known_since: Ms,
    /// When a connection to it last ended or could not be opened.
    pub last_disconnect_at: Ms,
    /// When a connection to it was last opened.
    pub last_connected_at: Ms,
    /// An open connection was lost since one was last opened: what the server sent on it may be lost, and it repeats
    /// that on the next one only.
    pub lost_connection: bool,
    /// When a connection was last given up on which nothing came through: the server may take it for open, and may
    /// send releases on it of sessions that began before.
    pub dead_connection_at: Ms,
    /// The latest time at which the server may have used a connection that was given up in this way.
    pub dead_connection_used_at: Ms,
    /// No connection is opened before this time, as the last attempt failed.
    pub retry_at: Ms,
    /// When a connection to it was last closed to make room for another.
    pub closed_for_room_at: Ms,
    /// Connections in a row that could not be opened.
    pub connect_failures: u32,
    pub retry: Backoff,
}

/// A message to a server about a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SessionMessage {
    Rung(u8),
    Release,
}

/// The reason for an OPTIONS request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OptionsPurpose {
    /// The decision engine asked for the server's load.
    Probe,
    /// The server has been silent for a long time.
    Ping,
}

/// An OPTIONS request without an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingOptions {
    pub purpose: OptionsPurpose,
    pub sent_at: Ms,
}

/// What speaks against a connection when one is chosen for a request, the gravest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionLoad {
    in_doubt: bool,
    opening: bool,
    pending_setups: usize,
}

/// A connection to a server, from the attempt to open it to its end.
pub(super) struct ServerConnection {
    pub server: ServerId,
    /// Whether it has been opened.
    pub up: bool,
    pub reader: MessageReader,
    /// When a message began that is not complete yet.
    pub partial_since: Option<Ms>,
    /// SETUPs without an answer, sent or waiting for the connection to open.
    pub pending_setups: BTreeSet<SessionId>,
    pub pending_options: BTreeMap<u64, PendingOptions>,
    /// Probes that wait for the connection to open.
    pub queued_probes: u32,
    /// Set-ups that were cancelled or refused: if a positive answer still comes, the session is released.
    pub ended_setups: VecDeque<SessionId>,
    /// Releases written but not confirmed, with their times: they are sent again if the connection is lost.
    pub unconfirmed_releases: VecDeque<(Ms, SessionId)>,
    pub liveness: Liveness,
    /// When the connection attempt began.
    pub opened_at: Ms,
    pub last_used_at: Ms,
}

impl Server {
    /// Whether a connection is wanted, for sessions or for unsent messages. After a failed attempt, unsent
    /// messages alone are no reason for another: they are sent on the next connection that is opened.
    pub fn needs_connection(&self) -> bool {
        !self.sessions.is_empty() || !self.unsent.is_empty() && self.connect_failures == 0
    }

    /// Keeps the unconfirmed releases of an ended connection for the next one.
    fn keep_unconfirmed(&mut self, releases: VecDeque<(Ms, SessionId)>, now: Ms) {
        for (_, id) in releases.into_iter().filter(|(at, _)| now - at < limits::RELEASE_RETENTION) {
            self.unsent.entry(id).or_insert(SessionMessage::Release);
        }
    }
}

impl ServerConnection {
    /// When anything last came in, or when the connection was opened.
    pub fn heard_at(&self) -> Ms {
        self.liveness.heard_at().unwrap_or(self.opened_at)
    }

    /// Number of probes that were sent and not answered.
    fn pending_probes(&self) -> u32 {
        self.pending_options.values().filter(|p| p.purpose == OptionsPurpose::Probe).count() as u32
    }

    /// Whether a ping was sent and not answered.
    pub fn awaits_ping(&self) -> bool {
        self.pending_options.values().any(|p| p.purpose == OptionsPurpose::Ping)
    }

    /// How well the connection suits a new request; the least value is best.
    fn load(&self, now: Ms) -> ConnectionLoad {
        ConnectionLoad {
            in_doubt: self.liveness.is_in_doubt(now),
            opening: !self.up,
            pending_setups: self.pending_setups.len(),
        }
    }

    pub fn record_ended_setup(&mut self, id: SessionId) {
        if self.ended_setups.len() >= limits::MAX_ENDED_SETUPS {
            self.ended_setups.pop_front();
        }
        self.ended_setups.push_back(id);
    }
}

impl Node {
    /// The connections to a server, opening ones included.
    pub(super) fn connections_of<'a>(
        &'a self,
        server: &'a Server,
    ) -> impl Iterator<Item = (ConnectionId, &'a ServerConnection)> {
        let connections = server.connections.iter();
        connections.filter_map(|conn| Some((*conn, self.server_connections.get(conn)?)))
    }

    // ---- opening and closing ----

    pub(super) fn connect(&mut self, server_id: ServerId, now: Ms) -> Option<ConnectionId> {
        if self.server_connections.len() >= self.max_server_connections && !self.make_room(now) {
            return None;
        }
        // The address of a server that is no longer listed may belong to another by now.
        let server = self.servers.get(&server_id).filter(|s| s.list_state != ServerState::Gone)?;
        let address = server.address;
        let conn = self.new_connection_id();
        self.servers.get_mut(&server_id)?.connections.push(conn);
        let connection = ServerConnection {
            server: server_id,
            up: false,
            reader: MessageReader::default(),
            partial_since: None,
            pending_setups: BTreeSet::new(),
            pending_options: BTreeMap::new(),
            queued_probes: 0,
            ended_setups: VecDeque::new(),
            unconfirmed_releases: VecDeque::new(),
            liveness: Liveness::default(),
            opened_at: now,
            last_used_at: now,
        };
        self.server_connections.insert(conn, connection);
        self.schedule(now + self.configuration.connect_timeout_ms, TimerEvent::ConnectTimeout { conn });
        self.io_actions.push(IoAction::Connect { conn, address });
        Some(conn)
    }

    /// Closes one connection if there is one without pending messages: preferably to a server without
    /// sessions, then the least recently used one. The server's reports on its sessions wait for the next
    /// connection, which the sweep opens in time.
    fn make_room(&mut self, now: Ms) -> bool {
        let has_sessions =
            |c: &ServerConnection| self.servers.get(&c.server).is_some_and(|s| !s.sessions.is_empty());
        let idle = self
            .server_connections
            .iter()
            .filter(|(_, c)| c.up && c.pending_setups.is_empty() && c.pending_options.is_empty());
        let victim = idle.min_by(|(_, a), (_, b)| {
            has_sessions(a).cmp(&has_sessions(b)).then(a.last_used_at.total_cmp(&b.last_used_at))
        });
        let Some((conn, server_id)) = victim.map(|(conn, c)| (*conn, c.server)) else { return false };
        self.close_working_connection(conn, server_id, now);
        true
    }

    /// Closes a connection that works: its end says nothing about the server.
    pub(super) fn close_working_connection(&mut self, conn: ConnectionId, server_id: ServerId, now: Ms) {
        let releases =
            self.server_connections.remove(&conn).map(|c| c.unconfirmed_releases).unwrap_or_default();
        self.io_actions.push(IoAction::Close { conn });
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.connections.retain(|c| *c != conn);
        server.closed_for_room_at = now;
        let any_up =
            server.connections.iter().any(|other| self.server_connections.get(other).is_some_and(|c| c.up));
        if !any_up {
            return server.keep_unconfirmed(releases, now);
        }
        let recent = releases.into_iter().filter(|(at, _)| now - at < limits::RELEASE_RETENTION);
        recent.for_each(|(_, id)| self.send_to_server(server_id, id, SessionMessage::Release, now));
    }

    /// Opens a connection to a listed server that has none.
    pub(super) fn ensure_connection(&mut self, server_id: ServerId, now: Ms) {
        if self
            .servers
            .get(&server_id)
            .is_some_and(|s| s.connections.is_empty() && s.list_state != ServerState::Gone)
        {
            self.connect(server_id, now);
        }
    }

    /// Handles the opening of a connection to a server.
    pub fn server_connected(&mut self, conn: ConnectionId, now: Ms) {
        let Some(connection) = self.server_connections.get_mut(&conn) else { return };
        (connection.up, connection.last_used_at) = (true, now);
        let (server_id, waiting, probes) = (
            connection.server,
            connection.pending_setups.clone(),
            std::mem::take(&mut connection.queued_probes),
        );
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.connect_failures = 0;
        server.last_connected_at = now;
        server.lost_connection = false;
        server.retry.reset();
        // The process can't have been replaced since its last message: earlier connections were reset, but it
        // is alive. A message to another node may have come from a new process already, so it doesn't count.
        if now - server.last_message_at < limits::MIN_PROCESS_RESTART_TIME {
            self.engine.confirm_alive(server_id, Ms::NEG_INFINITY);
        }
        if waiting.is_empty() && probes == 0 && !self.close_surplus_connection(server_id, conn, now) {
            return;
        }
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        for (id, message) in std::mem::take(&mut server.unsent) {
            self.write_to_server(conn, id, message, now);
        }
        waiting.into_iter().for_each(|id| self.offer_setup(id));
        (0..probes).for_each(|_| self.send_options(conn, OptionsPurpose::Probe, now));
        self.process_engine_actions(now);
    }

    /// Closes the least recently used idle connection to a server if it has more than the limit. Beyond that, a
    /// connection was opened to check whether a silent machine is alive: a process that hangs for long would otherwise
    /// gather one more with each ping. An older one is closed rather than `newest`, as a server repeats what may have
    /// been lost on the newest connection. Returns whether `newest` is still open.
    fn close_surplus_connection(&mut self, server_id: ServerId, newest: ConnectionId, now: Ms) -> bool {
        let Some(server) = self.servers.get(&server_id) else { return false };
        if server.connections.len() <= limits::MAX_CONNECTIONS_PER_SERVER {
            return true;
        }
        let idle = self.connections_of(server).filter(|(conn, c)| {
            *conn != newest && c.up && c.pending_setups.is_empty() && c.pending_probes() == 0
        });
        let oldest = idle.min_by(|(_, a), (_, b)| a.last_used_at.total_cmp(&b.last_used_at));
        let closed = oldest.map_or(newest, |(conn, _)| conn);
        // Not handled as a lost connection, which would be replaced by another.
        self.close_working_connection(closed, server_id, now);
        closed != newest
    }

    /// Closes a connection on which nothing comes through. Its server may not notice that, so it is not relied on to
    /// send releases on another one.
    pub(super) fn give_up_dead_connection(&mut self, conn: ConnectionId, now: Ms) {
        let Some(connection) = self.server_connections.get(&conn) else { return };
        if let Some(server) = self.servers.get_mut(&connection.server) {
            (server.dead_connection_at, server.dead_connection_used_at) = (now, now);
            let line = format!("server {}: connection {} is dead and closed", server.name, conn.0);
            self.io_actions.push(IoAction::Log(line));
        }
        self.close_server_connection(conn, now);
    }

    pub(super) fn close_server_connection(&mut self, conn: ConnectionId, now: Ms) {
        self.io_actions.push(IoAction::Close { conn });
        self.server_connection_closed(conn, ConnectionEnd::Closed, now);
    }

    pub(super) fn server_connection_closed(&mut self, conn: ConnectionId, end: ConnectionEnd, now: Ms) {
        let Some(connection) = self.server_connections.remove(&conn) else { return };
        let server_id = connection.server;
        let probes = connection.pending_probes() + connection.queued_probes;
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.connections.retain(|c| *c != conn);
        server.last_disconnect_at = now;
        server.lost_connection |= connection.up;
        if !connection.up && end != ConnectionEnd::Unopened {
            server.connect_failures += 1;
        }
        if connection.up {
            server.keep_unconfirmed(connection.unconfirmed_releases, now);
        }
        // The process has ended, and its sessions with it, if a connection is refused while no other one is
        // open (an open one would be reset). A machine that neither accepts a connection nor sends anything
        // on an old one is gone as well.
        let silent = now - server.last_seen_at > limits::PING_AFTER_SILENCE
            && server.connect_failures > 0
            && end != ConnectionEnd::Unopened;
        let gone = server.list_state == ServerState::Gone;
        let any_other_up =
            server.connections.iter().any(|other| self.server_connections.get(other).is_some_and(|c| c.up));
        if end == ConnectionEnd::Refused && !any_other_up {
            server.unsent.clear();
        }
        if end == ConnectionEnd::Refused && !any_other_up || !connection.up && silent {
            self.end_all_sessions(server_id, now);
        } else if gone {
            self.end_orphaned_sessions(server_id, now);
        } else if self.servers[&server_id].needs_connection() {
            if connection.up {
                // Messages of the server on this connection may be lost; it repeats releases on the next one.
                self.connect(server_id, now);
            } else if let Some(server) = self.servers.get_mut(&server_id) {
                let delay = server.retry.next_delay(&mut self.rng);
                server.retry_at = now + delay;
                self.schedule(now + delay, TimerEvent::Reconnect { server: server_id });
            }
        }
        let outcome = match (connection.up, end) {
            (true, _) => SetupOutcome::Broken,
            (false, ConnectionEnd::Unopened) => SetupOutcome::NeverSent,
            (false, _) => SetupOutcome::NoConnection,
        };
        for id in connection.pending_setups {
            let sent = matches!(self.sessions.get(&id).map(|s| &s.stage), Some(Stage::Pending { setup: Some(setup), .. }) if setup.sent);
            self.setup_ended(id, if connection.up && !sent { SetupOutcome::NeverSent } else { outcome }, now);
        }
        (0..probes).for_each(|_| self.engine.probe_finished(server_id, outcome, now));
    }

    /// Ends the sessions on a server that has left the list, as far as no connection is left on which it would report
    /// their end. A connection that was opened after a session had begun may lead to another server, which has got the
    /// address since.
    pub(super) fn end_orphaned_sessions(&mut self, server_id: ServerId, now: Ms) {
        let Some(server) = self.servers.get(&server_id) else { return };
        let opened_at = self.connections_of(server).filter(|(_, c)| c.up).map(|(_, c)| c.opened_at);
        let oldest = opened_at.fold(Ms::INFINITY, Ms::min);
        self.end_sessions_before(server_id, oldest, now);
    }

    /// Ends all sessions on a server.
    pub(super) fn end_all_sessions(&mut self, server_id: ServerId, now: Ms) {
        self.end_sessions_before(server_id, Ms::INFINITY, now);
    }

    /// Ends all sessions on a server that began to play before `cutoff`.
    pub(super) fn end_sessions_before(&mut self, server_id: ServerId, cutoff: Ms, now: Ms) {
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        let sessions = &self.sessions;
        let began_before = |id: &SessionId| match sessions.get(id).map(|s| &s.stage) {
            Some(Stage::Playing { since, .. }) => *since < cutoff,
            _ => true,
        };
        let ended: Vec<SessionId> = server.sessions.iter().copied().filter(began_before).collect();
        for id in &ended {
            server.sessions.remove(id);
            server.unsent.remove(id);
        }
        if !ended.is_empty() {
            self.io_actions.push(IoAction::Log(format!(
                "server {} gone: {} sessions cut",
                server.name,
                ended.len()
            )));
        }
        ended.into_iter().for_each(|id| {
            self.end_session(id, SetupOutcome::Broken, Some(headers::RELEASE_CAUSE_INTERRUPTED), now)
        });
    }

    // ---- messages to servers ----

    /// Starts a SETUP on the connection that suits best: one without a pending SETUP, else a new one, else
    /// the one with the fewest.
    pub(super) fn start_setup(&mut self, id: SessionId, server_id: ServerId, timeout: Ms, now: Ms) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Pending { setup, .. } = &mut session.stage else { return };
        debug_assert!(setup.is_none(), "two SETUPs out for {id:?}");
        let Some(server) = self.servers.get(&server_id) else {
            return self.setup_ended(id, SetupOutcome::NoConnection, now);
        };
        // Not a connection on which an earlier SETUP under this id was cancelled: the answer to that one may still come
        // and would be taken for this one's. The id may be that of a request that has ended.
        let usable = self.connections_of(server).filter(|(_, c)| !c.ended_setups.contains(&id));
        let best = usable.map(|(conn, c)| (c.load(now), conn)).min();
        let free = best.filter(|(load, _)| !load.in_doubt && load.pending_setups == 0);
        let may_connect = best.is_none()
            || server.connections.len() < limits::MAX_CONNECTIONS_PER_SERVER
                && self.server_connections.len() < self.max_server_connections;
        let Some(conn) = free.map(|(_, conn)| conn).or_else(|| {
            if may_connect {
                self.connect(server_id, now)
            } else {
                best.map(|(_, conn)| conn)
            }
        }) else {
            // This node is at its limit of connections, which is no failure of the server.
            return self.setup_ended(id, SetupOutcome::NeverSent, now);
        };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.setup_count += 1;
        session.setup_deadline = now + timeout;
        let attempt = session.setup_count;
        if let Stage::Pending { setup, .. } = &mut session.stage {
            *setup = Some(PendingSetup { server: server_id, conn, attempt, sent: false });
        }
        self.schedule(now + timeout, TimerEvent::SetupTimeout { id, attempt });
        self.request_counts.setups += 1;
        self.log_request(id, |node| {
            let up = node.server_connections.get(&conn).is_some_and(|c| c.up);
            RequestEvent::SetupStarted { attempt, server: node.server_name(server_id), conn, up, timeout }
        });
        if let Some(connection) = self.server_connections.get_mut(&conn) {
            connection.pending_setups.insert(id);
            if connection.up {
                self.offer_setup(id);
            }
        }
    }

    /// Offers a SETUP to the edge, which first handles what is unread from its viewer: it may have cancelled
    /// or closed.
    fn offer_setup(&mut self, id: SessionId) {
        if let Some(Stage::Pending { setup: Some(setup), .. }) = self.sessions.get(&id).map(|s| &s.stage) {
            self.io_actions.push(IoAction::OfferSetup { id, attempt: setup.attempt });
        }
    }

    /// The connections of the viewer and the server of an offered SETUP, or `None` if it is no longer wanted.
    /// The viewer's may have changed since the offer, if it repeated its request on another one.
    pub fn offered_setup_connections(
        &self,
        id: SessionId,
        attempt: u32,
    ) -> Option<(ConnectionId, ConnectionId)> {
        match self.sessions.get(&id).map(|s| &s.stage) {
            Some(Stage::Pending { viewer_conn, setup: Some(setup), .. })
                if setup.attempt == attempt && !setup.sent =>
            {
                Some((*viewer_conn, setup.conn))
            }
            _ => None,
        }
    }

    /// Marks an offered SETUP as sent and returns its bytes, with the session's current rung and the rest of
    /// the time-out; `None` if it is no longer wanted.
    pub fn send_setup(&mut self, id: SessionId, attempt: u32, now: Ms) -> Option<Vec<u8>> {
        let rung = self.engine.session_table.sessions.get(&id).map_or(0, |s| s.rung);
        let session = self.sessions.get_mut(&id)?;
        let Stage::Pending { request, setup: Some(setup), .. } = &mut session.stage else { return None };
        if setup.attempt != attempt || setup.sent || now >= session.setup_deadline {
            return None;
        }
        setup.sent = true;
        if let Some(connection) = self.server_connections.get_mut(&setup.conn) {
            connection.last_used_at = now;
            connection.liveness.request_sent(RequestId::Setup(id), now);
        }
        Some(server::setup_request(request, rung, session.setup_deadline - now))
    }

    /// Ends an offered SETUP unsent, as its connection can't take it now; another server may be used.
    pub fn setup_blocked(&mut self, id: SessionId, attempt: u32, now: Ms) {
        let Some(setup) = self.pending_setup(id, attempt).filter(|setup| !setup.sent) else { return };
        self.cancel_setup(id, setup, now);
        self.setup_ended(id, SetupOutcome::NeverSent, now);
        self.process_engine_actions(now);
    }

    pub(super) fn setup_timed_out(&mut self, id: SessionId, attempt: u32, now: Ms) {
        let Some(setup) = self.pending_setup(id, attempt) else { return };
        self.cancel_setup(id, setup, now);
        let up = self.server_connections.get(&setup.conn).is_some_and(|c| c.up);
        let outcome = match setup.sent {
            true => SetupOutcome::TimedOut,
            // Held back by this node, which is no failure of the server.
            false if up => SetupOutcome::NeverSent,
            false => SetupOutcome::NoConnection,
        };
        self.setup_ended(id, outcome, now);
    }

    /// Cancels a SETUP, with a message to the server if it was sent.
    pub(super) fn cancel_setup(&mut self, id: SessionId, setup: PendingSetup, now: Ms) {
        let Some(connection) = self.server_connections.get_mut(&setup.conn) else { return };
        connection.pending_setups.remove(&id);
        if setup.sent {
            connection.record_ended_setup(id);
            connection.liveness.given_up(RequestId::Setup(id), now);
            self.io_actions
                .push(IoAction::Write { conn: setup.conn, bytes: server::setup_cancel_request(id.0) });
        }
    }

    /// Sends a message on a playing session, on any connection to its server, or keeps it until one opens.
    pub(super) fn send_to_server(
        &mut self,
        server_id: ServerId,
        id: SessionId,
        message: SessionMessage,
        now: Ms,
    ) {
        let Some(server) = self.servers.get(&server_id) else { return };
        let up = self.connections_of(server).filter(|(_, c)| c.up);
        let best = up.min_by_key(|(_, c)| c.liveness.is_in_doubt(now));
        match best.map(|(conn, _)| conn) {
            Some(conn) => self.write_to_server(conn, id, message, now),
            None => {
                if let Some(server) = self.servers.get_mut(&server_id) {
                    server.unsent.insert(id, message);
                }
                self.ensure_connection(server_id, now);
            }
        }
    }

    pub(super) fn write_to_server(
        &mut self,
        conn: ConnectionId,
        id: SessionId,
        message: SessionMessage,
        now: Ms,
    ) {
        let bytes = match message {
            SessionMessage::Rung(rung) => server::rung_request(id.0, rung),
            SessionMessage::Release => server::release_request(id.0, headers::RELEASE_CAUSE_WITHDRAWN),
        };
        if let (SessionMessage::Release, Some(connection)) = (message, self.server_connections.get_mut(&conn))
        {
            connection.unconfirmed_releases.retain(|(at, _)| now - at < limits::RELEASE_RETENTION);
            connection.unconfirmed_releases.truncate(limits::MAX_PENDING_RELEASES - 1);
            connection.unconfirmed_releases.push_back((now, id));
        }
        self.io_actions.push(IoAction::Write { conn, bytes });
    }

    pub(super) fn set_rung(&mut self, id: SessionId, rung: u8) {
        let Some(Stage::Playing { server, .. }) = self.sessions.get(&id).map(|s| &s.stage) else { return };
        let (server_id, now) = (*server, self.last_call_at);
        self.send_to_server(server_id, id, SessionMessage::Rung(rung), now);
    }

    /// Sends a probe, or queues it on a connection that is being opened.
    pub(super) fn probe(&mut self, server_id: ServerId, now: Ms) {
        let Some(server) = self.servers.get(&server_id) else { return };
        let best = self.connections_of(server).map(|(conn, c)| (c.load(now), conn)).min();
        let conn = match best {
            Some((_, conn)) => Some(conn),
            None => self.connect(server_id, now),
        };
        let Some((conn, connection)) = conn.and_then(|c| Some((c, self.server_connections.get_mut(&c)?)))
        else {
            return;
        };
        if connection.up {
            self.send_options(conn, OptionsPurpose::Probe, now);
        } else {
            connection.queued_probes += 1;
        }
    }

    pub(super) fn send_options(&mut self, conn: ConnectionId, purpose: OptionsPurpose, now: Ms) {
        let id = self.rng.u64(..);
        let Some(connection) = self.server_connections.get_mut(&conn) else { return };
        connection.pending_options.insert(id, PendingOptions { purpose, sent_at: now });
        connection.liveness.request_sent(RequestId::Options(id), now);
        let (timeout, bytes) = match purpose {
            OptionsPurpose::Probe => (self.configuration.probe_timeout_ms, server::load_probe_request(id)),
            OptionsPurpose::Ping => (limits::PING_TIMEOUT, server::ping_request(id)),
        };
        self.schedule(now + timeout, TimerEvent::OptionsTimeout { conn, id });
        self.io_actions.push(IoAction::Write { conn, bytes });
    }

    /// Handles an OPTIONS request that was not answered in time. After a ping, a new connection shows whether
    /// the server is alive.
    pub(super) fn options_timed_out(&mut self, conn: ConnectionId, id: u64, now: Ms) {
        let Some(connection) = self.server_connections.get_mut(&conn) else { return };
        let server_id = connection.server;
        let Some(options) = connection.pending_options.remove(&id) else { return };
        connection.liveness.given_up(RequestId::Options(id), now);
        if options.purpose == OptionsPurpose::Probe {
            return self.engine.probe_finished(server_id, SetupOutcome::TimedOut, now);
        }
        connection.liveness.ping_timed_out(options.sent_at, now);
        let failed = connection.liveness.has_failed_ping();
        let Some(server) = self.servers.get(&server_id) else { return };
        let heard_elsewhere = server.last_message_at > options.sent_at;
        let latest = server.connections.iter().max() == Some(&conn);
        if !failed || !latest || heard_elsewhere {
            return;
        }
        match server.list_state {
            ServerState::Gone => self.end_all_sessions(server_id, now),
            _ => drop(self.connect(server_id, now)),
        }
    }
}
