//! Checks with real connections that the front node leaks no descriptors and that no connection starves another.
#[path = "support/node.rs"]
mod node;

use node::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};
use walnutline_node::limits;

const PING: &str = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";

fn open_descriptors(node: &TestNode) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.process.id())).unwrap().count()
}

/// Guards against a descriptor leak for each connection to a server that is never established, whether or not an
/// event reports its end. One connection in fifty is never established on the operators' platform.
#[test]
fn connections_never_established_leak_no_descriptor() {
    let (node, _server) = TestNode::with_scripted_server(128, |text| text);
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(PING);
    viewer.receive();
    let before = open_descriptors(&node);
    let queued = fill_accept_queue(node.server_address);
    for id in 1..=12 {
        viewer.send(&setup_request(id));
        let refused = viewer.receive();
        assert!(refused.starts_with("RTSP/1.0 503"), "{refused}");
    }
    // Longer than the connect time-out.
    std::thread::sleep(Duration::from_millis(600));
    assert!(
        open_descriptors(&node) <= before + limits::MAX_CONNECTIONS_PER_SERVER,
        "{} after {before}",
        open_descriptors(&node)
    );
    drop(queued);
}

/// Descriptors are released both for silent connections that the viewer closes and for those that the node closes for
/// their silence.
#[test]
fn silent_connections_leak_no_descriptor() {
    let (node, _server) = TestNode::with_scripted_server(128, |text| text);
    let mut viewer = Connection::new(node.connect_viewer());
    let before = {
        viewer.send(PING);
        viewer.receive();
        open_descriptors(&node)
    };
    let (closed, silent): (Vec<_>, Vec<_>) = (0..30)
        .map(|_| Connection::new(node.connect_viewer()))
        .enumerate()
        .partition(|(index, _)| index % 2 == 0);
    drop(closed);
    for (_, mut connection) in silent {
        assert_eq!(connection.stream.read(&mut [0; 1]).unwrap(), 0, "closed within 20 s");
    }
    let deadline = Instant::now() + RECEIVE_TIMEOUT;
    while open_descriptors(&node) > before && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(open_descriptors(&node) <= before, "{} after {before}", open_descriptors(&node));
}

/// The viewer ends its session at the server while the answer to its SETUP is on its way: the answer is still sent,
/// and the log records the end.
#[test]
fn session_end_that_crosses_the_answer_is_logged() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&setup_request(1));
    let (mut server_connection, _) = server.receive_request();
    server_connection.send(&(response(200, 1, 1, "b=2\r\n") + &teardown_request(1, Some(31))));
    assert!(viewer.receive().starts_with("RTSP/1.0 200"));
    let line = std::iter::repeat_with(|| node.log_lines.recv_timeout(RECEIVE_TIMEOUT).unwrap())
        .find(|line| line.contains("ended by its viewer"));
    assert!(line.unwrap().contains("session 0000000000000001"));
}

/// One viewer sends without pause and reads its answers; another one is still answered within 500 ms.
#[test]
fn viewer_that_sends_without_pause_does_not_delay_others() {
    let node = TestNode::start();
    let flood = node.connect_viewer();
    let done = Arc::new(AtomicBool::new(false));
    let (mut read_half, mut write_half, stop) = (flood.try_clone().unwrap(), flood, done.clone());
    let reader = std::thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while read_half.read(&mut buffer).is_ok_and(|n| n > 0) {}
    });
    let sender = std::thread::spawn(move || {
        let pings = PING.repeat(500);
        while !stop.load(Ordering::SeqCst) && write_half.write_all(pings.as_bytes()).is_ok() {}
        let _ = write_half.shutdown(std::net::Shutdown::Both);
    });
    let mut other = Connection::new(node.connect_viewer());
    for id in 1..=50 {
        let started = Instant::now();
        // Each session is ended at once, as the server has no capacity for all of them.
        other.send(&setup_request(id));
        assert!(other.receive().starts_with("RTSP/1.0 200"));
        other.send(&teardown_request(id, Some(31)));
        while !other.receive().contains("CSeq: 2") {}
        assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    }
    done.store(true, Ordering::SeqCst);
    sender.join().unwrap();
    reader.join().unwrap();
}

/// Connections close while others open, so that descriptor numbers are reused: each new connection must be polled.
#[test]
fn reused_descriptors_are_polled() {
    let node = TestNode::start();
    let (close_sender, to_close) = channel::<Connection>();
    // Closes connections while the loop below opens new ones.
    let closer = std::thread::spawn(move || to_close.iter().for_each(drop));
    for round in 0..3_000 {
        let mut viewer = Connection::new(node.connect_viewer());
        viewer.send(PING);
        assert!(viewer.receive_within(Duration::from_secs(5)).is_some(), "round {round}: no answer");
        close_sender.send(viewer).unwrap();
    }
    drop(close_sender);
    closer.join().unwrap();
}
