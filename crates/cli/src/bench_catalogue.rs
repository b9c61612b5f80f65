//! `walnutline bench catalogue`: the catalogue's structures beside plain ones, what a change of version costs, and the
//! slowest answers while a load is under way.
use crate::bench::Bench;
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

const BOXES: u32 = 300;
const LOOKS: u32 = 200_000;
/// Titles whose demand the sketch is tried on.
const ASKED: usize = 1_000_000;
/// Length of each measurement of answers.
const SECONDS: u32 = 6;

#[derive(clap::Args)]
pub struct Args {
    /// Titles of each size.
    #[arg(long, value_delimiter = ',', default_values_t = [1_000u32, 100_000, 2_000_000])]
    titles: Vec<u32>,
    /// Requests a second beside the loads.
    #[arg(long, default_value_t = 1_000)]
    rate: u32,
    /// How often answers are measured with and without a load.
    #[arg(long, default_value_t = 5)]
    rounds: u32,
    /// Leave the tables out and measure answers alone.
    #[arg(long)]
    answers: bool,
    /// Only build one structure and tell its memory: how this command measures each in a process of its own.
    #[arg(long, hide = true)]
    only: Option<String>,
}

/// The title of a number: 1 to 6 holders, most of them 3, four rungs that differ by title.
fn title(n: u32) -> Title {
    let mut rng = fastrand::Rng::with_seed(u64::from(n));
    let wanted = [1, 2, 3, 3, 3, 4, 5, 6][rng.usize(0..8)];
    let mut holders: Vec<ServerId> = (0..wanted).map(|_| ServerId(rng.u32(0..BOXES))).collect();
    holders.sort_unstable();
    holders.dedup();
    let factor = 0.5 + rng.f32();
    let rates = [200.0, 400.0, 700.0, 1_200.0].map(|kb| kb * factor).to_vec();
    let name = format!("{:02}/{:03}/notice-{n:07}", n % 64, n / 64 % 500);
    Title { name, rates, group_mask: 1 + n % 3, duration_ms: rng.u32(10_000..600_000), holders }
}

fn version(titles: u32) -> Version {
    let groups = vec!["council-notice".into(), "board-loop".into()];
    let mut b = VersionBuilder::new(1, groups, None).expect("two groups");
    (0..BOXES)
        .for_each(|n| b.add_box(BoxState { server: ServerId(n), gone: false, rack: Some(RackId(n % 20)) }));
    for n in 0..titles {
        let packed = PackedTitle::new(&title(n)).expect("a sound title");
        b.add_title(packed).expect("each name once");
    }
    b.finish()
}

/// The plain catalogue: both directions as vectors in maps.
#[derive(Default)]
struct Hashed {
    titles: HashMap<String, Title>,
    held: HashMap<ServerId, Vec<String>>,
}

#[derive(Default)]
struct Ordered {
    titles: BTreeMap<String, Title>,
    held: BTreeMap<ServerId, Vec<String>>,
}

fn hashed(titles: u32) -> Hashed {
    let mut plain = Hashed::default();
    for t in (0..titles).map(title) {
        t.holders.iter().for_each(|h| plain.held.entry(*h).or_default().push(t.name.clone()));
        plain.titles.insert(t.name.clone(), t);
    }
    plain
}

fn ordered(titles: u32) -> Ordered {
    let mut plain = Ordered::default();
    for t in (0..titles).map(title) {
        t.holders.iter().for_each(|h| plain.held.entry(*h).or_default().push(t.name.clone()));
        plain.titles.insert(t.name.clone(), t);
    }
    plain
}

/// Resident memory of a process, in bytes.
fn resident(pid: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

/// The most that a process ever had resident, in bytes.
fn peak(pid: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) * 1_024.0
}

fn time<T>(what: impl FnOnce() -> T) -> (f64, T) {
    let began = Instant::now();
    let done = what();
    (began.elapsed().as_secs_f64(), done)
}

