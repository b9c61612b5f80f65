//! Decisions of a front that is being stopped.
mod support;

use support::*;
use walnutline::api::{Placement, Request};
use walnutline::ids::*;
use walnutline::sessions::Session;

/// The session that a test places: the first one of its table.
const SESSION: SessionId = SessionId(1);

fn request(time_left: Ms) -> Request {
    Request {
        group: GroupIndex(0),
        title: TitleId(9),
        holders: cells(0, 4),
        rates_kb_per_s: None,
        highest_rung: 2,
        time_left,
    }
}

#[test]
fn no_wait_of_a_stopping_front_outlasts_its_end() {
    let mut front = front(settings());
    let held = Session { held_until: Some(NOW + 200.0), ..session() };
    let mut table = session_table([held]);
    let setups_end_by = front.begin_shutdown(&mut table, NOW + 100.0);
    assert!(setups_end_by < NOW + 100.0);
    assert_eq!(table.sessions[&SESSION].held_until, Some(setups_end_by));
    front.add_request(&mut table, SessionId(2), request(3_000.0), NOW);
    match front.place(&mut table, SessionId(2), NOW) {
        Placement::Setup { timeout, .. } => assert!(NOW + timeout <= setups_end_by, "{timeout}"),
        placement => assert!(matches!(placement, Placement::BusyReply { .. }), "{placement:?}"),
    }
    for id in [SESSION, SessionId(2)].into_iter().filter(|id| table.sessions.contains_key(id)) {
        assert_eq!(table.sessions[&id].viewer_deadline, NOW + 100.0);
    }
}

#[test]
fn requests_that_end_before_the_front_does_keep_their_time() {
    let mut front = front(settings());
    let mut table = session_table([session()]);
    front.begin_shutdown(&mut table, NOW + 5_000.0);
    assert_eq!(table.sessions[&SESSION].viewer_deadline, session().viewer_deadline);
    assert!(matches!(front.place(&mut table, SESSION, NOW), Placement::Setup { .. }));
}
