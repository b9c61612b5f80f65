//! Sockets on loopback, read by coroutines as in service.
use super::*;
use std::time::Duration;
use test_case::test_case;

/// A connection that hangs while it is opened, and those that came up before it.
fn hangs(
    slow: &socket2::Socket,
) -> (ConnId, Arc<Socket>, crossbeam_channel::Receiver<News>, Vec<Arc<Socket>>) {
    slow.bind(&SockAddr::from(SocketAddr::from(([127, 0, 0, 1], 0)))).unwrap();
    slow.listen(0).unwrap();
    let address = slow.local_addr().unwrap().as_socket().unwrap();
    let (hub, news) = crossbeam_channel::unbounded();
    // Those that find room come up; the first that does not hangs.
    let mut held = Vec::new();
    for conn in (0..16).map(ConnId) {
        let socket = connect(conn, address, Clock::start(), &hub).unwrap();
        match news.recv_timeout(Duration::from_millis(300)) {
            Ok(News::Connected(_)) => held.push(socket),
            _ => return (conn, socket, news, held),
        }
    }
    panic!("none hangs");
}

fn ends(conn: ConnId, socket: Arc<Socket>, news: &crossbeam_channel::Receiver<News>) {
    let weak = Arc::downgrade(&socket);
    drop(socket);
    match news.recv_timeout(Duration::from_secs(10)) {
        Ok(News::Closed { conn: c, .. }) => assert_eq!(c, conn),
        _ => panic!("its coroutine still waits"),
    }
    assert!(weak.upgrade().is_none(), "the descriptor is still held");
}

/// Shutting it ends its coroutine, which frees the descriptor; also where the shutdown makes no event, as on
/// the operators' platform: one in fifty connections to servers never came up there, and each left a
/// descriptor behind.
#[test_case(Socket::shut; "when it is shut")]
#[test_case(Socket::wake; "without an event")]
fn a_connect_that_hangs_ends(by: fn(&Socket)) {
    let slow = socket2::Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let (conn, socket, news, _held) = hangs(&slow);
    by(&socket);
    ends(conn, socket, &news);
}

/// Likewise a connection that is up and silent.
#[test]
fn a_silent_connection_ends_without_an_event() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (hub, news) = crossbeam_channel::unbounded();
    let socket = connect(ConnId(1), listener.local_addr().unwrap(), Clock::start(), &hub).unwrap();
    let _other = listener.accept().unwrap();
    assert!(matches!(news.recv_timeout(Duration::from_secs(10)), Ok(News::Connected(_))));
    // Its reader waits by now, or will see it before it does.
    socket.wake();
    ends(ConnId(1), socket, &news);
}

/// A peer sends without end and the hub handles none of it: another one is still heard.
#[test]
fn who_sends_without_end_has_few_pieces_in_the_queue() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (hub, news) = crossbeam_channel::bounded(limits::PIECES * 2);
    let flood = connect(ConnId(1), address, Clock::start(), &hub).unwrap();
    let (mut sends, _) = listener.accept().unwrap();
    let sender = std::thread::spawn(move || while sends.write_all(&[0; limits::PIECE]).is_ok() {});
    // What is handed over is kept, so that none of it counts as handled.
    let mut kept = Vec::new();
    let bytes = |kept: &mut Vec<News>| loop {
        match news.recv_timeout(Duration::from_secs(10)).expect("news") {
            more @ News::Bytes { conn, .. } => {
                kept.push(more);
                return conn.0;
            }
            _ => continue,
        }
    };
    (0..limits::PIECES).for_each(|_| assert_eq!(bytes(&mut kept), 1));
    let other = connect(ConnId(2), address, Clock::start(), &hub).unwrap();
    listener.accept().unwrap().0.write_all(b"x").unwrap();
    assert_eq!(bytes(&mut kept), 2);
    kept.clear();
    assert_eq!(bytes(&mut kept), 1, "read on once they are handled");
    [&flood, &other].iter().for_each(|s| s.shut());
    // With its descriptor: a peer whose window is closed hears of nothing else.
    drop((kept, news, flood, other));
    sender.join().unwrap();
}

/// Connections that end while others begin: each new one is read, whatever number its descriptor has.
#[test]
fn descriptors_used_again_are_still_polled() {
    const ROUNDS: usize = 3_000;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let clock = Clock::start();
    // Threads of their own end connections all the time, as viewers that go away do.
    let (ends, to_end) = crossbeam_channel::unbounded::<Arc<Socket>>();
    let closers: Vec<_> = (0..2)
        .map(|_| {
            let to_end = to_end.clone();
            std::thread::spawn(move || to_end.iter().for_each(drop))
        })
        .collect();
    let server = std::thread::spawn(move || {
        for stream in listener.incoming().take(ROUNDS) {
            let mut stream = stream.unwrap();
            let (mut asked, _) = ([0; 1], stream.set_nodelay(true));
            if stream.read_exact(&mut asked).is_ok() {
                let _ = stream.write_all(&asked);
            }
        }
    });
    let (hub, news) = crossbeam_channel::unbounded();
    for n in 0..ROUNDS {
        let conn = ConnId(n as u64);
        let socket = connect(conn, address, clock, &hub).unwrap();
        let heard = |what: &str| loop {
            match news.recv_timeout(Duration::from_secs(5)) {
                Ok(News::Connected(c)) if c == conn && what == "open" => return,
                Ok(News::Bytes { conn: c, .. }) if c == conn && what == "bytes" => return,
                Ok(_) => {}
                Err(_) => panic!("round {n}: nothing heard ({what})"),
            }
        };
        heard("open");
        socket.write(b"x").unwrap();
        heard("bytes");
        socket.shut();
        ends.send(socket).unwrap();
    }
    drop(ends);
    closers.into_iter().for_each(|c| c.join().unwrap());
    server.join().unwrap();
}
