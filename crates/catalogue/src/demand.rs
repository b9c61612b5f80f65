//! The titles with the highest demand, in fixed memory: Space-Saving (Metwally, Agrawal and El Abbadi, 2005) over
//! weights that decay with age (forward decay: Cormode, Shkapenyuk, Srivastava and Xu, 2009).
//!
//! Error bounds at any time, for capacity `k` and total decayed weight `W` of all requests: the reported weight of a
//! title is never below its true decayed weight and exceeds it by at most `W / k`, and every title of a true weight
//! above `W / k` is tracked. Growth: about 60 bytes for each of the `k` entries. Recording a request takes
//! `O(log k)`.
use std::collections::HashMap;
use walnutline::ids::Ms;

/// The weight of a new request grows exponentially with time. Above this limit all weights are scaled down, so
/// that they stay finite.
const MAX_SCALE: f64 = 1e12;

#[derive(Debug, Clone, Copy)]
struct Entry {
    key: u64,
    weight: f64,
    /// The part of the weight that may belong to other titles.
    overestimate: f64,
}

/// A sketch of the demand for titles, which tracks the most requested ones.
#[derive(Debug)]
pub struct DemandSketch {
    half_life: Ms,
    capacity: usize,
    /// A binary heap with the smallest weight first.
    heap: Vec<Entry>,
    /// Index in the heap by key.
    heap_index: HashMap<u64, usize>,
    total_weight: f64,
    /// The time at which a request has weight 1 on the scale of the heap.
    scale_origin: Option<Ms>,
}

/// The demand for a title.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TitleDemand {
    /// Hash of the name of the title.
    pub key: u64,
    /// Decayed weight of its requests, never below the true one.
    pub weight: f64,
    /// Upper bound on how far `weight` exceeds the true one.
    pub max_overestimate: f64,
}

impl DemandSketch {
    /// Creates a sketch that tracks `capacity` titles, at least 1. The weight of a request halves every `half_life`
    /// milliseconds.
    pub fn new(capacity: usize, half_life: Ms) -> DemandSketch {
        let capacity = capacity.max(1);
        DemandSketch {
            half_life,
            capacity,
            heap: Vec::with_capacity(capacity),
            heap_index: HashMap::with_capacity(capacity),
            total_weight: 0.0,
            scale_origin: None,
        }
    }

    /// Number of tracked titles.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no title is tracked.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// The weight of a request at `now`, on the scale of the heap.
    fn scale(&self, now: Ms) -> f64 {
        ((now - self.scale_origin.unwrap_or(now)) / self.half_life).exp2()
    }

    /// Records a request for a title, given by the hash of its name.
    pub fn record(&mut self, key: u64, now: Ms) {
        let origin = *self.scale_origin.get_or_insert(now);
        if self.scale(now) > MAX_SCALE {
            let factor = 1.0 / self.scale(now);
            self.heap
                .iter_mut()
                .for_each(|e| (e.weight, e.overestimate) = (e.weight * factor, e.overestimate * factor));
            self.total_weight *= factor;
            self.scale_origin = Some(now);
        }
        // A clock that stepped back is treated as standing still.
        let weight = self.scale(now.max(origin));
        self.total_weight += weight;
        if let Some(&index) = self.heap_index.get(&key) {
            self.heap[index].weight += weight;
            return self.sift_down(index);
        }
        if self.heap.len() < self.capacity {
            self.heap.push(Entry { key, weight, overestimate: 0.0 });
            let last = self.heap.len() - 1;
            self.heap_index.insert(key, last);
            return self.sift_up(last);
        }
        let smallest = self.heap[0];
        self.heap_index.remove(&smallest.key);
        self.heap[0] = Entry { key, weight: smallest.weight + weight, overestimate: smallest.weight };
        self.heap_index.insert(key, 0);
        self.sift_down(0);
    }

    /// Total decayed weight of all requests.
    pub fn total_weight(&self, now: Ms) -> f64 {
        self.total_weight / self.scale(now)
    }

    /// Upper bound on the overestimate of any reported weight.
    pub fn error_bound(&self, now: Ms) -> f64 {
        self.total_weight(now) / self.capacity as f64
    }

