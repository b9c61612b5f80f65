//! The core of a node without sockets.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
mod support;

use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{release, reply, wanted, World, NODE};
use test_case::test_case;
use walnutline_node::actions::{ConnectionEnd, ConnectionId};
use walnutline_node::limits;

#[test]
fn a_session_from_set_up_to_release() {
    let mut w = World::new();
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, "a=1\r\n"));
    let (server, setup) = w.setup_of(1);
    assert!(setup.contains("Rate-Step: ") && setup.ends_with("\r\n\r\na=1\r\n"), "{setup}");
    w.says(server, &reply(200, 1, "b=2\r\n"));
    assert_eq!(w.find("b=2").unwrap().0, viewer);
    w.says(server, &release(1, 16));
    let (conn, told) = w.find("cause=16").unwrap();
    assert!(
        conn == viewer && told.starts_with("TEARDOWN") && told.contains("Session: 0000000000000001"),
        "{told}"
    );
    // Told again, as servers do on the next connection: nothing more.
    w.says(server, &release(1, 16));
    assert_eq!(w.find("cause=16"), None);
}

/// Guards against handed-over sessions refused for the wait they tell, and their rungs lost: both were seen.
#[test]
fn a_session_handed_over_is_held_with_its_rung_and_released() {
    let mut w = World::new();
    let viewer = w.viewer();
    let at = |id| wanted(id, "").replace("1500", "4294967").replace("top:4;", "top:4;at:s-00000001;");
    assert!(w.servers.is_empty(), "no connection before there is something to say");
    w.says(viewer, &at(8));
    let server = *w.servers.iter().next().unwrap().0;
    let note =
        "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: 0000000000000009\r\nX-Why: profile\r\n\
                Figure: 3\r\nContent-Length: 0\r\n\r\n";
    w.says(server, note);
    w.says(viewer, &at(9));
    assert_eq!(w.find("RTSP/1.0 4"), None, "no answer is wanted");
    let held: Vec<(u8, bool)> =
        w.node.engine.sessions.sessions.values().map(|s| (s.rung, s.playing)).collect();
    assert_eq!(held, [(0, true), (3, true)]);
    w.says(server, &release(9, 16));
    assert_eq!(w.find("cause=16").unwrap().0, viewer);
}

#[test_case("X-Call-Class: board-loop", "X-Call-Class: nobody" ; "class")]
#[test_case("home:0", "home:12" ; "home out of range")]
#[test_case("copies:2", "copies:0" ; "no copies")]
#[test_case("top:4", "top:5" ; "rung out of range")]
#[test_case("X-Ring-Limit: 1500", "X-Ring-Limit: 99999999" ; "a wait that nobody means")]
fn what_cannot_be_taken_is_refused_and_the_connection_goes_on(from: &str, to: &str) {
    let mut w = World::new();
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, "").replace(from, to));
    let (_, refused) = w.find("RTSP/1.0 400").unwrap();
    assert!(refused.contains("Session: 0000000000000001"), "{refused}");
    w.says(viewer, &wanted(2, ""));
    w.setup_of(2);
    assert!(w.closed.is_empty());
}

/// The id of an open request with another description: the open one is neither answered nor disturbed.
#[test]
fn an_id_that_is_open_is_refused_without_its_id() {
    let mut w = World::new();
    let (good, bad) = (w.viewer(), w.viewer());
    w.says(good, &wanted(1, "a=1\r\n"));
    w.says(bad, &wanted(1, "a=2\r\n"));
    let (conn, refused) = w.find("RTSP/1.0 400").unwrap();
    assert!(conn == bad && !refused.contains("Session"), "{refused}");
    w.says(bad, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000001\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(w.find("RTSP/1.0 454").unwrap().0, bad);
    let (server, setup) = w.setup_of(1);
    assert!(setup.ends_with("a=1\r\n"));
    w.says(server, &reply(200, 1, "b=2\r\n"));
    assert_eq!(w.find("b=2").unwrap().0, good);
}

#[test]
fn a_flood_on_one_connection_is_turned_away_beyond_its_limit() {
    let mut w = World::new();
    let viewer = w.viewer();
    let flood: String =
        (1..=limits::MAX_OPEN_SETUPS_PER_VIEWER as u64 + 5).map(|id| wanted(id, "")).collect();
    w.says(viewer, &flood);
    let turned_away = w.out.iter().filter(|(c, t)| *c == viewer && t.starts_with("RTSP/1.0 503")).count();
    assert_eq!(turned_away, 5);
}

/// Set-ups withdrawn by the hundred, some sent twice under one number: nothing of them is left.
#[test]
fn what_is_withdrawn_leaves_nothing() {
    let mut w = World::new();
    let viewer = w.viewer();
    let up = |id| release(id, 31).replace("Reason: cause=31\r\n", "");
    let all: String = (1..=100).map(|id| wanted(id, "a\r\n") + &wanted(id, "b\r\n")).collect();
    w.says(viewer, &all);
    assert_eq!(w.out.iter().filter(|(_, t)| t.starts_with("RTSP/1.0 400")).count(), 100);
    w.pass(30.0);
    let withdrawn: String = (1..=100).map(up).collect();
    w.says(viewer, &withdrawn);
    assert_eq!(w.node.engine.sessions.sessions.len(), 0);
    w.out.clear();
    w.pass(1_000.0);
    assert_eq!(w.find("SETUP"), None);
}

/// A SETUP that timed out is given up before the next is written, and what comes of it late is released.
#[test]
fn a_late_good_answer_is_released_at_once() {
    let mut w = World::new();
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, ""));
    let (first, _) = w.setup_of(1);
    let (second, _) = w.setup_of(1);
    let given_up = w.out.iter().position(|(c, t)| *c == first && t.starts_with("TEARDOWN"));
    assert!(given_up.is_some(), "{:?}", w.out);
    w.out.clear();
    w.says(first, &reply(200, 1, "late\r\n"));
    assert_eq!(w.find("late"), None);
    assert_eq!(w.find("cause=31").unwrap().0, first);
    w.says(second, &reply(200, 1, "good\r\n"));
    assert_eq!(w.find("good").unwrap().0, viewer);
    assert_eq!(w.find("cause="), None);
}

