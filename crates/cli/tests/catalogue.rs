//! A front with a catalogue that changes while it serves: what it gains, and that the request always wins.
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

fn title(name: &str, rate: f32, holders: &[u32]) -> Title {
    let holders = holders.iter().copied().map(ServerId).collect();
    Title { name: name.into(), rates: vec![rate, 2.0 * rate], group_mask: 3, duration_ms: 60_000, holders }
}

fn version(number: u64, titles: &[Title], gone: &[u32]) -> Version {
    let mut b = VersionBuilder::new(number, vec!["council-notice".into(), "paid".into()], None).unwrap();
    for n in 0..4 {
        b.add_box(BoxState { server: ServerId(n), gone: gone.contains(&n), rack: Some(RackId(n % 2)) });
    }
    titles.iter().for_each(|t| b.add_title(PackedTitle::new(t).unwrap()).unwrap());
    b.finish()
}

fn rates(name: &str, rate: f32) -> Change {
    Change::SetRates { name: name.into(), rates: vec![rate, 2.0 * rate] }
}

struct Place {
    log: BoxLog,
    _boxes: Vec<TestBox>,
    front: Front,
    publisher: Arc<Publisher>,
    store: tempfile::TempDir,
    document: String,
    phone: Phone,
}

/// A front with three boxes that play, and the catalogue of a publisher.
fn place(v: Version) -> Place {
    place_with(v, |document| document)
}

/// The same, with a document that differs.
fn place_with(v: Version, differ: impl Fn(String) -> String) -> Place {
    let log = Log::new();
    let boxes: Vec<TestBox> = (0..3).map(|n| TestBox::start(n, Does::Plays, &log)).collect();
    let all: Vec<&TestBox> = boxes.iter().collect();
    let (publisher, source) = Publisher::start(v).unwrap();
    let store = tempfile::tempdir().unwrap();
    // Sessions of these boxes never end: links must not be what a test of thousands of requests finds full.
    let plain =
        document(list_of(&all)).replace("link-kb=40000 uplink-kb=160000", "link-kb=4e9 uplink-kb=4e9");
    let document = format!("{plain}catalogue folder=\"{}\" source=\"http://{source}/c\" probes-each=0.2 probes-saved=8 news-old=1000\n", store.path().display());
    let document = differ(document);
    let front = Front::with(&document);
    ready(&front, &all);
    Place { log, _boxes: boxes, front, publisher, store, document, phone: Phone::new(10) }
}

impl Place {
    /// The lowest rate that a title's manifest tells, in kB a second: by it the front shows what it knows.
    fn rate(&self, name: &str) -> u64 {
        rate(&self.front, &self.phone, name)
    }

    fn until_rate(&self, name: &str, wanted: u64) {
        until(&format!("{name} at {wanted} kB a second"), || (self.rate(name) == wanted).then_some(()));
    }
}

fn rate(front: &Front, phone: &Phone, name: &str) -> u64 {
    let mpd = phone.asks(front.address, name, &[0, 1]).manifest();
    mpd.period.adaptation_set.representations[0].bandwidth / 8_000
}

fn walnutline(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_walnutline")).args(args).output().unwrap()
}

