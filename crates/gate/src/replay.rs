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
pub type ProofDigest = [u8; 16];

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum ReplayCheck {
    FirstUse,
    Replayed,
    /// More proofs came within a window than there is room for.
    CacheFull,
}

#[derive(Debug)]
pub struct ReplayCache {
    young: HashSet<ProofDigest>,
    old: HashSet<ProofDigest>,
    turned: UnixMs,
    window: UnixMs,
    most: usize,
}

impl ReplayCache {
    /// `window`: how long after its first possible use a proof may still be within its time.
    pub fn new(window: UnixMs, most: usize) -> Self {
        ReplayCache { young: HashSet::new(), old: HashSet::new(), turned: UnixMs::NEG_INFINITY, window, most }
    }

    pub fn check_and_insert(&mut self, mark: ProofDigest, now: UnixMs) -> ReplayCheck {
        if now - self.turned >= self.window {
            self.old = std::mem::take(&mut self.young);
            if now - self.turned >= 2.0 * self.window {
                self.old.clear();
            }
            self.turned = now;
        }
        if self.young.contains(&mark) || self.old.contains(&mark) {
            ReplayCheck::Replayed
        } else if self.young.len() >= self.most {
            ReplayCheck::CacheFull
        } else {
            self.young.insert(mark);
            ReplayCheck::FirstUse
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
            let mut used = ReplayCache::new(100.0, 10);
            let mut seen: HashMap<u8, f64> = HashMap::new();
            let mut now = 0.0;
            for (id, wait) in steps {
                now += wait;
                let mark = [id; 16];
                match used.check_and_insert(mark, now) {
                    ReplayCheck::FirstUse => {
                        let before = seen.insert(id, now);
                        prop_assert!(before.is_none_or(|t| now - t >= 100.0), "let in twice: {id} {before:?} {now}");
                    }
                    ReplayCheck::Replayed => prop_assert!(seen[&id] > now - 300.0),
                    ReplayCheck::CacheFull => prop_assert!(used.len() >= 10),
                }
                prop_assert!(used.len() <= 20);
            }
        }
    }

    #[test]
    fn beyond_the_most_nothing_is_forgotten() {
        let mut used = ReplayCache::new(100.0, 2);
        assert_eq!(used.check_and_insert([1; 16], 0.0), ReplayCheck::FirstUse);
        assert_eq!(used.check_and_insert([2; 16], 0.0), ReplayCheck::FirstUse);
        assert_eq!(used.check_and_insert([3; 16], 0.0), ReplayCheck::CacheFull);
        assert_eq!(used.check_and_insert([1; 16], 99.0), ReplayCheck::Replayed);
        assert_eq!(used.check_and_insert([3; 16], 100.0), ReplayCheck::FirstUse);
    }
}
