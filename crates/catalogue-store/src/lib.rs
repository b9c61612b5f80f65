//! A catalogue on storage. A folder holds `changes.redb`, the changes written ahead of being in force, and
//! `snapshot-N.wcat`, whole versions as of change N. What may go is [`retention`]'s to say.
//!
//! A batch is in the database, and on the disk, before [`Store::append`] returns. A snapshot is written under another
//! name and renamed once it is whole and on the disk. So a crash at any moment leaves the last batch whole or absent.
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
/// Memory that the database may keep of its file.
const CACHE: usize = 16 << 20;
/// Bytes of a snapshot read and worked at before progress is told: who reads beside other work rests then.
const PIECE: usize = 4 << 10;
/// Changes put together to one version when the store is opened.
const REPLAY: usize = 10_000;

/// What went wrong, with the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreError(pub String);

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StoreError {}

fn of<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> StoreError + '_ {
    move |e| StoreError(format!("{}: {e}", path.display()))
}

/// What is told of a long piece of work: titles done, of how many.
pub type Progress<'a> = &'a mut dyn FnMut(u64, u64);

/// Whole snapshots of a folder by their numbers, the newest first.
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

/// Reads a snapshot from a file; `beside` serves meanwhile.
pub fn read_snapshot(
    path: &Path,
    beside: Option<Arc<Version>>,
    progress: Progress,
) -> Result<Version, StoreError> {
    let mut file = File::open(path).map_err(of(path))?;
    let (mut reader, mut bytes) = (snapshot::SnapshotReader::new(beside), vec![0; PIECE]);
    loop {
        match file.read(&mut bytes).map_err(of(path))? {
            0 => return reader.finish().map_err(of(path)),
            n => reader.push(&bytes[..n]).map_err(of(path))?,
        }
        let (done, all) = reader.progress();
        progress(done, all);
    }
}

/// Writes a snapshot into a folder: there under its name once it is whole and on the disk.
pub fn write_snapshot(folder: &Path, v: &Version, progress: Progress) -> Result<PathBuf, StoreError> {
    let mut part = SnapshotWriter::create(folder, "snapshot")?;
    let mut written = 0;
    for piece in snapshot::encode(v) {
        part.write(&piece)?;
        written += 1;
        // A piece of titles is some 64 kB; what it holds is not counted apart.
        progress(written, 0);
    }
    part.finish(v.number())
}

/// A snapshot that is being written.
pub struct SnapshotWriter {
    folder: PathBuf,
    file: File,
    part: PathBuf,
}

impl SnapshotWriter {
    /// `name`: of the file while it is not whole.
    pub fn create(folder: &Path, name: &str) -> Result<SnapshotWriter, StoreError> {
        let part = folder.join(name).with_extension("part");
        let file = File::create(&part).map_err(of(&part))?;
        Ok(SnapshotWriter { folder: folder.to_owned(), file, part })
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.file.write_all(bytes).map_err(of(&self.part))
    }

    /// All of it is written: it stands as the snapshot of this change.
    pub fn finish(self, number: u64) -> Result<PathBuf, StoreError> {
        let whole = self.folder.join(format!("snapshot-{number}.wcat"));
        self.file.sync_all().map_err(of(&self.part))?;
        fs::rename(&self.part, &whole).map_err(of(&whole))?;
        File::open(&self.folder).and_then(|f| f.sync_all()).map_err(of(&self.folder))?;
        Ok(whole)
    }
}

pub struct Store {
    folder: PathBuf,
    file: PathBuf,
    db: Database,
}

/// What a store held when it was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The last whole version; `None` where nothing was kept or nothing could be read.
    pub version: Option<Version>,
    /// What could not be read, with file and place; the version stands on what could.
    pub errors: Vec<StoreError>,
    /// Changes kept after the newest snapshot.
    pub changes_since_snapshot: u64,
}

/// A damaged file may break the database's reader instead of giving an error: that is an error too.
fn guarded<T>(file: &Path, work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(StoreError(format!("{}: the database is damaged", file.display()))))
}

impl Store {
    /// Opens a folder, made where it is missing, and puts the last whole version together.
    pub fn open(folder: &Path, progress: Progress) -> Result<(Store, Recovered), StoreError> {
        fs::create_dir_all(folder).map_err(of(folder))?;
        let file = folder.join("changes.redb");
        let db = guarded(&file, || {
            let db = Database::builder().set_cache_size(CACHE).create(&file).map_err(of(&file))?;
            let write = db.begin_write().map_err(of(&file))?;
            write.open_table(CHANGES).map_err(of(&file))?;
            write.commit().map_err(of(&file))?;
            Ok(db)
        })?;
        for entry in fs::read_dir(folder).map_err(of(folder))?.flatten() {
            // A snapshot that a crash cut short.
            if entry.path().extension().is_some_and(|e| e == "part") {
                let _ = fs::remove_file(entry.path());
            }
        }
        let store = Store { folder: folder.to_owned(), file, db };
        let held = store.read(progress);
        Ok((store, held))
    }

