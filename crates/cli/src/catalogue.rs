//! `walnutline catalogue`: what operators do with a stored catalogue. While a front has the store open, the commands
//! that only look read its newest snapshot and say so.
use std::collections::{BTreeMap, BTreeSet};
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use walnutline::ids::ServerId;
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::version::Version;
use walnutline_catalogue_store::{list_snapshots, read_snapshot, write_snapshot, Store};

#[derive(clap::Subcommand)]
pub enum Command {
    /// Load a whole catalogue, KDL or snapshot (.wcat), in place of what is stored. No front may have it open.
    Load { store: PathBuf, file: PathBuf },
    /// Show a title, or those whose names begin so.
    Show {
        store: PathBuf,
        title: String,
        /// List titles whose names begin so, in order.
        #[arg(long)]
        prefix: bool,
        #[arg(long, default_value_t = 50)]
        most: usize,
    },
    /// What a box holds, and what would be out of reach without it.
    Where {
        store: PathBuf,
        server: u32,
        /// List its titles too.
        #[arg(long)]
        titles: bool,
    },
    /// Titles with no sound holder or one, and what each rack's loss would take away.
    Thin {
        store: PathBuf,
        /// List up to so many titles of each.
        #[arg(long, default_value_t = 20)]
        most: usize,
    },
    /// Where requests and the catalogue disagreed, as its front counted.
    Diff { store: PathBuf },
    /// Check every snapshot and change, and the indexes against the titles.
    Verify { store: PathBuf },
    /// Write a snapshot of all that is stored and give room back.
    Compact { store: PathBuf },
}

pub fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Load { store, file } => load(&store, &file),
        Command::Show { store, title, prefix, most } => show(&look(&store)?, &title, prefix, most),
        Command::Where { store, server, titles } => where_is(&look(&store)?, ServerId(server), titles),
        Command::Thin { store, most } => thin(&look(&store)?, most),
        Command::Diff { store } => diff(&store),
        Command::Verify { store } => verify(&store),
        Command::Compact { store } => compact(&store),
    }
}

/// Tells how far a long piece of work is: every second, or over one line at a terminal.
struct Told {
    what: &'static str,
    began: Instant,
    last: Option<Instant>,
}

impl Told {
    fn new(what: &'static str) -> Told {
        Told { what, began: Instant::now(), last: None }
    }

    fn tell(&mut self, done: u64, all: u64) {
        let (terminal, now) = (std::io::stderr().is_terminal(), Instant::now());
        let often = Duration::from_millis(if terminal { 100 } else { 1_000 });
        if self.last.unwrap_or(self.began) + often > now {
            return;
        }
        self.last = Some(now);
        let percent = (done * 100).checked_div(all);
        let of = percent.map_or(String::new(), |p| format!(" of {all}, {p} %"));
        let line = format!("{} {done}{of}, {:.0} s", self.what, self.began.elapsed().as_secs_f64());
        let mut err = std::io::stderr();
        let _ = if terminal { write!(err, "\r{line}\x1b[K") } else { writeln!(err, "{line}") };
    }
}

impl Drop for Told {
    fn drop(&mut self) {
        if self.last.is_some() && std::io::stderr().is_terminal() {
            eprintln!();
        }
    }
}

/// The stored version; where a front has the store open, its newest snapshot.
fn look(store: &Path) -> Result<Version, String> {
    if !store.is_dir() {
        return Err(format!("{}: no such folder", store.display()));
    }
    // Only to look must not make a store.
    if !store.join("changes.redb").exists() && list_snapshots(store).is_empty() {
        return Err(format!("{}: no catalogue is stored", store.display()));
    }
    let mut told = Told::new("titles read:");
    let opened = Store::open(store, &mut |done, all| told.tell(done, all));
    let (version, faults) = match opened {
        Ok((_, held)) => (held.version, held.errors),
        Err(fault) => {
            let Some((number, path)) = list_snapshots(store).into_iter().next() else {
                return Err(fault.to_string());
            };
            eprintln!("{fault}");
            eprintln!("read from the newest snapshot, as of change {number}");
            let v = read_snapshot(&path, None, &mut |done, all| told.tell(done, all));
            (Some(v.map_err(|e| e.to_string())?), Vec::new())
        }
    };
    faults.iter().for_each(|f| eprintln!("{f}"));
    version.ok_or_else(|| format!("{}: no catalogue is stored", store.display()))
}

