//! Each connection to a server is judged by what comes in on it.
#[allow(dead_code)]
mod support;

use support::{
    configuration_with_peers, release_request, report_servers, setup_request, setup_response, withdrawal,
    Harness,
};
use test_case::test_case;
use walnutline_node::actions::{ConnectionEnd, ConnectionId};
use walnutline_node::limits;

/// A release has to reach its viewer within 8 s of the session's end.
const RELEASE_LIMIT: f64 = 8_000.0;

/// Time after which the platform closes idle connections, in the configuration of these tests.
const IDLE_TIMEOUT: f64 = 30_000.0;

/// A session request that only one server can take.
fn request_for_one_server(id: u64) -> String {
    setup_request(id, "").replace("copies:2", "copies:1")
}

/// Starts two sessions on one server, each over a connection of its own, and asks for another one on each of these. The
/// one on the second connection, session 4, gets no answer. Returns the viewer and the two connections.
fn lose_an_answer_on_the_second_of_two_connections(
    harness: &mut Harness,
) -> (ConnectionId, ConnectionId, ConnectionId) {
    let viewer = harness.accept_viewer();
    let mut connections = Vec::new();
    for ids in [[1, 2], [3, 4]] {
        for id in ids {
            harness.receive(viewer, &request_for_one_server(id));
            connections.push(harness.await_setup(id).0);
        }
        for (id, conn) in ids.into_iter().zip(connections.clone()).take(if ids[0] == 3 { 1 } else { 2 }) {
            harness.receive(conn, &setup_response(200, id, ""));
        }
    }
    let [first, second] = connections[..2] else { panic!("{connections:?}") };
    assert_eq!((first != second, &connections[2..]), (true, &connections[..2]));
    (viewer, first, second)
}

/// Guards against a release that is never heard: an answer does not come, its connection stays open and dead, and
/// traffic on another one hides that. The server sends releases on the dead one and repeats them on the next one that
/// is opened, until it closes the dead one as idle.
#[test]
fn dead_connection_is_replaced_while_another_one_has_traffic() {
    let mut harness = Harness::new();
    let (viewer, first, dead) = lose_an_answer_on_the_second_of_two_connections(&mut harness);
    let address = harness.server_connections[&first];
    let mut last_opened_at = harness.now;
    harness.connect_times.clear();
    for id in 100..150 {
        harness.receive(viewer, &request_for_one_server(id));
        harness.serve(700.0, &[dead]);
        let newest = harness.connect_times.iter().rfind(|(.., to)| *to == address);
        last_opened_at = newest.map_or(last_opened_at, |(at, ..)| *at);
        assert!(harness.now - last_opened_at <= RELEASE_LIMIT, "{:?}", harness.connect_times);
    }
    assert!(!harness.server_connections.contains_key(&dead));
    let open = harness.server_connections.values().filter(|to| **to == address).count();
    assert!(open <= limits::MAX_CONNECTIONS_PER_SERVER, "{open} connections");
    let newest = harness.connect_times.last().unwrap().1;
    harness.receive(newest, &release_request(2, 16));
    assert_eq!(harness.take_written("cause=16").unwrap().0, viewer);
}

/// Guards against a release that is never heard: the server goes on using a dead connection, for what concerns the
/// sessions that it accepted there, and closes it as idle only a while after the last of them has ended.
#[test]
fn releases_are_fetched_for_as_long_as_a_session_of_a_dead_connection_stands() {
    let mut harness = Harness::new();
    let (_, first, dead) = lose_an_answer_on_the_second_of_two_connections(&mut harness);
    let address = harness.server_connections[&first];
    let began_at = harness.now;
    while harness.now - began_at < 4.0 * IDLE_TIMEOUT {
        harness.serve(1_000.0, &[dead]);
        harness.receive(first, &note(1));
        let opened = harness.connect_times.iter().rfind(|(.., to)| *to == address);
        let last_opened_at = opened.map_or(began_at, |(at, ..)| *at);
        assert!(harness.now - last_opened_at <= RELEASE_LIMIT, "{:?}", harness.connect_times);
    }
    harness.receive(first, &release_request(2, 16));
    harness.connect_times.clear();
    harness.serve(IDLE_TIMEOUT, &[dead]);
    assert!(harness.connect_times.is_empty(), "{:?}", harness.connect_times);
}

