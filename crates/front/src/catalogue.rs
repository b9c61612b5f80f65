//! Keeps the catalogue: reads what was stored, follows its publisher, writes changes ahead of putting them in force.
//! One thread, since its reads and its disk wait; requests only ever take the version in force. Where a publisher
//! stands is [`follower::FeedFollower`]'s to say; what is kept, [`retention`]'s.
use crate::clock::Clock;
use crate::http_client::{BodyRead, ResponseBody};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use walnutline::ids::ServerId;
use walnutline_catalogue::current::{CurrentVersion, VersionWriter};
use walnutline_catalogue::differences::DifferenceKind;
use walnutline_catalogue::follower::{FeedFollower, NextFetch};
use walnutline_catalogue::version::Version;
use walnutline_catalogue::{change_json, follower, retention, snapshot};
use walnutline_catalogue_store::{write_snapshot, SnapshotWriter, Store, StoreError};
use walnutline_control::event_stream::{Event, EventReader};
use walnutline_sessions::backoff::Backoff;
use walnutline_sessions::session_manager::Timeouts;
use walnutline_settings::CatalogueSettings;

/// Bytes of a snapshot that are worked at in one piece.
const PIECE: usize = 4 * 1024;
/// How often what is due beside the stream is looked after.
const BEAT: Duration = Duration::from_millis(200);
/// While changes are gathered, reads wait no longer than this.
const GATHERING: Duration = Duration::from_millis(5);

/// Counts of differences by sort and box.
pub type DifferenceCounts = Vec<(DifferenceKind, Option<ServerId>, u64)>;

/// What requests have of the catalogue.
pub struct CatalogueHandle {
    current: Arc<CurrentVersion>,
    pub settings: CatalogueSettings,
    /// Differences counted so far, where they changed since they were last written down.
    differences: Mutex<Option<DifferenceCounts>>,
}

impl CatalogueHandle {
    /// The version in force, for a whole request; `None` while there is no catalogue.
    pub fn current_version(&self) -> Option<Arc<Version>> {
        let v = self.current.load();
        (!v.is_empty()).then_some(v)
    }

    /// Hands counts over to be written where `walnutline catalogue diff` finds them; `false` where they cannot be
    /// taken now. Never waits: who writes them stands back and may hold the lock for long.
    pub fn submit_differences(&self, counts: impl FnOnce() -> DifferenceCounts) -> bool {
        let Ok(mut waiting) = self.differences.try_lock() else { return false };
        *waiting = Some(counts());
        true
    }
}

struct Keeper {
    known: Arc<CatalogueHandle>,
    clock: Clock,
    waits: Timeouts,
    writer: VersionWriter,
    /// Without it the catalogue is kept in memory alone.
    store: Option<Store>,
    follow: FeedFollower,
    /// Changes since the newest snapshot, and the snapshot that is being written.
    since: u64,
    snapshot: Option<JoinHandle<Result<PathBuf, StoreError>>>,
}

/// Starts to read the store and then to follow. The front serves meanwhile, without a catalogue until it is read; a store
/// that cannot be read is told of, and the front goes on without it.
pub fn start(
    terms: CatalogueSettings,
    clock: Clock,
    waits: Timeouts,
    seed: u64,
) -> io::Result<Arc<CatalogueHandle>> {
    let writer = VersionWriter::default();
    let known = Arc::new(CatalogueHandle {
        current: writer.current(),
        settings: terms,
        differences: Mutex::default(),
    });
    let mut keeper = Keeper {
        known: known.clone(),
        clock,
        waits,
        writer,
        store: None,
        follow: FeedFollower::default(),
        since: 0,
        snapshot: None,
    };
    std::thread::Builder::new().name("catalogue".into()).spawn(move || {
        stand_back();
        keeper.read();
        keeper.run(seed)
    })?;
    Ok(known)
}

impl Keeper {
    /// Takes up what was stored.
    fn read(&mut self) {
        let mut began = Instant::now();
        let opened = Store::open(&self.known.settings.folder, &mut |_, _| {
            rest(began);
            began = Instant::now();
        });
        let (store, held) = match opened {
            Ok(opened) => opened,
            Err(fault) => {
                tracing::error!(target: "walnutline::mode", "starts without a catalogue and keeps none: {fault}");
                return;
            }
        };
        held.errors.iter().for_each(|f| tracing::error!(target: "walnutline::mode", "catalogue: {f}"));
        match held.version {
            Some(v) => {
                tracing::info!(target: "walnutline::mode", number = v.number(), titles = v.len(), "catalogue read");
                self.follow = FeedFollower::resume_from((!v.is_empty()).then(|| v.number()));
                self.writer.publish(v);
            }
            None => tracing::info!(target: "walnutline::mode", "starts without a catalogue: none is stored"),
        }
        (self.store, self.since) = (Some(store), held.changes_since_snapshot);
    }

