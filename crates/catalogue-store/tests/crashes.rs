//! A store through crashes: killed at any moment, cut short, flipped. What comes back is a whole version, never older
//! than what was told to be kept.
use proptest::prelude::*;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use walnutline::ids::ServerId;
use walnutline_catalogue::change::{Change, NumberedChange, Title};
use walnutline_catalogue::version::{Version, VersionBuilder};
use walnutline_catalogue_store::{list_snapshots, write_snapshot, Store};

const FOLDER: &str = "WALNUTLINE_TEST_FOLDER";

/// The change of a number, the same in every process.
fn change(number: u64) -> NumberedChange {
    let mut rng = fastrand::Rng::with_seed(number);
    // Each round goes over all titles: first they are put, then each box in turn is added, then taken off.
    let (title, round) = ((number - 1) % 97, (number - 1) / 97);
    let name = format!("t{title}");
    let server = ServerId((round.wrapping_sub(1) % 11) as u32);
    let change = match round {
        0 => {
            let rates = vec![1.0, 1.0 + rng.u32(1..9) as f32];
            Change::PutTitle(Title { name, rates, group_mask: 1, duration_ms: 5, holders: vec![] })
        }
        n if (n - 1) / 11 % 2 == 0 => Change::AddHolder { name, server },
        _ => Change::RemoveHolder { name, server },
    };
    NumberedChange { number, change }
}

fn empty() -> Version {
    VersionBuilder::new(0, vec!["g".into()], None).unwrap().finish()
}

fn at(number: u64) -> Version {
    empty().with_changes(&(1..=number).map(change).collect::<Vec<_>>()).unwrap()
}

fn same(a: &Version, b: &Version) {
    assert_eq!(
        (a.number(), a.len(), a.under_replicated_counts()),
        (b.number(), b.len(), b.under_replicated_counts())
    );
    for t in b.titles() {
        assert_eq!(a.title(t.name()), Some(t));
    }
}

fn open(folder: &Path) -> (Store, Version) {
    let (store, held) = Store::open(folder, &mut |_, _| {}).unwrap();
    assert_eq!(held.errors, []);
    (store, held.version.unwrap_or_else(empty))
}

fn begin(folder: &Path) {
    let (store, _) = open(folder);
    write_snapshot(folder, &empty(), &mut |_, _| {}).unwrap();
    store.prune().unwrap();
}

/// The process that is killed: applies changes for ever, tells each number that is kept.
#[test]
#[ignore = "run by the test below, as a process of its own"]
fn applies_until_killed() {
    let Some(folder) = std::env::var_os(FOLDER) else { return };
    let folder = Path::new(&folder);
    let (store, mut v) = open(folder);
    loop {
        let batch: Vec<NumberedChange> = (1..=1 + v.number() % 40).map(|n| change(v.number() + n)).collect();
        let next = v.with_changes(&batch).unwrap();
        store.append(&batch).unwrap();
        v = next;
        println!("kept {}", v.number());
        if v.number() % 3 == 0 {
            write_snapshot(folder, &v, &mut |_, _| println!("snapshot")).unwrap();
            store.prune().unwrap();
        }
    }
}

#[test]
fn killed_at_any_moment_it_comes_back_whole() {
    let folder = tempfile::tempdir().unwrap();
    begin(folder.path());
    let mut rng = fastrand::Rng::with_seed(11);
    let mut last = 0;
    for _ in 0..16 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--ignored", "--exact", "--nocapture", "applies_until_killed"])
            .env(FOLDER, folder.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        // Killed after so many lines: after a commit, amid the next, amid a snapshot, as it falls.
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut left = rng.usize(1..25);
        while left > 0 {
            let line = lines.next().expect("the process ended by itself").unwrap();
            if let Some(n) = line.rsplit("kept ").next().and_then(|n| n.parse::<u64>().ok()) {
                last = n;
            }
            left -= usize::from(line.contains("kept ") || line.contains("snapshot"));
        }
        child.kill().unwrap();
        child.wait().unwrap();
        // What was told between our last line and its end is kept too.
        for line in lines.map_while(Result::ok) {
            last = line.rsplit("kept ").next().and_then(|n| n.parse().ok()).unwrap_or(last);
        }
        let (_store, v) = open(folder.path());
        assert!(v.number() >= last, "{} is older than {last}, which was kept", v.number());
        same(&v, &at(v.number()));
        last = v.number();
    }
    assert!(last > 100, "only {last} changes in all rounds");
}

/// A folder with snapshots at 300 and 400, and changes up to 450.
fn with_two_snapshots(folder: &Path) {
    begin(folder);
    let (store, _) = open(folder);
    for (from, to) in [(1, 300), (301, 400), (401, 450)] {
        store.append(&(from..=to).map(change).collect::<Vec<_>>()).unwrap();
        if to < 450 {
            write_snapshot(folder, &at(to), &mut |_, _| {}).unwrap();
            store.prune().unwrap();
        }
    }
    let numbers: Vec<u64> = list_snapshots(folder).into_iter().map(|s| s.0).collect();
    assert_eq!(numbers, [400, 300]);
}

