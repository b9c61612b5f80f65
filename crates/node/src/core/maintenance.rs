//! Timers: overdue, idle and silent peers.
use super::server_connections::{OptionsPurpose, Server, ServerConnection};
use super::{Node, Stage, TimerEvent};
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use std::collections::BTreeSet;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, ServerId, SessionId};

impl Node {
    /// The latest time at which [`Node::process_due`] is to be called next.
    pub fn next_call_at(&self, now: Ms) -> Ms {
        let deferred_until = self.stall.timeouts_deferred_until(now).unwrap_or(Ms::NEG_INFINITY);
        self.timers
            .next_due_at()
            .map_or(self.engine_next_call_at, |t| t.max(deferred_until).min(self.engine_next_call_at))
    }

    /// Handles the timers that are due. To be called after each round of events and at
    /// [`Node::next_call_at`].
    pub fn process_due(&mut self, now: Ms) {
        self.last_call_at = now;
        if let Some(late_ms) = self.stall.record_wakeup(now) {
            self.io_actions.push(IoAction::Log(format!("stalled for={late_ms:.0}")));
        }
        if self.stall.timeouts_deferred_until(now).is_none() {
            while let Some(event) = self.timers.pop_due(now) {
                self.handle_timer(event, now);
                self.process_engine_actions(now);
            }
        }
        self.engine.timer_fired(now);
        // A waiting session that has been placed may have to wait once more: only a second call returns the
        // probe or the time that it then waits for.
        if self.engine.process_due(now, &mut self.engine_actions) {
            self.process_engine_actions(now);
            self.engine.process_due(now, &mut self.engine_actions);
        }
        self.process_engine_actions(now);
        self.stall.expect_wakeup_at(self.next_call_at(now));
    }

    fn handle_timer(&mut self, event: TimerEvent, now: Ms) {
        match event {
            TimerEvent::SetupTimeout { id, attempt } => self.setup_timed_out(id, attempt, now),
            TimerEvent::ConnectTimeout { conn } => {
                if self.server_connections.get(&conn).is_some_and(|c| !c.up) {
                    self.close_server_connection(conn, now);
                }
            }
            TimerEvent::OptionsTimeout { conn, id } => self.options_timed_out(conn, id, now),
            TimerEvent::Reconnect { server } => {
                if self.servers.get(&server).is_some_and(|s| s.needs_connection()) {
                    self.ensure_connection(server, now);
                }
            }
            TimerEvent::ShutdownCheck => {
                self.exit_if_done(now);
                self.schedule(now + limits::SHUTDOWN_CHECK_INTERVAL, TimerEvent::ShutdownCheck);
            }
            TimerEvent::Sweep => {
                self.sweep_viewers(now);
                self.sweep_servers(now);
                self.remove_unused_servers();
                if now - self.engine.state.started_at > limits::EARLY_MESSAGE_PERIOD {
                    self.early_rungs.clear();
                    self.early_ends.clear();
                }
                self.pending_releases.retain(|r| now - r.created_at < limits::RELEASE_RETENTION);
                self.schedule(now + limits::SWEEP_INTERVAL, TimerEvent::Sweep);
            }
        }
    }

    /// Closes viewers' connections that are overdue or idle.
    fn sweep_viewers(&mut self, now: Ms) {
        let overdue = self.viewers.iter().filter(|(_, viewer)| {
            let silent =
                !viewer.has_sent_message && now - viewer.accepted_at >= limits::VIEWER_FIRST_MESSAGE_TIMEOUT;
            let message_overdue = viewer.partial_since.map(|t| now - t >= limits::VIEWER_MESSAGE_TIMEOUT);
            // A connection that never brought a valid set-up needs no more answers. One that did is left to
            // its viewer to close while there is room: a set-up that crosses the close would go unread, and
            // has to be answered.
            let idle_timeout =
                if viewer.has_sent_setup { Ms::INFINITY } else { limits::VIEWER_FIRST_MESSAGE_TIMEOUT };
            // A message that has begun has its own time-out in place of the idle ones.
            viewer.open_setups.is_empty()
                && message_overdue.unwrap_or(silent || now - viewer.last_used_at >= idle_timeout)
        });
        let overdue: Vec<ConnectionId> = overdue.map(|(conn, _)| *conn).collect();
        overdue.into_iter().for_each(|conn| self.io_actions.push(IoAction::CloseIfIdle { conn }));
        if self.viewers.len() > self.max_viewer_connections {
            self.close_least_used_viewer(now);
        }
    }