/// A further SETUP at the only server that may be asked goes by another connection: what still comes for the first
/// one is not taken for its answer.
#[test]
fn a_late_answer_to_an_earlier_set_up_is_not_the_further_ones() {
    let mut w = World::new();
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, "").replace("copies:2", "copies:1"));
    let (first, _) = w.setup_of(1);
    w.says(first, &reply(500, 1, ""));
    let (second, _) = w.setup_of(1);
    w.says(first, &reply(200, 1, "late\r\n"));
    assert_eq!(w.find("late"), None);
    w.says(second, &reply(200, 1, "own\r\n"));
    assert_eq!(w.find("own").unwrap().0, viewer);
}

#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\nContent-Length: 2\r\n\r\nb=2\r\n" ; "length too short")]
#[test_case("\u{7f}\u{3}noise\r\n\r\n" ; "noise")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 3000000000\r\n\r\nb=2" ; "claims 3 GB")]
fn a_spoilt_answer_is_not_passed_on_and_another_server_is_asked(spoilt: &str) {
    let mut w = World::new();
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, ""));
    let (first, _) = w.setup_of(1);
    let address = w.servers[&first];
    w.says(first, spoilt);
    assert!(w.closed.contains(&first));
    assert_eq!(w.find("b=2"), None);
    let (second, _) = w.setup_of(1);
    assert_ne!(w.servers[&second], address);
    w.says(second, &reply(200, 1, "good\r\n"));
    assert_eq!(w.find("good").unwrap().0, viewer);
}

#[test]
fn answers_under_ids_that_are_not_open_change_nothing() {
    let mut w = World::new();
    let (_, server) = w.standing(1);
    w.out.clear();
    for id in [1, 77] {
        w.says(server, &reply(200, id, "again\r\n"));
        w.says(server, &reply(500, id, ""));
    }
    assert_eq!(w.find("again"), None);
    w.says(server, &release(1, 16));
    assert!(w.find("cause=16").is_some());
}

/// A process that dies: its connections are reset, and nobody listens at its address.
#[test]
fn sessions_of_a_dead_process_are_released_at_once_and_those_of_a_reset_connection_stand() {
    let mut w = World::new();
    let (viewer, server) = w.standing(1);
    w.open_at_once = false;
    w.ends(server, ConnectionEnd::Closed);
    assert_eq!(w.find("cause="), None, "a reset connection proves no death");
    let again = w.connecting.pop().expect("a connection where its releases can come");
    w.node.server_connected(again, w.now);
    w.run();
    w.ends(again, ConnectionEnd::Closed);
    let refused = w.connecting.pop().unwrap();
    w.ends(refused, ConnectionEnd::Refused);
    assert_eq!(w.find("cause=41").unwrap().0, viewer);
}

/// A server that takes no further connection is not dead while another one to it is open.
#[test]
fn a_further_connection_that_is_refused_cuts_nothing() {
    let mut w = World::new();
    let (_, server) = w.standing(1);
    w.open_at_once = false;
    let spare = w.servers.iter().find(|(c, a)| **c != server && **a == w.servers[&server]).map(|(c, _)| *c);
    let breaks = spare.unwrap_or_else(|| {
        // One set-up is out on the only connection: the next one opens another.
        let viewer = w.viewer();
        (2..9).for_each(|id| w.says(viewer, &wanted(id, "")));
        w.pass(210.0);
        *w.connecting.iter().find(|c| w.servers[c] == w.servers[&server]).expect("a further connection")
    });
    w.ends(breaks, ConnectionEnd::Refused);
    assert_eq!(w.find("cause=41"), None);
    w.says(server, &release(1, 16));
    assert!(w.find("cause=16").is_some());
}

