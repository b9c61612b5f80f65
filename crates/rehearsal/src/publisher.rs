//! The stand-in publisher of a catalogue: a whole one at `/snapshot`, changes as an event stream at `/changes`.
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;
use walnutline_catalogue::change::{Change, NumberedChange};
use walnutline_catalogue::version::Version;
use walnutline_catalogue::{change_json, snapshot};
use walnutline_control::event_stream::{self, Event};

struct Inside {
    now: Arc<Version>,
    changes: Vec<NumberedChange>,
    /// What is said besides to streams that are open: for wrong streams.
    also: Vec<Vec<NumberedChange>>,
    /// Bytes of each snapshot that are flipped.
    flip: Option<usize>,
    snapshots: usize,
    streams: usize,
}

pub struct Publisher {
    inside: Mutex<Inside>,
    more: Condvar,
}

impl Publisher {
    pub fn start(v: Version) -> io::Result<(Arc<Publisher>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let inside = Inside {
            now: Arc::new(v),
            changes: Vec::new(),
            also: Vec::new(),
            flip: None,
            snapshots: 0,
            streams: 0,
        };
        let publisher = Arc::new(Publisher { inside: Mutex::new(inside), more: Condvar::new() });
        let p = publisher.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let p = p.clone();
                std::thread::spawn(move || drop(p.serve(stream)));
            }
        });
        Ok((publisher, address))
    }

    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes the catalogue and tells of it; returns the new number.
    pub fn apply_changes(&self, changes: impl IntoIterator<Item = Change>) -> Result<u64, String> {
        let mut inside = self.lock();
        let from = inside.now.number();
        let numbered = (from + 1..).zip(changes).map(|(number, change)| NumberedChange { number, change });
        let batch: Vec<NumberedChange> = numbered.collect();
        inside.now = Arc::new(inside.now.with_changes(&batch).map_err(|fault| fault.to_string())?);
        inside.changes.extend(batch);
        self.more.notify_all();
        Ok(inside.now.number())
    }

    pub fn version(&self) -> Arc<Version> {
        self.lock().now.clone()
    }

    /// Says something to the streams that are open, right or wrong.
    pub fn send_unchecked(&self, changes: Vec<NumberedChange>) {
        self.lock().also.push(changes);
        self.more.notify_all();
    }

    /// Another catalogue in place of this one; changes before it are forgotten.
    pub fn replace(&self, v: Version) {
        let mut inside = self.lock();
        (inside.now, inside.changes) = (Arc::new(v), Vec::new());
        self.more.notify_all();
    }

    /// Flips a byte of every snapshot given from now on.
    pub fn corrupt_snapshot_byte(&self, at: Option<usize>) {
        self.lock().flip = at;
    }

    /// Snapshots given out and streams opened so far.
    pub fn request_counts(&self) -> (usize, usize) {
        let inside = self.lock();
        (inside.snapshots, inside.streams)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut lines = BufReader::new(stream.try_clone()?).lines().map_while(Result::ok);
        let first = lines.next().unwrap_or_default();
        let head: Vec<String> = lines.take_while(|l| !l.is_empty()).collect();
        let after = head.iter().find_map(|l| l.strip_prefix("Last-Event-ID: ")?.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.0 200 OK\r\n\r\n")?;
        if first.contains("/snapshot") {
            let (now, flip) = {
                let mut inside = self.lock();
                inside.snapshots += 1;
                (inside.now.clone(), inside.flip)
            };
            let mut at = 0;
            for mut piece in snapshot::encode(&now) {
                if let Some(b) = flip.and_then(|f| piece.get_mut(usize::checked_sub(f, at)?)) {
                    *b ^= 1;
                }
                at += piece.len();
                stream.write_all(&piece)?;
            }
            return Ok(());
        }
        self.stream(stream, after)
    }

    fn stream(&self, mut stream: TcpStream, mut told: u64) -> io::Result<()> {
        let mut inside = self.lock();
        inside.streams += 1;
        let mut also = inside.also.len();
        loop {
            let oldest = inside.changes.first().map_or(inside.now.number() + 1, |c| c.number);
            let too_old = told + 1 < oldest || told > inside.now.number();
            let from = inside.changes.partition_point(|c| c.number <= told);
            let mut say: Vec<NumberedChange> = inside.changes[from..].iter().take(1_000).cloned().collect();
            told = say.last().map_or(told, |c| c.number);
            say.extend(inside.also[also..].iter().flatten().cloned());
            also = inside.also.len();
            if say.is_empty() && !too_old {
                let (woken, waited) =
                    self.more.wait_timeout(inside, Duration::from_secs(1)).unwrap_or_else(|e| e.into_inner());
                inside = woken;
                if waited.timed_out() {
                    drop(inside);
                    stream.write_all(b": all as before\n")?;
                    inside = self.lock();
                }
                continue;
            }
            drop(inside);
            let mut text = String::new();
            for n in &say {
                let event = Event { id: Some(n.number), name: "change".into(), data: change_json::encode(n) };
                text += &event_stream::encode(&event);
            }
            if too_old {
                text = event_stream::encode(&Event { id: None, name: "too-old".into(), data: String::new() });
            }
            stream.write_all(text.as_bytes())?;
            if too_old {
                return Ok(());
            }
            inside = self.lock();
        }
    }
}
