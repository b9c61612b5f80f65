//! Versions against a plain map, whatever comes in whatever order.
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change::{ApplyError, Change, NumberedChange, Title};
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::version::{BoxState, Version, VersionBuilder};

/// The catalogue as anyone would write it first.
#[derive(Debug, Clone, Default, PartialEq)]
struct Plain {
    titles: BTreeMap<String, Title>,
    gone: BTreeSet<ServerId>,
    racks: BTreeMap<ServerId, RackId>,
}

impl Plain {
    /// Applies a change, or leaves all as it is and says that it does not fit.
    fn apply(&mut self, change: &Change) -> bool {
        let mut holders = |name: &String, off: Option<ServerId>, on: Option<ServerId>| {
            let Some(t) = self.titles.get_mut(name) else { return false };
            let mut set: BTreeSet<ServerId> = t.holders.iter().copied().collect();
            if !off.is_none_or(|s| set.remove(&s)) || !on.is_none_or(|s| set.insert(s)) {
                return false;
            }
            t.holders = set.into_iter().collect();
            true
        };
        match change {
            Change::PutTitle(t) => {
                self.titles.insert(t.name.clone(), t.clone());
                true
            }
            Change::RemoveTitle { name } => self.titles.remove(name).is_some(),
            Change::AddHolder { name, server } => holders(name, None, Some(*server)),
            Change::RemoveHolder { name, server } => holders(name, Some(*server), None),
            Change::MoveHolder { name, from, to } => holders(name, Some(*from), Some(*to)),
            Change::SetRates { name, rates } => match self.titles.get_mut(name) {
                Some(t) => {
                    t.rates = rates.clone();
                    true
                }
                None => false,
            },
            Change::ServerGone(s) => {
                self.gone.insert(*s);
                true
            }
            Change::ServerBack(s) => {
                self.gone.remove(s);
                true
            }
            Change::SetRack { server, rack } => {
                self.racks.insert(*server, *rack);
                true
            }
        }
    }
}

const BOXES: u32 = 6;

fn same(v: &Version, plain: &Plain) -> Result<(), TestCaseError> {
    prop_assert_eq!(v.len(), plain.titles.len());
    for (name, t) in &plain.titles {
        prop_assert_eq!(v.title(name).map(PackedTitle::unpack), Some(t.clone()));
        let sound: Vec<ServerId> = v.title(name).into_iter().flat_map(|t| v.available_holders(t)).collect();
        let wanted: Vec<ServerId> = t.holders.iter().copied().filter(|s| !plain.gone.contains(s)).collect();
        prop_assert_eq!(sound, wanted);
    }
    for s in (0..BOXES).map(ServerId) {
        let held: BTreeSet<&str> = v.titles_on(s).map(|t| t.name()).collect();
        let holds = |(_, t): &(&String, &Title)| t.holders.contains(&s);
        let wanted: BTreeSet<&str> = plain.titles.iter().filter(holds).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(held, wanted);
        prop_assert_eq!(v.is_gone(s), plain.gone.contains(&s));
        let lost: BTreeSet<&str> = v.unreachable_without(&[s]).iter().map(|t| t.name()).collect();
        let only = |(_, t): &(&String, &Title)| {
            t.holders.contains(&s) && t.holders.iter().all(|h| *h == s || plain.gone.contains(h))
        };
        let wanted: BTreeSet<&str> = plain.titles.iter().filter(only).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(lost, wanted);
    }
    for left in 0..2 {
        let told: BTreeSet<&str> = v.under_replicated(left).map(|t| t.name()).collect();
        let sound = |t: &Title| t.holders.iter().filter(|h| !plain.gone.contains(h)).count();
        let wanted: BTreeSet<&str> =
            plain.titles.iter().filter(|(_, t)| sound(t) == left).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(told, wanted);
    }
    for rack in (0..2).map(RackId) {
        let (boxes, held) = v.rack_contents(rack);
        let stands = |s: &ServerId| plain.racks.get(s) == Some(&rack);
        prop_assert!(boxes.iter().all(stands));
        let held: BTreeSet<&str> = held.into_iter().map(|t| t.name()).collect();
        let holds = |(_, t): &(&String, &Title)| t.holders.iter().any(stands);
        let wanted: BTreeSet<&str> = plain.titles.iter().filter(holds).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(held, wanted);
    }
    for prefix in ["", "a", "c", "z"] {
        let told: Vec<&str> = v.titles_with_prefix(prefix, None, 99).into_iter().map(|t| t.name()).collect();
        let wanted: Vec<&str> =
            plain.titles.keys().map(String::as_str).filter(|n| n.starts_with(prefix)).collect();
        prop_assert_eq!(told, wanted);
    }
    Ok(())
}