/// Guards against every node of a fleet testing each server every two seconds: tests are priced.
#[test]
fn a_quiet_server_is_not_tested_sooner_than_its_releases_need() {
    let mut w = World::new();
    let (_, server) = w.standing(1);
    w.pass(3_700.0);
    assert_eq!(w.find("rtsp://media/ping"), None);
    w.pass(800.0);
    assert_eq!(w.find("rtsp://media/ping").unwrap().0, server);
}

#[test]
fn sessions_of_a_silent_machine_are_released_within_8_s() {
    let mut w = World::new();
    let (_, server) = w.standing(1);
    let address = w.servers[&server];
    w.open_at_once = false;
    for _ in 0..80 {
        w.pass(100.0);
        // Every other server answers what it is asked.
        let asked = std::mem::take(&mut w.out);
        for (conn, text) in asked {
            if text.contains("cause=41") {
                return;
            }
            if text.starts_with("OPTIONS") && w.servers.get(&conn).is_some_and(|a| *a != address) {
                let id = text.lines().find(|l| l.starts_with("Session")).unwrap();
                w.says(conn, &format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\n{id}\r\nContent-Length: 0\r\n\r\n"));
            }
        }
    }
    panic!("still held");
}

/// What is heard on a connection of before proves that what looked like a death was none; what comes at once may have
/// been on its way, and a connection opened long after an end may be a new process's.
#[test]
fn a_cut_connection_is_told_from_a_death() {
    let mut w = World::new();
    w.open_at_once = false;
    let (viewer, server) = {
        let viewer = w.viewer();
        w.says(viewer, &wanted(1, "").replace("copies:2", "copies:1"));
        w.pass(10.0);
        let conn = w.connecting.pop().unwrap();
        w.node.server_connected(conn, w.now);
        w.setup_of(1);
        w.says(conn, &reply(200, 1, ""));
        (viewer, conn)
    };
    let id = *w.node.engine.state.fleet.servers.keys().next().unwrap();
    let note =
        "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: 0000000000000001\r\nX-Why: quality\r\n\
                Figure: 1\r\nContent-Length: 0\r\n\r\n";
    let died = |w: &mut World| w.node.engine.state.fleet.servers.get_mut(&id).unwrap().died_at.is_some();
    // Silent for so long that new connections are tried, which do not open.
    w.pass(limits::PING_AFTER_SILENCE + limits::PING_TIMEOUT + 400.0);
    let second = w.connecting.pop().expect("a new connection");
    w.node.engine.state.fleet.servers.get_mut(&id).unwrap().died_at = Some(w.now);
    w.ends(second, ConnectionEnd::Closed);
    w.says(server, note);
    assert!(died(&mut w), "may have been on its way");
    w.pass(limits::MAX_DELIVERY_DELAY * 2.0);
    w.says(server, note);
    assert!(!died(&mut w), "the same process");
    // Its connection is reset, and it takes another one at once.
    w.says(viewer, &wanted(2, "").replace("copies:2", "copies:1"));
    w.setup_of(2);
    w.says(server, &reply(200, 2, ""));
    w.ends(server, ConnectionEnd::Closed);
    w.node.engine.state.fleet.servers.get_mut(&id).unwrap().died_at = Some(w.now);
    let next = w.connecting.pop().expect("opened anew");
    w.node.server_connected(next, w.now);
    assert!(!died(&mut w), "one that ends is not back at once");
}

const PEER: &str = "127.0.0.3:7946";

/// A configuration that names another node.
fn with_peers() -> String {
    let to = format!("\"peer_listen\":\"127.0.0.1:7946\",\"peers\":[\"{PEER}\"],\"peers_all\":\"127.0.0.9:7946\",\"names\":");
    NODE.replace("\"names\":", &to).replace("\"probes\":true", "\"probes\":true,\"peer_messages\":true")
}

/// Every node sends its share to a cold server. Guards against a budget shared by fewer than there are, where
/// the settings tell of fewer or of none.
#[test]
fn as_many_share_a_cold_server_as_either_tells_of() {
    let fronts = |document: &str| World::with(document).node.engine.state.settings.front_count;
    let peers: Vec<String> = (1..=30).map(|n| format!("\"127.0.0.{n}:7946\"")).collect();
    let many = with_peers().replace(&format!("\"{PEER}\""), &peers.join(","));
    assert_eq!((fronts(NODE), fronts(&with_peers())), (2, 2));
    assert_eq!(fronts(&many), 30);
    assert_eq!(fronts(&many.replace("\"balancers\":2,", "")), 30);
    assert_eq!(fronts(&many.replace("\"balancers\":2,", "\"balancers\":40,")), 40);
}

/// Guards against a new process, still cold, that passes for the old one because it answered another node already.
#[test]
fn what_another_node_heard_proves_no_life_here() {
    use walnutline_platform::peers::{encode, hash_server_name, ServerStatus};
    let mut w = World::with(&with_peers());
    let (_, server) = w.standing(1);
    w.open_at_once = false;
    let id = *w.node.engine.state.fleet.servers.keys().next().unwrap();
    w.pass(limits::MIN_PROCESS_RESTART_TIME * 1.5);
    w.ends(server, ConnectionEnd::Closed);
    w.node.engine.state.fleet.servers.get_mut(&id).unwrap().died_at = Some(w.now);
    let entry = |server| ServerStatus {
        name_hash: hash_server_name(server),
        age_ms: 20.0,
        stream_share: 0.5,
        link_use: 0.44,
        known_uptime_ms: 0.0,
    };
    w.pass(50.0);
    w.node.peer_datagram(PEER.parse().unwrap(), &encode(&[entry("s-00000001"), entry("s-00000002")]), w.now);
    w.run();
    let next = w.connecting.pop().expect("opened anew");
    w.node.server_connected(next, w.now);
    assert!(w.node.engine.state.fleet.servers[&id].died_at.is_some());
}

/// Guards against 300 nodes that each test a server every two seconds: ten tests for each probe on a calm day.
#[test]
fn a_server_that_answered_another_node_is_not_tested() {
    use walnutline_platform::peers::{encode, hash_server_name, ServerStatus};
    let (peer, stranger) = (PEER.parse().unwrap(), "127.0.0.4:7946".parse().unwrap());
    let entry = |server| ServerStatus {
        name_hash: hash_server_name(server),
        age_ms: 20.0,
        stream_share: 0.5,
        link_use: 0.44,
        known_uptime_ms: 0.0,
    };
    let told = encode(&[entry("s-00000001"), entry("s-00000002"), entry("nobody")]);
    for (from, tested) in [(peer, false), (stranger, true)] {
        let mut w = World::with(&with_peers());
        w.standing(1);
        w.out.clear();
        for _ in 0..8 {
            w.pass(500.0);
            w.node.peer_datagram(from, &told, w.now);
            w.node.peer_datagram(from, &told[..told.len() - 1], w.now);
            w.run();
        }
        assert_eq!(w.find("rtsp://media/ping").is_some(), tested, "{from}");
        let heard =
            w.node.engine.state.fleet.servers.values().filter(|s| s.link_use.is_some_and(|l| l.value > 0.4));
        assert_eq!(heard.count(), if tested { 0 } else { 2 }, "{from}");
    }
}

/// A process that stands still takes connections by its kernel and says nothing: its sessions are left alone, and
/// its connections do not grow in number with the tests.
#[test]
fn a_process_that_stands_still_keeps_its_sessions_and_gathers_no_connections() {
    let mut w = World::new();
    let (_, server) = w.standing(1);
    let address = w.servers[&server];
    w.pass(30_000.0);
    assert_eq!(w.find("cause=41"), None);
    let open = w.servers.values().filter(|a| **a == address).count();
    assert!(open <= limits::MAX_CONNECTIONS_PER_SERVER, "{open} connections");
}

/// A server sends again what may have been lost on the connection that is opened next: that one is kept, and
/// an older one gives way. Guards against the one closed that was opened to hear whether a silent server is
/// there.
#[test]
fn the_connection_that_tells_whether_a_silent_server_is_there_is_kept() {
    let mut w = World::new();
    let (viewer, server) = w.standing(1);
    let address = w.servers[&server];
    let mut newest = server;
    for _ in 0..2 * limits::MAX_CONNECTIONS_PER_SERVER {
        w.pass(limits::PING_AFTER_SILENCE);
        let at = w.servers.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c);
        newest = at.max().unwrap();
    }
    assert!(newest.0 > server.0 + limits::MAX_CONNECTIONS_PER_SERVER as u64 - 1, "{newest:?}");
    let until = w.now + 4.0 * limits::PING_AFTER_SILENCE;
    while w.servers.contains_key(&newest) && w.now < until {
        let last = w.servers.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c).max().unwrap();
        assert_eq!(w.closed.iter().filter(|c| **c == last).count(), 0, "the newest is closed");
        w.pass(250.0);
    }
    let last = w.servers.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c).max().unwrap();
    w.says(last, &release(1, 16));
    assert_eq!(w.find("cause=16").unwrap().0, viewer);
}