/// Mean time of one look-up, in ns, over names drawn by chance.
fn look<T>(titles: u32, mut once: impl FnMut(&str) -> T) -> f64 {
    let mut rng = fastrand::Rng::with_seed(5);
    let names: Vec<String> = (0..LOOKS.min(50_000)).map(|_| title(rng.u32(0..titles)).name).collect();
    let (took, ()) = time(|| {
        for n in 0..LOOKS as usize {
            black_box(once(&names[n % names.len()]));
        }
    });
    took * 1e9 / f64::from(LOOKS)
}

/// Look-ups in plain maps: ns to find a title, s for the titles of all boxes.
fn plain<'a>(
    titles: u32,
    title: impl Fn(&str) -> Option<&'a Title>,
    held: impl Fn(ServerId) -> Option<&'a Vec<String>>,
) -> (f64, f64) {
    let find = look(titles, |name| title(name).map(|t| t.holders.len()));
    let known = |names: &Vec<String>| names.iter().filter(|n| title(n).is_some()).count();
    let of_box = time(|| (0..BOXES).filter_map(|b| held(ServerId(b))).map(known).sum::<usize>()).0;
    (find, of_box)
}

/// Builds one structure, tells its memory and look-ups: `bytes ns`.
fn only(what: &str, titles: u32) -> Result<(), String> {
    let before = resident("self");
    let built = |began: Instant| (resident("self") - before, began.elapsed().as_secs_f64());
    let began = Instant::now();
    let ((bytes, took), find, of_box, prefix) = match what {
        "version" => {
            let v = version(titles);
            let cost = built(began);
            let find = look(titles, |name| v.title(name).map(|t| t.holders().count()));
            let of_box = time(|| (0..BOXES).map(|b| v.titles_on(ServerId(b)).count()).sum::<usize>()).0;
            let prefix = look(titles, |name| v.titles_with_prefix(&name[..name.len() - 2], None, 20).len());
            (cost, find, of_box, prefix)
        }
        "HashMap" => {
            let p = hashed(titles);
            let cost = built(began);
            let (find, of_box) = plain(titles, |name| p.titles.get(name), |s| p.held.get(&s));
            (cost, find, of_box, f64::NAN)
        }
        "BTreeMap" => {
            let p = ordered(titles);
            let cost = built(began);
            let (find, of_box) = plain(titles, |name| p.titles.get(name), |s| p.held.get(&s));
            let prefix = look(titles, |name| {
                let begins = &name[..name.len() - 2];
                let from = p.titles.range(begins.to_owned()..);
                from.take_while(|(n, _)| n.starts_with(begins)).take(20).count()
            });
            (cost, find, of_box, prefix)
        }
        "swaps" => return swaps(titles),
        "publish" => return publish(titles),
        other => return Err(format!("no structure {other:?}")),
    };
    println!("{} {took} {find} {} {prefix}", bytes / f64::from(titles), of_box * 1e6 / f64::from(BOXES));
    Ok(())
}

pub fn run(args: Args) -> Result<(), String> {
    if let Some(what) = &args.only {
        return only(what, args.titles[0]);
    }
    let largest = args.titles.iter().copied().max().unwrap_or(1_000);
    if args.answers {
        return beside(largest, args.rate, args.rounds);
    }
    println!("{BOXES} boxes; each structure in a process of its own");
    println!("titles     structure   bytes a title  build s  find ns  titles of a box us  20 by prefix ns");
    for titles in &args.titles {
        for what in ["version", "HashMap", "BTreeMap"] {
            let binary = std::env::current_exe().map_err(|e| e.to_string())?;
            let output = Command::new(binary)
                .args(["bench", "catalogue", "--titles", &titles.to_string(), "--only", what])
                .stdin(Stdio::null())
                .output()
                .map_err(|e| e.to_string())?;
            let text = String::from_utf8_lossy(&output.stdout);
            let f: Vec<f64> = text.split_whitespace().filter_map(|f| f.parse().ok()).collect();
            let [bytes, took, find, of_box, prefix] = f[..] else { return Err(format!("{what}: {text}")) };
            println!("{titles:9}  {what:10} {bytes:14.0} {took:8.2} {find:8.0} {of_box:19.1} {prefix:16.0}");
        }
    }
    sets();
    demand();
    for titles in &args.titles {
        let binary = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut swaps = Command::new(binary);
        swaps.args(["bench", "catalogue", "--titles", &titles.to_string(), "--only", "swaps"]);
        swaps.stdin(Stdio::null()).status().map_err(|e| e.to_string())?;
    }
    beside(largest, args.rate, args.rounds)
}

