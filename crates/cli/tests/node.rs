//! `walnutline node` on loopback: the binary itself, beside a scripted server, a scripted name service and viewers.
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
fn a_session_from_set_up_to_release_by_its_server() {
    let b = Bench::start();
    let mut viewer = b.viewer();
    viewer.write_all(wanted(1).as_bytes()).unwrap();
    let plays = answer(&mut viewer);
    assert!(plays.starts_with("RTSP/1.0 200") && plays.ends_with("\r\n\r\nb=2\r\n"), "{plays}");
    let (mut server, setup) = b.heard.recv_timeout(WAIT).unwrap();
    assert!(setup.starts_with("SETUP") && setup.ends_with("a=1\r\n"), "{setup}");
    let over =
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000001\r\nReason: cause=16\r\n\
                Content-Length: 0\r\n\r\n";
    server.write_all(over.as_bytes()).unwrap();
    let told = answer(&mut viewer);
    assert!(told.starts_with("TEARDOWN") && told.contains("cause=16"), "{told}");
}

/// Its server dies: the session is released. Nobody listens at its address any more.
#[test]
fn the_death_of_a_server_is_told() {
    let b = Bench::start();
    let mut viewer = b.viewer();
    viewer.write_all(wanted(1).as_bytes()).unwrap();
    assert!(answer(&mut viewer).starts_with("RTSP/1.0 200"));
    b.fate.store(DIES, Ordering::SeqCst);
    // Wakes the listener, which goes; then its connections end.
    let _ = TcpStream::connect(b.server);
    let told = answer(&mut viewer);
    assert!(told.starts_with("TEARDOWN") && told.contains("cause=41"), "{told}");
}

/// Its server's machine vanishes: open connections say nothing, new ones never come up.
#[test]
fn a_silent_machine_is_told_within_8_s() {
    let b = Bench::start();
    let mut viewer = b.viewer();
    viewer.write_all(wanted(1).as_bytes()).unwrap();
    assert!(answer(&mut viewer).starts_with("RTSP/1.0 200"));
    b.fate.store(SILENT, Ordering::SeqCst);
    let began = Instant::now();
    // The places of those that wait to be taken in are filled: what comes next gets no answer at all.
    let filled = fill(b.server);
    let told = answer(&mut viewer);
    assert!(told.starts_with("TEARDOWN") && told.contains("cause=41"), "{told}");
    assert!(began.elapsed() < Duration::from_secs(8), "{:?}", began.elapsed());
    drop(filled);
}

#[test_case(b"\x01\x02\x03\x04 rubbish \xff\xfe\r\n\r\n" ; "rubbish")]
#[test_case(b"SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: -1\r\n\r\n" ; "negative length")]
#[test_case(b"SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: 60000000\r\n\r\n" ; "60 MB")]
#[test_case(b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n" ; "no id")]
#[test_case(b"SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: 99999999999999999999\r\n\r\n" ; "huge length")]
#[test_case(b"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000ff\r\nContent-Length: 0\r\n\r\n" ; "id never seen")]
#[test_case(wanted(9).replace("board-loop", "nobody").as_bytes() ; "unknown class")]
#[test_case(wanted(9).replace("home:0", "home:99").as_bytes() ; "figure out of range")]
#[test_case(wanted(9).replace("3000", "NaN").as_bytes() ; "no number")]
#[test_case(b"SETUP rtsp://media/" ; "half a request")]
#[test_case(b"" ; "silence")]
fn bad_input_gets_an_error_or_a_close_within_3_s(bytes: &[u8]) {
    let b = Bench::start();
    let mut bad = b.viewer();
    let began = Instant::now();
    let _ = bad.write_all(bytes);
    let mut got = [0; 16];
    let n = bad.read(&mut got).unwrap_or(0);
    assert!(n == 0 || got.starts_with(b"RTSP/1.0 4"), "{:?}", &got[..n]);
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    let mut good = b.viewer();
    good.write_all(wanted(1).as_bytes()).unwrap();
    assert!(answer(&mut good).starts_with("RTSP/1.0 200"));
}

