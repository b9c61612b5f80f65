//! Tests of a node's core, without sockets and with simulated time.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
#[allow(dead_code)]
mod support;

use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{
    configuration_with_peers, release_request, server_status, setup_request, setup_response, withdrawal,
    Harness, CONFIGURATION, PEER,
};
use test_case::test_case;
use walnutline_node::actions::{ConnectionEnd, ConnectionId};
use walnutline_node::limits;

#[test]
fn session_is_set_up_and_released() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, "a=1\r\n"));
    let (server, setup) = harness.await_setup(1);
    assert!(setup.contains("Rate-Step: ") && setup.ends_with("\r\n\r\na=1\r\n"), "{setup}");
    harness.receive(server, &setup_response(200, 1, "b=2\r\n"));
    assert_eq!(harness.take_written("b=2").unwrap().0, viewer);
    harness.receive(server, &release_request(1, 16));
    let (conn, teardown) = harness.take_written("cause=16").unwrap();
    assert!(
        conn == viewer && teardown.starts_with("TEARDOWN") && teardown.contains("Session: 0000000000000001"),
        "{teardown}"
    );
    // Servers repeat a release on the next connection; the viewer gets it once.
    harness.receive(server, &release_request(1, 16));
    assert_eq!(harness.take_written("cause=16"), None);
}

/// Guards against two failures at hand-over: the session is refused for its wait limit of 71 minutes, or its
/// rung, which the server reports before the session arrives, is lost.
#[test]
fn session_handed_over_keeps_its_rung_and_is_released() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    let handed_over =
        |id| setup_request(id, "").replace("1500", "4294967").replace("top:4;", "top:4;at:s-00000001;");
    assert!(harness.server_connections.is_empty(), "connections are opened only when needed");
    harness.receive(viewer, &handed_over(8));
    let server = *harness.server_connections.iter().next().unwrap().0;
    let announce =
        "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: 0000000000000009\r\nX-Why: profile\r\n\
                Figure: 3\r\nContent-Length: 0\r\n\r\n";
    harness.receive(server, announce);
    harness.receive(viewer, &handed_over(9));
    assert_eq!(harness.take_written("RTSP/1.0 4"), None, "ANNOUNCE is not answered");
    let sessions: Vec<(u8, bool)> =
        harness.node.engine.session_table.sessions.values().map(|s| (s.rung, s.playing)).collect();
    assert_eq!(sessions, [(0, true), (3, true)]);
    harness.receive(server, &release_request(9, 16));
    assert_eq!(harness.take_written("cause=16").unwrap().0, viewer);
}

/// Guards against memory and decisions that grow without end: a client hands over ever new sessions that no server plays.
#[test]
fn no_more_sessions_are_handed_over_than_a_server_can_play() {
    /// Streams of a server of the fastest kind in the configuration.
    const MAX_STREAMS: u64 = 35;
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    for id in 1..=2 * MAX_STREAMS {
        let handed_over = setup_request(id, "").replace("top:4;", "top:4;at:s-00000001;");
        harness.receive(viewer, &handed_over);
        let refused = harness.take_written("RTSP/1.0 400").is_some();
        assert!(id > MAX_STREAMS || !refused, "{id}");
    }
    let sessions = harness.node.engine.session_table.sessions.len() as u64;
    assert!(sessions <= MAX_STREAMS, "{sessions} sessions");
}

#[test_case("X-Call-Class: board-loop", "X-Call-Class: nobody" ; "unknown class")]
#[test_case("home:0", "home:12" ; "home cell out of range")]
#[test_case("copies:2", "copies:0" ; "no copies")]
#[test_case("top:4", "top:5" ; "rung out of range")]
#[test_case("X-Ring-Limit: 1500", "X-Ring-Limit: 99999999" ; "wait limit out of range")]
fn invalid_setup_is_refused_and_the_connection_stays_usable(valid: &str, invalid: &str) {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, "").replace(valid, invalid));
    let (_, refusal) = harness.take_written("RTSP/1.0 400").unwrap();
    assert!(refusal.contains("Session: 0000000000000001"), "{refusal}");
    harness.receive(viewer, &setup_request(2, ""));
    harness.await_setup(2);
    assert!(harness.closed.is_empty());
}

/// A second viewer uses the id of an open request with another description. The refusal carries no session
/// id, so that it cannot be taken for an answer to the open request.
#[test]
fn duplicate_id_is_refused_without_disturbing_the_open_request() {
    let mut harness = Harness::new();
    let (first, second) = (harness.accept_viewer(), harness.accept_viewer());
    harness.receive(first, &setup_request(1, "a=1\r\n"));
    harness.receive(second, &setup_request(1, "a=2\r\n"));
    let (conn, refusal) = harness.take_written("RTSP/1.0 400").unwrap();
    assert!(conn == second && !refusal.contains("Session"), "{refusal}");
    harness.receive(second, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000001\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(harness.take_written("RTSP/1.0 454").unwrap().0, second);
    let (server, setup) = harness.await_setup(1);
    assert!(setup.ends_with("a=1\r\n"));
    harness.receive(server, &setup_response(200, 1, "b=2\r\n"));
    assert_eq!(harness.take_written("b=2").unwrap().0, first);
}

/// Guards against requests that are never answered: at the limit of connections, viewers were closed for clients that
/// bring nothing but unsound requests, as these are always in the middle of the next one.
#[test]
fn viewer_is_not_closed_for_room_while_others_bring_unsound_requests() {
    let mut harness = Harness::new();
    let (viewer, _) = harness.start_session(1);
    harness.closed.clear();
    let unsound = setup_request(9, "").replace("board-loop", "nobody");
    for _ in 0..2 * harness.node.max_viewer_connections() {
        let client = harness.accept_viewer();
        harness.receive(client, &(unsound.clone() + &unsound[..unsound.len() / 2]));
        harness.unread_viewers.push(client);
        harness.advance(1.0);
    }
    assert!(!harness.closed.is_empty() && !harness.closed.contains(&viewer));
}

/// Guards against requests that are never answered: at the limit of connections, viewers were closed while others that had
/// left, with much of what they had sent unread, were kept.
#[test]
fn viewer_is_not_closed_for_room_while_others_have_left() {
    let mut harness = Harness::new();
    let (viewer, _) = harness.start_session(1);
    harness.closed.clear();
    let refused = setup_request(9, "").replace("home:0", "home:5");
    for _ in 0..2 * harness.node.max_viewer_connections() {
        let client = harness.accept_viewer();
        harness.receive(client, &refused);
        harness.unread_viewers.push(client);
        harness.node.viewer_left(client, harness.now);
        harness.advance(1.0);
    }
    assert!(!harness.closed.is_empty() && !harness.closed.contains(&viewer));
}

#[test]
fn setups_beyond_the_limit_of_a_connection_are_refused() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    let flood: String =
        (1..=limits::MAX_OPEN_SETUPS_PER_VIEWER as u64 + 5).map(|id| setup_request(id, "")).collect();
    harness.receive(viewer, &flood);
    let refused =
        harness.written.iter().filter(|(c, t)| *c == viewer && t.starts_with("RTSP/1.0 503")).count();
    assert_eq!(refused, 5);
}

