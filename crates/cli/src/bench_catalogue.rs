//! `walnutline bench catalogue`: compares the catalogue's data structures with plain ones, measures what a new
//! version costs, and measures a front's slowest answers while it loads a catalogue.
use crate::bench::BenchFront;
use hdrhistogram::Histogram;
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::io::{BufRead, Write};
use std::process::{Command, Stdio};
use std::time::Instant;
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change::{Change, NumberedChange, Title};
use walnutline_catalogue::current::VersionWriter;
use walnutline_catalogue::demand::DemandSketch;
use walnutline_catalogue::name_index::hash_name;
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::snapshot::{encode, SnapshotReader};
use walnutline_catalogue::version::{BoxState, Version, VersionBuilder};
use walnutline_rehearsal::publisher::Publisher;

/// Number of boxes that the sample titles are spread over.
const BOXES: u32 = 300;
/// Number of look-ups in each measurement.
const LOOKUPS: u32 = 200_000;
/// Number of requests that the demand sketch is measured with.
const SKETCHED_REQUESTS: usize = 1_000_000;
/// Length of each measurement of answers, in seconds.
const MEASURE_SECONDS: u32 = 6;

/// Arguments of `walnutline bench catalogue`.
#[derive(clap::Args)]
pub struct Args {
    /// Numbers of titles to measure with.
    #[arg(long, value_delimiter = ',', default_values_t = [1_000u32, 100_000, 2_000_000])]
    titles: Vec<u32>,
    /// Requests per second during the loads.
    #[arg(long, default_value_t = 1_000)]
    rate: u32,
    /// Number of measurements of answers with and without a load.
    #[arg(long, default_value_t = 5)]
    rounds: u32,
    /// Measure answers only, without the tables.
    #[arg(long)]
    answers: bool,
    /// Measure one data structure and print the figures: the command runs itself so, to have a process for each.
    #[arg(long, hide = true)]
    only: Option<String>,
}

/// The sample title with this number: 1 to 6 holders, mostly 3, and four rungs whose rates differ by title.
fn sample_title(number: u32) -> Title {
    let mut rng = fastrand::Rng::with_seed(u64::from(number));
    let holder_count = [1, 2, 3, 3, 3, 4, 5, 6][rng.usize(0..8)];
    let mut holders: Vec<ServerId> = (0..holder_count).map(|_| ServerId(rng.u32(0..BOXES))).collect();
    holders.sort_unstable();
    holders.dedup();
    let factor = 0.5 + rng.f32();
    let rates = [200.0, 400.0, 700.0, 1_200.0].map(|kb| kb * factor).to_vec();
    let name = format!("{:02}/{:03}/notice-{number:07}", number % 64, number / 64 % 500);
    Title { name, rates, group_mask: 1 + number % 3, duration_ms: rng.u32(10_000..600_000), holders }
}

/// A version with this many sample titles.
fn sample_version(titles: u32) -> Version {
    let groups = vec!["council-notice".into(), "board-loop".into()];
    let mut builder = VersionBuilder::new(1, groups, None).expect("two groups");
    for id in 0..BOXES {
        builder.add_box(BoxState { server: ServerId(id), gone: false, rack: Some(RackId(id % 20)) });
    }
    for number in 0..titles {
        let packed = PackedTitle::new(&sample_title(number)).expect("a valid title");
        builder.add_title(packed).expect("unique names");
    }
    builder.finish()
}

/// A plain catalogue in hash maps: titles by name, and the names of the titles on each box.
#[derive(Default)]
struct HashCatalogue {
    titles: HashMap<String, Title>,
    titles_by_box: HashMap<ServerId, Vec<String>>,
}

/// As `HashCatalogue`, in ordered maps.
#[derive(Default)]
struct TreeCatalogue {
    titles: BTreeMap<String, Title>,
    titles_by_box: BTreeMap<ServerId, Vec<String>>,
}