    fn run(&mut self, seed: u64) {
        let Some((at, path)) = self.known.settings.source.clone() else {
            loop {
                self.beat();
                std::thread::sleep(BEAT);
            }
        };
        let (mut retry, mut rng) = (Backoff::default(), fastrand::Rng::with_seed(seed.rotate_left(16)));
        loop {
            let done = match self.follow.next_fetch() {
                NextFetch::Snapshot => self.whole(at, &format!("{path}/snapshot")),
                NextFetch::ChangesAfter(n) => self.changes(at, &format!("{path}/changes"), n, &mut retry),
            };
            let why = match done {
                Ok(()) if self.follow.next_fetch() != NextFetch::Snapshot => continue,
                Ok(()) => "the changes after ours are no longer to be had".into(),
                Err(e) => e.to_string(),
            };
            let wait = retry.next_delay(&mut rng);
            tracing::info!(target: "walnutline::mode", "catalogue away why={why:?} again_in={wait:.0}");
            let until = self.clock.now() + wait;
            while self.clock.now() < until {
                self.beat();
                std::thread::sleep(BEAT.min(Duration::from_secs_f64(wait / 1_000.0)));
            }
        }
    }

    /// What is due beside the stream.
    fn beat(&mut self) {
        self.writer.reclaim();
        let counts = self.known.differences.lock().unwrap_or_else(|e| e.into_inner()).take();
        if let Some(counts) = counts {
            let file = self.known.settings.folder.join("differences.json");
            if let Err(e) = write_counts(&file, &counts) {
                tracing::error!("catalogue: {}: {e}", file.display());
            }
        }
        if self.snapshot.as_ref().is_some_and(|s| s.is_finished()) {
            let done = self.snapshot.take().and_then(|s| s.join().ok());
            let pruned = match (done, &self.store) {
                (Some(Ok(_)), Some(store)) => store.prune(),
                (Some(Err(fault)), _) => Err(fault),
                _ => Ok(()),
            };
            if let Err(fault) = pruned {
                tracing::error!("catalogue: snapshot: {fault}");
            }
        }
        let v = self.writer.current().load();
        if self.store.is_some() && self.snapshot.is_none() && retention::snapshot_due(self.since, v.len()) {
            self.since = 0;
            let folder = self.known.settings.folder.clone();
            let write = move || {
                stand_back();
                write_snapshot(&folder, &v, &mut |_, _| {})
            };
            self.snapshot = std::thread::Builder::new().name("snapshot".into()).spawn(write).ok();
        }
    }

    /// Fetches a whole catalogue beside the one in force. It is on the disk before it is in force.
    fn whole(&mut self, at: SocketAddr, path: &str) -> io::Result<()> {
        let beside = self.writer.current().load();
        let mut reader = snapshot::SnapshotReader::new((!beside.is_empty()).then_some(beside));
        let folder = self.known.settings.folder.clone();
        let mut part = self
            .store
            .is_some()
            .then(|| SnapshotWriter::create(&folder, "fetched"))
            .transpose()
            .map_err(other)?;
        let mut body = ResponseBody::open(at, path, "", self.waits)?;
        let mut told = 0;
        loop {
            let piece = match body.read()? {
                BodyRead::Data(n) => &body.buffer[..n],
                BodyRead::End => break,
                BodyRead::Idle => {
                    self.beat();
                    continue;
                }
            };
            for block in piece.chunks(PIECE) {
                let began = Instant::now();
                reader.push(block).map_err(other)?;
                rest(began);
            }
            if let Some(part) = &mut part {
                part.write(piece).map_err(other)?;
            }
            let (done, all) = reader.progress();
            if all > 0 && done * 10 / all > told {
                told = done * 10 / all;
                tracing::info!("catalogue: {done} of {all} titles fetched");
            }
        }
        let v = reader.finish().map_err(other)?;
        let (number, titles) = (v.number(), v.len());
        // A snapshot of the old catalogue that came to its end later would stand beside the new one.
        if let Some(snapshot) = self.snapshot.take() {
            let _ = snapshot.join();
        }
        if let (Some(part), Some(store)) = (part, &self.store) {
            part.finish(number).and_then(|_| store.reset_to_snapshot(number)).map_err(other)?;
        }
        self.writer.publish(v);
        self.follow.mark_applied(number);
        self.since = 0;
        tracing::info!(target: "walnutline::mode", number, titles, "catalogue in force");
        Ok(())
    }

