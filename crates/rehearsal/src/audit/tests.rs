//! Hand-made records that violate each rule: the auditor must report every violation, and none in valid records.
use super::*;
use crate::record::GroupSettings;

fn settings() -> AuditSettings {
    let group = |name: &str, repeatable, lowest_rung, max_sessions_per_title| GroupSettings {
        name: name.into(),
        start_target_ms: 1_000.0,
        wait_limit_ms: 3_000.0,
        utility: 2.0,
        repeatable,
        lowest_rung,
        max_sessions_per_title,
    };
    AuditSettings {
        groups: vec![group("any", true, 0, 0), group("once", false, 1, 1)],
        rung_count: 3,
        drain_grace_ms: 250.0,
        max_setups: 3,
        retry_budget: Some((1.0, 0.0, 10_000.0)),
        min_setup_timeout_ms: 100.0,
    }
}

fn request_sent(request: u64, group: &str) -> Observation {
    let (title, group) = ("/m/a.mpd".into(), group.into());
    Observation::RequestSent { viewer: request, request, front: 0, title, group, wait_limit_ms: 3_000.0 }
}

fn setup_received(server: u32, session: u64, group: &str, rung: u8) -> Observation {
    Observation::SetupReceived { server, front: 0, session, title: "a".into(), group: group.into(), rung }
}

fn setup_answered(server: u32, session: u64, status: u16) -> Observation {
    Observation::SetupAnswered { server, session, status }
}

fn answered(request: u64, status: u16, session: Option<(u64, u32)>) -> Observation {
    Observation::Answered { request, status, session: session.map(|s| s.0), server: session.map(|s| s.1) }
}

fn list_entry_sent(server: u32, state: &str) -> Observation {
    Observation::ListEntrySent { front: 0, server, state: state.into() }
}

const NONE: [u8; 0] = [];

/// The rules that the events violate.
fn violated_rules(events: Vec<(f64, Observation)>) -> Vec<u8> {
    let first = Record { at_ms: 0.0, observation: Observation::Settings(settings()) };
    let rest = events.into_iter().map(|(at_ms, observation)| Record { at_ms, observation });
    let verdict = judge(std::iter::once(first).chain(rest).collect()).unwrap();
    verdict.violations.iter().map(|v| v.rule).collect()
}

/// A request sent at a time that plays after one SETUP.
fn played_request(sent_at: f64, request: u64, group: &str) -> Vec<(f64, Observation)> {
    vec![
        (sent_at, request_sent(request, group)),
        (sent_at + 1.0, setup_received(0, request, group, 1)),
        (sent_at + 9.0, setup_answered(0, request, 200)),
        (sent_at + 10.0, answered(request, 200, Some((request, 0)))),
    ]
}

#[test]
fn valid_records_violate_no_rule() {
    assert_eq!(violated_rules(played_request(1.0, 1, "any")), NONE);
    // A busy box and then another one; a SETUP answered too late and torn down; a drain kept; requests that need no
    // answer as the front was killed or the viewer left.
    let busy = vec![
        (1.0, request_sent(1, "once")),
        (2.0, setup_received(0, 1, "once", 1)),
        (3.0, setup_answered(0, 1, 453)),
        (4.0, setup_received(1, 1, "once", 1)),
        (5.0, setup_answered(1, 1, 200)),
        (6.0, answered(1, 200, Some((1, 1)))),
    ];
    assert_eq!(violated_rules(busy), NONE);
    let late = vec![
        (1.0, request_sent(1, "any")),
        (2.0, setup_received(0, 1, "any", 1)),
        (400.0, setup_received(1, 1, "any", 1)),
        (405.0, setup_answered(1, 1, 200)),
        (406.0, answered(1, 200, Some((1, 1)))),
        (500.0, setup_answered(0, 1, 200)),
        (502.0, Observation::SessionEnded { server: 0, session: 1, reason: "torn-down".into() }),
        (9_000.0, Observation::BoxUp { server: 5 }),
    ];
    assert_eq!(violated_rules(late), NONE);
    let mut drained = vec![(0.5, list_entry_sent(0, "draining"))];
    drained.extend(played_request(200.0, 1, "any"));
    assert_eq!(violated_rules(drained), NONE);
    assert_eq!(
        violated_rules(vec![(1.0, request_sent(1, "any")), (2.0, Observation::FrontDown { front: 0 })]),
        NONE
    );
    assert_eq!(
        violated_rules(vec![(1.0, request_sent(1, "any")), (2.0, Observation::ViewerLeft { request: 1 })]),
        NONE
    );
    let overdue = vec![(1.0, request_sent(1, "any")), (3_100.0, Observation::FrontDown { front: 0 })];
    assert_eq!(violated_rules(overdue), [1], "overdue before the front was killed");
    let killed = vec![
        (1.0, Observation::FrontDown { front: 0 }),
        (2.0, request_sent(1, "any")),
        (3.0, Observation::FrontUp { front: 0 }),
    ];
    assert_eq!(violated_rules(killed.clone()), NONE);
    assert_eq!(
        violated_rules([killed, vec![(4.0, request_sent(2, "any"))]].concat()),
        [1],
        "the front that replaces it must answer"
    );
}

