//! Requests from viewer to front to box and back over real sockets, with each kind of failure forced.
mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};
use support::*;
use test_case::test_case;
use walnutline_dash::token;

/// A front with the boxes it places sessions on.
struct Deployment {
    log: BoxLog,
    boxes: Vec<TestBox>,
    front: Front,
}

/// Starts a front and one box for each behaviour. The boxes accept SETUPs until all of them are in use, and get their
/// behaviour then.
fn start_deployment(behaviours: &[BoxBehaviour]) -> Deployment {
    let log = EventLog::new();
    let boxes: Vec<TestBox> =
        (0..behaviours.len()).map(|id| TestBox::start(id as u32, BoxBehaviour::Accept, &log)).collect();
    let all: Vec<&TestBox> = boxes.iter().collect();
    let front = Front::start(start_list_server(&all));
    wait_until_in_use(&front, &all);
    for (test_box, behaviour) in boxes.iter().zip(behaviours) {
        test_box.set_behaviour(*behaviour);
    }
    Deployment { log, boxes, front }
}

impl Deployment {
    /// The SETUPs of one session, with the id of the box that received each.
    fn setups_of(&self, session: u64) -> Vec<(Instant, u32)> {
        setups_received(&self.log)
            .into_iter()
            .filter(|(.., of)| *of == session)
            .map(|(received_at, id, _)| (received_at, id))
            .collect()
    }

    fn last_session(&self) -> u64 {
        setups_received(&self.log).last().unwrap().2
    }

    fn holders(&self) -> Vec<u32> {
        self.boxes.iter().map(|test_box| test_box.id).collect()
    }
}

#[test]
fn request_is_placed_on_a_box_that_holds_the_title() {
    let deployment = start_deployment(&[BoxBehaviour::Accept, BoxBehaviour::Accept]);
    let response = TestViewer::new(10).fetch_manifest(deployment.front.address, "water", &[1]);
    let mpd = response.manifest();
    assert_eq!(response.box_id(), 1, "the only holder in the request");
    assert_eq!(mpd.presentation_type, "dynamic");
    let rungs: Vec<&str> = mpd
        .period
        .adaptation_set
        .representations
        .iter()
        .map(|representation| representation.id.as_str())
        .collect();
    assert_eq!(rungs, ["0", "1"]);
    // The manifest holds the token that the box received, which is valid for that box alone.
    let session = deployment.last_session();
    let (_, (_, event)) = deployment.log.wait_for(
        "the SETUP of the session",
        |(_, event)| matches!(event, BoxEvent::SetupReceived { session: of, .. } if *of == session),
    );
    let BoxEvent::SetupReceived { token, .. } = event else { panic!() };
    assert!(mpd.base_url.contains(&token));
    let key = walnutline_dash::SigningKey::from_bytes(&[2; 32]).verifying_key();
    let claims = token::verify_session(&token, |_| Ok(key)).unwrap();
    assert_eq!((claims.session, claims.server), (session, 1));
    // The manifest's location serves the manifest again, but not for another session with the same token.
    let path = mpd.location.split_once("/s/").unwrap().1;
    let renewed =
        send_request(deployment.front.address, &format!("GET /s/{path} HTTP/1.1\r\nHost: f\r\n\r\n"));
    assert_eq!(renewed.manifest().base_url, mpd.base_url);
    let other = path.replacen(&session.to_string(), "1", 1);
    assert_eq!(
        send_request(deployment.front.address, &format!("GET /s/{other} HTTP/1.1\r\nHost: f\r\n\r\n")).status,
        403
    );
}