#[test_case(60.0; "less than a probe may take")]
#[test_case(220.0; "hardly more than a probe may take")]
fn short_wait_is_not_exceeded_by_waiting_for_a_probe(wait_ms: f64) {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    let limit = format!("X-Ring-Limit: {wait_ms}");
    harness.receive(viewer, &setup_request(1, "").replace("X-Ring-Limit: 1500", &limit));
    harness.advance(wait_ms);
    assert!(harness.take_written("RTSP/1.0 503").is_some(), "{:?}", harness.written);
}

/// Each of 100 ids is sent twice, with different descriptions, and then cancelled.
#[test]
fn cancelled_setups_leave_no_state() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    let requests: String =
        (1..=100).map(|id| setup_request(id, "a\r\n") + &setup_request(id, "b\r\n")).collect();
    harness.receive(viewer, &requests);
    assert_eq!(harness.written.iter().filter(|(_, t)| t.starts_with("RTSP/1.0 400")).count(), 100);
    harness.advance(30.0);
    let teardowns: String = (1..=100).map(withdrawal).collect();
    harness.receive(viewer, &teardowns);
    assert_eq!(harness.node.engine.session_table.sessions.len(), 0);
    harness.written.clear();
    harness.advance(1_000.0);
    assert_eq!(harness.take_written("SETUP"), None);
}

/// A SETUP that timed out is cancelled before the next one is written. When its server accepts it all the
/// same, that session is released.
#[test]
fn late_success_response_is_released_at_once() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, ""));
    let (first, _) = harness.await_setup(1);
    let (second, _) = harness.await_setup(1);
    let cancelled = harness.written.iter().position(|(c, t)| *c == first && t.starts_with("TEARDOWN"));
    assert!(cancelled.is_some(), "{:?}", harness.written);
    harness.written.clear();
    harness.receive(first, &setup_response(200, 1, "late\r\n"));
    assert_eq!(harness.take_written("late"), None);
    assert_eq!(harness.take_written("cause=31").unwrap().0, first);
    harness.receive(second, &setup_response(200, 1, "good\r\n"));
    assert_eq!(harness.take_written("good").unwrap().0, viewer);
    assert_eq!(harness.take_written("cause="), None);
}

/// A retry at the only eligible server uses another connection, so that a late response to the first SETUP
/// cannot be taken for the response to the retry.
#[test]
fn late_response_to_an_earlier_setup_is_not_taken_for_the_retry() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, "").replace("copies:2", "copies:1"));
    let (first, _) = harness.await_setup(1);
    harness.receive(first, &setup_response(500, 1, ""));
    let (second, _) = harness.await_setup(1);
    harness.receive(first, &setup_response(200, 1, "late\r\n"));
    assert_eq!(harness.take_written("late"), None);
    harness.receive(second, &setup_response(200, 1, "own\r\n"));
    assert_eq!(harness.take_written("own").unwrap().0, viewer);
}

#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\nContent-Length: 2\r\n\r\nb=2\r\n" ; "length too short")]
#[test_case("\u{7f}\u{3}noise\r\n\r\n" ; "not RTSP")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 3000000000\r\n\r\nb=2" ; "content length of 3 GB")]
fn malformed_response_is_dropped_and_another_server_is_tried(malformed: &str) {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, ""));
    let (first, _) = harness.await_setup(1);
    let address = harness.server_connections[&first];
    harness.receive(first, malformed);
    assert!(harness.closed.contains(&first));
    assert_eq!(harness.take_written("b=2"), None);
    let (second, _) = harness.await_setup(1);
    assert_ne!(harness.server_connections[&second], address);
    harness.receive(second, &setup_response(200, 1, "good\r\n"));
    assert_eq!(harness.take_written("good").unwrap().0, viewer);
}

#[test]
fn responses_for_unknown_or_answered_ids_are_ignored() {
    let mut harness = Harness::new();
    let (_, server) = harness.start_session(1);
    harness.written.clear();
    for id in [1, 77] {
        harness.receive(server, &setup_response(200, id, "again\r\n"));
        harness.receive(server, &setup_response(500, id, ""));
    }
    assert_eq!(harness.take_written("again"), None);
    harness.receive(server, &release_request(1, 16));
    assert!(harness.take_written("cause=16").is_some());
}

/// When a server process dies, its connections are reset and further ones are refused; only the refusal
/// proves the death.
#[test]
fn refused_reconnect_releases_sessions_and_a_reset_alone_does_not() {
    let mut harness = Harness::new();
    let (viewer, server) = harness.start_session(1);
    harness.connect_at_once = false;
    harness.close(server, ConnectionEnd::Closed);
    assert_eq!(harness.take_written("cause="), None, "a reset alone does not prove that the process died");
    let reconnected = harness.connecting.pop().expect("a connection on which releases can arrive");
    harness.node.server_connected(reconnected, harness.now);
    harness.perform_actions();
    harness.close(reconnected, ConnectionEnd::Closed);
    let refused = harness.connecting.pop().unwrap();
    harness.close(refused, ConnectionEnd::Refused);
    assert_eq!(harness.take_written("cause=41").unwrap().0, viewer);
}

