//! Where a follower stands in the stream of changes, and what it asks for next. Changes are gathered for a moment, so
//! that a burst of them costs few versions.
use crate::change::{Fault, Numbered};
use walnutline::ids::Ms;

/// Changes that make one version at most, and how long the first of them waits for more. A version of so many is made
/// in less than a millisecond beside 2 000 000 titles.
pub const BATCH: usize = 64;
pub const GATHER: Ms = 20.0;
/// Gaps in a row at one place after which the stream is not trusted to fill them.
const GAPS: u32 = 2;

/// How long to rest after a piece of work beside requests. A thread that wakes to answer a viewer may find its processor
/// taken, and waits there until the piece or the scheduler's turn ends: short pieces with rests between them bound that,
/// where priorities alone did not (docs/design/catalogue.md). The same time again halves the chance of it, too.
pub fn rest_after(worked: Ms) -> Ms {
    worked.min(LONGEST_REST)
}

/// Rests are bounded, so that a machine that stalls does not stretch a load without end.
const LONGEST_REST: Ms = 20.0;

/// What to ask the publisher for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// A whole catalogue.
    Whole,
    /// The changes after this number.
    After(u64),
}

#[derive(Debug, Default)]
pub struct Follow {
    /// The last change that is in force here.
    have: Option<u64>,
    gaps: u32,
    /// Changes that wait to be applied, and when the first of them came.
    waiting: Vec<Numbered>,
    since: Ms,
}

impl Follow {
    /// From what was kept over a restart, or from nothing.
    pub fn from(have: Option<u64>) -> Follow {
        Follow { have, ..Follow::default() }
    }

    pub fn next(&self) -> Next {
        self.have.map_or(Next::Whole, Next::After)
    }

    /// A change was heard. Those that are in force already or wait already are passed over.
    pub fn heard(&mut self, n: Numbered, now: Ms) {
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
    pub fn due(&self) -> Option<Ms> {
        match self.waiting.len() {
            0 => None,
            n if n >= BATCH => Some(Ms::NEG_INFINITY),
            _ => Some(self.since + GATHER),
        }
    }

    /// The changes to apply now, all of them in one batch.
    pub fn take(&mut self) -> Vec<Numbered> {
        std::mem::take(&mut self.waiting)
    }

    /// A batch, or a whole catalogue, is in force.
    pub fn in_force(&mut self, number: u64) {
        (self.have, self.gaps) = (Some(number), 0);
        self.waiting.clear();
    }

    /// A batch was not applied: the stream is to be opened anew by [`Follow::next`].
    pub fn refused(&mut self, fault: &Fault) {
        self.waiting.clear();
        match fault {
            Fault::Gap { .. } => self.missing(),
            Fault::Conflict { .. } => self.too_old(),
        }
    }

    /// A change could not be read: what it said is missing.
    pub fn unreadable(&mut self) {
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
    pub fn too_old(&mut self) {
        (self.have, self.gaps) = (None, 0);
        self.waiting.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::change::Change;
    use crate::version::{Builder, Version};
    use proptest::prelude::*;
    use walnutline::ids::ServerId;

    fn change(number: u64) -> Numbered {
        Numbered { number, change: Change::Gone(ServerId(number as u32)) }
    }

    fn at(number: u64) -> Version {
        let v = Builder::new(0, vec![], None).unwrap().finish();
        v.with(&(1..=number).map(change).collect::<Vec<_>>()).unwrap()
    }

    proptest! {
        /// Whatever the stream loses, repeats or puts in another order: the version in force is always the one of its
        /// number, and a sound stream from where the follower asks brings it up to the end.
        #[test]
        fn never_a_mixture(heard in prop::collection::vec((1u64..12, 0u8..3), 0..60)) {
            let (mut f, mut v) = (Follow::from(Some(0)), at(0));
            let apply = |f: &mut Follow, v: &mut Version| {
                let batch = f.take();
                match v.with(&batch) {
                    Ok(next) => {
                        f.in_force(next.number());
                        *v = next;
                    }
                    Err(fault) => f.refused(&fault),
                }
            };
            for (number, what) in heard {
                f.heard(change(number), 0.0);
                if what == 0 && f.due().is_some() {
                    apply(&mut f, &mut v);
                }
                prop_assert!(v.boxes().map(|b| b.server.0 as u64).eq(1..=v.number()));
            }
            f.take();
            let from = match f.next() {
                Next::Whole => {
                    v = at(3);
                    f.in_force(3);
                    3
                }
                Next::After(n) => n,
            };
            prop_assert_eq!(from, v.number());
            (from + 1..15).for_each(|n| f.heard(change(n), 0.0));
            apply(&mut f, &mut v);
            prop_assert_eq!(v.number(), 14);
        }
    }

    #[test]
    fn a_gap_is_resumed_once_and_then_all_is_fetched() {
        let mut f = Follow::from(Some(4));
        let gap = Fault::Gap { have: 4, got: 9 };
        f.refused(&gap);
        assert_eq!(f.next(), Next::After(4));
        f.refused(&gap);
        assert_eq!(f.next(), Next::Whole);
        f.in_force(9);
        f.refused(&Fault::Conflict { number: 10, why: String::new() });
        assert_eq!(f.next(), Next::Whole);
    }

    #[test]
    fn a_burst_waits_a_moment_and_is_bounded() {
        let mut f = Follow::from(Some(0));
        assert_eq!(f.due(), None);
        f.heard(change(1), 100.0);
        f.heard(change(2), 110.0);
        assert_eq!(f.due(), Some(100.0 + GATHER));
        (3..=BATCH as u64).for_each(|n| f.heard(change(n), 111.0));
        assert_eq!(f.due(), Some(Ms::NEG_INFINITY));
    }
}
