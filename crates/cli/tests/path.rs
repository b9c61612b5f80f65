//! The whole way of a request over real sockets: phone, front, box and back, with each trouble forced.
mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};
use support::*;
use test_case::test_case;
use walnutline_dash::token;

struct Place {
    log: BoxLog,
    boxes: Vec<TestBox>,
    front: Front,
}

/// A front with boxes that all play, each known to be in use; then they are told what to do.
fn place(does: &[Does]) -> Place {
    let log = Log::new();
    let boxes: Vec<TestBox> = (0..does.len()).map(|n| TestBox::start(n as u32, Does::Plays, &log)).collect();
    let all: Vec<&TestBox> = boxes.iter().collect();
    let front = Front::start(list_of(&all));
    ready(&front, &all);
    for (b, does) in boxes.iter().zip(does) {
        b.does(*does);
    }
    Place { log, boxes, front }
}

impl Place {
    /// SETUPs since the boxes were told what to do: those of a title's one session.
    fn setups_of(&self, session: u64) -> Vec<(Instant, u32)> {
        setups(&self.log).into_iter().filter(|(.., s)| *s == session).map(|(at, id, _)| (at, id)).collect()
    }

    fn last_session(&self) -> u64 {
        setups(&self.log).last().unwrap().2
    }

    fn holders(&self) -> Vec<u32> {
        self.boxes.iter().map(|b| b.id).collect()
    }
}

#[test]
fn a_request_plays_at_a_box_that_holds_it() {
    let p = place(&[Does::Plays, Does::Plays]);
    let answer = Phone::new(10).asks(p.front.address, "water", &[1]);
    let mpd = answer.manifest();
    assert_eq!(answer.server(), 1, "the request's own list");
    assert_eq!(mpd.presentation_type, "dynamic");
    let rungs: Vec<&str> = mpd.period.adaptation_set.representations.iter().map(|r| r.id.as_str()).collect();
    assert_eq!(rungs, ["0", "1"]);
    // The token in the manifest is the one that the box was given, and is good for it alone.
    let session = p.last_session();
    let (_, (_, saw)) =
        p.log.wait("its SETUP", |(_, s)| matches!(s, Saw::Setup { session: s, .. } if *s == session));
    let Saw::Setup { token, .. } = saw else { panic!() };
    assert!(mpd.base_url.contains(&token));
    let key = walnutline_dash::SigningKey::from_bytes(&[2; 32]).verifying_key();
    let claims = token::verify_session(&token, |_| Ok(key)).unwrap();
    assert_eq!((claims.session, claims.server), (session, 1));
    // Its location gives the manifest anew; with another session's token it does not.
    let path = mpd.location.split_once("/s/").unwrap().1;
    let renewed = ask(p.front.address, &format!("GET /s/{path} HTTP/1.1\r\nHost: f\r\n\r\n"));
    assert_eq!(renewed.manifest().base_url, mpd.base_url);
    let other = path.replacen(&session.to_string(), "1", 1);
    assert_eq!(ask(p.front.address, &format!("GET /s/{other} HTTP/1.1\r\nHost: f\r\n\r\n")).status, 403);
}

#[test]
fn a_token_replayed_from_a_second_phone_opens_nothing() {
    let p = place(&[Does::Plays]);
    let list = list_of(&[&p.boxes[0]]);
    let second = Front::start(list);
    ready(&second, &[&p.boxes[0]]);
    let (phone, thief) = (Phone::new(10), Phone::new(11));
    let token = phone.token("water", &[0]);
    let proof = phone.proof(p.front.address, "water", &token);
    assert_eq!(ask(p.front.address, &request("water", &token, &proof)).status, 200);
    let before = setups(&p.log).len();
    let refused = |front: SocketAddr, proof: &str, status: u16, reason: &str| {
        let answer = ask(front, &request("water", &token, proof));
        assert_eq!((answer.status, answer.body.trim()), (status, reason));
    };
    // With the copied proof, at the same front and at another; with a proof of its own, at both.
    refused(p.front.address, &proof, 403, "proof-used");
    refused(second.address, &proof, 401, "proof-for-other-request");
    refused(p.front.address, &thief.proof(p.front.address, "water", &token), 403, "proof-of-other-key");
    refused(second.address, &thief.proof(second.address, "water", &token), 403, "proof-of-other-key");
    assert_eq!(setups(&p.log).len(), before, "a SETUP was sent");
    // The phone itself may come again, at either.
    for front in [p.front.address, second.address] {
        assert_eq!(ask(front, &request("water", &token, &phone.proof(front, "water", &token))).status, 200);
    }
}