#[test]
fn token_replayed_by_another_viewer_is_refused() {
    let deployment = start_deployment(&[BoxBehaviour::Accept]);
    let list = start_list_server(&[&deployment.boxes[0]]);
    let second = Front::start(list);
    wait_until_in_use(&second, &[&deployment.boxes[0]]);
    let (viewer, attacker) = (TestViewer::new(10), TestViewer::new(11));
    let token = viewer.token("water", &[0]);
    let proof = viewer.proof(deployment.front.address, "water", &token);
    assert_eq!(
        send_request(deployment.front.address, &manifest_request("water", &token, &proof)).status,
        200
    );
    let before = setups_received(&deployment.log).len();
    let assert_refused = |front: SocketAddr, proof: &str, status: u16, reason: &str| {
        let response = send_request(front, &manifest_request("water", &token, proof));
        assert_eq!((response.status, response.body.trim()), (status, reason));
    };
    // With the copied proof and with a proof by its own key, each at the same front and at another one.
    assert_refused(deployment.front.address, &proof, 403, "proof-used");
    assert_refused(second.address, &proof, 401, "proof-for-other-request");
    assert_refused(
        deployment.front.address,
        &attacker.proof(deployment.front.address, "water", &token),
        403,
        "proof-of-other-key",
    );
    assert_refused(
        second.address,
        &attacker.proof(second.address, "water", &token),
        403,
        "proof-of-other-key",
    );
    assert_eq!(setups_received(&deployment.log).len(), before, "a SETUP was sent");
    // The rightful viewer is served again, at both fronts.
    for front in [deployment.front.address, second.address] {
        assert_eq!(
            send_request(front, &manifest_request("water", &token, &viewer.proof(front, "water", &token)))
                .status,
            200
        );
    }
}

#[test]
fn token_that_does_not_authorize_is_refused_with_the_reason() {
    let deployment = start_deployment(&[BoxBehaviour::Accept]);
    let (viewer, front) = (TestViewer::new(10), deployment.front.address);
    let before = setups_received(&deployment.log).len();
    let valid_claims = viewer.claims("water", &[0]);
    let changed = |change: fn(&mut walnutline_auth::claims::ViewerClaims)| {
        let mut claims = valid_claims.clone();
        change(&mut claims);
        mint_token(&claims)
    };
    let cases = [
        (changed(|claims| claims.expires_at -= 3_600_000.0), 401, "expired"),
        (changed(|claims| claims.manifest_path = "/m/other.mpd".into()), 403, "other-title"),
        (changed(|claims| claims.service_group = "nobody".into()), 403, "unknown-group"),
        (changed(|claims| claims.holders.clear()), 403, "no-holders"),
        (token::mint(&valid_claims, b"k9", &issuer_key()), 401, "unknown-key"),
        (token::mint(&valid_claims, b"k1", &viewer.key), 401, "bad-signature"),
        ("A".repeat(2_049), 401, "token-too-long"),
        ("not a token".into(), 401, "token-malformed"),
    ];
    for (token, status, reason) in cases {
        let response =
            send_request(front, &manifest_request("water", &token, &viewer.proof(front, "water", &token)));
        assert_eq!((response.status, response.body.trim()), (status, reason));
    }
    let without_token = send_request(front, "GET /m/water.mpd HTTP/1.1\r\nHost: f\r\n\r\n");
    assert_eq!((without_token.status, without_token.body.trim()), (401, "no-token"));
    assert!(without_token.head.contains("WWW-Authenticate: DPoP"));
    assert_eq!(setups_received(&deployment.log).len(), before, "a SETUP was sent");
}

/// The first box that gets the SETUP fails in one of these ways, and the others accept it.
#[test_case(BoxBehaviour::Busy)]
#[test_case(BoxBehaviour::Error)]
#[test_case(BoxBehaviour::CloseWithoutAnswer)]
#[test_case(BoxBehaviour::StopListening)]
#[test_case(BoxBehaviour::NoAnswer)]
#[test_case(BoxBehaviour::AcceptAfterMs(600))]
fn setup_is_retried_on_another_box(behaviour: BoxBehaviour) {
    // One box of three fails, so that requests are repeated until that box is chosen first.
    let deployment = start_deployment(&[behaviour, BoxBehaviour::Accept, BoxBehaviour::Accept]);
    let viewer = TestViewer::new(10);
    let session = wait_until("the failing box to be chosen first", || {
        let response = viewer.fetch_manifest(deployment.front.address, "water", &deployment.holders());
        assert!(response.duration < SETUP_TIMEOUT, "{response:?}");
        assert_eq!(response.status, 200, "{response:?}");
        assert_ne!(response.box_id(), 0);
        let session = deployment.last_session();
        let setups = deployment.setups_of(session);
        assert!(setups.len() <= 3);
        (setups[0].1 == 0).then_some(session)
    });
    let setups = deployment.setups_of(session);
    assert_eq!(setups.len(), 2, "exactly one retry");
    if matches!(behaviour, BoxBehaviour::AcceptAfterMs(_)) {
        // The session whose answer came too late is torn down; the viewer plays from the other box.
        let name = format!("s{session}");
        deployment.log.wait_for("the teardown of the late session", |(id, event)| {
            *id == 0 && matches!(event, BoxEvent::TeardownReceived { session } if *session == name)
        });
    }
}

