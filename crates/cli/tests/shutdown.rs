//! Requests that reach a front node between SIGTERM and the kill, with real processes and connections. The servers
//! hang, so that only the node itself can end a request.
#[path = "support/node.rs"]
mod node;

use node::*;
use std::io::Write;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time from SIGTERM to SIGKILL beyond the longest deadline of the settings.
const KILL_DELAY: Duration = Duration::from_millis(700);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A node whose longest deadline is `longest_wait_ms`, with a session that keeps it running after SIGTERM. From then on
/// its server hangs.
fn node_with_session(longest_wait_ms: u64) -> (TestNode, ScriptedServer, Connection) {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| {
        text.replace("\"hard_limit\":3000.0", &format!("\"hard_limit\":{longest_wait_ms}.0"))
    });
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&setup_request(1));
    let (mut server_connection, _) = server.receive_request();
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    assert!(viewer.receive().starts_with("RTSP/1.0 200"));
    server.add_connection(server_connection);
    (node, server, viewer)
}

/// A SETUP whose viewer waits this long.
fn setup_with_wait(id: u64, wait: Duration) -> String {
    setup_request(id).replace("X-Ring-Limit: 3000", &format!("X-Ring-Limit: {}", wait.as_millis()))
}

/// The viewer's next answer to a SETUP, if one comes before the deadline.
fn answer_before(viewer: &mut Connection, deadline: Instant) -> Option<String> {
    let remaining = deadline.checked_duration_since(Instant::now()).filter(|d| !d.is_zero())?;
    viewer.receive_within(remaining)
}

#[test_case(3_000, 3_300; "after most of a long shutdown")]
#[test_case(3_000, 300; "at the beginning of a long shutdown")]
#[test_case(300, 600; "in a short shutdown")]
#[test_case(9_000, 500; "with a deadline beyond the kill")]
fn request_to_a_hung_server_is_answered_before_a_stopping_node_is_killed(wait_ms: u64, sent_after_ms: u64) {
    let longest_wait = ms(wait_ms.min(3_000));
    let (node, _server, mut viewer) = node_with_session(wait_ms);
    node.signal("-TERM");
    let killed_at = Instant::now() + longest_wait + KILL_DELAY;
    std::thread::sleep(ms(sent_after_ms));
    viewer.send(&setup_with_wait(2, ms(wait_ms)));
    let answer = answer_before(&mut viewer, killed_at);
    assert!(answer.as_ref().is_some_and(|a| a.contains("0000000000000002")), "{answer:?}");
}

/// Sends requests until the connection ends or the time is over, each after the last answer or after 40 ms, and returns
/// the ids of those without an answer. A request that crosses the close of a connection is sent again elsewhere.
fn unanswered_requests(viewer: &mut Connection, first_id: u64, wait: Duration, until: Instant) -> Vec<u64> {
    let mut open: Vec<(u64, Instant)> = Vec::new();
    for id in first_id.. {
        let sent_at = Instant::now();
        let text = setup_with_wait(id, wait);
        if sent_at >= until || viewer.stream.write_all(text.as_bytes()).is_err() {
            break;
        }
        open.push((id, sent_at));
        match viewer.receive_within(ms(40)) {
            Some(message) => open.retain(|(id, _)| !message.contains(&format!("{id:016x}"))),
            None if viewer.is_closed() => break,
            None => {}
        }
    }
    let ended_at = Instant::now();
    open.retain(|(_, sent_at)| ended_at.duration_since(*sent_at) > ms(50));
    open.into_iter().map(|(id, _)| id).collect()
}

#[test_case(3_000; "long deadline")]
#[test_case(300; "short deadline")]
fn requests_repeated_until_the_kill_are_answered_and_the_node_exits(wait_ms: u64) {
    const VIEWERS: u64 = 6;
    let (mut node, _server, _session_viewer) = node_with_session(wait_ms);
    let viewers: Vec<Connection> = (0..VIEWERS).map(|_| Connection::new(node.connect_viewer())).collect();
    node.signal("-TERM");
    let killed_at = Instant::now() + ms(wait_ms) + KILL_DELAY;
    let repeat = move |(mut viewer, index): (Connection, u64)| {
        unanswered_requests(&mut viewer, (index + 1) * 100_000, ms(wait_ms), killed_at)
    };
    let threads: Vec<_> =
        viewers.into_iter().zip(0..).map(|viewer| std::thread::spawn(move || repeat(viewer))).collect();
    let unanswered: Vec<u64> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    assert!(unanswered.is_empty(), "{} unanswered: {unanswered:x?}", unanswered.len());
    let remaining = killed_at.saturating_duration_since(Instant::now());
    assert!(node.exit_status_within(remaining).expect("the node exits before the kill").success());
}
