//! Crash-safe storage of a catalogue. A folder holds `changes.redb`, the write-ahead log of changes, and
//! `snapshot-N.wcat`, whole versions as of change N. [`retention`] decides what may be removed.
//!
//! A batch is in the log and synced to disk before [`Store::append`] returns. A snapshot is written under a temporary
//! name and renamed once it is complete and synced. So after a crash at any moment, the last batch is stored as a
//! whole or not at all.
use redb::{Database, ReadableDatabase, ReadableTableMetadata, TableDefinition};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use walnutline_catalogue::change::NumberedChange;
use walnutline_catalogue::version::Version;
use walnutline_catalogue::{change_json, retention, snapshot};

const CHANGES: TableDefinition<u64, &str> = TableDefinition::new("changes");
/// Size of the database's page cache.
const DB_CACHE_BYTES: usize = 16 << 20;
/// Bytes of a snapshot that are read between two progress calls, in which a background load can pause.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// Changes that are replayed in one batch when the store is opened.
const REPLAY_BATCH_CHANGES: usize = 10_000;

/// A storage error, with the path of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreError(pub String);

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StoreError {}

/// Converts an error to a [`StoreError`] for a path.
fn store_error<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> StoreError + '_ {
    move |e| StoreError(format!("{}: {e}", path.display()))
}

/// Called during a long operation with the number of titles done and of all titles. A total of 0 means unknown, and
/// that the parts of a snapshot are counted instead.
pub type Progress<'a> = &'a mut dyn FnMut(u64, u64);

/// The complete snapshots in a folder by change number, the newest first.
pub fn list_snapshots(folder: &Path) -> Vec<(u64, PathBuf)> {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let number = |p: &Path| {
        let name = p.file_name()?.to_str()?;
        name.strip_prefix("snapshot-")?.strip_suffix(".wcat")?.parse().ok()
    };
    let mut all: Vec<_> = entries.map(|e| e.path()).filter_map(|p| Some((number(&p)?, p))).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all
}

/// Reads a snapshot from a file. Titles that are equal in the `previous` version are shared with it.
pub fn read_snapshot(
    path: &Path,
    previous: Option<Arc<Version>>,
    progress: Progress,
) -> Result<Version, StoreError> {
    let mut file = File::open(path).map_err(store_error(path))?;
    let (mut reader, mut buffer) = (snapshot::SnapshotReader::new(previous), vec![0; READ_CHUNK_BYTES]);
    loop {
        match file.read(&mut buffer).map_err(store_error(path))? {
            0 => return reader.finish().map_err(store_error(path)),
            n => reader.push(&buffer[..n]).map_err(store_error(path))?,
        }
        let (titles_read, total_titles) = reader.progress();
        progress(titles_read, total_titles);
    }
}

/// Writes a snapshot into a folder. It gets its name once it is complete and synced to disk.
pub fn write_snapshot(folder: &Path, version: &Version, progress: Progress) -> Result<PathBuf, StoreError> {
    let mut writer = SnapshotWriter::create(folder, "snapshot")?;
    let mut parts_written = 0;
    for part in snapshot::encode(version) {
        writer.write(&part)?;
        parts_written += 1;
        // Counts parts, since the number of titles in a part is not known here.
        progress(parts_written, 0);
    }
    writer.finish(version.number())
}

/// A snapshot file that is being written.
pub struct SnapshotWriter {
    folder: PathBuf,
    file: File,
    temporary_path: PathBuf,
}

impl SnapshotWriter {
    /// Creates the file in a folder, as `name` with the extension `part` until it is complete.
    pub fn create(folder: &Path, name: &str) -> Result<SnapshotWriter, StoreError> {
        let temporary_path = folder.join(name).with_extension("part");
        let file = File::create(&temporary_path).map_err(store_error(&temporary_path))?;
        Ok(SnapshotWriter { folder: folder.to_owned(), file, temporary_path })
    }

    /// Appends bytes.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.file.write_all(bytes).map_err(store_error(&self.temporary_path))
    }

    /// Syncs the complete file and renames it to the snapshot as of change `number`. Returns its path.
    pub fn finish(self, number: u64) -> Result<PathBuf, StoreError> {
        let path = self.folder.join(format!("snapshot-{number}.wcat"));
        self.file.sync_all().map_err(store_error(&self.temporary_path))?;
        fs::rename(&self.temporary_path, &path).map_err(store_error(&path))?;
        File::open(&self.folder).and_then(|f| f.sync_all()).map_err(store_error(&self.folder))?;
        Ok(path)
    }
}

/// An open folder with a catalogue.
pub struct Store {
    folder: PathBuf,
    /// Path of the database file, for errors.
    db_path: PathBuf,
    db: Database,
}

/// What was recovered when a store was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The last version; `None` if nothing was stored or no snapshot could be read.
    pub version: Option<Version>,
    /// What could not be read, with file and position. The version is built from the rest.
    pub errors: Vec<StoreError>,
    /// Changes that were applied on top of the snapshot.
    pub changes_since_snapshot: u64,
}

/// Turns a panic of the database into an error: on a damaged file it may panic instead of returning one.
fn catch_db_panic<T>(
    path: &Path,
    operation: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(operation))
        .unwrap_or_else(|_| Err(StoreError(format!("{}: the database is damaged", path.display()))))
}