fn says(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

#[test]
fn true_rates_reach_the_manifest_and_change_while_it_serves() {
    let p = place(version(7, &[title("water", 111.0, &[0, 1])], &[]));
    p.until_rate("water", 111);
    assert_eq!(p.rate("unknown"), 200, "the ladder's");
    p.publisher.apply_changes([rates("water", 99.0), Change::PutTitle(title("snow", 120.0, &[1]))]).unwrap();
    p.until_rate("water", 99);
    assert_eq!(p.rate("snow"), 120, "both changes of one batch");
    p.publisher.apply_changes([Change::RemoveTitle { name: "snow".into() }]).unwrap();
    p.until_rate("snow", 200);
}

/// The catalogue says boxes 0 and 1, of which 1 is gone; the request says otherwise.
#[test]
fn the_requests_own_list_wins() {
    let p = place(version(7, &[title("water", 111.0, &[0, 1])], &[1]));
    p.until_rate("water", 111);
    let phone = Phone::new(11);
    let before = setups(&p.log).len();
    for holders in [&[2u32][..], &[1], &[2, 1]] {
        let answer = phone.asks(p.front.address, "water", holders);
        assert!(holders.contains(&answer.server()), "{holders:?} was sent to {}", answer.server());
    }
    let sent: Vec<u32> = setups(&p.log)[before..].iter().map(|s| s.1).collect();
    assert!(sent.iter().all(|s| *s != 0), "a box that no request named got a SETUP: {sent:?}");
    assert_eq!(&sent[..2], [2, 1]);
    // A title that the catalogue does not know, and a box that it does not know.
    assert_eq!(phone.asks(p.front.address, "other", &[2]).server(), 2);
    let store = p.store.path().to_str().unwrap();
    // Counts are written down now and then: the last ones are waited for.
    until("the differences are written", || {
        let told = says(&walnutline(&["catalogue", "diff", store]));
        let of = |sort: &str, server: &str| {
            let row = told.lines().find(|l| l.split_whitespace().take(2).eq([sort, server]));
            row.and_then(|l| l.split_whitespace().last()?.parse::<u32>().ok()).unwrap_or(0)
        };
        // Boxes 2 and 1 were named beside it: box 2 twice, 1 missing once, 0 three times and more.
        let counts = (of("unknown-holder", "2"), of("missing-holder", "1"), of("missing-holder", "0"));
        (counts == (2, 1, 3) && of("gone-holder", "1") >= 2 && of("unknown-title", "-") >= 1).then_some(())
    });
}

/// Requests on a few connections until told to stop; each answered once and in time. Returns how many there were.
fn requests<T>(front: &Front, during: impl FnOnce() -> T) -> (usize, T) {
    let (over, count) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|s| {
        for n in 0..3 {
            let (over, count) = (&over, &count);
            s.spawn(move || {
                let phone = Phone::new(20 + n);
                while !over.load(Ordering::SeqCst) {
                    // `asks` looks for a second answer.
                    let answer = phone.asks(front.address, "water", &[0, 1, 2]);
                    assert_eq!(answer.status, 200, "{answer:?}");
                    assert!(answer.took < START_TARGET, "late by it: {:?}", answer.took);
                    count.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(during));
        over.store(true, Ordering::SeqCst);
        done.map(|t| (count.load(Ordering::SeqCst), t)).unwrap_or_else(|e| std::panic::resume_unwind(e))
    })
}

#[test]
fn fifty_thousand_changes_at_the_height_of_a_peak() {
    let mut titles: Vec<Title> = (0..2_000).map(|n| title(&format!("t{n}"), 50.0, &[n % 3])).collect();
    titles.push(title("water", 111.0, &[0, 1]));
    let p = place(version(0, &titles, &[]));
    p.until_rate("water", 111);
    let (count, ()) = requests(&p.front, || {
        let changes = (0..50_000u32).map(|n| rates(&format!("t{}", n % 2_000), 50.0 + (n / 2_000) as f32));
        assert_eq!(p.publisher.apply_changes(changes).unwrap(), 50_000);
        p.publisher.apply_changes([rates("water", 99.0)]).unwrap();
        p.until_rate("water", 99);
    });
    assert!(count > 50, "only {count} requests meanwhile");
    assert_eq!((p.rate("t7"), p.publisher.request_counts()), (74, (1, 1)), "one snapshot, one stream");
}

#[test]
fn a_large_catalogue_loads_while_requests_run() {
    let p = place(version(1, &[title("water", 111.0, &[0, 1])], &[]));
    p.until_rate("water", 111);
    let mut titles: Vec<Title> = (0..60_000).map(|n| title(&format!("t{n}"), 50.0, &[n % 3])).collect();
    titles.push(title("water", 99.0, &[0, 1]));
    let large = version(500, &titles, &[]);
    let (count, ()) = requests(&p.front, || {
        p.publisher.replace(large);
        p.until_rate("water", 99);
    });
    assert!(count > 20, "only {count} requests meanwhile");
    assert_eq!(p.rate("t59999"), 50);
}

/// What a stream may say that is wrong: the catalogue stays whole, and is right in the end.
#[test_case(&[12], (1, 2); "a gap is resumed")]
#[test_case(&[8, 8, 7], (1, 1); "repeats are passed over")]
#[test_case(&[14, 13, 12], (1, 2); "in the wrong order")]
#[test_case(&[9], (2, 2); "a change that does not fit: a whole catalogue is fetched")]
fn a_wrong_stream(numbers: &[u64], asked: (usize, usize)) {
    let p = place(version(7, &[title("water", 111.0, &[0, 1])], &[]));
    p.until_rate("water", 111);
    p.publisher.apply_changes([rates("water", 112.0)]).unwrap();
    p.until_rate("water", 112);
    let drop = Change::RemoveTitle { name: "unheard-of".into() };
    let wrong = |n: &u64| NumberedChange { number: *n, change: drop.clone() };
    p.publisher.send_unchecked(numbers.iter().map(wrong).collect());
    // Seen to be taken: by a stream opened anew, or by what follows on the same stream.
    until("the stream is in order again", || (p.publisher.request_counts() == asked).then_some(()));
    p.publisher.apply_changes([rates("water", 99.0)]).unwrap();
    p.until_rate("water", 99);
    assert_eq!(p.publisher.request_counts(), asked);
}

#[test]
fn a_corrupted_snapshot_is_refused_and_the_old_version_stays() {
    let p = place(version(7, &[title("water", 111.0, &[0, 1])], &[]));
    p.until_rate("water", 111);
    for at in [20, 120] {
        p.publisher.corrupt_snapshot_byte(Some(at));
        let before = p.publisher.request_counts().0;
        p.publisher.replace(version(300 + at as u64, &[title("water", 99.0, &[0, 1])], &[]));
        until("it is fetched, and again", || (p.publisher.request_counts().0 >= before + 2).then_some(()));
        assert_eq!(p.rate("water"), 111, "byte {at}");
    }
    p.publisher.corrupt_snapshot_byte(None);
    p.until_rate("water", 99);
}

#[test]
fn killed_and_started_again_it_knows_what_it_knew() {
    let p = place(version(7, &[title("water", 111.0, &[0, 1])], &[]));
    p.until_rate("water", 111);
    p.publisher.apply_changes([rates("water", 99.0)]).unwrap();
    p.until_rate("water", 99);
    let Place { front, store, document, _boxes, .. } = p;
    drop(front);
    // Its publisher is away now.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (from, to) = (document.find("source=").unwrap(), document.find("/c\"").unwrap());
    let document = format!("{}source=\"http://{closed}{}", &document[..from], &document[to..]);
    let again = Front::with(&document);
    let phone = Phone::new(9);
    let serves = |front: &Front| {
        until("a box is in use", || (phone.asks(front.address, "water", &[0]).status == 200).then_some(()))
    };
    serves(&again);
    until("the stored catalogue is read", || (rate(&again, &phone, "water") == 99).then_some(()));
    drop(again);
    // A store that cannot be read: it serves without.
    std::fs::write(store.path().join("changes.redb"), b"no database").unwrap();
    let without = Front::with(&document);
    serves(&without);
    assert_eq!(rate(&without, &phone, "water"), 200, "the ladder's");
}

/// News of the boxes that hold what is in demand is asked for before the next request, where a price is stated. Boxes
/// report with no probe of the decisions' own here, and all requests name box 0 alone: box 2 is asked for its news or
/// not at all.
#[test_case("0.2", true; "at a price")]
#[test_case("0", false; "without one nobody is asked")]
fn holders_of_what_is_in_demand_are_asked_ahead(price: &str, asked: bool) {
    let p = place_with(version(7, &[title("water", 111.0, &[0, 1, 2])], &[]), |document| {
        let none = document.replace("via=\"probe\"", "via=\"none\"");
        none.replace("probes-each=0.2", &format!("probes-each={price}"))
    });
    p.until_rate("water", 111);
    let probes =
        |of: u32| p.log.all().iter().filter(|(_, (id, saw))| *id == of && *saw == Saw::Probe).count();
    let (phone, before) = (Phone::new(12), probes(2));
    let ask = || assert_eq!(phone.asks(p.front.address, "water", &[0]).server(), 0);
    if asked {
        until("box 2 is asked", || {
            ask();
            (probes(2) > before).then_some(())
        });
    } else {
        // Ten times what the price above needs for a probe.
        (0..50).for_each(|_| ask());
        assert_eq!(probes(2), before);
    }
}

#[test]
fn commands_on_a_store() {
    let folder = tempfile::tempdir().unwrap();
    let (store, file) = (folder.path().join("store"), folder.path().join("c.kdl"));
    let (store, path) = (store.to_str().unwrap(), file.to_str().unwrap());
    let good = "number 12\ngroups \"council\"\nbox 1 rack=0\nbox 2 rack=1 gone=true\n\
        title \"water\" length=60000 {\n    rates 180 360\n    groups \"council\"\n    holders 1 2\n}\n\
        title \"snow\" length=1000 {\n    rates 100 200\n    groups \"council\"\n    holders 2\n}\n";
    let run = |args: &[&str]| {
        let output = walnutline(&[&["catalogue"], args].concat());
        (output.status.success(), says(&output))
    };
    let no = run(&["show", folder.path().to_str().unwrap(), "water"]);
    assert!(!no.0 && no.1.contains("no catalogue is stored"), "{no:?}");
    std::fs::write(&file, good.replace("180 360", "360 180")).unwrap();
    let bad = run(&["load", store, path]);
    assert!(!bad.0 && bad.1.contains("c.kdl:5:7: title \"water\": rates"), "{bad:?}");
    std::fs::write(&file, good).unwrap();
    let contains = |args: &[&str], wanted: &[&str]| {
        let (good, told) = run(args);
        assert!(good && wanted.iter().all(|w| told.contains(w)), "{args:?}: {told}");
    };
    contains(&["load", store, path], &["2 titles in 2 boxes, as of change 12"]);
    contains(&["show", store, "water"], &["water  kB/s 180 360  groups council  60 s  boxes 1 2 (gone)"]);
    contains(&["show", store, "s", "--prefix"], &["snow  kB/s"]);
    let near = run(&["show", store, "snew"]);
    assert!(!near.0 && near.1.contains("\"snew\" is not known; near it: snow"), "{near:?}");
    contains(&["where", store, "1"], &["box 1  rack 0  sound  holds 1 titles, 1 of them nowhere else sound"]);
    contains(
        &["thin", store],
        &["1 without a sound holder, 1 with one", "rack 0: 1 boxes, 1 titles; 1 out of reach"],
    );
    contains(
        &["verify", store],
        &["snapshot-12.wcat: sound, 2 titles", "stored: 2 titles, change 12, 0 since"],
    );
    contains(&["compact", store], &["2 titles, change 12, in one snapshot"]);
    // A snapshot of another store, and one with a byte flipped.
    let other = tempfile::tempdir().unwrap();
    let snapshot =
        write_snapshot(other.path(), &version(40, &[title("ice", 5.0, &[3])], &[]), &mut |_, _| {}).unwrap();
    contains(&["load", store, snapshot.to_str().unwrap()], &["1 titles in 4 boxes, as of change 40"]);
    let at = std::path::Path::new(store).join("snapshot-40.wcat");
    let mut bytes = std::fs::read(&at).unwrap();
    bytes[50] ^= 1;
    std::fs::write(&at, bytes).unwrap();
    let bad = run(&["verify", store]);
    assert!(!bad.0 && bad.1.contains("snapshot-40.wcat: snapshot: byte 36: checksum"), "{bad:?}");
}