#[test]
fn a_token_that_gives_no_leave_is_refused_with_its_reason() {
    let p = place(&[Does::Plays]);
    let (phone, front) = (Phone::new(10), p.front.address);
    let before = setups(&p.log).len();
    let good = phone.claims("water", &[0]);
    let changed = |change: fn(&mut walnutline_auth::claims::ViewerClaims)| {
        let mut c = good.clone();
        change(&mut c);
        mint(&c)
    };
    let cases = [
        (changed(|c| c.expires_at -= 3_600_000.0), 401, "expired"),
        (changed(|c| c.manifest_path = "/m/other.mpd".into()), 403, "other-title"),
        (changed(|c| c.service_group = "nobody".into()), 403, "unknown-group"),
        (changed(|c| c.holders.clear()), 403, "no-holders"),
        (token::mint(&good, b"k9", &issuer()), 401, "unknown-key"),
        (token::mint(&good, b"k1", &phone.key), 401, "bad-signature"),
        ("A".repeat(2_049), 401, "token-too-long"),
        ("not a token".into(), 401, "token-malformed"),
    ];
    for (check_token, status, reason) in cases {
        let answer = ask(front, &request("water", &check_token, &phone.proof(front, "water", &check_token)));
        assert_eq!((answer.status, answer.body.trim()), (status, reason));
    }
    let none = ask(front, "GET /m/water.mpd HTTP/1.1\r\nHost: f\r\n\r\n");
    assert_eq!((none.status, none.body.trim()), (401, "no-token"));
    assert!(none.head.contains("WWW-Authenticate: DPoP"));
    assert_eq!(setups(&p.log).len(), before, "a SETUP was sent");
}

/// What befalls the first box that is asked; the others play.
#[test_case(Does::Busy)]
#[test_case(Does::Errs)]
#[test_case(Does::Resets)]
#[test_case(Does::Dies)]
#[test_case(Does::Never)]
#[test_case(Does::Late(600))]
fn another_box_plays_what_the_first_does_not(does: Does) {
    // One box only does so; asked alone among three, it is met sooner or later by chance.
    let p = place(&[does, Does::Plays, Does::Plays]);
    let phone = Phone::new(10);
    let met = until("the box is asked first", || {
        let answer = phone.asks(p.front.address, "water", &p.holders());
        assert!(answer.took < PATIENCE, "{answer:?}");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_ne!(answer.server(), 0);
        let session = p.last_session();
        let of = p.setups_of(session);
        assert!(of.len() <= 3);
        (of[0].1 == 0).then_some(session)
    });
    let of = p.setups_of(met);
    assert_eq!(of.len(), 2, "one SETUP more, and no third");
    if matches!(does, Does::Late(_)) {
        // The answer that came too late is torn down, and the session plays where the viewer was sent.
        let name = format!("s{met}");
        p.log.wait("the late session's end", |(id, s)| {
            *id == 0 && matches!(s, Saw::Teardown { session } if *session == name)
        });
    }
}

#[test_case(Does::Never, &[503, 504]; "every box hangs")]
#[test_case(Does::Busy, &[503]; "every box is busy")]
#[test_case(Does::Errs, &[503, 504]; "every box errs")]
#[test_case(Does::Resets, &[503, 504]; "every box resets")]
fn one_answer_in_time_and_at_most_three_setups(does: Does, wanted: &[u16]) {
    let p = place(&[does; 4]);
    let answer = Phone::new(10).asks(p.front.address, "water", &p.holders());
    assert!(wanted.contains(&answer.status), "{answer:?}");
    assert!(answer.took < PATIENCE, "{:?}", answer.took);
    let of = p.setups_of(p.last_session());
    assert!((1..=3).contains(&of.len()), "{of:?}");
    if answer.status == 503 {
        assert!(answer.head.contains("Retry-After: "), "{}", answer.head);
    }
    if does == Does::Never {
        // Each was given its time before the next: they were never out together.
        assert!(of.windows(2).all(|w| w[1].0 - w[0].0 > Duration::from_millis(90)), "{of:?}");
    }
}

