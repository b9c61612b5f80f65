//! Where a request's list and the catalogue disagree. The request is always right; this only tells. Each sort is
//! counted by box, and told once for each state of the title.
//!
//! Growth: one counter for each sort and box; at most [`MAX_REMEMBERED`] disagreements are remembered as told, the oldest
//! forgotten first, so that a flood of names costs repeated lines and no memory.
use crate::name_index::{hash_bytes, hash_name};
use crate::version::Version;
use std::collections::{BTreeMap, HashSet, VecDeque};
use walnutline::ids::ServerId;

pub const MAX_REMEMBERED: usize = 16_384;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DifferenceKind {
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

impl DifferenceKind {
    pub const ALL: [DifferenceKind; 6] = [
        DifferenceKind::UnknownTitle,
        DifferenceKind::UnknownHolder,
        DifferenceKind::MissingHolder,
        DifferenceKind::GoneHolder,
        DifferenceKind::OtherGroup,
        DifferenceKind::Renditions,
    ];

    pub fn name(self) -> &'static str {
        match self {
            DifferenceKind::UnknownTitle => "unknown-title",
            DifferenceKind::UnknownHolder => "unknown-holder",
            DifferenceKind::MissingHolder => "missing-holder",
            DifferenceKind::GoneHolder => "gone-holder",
            DifferenceKind::OtherGroup => "other-group",
            DifferenceKind::Renditions => "renditions",
        }
    }
}

/// A request as far as it can disagree.
#[derive(Debug, Clone, Copy)]
pub struct ComparedRequest<'a> {
    pub title: &'a str,
    pub group: &'a str,
    /// Boxes that it names, in any order.
    pub holders: &'a [ServerId],
    /// Rungs of the ladder.
    pub rungs: usize,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    pub kind: DifferenceKind,
    pub server: Option<ServerId>,
}

/// All differences between a request and a version.
pub fn find_differences(v: &Version, told: &ComparedRequest) -> Vec<Difference> {
    let mut found = Vec::new();
    let mut tell = |kind, server| found.push(Difference { kind, server });
    let Some(title) = v.title(told.title) else {
        tell(DifferenceKind::UnknownTitle, None);
        return found;
    };
    for h in told.holders {
        if !title.holds(*h) {
            tell(DifferenceKind::UnknownHolder, Some(*h));
        }
        if v.is_gone(*h) {
            tell(DifferenceKind::GoneHolder, Some(*h));
        }
    }
    for h in title.holders().filter(|h| !told.holders.contains(h)) {
        tell(DifferenceKind::MissingHolder, Some(h));
    }
    let bit = v.groups().iter().position(|g| g == told.group);
    if bit.is_none_or(|bit| title.group_mask() >> bit & 1 == 0) {
        tell(DifferenceKind::OtherGroup, None);
    }
    if title.rates().len() != told.rungs {
        tell(DifferenceKind::Renditions, None);
    }
    found
}

#[derive(Debug, Default)]
pub struct DifferenceTracker {
    counts: BTreeMap<(DifferenceKind, Option<ServerId>), u64>,
    told: HashSet<u64>,
    order: VecDeque<u64>,
}

impl DifferenceTracker {
    /// Counts the differences of a request; returns those that were not told of this state of the title before.
    pub fn record(&mut self, v: &Version, told: &ComparedRequest) -> Vec<Difference> {
        let mut new = find_differences(v, told);
        // A title that was changed is another state; one that is unknown stays the same until it is known.
        let state = v.title(told.title).map_or_else(|| hash_name(told.title), |t| hash_bytes(t.as_bytes()));
        new.retain(|d| {
            *self.counts.entry((d.kind, d.server)).or_default() += 1;
            let what = (d.kind as u64 + 1) << 33 | d.server.map_or(1 << 32, |s| u64::from(s.0));
            self.is_new(state ^ what.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        });
        new
    }

    fn is_new(&mut self, key: u64) -> bool {
        if !self.told.insert(key) {
            return false;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.told.remove(&oldest);
            }
        }
        true
    }

    /// Counts by sort and box since the front started.
    pub fn counts(&self) -> impl Iterator<Item = (DifferenceKind, Option<ServerId>, u64)> + '_ {
        self.counts.iter().map(|((kind, server), n)| (*kind, *server, *n))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::change::{Change, NumberedChange, Title};
    use crate::packed_title::PackedTitle;
    use crate::version::{BoxState, VersionBuilder};

    fn version() -> Version {
        let mut b = VersionBuilder::new(1, vec!["council".into(), "board".into()], None).unwrap();
        b.add_box(BoxState { server: ServerId(2), gone: true, rack: None });
        let holders = vec![ServerId(1), ServerId(2)];
        let t = Title { name: "a".into(), rates: vec![1.0, 2.0], group_mask: 1, duration_ms: 1, holders };
        b.add_title(PackedTitle::new(&t).unwrap()).unwrap();
        b.finish()
    }

    fn sorts(found: Vec<Difference>) -> Vec<(DifferenceKind, Option<u32>)> {
        found.into_iter().map(|d| (d.kind, d.server.map(|s| s.0))).collect()
    }

    #[test]
    fn each_sort_is_found() {
        let v = version();
        let (right, other) = ([ServerId(2), ServerId(1)], [ServerId(3), ServerId(2)]);
        let told = ComparedRequest { title: "a", group: "council", holders: &right, rungs: 2 };
        assert_eq!(sorts(find_differences(&v, &told)), [(DifferenceKind::GoneHolder, Some(2))]);
        let told = ComparedRequest { title: "a", group: "board", holders: &other, rungs: 4 };
        let wanted = [
            (DifferenceKind::UnknownHolder, Some(3)),
            (DifferenceKind::GoneHolder, Some(2)),
            (DifferenceKind::MissingHolder, Some(1)),
            (DifferenceKind::OtherGroup, None),
            (DifferenceKind::Renditions, None),
        ];
        assert_eq!(sorts(find_differences(&v, &told)), wanted);
        assert_eq!(
            sorts(find_differences(&v, &ComparedRequest { title: "b", ..told })),
            [(DifferenceKind::UnknownTitle, None)]
        );
    }

    #[test]
    fn told_once_for_each_state_and_counted_always() {
        let (mut d, v) = (DifferenceTracker::default(), version());
        let told = ComparedRequest { title: "a", group: "council", holders: &[ServerId(3)], rungs: 2 };
        assert_eq!(d.record(&v, &told).len(), 3);
        assert_eq!(d.record(&v, &told).len(), 0);
        let change = Change::AddHolder { name: "a".into(), server: ServerId(9) };
        let v = v.with_changes(&[NumberedChange { number: 2, change }]).unwrap();
        assert_eq!(d.record(&v, &told).len(), 4);
        let of = |s| d.counts().filter(|c| c.0 == s).map(|c| (c.1.map(|s| s.0), c.2)).collect::<Vec<_>>();
        assert_eq!(of(DifferenceKind::UnknownHolder), [(Some(3), 3)]);
        assert_eq!(of(DifferenceKind::MissingHolder), [(Some(1), 3), (Some(2), 3), (Some(9), 1)]);
    }

    #[test]
    fn a_flood_of_names_costs_no_memory() {
        let (mut d, v) = (DifferenceTracker::default(), version());
        for n in 0..2 * MAX_REMEMBERED {
            let title = format!("flood-{n}");
            d.record(&v, &ComparedRequest { title: &title, group: "council", holders: &[], rungs: 2 });
        }
        assert_eq!((d.told.len(), d.order.len(), d.counts.len()), (MAX_REMEMBERED, MAX_REMEMBERED, 1));
    }
}
