//! `walnutline catalogue`: loads, shows, verifies and compacts a stored catalogue. While a front has the store open,
//! the commands that only read it fall back to its newest snapshot and print that they do.
use std::collections::{BTreeMap, BTreeSet};
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use walnutline::ids::ServerId;
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::version::Version;
use walnutline_catalogue_store::{list_snapshots, read_snapshot, write_snapshot, Store};

/// Sub-commands of `walnutline catalogue`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Replace what is stored by a whole catalogue, from KDL or a snapshot (.wcat). No front may have the store open.
    Load { store: PathBuf, file: PathBuf },
    /// Show a title, or all titles whose names have a prefix.
    Show {
        store: PathBuf,
        title: String,
        /// List the titles whose names start with TITLE, in order.
        #[arg(long)]
        prefix: bool,
        /// List at most this many titles.
        #[arg(long = "most", value_name = "MOST", default_value_t = 50)]
        max_titles: usize,
    },
    /// Show what a box holds, and how many titles would be unreachable without it.
    Where {
        store: PathBuf,
        server: u32,
        /// List the titles of the box too.
        #[arg(long)]
        titles: bool,
    },
    /// Show titles with no available holder or only one, and how many would be unreachable without each rack.
    Thin {
        store: PathBuf,
        /// List at most this many titles of each sort.
        #[arg(long = "most", value_name = "MOST", default_value_t = 20)]
        max_titles: usize,
    },
    /// Show the differences between requests and the catalogue that the front has counted.
    Diff { store: PathBuf },
    /// Check every snapshot and change, and all indexes against the titles.
    Verify { store: PathBuf },
    /// Write a snapshot of everything that is stored, and free the space of older data.
    Compact { store: PathBuf },
}

/// Runs a sub-command of `walnutline catalogue`.
pub fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Load { store, file } => load(&store, &file),
        Command::Show { store, title, prefix, max_titles } => {
            show(&open_to_read(&store)?, &title, prefix, max_titles)
        }
        Command::Where { store, server, titles } => {
            show_box(&open_to_read(&store)?, ServerId(server), titles)
        }
        Command::Thin { store, max_titles } => show_under_replicated(&open_to_read(&store)?, max_titles),
        Command::Diff { store } => show_differences(&store),
        Command::Verify { store } => verify(&store),
        Command::Compact { store } => compact(&store),
    }
}

/// Prints the progress of a long operation to standard error: a line every second, or one line that is overwritten if
/// it is a terminal.
struct Progress {
    label: &'static str,
    started_at: Instant,
    last_printed_at: Option<Instant>,
}

impl Progress {
    fn new(label: &'static str) -> Progress {
        Progress { label, started_at: Instant::now(), last_printed_at: None }
    }

    /// Prints the progress unless it was printed within the last interval. A total of 0 means unknown.
    fn update(&mut self, done: u64, total: u64) {
        let (is_terminal, now) = (std::io::stderr().is_terminal(), Instant::now());
        let interval = Duration::from_millis(if is_terminal { 100 } else { 1_000 });
        if self.last_printed_at.unwrap_or(self.started_at) + interval > now {
            return;
        }
        self.last_printed_at = Some(now);
        let percent = (done * 100).checked_div(total);
        let share = percent.map_or(String::new(), |percent| format!(" of {total}, {percent} %"));
        let elapsed_s = self.started_at.elapsed().as_secs_f64();
        let line = format!("{} {done}{share}, {elapsed_s:.0} s", self.label);
        let mut stderr = std::io::stderr();
        let _ = if is_terminal { write!(stderr, "\r{line}\x1b[K") } else { writeln!(stderr, "{line}") };
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if self.last_printed_at.is_some() && std::io::stderr().is_terminal() {
            eprintln!();
        }
    }
}

/// The stored version, or that of the newest snapshot while a front has the store open.
fn open_to_read(store: &Path) -> Result<Version, String> {
    if !store.is_dir() {
        return Err(format!("{}: no such folder", store.display()));
    }
    // Opening a store creates it, which a command that only reads must not do.
    if !store.join("changes.redb").exists() && list_snapshots(store).is_empty() {
        return Err(format!("{}: no catalogue is stored", store.display()));
    }
    let mut progress = Progress::new("titles read:");
    let opened = Store::open(store, &mut |done, total| progress.update(done, total));
    let (version, errors) = match opened {
        Ok((_, stored)) => (stored.version, stored.errors),
        Err(error) => {
            let Some((number, path)) = list_snapshots(store).into_iter().next() else {
                return Err(error.to_string());
            };
            eprintln!("{error}");
            eprintln!("read from the newest snapshot, as of change {number}");
            let version = read_snapshot(&path, None, &mut |done, total| progress.update(done, total));
            (Some(version.map_err(|e| e.to_string())?), Vec::new())
        }
    };
    errors.iter().for_each(|error| eprintln!("{error}"));
    version.ok_or_else(|| format!("{}: no catalogue is stored", store.display()))
}