fn hash_catalogue(titles: u32) -> HashCatalogue {
    let mut catalogue = HashCatalogue::default();
    for title in (0..titles).map(sample_title) {
        for holder in &title.holders {
            catalogue.titles_by_box.entry(*holder).or_default().push(title.name.clone());
        }
        catalogue.titles.insert(title.name.clone(), title);
    }
    catalogue
}

fn tree_catalogue(titles: u32) -> TreeCatalogue {
    let mut catalogue = TreeCatalogue::default();
    for title in (0..titles).map(sample_title) {
        for holder in &title.holders {
            catalogue.titles_by_box.entry(*holder).or_default().push(title.name.clone());
        }
        catalogue.titles.insert(title.name.clone(), title);
    }
    catalogue
}

/// Resident memory of a process, in bytes.
fn resident_bytes(pid: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|field| field.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

/// Peak resident memory of a process, in bytes.
fn peak_resident_bytes(pid: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let value = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    value.and_then(|value| value.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) * 1_024.0
}

/// Runs an operation. Returns how long it took, in seconds, and its result.
fn timed<T>(operation: impl FnOnce() -> T) -> (f64, T) {
    let started_at = Instant::now();
    let result = operation();
    (started_at.elapsed().as_secs_f64(), result)
}

/// Mean time of one look-up, in ns, over randomly drawn names.
fn mean_lookup_ns<T>(titles: u32, mut look_up: impl FnMut(&str) -> T) -> f64 {
    let mut rng = fastrand::Rng::with_seed(5);
    let names: Vec<String> =
        (0..LOOKUPS.min(50_000)).map(|_| sample_title(rng.u32(0..titles)).name).collect();
    let (seconds, ()) = timed(|| {
        for index in 0..LOOKUPS as usize {
            black_box(look_up(&names[index % names.len()]));
        }
    });
    seconds * 1e9 / f64::from(LOOKUPS)
}

/// Times look-ups in a plain catalogue: the ns to find a title, and the seconds to find the titles of all boxes.
fn time_plain_lookups<'a>(
    titles: u32,
    title: impl Fn(&str) -> Option<&'a Title>,
    titles_on: impl Fn(ServerId) -> Option<&'a Vec<String>>,
) -> (f64, f64) {
    let find_ns = mean_lookup_ns(titles, |name| title(name).map(|title| title.holders.len()));
    let count = |names: &Vec<String>| names.iter().filter(|name| title(name).is_some()).count();
    let all_boxes_s =
        timed(|| (0..BOXES).filter_map(|id| titles_on(ServerId(id))).map(count).sum::<usize>()).0;
    (find_ns, all_boxes_s)
}

/// Builds one structure and prints its bytes per title, the seconds to build it, the ns to find a title, the us to
/// list the titles of a box, and the ns to find 20 titles by prefix. Two further names run other parts of the
/// command.
fn measure_structure(structure: &str, titles: u32) -> Result<(), String> {
    let before = resident_bytes("self");
    let build_cost =
        |started_at: Instant| (resident_bytes("self") - before, started_at.elapsed().as_secs_f64());
    let started_at = Instant::now();
    let ((bytes, build_s), find_ns, all_boxes_s, prefix_ns) = match structure {
        "version" => {
            let version = sample_version(titles);
            let cost = build_cost(started_at);
            let find_ns =
                mean_lookup_ns(titles, |name| version.title(name).map(|title| title.holders().count()));
            let all_boxes_s =
                timed(|| (0..BOXES).map(|id| version.titles_on(ServerId(id)).count()).sum::<usize>()).0;
            let prefix_ns = mean_lookup_ns(titles, |name| {
                version.titles_with_prefix(&name[..name.len() - 2], None, 20).len()
            });
            (cost, find_ns, all_boxes_s, prefix_ns)
        }
        "HashMap" => {
            let plain = hash_catalogue(titles);
            let cost = build_cost(started_at);
            let (find_ns, all_boxes_s) = time_plain_lookups(
                titles,
                |name| plain.titles.get(name),
                |server| plain.titles_by_box.get(&server),
            );
            (cost, find_ns, all_boxes_s, f64::NAN)
        }
        "BTreeMap" => {
            let plain = tree_catalogue(titles);
            let cost = build_cost(started_at);
            let (find_ns, all_boxes_s) = time_plain_lookups(
                titles,
                |name| plain.titles.get(name),
                |server| plain.titles_by_box.get(&server),
            );
            let prefix_ns = mean_lookup_ns(titles, |name| {
                let prefix = &name[..name.len() - 2];
                let following = plain.titles.range(prefix.to_owned()..);
                following.take_while(|(name, _)| name.starts_with(prefix)).take(20).count()
            });
            (cost, find_ns, all_boxes_s, prefix_ns)
        }
        "swaps" => return measure_version_changes(titles),
        "publish" => return run_publisher(titles),
        other => return Err(format!("no structure {other:?}")),
    };
    println!(
        "{} {build_s} {find_ns} {} {prefix_ns}",
        bytes / f64::from(titles),
        all_boxes_s * 1e6 / f64::from(BOXES)
    );
    Ok(())
}

