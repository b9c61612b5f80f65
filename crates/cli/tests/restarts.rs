//! Shutdown, reload and kill of the front node's process, and the requests that arrive meanwhile, with real
//! connections.
#[path = "support/node.rs"]
mod node;

use node::*;
use std::net::{TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use test_case::test_case;

/// A node must exit within this time after SIGTERM when its viewers wait 3 s at most, before the platform kills it.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(3_700);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn sleep_until(deadline: Instant) {
    std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
}

/// Whether the viewer receives a whole answer for this session within that time.
fn is_answered(viewer: &mut Connection, id: u64, timeout: Duration) -> bool {
    let id = format!("{id:016x}");
    let deadline = Instant::now() + timeout;
    while let Some(remaining) = deadline.checked_duration_since(Instant::now()).filter(|d| !d.is_zero()) {
        match viewer.receive_within(remaining) {
            Some(message) if message.starts_with("RTSP/1.0") && message.contains(&id) => return true,
            Some(_) => {}
            None => return false,
        }
    }
    false
}

/// After SIGTERM the process is stopped for a while. Connections with requests enter the accept queue meanwhile, and
/// the time in which requests are accepted passes: they must be answered all the same.
#[test]
fn requests_in_the_accept_queue_are_answered_before_exit() {
    const REQUESTS: u64 = 30;
    let mut node = TestNode::start();
    node.signal("-TERM");
    let signalled_at = Instant::now();
    sleep_until(signalled_at + ms(550));
    node.signal("-STOP");
    let mut waiting: Vec<Connection> =
        (0..REQUESTS).map(|_| Connection::new(node.connect_viewer())).collect();
    waiting.iter_mut().zip(0..).for_each(|(v, id)| v.send(&setup_request(id)));
    // Late, but not late enough for the process to notice that it was stopped.
    sleep_until(signalled_at + ms(770));
    node.signal("-CONT");
    let unanswered =
        waiting.iter_mut().zip(0..).filter_map(|(v, id)| (!is_answered(v, id, ms(3_000))).then_some(id));
    let unanswered: Vec<u64> = unanswered.collect();
    assert!(unanswered.is_empty(), "{unanswered:?}");
    drop(waiting);
    assert!(node.exit_status_within(ms(5_000)).unwrap().success());
}

/// All descriptors are taken by viewers that wait for answers, and one more viewer with a request is still in the
/// accept queue. It must be accepted, and all of them answered, before the process exits, which is before the kill.
#[test]
fn viewer_waiting_for_a_descriptor_is_answered_before_exit() {
    // The server has capacity for all sessions.
    let large_server =
        |text: String| text.replace("\"weight\":3,", "\"weight\":3000,").replace("[35,24]", "[3500,2400]");
    let (mut node, mut server) = TestNode::with_scripted_server(128, large_server);
    node.signal("-TERM");
    let signalled_at = Instant::now();
    let mut accepted = Vec::new();
    // Opens connections until one is not accepted.
    let (mut queued, id) = loop {
        let id = accepted.len() as u64;
        let mut viewer = Connection::new(node.connect_viewer());
        viewer.send(&setup_request(id).replace("3000", "9000"));
        match server.receive_request_within(ms(300)) {
            Some((server_connection, _)) => accepted.push((viewer, id, server_connection)),
            None => {
                assert_eq!(viewer.receive_within(ms(20)), None, "the connection was accepted");
                break (viewer, id);
            }
        }
        assert!(accepted.len() < 120, "the node accepts every connection");
    };
    // The server answers none of them, so that their descriptors are taken until the process ends.
    let killed_at = signalled_at + MAX_SHUTDOWN_TIME;
    let remaining = || killed_at.saturating_duration_since(Instant::now());
    for (viewer, id, _) in &mut accepted {
        assert!(is_answered(viewer, *id, remaining()), "{id}");
    }
    assert!(is_answered(&mut queued, id, remaining()));
    assert!(node.exit_status_within(remaining()).expect("the process exits").success());
}