/// Which titles a box holds: compressed sets beside plain ones.
fn sets() {
    println!("\nthe titles of one box of 300, of 2 000 000 titles (20 000 by chance)");
    let mut rng = fastrand::Rng::with_seed(3);
    let mut positions: Vec<u32> = (0..20_000).map(|_| rng.u32(0..2_000_000)).collect();
    positions.sort_unstable();
    positions.dedup();
    let n = positions.len() as f64;
    let set: RoaringBitmap = positions.iter().copied().collect();
    let hash: std::collections::HashSet<u32> = positions.iter().copied().collect();
    let asked: Vec<u32> = (0..LOOKS).map(|_| rng.u32(0..2_000_000)).collect();
    let per = |took: f64| took * 1e9 / f64::from(LOOKS);
    let a = per(time(|| asked.iter().filter(|p| set.contains(**p)).count()).0);
    let b = per(time(|| asked.iter().filter(|p| positions.binary_search(p).is_ok()).count()).0);
    let c = per(time(|| asked.iter().filter(|p| hash.contains(p)).count()).0);
    println!("roaring     {:5.2} bytes a title, {a:5.1} ns to look one up", set.serialized_size() as f64 / n);
    println!("sorted Vec  {:5.2} bytes a title, {b:5.1} ns", 4.0);
    // A table of twice the entries at most, a word and a byte of control each.
    println!("HashSet     {:5.2} bytes a title, {c:5.1} ns", hash.capacity() as f64 * 8.0 / 7.0 * 5.0 / n);
    let other: RoaringBitmap = (0..20_000).map(|_| rng.u32(0..2_000_000)).collect();
    let both = time(|| (0..100).map(|_| (&set | &other).len()).sum::<u64>()).0 * 1e4;
    println!("two sets together: {both:.0} us");
}

/// The sketch of demand beside an exact table.
fn demand() {
    println!(
        "\ndemand of {ASKED} requests, by Zipf over 2 000 000 titles, half-life 10 s at 10 000 a second"
    );
    let mut rng = fastrand::Rng::with_seed(9);
    let draw = |u: f64| ((2e6f64.powf(u) - 1.0) as u64).min(1_999_999);
    let keys: Vec<u64> = (0..ASKED).map(|_| hash_name(&draw(rng.f64()).to_string())).collect();
    let mut sketch = DemandSketch::new(1_024, 10_000.0);
    let took = time(|| keys.iter().enumerate().for_each(|(n, k)| sketch.record(*k, n as f64 * 0.1))).0;
    let mut exact: HashMap<u64, f64> = HashMap::new();
    let from = |n: usize| ((n as f64 * 0.1 - ASKED as f64 * 0.1) / 10_000.0).exp2();
    let plain =
        time(|| keys.iter().enumerate().for_each(|(n, k)| *exact.entry(*k).or_default() += from(n))).0;
    let now = ASKED as f64 * 0.1;
    let per = |t: f64| t * 1e9 / ASKED as f64;
    let mut true_top: Vec<(f64, u64)> = exact.iter().map(|(k, w)| (*w, *k)).collect();
    true_top.sort_by(|a, b| b.0.total_cmp(&a.0));
    let top = sketch.top(64, now);
    let hit = true_top[..64].iter().filter(|(_, k)| top.iter().any(|t| t.key == *k)).count();
    let off = |(w, k): &(f64, u64)| sketch.get(*k, now).map_or(1.0, |t| (t.weight - w) / w);
    let worst = true_top[..64].iter().map(off).fold(0.0, f64::max);
    println!(
        "sketch of 1024 places: {:.0} ns a request; bound {:.1} of {:.0}",
        per(took),
        sketch.error_bound(now),
        sketch.total_weight(now)
    );
    println!("{hit} of the 64 heaviest found, their weights at most {:.1} % too high", worst * 100.0);
    println!("exact table: {:.0} ns a request, {} entries", per(plain), exact.len());
}