    /// The demand for a title; `None` if it is not tracked.
    pub fn get(&self, key: u64, now: Ms) -> Option<TitleDemand> {
        let entry = self.heap[*self.heap_index.get(&key)?];
        let scale = self.scale(now);
        Some(TitleDemand { key, weight: entry.weight / scale, max_overestimate: entry.overestimate / scale })
    }

    /// The `n` titles of the highest demand, the highest first. Takes `O(k + n log n)`.
    pub fn top(&self, n: usize, now: Ms) -> Vec<TitleDemand> {
        let mut all: Vec<Entry> = self.heap.clone();
        let order = |a: &Entry, b: &Entry| b.weight.total_cmp(&a.weight).then(a.key.cmp(&b.key));
        if n < all.len() {
            all.select_nth_unstable_by(n, order);
            all.truncate(n);
        }
        all.sort_by(order);
        let scale = self.scale(now);
        all.iter()
            .map(|e| TitleDemand {
                key: e.key,
                weight: e.weight / scale,
                max_overestimate: e.overestimate / scale,
            })
            .collect()
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.heap_index.insert(self.heap[a].key, a);
        self.heap_index.insert(self.heap[b].key, b);
    }

    fn sift_up(&mut self, mut index: usize) {
        while index > 0 && self.heap[index].weight < self.heap[(index - 1) / 2].weight {
            self.swap(index, (index - 1) / 2);
            index = (index - 1) / 2;
        }
    }

    fn sift_down(&mut self, mut index: usize) {
        loop {
            let children = [2 * index + 1, 2 * index + 2].into_iter().filter(|c| *c < self.heap.len());
            let smallest = children.min_by(|a, b| self.heap[*a].weight.total_cmp(&self.heap[*b].weight));
            match smallest.filter(|c| self.heap[*c].weight < self.heap[index].weight) {
                Some(child) => {
                    self.swap(index, child);
                    index = child;
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
        /// The documented error bounds hold against exact decayed counts, for skewed keys and any gaps in time.
        #[test]
        fn weights_stay_within_the_error_bounds(
            k in 1usize..20,
            requests in prop::collection::vec((0u64..40, 0u64..40, 0.0f64..400.0), 1..400),
        ) {
            let mut demand = DemandSketch::new(k, 1_000.0);
            let mut exact: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
            let mut now = 0.0;
            for (a, b, gap) in requests {
                now += gap;
                demand.record(a.min(b), now);
                exact.entry(a.min(b)).or_default().push(now);
            }
            let exact: BTreeMap<u64, f64> = exact
                .into_iter()
                .map(|(key, times)| (key, times.iter().map(|t| ((t - now) / 1_000.0).exp2()).sum()))
                .collect();
            let total: f64 = exact.values().sum();
            let tolerance = 1e-6 * total;
            prop_assert!((demand.total_weight(now) - total).abs() <= tolerance);
            prop_assert!(demand.len() <= k);
            let bound = demand.error_bound(now);
            for (key, weight) in &exact {
                match demand.get(*key, now) {
                    Some(reported) => {
                        prop_assert!(reported.weight >= weight - tolerance, "{} under {weight}", reported.weight);
                        prop_assert!(reported.weight - reported.max_overestimate <= weight + tolerance);
                        prop_assert!(reported.max_overestimate <= bound + tolerance);
                    }
                    None => prop_assert!(*weight <= bound + tolerance, "weight {weight} is not tracked, bound {bound}"),
                }
            }
            let top = demand.top(3, now);
            prop_assert!(top.windows(2).all(|w| w[0].weight >= w[1].weight));
        }
    }

    #[test]
    fn weights_stay_finite_over_days() {
        let mut demand = DemandSketch::new(4, 1_000.0);
        for n in 0..200_000u32 {
            demand.record(u64::from(n % 6), f64::from(n) * 500.0);
        }
        let now = 200_000.0 * 500.0;
        let total = demand.total_weight(now);
        assert!((2.0..3.0).contains(&total), "{total}");
        assert!(demand.top(9, now).iter().all(|t| t.weight.is_finite()));
        // After a long gap the old weights have vanished, and a new request has weight 1.
        demand.record(77, now + 1e9);
        assert!((demand.get(77, now + 1e9).unwrap().weight - 1.0).abs() < 1e-6);
    }
}