/// The plain catalogue as a whole version.
fn whole(number: u64, plain: &Plain, beside: Option<Version>) -> Version {
    let mut b = VersionBuilder::new(number, vec!["g".into()], beside.map(Into::into)).unwrap();
    let boxes = plain.gone.iter().chain(plain.racks.keys()).collect::<BTreeSet<_>>();
    for server in boxes.into_iter().copied() {
        b.add_box(BoxState {
            server,
            gone: plain.gone.contains(&server),
            rack: plain.racks.get(&server).copied(),
        });
    }
    plain.titles.values().for_each(|t| b.add_title(PackedTitle::new(t).unwrap()).unwrap());
    b.finish()
}

fn titles() -> impl Strategy<Value = Title> {
    let holders = prop::collection::btree_set(0..BOXES, 0..4);
    ("[a-h]", 1.0..9.0f32, holders).prop_map(|(name, rate, holders)| Title {
        name,
        rates: vec![rate, 2.0 * rate],
        group_mask: 1,
        duration_ms: 5,
        holders: holders.into_iter().map(ServerId).collect(),
    })
}

fn changes() -> impl Strategy<Value = Change> {
    let name = || "[a-h]";
    let server = || (0..BOXES).prop_map(ServerId);
    prop_oneof![3 => titles().prop_map(Change::PutTitle), 1 => name().prop_map(|name| Change::RemoveTitle { name }), 2 => (name(), server()).prop_map(|(name, server)| Change::AddHolder { name, server }), 2 => (name(), server()).prop_map(|(name, server)| Change::RemoveHolder { name, server }), 2 => (name(), server(), server()).prop_map(|(name, from, to)| Change::MoveHolder { name, from, to }), 1 => (name(), 1.0..9.0f32).prop_map(|(name, r)| Change::SetRates { name, rates: vec![r, r + 1.0] }), 1 => server().prop_map(Change::ServerGone), 1 => server().prop_map(Change::ServerBack), 1 => (server(), 0u32..2).prop_map(|(server, rack)| Change::SetRack { server, rack: RackId(rack) })]
}

proptest! {
    /// Batches of changes, some repeated, some after a gap, some that do not fit: a version is always one that the
    /// plain catalogue was at, and versions that readers keep never change.
    #[test]
    fn always_a_whole_version(
        batches in prop::collection::vec((prop::collection::vec(changes(), 0..5), -3i64..4), 1..40),
    ) {
        let (mut v, mut plain) = (whole(0, &Plain::default(), None), Plain::default());
        let mut kept = Vec::new();
        for (batch, shift) in batches {
            // Most batches follow on; some begin with what is known, some leave something out.
            let from = v.number().saturating_add_signed(shift.min(1)) + 1;
            let from = if shift > 1 { v.number() + 1 } else { from };
            let numbered: Vec<NumberedChange> =
                batch.into_iter().enumerate().map(|(n, change)| NumberedChange { number: from + n as u64, change }).collect();
            let mut next = plain.clone();
            let new: Vec<&NumberedChange> = numbered.iter().filter(|n| n.number > v.number()).collect();
            let gap = new.first().is_some_and(|n| n.number != v.number() + 1);
            let fits = !gap && new.iter().all(|n| next.apply(&n.change));
            match v.with_changes(&numbered) {
                Ok(got) => {
                    prop_assert!(fits);
                    kept.push((v.clone(), plain.clone()));
                    prop_assert_eq!(got.number(), new.last().map_or(v.number(), |n| n.number));
                    (v, plain) = (got, next);
                }
                Err(ApplyError::Gap { have, got }) => prop_assert!(gap && have == v.number() && got > have + 1),
                Err(ApplyError::Conflict { .. }) => prop_assert!(!gap && !fits),
            }
            same(&v, &plain)?;
        }
        for (v, plain) in &kept {
            same(v, plain)?;
        }
        // A whole catalogue told at once is the same as the one that was changed into it.
        same(&whole(v.number(), &plain, None), &plain)?;
        same(&whole(v.number(), &plain, Some(v)), &plain)?;
    }
}

