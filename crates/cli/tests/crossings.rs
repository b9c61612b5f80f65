//! Events that cross, with real connections: each test makes the bad order happen every time, by what it
//! holds back, by a process that stands still, or by bytes that fill the way. docs/design/crossings.md lists
//! them.
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

/// Long enough for a SETUP that must not come: whatever would lead to it happens within milliseconds.
const NOTHING: Duration = Duration::from_millis(700);

fn ping(body: usize) -> String {
    let body = "x".repeat(body);
    format!("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A SETUP of a viewer that is out at the server; what else the viewer sent was heard.
fn setup_out(b: &Bench, server: &mut Server, id: u64) -> (Peer, Peer) {
    let mut viewer = Peer::new(b.viewer());
    viewer.says(&wanted(id));
    let (at, setup) = server.hears();
    assert!(setup.starts_with("SETUP") && setup.contains(&format!("{id:016x}")), "{setup}");
    (viewer, at)
}

/// How a viewer goes.
#[derive(Clone, Copy, Debug)]
enum Goes {
    Cancels,
    Closes,
    HalfCloses,
    Resets,
}

fn go(mut viewer: Peer, id: u64, how: Goes) -> Option<Peer> {
    match how {
        Goes::Cancels => viewer.says(&teardown(id, None)),
        Goes::Closes => drop(viewer.stream.shutdown(Shutdown::Both)),
        Goes::HalfCloses => drop(viewer.stream.shutdown(Shutdown::Write)),
        Goes::Resets => {
            viewer.resets();
            return None;
        }
    }
    Some(viewer)
}

/// The viewer goes in the same bytes in which it asks. The node stands still until all of it is there.
#[test_case(Goes::Cancels; "cancels")]
#[test_case(Goes::Closes; "closes")]
#[test_case(Goes::HalfCloses; "half closes")]
fn who_goes_in_the_same_bytes_gets_no_setup(how: Goes) {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    // A connection to the server and fresh news of it: nothing but the viewer's own words could hold the
    // SETUP back.
    let (mut first, mut at) = setup_out(&b, &mut server, 1);
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    first.hears();
    server.keeps(at);
    let mut viewer = Peer::new(b.viewer());
    viewer.says(&ping(0));
    viewer.hears();
    b.signal("-STOP");
    viewer.says(&wanted(2));
    let kept = go(viewer, 2, how);
    b.signal("-CONT");
    let heard = server.hears_within(NOTHING);
    assert!(heard.is_none(), "{:?}", heard.map(|h| h.1));
    first.says(&ping(0));
    first.hears();
    drop(kept);
}

/// The viewer goes while its request waits for a probe's answer, which comes then.
#[test_case(Goes::Cancels; "cancels")]
#[test_case(Goes::Closes; "closes")]
#[test_case(Goes::HalfCloses; "half closes")]
#[test_case(Goes::Resets; "resets")]
fn who_goes_while_a_probe_is_out_gets_no_setup(how: Goes) {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let mut viewer = Peer::new(b.viewer());
    viewer.says(&wanted(1));
    let mut at = Peer::new(server.listener.accept().unwrap().0);
    let probe = at.hears();
    assert!(probe.starts_with("OPTIONS"), "{probe}");
    let kept = go(viewer, 1, how);
    std::thread::sleep(Duration::from_millis(100));
    let report = "X-Circuits: inflight:1;x0:0.2\r\nContent-Length: 0\r\n\r\n";
    at.says(&format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\n{}\r\n{report}", session_of(&probe)));
    server.keeps(at);
    let heard = server.hears_within(NOTHING);
    assert!(heard.is_none(), "{:?}", heard.map(|h| h.1));
    drop(kept);
}

/// The viewer goes while its SETUP waits for a connection, which comes up late: all places of those that wait
/// to be taken in are filled meanwhile.
#[test_case(Goes::Cancels; "cancels")]
#[test_case(Goes::Closes; "closes")]
#[test_case(Goes::HalfCloses; "half closes")]
fn who_goes_while_a_connection_comes_up_gets_no_setup(how: Goes) {
    let (b, mut server) =
        Bench::by_hand(128, |t| t.replace("\"connect_timeout\":250.0", "\"connect_timeout\":9000.0"));
    let filled = fill(b.server);
    let mut viewer = Peer::new(b.viewer());
    viewer.says(&wanted(1));
    // Past the time for which a probe's answer is waited for: the SETUP itself waits now.
    std::thread::sleep(Duration::from_millis(500));
    let kept = go(viewer, 1, how);
    drop(filled);
    // The connection comes up with the next try of the kernel, after a second or three.
    let heard = server.hears_within(Duration::from_millis(3_500));
    assert!(heard.is_none(), "{:?}", heard.map(|h| h.1));
    assert!(server.met_a_probe(), "no connection came up");
    drop(kept);
}

/// The first SETUP failed, and the viewer goes behind so many unheard bytes that the failure is heard first.
/// The node stands still until both are there.
#[test_case(Goes::Cancels; "cancels")]
#[test_case(Goes::Closes; "closes")]
#[test_case(Goes::HalfCloses; "half closes")]
fn who_goes_behind_unheard_bytes_gets_no_further_setup(how: Goes) {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let (mut viewer, mut at) = setup_out(&b, &mut server, 1);
    b.signal("-STOP");
    at.says(&reply(500, 1, 1, ""));
    // More than is read of one connection before any of it is heard.
    (0..8).for_each(|_| viewer.says(&ping(3_900)));
    let kept = go(viewer, 1, how);
    b.signal("-CONT");
    server.keeps(at);
    let heard = server.hears_within(NOTHING);
    assert!(heard.is_none(), "{:?}", heard.map(|h| h.1));
    drop(kept);
}

/// Guards against the check above keeping those from their further SETUP who are still there.
#[test]
fn who_stays_behind_unheard_bytes_gets_its_further_setup() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let (mut viewer, mut at) = setup_out(&b, &mut server, 1);
    b.signal("-STOP");
    at.says(&reply(500, 1, 1, ""));
    (0..8).for_each(|_| viewer.says(&ping(3_900)));
    b.signal("-CONT");
    server.keeps(at);
    let (mut at, setup) = server.hears();
    assert!(setup.starts_with("SETUP"), "{setup}");
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    let answer = std::iter::repeat_with(|| viewer.hears()).find(|m| m.contains("b=2")).unwrap();
    assert!(answer.starts_with("RTSP/1.0 200"), "{answer}");
}

/// All places are taken by idle connections, and a new one comes. Each of the idle ones has brought a set-up
/// that is not heard yet when room is made.
#[test]
fn a_connection_with_an_unheard_set_up_does_not_give_way() {
    const ALL: usize = 42;
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let mut idle: Vec<Peer> = (0..ALL).map(|_| Peer::new(b.viewer())).collect();
    for v in &mut idle {
        v.says(&ping(0));
        v.hears();
    }
    b.signal("-STOP");
    let new = b.viewer();
    for (n, v) in idle.iter_mut().enumerate() {
        v.says(&wanted(n as u64 + 1));
    }
    b.signal("-CONT");
    let answers = std::thread::spawn(move || {
        idle.iter_mut().map(|v| read_message(&mut v.stream, &mut String::new())).collect::<Vec<_>>()
    });
    let until = Instant::now() + WAIT;
    while !answers.is_finished() && Instant::now() < until {
        if let Some((mut at, message)) = server.hears_within(Duration::from_millis(50)) {
            if message.starts_with("SETUP") {
                let id = u64::from_str_radix(session_of(&message).split(' ').nth(1).unwrap(), 16).unwrap();
                at.says(&reply(200, 1, id, "b=2\r\n"));
            }
            server.keeps(at);
        }
    }
    let unanswered = answers.join().unwrap().iter().filter(|a| a.is_none()).count();
    assert_eq!(unanswered, 0, "of {ALL}");
    drop(new);
}

/// Told to stop with nothing open any more, while answers still wait for a viewer that reads slowly: they
/// come whole.
#[test]
fn answers_that_have_not_gone_out_outlive_the_stop() {
    const BODY: usize = 15_000;
    let (mut b, mut server) = Bench::by_hand(128, |t| t);
    let body = "d".repeat(BODY);
    let deaf = |b: &Bench| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        socket.connect(&b.address.into()).unwrap();
        Peer::new(socket.into())
    };
    let mut next = 0;
    // A session that stands and is over, with an answer that its viewer does not read; or its viewer is
    // closed.
    let mut fill = |viewer: &mut Peer| -> bool {
        next += 1;
        if viewer.stream.write_all(wanted(next).as_bytes()).is_err() {
            return false;
        }
        let Some((mut at, _)) = server.hears_within(Duration::from_millis(400)) else { return false };
        at.says(&(reply(200, 1, next, &body) + &teardown(next, Some(31))));
        while !at.hears().starts_with("RTSP/1.0 200") {}
        server.keeps(at);
        true
    };
    // The first shows how much there is room for, in the sockets and in the node; the second leaves some of
    // it.
    let mut first = deaf(&b);
    let room = (0..2_000).take_while(|_| fill(&mut first)).count();
    let mut slow = deaf(&b);
    let sent = room - limits::MAX_BACKLOG_BYTES / BODY / 2;
    assert!((0..sent).all(|_| fill(&mut slow)));
    b.signal("-TERM");
    let told = Instant::now();
    std::thread::sleep(Duration::from_millis(1_500));
    let mut whole = 0;
    while let Some(message) = read_message(&mut slow.stream, &mut slow.rest) {
        whole += usize::from(message.starts_with("RTSP/1.0 200") && message.ends_with(&body));
    }
    assert_eq!(whole, sent, "of {room}");
    assert!(b.child.wait().unwrap().success());
    assert!(told.elapsed() < Duration::from_millis(3_700), "{:?}", told.elapsed());
    drop(first);
}

/// No descriptor is left, so that none comes in any more: those that are there are heard as before.
#[test]
fn without_descriptors_those_inside_are_not_held_up() {
    let (b, _server) = Bench::by_hand(48, |t| t);
    let mut inside = Peer::new(b.viewer());
    inside.says(&ping(0));
    inside.hears();
    let outside: Vec<_> = (0..60).map(|_| std::net::TcpStream::connect(b.address).unwrap()).collect();
    let told = b.said.recv_timeout(WAIT).unwrap();
    assert!(told.contains("accept"), "{told}");
    let began = Instant::now();
    for _ in 0..60 {
        inside.says(&ping(0));
        inside.hears();
    }
    // A thread that slept 20 ms after each failure took 1.2 s for it.
    assert!(began.elapsed() < Duration::from_millis(600), "{:?}", began.elapsed());
    drop(outside);
}

/// A session ends by its viewer, and the connection on which its server is told so breaks before the server
/// reads it.
#[test]
fn a_release_lost_with_a_servers_connection_is_sent_again() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let (mut viewer, mut at) = setup_out(&b, &mut server, 1);
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    viewer.hears();
    viewer.says(&teardown(1, Some(31)));
    // The node has written the release, as it answers after it.
    assert!(viewer.hears().contains("CSeq: 2"));
    at.resets();
    let (_, again) = server.hears();
    assert!(again.starts_with("TEARDOWN") && again.contains("0000000000000001"), "{again}");
}

