//! Timers: overdue, idle and silent peers.
use super::server_connections::OptionsPurpose;
use super::{Node, TimerEvent};
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use walnutline::fleet::ServerState;
use walnutline::ids::Ms;

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

    /// Closes connections to servers that are overdue or idle, opens those that are missing, and pings silent
    /// servers.
    fn sweep_servers(&mut self, now: Ms) {
        let is_overdue = |since: Option<Ms>| since.is_some_and(|t| now - t >= limits::SERVER_MESSAGE_TIMEOUT);
        let overdue = self.server_connections.iter().filter(|(_, c)| c.up && is_overdue(c.partial_since));
        let overdue: Vec<ConnectionId> = overdue.map(|(conn, _)| *conn).collect();
        overdue.into_iter().for_each(|conn| self.close_server_connection(conn, now));
        let mut close = Vec::new();
        let mut ping = Vec::new();
        let mut reconnect = Vec::new();
        for (id, server) in &self.servers {
            // A server reports the ends of sessions on the next connection that is opened, and viewers have
            // to be told of them in time.
            if server.connections.is_empty()
                && server.needs_connection()
                && now - server.closed_for_room_at >= limits::MAX_TIME_WITHOUT_CONNECTION
            {
                reconnect.push(*id);
            }
            let in_use = server.needs_connection();
            let up_connections: Vec<ConnectionId> = server
                .connections
                .iter()
                .copied()
                .filter(|conn| self.server_connections.get(conn).is_some_and(|c| c.up))
                .collect();
            for (index, conn) in up_connections.iter().enumerate() {
                let connection = &self.server_connections[conn];
                let busy = !connection.pending_setups.is_empty() || !connection.pending_options.is_empty();
                let idle_timeout = match index {
                    // A release that crosses the close would be lost.
                    _ if in_use => Ms::INFINITY,
                    0 if server.list_state == ServerState::Gone => 0.0,
                    0 => self.configuration.idle_timeout_ms * limits::IDLE_TIMEOUT_SHARE,
                    _ => limits::EXTRA_CONNECTION_IDLE_TIMEOUT,
                };
                if !busy && now - connection.last_used_at >= idle_timeout {
                    close.push(*conn);
                }
            }
            if let (true, Some(conn)) =
                (in_use && now - server.last_seen_at >= limits::PING_AFTER_SILENCE, up_connections.first())
            {
                if self.server_connections[conn].pending_options.values().all(|p| *p != OptionsPurpose::Ping)
                {
                    ping.push(*conn);
                }
            }
        }
        reconnect.into_iter().for_each(|id| self.ensure_connection(id, now));
        ping.into_iter().for_each(|conn| self.send_options(conn, OptionsPurpose::Ping, now));
        close.into_iter().for_each(|conn| self.close_server_connection(conn, now));
    }
}