fn load(store: &Path, file: &Path) -> Result<(), String> {
    let name = file.display().to_string();
    let (opened, stored) = Store::open(store, &mut |_, _| {}).map_err(|e| e.to_string())?;
    let mut progress = Progress::new("titles read:");
    let version = if file.extension().is_some_and(|extension| extension == "wcat") {
        read_snapshot(file, stored.version.map(Into::into), &mut |done, total| progress.update(done, total))
            .map_err(|e| e.to_string())?
    } else {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
        walnutline_settings::catalogue_document::parse(&name, &text).map_err(|errors| {
            let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
            messages.join("\n")
        })?
    };
    drop(progress);
    let mut progress = Progress::new("pieces written:");
    write_snapshot(store, &version, &mut |done, total| progress.update(done, total))
        .map_err(|e| e.to_string())?;
    opened.reset_to_snapshot(version.number()).map_err(|e| e.to_string())?;
    println!(
        "{} titles in {} boxes, as of change {}",
        version.len(),
        version.boxes().count(),
        version.number()
    );
    Ok(())
}

/// The line that describes a title.
fn title_line(version: &Version, title: &PackedTitle) -> String {
    let rates: Vec<String> = title.rates().map(|rate| rate.to_string()).collect();
    let groups: Vec<&str> = (0..32)
        .filter(|bit| title.group_mask() >> bit & 1 == 1)
        .filter_map(|bit| version.groups().get(bit as usize).map(String::as_str))
        .collect();
    let holders: Vec<String> = title
        .holders()
        .map(
            |holder| {
                if version.is_gone(holder) {
                    format!("{} (gone)", holder.0)
                } else {
                    holder.0.to_string()
                }
            },
        )
        .collect();
    format!(
        "{}  kB/s {}  groups {}  {:.0} s  boxes {}",
        title.name(),
        rates.join(" "),
        groups.join(" "),
        f64::from(title.duration_ms()) / 1_000.0,
        if holders.is_empty() { "none".into() } else { holders.join(" ") }
    )
}

fn show(version: &Version, name: &str, is_prefix: bool, max_titles: usize) -> Result<(), String> {
    if is_prefix {
        let titles = version.titles_with_prefix(name, None, max_titles);
        titles.into_iter().for_each(|title| println!("{}", title_line(version, title)));
        return Ok(());
    }
    match version.title(name) {
        Some(title) => println!("{}", title_line(version, title)),
        None => {
            // Suggests titles that share the longest prefix with the name.
            let prefix_lengths = (0..=name.len()).rev().filter(|length| name.is_char_boundary(*length));
            let near = prefix_lengths
                .map(|length| version.titles_with_prefix(&name[..length], None, 3))
                .find(|found| !found.is_empty());
            let near: Vec<&str> = near.iter().flatten().map(|title| title.name()).collect();
            return Err(format!("title {name:?} is not known; near it: {}", near.join(", ")));
        }
    }
    Ok(())
}

fn show_box(version: &Version, server: ServerId, list_titles: bool) -> Result<(), String> {
    let state = version.boxes().find(|state| state.server == server);
    let state = state.ok_or_else(|| format!("box {} is not known to the catalogue", server.0))?;
    let rack = state.rack.map_or("no rack told".into(), |rack| format!("rack {}", rack.0));
    let unreachable = version.unreachable_without(&[server]);
    println!(
        "box {}  {rack}  {}  holds {} titles, {} of them nowhere else sound",
        server.0,
        if state.gone { "gone" } else { "sound" },
        version.title_count_on(server),
        unreachable.len()
    );
    if list_titles {
        let unreachable: BTreeSet<&str> = unreachable.iter().map(|title| title.name()).collect();
        for title in version.titles_on(server) {
            println!(
                "{}{}",
                title_line(version, title),
                if unreachable.contains(title.name()) { "  <- here alone" } else { "" }
            );
        }
    }
    Ok(())
}

