//! Versions against a plain map, whatever comes in whatever order.
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use walnutline::ids::ServerId;
use walnutline_catalogue::change::{Change, Fault, Numbered, Title};
use walnutline_catalogue::version::Version;

/// The catalogue as anyone would write it first.
#[derive(Debug, Clone, Default, PartialEq)]
struct Plain {
    titles: BTreeMap<String, Title>,
    gone: BTreeSet<ServerId>,
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
            Change::Put(t) => {
                self.titles.insert(t.name.clone(), t.clone());
                true
            }
            Change::Drop { name } => self.titles.remove(name).is_some(),
            Change::AddHolder { name, server } => holders(name, None, Some(*server)),
            Change::DropHolder { name, server } => holders(name, Some(*server), None),
            Change::MoveHolder { name, from, to } => holders(name, Some(*from), Some(*to)),
            Change::Rates { name, rates } => match self.titles.get_mut(name) {
                Some(t) => {
                    t.rates = rates.clone();
                    true
                }
                None => false,
            },
            Change::Gone(s) => {
                self.gone.insert(*s);
                true
            }
            Change::Back(s) => {
                self.gone.remove(s);
                true
            }
        }
    }
}

const BOXES: u32 = 6;

fn same(v: &Version, plain: &Plain) -> Result<(), TestCaseError> {
    prop_assert_eq!(v.len(), plain.titles.len());
    for (name, t) in &plain.titles {
        prop_assert_eq!(v.title(name).map(|t| &**t), Some(t));
        let sound: Vec<ServerId> = v.sound_holders(t).collect();
        let wanted: Vec<ServerId> = t.holders.iter().copied().filter(|s| !plain.gone.contains(s)).collect();
        prop_assert_eq!(sound, wanted);
    }
    for s in (0..BOXES).map(ServerId) {
        let held: BTreeSet<&str> = v.held_by(s).map(|t| t.name.as_str()).collect();
        let holds = |(_, t): &(&String, &Title)| t.holders.contains(&s);
        let wanted: BTreeSet<&str> = plain.titles.iter().filter(holds).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(held, wanted);
        prop_assert_eq!(v.is_gone(s), plain.gone.contains(&s));
        let lost: BTreeSet<&str> = v.lost_with(&[s]).iter().map(|t| t.name.as_str()).collect();
        let only = |(_, t): &(&String, &Title)| {
            t.holders.contains(&s) && t.holders.iter().all(|h| *h == s || plain.gone.contains(h))
        };
        let wanted: BTreeSet<&str> = plain.titles.iter().filter(only).map(|(n, _)| n.as_str()).collect();
        prop_assert_eq!(lost, wanted);
    }
    Ok(())
}

fn titles() -> impl Strategy<Value = Title> {
    let holders = prop::collection::btree_set(0..BOXES, 0..4);
    ("[a-h]", 1.0..9.0f32, holders).prop_map(|(name, rate, holders)| Title {
        name,
        rates: vec![rate, 2.0 * rate],
        groups: 1,
        length: 5,
        holders: holders.into_iter().map(ServerId).collect(),
    })
}

fn changes() -> impl Strategy<Value = Change> {
    let name = || "[a-h]";
    let server = || (0..BOXES).prop_map(ServerId);
    prop_oneof![
        3 => titles().prop_map(Change::Put),
        1 => name().prop_map(|name| Change::Drop { name }),
        2 => (name(), server()).prop_map(|(name, server)| Change::AddHolder { name, server }),
        2 => (name(), server()).prop_map(|(name, server)| Change::DropHolder { name, server }),
        2 => (name(), server(), server()).prop_map(|(name, from, to)| Change::MoveHolder { name, from, to }),
        1 => (name(), 1.0..9.0f32).prop_map(|(name, r)| Change::Rates { name, rates: vec![r, r + 1.0] }),
        1 => server().prop_map(Change::Gone),
        1 => server().prop_map(Change::Back),
    ]
}

proptest! {
    /// Batches of changes, some repeated, some after a gap, some that do not fit: a version is always one that the
    /// plain catalogue was at, and versions that readers keep never change.
    #[test]
    fn always_a_whole_version(
        batches in prop::collection::vec((prop::collection::vec(changes(), 0..5), -3i64..4), 1..40),
    ) {
        let (mut v, mut plain) = (Version::default(), Plain::default());
        let mut kept = Vec::new();
        for (batch, shift) in batches {
            // Most batches follow on; some begin with what is known, some leave something out.
            let from = v.number().saturating_add_signed(shift.min(1)) + 1;
            let from = if shift > 1 { v.number() + 1 } else { from };
            let numbered: Vec<Numbered> =
                batch.into_iter().enumerate().map(|(n, change)| Numbered { number: from + n as u64, change }).collect();
            let mut next = plain.clone();
            let new: Vec<&Numbered> = numbered.iter().filter(|n| n.number > v.number()).collect();
            let gap = new.first().is_some_and(|n| n.number != v.number() + 1);
            let fits = !gap && new.iter().all(|n| next.apply(&n.change));
            match v.with(&numbered) {
                Ok(got) => {
                    prop_assert!(fits);
                    kept.push((v.clone(), plain.clone()));
                    prop_assert_eq!(got.number(), new.last().map_or(v.number(), |n| n.number));
                    (v, plain) = (got, next);
                }
                Err(Fault::Gap { have, got }) => prop_assert!(gap && have == v.number() && got > have + 1),
                Err(Fault::Conflict { .. }) => prop_assert!(!gap && !fits),
            }
            same(&v, &plain)?;
        }
        for (v, plain) in &kept {
            same(v, plain)?;
        }
        // A whole catalogue told at once is the same as the one that was changed into it.
        let whole = Version::whole(v.number(), plain.titles.values().cloned(), plain.gone.iter().copied());
        same(&whole.unwrap(), &plain)?;
    }
}

#[test]
fn what_cannot_be_is_refused_with_its_number() {
    let put = |title: Title| vec![Numbered { number: 1, change: Change::Put(title) }];
    let good =
        Title { name: "a".into(), rates: vec![1.0, 2.0], groups: 1, length: 1, holders: vec![ServerId(1)] };
    assert!(Version::default().with(&put(good.clone())).is_ok());
    for bad in [
        Title { name: String::new(), ..good.clone() },
        Title { rates: vec![], ..good.clone() },
        Title { rates: vec![2.0, 1.0], ..good.clone() },
        Title { rates: vec![f32::NAN], ..good.clone() },
        Title { holders: vec![ServerId(2), ServerId(1)], ..good.clone() },
        Title { holders: vec![ServerId(1), ServerId(1)], ..good.clone() },
    ] {
        let told = Version::default().with(&put(bad)).unwrap_err();
        assert!(matches!(told, Fault::Conflict { number: 1, .. }), "{told}");
    }
    let twice = Version::whole(7, [good.clone(), good], []).unwrap_err();
    assert_eq!(twice.to_string(), "change 7: title \"a\" is given twice");
}
