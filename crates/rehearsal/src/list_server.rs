//! The stand-in list: an event stream to each front, as late as the script says.
use crate::net::{header_value, read_head, sleep, spawn};
use crate::record::{Observation, Recorder};
use may::net::TcpListener;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use walnutline_control::box_list::{self, BoxEntry, BoxList, BoxState, CHANGES_EVENT, FULL_LIST_EVENT};
use walnutline_control::event_stream::{self, Event};

/// Changes kept for fronts that resume.
const KEPT: usize = 64;

struct Change {
    number: u64,
    at: f64,
    lines: Vec<BoxEntry>,
}

#[derive(Default)]
struct Inside {
    lines: Vec<BoxEntry>,
    changes: Vec<Change>,
    number: u64,
    /// How late changes are told, until when.
    late: (f64, f64),
}

pub struct ListServer {
    inside: Mutex<Inside>,
    seen: Arc<Recorder>,
    /// How late changes are told when all is well.
    delay: f64,
}

impl ListServer {
    pub fn start(seen: Arc<Recorder>, delay: f64) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let listing = Arc::new(ListServer { inside: Mutex::default(), seen, delay });
        let l = listing.clone();
        spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let l = l.clone();
                spawn(move || drop(l.serve(stream)));
            }
        });
        Ok((listing, address))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Lines that are new or other than before.
    pub fn update(&self, lines: Vec<BoxEntry>) {
        let mut inside = self.lock();
        for line in &lines {
            inside.lines.retain(|l| l.id != line.id);
            inside.lines.push(line.clone());
        }
        inside.number += 1;
        let (number, at) = (inside.number, self.seen.now_ms());
        inside.changes.push(Change { number, at, lines });
        if inside.changes.len() > KEPT {
            inside.changes.remove(0);
        }
    }

    pub fn set_state(&self, server: u32, state: BoxState) {
        let line = self.lock().lines.iter().find(|l| l.id == server).cloned();
        if let Some(line) = line {
            self.update(vec![BoxEntry { state, ..line }]);
        }
    }

    pub fn set_delay(&self, late: f64, until: f64) {
        self.lock().late = (late, until);
    }

    /// What may be told now beyond a number: a change is told once it is as old as the list is late.
    fn due(&self, told: Option<u64>) -> Option<(u64, &'static str, Vec<BoxEntry>)> {
        let now = self.seen.now_ms();
        let inside = self.lock();
        let late = if now < inside.late.1 { inside.late.0 } else { self.delay };
        let told = match told {
            Some(told) if inside.changes.first().is_none_or(|c| c.number <= told + 1) => told,
            // From the start, or more was missed than is kept.
            _ => return Some((inside.number, FULL_LIST_EVENT, inside.lines.clone())),
        };
        let next = inside.changes.iter().find(|c| c.number == told + 1 && c.at + late <= now)?;
        Some((next.number, CHANGES_EVENT, next.lines.clone()))
    }

    fn serve(&self, mut stream: may::net::TcpStream) -> io::Result<()> {
        let Some(head) = read_head(&mut stream, &mut Vec::new())? else { return Ok(()) };
        // Each front has a path of its own, so that it is known who was told what.
        let path = head.split(' ').nth(1).unwrap_or("");
        let front = path.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(u32::MAX);
        let mut told = header_value(&head, "Last-Event-ID").and_then(|n| n.parse().ok());
        stream.write_all(b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut quiet = 0;
        loop {
            match self.due(told) {
                Some((number, name, boxes)) => {
                    told = Some(number);
                    for line in &boxes {
                        let state = format!("{:?}", line.state).to_lowercase();
                        self.seen.record(Observation::ListEntrySent { front, server: line.id, state });
                    }
                    let data = box_list::to_json(&BoxList { boxes });
                    let event = Event { id: Some(number), name: name.into(), data };
                    stream.write_all(event_stream::encode(&event).as_bytes())?;
                }
                None => {
                    quiet += 1;
                    if quiet % 100 == 0 {
                        stream.write_all(b": all as before\n")?;
                    }
                    sleep(10.0);
                }
            }
        }
    }
}
