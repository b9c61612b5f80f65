//! The end of the node: from the request to stop to the exit of the process.
use super::{Node, Stage, TimerEvent};
use crate::actions::IoAction;
use crate::limits;
use crate::request_log::RequestEvent;
use walnutline::ids::{Ms, SessionId};

impl Node {
    /// Begins to stop the node, as requested at `requested_at`: it goes on taking and answering requests, and
    /// ends once no work is left. Requests are answered before the node ends, and the platform kills it.
    pub fn stop(&mut self, requested_at: Ms) {
        if self.stop_requested_at.is_some() {
            return self.io_actions.push(IoAction::Log("already stopping".into()));
        }
        self.stop_requested_at = Some(requested_at);
        self.schedule(requested_at + limits::SHUTDOWN_REQUEST_PERIOD, TimerEvent::ShutdownCheck);
        self.log_stop(requested_at);
        let setups_end_by = self.engine.begin_shutdown(requested_at + self.shutdown_period());
        self.end_setups_by(setups_end_by);
    }

    /// Shortens the time-outs of pending SETUPs that would end later.
    fn end_setups_by(&mut self, time: Ms) {
        for (id, session) in &mut self.sessions {
            if let Stage::Pending { setup: Some(setup), .. } = &session.stage {
                if session.setup_deadline > time {
                    session.setup_deadline = time;
                    let event = TimerEvent::SetupTimeout { id: *id, attempt: setup.attempt };
                    self.timers.schedule(time, event);
                }
            }
        }
    }

    /// Logs what is left to do for a node that has been asked to stop.
    fn log_stop(&mut self, now: Ms) {
        let (sessions, pending) = (self.sessions.len(), self.pending_count());
        let viewers = self.viewers.len();
        self.io_actions.push(IoAction::Log(format!(
            "stopping sessions={sessions} pending={pending} viewers={viewers} end_within_ms={:.0}",
            self.shutdown_period()
        )));
        let pending = self.sessions.iter().filter(|(_, s)| matches!(s.stage, Stage::Pending { .. }));
        let pending: Vec<(SessionId, Ms, u32)> =
            pending.map(|(id, s)| (*id, now - s.taken_at, s.setup_count)).collect();
        for (id, age, setups) in pending {
            self.log_request(id, |_| RequestEvent::PendingAtStop { age, setups });
        }
    }

    /// Time from the request to stop within which requests are answered, and for which playing sessions are
    /// kept.
    fn shutdown_period(&self) -> Ms {
        limits::SHUTDOWN_SESSION_GRACE + self.configuration.max_viewer_wait_ms.min(limits::MAX_SHUTDOWN_WAIT)
    }

    /// Ends the process once no request is pending and either no session is left or the time for them is
    /// over.
    pub(super) fn exit_if_done(&mut self, now: Ms) {
        let Some(requested_at) = self.stop_requested_at else { return };
        let any_pending = self.pending_count() > 0;
        // A request that has begun to arrive is about to be taken.
        let any_partial = self.viewers.values().any(|v| v.partial_since.is_some());
        let session_time = self.shutdown_period();
        let empty = self.sessions.is_empty() && self.pending_releases.is_empty() && !any_partial;
        let done = empty && now - requested_at >= limits::SHUTDOWN_REQUEST_PERIOD;
        if !any_pending && (done || now - requested_at >= session_time) {
            // Close to the kill, the remaining input and output are lost whether the process waits for them
            // or not.
            self.io_actions.push(IoAction::Exit {
                at_once: now - requested_at >= session_time + limits::SHUTDOWN_FLUSH_TIMEOUT,
            });
        }
    }
}