/// A good answer comes after a refusal to the same SETUP: nobody has that session, and its server is told so.
#[test]
fn a_good_answer_after_a_refusal_is_released() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let (mut viewer, mut at) = setup_out(&b, &mut server, 1);
    at.says(&reply(453, 1, 1, ""));
    let refused = viewer.hears();
    assert!(refused.starts_with("RTSP/1.0 503"), "{refused}");
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    let released = at.hears();
    assert!(released.starts_with("TEARDOWN") && released.contains("0000000000000001"), "{released}");
    assert_eq!(viewer.hears_within(Duration::from_millis(200)), None, "a second answer");
}

/// The same answer twice: the session stands, and is neither answered nor released a second time.
#[test]
fn a_second_copy_of_a_good_answer_changes_nothing() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let (mut viewer, mut at) = setup_out(&b, &mut server, 1);
    at.says(&reply(200, 1, 1, "b=2\r\n").repeat(2));
    assert!(viewer.hears().starts_with("RTSP/1.0 200"));
    assert_eq!(viewer.hears_within(Duration::from_millis(200)), None, "a second answer");
    assert_eq!(at.hears_within(Duration::from_millis(50)), None, "a release");
    at.says(&teardown(1, Some(16)));
    assert!(viewer.hears().contains("cause=16"));
}

