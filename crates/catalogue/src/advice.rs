//! What the catalogue adds to one request, and what the requests add up to: demand, news worth having, differences.
//! It never adds a holder and never takes one away.
use crate::demand::Demand;
use crate::differ::{Difference, Differences, Told};
use crate::names::hash;
use crate::news::{News, Price};
use crate::version::Version;
use std::sync::Arc;
use walnutline::ids::{Ms, ServerId};

/// Places of the sketch of demand, and how fast demand is forgotten.
const PLACES: usize = 1_024;
const HALF_LIFE: Ms = 10_000.0;

/// True rates of a title by rung, where the catalogue has one for each of `rungs`, in kB a second.
pub fn rates(v: &Version, title: &str, rungs: usize) -> Option<Arc<[f64]>> {
    let title = v.title(title).filter(|t| t.rates().len() == rungs)?;
    Some(title.rates().map(f64::from).collect())
}

pub struct Advisor {
    demand: Demand,
    news: News,
    differences: Differences,
}

impl Advisor {
    pub fn new(price: Price) -> Advisor {
        Advisor {
            demand: Demand::new(PLACES, HALF_LIFE),
            news: News::new(price),
            differences: Differences::default(),
        }
    }

    /// A request was taken; what of it disagrees with the catalogue and was not told before.
    pub fn asked(&mut self, v: &Version, told: &Told, now: Ms) -> Vec<Difference> {
        self.demand.count(hash(told.title), now);
        self.news.taken();
        self.differences.count(v, told)
    }

    /// Whether it is time to look for boxes to ask.
    pub fn may_ask(&self, now: Ms) -> bool {
        self.news.may_ask(now)
    }

    /// Boxes to ask for their load now: see [`News::worth`].
    pub fn worth(&mut self, v: &Version, heard: impl Fn(ServerId) -> Option<Ms>, now: Ms) -> Vec<ServerId> {
        self.news.worth(&self.demand, v, heard, now)
    }

    pub fn differences(&self) -> &Differences {
        &self.differences
    }
}
