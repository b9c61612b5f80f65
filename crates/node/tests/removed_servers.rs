//! Sessions on servers that have left the list: their addresses may belong to other servers.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
#[allow(dead_code)]
mod support;

use std::net::SocketAddr;
use support::{release_request, setup_request, setup_response, Harness};
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

/// Guards against a session that plays on and is told as cut, and may then run twice: a new server came up at the address of
/// one that had gone, before the list told of it, and what it accepted was taken for the old one's.
#[test]
fn session_that_a_new_server_accepted_before_it_was_listed_is_its_own() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    let for_one_server = |id| setup_request(id, "").replace("copies:2", "copies:1");
    harness.receive(viewer, &for_one_server(1));
    let (old, _) = harness.await_setup(1);
    harness.receive(old, &setup_response(200, 1, ""));
    let address = harness.server_connections[&old];
    let std::net::IpAddr::V4(ip) = address.ip() else { panic!("{address}") };
    harness.serve(1_500.0, &[]);
    harness.connect_at_once = false;
    harness.close(old, ConnectionEnd::Closed);
    let new = harness.connecting.pop().expect("a connection in place of the lost one");
    let started = format!("started={}", harness.now);
    harness.node.server_connected(new, harness.now);
    harness.perform_actions();
    harness.connect_at_once = true;
    harness.receive(viewer, &for_one_server(2));
    assert_eq!(harness.await_setup(2).0, new);
    harness.receive(new, &setup_response(200, 2, ""));
    harness.receive(viewer, &for_one_server(3));
    assert_eq!(harness.await_setup(3).0, new);
    harness.serve(500.0, &[new]);
    let (name_service, query) = harness.list_queries.last().unwrap().clone();
    let server = ("s-0000000a.depot-a.hosts", ip.octets(), address.port());
    harness.node.name_service_datagram(name_service, &dns::list(&query, 9, &[server], &started), harness.now);
    harness.perform_actions();
    let (_, cut) = harness.take_written("cause=41").unwrap();
    assert!(cut.contains("Session: 0000000000000001"), "the old server's session is over: {cut}");
    harness.receive(new, &setup_response(200, 3, "c=3"));
    assert_eq!(harness.take_written("c=3").unwrap().0, viewer);
    // The new server closes its connection as idle.
    harness.close(new, ConnectionEnd::Closed);
    harness.serve(1_000.0, &[]);
    assert_eq!(harness.take_written("cause=41"), None);
    let newest = *harness.server_connections.keys().last().expect("a connection to the new server");
    for id in [2, 3] {
        harness.receive(newest, &release_request(id, 16));
        assert_eq!(harness.take_written("cause=16").unwrap().0, viewer);
    }
}