/// A viewer that asks without end and reads nothing is closed once its backlog is full; others are served meanwhile.
#[test]
fn who_does_not_read_is_closed_and_holds_up_nobody() {
    let b = Bench::start();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&b.address.into()).unwrap();
    let mut deaf = TcpStream::from(socket);
    deaf.set_write_timeout(Some(WAIT)).unwrap();
    let tests = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n".repeat(500);
    let flood = std::thread::spawn(move || (0..4_000).find_map(|_| deaf.write_all(tests.as_bytes()).err()));
    let mut good = b.viewer();
    good.write_all(wanted(1).as_bytes()).unwrap();
    assert!(answer(&mut good).starts_with("RTSP/1.0 200"));
    let end = flood.join().unwrap().expect("a close").kind();
    use std::io::ErrorKind::{BrokenPipe, ConnectionReset};
    assert!(matches!(end, BrokenPipe | ConnectionReset), "{end:?}");
}

/// Sockets run short: hundreds of silent connections leave room for those that ask.
#[test]
fn with_few_descriptors_silent_connections_give_way() {
    let b = Bench::start();
    let silent: Vec<TcpStream> = (0..150).map(|_| b.viewer()).collect();
    for id in 1..=3 {
        let mut good = b.viewer();
        good.write_all(wanted(id).as_bytes()).unwrap();
        assert!(answer(&mut good).starts_with("RTSP/1.0 200"));
    }
    drop(silent);
}

/// SIGHUP names another name service, which is asked from then on; a document that can't be read changes nothing.
#[test]
fn a_configuration_read_anew_names_another_name_service() {
    let b = Bench::start();
    let mut query = [0; 512];
    b.names.recv_from(&mut query).expect("a query at the first name service");
    let good = std::fs::read_to_string(&b.document).unwrap();
    std::fs::write(&b.document, "{").unwrap();
    b.signal("-HUP");
    let second = UdpSocket::bind("127.0.0.1:0").unwrap();
    second.set_read_timeout(Some(WAIT)).unwrap();
    let first = b.names.local_addr().unwrap().to_string();
    // The node's own document but for the name service: one that changes its descriptors as well is left
    // alone.
    let text = good.replace(&first, &second.local_addr().unwrap().to_string());
    assert_ne!(text, good);
    std::fs::write(&b.document, text).unwrap();
    b.signal("-HUP");
    second.recv_from(&mut query).expect("a query at the second name service");
    let mut viewer = b.viewer();
    viewer.write_all(wanted(1).as_bytes()).unwrap();
    assert!(answer(&mut viewer).starts_with("RTSP/1.0 200"));
}

/// Told to stop, twice: what comes on an open connection is still answered, then the process ends by itself with 0.
#[test]
fn told_to_stop_it_answers_and_ends() {
    let mut b = Bench::start();
    let mut viewer = b.viewer();
    viewer.write_all(wanted(1).as_bytes()).unwrap();
    assert!(answer(&mut viewer).starts_with("RTSP/1.0 200"));
    b.signal("-TERM");
    b.signal("-TERM");
    viewer.write_all(wanted(2).as_bytes()).unwrap();
    assert!(answer(&mut viewer).starts_with("RTSP/1.0 200"));
    let until = Instant::now() + WAIT;
    let status = loop {
        match b.child.try_wait().unwrap() {
            Some(status) => break status,
            None if Instant::now() > until => panic!("still there"),
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    };
    assert!(status.success(), "{status}");
}

#[test_case("NODE_LISTEN", "nowhere" => "NODE_LISTEN: nowhere: invalid socket address syntax"; "address")]
#[test_case("NODE_CONFIG", "" => "NODE_CONFIG: not set"; "no configuration")]
fn a_wrong_start_names_what_is_wrong(name: &str, value: &str) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_walnutline"))
        .arg("node")
        .envs([("NODE_NAME", "n1"), ("NODE_LISTEN", "127.0.0.1:0"), ("NODE_CONFIG", "/nothing")])
        .env(name, value)
        .env("RUST_LOG", "off")
        .output()
        .unwrap();
    assert!(!out.status.success());
    String::from_utf8(out.stderr).unwrap().trim().trim_start_matches("walnutline: ").to_owned()
}