    /// Closes connections to servers that are overdue, dead or idle, opens those that are missing, and pings those
    /// that may not work.
    fn sweep_servers(&mut self, now: Ms) {
        self.close_dead_connections(now);
        self.record_use_of_dead_connections(now);
        let mut close = Vec::new();
        let mut ping = Vec::new();
        let mut connect = Vec::new();
        for (id, server) in &self.servers {
            if self.needs_new_connection(server, now) {
                connect.push(*id);
            }
            close.extend(self.idle_connections(server, now));
            if server.needs_connection() {
                ping.extend(self.connections_to_ping(server, now));
            }
        }
        connect.into_iter().for_each(|id| self.renew_connection(id, now));
        ping.into_iter().for_each(|conn| self.send_options(conn, OptionsPurpose::Ping, now));
        close.into_iter().for_each(|conn| self.close_server_connection(conn, now));
    }

    /// Closes connections on which a message has not been completed in time, or that are dead though their server is
    /// alive.
    fn close_dead_connections(&mut self, now: Ms) {
        let servers = &self.servers;
        let is_dead = |c: &mut ServerConnection| {
            let incomplete = c.partial_since.is_some_and(|t| now - t >= limits::SERVER_MESSAGE_TIMEOUT);
            let server_heard_at = servers.get(&c.server).map_or(Ms::NEG_INFINITY, |s| s.last_message_at);
            c.up && (incomplete || c.liveness.check_dead(server_heard_at, now))
        };
        let connections = self.server_connections.iter_mut();
        let dead: Vec<ConnectionId> =
            connections.filter_map(|(conn, c)| is_dead(c).then_some(*conn)).collect();
        dead.into_iter().for_each(|conn| self.give_up_dead_connection(conn, now));
    }

    /// Whether a connection is to be opened now, for what the server reports on it: it repeats the ends of sessions on
    /// the next connection that is opened, and viewers have to be told of them in time.
    fn needs_new_connection(&self, server: &Server, now: Ms) -> bool {
        if server.list_state == ServerState::Gone || !server.needs_connection() {
            return false;
        }
        if server.connections.is_empty() {
            return now - server.closed_for_room_at >= limits::MAX_TIME_WITHOUT_CONNECTION;
        }
        let opening = self.connections_of(server).any(|(_, c)| !c.up);
        if opening || now < server.retry_at {
            return false;
        }
        // The server may have forgotten connections that have been idle. Pings would show that too, but they cost as
        // much as probes.
        let heard_at = self.connections_of(server).map(|(_, c)| c.heard_at()).fold(Ms::NEG_INFINITY, Ms::max);
        let idle = now - heard_at >= limits::MAX_IDLE_WITH_SESSIONS;
        idle || server.lost_connection || self.release_repeat_is_due(server, now)
    }

    /// Whether a new connection is due for releases that may be lost on a dead one.
    fn release_repeat_is_due(&self, server: &Server, now: Ms) -> bool {
        let due = server.last_connected_at <= server.dead_connection_at
            || now - server.last_connected_at >= limits::MAX_RELEASE_REPEAT_INTERVAL;
        due && self.may_lose_releases(server, now)
    }

    /// Whether releases may be lost on a dead connection that the server takes for open. It sends them on the connection
    /// on which it accepted the session, or on any one if that has been closed.
    fn may_lose_releases(&self, server: &Server, now: Ms) -> bool {
        let mut accepted_on = server.sessions.iter().map(|id| self.accepted_on(*id));
        self.may_hold_dead_connection(server, now)
            && accepted_on.any(|conn| conn.is_none_or(|conn| !server.connections.contains(&conn)))
    }

    /// Whether the server may take a dead connection for open: it closes one only once it has not used it for the
    /// platform's idle time-out. Its last use may have come after the last sweep that could know of it.
    fn may_hold_dead_connection(&self, server: &Server, now: Ms) -> bool {
        let idle_timeout = self.configuration.idle_timeout_ms + limits::SWEEP_INTERVAL;
        now - server.dead_connection_used_at < idle_timeout
    }

