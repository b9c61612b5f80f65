//! Catalogue data for single requests, and what is learned from the stream of requests: demand for titles, boxes
//! worth probing, and differences from the catalogue. It never changes the list of holders of a request.
use crate::demand::DemandSketch;
use crate::differences::{ComparedRequest, Difference, DifferenceTracker};
use crate::name_index::hash_name;
use crate::probe_planner::{ProbeBudget, ProbePlanner};
use crate::version::Version;
use std::sync::Arc;
use walnutline::ids::{Ms, ServerId};

/// Titles that the demand sketch tracks.
const SKETCH_CAPACITY: usize = 1_024;
/// Time after which a request counts half in the demand sketch.
const DEMAND_HALF_LIFE: Ms = 10_000.0;

/// Returns the true rates of a title in kB/s, one for each rung. `None` if the catalogue does not list exactly
/// `rungs` rates for it.
pub fn title_rates(version: &Version, title: &str, rungs: usize) -> Option<Arc<[f64]>> {
    let title = version.title(title).filter(|t| t.rates().len() == rungs)?;
    Some(title.rates().map(f64::from).collect())
}

/// Collects what requests reveal: demand, budget for probes, and differences from the catalogue.
pub struct RequestAdvisor {
    demand: DemandSketch,
    probe_planner: ProbePlanner,
    differences: DifferenceTracker,
}

impl RequestAdvisor {
    /// Creates an advisor that spends at most `budget` on probes.
    pub fn new(budget: ProbeBudget) -> RequestAdvisor {
        RequestAdvisor {
            demand: DemandSketch::new(SKETCH_CAPACITY, DEMAND_HALF_LIFE),
            probe_planner: ProbePlanner::new(budget),
            differences: DifferenceTracker::default(),
        }
    }

    /// Records an accepted request. Returns its differences from the catalogue that were not reported before.
    pub fn record_request(
        &mut self,
        version: &Version,
        request: &ComparedRequest,
        now: Ms,
    ) -> Vec<Difference> {
        self.demand.record(hash_name(request.title), now);
        self.probe_planner.request_accepted();
        self.differences.record(version, request)
    }

    /// Whether the budget and the interval between plans allow probes now.
    pub fn may_probe(&self, now: Ms) -> bool {
        self.probe_planner.may_probe(now)
    }

    /// Boxes to probe for their load now: see [`ProbePlanner::probe_targets`].
    pub fn probe_targets(
        &mut self,
        version: &Version,
        last_report_at: impl Fn(ServerId) -> Option<Ms>,
        now: Ms,
    ) -> Vec<ServerId> {
        self.probe_planner.probe_targets(&self.demand, version, last_report_at, now)
    }

    /// Differences between requests and the catalogue so far.
    pub fn differences(&self) -> &DifferenceTracker {
        &self.differences
    }
}