#[test]
fn a_release_waits_for_a_connection_that_brings_a_set_up() {
    let mut w = World::new();
    let (viewer, server) = w.standing(1);
    w.ends(viewer, ConnectionEnd::Closed);
    w.says(server, &release(1, 16));
    assert_eq!(w.find("cause=16"), None);
    let silent = w.viewer();
    let next = w.viewer();
    w.says(next, &wanted(2, ""));
    assert_eq!(w.find("cause=16").unwrap().0, next);
    assert_ne!(silent, next);
}

#[test]
fn silent_and_half_said_connections_are_closed_within_3_s() {
    let mut w = World::new();
    let (silent, half, good) = (w.viewer(), w.viewer(), w.viewer());
    w.says(half, "SETUP rtsp://media/");
    w.says(good, &wanted(1, ""));
    w.pass(2_600.0);
    assert!(w.closed.contains(&silent) && w.closed.contains(&half) && !w.closed.contains(&good));
}

/// Guards against a set-up lost that crosses the close: seen on zone+mass 12 s after a node's start.
#[test]
fn a_viewers_own_connection_is_left_to_it() {
    let mut w = World::new();
    let (viewer, server) = w.standing(1);
    w.says(server, &release(1, 16));
    w.pass(60_000.0);
    assert!(!w.closed.contains(&viewer));
    w.says(viewer, &wanted(2, ""));
    w.setup_of(2);
}