/// Runs `walnutline bench catalogue`.
pub fn run(args: Args) -> Result<(), String> {
    if let Some(structure) = &args.only {
        return measure_structure(structure, args.titles[0]);
    }
    let largest = args.titles.iter().copied().max().unwrap_or(1_000);
    if args.answers {
        return measure_answers_during_load(largest, args.rate, args.rounds);
    }
    println!("{BOXES} boxes; each structure in a process of its own");
    println!("titles     structure   bytes a title  build s  find ns  titles of a box us  20 by prefix ns");
    for titles in &args.titles {
        for structure in ["version", "HashMap", "BTreeMap"] {
            let binary = std::env::current_exe().map_err(|e| e.to_string())?;
            let output = Command::new(binary)
                .args(["bench", "catalogue", "--titles", &titles.to_string(), "--only", structure])
                .stdin(Stdio::null())
                .output()
                .map_err(|e| e.to_string())?;
            let text = String::from_utf8_lossy(&output.stdout);
            let figures: Vec<f64> =
                text.split_whitespace().filter_map(|figure| figure.parse().ok()).collect();
            let [bytes, build_s, find_ns, box_us, prefix_ns] = figures[..] else {
                return Err(format!("{structure}: {text}"));
            };
            println!("{titles:9}  {structure:10} {bytes:14.0} {build_s:8.2} {find_ns:8.0} {box_us:19.1} {prefix_ns:16.0}");
        }
    }
    compare_sets();
    compare_demand_counts();
    for titles in &args.titles {
        let binary = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(binary);
        command.args(["bench", "catalogue", "--titles", &titles.to_string(), "--only", "swaps"]);
        command.stdin(Stdio::null()).status().map_err(|e| e.to_string())?;
    }
    measure_answers_during_load(largest, args.rate, args.rounds)
}

/// Compares compressed sets of the titles on a box with plain ones.
fn compare_sets() {
    println!("\nthe titles of one box of 300, of 2 000 000 titles (20 000 by chance)");
    let mut rng = fastrand::Rng::with_seed(3);
    let mut positions: Vec<u32> = (0..20_000).map(|_| rng.u32(0..2_000_000)).collect();
    positions.sort_unstable();
    positions.dedup();
    let count = positions.len() as f64;
    let roaring: RoaringBitmap = positions.iter().copied().collect();
    let hash_set: std::collections::HashSet<u32> = positions.iter().copied().collect();
    let looked_up: Vec<u32> = (0..LOOKUPS).map(|_| rng.u32(0..2_000_000)).collect();
    let per_lookup_ns = |seconds: f64| seconds * 1e9 / f64::from(LOOKUPS);
    let roaring_ns =
        per_lookup_ns(timed(|| looked_up.iter().filter(|position| roaring.contains(**position)).count()).0);
    let vec_ns = per_lookup_ns(
        timed(|| looked_up.iter().filter(|position| positions.binary_search(position).is_ok()).count()).0,
    );
    let hash_set_ns =
        per_lookup_ns(timed(|| looked_up.iter().filter(|position| hash_set.contains(position)).count()).0);
    println!(
        "roaring     {:5.2} bytes a title, {roaring_ns:5.1} ns to look one up",
        roaring.serialized_size() as f64 / count
    );
    println!("sorted Vec  {:5.2} bytes a title, {vec_ns:5.1} ns", 4.0);
    // The table has 8 slots for each 7 entries of its capacity; a slot takes 4 bytes and 1 control byte.
    println!(
        "HashSet     {:5.2} bytes a title, {hash_set_ns:5.1} ns",
        hash_set.capacity() as f64 * 8.0 / 7.0 * 5.0 / count
    );
    let other: RoaringBitmap = (0..20_000).map(|_| rng.u32(0..2_000_000)).collect();
    let union_us = timed(|| (0..100).map(|_| (&roaring | &other).len()).sum::<u64>()).0 * 1e4;
    println!("two sets together: {union_us:.0} us");
}

