//! Versions are checked against a simple model, for changes in any order.
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change::{ApplyError, Change, NumberedChange, Title};
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::version::{BoxState, Version, VersionBuilder};

/// A simple model of the catalogue.
#[derive(Debug, Clone, Default, PartialEq)]
struct Model {
    titles: BTreeMap<String, Title>,
    gone: BTreeSet<ServerId>,
    racks: BTreeMap<ServerId, RackId>,
}

impl Model {
    /// Applies a change. Returns `false` and changes nothing if the change contradicts the state.
    fn apply(&mut self, change: &Change) -> bool {
        let mut update_holders = |name: &String, removed: Option<ServerId>, added: Option<ServerId>| {
            let Some(t) = self.titles.get_mut(name) else { return false };
            let mut set: BTreeSet<ServerId> = t.holders.iter().copied().collect();
            if !removed.is_none_or(|s| set.remove(&s)) || !added.is_none_or(|s| set.insert(s)) {
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
            Change::AddHolder { name, server } => update_holders(name, None, Some(*server)),
            Change::RemoveHolder { name, server } => update_holders(name, Some(*server), None),
            Change::MoveHolder { name, from, to } => update_holders(name, Some(*from), Some(*to)),
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

fn check_same(version: &Version, model: &Model) -> Result<(), TestCaseError> {
    prop_assert_eq!(version.len(), model.titles.len());
    for (name, t) in &model.titles {
        prop_assert_eq!(version.title(name).map(PackedTitle::unpack), Some(t.clone()));
        let available: Vec<ServerId> =
            version.title(name).into_iter().flat_map(|t| version.available_holders(t)).collect();
        let expected: Vec<ServerId> = t.holders.iter().copied().filter(|s| !model.gone.contains(s)).collect();
        prop_assert_eq!(available, expected);
    }
    for server in (0..BOXES).map(ServerId) {
        let held: BTreeSet<&str> = version.titles_on(server).map(|t| t.name()).collect();
        let holds = |(_, t): &(&String, &Title)| t.holders.contains(&server);
        let expected: BTreeSet<&str> = model.titles.iter().filter(holds).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(held, expected);
        prop_assert_eq!(version.is_gone(server), model.gone.contains(&server));
        let unreachable: BTreeSet<&str> =
            version.unreachable_without(&[server]).iter().map(|t| t.name()).collect();
        let only_here = |(_, t): &(&String, &Title)| {
            t.holders.contains(&server) && t.holders.iter().all(|h| *h == server || model.gone.contains(h))
        };
        let expected: BTreeSet<&str> =
            model.titles.iter().filter(only_here).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(unreachable, expected);
    }
    for count in 0..2 {
        let found: BTreeSet<&str> = version.under_replicated(count).map(|t| t.name()).collect();
        let available = |t: &Title| t.holders.iter().filter(|h| !model.gone.contains(h)).count();
        let expected: BTreeSet<&str> =
            model.titles.iter().filter(|(_, t)| available(t) == count).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(found, expected);
    }
    for rack in (0..2).map(RackId) {
        let (boxes, held) = version.rack_contents(rack);
        let in_rack = |s: &ServerId| model.racks.get(s) == Some(&rack);
        prop_assert!(boxes.iter().all(in_rack));
        let held: BTreeSet<&str> = held.into_iter().map(|t| t.name()).collect();
        let holds = |(_, t): &(&String, &Title)| t.holders.iter().any(in_rack);
        let expected: BTreeSet<&str> = model.titles.iter().filter(holds).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(held, expected);
    }
    for prefix in ["", "a", "c", "z"] {
        let found: Vec<&str> =
            version.titles_with_prefix(prefix, None, 99).into_iter().map(|t| t.name()).collect();
        let expected: Vec<&str> =
            model.titles.keys().map(String::as_str).filter(|n| n.starts_with(prefix)).collect();
        prop_assert_eq!(found, expected);
    }
    Ok(())
}

/// Builds a version with the state of the model.
fn build_version(number: u64, model: &Model, previous: Option<Version>) -> Version {
    let mut builder = VersionBuilder::new(number, vec!["g".into()], previous.map(Into::into)).unwrap();
    let boxes = model.gone.iter().chain(model.racks.keys()).collect::<BTreeSet<_>>();
    for server in boxes.into_iter().copied() {
        builder.add_box(BoxState {
            server,
            gone: model.gone.contains(&server),
            rack: model.racks.get(&server).copied(),
        });
    }
    model.titles.values().for_each(|t| builder.add_title(PackedTitle::new(t).unwrap()).unwrap());
    builder.finish()
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
    prop_oneof![
        3 => titles().prop_map(Change::PutTitle),
        1 => name().prop_map(|name| Change::RemoveTitle { name }),
        2 => (name(), server()).prop_map(|(name, server)| Change::AddHolder { name, server }),
        2 => (name(), server()).prop_map(|(name, server)| Change::RemoveHolder { name, server }),
        2 => (name(), server(), server()).prop_map(|(name, from, to)| Change::MoveHolder { name, from, to }),
        1 => (name(), 1.0..9.0f32).prop_map(|(name, r)| Change::SetRates { name, rates: vec![r, r + 1.0] }),
        1 => server().prop_map(Change::ServerGone),
        1 => server().prop_map(Change::ServerBack),
        1 => (server(), 0u32..2).prop_map(|(server, rack)| Change::SetRack { server, rack: RackId(rack) }),
    ]
}

proptest! {
    /// With batches that repeat changes, leave a gap or contradict the state, a version always equals a state of the
    /// model, and earlier versions never change.
    #[test]
    fn versions_match_the_model_and_stay_unchanged(
        batches in prop::collection::vec((prop::collection::vec(changes(), 0..5), -3i64..4), 1..40),
    ) {
        let (mut version, mut model) = (build_version(0, &Model::default(), None), Model::default());
        let mut earlier = Vec::new();
        for (batch, shift) in batches {
            // Most batches continue the sequence, some repeat known changes, and some leave a gap.
            let first = version.number().saturating_add_signed(shift.min(1)) + 1;
            let first = if shift > 1 { version.number() + 1 } else { first };
            let numbered: Vec<NumberedChange> = batch
                .into_iter()
                .enumerate()
                .map(|(n, change)| NumberedChange { number: first + n as u64, change })
                .collect();
            let mut next = model.clone();
            let new: Vec<&NumberedChange> = numbered.iter().filter(|n| n.number > version.number()).collect();
            let gap = new.first().is_some_and(|n| n.number != version.number() + 1);
            let fits = !gap && new.iter().all(|n| next.apply(&n.change));
            match version.with_changes(&numbered) {
                Ok(got) => {
                    prop_assert!(fits);
                    earlier.push((version.clone(), model.clone()));
                    prop_assert_eq!(got.number(), new.last().map_or(version.number(), |n| n.number));
                    (version, model) = (got, next);
                }
                Err(ApplyError::Gap { have, got }) => prop_assert!(gap && have == version.number() && got > have + 1),
                Err(ApplyError::Conflict { .. }) => prop_assert!(!gap && !fits),
            }
            check_same(&version, &model)?;
        }
        for (version, model) in &earlier {
            check_same(version, model)?;
        }
        // A version that is built at once equals the one that changes led to.
        check_same(&build_version(version.number(), &model, None), &model)?;
        check_same(&build_version(version.number(), &model, Some(version)), &model)?;
    }
}

#[test]
fn invalid_titles_are_rejected_with_the_number_of_the_change() {
    let put = |title: Title| vec![NumberedChange { number: 1, change: Change::PutTitle(title) }];
    let valid = Title {
        name: "a".into(),
        rates: vec![1.0, 2.0],
        group_mask: 1,
        duration_ms: 1,
        holders: vec![ServerId(1)],
    };
    let empty = build_version(0, &Model::default(), None);
    assert!(empty.with_changes(&put(valid.clone())).is_ok());
    for invalid in [
        Title { name: String::new(), ..valid.clone() },
        Title { name: "x".repeat(600), ..valid.clone() },
        Title { rates: vec![], ..valid.clone() },
        Title { rates: vec![2.0, 1.0], ..valid.clone() },
        Title { rates: vec![f32::NAN], ..valid.clone() },
        Title { group_mask: 2, ..valid.clone() },
        Title { holders: vec![ServerId(2), ServerId(1)], ..valid.clone() },
        Title { holders: vec![ServerId(1), ServerId(1)], ..valid.clone() },
    ] {
        let error = empty.with_changes(&put(invalid)).unwrap_err();
        assert!(matches!(error, ApplyError::Conflict { number: 1, .. }), "{error}");
    }
    let mut builder = VersionBuilder::new(7, vec!["g".into()], None).unwrap();
    builder.add_title(PackedTitle::new(&valid).unwrap()).unwrap();
    assert_eq!(
        builder.add_title(PackedTitle::new(&valid).unwrap()).unwrap_err(),
        "title \"a\" is given twice"
    );
}

#[test]
fn a_version_lives_until_its_last_reader_and_shares_equal_titles() {
    let title = |n: u32| Title {
        name: format!("t{n}"),
        rates: vec![1.0],
        group_mask: 1,
        duration_ms: 1,
        holders: vec![ServerId(n % 4)],
    };
    let model =
        Model { titles: (0..1_000).map(|n| (format!("t{n}"), title(n))).collect(), ..Model::default() };
    let old = std::sync::Arc::new(build_version(9, &model, None));
    let change = Change::AddHolder { name: "t5".into(), server: ServerId(9) };
    let new = old.with_changes(&[NumberedChange { number: 10, change }]).unwrap();
    assert_eq!(old.title("t5").unwrap().holders().count(), 1);
    assert_eq!(new.title("t5").unwrap().holders().count(), 2);
    let (reader, weak) = (old.clone(), std::sync::Arc::downgrade(&old));
    drop(old);
    assert_eq!(reader.number(), 9);
    drop(reader);
    assert!(weak.upgrade().is_none(), "the old version outlives its last reader");
    // A new load shares the bytes of equal titles.
    let loaded = build_version(10, &model, Some(new.clone()));
    let same_bytes =
        |n: &str| new.title(n).unwrap().as_bytes().as_ptr() == loaded.title(n).unwrap().as_bytes().as_ptr();
    assert!(same_bytes("t6") && !same_bytes("t5"));
}