/// A server tells a session's end before the session is handed over to the node, and does not tell it again.
#[test]
fn an_end_told_before_the_hand_over_is_passed_on_with_it() {
    let (b, server) = Bench::by_hand(128, |t| t);
    let mut viewer = Peer::new(b.viewer());
    let handed_over = |id| wanted(id).replace("top:4;", "top:4;at:s-00000001;");
    viewer.says(&handed_over(1));
    let mut at = Peer::new(server.listener.accept().unwrap().0);
    at.says(&teardown(2, Some(16)));
    // The node has read it, as it says.
    while !at.hears().contains("CSeq: 2") {}
    viewer.says(&handed_over(2));
    let told = viewer.hears();
    assert!(
        told.starts_with("TEARDOWN") && told.contains("0000000000000002") && told.contains("cause=16"),
        "{told}"
    );
}

/// A viewer's connection ends while its end is still unheard, and the viewer asks for the same on another
/// one: it is answered there, once.
#[test]
fn who_asks_again_on_another_connection_is_answered_there() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let (mut first, mut at) = setup_out(&b, &mut server, 1);
    b.signal("-STOP");
    // So much that the other connection is heard long before the end of this one.
    (0..64).for_each(|_| first.says(&ping(15_000)));
    drop(first.stream.shutdown(Shutdown::Both));
    let mut second = Peer::new(b.viewer());
    second.says(&wanted(1));
    b.signal("-CONT");
    // The second one has been heard.
    second.says(&ping(0));
    let pong = second.hears();
    assert!(pong.contains("CSeq: 3"), "{pong}");
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    let answer = second.hears();
    assert!(answer.starts_with("RTSP/1.0 200") && answer.contains("b=2"), "{answer}");
    let again = at.hears_within(Duration::from_millis(300));
    assert!(again.is_none(), "{again:?}");
}

