//! Race conditions between events, with real connections. Each test forces the critical order: it delays an answer,
//! stops the process with SIGSTOP, or fills a buffer. docs/design/crossings.md lists the races.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
#[path = "support/node.rs"]
mod node;

use node::*;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};
use test_case::test_case;
use walnutline_node::limits;

/// How long the name service tells an older list alone: longer than any outage that the platform allows.
const OLDER_LIST_DURATION: Duration = Duration::from_millis(5_700);
/// How long to wait for a SETUP that must not be sent; a faulty node would send it within milliseconds.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// An OPTIONS request with a body of that many bytes.
fn ping(body_length: usize) -> String {
    let body = "x".repeat(body_length);
    format!("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends a SETUP on a new viewer connection and waits until the server has received it. Returns the viewer's
/// connection and the server's.
fn start_setup(node: &TestNode, server: &mut ScriptedServer, id: u64) -> (Connection, Connection) {
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&setup_request(id));
    let (server_connection, setup) = server.receive_request();
    assert!(setup.starts_with("SETUP") && setup.contains(&format!("{id:016x}")), "{setup}");
    (viewer, server_connection)
}

/// How a viewer ends its request.
#[derive(Clone, Copy, Debug)]
enum ViewerExit {
    Cancel,
    Close,
    HalfClose,
    Reset,
}

/// Ends the request, and returns the connection unless it was reset.
fn end_request(mut viewer: Connection, id: u64, exit: ViewerExit) -> Option<Connection> {
    match exit {
        ViewerExit::Cancel => viewer.send(&teardown_request(id, None)),
        ViewerExit::Close => drop(viewer.stream.shutdown(Shutdown::Both)),
        ViewerExit::HalfClose => drop(viewer.stream.shutdown(Shutdown::Write)),
        ViewerExit::Reset => {
            viewer.reset();
            return None;
        }
    }
    Some(viewer)
}

/// The viewer sends a SETUP and ends it at once. The node is stopped until both have arrived.
#[test_case(ViewerExit::Cancel; "cancels")]
#[test_case(ViewerExit::Close; "closes")]
#[test_case(ViewerExit::HalfClose; "half closes")]
fn request_ended_with_its_arrival_sends_no_setup(exit: ViewerExit) {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    // With a connection to the server and a recent load report of it, the SETUP would be sent at once.
    let (mut first, mut server_connection) = start_setup(&node, &mut server, 1);
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    first.receive();
    server.add_connection(server_connection);
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&ping(0));
    viewer.receive();
    node.signal("-STOP");
    viewer.send(&setup_request(2));
    let viewer = end_request(viewer, 2, exit);
    node.signal("-CONT");
    let request = server.receive_request_within(ABSENCE_TIMEOUT);
    assert!(request.is_none(), "{:?}", request.map(|(_, message)| message));
    first.send(&ping(0));
    first.receive();
    drop(viewer);
}

/// The viewer ends its request while the node waits for the answer to a probe, which then arrives.
#[test_case(ViewerExit::Cancel; "cancels")]
#[test_case(ViewerExit::Close; "closes")]
#[test_case(ViewerExit::HalfClose; "half closes")]
#[test_case(ViewerExit::Reset; "resets")]
fn request_ended_during_a_probe_sends_no_setup(exit: ViewerExit) {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&setup_request(1));
    let mut server_connection = Connection::new(server.listener.accept().unwrap().0);
    let probe = server_connection.receive();
    assert!(probe.starts_with("OPTIONS"), "{probe}");
    let viewer = end_request(viewer, 1, exit);
    std::thread::sleep(Duration::from_millis(100));
    let report = "X-Circuits: inflight:1;x0:0.2\r\nContent-Length: 0\r\n\r\n";
    server_connection.send(&format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\n{}\r\n{report}", session_header(&probe)));
    server.add_connection(server_connection);
    let request = server.receive_request_within(ABSENCE_TIMEOUT);
    assert!(request.is_none(), "{:?}", request.map(|(_, message)| message));
    drop(viewer);
}