    fn read(&self, progress: Progress) -> Recovered {
        let mut held = Recovered::default();
        for (_, path) in list_snapshots(&self.folder) {
            match read_snapshot(&path, None, progress) {
                Ok(v) => {
                    held.version = Some(v);
                    break;
                }
                Err(fault) => held.errors.push(fault),
            }
        }
        let Some(snapshot) = held.version.take() else { return held };
        let from = snapshot.number();
        let mut v = snapshot;
        if let Err(fault) = guarded(&self.file, || self.replay(&mut v)) {
            held.errors.push(fault);
        }
        held.changes_since_snapshot = v.number() - from;
        held.version = Some(v);
        held
    }

    /// Applies the kept changes after a version, batch by batch, as far as they are whole and fit.
    fn replay(&self, v: &mut Version) -> Result<(), StoreError> {
        let read = self.db.begin_read().map_err(of(&self.file))?;
        let table = read.open_table(CHANGES).map_err(of(&self.file))?;
        let mut batch = Vec::new();
        let mut rows = table.range(v.number() + 1..).map_err(of(&self.file))?;
        loop {
            let row = rows.next().transpose().map_err(of(&self.file))?;
            if batch.len() >= REPLAY || row.is_none() {
                *v = v.with_changes(&batch).map_err(of(&self.file))?;
                batch.clear();
            }
            let Some((number, text)) = row else { return Ok(()) };
            let n = change_json::decode(text.value()).map_err(of(&self.file))?;
            if n.number != number.value() {
                return Err(StoreError(format!(
                    "{}: change {} stands at {}",
                    self.file.display(),
                    n.number,
                    number.value()
                )));
            }
            batch.push(n);
        }
    }

    /// Keeps a batch; it is on the disk when this returns, whole or not at all.
    pub fn append(&self, batch: &[NumberedChange]) -> Result<(), StoreError> {
        let write = self.db.begin_write().map_err(of(&self.file))?;
        {
            let mut table = write.open_table(CHANGES).map_err(of(&self.file))?;
            for n in batch {
                table.insert(n.number, change_json::encode(n).as_str()).map_err(of(&self.file))?;
            }
        }
        write.commit().map_err(of(&self.file))
    }

    /// Removes what [`retention::plan_prune`] says may go.
    pub fn prune(&self) -> Result<(), StoreError> {
        let all = list_snapshots(&self.folder);
        let numbers: Vec<u64> = all.iter().map(|(n, _)| *n).collect();
        let prune = retention::plan_prune(&numbers);
        let write = self.db.begin_write().map_err(of(&self.file))?;
        {
            let mut table = write.open_table(CHANGES).map_err(of(&self.file))?;
            table.retain_in(..=prune.changes_up_to, |_, _| false).map_err(of(&self.file))?;
        }
        write.commit().map_err(of(&self.file))?;
        for (_, path) in all.iter().filter(|(n, _)| prune.snapshots.contains(n)) {
            fs::remove_file(path).map_err(of(path))?;
        }
        Ok(())
    }

    /// Another whole catalogue takes the place of all that was kept: its snapshot is in the folder already.
    pub fn reset_to_snapshot(&self, number: u64) -> Result<(), StoreError> {
        // Changes first: none of them follows on the new snapshot.
        let write = self.db.begin_write().map_err(of(&self.file))?;
        {
            let mut table = write.open_table(CHANGES).map_err(of(&self.file))?;
            table.retain(|_, _| false).map_err(of(&self.file))?;
        }
        write.commit().map_err(of(&self.file))?;
        for (_, path) in list_snapshots(&self.folder).iter().filter(|(n, _)| *n != number) {
            fs::remove_file(path).map_err(of(path))?;
        }
        Ok(())
    }

    /// Gives room in the database's file back; returns how many changes it holds.
    pub fn compact(&mut self) -> Result<u64, StoreError> {
        self.db.compact().map_err(of(&self.file))?;
        let read = self.db.begin_read().map_err(of(&self.file))?;
        read.open_table(CHANGES).map_err(of(&self.file))?.len().map_err(of(&self.file))
    }
}