/// The same before its SETUP has gone out: it is held back for the unheard bytes of the first connection, and
/// goes out for the second.
#[test]
fn who_asks_again_before_the_setup_is_sent_gets_it() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let (mut other, mut at) = setup_out(&b, &mut server, 1);
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    other.hears();
    server.keeps(at);
    let mut first = Peer::new(b.viewer());
    first.says(&ping(0));
    first.hears();
    b.signal("-STOP");
    first.says(&wanted(2));
    (0..24).for_each(|_| first.says(&ping(15_000)));
    drop(first.stream.shutdown(Shutdown::Both));
    other.says(&wanted(2));
    b.signal("-CONT");
    let (mut at, setup) = server.hears_within(Duration::from_secs(1)).expect("a SETUP");
    assert!(setup.starts_with("SETUP") && setup.contains("0000000000000002"), "{setup}");
    at.says(&reply(200, 1, 2, "b=2\r\n"));
    let answer = other.hears();
    assert!(answer.starts_with("RTSP/1.0 200") && answer.contains("b=2"), "{answer}");
}

/// A session is over while its viewer's connection has ended behind unheard bytes: the release that was
/// written there is told on the next connection.
#[test]
fn a_release_lost_with_a_viewers_connection_is_told_again() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let (mut viewer, mut at) = setup_out(&b, &mut server, 1);
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    viewer.hears();
    b.signal("-STOP");
    at.says(&teardown(1, Some(16)));
    (0..8).for_each(|_| viewer.says(&ping(3_900)));
    viewer.resets();
    b.signal("-CONT");
    while !at.hears().contains("CSeq: 2") {}
    server.keeps(at);
    let mut next = Peer::new(b.viewer());
    next.says(&wanted(2));
    let told = next.hears();
    assert!(
        told.starts_with("TEARDOWN") && told.contains("0000000000000001") && told.contains("cause=16"),
        "{told}"
    );
}

/// Answers the node's questions by hand, those that have come by now.
fn questions(names: &UdpSocket) -> Vec<(Vec<u8>, SocketAddr)> {
    names.set_nonblocking(true).unwrap();
    let mut buffer = [0; 512];
    let all = std::iter::from_fn(|| {
        names.recv_from(&mut buffer).ok().map(|(n, from)| (buffer[..n].to_vec(), from))
    });
    all.collect()
}