#[test]
fn rule_1_every_request_gets_one_answer_in_time() {
    assert_eq!(violated_rules(vec![(1.0, request_sent(1, "any"))]), [1], "no answer");
    assert_eq!(
        violated_rules(vec![(1.0, request_sent(1, "any")), (3_002.0, answered(1, 503, None))]),
        [1],
        "too late"
    );
    let mut twice = played_request(1.0, 1, "any");
    twice.push((20.0, Observation::ExtraData { request: 1 }));
    assert_eq!(violated_rules(twice), [1]);
    let unknown_session = vec![(1.0, request_sent(1, "any")), (2.0, answered(1, 200, Some((1, 0))))];
    assert_eq!(violated_rules(unknown_session), [1], "a session that no box has set up");
}

#[test]
fn rule_2_no_session_is_set_up_twice() {
    let mut overlapping = vec![
        (1.0, request_sent(1, "any")),
        (2.0, setup_received(0, 1, "any", 1)),
        (50.0, setup_received(1, 1, "any", 1)),
    ];
    overlapping.extend([(60.0, setup_answered(1, 1, 200)), (61.0, answered(1, 200, Some((1, 1))))]);
    assert_eq!(violated_rules(overlapping), [2], "two pending at once");
    let mut while_playing = played_request(1.0, 1, "any");
    while_playing.push((700.0, setup_received(1, 1, "any", 1)));
    assert_eq!(violated_rules(while_playing), [2], "another SETUP while it plays");
    let mut may_have_run = vec![
        (1.0, request_sent(1, "once")),
        (2.0, setup_received(0, 1, "once", 1)),
        (600.0, setup_received(1, 1, "once", 1)),
    ];
    may_have_run.extend([(610.0, setup_answered(1, 1, 200)), (611.0, answered(1, 200, Some((1, 1))))]);
    assert_eq!(violated_rules(may_have_run), [2], "the first SETUP may have run");
    let mut not_torn_down = vec![
        (1.0, request_sent(1, "any")),
        (2.0, setup_received(0, 1, "any", 1)),
        (400.0, setup_received(1, 1, "any", 1)),
    ];
    not_torn_down.extend([
        (405.0, setup_answered(1, 1, 200)),
        (406.0, answered(1, 200, Some((1, 1)))),
        (500.0, setup_answered(0, 1, 200)),
    ]);
    not_torn_down.push((9_000.0, Observation::BoxUp { server: 5 }));
    assert_eq!(violated_rules(not_torn_down), [2], "answered too late and not torn down");
    let mut four_setups =
        vec![(1.0, request_sent(1, "any")), (2.0, request_sent(2, "any")), (3.0, answered(2, 503, None))];
    for n in 0..4 {
        let at = 10.0 + 20.0 * f64::from(n);
        four_setups.extend([(at, setup_received(n, 1, "any", 1)), (at + 1.0, setup_answered(n, 1, 453))]);
    }
    four_setups.push((100.0, answered(1, 503, None)));
    assert!(violated_rules(four_setups).contains(&2), "a fourth SETUP");
}