impl Store {
    /// Opens a folder, which is created if it is missing, and recovers the last version.
    pub fn open(folder: &Path, progress: Progress) -> Result<(Store, Recovered), StoreError> {
        fs::create_dir_all(folder).map_err(store_error(folder))?;
        let db_path = folder.join("changes.redb");
        let db = catch_db_panic(&db_path, || {
            let db = Database::builder()
                .set_cache_size(DB_CACHE_BYTES)
                .create(&db_path)
                .map_err(store_error(&db_path))?;
            let transaction = db.begin_write().map_err(store_error(&db_path))?;
            transaction.open_table(CHANGES).map_err(store_error(&db_path))?;
            transaction.commit().map_err(store_error(&db_path))?;
            Ok(db)
        })?;
        for entry in fs::read_dir(folder).map_err(store_error(folder))?.flatten() {
            // A snapshot that a crash left incomplete.
            if entry.path().extension().is_some_and(|e| e == "part") {
                let _ = fs::remove_file(entry.path());
            }
        }
        let store = Store { folder: folder.to_owned(), db_path, db };
        let recovered = store.recover(progress);
        Ok((store, recovered))
    }

    /// Reads the newest readable snapshot and replays the log on it.
    fn recover(&self, progress: Progress) -> Recovered {
        let mut recovered = Recovered::default();
        for (_, path) in list_snapshots(&self.folder) {
            match read_snapshot(&path, None, progress) {
                Ok(version) => {
                    recovered.version = Some(version);
                    break;
                }
                Err(error) => recovered.errors.push(error),
            }
        }
        let Some(snapshot) = recovered.version.take() else { return recovered };
        let snapshot_number = snapshot.number();
        let mut version = snapshot;
        if let Err(error) = catch_db_panic(&self.db_path, || self.replay(&mut version)) {
            recovered.errors.push(error);
        }
        recovered.changes_since_snapshot = version.number() - snapshot_number;
        recovered.version = Some(version);
        recovered
    }

    /// Applies the logged changes after a version in batches, until one cannot be read or applied.
    fn replay(&self, version: &mut Version) -> Result<(), StoreError> {
        let transaction = self.db.begin_read().map_err(store_error(&self.db_path))?;
        let table = transaction.open_table(CHANGES).map_err(store_error(&self.db_path))?;
        let mut batch = Vec::new();
        let mut rows = table.range(version.number() + 1..).map_err(store_error(&self.db_path))?;
        loop {
            let row = rows.next().transpose().map_err(store_error(&self.db_path))?;
            if batch.len() >= REPLAY_BATCH_CHANGES || row.is_none() {
                *version = version.with_changes(&batch).map_err(store_error(&self.db_path))?;
                batch.clear();
            }
            let Some((number, text)) = row else { return Ok(()) };
            let change = change_json::decode(text.value()).map_err(store_error(&self.db_path))?;
            if change.number != number.value() {
                return Err(StoreError(format!(
                    "{}: change {} is stored under key {}",
                    self.db_path.display(),
                    change.number,
                    number.value()
                )));
            }
            batch.push(change);
        }
    }

    /// Appends a batch to the log. On success it is synced to disk. On an error it is stored as a whole or not at
    /// all.
    pub fn append(&self, batch: &[NumberedChange]) -> Result<(), StoreError> {
        let transaction = self.db.begin_write().map_err(store_error(&self.db_path))?;
        {
            let mut table = transaction.open_table(CHANGES).map_err(store_error(&self.db_path))?;
            for change in batch {
                table
                    .insert(change.number, change_json::encode(change).as_str())
                    .map_err(store_error(&self.db_path))?;
            }
        }
        transaction.commit().map_err(store_error(&self.db_path))
    }

    /// Removes the snapshots and changes that [`retention::plan_prune`] gives.
    pub fn prune(&self) -> Result<(), StoreError> {
        let snapshots = list_snapshots(&self.folder);
        let numbers: Vec<u64> = snapshots.iter().map(|(n, _)| *n).collect();
        let plan = retention::plan_prune(&numbers);
        let transaction = self.db.begin_write().map_err(store_error(&self.db_path))?;
        {
            let mut table = transaction.open_table(CHANGES).map_err(store_error(&self.db_path))?;
            table.retain_in(..=plan.changes_up_to, |_, _| false).map_err(store_error(&self.db_path))?;
        }
        transaction.commit().map_err(store_error(&self.db_path))?;
        for (_, path) in snapshots.iter().filter(|(n, _)| plan.snapshots.contains(n)) {
            fs::remove_file(path).map_err(store_error(path))?;
        }
        Ok(())
    }

    /// Replaces all stored data by the snapshot as of change `number`, which is in the folder already.
    pub fn reset_to_snapshot(&self, number: u64) -> Result<(), StoreError> {
        // The changes go first, since none of them follows the new snapshot.
        let transaction = self.db.begin_write().map_err(store_error(&self.db_path))?;
        {
            let mut table = transaction.open_table(CHANGES).map_err(store_error(&self.db_path))?;
            table.retain(|_, _| false).map_err(store_error(&self.db_path))?;
        }
        transaction.commit().map_err(store_error(&self.db_path))?;
        for (_, path) in list_snapshots(&self.folder).iter().filter(|(n, _)| *n != number) {
            fs::remove_file(path).map_err(store_error(path))?;
        }
        Ok(())
    }

    /// Compacts the database file. Returns the number of changes in it.
    pub fn compact(&mut self) -> Result<u64, StoreError> {
        self.db.compact().map_err(store_error(&self.db_path))?;
        let transaction = self.db.begin_read().map_err(store_error(&self.db_path))?;
        transaction
            .open_table(CHANGES)
            .map_err(store_error(&self.db_path))?
            .len()
            .map_err(store_error(&self.db_path))
    }
}