#[test]
fn a_paid_session_is_not_set_up_again_once_it_may_have_run() {
    let p = place(&[Does::Resets; 3]);
    let phone = Phone::new(10);
    let mut claims = phone.claims("film", &p.holders());
    claims.service_group = "paid".into();
    let token = mint(&claims);
    let proof = phone.proof(p.front.address, "film", &token);
    let answer = ask(p.front.address, &request("film", &token, &proof));
    assert_eq!(answer.status, 504, "torn down, not busy: {answer:?}");
    assert_eq!(p.setups_of(p.last_session()).len(), 1);
}

#[test]
fn nobody_holds_it_or_the_list_is_away() {
    let p = place(&[Does::Plays]);
    let before = setups(&p.log).len();
    let answer = Phone::new(10).asks(p.front.address, "water", &[40, 41]);
    assert_eq!(answer.status, 503);
    assert!(answer.took < START_TARGET);
    assert_eq!(setups(&p.log).len(), before);
    // A port that nobody listens on any more.
    let nowhere = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let alone = Front::start(nowhere);
    let answer = Phone::new(10).asks(alone.address, "water", &[0]);
    assert_eq!(answer.status, 503);
    assert!(answer.took < PATIENCE);
}

#[test]
fn a_box_that_resets_after_its_answer_ends_the_session() {
    let p = place(&[Does::PlaysAndResets]);
    let answer = Phone::new(10).asks(p.front.address, "water", &[0]);
    let mpd = answer.manifest();
    let path = mpd.location.split_once("/s/").unwrap().1.to_owned();
    let text = format!("GET /s/{path} HTTP/1.1\r\nHost: f\r\n\r\n");
    until("the session is over", || (ask(p.front.address, &text).status == 410).then_some(()));
}

#[test]
fn a_viewer_who_leaves_has_its_late_session_torn_down() {
    let p = place(&[Does::Late(300)]);
    let mut stream = connect(p.front.address);
    let before = setups(&p.log).len();
    stream.write_all(Phone::new(10).request(p.front.address, "water", &[0]).as_bytes()).unwrap();
    until("its SETUP", || (setups(&p.log).len() > before).then_some(()));
    drop(stream);
    let name = format!("s{}", p.last_session());
    p.log.wait("its end", |(_, s)| matches!(s, Saw::Teardown { session } if *session == name));
}