/// A server that refuses one more connection is not dead while another connection to it is open.
#[test]
fn refused_extra_connection_releases_no_session() {
    let mut harness = Harness::new();
    let (_, server) = harness.start_session(1);
    harness.connect_at_once = false;
    let existing = harness
        .server_connections
        .iter()
        .find(|(c, a)| **c != server && **a == harness.server_connections[&server])
        .map(|(c, _)| *c);
    let extra = existing.unwrap_or_else(|| {
        // While a SETUP is open on the only connection, the next one opens another.
        let viewer = harness.accept_viewer();
        (2..9).for_each(|id| harness.receive(viewer, &setup_request(id, "")));
        harness.advance(210.0);
        *harness
            .connecting
            .iter()
            .find(|c| harness.server_connections[c] == harness.server_connections[&server])
            .expect("an extra connection")
    });
    harness.close(extra, ConnectionEnd::Refused);
    assert_eq!(harness.take_written("cause=41"), None);
    harness.receive(server, &release_request(1, 16));
    assert!(harness.take_written("cause=16").is_some());
}

/// Pings cost as much as probes. Guards against every node of a fleet pinging each server every 2 s.
#[test]
fn silent_server_is_pinged_only_after_the_silence_limit() {
    let mut harness = Harness::new();
    let (_, server) = harness.start_session(1);
    harness.advance(3_700.0);
    assert_eq!(harness.take_written("rtsp://media/ping"), None);
    harness.advance(800.0);
    assert_eq!(harness.take_written("rtsp://media/ping").unwrap().0, server);
}

#[test]
fn sessions_of_an_unresponsive_server_are_released_within_8_s() {
    let mut harness = Harness::new();
    let (_, server) = harness.start_session(1);
    let address = harness.server_connections[&server];
    harness.connect_at_once = false;
    for _ in 0..80 {
        harness.advance(100.0);
        // All other servers answer.
        let written = std::mem::take(&mut harness.written);
        for (conn, text) in written {
            if text.contains("cause=41") {
                return;
            }
            if text.starts_with("OPTIONS")
                && harness.server_connections.get(&conn).is_some_and(|a| *a != address)
            {
                let session_header = text.lines().find(|l| l.starts_with("Session")).unwrap();
                harness.receive(
                    conn,
                    &format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\n{session_header}\r\nContent-Length: 0\r\n\r\n"),
                );
            }
        }
    }
    panic!("session not released within 8 s");
}

/// Data on a connection from before a presumed death proves the same process alive, unless it comes so soon
/// that it may have been in transit. So does a connection that is established right after a reset, as no
/// process restarts that fast; one that is established later may lead to a new process.
#[test]
fn later_data_or_a_quick_reconnect_proves_a_server_alive() {
    let mut harness = Harness::new();
    harness.connect_at_once = false;
    let (viewer, server) = {
        let viewer = harness.accept_viewer();
        harness.receive(viewer, &setup_request(1, "").replace("copies:2", "copies:1"));
        harness.advance(10.0);
        let conn = harness.connecting.pop().unwrap();
        harness.node.server_connected(conn, harness.now);
        harness.await_setup(1);
        harness.receive(conn, &setup_response(200, 1, ""));
        (viewer, conn)
    };
    let id = *harness.node.engine.state.fleet.servers.keys().next().unwrap();
    let announce =
        "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: 0000000000000001\r\nX-Why: quality\r\n\
                Figure: 1\r\nContent-Length: 0\r\n\r\n";
    let presumed_dead = |harness: &mut Harness| {
        harness.node.engine.state.fleet.servers.get_mut(&id).unwrap().died_at.is_some()
    };
    // The server is silent long enough for a new connection to be tried, which fails.
    harness.advance(limits::PING_AFTER_SILENCE + limits::PING_TIMEOUT + 400.0);
    let second = harness.connecting.pop().expect("a new connection");
    harness.node.engine.state.fleet.servers.get_mut(&id).unwrap().died_at = Some(harness.now);
    harness.close(second, ConnectionEnd::Closed);
    harness.receive(server, announce);
    assert!(presumed_dead(&mut harness), "the data may have been in transit");
    harness.advance(limits::MAX_DELIVERY_DELAY * 2.0);
    harness.receive(server, announce);
    assert!(!presumed_dead(&mut harness), "the same process sent the data");
    // The connection is reset, and a new one is established at once.
    harness.receive(viewer, &setup_request(2, "").replace("copies:2", "copies:1"));
    harness.await_setup(2);
    harness.receive(server, &setup_response(200, 2, ""));
    harness.close(server, ConnectionEnd::Closed);
    harness.node.engine.state.fleet.servers.get_mut(&id).unwrap().died_at = Some(harness.now);
    let reconnected = harness.connecting.pop().expect("a new connection");
    harness.node.server_connected(reconnected, harness.now);
    assert!(!presumed_dead(&mut harness), "no process restarts at once");
}

/// The budget of a cold server is divided by the number of nodes. Guards against too large a share where the
/// settings state fewer nodes than there are peers, or none.
#[test]
fn front_count_is_the_larger_of_settings_and_peer_list() {
    let front_count =
        |document: &str| Harness::with_configuration(document).node.engine.state.settings.front_count;
    let peers: Vec<String> = (1..=30).map(|n| format!("\"127.0.0.{n}:7946\"")).collect();
    let with_30_peers = configuration_with_peers().replace(&format!("\"{PEER}\""), &peers.join(","));
    assert_eq!((front_count(CONFIGURATION), front_count(&configuration_with_peers())), (2, 2));
    assert_eq!(front_count(&with_30_peers), 30);
    assert_eq!(front_count(&with_30_peers.replace("\"balancers\":2,", "")), 30);
    assert_eq!(front_count(&with_30_peers.replace("\"balancers\":2,", "\"balancers\":40,")), 40);
}

