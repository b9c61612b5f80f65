//! The state of a consumer of the change feed: which change is applied, and what to fetch next. Changes are collected
//! for a short time into batches, so that a burst of them makes few versions.
use crate::change::{ApplyError, NumberedChange};
use walnutline::ids::Ms;

/// Most changes in a batch. Applying this many takes less than a millisecond in a catalogue of 2 000 000 titles.
pub const MAX_BATCH_CHANGES: usize = 64;
/// How long the first change of a batch waits for more.
pub const BATCH_DELAY: Ms = 20.0;
/// Consecutive gaps after which a snapshot is fetched, as resuming the feed did not fill them.
const MAX_GAPS: u32 = 2;

/// Returns how long a background thread should pause after a step of work that took `worked`. A thread that wakes to
/// answer a viewer may find its processor busy with the step, and waits until the step or the time slice ends. Short
/// steps with pauses between them bound that delay, where thread priorities alone did not (docs/design/catalogue.md).
/// A pause as long as the step also halves the probability of the delay.
pub fn pause_after(worked: Ms) -> Ms {
    worked.min(MAX_PAUSE)
}

/// Longest pause, so that a stall of the machine does not prolong a load indefinitely.
const MAX_PAUSE: Ms = 20.0;

/// What to fetch from the publisher next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextFetch {
    /// A snapshot of the whole catalogue.
    Snapshot,
    /// The changes after this number.
    ChangesAfter(u64),
}

/// The position of a consumer in the change feed, and the changes that wait to be applied.
#[derive(Debug, Default)]
pub struct FeedFollower {
    /// The number of the last applied change.
    applied: Option<u64>,
    consecutive_gaps: u32,
    /// Changes that wait to be applied.
    pending: Vec<NumberedChange>,
    /// When the first pending change was received.
    pending_since: Ms,
}

impl FeedFollower {
    /// Creates a follower that resumes after a change, or starts with a snapshot if there is none.
    pub fn resume_from(applied: Option<u64>) -> FeedFollower {
        FeedFollower { applied, ..FeedFollower::default() }
    }

    /// What to fetch from the publisher next.
    pub fn next_fetch(&self) -> NextFetch {
        self.applied.map_or(NextFetch::Snapshot, NextFetch::ChangesAfter)
    }

    /// Takes a change from the feed. Changes that are applied or pending already are ignored.
    pub fn receive(&mut self, change: NumberedChange, now: Ms) {
        let last = self.pending.last().map(|c| c.number).or(self.applied);
        if last.is_some_and(|last| change.number <= last) {
            return;
        }
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.push(change);
    }

    /// When the pending changes should be applied; `None` if there are none.
    pub fn batch_due_at(&self) -> Option<Ms> {
        match self.pending.len() {
            0 => None,
            n if n >= MAX_BATCH_CHANGES => Some(Ms::NEG_INFINITY),
            _ => Some(self.pending_since + BATCH_DELAY),
        }
    }

    /// Takes all pending changes, to be applied as one batch.
    pub fn take_batch(&mut self) -> Vec<NumberedChange> {
        std::mem::take(&mut self.pending)
    }

    /// A batch or a snapshot was applied, up to this change.
    pub fn mark_applied(&mut self, number: u64) {
        (self.applied, self.consecutive_gaps) = (Some(number), 0);
        self.pending.clear();
    }

    /// A batch was rejected: the feed should be reopened as [`FeedFollower::next_fetch`] says.
    pub fn batch_rejected(&mut self, error: &ApplyError) {
        self.pending.clear();
        match error {
            ApplyError::Gap { .. } => self.record_gap(),
            ApplyError::Conflict { .. } => self.history_expired(),
        }
    }

    /// A change could not be decoded, which leaves a gap.
    pub fn change_unreadable(&mut self) {
        self.pending.clear();
        self.record_gap();
    }

    fn record_gap(&mut self) {
        self.consecutive_gaps += 1;
        if self.consecutive_gaps >= MAX_GAPS {
            (self.applied, self.consecutive_gaps) = (None, 0);
        }
    }

    /// The publisher no longer has the changes that follow the last applied one.
    pub fn history_expired(&mut self) {
        (self.applied, self.consecutive_gaps) = (None, 0);
        self.pending.clear();
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

    fn version_after(number: u64) -> Version {
        let empty = VersionBuilder::new(0, vec![], None).unwrap().finish();
        empty.with_changes(&(1..=number).map(change).collect::<Vec<_>>()).unwrap()
    }

    proptest! {
        /// With changes lost, repeated or reordered in the feed, the version always matches its number, and an intact
        /// feed from the requested position brings it up to date.
        #[test]
        fn versions_stay_consistent_with_any_order_of_changes(
            received in prop::collection::vec((1u64..12, 0u8..3), 0..60),
        ) {
            let (mut follower, mut version) = (FeedFollower::resume_from(Some(0)), version_after(0));
            let apply = |follower: &mut FeedFollower, version: &mut Version| {
                let batch = follower.take_batch();
                match version.with_changes(&batch) {
                    Ok(next) => {
                        follower.mark_applied(next.number());
                        *version = next;
                    }
                    Err(error) => follower.batch_rejected(&error),
                }
            };
            for (number, action) in received {
                follower.receive(change(number), 0.0);
                if action == 0 && follower.batch_due_at().is_some() {
                    apply(&mut follower, &mut version);
                }
                prop_assert!(version.boxes().map(|b| b.server.0 as u64).eq(1..=version.number()));
            }
            follower.take_batch();
            let from = match follower.next_fetch() {
                NextFetch::Snapshot => {
                    version = version_after(3);
                    follower.mark_applied(3);
                    3
                }
                NextFetch::ChangesAfter(n) => n,
            };
            prop_assert_eq!(from, version.number());
            (from + 1..15).for_each(|n| follower.receive(change(n), 0.0));
            apply(&mut follower, &mut version);
            prop_assert_eq!(version.number(), 14);
        }
    }

    #[test]
    fn a_repeated_gap_or_a_conflict_leads_to_a_snapshot() {
        let mut follower = FeedFollower::resume_from(Some(4));
        let gap = ApplyError::Gap { have: 4, got: 9 };
        follower.batch_rejected(&gap);
        assert_eq!(follower.next_fetch(), NextFetch::ChangesAfter(4));
        follower.batch_rejected(&gap);
        assert_eq!(follower.next_fetch(), NextFetch::Snapshot);
        follower.mark_applied(9);
        follower.batch_rejected(&ApplyError::Conflict { number: 10, reason: String::new() });
        assert_eq!(follower.next_fetch(), NextFetch::Snapshot);
    }

    #[test]
    fn a_batch_is_due_after_the_delay_or_when_it_is_full() {
        let mut follower = FeedFollower::resume_from(Some(0));
        assert_eq!(follower.batch_due_at(), None);
        follower.receive(change(1), 100.0);
        follower.receive(change(2), 110.0);
        assert_eq!(follower.batch_due_at(), Some(100.0 + BATCH_DELAY));
        (3..=MAX_BATCH_CHANGES as u64).for_each(|n| follower.receive(change(n), 111.0));
        assert_eq!(follower.batch_due_at(), Some(Ms::NEG_INFINITY));
    }
}
