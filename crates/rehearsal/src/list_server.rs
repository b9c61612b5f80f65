//! The stand-in of the server list: an event stream to each front, with changes delayed as the script says.
use crate::net::{header_value, read_head, sleep, spawn};
use crate::record::{Observation, Recorder};
use may::net::TcpListener;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use walnutline_control::box_list::{self, BoxEntry, BoxList, BoxState, CHANGES_EVENT, FULL_LIST_EVENT};
use walnutline_control::event_stream::{self, Event};

/// Changes kept for fronts that reconnect.
const MAX_CHANGES: usize = 64;

struct Change {
    number: u64,
    made_at: f64,
    entries: Vec<BoxEntry>,
}

#[derive(Default)]
struct ListState {
    entries: Vec<BoxEntry>,
    /// The latest changes, the oldest first.
    changes: Vec<Change>,
    /// Number of the latest change.
    number: u64,
    /// Delay of changes by a fault, and until when it applies, in milliseconds.
    fault_delay: (f64, f64),
}

/// A server list that fronts follow.
pub struct ListServer {
    state: Mutex<ListState>,
    recorder: Arc<Recorder>,
    /// Delay of changes without a fault.
    delay_ms: f64,
}

impl ListServer {
    /// Serves an empty list on a free port of the loopback address; changes are sent after `delay_ms`.
    pub fn start(recorder: Arc<Recorder>, delay_ms: f64) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list_server = Arc::new(ListServer { state: Mutex::default(), recorder, delay_ms });
        let server = list_server.clone();
        spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let server = server.clone();
                spawn(move || drop(server.serve(stream)));
            }
        });
        Ok((list_server, address))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds entries, or replaces those of the same boxes, as one change.
    pub fn update(&self, entries: Vec<BoxEntry>) {
        let mut state = self.lock();
        for entry in &entries {
            state.entries.retain(|e| e.id != entry.id);
            state.entries.push(entry.clone());
        }
        state.number += 1;
        let (number, made_at) = (state.number, self.recorder.now_ms());
        state.changes.push(Change { number, made_at, entries });
        if state.changes.len() > MAX_CHANGES {
            state.changes.remove(0);
        }
    }

    /// Changes the state of a box that is in the list.
    pub fn set_state(&self, server: u32, state: BoxState) {
        let entry = self.lock().entries.iter().find(|e| e.id == server).cloned();
        if let Some(entry) = entry {
            self.update(vec![BoxEntry { state, ..entry }]);
        }
    }

    /// Sends changes with this delay until a time, both in milliseconds.
    pub fn set_delay(&self, delay_ms: f64, until: f64) {
        self.lock().fault_delay = (delay_ms, until);
    }

    /// The event that may be sent now after event `last_sent`: the next change once it is old enough, or the full list.
    fn next_event(&self, last_sent: Option<u64>) -> Option<(u64, &'static str, Vec<BoxEntry>)> {
        let now = self.recorder.now_ms();
        let state = self.lock();
        let delay_ms = if now < state.fault_delay.1 { state.fault_delay.0 } else { self.delay_ms };
        let last_sent = match last_sent {
            Some(last_sent) if state.changes.first().is_none_or(|c| c.number <= last_sent + 1) => last_sent,
            // A new connection, or the next change is no longer kept.
            _ => return Some((state.number, FULL_LIST_EVENT, state.entries.clone())),
        };
        let next = state.changes.iter().find(|c| c.number == last_sent + 1 && c.made_at + delay_ms <= now)?;
        Some((next.number, CHANGES_EVENT, next.entries.clone()))
    }

    /// Sends the event stream to a front until the connection ends.
    fn serve(&self, mut stream: may::net::TcpStream) -> io::Result<()> {
        let Some(head) = read_head(&mut stream, &mut Vec::new())? else { return Ok(()) };
        // Each front has a path of its own, so that the records say what was sent to which front.
        let path = head.split(' ').nth(1).unwrap_or("");
        let front = path.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(u32::MAX);
        let mut last_sent = header_value(&head, "Last-Event-ID").and_then(|n| n.parse().ok());
        stream.write_all(b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut idle_polls = 0;
        loop {
            match self.next_event(last_sent) {
                Some((number, name, boxes)) => {
                    last_sent = Some(number);
                    for entry in &boxes {
                        let state = format!("{:?}", entry.state).to_lowercase();
                        self.recorder.record(Observation::ListEntrySent { front, server: entry.id, state });
                    }
                    let data = box_list::to_json(&BoxList { boxes });
                    let event = Event { id: Some(number), name: name.into(), data };
                    stream.write_all(event_stream::encode(&event).as_bytes())?;
                }
                None => {
                    idle_polls += 1;
                    if idle_polls % 100 == 0 {
                        stream.write_all(b": all as before\n")?;
                    }
                    sleep(10.0);
                }
            }
        }
    }
}
