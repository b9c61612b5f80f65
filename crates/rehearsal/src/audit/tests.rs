//! Records made by hand that break each rule in turn: the auditor must catch every one, and no sound one.
use super::*;
use crate::record::GroupSettings;

fn terms() -> AuditSettings {
    let group = |name: &str, repeat, floor, seats| GroupSettings {
        name: name.into(),
        start_target_ms: 1_000.0,
        wait_limit_ms: 3_000.0,
        utility: 2.0,
        repeatable: repeat,
        lowest_rung: floor,
        max_sessions_per_title: seats,
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

fn asked(req: u64, group: &str) -> Observation {
    let (title, group) = ("/m/a.mpd".into(), group.into());
    Observation::RequestSent { viewer: req, request: req, front: 0, title, group, wait_limit_ms: 3_000.0 }
}

fn setup(server: u32, session: u64, group: &str, rung: u8) -> Observation {
    Observation::SetupReceived { server, front: 0, session, title: "a".into(), group: group.into(), rung }
}

fn done(server: u32, session: u64, status: u16) -> Observation {
    Observation::SetupAnswered { server, session, status }
}

fn answered(req: u64, status: u16, session: Option<(u64, u32)>) -> Observation {
    Observation::Answered {
        request: req,
        status,
        session: session.map(|s| s.0),
        server: session.map(|s| s.1),
    }
}

fn told(server: u32, state: &str) -> Observation {
    Observation::ListEntrySent { front: 0, server, state: state.into() }
}

const NONE: [u8; 0] = [];

/// The rules that a course of events breaks.
fn broken(events: Vec<(f64, Observation)>) -> Vec<u8> {
    let first = Record { at_ms: 0.0, observation: Observation::Settings(terms()) };
    let rest = events.into_iter().map(|(at_ms, observation)| Record { at_ms, observation });
    let verdict = judge(std::iter::once(first).chain(rest).collect()).unwrap();
    verdict.violations.iter().map(|b| b.rule).collect()
}

/// A request that plays after one SETUP, from a time on.
fn plays(from: f64, req: u64, group: &str) -> Vec<(f64, Observation)> {
    vec![
        (from, asked(req, group)),
        (from + 1.0, setup(0, req, group, 1)),
        (from + 9.0, done(0, req, 200)),
        (from + 10.0, answered(req, 200, Some((req, 0)))),
    ]
}

#[test]
fn sound_courses_break_nothing() {
    assert_eq!(broken(plays(1.0, 1, "any")), NONE);
    // Busy, then another box; a late answer torn down; a drain kept; a killed front owes nothing.
    let busy = vec![
        (1.0, asked(1, "once")),
        (2.0, setup(0, 1, "once", 1)),
        (3.0, done(0, 1, 453)),
        (4.0, setup(1, 1, "once", 1)),
        (5.0, done(1, 1, 200)),
        (6.0, answered(1, 200, Some((1, 1)))),
    ];
    assert_eq!(broken(busy), NONE);
    let late = vec![
        (1.0, asked(1, "any")),
        (2.0, setup(0, 1, "any", 1)),
        (400.0, setup(1, 1, "any", 1)),
        (405.0, done(1, 1, 200)),
        (406.0, answered(1, 200, Some((1, 1)))),
        (500.0, done(0, 1, 200)),
        (502.0, Observation::SessionEnded { server: 0, session: 1, reason: "torn-down".into() }),
        (9_000.0, Observation::BoxUp { server: 5 }),
    ];
    assert_eq!(broken(late), NONE);
    let mut drained = vec![(0.5, told(0, "draining"))];
    drained.extend(plays(200.0, 1, "any"));
    assert_eq!(broken(drained), NONE);
    assert_eq!(broken(vec![(1.0, asked(1, "any")), (2.0, Observation::FrontDown { front: 0 })]), NONE);
    assert_eq!(broken(vec![(1.0, asked(1, "any")), (2.0, Observation::ViewerLeft { request: 1 })]), NONE);
    let overdue = vec![(1.0, asked(1, "any")), (3_100.0, Observation::FrontDown { front: 0 })];
    assert_eq!(broken(overdue), [1], "owed before the front died");
    let dead = vec![
        (1.0, Observation::FrontDown { front: 0 }),
        (2.0, asked(1, "any")),
        (3.0, Observation::FrontUp { front: 0 }),
    ];
    assert_eq!(broken(dead.clone()), NONE);
    assert_eq!(broken([dead, vec![(4.0, asked(2, "any"))]].concat()), [1], "the one after it answers again");
}

#[test]
fn rule_1_no_session_is_lost() {
    assert_eq!(broken(vec![(1.0, asked(1, "any"))]), [1], "no answer");
    assert_eq!(broken(vec![(1.0, asked(1, "any")), (3_002.0, answered(1, 503, None))]), [1], "too late");
    let mut twice = plays(1.0, 1, "any");
    twice.push((20.0, Observation::ExtraData { request: 1 }));
    assert_eq!(broken(twice), [1]);
    let made_up = vec![(1.0, asked(1, "any")), (2.0, answered(1, 200, Some((1, 0))))];
    assert_eq!(broken(made_up), [1], "a session that no box has");
}

#[test]
fn rule_2_no_set_up_happens_twice() {
    let mut out = vec![(1.0, asked(1, "any")), (2.0, setup(0, 1, "any", 1)), (50.0, setup(1, 1, "any", 1))];
    out.extend([(60.0, done(1, 1, 200)), (61.0, answered(1, 200, Some((1, 1))))]);
    assert_eq!(broken(out), [2], "two out at once");
    let mut again = plays(1.0, 1, "any");
    again.push((700.0, setup(1, 1, "any", 1)));
    assert_eq!(broken(again), [2], "while it plays");
    let mut once =
        vec![(1.0, asked(1, "once")), (2.0, setup(0, 1, "once", 1)), (600.0, setup(1, 1, "once", 1))];
    once.extend([(610.0, done(1, 1, 200)), (611.0, answered(1, 200, Some((1, 1))))]);
    assert_eq!(broken(once), [2], "may have run");
    let mut stays =
        vec![(1.0, asked(1, "any")), (2.0, setup(0, 1, "any", 1)), (400.0, setup(1, 1, "any", 1))];
    stays.extend([
        (405.0, done(1, 1, 200)),
        (406.0, answered(1, 200, Some((1, 1)))),
        (500.0, done(0, 1, 200)),
    ]);
    stays.push((9_000.0, Observation::BoxUp { server: 5 }));
    assert_eq!(broken(stays), [2], "a late one that is not torn down");
    let mut many = vec![(1.0, asked(1, "any")), (2.0, asked(2, "any")), (3.0, answered(2, 503, None))];
    for n in 0..4 {
        let at = 10.0 + 20.0 * f64::from(n);
        many.extend([(at, setup(n, 1, "any", 1)), (at + 1.0, done(n, 1, 453))]);
    }
    many.push((100.0, answered(1, 503, None)));
    assert!(broken(many).contains(&2), "a fourth SETUP");
}

#[test]
fn rule_3_drains_are_kept() {
    let mut late = vec![(0.5, told(0, "draining")), (100.0, told(0, "gone"))];
    late.extend(plays(300.0, 1, "any"));
    assert_eq!(broken(late), [3]);
    // The kit itself stood still for that time.
    let mut stood = vec![(0.5, told(0, "draining")), (299.0, Observation::RecorderLate { delay_ms: 120.0 })];
    stood.extend(plays(300.0, 1, "any"));
    assert_eq!(broken(stood.clone()), NONE);
    stood[1].1 = Observation::RecorderLate { delay_ms: 20.0 };
    assert_eq!(broken(stood), [3]);
    let mut back = vec![(0.5, told(0, "gone")), (250.0, told(0, "ready"))];
    back.extend(plays(300.0, 1, "any"));
    assert_eq!(broken(back), NONE, "ready again");
}

#[test]
fn rule_4_a_cold_box_is_not_pushed_over() {
    assert_eq!(broken(vec![(1.0, Observation::BoxDown { server: 0, reason: "fell over".into() })]), [4]);
    assert_eq!(broken(vec![(1.0, Observation::BoxDown { server: 0, reason: "script".into() })]), NONE);
}

#[test]
fn rule_5_terms_are_kept() {
    let mut low = plays(1.0, 1, "once");
    low[1].1 = setup(0, 1, "once", 0);
    assert_eq!(broken(low), [5], "under its floor at set-up");
    let mut stepped = plays(1.0, 1, "once");
    stepped.push((50.0, Observation::RungSet { server: 0, session: 1, rung: 0 }));
    assert_eq!(broken(stepped), [5], "under its floor while playing");
    let mut seats = plays(1.0, 1, "once");
    seats.extend(plays(20.0, 2, "once"));
    assert_eq!(broken(seats), [5], "one seat, two sessions");
    let mut freed = plays(1.0, 1, "once");
    freed.push((15.0, Observation::SessionEnded { server: 0, session: 1, reason: "not watched".into() }));
    freed.extend(plays(20.0, 2, "once"));
    assert_eq!(broken(freed), NONE);
}

#[test]
fn rule_6_further_setups_stay_within_the_budget() {
    let busy_once = |at: f64, req: u64| {
        vec![
            (at, asked(req, "any")),
            (at + 1.0, setup(0, req, "any", 1)),
            (at + 2.0, done(0, req, 453)),
            (at + 3.0, setup(1, req, "any", 1)),
            (at + 4.0, done(1, req, 200)),
            (at + 5.0, answered(req, 200, Some((req, 1)))),
        ]
    };
    assert_eq!(broken(busy_once(1.0, 1)), NONE);
    let two = |apart: f64| broken([busy_once(1.0, 1), busy_once(1.0 + apart, 2)].concat());
    assert_eq!(two(20.0), [6]);
    assert_eq!(two(10_100.0), NONE);
}

#[test]
fn service_counts_a_viewers_tries_as_one() {
    let mut events = plays(1.0, 1, "any");
    // The second viewer is busy-replied, comes again and plays after its start target; the third in time.
    for (viewer, first, second) in [(2, 100.0, 1_200.0), (3, 5_000.0, 5_500.0)] {
        let again = viewer + 10;
        events.extend([(first, asked(viewer, "any")), (first + 1.0, answered(viewer, 503, None))]);
        let mut next = plays(second, again, "any");
        if let Observation::RequestSent { viewer: v, .. } = &mut next[0].1 {
            *v = viewer;
        }
        events.extend(next);
    }
    let first = Record { at_ms: 0.0, observation: Observation::Settings(terms()) };
    let rest = events.into_iter().map(|(at_ms, observation)| Record { at_ms, observation });
    let v = judge(std::iter::once(first).chain(rest).collect()).unwrap();
    assert_eq!((v.viewers, v.requests, v.violations), (3, 5, vec![]));
    assert!((v.service - 2.0 / 3.0).abs() < 1e-9, "{}", v.service);
}

#[test]
fn records_without_terms_or_cut_short_are_refused() {
    assert!(judge(vec![]).is_err());
    let text = "{\"at\":1.0,\"saw\":\"box-up\",\"server\":1}\n{\"at\":2.0,\"saw\":";
    assert!(crate::record::parse(text).unwrap_err().starts_with("line 2: column"));
}