/// What it takes to put changes in force beside a version of so many titles.
fn swaps(titles: u32) -> Result<(), String> {
    let mut writer = VersionWriter::default();
    let before = resident("self");
    writer.publish(version(titles));
    let steady = resident("self") - before;
    println!("\n{titles} titles: {:.1} MB", steady / 1e6);
    for batch in [1u32, 100, 2_000] {
        let mut h = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
        let mut rng = fastrand::Rng::with_seed(4);
        for _ in 0..50 {
            let v = writer.current().load();
            let change = |n: u32| {
                let Title { name, rates, .. } = title(rng.u32(0..titles));
                let rates = rates.iter().map(|r| r * 1.01).collect();
                NumberedChange {
                    number: v.number() + 1 + u64::from(n),
                    change: Change::SetRates { name, rates },
                }
            };
            let changes: Vec<NumberedChange> = (0..batch).map(change).collect();
            let (took, next) = time(|| v.with_changes(&changes));
            h.record((took * 1e9) as u64).map_err(|e| e.to_string())?;
            drop(v);
            writer.publish(next.map_err(|fault| fault.to_string())?);
        }
        let us = |q| h.value_at_quantile(q) as f64 / 1_000.0;
        println!("a version with {batch:4} changes: median {:8.0} us, longest {:8.0} us", us(0.5), us(1.0));
    }
    let v = writer.current().load();
    let mut h = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for n in 0..BOXES {
        let number = v.number() + 1;
        let (took, next) =
            time(|| v.with_changes(&[NumberedChange { number, change: Change::ServerGone(ServerId(n)) }]));
        h.record((took * 1e9) as u64).map_err(|e| e.to_string())?;
        drop(next);
    }
    println!(
        "a box gone, its titles counted anew: median {:.0} us",
        h.value_at_quantile(0.5) as f64 / 1_000.0
    );
    let bytes: Vec<u8> = encode(&v).flatten().collect();
    let before = resident("self");
    let (took, loaded) = time(|| {
        let mut r = SnapshotReader::new(Some(v.clone()));
        bytes.chunks(256 << 10).try_for_each(|piece| r.push(piece)).and_then(|()| r.finish())
    });
    let loaded = loaded.map_err(|bad| bad.to_string())?;
    let more = (resident("self") - before).max(0.0);
    println!("its snapshot: {:.1} MB; loaded beside it in {took:.2} s, {:.1} MB more: {:.2} times the steady state", bytes.len() as f64 / 1e6, more / 1e6, (steady + more) / steady);
    let (took, ()) = time(|| writer.publish(loaded));
    println!("swapped in {:.1} us", took * 1e6);
    Ok(())
}

/// The publisher of the measurement, in a process of its own that stands back: its work is not what is measured. Each
/// line that it is told does something; it answers with a line once that is done.
fn publish(titles: u32) -> Result<(), String> {
    let (small, large) = (version(1_000), version(titles));
    let (publisher, address) = Publisher::start(small).map_err(|e| e.to_string())?;
    println!("{address}");
    let mut number = 1;
    for line in std::io::stdin().lines().map_while(Result::ok) {
        if line == "replace" {
            // The same titles under another number: the front takes it for another catalogue.
            number += 1_000_000;
            let mut b = VersionBuilder::new(number, large.groups().to_vec(), None)?;
            large.boxes().for_each(|of| b.add_box(of));
            large.titles().try_for_each(|t| b.add_title(t.clone()))?;
            let next = b.finish();
            println!("ready");
            publisher.replace(next);
        } else {
            println!("ready");
            let change =
                |n: u32| Change::SetRates { name: title(n % titles).name, rates: vec![n as f32 + 1.0] };
            publisher.apply_changes((0..50_000).map(change))?;
        }
    }
    Ok(())
}

