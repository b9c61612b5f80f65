//! Which events of the list of boxes may be applied. Events are numbered without gaps; a whole list may come at
//! any number, changes only directly after the event before them.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    Snapshot,
    Changes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Apply,
    /// Heard before: to be passed over.
    Duplicate,
    /// Something is missing before it: the stream is to be opened anew, without a number to resume from.
    Gap,
}

/// Where this front stands in the stream of the list.
#[derive(Debug, Clone, Default)]
pub struct ListSequence {
    last: Option<u64>,
}

impl ListSequence {
    pub fn accept(&mut self, number: u64, sort: EventKind) -> Verdict {
        match (sort, self.last) {
            // Also a lower number: the list's server began anew and says so with a whole list.
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

    /// An event could not be read: what it said is missing, as after a gap.
    pub fn discard_position(&mut self) {
        self.last = None;
    }

    /// The number to resume from when the stream is opened again; `None` asks for the whole list.
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
        let mut f = ListSequence::default();
        assert_eq!(f.accept(4, EventKind::Changes), Verdict::Gap);
        assert_eq!(f.accept(4, EventKind::Snapshot), Verdict::Apply);
        assert_eq!(f.accept(5, EventKind::Changes), Verdict::Apply);
        assert_eq!(f.accept(5, EventKind::Changes), Verdict::Duplicate);
        assert_eq!(f.resume_after(), Some(5));
        assert_eq!(f.accept(7, EventKind::Changes), Verdict::Gap);
        assert_eq!(f.resume_after(), None);
        assert_eq!(f.accept(1, EventKind::Snapshot), Verdict::Apply);
        assert_eq!(f.resume_after(), Some(1));
    }

    proptest! {
        /// Whatever is lost, repeated or put in another order, what was applied is the list as it was at the
        /// number that the front would resume from.
        #[test]
        fn what_is_applied_is_never_a_mixture(order in prop::collection::vec((0u64..12, any::<bool>()), 0..60)) {
            let mut follow = ListSequence::default();
            let mut held: Vec<u64> = Vec::new();
            for (number, whole) in order {
                let sort = if whole { EventKind::Snapshot } else { EventKind::Changes };
                if follow.accept(number, sort) == Verdict::Apply {
                    if whole { held = (0..=number).collect() } else { held.push(number) }
                }
                if let Some(last) = follow.resume_after() {
                    prop_assert_eq!(&held, &(0..=last).collect::<Vec<_>>());
                }
            }
        }
    }
}
