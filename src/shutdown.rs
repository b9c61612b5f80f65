//! Decides what a front that is being stopped still does for its viewers. The process has an end of its own, which
//! may come before the end of a viewer's wait: each request gets the smaller of both.
use crate::choice::ANSWER_MARGIN;
use crate::ids::Ms;
use crate::sessions::SessionTable;
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

    /// The time by which a request is answered whose viewer waits until `viewer_deadline`.
    pub(crate) fn answer_deadline(&self, viewer_deadline: Ms) -> Ms {
        self.answer_by.map_or(viewer_deadline, |answer_by| viewer_deadline.min(answer_by))
    }
}
