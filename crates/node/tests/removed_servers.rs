//! Sessions on servers that have left the list: their addresses may belong to other servers.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
#[allow(dead_code)]
mod support;

use std::net::SocketAddr;
use support::{setup_request, setup_response, Harness};
use walnutline_node::actions::{ConnectionEnd, ConnectionId};

/// A release has to reach its viewer within 8 s of the session's end.
const RELEASE_LIMIT: f64 = 8_000.0;
/// The list tells of a machine that vanishes this long after its end at the earliest.
const LIST_DELAY: f64 = 4_300.0;

/// Starts two sessions on one server, each over a connection of its own. Returns the connections and their address.
fn start_two_sessions(harness: &mut Harness) -> ([ConnectionId; 2], SocketAddr) {
    let viewer = harness.accept_viewer();
    let connections = [1, 2].map(|id| {
        harness.receive(viewer, &setup_request(id, "").replace("copies:2", "copies:1"));
        harness.await_setup(id).0
    });
    for (id, conn) in [1, 2].into_iter().zip(connections) {
        harness.receive(conn, &setup_response(200, id, ""));
    }
    assert!(connections[0] != connections[1]);
    (connections, harness.server_connections[&connections[0]])
}

/// Tells the node that all servers have left the list.
fn remove_all_servers(harness: &mut Harness) {
    let (name_service, query) = harness.list_queries.last().unwrap().clone();
    let answer = dns::list(&query, 9, &[], "started=0");
    harness.node.name_service_datagram(name_service, &answer, harness.now);
    harness.perform_actions();
}

/// Advances the time until both sessions have been released; returns for how long that took.
fn time_to_releases(harness: &mut Harness, silent: &[ConnectionId]) -> f64 {
    let from = harness.now;
    let mut released = 0;
    while released < 2 && harness.now - from <= RELEASE_LIMIT {
        harness.advance(20.0);
        released += std::iter::from_fn(|| harness.take_written("cause=41")).count();
        harness.serve(0.1, silent);
    }
    harness.now - from
}

/// Guards against sessions that are never released: a machine vanishes and leaves the list, and a new server gets its
/// address. What that one answers was taken for a sign of life of the old one.
#[test]
fn sessions_of_a_vanished_server_are_released_though_its_address_is_used_again() {
    let mut harness = Harness::new();
    let (old, address) = start_two_sessions(&mut harness);
    harness.serve(LIST_DELAY, &old);
    remove_all_servers(&mut harness);
    harness.connect_times.clear();
    // The new machine resets what comes in on a connection that it doesn't know.
    harness.close(old[0], ConnectionEnd::Closed);
    let took = time_to_releases(&mut harness, &old);
    assert!(LIST_DELAY + took <= RELEASE_LIMIT, "{took} ms after the list");
    assert!(harness.connect_times.iter().all(|(.., to)| *to != address), "{:?}", harness.connect_times);
}

/// The new server answers at the address before the list tells that the old one has gone.
#[test]
fn answers_on_a_new_connection_keep_no_session_of_a_removed_server() {
    let mut harness = Harness::new();
    let (old, _) = start_two_sessions(&mut harness);
    harness.serve(1_000.0, &old);
    // The first connection is reset, and the new server accepts the one that takes its place.
    harness.close(old[0], ConnectionEnd::Closed);
    harness.serve(LIST_DELAY - 1_000.0, &old);
    remove_all_servers(&mut harness);
    let took = time_to_releases(&mut harness, &old);
    assert!(LIST_DELAY + took <= RELEASE_LIMIT, "{took} ms after the list");
}

/// Guards against a SETUP to a server that has left the list: it was held back for unread data of its viewer meanwhile.
#[test]
fn setup_held_back_for_unread_data_is_not_sent_to_a_removed_server() {
    let mut harness = Harness::new();
    let (viewer, _) = harness.start_session(1);
    harness.advance(500.0);
    harness.unread_viewers.push(viewer);
    harness.receive(viewer, &setup_request(2, ""));
    harness.answer_probes();
    harness.advance(20.0);
    assert_eq!(harness.take_written("SETUP"), None, "it is held back");
    remove_all_servers(&mut harness);
    harness.unread_viewers.clear();
    harness.advance(20.0);
    assert!(!harness.written.iter().any(|(_, text)| text.starts_with("SETUP")), "{:?}", harness.written);
}
