//! Detects that this process was suspended (stopped, swapped out, starved of processor time) and defers time-outs
//! after it.
use walnutline::ids::Ms;

/// A wake-up that is late by this much or more counts as a stall.
const STALL_THRESHOLD: Ms = 100.0;
/// How long time-outs are deferred after a stall, while what the sockets already hold is read.
const TIMEOUT_GRACE: Ms = 40.0;

/// Detects stalls by late wake-ups, and defers time-outs after them.
///
/// After a stall, answers that arrived in time are still unread in the sockets while every time-out is due. If the
/// time-outs fired at once, they would exclude healthy boxes and send further SETUPs for sessions that were answered.
/// So time-outs are deferred for a moment. The deadline of a viewer is not.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When the process is due to wake up.
    due_at: Option<Ms>,
    /// When the deferral of time-outs ends.
    grace_until: Option<Ms>,
}

impl StallDetector {
    /// Records that the process woke up; returns the length of a stall, if there was one. A stall during or right
    /// after a deferral begins no other: a process that is late each time would never handle its time-outs.
    pub fn record_wakeup(&mut self, now: Ms) -> Option<Ms> {
        let late_by = now - self.due_at.take()?;
        let stalled = late_by >= STALL_THRESHOLD;
        self.grace_until = match self.grace_until {
            Some(until) => Some(until).filter(|until| *until > now),
            None => stalled.then_some(now + TIMEOUT_GRACE),
        };
        stalled.then_some(late_by)
    }

    /// The process goes to sleep and is due to wake up at this time.
    pub fn expect_wakeup_at(&mut self, at: Ms) {
        self.due_at = Some(at);
    }

    /// When time-outs may fire again, if they are deferred.
    pub fn timeouts_deferred_until(&self, now: Ms) -> Option<Ms> {
        self.grace_until.filter(|t| *t > now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_late_wakeup_defers_timeouts() {
        let mut stall = StallDetector::default();
        stall.expect_wakeup_at(1_000.0);
        assert_eq!(stall.record_wakeup(1_020.0), None);
        assert_eq!(stall.timeouts_deferred_until(1_020.0), None);
        stall.expect_wakeup_at(1_100.0);
        assert_eq!(stall.record_wakeup(3_100.0), Some(2_000.0));
        assert_eq!(stall.timeouts_deferred_until(3_100.0), Some(3_140.0));
        assert_eq!(stall.timeouts_deferred_until(3_140.0), None);
    }

    #[test]
    fn an_early_wakeup_is_no_stall() {
        let mut stall = StallDetector::default();
        assert_eq!(stall.record_wakeup(5.0), None);
        stall.expect_wakeup_at(9_000.0);
        assert_eq!(stall.record_wakeup(40.0), None);
    }
}