fn load(store: &Path, file: &Path) -> Result<(), String> {
    let name = file.display().to_string();
    let (opened, held) = Store::open(store, &mut |_, _| {}).map_err(|e| e.to_string())?;
    let mut told = Told::new("titles read:");
    let v = if file.extension().is_some_and(|e| e == "wcat") {
        read_snapshot(file, held.version.map(Into::into), &mut |done, all| told.tell(done, all))
            .map_err(|e| e.to_string())?
    } else {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
        walnutline_settings::catalogue_document::parse(&name, &text).map_err(|faults| {
            let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
            told.join("\n")
        })?
    };
    drop(told);
    let mut told = Told::new("pieces written:");
    write_snapshot(store, &v, &mut |done, all| told.tell(done, all)).map_err(|e| e.to_string())?;
    opened.reset_to_snapshot(v.number()).map_err(|e| e.to_string())?;
    println!("{} titles in {} boxes, as of change {}", v.len(), v.boxes().count(), v.number());
    Ok(())
}

fn line(v: &Version, t: &PackedTitle) -> String {
    let rates: Vec<String> = t.rates().map(|r| r.to_string()).collect();
    let groups: Vec<&str> = (0..32)
        .filter(|bit| t.group_mask() >> bit & 1 == 1)
        .filter_map(|bit| v.groups().get(bit as usize).map(String::as_str))
        .collect();
    let holders: Vec<String> =
        t.holders().map(|h| if v.is_gone(h) { format!("{} (gone)", h.0) } else { h.0.to_string() }).collect();
    format!(
        "{}  kB/s {}  groups {}  {:.0} s  boxes {}",
        t.name(),
        rates.join(" "),
        groups.join(" "),
        f64::from(t.duration_ms()) / 1_000.0,
        if holders.is_empty() { "none".into() } else { holders.join(" ") }
    )
}

fn show(v: &Version, title: &str, prefix: bool, most: usize) -> Result<(), String> {
    if prefix {
        v.titles_with_prefix(title, None, most).into_iter().for_each(|t| println!("{}", line(v, t)));
        return Ok(());
    }
    match v.title(title) {
        Some(t) => println!("{}", line(v, t)),
        None => {
            // The longest beginning that some title has helps more than a bare no.
            let begins = (0..=title.len()).rev().filter(|n| title.is_char_boundary(*n));
            let near =
                begins.map(|n| v.titles_with_prefix(&title[..n], None, 3)).find(|found| !found.is_empty());
            let near: Vec<&str> = near.iter().flatten().map(|t| t.name()).collect();
            return Err(format!("title {title:?} is not known; near it: {}", near.join(", ")));
        }
    }
    Ok(())
}

fn where_is(v: &Version, server: ServerId, titles: bool) -> Result<(), String> {
    let of = v.boxes().find(|b| b.server == server);
    let of = of.ok_or_else(|| format!("box {} is not known to the catalogue", server.0))?;
    let rack = of.rack.map_or("no rack told".into(), |r| format!("rack {}", r.0));
    let lost = v.unreachable_without(&[server]);
    println!(
        "box {}  {rack}  {}  holds {} titles, {} of them nowhere else sound",
        server.0,
        if of.gone { "gone" } else { "sound" },
        v.title_count_on(server),
        lost.len()
    );
    if titles {
        let lost: BTreeSet<&str> = lost.iter().map(|t| t.name()).collect();
        for t in v.titles_on(server) {
            println!("{}{}", line(v, t), if lost.contains(t.name()) { "  <- here alone" } else { "" });
        }
    }
    Ok(())
}

fn thin(v: &Version, most: usize) -> Result<(), String> {
    let (none, one) = v.under_replicated_counts();
    println!("{} titles; {none} without a sound holder, {one} with one", v.len());
    for (left, count) in [(0, none), (1, one)] {
        v.under_replicated(left).take(most).for_each(|t| println!("{}", line(v, t)));
        if count > most as u64 {
            println!("and {} more", count - most as u64);
        }
    }
    let racks: BTreeSet<_> = v.boxes().filter_map(|b| b.rack).collect();
    for rack in racks {
        let (boxes, held) = v.rack_contents(rack);
        let lost = v.unreachable_without(&boxes).len();
        println!(
            "rack {}: {} boxes, {} titles; {lost} out of reach without it",
            rack.0,
            boxes.len(),
            held.len()
        );
    }
    Ok(())
}