/// The viewer ends its request while its SETUP waits for a connection to the server, which is established late
/// because the server's accept queue is full.
#[test_case(ViewerExit::Cancel; "cancels")]
#[test_case(ViewerExit::Close; "closes")]
#[test_case(ViewerExit::HalfClose; "half closes")]
fn request_ended_while_connecting_sends_no_setup(exit: ViewerExit) {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| {
        text.replace("\"connect_timeout\":250.0", "\"connect_timeout\":9000.0")
    });
    let queued = fill_accept_queue(node.server_address);
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&setup_request(1));
    // After the probe time-out it is the SETUP itself that waits for the connection.
    std::thread::sleep(Duration::from_millis(500));
    let viewer = end_request(viewer, 1, exit);
    drop(queued);
    // The connection is established when the kernel retransmits its SYN, after one or three seconds.
    let request = server.receive_request_within(Duration::from_millis(3_500));
    assert!(request.is_none(), "{:?}", request.map(|(_, message)| message));
    assert!(server.has_answered_probe(), "no connection was established");
    drop(viewer);
}

/// The first SETUP fails, and the viewer ends its request behind so many unread bytes that the node reads the failure
/// first. The node is stopped until both have arrived.
#[test_case(ViewerExit::Cancel; "cancels")]
#[test_case(ViewerExit::Close; "closes")]
#[test_case(ViewerExit::HalfClose; "half closes")]
fn request_ended_behind_unread_bytes_sends_no_further_setup(exit: ViewerExit) {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let (mut viewer, mut server_connection) = start_setup(&node, &mut server, 1);
    node.signal("-STOP");
    server_connection.send(&response(500, 1, 1, ""));
    // More than the node reads of one connection before it processes what it read.
    (0..8).for_each(|_| viewer.send(&ping(3_900)));
    let viewer = end_request(viewer, 1, exit);
    node.signal("-CONT");
    server.add_connection(server_connection);
    let request = server.receive_request_within(ABSENCE_TIMEOUT);
    assert!(request.is_none(), "{:?}", request.map(|(_, message)| message));
    drop(viewer);
}

/// Guards against unread bytes blocking the further SETUP of a viewer that is still connected.
#[test]
fn request_continued_behind_unread_bytes_sends_a_further_setup() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let (mut viewer, mut server_connection) = start_setup(&node, &mut server, 1);
    node.signal("-STOP");
    server_connection.send(&response(500, 1, 1, ""));
    (0..8).for_each(|_| viewer.send(&ping(3_900)));
    node.signal("-CONT");
    server.add_connection(server_connection);
    let (mut server_connection, setup) = server.receive_request();
    assert!(setup.starts_with("SETUP"), "{setup}");
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    let answer = std::iter::repeat_with(|| viewer.receive()).find(|message| message.contains("b=2")).unwrap();
    assert!(answer.starts_with("RTSP/1.0 200"), "{answer}");
}

/// Idle connections take all descriptors when a new one arrives, and each of them holds a SETUP that the node has not
/// read yet. None may be closed to make room.
#[test]
fn connection_with_an_unread_setup_is_not_closed_for_a_new_one() {
    const IDLE_VIEWERS: usize = 42;
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let mut idle: Vec<Connection> =
        (0..IDLE_VIEWERS).map(|_| Connection::new(node.connect_viewer())).collect();
    for viewer in &mut idle {
        viewer.send(&ping(0));
        viewer.receive();
    }
    node.signal("-STOP");
    let new = node.connect_viewer();
    for (index, viewer) in idle.iter_mut().enumerate() {
        viewer.send(&setup_request(index as u64 + 1));
    }
    node.signal("-CONT");
    let answers = std::thread::spawn(move || {
        idle.iter_mut().map(|viewer| read_message(&mut viewer.stream, &mut String::new())).collect::<Vec<_>>()
    });
    let deadline = Instant::now() + RECEIVE_TIMEOUT;
    while !answers.is_finished() && Instant::now() < deadline {
        if let Some((mut server_connection, message)) =
            server.receive_request_within(Duration::from_millis(50))
        {
            if message.starts_with("SETUP") {
                let id =
                    u64::from_str_radix(session_header(&message).split(' ').nth(1).unwrap(), 16).unwrap();
                server_connection.send(&response(200, 1, id, "b=2\r\n"));
            }
            server.add_connection(server_connection);
        }
    }
    let unanswered = answers.join().unwrap().iter().filter(|answer| answer.is_none()).count();
    assert_eq!(unanswered, 0, "of {IDLE_VIEWERS}");
    drop(new);
}