/// Guards against taking a new, cold process for the old one because it has already answered another node.
#[test]
fn peer_report_does_not_prove_a_server_alive() {
    use walnutline_platform::peers::encode;
    let mut harness = Harness::with_configuration(&configuration_with_peers());
    let (_, server) = harness.start_session(1);
    harness.connect_at_once = false;
    let id = *harness.node.engine.state.fleet.servers.keys().next().unwrap();
    harness.advance(limits::MIN_PROCESS_RESTART_TIME * 1.5);
    harness.close(server, ConnectionEnd::Closed);
    harness.node.engine.state.fleet.servers.get_mut(&id).unwrap().died_at = Some(harness.now);
    harness.advance(50.0);
    harness.node.peer_datagram(
        PEER.parse().unwrap(),
        &encode(&[server_status("s-00000001"), server_status("s-00000002")]),
        harness.now,
    );
    harness.perform_actions();
    let reconnected = harness.connecting.pop().expect("a new connection");
    harness.node.server_connected(reconnected, harness.now);
    assert!(harness.node.engine.state.fleet.servers[&id].died_at.is_some());
}

/// Guards against 300 nodes pinging each server every 2 s: ten pings for each probe under low load.
#[test]
fn server_reported_by_a_peer_is_not_pinged() {
    use walnutline_platform::peers::encode;
    let (peer, stranger) = (PEER.parse().unwrap(), "127.0.0.4:7946".parse().unwrap());
    let datagram =
        encode(&[server_status("s-00000001"), server_status("s-00000002"), server_status("nobody")]);
    for (from, pinged) in [(peer, false), (stranger, true)] {
        let mut harness = Harness::with_configuration(&configuration_with_peers());
        harness.start_session(1);
        harness.written.clear();
        for _ in 0..8 {
            harness.advance(500.0);
            harness.node.peer_datagram(from, &datagram, harness.now);
            harness.node.peer_datagram(from, &datagram[..datagram.len() - 1], harness.now);
            harness.perform_actions();
        }
        assert_eq!(harness.take_written("rtsp://media/ping").is_some(), pinged, "{from}");
        let reported = harness
            .node
            .engine
            .state
            .fleet
            .servers
            .values()
            .filter(|s| s.link_use.is_some_and(|l| l.value > 0.4));
        assert_eq!(reported.count(), if pinged { 0 } else { 2 }, "{from}");
    }
}

/// The kernel still accepts connections for a stalled process, which answers nothing. Its sessions are kept,
/// and repeated pings do not accumulate connections.
#[test]
fn stalled_server_keeps_its_sessions_and_connections_stay_bounded() {
    let mut harness = Harness::new();
    let (_, server) = harness.start_session(1);
    let address = harness.server_connections[&server];
    harness.advance(30_000.0);
    assert_eq!(harness.take_written("cause=41"), None);
    let open = harness.server_connections.values().filter(|a| **a == address).count();
    assert!(open <= limits::MAX_CONNECTIONS_PER_SERVER, "{open} connections");
}

/// A server repeats what may have been lost on the next connection that is opened. Guards against closing
/// that connection, opened to check on a silent server, in place of an older one.
#[test]
fn newest_connection_to_a_silent_server_is_kept() {
    let mut harness = Harness::new();
    let (viewer, server) = harness.start_session(1);
    let address = harness.server_connections[&server];
    let mut newest = server;
    for _ in 0..2 * limits::MAX_CONNECTIONS_PER_SERVER {
        harness.advance(limits::PING_AFTER_SILENCE);
        let connections = harness.server_connections.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c);
        newest = connections.max().unwrap();
    }
    assert!(newest.0 > server.0 + limits::MAX_CONNECTIONS_PER_SERVER as u64 - 1, "{newest:?}");
    let end = harness.now + 4.0 * limits::PING_AFTER_SILENCE;
    while harness.server_connections.contains_key(&newest) && harness.now < end {
        let latest =
            harness.server_connections.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c).max().unwrap();
        assert_eq!(
            harness.closed.iter().filter(|c| **c == latest).count(),
            0,
            "the newest connection was closed"
        );
        harness.advance(250.0);
    }
    let latest =
        harness.server_connections.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c).max().unwrap();
    harness.receive(latest, &release_request(1, 16));
    assert_eq!(harness.take_written("cause=16").unwrap().0, viewer);
}

#[test]
fn release_is_sent_on_the_next_connection_that_brings_a_setup() {
    let mut harness = Harness::new();
    let (viewer, server) = harness.start_session(1);
    harness.close(viewer, ConnectionEnd::Closed);
    harness.receive(server, &release_request(1, 16));
    assert_eq!(harness.take_written("cause=16"), None);
    let silent = harness.accept_viewer();
    let next = harness.accept_viewer();
    harness.receive(next, &setup_request(2, ""));
    assert_eq!(harness.take_written("cause=16").unwrap().0, next);
    assert_ne!(silent, next);
}

#[test]
fn silent_and_incomplete_connections_are_closed_within_3_s() {
    let mut harness = Harness::new();
    let (silent, incomplete, good) =
        (harness.accept_viewer(), harness.accept_viewer(), harness.accept_viewer());
    harness.receive(incomplete, "SETUP rtsp://media/");
    harness.receive(good, &setup_request(1, ""));
    harness.advance(2_600.0);
    assert!(
        harness.closed.contains(&silent)
            && harness.closed.contains(&incomplete)
            && !harness.closed.contains(&good)
    );
}

/// Guards against closing idle connections of viewers: a SETUP that crosses the close is lost.
#[test]
fn idle_viewer_connection_stays_open() {
    let mut harness = Harness::new();
    let (viewer, server) = harness.start_session(1);
    harness.receive(server, &release_request(1, 16));
    harness.advance(60_000.0);
    assert!(!harness.closed.contains(&viewer));
    harness.receive(viewer, &setup_request(2, ""));
    harness.await_setup(2);
}

