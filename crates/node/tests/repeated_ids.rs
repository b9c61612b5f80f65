//! Requests that come again under the id of one that has ended.
#[allow(dead_code)]
mod support;

use support::{setup_request, setup_response, withdrawal, Harness, CONFIGURATION};

/// A request that only one server can take.
fn request_for_one_server(id: u64) -> String {
    setup_request(id, "").replace("copies:2", "copies:1")
}

/// Guards against the answer to a withdrawn SETUP that is taken for the answer to a later one under the same id.
#[test]
fn late_response_is_not_taken_for_the_request_that_came_again() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &request_for_one_server(1));
    let (first, _) = harness.await_setup(1);
    harness.receive(viewer, &(withdrawal(1) + &request_for_one_server(1)));
    let (second, _) = harness.await_setup(1);
    harness.receive(first, &setup_response(200, 1, "late\r\n"));
    assert_eq!(harness.take_written("late"), None);
    harness.receive(second, &setup_response(200, 1, "own\r\n"));
    assert_eq!(harness.take_written("own").unwrap().0, viewer);
}

/// Guards against a session that runs twice though its class forbids it.
#[test]
fn request_that_may_have_run_is_not_set_up_again() {
    let mut harness = Harness::with_configuration(&CONFIGURATION.replace("repeatable", "once"));
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, ""));
    harness.await_setup(1);
    harness.receive(viewer, &(withdrawal(1) + &setup_request(1, "")));
    assert_eq!(harness.take_written("RTSP/1.0 500").unwrap().0, viewer);
    harness.advance(2_000.0);
    assert_eq!(harness.take_written("SETUP"), None);
}
