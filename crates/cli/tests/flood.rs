//! A front node beside clients that send requests without pause, with real connections.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
#[path = "support/node.rs"]
mod node;

use node::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Clients that send without pause.
const CLIENTS: u64 = 30;
/// Playing sessions, each of which makes a decision take longer.
const SESSIONS: u64 = 1_500;
/// Requests that a client sends in one piece.
const REQUESTS_AT_ONCE: u64 = 100;
/// Connections of usual viewers.
const USUAL_VIEWERS: u64 = 6;
/// Pause between the requests on a usual viewer's connection.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The platform's drain grace, with what it allows for sockets.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);

/// Descriptors of the node beside clients with long heads, which leave room for some hundreds of them.
const MANY_DESCRIPTORS: usize = 1_024;
/// Clients that send long heads without pause.
const LONG_HEAD_CLIENTS: u64 = 200;
/// Header fields of such a head, which is just below the limit on messages.
const SHORT_FIELDS: usize = 2_500;
/// Start target of the usual viewers' class, in its configuration.
const START_TARGET: Duration = Duration::from_millis(800);

/// Time after which no SETUP is sent for a viewer that has left, with what the platform allows for sockets.
const LEFT_LIMIT: Duration = Duration::from_millis(150);

/// A request for a title that no server holds, which is refused at once.
fn refused_request(id: u64) -> String {
    setup_request(id).replace("home:0", "home:5")
}

