//! Follows the list of boxes on a thread of its own: opens the event stream, resumes it after interruptions and passes
//! its events to the hub. It is a thread and not a coroutine, since reads from the stream need their own time-outs.
use crate::http_client::{BodyRead, ResponseBody};
use crate::hub::HubEvent;
use crate::Shared;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use walnutline::fleet::{ListEntry, ServerState};
use walnutline::ids::{CellId, KindIndex, ServerId, ZoneIndex};
use walnutline_control::box_list::{self, BoxEntry, BoxState};
use walnutline_control::event_stream::{Event, EventReader};
use walnutline_sessions::backoff::Backoff;
use walnutline_sessions::list_sequence::{EventKind, ListSequence, Verdict};
use walnutline_sessions::session_manager::{ServerEndpoint, Timeouts};

/// Starts the thread that follows the list published at `address` and `path`.
pub fn start(
    shared: Arc<Shared>,
    address: SocketAddr,
    path: String,
    timeouts: Timeouts,
    seed: u64,
) -> io::Result<()> {
    let run = move || {
        let (mut sequence, mut backoff, mut rng) =
            (ListSequence::default(), Backoff::default(), fastrand::Rng::with_seed(seed.rotate_left(32)));
        loop {
            let why = match follow_stream(&shared, address, &path, timeouts, &mut sequence, &mut backoff) {
                Ok(()) => "the stream ended".to_owned(),
                Err(e) => e.to_string(),
            };
            let delay = backoff.next_delay(&mut rng);
            tracing::info!(target: "walnutline::mode", "list away why={why:?} again_in={delay:.0}");
            std::thread::sleep(Duration::from_secs_f64(delay / 1_000.0));
        }
    };
    std::thread::Builder::new().name("list".into()).spawn(run)?;
    Ok(())
}

/// Opens the event stream after the last event that was applied, and follows it until it ends.
fn follow_stream(
    shared: &Shared,
    address: SocketAddr,
    path: &str,
    timeouts: Timeouts,
    sequence: &mut ListSequence,
    backoff: &mut Backoff,
) -> io::Result<()> {
    let resume = sequence.resume_after().map_or(String::new(), |n| format!("Last-Event-ID: {n}\r\n"));
    let headers = format!("Accept: text/event-stream\r\n{resume}");
    let mut body = ResponseBody::open(address, path, &headers, timeouts)?;
    let mut reader = EventReader::default();
    loop {
        let n = match body.read()? {
            BodyRead::Data(n) => n,
            BodyRead::Idle => continue,
            BodyRead::End => return Ok(()),
        };
        let events = reader.push(&body.buffer[..n]).map_err(|e| {
            sequence.discard_position();
            io::Error::other(e.to_string())
        })?;
        for event in events {
            handle_event(shared, event, sequence)?;
            backoff.reset();
        }
    }
}

/// Passes an event of the list to the hub, if it is the next one.
fn handle_event(shared: &Shared, event: Event, sequence: &mut ListSequence) -> io::Result<()> {
    let kind = match event.name.as_str() {
        box_list::FULL_LIST_EVENT => EventKind::Snapshot,
        box_list::CHANGES_EVENT => EventKind::Changes,
        _ => return Ok(()),
    };
    let reject = |sequence: &mut ListSequence, reason: String| {
        sequence.discard_position();
        tracing::error!("list: event {:?}: {reason}", event.id);
        Err(io::Error::other(reason))
    };
    let Some(number) = event.id else {
        return reject(sequence, "event without a number".into());
    };
    let list = match box_list::parse(&event.data) {
        Ok(list) => list,
        Err(reason) => return reject(sequence, reason),
    };
    match sequence.accept(number, kind) {
        Verdict::Apply => {
            let entries = list.boxes.into_iter().map(server_endpoint).collect();
            let full = kind == EventKind::Snapshot;
            let _ = shared.hub_events.send(HubEvent::BoxList { full, entries });
            Ok(())
        }
        Verdict::Duplicate => Ok(()),
        Verdict::Gap => Err(io::Error::other(format!("events are missing before event {number}"))),
    }
}

/// Converts an entry for the session manager, and returns the box's media URL with it.
fn server_endpoint(listed: BoxEntry) -> (ServerEndpoint, String) {
    let entry = ListEntry {
        id: ServerId(listed.id),
        zone: ZoneIndex(listed.building.into()),
        kind: KindIndex(listed.kind),
        // Requests name their holders, so the cell only has to state the rack.
        cell: CellId(listed.rack),
        state: match listed.state {
            BoxState::Ready => ServerState::Ready,
            BoxState::Draining => ServerState::Draining,
            BoxState::Gone => ServerState::Gone,
        },
        weight: listed.weight,
        started_at: listed.started_at_ms,
    };
    (ServerEndpoint { entry, control_address: listed.control_addr }, listed.media_url)
}
