//! Processes of the front node that are told to stop, to read their configuration again, or are killed, and what
//! becomes of the requests that come meanwhile; with real connections.
#[path = "support/node.rs"]
mod node;

use node::*;
use std::net::{TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use test_case::test_case;
use walnutline_node::limits;

/// By when a node has ended that was told to stop and whose viewers wait 3 s at most: before its kill.
const BEFORE_THE_KILL: Duration = Duration::from_millis(3_700);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn sleep_until(then: Instant) {
    std::thread::sleep(then.saturating_duration_since(Instant::now()));
}

/// Whether this viewer gets a whole answer to its request within that time.
fn is_answered(viewer: &mut Peer, id: u64, within: Duration) -> bool {
    let id = format!("{id:016x}");
    let until = Instant::now() + within;
    while let Some(left) = until.checked_duration_since(Instant::now()).filter(|d| !d.is_zero()) {
        match viewer.hears_within(left) {
            Some(message) if message.starts_with("RTSP/1.0") && message.contains(&id) => return true,
            Some(_) => {}
            None => return false,
        }
    }
    false
}

/// The process comes late to what was there in time: connections and their requests wait in the listener's queue
/// while it stands still, and all that it waited for has come when it goes on.
#[test]
fn requests_that_wait_to_be_taken_in_are_answered_before_the_end() {
    const ALL: u64 = 30;
    let mut b = Bench::start();
    b.signal("-TERM");
    let told = Instant::now();
    sleep_until(told + ms(550));
    b.signal("-STOP");
    let mut waiting: Vec<Peer> = (0..ALL).map(|_| Peer::new(b.viewer())).collect();
    waiting.iter_mut().zip(0..).for_each(|(v, id)| v.says(&wanted(id)));
    // Late, yet not so late that it would notice that it stood still.
    sleep_until(told + ms(770));
    b.signal("-CONT");
    let lost =
        waiting.iter_mut().zip(0..).filter_map(|(v, id)| (!is_answered(v, id, ms(3_000))).then_some(id));
    let lost: Vec<u64> = lost.collect();
    assert!(lost.is_empty(), "{lost:?}");
    drop(waiting);
    assert!(b.ends_within(ms(5_000)).unwrap().success());
}

/// All places are taken by viewers who wait for their answers, and one more has asked outside. They are answered when
/// nothing but that keeps the process from its end.
#[test]
fn who_waits_for_a_place_is_answered_before_the_end() {
    // A server that has room for all of them.
    let large = |t: String| t.replace("\"weight\":3,", "\"weight\":3000,").replace("[35,24]", "[3500,2400]");
    let (mut b, mut server) = Bench::by_hand(128, large);
    b.signal("-TERM");
    let told = Instant::now();
    let mut inside = Vec::new();
    // So many that the next one is not taken in.
    let (mut outside, id) = loop {
        let id = inside.len() as u64;
        let mut viewer = Peer::new(b.viewer());
        viewer.says(&wanted(id).replace("3000", "9000"));
        match server.hears_within(ms(300)) {
            Some((at, _)) => inside.push((viewer, id, at)),
            None => {
                assert_eq!(viewer.hears_within(ms(20)), None, "it was taken in");
                break (viewer, id);
            }
        }
        assert!(inside.len() < 120, "there is a place for everyone");
    };
    sleep_until(told + ms(limits::MAX_SHUTDOWN_WAIT as u64 + limits::SHUTDOWN_SESSION_GRACE as u64 + 100));
    let mut answered = Vec::new();
    for (viewer, id, mut at) in inside {
        at.says(&(reply(200, 1, id, "b=2\r\n") + &teardown(id, Some(31))));
        server.keeps(at);
        answered.push(viewer);
    }
    if let Some((mut at, _)) = server.hears_within(ms(1_000)) {
        at.says(&reply(200, 1, id, "b=2\r\n"));
        server.keeps(at);
    }
    assert!(is_answered(&mut outside, id, ms(1_000)));
    assert!(b.ends_within(ms(1_000)).expect("an end").success());
}

/// A head that comes before SIGTERM and a body after the time when a node with nothing to do ends.
#[test]
fn a_request_of_which_a_part_is_there_is_waited_for() {
    let mut b = Bench::start();
    let mut viewer = Peer::new(b.viewer());
    let text = wanted(1);
    let (head, body) = text.split_at(text.len() - 5);
    viewer.says(head);
    std::thread::sleep(ms(50));
    b.signal("-TERM");
    let told = Instant::now();
    sleep_until(told + ms(1_200));
    viewer.says(body);
    assert!(is_answered(&mut viewer, 1, ms(2_000)));
    drop(viewer);
    assert!(b.ends_within(BEFORE_THE_KILL.saturating_sub(told.elapsed())).unwrap().success());
}

/// A request in two pieces, the second 2 s after the first, on a new connection.
#[test_case(10; "within the first line")]
#[test_case(120; "within a field")]
#[test_case(usize::MAX; "before its body")]
fn a_request_that_comes_in_pieces_is_answered(at: usize) {
    let b = Bench::start();
    let mut viewer = Peer::new(b.viewer());
    let text = wanted(1);
    let (first, second) = text.split_at(at.min(text.len() - 5));
    viewer.says(first);
    // Longer than any that may be closed for its silence.
    std::thread::sleep(ms(2_300));
    viewer.says(second);
    assert!(is_answered(&mut viewer, 1, ms(2_000)));
}

/// Three requests in one piece but for the end of the last one.
#[test]
fn whole_requests_do_not_wait_for_one_that_is_cut() {
    let b = Bench::start();
    let mut viewer = Peer::new(b.viewer());
    let last = wanted(3);
    let (head, body) = last.split_at(last.len() - 3);
    viewer.says(&format!("{}{}{head}", wanted(1), wanted(2)));
    let mut told = [viewer.hears(), viewer.hears()].map(|m| session_of(&m).to_owned());
    told.sort();
    assert_eq!(told, ["Session: 0000000000000001", "Session: 0000000000000002"]);
    viewer.says(body);
    assert!(is_answered(&mut viewer, 3, ms(2_000)));
}

/// A configuration whose reading never ends: SIGTERM is heard all the same.
#[test]
fn a_reload_that_hangs_holds_up_no_stop() {
    let mut b = Bench::start();
    std::fs::remove_file(&b.document).unwrap();
    assert!(Command::new("mkfifo").arg(&b.document).status().unwrap().success());
    b.signal("-HUP");
    std::thread::sleep(ms(100));
    let mut viewer = Peer::new(b.viewer());
    b.signal("-TERM");
    viewer.says(&wanted(1));
    assert!(is_answered(&mut viewer, 1, ms(2_000)));
    assert!(b.ends_within(BEFORE_THE_KILL).expect("an end").success());
}

/// A reload, and at once the order to stop: the new name service is asked, what comes is answered, the end is in
/// time.
#[test]
fn a_reload_followed_by_a_stop_does_both() {
    let mut b = Bench::start();
    let moved = UdpSocket::bind("127.0.0.1:0").unwrap();
    moved.set_read_timeout(Some(WAIT)).unwrap();
    let (old, new) = (b.names.local_addr().unwrap(), moved.local_addr().unwrap());
    let text = std::fs::read_to_string(&b.document).unwrap().replace(&old.to_string(), &new.to_string());
    std::fs::write(&b.document, text).unwrap();
    let mut viewer = Peer::new(b.viewer());
    b.signal("-HUP");
    b.signal("-TERM");
    let told = Instant::now();
    for id in 0..20 {
        viewer.says(&wanted(id));
        assert!(is_answered(&mut viewer, id, ms(2_000)), "{id}");
        std::thread::sleep(ms(25));
    }
    moved.recv_from(&mut [0; 512]).expect("a question at the new name service");
    assert!(b.ends_within(BEFORE_THE_KILL.saturating_sub(told.elapsed())).unwrap().success());
}

/// With nothing owed it ends well before the kill, though idle viewers keep their connections.
#[test]
fn idle_viewers_do_not_keep_it_from_ending() {
    let mut b = Bench::start();
    let idle: Vec<Peer> = (0..20).map(|_| Peer::new(b.viewer())).collect();
    b.signal("-TERM");
    assert!(b.ends_within(ms(1_500)).expect("an end").success());
    drop(idle);
}

/// The line at the end: what was taken is answered, given up or open, and all of it adds up.
#[test]
fn the_account_at_the_end_adds_up_under_load() {
    const EACH: u64 = 60;
    const VIEWERS: u64 = 4;
    let mut b = Bench::start();
    let address = b.address;
    let viewers: Vec<_> = (0..VIEWERS)
        .map(|n| {
            std::thread::spawn(move || {
                let mut viewer = Peer::new(std::net::TcpStream::connect(address).unwrap());
                let mut answered = 0;
                for k in 0..EACH {
                    let id = 1 + n * EACH + k;
                    match k % 6 {
                        // Given up in the same bytes.
                        0 => viewer.says(&(wanted(id) + &teardown(id, None))),
                        // Refused, as nobody knows its class.
                        1 => viewer.says(&wanted(id).replace("board-loop", "nobody")),
                        _ => viewer.says(&wanted(id)),
                    }
                    answered += u64::from(k % 6 != 0 && is_answered(&mut viewer, id, WAIT));
                }
                // One more, and away.
                viewer.says(&(wanted(10_000 + n) + &teardown(10_000 + n, None)));
                // The answers to what it gave up have been read by then.
                viewer.says("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
                while !viewer.hears().contains("CSeq: 3") {}
                answered
            })
        })
        .collect();
    let answered: u64 = viewers.into_iter().map(|v| v.join().unwrap()).sum();
    let given_up = VIEWERS * (EACH / 6 + 1);
    b.signal("-TERM");
    assert!(b.ends_within(BEFORE_THE_KILL).unwrap().success());
    let said: Vec<String> = b.said.iter().collect();
    let line = said.iter().find(|l| l.contains("stopped ")).expect("an account");
    let taken = answered + given_up;
    let account = format!("taken={taken} answered={answered} given_up={given_up} open=0");
    assert!(line.contains(&account), "{line}, not {account}");
    assert_eq!(answered, VIEWERS * EACH - VIEWERS * EACH / 6);
}

/// Killed right after it took a connection in; in the new process, sessions are handed over and the first request
/// comes in the same bytes.
#[test]
fn a_process_killed_right_after_an_accept_is_followed_by_one_that_serves() {
    let (mut b, mut server) = Bench::by_hand(128, |t| t);
    let mut viewer = Peer::new(b.viewer());
    viewer.says(&wanted(1));
    let (_, setup) = server.hears();
    assert!(setup.starts_with("SETUP"), "{setup}");
    let _taken_in = Peer::new(b.viewer());
    b.restart();
    let mut viewer = Peer::new(b.viewer());
    let at = |id| wanted(id).replace("3000", "4294967").replace("top:4;", "top:4;at:s-00000001;");
    viewer.says(&format!("{}{}{}", at(2), wanted(3), at(4)));
    let (mut at, setup) = loop {
        match server.hears() {
            (at, message) if message.starts_with("SETUP") => break (at, message),
            // The rungs of those that were handed over.
            (at, _) => server.keeps(at),
        }
    };
    assert!(setup.contains("0000000000000003"), "{setup}");
    at.says(&(reply(200, 1, 3, "b=2\r\n") + &teardown(2, Some(16)) + &teardown(4, Some(41))));
    let told: Vec<String> = (0..3).map(|_| viewer.hears()).collect();
    let has = |a: &str, b: &str| told.iter().any(|m| m.contains(a) && m.contains(b));
    assert!(has("RTSP/1.0 200", "0000000000000003"), "{told:?}");
    assert!(has("cause=16", "0000000000000002") && has("cause=41", "0000000000000004"), "{told:?}");
}

/// After each trouble every process of a small fleet still takes a request and answers it.
#[test]
fn every_process_of_a_small_fleet_serves_after_each_trouble() {
    let mut fleet: Vec<Bench> = (0..4).map(|_| Bench::start()).collect();
    let mut next = 0;
    let mut serve = |fleet: &[Bench], after: &str| {
        for (n, b) in fleet.iter().enumerate() {
            next += 1;
            let mut viewer = Peer::new(b.viewer());
            viewer.says(&wanted(next));
            let answer = viewer.hears();
            assert!(answer.starts_with("RTSP/1.0 200"), "process {n} after {after}: {answer}");
        }
    };
    serve(&fleet, "the start");
    let crowds: Vec<Vec<Peer>> =
        fleet.iter().map(|b| (0..200).map(|_| Peer::new(b.viewer())).collect()).collect();
    serve(&fleet, "a crowd that stays silent");
    drop(crowds);
    serve(&fleet, "its end");
    let begun: Vec<Vec<Peer>> = fleet
        .iter()
        .map(|b| {
            let mut all: Vec<Peer> = (0..60).map(|_| Peer::new(b.viewer())).collect();
            // The node may have closed one already for want of room.
            all.iter_mut().for_each(|v| drop(std::io::Write::write_all(&mut v.stream, b"SETUP rtsp://")));
            all
        })
        .collect();
    serve(&fleet, "requests that were begun");
    begun.into_iter().flatten().for_each(Peer::resets);
    serve(&fleet, "resets");
    for b in &fleet {
        std::fs::write(&b.document, "{").unwrap();
        b.signal("-HUP");
    }
    serve(&fleet, "a configuration that can't be read");
    for b in &fleet {
        b.signal("-STOP");
    }
    std::thread::sleep(ms(500));
    for b in &fleet {
        b.signal("-CONT");
    }
    serve(&fleet, "standing still");
    // The server of one dies and is there again: its sessions are released, and it is asked again.
    let b = &mut fleet[0];
    b.fate.store(DIES, Ordering::SeqCst);
    let _ = std::net::TcpStream::connect(b.server);
    std::thread::sleep(ms(300));
    b.revive(TcpListener::bind(b.server).unwrap());
    let until = Instant::now() + WAIT;
    let served = (9_000..).take_while(|_| Instant::now() < until).any(|id| {
        let mut viewer = Peer::new(fleet[0].viewer());
        viewer.says(&wanted(id));
        // Releases of the sessions that ended with the server come on the same connection.
        let answer = std::iter::repeat_with(|| viewer.hears()).find(|m| m.starts_with("RTSP/1.0")).unwrap();
        std::thread::sleep(ms(100));
        answer.starts_with("RTSP/1.0 200")
    });
    assert!(served, "never again");
}
