//! Plans probes of boxes ahead of requests, within a budget.
//!
//! The value of probing a box is the demand that is likely to reach it: the demand for each title is divided among
//! its available holders. So holders of titles in demand come first, and among titles of equal demand those with few
//! holders. Each accepted request adds a fraction of a probe to the budget. Without requests nothing is probed.
use crate::demand::DemandSketch;
use crate::version::Version;
use std::collections::BTreeMap;
use walnutline::ids::{Ms, ServerId};

/// Titles of the highest demand that a plan considers.
const CONSIDERED_TITLES: usize = 64;
/// Time between two plans.
const PLAN_INTERVAL: Ms = 100.0;

/// Limits on probes, as configured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeBudget {
    /// Probes for each accepted request, on average.
    pub per_request: f64,
    /// Most probes that can be saved up, for the start of a surge of requests.
    pub max_saved: f64,
    /// Age from which the last report of a box is stale, in milliseconds.
    pub stale_after: Ms,
}

/// Chooses the boxes to probe.
#[derive(Debug)]
pub struct ProbePlanner {
    budget: ProbeBudget,
    /// Probes that may be sent now.
    saved_probes: f64,
    last_plan: Ms,
    /// When boxes were last probed.
    probed: BTreeMap<ServerId, Ms>,
}

impl ProbePlanner {
    /// Creates a planner that has no probes saved up.
    pub fn new(budget: ProbeBudget) -> ProbePlanner {
        ProbePlanner { budget, saved_probes: 0.0, last_plan: Ms::NEG_INFINITY, probed: BTreeMap::new() }
    }

    /// Adds to the budget for an accepted request.
    pub fn request_accepted(&mut self) {
        self.saved_probes = (self.saved_probes + self.budget.per_request).min(self.budget.max_saved);
    }

    /// Whether the budget allows a probe and the last plan is old enough.
    pub fn may_probe(&self, now: Ms) -> bool {
        self.saved_probes >= 1.0 && now - self.last_plan >= PLAN_INTERVAL
    }

    /// Returns the boxes to probe now, the most valuable first, and charges them to the budget. `last_report_at`
    /// gives the time of the last report of a box; `None` for a box that must not be probed.
    pub fn probe_targets(
        &mut self,
        demand: &DemandSketch,
        version: &Version,
        last_report_at: impl Fn(ServerId) -> Option<Ms>,
        now: Ms,
    ) -> Vec<ServerId> {
        if !self.may_probe(now) {
            return Vec::new();
        }
        self.last_plan = now;
        self.probed.retain(|_, at| now - *at < self.budget.stale_after);
        let mut values: BTreeMap<ServerId, f64> = BTreeMap::new();
        for title_demand in demand.top(CONSIDERED_TITLES, now) {
            for title in version.titles_with_name_hash(title_demand.key) {
                let holders: Vec<ServerId> = version.available_holders(title).collect();
                // The part of the weight that may belong to other titles is left out.
                let share =
                    (title_demand.weight - title_demand.max_overestimate) / holders.len().max(1) as f64;
                holders.into_iter().for_each(|s| *values.entry(s).or_default() += share);
            }
        }
        let stale = |s: &ServerId| last_report_at(*s).is_some_and(|at| now - at > self.budget.stale_after);
        let mut targets: Vec<(ServerId, f64)> = values
            .into_iter()
            .filter(|(s, value)| *value > 0.0 && !self.probed.contains_key(s) && stale(s))
            .collect();
        targets.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        targets.truncate(self.saved_probes as usize);
        self.saved_probes -= targets.len() as f64;
        self.probed.extend(targets.iter().map(|(s, _)| (*s, now)));
        targets.into_iter().map(|(s, _)| s).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::change::Title;
    use crate::name_index::hash_name;
    use crate::packed_title::PackedTitle;
    use crate::version::{BoxState, VersionBuilder};
    use proptest::prelude::*;

    fn version(titles: &[(&str, &[u32])], gone: &[u32]) -> Version {
        let mut builder = VersionBuilder::new(1, vec![], None).unwrap();
        gone.iter().for_each(|s| builder.add_box(BoxState { server: ServerId(*s), gone: true, rack: None }));
        for (name, holders) in titles {
            let holders = holders.iter().copied().map(ServerId).collect();
            let title =
                Title { name: (*name).into(), rates: vec![1.0], group_mask: 0, duration_ms: 1, holders };
            builder.add_title(PackedTitle::new(&title).unwrap()).unwrap();
        }
        builder.finish()
    }

    fn ids(servers: &[ServerId]) -> Vec<u32> {
        servers.iter().map(|s| s.0).collect()
    }

    #[test]
    fn stale_holders_of_titles_in_demand_are_probed_by_value() {
        let version = version(
            &[("two-holders", &[1, 2]), ("four-holders", &[3, 4, 5, 6]), ("idle", &[7]), ("far", &[8])],
            &[2],
        );
        let mut demand = DemandSketch::new(8, 10_000.0);
        for name in ["two-holders", "four-holders", "two-holders", "four-holders", "unknown"] {
            demand.record(hash_name(name), 0.0);
        }
        let mut planner =
            ProbePlanner::new(ProbeBudget { per_request: 1.0, max_saved: 3.0, stale_after: 2_000.0 });
        (0..9).for_each(|_| planner.request_accepted());
        // Box 4 has just reported, 5 must not be probed, and 2 is gone; 7 and 8 hold titles without demand.
        let last_report_at = |s: ServerId| match s.0 {
            4 => Some(900.0),
            5 => None,
            _ => Some(-5_000.0),
        };
        assert_eq!(ids(&planner.probe_targets(&demand, &version, last_report_at, 1_000.0)), [1, 3, 6]);
        (0..9).for_each(|_| planner.request_accepted());
        assert!(
            planner.probe_targets(&demand, &version, last_report_at, 1_050.0).is_empty(),
            "planned twice within the interval"
        );
        assert!(
            ids(&planner.probe_targets(&demand, &version, last_report_at, 1_500.0)).is_empty(),
            "probed recently"
        );
        assert_eq!(ids(&planner.probe_targets(&demand, &version, last_report_at, 3_200.0)), [1, 3, 4]);
    }

    proptest! {
        /// Probes never exceed what requests added to the budget, nor, at one time, the configured maximum of saved
        /// probes.
        #[test]
        fn probes_stay_within_the_budget(
            per_request in 0.0f64..1.5,
            max_saved in 1.0f64..5.0,
            steps in prop::collection::vec((0u32..6, 0.0f64..500.0), 1..200),
        ) {
            let version = version(&[("a", &[1, 2, 3]), ("b", &[3, 4]), ("c", &[5])], &[]);
            let mut demand = DemandSketch::new(8, 1_000.0);
            let mut planner = ProbePlanner::new(ProbeBudget { per_request, max_saved, stale_after: 50.0 });
            let (mut now, mut accepted, mut sent) = (0.0, 0u32, 0usize);
            for (requests, gap) in steps {
                now += gap;
                for n in 0..requests {
                    demand.record(hash_name(["a", "b", "c"][n as usize % 3]), now);
                    planner.request_accepted();
                    accepted += 1;
                }
                let targets = planner.probe_targets(&demand, &version, |_| Some(Ms::NEG_INFINITY), now);
                prop_assert!(targets.len() as f64 <= max_saved);
                sent += targets.len();
                prop_assert!(sent as f64 <= f64::from(accepted) * per_request + 1e-6);
            }
        }
    }
}