fn diff(store: &Path) -> Result<(), String> {
    let file = store.join("differences.json");
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let rows: Vec<BTreeMap<String, serde_json::Value>> =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    println!("{:16} {:>8} {:>10}", "difference", "box", "requests");
    for row in &rows {
        let of = |name: &str| match row.get(name) {
            Some(serde_json::Value::String(s)) => s.clone(),
            Some(serde_json::Value::Null) | None => "-".into(),
            Some(v) => v.to_string(),
        };
        println!("{:16} {:>8} {:>10}", of("sort"), of("box"), of("count"));
    }
    Ok(())
}

/// Each index of a version against its titles.
fn check_indexes(v: &Version) -> Result<(), String> {
    let (mut held, mut thin): (BTreeMap<ServerId, u64>, _) = (BTreeMap::new(), [0u64; 2]);
    for t in v.titles() {
        if v.title(t.name()) != Some(t) {
            return Err(format!("title {:?} is not found by its name", t.name()));
        }
        t.holders().for_each(|h| *held.entry(h).or_default() += 1);
        if let Some(n) = thin.get_mut(v.available_holders(t).count()) {
            *n += 1;
        }
    }
    for b in v.boxes() {
        let counted = held.get(&b.server).copied().unwrap_or(0);
        if v.title_count_on(b.server) != counted {
            return Err(format!(
                "box {}: {} titles in its index, {counted} counted",
                b.server.0,
                v.title_count_on(b.server)
            ));
        }
    }
    if v.under_replicated_counts() != (thin[0], thin[1]) {
        return Err(format!("thinly held: {:?} in the index, {thin:?} counted", v.under_replicated_counts()));
    }
    let ordered = v.titles_with_prefix("", None, usize::MAX);
    if ordered.len() != v.len() || !ordered.windows(2).all(|w| w[0].name() < w[1].name()) {
        return Err("the index by prefix does not have all titles in order".into());
    }
    Ok(())
}

fn verify(store: &Path) -> Result<(), String> {
    let mut faults = 0;
    for (_, path) in list_snapshots(store) {
        let mut told = Told::new("titles read:");
        let read = read_snapshot(&path, None, &mut |done, all| told.tell(done, all));
        let checked = read.map_err(|e| e.to_string()).and_then(|v| check_indexes(&v).map(|()| v));
        match checked {
            Ok(v) => println!("{}: sound, {} titles, change {}", path.display(), v.len(), v.number()),
            Err(why) => {
                println!("{why}");
                faults += 1;
            }
        }
    }
    let (_, held) = Store::open(store, &mut |_, _| {}).map_err(|e| e.to_string())?;
    held.errors.iter().for_each(|f| println!("{f}"));
    match &held.version {
        Some(v) => {
            check_indexes(v)?;
            println!(
                "stored: {} titles, change {}, {} since the newest snapshot",
                v.len(),
                v.number(),
                held.changes_since_snapshot
            );
        }
        None => println!("stored: no catalogue"),
    }
    match faults + held.errors.len() {
        0 => Ok(()),
        n => Err(format!("{n} faults")),
    }
}

fn compact(store: &Path) -> Result<(), String> {
    let (mut opened, held) = Store::open(store, &mut |_, _| {}).map_err(|e| e.to_string())?;
    if let Some(fault) = held.errors.first() {
        return Err(format!("{fault}; nothing is removed while something cannot be read"));
    }
    let v = held.version.ok_or_else(|| format!("{}: no catalogue is stored", store.display()))?;
    let mut told = Told::new("pieces written:");
    write_snapshot(store, &v, &mut |done, all| told.tell(done, all)).map_err(|e| e.to_string())?;
    drop(told);
    opened.reset_to_snapshot(v.number()).map_err(|e| e.to_string())?;
    opened.compact().map_err(|e| e.to_string())?;
    println!("{} titles, change {}, in one snapshot", v.len(), v.number());
    Ok(())
}
