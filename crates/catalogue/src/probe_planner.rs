//! The boxes whose news is worth having before the next request, within a stated price.
//!
//! A box is worth as much as the requests that are likely to go there next: each title's demand, shared among its
//! sound holders. So holders of what is in demand come first, and of titles equally in demand the thinly held ones.
//! Each request that is taken earns the price of some part of a probe; without requests nothing is asked.
use crate::demand::DemandSketch;
use crate::version::Version;
use std::collections::BTreeMap;
use walnutline::ids::{Ms, ServerId};

/// Titles in demand that are looked at.
const TITLES: usize = 64;
/// Time between two looks.
const LOOK: Ms = 100.0;

/// What the operator states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeBudget {
    /// Probes for each request taken, on average.
    pub per_request: f64,
    /// Probes saved up at most, for the time when a crowd begins.
    pub max_saved: f64,
    /// ProbePlanner older than this is worth renewing, in milliseconds.
    pub stale_after: Ms,
}

#[derive(Debug)]
pub struct ProbePlanner {
    price: ProbeBudget,
    saved: f64,
    looked: Ms,
    asked: BTreeMap<ServerId, Ms>,
}

impl ProbePlanner {
    pub fn new(price: ProbeBudget) -> ProbePlanner {
        ProbePlanner { price, saved: 0.0, looked: Ms::NEG_INFINITY, asked: BTreeMap::new() }
    }

    /// A request was taken.
    pub fn request_accepted(&mut self) {
        self.saved = (self.saved + self.price.per_request).min(self.price.max_saved);
    }

    /// Whether enough is saved for a probe and the last look is long enough ago.
    pub fn may_probe(&self, now: Ms) -> bool {
        self.saved >= 1.0 && now - self.looked >= LOOK
    }

    /// Boxes to ask now. `heard`: when news of a box was last heard; `None` for one that is not to be asked.
    pub fn probe_targets(
        &mut self,
        demand: &DemandSketch,
        v: &Version,
        heard: impl Fn(ServerId) -> Option<Ms>,
        now: Ms,
    ) -> Vec<ServerId> {
        if !self.may_probe(now) {
            return Vec::new();
        }
        self.looked = now;
        self.asked.retain(|_, at| now - *at < self.price.stale_after);
        let mut worth: BTreeMap<ServerId, f64> = BTreeMap::new();
        for asked in demand.top(TITLES, now) {
            for title in v.titles_with_name_hash(asked.key) {
                let sound: Vec<ServerId> = v.available_holders(title).collect();
                // What may be another title's demand does not count.
                let each = (asked.weight - asked.max_overestimate) / sound.len().max(1) as f64;
                sound.into_iter().for_each(|s| *worth.entry(s).or_default() += each);
            }
        }
        let old = |s: &ServerId| heard(*s).is_some_and(|at| now - at > self.price.stale_after);
        let mut worth: Vec<(ServerId, f64)> =
            worth.into_iter().filter(|(s, w)| *w > 0.0 && !self.asked.contains_key(s) && old(s)).collect();
        worth.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        worth.truncate(self.saved as usize);
        self.saved -= worth.len() as f64;
        self.asked.extend(worth.iter().map(|(s, _)| (*s, now)));
        worth.into_iter().map(|(s, _)| s).collect()
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
        let mut b = VersionBuilder::new(1, vec![], None).unwrap();
        gone.iter().for_each(|s| b.add_box(BoxState { server: ServerId(*s), gone: true, rack: None }));
        for (name, holders) in titles {
            let holders = holders.iter().copied().map(ServerId).collect();
            let t = Title { name: (*name).into(), rates: vec![1.0], group_mask: 0, duration_ms: 1, holders };
            b.add_title(PackedTitle::new(&t).unwrap()).unwrap();
        }
        b.finish()
    }

    fn ids(of: &[ServerId]) -> Vec<u32> {
        of.iter().map(|s| s.0).collect()
    }

    #[test]
    fn thinly_held_first_and_what_is_in_demand() {
        let v = version(&[("thin", &[1, 2]), ("wide", &[3, 4, 5, 6]), ("idle", &[7]), ("far", &[8])], &[2]);
        let mut demand = DemandSketch::new(8, 10_000.0);
        for name in ["thin", "wide", "thin", "wide", "unknown"] {
            demand.record(hash_name(name), 0.0);
        }
        let mut news =
            ProbePlanner::new(ProbeBudget { per_request: 1.0, max_saved: 3.0, stale_after: 2_000.0 });
        (0..9).for_each(|_| news.request_accepted());
        // Box 4 has just been heard of, 5 is not to be asked, 2 is gone; 7 and 8 hold what nobody asks for.
        let heard = |s: ServerId| match s.0 {
            4 => Some(900.0),
            5 => None,
            _ => Some(-5_000.0),
        };
        assert_eq!(ids(&news.probe_targets(&demand, &v, heard, 1_000.0)), [1, 3, 6]);
        (0..9).for_each(|_| news.request_accepted());
        assert!(news.probe_targets(&demand, &v, heard, 1_050.0).is_empty(), "asked twice within a moment");
        assert!(ids(&news.probe_targets(&demand, &v, heard, 1_500.0)).is_empty(), "asked already");
        assert_eq!(ids(&news.probe_targets(&demand, &v, heard, 3_200.0)), [1, 3, 4]);
    }

    proptest! {
        /// However requests come, probes stay within the price: what was earned, and no more saved than stated.
        #[test]
        fn within_the_price(
            each in 0.0f64..1.5,
            most in 1.0f64..5.0,
            steps in prop::collection::vec((0u32..6, 0.0f64..500.0), 1..200),
        ) {
            let v = version(&[("a", &[1, 2, 3]), ("b", &[3, 4]), ("c", &[5])], &[]);
            let mut demand = DemandSketch::new(8, 1_000.0);
            let mut news = ProbePlanner::new(ProbeBudget { per_request: each, max_saved: most, stale_after: 50.0 });
            let (mut now, mut taken, mut sent) = (0.0, 0u32, 0usize);
            for (requests, gap) in steps {
                now += gap;
                for n in 0..requests {
                    demand.record(hash_name(["a", "b", "c"][n as usize % 3]), now);
                    news.request_accepted();
                    taken += 1;
                }
                let asked = news.probe_targets(&demand, &v, |_| Some(Ms::NEG_INFINITY), now);
                prop_assert!(asked.len() as f64 <= most);
                sent += asked.len();
                prop_assert!(sent as f64 <= f64::from(taken) * each + 1e-6);
            }
        }
    }
}
