//! Where a request's list and the catalogue disagree. The request is always right; this only tells. Each sort is
//! counted by box, and told once for each state of the title.
//!
//! Growth: one counter for each sort and box; at most [`REMEMBERED`] disagreements are remembered as told, the oldest
//! forgotten first, so that a flood of names costs repeated lines and no memory.
use crate::names::{hash, hash_bytes};
use crate::version::Version;
use std::collections::{BTreeMap, HashSet, VecDeque};
use walnutline::ids::ServerId;

pub const REMEMBERED: usize = 16_384;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Sort {
    /// The catalogue does not have the title.
    UnknownTitle,
    /// The request names a box that does not hold the title by the catalogue.
    UnknownHolder,
    /// The catalogue's holder is not in the request.
    MissingHolder,
    /// The request names a box that is gone by the catalogue.
    GoneHolder,
    /// The title is not for this service group by the catalogue.
    OtherGroup,
    /// The title has not as many rungs as the ladder.
    Renditions,
}

impl Sort {
    pub const ALL: [Sort; 6] = [
        Sort::UnknownTitle,
        Sort::UnknownHolder,
        Sort::MissingHolder,
        Sort::GoneHolder,
        Sort::OtherGroup,
        Sort::Renditions,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Sort::UnknownTitle => "unknown-title",
            Sort::UnknownHolder => "unknown-holder",
            Sort::MissingHolder => "missing-holder",
            Sort::GoneHolder => "gone-holder",
            Sort::OtherGroup => "other-group",
            Sort::Renditions => "renditions",
        }
    }
}

/// A request as far as it can disagree.
#[derive(Debug, Clone, Copy)]
pub struct Told<'a> {
    pub title: &'a str,
    pub group: &'a str,
    /// Boxes that it names, in any order.
    pub holders: &'a [ServerId],
    /// Rungs of the ladder.
    pub rungs: usize,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    pub sort: Sort,
    pub server: Option<ServerId>,
}

/// All differences between a request and a version.
pub fn between(v: &Version, told: &Told) -> Vec<Difference> {
    let mut found = Vec::new();
    let mut tell = |sort, server| found.push(Difference { sort, server });
    let Some(title) = v.title(told.title) else {
        tell(Sort::UnknownTitle, None);
        return found;
    };
    for h in told.holders {
        if !title.holds(*h) {
            tell(Sort::UnknownHolder, Some(*h));
        }
        if v.is_gone(*h) {
            tell(Sort::GoneHolder, Some(*h));
        }
    }
    for h in title.holders().filter(|h| !told.holders.contains(h)) {
        tell(Sort::MissingHolder, Some(h));
    }
    let bit = v.groups().iter().position(|g| g == told.group);
    if bit.is_none_or(|bit| title.groups() >> bit & 1 == 0) {
        tell(Sort::OtherGroup, None);
    }
    if title.rates().len() != told.rungs {
        tell(Sort::Renditions, None);
    }
    found
}

#[derive(Debug, Default)]
pub struct Differences {
    counts: BTreeMap<(Sort, Option<ServerId>), u64>,
    told: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Differences {
    /// Counts the differences of a request; returns those that were not told of this state of the title before.
    pub fn count(&mut self, v: &Version, told: &Told) -> Vec<Difference> {
        let mut new = between(v, told);
        // A title that was changed is another state; one that is unknown stays the same until it is known.
        let state = v.title(told.title).map_or_else(|| hash(told.title), |t| hash_bytes(t.bytes()));
        new.retain(|d| {
            *self.counts.entry((d.sort, d.server)).or_default() += 1;
            let what = (d.sort as u64 + 1) << 33 | d.server.map_or(1 << 32, |s| u64::from(s.0));
            self.is_new(state ^ what.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        });
        new
    }

    fn is_new(&mut self, key: u64) -> bool {
        if !self.told.insert(key) {
            return false;
        }
        self.order.push_back(key);
        if self.order.len() > REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.told.remove(&oldest);
            }
        }
        true
    }

    /// Counts by sort and box since the front started.
    pub fn counts(&self) -> impl Iterator<Item = (Sort, Option<ServerId>, u64)> + '_ {
        self.counts.iter().map(|((sort, server), n)| (*sort, *server, *n))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::change::{Change, Numbered, Title};
    use crate::packed::Packed;
    use crate::version::{BoxOf, Builder};

    fn version() -> Version {
        let mut b = Builder::new(1, vec!["council".into(), "board".into()], None).unwrap();
        b.tell(BoxOf { server: ServerId(2), gone: true, rack: None });
        let holders = vec![ServerId(1), ServerId(2)];
        let t = Title { name: "a".into(), rates: vec![1.0, 2.0], groups: 1, length: 1, holders };
        b.title(Packed::new(&t).unwrap()).unwrap();
        b.finish()
    }

    fn sorts(found: Vec<Difference>) -> Vec<(Sort, Option<u32>)> {
        found.into_iter().map(|d| (d.sort, d.server.map(|s| s.0))).collect()
    }

    #[test]
    fn each_sort_is_found() {
        let v = version();
        let (right, other) = ([ServerId(2), ServerId(1)], [ServerId(3), ServerId(2)]);
        let told = Told { title: "a", group: "council", holders: &right, rungs: 2 };
        assert_eq!(sorts(between(&v, &told)), [(Sort::GoneHolder, Some(2))]);
        let told = Told { title: "a", group: "board", holders: &other, rungs: 4 };
        let wanted = [
            (Sort::UnknownHolder, Some(3)),
            (Sort::GoneHolder, Some(2)),
            (Sort::MissingHolder, Some(1)),
            (Sort::OtherGroup, None),
            (Sort::Renditions, None),
        ];
        assert_eq!(sorts(between(&v, &told)), wanted);
        assert_eq!(sorts(between(&v, &Told { title: "b", ..told })), [(Sort::UnknownTitle, None)]);
    }

    #[test]
    fn told_once_for_each_state_and_counted_always() {
        let (mut d, v) = (Differences::default(), version());
        let told = Told { title: "a", group: "council", holders: &[ServerId(3)], rungs: 2 };
        assert_eq!(d.count(&v, &told).len(), 3);
        assert_eq!(d.count(&v, &told).len(), 0);
        let change = Change::AddHolder { name: "a".into(), server: ServerId(9) };
        let v = v.with(&[Numbered { number: 2, change }]).unwrap();
        assert_eq!(d.count(&v, &told).len(), 4);
        let of = |s| d.counts().filter(|c| c.0 == s).map(|c| (c.1.map(|s| s.0), c.2)).collect::<Vec<_>>();
        assert_eq!(of(Sort::UnknownHolder), [(Some(3), 3)]);
        assert_eq!(of(Sort::MissingHolder), [(Some(1), 3), (Some(2), 3), (Some(9), 1)]);
    }

    #[test]
    fn a_flood_of_names_costs_no_memory() {
        let (mut d, v) = (Differences::default(), version());
        for n in 0..2 * REMEMBERED {
            let title = format!("flood-{n}");
            d.count(&v, &Told { title: &title, group: "council", holders: &[], rungs: 2 });
        }
        assert_eq!((d.told.len(), d.order.len(), d.counts.len()), (REMEMBERED, REMEMBERED, 1));
    }
}