#[test]
fn rule_3_no_setup_reaches_a_drained_box() {
    let mut late = vec![(0.5, list_entry_sent(0, "draining")), (100.0, list_entry_sent(0, "gone"))];
    late.extend(played_request(300.0, 1, "any"));
    assert_eq!(violated_rules(late), [3]);
    // The stand-ins themselves ran late for that time.
    let mut recorder_late =
        vec![(0.5, list_entry_sent(0, "draining")), (299.0, Observation::RecorderLate { delay_ms: 120.0 })];
    recorder_late.extend(played_request(300.0, 1, "any"));
    assert_eq!(violated_rules(recorder_late.clone()), NONE);
    recorder_late[1].1 = Observation::RecorderLate { delay_ms: 20.0 };
    assert_eq!(violated_rules(recorder_late), [3]);
    let mut ready_again = vec![(0.5, list_entry_sent(0, "gone")), (250.0, list_entry_sent(0, "ready"))];
    ready_again.extend(played_request(300.0, 1, "any"));
    assert_eq!(violated_rules(ready_again), NONE, "listed as ready again");
}

#[test]
fn rule_4_no_cold_box_is_overloaded() {
    assert_eq!(
        violated_rules(vec![(1.0, Observation::BoxDown { server: 0, reason: "fell over".into() })]),
        [4]
    );
    assert_eq!(
        violated_rules(vec![(1.0, Observation::BoxDown { server: 0, reason: "script".into() })]),
        NONE
    );
}

#[test]
fn rule_5_rungs_and_sessions_per_title_are_kept() {
    let mut low_setup = played_request(1.0, 1, "once");
    low_setup[1].1 = setup_received(0, 1, "once", 0);
    assert_eq!(violated_rules(low_setup), [5], "below the lowest rung at set-up");
    let mut low_change = played_request(1.0, 1, "once");
    low_change.push((50.0, Observation::RungSet { server: 0, session: 1, rung: 0 }));
    assert_eq!(violated_rules(low_change), [5], "below the lowest rung while playing");
    let mut two_sessions = played_request(1.0, 1, "once");
    two_sessions.extend(played_request(20.0, 2, "once"));
    assert_eq!(violated_rules(two_sessions), [5], "two sessions of a title that may have one");
    let mut one_after_another = played_request(1.0, 1, "once");
    one_after_another
        .push((15.0, Observation::SessionEnded { server: 0, session: 1, reason: "not watched".into() }));
    one_after_another.extend(played_request(20.0, 2, "once"));
    assert_eq!(violated_rules(one_after_another), NONE);
}

#[test]
fn rule_6_retry_setups_stay_within_the_budget() {
    let busy_once = |at: f64, request: u64| {
        vec![
            (at, request_sent(request, "any")),
            (at + 1.0, setup_received(0, request, "any", 1)),
            (at + 2.0, setup_answered(0, request, 453)),
            (at + 3.0, setup_received(1, request, "any", 1)),
            (at + 4.0, setup_answered(1, request, 200)),
            (at + 5.0, answered(request, 200, Some((request, 1)))),
        ]
    };
    assert_eq!(violated_rules(busy_once(1.0, 1)), NONE);
    let two_retries = |apart: f64| violated_rules([busy_once(1.0, 1), busy_once(1.0 + apart, 2)].concat());
    assert_eq!(two_retries(20.0), [6]);
    assert_eq!(two_retries(10_100.0), NONE);
}

#[test]
fn service_counts_all_attempts_of_a_viewer_as_one() {
    let mut events = played_request(1.0, 1, "any");
    // Two viewers get a busy reply and try again: the second plays after its start target, the third in time.
    for (viewer, first, second) in [(2, 100.0, 1_200.0), (3, 5_000.0, 5_500.0)] {
        let retry_request = viewer + 10;
        events.extend([(first, request_sent(viewer, "any")), (first + 1.0, answered(viewer, 503, None))]);
        let mut next = played_request(second, retry_request, "any");
        if let Observation::RequestSent { viewer: v, .. } = &mut next[0].1 {
            *v = viewer;
        }
        events.extend(next);
    }
    let first = Record { at_ms: 0.0, observation: Observation::Settings(settings()) };
    let rest = events.into_iter().map(|(at_ms, observation)| Record { at_ms, observation });
    let v = judge(std::iter::once(first).chain(rest).collect()).unwrap();
    assert_eq!((v.viewers, v.requests, v.violations), (3, 5, vec![]));
    assert!((v.service - 2.0 / 3.0).abs() < 1e-9, "{}", v.service);
}

#[test]
fn records_without_settings_or_truncated_are_refused() {
    assert!(judge(vec![]).is_err());
    let text = "{\"at\":1.0,\"saw\":\"box-up\",\"server\":1}\n{\"at\":2.0,\"saw\":";
    assert!(crate::record::parse(text).unwrap_err().starts_with("line 2: column"));
}
