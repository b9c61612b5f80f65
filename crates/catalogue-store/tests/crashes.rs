//! Recovery of a store after the process was killed at any moment, or its files were truncated or damaged. The
//! recovered version is consistent and never older than the last batch that was reported as stored.
use proptest::prelude::*;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use walnutline::ids::ServerId;
use walnutline_catalogue::change::{Change, NumberedChange, Title};
use walnutline_catalogue::version::{Version, VersionBuilder};
use walnutline_catalogue_store::{list_snapshots, write_snapshot, Store};

/// Environment variable that passes the folder to the process that is killed.
const FOLDER_VARIABLE: &str = "WALNUTLINE_TEST_FOLDER";

/// The change of a number. Every process generates the same ones.
fn change(number: u64) -> NumberedChange {
    let mut rng = fastrand::Rng::with_seed(number);
    // Each round goes over all titles. The first adds them; the others add one box as a holder, and later remove it.
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

fn version_after(number: u64) -> Version {
    empty().with_changes(&(1..=number).map(change).collect::<Vec<_>>()).unwrap()
}

fn assert_same(a: &Version, b: &Version) {
    assert_eq!(
        (a.number(), a.len(), a.under_replicated_counts()),
        (b.number(), b.len(), b.under_replicated_counts())
    );
    for t in b.titles() {
        assert_eq!(a.title(t.name()), Some(t));
    }
}

/// Opens a store that must be recovered without errors.
fn open(folder: &Path) -> (Store, Version) {
    let (store, recovered) = Store::open(folder, &mut |_, _| {}).unwrap();
    assert_eq!(recovered.errors, []);
    (store, recovered.version.unwrap_or_else(empty))
}

/// Initializes a store with an empty catalogue.
fn initialize(folder: &Path) {
    let (store, _) = open(folder);
    write_snapshot(folder, &empty(), &mut |_, _| {}).unwrap();
    store.prune().unwrap();
}

/// The process that is killed: appends changes forever, and prints the number of each stored batch.
#[test]
#[ignore = "run as a separate process by the test below"]
fn append_until_killed() {
    let Some(folder) = std::env::var_os(FOLDER_VARIABLE) else { return };
    let folder = Path::new(&folder);
    let (store, mut version) = open(folder);
    loop {
        let batch: Vec<NumberedChange> =
            (1..=1 + version.number() % 40).map(|n| change(version.number() + n)).collect();
        let next = version.with_changes(&batch).unwrap();
        store.append(&batch).unwrap();
        version = next;
        println!("stored {}", version.number());
        if version.number() % 3 == 0 {
            write_snapshot(folder, &version, &mut |_, _| println!("snapshot")).unwrap();
            store.prune().unwrap();
        }
    }
}

#[test]
fn a_store_killed_at_any_moment_recovers_every_stored_batch() {
    let folder = tempfile::tempdir().unwrap();
    initialize(folder.path());
    let mut rng = fastrand::Rng::with_seed(11);
    let mut last_stored = 0;
    for _ in 0..16 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--ignored", "--exact", "--nocapture", "append_until_killed"])
            .env(FOLDER_VARIABLE, folder.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        // Killed after a random number of lines, so after a commit, during the next one, or during a snapshot.
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut lines_left = rng.usize(1..25);
        while lines_left > 0 {
            let line = lines.next().expect("the process exited on its own").unwrap();
            if let Some(n) = line.rsplit("stored ").next().and_then(|n| n.parse::<u64>().ok()) {
                last_stored = n;
            }
            lines_left -= usize::from(line.contains("stored ") || line.contains("snapshot"));
        }
        child.kill().unwrap();
        child.wait().unwrap();
        // Batches reported between the last line that was read and the kill are stored too.
        for line in lines.map_while(Result::ok) {
            last_stored = line.rsplit("stored ").next().and_then(|n| n.parse().ok()).unwrap_or(last_stored);
        }
        let (_store, version) = open(folder.path());
        assert!(
            version.number() >= last_stored,
            "{} is older than {last_stored}, which was stored",
            version.number()
        );
        assert_same(&version, &version_after(version.number()));
        last_stored = version.number();
    }
    assert!(last_stored > 100, "only {last_stored} changes in all rounds");
}

/// Fills a folder with snapshots at 300 and 400, and changes up to 450.
fn fill_with_two_snapshots(folder: &Path) {
    initialize(folder);
    let (store, _) = open(folder);
    for (from, to) in [(1, 300), (301, 400), (401, 450)] {
        store.append(&(from..=to).map(change).collect::<Vec<_>>()).unwrap();
        if to < 450 {
            write_snapshot(folder, &version_after(to), &mut |_, _| {}).unwrap();
            store.prune().unwrap();
        }
    }
    let numbers: Vec<u64> = list_snapshots(folder).into_iter().map(|s| s.0).collect();
    assert_eq!(numbers, [400, 300]);
}

#[test]
fn a_damaged_snapshot_is_reported_and_the_older_one_used() {
    let folder = tempfile::tempdir().unwrap();
    fill_with_two_snapshots(folder.path());
    let newest = folder.path().join("snapshot-400.wcat");
    let mut bytes = fs::read(&newest).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    fs::write(&newest, &bytes).unwrap();
    fs::write(folder.path().join("snapshot-500.part"), b"truncated").unwrap();
    let (_store, recovered) = Store::open(folder.path(), &mut |_, _| {}).unwrap();
    assert_eq!(recovered.errors.len(), 1);
    assert!(recovered.errors[0].0.contains("snapshot-400.wcat: snapshot: byte "), "{}", recovered.errors[0]);
    assert_same(&recovered.version.unwrap(), &version_after(450));
    assert!(!folder.path().join("snapshot-500.part").exists());
}

/// A database file that is truncated or damaged anywhere gives an error that names it, or a consistent version.
#[test]
fn a_damaged_database_is_rejected_or_recovered_consistently() {
    let folder = tempfile::tempdir().unwrap();
    fill_with_two_snapshots(folder.path());
    let file = folder.path().join("changes.redb");
    let intact = fs::read(&file).unwrap();
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut rejected, mut recovered_count) = (0, 0);
    for round in 0..60 {
        let mut bytes = intact.clone();
        match round % 3 {
            0 => bytes.truncate(rng.usize(0..bytes.len())),
            1 => {
                let at = rng.usize(0..bytes.len().min(4_096));
                bytes[at] ^= 1 << rng.u8(0..8);
            }
            _ => {
                // A torn write: one page was not written.
                let at = rng.usize(0..bytes.len() / 4_096) * 4_096;
                bytes[at..at + 4_096].fill(0);
            }
        }
        fs::write(&file, &bytes).unwrap();
        match Store::open(folder.path(), &mut |_, _| {}) {
            Err(error) => {
                assert!(error.0.contains("changes.redb"), "{error}");
                rejected += 1;
            }
            Ok((_store, recovered)) => {
                let version = recovered.version.expect("both snapshots are intact");
                assert!((400..=450).contains(&version.number()), "{}", version.number());
                assert_same(&version, &version_after(version.number()));
                recovered_count += 1;
            }
        }
    }
    assert!(rejected > 0 && recovered_count > 0, "rejected {rejected}, recovered {recovered_count}");
}