/// A note on a session, which wants no answer.
fn note(id: u64) -> String {
    format!(
        "ANNOUNCE rtsp://media/note RTSP/1.0\r\nCSeq: 4\r\nSession: {id:016x}\r\nX-Why: nic\r\nFigure: 0.2\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Guards against a release that is never heard: an answer is lost after something else has come in on its connection,
/// which is not tested as long as the server is heard on others. Session 2 was accepted on the dead connection.
#[test_case(&setup_response(100, 4, ""); "progress")]
#[test_case(&note(2); "a note")]
#[test_case(&release_request(77, 16); "the release of another session")]
fn lost_answer_is_found_whatever_came_in_after_its_request(input: &str) {
    let mut harness = Harness::new();
    let (viewer, first, dead) = lose_an_answer_on_the_second_of_two_connections(&mut harness);
    let address = harness.server_connections[&first];
    harness.advance(50.0);
    harness.receive(dead, input);
    let lost_at = harness.now;
    harness.connect_times.clear();
    while harness.connect_times.iter().all(|(.., to)| *to != address)
        && harness.now - lost_at <= RELEASE_LIMIT
    {
        harness.serve(1_000.0, &[dead]);
        harness.receive(first, &note(1));
    }
    assert!(harness.closed.contains(&dead) && harness.now - lost_at <= RELEASE_LIMIT);
    let newest = harness.connect_times.last().unwrap().1;
    harness.receive(newest, &release_request(2, 16));
    assert_eq!(harness.take_written("cause=16").unwrap().0, viewer);
}

/// Pings cost as much as probes. The answer to a later request on the same connection shows as well as a ping that the
/// connection outlived one that was given up.
#[test]
fn request_given_up_needs_no_ping_once_a_later_one_is_answered() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &request_for_one_server(1));
    let (conn, _) = harness.await_setup(1);
    harness.receive(viewer, &withdrawal(1));
    harness.advance(300.0);
    harness.receive(viewer, &request_for_one_server(2));
    assert_eq!(harness.await_setup(2).0, conn);
    harness.receive(conn, &setup_response(200, 2, ""));
    harness.advance(limits::PING_IN_DOUBT_AFTER + 500.0);
    assert_eq!(harness.take_written("rtsp://media/ping"), None);
}

/// Guards against a release that is never heard: a server forgets the one connection that this node has to it, while
/// it is idle. What it answers to other nodes says nothing of that connection.
#[test]
fn idle_connection_is_tested_whatever_other_nodes_report() {
    let mut harness = Harness::with_configuration(&configuration_with_peers());
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &request_for_one_server(1));
    let (forgotten, _) = harness.await_setup(1);
    harness.receive(forgotten, &setup_response(200, 1, ""));
    let ended_at = harness.now;
    harness.connect_times.clear();
    while harness.connect_times.is_empty() && harness.now - ended_at <= RELEASE_LIMIT {
        harness.serve(100.0, &[forgotten]);
        report_servers(&mut harness);
    }
    let (opened_at, newest, _) = *harness.connect_times.first().expect("a new connection");
    assert!(opened_at - ended_at <= RELEASE_LIMIT, "{} ms", opened_at - ended_at);
    harness.receive(newest, &release_request(1, 16));
    assert_eq!(harness.take_written("cause=16").unwrap().0, viewer);
}

/// Guards against a release that is never heard: a connection is reset, and the one that is to take its place comes up
/// too late. That another connection has traffic is no reason to leave it at that.
#[test]
fn failed_reconnect_is_tried_again_while_another_connection_has_traffic() {
    let mut harness = Harness::new();
    let (viewer, first, second) = lose_an_answer_on_the_second_of_two_connections(&mut harness);
    let address = harness.server_connections[&first];
    harness.connect_times.clear();
    harness.connect_at_once = false;
    harness.close(second, ConnectionEnd::Closed);
    let lost_at = harness.now;
    for id in 100..108 {
        harness.receive(viewer, &request_for_one_server(id));
        harness.serve(500.0, &[]);
    }
    let to_server = harness.connect_times.iter().filter(|(.., to)| *to == address);
    assert!(to_server.clone().count() > 1, "{:?}", harness.connect_times);
    assert!(to_server.clone().count() < 20, "{:?}", harness.connect_times);
    while harness.connecting.is_empty() && harness.now - lost_at <= RELEASE_LIMIT {
        harness.serve(20.0, &[]);
    }
    let newest = *harness.connecting.last().expect("a connection being opened");
    harness.node.server_connected(newest, harness.now);
    harness.perform_actions();
    assert!(harness.now - lost_at <= RELEASE_LIMIT);
    harness.receive(newest, &release_request(2, 16));
    assert_eq!(harness.take_written("cause=16").unwrap().0, viewer);
}
