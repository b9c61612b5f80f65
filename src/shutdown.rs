//! Decides what a front that is being stopped still does for its viewers. The process has an end of its own, which
//! may come before the end of a viewer's wait: each request gets the smaller of both.
use crate::choice::{ANSWER_MARGIN, FIRST_SETUP_SHARE};
use crate::ids::Ms;
use crate::sessions::{Session, SessionTable};
use crate::state::FrontState;

impl FrontState {
    /// Begins to stop this front: every request, pending or yet to come, is answered by `answer_by`, however long its
    /// viewer waits. Returns the time by which pending SETUPs have to end for that. A second call changes nothing.
    pub fn begin_shutdown(&mut self, table: &mut SessionTable, answer_by: Ms) -> Ms {
        let answer_by = *self.answer_by.get_or_insert(answer_by);
        let setups_end_by = answer_by - ANSWER_MARGIN;
        for session in table.sessions.values_mut().filter(|s| !s.answered) {
            session.viewer_deadline = session.viewer_deadline.min(answer_by);
            session.held_until = session.held_until.map(|held_until| held_until.min(setups_end_by));
        }
        setups_end_by
    }

    /// Whether a new request is to be refused because this front ends before a first SETUP for it has had its usual
    /// time. Another front can give it that time, unless its viewer's wait is as short.
    pub(crate) fn is_too_late_for_setup(&self, session: &Session, now: Ms) -> bool {
        let Some(answer_by) = self.answer_by else { return false };
        let group = &self.settings.service_groups[session.group.0 as usize];
        let ends_with_front = session.viewer_deadline >= answer_by;
        let time_left = answer_by - ANSWER_MARGIN - now;
        session.setup_count == 0 && ends_with_front && time_left < group.start_target * FIRST_SETUP_SHARE
    }

    /// The time by which a request is answered whose viewer waits until `viewer_deadline`.
    pub(crate) fn answer_deadline(&self, viewer_deadline: Ms) -> Ms {
        self.answer_by.map_or(viewer_deadline, |answer_by| viewer_deadline.min(answer_by))
    }
}
