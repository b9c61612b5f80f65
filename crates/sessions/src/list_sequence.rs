//! Which events of the server list may be applied. Events are numbered without gaps. A snapshot of the whole list may
//! come under any number, changes only directly after the event before them.

/// What an event of the list contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// The whole list.
    Snapshot,
    /// The entries that changed since the event before.
    Changes,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Apply it.
    Apply,
    /// Skip it: it was received before.
    Duplicate,
    /// An event before it is missing: reopen the stream without a number to resume from.
    Gap,
}

/// The position of this front in the event stream of the list.
#[derive(Debug, Clone, Default)]
pub struct ListSequence {
    /// Number of the last event that was applied.
    last: Option<u64>,
}

impl ListSequence {
    /// Checks the next event and moves the position where it may be applied.
    pub fn accept(&mut self, number: u64, kind: EventKind) -> Verdict {
        match (kind, self.last) {
            // Also with a lower number: a list server that starts over announces it with a snapshot.
            (EventKind::Snapshot, _) => self.last = Some(number),
            (EventKind::Changes, Some(last)) if number <= last => return Verdict::Duplicate,
            (EventKind::Changes, Some(last)) if number - 1 == last => self.last = Some(number),
            (EventKind::Changes, _) => {
                self.last = None;
                return Verdict::Gap;
            }
        }
        Verdict::Apply
    }

    /// An event could not be parsed: its content is missing, as after a gap.
    pub fn discard_position(&mut self) {
        self.last = None;
    }

    /// The number to resume after when the stream is reopened; `None` requests a snapshot.
    pub fn resume_after(&self) -> Option<u64> {
        self.last
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn changes_need_the_event_before_them() {
        let mut sequence = ListSequence::default();
        assert_eq!(sequence.accept(4, EventKind::Changes), Verdict::Gap);
        assert_eq!(sequence.accept(4, EventKind::Snapshot), Verdict::Apply);
        assert_eq!(sequence.accept(5, EventKind::Changes), Verdict::Apply);
        assert_eq!(sequence.accept(5, EventKind::Changes), Verdict::Duplicate);
        assert_eq!(sequence.resume_after(), Some(5));
        assert_eq!(sequence.accept(7, EventKind::Changes), Verdict::Gap);
        assert_eq!(sequence.resume_after(), None);
        assert_eq!(sequence.accept(1, EventKind::Snapshot), Verdict::Apply);
        assert_eq!(sequence.resume_after(), Some(1));
    }

    proptest! {
        /// However events are lost, repeated or reordered, the applied events make up the list as it was at the
        /// number that the front would resume after.
        #[test]
        fn applied_events_make_up_the_list_at_the_resume_position(
            order in prop::collection::vec((0u64..12, any::<bool>()), 0..60)
        ) {
            let mut sequence = ListSequence::default();
            let mut applied: Vec<u64> = Vec::new();
            for (number, is_snapshot) in order {
                let kind = if is_snapshot { EventKind::Snapshot } else { EventKind::Changes };
                if sequence.accept(number, kind) == Verdict::Apply {
                    if is_snapshot { applied = (0..=number).collect() } else { applied.push(number) }
                }
                if let Some(last) = sequence.resume_after() {
                    prop_assert_eq!(&applied, &(0..=last).collect::<Vec<_>>());
                }
            }
        }
    }
}