/// A new viewer at the limit replaces a connection that has not sent a SETUP.
#[test]
fn silent_connection_is_closed_first_at_the_limit() {
    let mut harness = Harness::new();
    let good = harness.accept_viewer();
    harness.receive(good, &setup_request(1, ""));
    for _ in 1..harness.node.max_viewer_connections() {
        harness.accept_viewer();
    }
    assert!(harness.closed.is_empty());
    harness.accept_viewer();
    assert_eq!(harness.closed.len(), 1);
    assert_ne!(harness.closed[0], good);
}

#[test]
fn stopping_node_answers_new_requests_and_exits() {
    let mut harness = Harness::new();
    harness.node.stop(harness.now);
    harness.advance(500.0);
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, ""));
    let (server, _) = harness.await_setup(1);
    harness.node.stop(harness.now);
    harness.advance(250.0);
    assert!(!harness.exited, "a request is still open");
    harness.receive(server, &setup_response(200, 1, "good\r\n"));
    assert!(harness.take_written("good").is_some());
    harness.receive(server, &release_request(1, 16));
    harness.advance(500.0);
    assert!(harness.exited);
}

#[test]
fn stopping_node_logs_the_events_of_each_request() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, ""));
    let (server, _) = harness.await_setup(1);
    assert!(harness.request_lines.is_empty(), "{:?}", harness.request_lines);
    harness.node.stop(harness.now);
    harness.receive(server, &setup_response(500, 1, ""));
    let (server, _) = harness.await_setup(1);
    harness.receive(server, &setup_response(200, 1, "good\r\n"));
    for text in ["pending at stop", "setup 1 ended", "setup 2 starts server=s-0000", "answered status=200"] {
        assert!(
            harness.request_lines.iter().any(|l| l.contains(text)),
            "{text}: {:?}",
            harness.request_lines
        );
    }
}

/// Guards against an exit that waits for the next sweep: the kill follows 250 ms after the exit is due, and
/// draining takes part of that time.
#[test]
fn stopping_node_exits_on_time() {
    let mut harness = Harness::new();
    harness.start_session(1);
    // Out of phase with the sweep every 250 ms.
    harness.advance(130.0);
    harness.node.stop(harness.now);
    harness.advance(limits::MAX_SHUTDOWN_WAIT + limits::SHUTDOWN_SESSION_GRACE - 1.0);
    assert!(!harness.exited);
    harness.advance(limits::SHUTDOWN_CHECK_INTERVAL + 2.0);
    assert!(harness.exited);
}

/// A viewer ends its session while the server is unreachable. The release is sent on the next connection that
/// is opened for another reason; connections are not opened repeatedly for the release alone.
#[test]
fn release_for_an_unreachable_server_waits_for_the_next_connection() {
    let mut harness = Harness::new();
    let (viewer, server) = harness.start_session(1);
    let address = harness.server_connections[&server];
    harness.receive(viewer, &release_request(1, 31));
    harness.connect_at_once = false;
    let connections: Vec<ConnectionId> =
        harness.server_connections.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c).collect();
    connections.into_iter().for_each(|conn| harness.close(conn, ConnectionEnd::Closed));
    let mut attempts = 0;
    for _ in 0..40 {
        while let Some(conn) = harness.connecting.pop() {
            attempts += 1;
            harness.close(conn, ConnectionEnd::Closed);
        }
        harness.advance(250.0);
    }
    assert!((1..=2).contains(&attempts), "{attempts} connections");
    harness.written.clear();
    harness.connect_at_once = true;
    for id in 2..12 {
        harness.receive(viewer, &setup_request(id, ""));
        harness.await_setup(id);
    }
    let release = harness.take_written("Session: 0000000000000001").expect("the release is sent");
    assert!(
        release.1.starts_with("TEARDOWN") && harness.server_connections[&release.0] == address,
        "{release:?}"
    );
}

/// A SETUP is held back because of unread data from its viewer, who meanwhile repeats the request on a second
/// connection and closes the first. The SETUP is sent for the second connection.
#[test]
fn held_setup_is_sent_for_the_connection_that_repeated_the_request() {
    let mut harness = Harness::new();
    // The load reports are recent, so that no probe delays the SETUP.
    let (second, _) = harness.start_session(9);
    let first = harness.accept_viewer();
    harness.unread_viewers.push(first);
    harness.receive(first, &setup_request(1, "a=1\r\n"));
    harness.advance(20.0);
    assert_eq!(harness.take_written("SETUP"), None);
    harness.receive(second, &setup_request(1, "a=1\r\n"));
    harness.unread_viewers.clear();
    harness.closed_viewers.push(first);
    harness.advance(5.0);
    let (server, setup) = harness.take_written("SETUP").expect("the SETUP is sent");
    assert!(setup.contains("Session: 0000000000000001"), "{setup}");
    harness.receive(server, &setup_response(200, 1, "b=2\r\n"));
    assert_eq!(harness.take_written("b=2").unwrap().0, second);
}

/// A lack of descriptors in this process is not a failure of the server: it is neither excluded nor presumed
/// dead.
#[test]
fn local_connect_failure_does_not_count_against_the_server() {
    let mut harness = Harness::new();
    harness.connect_at_once = false;
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, ""));
    for _ in 0..20 {
        while let Some(conn) = harness.connecting.pop() {
            harness.close(conn, ConnectionEnd::Unopened);
        }
        harness.advance(20.0);
    }
    assert!(harness.take_written("RTSP/1.0 503").is_some(), "{:?}", harness.written);
    let servers = &harness.node.engine.state.fleet.servers;
    assert!(servers.values().all(|s| s.failures == 0 && s.died_at.is_none()), "{servers:?}");
}

