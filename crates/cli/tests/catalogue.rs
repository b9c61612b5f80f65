//! A front whose catalogue changes while it serves requests, and the `walnutline catalogue` commands. A request's own
//! list of holders always takes precedence over the catalogue.
mod support;

use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use support::*;
use test_case::test_case;
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change::{Change, NumberedChange, Title};
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::version::{BoxState, Version, VersionBuilder};
use walnutline_catalogue_store::write_snapshot;
use walnutline_rehearsal::publisher::Publisher;

/// A title with two rungs, at this rate and its double.
fn title(name: &str, rate: f32, holders: &[u32]) -> Title {
    let holders = holders.iter().copied().map(ServerId).collect();
    Title { name: name.into(), rates: vec![rate, 2.0 * rate], group_mask: 3, duration_ms: 60_000, holders }
}

/// A version with these titles on four boxes, some of which are gone.
fn version(number: u64, titles: &[Title], gone: &[u32]) -> Version {
    let mut builder =
        VersionBuilder::new(number, vec!["council-notice".into(), "paid".into()], None).unwrap();
    for id in 0..4 {
        builder.add_box(BoxState {
            server: ServerId(id),
            gone: gone.contains(&id),
            rack: Some(RackId(id % 2)),
        });
    }
    titles.iter().for_each(|title| builder.add_title(PackedTitle::new(title).unwrap()).unwrap());
    builder.finish()
}

/// A change of the rates of a title to this rate and its double.
fn set_rates(name: &str, rate: f32) -> Change {
    Change::SetRates { name: name.into(), rates: vec![rate, 2.0 * rate] }
}

/// A front with its boxes, and the publisher of its catalogue.
struct Deployment {
    log: BoxLog,
    _boxes: Vec<TestBox>,
    front: Front,
    publisher: Arc<Publisher>,
    store: tempfile::TempDir,
    document: String,
    viewer: TestViewer,
}

/// Starts a front with three boxes that accept SETUPs, and a publisher of this version.
fn start_deployment(version: Version) -> Deployment {
    start_deployment_with(version, |document| document)
}

/// As `start_deployment`, with the settings document that `edit_document` returns.
fn start_deployment_with(version: Version, edit_document: impl Fn(String) -> String) -> Deployment {
    let log = EventLog::new();
    let boxes: Vec<TestBox> = (0..3).map(|id| TestBox::start(id, BoxBehaviour::Accept, &log)).collect();
    let all: Vec<&TestBox> = boxes.iter().collect();
    let (publisher, source) = Publisher::start(version).unwrap();
    let store = tempfile::tempdir().unwrap();
    // Sessions on these boxes never end: with usual link limits, thousands of requests would fill the links.
    let unlimited = settings_document(start_list_server(&all))
        .replace("link-kb=40000 uplink-kb=160000", "link-kb=4e9 uplink-kb=4e9");
    let document = format!("{unlimited}catalogue folder=\"{}\" source=\"http://{source}/c\" probes-each=0.2 probes-saved=8 news-old=1000\n", store.path().display());
    let document = edit_document(document);
    let front = Front::start_with(&document);
    wait_until_in_use(&front, &all);
    Deployment { log, _boxes: boxes, front, publisher, store, document, viewer: TestViewer::new(10) }
}

impl Deployment {
    /// The lowest rate in a title's manifest, in kB/s, which shows what the front knows of the title.
    fn rate(&self, name: &str) -> u64 {
        lowest_rate(&self.front, &self.viewer, name)
    }

    fn wait_for_rate(&self, name: &str, expected: u64) {
        wait_until(&format!("{name} at {expected} kB/s"), || (self.rate(name) == expected).then_some(()));
    }
}

/// The lowest rate in the manifest of a title, in kB/s.
fn lowest_rate(front: &Front, viewer: &TestViewer, name: &str) -> u64 {
    let mpd = viewer.fetch_manifest(front.address, name, &[0, 1]).manifest();
    mpd.period.adaptation_set.representations[0].bandwidth / 8_000
}

/// Runs the binary to its end.
fn walnutline(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_walnutline")).args(args).output().unwrap()
}

