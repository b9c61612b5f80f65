//! Stores and follows the catalogue: loads what is stored, fetches changes from the publisher, and writes them to disk
//! before they come into force.
//!
//! One background thread does this, since its network reads and disk writes block. Requests only load the version in
//! force. [`follower::FeedFollower`] decides what to fetch next, [`retention`] when a snapshot is written.
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

/// Bytes of a stream that are processed between two pauses.
const CHUNK_BYTES: usize = 4 * 1024;
/// How often [`CatalogueUpdater::do_maintenance`] runs.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Read time-out while a batch of changes is pending, so that it is applied on time.
const BATCH_READ_TIMEOUT: Duration = Duration::from_millis(5);

/// Nice value of the thread that writes a snapshot: about a tenth of the share of a thread that answers viewers.
const SNAPSHOT_NICE: libc::c_int = 10;

/// Counts of differences between requests and the catalogue, by kind and box.
pub type DifferenceCounts = Vec<(DifferenceKind, Option<ServerId>, u64)>;

/// Access to the catalogue for the threads that handle requests.
pub struct CatalogueHandle {
    current: Arc<CurrentVersion>,
    pub settings: CatalogueSettings,
    /// The latest counts of differences, until they are written to disk.
    differences: Mutex<Option<DifferenceCounts>>,
}

impl CatalogueHandle {
    /// The version in force, to be used for a whole request; `None` while there is no catalogue.
    pub fn current_version(&self) -> Option<Arc<Version>> {
        let version = self.current.load();
        (!version.is_empty()).then_some(version)
    }

    /// Passes on counts to be written to the file that `walnutline catalogue diff` reads. Returns `false` if they
    /// cannot be accepted now. Never blocks: the background thread that writes them may
    /// hold the lock.
    pub fn submit_differences(&self, counts: impl FnOnce() -> DifferenceCounts) -> bool {
        let Ok(mut pending) = self.differences.try_lock() else { return false };
        *pending = Some(counts());
        true
    }
}

/// State of the background thread.
struct CatalogueUpdater {
    handle: Arc<CatalogueHandle>,
    clock: Clock,
    timeouts: Timeouts,
    writer: VersionWriter,
    /// `None`: the catalogue is held in memory only.
    store: Option<Store>,
    follower: FeedFollower,
    /// Changes since the newest snapshot.
    changes_since_snapshot: u64,
    /// The thread that writes a snapshot, if one does.
    snapshot_thread: Option<JoinHandle<Result<PathBuf, StoreError>>>,
}

/// Starts the background thread, which loads the stored catalogue and then follows the publisher. The front serves
/// requests meanwhile, without a catalogue until it is loaded. If the store cannot be read, this is logged and the front
/// runs without a catalogue.
pub fn start(
    settings: CatalogueSettings,
    clock: Clock,
    timeouts: Timeouts,
    seed: u64,
) -> io::Result<Arc<CatalogueHandle>> {
    let writer = VersionWriter::default();
    let handle =
        Arc::new(CatalogueHandle { current: writer.current(), settings, differences: Mutex::default() });
    let mut updater = CatalogueUpdater {
        handle: handle.clone(),
        clock,
        timeouts,
        writer,
        store: None,
        follower: FeedFollower::default(),
        changes_since_snapshot: 0,
        snapshot_thread: None,
    };
    std::thread::Builder::new().name("catalogue".into()).spawn(move || {
        updater.load_stored();
        updater.run(seed)
    })?;
    Ok(handle)
}