#[test]
fn a_new_snapshot_replaces_all_stored_data() {
    let folder = tempfile::tempdir().unwrap();
    fill_with_two_snapshots(folder.path());
    let (store, _) = open(folder.path());
    // Its number may be lower, if the publisher started over.
    write_snapshot(folder.path(), &version_after(120), &mut |_, _| {}).unwrap();
    store.reset_to_snapshot(120).unwrap();
    drop(store);
    let (mut store, version) = open(folder.path());
    assert_same(&version, &version_after(120));
    store.append(&[change(121)]).unwrap();
    assert_eq!(store.compact().unwrap(), 1);
    drop(store);
    assert_same(&open(folder.path()).1, &version_after(121));
}

#[test]
fn a_store_that_is_in_use_or_not_a_folder_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    initialize(folder.path());
    let (_store, _) = open(folder.path());
    let error = Store::open(folder.path(), &mut |_, _| {}).err().unwrap();
    assert!(error.0.contains("changes.redb"), "{error}");
    let not_a_folder = folder.path().join("snapshot-0.wcat");
    assert!(Store::open(&not_a_folder, &mut |_, _| {}).is_err());
}

#[derive(Debug, Clone)]
enum Step {
    /// Append a batch of this many changes.
    Append(u64),
    /// Write a snapshot and prune.
    Snapshot,
    /// Leave an incomplete snapshot, as a crash would.
    IncompleteSnapshot,
    /// Close the store and open it again.
    Reopen,
    /// Replace all data by the version after this change.
    Replace(u64),
    /// Compact the database.
    Compact,
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u64..120).prop_map(Step::Append),
        2 => Just(Step::Snapshot),
        1 => Just(Step::IncompleteSnapshot),
        3 => Just(Step::Reopen),
        1 => (0u64..600).prop_map(Step::Replace),
        1 => Just(Step::Compact),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// After any sequence of operations the store recovers the version after the last stored change.
    #[test]
    fn any_sequence_of_operations_recovers_the_last_version(steps in prop::collection::vec(steps(), 1..25)) {
        let folder = tempfile::tempdir().unwrap();
        initialize(folder.path());
        let (mut store, mut version) = open(folder.path());
        for step in steps {
            match step {
                Step::Append(n) => {
                    let batch: Vec<NumberedChange> = (1..=n).map(|k| change(version.number() + k)).collect();
                    version = version.with_changes(&batch).unwrap();
                    store.append(&batch).unwrap();
                }
                Step::Snapshot => {
                    write_snapshot(folder.path(), &version, &mut |_, _| {}).unwrap();
                    store.prune().unwrap();
                }
                Step::IncompleteSnapshot => fs::write(folder.path().join("snapshot.part"), b"WNLNCAT1").unwrap(),
                Step::Replace(number) => {
                    version = version_after(number);
                    write_snapshot(folder.path(), &version, &mut |_, _| {}).unwrap();
                    store.reset_to_snapshot(number).unwrap();
                }
                Step::Compact => drop(store.compact().unwrap()),
                Step::Reopen => {
                    drop(store);
                    let (reopened, recovered) = open(folder.path());
                    assert_same(&recovered, &version);
                    store = reopened;
                }
            }
        }
        drop(store);
        let (_store, recovered) = open(folder.path());
        assert_same(&recovered, &version);
        assert_same(&recovered, &version_after(version.number()));
    }
}