/// Room for a new viewer is made by the one that can best be done without.
#[test]
fn with_all_places_taken_the_silent_go_first() {
    let mut w = World::new();
    let good = w.viewer();
    w.says(good, &wanted(1, ""));
    for _ in 1..w.node.max_viewer_connections() {
        w.viewer();
    }
    assert!(w.closed.is_empty());
    w.viewer();
    assert_eq!(w.closed.len(), 1);
    assert_ne!(w.closed[0], good);
}

#[test]
fn told_to_stop_it_answers_what_still_comes_and_ends() {
    let mut w = World::new();
    w.node.stop(w.now);
    w.pass(500.0);
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, ""));
    let (server, _) = w.setup_of(1);
    w.node.stop(w.now);
    w.pass(250.0);
    assert!(!w.exited, "an answer is owed");
    w.says(server, &reply(200, 1, "good\r\n"));
    assert!(w.find("good").is_some());
    w.says(server, &release(1, 16));
    w.pass(500.0);
    assert!(w.exited);
}

/// The end comes when it is due and not with the next look at everything: the kill comes 250 ms later, and
/// what is on its way takes some of them.
#[test]
fn told_to_stop_it_ends_on_time() {
    let mut w = World::new();
    w.standing(1);
    // Not in step with what is looked over every 250 ms.
    w.pass(130.0);
    w.node.stop(w.now);
    w.pass(limits::MAX_SHUTDOWN_WAIT + limits::SHUTDOWN_SESSION_GRACE - 1.0);
    assert!(!w.exited);
    w.pass(limits::SHUTDOWN_CHECK_INTERVAL + 2.0);
    assert!(w.exited);
}

/// A session is ended by its viewer while its server cannot be reached: the server is told on the next
/// connection that is opened to it for whatever reason, and none is opened again and again for this alone.
#[test]
fn a_release_for_a_server_out_of_reach_waits_and_opens_no_connections() {
    let mut w = World::new();
    let (viewer, server) = w.standing(1);
    let address = w.servers[&server];
    w.says(viewer, &release(1, 31));
    w.open_at_once = false;
    let at: Vec<ConnectionId> = w.servers.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c).collect();
    at.into_iter().for_each(|conn| w.ends(conn, ConnectionEnd::Closed));
    let mut tried = 0;
    for _ in 0..40 {
        while let Some(conn) = w.connecting.pop() {
            tried += 1;
            w.ends(conn, ConnectionEnd::Closed);
        }
        w.pass(250.0);
    }
    assert!((1..=2).contains(&tried), "{tried} connections");
    w.out.clear();
    w.open_at_once = true;
    for id in 2..12 {
        w.says(viewer, &wanted(id, ""));
        w.setup_of(id);
    }
    let told = w.find("Session: 0000000000000001").expect("the release");
    assert!(told.1.starts_with("TEARDOWN") && w.servers[&told.0] == address, "{told:?}");
}

/// A SETUP is held back for what is unheard of its viewer, who asks again on another connection meanwhile and
/// is gone from the first: it goes out for the second.
#[test]
fn a_set_up_held_back_goes_out_for_the_connection_that_asked_again() {
    let mut w = World::new();
    // News of the servers is fresh: nothing else holds the SETUP back.
    let (other, _) = w.standing(9);
    let first = w.viewer();
    w.unheard.push(first);
    w.says(first, &wanted(1, "a=1\r\n"));
    w.pass(20.0);
    assert_eq!(w.find("SETUP"), None);
    w.says(other, &wanted(1, "a=1\r\n"));
    w.unheard.clear();
    w.gone.push(first);
    w.pass(5.0);
    let (server, setup) = w.find("SETUP").expect("the SETUP");
    assert!(setup.contains("Session: 0000000000000001"), "{setup}");
    w.says(server, &reply(200, 1, "b=2\r\n"));
    assert_eq!(w.find("b=2").unwrap().0, other);
}

/// No descriptor for a connection: that is not its server's fault, which is neither set aside nor taken for
/// dead.
#[test]
fn a_connection_that_could_not_be_opened_here_tells_nothing_of_its_server() {
    let mut w = World::new();
    w.open_at_once = false;
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, ""));
    for _ in 0..20 {
        while let Some(conn) = w.connecting.pop() {
            w.ends(conn, ConnectionEnd::Unopened);
        }
        w.pass(20.0);
    }
    assert!(w.find("RTSP/1.0 503").is_some(), "{:?}", w.out);
    let servers = &w.node.engine.state.fleet.servers;
    assert!(servers.values().all(|s| s.failures == 0 && s.died_at.is_none()), "{servers:?}");
}