/// SIGTERM arrives when no request is open but answers are still buffered for a viewer that reads slowly: the viewer
/// must receive all of them whole.
#[test]
fn buffered_answers_are_sent_before_exit() {
    const BODY_BYTES: usize = 15_000;
    let (mut node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let body = "d".repeat(BODY_BYTES);
    let connect_slow_viewer = |node: &TestNode| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        socket.connect(&node.address.into()).unwrap();
        Connection::new(socket.into())
    };
    let mut next_id = 0;
    // Sets up and ends a session, whose answer the viewer does not read. False once the node has closed the viewer's
    // connection.
    let mut add_unread_answer = |viewer: &mut Connection| -> bool {
        next_id += 1;
        if viewer.stream.write_all(setup_request(next_id).as_bytes()).is_err() {
            return false;
        }
        let Some((mut server_connection, _)) = server.receive_request_within(Duration::from_millis(400))
        else {
            return false;
        };
        server_connection.send(&(response(200, 1, next_id, &body) + &teardown_request(next_id, Some(31))));
        while !server_connection.receive().starts_with("RTSP/1.0 200") {}
        server.add_connection(server_connection);
        true
    };
    // The first viewer measures how many answers fit into the sockets and the node's buffer; the second gets fewer.
    let mut first = connect_slow_viewer(&node);
    let capacity = (0..2_000).take_while(|_| add_unread_answer(&mut first)).count();
    let mut slow = connect_slow_viewer(&node);
    let sent = capacity - limits::MAX_BACKLOG_BYTES / BODY_BYTES / 2;
    assert!((0..sent).all(|_| add_unread_answer(&mut slow)));
    node.signal("-TERM");
    let signalled_at = Instant::now();
    std::thread::sleep(Duration::from_millis(1_500));
    let mut received = 0;
    while let Some(message) = read_message(&mut slow.stream, &mut slow.unparsed) {
        received += usize::from(message.starts_with("RTSP/1.0 200") && message.ends_with(&body));
    }
    assert_eq!(received, sent, "of {capacity}");
    assert!(node.process.wait().unwrap().success());
    assert!(signalled_at.elapsed() < Duration::from_millis(3_700), "{:?}", signalled_at.elapsed());
    drop(first);
}

/// No descriptor is left, so that every accept fails: open connections must be served without delay.
#[test]
fn failing_accepts_do_not_delay_open_connections() {
    let (node, _server) = TestNode::with_scripted_server(48, |text| text);
    let mut accepted = Connection::new(node.connect_viewer());
    accepted.send(&ping(0));
    accepted.receive();
    let queued: Vec<_> = (0..60).map(|_| std::net::TcpStream::connect(node.address).unwrap()).collect();
    let line = node.log_lines.recv_timeout(RECEIVE_TIMEOUT).unwrap();
    assert!(line.contains("accept"), "{line}");
    let started = Instant::now();
    for _ in 0..60 {
        accepted.send(&ping(0));
        accepted.receive();
    }
    // A node that sleeps 20 ms after each failed accept takes 1.2 s.
    assert!(started.elapsed() < Duration::from_millis(600), "{:?}", started.elapsed());
    drop(queued);
}

/// A viewer ends its session, and the connection that carries the release to the server breaks before the server
/// reads it.
#[test]
fn release_lost_with_a_server_connection_is_sent_again() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let (mut viewer, mut server_connection) = start_setup(&node, &mut server, 1);
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    viewer.receive();
    viewer.send(&teardown_request(1, Some(31)));
    // The node answers after it has written the release.
    assert!(viewer.receive().contains("CSeq: 2"));
    server_connection.reset();
    let (_, release) = server.receive_request();
    assert!(release.starts_with("TEARDOWN") && release.contains("0000000000000001"), "{release}");
}

