//! How long to wait before a connection is tried again.
use walnutline::ids::Ms;

/// The first wait, and the longest. Doubling in between reaches the longest after six tries.
const FIRST: Ms = 100.0;
const LONGEST: Ms = 5_000.0;
/// A wait is drawn from this share of itself up to the whole: peers that lost the same box at the same moment
/// do not come back together.
const JITTER_FROM: f64 = 0.5;

/// Waits that grow with each failure in a row and are drawn by chance.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    fails: u32,
}

impl Backoff {
    /// The wait after one more failure, in milliseconds.
    pub fn next_delay(&mut self, rng: &mut fastrand::Rng) -> Ms {
        let whole = (FIRST * 2f64.powi(self.fails.min(16) as i32)).min(LONGEST);
        self.fails = self.fails.saturating_add(1);
        whole * (JITTER_FROM + (1.0 - JITTER_FROM) * rng.f64())
    }

    pub fn reset(&mut self) {
        self.fails = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_grow_to_the_longest_and_start_over() {
        let (mut retry, mut rng) = (Backoff::default(), fastrand::Rng::with_seed(1));
        let waits: Vec<Ms> = (0..40).map(|_| retry.next_delay(&mut rng)).collect();
        assert!((50.0..=100.0).contains(&waits[0]), "{waits:?}");
        assert!(waits[10..].iter().all(|w| (2_500.0..=5_000.0).contains(w)), "{waits:?}");
        assert!(waits[10..].windows(2).any(|w| w[0] != w[1]), "not drawn by chance: {waits:?}");
        retry.reset();
        assert!(retry.next_delay(&mut rng) <= 100.0);
    }
}
