//! Replay cache for DPoP proofs. A proof is valid for a short window around its time of issue, and within that window
//! this front accepts it once. Other fronts need not share the cache, since a proof names the front in its URL.
//!
//! The cache holds two generations of proof digests. A proof is looked up in both and inserted into the current one.
//! Once the current generation is a window old, it becomes the previous one. A proof is thus evicted one to three
//! windows after its use, when it is no longer valid. Memory is bounded by `max_per_generation` proofs of 16 bytes each in
//! each generation, plus the overhead of the hash tables. Proofs beyond that are refused: evicting a proof early
//! would allow it to be replayed.
use crate::UnixMs;
use std::collections::HashSet;

/// The first 16 bytes of a SHA-256 over the proof's key and id. Viewers choose the ids of their proofs, but cannot
/// choose the digests.
pub type ProofDigest = [u8; 16];

/// Outcome of looking a proof up in the replay cache.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum ReplayCheck {
    /// The proof was not in the cache and has been inserted.
    FirstUse,
    /// The proof was used before.
    Replayed,
    /// The current generation is full, so the proof cannot be recorded.
    CacheFull,
}

/// Bounded cache of used proofs, in two generations.
#[derive(Debug)]
pub struct ReplayCache {
    current: HashSet<ProofDigest>,
    previous: HashSet<ProofDigest>,
    /// When the current generation began.
    rotated_at: UnixMs,
    window_ms: f64,
    max_per_generation: usize,
}

impl ReplayCache {
    /// Creates an empty cache. `window_ms` is how long after its first possible use a proof may still be valid.
    pub fn new(window_ms: f64, max_per_generation: usize) -> Self {
        ReplayCache {
            current: HashSet::new(),
            previous: HashSet::new(),
            rotated_at: UnixMs::NEG_INFINITY,
            window_ms,
            max_per_generation,
        }
    }

    /// Checks whether the proof was used before and records it if it was not.
    pub fn check_and_insert(&mut self, digest: ProofDigest, now: UnixMs) -> ReplayCheck {
        if now - self.rotated_at >= self.window_ms {
            self.previous = std::mem::take(&mut self.current);
            if now - self.rotated_at >= 2.0 * self.window_ms {
                self.previous.clear();
            }
            self.rotated_at = now;
        }
        if self.current.contains(&digest) || self.previous.contains(&digest) {
            ReplayCheck::Replayed
        } else if self.current.len() >= self.max_per_generation {
            ReplayCheck::CacheFull
        } else {
            self.current.insert(digest);
            ReplayCheck::FirstUse
        }
    }

    /// Number of proofs held in both generations.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no proof is held.
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
        /// Compares the cache with a map of all proofs ever inserted: no proof is accepted twice within a window, none
        /// is called replayed that was not used, and memory stays within two generations.
        #[test]
        fn proof_is_never_accepted_twice_within_a_window(
            steps in prop::collection::vec((0u8..30, 0.0..40.0f64), 1..200),
        ) {
            let mut cache = ReplayCache::new(100.0, 10);
            let mut accepted_at: HashMap<u8, f64> = HashMap::new();
            let mut now = 0.0;
            for (id, wait_ms) in steps {
                now += wait_ms;
                let digest = [id; 16];
                match cache.check_and_insert(digest, now) {
                    ReplayCheck::FirstUse => {
                        let before = accepted_at.insert(id, now);
                        prop_assert!(before.is_none_or(|t| now - t >= 100.0), "accepted twice: {id} {before:?} {now}");
                    }
                    ReplayCheck::Replayed => prop_assert!(accepted_at[&id] > now - 300.0),
                    ReplayCheck::CacheFull => prop_assert!(cache.len() >= 10),
                }
                prop_assert!(cache.len() <= 20);
            }
        }
    }

    #[test]
    fn full_cache_evicts_no_proof_early() {
        let mut cache = ReplayCache::new(100.0, 2);
        assert_eq!(cache.check_and_insert([1; 16], 0.0), ReplayCheck::FirstUse);
        assert_eq!(cache.check_and_insert([2; 16], 0.0), ReplayCheck::FirstUse);
        assert_eq!(cache.check_and_insert([3; 16], 0.0), ReplayCheck::CacheFull);
        assert_eq!(cache.check_and_insert([1; 16], 99.0), ReplayCheck::Replayed);
        assert_eq!(cache.check_and_insert([3; 16], 100.0), ReplayCheck::FirstUse);
    }
}