/// Compares the demand sketch with an exact table.
fn compare_demand_counts() {
    println!("\ndemand of {SKETCHED_REQUESTS} requests, by Zipf over 2 000 000 titles, half-life 10 s at 10 000 a second");
    let mut rng = fastrand::Rng::with_seed(9);
    let zipf_rank = |uniform: f64| ((2e6f64.powf(uniform) - 1.0) as u64).min(1_999_999);
    let keys: Vec<u64> =
        (0..SKETCHED_REQUESTS).map(|_| hash_name(&zipf_rank(rng.f64()).to_string())).collect();
    let mut sketch = DemandSketch::new(1_024, 10_000.0);
    let sketch_s =
        timed(|| keys.iter().enumerate().for_each(|(index, key)| sketch.record(*key, index as f64 * 0.1))).0;
    let mut exact: HashMap<u64, f64> = HashMap::new();
    let decayed_weight =
        |index: usize| ((index as f64 * 0.1 - SKETCHED_REQUESTS as f64 * 0.1) / 10_000.0).exp2();
    let exact_s = timed(|| {
        keys.iter()
            .enumerate()
            .for_each(|(index, key)| *exact.entry(*key).or_default() += decayed_weight(index))
    })
    .0;
    let now_ms = SKETCHED_REQUESTS as f64 * 0.1;
    let per_request_ns = |seconds: f64| seconds * 1e9 / SKETCHED_REQUESTS as f64;
    let mut true_top: Vec<(f64, u64)> = exact.iter().map(|(key, weight)| (*weight, *key)).collect();
    true_top.sort_by(|a, b| b.0.total_cmp(&a.0));
    let top = sketch.top(64, now_ms);
    let found = true_top[..64].iter().filter(|(_, key)| top.iter().any(|entry| entry.key == *key)).count();
    let relative_error = |(weight, key): &(f64, u64)| {
        sketch.get(*key, now_ms).map_or(1.0, |entry| (entry.weight - weight) / weight)
    };
    let max_error = true_top[..64].iter().map(relative_error).fold(0.0, f64::max);
    println!(
        "sketch of 1024 places: {:.0} ns a request; bound {:.1} of {:.0}",
        per_request_ns(sketch_s),
        sketch.error_bound(now_ms),
        sketch.total_weight(now_ms)
    );
    println!("{found} of the 64 heaviest found, their weights at most {:.1} % too high", max_error * 100.0);
    println!("exact table: {:.0} ns a request, {} entries", per_request_ns(exact_s), exact.len());
}

