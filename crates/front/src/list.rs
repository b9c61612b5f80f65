//! Follows the list of boxes: one thread that opens the event stream, resumes it and hands lists on. A thread, since
//! its reads need time-outs of their own.
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

pub fn start(
    shared: Arc<Shared>,
    at: SocketAddr,
    path: String,
    waits: Timeouts,
    seed: u64,
) -> io::Result<()> {
    let follow_it = move || {
        let (mut follow, mut retry, mut rng) =
            (ListSequence::default(), Backoff::default(), fastrand::Rng::with_seed(seed.rotate_left(32)));
        loop {
            let why = match stream(&shared, at, &path, waits, &mut follow, &mut retry) {
                Ok(()) => "its end".to_owned(),
                Err(e) => e.to_string(),
            };
            let wait = retry.next_delay(&mut rng);
            tracing::info!(target: "walnutline::mode", "list away why={why:?} again_in={wait:.0}");
            std::thread::sleep(Duration::from_secs_f64(wait / 1_000.0));
        }
    };
    std::thread::Builder::new().name("list".into()).spawn(follow_it)?;
    Ok(())
}

fn stream(
    shared: &Shared,
    at: SocketAddr,
    path: &str,
    waits: Timeouts,
    follow: &mut ListSequence,
    retry: &mut Backoff,
) -> io::Result<()> {
    let resume = follow.resume_after().map_or(String::new(), |n| format!("Last-Event-ID: {n}\r\n"));
    let mut body = ResponseBody::open(at, path, &format!("Accept: text/event-stream\r\n{resume}"), waits)?;
    let mut events = EventReader::default();
    loop {
        let n = match body.read()? {
            BodyRead::Data(n) => n,
            BodyRead::Idle => continue,
            BodyRead::End => return Ok(()),
        };
        let heard = events.push(&body.buffer[..n]).map_err(|e| {
            follow.discard_position();
            io::Error::other(e.to_string())
        })?;
        for event in heard {
            take(shared, event, follow)?;
            retry.reset();
        }
    }
}

fn take(shared: &Shared, event: Event, follow: &mut ListSequence) -> io::Result<()> {
    let sort = match event.name.as_str() {
        box_list::FULL_LIST_EVENT => EventKind::Snapshot,
        box_list::CHANGES_EVENT => EventKind::Changes,
        _ => return Ok(()),
    };
    let unreadable = |follow: &mut ListSequence, why: String| {
        follow.discard_position();
        tracing::error!("list: event {:?}: {why}", event.id);
        Err(io::Error::other(why))
    };
    let Some(number) = event.id else {
        return unreadable(follow, "an event without its number".into());
    };
    let list = match box_list::parse(&event.data) {
        Ok(list) => list,
        Err(why) => return unreadable(follow, why),
    };
    match follow.accept(number, sort) {
        Verdict::Apply => {
            let lines = list.boxes.into_iter().map(line).collect();
            let _ = shared
                .hub_events
                .send(HubEvent::BoxList { full: sort == EventKind::Snapshot, entries: lines });
            Ok(())
        }
        Verdict::Duplicate => Ok(()),
        Verdict::Gap => Err(io::Error::other(format!("a gap before event {number}"))),
    }
}

fn line(line: BoxEntry) -> (ServerEndpoint, String) {
    let listed = ListEntry {
        id: ServerId(line.id),
        zone: ZoneIndex(line.building.into()),
        kind: KindIndex(line.kind),
        // Holders are named in requests; of cells only the rack is wanted.
        cell: CellId(line.rack),
        state: match line.state {
            BoxState::Ready => ServerState::Ready,
            BoxState::Draining => ServerState::Draining,
            BoxState::Gone => ServerState::Gone,
        },
        weight: line.weight,
        started_at: line.started_at_ms,
    };
    (ServerEndpoint { entry: listed, control_address: line.control_addr }, line.media_url)
}
