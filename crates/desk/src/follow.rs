//! Which events of the list of boxes may be applied. Events are numbered without gaps; a whole list may come at
//! any number, changes only directly after the event before them.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sort {
    Whole,
    Changes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Apply,
    /// Heard before: to be passed over.
    Repeat,
    /// Something is missing before it: the stream is to be opened anew, without a number to resume from.
    Gap,
}

/// Where this front stands in the stream of the list.
#[derive(Debug, Clone, Default)]
pub struct Follow {
    last: Option<u64>,
}

impl Follow {
    pub fn heard(&mut self, number: u64, sort: Sort) -> Verdict {
        match (sort, self.last) {
            // Also a lower number: the list's server began anew and says so with a whole list.
            (Sort::Whole, _) => self.last = Some(number),
            (Sort::Changes, Some(last)) if number <= last => return Verdict::Repeat,
            (Sort::Changes, Some(last)) if number - 1 == last => self.last = Some(number),
            (Sort::Changes, _) => {
                self.last = None;
                return Verdict::Gap;
            }
        }
        Verdict::Apply
    }

    /// An event could not be read: what it said is missing, as after a gap.
    pub fn unreadable(&mut self) {
        self.last = None;
    }

    /// The number to resume from when the stream is opened again; `None` asks for the whole list.
    pub fn resume(&self) -> Option<u64> {
        self.last
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn changes_need_the_event_before_them() {
        let mut f = Follow::default();
        assert_eq!(f.heard(4, Sort::Changes), Verdict::Gap);
        assert_eq!(f.heard(4, Sort::Whole), Verdict::Apply);
        assert_eq!(f.heard(5, Sort::Changes), Verdict::Apply);
        assert_eq!(f.heard(5, Sort::Changes), Verdict::Repeat);
        assert_eq!(f.resume(), Some(5));
        assert_eq!(f.heard(7, Sort::Changes), Verdict::Gap);
        assert_eq!(f.resume(), None);
        assert_eq!(f.heard(1, Sort::Whole), Verdict::Apply);
        assert_eq!(f.resume(), Some(1));
    }

    proptest! {
        /// Whatever is lost, repeated or put in another order, what was applied is the list as it was at the
        /// number that the front would resume from.
        #[test]
        fn what_is_applied_is_never_a_mixture(order in prop::collection::vec((0u64..12, any::<bool>()), 0..60)) {
            let mut follow = Follow::default();
            let mut held: Vec<u64> = Vec::new();
            for (number, whole) in order {
                let sort = if whole { Sort::Whole } else { Sort::Changes };
                if follow.heard(number, sort) == Verdict::Apply {
                    if whole { held = (0..=number).collect() } else { held.push(number) }
                }
                if let Some(last) = follow.resume() {
                    prop_assert_eq!(&held, &(0..=last).collect::<Vec<_>>());
                }
            }
        }
    }
}