#[test]
fn half_closed_and_pipelined_requests_are_answered_once_and_in_order() {
    let p = place(&[Does::Late(100)]);
    let phone = Phone::new(10);
    let mut stream = connect(p.front.address);
    stream.write_all(phone.request(p.front.address, "water", &[0]).as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut all = String::new();
    stream.read_to_string(&mut all).unwrap();
    assert_eq!(all.matches("HTTP/1.1 ").count(), 1, "{all}");
    assert!(all.starts_with("HTTP/1.1 503"), "who sends no more is taken to have left: {all}");

    p.boxes[0].does(Does::Plays);
    let mut stream = connect(p.front.address);
    let three = ["a", "b", "c"].map(|t| phone.request(p.front.address, t, &[0])).concat();
    stream.write_all(three.as_bytes()).unwrap();
    let mut rest = Vec::new();
    for title in ["a", "b", "c"] {
        let answer = read_answer(&mut stream, &mut rest, Instant::now());
        assert_eq!(answer.manifest().period.id, title);
    }
}

#[test]
fn slow_senders_do_not_keep_others_waiting() {
    let p = place(&[Does::Plays]);
    let mut slow: Vec<_> = (0..200).map(|_| connect(p.front.address)).collect();
    let phone = Phone::new(10);
    for round in 0..5 {
        for s in &mut slow {
            s.write_all(&b"GET /"[round..=round]).unwrap();
        }
        let answer = phone.asks(p.front.address, "water", &[0]);
        assert_eq!(answer.status, 200);
        assert!(answer.took < START_TARGET, "{:?}", answer.took);
    }
    // Each is told so once its time is over, and its connection closes.
    for mut s in slow {
        let mut text = String::new();
        s.read_to_string(&mut text).unwrap();
        assert!(text.starts_with("HTTP/1.1 408"), "{text:?}");
    }
}

#[test]
fn a_front_that_stood_still_goes_on_and_blames_no_box() {
    let p = place(&[Does::Late(50)]);
    let phone = Phone::new(10);
    let mut stream = connect(p.front.address);
    let before = setups(&p.log).len();
    let began = Instant::now();
    stream.write_all(phone.request(p.front.address, "water", &[0]).as_bytes()).unwrap();
    until("its SETUP", || (setups(&p.log).len() > before).then_some(()));
    p.front.signal("-STOP");
    let session = p.last_session();
    p.log.wait("the box's answer", |(_, s)| *s == Saw::Done { session, status: 200 });
    std::thread::sleep(Duration::from_millis(2_000).saturating_sub(began.elapsed()));
    p.front.signal("-CONT");
    let answer = read_answer(&mut stream, &mut Vec::new(), began);
    assert_eq!(answer.status, 200, "the answer stood in the socket: {answer:?}");
    assert!(answer.took < PATIENCE);
    assert_eq!(p.setups_of(session).len(), 1, "no further SETUP beside one that was answered");
    assert_eq!(phone.asks(p.front.address, "water", &[0]).status, 200);
}

#[test]
fn a_front_killed_and_started_again_serves_at_once() {
    let p = place(&[Does::Plays, Does::Plays]);
    let phone = Phone::new(10);
    assert_eq!(phone.asks(p.front.address, "water", &[0, 1]).status, 200);
    let boxes: Vec<&TestBox> = p.boxes.iter().collect();
    let list = list_of(&boxes);
    drop(p.front);
    let again = Front::start(list);
    ready(&again, &boxes);
    assert_eq!(phone.asks(again.address, "water", &[0, 1]).status, 200);
}

#[test]
fn a_stop_answers_what_is_in_hand_and_takes_no_more() {
    let mut p = place(&[Does::Late(1_200)]);
    let phone = Phone::new(10);
    let mut waiting = connect(p.front.address);
    let before = setups(&p.log).len();
    waiting.write_all(phone.request(p.front.address, "water", &[0]).as_bytes()).unwrap();
    until("its SETUP", || (setups(&p.log).len() > before).then_some(()));
    p.front.signal("-TERM");
    // Without a token, so that it is never in hand: refused before, told of the stop after.
    until("no more are taken", || {
        let answer = ask(p.front.address, "GET /m/fire.mpd HTTP/1.1\r\nHost: f\r\n\r\n");
        (answer.status == 503 && answer.body.contains("stopping")).then_some(())
    });
    assert_eq!(read_answer(&mut waiting, &mut Vec::new(), Instant::now()).status, 200);
    let status = until("its end", || p.front.child.try_wait().unwrap());
    assert!(status.success());
}

#[test]
fn keys_change_by_reload() {
    let p = place(&[Does::Plays]);
    let phone = Phone::new(10);
    let next = Phone::new(50).key;
    let claims = phone.claims("water", &[0]);
    let new_token = token::mint(&claims, b"k2", &next);
    let by_new = || {
        ask(
            p.front.address,
            &request("water", &new_token, &phone.proof(p.front.address, "water", &new_token)),
        )
    };
    assert_eq!(by_new().body.trim(), "unknown-key");
    let file = p.front.folder.join("f.kdl");
    let text = std::fs::read_to_string(&file).unwrap();
    let key = walnutline_dash::encode_base64url(next.verifying_key().as_bytes());
    std::fs::write(p.front.folder.join("k2.pub"), key).unwrap();
    let line = "    issuer-key \"k1\" file=\"k1.pub\"\n";
    let both = text.replace(line, &format!("{line}    issuer-key \"k2\" file=\"k2.pub\"\n"));
    std::fs::write(&file, &both).unwrap();
    p.front.signal("-HUP");
    until("the new key", || (by_new().status == 200).then_some(()));
    assert_eq!(phone.asks(p.front.address, "water", &[0]).status, 200, "the old key is good too");
    // A document with a fault changes nothing.
    std::fs::write(&file, both.replace(line, "    issuer-key \"k1\"\n")).unwrap();
    p.front.signal("-HUP");
    std::fs::write(&file, both.replace(line, "")).unwrap();
    p.front.signal("-HUP");
    until("the old key is gone", || (phone.asks(p.front.address, "water", &[0]).status == 401).then_some(()));
    assert_eq!(by_new().status, 200);
}