/// What a command printed to standard output and standard error.
fn printed(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

#[test]
fn manifest_follows_the_rates_of_the_catalogue() {
    let deployment = start_deployment(version(7, &[title("water", 111.0, &[0, 1])], &[]));
    deployment.wait_for_rate("water", 111);
    assert_eq!(deployment.rate("unknown"), 200, "the rate of the ladder");
    deployment
        .publisher
        .apply_changes([set_rates("water", 99.0), Change::PutTitle(title("snow", 120.0, &[1]))])
        .unwrap();
    deployment.wait_for_rate("water", 99);
    assert_eq!(deployment.rate("snow"), 120, "both changes of one batch");
    deployment.publisher.apply_changes([Change::RemoveTitle { name: "snow".into() }]).unwrap();
    deployment.wait_for_rate("snow", 200);
}

/// The catalogue has boxes 0 and 1 as holders, of which 1 is gone; the requests name other boxes.
#[test]
fn holders_in_the_request_override_the_catalogue() {
    let deployment = start_deployment(version(7, &[title("water", 111.0, &[0, 1])], &[1]));
    deployment.wait_for_rate("water", 111);
    let viewer = TestViewer::new(11);
    let before = setups_received(&deployment.log).len();
    for holders in [&[2u32][..], &[1], &[2, 1]] {
        let response = viewer.fetch_manifest(deployment.front.address, "water", holders);
        assert!(holders.contains(&response.box_id()), "{holders:?} was placed on {}", response.box_id());
    }
    let sent: Vec<u32> = setups_received(&deployment.log)[before..].iter().map(|setup| setup.1).collect();
    assert!(sent.iter().all(|id| *id != 0), "a box that no request named got a SETUP: {sent:?}");
    assert_eq!(&sent[..2], [2, 1]);
    // A title that is not in the catalogue is placed by the request's holders alone.
    assert_eq!(viewer.fetch_manifest(deployment.front.address, "other", &[2]).box_id(), 2);
    let store = deployment.store.path().to_str().unwrap();
    // The counts are stored periodically.
    wait_until("the differences to be stored", || {
        let table = printed(&walnutline(&["catalogue", "diff", store]));
        let count = |kind: &str, server: &str| {
            let row = table.lines().find(|line| line.split_whitespace().take(2).eq([kind, server]));
            row.and_then(|line| line.split_whitespace().last()?.parse::<u32>().ok()).unwrap_or(0)
        };
        // Requests named box 2, which is no holder in the catalogue, twice; they left out box 1 once and box 0 three
        // times.
        let counts =
            (count("unknown-holder", "2"), count("missing-holder", "1"), count("missing-holder", "0"));
        (counts == (2, 1, 3) && count("gone-holder", "1") >= 2 && count("unknown-title", "-") >= 1)
            .then_some(())
    });
}

/// Sends requests from three viewers while `during` runs, and checks that each is answered once and in time. Returns
/// the number of requests and the result of `during`.
fn with_requests<T>(front: &Front, during: impl FnOnce() -> T) -> (usize, T) {
    let (finished, count) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for index in 0..3 {
            let (finished, count) = (&finished, &count);
            scope.spawn(move || {
                let viewer = TestViewer::new(20 + index);
                while !finished.load(Ordering::SeqCst) {
                    // `fetch_manifest` fails if a second response follows.
                    let response = viewer.fetch_manifest(front.address, "water", &[0, 1, 2]);
                    assert_eq!(response.status, 200, "{response:?}");
                    assert!(
                        response.duration < START_TARGET,
                        "response after the start target: {:?}",
                        response.duration
                    );
                    count.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(during));
        finished.store(true, Ordering::SeqCst);
        result
            .map(|value| (count.load(Ordering::SeqCst), value))
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    })
}

#[test]
fn fifty_thousand_changes_delay_no_request() {
    let mut titles: Vec<Title> =
        (0..2_000).map(|number| title(&format!("t{number}"), 50.0, &[number % 3])).collect();
    titles.push(title("water", 111.0, &[0, 1]));
    let deployment = start_deployment(version(0, &titles, &[]));
    deployment.wait_for_rate("water", 111);
    let (count, ()) = with_requests(&deployment.front, || {
        let changes = (0..50_000u32)
            .map(|number| set_rates(&format!("t{}", number % 2_000), 50.0 + (number / 2_000) as f32));
        assert_eq!(deployment.publisher.apply_changes(changes).unwrap(), 50_000);
        deployment.publisher.apply_changes([set_rates("water", 99.0)]).unwrap();
        deployment.wait_for_rate("water", 99);
    });
    assert!(count > 50, "only {count} requests during the load");
    assert_eq!(
        (deployment.rate("t7"), deployment.publisher.request_counts()),
        (74, (1, 1)),
        "one snapshot, one stream"
    );
}

#[test]
fn loading_a_large_catalogue_delays_no_request() {
    let deployment = start_deployment(version(1, &[title("water", 111.0, &[0, 1])], &[]));
    deployment.wait_for_rate("water", 111);
    let mut titles: Vec<Title> =
        (0..60_000).map(|number| title(&format!("t{number}"), 50.0, &[number % 3])).collect();
    titles.push(title("water", 99.0, &[0, 1]));
    let large = version(500, &titles, &[]);
    let (count, ()) = with_requests(&deployment.front, || {
        deployment.publisher.replace(large);
        deployment.wait_for_rate("water", 99);
    });
    assert!(count > 20, "only {count} requests during the load");
    assert_eq!(deployment.rate("t59999"), 50);
}

/// The change stream sends wrong change numbers, or a change that cannot be applied: the catalogue must stay
/// consistent and reach the published state.
#[test_case(&[12], (1, 2); "missing changes are requested")]
#[test_case(&[8, 8, 7], (1, 1); "repeated changes are ignored")]
#[test_case(&[14, 13, 12], (1, 2); "wrong order")]
#[test_case(&[9], (2, 2); "change that cannot be applied fetches a snapshot")]
fn catalogue_recovers_from_a_faulty_stream(numbers: &[u64], expected_requests: (usize, usize)) {
    let deployment = start_deployment(version(7, &[title("water", 111.0, &[0, 1])], &[]));
    deployment.wait_for_rate("water", 111);
    deployment.publisher.apply_changes([set_rates("water", 112.0)]).unwrap();
    deployment.wait_for_rate("water", 112);
    let removal = Change::RemoveTitle { name: "unheard-of".into() };
    let numbered = |number: &u64| NumberedChange { number: *number, change: removal.clone() };
    deployment.publisher.send_unchecked(numbers.iter().map(numbered).collect());
    // The front has handled them once it has reopened the stream, or applied a later change on the same one.
    wait_until("the stream to be in order again", || {
        (deployment.publisher.request_counts() == expected_requests).then_some(())
    });
    deployment.publisher.apply_changes([set_rates("water", 99.0)]).unwrap();
    deployment.wait_for_rate("water", 99);
    assert_eq!(deployment.publisher.request_counts(), expected_requests);
}

#[test]
fn corrupted_snapshot_is_rejected_and_the_old_version_stays() {
    let deployment = start_deployment(version(7, &[title("water", 111.0, &[0, 1])], &[]));
    deployment.wait_for_rate("water", 111);
    for offset in [20, 120] {
        deployment.publisher.corrupt_snapshot_byte(Some(offset));
        let before = deployment.publisher.request_counts().0;
        deployment.publisher.replace(version(300 + offset as u64, &[title("water", 99.0, &[0, 1])], &[]));
        wait_until("two fetches of the snapshot", || {
            (deployment.publisher.request_counts().0 >= before + 2).then_some(())
        });
        assert_eq!(deployment.rate("water"), 111, "byte {offset}");
    }
    deployment.publisher.corrupt_snapshot_byte(None);
    deployment.wait_for_rate("water", 99);
}

#[test]
fn restarted_front_uses_the_stored_catalogue() {
    let deployment = start_deployment(version(7, &[title("water", 111.0, &[0, 1])], &[]));
    deployment.wait_for_rate("water", 111);
    deployment.publisher.apply_changes([set_rates("water", 99.0)]).unwrap();
    deployment.wait_for_rate("water", 99);
    let Deployment { front, store, document, _boxes, .. } = deployment;
    drop(front);
    // From here on the publisher is unreachable.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (start, end) = (document.find("source=").unwrap(), document.find("/c\"").unwrap());
    let document = format!("{}source=\"http://{closed}{}", &document[..start], &document[end..]);
    let restarted = Front::start_with(&document);
    let viewer = TestViewer::new(9);
    let wait_until_serving = |front: &Front| {
        wait_until("a box to be in use", || {
            (viewer.fetch_manifest(front.address, "water", &[0]).status == 200).then_some(())
        })
    };
    wait_until_serving(&restarted);
    wait_until("the stored catalogue to be read", || {
        (lowest_rate(&restarted, &viewer, "water") == 99).then_some(())
    });
    drop(restarted);
    // The store can't be read: the front serves without a catalogue.
    std::fs::write(store.path().join("changes.redb"), b"no database").unwrap();
    let without_catalogue = Front::start_with(&document);
    wait_until_serving(&without_catalogue);
    assert_eq!(lowest_rate(&without_catalogue, &viewer, "water"), 200, "the rate of the ladder");
}

/// With `probes-each` above 0, the holders of titles in demand are probed ahead of the next request. The
/// decisions send no probes of their own here, and all requests name box 0 alone, so that a probe of box 2 can only
/// be one sent ahead.
#[test_case("0.2", true; "with a probe budget")]
#[test_case("0", false; "without a probe budget")]
fn holders_of_titles_in_demand_are_probed_ahead(probes_each: &str, expects_probe: bool) {
    let deployment =
        start_deployment_with(version(7, &[title("water", 111.0, &[0, 1, 2])], &[]), |document| {
            let without_probes = document.replace("via=\"probe\"", "via=\"none\"");
            without_probes.replace("probes-each=0.2", &format!("probes-each={probes_each}"))
        });
    deployment.wait_for_rate("water", 111);
    let probes = |of: u32| {
        deployment
            .log
            .events()
            .iter()
            .filter(|(_, (id, event))| *id == of && *event == BoxEvent::ProbeReceived)
            .count()
    };
    let (viewer, before) = (TestViewer::new(12), probes(2));
    let send_request =
        || assert_eq!(viewer.fetch_manifest(deployment.front.address, "water", &[0]).box_id(), 0);
    if expects_probe {
        wait_until("a probe of box 2", || {
            send_request();
            (probes(2) > before).then_some(())
        });
    } else {
        // Ten times as many requests as lead to a probe in the case above.
        (0..50).for_each(|_| send_request());
        assert_eq!(probes(2), before);
    }
}

#[test]
fn catalogue_commands_report_what_is_stored() {
    let directory = tempfile::tempdir().unwrap();
    let (store, file) = (directory.path().join("store"), directory.path().join("c.kdl"));
    let (store, path) = (store.to_str().unwrap(), file.to_str().unwrap());
    let catalogue = "number 12\ngroups \"council\"\nbox 1 rack=0\nbox 2 rack=1 gone=true\n\
        title \"water\" length=60000 {\n    rates 180 360\n    groups \"council\"\n    holders 1 2\n}\n\
        title \"snow\" length=1000 {\n    rates 100 200\n    groups \"council\"\n    holders 2\n}\n";
    let run = |args: &[&str]| {
        let output = walnutline(&[&["catalogue"], args].concat());
        (output.status.success(), printed(&output))
    };
    let missing = run(&["show", directory.path().to_str().unwrap(), "water"]);
    assert!(!missing.0 && missing.1.contains("no catalogue is stored"), "{missing:?}");
    std::fs::write(&file, catalogue.replace("180 360", "360 180")).unwrap();
    let invalid = run(&["load", store, path]);
    assert!(!invalid.0 && invalid.1.contains("c.kdl:5:7: title \"water\": rates"), "{invalid:?}");
    std::fs::write(&file, catalogue).unwrap();
    let assert_prints = |args: &[&str], expected: &[&str]| {
        let (succeeded, text) = run(args);
        assert!(succeeded && expected.iter().all(|part| text.contains(part)), "{args:?}: {text}");
    };
    assert_prints(&["load", store, path], &["2 titles in 2 boxes, as of change 12"]);
    assert_prints(
        &["show", store, "water"],
        &["water  kB/s 180 360  groups council  60 s  boxes 1 2 (gone)"],
    );
    assert_prints(&["show", store, "s", "--prefix"], &["snow  kB/s"]);
    let unknown = run(&["show", store, "snew"]);
    assert!(!unknown.0 && unknown.1.contains("\"snew\" is not known; near it: snow"), "{unknown:?}");
    assert_prints(
        &["where", store, "1"],
        &["box 1  rack 0  sound  holds 1 titles, 1 of them nowhere else sound"],
    );
    assert_prints(
        &["thin", store],
        &["1 without a sound holder, 1 with one", "rack 0: 1 boxes, 1 titles; 1 out of reach"],
    );
    assert_prints(
        &["verify", store],
        &["snapshot-12.wcat: sound, 2 titles", "stored: 2 titles, change 12, 0 since"],
    );
    assert_prints(&["compact", store], &["2 titles, change 12, in one snapshot"]);
    // A snapshot of another store loads; with a corrupted byte, `verify` reports its checksum.
    let other = tempfile::tempdir().unwrap();
    let snapshot =
        write_snapshot(other.path(), &version(40, &[title("ice", 5.0, &[3])], &[]), &mut |_, _| {}).unwrap();
    assert_prints(&["load", store, snapshot.to_str().unwrap()], &["1 titles in 4 boxes, as of change 40"]);
    let path = std::path::Path::new(store).join("snapshot-40.wcat");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[50] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    let invalid = run(&["verify", store]);
    assert!(!invalid.0 && invalid.1.contains("snapshot-40.wcat: snapshot: byte 36: checksum"), "{invalid:?}");
}