fn show_under_replicated(version: &Version, max_titles: usize) -> Result<(), String> {
    let (without_holder, with_one) = version.under_replicated_counts();
    println!("{} titles; {without_holder} without a sound holder, {with_one} with one", version.len());
    for (holders, count) in [(0, without_holder), (1, with_one)] {
        let titles = version.under_replicated(holders).take(max_titles);
        titles.for_each(|title| println!("{}", title_line(version, title)));
        if count > max_titles as u64 {
            println!("and {} more", count - max_titles as u64);
        }
    }
    let racks: BTreeSet<_> = version.boxes().filter_map(|state| state.rack).collect();
    for rack in racks {
        let (boxes, titles) = version.rack_contents(rack);
        let unreachable = version.unreachable_without(&boxes).len();
        println!(
            "rack {}: {} boxes, {} titles; {unreachable} out of reach without it",
            rack.0,
            boxes.len(),
            titles.len()
        );
    }
    Ok(())
}

fn show_differences(store: &Path) -> Result<(), String> {
    let file = store.join("differences.json");
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let rows: Vec<BTreeMap<String, serde_json::Value>> =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    println!("{:16} {:>8} {:>10}", "difference", "box", "requests");
    for row in &rows {
        let field = |name: &str| match row.get(name) {
            Some(serde_json::Value::String(text)) => text.clone(),
            Some(serde_json::Value::Null) | None => "-".into(),
            Some(value) => value.to_string(),
        };
        println!("{:16} {:>8} {:>10}", field("sort"), field("box"), field("count"));
    }
    Ok(())
}

/// Checks each index of a version against its titles.
fn check_indexes(version: &Version) -> Result<(), String> {
    let mut titles_by_box: BTreeMap<ServerId, u64> = BTreeMap::new();
    // Titles without an available holder, and with one.
    let mut under_replicated = [0u64; 2];
    for title in version.titles() {
        if version.title(title.name()) != Some(title) {
            return Err(format!("title {:?} is not found by its name", title.name()));
        }
        title.holders().for_each(|holder| *titles_by_box.entry(holder).or_default() += 1);
        if let Some(count) = under_replicated.get_mut(version.available_holders(title).count()) {
            *count += 1;
        }
    }
    for state in version.boxes() {
        let counted = titles_by_box.get(&state.server).copied().unwrap_or(0);
        if version.title_count_on(state.server) != counted {
            return Err(format!(
                "box {}: {} titles in its index, {counted} counted",
                state.server.0,
                version.title_count_on(state.server)
            ));
        }
    }
    if version.under_replicated_counts() != (under_replicated[0], under_replicated[1]) {
        return Err(format!(
            "under-replicated titles: {:?} in the index, {under_replicated:?} counted",
            version.under_replicated_counts()
        ));
    }
    let by_prefix = version.titles_with_prefix("", None, usize::MAX);
    if by_prefix.len() != version.len() || !by_prefix.windows(2).all(|pair| pair[0].name() < pair[1].name()) {
        return Err("the index by prefix does not have all titles in order".into());
    }
    Ok(())
}

fn verify(store: &Path) -> Result<(), String> {
    let mut invalid_snapshots = 0;
    for (_, path) in list_snapshots(store) {
        let mut progress = Progress::new("titles read:");
        let read = read_snapshot(&path, None, &mut |done, total| progress.update(done, total));
        let checked =
            read.map_err(|e| e.to_string()).and_then(|version| check_indexes(&version).map(|()| version));
        match checked {
            Ok(version) => {
                println!("{}: sound, {} titles, change {}", path.display(), version.len(), version.number())
            }
            Err(error) => {
                println!("{error}");
                invalid_snapshots += 1;
            }
        }
    }
    let (_, stored) = Store::open(store, &mut |_, _| {}).map_err(|e| e.to_string())?;
    stored.errors.iter().for_each(|error| println!("{error}"));
    match &stored.version {
        Some(version) => {
            check_indexes(version)?;
            println!(
                "stored: {} titles, change {}, {} since the newest snapshot",
                version.len(),
                version.number(),
                stored.changes_since_snapshot
            );
        }
        None => println!("stored: no catalogue"),
    }
    match invalid_snapshots + stored.errors.len() {
        0 => Ok(()),
        count => Err(format!("{count} faults")),
    }
}

fn compact(store: &Path) -> Result<(), String> {
    let (mut opened, stored) = Store::open(store, &mut |_, _| {}).map_err(|e| e.to_string())?;
    if let Some(error) = stored.errors.first() {
        return Err(format!("{error}; nothing is removed while something cannot be read"));
    }
    let version = stored.version.ok_or_else(|| format!("{}: no catalogue is stored", store.display()))?;
    let mut progress = Progress::new("pieces written:");
    write_snapshot(store, &version, &mut |done, total| progress.update(done, total))
        .map_err(|e| e.to_string())?;
    drop(progress);
    opened.reset_to_snapshot(version.number()).map_err(|e| e.to_string())?;
    opened.compact().map_err(|e| e.to_string())?;
    println!("{} titles, change {}, in one snapshot", version.len(), version.number());
    Ok(())
}