/// A server that does not read: nothing is left behind on the way to it, and another one is asked.
#[test]
fn a_set_up_that_a_connection_does_not_take_goes_elsewhere() {
    let mut w = World::new();
    let (viewer, server) = w.standing(1);
    let address = w.servers[&server];
    w.stuck = w.servers.iter().filter(|(_, a)| **a == address).map(|(c, _)| *c).collect();
    for id in 2..9 {
        w.says(viewer, &wanted(id, ""));
        let (conn, _) = w.setup_of(id);
        assert!(!w.stuck.contains(&conn));
        w.says(conn, &reply(200, id, "b=2\r\n"));
    }
}

/// A zone's number is free again once no server is left there. Guards against a list of names that grows for
/// ever.
#[test]
fn zones_that_come_and_go_leave_nothing() {
    let mut w = World::new();
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut numbers = std::collections::BTreeSet::new();
    for n in 0..60u32 {
        w.pass(POLL);
        let target = format!("s-{:08x}.{}{n}.hosts", 100 + n, names[n as usize % 6]);
        let told = list(&w, 10 + n, Some((&target, [127, 0, 0, 1], 5_061)));
        let names = w.queries.last().unwrap().0;
        w.node.name_service_datagram(names, &told, w.now);
        w.run();
        w.pass(limits::SWEEP_INTERVAL * 2.0);
        numbers.extend(w.node.engine.state.fleet.servers.values().map(|s| s.entry.zone.0));
    }
    assert!(numbers.len() <= 4, "{numbers:?}");
}

/// Sessions that stand are kept up as long as the platform gives time for: its longest wait, at most 3 s.
#[test]
fn told_to_stop_it_ends_before_it_is_killed_while_sessions_stand() {
    let mut w = World::with(&NODE.replace("\"hard_limit\":3000.0", "\"hard_limit\":1000.0"));
    w.standing(1);
    w.node.stop(w.now);
    w.pass(1_300.0);
    assert!(!w.exited);
    w.pass(399.0);
    assert!(w.exited);
}

/// Sockets run short: a server that has a connection gets no more, one that has none does.
#[test]
fn connections_to_servers_are_bounded_in_all() {
    let mut w = World::with(&NODE.replace("\"sockets\":256", "\"sockets\":40"));
    let viewer = w.viewer();
    let flood: String = (1..=30).map(|id| wanted(id, "")).collect();
    w.says(viewer, &flood);
    for id in 1..=30 {
        w.setup_of(id);
    }
    assert!(w.servers.len() <= 4, "{} connections", w.servers.len());
}

/// The largest that is asked for at the least descriptors: 1,024 servers, sessions at each of them.
#[test]
fn more_servers_than_descriptors_are_served_in_turn() {
    let one = |n: usize| {
        format!("{{\"instanceId\":\"s-{n:08x}\",\"hostPort\":\"10.1.{}.{}:5060\",\"zone\":\"z-{n}\",\"machineType\":\"box-3c\",\
             \"cell\":{},\"lifecycle\":\"Ready\",\"weight\":3,\"startedAtMs\":0}}", n / 256, n % 256, n % 12)
    };
    let all: Vec<String> = (0..1_024).map(one).collect();
    let known = format!(
        "\"known\":{{\"no\":1,\"items\":[{{\"no\":1,\"roster\":{{\"reset\":true,\"instances\":[{}]}}}}]}}",
        all.join(",")
    );
    let (head, rest) = NODE.split_once("\"known\"").unwrap();
    let document = format!("{head}{known},\"settings\"{}", rest.split_once("\"settings\"").unwrap().1);
    let mut w = World::with(&document);
    let room = 256 - limits::RESERVED_DESCRIPTORS - w.node.max_viewer_connections();
    assert!(w.node.max_viewer_connections() >= 256 / 3, "viewers keep their third");
    let viewer = w.viewer();
    let mut opened = std::collections::BTreeSet::new();
    let mut seen = |w: &World| {
        assert!(w.servers.len() <= room, "{} connections", w.servers.len());
        opened.extend(w.servers.values().copied());
        opened.len()
    };
    for n in 0..1_024 {
        let at = format!("top:4;at:s-{n:08x};");
        w.says(viewer, &wanted(10_000 + n, "").replace("1500", "4294967").replace("top:4;", &at));
        seen(&w);
    }
    for id in 1..=40 {
        w.says(viewer, &wanted(id, ""));
        let (server, _) = w.setup_of(id);
        w.says(server, &reply(200, id, ""));
        seen(&w);
    }
    for _ in 0..40 {
        w.pass(200.0);
        seen(&w);
    }
    assert_eq!(seen(&w), 1_024, "each was reached within 8 s");
    let zones: std::collections::BTreeSet<_> =
        w.node.engine.state.fleet.servers.values().map(|s| s.entry.zone).collect();
    assert_eq!(zones.len(), 1_024, "a zone that the settings do not name is one of its own");
}

/// Within this time the name service is asked: a drain is heard within the grace that the settings of the tests state.
const POLL: f64 = 200.0;