/// Measures what changes, a snapshot load and a swap cost for a version with this many titles.
fn measure_version_changes(titles: u32) -> Result<(), String> {
    let mut writer = VersionWriter::default();
    let before = resident_bytes("self");
    writer.publish(sample_version(titles));
    let steady_bytes = resident_bytes("self") - before;
    println!("\n{titles} titles: {:.1} MB", steady_bytes / 1e6);
    for batch in [1u32, 100, 2_000] {
        let mut histogram = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
        let mut rng = fastrand::Rng::with_seed(4);
        for _ in 0..50 {
            let version = writer.current().load();
            let change = |index: u32| {
                let Title { name, rates, .. } = sample_title(rng.u32(0..titles));
                let rates = rates.iter().map(|rate| rate * 1.01).collect();
                NumberedChange {
                    number: version.number() + 1 + u64::from(index),
                    change: Change::SetRates { name, rates },
                }
            };
            let changes: Vec<NumberedChange> = (0..batch).map(change).collect();
            let (seconds, next) = timed(|| version.with_changes(&changes));
            histogram.record((seconds * 1e9) as u64).map_err(|e| e.to_string())?;
            drop(version);
            writer.publish(next.map_err(|error| error.to_string())?);
        }
        let quantile_us = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "a version with {batch:4} changes: median {:8.0} us, longest {:8.0} us",
            quantile_us(0.5),
            quantile_us(1.0)
        );
    }
    let version = writer.current().load();
    let mut histogram = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for id in 0..BOXES {
        let number = version.number() + 1;
        let (seconds, next) = timed(|| {
            version.with_changes(&[NumberedChange { number, change: Change::ServerGone(ServerId(id)) }])
        });
        histogram.record((seconds * 1e9) as u64).map_err(|e| e.to_string())?;
        drop(next);
    }
    println!(
        "a box gone, its titles counted anew: median {:.0} us",
        histogram.value_at_quantile(0.5) as f64 / 1_000.0
    );
    let bytes: Vec<u8> = encode(&version).flatten().collect();
    let before = resident_bytes("self");
    let (load_s, loaded) = timed(|| {
        let mut reader = SnapshotReader::new(Some(version.clone()));
        bytes.chunks(256 << 10).try_for_each(|chunk| reader.push(chunk)).and_then(|()| reader.finish())
    });
    let loaded = loaded.map_err(|error| error.to_string())?;
    let extra_bytes = (resident_bytes("self") - before).max(0.0);
    println!("its snapshot: {:.1} MB; loaded beside it in {load_s:.2} s, {:.1} MB more: {:.2} times the steady state", bytes.len() as f64 / 1e6, extra_bytes / 1e6, (steady_bytes + extra_bytes) / steady_bytes);
    let (swap_s, ()) = timed(|| writer.publish(loaded));
    println!("swapped in {:.1} us", swap_s * 1e6);
    Ok(())
}

/// Runs the publisher of the measurement, in a process of its own as its work must not be measured. It reads commands
/// from standard input, one a line, and prints `ready` when it has prepared what each asks for.
fn run_publisher(titles: u32) -> Result<(), String> {
    let (small, large) = (sample_version(1_000), sample_version(titles));
    let (publisher, address) = Publisher::start(small).map_err(|e| e.to_string())?;
    println!("{address}");
    let mut number = 1;
    for line in std::io::stdin().lines().map_while(Result::ok) {
        if line == "replace" {
            // With a much higher number the front takes the same titles for another catalogue.
            number += 1_000_000;
            let mut builder = VersionBuilder::new(number, large.groups().to_vec(), None)?;
            large.boxes().for_each(|state| builder.add_box(state));
            large.titles().try_for_each(|title| builder.add_title(title.clone()))?;
            let next = builder.finish();
            println!("ready");
            publisher.replace(next);
        } else {
            println!("ready");
            let change = |index: u32| Change::SetRates {
                name: sample_title(index % titles).name,
                rates: vec![index as f32 + 1.0],
            };
            publisher.apply_changes((0..50_000).map(change))?;
        }
    }
    Ok(())
}

/// The publisher's process, which is killed when this is dropped.
struct PublisherProcess {
    child: std::process::Child,
    lines: std::io::Lines<std::io::BufReader<std::process::ChildStdout>>,
}

