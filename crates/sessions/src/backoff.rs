//! Delays between attempts to open a connection.
use walnutline::ids::Ms;

/// Delay after the first failure.
const FIRST_DELAY: Ms = 100.0;
/// Upper bound of the delay, reached by doubling after six failures.
const MAX_DELAY: Ms = 5_000.0;
/// The random delay is at least this share of the nominal one. The jitter keeps peers that lost the same box at the
/// same moment from reconnecting together.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Exponential backoff with jitter.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    /// Failures since the last success.
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut fastrand::Rng) -> Ms {
        let nominal = (FIRST_DELAY * 2f64.powi(self.failures.min(16) as i32)).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        nominal * (MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * rng.f64())
    }

    /// An attempt succeeded: the next failure starts with the shortest delay.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn delays_grow_to_the_maximum_and_start_over_after_a_reset() {
        let (mut backoff, mut rng) = (Backoff::default(), fastrand::Rng::with_seed(1));
        let delays: Vec<Ms> = (0..40).map(|_| backoff.next_delay(&mut rng)).collect();
        assert!((50.0..=100.0).contains(&delays[0]), "{delays:?}");
        assert!(delays[10..].iter().all(|delay| (2_500.0..=5_000.0).contains(delay)), "{delays:?}");
        assert!(delays[10..].windows(2).any(|pair| pair[0] != pair[1]), "delays without jitter: {delays:?}");
        backoff.reset();
        assert!(backoff.next_delay(&mut rng) <= 100.0);
    }
}
