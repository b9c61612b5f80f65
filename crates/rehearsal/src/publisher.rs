//! The stand-in of a catalogue publisher: the whole catalogue at `/snapshot`, changes as an event stream at `/changes`.
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;
use walnutline_catalogue::change::{Change, NumberedChange};
use walnutline_catalogue::version::Version;
use walnutline_catalogue::{change_json, snapshot};
use walnutline_control::event_stream::{self, Event};

struct PublisherState {
    version: Arc<Version>,
    /// All changes since the last replacement, the oldest first.
    changes: Vec<NumberedChange>,
    /// Changes sent to open streams without a check, for faulty streams.
    unchecked: Vec<Vec<NumberedChange>>,
    /// Offset of the byte that is corrupted in each snapshot.
    corrupt_offset: Option<usize>,
    snapshot_count: usize,
    stream_count: usize,
}

/// A publisher that serves a catalogue.
pub struct Publisher {
    state: Mutex<PublisherState>,
    changed: Condvar,
}

impl Publisher {
    /// Serves a catalogue on a free port of the loopback address.
    pub fn start(version: Version) -> io::Result<(Arc<Publisher>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = PublisherState {
            version: Arc::new(version),
            changes: Vec::new(),
            unchecked: Vec::new(),
            corrupt_offset: None,
            snapshot_count: 0,
            stream_count: 0,
        };
        let publisher = Arc::new(Publisher { state: Mutex::new(state), changed: Condvar::new() });
        let server = publisher.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let server = server.clone();
                std::thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok((publisher, address))
    }

    fn lock(&self) -> MutexGuard<'_, PublisherState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Applies changes to the catalogue and publishes them; returns the number of the last one.
    pub fn apply_changes(&self, changes: impl IntoIterator<Item = Change>) -> Result<u64, String> {
        let mut state = self.lock();
        let from = state.version.number();
        let numbered = (from + 1..).zip(changes).map(|(number, change)| NumberedChange { number, change });
        let batch: Vec<NumberedChange> = numbered.collect();
        state.version = Arc::new(state.version.with_changes(&batch).map_err(|error| error.to_string())?);
        state.changes.extend(batch);
        self.changed.notify_all();
        Ok(state.version.number())
    }

    /// The current catalogue.
    pub fn version(&self) -> Arc<Version> {
        self.lock().version.clone()
    }

    /// Sends changes to the open streams, valid or not, without applying them.
    pub fn send_unchecked(&self, changes: Vec<NumberedChange>) {
        self.lock().unchecked.push(changes);
        self.changed.notify_all();
    }

    /// Replaces the catalogue; earlier changes are discarded.
    pub fn replace(&self, version: Version) {
        let mut state = self.lock();
        (state.version, state.changes) = (Arc::new(version), Vec::new());
        self.changed.notify_all();
    }

    /// Corrupts the byte at an offset of every snapshot served from now on; `None` corrupts none.
    pub fn corrupt_snapshot_byte(&self, offset: Option<usize>) {
        self.lock().corrupt_offset = offset;
    }

    /// Numbers of snapshots served and streams opened so far.
    pub fn request_counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.snapshot_count, state.stream_count)
    }

    /// Answers one request.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut lines = BufReader::new(stream.try_clone()?).lines().map_while(Result::ok);
        let request_line = lines.next().unwrap_or_default();
        let headers: Vec<String> = lines.take_while(|l| !l.is_empty()).collect();
        let last_event_id =
            headers.iter().find_map(|line| line.strip_prefix("Last-Event-ID: ")?.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.0 200 OK\r\n\r\n")?;
        if request_line.contains("/snapshot") {
            let (version, corrupt_offset) = {
                let mut state = self.lock();
                state.snapshot_count += 1;
                (state.version.clone(), state.corrupt_offset)
            };
            let mut offset = 0;
            for mut chunk in snapshot::encode(&version) {
                if let Some(byte) = corrupt_offset.and_then(|c| chunk.get_mut(usize::checked_sub(c, offset)?))
                {
                    *byte ^= 1;
                }
                offset += chunk.len();
                stream.write_all(&chunk)?;
            }
            return Ok(());
        }
        self.send_changes(stream, last_event_id)
    }

    /// Sends all changes after a number, until the connection ends or the changes are no longer available.
    fn send_changes(&self, mut stream: TcpStream, mut last_sent: u64) -> io::Result<()> {
        let mut state = self.lock();
        state.stream_count += 1;
        let mut unchecked_sent = state.unchecked.len();
        loop {
            let oldest = state.changes.first().map_or(state.version.number() + 1, |c| c.number);
            let too_old = last_sent + 1 < oldest || last_sent > state.version.number();
            let from = state.changes.partition_point(|c| c.number <= last_sent);
            let mut batch: Vec<NumberedChange> = state.changes[from..].iter().take(1_000).cloned().collect();
            last_sent = batch.last().map_or(last_sent, |c| c.number);
            batch.extend(state.unchecked[unchecked_sent..].iter().flatten().cloned());
            unchecked_sent = state.unchecked.len();
            if batch.is_empty() && !too_old {
                let (guard, wait) = self
                    .changed
                    .wait_timeout(state, Duration::from_secs(1))
                    .unwrap_or_else(|e| e.into_inner());
                state = guard;
                if wait.timed_out() {
                    drop(state);
                    stream.write_all(b": all as before\n")?;
                    state = self.lock();
                }
                continue;
            }
            drop(state);
            let mut text = String::new();
            for change in &batch {
                let event = Event {
                    id: Some(change.number),
                    name: "change".into(),
                    data: change_json::encode(change),
                };
                text += &event_stream::encode(&event);
            }
            if too_old {
                text = event_stream::encode(&Event { id: None, name: "too-old".into(), data: String::new() });
            }
            stream.write_all(text.as_bytes())?;
            if too_old {
                return Ok(());
            }
            state = self.lock();
        }
    }
}