/// A server first refuses a SETUP and then accepts it. No viewer has that session, so the node must release it.
#[test]
fn session_accepted_after_a_refusal_is_released() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let (mut viewer, mut server_connection) = start_setup(&node, &mut server, 1);
    server_connection.send(&response(453, 1, 1, ""));
    let refused = viewer.receive();
    assert!(refused.starts_with("RTSP/1.0 503"), "{refused}");
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    let release = server_connection.receive();
    assert!(release.starts_with("TEARDOWN") && release.contains("0000000000000001"), "{release}");
    assert_eq!(viewer.receive_within(Duration::from_millis(200)), None, "a second answer");
}

/// The server sends its positive answer twice: the session must be neither answered nor released a second time.
#[test]
fn duplicate_of_a_positive_answer_is_ignored() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let (mut viewer, mut server_connection) = start_setup(&node, &mut server, 1);
    server_connection.send(&response(200, 1, 1, "b=2\r\n").repeat(2));
    assert!(viewer.receive().starts_with("RTSP/1.0 200"));
    assert_eq!(viewer.receive_within(Duration::from_millis(200)), None, "a second answer");
    assert_eq!(server_connection.receive_within(Duration::from_millis(50)), None, "a release");
    server_connection.send(&teardown_request(1, Some(16)));
    assert!(viewer.receive().contains("cause=16"));
}

/// A server reports the end of a session, once, before a viewer asks the node to take that session over.
#[test]
fn session_end_received_before_takeover_is_forwarded() {
    let (node, server) = TestNode::with_scripted_server(128, |text| text);
    let mut viewer = Connection::new(node.connect_viewer());
    let existing_session = |id| setup_request(id).replace("top:4;", "top:4;at:s-00000001;");
    viewer.send(&existing_session(1));
    let mut server_connection = Connection::new(server.listener.accept().unwrap().0);
    server_connection.send(&teardown_request(2, Some(16)));
    // The node has read it once it answers.
    while !server_connection.receive().contains("CSeq: 2") {}
    viewer.send(&existing_session(2));
    let release = viewer.receive();
    assert!(
        release.starts_with("TEARDOWN")
            && release.contains("0000000000000002")
            && release.contains("cause=16"),
        "{release}"
    );
}

/// A viewer's connection has closed, but the node has not read that far, when the viewer repeats its request on
/// another connection. It must be answered there, once.
#[test]
fn request_repeated_on_another_connection_is_answered_there() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let (mut first, mut server_connection) = start_setup(&node, &mut server, 1);
    node.signal("-STOP");
    // So much that the node reads the other connection long before the end of this one.
    (0..64).for_each(|_| first.send(&ping(15_000)));
    drop(first.stream.shutdown(Shutdown::Both));
    let mut second = Connection::new(node.connect_viewer());
    second.send(&setup_request(1));
    node.signal("-CONT");
    // The answer shows that the node has read the second connection.
    second.send(&ping(0));
    let pong = second.receive();
    assert!(pong.contains("CSeq: 3"), "{pong}");
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    let answer = second.receive();
    assert!(answer.starts_with("RTSP/1.0 200") && answer.contains("b=2"), "{answer}");
    let further_request = server_connection.receive_within(Duration::from_millis(300));
    assert!(further_request.is_none(), "{further_request:?}");
}

