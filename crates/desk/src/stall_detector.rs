//! Whether this process stood still (stopped, swapped out, starved), and what is not to be judged for it.
use walnutline::ids::Ms;

/// A wake-up that comes this much after it was due tells of a stall.
const LATE: Ms = 100.0;
/// How long time-outs then wait for what already stands in the sockets to be read.
const GRACE: Ms = 40.0;

/// After a stall, answers that came in time stand unread in the sockets while every time-out is due. Fired at
/// once, they would set sound boxes aside and send further SETUPs beside ones that were answered. So
/// time-outs wait a moment; a viewer's own time is not held back by this.
#[derive(Debug, Default)]
pub struct StallDetector {
    due_at: Option<Ms>,
    grace_until: Option<Ms>,
}

impl StallDetector {
    /// The process wakes; returns how long it stood still, where it did.
    pub fn record_wakeup(&mut self, now: Ms) -> Option<Ms> {
        let late = now - self.due_at.take()?;
        if late < LATE {
            return None;
        }
        self.grace_until = Some(now + GRACE);
        Some(late)
    }

    /// The process goes to sleep until then.
    pub fn expect_wakeup_at(&mut self, at: Ms) {
        self.due_at = Some(at);
    }

    /// When time-outs may fire again, where they have to wait.
    pub fn timeouts_deferred_until(&self, now: Ms) -> Option<Ms> {
        self.grace_until.filter(|t| *t > now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_late_wake_holds_time_outs_back() {
        let mut s = StallDetector::default();
        s.expect_wakeup_at(1_000.0);
        assert_eq!(s.record_wakeup(1_020.0), None);
        assert_eq!(s.timeouts_deferred_until(1_020.0), None);
        s.expect_wakeup_at(1_100.0);
        assert_eq!(s.record_wakeup(3_100.0), Some(2_000.0));
        assert_eq!(s.timeouts_deferred_until(3_100.0), Some(3_140.0));
        assert_eq!(s.timeouts_deferred_until(3_140.0), None);
    }

    #[test]
    fn a_wake_before_its_time_is_no_stall() {
        let mut s = StallDetector::default();
        assert_eq!(s.record_wakeup(5.0), None);
        s.expect_wakeup_at(9_000.0);
        assert_eq!(s.record_wakeup(40.0), None);
    }
}