/// The headers arrive before SIGTERM, and the body after the time at which an idle node exits.
#[test]
fn partly_received_request_is_answered_before_exit() {
    let mut node = TestNode::start();
    let mut viewer = Connection::new(node.connect_viewer());
    let text = setup_request(1);
    let (head, body) = text.split_at(text.len() - 5);
    viewer.send(head);
    std::thread::sleep(ms(50));
    node.signal("-TERM");
    let signalled_at = Instant::now();
    sleep_until(signalled_at + ms(1_200));
    viewer.send(body);
    assert!(is_answered(&mut viewer, 1, ms(2_000)));
    drop(viewer);
    assert!(node
        .exit_status_within(MAX_SHUTDOWN_TIME.saturating_sub(signalled_at.elapsed()))
        .unwrap()
        .success());
}

/// A request in two parts on a new connection, the second part more than 2 s after the first.
#[test_case(10; "within the first line")]
#[test_case(120; "within a header")]
#[test_case(usize::MAX; "within the body")]
fn request_received_in_two_parts_is_answered(split_at: usize) {
    let node = TestNode::start();
    let mut viewer = Connection::new(node.connect_viewer());
    let text = setup_request(1);
    let (first, second) = text.split_at(split_at.min(text.len() - 5));
    viewer.send(first);
    // Longer than the time after which a silent connection may be closed.
    std::thread::sleep(ms(2_300));
    viewer.send(second);
    assert!(is_answered(&mut viewer, 1, ms(2_000)));
}

/// Three requests in one write, except the end of the last one.
#[test]
fn whole_requests_are_answered_before_a_partial_one() {
    let node = TestNode::start();
    let mut viewer = Connection::new(node.connect_viewer());
    let last = setup_request(3);
    let (head, body) = last.split_at(last.len() - 3);
    viewer.send(&format!("{}{}{head}", setup_request(1), setup_request(2)));
    let mut answered =
        [viewer.receive(), viewer.receive()].map(|message| session_header(&message).to_owned());
    answered.sort();
    assert_eq!(answered, ["Session: 0000000000000001", "Session: 0000000000000002"]);
    viewer.send(body);
    assert!(is_answered(&mut viewer, 3, ms(2_000)));
}

/// The configuration is a pipe, so that reading it never ends: SIGTERM must still be obeyed.
#[test]
fn hanging_reload_does_not_delay_shutdown() {
    let mut node = TestNode::start();
    std::fs::remove_file(&node.configuration_path).unwrap();
    assert!(Command::new("mkfifo").arg(&node.configuration_path).status().unwrap().success());
    node.signal("-HUP");
    std::thread::sleep(ms(100));
    let mut viewer = Connection::new(node.connect_viewer());
    node.signal("-TERM");
    viewer.send(&setup_request(1));
    assert!(is_answered(&mut viewer, 1, ms(2_000)));
    assert!(node.exit_status_within(MAX_SHUTDOWN_TIME).expect("the process exits").success());
}

/// SIGHUP followed at once by SIGTERM: the new name service is queried, requests are answered, and the process exits
/// in time.
#[test]
fn reload_followed_by_shutdown_does_both() {
    let mut node = TestNode::start();
    let new_service = UdpSocket::bind("127.0.0.1:0").unwrap();
    new_service.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let (old, new) = (node.name_service.local_addr().unwrap(), new_service.local_addr().unwrap());
    let text = std::fs::read_to_string(&node.configuration_path)
        .unwrap()
        .replace(&old.to_string(), &new.to_string());
    std::fs::write(&node.configuration_path, text).unwrap();
    let mut viewer = Connection::new(node.connect_viewer());
    node.signal("-HUP");
    node.signal("-TERM");
    let signalled_at = Instant::now();
    for id in 0..20 {
        viewer.send(&setup_request(id));
        assert!(is_answered(&mut viewer, id, ms(2_000)), "{id}");
        std::thread::sleep(ms(25));
    }
    new_service.recv_from(&mut [0; 512]).expect("a query at the new name service");
    assert!(node
        .exit_status_within(MAX_SHUTDOWN_TIME.saturating_sub(signalled_at.elapsed()))
        .unwrap()
        .success());
}

