//! Decisions of a front that is being stopped.
#[allow(dead_code)]
mod support;

use support::*;
use test_case::test_case;
use walnutline::api::Placement;
use walnutline::ids::*;
use walnutline::sessions::Session;

/// The session that a test places: the first one of its table.
const SESSION: SessionId = SessionId(1);

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

/// The first SETUP of a request may normally take 450 ms here. Another front can give it that time.
#[test_case(100.0 => false; "less than a first SETUP may take")]
#[test_case(1_000.0 => true; "more than a first SETUP may take")]
fn request_is_tried_only_with_the_time_of_a_first_setup(until_end: Ms) -> bool {
    let mut front = front(settings());
    let mut table = session_table([]);
    front.begin_shutdown(&mut table, NOW + until_end);
    front.add_request(&mut table, SESSION, request(3_000.0), NOW);
    match front.place(&mut table, SESSION, NOW) {
        Placement::Setup { .. } => true,
        Placement::BusyReply { retry_after: Some(_) } => false,
        placement => panic!("{placement:?}"),
    }
}

/// Such a request would get no more time from another front.
#[test]
fn request_with_a_short_wait_of_its_own_is_tried() {
    let mut front = front(settings());
    let mut table = session_table([]);
    front.begin_shutdown(&mut table, NOW + 110.0);
    front.add_request(&mut table, SESSION, request(100.0), NOW);
    assert!(matches!(front.place(&mut table, SESSION, NOW), Placement::Setup { .. }));
}

#[test]
fn requests_that_end_before_the_front_does_keep_their_time() {
    let mut front = front(settings());
    let mut table = session_table([session()]);
    front.begin_shutdown(&mut table, NOW + 5_000.0);
    assert_eq!(table.sessions[&SESSION].viewer_deadline, session().viewer_deadline);
    assert!(matches!(front.place(&mut table, SESSION, NOW), Placement::Setup { .. }));
}
