//! The front node's binary on loopback: sessions, lost servers, bad input, overload, reload, shutdown and start
//! errors.
#[path = "support/node.rs"]
mod node;

use node::*;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn session_is_set_up_and_released_by_its_server() {
    let node = TestNode::start();
    let mut viewer = node.connect_viewer();
    viewer.write_all(setup_request(1).as_bytes()).unwrap();
    let answer = receive_first(&mut viewer);
    assert!(answer.starts_with("RTSP/1.0 200") && answer.ends_with("\r\n\r\nb=2\r\n"), "{answer}");
    let (mut server, setup) = node.server_requests.recv_timeout(RECEIVE_TIMEOUT).unwrap();
    assert!(setup.starts_with("SETUP") && setup.ends_with("a=1\r\n"), "{setup}");
    let teardown =
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000001\r\nReason: cause=16\r\n\
                Content-Length: 0\r\n\r\n";
    server.write_all(teardown.as_bytes()).unwrap();
    let release = receive_first(&mut viewer);
    assert!(release.starts_with("TEARDOWN") && release.contains("cause=16"), "{release}");
}

/// The server's process ends: its connections are closed and nothing listens at its address any more.
#[test]
fn session_is_released_when_its_server_dies() {
    let node = TestNode::start();
    let mut viewer = node.connect_viewer();
    viewer.write_all(setup_request(1).as_bytes()).unwrap();
    assert!(receive_first(&mut viewer).starts_with("RTSP/1.0 200"));
    node.server_mode.store(SERVER_STOPS, Ordering::SeqCst);
    // Wakes the server, which closes its listener and then its connections.
    let _ = TcpStream::connect(node.server_address);
    let release = receive_first(&mut viewer);
    assert!(release.starts_with("TEARDOWN") && release.contains("cause=41"), "{release}");
}

/// The server's machine vanishes: open connections stay silent, and new ones are never established.
#[test]
fn session_is_released_within_8_s_of_its_server_falling_silent() {
    let node = TestNode::start();
    let mut viewer = node.connect_viewer();
    viewer.write_all(setup_request(1).as_bytes()).unwrap();
    assert!(receive_first(&mut viewer).starts_with("RTSP/1.0 200"));
    node.server_mode.store(SERVER_SILENT, Ordering::SeqCst);
    let started = Instant::now();
    // With a full accept queue, further connections get no answer at all.
    let queued = fill_accept_queue(node.server_address);
    let release = receive_first(&mut viewer);
    assert!(release.starts_with("TEARDOWN") && release.contains("cause=41"), "{release}");
    assert!(started.elapsed() < Duration::from_secs(8), "{:?}", started.elapsed());
    drop(queued);
}

#[test_case(b"\x01\x02\x03\x04 rubbish \xff\xfe\r\n\r\n" ; "arbitrary bytes")]
#[test_case(b"SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: -1\r\n\r\n" ; "negative length")]
#[test_case(b"SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: 60000000\r\n\r\n" ; "body of 60 MB")]
#[test_case(b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n" ; "no session id")]
#[test_case(b"SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: 99999999999999999999\r\n\r\n" ; "length beyond 64 bits")]
#[test_case(b"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000ff\r\nContent-Length: 0\r\n\r\n" ; "unknown session id")]
#[test_case(setup_request(9).replace("board-loop", "nobody").as_bytes() ; "unknown class")]
#[test_case(setup_request(9).replace("home:0", "home:99").as_bytes() ; "cell out of range")]
#[test_case(setup_request(9).replace("3000", "NaN").as_bytes() ; "wait limit not a number")]
#[test_case(b"SETUP rtsp://media/" ; "incomplete request")]
#[test_case(b"" ; "silence")]
fn bad_input_gets_an_error_or_a_closed_connection_within_3_s(bytes: &[u8]) {
    let node = TestNode::start();
    let mut malformed = node.connect_viewer();
    let started = Instant::now();
    let _ = malformed.write_all(bytes);
    let mut buffer = [0; 16];
    let n = malformed.read(&mut buffer).unwrap_or(0);
    assert!(n == 0 || buffer.starts_with(b"RTSP/1.0 4"), "{:?}", &buffer[..n]);
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    let mut viewer = node.connect_viewer();
    viewer.write_all(setup_request(1).as_bytes()).unwrap();
    assert!(receive_first(&mut viewer).starts_with("RTSP/1.0 200"));
}

