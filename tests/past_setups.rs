//! Requests that come again under the id of one that has ended.
#[allow(dead_code)]
mod support;

use support::{front, request, session_table, settings};
use test_case::test_case;
use walnutline::api::{Placement, SetupOutcome};
use walnutline::ids::{ServerId, SessionId};
use walnutline::past_setups::{PastSetup, PastSetups, MAX_SETUPS, RETENTION};
use walnutline::settings::{KeyScope, PolicySettings, RepeatPolicy};

const REQUEST: SessionId = SessionId(7);

/// Guards against a session that runs twice: a request came again under its id after its viewer had left, and what its
/// first SETUP may have done was forgotten.
#[test_case(RepeatPolicy::Once, SetupOutcome::Withdrawn => false; "may have run")]
#[test_case(RepeatPolicy::Once, SetupOutcome::Done => false; "has run")]
#[test_case(RepeatPolicy::Once, SetupOutcome::NeverSent => true; "never sent")]
#[test_case(RepeatPolicy::Keyed(KeyScope::All), SetupOutcome::Withdrawn => true; "known to all servers by its key")]
#[test_case(RepeatPolicy::Safe, SetupOutcome::Withdrawn => true; "repeatable")]
fn request_that_comes_again_after_its_end_is_set_up(repeat: RepeatPolicy, outcome: SetupOutcome) -> bool {
    let mut settings = PolicySettings { max_retry_after: None, ..settings() };
    (settings.service_groups[0].repeat, settings.service_groups[0].key_window) = (repeat, 5_000.0);
    let (mut front, mut table) = (front(settings), session_table([]));
    front.add_request(&mut table, REQUEST, request(3_000.0), 10_000.0);
    assert!(matches!(front.place(&mut table, REQUEST, 10_000.0), Placement::Setup { .. }));
    front.viewer_left(&mut table, REQUEST);
    front.after_outcome(&mut table, REQUEST, outcome, 10_020.0);
    assert!(table.sessions.is_empty());
    front.add_request(&mut table, REQUEST, request(3_000.0), 10_500.0);
    match front.place(&mut table, REQUEST, 10_500.0) {
        Placement::Setup { .. } => true,
        Placement::TornDown => false,
        other => panic!("{other:?}"),
    }
}

/// Guards against memory that grows without end under ever new ids.
#[test]
fn past_setups_take_bounded_memory() {
    let mut past = PastSetups::default();
    let setup = PastSetup { server: ServerId(1), sent_at: 0.0 };
    for id in 0..3 * MAX_SETUPS as u64 {
        past.record(SessionId(id), setup, 1.0);
    }
    assert!(past.len() <= MAX_SETUPS && past.get(SessionId(3 * MAX_SETUPS as u64 - 1)) == Some(setup));
    past.record(SessionId(0), setup, 1.0 + RETENTION);
    assert_eq!(past.len(), 1);
}