#[test_case(BoxBehaviour::NoAnswer, &[503, 504]; "no box answers")]
#[test_case(BoxBehaviour::Busy, &[503]; "every box is busy")]
#[test_case(BoxBehaviour::Error, &[503, 504]; "every box answers with an error")]
#[test_case(BoxBehaviour::CloseWithoutAnswer, &[503, 504]; "every box closes the connection")]
fn failing_boxes_give_one_answer_in_time_after_at_most_three_setups(
    behaviour: BoxBehaviour,
    expected: &[u16],
) {
    let deployment = start_deployment(&[behaviour; 4]);
    let response =
        TestViewer::new(10).fetch_manifest(deployment.front.address, "water", &deployment.holders());
    assert!(expected.contains(&response.status), "{response:?}");
    assert!(response.duration < SETUP_TIMEOUT, "{:?}", response.duration);
    let setups = deployment.setups_of(deployment.last_session());
    assert!((1..=3).contains(&setups.len()), "{setups:?}");
    if response.status == 503 {
        assert!(response.head.contains("Retry-After: "), "{}", response.head);
    }
    if behaviour == BoxBehaviour::NoAnswer {
        // Each SETUP timed out before the next was sent: they were never open at the same time.
        assert!(
            setups.windows(2).all(|pair| pair[1].0 - pair[0].0 > Duration::from_millis(90)),
            "{setups:?}"
        );
    }
}

#[test]
fn setup_of_a_group_without_repeats_is_not_retried_once_it_may_have_succeeded() {
    let deployment = start_deployment(&[BoxBehaviour::CloseWithoutAnswer; 3]);
    let viewer = TestViewer::new(10);
    let mut claims = viewer.claims("film", &deployment.holders());
    claims.service_group = "paid".into();
    let token = mint_token(&claims);
    let proof = viewer.proof(deployment.front.address, "film", &token);
    let response = send_request(deployment.front.address, &manifest_request("film", &token, &proof));
    assert_eq!(response.status, 504, "504, not 503: {response:?}");
    assert_eq!(deployment.setups_of(deployment.last_session()).len(), 1);
}

#[test]
fn request_without_a_known_holder_or_a_box_list_is_refused() {
    let deployment = start_deployment(&[BoxBehaviour::Accept]);
    let before = setups_received(&deployment.log).len();
    let response = TestViewer::new(10).fetch_manifest(deployment.front.address, "water", &[40, 41]);
    assert_eq!(response.status, 503);
    assert!(response.duration < START_TARGET);
    assert_eq!(setups_received(&deployment.log).len(), before);
    // An address at which nothing listens.
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let front_without_list = Front::start(unused_address);
    let response = TestViewer::new(10).fetch_manifest(front_without_list.address, "water", &[0]);
    assert_eq!(response.status, 503);
    assert!(response.duration < SETUP_TIMEOUT);
}

#[test]
fn session_ends_when_its_box_closes_the_connection() {
    let deployment = start_deployment(&[BoxBehaviour::AcceptThenClose]);
    let response = TestViewer::new(10).fetch_manifest(deployment.front.address, "water", &[0]);
    let mpd = response.manifest();
    let path = mpd.location.split_once("/s/").unwrap().1.to_owned();
    let text = format!("GET /s/{path} HTTP/1.1\r\nHost: f\r\n\r\n");
    wait_until("the session to end", || {
        (send_request(deployment.front.address, &text).status == 410).then_some(())
    });
}