#[test]
fn what_cannot_be_is_refused_with_its_number() {
    let put = |title: Title| vec![NumberedChange { number: 1, change: Change::PutTitle(title) }];
    let good = Title {
        name: "a".into(),
        rates: vec![1.0, 2.0],
        group_mask: 1,
        duration_ms: 1,
        holders: vec![ServerId(1)],
    };
    let empty = whole(0, &Plain::default(), None);
    assert!(empty.with_changes(&put(good.clone())).is_ok());
    for bad in [
        Title { name: String::new(), ..good.clone() },
        Title { name: "x".repeat(600), ..good.clone() },
        Title { rates: vec![], ..good.clone() },
        Title { rates: vec![2.0, 1.0], ..good.clone() },
        Title { rates: vec![f32::NAN], ..good.clone() },
        Title { group_mask: 2, ..good.clone() },
        Title { holders: vec![ServerId(2), ServerId(1)], ..good.clone() },
        Title { holders: vec![ServerId(1), ServerId(1)], ..good.clone() },
    ] {
        let told = empty.with_changes(&put(bad)).unwrap_err();
        assert!(matches!(told, ApplyError::Conflict { number: 1, .. }), "{told}");
    }
    let mut twice = VersionBuilder::new(7, vec!["g".into()], None).unwrap();
    twice.add_title(PackedTitle::new(&good).unwrap()).unwrap();
    assert_eq!(twice.add_title(PackedTitle::new(&good).unwrap()).unwrap_err(), "title \"a\" is given twice");
}

#[test]
fn a_version_lives_as_long_as_a_reader_and_shares_what_is_the_same() {
    let title = |n: u32| Title {
        name: format!("t{n}"),
        rates: vec![1.0],
        group_mask: 1,
        duration_ms: 1,
        holders: vec![ServerId(n % 4)],
    };
    let plain =
        Plain { titles: (0..1_000).map(|n| (format!("t{n}"), title(n))).collect(), ..Plain::default() };
    let old = std::sync::Arc::new(whole(9, &plain, None));
    let change = Change::AddHolder { name: "t5".into(), server: ServerId(9) };
    let new = old.with_changes(&[NumberedChange { number: 10, change }]).unwrap();
    assert_eq!(old.title("t5").unwrap().holders().count(), 1);
    assert_eq!(new.title("t5").unwrap().holders().count(), 2);
    let (reader, gone) = (old.clone(), std::sync::Arc::downgrade(&old));
    drop(old);
    assert_eq!(reader.number(), 9);
    drop(reader);
    assert!(gone.upgrade().is_none(), "an old version outlives its last reader");
    // A load beside it keeps the very bytes of the titles that are the same.
    let again = whole(10, &plain, Some(new.clone()));
    let same_bytes =
        |n: &str| new.title(n).unwrap().as_bytes().as_ptr() == again.title(n).unwrap().as_bytes().as_ptr();
    assert!(same_bytes("t6") && !same_bytes("t5"));
}