/// A server that does not read gets no SETUP queued behind the backlog; another server is tried.
#[test]
fn setup_for_a_blocked_connection_goes_to_another_server() {
    let mut harness = Harness::new();
    let (viewer, server) = harness.start_session(1);
    let address = harness.server_connections[&server];
    harness.blocked_connections =
        harness.server_connections.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c).collect();
    for id in 2..9 {
        harness.receive(viewer, &setup_request(id, ""));
        let (conn, _) = harness.await_setup(id);
        assert!(!harness.blocked_connections.contains(&conn));
        harness.receive(conn, &setup_response(200, id, "b=2\r\n"));
    }
}

/// A zone's index is free once no server is left in the zone. Guards against a table of zone names that grows
/// without bound.
#[test]
fn zone_indexes_are_reused() {
    let mut harness = Harness::new();
    let zone_names = ["a", "b", "c", "d", "e", "f"];
    let mut zone_indexes = std::collections::BTreeSet::new();
    for n in 0..60u32 {
        harness.advance(LIST_QUERY_INTERVAL_MS);
        let target = format!("s-{:08x}.{}{n}.hosts", 100 + n, zone_names[n as usize % 6]);
        let answer = list_answer(&harness, 10 + n, Some((&target, [127, 0, 0, 1], 5_061)));
        let name_service = harness.list_queries.last().unwrap().0;
        harness.node.name_service_datagram(name_service, &answer, harness.now);
        harness.perform_actions();
        harness.advance(limits::SWEEP_INTERVAL * 2.0);
        zone_indexes.extend(harness.node.engine.state.fleet.servers.values().map(|s| s.entry.zone.0));
    }
    assert!(zone_indexes.len() <= 4, "{zone_indexes:?}");
}

/// Playing sessions are kept as long as the platform allows: for the longest wait of a viewer, at most 3 s.
#[test]
fn stopping_node_exits_before_the_kill_while_sessions_play() {
    let mut harness =
        Harness::with_configuration(&CONFIGURATION.replace("\"hard_limit\":3000.0", "\"hard_limit\":1000.0"));
    harness.start_session(1);
    harness.node.stop(harness.now);
    harness.advance(1_300.0);
    assert!(!harness.exited);
    harness.advance(399.0);
    assert!(harness.exited);
}

/// When sockets are scarce, a server that has a connection gets no second one, and a server without gets its
/// first.
#[test]
fn total_server_connections_are_bounded() {
    let mut harness =
        Harness::with_configuration(&CONFIGURATION.replace("\"sockets\":256", "\"sockets\":40"));
    let viewer = harness.accept_viewer();
    let flood: String = (1..=30).map(|id| setup_request(id, "")).collect();
    harness.receive(viewer, &flood);
    for id in 1..=30 {
        harness.await_setup(id);
    }
    assert!(harness.server_connections.len() <= 4, "{} connections", harness.server_connections.len());
}

/// The largest required fleet with the smallest descriptor limit: 1,024 servers with sessions on each.
#[test]
fn more_servers_than_descriptors_share_the_connections() {
    let instance = |n: usize| {
        format!("{{\"instanceId\":\"s-{n:08x}\",\"hostPort\":\"10.1.{}.{}:5060\",\"zone\":\"z-{n}\",\"machineType\":\"box-3c\",\
             \"cell\":{},\"lifecycle\":\"Ready\",\"weight\":3,\"startedAtMs\":0}}", n / 256, n % 256, n % 12)
    };
    let instances: Vec<String> = (0..1_024).map(instance).collect();
    let known = format!(
        "\"known\":{{\"no\":1,\"items\":[{{\"no\":1,\"roster\":{{\"reset\":true,\"instances\":[{}]}}}}]}}",
        instances.join(",")
    );
    let (head, rest) = CONFIGURATION.split_once("\"known\"").unwrap();
    let document = format!("{head}{known},\"settings\"{}", rest.split_once("\"settings\"").unwrap().1);
    let mut harness = Harness::with_configuration(&document);
    let max_connections = 256 - limits::RESERVED_DESCRIPTORS - harness.node.max_viewer_connections();
    assert!(
        harness.node.max_viewer_connections() >= 256 / 3,
        "a third of the descriptors is kept for viewers"
    );
    let viewer = harness.accept_viewer();
    let mut opened = std::collections::BTreeSet::new();
    let mut count_opened = |harness: &Harness| {
        assert!(
            harness.server_connections.len() <= max_connections,
            "{} connections",
            harness.server_connections.len()
        );
        opened.extend(harness.server_connections.values().copied());
        opened.len()
    };
    for n in 0..1_024 {
        let destination = format!("top:4;at:s-{n:08x};");
        harness.receive(
            viewer,
            &setup_request(10_000 + n, "").replace("1500", "4294967").replace("top:4;", &destination),
        );
        count_opened(&harness);
    }
    for id in 1..=40 {
        harness.receive(viewer, &setup_request(id, ""));
        let (server, _) = harness.await_setup(id);
        harness.receive(server, &setup_response(200, id, ""));
        count_opened(&harness);
    }
    for _ in 0..40 {
        harness.advance(200.0);
        count_opened(&harness);
    }
    assert_eq!(count_opened(&harness), 1_024, "every server was connected to within 8 s");
    let zones: std::collections::BTreeSet<_> =
        harness.node.engine.state.fleet.servers.values().map(|s| s.entry.zone).collect();
    assert_eq!(zones.len(), 1_024, "each zone that the settings do not name is a zone of its own");
}

/// Longest interval between list queries in milliseconds: short enough to learn of a drain within the grace
/// period of the test configuration.
const LIST_QUERY_INTERVAL_MS: f64 = 200.0;

fn list_answer(harness: &Harness, serial: u32, server: Option<(&str, [u8; 4], u16)>) -> Vec<u8> {
    list_answer_with_start(harness, serial, server, "started=0")
}

fn list_answer_with_start(
    harness: &Harness,
    serial: u32,
    server: Option<(&str, [u8; 4], u16)>,
    started: &str,
) -> Vec<u8> {
    dns::list(&harness.list_queries.last().unwrap().1, serial, server.as_slice(), started)
}