/// A viewer that sends requests and reads no answers is closed once its backlog is full; others are served meanwhile.
#[test]
fn viewer_that_does_not_read_is_closed_without_delaying_others() {
    let node = TestNode::start();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let mut flooding = TcpStream::from(socket);
    flooding.set_write_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let pings = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n".repeat(500);
    let flood =
        std::thread::spawn(move || (0..4_000).find_map(|_| flooding.write_all(pings.as_bytes()).err()));
    let mut viewer = node.connect_viewer();
    viewer.write_all(setup_request(1).as_bytes()).unwrap();
    assert!(receive_first(&mut viewer).starts_with("RTSP/1.0 200"));
    let error = flood.join().unwrap().expect("the node closes the connection").kind();
    use std::io::ErrorKind::{BrokenPipe, ConnectionReset};
    assert!(matches!(error, BrokenPipe | ConnectionReset), "{error:?}");
}

/// More silent connections than the node has descriptors: they are closed to make room for
/// viewers that send requests.
#[test]
fn silent_connections_are_closed_when_descriptors_run_short() {
    let node = TestNode::start();
    let silent: Vec<TcpStream> = (0..150).map(|_| node.connect_viewer()).collect();
    for id in 1..=3 {
        let mut viewer = node.connect_viewer();
        viewer.write_all(setup_request(id).as_bytes()).unwrap();
        assert!(receive_first(&mut viewer).starts_with("RTSP/1.0 200"));
    }
    drop(silent);
}

/// After a reload the node queries the name service of the new configuration; a configuration that can't be parsed
/// changes nothing.
#[test]
fn reloaded_configuration_changes_the_name_service() {
    let node = TestNode::start();
    let mut query = [0; 512];
    node.name_service.recv_from(&mut query).expect("a query at the first name service");
    let original = std::fs::read_to_string(&node.configuration_path).unwrap();
    std::fs::write(&node.configuration_path, "{").unwrap();
    node.signal("-HUP");
    let second = UdpSocket::bind("127.0.0.1:0").unwrap();
    second.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let first = node.name_service.local_addr().unwrap().to_string();
    // Differs from the node's configuration in the name service alone: one that changes the number of sockets too is
    // rejected.
    let text = original.replace(&first, &second.local_addr().unwrap().to_string());
    assert_ne!(text, original);
    std::fs::write(&node.configuration_path, text).unwrap();
    node.signal("-HUP");
    second.recv_from(&mut query).expect("a query at the second name service");
    let mut viewer = node.connect_viewer();
    viewer.write_all(setup_request(1).as_bytes()).unwrap();
    assert!(receive_first(&mut viewer).starts_with("RTSP/1.0 200"));
}

/// After two SIGTERM, a request on an open connection is still answered; then the process exits with status 0.
#[test]
fn request_after_sigterm_is_answered_before_exit() {
    let mut node = TestNode::start();
    let mut viewer = node.connect_viewer();
    viewer.write_all(setup_request(1).as_bytes()).unwrap();
    assert!(receive_first(&mut viewer).starts_with("RTSP/1.0 200"));
    node.signal("-TERM");
    node.signal("-TERM");
    viewer.write_all(setup_request(2).as_bytes()).unwrap();
    assert!(receive_first(&mut viewer).starts_with("RTSP/1.0 200"));
    let deadline = Instant::now() + RECEIVE_TIMEOUT;
    let status = loop {
        match node.process.try_wait().unwrap() {
            Some(status) => break status,
            None if Instant::now() > deadline => panic!("the process has not exited"),
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    };
    assert!(status.success(), "{status}");
}

#[test_case("NODE_LISTEN", "nowhere" => "NODE_LISTEN: nowhere: invalid socket address syntax"; "bad address")]
#[test_case("NODE_CONFIG", "" => "NODE_CONFIG: not set"; "no configuration")]
fn start_error_names_the_variable(variable: &str, value: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_walnutline"))
        .arg("node")
        .envs([("NODE_NAME", "n1"), ("NODE_LISTEN", "127.0.0.1:0"), ("NODE_CONFIG", "/nothing")])
        .env(variable, value)
        .env("RUST_LOG", "off")
        .output()
        .unwrap();
    assert!(!output.status.success());
    String::from_utf8(output.stderr).unwrap().trim().trim_start_matches("walnutline: ").to_owned()
}
