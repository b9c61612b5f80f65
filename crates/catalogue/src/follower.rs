//! Where a follower stands in the stream of changes, and what it asks for next. Changes are gathered for a moment, so
//! that a burst of them costs few versions.
use crate::change::{ApplyError, NumberedChange};
use walnutline::ids::Ms;

/// Changes that make one version at most, and how long the first of them waits for more. A version of so many is made
/// in less than a millisecond beside 2 000 000 titles.
pub const MAX_BATCH_CHANGES: usize = 64;
pub const BATCH_DELAY: Ms = 20.0;
/// Gaps in a row at one place after which the stream is not trusted to fill them.
const GAPS: u32 = 2;

/// How long to rest after a piece of work beside requests. A thread that wakes to answer a viewer may find its processor
/// taken, and waits there until the piece or the scheduler's turn ends: short pieces with rests between them bound that,
/// where priorities alone did not (docs/design/catalogue.md). The same time again halves the chance of it, too.
pub fn pause_after(worked: Ms) -> Ms {
    worked.min(LONGEST_REST)
}

/// Rests are bounded, so that a machine that stalls does not stretch a load without end.
const LONGEST_REST: Ms = 20.0;

/// What to ask the publisher for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextFetch {
    /// A whole catalogue.
    Snapshot,
    /// The changes after this number.
    ChangesAfter(u64),
}

#[derive(Debug, Default)]
pub struct FeedFollower {
    /// The last change that is in force here.
    have: Option<u64>,
    gaps: u32,
    /// Changes that wait to be applied, and when the first of them came.
    waiting: Vec<NumberedChange>,
    since: Ms,
}

impl FeedFollower {
    /// From what was kept over a restart, or from nothing.
    pub fn resume_from(have: Option<u64>) -> FeedFollower {
        FeedFollower { have, ..FeedFollower::default() }
    }

    pub fn next_fetch(&self) -> NextFetch {
        self.have.map_or(NextFetch::Snapshot, NextFetch::ChangesAfter)
    }

    /// A change was heard. Those that are in force already or wait already are passed over.
    pub fn receive(&mut self, n: NumberedChange, now: Ms) {
        let last = self.waiting.last().map(|w| w.number).or(self.have);
        if last.is_some_and(|last| n.number <= last) {
            return;
        }
        if self.waiting.is_empty() {
            self.since = now;
        }
        self.waiting.push(n);
    }

    /// When waiting changes are to be applied; `None` while there are none.
    pub fn batch_due_at(&self) -> Option<Ms> {
        match self.waiting.len() {
            0 => None,
            n if n >= MAX_BATCH_CHANGES => Some(Ms::NEG_INFINITY),
            _ => Some(self.since + BATCH_DELAY),
        }
    }

    /// The changes to apply now, all of them in one batch.
    pub fn take_batch(&mut self) -> Vec<NumberedChange> {
        std::mem::take(&mut self.waiting)
    }

    /// A batch, or a whole catalogue, is in force.
    pub fn mark_applied(&mut self, number: u64) {
        (self.have, self.gaps) = (Some(number), 0);
        self.waiting.clear();
    }

    /// A batch was not applied: the stream is to be opened anew by [`FeedFollower::next_fetch`].
    pub fn batch_rejected(&mut self, fault: &ApplyError) {
        self.waiting.clear();
        match fault {
            ApplyError::Gap { .. } => self.missing(),
            ApplyError::Conflict { .. } => self.history_expired(),
        }
    }

    /// A change could not be read: what it said is missing.
    pub fn change_unreadable(&mut self) {
        self.waiting.clear();
        self.missing();
    }

    fn missing(&mut self) {
        self.gaps += 1;
        if self.gaps >= GAPS {
            (self.have, self.gaps) = (None, 0);
        }
    }

    /// The publisher no longer has the changes after ours.
    pub fn history_expired(&mut self) {
        (self.have, self.gaps) = (None, 0);
        self.waiting.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::change::Change;
    use crate::version::{Version, VersionBuilder};
    use proptest::prelude::*;
    use walnutline::ids::ServerId;

    fn change(number: u64) -> NumberedChange {
        NumberedChange { number, change: Change::ServerGone(ServerId(number as u32)) }
    }

    fn at(number: u64) -> Version {
        let v = VersionBuilder::new(0, vec![], None).unwrap().finish();
        v.with_changes(&(1..=number).map(change).collect::<Vec<_>>()).unwrap()
    }

    proptest! {
        /// Whatever the stream loses, repeats or puts in another order: the version in force is always the one of its
        /// number, and a sound stream from where the follower asks brings it up to the end.
        #[test]
        fn never_a_mixture(heard in prop::collection::vec((1u64..12, 0u8..3), 0..60)) {
            let (mut f, mut v) = (FeedFollower::resume_from(Some(0)), at(0));
            let apply = |f: &mut FeedFollower, v: &mut Version| {
                let batch = f.take_batch();
                match v.with_changes(&batch) {
                    Ok(next) => {
                        f.mark_applied(next.number());
                        *v = next;
                    }
                    Err(fault) => f.batch_rejected(&fault),
                }
            };
            for (number, what) in heard {
                f.receive(change(number), 0.0);
                if what == 0 && f.batch_due_at().is_some() {
                    apply(&mut f, &mut v);
                }
                prop_assert!(v.boxes().map(|b| b.server.0 as u64).eq(1..=v.number()));
            }
            f.take_batch();
            let from = match f.next_fetch() {
                NextFetch::Snapshot => {
                    v = at(3);
                    f.mark_applied(3);
                    3
                }
                NextFetch::ChangesAfter(n) => n,
            };
            prop_assert_eq!(from, v.number());
            (from + 1..15).for_each(|n| f.receive(change(n), 0.0));
            apply(&mut f, &mut v);
            prop_assert_eq!(v.number(), 14);
        }
    }

    #[test]
    fn a_gap_is_resumed_once_and_then_all_is_fetched() {
        let mut f = FeedFollower::resume_from(Some(4));
        let gap = ApplyError::Gap { have: 4, got: 9 };
        f.batch_rejected(&gap);
        assert_eq!(f.next_fetch(), NextFetch::ChangesAfter(4));
        f.batch_rejected(&gap);
        assert_eq!(f.next_fetch(), NextFetch::Snapshot);
        f.mark_applied(9);
        f.batch_rejected(&ApplyError::Conflict { number: 10, reason: String::new() });
        assert_eq!(f.next_fetch(), NextFetch::Snapshot);
    }

    #[test]
    fn a_burst_waits_a_moment_and_is_bounded() {
        let mut f = FeedFollower::resume_from(Some(0));
        assert_eq!(f.batch_due_at(), None);
        f.receive(change(1), 100.0);
        f.receive(change(2), 110.0);
        assert_eq!(f.batch_due_at(), Some(100.0 + BATCH_DELAY));
        (3..=MAX_BATCH_CHANGES as u64).for_each(|n| f.receive(change(n), 111.0));
        assert_eq!(f.batch_due_at(), Some(Ms::NEG_INFINITY));
    }
}