/// Without open requests the process exits well before it would be killed, though idle viewers stay connected.
#[test]
fn idle_viewers_do_not_delay_shutdown() {
    let mut node = TestNode::start();
    let idle: Vec<Connection> = (0..20).map(|_| Connection::new(node.connect_viewer())).collect();
    node.signal("-TERM");
    assert!(node.exit_status_within(ms(1_500)).expect("the process exits").success());
    drop(idle);
}

/// The log line at exit counts the requests received: each was answered, given up by its viewer, or is still open.
#[test]
fn request_counts_at_exit_add_up_under_load() {
    const REQUESTS_EACH: u64 = 60;
    const VIEWERS: u64 = 4;
    let mut node = TestNode::start();
    let address = node.address;
    let viewers: Vec<_> = (0..VIEWERS)
        .map(|viewer_index| {
            std::thread::spawn(move || {
                let mut viewer = Connection::new(std::net::TcpStream::connect(address).unwrap());
                let mut answered = 0;
                for request_index in 0..REQUESTS_EACH {
                    let id = 1 + viewer_index * REQUESTS_EACH + request_index;
                    match request_index % 6 {
                        // Withdrawn in the same write.
                        0 => viewer.send(&(setup_request(id) + &teardown_request(id, None))),
                        // Refused for its unknown class.
                        1 => viewer.send(&setup_request(id).replace("board-loop", "nobody")),
                        _ => viewer.send(&setup_request(id)),
                    }
                    answered +=
                        u64::from(request_index % 6 != 0 && is_answered(&mut viewer, id, RECEIVE_TIMEOUT));
                }
                // One more request, withdrawn at once.
                viewer.send(
                    &(setup_request(10_000 + viewer_index) + &teardown_request(10_000 + viewer_index, None)),
                );
                // When the ping is answered, the answers to the withdrawn requests have been read.
                viewer.send("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
                while !viewer.receive().contains("CSeq: 3") {}
                answered
            })
        })
        .collect();
    let answered: u64 = viewers.into_iter().map(|viewer| viewer.join().unwrap()).sum();
    let given_up = VIEWERS * (REQUESTS_EACH / 6 + 1);
    node.signal("-TERM");
    assert!(node.exit_status_within(MAX_SHUTDOWN_TIME).unwrap().success());
    let lines: Vec<String> = node.log_lines.iter().collect();
    let line = lines.iter().find(|line| line.contains("stopped ")).expect("the node logs its request counts");
    let taken = answered + given_up;
    let counts = format!("taken={taken} answered={answered} given_up={given_up} open=0");
    assert!(line.contains(&counts), "{line}, not {counts}");
    assert_eq!(answered, VIEWERS * REQUESTS_EACH - VIEWERS * REQUESTS_EACH / 6);
}

/// The process is killed right after it accepted a connection. The new one must serve a write that holds a SETUP
/// between two requests that take over sessions already placed on the server.
#[test]
fn process_after_a_kill_takes_over_sessions_and_serves_requests() {
    let (mut node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&setup_request(1));
    let (_, setup) = server.receive_request();
    assert!(setup.starts_with("SETUP"), "{setup}");
    let _accepted = Connection::new(node.connect_viewer());
    node.restart();
    let mut viewer = Connection::new(node.connect_viewer());
    let existing_session =
        |id| setup_request(id).replace("3000", "4294967").replace("top:4;", "top:4;at:s-00000001;");
    viewer.send(&format!("{}{}{}", existing_session(2), setup_request(3), existing_session(4)));
    let (mut server_connection, setup) = loop {
        match server.receive_request() {
            (connection, message) if message.starts_with("SETUP") => break (connection, message),
            // The rungs of the sessions taken over.
            (connection, _) => server.add_connection(connection),
        }
    };
    assert!(setup.contains("0000000000000003"), "{setup}");
    server_connection.send(
        &(response(200, 1, 3, "b=2\r\n") + &teardown_request(2, Some(16)) + &teardown_request(4, Some(41))),
    );
    let messages: Vec<String> = (0..3).map(|_| viewer.receive()).collect();
    let has = |first: &str, second: &str| {
        messages.iter().any(|message| message.contains(first) && message.contains(second))
    };
    assert!(has("RTSP/1.0 200", "0000000000000003"), "{messages:?}");
    assert!(has("cause=16", "0000000000000002") && has("cause=41", "0000000000000004"), "{messages:?}");
}

/// Four processes go through a series of faults; after each one, every process must still answer a new request.
#[test]
fn every_process_answers_after_each_fault() {
    let mut fleet: Vec<TestNode> = (0..4).map(|_| TestNode::start()).collect();
    let mut next_id = 0;
    let mut serve = |fleet: &[TestNode], after: &str| {
        for (n, node) in fleet.iter().enumerate() {
            next_id += 1;
            let mut viewer = Connection::new(node.connect_viewer());
            viewer.send(&setup_request(next_id));
            let answer = viewer.receive();
            assert!(answer.starts_with("RTSP/1.0 200"), "process {n} after {after}: {answer}");
        }
    };
    serve(&fleet, "the start");
    let silent: Vec<Vec<Connection>> =
        fleet.iter().map(|node| (0..200).map(|_| Connection::new(node.connect_viewer())).collect()).collect();
    serve(&fleet, "200 silent connections each");
    drop(silent);
    serve(&fleet, "the end of the silent connections");
    let partial: Vec<Vec<Connection>> = fleet
        .iter()
        .map(|node| {
            let mut all: Vec<Connection> = (0..60).map(|_| Connection::new(node.connect_viewer())).collect();
            // The node may have closed some of them already, as descriptors run short.
            all.iter_mut()
                .for_each(|viewer| drop(std::io::Write::write_all(&mut viewer.stream, b"SETUP rtsp://")));
            all
        })
        .collect();
    serve(&fleet, "incomplete requests");
    partial.into_iter().flatten().for_each(Connection::reset);
    serve(&fleet, "resets");
    for node in &fleet {
        std::fs::write(&node.configuration_path, "{").unwrap();
        node.signal("-HUP");
    }
    serve(&fleet, "a configuration that can't be parsed");
    for node in &fleet {
        node.signal("-STOP");
    }
    std::thread::sleep(ms(500));
    for node in &fleet {
        node.signal("-CONT");
    }
    serve(&fleet, "a stop of 500 ms");
    // The server of one node dies and comes back: its sessions are released, and it must get requests again.
    let node = &mut fleet[0];
    node.server_mode.store(SERVER_STOPS, Ordering::SeqCst);
    let _ = std::net::TcpStream::connect(node.server_address);
    std::thread::sleep(ms(300));
    node.restart_server(TcpListener::bind(node.server_address).unwrap());
    let deadline = Instant::now() + RECEIVE_TIMEOUT;
    let served = (9_000..).take_while(|_| Instant::now() < deadline).any(|id| {
        let mut viewer = Connection::new(fleet[0].connect_viewer());
        viewer.send(&setup_request(id));
        // Releases of the sessions that ended with the server come on the same connection.
        let answer = std::iter::repeat_with(|| viewer.receive())
            .find(|message| message.starts_with("RTSP/1.0"))
            .unwrap();
        std::thread::sleep(ms(100));
        answer.starts_with("RTSP/1.0 200")
    });
    assert!(served, "no request answered after the server came back");
}