/// Sends requests without pause and reads whatever comes back, until `stopped`.
fn flood(node: SocketAddr, first_id: u64, stopped: &Arc<AtomicBool>) {
    let mut stream = TcpStream::connect(node).unwrap();
    let mut answers = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while answers.read(&mut buffer).is_ok_and(|n| n > 0) {}
    });
    let mut next_id = first_id;
    while !stopped.load(Ordering::Relaxed) {
        let requests: String = (next_id..next_id + REQUESTS_AT_ONCE).map(refused_request).collect();
        next_id += REQUESTS_AT_ONCE;
        if stream.write_all(requests.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends the same message without pause and reads whatever comes back, until `stopped`. Connects again where the node
/// closes the connection.
fn repeat_message(node: SocketAddr, message: &str, stopped: &Arc<AtomicBool>) {
    while !stopped.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(node) else { continue };
        let mut answers = stream.try_clone().unwrap();
        std::thread::spawn(move || {
            let mut buffer = [0; 4_096];
            while answers.read(&mut buffer).is_ok_and(|n| n > 0) {}
        });
        stream.set_write_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
        while !stopped.load(Ordering::Relaxed) && stream.write_all(message.as_bytes()).is_ok() {}
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Guards against answers that are late or never come: each usual request, and each answer of a server, waited until all
/// clients that send long heads had been read, and at the limit of connections usual viewers were closed for them.
#[test]
fn usual_viewers_are_answered_in_time_beside_clients_with_long_heads() {
    let node = TestNode::start_with_descriptors(MANY_DESCRIPTORS, |text| {
        with_room_for_all_sessions(text)
            .replace("\"sockets\":128", &format!("\"sockets\":{MANY_DESCRIPTORS}"))
    });
    let stopped = Arc::new(AtomicBool::new(false));
    let long_head = refused_request(1)
        .replace("board-loop", "nobody")
        .replace("Content-Length", &("a: \r\n".repeat(SHORT_FIELDS) + "Content-Length"));
    let mut viewers: Vec<_> = (0..USUAL_VIEWERS).map(|_| Connection::new(node.connect_viewer())).collect();
    for (number, viewer) in (0..).zip(&mut viewers) {
        viewer.send(&setup_request(number));
        assert!(viewer.receive().starts_with("RTSP/1.0 200"));
    }
    let clients: Vec<_> = (0..LONG_HEAD_CLIENTS)
        .map(|_| {
            let (address, message, stopped) = (node.address, long_head.clone(), stopped.clone());
            std::thread::spawn(move || repeat_message(address, &message, &stopped))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let mut slowest = Duration::ZERO;
    for round in 1..=30 {
        let sent_at = Instant::now();
        for (number, viewer) in (0..).zip(&mut viewers) {
            viewer.send(&setup_request((round << 32) + number));
        }
        for viewer in &mut viewers {
            let answer = viewer.receive();
            assert!(answer.starts_with("RTSP/1.0 200"), "{answer}");
            slowest = slowest.max(sent_at.elapsed());
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    stopped.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert!(slowest <= START_TARGET, "an answer took {slowest:?}");
}

/// Guards against SETUPs for viewers that are gone: what a viewer had sent before it closed its connection was still unread
/// beside a flood, and hid the close.
#[test]
fn no_setup_is_sent_for_viewers_that_left_with_much_unread() {
    let mut node = TestNode::start_configured(with_room_for_all_sessions);
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let (address, stopped) = (node.address, stopped.clone());
            std::thread::spawn(move || flood(address, client << 32, &stopped))
        })
        .collect();
    let setups = Arc::new(Mutex::new(Vec::new()));
    let received = setups.clone();
    let server_requests = std::mem::replace(&mut node.server_requests, channel().1);
    std::thread::spawn(move || {
        for (_, request) in server_requests.into_iter().filter(|(_, request)| request.starts_with("SETUP")) {
            received.lock().unwrap().push((Instant::now(), session_header(&request).to_owned()));
        }
    });
    std::thread::sleep(Duration::from_secs(1));
    let mut left_at = HashMap::new();
    for viewer in 1..=10 {
        let ids: Vec<u64> = (0..REQUESTS_AT_ONCE).map(|n| (viewer << 48) + n).collect();
        let requests: String = ids.iter().map(|id| setup_request(*id)).collect();
        let mut stream = node.connect_viewer();
        stream.write_all(requests.as_bytes()).unwrap();
        std::thread::sleep(REQUEST_INTERVAL);
        drop(stream);
        let sessions = ids.iter().map(|id| format!("Session: {id:016x}"));
        left_at.extend(sessions.map(|session| (session, Instant::now())));
        std::thread::sleep(4 * REQUEST_INTERVAL);
    }
    std::thread::sleep(Duration::from_secs(1));
    stopped.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    for (at, session) in setups.lock().unwrap().iter() {
        let Some(left_at) = left_at.get(session) else { continue };
        let late = at.saturating_duration_since(*left_at);
        assert!(late <= LEFT_LIMIT, "{session}: sent on {late:?} after its viewer had left");
    }
}

/// The configuration with servers and links that all sessions fit on.
fn with_room_for_all_sessions(configuration: String) -> String {
    configuration
        .replace("\"kind_streams\":[35,24]", "\"kind_streams\":[35000,24]")
        .replace("\"link_unit_kb\":3037.0", "\"link_unit_kb\":3037000.0")
        .replace("\"uplink_kb\":48379.0", "\"uplink_kb\":48379000.0")
}

/// Guards against SETUPs to a draining or removed server: a round of the event loop read from every client before the
/// list of servers had its turn, and lasted for as long as the clients' requests took.
#[test]
fn list_is_applied_within_the_drain_grace_beside_a_flood_of_requests() {
    let mut node = TestNode::start_configured(with_room_for_all_sessions);
    let mut viewer = Connection::new(node.connect_viewer());
    for id in 0..SESSIONS {
        let title = format!("rtsp://media/{:016x}", id % 40);
        let handed_over = setup_request(0x9000 + id)
            .replace("rtsp://media/7f3a9c21e0b4d655", &title)
            .replace("top:4;", "top:4;at:s-00000001;");
        viewer.send(&handed_over);
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let usual_viewers: Vec<_> = (1..=USUAL_VIEWERS)
        .map(|number| {
            let (mut viewer, stopped) = (Connection::new(node.connect_viewer()), stopped.clone());
            std::thread::spawn(move || {
                for id in number << 48.. {
                    if stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    viewer.send(&setup_request(id));
                    std::thread::sleep(REQUEST_INTERVAL);
                }
            })
        })
        .collect();
    let last_setup_at = Arc::new(Mutex::new(None));
    let last = last_setup_at.clone();
    let server_requests = std::mem::replace(&mut node.server_requests, channel().1);
    std::thread::spawn(move || {
        for (_, request) in server_requests {
            if request.starts_with("SETUP") {
                *last.lock().unwrap() = Some(Instant::now());
            }
        }
    });
    while last_setup_at.lock().unwrap().is_none() {
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let (address, stopped) = (node.address, stopped.clone());
            std::thread::spawn(move || flood(address, client << 32, &stopped))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    pending_queries(&node.name_service);
    let (query, sender) = loop {
        match pending_queries(&node.name_service).pop() {
            Some(query) => break query,
            None => std::thread::sleep(Duration::from_millis(1)),
        }
    };
    let told_at = Instant::now();
    node.name_service.send_to(&dns::list(&query, 9, &[], "started=0"), sender).unwrap();
    std::thread::sleep(Duration::from_secs(2));
    stopped.store(true, Ordering::Relaxed);
    let late = last_setup_at.lock().unwrap().unwrap().saturating_duration_since(told_at);
    clients.into_iter().chain(usual_viewers).for_each(|client| client.join().unwrap());
    assert!(late <= DRAIN_LIMIT, "a SETUP {late:?} after the list");
}
