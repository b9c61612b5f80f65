//! Retention of stored catalogue data: when a snapshot is due, which snapshots are kept, and which changes may be
//! removed.

/// Snapshots that are kept: the newest, and one more in case the newest turns out to be unreadable.
const KEPT_SNAPSHOTS: usize = 2;
/// Fewest changes between two snapshots.
const MIN_CHANGES: u64 = 50_000;
/// Fewest changes between two snapshots as a share of the titles, since the cost of a snapshot grows with the
/// catalogue.
const MIN_CHANGES_PER_TITLE: f64 = 0.1;

/// Whether a snapshot is due, given the changes since the last one and the number of titles.
pub fn snapshot_due(changes_since: u64, titles: usize) -> bool {
    changes_since >= MIN_CHANGES.max((titles as f64 * MIN_CHANGES_PER_TITLE) as u64)
}

/// Stored data that may be removed.
#[derive(Debug, PartialEq, Eq)]
pub struct PrunePlan {
    /// Numbers of the snapshots to remove.
    pub snapshots: Vec<u64>,
    /// Changes up to this number are to be removed, since every kept snapshot contains them.
    pub changes_up_to: u64,
}

/// Plans what to remove, given the numbers of the complete snapshots.
pub fn plan_prune(snapshots: &[u64]) -> PrunePlan {
    let mut kept = snapshots.to_vec();
    kept.sort_unstable_by(|a, b| b.cmp(a));
    kept.dedup();
    let removed = kept.split_off(kept.len().min(KEPT_SNAPSHOTS));
    // While there is only one snapshot, all changes are kept in case it is lost.
    let changes_up_to = if kept.len() < KEPT_SNAPSHOTS { 0 } else { kept.last().copied().unwrap_or(0) };
    PrunePlan { snapshots: removed, changes_up_to }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_two_newest_snapshots_and_the_changes_after_the_older_are_kept() {
        assert_eq!(plan_prune(&[]), PrunePlan { snapshots: vec![], changes_up_to: 0 });
        assert_eq!(plan_prune(&[7]), PrunePlan { snapshots: vec![], changes_up_to: 0 });
        assert_eq!(plan_prune(&[7, 9]), PrunePlan { snapshots: vec![], changes_up_to: 7 });
        assert_eq!(plan_prune(&[12, 7, 9, 3]), PrunePlan { snapshots: vec![7, 3], changes_up_to: 9 });
    }

    #[test]
    fn large_catalogues_get_fewer_snapshots() {
        assert!(!snapshot_due(49_999, 10) && snapshot_due(50_000, 10));
        assert!(!snapshot_due(199_999, 2_000_000) && snapshot_due(200_000, 2_000_000));
    }
}
