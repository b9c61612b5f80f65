//! What the catalogue adds to one request, and what the requests add up to: demand, news worth having, differences.
//! It never adds a holder and never takes one away.
use crate::demand::DemandSketch;
use crate::differences::{ComparedRequest, Difference, DifferenceTracker};
use crate::name_index::hash_name;
use crate::probe_planner::{ProbeBudget, ProbePlanner};
use crate::version::Version;
use std::sync::Arc;
use walnutline::ids::{Ms, ServerId};

/// Places of the sketch of demand, and how fast demand is forgotten.
const PLACES: usize = 1_024;
const HALF_LIFE: Ms = 10_000.0;

/// True rates of a title by rung, where the catalogue has one for each of `rungs`, in kB a second.
pub fn title_rates(v: &Version, title: &str, rungs: usize) -> Option<Arc<[f64]>> {
    let title = v.title(title).filter(|t| t.rates().len() == rungs)?;
    Some(title.rates().map(f64::from).collect())
}

pub struct RequestAdvisor {
    demand: DemandSketch,
    news: ProbePlanner,
    differences: DifferenceTracker,
}

impl RequestAdvisor {
    pub fn new(price: ProbeBudget) -> RequestAdvisor {
        RequestAdvisor {
            demand: DemandSketch::new(PLACES, HALF_LIFE),
            news: ProbePlanner::new(price),
            differences: DifferenceTracker::default(),
        }
    }

    /// A request was taken; what of it disagrees with the catalogue and was not told before.
    pub fn record_request(&mut self, v: &Version, told: &ComparedRequest, now: Ms) -> Vec<Difference> {
        self.demand.record(hash_name(told.title), now);
        self.news.request_accepted();
        self.differences.record(v, told)
    }

    /// Whether it is time to look for boxes to ask.
    pub fn may_probe(&self, now: Ms) -> bool {
        self.news.may_probe(now)
    }

    /// Boxes to ask for their load now: see [`ProbePlanner::probe_targets`].
    pub fn probe_targets(
        &mut self,
        v: &Version,
        heard: impl Fn(ServerId) -> Option<Ms>,
        now: Ms,
    ) -> Vec<ServerId> {
        self.news.probe_targets(&self.demand, v, heard, now)
    }

    pub fn differences(&self) -> &DifferenceTracker {
        &self.differences
    }
}