/// As above, but before the SETUP has been sent to the server: it is delayed by the unread bytes of the first
/// connection and must be sent for the second.
#[test]
fn request_repeated_before_its_setup_is_sent_is_answered() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let (mut other, mut server_connection) = start_setup(&node, &mut server, 1);
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    other.receive();
    server.add_connection(server_connection);
    let mut first = Connection::new(node.connect_viewer());
    first.send(&ping(0));
    first.receive();
    node.signal("-STOP");
    first.send(&setup_request(2));
    (0..24).for_each(|_| first.send(&ping(15_000)));
    drop(first.stream.shutdown(Shutdown::Both));
    other.send(&setup_request(2));
    node.signal("-CONT");
    let (mut server_connection, setup) =
        server.receive_request_within(Duration::from_secs(1)).expect("a SETUP");
    assert!(setup.starts_with("SETUP") && setup.contains("0000000000000002"), "{setup}");
    server_connection.send(&response(200, 1, 2, "b=2\r\n"));
    let answer = other.receive();
    assert!(answer.starts_with("RTSP/1.0 200") && answer.contains("b=2"), "{answer}");
}

/// A session ends after its viewer's connection was reset behind unread bytes: the release that was written to that
/// connection must be sent again on the next one.
#[test]
fn release_lost_with_a_viewer_connection_is_sent_again() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let (mut viewer, mut server_connection) = start_setup(&node, &mut server, 1);
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    viewer.receive();
    node.signal("-STOP");
    server_connection.send(&teardown_request(1, Some(16)));
    (0..8).for_each(|_| viewer.send(&ping(3_900)));
    viewer.reset();
    node.signal("-CONT");
    while !server_connection.receive().contains("CSeq: 2") {}
    server.add_connection(server_connection);
    let mut next = Connection::new(node.connect_viewer());
    next.send(&setup_request(2));
    let release = next.receive();
    assert!(
        release.starts_with("TEARDOWN")
            && release.contains("0000000000000001")
            && release.contains("cause=16"),
        "{release}"
    );
}

/// Answers the next query with a list of one server.
fn answer_query(name_service: &UdpSocket, serial: u32, server_name: &str, server: SocketAddr) {
    let deadline = Instant::now() + RECEIVE_TIMEOUT;
    let (query, sender) = loop {
        match pending_queries(name_service).pop() {
            Some(query) => break query,
            None if Instant::now() > deadline => panic!("no query"),
            None => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    let answer = dns::list(&query, serial, &[(server_name, [127, 0, 0, 1], server.port())], "started=0");
    name_service.send_to(&answer, sender).unwrap();
}

/// Checks that a session is placed on a new server, which alone is in the list that the node last received.
fn assert_places_on(node: &TestNode, listener: std::net::TcpListener, id: u64) {
    let mut server = ScriptedServer::new(listener);
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&setup_request(id));
    let (mut server_connection, setup) = server.receive_request();
    assert!(setup.starts_with("SETUP"), "{setup}");
    server_connection.send(&response(200, 1, id, "b=2\r\n"));
    assert!(viewer.receive().starts_with("RTSP/1.0 200"));
}

/// The first query is answered only after at least eleven more have been sent.
#[test]
fn late_list_answer_is_applied() {
    let (node, _server) = TestNode::with_scripted_server(128, |text| text);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut queries = Vec::new();
    while queries.len() < 12 {
        queries.extend(pending_queries(&node.name_service));
        std::thread::sleep(Duration::from_millis(10));
    }
    let (query, sender) = &queries[0];
    let answer =
        dns::list(query, 9, &[("s-0000000b.depot-a.hosts", [127, 0, 0, 1], address.port())], "started=0");
    node.name_service.send_to(&answer, sender).unwrap();
    assert_places_on(&node, listener, 1);
}

/// Guards against SETUPs to a draining server: an older list that was told alone for over 5 s was taken for one whose
/// numbers had begun anew. Numbers count from the node's start, so a lower one is always older.
#[test]
fn older_list_is_never_applied_however_long_it_is_told() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    answer_query(&node.name_service, 40, "s-00000001.depot-a.hosts", node.server_address);
    let started = Instant::now();
    while started.elapsed() < OLDER_LIST_DURATION {
        answer_query(&node.name_service, 2, "s-0000000b.depot-a.hosts", address);
    }
    let (mut viewer, mut first) = start_setup(&node, &mut server, 1);
    first.send(&response(200, 1, 1, "b=2\r\n"));
    viewer.receive();
    answer_query(&node.name_service, 41, "s-0000000b.depot-a.hosts", address);
    assert_places_on(&node, listener, 2);
}

