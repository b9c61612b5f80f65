//! Differences between requests and the catalogue. The request always wins; differences are only reported. Each kind
//! is counted by box, and reported once for each state of the title.
//!
//! Growth: one counter for each kind and box. At most [`MAX_REMEMBERED`] reported differences are remembered, and the
//! oldest is forgotten first: a flood of title names causes repeated log lines, but takes no more memory.
use crate::name_index::{hash_bytes, hash_name};
use crate::version::Version;
use std::collections::{BTreeMap, HashSet, VecDeque};
use walnutline::ids::ServerId;

/// Reported differences that are remembered.
pub const MAX_REMEMBERED: usize = 16_384;

/// What a request and the catalogue disagree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DifferenceKind {
    /// The catalogue does not have the title.
    UnknownTitle,
    /// The request lists a box that is not a holder in the catalogue.
    UnknownHolder,
    /// The catalogue lists a holder that the request does not.
    MissingHolder,
    /// The request lists a box that is marked as gone in the catalogue.
    GoneHolder,
    /// The catalogue does not list the title for the service group of the request.
    OtherGroup,
    /// The title does not have as many rates as the ladder has rungs.
    Renditions,
}

impl DifferenceKind {
    /// All kinds.
    pub const ALL: [DifferenceKind; 6] = [
        DifferenceKind::UnknownTitle,
        DifferenceKind::UnknownHolder,
        DifferenceKind::MissingHolder,
        DifferenceKind::GoneHolder,
        DifferenceKind::OtherGroup,
        DifferenceKind::Renditions,
    ];

    /// The name of the kind in logs and in `differences.json`.
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

/// The parts of a request that are compared with the catalogue.
#[derive(Debug, Clone, Copy)]
pub struct ComparedRequest<'a> {
    /// Name of the title.
    pub title: &'a str,
    /// Name of the service group.
    pub group: &'a str,
    /// Boxes that the request lists as holders, in any order.
    pub holders: &'a [ServerId],
    /// Number of rungs of the ladder.
    pub rungs: usize,
}

/// One difference between a request and the catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// What they disagree on.
    pub kind: DifferenceKind,
    /// The box concerned, for kinds that concern one.
    pub server: Option<ServerId>,
}

/// All differences between a request and a version of the catalogue.
pub fn find_differences(version: &Version, request: &ComparedRequest) -> Vec<Difference> {
    let mut found = Vec::new();
    let mut add = |kind, server| found.push(Difference { kind, server });
    let Some(title) = version.title(request.title) else {
        add(DifferenceKind::UnknownTitle, None);
        return found;
    };
    for holder in request.holders {
        if !title.holds(*holder) {
            add(DifferenceKind::UnknownHolder, Some(*holder));
        }
        if version.is_gone(*holder) {
            add(DifferenceKind::GoneHolder, Some(*holder));
        }
    }
    for holder in title.holders().filter(|h| !request.holders.contains(h)) {
        add(DifferenceKind::MissingHolder, Some(holder));
    }
    let bit = version.groups().iter().position(|g| g == request.group);
    if bit.is_none_or(|bit| title.group_mask() >> bit & 1 == 0) {
        add(DifferenceKind::OtherGroup, None);
    }
    if title.rates().len() != request.rungs {
        add(DifferenceKind::Renditions, None);
    }
    found
}

/// Counts differences, and remembers which ones were reported.
#[derive(Debug, Default)]
pub struct DifferenceTracker {
    counts: BTreeMap<(DifferenceKind, Option<ServerId>), u64>,
    /// Keys of the reported differences.
    reported: HashSet<u64>,
    /// The same keys, the oldest first.
    report_order: VecDeque<u64>,
}