/// A new server at the address of a removed one does not inherit its sessions, and a removed server is
/// forgotten once it is unused.
#[test]
fn older_lists_are_ignored_and_a_reused_address_inherits_nothing() {
    let mut harness = Harness::new();
    let (viewer, server) = harness.start_session(1);
    let address = harness.server_connections[&server];
    let std::net::IpAddr::V4(ip) = address.ip() else { panic!("{address}") };
    harness.advance(LIST_QUERY_INTERVAL_MS);
    let name_service = harness.list_queries.last().unwrap().0;
    let older_list = list_answer(&harness, 2, None);
    harness.node.name_service_datagram(name_service, &older_list, harness.now);
    harness.perform_actions();
    assert_eq!(harness.node.engine.state.fleet.servers.len(), 2, "an older list is ignored");
    harness.advance(LIST_QUERY_INTERVAL_MS);
    let newer_list =
        list_answer(&harness, 9, Some(("s-0000000a.depot-a.hosts", ip.octets(), address.port())));
    harness.node.name_service_datagram("127.0.0.9:53".parse().unwrap(), &newer_list, harness.now);
    assert_eq!(harness.node.engine.state.fleet.servers.len(), 2, "an answer from another address is ignored");
    harness.node.name_service_datagram(name_service, &newer_list, harness.now);
    harness.perform_actions();
    assert_eq!(harness.take_written("cause="), None, "the old process is still connected");
    harness.close(server, ConnectionEnd::Closed);
    harness.advance(limits::SWEEP_INTERVAL * 2.0);
    while let Some(conn) = harness.server_connections.keys().next().copied().filter(|c| c.0 <= server.0) {
        harness.close(conn, ConnectionEnd::Closed);
    }
    harness.advance(limits::SWEEP_INTERVAL * 2.0);
    assert_eq!(harness.take_written("cause=41").unwrap().0, viewer);
    assert_eq!(harness.node.engine.state.fleet.servers.len(), 1, "removed servers are forgotten");
}

/// A restarted server is connected to seconds before the list reports its new start time. Guards against
/// releasing the sessions of the new process at that update, 1,700 of them when a whole zone restarts.
#[test]
fn sessions_of_a_restarted_server_survive_the_list_update() {
    let mut harness = Harness::new();
    let viewer = harness.accept_viewer();
    let handed_over =
        setup_request(1, "").replace("1500", "4294967").replace("top:4;", "top:4;at:s-00000001;");
    harness.receive(viewer, &handed_over);
    harness.advance(500.0);
    let old_connection = *harness.server_connections.keys().next().unwrap();
    harness.close(old_connection, ConnectionEnd::Closed);
    harness.receive(viewer, &setup_request(2, "").replace("copies:2", "copies:1"));
    let (new_connection, _) = harness.await_setup(2);
    harness.receive(new_connection, &setup_response(200, 2, ""));
    harness.advance(LIST_QUERY_INTERVAL_MS);
    let server = ("s-00000001.depot-a.hosts", [127, 0, 0, 1], 5061);
    let answer = list_answer_with_start(&harness, 9, Some(server), "started=1700000000450");
    harness.node.name_service_datagram(harness.list_queries.last().unwrap().0, &answer, harness.now);
    harness.perform_actions();
    assert!(
        harness.take_written("cause=41").is_some_and(|(_, t)| t.contains("Session: 0000000000000001")),
        "the session of the old process is released"
    );
    assert_eq!(harness.take_written("cause=41"), None, "the session of the new process is kept");
    assert!(!harness.closed.contains(&new_connection));
    harness.receive(new_connection, &release_request(2, 16));
    assert_eq!(harness.take_written("cause=16").unwrap().0, viewer);
}

/// A SETUP that is waiting for a connection when the list removes its server is never sent: the request is
/// placed anew at once.
#[test]
fn setup_waiting_for_a_removed_server_is_withdrawn() {
    let mut harness = Harness::new();
    harness.connect_at_once = false;
    for conn in harness.server_connections.keys().copied().collect::<Vec<_>>() {
        harness.close(conn, ConnectionEnd::Closed);
    }
    // With known loads, no server is probed first.
    for server in harness.node.engine.state.fleet.servers.keys().copied().collect::<Vec<_>>() {
        harness.node.engine.record_report(server, &[1.0, 0.2], harness.now);
    }
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, "").replace("copies:2", "copies:1"));
    let connecting = *harness.connecting.last().expect("a connection being opened");
    harness.advance(LIST_QUERY_INTERVAL_MS);
    let empty_list = list_answer(&harness, 9, None);
    let name_service = harness.list_queries.last().unwrap().0;
    harness.node.name_service_datagram(name_service, &empty_list, harness.now);
    harness.perform_actions();
    assert!(
        harness.take_written("RTSP/1.0 503").is_some_and(|(conn, _)| conn == viewer),
        "{:?}",
        harness.written
    );
    harness.node.server_connected(connecting, harness.now);
    harness.perform_actions();
    assert_eq!(harness.take_written("SETUP"), None);
}

/// Guards against a whole fleet querying the list in step after a common start.
#[test]
fn list_queries_of_nodes_started_together_are_spread() {
    let first_query_slot = |seed: u64| {
        let mut harness =
            Harness::with_configuration(&CONFIGURATION.replace("8c1f30d27a5be964", &format!("{seed:016x}")));
        let started_at = harness.now;
        while harness.list_queries.is_empty() {
            harness.advance(1.0);
        }
        assert!(
            harness.now - started_at <= LIST_QUERY_INTERVAL_MS + 1.0,
            "{} ms late",
            harness.now - started_at - LIST_QUERY_INTERVAL_MS
        );
        // Slots of 50 ms.
        (harness.now - started_at) as u32 / 50
    };
    let slots: std::collections::BTreeSet<u32> = (0..32).map(first_query_slot).collect();
    assert!(slots.len() >= 4, "{slots:?}");
}

