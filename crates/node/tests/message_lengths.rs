//! Messages whose Content-Length doesn't fit their body.
#[allow(dead_code)]
mod support;

use support::{setup_request, setup_response, Harness};
use test_case::test_case;

const DESCRIPTION: &str = "c=IN IP4 10.4.7.9\r\n";

/// Makes the stated length smaller than the body.
fn understate_length(message: &str, by: usize) -> String {
    let length = |n: usize| format!("Content-Length: {n}\r\n");
    message.replace(&length(DESCRIPTION.len()), &length(DESCRIPTION.len() - by))
}

/// Guards against a viewer that is served with a description that no server made.
#[test_case(1; "by one byte")]
#[test_case(2; "by two bytes")]
fn response_with_an_understated_length_is_not_passed_on(by: usize) {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, ""));
    let (first, _) = harness.await_setup(1);
    harness.receive(first, &understate_length(&setup_response(200, 1, DESCRIPTION), by));
    assert_eq!(harness.take_written("c=IN"), None);
    assert!(harness.closed.contains(&first));
    let (second, _) = harness.await_setup(1);
    harness.receive(second, &setup_response(200, 1, DESCRIPTION));
    let (conn, response) = harness.take_written("c=IN").unwrap();
    assert!(conn == viewer && response.ends_with(DESCRIPTION), "{response:?}");
}

/// Guards against a request that reaches a server with less than its viewer sent, and is answered as served.
#[test_case(1; "by one byte")]
#[test_case(2; "by two bytes")]
fn request_with_an_understated_length_is_refused_and_reaches_no_server(by: usize) {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &understate_length(&setup_request(1, DESCRIPTION), by));
    assert_eq!(harness.take_written("RTSP/1.0 400").unwrap().0, viewer);
    assert!(harness.closed.contains(&viewer));
    harness.advance(2_000.0);
    assert_eq!(harness.take_written("SETUP"), None);
}
