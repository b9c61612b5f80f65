//! What of a catalogue is kept on storage: when a snapshot is due, which snapshots stay, which changes may go.

/// Snapshots that stay: the newest, and one more in case it cannot be read one day.
const SNAPSHOTS: usize = 2;
/// Changes after which a new snapshot is due, and the share of the titles from which it is due later: a snapshot
/// costs as much as the catalogue is large.
const LEAST: u64 = 50_000;
const SHARE: f64 = 0.1;

/// Whether a snapshot is due: `since` changes after the last one, in a catalogue of so many titles.
pub fn snapshot_due(since: u64, titles: usize) -> bool {
    since >= LEAST.max((titles as f64 * SHARE) as u64)
}

#[derive(Debug, PartialEq, Eq)]
pub struct PrunePlan {
    /// Snapshots to be removed.
    pub snapshots: Vec<u64>,
    /// Changes up to this one are to be removed: every kept snapshot is after them.
    pub changes_up_to: u64,
}

/// What may go, by the numbers of the snapshots that are whole.
pub fn plan_prune(snapshots: &[u64]) -> PrunePlan {
    let mut all = snapshots.to_vec();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.dedup();
    let gone = all.split_off(all.len().min(SNAPSHOTS));
    // With one snapshot alone all changes stay: were it lost, they would be all that is left.
    let changes = if all.len() < SNAPSHOTS { 0 } else { all.last().copied().unwrap_or(0) };
    PrunePlan { snapshots: gone, changes_up_to: changes }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_snapshots_stay_and_all_that_follows_the_older() {
        assert_eq!(plan_prune(&[]), PrunePlan { snapshots: vec![], changes_up_to: 0 });
        assert_eq!(plan_prune(&[7]), PrunePlan { snapshots: vec![], changes_up_to: 0 });
        assert_eq!(plan_prune(&[7, 9]), PrunePlan { snapshots: vec![], changes_up_to: 7 });
        assert_eq!(plan_prune(&[12, 7, 9, 3]), PrunePlan { snapshots: vec![7, 3], changes_up_to: 9 });
    }

    #[test]
    fn large_catalogues_are_written_less_often() {
        assert!(!snapshot_due(49_999, 10) && snapshot_due(50_000, 10));
        assert!(!snapshot_due(199_999, 2_000_000) && snapshot_due(200_000, 2_000_000));
    }
}
