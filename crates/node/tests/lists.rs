//! Tests of a node's core with large and late lists of nodes and servers.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
#[allow(dead_code)]
mod support;

use std::collections::BTreeSet;
use support::{setup_request, setup_response, Harness, CONFIGURATION};
use test_case::test_case;
use walnutline_node::actions::ConnectionEnd;
use walnutline_platform::peers::{self, ServerStatus};

const NODE_COUNT: usize = 350;
const SERVER_COUNT: usize = 400;
/// Name of the last server of the list.
const LAST_SERVER: &str = "s-0000018f";

fn node_address(n: usize) -> String {
    format!("10.3.{}.{}:7946", n / 250, n % 250 + 1)
}

fn configuration() -> String {
    let peers: Vec<String> = (0..NODE_COUNT).map(|n| format!("\"{}\"", node_address(n))).collect();
    CONFIGURATION
        .replace("\"names\"", &format!("\"peer_listen\":\"{}\",\"names\"", node_address(0)))
        .replace("\"known\"", &format!("\"peers\":[{}],\"known\"", peers.join(",")))
        .replace("\"known\"", "\"peers_all\":\"10.3.255.1:7946\",\"known\"")
        .replace("\"probes\":true", "\"peer_messages\":true,\"probes\":true")
}

/// One answer replaces the whole list, and sessions are placed on its servers. Reports are accepted from
/// every configured node, up to the last one, and from no other address.
#[test]
fn configuration_of_350_nodes_and_list_of_400_servers_are_applied() {
    let mut harness = Harness::with_configuration(&configuration());
    assert_eq!(harness.node.engine.state.settings.front_count as usize, NODE_COUNT);
    harness.advance(500.0);
    let (name_service, query) = harness.list_queries.last().unwrap().clone();
    let names: Vec<String> = (0..SERVER_COUNT).map(|n| format!("s-{n:08x}.depot-a.hosts")).collect();
    let server = |n: usize| (names[n].as_str(), [10, 1, (n / 250) as u8, (n % 250) as u8 + 1], 5_060);
    let servers: Vec<_> = (0..SERVER_COUNT).map(server).collect();
    let answer = dns::list(&query, 9, &servers, "started=0");
    assert!(answer.len() > 8_000, "{} bytes", answer.len());
    harness.node.name_service_datagram(name_service, &answer, harness.now);
    harness.perform_actions();
    let server_count = |harness: &Harness| harness.node.engine.state.fleet.servers.len();
    harness.advance(1_000.0);
    assert_eq!(server_count(&harness), SERVER_COUNT, "the servers of the start are removed");
    let viewer = harness.accept_viewer();
    for id in 1..=5 {
        harness.receive(viewer, &setup_request(id, "").replace("copies:2", "copies:1"));
        let (server, _) = harness.await_setup(id);
        harness.receive(server, &setup_response(200, id, "good\r\n"));
        assert!(harness.take_written("good").is_some(), "{id}");
    }
    let server_status = ServerStatus {
        name_hash: peers::hash_server_name(LAST_SERVER),
        age_ms: 100.0,
        stream_share: 0.5,
        link_use: 0.5,
        known_uptime_ms: 1_000.0,
    };
    let datagram = peers::encode(&[server_status]);
    let reported_servers = |harness: &Harness| {
        harness.node.engine.state.fleet.servers.values().filter(|s| s.link_use.is_some()).count()
    };
    let before = reported_servers(&harness);
    harness.node.peer_datagram("10.9.9.9:7946".parse().unwrap(), &datagram, harness.now);
    assert_eq!(reported_servers(&harness), before, "a report from an unknown address is ignored");
    harness.node.peer_datagram(node_address(NODE_COUNT - 1).parse().unwrap(), &datagram, harness.now);
    assert_eq!(reported_servers(&harness), before + 1, "a report from the last node is accepted");
}

/// Guards against a new configuration that is refused for what a list has told: a server joined in a zone that the settings
/// don't name, and the old name service was asked for good.
#[test]
fn configuration_is_applied_after_a_server_has_joined_in_a_zone_that_it_does_not_name() {
    let mut harness = Harness::new();
    harness.advance(500.0);
    let (name_service, query) = harness.list_queries.last().unwrap().clone();
    let servers = ["s-00000001.depot-a.hosts", "s-0000000a.depot-c.hosts"];
    let servers = [(servers[0], [127, 0, 0, 1], 5_061), (servers[1], [10, 1, 0, 9], 5_060)];
    let answer = dns::list(&query, 9, &servers, "started=0");
    harness.node.name_service_datagram(name_service, &answer, harness.now);
    harness.advance(1_000.0);
    let zones: BTreeSet<u16> =
        harness.node.engine.state.fleet.servers.values().map(|server| server.entry.zone.0).collect();
    assert_eq!(zones, BTreeSet::from([0, 2]));
    let document = CONFIGURATION.replace("127.0.0.1:1053", "127.0.0.2:1054");
    harness
        .node
        .apply_configuration(walnutline_platform::configuration::parse(&document).unwrap(), harness.now);
    harness.perform_actions();
    assert_eq!(harness.list_queries.last().unwrap().0, "127.0.0.2:1054".parse().unwrap());
}

/// After a long outage of the name service, a list arrives in which every server is new, while a SETUP is
/// open at a server that it drops. The server's response still counts; when its connection closes instead, a
/// new server is tried.
#[test_case(true; "the server answers")]
#[test_case(false; "its connection closes")]
fn setup_open_at_a_server_dropped_by_a_late_list_is_answered(server_answers: bool) {
    let mut harness = Harness::new();
    // The queries are not answered.
    harness.advance(12_000.0);
    let viewer = harness.accept_viewer();
    harness.receive(viewer, &setup_request(1, "").replace("copies:2", "copies:1"));
    let (first, _) = harness.await_setup(1);
    let (name_service, query) = harness.list_queries.last().unwrap().clone();
    let server = ("s-0000000a.depot-a.hosts", [10, 1, 0, 9], 5_060);
    harness.node.name_service_datagram(
        name_service,
        &dns::list(&query, 40, &[server], "started=0"),
        harness.now,
    );
    harness.node.process_due(harness.now);
    harness.perform_actions();
    assert_eq!(harness.take_written("RTSP/1.0"), None, "the request is still open");
    let responding_server = if server_answers {
        first
    } else {
        harness.close(first, ConnectionEnd::Closed);
        harness.await_setup(1).0
    };
    harness.receive(responding_server, &setup_response(200, 1, "good\r\n"));
    assert_eq!(harness.take_written("good").unwrap().0, viewer);
    assert_eq!(harness.take_written("good"), None, "answered once");
}