#[test]
fn late_session_of_a_disconnected_viewer_is_torn_down() {
    let deployment = start_deployment(&[BoxBehaviour::AcceptAfterMs(300)]);
    let mut stream = connect(deployment.front.address);
    let before = setups_received(&deployment.log).len();
    stream
        .write_all(TestViewer::new(10).manifest_request(deployment.front.address, "water", &[0]).as_bytes())
        .unwrap();
    wait_until("the SETUP", || (setups_received(&deployment.log).len() > before).then_some(()));
    drop(stream);
    let name = format!("s{}", deployment.last_session());
    deployment.log.wait_for(
        "the teardown",
        |(_, event)| matches!(event, BoxEvent::TeardownReceived { session } if *session == name),
    );
}

#[test]
fn half_closed_and_pipelined_requests_are_answered_once_and_in_order() {
    let deployment = start_deployment(&[BoxBehaviour::AcceptAfterMs(100)]);
    let viewer = TestViewer::new(10);
    let mut stream = connect(deployment.front.address);
    stream.write_all(viewer.manifest_request(deployment.front.address, "water", &[0]).as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).unwrap();
    assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{received}");
    assert!(received.starts_with("HTTP/1.1 503"), "a half-closed viewer counts as gone: {received}");

    deployment.boxes[0].set_behaviour(BoxBehaviour::Accept);
    let mut stream = connect(deployment.front.address);
    let pipelined =
        ["a", "b", "c"].map(|title| viewer.manifest_request(deployment.front.address, title, &[0])).concat();
    stream.write_all(pipelined.as_bytes()).unwrap();
    let mut unparsed = Vec::new();
    for title in ["a", "b", "c"] {
        let response = read_response(&mut stream, &mut unparsed, Instant::now());
        assert_eq!(response.manifest().period.id, title);
    }
}

#[test]
fn slow_senders_do_not_delay_others() {
    let deployment = start_deployment(&[BoxBehaviour::Accept]);
    let mut slow: Vec<_> = (0..200).map(|_| connect(deployment.front.address)).collect();
    let viewer = TestViewer::new(10);
    for round in 0..5 {
        for stream in &mut slow {
            stream.write_all(&b"GET /"[round..=round]).unwrap();
        }
        let response = viewer.fetch_manifest(deployment.front.address, "water", &[0]);
        assert_eq!(response.status, 200);
        assert!(response.duration < START_TARGET, "{:?}", response.duration);
    }
    // Each gets a 408 after the header time-out, and its connection is closed.
    for mut stream in slow {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        assert!(text.starts_with("HTTP/1.1 408"), "{text:?}");
    }
}

/// The front is stopped for 2 s while a box answers: it must use the answer that waits in its socket instead of
/// treating the SETUP as timed out.
#[test]
fn answer_received_while_the_front_was_stopped_is_used() {
    let deployment = start_deployment(&[BoxBehaviour::AcceptAfterMs(50)]);
    let viewer = TestViewer::new(10);
    let mut stream = connect(deployment.front.address);
    let before = setups_received(&deployment.log).len();
    let started = Instant::now();
    stream.write_all(viewer.manifest_request(deployment.front.address, "water", &[0]).as_bytes()).unwrap();
    wait_until("the SETUP", || (setups_received(&deployment.log).len() > before).then_some(()));
    deployment.front.signal("-STOP");
    let session = deployment.last_session();
    deployment.log.wait_for("the box's answer", |(_, event)| {
        *event == BoxEvent::SetupAnswered { session, status: 200 }
    });
    std::thread::sleep(Duration::from_millis(2_000).saturating_sub(started.elapsed()));
    deployment.front.signal("-CONT");
    let response = read_response(&mut stream, &mut Vec::new(), started);
    assert_eq!(response.status, 200, "the answer was in the socket: {response:?}");
    assert!(response.duration < SETUP_TIMEOUT);
    assert_eq!(deployment.setups_of(session).len(), 1, "a SETUP that was answered is not repeated");
    assert_eq!(viewer.fetch_manifest(deployment.front.address, "water", &[0]).status, 200);
}