/// The name service does not answer, and idle connections take all descriptors: requests must be served, signals
/// obeyed, and the list applied as soon as it arrives.
#[test]
fn idle_connections_during_a_discovery_outage_block_nothing() {
    let (mut node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let idle: Vec<Connection> = (0..150)
        .map(|index| {
            let mut viewer = Connection::new(node.connect_viewer());
            // Half of the connections have carried a session, and half are silent.
            if index % 2 == 0 {
                viewer.send(&setup_request(1_000 + index));
                let (mut server_connection, _) = server.receive_request();
                server_connection.send(
                    &(response(200, 1, 1_000 + index, "b=2\r\n")
                        + &teardown_request(1_000 + index, Some(31))),
                );
                assert!(viewer.receive().starts_with("RTSP/1.0 200"));
                server.add_connection(server_connection);
            }
            viewer
        })
        .collect();
    let (mut viewer, mut server_connection) = start_setup(&node, &mut server, 1);
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    assert!(viewer.receive().starts_with("RTSP/1.0 200"));
    let new_service = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (old, new) = (node.name_service.local_addr().unwrap(), new_service.local_addr().unwrap());
    let text = std::fs::read_to_string(&node.configuration_path)
        .unwrap()
        .replace(&old.to_string(), &new.to_string());
    std::fs::write(&node.configuration_path, text).unwrap();
    node.signal("-HUP");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    answer_query(&new_service, 9, "s-0000000b.depot-a.hosts", listener.local_addr().unwrap());
    assert_places_on(&node, listener, 2);
    node.signal("-TERM");
    assert!(node.process.wait().unwrap().success());
    drop(idle);
}

/// The new configuration changes more than the source of the server list: the node must log the changed paths and
/// apply nothing of it.
#[test]
fn reload_that_needs_a_restart_is_not_applied() {
    let (node, mut server) = TestNode::with_scripted_server(128, |text| text);
    let new_service = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (old, new) = (node.name_service.local_addr().unwrap(), new_service.local_addr().unwrap());
    let text = std::fs::read_to_string(&node.configuration_path).unwrap();
    let text =
        text.replace(&old.to_string(), &new.to_string()).replace("\"attempts_cap\":3", "\"attempts_cap\":1");
    // Swaps two class names: if they were applied without the rest, viewers of one class would get the other's
    // settings.
    let text = text
        .replace("board-loop", "x")
        .replace("council-notice", "board-loop")
        .replace("\"x\"", "\"council-notice\"");
    std::fs::write(&node.configuration_path, text).unwrap();
    node.signal("-HUP");
    let line = std::iter::repeat_with(|| node.log_lines.recv_timeout(RECEIVE_TIMEOUT).unwrap())
        .find(|line| line.contains("stays as it was"));
    let line = line.unwrap();
    assert!(
        line.contains("settings.limits.attempts_cap") && line.contains("settings.classes.0.name"),
        "{line}"
    );
    std::thread::sleep(Duration::from_millis(300));
    assert!(pending_queries(&new_service).is_empty());
    let (mut viewer, mut server_connection) = start_setup(&node, &mut server, 1);
    server_connection.send(&response(500, 1, 1, ""));
    server.add_connection(server_connection);
    let (mut server_connection, further) = server.receive_request();
    assert!(further.starts_with("SETUP"), "{further}");
    server_connection.send(&response(200, 1, 1, "b=2\r\n"));
    assert!(viewer.receive().starts_with("RTSP/1.0 200"));
}

/// Guards against a start that waits for a server, the name service or another node.
#[test]
fn node_starts_without_server_or_name_service() {
    let started = Instant::now();
    let (node, server) = TestNode::with_scripted_server(128, |text| text);
    drop(server);
    let mut viewer = Connection::new(node.connect_viewer());
    viewer.send(&ping(0));
    assert!(viewer.receive().starts_with("RTSP/1.0 200"));
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}