impl DifferenceTracker {
    /// Counts the differences of a request. Returns those that were not reported before for this state of the title.
    pub fn record(&mut self, version: &Version, request: &ComparedRequest) -> Vec<Difference> {
        let mut new = find_differences(version, request);
        // The state is the content of the title; an unknown title has one state, until it is added.
        let state = version
            .title(request.title)
            .map_or_else(|| hash_name(request.title), |t| hash_bytes(t.as_bytes()));
        new.retain(|d| {
            *self.counts.entry((d.kind, d.server)).or_default() += 1;
            // The upper bits stand for the kind; the lower 32 for the box, or bit 32 for none.
            let discriminant = (d.kind as u64 + 1) << 33 | d.server.map_or(1 << 32, |s| u64::from(s.0));
            self.remember(state ^ discriminant.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        });
        new
    }

    /// Remembers the key of a reported difference; `false` if it is remembered already.
    fn remember(&mut self, key: u64) -> bool {
        if !self.reported.insert(key) {
            return false;
        }
        self.report_order.push_back(key);
        if self.report_order.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.report_order.pop_front() {
                self.reported.remove(&oldest);
            }
        }
        true
    }

    /// Counts by kind and box since the tracker was created.
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
        let mut builder = VersionBuilder::new(1, vec!["council".into(), "board".into()], None).unwrap();
        builder.add_box(BoxState { server: ServerId(2), gone: true, rack: None });
        let holders = vec![ServerId(1), ServerId(2)];
        let title = Title { name: "a".into(), rates: vec![1.0, 2.0], group_mask: 1, duration_ms: 1, holders };
        builder.add_title(PackedTitle::new(&title).unwrap()).unwrap();
        builder.finish()
    }

    fn kinds(found: Vec<Difference>) -> Vec<(DifferenceKind, Option<u32>)> {
        found.into_iter().map(|d| (d.kind, d.server.map(|s| s.0))).collect()
    }

    #[test]
    fn each_kind_of_difference_is_found() {
        let version = version();
        let (matching, other) = ([ServerId(2), ServerId(1)], [ServerId(3), ServerId(2)]);
        let request = ComparedRequest { title: "a", group: "council", holders: &matching, rungs: 2 };
        assert_eq!(kinds(find_differences(&version, &request)), [(DifferenceKind::GoneHolder, Some(2))]);
        let request = ComparedRequest { title: "a", group: "board", holders: &other, rungs: 4 };
        let expected = [
            (DifferenceKind::UnknownHolder, Some(3)),
            (DifferenceKind::GoneHolder, Some(2)),
            (DifferenceKind::MissingHolder, Some(1)),
            (DifferenceKind::OtherGroup, None),
            (DifferenceKind::Renditions, None),
        ];
        assert_eq!(kinds(find_differences(&version, &request)), expected);
        assert_eq!(
            kinds(find_differences(&version, &ComparedRequest { title: "b", ..request })),
            [(DifferenceKind::UnknownTitle, None)]
        );
    }

    #[test]
    fn a_difference_is_reported_once_for_each_state_of_the_title_and_always_counted() {
        let (mut tracker, version) = (DifferenceTracker::default(), version());
        let request = ComparedRequest { title: "a", group: "council", holders: &[ServerId(3)], rungs: 2 };
        assert_eq!(tracker.record(&version, &request).len(), 3);
        assert_eq!(tracker.record(&version, &request).len(), 0);
        let change = Change::AddHolder { name: "a".into(), server: ServerId(9) };
        let version = version.with_changes(&[NumberedChange { number: 2, change }]).unwrap();
        assert_eq!(tracker.record(&version, &request).len(), 4);
        let counts = |kind| {
            tracker.counts().filter(|c| c.0 == kind).map(|c| (c.1.map(|s| s.0), c.2)).collect::<Vec<_>>()
        };
        assert_eq!(counts(DifferenceKind::UnknownHolder), [(Some(3), 3)]);
        assert_eq!(counts(DifferenceKind::MissingHolder), [(Some(1), 3), (Some(2), 3), (Some(9), 1)]);
    }

    #[test]
    fn a_flood_of_title_names_takes_bounded_memory() {
        let (mut tracker, version) = (DifferenceTracker::default(), version());
        for n in 0..2 * MAX_REMEMBERED {
            let title = format!("flood-{n}");
            tracker.record(
                &version,
                &ComparedRequest { title: &title, group: "council", holders: &[], rungs: 2 },
            );
        }
        assert_eq!(
            (tracker.reported.len(), tracker.report_order.len(), tracker.counts.len()),
            (MAX_REMEMBERED, MAX_REMEMBERED, 1)
        );
    }
}
