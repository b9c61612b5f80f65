//! Which titles are asked for, in fixed memory: Space-Saving (Metwally, Agrawal and El Abbadi, 2005) over weights that
//! decay with age (forward decay: Cormode, Shkapenyuk, Srivastava and Xu, 2009).
//!
//! Bounds, at any time, with `k` places and the decayed weight `W` of all requests: the weight told of a title is never
//! under its true decayed weight, and over it by at most `W / k`; every title of more than `W / k` is among those kept.
//! Growth: `k` places of some 60 bytes; a request costs `O(log k)`.
use std::collections::HashMap;
use walnutline::ids::Ms;

/// Weights are told on a scale that grows with time; beyond this they are brought down.
const HIGHEST: f64 = 1e12;

#[derive(Debug, Clone, Copy)]
struct Place {
    key: u64,
    weight: f64,
    /// What of its weight may be another title's.
    over: f64,
}

#[derive(Debug)]
pub struct DemandSketch {
    half_life: Ms,
    most: usize,
    /// A heap with the least weight first.
    heap: Vec<Place>,
    at: HashMap<u64, usize>,
    total: f64,
    /// The time whose requests weigh 1 on the scale of the heap.
    from: Option<Ms>,
}

/// A title that is asked for, with its decayed weight and by how much that may be too high.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TitleDemand {
    pub key: u64,
    pub weight: f64,
    pub max_overestimate: f64,
}

impl DemandSketch {
    /// `most`: places, at least 1. A request's weight halves every `half_life` milliseconds.
    pub fn new(most: usize, half_life: Ms) -> DemandSketch {
        let most = most.max(1);
        DemandSketch {
            half_life,
            most,
            heap: Vec::with_capacity(most),
            at: HashMap::with_capacity(most),
            total: 0.0,
            from: None,
        }
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    fn scale(&self, now: Ms) -> f64 {
        ((now - self.from.unwrap_or(now)) / self.half_life).exp2()
    }

    /// A request for a title, by a key of its name.
    pub fn record(&mut self, key: u64, now: Ms) {
        let from = *self.from.get_or_insert(now);
        if self.scale(now) > HIGHEST {
            let down = 1.0 / self.scale(now);
            self.heap.iter_mut().for_each(|p| (p.weight, p.over) = (p.weight * down, p.over * down));
            self.total *= down;
            self.from = Some(now);
        }
        // A clock that went back counts as standing still.
        let weight = self.scale(now.max(from));
        self.total += weight;
        if let Some(&at) = self.at.get(&key) {
            self.heap[at].weight += weight;
            return self.sink(at);
        }
        if self.heap.len() < self.most {
            self.heap.push(Place { key, weight, over: 0.0 });
            let last = self.heap.len() - 1;
            self.at.insert(key, last);
            return self.rise(last);
        }
        let least = self.heap[0];
        self.at.remove(&least.key);
        self.heap[0] = Place { key, weight: least.weight + weight, over: least.weight };
        self.at.insert(key, 0);
        self.sink(0);
    }

    /// Decayed weight of all requests.
    pub fn total_weight(&self, now: Ms) -> f64 {
        self.total / self.scale(now)
    }

    /// By how much a weight may be too high at most.
    pub fn error_bound(&self, now: Ms) -> f64 {
        self.total_weight(now) / self.most as f64
    }

    pub fn get(&self, key: u64, now: Ms) -> Option<TitleDemand> {
        let p = self.heap[*self.at.get(&key)?];
        let scale = self.scale(now);
        Some(TitleDemand { key, weight: p.weight / scale, max_overestimate: p.over / scale })
    }

    /// The titles most asked for, the heaviest first. Costs `O(k)` and the sorting of `n`.
    pub fn top(&self, n: usize, now: Ms) -> Vec<TitleDemand> {
        let mut all: Vec<Place> = self.heap.clone();
        let order = |a: &Place, b: &Place| b.weight.total_cmp(&a.weight).then(a.key.cmp(&b.key));
        if n < all.len() {
            all.select_nth_unstable_by(n, order);
            all.truncate(n);
        }
        all.sort_by(order);
        let scale = self.scale(now);
        all.iter()
            .map(|p| TitleDemand { key: p.key, weight: p.weight / scale, max_overestimate: p.over / scale })
            .collect()
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.at.insert(self.heap[a].key, a);
        self.at.insert(self.heap[b].key, b);
    }

    fn rise(&mut self, mut at: usize) {
        while at > 0 && self.heap[at].weight < self.heap[(at - 1) / 2].weight {
            self.swap(at, (at - 1) / 2);
            at = (at - 1) / 2;
        }
    }

    fn sink(&mut self, mut at: usize) {
        loop {
            let children = [2 * at + 1, 2 * at + 2].into_iter().filter(|c| *c < self.heap.len());
            let least = children.min_by(|a, b| self.heap[*a].weight.total_cmp(&self.heap[*b].weight));
            match least.filter(|c| self.heap[*c].weight < self.heap[at].weight) {
                Some(c) => {
                    self.swap(at, c);
                    at = c;
                }
                None => return,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    proptest! {
        /// The stated bounds, beside exact decayed counts; skewed keys, any gaps in time.
        #[test]
        fn within_its_bounds(
            k in 1usize..20,
            asked in prop::collection::vec((0u64..40, 0u64..40, 0.0f64..400.0), 1..400),
        ) {
            let mut demand = DemandSketch::new(k, 1_000.0);
            let mut exact: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
            let mut now = 0.0;
            for (a, b, gap) in asked {
                now += gap;
                demand.record(a.min(b), now);
                exact.entry(a.min(b)).or_default().push(now);
            }
            let exact: BTreeMap<u64, f64> = exact
                .into_iter()
                .map(|(key, at)| (key, at.iter().map(|t| ((t - now) / 1_000.0).exp2()).sum()))
                .collect();
            let all: f64 = exact.values().sum();
            let near = 1e-6 * all;
            prop_assert!((demand.total_weight(now) - all).abs() <= near);
            prop_assert!(demand.len() <= k);
            let bound = demand.error_bound(now);
            for (key, weight) in &exact {
                match demand.get(*key, now) {
                    Some(told) => {
                        prop_assert!(told.weight >= weight - near, "{} under {weight}", told.weight);
                        prop_assert!(told.weight - told.max_overestimate <= weight + near);
                        prop_assert!(told.max_overestimate <= bound + near);
                    }
                    None => prop_assert!(*weight <= bound + near, "{weight} is missing, bound {bound}"),
                }
            }
            let top = demand.top(3, now);
            prop_assert!(top.windows(2).all(|w| w[0].weight >= w[1].weight));
        }
    }

    #[test]
    fn days_pass_and_nothing_overflows() {
        let mut demand = DemandSketch::new(4, 1_000.0);
        for n in 0..200_000u32 {
            demand.record(u64::from(n % 6), f64::from(n) * 500.0);
        }
        let now = 200_000.0 * 500.0;
        let sum = demand.total_weight(now);
        assert!((2.0..3.0).contains(&sum), "{sum}");
        assert!(demand.top(9, now).iter().all(|t| t.weight.is_finite()));
        // Long silence: weights vanish, and what comes after counts anew.
        demand.record(77, now + 1e9);
        assert!((demand.get(77, now + 1e9).unwrap().weight - 1.0).abs() < 1e-6);
    }
}