/// The answer to the next question: the server of the test, under that name.
fn told(names: &UdpSocket, serial: u32, name: &str, server: SocketAddr) {
    let until = Instant::now() + WAIT;
    let (question, from) = loop {
        match questions(names).pop() {
            Some(question) => break question,
            None if Instant::now() > until => panic!("no question"),
            None => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    let answer = dns::list(&question, serial, &[(name, [127, 0, 0, 1], server.port())], "started=0");
    names.send_to(&answer, from).unwrap();
}

/// A new server that only the list tells of takes a session; the one before has gone from the list.
fn follows(b: &Bench, listener: std::net::TcpListener, id: u64) {
    let mut server = Server::new(listener);
    let mut viewer = Peer::new(b.viewer());
    viewer.says(&wanted(id));
    let (mut at, setup) = server.hears();
    assert!(setup.starts_with("SETUP"), "{setup}");
    at.says(&reply(200, 1, id, "b=2\r\n"));
    assert!(viewer.hears().starts_with("RTSP/1.0 200"));
}

/// Answers that come seconds late, each after eight more questions.
#[test]
fn a_list_that_always_comes_late_is_followed() {
    let (b, _server) = Bench::by_hand(128, |t| t);
    let late = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = late.local_addr().unwrap();
    let mut asked = Vec::new();
    while asked.len() < 12 {
        asked.extend(questions(&b.names));
        std::thread::sleep(Duration::from_millis(10));
    }
    let (question, from) = &asked[0];
    let answer =
        dns::list(question, 9, &[("s-0000000b.depot-a.hosts", [127, 0, 0, 1], at.port())], "started=0");
    b.names.send_to(&answer, from).unwrap();
    follows(&b, late, 1);
}

/// The service begins its numbers anew. One lower number amid others is an older list; nothing else for
/// seconds is not.
#[test]
fn numbers_that_begin_anew_are_followed_in_time() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let anew = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = anew.local_addr().unwrap();
    told(&b.names, 40, "s-00000001.depot-a.hosts", b.server);
    told(&b.names, 2, "s-0000000b.depot-a.hosts", at);
    told(&b.names, 40, "s-00000001.depot-a.hosts", b.server);
    let (mut viewer, mut first) = setup_out(&b, &mut server, 1);
    first.says(&reply(200, 1, 1, "b=2\r\n"));
    viewer.hears();
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(limits::SERIAL_RESET_TIME as u64 + 700) {
        told(&b.names, 2, "s-0000000b.depot-a.hosts", at);
    }
    follows(&b, anew, 2);
}

/// Discovery is down, and idle connections take all the descriptors there are: those that ask are served,
/// signals are heard, and the list is followed again once it is told.
#[test]
fn idle_connections_while_discovery_is_down_harm_nobody() {
    let (mut b, mut server) = Bench::by_hand(128, |t| t);
    let idle: Vec<Peer> = (0..150)
        .map(|n| {
            let mut viewer = Peer::new(b.viewer());
            // Half of them have brought something good, half are silent.
            if n % 2 == 0 {
                viewer.says(&wanted(1_000 + n));
                let (mut at, _) = server.hears();
                at.says(&(reply(200, 1, 1_000 + n, "b=2\r\n") + &teardown(1_000 + n, Some(31))));
                assert!(viewer.hears().starts_with("RTSP/1.0 200"));
                server.keeps(at);
            }
            viewer
        })
        .collect();
    let (mut viewer, mut at) = setup_out(&b, &mut server, 1);
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    assert!(viewer.hears().starts_with("RTSP/1.0 200"));
    let moved = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (old, new) = (b.names.local_addr().unwrap(), moved.local_addr().unwrap());
    let text = std::fs::read_to_string(&b.document).unwrap().replace(&old.to_string(), &new.to_string());
    std::fs::write(&b.document, text).unwrap();
    b.signal("-HUP");
    let next = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    told(&moved, 9, "s-0000000b.depot-a.hosts", next.local_addr().unwrap());
    follows(&b, next, 2);
    b.signal("-TERM");
    assert!(b.child.wait().unwrap().success());
    drop(idle);
}

/// A configuration that changes more than where the list comes from: told by its paths, and taken up in no
/// part.
#[test]
fn a_configuration_that_changes_more_is_left_alone() {
    let (b, mut server) = Bench::by_hand(128, |t| t);
    let moved = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (old, new) = (b.names.local_addr().unwrap(), moved.local_addr().unwrap());
    let text = std::fs::read_to_string(&b.document).unwrap();
    let text =
        text.replace(&old.to_string(), &new.to_string()).replace("\"attempts_cap\":3", "\"attempts_cap\":1");
    // The classes change places: taken up in part, one's viewers would get the other's terms.
    let text = text
        .replace("board-loop", "x")
        .replace("council-notice", "board-loop")
        .replace("\"x\"", "\"council-notice\"");
    std::fs::write(&b.document, text).unwrap();
    b.signal("-HUP");
    let told =
        std::iter::repeat_with(|| b.said.recv_timeout(WAIT).unwrap()).find(|l| l.contains("stays as it was"));
    let told = told.unwrap();
    assert!(
        told.contains("settings.limits.attempts_cap") && told.contains("settings.classes.0.name"),
        "{told}"
    );
    std::thread::sleep(Duration::from_millis(300));
    assert!(questions(&moved).is_empty());
    let (mut viewer, mut at) = setup_out(&b, &mut server, 1);
    at.says(&reply(500, 1, 1, ""));
    server.keeps(at);
    let (mut at, further) = server.hears();
    assert!(further.starts_with("SETUP"), "{further}");
    at.says(&reply(200, 1, 1, "b=2\r\n"));
    assert!(viewer.hears().starts_with("RTSP/1.0 200"));
}

/// A node that starts while no server, no name service and no other node answers is ready all the same.
#[test]
fn ready_while_nobody_answers() {
    let began = Instant::now();
    let (b, server) = Bench::by_hand(128, |t| t);
    drop(server);
    let mut front = Peer::new(b.viewer());
    front.says(&ping(0));
    assert!(front.hears().starts_with("RTSP/1.0 200"));
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}