impl CatalogueUpdater {
    /// Opens the store and puts the catalogue that it holds in force.
    fn load_stored(&mut self) {
        let mut step_start = Instant::now();
        let opened = Store::open(&self.handle.settings.folder, &mut |_, _| {
            pause_after_step(step_start);
            step_start = Instant::now();
        });
        let (store, stored) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                tracing::error!(target: "walnutline::mode", "starts without a catalogue and keeps none: {error}");
                return;
            }
        };
        stored.errors.iter().for_each(|e| tracing::error!(target: "walnutline::mode", "catalogue: {e}"));
        match stored.version {
            Some(v) => {
                tracing::info!(target: "walnutline::mode", number = v.number(), titles = v.len(), "catalogue read");
                self.follower = FeedFollower::resume_from((!v.is_empty()).then(|| v.number()));
                self.writer.publish(v);
            }
            None => tracing::info!(target: "walnutline::mode", "starts without a catalogue: none is stored"),
        }
        (self.store, self.changes_since_snapshot) = (Some(store), stored.changes_since_snapshot);
    }

    /// Follows the publisher for as long as the process runs.
    fn run(&mut self, seed: u64) {
        let Some((address, path)) = self.handle.settings.source.clone() else {
            loop {
                self.do_maintenance();
                std::thread::sleep(MAINTENANCE_INTERVAL);
            }
        };
        let (mut backoff, mut rng) = (Backoff::default(), fastrand::Rng::with_seed(seed.rotate_left(16)));
        loop {
            let result = match self.follower.next_fetch() {
                NextFetch::Snapshot => self.fetch_snapshot(address, &format!("{path}/snapshot")),
                NextFetch::ChangesAfter(n) => {
                    self.follow_changes(address, &format!("{path}/changes"), n, &mut backoff)
                }
            };
            let why = match result {
                Ok(()) if self.follower.next_fetch() != NextFetch::Snapshot => continue,
                Ok(()) => "the publisher no longer has the changes that follow".into(),
                Err(e) => e.to_string(),
            };
            let delay = backoff.next_delay(&mut rng);
            tracing::info!(target: "walnutline::mode", "catalogue away why={why:?} again_in={delay:.0}");
            let retry_at = self.clock.now() + delay;
            while self.clock.now() < retry_at {
                self.do_maintenance();
                std::thread::sleep(MAINTENANCE_INTERVAL.min(Duration::from_secs_f64(delay / 1_000.0)));
            }
        }
    }

    /// Does the periodic work: reclaims old versions, writes counts of differences, and starts and finishes snapshots.
    fn do_maintenance(&mut self) {
        self.writer.reclaim();
        let counts = self.handle.differences.lock().unwrap_or_else(|e| e.into_inner()).take();
        if let Some(counts) = counts {
            let file = self.handle.settings.folder.join("differences.json");
            if let Err(e) = write_difference_counts(&file, &counts) {
                tracing::error!("catalogue: {}: {e}", file.display());
            }
        }
        if self.snapshot_thread.as_ref().is_some_and(|s| s.is_finished()) {
            let finished = self.snapshot_thread.take().and_then(|s| s.join().ok());
            let pruned = match (finished, &self.store) {
                (Some(Ok(_)), Some(store)) => store.prune(),
                (Some(Err(error)), _) => Err(error),
                _ => Ok(()),
            };
            if let Err(error) = pruned {
                tracing::error!("catalogue: snapshot: {error}");
            }
        }
        let version = self.writer.current().load();
        let due = self.store.is_some()
            && self.snapshot_thread.is_none()
            && retention::snapshot_due(self.changes_since_snapshot, version.len());
        if due {
            self.changes_since_snapshot = 0;
            let folder = self.handle.settings.folder.clone();
            let write = move || {
                lower_thread_priority();
                write_snapshot(&folder, &version, &mut |_, _| {})
            };
            self.snapshot_thread = std::thread::Builder::new().name("snapshot".into()).spawn(write).ok();
        }
    }

    /// Fetches a complete catalogue while the old one stays in force. It is on disk before it comes into force.
    fn fetch_snapshot(&mut self, address: SocketAddr, path: &str) -> io::Result<()> {
        let previous = self.writer.current().load();
        let mut reader = snapshot::SnapshotReader::new((!previous.is_empty()).then_some(previous));
        let folder = self.handle.settings.folder.clone();
        let mut file = self
            .store
            .is_some()
            .then(|| SnapshotWriter::create(&folder, "fetched"))
            .transpose()
            .map_err(io_error)?;
        let mut body = ResponseBody::open(address, path, "", self.timeouts)?;
        let mut logged_tenths = 0;
        loop {
            let data = match body.read()? {
                BodyRead::Data(n) => &body.buffer[..n],
                BodyRead::End => break,
                BodyRead::Idle => {
                    self.do_maintenance();
                    continue;
                }
            };
            for chunk in data.chunks(CHUNK_BYTES) {
                let step_start = Instant::now();
                reader.push(chunk).map_err(io_error)?;
                pause_after_step(step_start);
            }
            if let Some(file) = &mut file {
                file.write(data).map_err(io_error)?;
            }
            let (fetched, total) = reader.progress();
            if total > 0 && fetched * 10 / total > logged_tenths {
                logged_tenths = fetched * 10 / total;
                tracing::info!("catalogue: {fetched} of {total} titles fetched");
            }
        }
        let version = reader.finish().map_err(io_error)?;
        let (number, titles) = (version.number(), version.len());
        // A snapshot of the old catalogue must not be completed after the store is reset to the new one.
        if let Some(snapshot_thread) = self.snapshot_thread.take() {
            let _ = snapshot_thread.join();
        }
        if let (Some(file), Some(store)) = (file, &self.store) {
            file.finish(number).and_then(|_| store.reset_to_snapshot(number)).map_err(io_error)?;
        }
        self.writer.publish(version);
        self.follower.mark_applied(number);
        self.changes_since_snapshot = 0;
        tracing::info!(target: "walnutline::mode", number, titles, "catalogue in force");
        Ok(())
    }

    /// Follows the stream of changes until it ends. Returns `Ok` if the publisher no longer has the changes after
    /// `after`.
    fn follow_changes(
        &mut self,
        address: SocketAddr,
        path: &str,
        after: u64,
        backoff: &mut Backoff,
    ) -> io::Result<()> {
        let resume = format!("Last-Event-ID: {after}\r\n");
        let mut body = ResponseBody::open(address, path, &resume, self.timeouts)?;
        let mut reader = EventReader::default();
        loop {
            let batch_pending = self.follower.batch_due_at().is_some();
            body.set_read_timeout(if batch_pending { BATCH_READ_TIMEOUT } else { MAINTENANCE_INTERVAL })?;
            match body.read() {
                Ok(BodyRead::Data(n)) => {
                    for chunk in body.buffer[..n].chunks(CHUNK_BYTES) {
                        let step_start = Instant::now();
                        for event in reader.push(chunk).map_err(io_error)? {
                            if event.name == "too-old" {
                                self.follower.history_expired();
                                return Ok(());
                            }
                            self.handle_event(event)?;
                        }
                        pause_after_step(step_start);
                    }
                    // With a batch pending, the back-off is only reset once the batch is applied: a stream that fails
                    // at its first change does not count as a success.
                    if self.follower.batch_due_at().is_none() {
                        backoff.reset();
                    }
                }
                // Changes that were received completely come into force even if the stream ends after them.
                Ok(BodyRead::End) => {
                    self.apply_batch()?;
                    return Err(io_error("the stream ended"));
                }
                Ok(BodyRead::Idle) => {}
                Err(e) => {
                    self.apply_batch()?;
                    return Err(e);
                }
            }
            if self.follower.batch_due_at().is_some_and(|t| t <= self.clock.now()) {
                self.apply_batch()?;
                backoff.reset();
            }
            self.do_maintenance();
        }
    }

    fn handle_event(&mut self, event: Event) -> io::Result<()> {
        if event.name != "change" {
            return Ok(());
        }
        match change_json::decode(&event.data) {
            Ok(change) => self.follower.receive(change, self.clock.now()),
            Err(reason) => {
                tracing::error!("catalogue: event {:?}: {reason}", event.id);
                // The change is requested again; if it is still unreadable then, a snapshot is fetched.
                self.apply_batch()?;
                self.follower.change_unreadable();
                return Err(io_error(reason));
            }
        }
        // A full batch is applied at once.
        if self.follower.batch_due_at() == Some(f64::NEG_INFINITY) {
            self.apply_batch()?;
        }
        Ok(())
    }

    /// Puts the pending changes in force, after they are written to disk. If one is rejected, none is applied.
    fn apply_batch(&mut self) -> io::Result<()> {
        let batch = self.follower.take_batch();
        if batch.is_empty() {
            return Ok(());
        }
        let step_start = Instant::now();
        let next = match self.writer.current().load().with_changes(&batch) {
            Ok(next) => next,
            Err(error) => {
                tracing::warn!(target: "walnutline::mode", "catalogue: {error}");
                self.follower.batch_rejected(&error);
                return Err(io_error(error));
            }
        };
        if let Some(store) = &self.store {
            if let Err(error) = store.append(&batch) {
                // A current catalogue in memory is better than an outdated one. The store stays consistent, without
                // these and later changes.
                tracing::error!(target: "walnutline::mode", "catalogue is no longer kept: {error}");
                self.store = None;
            }
        }
        self.changes_since_snapshot += batch.len() as u64;
        self.follower.mark_applied(next.number());
        self.writer.publish(next);
        pause_after_step(step_start);
        Ok(())
    }
}

