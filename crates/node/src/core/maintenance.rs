//! What is due with time: overdue, idle and silent peers, and the end of the node.
use super::server_connections::Test;
use super::{Due, Node, Stage};
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use walnutline::fleet::ServerState;
use walnutline::ids::Ms;

impl Node {
    /// When [`Node::process_due`] is to be called next at the latest.
    pub fn next_call_at(&self, now: Ms) -> Ms {
        let held_back = self.stall.timeouts_deferred_until(now).unwrap_or(Ms::NEG_INFINITY);
        self.timers.next_due_at().map_or(self.again_at, |t| t.max(held_back).min(self.again_at))
    }

    /// Does what is due; to be called after each round of events and whenever [`Node::next_call_at`] has come.
    pub fn process_due(&mut self, now: Ms) {
        self.clock = now;
        if let Some(late) = self.stall.record_wakeup(now) {
            self.dos.push(IoAction::Log(format!("stalled for={late:.0}")));
        }
        if self.stall.timeouts_deferred_until(now).is_none() {
            while let Some(due) = self.timers.pop_due(now) {
                self.fire(due, now);
                self.settle(now);
            }
        }
        self.desk.timer_fired(now);
        // A session that is placed and held again waits for a probe or a time that only a further call tells.
        if self.desk.process_due(now, &mut self.actions) {
            self.settle(now);
            self.desk.process_due(now, &mut self.actions);
        }
        self.settle(now);
        self.stall.expect_wakeup_at(self.next_call_at(now));
    }

    fn fire(&mut self, due: Due, now: Ms) {
        match due {
            Due::Setup { id, no } => self.setup_due(id, no, now),
            Due::Connecting { conn } => {
                if self.lines.get(&conn).is_some_and(|l| !l.up) {
                    self.close_line(conn, now);
                }
            }
            Due::Test { conn, id } => self.test_due(conn, id, now),
            Due::Reconnect { server } => {
                if self.servers.get(&server).is_some_and(|s| s.is_needed()) {
                    self.keep_up(server, now);
                }
            }
            Due::End => {
                self.end_if_due(now);
                self.timers.schedule(now + limits::SHUTDOWN_CHECK_INTERVAL, Due::End);
            }
            Due::Sweep => {
                self.sweep_viewers(now);
                self.sweep_servers(now);
                self.forget();
                if now - self.desk.state.started_at > limits::EARLY_MESSAGE_PERIOD {
                    self.early_rungs.clear();
                    self.early_ends.clear();
                }
                self.owed.retain(|o| now - o.since < limits::RELEASE_RETENTION);
                self.timers.schedule(now + limits::SWEEP_INTERVAL, Due::Sweep);
            }
        }
    }

    fn sweep_viewers(&mut self, now: Ms) {
        let overdue = self.viewers.iter().filter(|(_, v)| {
            let silent = !v.spoke && now - v.since >= limits::VIEWER_FIRST_MESSAGE_TIMEOUT;
            let overdue = v.partial.map(|t| now - t >= limits::VIEWER_MESSAGE_TIMEOUT);
            // One that never brought a good set-up has had its answers. A viewer's own is left to it to close, as long as
            // there is room: a set-up that crosses the close may be read here by nobody, and its answer is owed.
            let keep = if v.good { Ms::INFINITY } else { limits::VIEWER_FIRST_MESSAGE_TIMEOUT };
            // One that has begun to ask is heard to the end of it.
            v.open.is_empty() && overdue.unwrap_or(silent || now - v.used >= keep)
        });
        let overdue: Vec<ConnectionId> = overdue.map(|(conn, _)| *conn).collect();
        overdue.into_iter().for_each(|conn| self.dos.push(IoAction::CloseIfIdle { conn }));
        if self.viewers.len() > self.most_viewers {
            self.retire_one(now);
        }
    }

    fn sweep_servers(&mut self, now: Ms) {
        let partial = |t: Option<Ms>| t.is_some_and(|t| now - t >= limits::SERVER_MESSAGE_TIMEOUT);
        let overdue = self.lines.iter().filter(|(_, l)| l.up && partial(l.partial));
        let overdue: Vec<ConnectionId> = overdue.map(|(conn, _)| *conn).collect();
        overdue.into_iter().for_each(|conn| self.close_line(conn, now));
        let mut close = Vec::new();
        let mut test = Vec::new();
        let mut again = Vec::new();
        for (id, s) in &self.servers {
            // What ended there is told on the next connection opened, and owed to a viewer in time.
            if s.lines.is_empty() && s.is_needed() && now - s.parted >= limits::MAX_TIME_WITHOUT_CONNECTION {
                again.push(*id);
            }
            let used = s.is_needed();
            let up: Vec<ConnectionId> =
                s.lines.iter().copied().filter(|c| self.lines.get(c).is_some_and(|l| l.up)).collect();
            for (n, conn) in up.iter().enumerate() {
                let line = &self.lines[conn];
                let busy = !line.out.is_empty() || !line.tests.is_empty();
                let keep = match n {
                    // A release that crosses the close would be lost.
                    _ if used => Ms::INFINITY,
                    0 if s.listing == ServerState::Gone => 0.0,
                    0 => self.told.idle_timeout_ms * limits::IDLE_TIMEOUT_SHARE,
                    _ => limits::EXTRA_CONNECTION_IDLE_TIMEOUT,
                };
                if !busy && now - line.used >= keep {
                    close.push(*conn);
                }
            }
            if let (true, Some(conn)) = (used && now - s.heard >= limits::PING_AFTER_SILENCE, up.first()) {
                if self.lines[conn].tests.values().all(|t| *t != Test::There) {
                    test.push(*conn);
                }
            }
        }
        again.into_iter().for_each(|id| self.keep_up(id, now));
        test.into_iter().for_each(|conn| self.test(conn, Test::There, now));
        close.into_iter().for_each(|conn| self.close_line(conn, now));
    }

    /// The node was told to stop at that time: it takes and answers what still comes, and ends once nothing
    /// is owed.
    pub fn stop(&mut self, at: Ms) {
        if self.stopping.is_none() {
            self.stopping = Some(at);
            self.timers.schedule(at + limits::SHUTDOWN_REQUEST_PERIOD, Due::End);
            self.dos.push(IoAction::Log(format!("stopping sessions={}", self.sess.len())));
        }
    }

    fn end_if_due(&mut self, now: Ms) {
        let Some(told) = self.stopping else { return };
        let asked = self.sess.values().any(|s| matches!(s.stage, Stage::Asked { .. }));
        // A request of which a part is there is about to be taken.
        let begun = self.viewers.values().any(|v| v.partial.is_some());
        let last =
            limits::SHUTDOWN_SESSION_GRACE + self.told.max_viewer_wait_ms.min(limits::MAX_SHUTDOWN_WAIT);
        let empty = self.sess.is_empty() && self.owed.is_empty() && !begun;
        let done = empty && now - told >= limits::SHUTDOWN_REQUEST_PERIOD;
        if !asked && (done || now - told >= last) {
            // Close to the kill, what would be waited for is lost either way.
            self.dos.push(IoAction::Exit { at_once: now - told >= last + limits::SHUTDOWN_FLUSH_TIMEOUT });
        }
    }
}