#[test]
fn restarted_front_serves_requests() {
    let deployment = start_deployment(&[BoxBehaviour::Accept, BoxBehaviour::Accept]);
    let viewer = TestViewer::new(10);
    assert_eq!(viewer.fetch_manifest(deployment.front.address, "water", &[0, 1]).status, 200);
    let boxes: Vec<&TestBox> = deployment.boxes.iter().collect();
    let list = start_list_server(&boxes);
    drop(deployment.front);
    let restarted = Front::start(list);
    wait_until_in_use(&restarted, &boxes);
    assert_eq!(viewer.fetch_manifest(restarted.address, "water", &[0, 1]).status, 200);
}

#[test]
fn open_request_is_answered_and_new_ones_are_refused_during_shutdown() {
    let mut deployment = start_deployment(&[BoxBehaviour::AcceptAfterMs(1_200)]);
    let viewer = TestViewer::new(10);
    let mut open = connect(deployment.front.address);
    let before = setups_received(&deployment.log).len();
    open.write_all(viewer.manifest_request(deployment.front.address, "water", &[0]).as_bytes()).unwrap();
    wait_until("the SETUP", || (setups_received(&deployment.log).len() > before).then_some(()));
    deployment.front.signal("-TERM");
    // Without a token the request is refused before the stop as well, but for another reason.
    wait_until("new requests to be refused", || {
        let response = send_request(deployment.front.address, "GET /m/fire.mpd HTTP/1.1\r\nHost: f\r\n\r\n");
        (response.status == 503 && response.body.contains("stopping")).then_some(())
    });
    assert_eq!(read_response(&mut open, &mut Vec::new(), Instant::now()).status, 200);
    let status = wait_until("the front to exit", || deployment.front.process.try_wait().unwrap());
    assert!(status.success());
}

#[test]
fn issuer_keys_change_by_reload() {
    let deployment = start_deployment(&[BoxBehaviour::Accept]);
    let viewer = TestViewer::new(10);
    let new_key = TestViewer::new(50).key;
    let claims = viewer.claims("water", &[0]);
    let new_token = token::mint(&claims, b"k2", &new_key);
    let request_with_new_key = || {
        send_request(
            deployment.front.address,
            &manifest_request(
                "water",
                &new_token,
                &viewer.proof(deployment.front.address, "water", &new_token),
            ),
        )
    };
    assert_eq!(request_with_new_key().body.trim(), "unknown-key");
    let document = deployment.front.directory.join("f.kdl");
    let text = std::fs::read_to_string(&document).unwrap();
    let key = walnutline_dash::encode_base64url(new_key.verifying_key().as_bytes());
    std::fs::write(deployment.front.directory.join("k2.pub"), key).unwrap();
    let old_line = "    issuer-key \"k1\" file=\"k1.pub\"\n";
    let both = text.replace(old_line, &format!("{old_line}    issuer-key \"k2\" file=\"k2.pub\"\n"));
    std::fs::write(&document, &both).unwrap();
    deployment.front.signal("-HUP");
    wait_until("the new key to be accepted", || (request_with_new_key().status == 200).then_some(()));
    assert_eq!(
        viewer.fetch_manifest(deployment.front.address, "water", &[0]).status,
        200,
        "the old key is still accepted"
    );
    // An invalid document changes nothing.
    std::fs::write(&document, both.replace(old_line, "    issuer-key \"k1\"\n")).unwrap();
    deployment.front.signal("-HUP");
    std::fs::write(&document, both.replace(old_line, "")).unwrap();
    deployment.front.signal("-HUP");
    wait_until("the old key to be refused", || {
        (viewer.fetch_manifest(deployment.front.address, "water", &[0]).status == 401).then_some(())
    });
    assert_eq!(request_with_new_key().status, 200);
}