#[test]
fn new_configuration_changes_the_name_service_address() {
    let mut harness = Harness::new();
    let document = CONFIGURATION.replace("127.0.0.1:1053", "127.0.0.2:1054");
    harness
        .node
        .apply_configuration(walnutline_platform::configuration::parse(&document).unwrap(), harness.now);
    harness.perform_actions();
    assert_eq!(harness.list_queries.last().unwrap().0, "127.0.0.2:1054".parse().unwrap());
    // Repeated configurations do not raise the query rate.
    for _ in 0..20 {
        harness
            .node
            .apply_configuration(walnutline_platform::configuration::parse(&document).unwrap(), harness.now);
    }
    harness.perform_actions();
    harness.list_queries.clear();
    harness.advance(1_000.0);
    assert!(harness.list_queries.len() <= 6, "{} queries in a second", harness.list_queries.len());
}

/// What the property test has observed of one session.
#[derive(Default)]
struct ObservedSession {
    answers: u32,
    releases: u32,
    /// Connection on which its SETUP is open.
    setup_on: Option<ConnectionId>,
    /// When its viewer stops waiting, or the node is killed if that is sooner.
    answer_by: f64,
}

/// Updates what has been observed with the messages written since the last call, and checks the invariants.
fn check_written(
    harness: &mut Harness,
    observed: &mut BTreeMap<u64, ObservedSession>,
) -> Result<(), TestCaseError> {
    for (conn, text) in std::mem::take(&mut harness.written) {
        let Some(id) = text.lines().find_map(|l| l.strip_prefix("Session: ")) else { continue };
        let Some(session) = observed.get_mut(&u64::from_str_radix(id, 16).unwrap()) else { continue };
        let to_server = harness.server_connections.contains_key(&conn);
        if text.starts_with("SETUP") {
            prop_assert!(session.setup_on.is_none(), "two SETUPs open");
            session.setup_on = Some(conn);
        } else if text.starts_with("TEARDOWN") && to_server {
            session.setup_on = session.setup_on.filter(|c| *c != conn);
        } else if text.starts_with("TEARDOWN") {
            session.releases += 1;
            prop_assert!(session.releases <= 1, "released twice");
        } else if !to_server && text.contains("CSeq: 1") {
            session.answers += 1;
            prop_assert!(session.answers == 1, "answered {} times", session.answers);
            prop_assert!(harness.now <= session.answer_by, "answered late");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Random actions of viewers, servers and time, and SIGTERM: no request is answered twice, late or after the
    /// kill, none has two SETUPs open, no session is released twice, and in the end every request has been
    /// answered and a stopping node has exited.
    #[test]
    fn random_event_orders_keep_the_invariants(
        events in prop::collection::vec((0u8..10, any::<prop::sample::Index>()), 1..60)
    ) {
        let mut harness = Harness::new();
        let viewer = harness.accept_viewer();
        let mut observed: BTreeMap<u64, ObservedSession> = BTreeMap::new();
        let mut killed_at = f64::INFINITY;
        for (event, choice) in events {
            if harness.exited {
                break;
            }
            let open_setups: Vec<(u64, ConnectionId)> =
                observed.iter().filter_map(|(id, session)| Some((*id, session.setup_on?))).collect();
            let any_open_setup = (!open_setups.is_empty()).then(|| *choice.get(&open_setups));
            let any_id = (!observed.is_empty()).then(|| *choice.get(&observed.keys().copied().collect::<Vec<_>>()));
            match (event, any_open_setup, any_id) {
                (0 | 1, ..) => {
                    let id = observed.len() as u64 + 1;
                    // The wait limit of the request, and 40 ms to spare.
                    let answer_by = killed_at.min(harness.now + 1_500.0 + 40.0);
                    observed.insert(id, ObservedSession { answer_by, ..ObservedSession::default() });
                    harness.receive(viewer, &setup_request(id, ""));
                }
                (2 | 3, Some((id, conn)), _) => {
                    let status = [200, 200, 453, 500, 454, 504][choice.index(6)];
                    observed.get_mut(&id).unwrap().setup_on = None;
                    harness.receive(conn, &setup_response(status, id, "x"));
                }
                (4, Some((_, conn)), _) => {
                    observed
                        .values_mut()
                        .filter(|session| session.setup_on == Some(conn))
                        .for_each(|session| session.setup_on = None);
                    harness.close(conn, ConnectionEnd::Closed);
                }
                (5, _, Some(id)) => {
                    let connections: Vec<ConnectionId> = harness.server_connections.keys().copied().collect();
                    if !connections.is_empty() {
                        let conn = *choice.get(&connections);
                        let session = observed.get_mut(&id).unwrap();
                        // A release before the response means that the SETUP has failed.
                        session.setup_on = session.setup_on.filter(|c| *c != conn);
                        harness.receive(conn, &release_request(id, 16));
                    }
                }
                (6, _, Some(id)) => {
                    let teardown = format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\nContent-Length: 0\r\n\r\n");
                    harness.receive(viewer, &teardown);
                }
                (7, ..) if killed_at.is_infinite() => {
                    harness.node.stop(harness.now);
                    killed_at = harness.now + limits::MAX_SHUTDOWN_WAIT + limits::SHUTDOWN_REQUEST_PERIOD;
                    observed.values_mut().for_each(|session| session.answer_by = session.answer_by.min(killed_at));
                }
                _ => {
                    for _ in 0..choice.index(40) {
                        harness.advance(10.0);
                        check_written(&mut harness, &mut observed)?;
                    }
                }
            }
            check_written(&mut harness, &mut observed)?;
        }
        for _ in 0..400 {
            harness.advance(10.0);
            check_written(&mut harness, &mut observed)?;
        }
        prop_assert!(harness.exited || killed_at.is_infinite(), "not exited");
        let unanswered = harness.node.engine.session_table.sessions.values().filter(|s| !s.answered).count();
        prop_assert_eq!(unanswered, 0);
    }
}