struct Told {
    child: std::process::Child,
    lines: std::io::Lines<std::io::BufReader<std::process::ChildStdout>>,
}

impl Told {
    fn start(titles: u32) -> Result<Told, String> {
        let mut child = Command::new(std::env::current_exe().map_err(|e| e.to_string())?)
            .args(["bench", "catalogue", "--titles", &titles.to_string(), "--only", "publish"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("publisher: {e}"))?;
        let out = child.stdout.take().ok_or("no output")?;
        Ok(Told { child, lines: std::io::BufReader::new(out).lines() })
    }

    fn line(&mut self) -> Result<String, String> {
        self.lines.next().and_then(Result::ok).ok_or_else(|| "the publisher ended".into())
    }

    fn tell(&mut self, what: &str) -> Result<(), String> {
        let to = self.child.stdin.as_mut().ok_or("no input")?;
        writeln!(to, "{what}").map_err(|e| e.to_string())?;
        self.line().map(drop)
    }
}

impl Drop for Told {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The slowest answers of a front with and without a load of the whole catalogue under way.
fn beside(titles: u32, rate: u32, rounds: u32) -> Result<(), String> {
    println!("\na front at {rate} requests a second, with and without a load of {titles} titles under way");
    let mut publisher = Told::start(titles)?;
    let source = publisher.line()?;
    let node = format!("catalogue folder=\"catalogue\" source=\"http://{source}/c\" ");
    let bench = Bench::with(1, &format!("{node}probes-each=0.01 probes-saved=10 news-old=2000\n"))?;
    let mut all = [(); 3].map(|()| Histogram::<u64>::new(3).expect("three digits"));
    let (mut after, mut each) = (Vec::new(), [const { Vec::new() }; 3]);
    let p999 = |h: &Histogram<u64>| h.value_at_quantile(0.999) as f64 / 1_000.0;
    for _ in 0..rounds {
        for (n, what) in ["", "replace", "changes"].into_iter().enumerate() {
            if !what.is_empty() {
                publisher.tell(what)?;
            }
            let began = Instant::now();
            let h = bench.through(rate, SECONDS, 8)?;
            each[n].push(p999(&h));
            all[n].add(h).map_err(|e| e.to_string())?;
            // The next begins once this one is over: the front's own time stands still.
            if !what.is_empty() {
                let (mut cpu, mut quiet) = (bench.front_cpu()?, 0);
                while quiet < 3 {
                    std::thread::sleep(std::time::Duration::from_millis(300));
                    let now = bench.front_cpu()?;
                    quiet = if now - cpu < 0.05 { quiet + 1 } else { 0 };
                    cpu = now;
                }
            }
            if what == "replace" {
                after.push(resident(&bench.pid().to_string()) / 1e6);
                println!("a load took up to {:.0} s", began.elapsed().as_secs_f64());
            }
        }
    }
    let row = |of: &[f64]| of.iter().map(|x| format!("{x:.0}")).collect::<Vec<_>>().join(" ");
    println!("                      p50 us   p99 us p99.9 us   ratio of p99.9   p99.9 of each round");
    for (n, what) in ["nothing besides", "a load under way", "50 000 changes"].into_iter().enumerate() {
        let us = |q| all[n].value_at_quantile(q) as f64 / 1_000.0;
        let ratio = p999(&all[n]) / p999(&all[0]);
        println!(
            "{what:18} {:9.0}{:9.0}{:9.0}{ratio:17.2}   {}",
            us(0.5),
            us(0.99),
            us(0.999),
            row(&each[n])
        );
    }
    let most = peak(&bench.pid().to_string()) / 1e6;
    println!("the front's memory after each load, MB: {}; its peak {most:.0}", row(&after));
    Ok(())
}