#[test]
fn a_damaged_snapshot_is_told_and_the_one_before_taken() {
    let folder = tempfile::tempdir().unwrap();
    with_two_snapshots(folder.path());
    let newest = folder.path().join("snapshot-400.wcat");
    let mut bytes = fs::read(&newest).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    fs::write(&newest, &bytes).unwrap();
    fs::write(folder.path().join("snapshot-500.part"), b"cut short").unwrap();
    let (_store, held) = Store::open(folder.path(), &mut |_, _| {}).unwrap();
    assert_eq!(held.errors.len(), 1);
    assert!(held.errors[0].0.contains("snapshot-400.wcat: snapshot: byte "), "{}", held.errors[0]);
    same(&held.version.unwrap(), &at(450));
    assert!(!folder.path().join("snapshot-500.part").exists());
}

/// The database's file cut or flipped anywhere: an error that names it, or a whole version.
#[test]
fn a_torn_database_is_refused_or_whole() {
    let folder = tempfile::tempdir().unwrap();
    with_two_snapshots(folder.path());
    let file = folder.path().join("changes.redb");
    let sound = fs::read(&file).unwrap();
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut refused, mut whole) = (0, 0);
    for round in 0..60 {
        let mut bytes = sound.clone();
        match round % 3 {
            0 => bytes.truncate(rng.usize(0..bytes.len())),
            1 => {
                let at = rng.usize(0..bytes.len().min(4_096));
                bytes[at] ^= 1 << rng.u8(0..8);
            }
            _ => {
                // The last write is torn: a page that was to be written is not.
                let at = rng.usize(0..bytes.len() / 4_096) * 4_096;
                bytes[at..at + 4_096].fill(0);
            }
        }
        fs::write(&file, &bytes).unwrap();
        match Store::open(folder.path(), &mut |_, _| {}) {
            Err(fault) => {
                assert!(fault.0.contains("changes.redb"), "{fault}");
                refused += 1;
            }
            Ok((_store, held)) => {
                let v = held.version.expect("both snapshots are sound");
                assert!((400..=450).contains(&v.number()), "{}", v.number());
                same(&v, &at(v.number()));
                whole += 1;
            }
        }
    }
    assert!(refused > 0 && whole > 0, "refused {refused}, whole {whole}");
}

#[test]
fn a_whole_catalogue_takes_the_place_of_all() {
    let folder = tempfile::tempdir().unwrap();
    with_two_snapshots(folder.path());
    let (store, _) = open(folder.path());
    // Its numbers may be lower: the publisher began anew.
    write_snapshot(folder.path(), &at(120), &mut |_, _| {}).unwrap();
    store.reset_to_snapshot(120).unwrap();
    drop(store);
    let (mut store, v) = open(folder.path());
    same(&v, &at(120));
    store.append(&[change(121)]).unwrap();
    assert_eq!(store.compact().unwrap(), 1);
    drop(store);
    same(&open(folder.path()).1, &at(121));
}

#[test]
fn a_store_in_use_or_out_of_reach_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    begin(folder.path());
    let (_store, _) = open(folder.path());
    let told = Store::open(folder.path(), &mut |_, _| {}).err().unwrap();
    assert!(told.0.contains("changes.redb"), "{told}");
    let not_a_folder = folder.path().join("snapshot-0.wcat");
    assert!(Store::open(&not_a_folder, &mut |_, _| {}).is_err());
}

#[derive(Debug, Clone)]
enum Step {
    /// So many changes in one batch.
    Append(u64),
    /// A snapshot, and what may go is removed.
    Snapshot,
    /// A snapshot that a crash cut short.
    CutShort,
    /// The process is gone and comes back.
    Reopen,
    /// Another whole catalogue, as of this change.
    Replace(u64),
    Compact,
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u64..120).prop_map(Step::Append),
        2 => Just(Step::Snapshot),
        1 => Just(Step::CutShort),
        3 => Just(Step::Reopen),
        1 => (0u64..600).prop_map(Step::Replace),
        1 => Just(Step::Compact),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Any order of changes, crashes and loads: what comes back is the plain catalogue of the last change kept.
    #[test]
    fn any_order_gives_the_plain_catalogue(steps in prop::collection::vec(steps(), 1..25)) {
        let folder = tempfile::tempdir().unwrap();
        begin(folder.path());
        let (mut store, mut v) = open(folder.path());
        for step in steps {
            match step {
                Step::Append(n) => {
                    let batch: Vec<NumberedChange> = (1..=n).map(|k| change(v.number() + k)).collect();
                    v = v.with_changes(&batch).unwrap();
                    store.append(&batch).unwrap();
                }
                Step::Snapshot => {
                    write_snapshot(folder.path(), &v, &mut |_, _| {}).unwrap();
                    store.prune().unwrap();
                }
                Step::CutShort => fs::write(folder.path().join("snapshot.part"), b"WNLNCAT1").unwrap(),
                Step::Replace(number) => {
                    v = at(number);
                    write_snapshot(folder.path(), &v, &mut |_, _| {}).unwrap();
                    store.reset_to_snapshot(number).unwrap();
                }
                Step::Compact => drop(store.compact().unwrap()),
                Step::Reopen => {
                    drop(store);
                    let (again, held) = open(folder.path());
                    same(&held, &v);
                    store = again;
                }
            }
        }
        drop(store);
        let (_store, held) = open(folder.path());
        same(&held, &v);
        same(&held, &at(v.number()));
    }
}