fn list(w: &World, serial: u32, line: Option<(&str, [u8; 4], u16)>) -> Vec<u8> {
    list_of(w, serial, line, "started=0")
}

fn list_of(w: &World, serial: u32, line: Option<(&str, [u8; 4], u16)>, started: &str) -> Vec<u8> {
    dns::list(&w.queries.last().unwrap().1, serial, line.as_slice(), started)
}

/// A new server at the address of one that has gone takes nothing over; what is gone and unused is forgotten.
#[test]
fn the_list_is_followed_by_number_and_ids_are_not_addresses() {
    let mut w = World::new();
    let (viewer, server) = w.standing(1);
    let here = w.servers[&server];
    let std::net::IpAddr::V4(ip) = here.ip() else { panic!("{here}") };
    w.pass(POLL);
    let names = w.queries.last().unwrap().0;
    let old = list(&w, 2, None);
    w.node.name_service_datagram(names, &old, w.now);
    w.run();
    assert_eq!(w.node.engine.state.fleet.servers.len(), 2, "an older list");
    w.pass(POLL);
    let new = list(&w, 9, Some(("s-0000000a.depot-a.hosts", ip.octets(), here.port())));
    w.node.name_service_datagram("127.0.0.9:53".parse().unwrap(), &new, w.now);
    assert_eq!(w.node.engine.state.fleet.servers.len(), 2, "from elsewhere");
    w.node.name_service_datagram(names, &new, w.now);
    w.run();
    assert_eq!(w.find("cause="), None, "the old process still has its connections");
    w.ends(server, ConnectionEnd::Closed);
    w.pass(limits::SWEEP_INTERVAL * 2.0);
    while let Some(conn) = w.servers.keys().next().copied().filter(|c| c.0 <= server.0) {
        w.ends(conn, ConnectionEnd::Closed);
    }
    w.pass(limits::SWEEP_INTERVAL * 2.0);
    assert_eq!(w.find("cause=41").unwrap().0, viewer);
    assert_eq!(w.node.engine.state.fleet.servers.len(), 1, "those gone are forgotten");
}

/// A process that took the place of another one is met seconds before the list tells of its start. Guards against
/// sessions cut that stand there: 1 700 on a day on which a zone came back.
#[test]
fn what_a_new_process_took_stands_when_the_list_tells_of_its_start() {
    let mut w = World::new();
    let viewer = w.viewer();
    let at = wanted(1, "").replace("1500", "4294967").replace("top:4;", "top:4;at:s-00000001;");
    w.says(viewer, &at);
    w.pass(500.0);
    let old = *w.servers.keys().next().unwrap();
    w.ends(old, ConnectionEnd::Closed);
    w.says(viewer, &wanted(2, "").replace("copies:2", "copies:1"));
    let (new, _) = w.setup_of(2);
    w.says(new, &reply(200, 2, ""));
    w.pass(POLL);
    let line = ("s-00000001.depot-a.hosts", [127, 0, 0, 1], 5061);
    let told = list_of(&w, 9, Some(line), "started=1700000000450");
    w.node.name_service_datagram(w.queries.last().unwrap().0, &told, w.now);
    w.run();
    assert!(
        w.find("cause=41").is_some_and(|(_, t)| t.contains("Session: 0000000000000001")),
        "the old one's"
    );
    assert_eq!(w.find("cause=41"), None, "the new one's");
    assert!(!w.closed.contains(&new));
    w.says(new, &release(2, 16));
    assert_eq!(w.find("cause=16").unwrap().0, viewer);
}

/// A SETUP that waits for a connection when its server is told gone never leaves: another one is asked at once.
#[test]
fn a_set_up_that_waits_for_a_server_that_goes_is_called_back() {
    let mut w = World::new();
    w.open_at_once = false;
    for conn in w.servers.keys().copied().collect::<Vec<_>>() {
        w.ends(conn, ConnectionEnd::Closed);
    }
    // Their loads are known, so that none is probed first.
    for server in w.node.engine.state.fleet.servers.keys().copied().collect::<Vec<_>>() {
        w.node.engine.record_report(server, &[1.0, 0.2], w.now);
    }
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, "").replace("copies:2", "copies:1"));
    let waits = *w.connecting.last().expect("a connection is being opened");
    w.pass(POLL);
    let none = list(&w, 9, None);
    let names = w.queries.last().unwrap().0;
    w.node.name_service_datagram(names, &none, w.now);
    w.run();
    assert!(w.find("RTSP/1.0 503").is_some_and(|(conn, _)| conn == viewer), "{:?}", w.out);
    w.node.server_connected(waits, w.now);
    w.run();
    assert_eq!(w.find("SETUP"), None);
}

