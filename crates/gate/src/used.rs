//! Proofs that were used already. A proof is good for a short window around its issue; within it each may be used
//! once at this front. (At another front it is worth nothing: a proof names the front in its URL.)
//!
//! Two generations of hashes: a proof is looked up in both and entered in the young one. When the young one is a
//! window old it becomes the old one; a proof is forgotten one to three windows after its use, when it has long been
//! stale. Memory
//! is bounded by `most` proofs a generation, 16 bytes each and the table's slack; what comes beyond that is
//! refused, since to forget a proof early would be to let it in twice.
use crate::UnixMs;
use std::collections::HashSet;

/// The first 16 bytes of a SHA-256 over key and id: ids are the viewers' to choose, hashes are not.
pub type Mark = [u8; 16];

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum Use {
    First,
    Again,
    /// More proofs came within a window than there is room for.
    NoRoom,
}

#[derive(Debug)]
pub struct Used {
    young: HashSet<Mark>,
    old: HashSet<Mark>,
    turned: UnixMs,
    window: UnixMs,
    most: usize,
}

impl Used {
    /// `window`: how long after its first possible use a proof may still be within its time.
    pub fn new(window: UnixMs, most: usize) -> Self {
        Used { young: HashSet::new(), old: HashSet::new(), turned: UnixMs::NEG_INFINITY, window, most }
    }

    pub fn enter(&mut self, mark: Mark, now: UnixMs) -> Use {
        if now - self.turned >= self.window {
            self.old = std::mem::take(&mut self.young);
            if now - self.turned >= 2.0 * self.window {
                self.old.clear();
            }
            self.turned = now;
        }
        if self.young.contains(&mark) || self.old.contains(&mark) {
            Use::Again
        } else if self.young.len() >= self.most {
            Use::NoRoom
        } else {
            self.young.insert(mark);
            Use::First
        }
    }

    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::HashMap;

    proptest! {
        /// Beside a plain map of all that was ever entered: nothing is let in twice within a window, nothing
        /// is called used that was not, and memory stays within two generations.
        #[test]
        fn never_twice_within_a_window(steps in prop::collection::vec((0u8..30, 0.0..40.0f64), 1..200)) {
            let mut used = Used::new(100.0, 10);
            let mut seen: HashMap<u8, f64> = HashMap::new();
            let mut now = 0.0;
            for (id, wait) in steps {
                now += wait;
                let mark = [id; 16];
                match used.enter(mark, now) {
                    Use::First => {
                        let before = seen.insert(id, now);
                        prop_assert!(before.is_none_or(|t| now - t >= 100.0), "let in twice: {id} {before:?} {now}");
                    }
                    Use::Again => prop_assert!(seen[&id] > now - 300.0),
                    Use::NoRoom => prop_assert!(used.len() >= 10),
                }
                prop_assert!(used.len() <= 20);
            }
        }
    }

    #[test]
    fn beyond_the_most_nothing_is_forgotten() {
        let mut used = Used::new(100.0, 2);
        assert_eq!(used.enter([1; 16], 0.0), Use::First);
        assert_eq!(used.enter([2; 16], 0.0), Use::First);
        assert_eq!(used.enter([3; 16], 0.0), Use::NoRoom);
        assert_eq!(used.enter([1; 16], 99.0), Use::Again);
        assert_eq!(used.enter([3; 16], 100.0), Use::First);
    }
}
