//! A core that is told of hundreds of nodes and servers.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
#[allow(dead_code)]
mod support;

use support::{reply, wanted, World, NODE};
use test_case::test_case;
use walnutline_node::actions::ConnectionEnd;
use walnutline_platform::peers::{self, ServerStatus};

const NODES: usize = 350;
const SERVERS: usize = 400;
const LAST: &str = "s-0000018f";

fn node_address(n: usize) -> String {
    format!("10.3.{}.{}:7946", n / 250, n % 250 + 1)
}

fn told() -> String {
    let peers: Vec<String> = (0..NODES).map(|n| format!("\"{}\"", node_address(n))).collect();
    NODE.replace("\"names\"", &format!("\"peer_listen\":\"{}\",\"names\"", node_address(0)))
        .replace("\"known\"", &format!("\"peers\":[{}],\"known\"", peers.join(",")))
        .replace("\"known\"", "\"peers_all\":\"10.3.255.1:7946\",\"known\"")
        .replace("\"probes\":true", "\"peer_messages\":true,\"probes\":true")
}

/// The list is told in one answer, and each server on it is placed at; news of the last of the other nodes is
/// heard, and of a stranger none.
#[test]
fn lists_of_350_nodes_and_400_servers_are_taken() {
    let mut w = World::with(&told());
    assert_eq!(w.node.engine.state.settings.front_count as usize, NODES);
    w.pass(500.0);
    let (names, question) = w.queries.last().unwrap().clone();
    let ids: Vec<String> = (0..SERVERS).map(|n| format!("s-{n:08x}.depot-a.hosts")).collect();
    let line = |n: usize| (ids[n].as_str(), [10, 1, (n / 250) as u8, (n % 250) as u8 + 1], 5_060);
    let lines: Vec<_> = (0..SERVERS).map(line).collect();
    let answer = dns::list(&question, 9, &lines, "started=0");
    assert!(answer.len() > 8_000, "{} bytes", answer.len());
    w.node.name_service_datagram(names, &answer, w.now);
    w.run();
    let listed = |w: &World| w.node.engine.state.fleet.servers.len();
    w.pass(1_000.0);
    assert_eq!(listed(&w), SERVERS, "and those of the start are gone");
    let viewer = w.viewer();
    for id in 1..=5 {
        w.says(viewer, &wanted(id, "").replace("copies:2", "copies:1"));
        let (server, _) = w.setup_of(id);
        w.says(server, &reply(200, id, "good\r\n"));
        assert!(w.find("good").is_some(), "{id}");
    }
    let entry = ServerStatus {
        name_hash: peers::hash_server_name(LAST),
        age_ms: 100.0,
        stream_share: 0.5,
        link_use: 0.5,
        known_uptime_ms: 1_000.0,
    };
    let news = peers::encode(&[entry]);
    let heard =
        |w: &World| w.node.engine.state.fleet.servers.values().filter(|s| s.link_use.is_some()).count();
    let before = heard(&w);
    w.node.peer_datagram("10.9.9.9:7946".parse().unwrap(), &news, w.now);
    assert_eq!(heard(&w), before, "a stranger");
    w.node.peer_datagram(node_address(NODES - 1).parse().unwrap(), &news, w.now);
    assert_eq!(heard(&w), before + 1, "the last of the nodes");
}

/// The list falls silent for long, and then comes whole with everything changed at once, while a SETUP is out at a
/// server that is on it no more: its answer still counts; where its connection ends, a new server is asked.
#[test_case(true; "it answers")]
#[test_case(false; "its connection ends")]
fn a_set_up_out_at_a_server_that_a_late_list_drops_is_answered(answers: bool) {
    let mut w = World::new();
    // Questions go out all the time, and nobody answers.
    w.pass(12_000.0);
    let viewer = w.viewer();
    w.says(viewer, &wanted(1, "").replace("copies:2", "copies:1"));
    let (first, _) = w.setup_of(1);
    let (names, question) = w.queries.last().unwrap().clone();
    let line = ("s-0000000a.depot-a.hosts", [10, 1, 0, 9], 5_060);
    w.node.name_service_datagram(names, &dns::list(&question, 40, &[line], "started=0"), w.now);
    w.node.process_due(w.now);
    w.run();
    assert_eq!(w.find("RTSP/1.0"), None, "nothing is over yet");
    let from = if answers {
        first
    } else {
        w.ends(first, ConnectionEnd::Closed);
        w.setup_of(1).0
    };
    w.says(from, &reply(200, 1, "good\r\n"));
    assert_eq!(w.find("good").unwrap().0, viewer);
    assert_eq!(w.find("good"), None, "once");
}