    fn changes(&mut self, at: SocketAddr, path: &str, after: u64, retry: &mut Backoff) -> io::Result<()> {
        let mut body = ResponseBody::open(at, path, &format!("Last-Event-ID: {after}\r\n"), self.waits)?;
        let mut events = EventReader::default();
        loop {
            body.set_read_timeout(if self.follow.batch_due_at().is_some() { GATHERING } else { BEAT })?;
            match body.read() {
                Ok(BodyRead::Data(n)) => {
                    for piece in body.buffer[..n].chunks(PIECE) {
                        let began = Instant::now();
                        for event in events.push(piece).map_err(other)? {
                            if event.name == "too-old" {
                                self.follow.history_expired();
                                return Ok(());
                            }
                            self.heard(event)?;
                        }
                        rest(began);
                    }
                    // A stream that breaks at its first change has not worked.
                    if self.follow.batch_due_at().is_none() {
                        retry.reset();
                    }
                }
                // What was heard whole before its end is in force too.
                Ok(BodyRead::End) => {
                    self.apply()?;
                    return Err(other("its end"));
                }
                Ok(BodyRead::Idle) => {}
                Err(e) => {
                    self.apply()?;
                    return Err(e);
                }
            }
            if self.follow.batch_due_at().is_some_and(|t| t <= self.clock.now()) {
                self.apply()?;
                retry.reset();
            }
            self.beat();
        }
    }

    fn heard(&mut self, event: Event) -> io::Result<()> {
        if event.name != "change" {
            return Ok(());
        }
        match change_json::decode(&event.data) {
            Ok(n) => self.follow.receive(n, self.clock.now()),
            Err(why) => {
                tracing::error!("catalogue: event {:?}: {why}", event.id);
                // What it said is missing: it is asked for again, and if it is no better then, all is fetched.
                self.apply()?;
                self.follow.change_unreadable();
                return Err(other(why));
            }
        }
        // A burst longer than a batch is applied as it comes.
        if self.follow.batch_due_at() == Some(f64::NEG_INFINITY) {
            self.apply()?;
        }
        Ok(())
    }

    /// Puts the gathered changes in force: whole and on the disk, or not at all.
    fn apply(&mut self) -> io::Result<()> {
        let batch = self.follow.take_batch();
        if batch.is_empty() {
            return Ok(());
        }
        let began = Instant::now();
        let next = match self.writer.current().load().with_changes(&batch) {
            Ok(next) => next,
            Err(fault) => {
                tracing::warn!(target: "walnutline::mode", "catalogue: {fault}");
                self.follow.batch_rejected(&fault);
                return Err(other(fault));
            }
        };
        if let Some(store) = &self.store {
            if let Err(fault) = store.append(&batch) {
                // Better new and not kept than old: what is on the disk stays whole, and lacks these.
                tracing::error!(target: "walnutline::mode", "catalogue is no longer kept: {fault}");
                self.store = None;
            }
        }
        self.since += batch.len() as u64;
        self.follow.mark_applied(next.number());
        self.writer.publish(next);
        rest(began);
        Ok(())
    }
}

/// Leaves the processor to others after a piece of work.
fn rest(began: Instant) {
    let worked = began.elapsed().as_secs_f64() * 1_000.0;
    std::thread::sleep(Duration::from_secs_f64(follower::pause_after(worked) / 1_000.0));
}

/// Puts this thread behind all that answer viewers: it runs where a processor has nothing else to do.
fn stand_back() {
    let param = libc::sched_param { sched_priority: 0 };
    // Sound: a call that reads `param` and concerns this thread alone.
    let done = unsafe { libc::sched_setscheduler(0, libc::SCHED_IDLE, &param) };
    if done != 0 {
        tracing::debug!("catalogue: the thread does not stand back: {}", io::Error::last_os_error());
    }
}

fn other(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

fn write_counts(file: &Path, counts: &DifferenceCounts) -> io::Result<()> {
    let line = |(kind, server, n): &(DifferenceKind, Option<ServerId>, u64)| {
        serde_json::json!({ "sort": kind.name(), "box": server.map(|s| s.0), "count": n }).to_string()
    };
    let lines: Vec<String> = counts.iter().map(line).collect();
    let part = file.with_extension("json.new");
    std::fs::write(&part, format!("[{}]\n", lines.join(",\n")))?;
    std::fs::rename(&part, file)
}