/// Pauses after a step of work that began at `step_start`, so that other threads get the processor.
fn pause_after_step(step_start: Instant) {
    let worked_ms = step_start.elapsed().as_secs_f64() * 1_000.0;
    std::thread::sleep(Duration::from_secs_f64(follower::pause_after(worked_ms) / 1_000.0));
}

/// Gives this thread a small share of a contested processor. It is not left to idle processors alone, as a busy machine
/// may have none, and a fetch of the catalogue waits for this thread.
fn lower_thread_priority() {
    // SAFETY: the call takes plain numbers; 0 stands for the calling thread.
    if unsafe { libc::setpriority(libc::PRIO_PROCESS, 0, SNAPSHOT_NICE) } != 0 {
        tracing::debug!("catalogue: thread priority could not be lowered: {}", io::Error::last_os_error());
    }
}

fn io_error(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

/// Writes the counts as JSON, one count a line, and replaces the file atomically.
fn write_difference_counts(file: &Path, counts: &DifferenceCounts) -> io::Result<()> {
    let line = |(kind, server, count): &(DifferenceKind, Option<ServerId>, u64)| {
        serde_json::json!({ "sort": kind.name(), "box": server.map(|s| s.0), "count": count }).to_string()
    };
    let lines: Vec<String> = counts.iter().map(line).collect();
    let new_file = file.with_extension("json.new");
    std::fs::write(&new_file, format!("[{}]\n", lines.join(",\n")))?;
    std::fs::rename(&new_file, file)
}