/// Guards against a whole fleet asking in step after a common start.
#[test]
fn nodes_that_start_together_do_not_ask_for_the_list_together() {
    let first = |seed: u64| {
        let mut w = World::with(&NODE.replace("8c1f30d27a5be964", &format!("{seed:016x}")));
        let start = w.now;
        while w.queries.is_empty() {
            w.pass(1.0);
        }
        assert!(w.now - start <= POLL + 1.0, "late by {}", w.now - start - POLL);
        (w.now - start) as u32 / 50
    };
    let quarters: std::collections::BTreeSet<u32> = (0..32).map(first).collect();
    assert!(quarters.len() >= 4, "{quarters:?}");
}

#[test]
fn a_new_configuration_names_another_name_service() {
    let mut w = World::new();
    let told = NODE.replace("127.0.0.1:1053", "127.0.0.2:1054");
    w.node.apply_configuration(walnutline_platform::configuration::parse(&told).unwrap(), w.now);
    w.run();
    assert_eq!(w.queries.last().unwrap().0, "127.0.0.2:1054".parse().unwrap());
    // Told again and again, it asks no more often than before.
    for _ in 0..20 {
        w.node.apply_configuration(walnutline_platform::configuration::parse(&told).unwrap(), w.now);
    }
    w.run();
    w.queries.clear();
    w.pass(1_000.0);
    assert!(w.queries.len() <= 6, "{} questions in a second", w.queries.len());
}

/// What the property below saw of one session.
#[derive(Default)]
struct Seen {
    answers: u32,
    releases: u32,
    out_at: Option<ConnectionId>,
    came: f64,
}

fn account(w: &mut World, seen: &mut BTreeMap<u64, Seen>) -> Result<(), TestCaseError> {
    for (conn, text) in std::mem::take(&mut w.out) {
        let Some(id) = text.lines().find_map(|l| l.strip_prefix("Session: ")) else { continue };
        let Some(s) = seen.get_mut(&u64::from_str_radix(id, 16).unwrap()) else { continue };
        let to_server = w.servers.contains_key(&conn);
        if text.starts_with("SETUP") {
            prop_assert!(s.out_at.is_none(), "two SETUPs out");
            s.out_at = Some(conn);
        } else if text.starts_with("TEARDOWN") && to_server {
            s.out_at = s.out_at.filter(|c| *c != conn);
        } else if text.starts_with("TEARDOWN") {
            s.releases += 1;
            prop_assert!(s.releases <= 1, "released twice");
        } else if !to_server && text.contains("CSeq: 1") {
            s.answers += 1;
            prop_assert!(s.answers == 1, "answered {} times", s.answers);
            prop_assert!(w.now - s.came <= 1_500.0 + 40.0, "answered late");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Viewers, servers and time do anything in any order: no request is answered twice or late, none has two
    /// SETUPs out, no session is released twice, and in the end nothing is owed.
    #[test]
    fn anything_in_any_order(steps in prop::collection::vec((0u8..9, any::<prop::sample::Index>()), 1..60)) {
        let mut w = World::new();
        let viewer = w.viewer();
        let mut seen: BTreeMap<u64, Seen> = BTreeMap::new();
        for (step, which) in steps {
            let out: Vec<(u64, ConnectionId)> = seen.iter().filter_map(|(id, s)| Some((*id, s.out_at?))).collect();
            let any_out = (!out.is_empty()).then(|| *which.get(&out));
            let any_id = (!seen.is_empty()).then(|| *which.get(&seen.keys().copied().collect::<Vec<_>>()));
            match (step, any_out, any_id) {
                (0 | 1, ..) => {
                    let id = seen.len() as u64 + 1;
                    seen.insert(id, Seen { came: w.now, ..Seen::default() });
                    w.says(viewer, &wanted(id, ""));
                }
                (2 | 3, Some((id, conn)), _) => {
                    let status = [200, 200, 453, 500, 454, 504][which.index(6)];
                    seen.get_mut(&id).unwrap().out_at = None;
                    w.says(conn, &reply(status, id, "x"));
                }
                (4, Some((_, conn)), _) => {
                    seen.values_mut().filter(|s| s.out_at == Some(conn)).for_each(|s| s.out_at = None);
                    w.ends(conn, ConnectionEnd::Closed);
                }
                (5, _, Some(id)) => {
                    let conns: Vec<ConnectionId> = w.servers.keys().copied().collect();
                    if !conns.is_empty() {
                        let conn = *which.get(&conns);
                        let s = seen.get_mut(&id).unwrap();
                        // Before its answer, a release says that the SETUP broke.
                        s.out_at = s.out_at.filter(|c| *c != conn);
                        w.says(conn, &release(id, 16));
                    }
                }
                (6, _, Some(id)) => {
                    let up = format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\nContent-Length: 0\r\n\r\n");
                    w.says(viewer, &up);
                }
                _ => {
                    for _ in 0..which.index(40) {
                        w.pass(10.0);
                        account(&mut w, &mut seen)?;
                    }
                }
            }
            account(&mut w, &mut seen)?;
        }
        for _ in 0..200 {
            w.pass(10.0);
            account(&mut w, &mut seen)?;
        }
        let owed = w.node.engine.sessions.sessions.values().filter(|s| !s.answered).count();
        prop_assert_eq!(owed, 0);
    }
}