impl PublisherProcess {
    fn start(titles: u32) -> Result<PublisherProcess, String> {
        let mut child = Command::new(std::env::current_exe().map_err(|e| e.to_string())?)
            .args(["bench", "catalogue", "--titles", &titles.to_string(), "--only", "publish"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("publisher: {e}"))?;
        let stdout = child.stdout.take().ok_or("no output")?;
        Ok(PublisherProcess { child, lines: std::io::BufReader::new(stdout).lines() })
    }

    fn read_line(&mut self) -> Result<String, String> {
        self.lines.next().and_then(Result::ok).ok_or_else(|| "the publisher ended".into())
    }

    /// Sends a command, and waits until the publisher is ready.
    fn send_command(&mut self, command: &str) -> Result<(), String> {
        let stdin = self.child.stdin.as_mut().ok_or("no input")?;
        writeln!(stdin, "{command}").map_err(|e| e.to_string())?;
        self.read_line().map(drop)
    }
}

impl Drop for PublisherProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Measures the slowest answers of a front alone, during a load of a whole catalogue, and during 50 000 changes.
fn measure_answers_during_load(titles: u32, rate: u32, rounds: u32) -> Result<(), String> {
    println!("\na front at {rate} requests a second, with and without a load of {titles} titles under way");
    let mut publisher = PublisherProcess::start(titles)?;
    let source = publisher.read_line()?;
    let settings = format!("catalogue folder=\"catalogue\" source=\"http://{source}/c\" ");
    let front = BenchFront::start(1, &format!("{settings}probes-each=0.01 probes-saved=10 news-old=2000\n"))?;
    let mut totals = [(); 3].map(|()| Histogram::<u64>::new(3).expect("three digits"));
    let (mut memory_mb, mut p999_by_round) = (Vec::new(), [const { Vec::new() }; 3]);
    let p999_us = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.999) as f64 / 1_000.0;
    for _ in 0..rounds {
        for (index, command) in ["", "replace", "changes"].into_iter().enumerate() {
            if !command.is_empty() {
                publisher.send_command(command)?;
            }
            let started_at = Instant::now();
            let histogram = front.measure(rate, MEASURE_SECONDS, 8)?;
            p999_by_round[index].push(p999_us(&histogram));
            totals[index].add(histogram).map_err(|e| e.to_string())?;
            // The next measurement starts when the load is over, which shows in the front's processor time.
            if !command.is_empty() {
                let (mut cpu_s, mut idle_checks) = (front.cpu_seconds()?, 0);
                while idle_checks < 3 {
                    std::thread::sleep(std::time::Duration::from_millis(300));
                    let now_s = front.cpu_seconds()?;
                    idle_checks = if now_s - cpu_s < 0.05 { idle_checks + 1 } else { 0 };
                    cpu_s = now_s;
                }
            }
            if command == "replace" {
                memory_mb.push(resident_bytes(&front.pid().to_string()) / 1e6);
                println!("a load took up to {:.0} s", started_at.elapsed().as_secs_f64());
            }
        }
    }
    let row = |values: &[f64]| values.iter().map(|value| format!("{value:.0}")).collect::<Vec<_>>().join(" ");
    println!("                      p50 us   p99 us p99.9 us   ratio of p99.9   p99.9 of each round");
    for (index, name) in ["nothing besides", "a load under way", "50 000 changes"].into_iter().enumerate() {
        let quantile_us = |quantile| totals[index].value_at_quantile(quantile) as f64 / 1_000.0;
        let ratio = p999_us(&totals[index]) / p999_us(&totals[0]);
        println!(
            "{name:18} {:9.0}{:9.0}{:9.0}{ratio:17.2}   {}",
            quantile_us(0.5),
            quantile_us(0.99),
            quantile_us(0.999),
            row(&p999_by_round[index])
        );
    }
    let peak_mb = peak_resident_bytes(&front.pid().to_string()) / 1e6;
    println!("the front's memory after each load, MB: {}; its peak {peak_mb:.0}", row(&memory_mb));
    Ok(())
}