    /// Records which servers may be using a dead connection now: whatever concerns a session may be sent on it as long as
    /// its release would be.
    fn record_use_of_dead_connections(&mut self, now: Ms) {
        let users = self.servers.iter().filter(|(_, server)| self.may_lose_releases(server, now));
        let users: Vec<ServerId> = users.map(|(id, _)| *id).collect();
        for id in users {
            if let Some(server) = self.servers.get_mut(&id) {
                server.dead_connection_used_at = now;
            }
        }
    }

    /// The connection on which a server accepted a playing session, unless it was handed over.
    fn accepted_on(&self, id: SessionId) -> Option<ConnectionId> {
        match self.sessions.get(&id)?.stage {
            Stage::Playing { server_conn, .. } => server_conn,
            Stage::Pending { .. } => None,
        }
    }

    /// Opens a new connection to a server, in place of any that only served for the same purpose. What is lost on these
    /// is repeated on the new one.
    fn renew_connection(&mut self, server_id: ServerId, now: Ms) {
        let Some(server) = self.servers.get(&server_id) else { return };
        let in_use: BTreeSet<ConnectionId> =
            server.sessions.iter().filter_map(|id| self.accepted_on(*id)).collect();
        let spare = self.connections_of(server).filter(|(conn, c)| {
            c.up && !in_use.contains(conn) && c.pending_setups.is_empty() && c.pending_options.is_empty()
        });
        let mut spare: Vec<(Ms, ConnectionId)> = spare.map(|(conn, c)| (c.last_used_at, conn)).collect();
        spare.sort_by(|a, b| a.0.total_cmp(&b.0));
        if spare.len() == server.connections.len() {
            spare.pop();
        }
        for (_, conn) in spare {
            self.close_working_connection(conn, server_id, now);
        }
        self.connect(server_id, now);
    }

    /// The connections to a server that have been idle for long enough to be closed.
    fn idle_connections<'a>(
        &'a self,
        server: &'a Server,
        now: Ms,
    ) -> impl Iterator<Item = ConnectionId> + 'a {
        let idle_timeout = |index: usize| match index {
            // A release that crosses the close would be lost.
            _ if server.needs_connection() => Ms::INFINITY,
            0 if server.list_state == ServerState::Gone => 0.0,
            0 => self.configuration.idle_timeout_ms * limits::IDLE_TIMEOUT_SHARE,
            _ => limits::EXTRA_CONNECTION_IDLE_TIMEOUT,
        };
        let up = self.connections_of(server).filter(|(_, c)| c.up).enumerate();
        let idle = up.filter(move |(index, (_, c))| {
            let busy = !c.pending_setups.is_empty() || !c.pending_options.is_empty();
            !busy && now - c.last_used_at >= idle_timeout(*index)
        });
        idle.map(|(_, (conn, _))| conn)
    }

    /// The connections to a server in use that may not work: those on which requests stay unanswered, all silent ones
    /// if they can't be replaced, and the latest one if nothing has come in for long, or if it has to show that an earlier one is dead.
    fn connections_to_ping(&self, server: &Server, now: Ms) -> Vec<ConnectionId> {
        let up: Vec<_> = self.connections_of(server).filter(|(_, c)| c.up).collect();
        // A server that has left the list gets no new connection, on which it would repeat what was lost.
        let irreplaceable = server.list_state == ServerState::Gone;
        let is_silent = |c: &ServerConnection| now - c.heard_at() >= limits::PING_AFTER_SILENCE;
        let to_test = up.iter().filter(|(_, c)| c.liveness.wants_ping(now) || irreplaceable && is_silent(c));
        let mut ping: Vec<ConnectionId> = to_test.map(|(conn, _)| *conn).collect();
        let silent = now - server.last_seen_at >= limits::PING_AFTER_SILENCE;
        let failed_at = up.iter().filter_map(|(_, c)| c.liveness.failed_ping_at()).max_by(Ms::total_cmp);
        let unproven = failed_at.is_some_and(|failed_at| server.last_message_at <= failed_at);
        let latest = up.iter().max_by_key(|(conn, c)| (!c.liveness.has_failed_ping(), *conn));
        if let Some((conn, _)) = latest.filter(|(conn, _)| (silent || unproven) && !ping.contains(conn)) {
            ping.push(*conn);
        }
        ping.retain(|conn| !self.server_connections[conn].awaits_ping());
        ping
    }
}
