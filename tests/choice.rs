//! Each decision, on a small state that the test builds.
#[allow(dead_code)]
mod support;

use support::*;
use test_case::test_case;
use walnutline::api::{PeerReport, Placement, Request, SetupOutcome};
use walnutline::fleet::{ListEntry, Measurement, Server, ServerState};
use walnutline::ids::*;
use walnutline::sessions::{Session, SessionTable};
use walnutline::settings::{KeyScope, ListDelivery, PolicySettings, RepeatPolicy, ReportColumn, WeightKind};
use walnutline::state::FrontState;

/// The session that a test places: the first one of its table.
const SESSION: SessionId = SessionId(1);

/// The server that a SETUP goes to, if any.
fn setup_server(placement: &Placement) -> Option<u32> {
    match placement {
        Placement::Setup { server, .. } => Some(server.0),
        _ => None,
    }
}

#[test_case(0.2, 5.0 => Some(3); "least link use")]
#[test_case(0.5, 1.0 => Some(3); "least streams")]
#[test_case(0.7, 5.0 => Some(1); "fuller than the others")]
fn the_holder_of_least_cost_is_chosen(link: f64, streams: f64) -> Option<u32> {
    let mut front = front(settings());
    let third = front.fleet.servers.get_mut(&ServerId(3)).unwrap();
    third.link_use = Some(Measurement { value: link, measured_at: NOW, own_load: 0.0 });
    third.streams = Some(Measurement { value: streams, measured_at: NOW, own_load: 0.0 });
    let mut table = session_table([Session { holders: cells(1, 3), ..session() }]);
    front.fleet.servers.get_mut(&ServerId(2)).unwrap().entry.state = ServerState::Gone;
    setup_server(&front.place(&mut table, SESSION, NOW))
}

#[test]
fn a_server_without_measurements_counts_as_average() {
    let mut front = front(PolicySettings { probes_allowed: false, ..settings() });
    for id in [0, 1] {
        front.fleet.servers.get_mut(&ServerId(id)).unwrap().link_use =
            Some(Measurement { value: 0.1 + 0.6 * id as f64, measured_at: NOW, own_load: 0.0 });
    }
    let unmeasured = front.fleet.servers.get_mut(&ServerId(3)).unwrap();
    (unmeasured.link_use, unmeasured.streams) = (None, None);
    // Rack 1 has the server with use 0.7 and the one without a measurement: below 0.5 on average.
    let mut table = session_table([Session { holders: cells(3, 1), ..session() }]);
    let placement = front.place(&mut table, SESSION, NOW);
    assert!(matches!(placement, Placement::Setup { rung: 2, .. }), "{placement:?}");
}

#[test_case(0.48 => 2; "below the start use at the highest rung")]
#[test_case(0.65 => 1; "one rung lower for a tenth above it")]
#[test_case(0.80 => 0; "two rungs lower for two tenths above it")]
#[test_case(0.92 => 0; "the lowest rung for more than that")]
fn a_new_session_starts_lower_on_a_fuller_link(used: f64) -> u8 {
    let mut front = front(settings());
    for s in front.fleet.servers.values_mut() {
        s.link_use = Some(Measurement { value: used, measured_at: NOW, own_load: 0.0 });
    }
    match front.place(&mut session_table([session()]), SESSION, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

/// The start use is lower where a session takes a good part of its link.
#[test_case(2_000.0, 0.55 => 1; "a fifth of the link each")]
#[test_case(200_000.0, 0.75 => 2; "a five hundredth each")]
#[test_case(200_000.0, 0.85 => 1; "a five hundredth each and above the start use")]
fn a_link_for_few_sessions_keeps_more_spare_capacity(link_kb_per_s_per_weight: f64, used: f64) -> u8 {
    let uplink_kb_per_s = 10.0 * link_kb_per_s_per_weight;
    let mut front = front(PolicySettings { link_kb_per_s_per_weight, uplink_kb_per_s, ..settings() });
    front
        .fleet
        .servers
        .values_mut()
        .for_each(|s| s.link_use = Some(Measurement { value: used, measured_at: NOW, own_load: 0.0 }));
    match front.place(&mut session_table([session()]), SESSION, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

#[test_case(0.97, 0 => false; "full with all at their lowest rungs")]
#[test_case(0.97, 2 => true; "its sessions can step down")]
#[test_case(0.70, 0 => true; "room at the lowest rung")]
fn a_session_that_does_not_fit_at_the_lowest_rungs_is_turned_away(used: f64, rung: u8) -> bool {
    let mut front = front(settings());
    let own = front.settings.ladder_rate(GroupIndex(0), rung);
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: used, measured_at: NOW, own_load: own });
    let mut table = session_table([Session { holders: cells(0, 1), ..session() }, playing(0, rung, 0.0)]);
    setup_server(&front.place(&mut table, SESSION, NOW)).is_some()
}

#[test_case(ServerState::Draining; "draining")]
#[test_case(ServerState::Gone; "gone")]
fn draining_and_gone_servers_get_no_new_sessions(state: ServerState) {
    let mut front = front(settings());
    front.fleet.servers.get_mut(&ServerId(1)).unwrap().entry.state = state;
    let mut table = session_table([Session { holders: cells(1, 1), ..session() }]);
    assert!(matches!(front.place(&mut table, SESSION, NOW), Placement::BusyReply { .. }));
    assert!(table.sessions.is_empty());
}

#[test_case(1.5, 5.0 => vec![(SessionId(3), 1), (SessionId(2), 1)]; "newest first until it fits")]
#[test_case(0.95, 5.0 => Vec::<(SessionId, u8)>::new(); "not overloaded")]
#[test_case(1.5, 0.5 => Vec::<(SessionId, u8)>::new(); "all changed their rungs recently")]
fn playing_sessions_step_down_on_an_overloaded_link(use_: f64, ago_s: f64) -> Vec<(SessionId, u8)> {
    let mut front = front(settings());
    let mut table = session_table((0..3).map(|i| playing(0, 2, 1_000.0 * i as f64)));
    table.sessions.values_mut().for_each(|s| s.rung_set_at = NOW - 1_000.0 * ago_s);
    front.record_delivered_share(&mut table, ServerId(0), 1.0 / use_, NOW);
    front.rung_changes
}

#[test_case(0.5, 1.3 => 0.9; "a single high report does not make it full")]
#[test_case(1.1, 1.3 => 1.2; "a second one does")]
fn a_report_and_the_expected_use_count_half_each(expected: f64, reported: f64) -> f64 {
    let mut front = front(settings());
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: expected, measured_at: NOW, own_load: 0.0 });
    front.record_link_use(&mut SessionTable::default(), ServerId(0), reported, NOW);
    (front.fleet.servers[&ServerId(0)].link_use.unwrap().value * 1e6).round() / 1e6
}

#[test_case(None => 0; "not known to have started, so like a full fleet")]
#[test_case(Some(NOW - 5_000.0) => 2; "just started")]
#[test_case(Some(NOW - 50_000.0) => 0; "started long ago")]
fn a_cold_server_without_measurements_counts_as_empty(started_at: Option<Ms>) -> u8 {
    let mut front = front(PolicySettings {
        cold_start: Some(cold_start()),
        uplink_kb_per_s: 1e6,
        probes_allowed: false,
        ..settings()
    });
    front.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().value = 0.95);
    let record = front.fleet.servers.get_mut(&ServerId(0)).unwrap();
    (record.link_use, record.entry.started_at) = (None, started_at);
    front.settings.front_count = 1;
    match front.place(&mut session_table([Session { holders: cells(0, 1), ..session() }]), SESSION, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

#[test_case(1.3 => None; "still full after this front has left it")]
#[test_case(0.9 => Some(0); "not full any more")]
fn a_link_does_not_count_as_empty_once_this_front_has_left_it(use_: f64) -> Option<u32> {
    let mut front = front(settings());
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: use_, measured_at: NOW, own_load: 400.0 });
    setup_server(&front.place(
        &mut session_table([Session { holders: cells(0, 1), ..session() }, playing(3, 0, 0.0)]),
        SESSION,
        NOW,
    ))
}

#[test_case(100.0 => 0.6; "started since the measurement: 400 of 2000 kB/s more")]
#[test_case(900.0 => 0.5; "included in the measurement")]
fn load_added_within_the_measurement_delay_is_added_to_a_report(ago: Ms) -> f64 {
    let mut front = front(settings());
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: 0.5, measured_at: NOW, own_load: 400.0 });
    let mut table = session_table([Session { rate_changed_at: NOW - ago, ..playing(0, 2, NOW - ago) }]);
    front.record_link_use(&mut table, ServerId(0), 0.5, NOW);
    front.fleet.servers[&ServerId(0)].link_use.unwrap().value
}

#[test_case(0.40, 2 => vec![(SESSION, 2)]; "room at the higher rate")]
#[test_case(0.78, 2 => Vec::<(SessionId, u8)>::new(); "above the target use at the higher rate")]
#[test_case(0.40, 1 => Vec::<(SessionId, u8)>::new(); "the viewer's highest rung")]
fn a_playing_session_steps_up_into_spare_capacity(use_: f64, highest_rung: u8) -> Vec<(SessionId, u8)> {
    let mut front = front(settings());
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: use_, measured_at: NOW - 5_000.0, own_load: 200.0 });
    let mut table = session_table([Session { highest_rung, ..playing(0, 1, 0.0) }]);
    front.record_link_use(&mut table, ServerId(0), use_, NOW);
    front.rung_changes
}

/// Guards against spare capacity that is used twice: a measurement within the delay of the last one does not
/// show the steps up yet.
#[test_case(5_000.0 => 800.0; "the whole part")]
#[test_case(110.0 => 80.0; "a tenth of it after a tenth of the delay")]
fn spare_capacity_is_used_once_within_the_measurement_delay(ago: Ms) -> f64 {
    let mut front = front(PolicySettings { uplink_kb_per_s: 1e6, ..settings() });
    let link = Some(Measurement { value: 0.4, measured_at: NOW - ago, own_load: 800.0 });
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use = link;
    let unchanged = Session { highest_rung: 2, rung_set_at: NOW, ..playing(0, 2, 0.0) };
    let mut table = session_table([unchanged.clone(), unchanged]);
    front.record_link_use(&mut table, ServerId(0), 0.4, NOW);
    front.fleet.servers[&ServerId(0)].spare_kb_per_s.round()
}

/// A front that exchanges reports with the others, of so many fronts in all.
fn front_among(fronts: u32) -> FrontState {
    front(PolicySettings { front_count: fronts, peer_messages_allowed: true, ..settings() })
}

/// Each request pays for two messages: with 41 fronts, 20 requests pay for one message to each other front.
#[test]
fn probe_answers_are_reported_to_all_fronts_as_requests_pay_for_them() {
    let (mut front, mut table) = (front_among(41), SessionTable::default());
    let now = NOW + 2_000.0;
    front.requests_since_peer_report = Some(19.0);
    assert!(front.due_actions(&mut table, now).probes.is_empty());
    front.requests_since_peer_report = Some(20.0);
    // Three servers have old measurements, one a recent one.
    front.fleet.servers.get_mut(&ServerId(3)).unwrap().link_use.as_mut().unwrap().measured_at = now - 100.0;
    let due = front.due_actions(&mut table, now);
    assert_eq!(
        (due.probes.len(), due.peer_reports.len(), front.requests_since_peer_report),
        (3, 0, Some(0.0))
    );
    for id in [0, 1] {
        front.record_report(&mut table, ServerId(id), &[10.0, 0.7], now + 10.0);
    }
    assert!(
        front.due_actions(&mut table, now + 20.0).peer_reports.is_empty(),
        "one server has not answered yet"
    );
    // Reports of other fronts are not passed on: guards against reports on a dead server that circulate for
    // ever.
    let report =
        PeerReport { server: ServerId(2), stream_use: 0.5, link_use: 0.5, age: 0.0, process_age: 0.0 };
    front.record_peer_reports(&mut table, &[report], now + 30.0);
    let sent = front.due_actions(&mut table, now + 200.0).peer_reports;
    assert_eq!(sent.iter().map(|r| (r.server.0, r.age)).collect::<Vec<_>>(), [(0, 190.0), (1, 190.0)]);
    assert!((sent[0].link_use - 0.6).abs() < 1e-9 && (sent[0].stream_use - 0.5).abs() < 1e-9, "{sent:?}");
    assert!(front.due_actions(&mut table, now + 400.0).peer_reports.is_empty(), "reported twice");
}

/// Guards against two fronts that probe every server with each request, and alternately step sessions on its
/// link up and down.
#[test_case(5 => 4; "more fronts than servers")]
#[test_case(4 => 0; "as many fronts as servers")]
#[test_case(1 => 0; "one front")]
fn fronts_exchange_reports_only_if_they_outnumber_the_servers(fronts: u32) -> usize {
    let mut front = front_among(fronts);
    front.requests_since_peer_report = Some(1_000.0);
    front.due_actions(&mut SessionTable::default(), NOW + 2_000.0).probes.len()
}

#[test_case(100.0 => 0.9; "newer than the front's own measurement")]
#[test_case(3_000.0 => 0.5; "older than it")]
fn a_peer_report_counts_if_it_is_newer(age: Ms) -> f64 {
    let (mut front, mut table) = (front_among(41), SessionTable::default());
    let report = PeerReport { server: ServerId(0), stream_use: 0.5, link_use: 0.9, age, process_age: 0.0 };
    let unknown_server = PeerReport { server: ServerId(77), ..report };
    let implausible = PeerReport { link_use: f64::NAN, age: 0.0, ..report };
    front.record_peer_reports(&mut table, &[unknown_server, implausible, report], NOW + 1_000.0);
    front.fleet.servers[&ServerId(0)].link_use.unwrap().value
}

/// Guards against a zone that was only cut off for a moment and is left alone for a whole warm-up. A report
/// of another front counts if it was measured after the failure.
#[test_case(1_000.0, 50.0 => (true, 0); "a process from before the failure")]
#[test_case(100.0, 50.0 => (false, 0); "perhaps a new process")]
#[test_case(1_000.0, 700.0 => (false, 2); "measured before the failure")]
fn a_server_that_answers_another_front_is_not_dead(process_age: Ms, age: Ms) -> (bool, u32) {
    let (mut front, mut table) = (front_among(41), SessionTable::default());
    front.settings.cold_start = Some(cold_start());
    let record = front.fleet.servers.get_mut(&ServerId(0)).unwrap();
    (record.died_at, record.last_failure_at, record.failures) = (Some(NOW), NOW, 2);
    let report = PeerReport { server: ServerId(0), stream_use: 0.5, link_use: 0.5, age, process_age };
    front.record_peer_reports(&mut table, &[report], NOW + 500.0);
    let record = &front.fleet.servers[&ServerId(0)];
    (record.died_at.is_none(), record.failures)
}

/// Guards against 300 fronts that each probe a server which one of them has just reported on.
#[test_case(true => 0; "reported")]
#[test_case(false => 1; "not reported")]
fn a_server_in_a_recent_peer_report_is_not_probed(reported: bool) -> usize {
    let (mut front, mut table) = (front_among(41), session_table([playing(0, 1, 0.0)]));
    front.due_actions(&mut table, NOW);
    let later = NOW + 30_000.0;
    if reported {
        let report =
            PeerReport { server: ServerId(0), stream_use: 0.5, link_use: 0.5, age: 50.0, process_age: 0.0 };
        front.record_peer_reports(&mut table, &[report], later - 100.0);
    }
    front.due_actions(&mut table, later).probes.len()
}

/// Ten fronts have a session each on one link; all measure a use of 0.5, which leaves room for 6 steps.
#[test]
fn fronts_with_the_same_measurement_use_spare_capacity_once() {
    let steps_up = |seed| {
        let mut front = front(PolicySettings { uplink_kb_per_s: 1e6, ..settings() });
        front.rng = fastrand::Rng::with_seed(seed);
        front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
            Some(Measurement { value: 0.5, measured_at: 0.0, own_load: 100.0 });
        front.record_link_use(&mut session_table([playing(0, 0, 0.0)]), ServerId(0), 0.5, NOW);
        front.rung_changes.len()
    };
    let all: usize = (0..10).map(steps_up).sum();
    assert!((3..=8).contains(&all), "{all}");
}

#[test_case(f64::NAN; "not a number")]
#[test_case(f64::INFINITY; "infinite")]
#[test_case(-0.5; "below zero")]
fn implausible_report_values_are_ignored(value: f64) {
    let mut front = front(settings());
    front.record_report(&mut SessionTable::default(), ServerId(0), &[value, value], NOW + 1.0);
    let record = &front.fleet.servers[&ServerId(0)];
    assert_eq!((record.link_use.unwrap().measured_at, record.streams.unwrap().measured_at), (NOW, NOW));
}

/// A session that fails at every server sets none of them aside. An error counts against a server once
/// another one plays the session, or if no other may be tried.
#[test_case(4, 1, true => 1; "played at the second server")]
#[test_case(4, 2, true => 2; "played at the third server")]
#[test_case(3, 3, false => 0; "errors at all servers")]
#[test_case(1, 1, false => 1; "no other may be tried")]
fn an_error_counts_against_the_server_or_the_session(max_setups: u16, errors: usize, plays: bool) -> usize {
    let mut front = front(PolicySettings { max_setups, ..settings() });
    let mut table = session_table([session()]);
    front.place(&mut table, SESSION, NOW);
    for _ in 0..errors {
        front.after_outcome(&mut table, SESSION, SetupOutcome::Errored, NOW);
    }
    if plays {
        front.session_started(&mut table, SESSION, NOW);
    }
    front.fleet.servers.values().filter(|s| s.failures > 0).count()
}

#[test_case(SetupOutcome::Broken; "broken")]
#[test_case(SetupOutcome::TimedOut; "timed out")]
#[test_case(SetupOutcome::NoConnection; "no connection")]
fn a_failed_setup_goes_on_to_another_holder(outcome: SetupOutcome) {
    let mut front = front(settings());
    let pending = Session { server: Some(ServerId(2)), setup_count: 1, holders: cells(2, 2), ..session() };
    let placement = front.after_outcome(&mut session_table([pending]), SESSION, outcome, NOW);
    assert_eq!(setup_server(&placement), Some(3));
    assert!(front.fleet.servers[&ServerId(2)].excluded_until > NOW);
}

#[test]
fn a_server_that_fails_fast_does_not_attract_sessions() {
    let mut front = front(settings());
    let record = front.fleet.servers.get_mut(&ServerId(0)).unwrap();
    (record.link_use, record.failures, record.excluded_until) =
        (Some(Measurement { value: 0.0, measured_at: NOW, own_load: 0.0 }), 1, NOW + 1_000.0);
    assert_ne!(setup_server(&front.place(&mut session_table([session()]), SESSION, NOW)), Some(0));
}

#[test]
fn if_every_holder_is_set_aside_one_is_tried() {
    let mut front = front(settings());
    front.fleet.servers.values_mut().for_each(|s| s.excluded_until = NOW + 9_000.0);
    assert!(setup_server(&front.place(&mut session_table([session()]), SESSION, NOW)).is_some());
}

#[test_case(RepeatPolicy::Once, SetupOutcome::Errored => Placement::TornDown; "may have run")]
#[test_case(RepeatPolicy::Once, SetupOutcome::BusyReplied => Placement::BusyReply { retry_after: None }; "never ran")]
#[test_case(RepeatPolicy::Keyed(KeyScope::Zone), SetupOutcome::TimedOut => Placement::TornDown; "key known in one zone only")]
fn no_session_is_set_up_twice(repeat: RepeatPolicy, outcome: SetupOutcome) -> Placement {
    let mut settings = PolicySettings { max_retry_after: None, ..settings() };
    settings.service_groups[0].repeat = repeat;
    let mut front = front(settings);
    // The other holder is in another zone, or gone in the case of a busy reply.
    let other = &mut front.fleet.servers.get_mut(&ServerId(2)).unwrap().entry;
    other.zone = ZoneIndex(1);
    if outcome == SetupOutcome::BusyReplied {
        other.state = ServerState::Gone;
    }
    front.fleet.servers.get_mut(&ServerId(3)).unwrap().entry.state = ServerState::Draining;
    let pending = Session { server: Some(ServerId(3)), setup_count: 1, holders: cells(2, 2), ..session() };
    front.after_outcome(&mut session_table([pending]), SESSION, outcome, NOW)
}

#[test_case(20.0, 0 => false; "its time is up")]
#[test_case(3_000.0, 4 => false; "all SETUPs are used")]
#[test_case(3_000.0, 3 => true; "one is left")]
fn a_session_is_placed_only_with_time_and_setups_left(left: Ms, setups: u16) -> bool {
    let mut front = front(settings());
    let mut table =
        session_table([Session { viewer_deadline: NOW + left, setup_count: setups, ..session() }]);
    setup_server(&front.place(&mut table, SESSION, NOW)).is_some()
}

#[test_case(2, 2 => false; "limit reached")]
#[test_case(1, 2 => true; "one session left")]
fn the_limit_of_sessions_per_title_is_kept(present: usize, limit: u32) -> bool {
    let mut settings = settings();
    settings.service_groups[0].max_sessions_per_title = limit;
    let others = (0..present).map(|i| Session { playing: i > 0, ..playing(0, 0, 0.0) });
    let mut table = session_table([session()].into_iter().chain(others));
    setup_server(&front(settings).place(&mut table, SESSION, NOW)).is_some()
}

#[test]
fn no_session_steps_below_its_lowest_rung() {
    let mut settings = settings();
    settings.service_groups[0].lowest_rung = 1;
    let mut front = front(settings);
    let mut table = session_table([playing(0, 1, 0.0)]);
    front.record_link_use(&mut table, ServerId(0), 4.0, NOW);
    assert!(front.rung_changes.is_empty());
}

#[test_case(5, 1 => true; "one free retry and one for five requests")]
#[test_case(5, 2 => false; "budget used up")]
#[test_case(0, 0 => true; "one free retry")]
fn retries_stay_within_the_budget(requests: usize, retries: usize) -> bool {
    let mut front = front(PolicySettings { retry_budget: Some(retry_budget()), ..settings() });
    let window = retry_budget().window;
    (0..requests).for_each(|i| front.recent_requests.record(NOW - 9_000.0 + i as f64, window));
    (0..retries).for_each(|i| front.recent_retries.record(NOW - 5_000.0 + i as f64, window));
    let pending = Session { server: Some(ServerId(0)), setup_count: 1, ..session() };
    setup_server(&front.after_outcome(&mut session_table([pending]), SESSION, SetupOutcome::Errored, NOW))
        .is_some()
}

/// All fronts send whenever they may. Together they stay within a cold server's budget in every window.
#[test_case(2, 20.0, true; "one SETUP or more for each front")]
#[test_case(3, 8.0, false; "less than one SETUP for each front")]
#[test_case(200, 20.0, false; "much less than one SETUP for each front")]
fn all_fronts_together_keep_a_cold_servers_budget(fronts: u32, streams: f64, used: bool) {
    let mut all_fronts: Vec<_> = (0..fronts)
        .map(|_| {
            let settings =
                PolicySettings { front_count: fronts, cold_start: Some(cold_start()), ..settings() };
            let mut front = front(PolicySettings { max_streams_by_kind: vec![streams], ..settings });
            front.fleet.servers.get_mut(&ServerId(0)).unwrap().entry.started_at = Some(NOW);
            front
        })
        .collect();
    let mut sent = Vec::new();
    for ms in (0..9_990).step_by(10) {
        let now = NOW + ms as f64;
        for front in &mut all_fronts {
            let mut table = session_table([Session {
                holders: cells(0, 1),
                arrived_at: now,
                viewer_deadline: now + 3_000.0,
                ..session()
            }]);
            if setup_server(&front.place(&mut table, SESSION, now)).is_some() {
                sent.push(now);
            }
        }
    }
    let cold = cold_start();
    let budget = cold.rate_multiple * streams / cold.duration * cold.initial_share * cold.window;
    let most = sent
        .iter()
        .map(|start| sent.iter().filter(|t| **t >= *start && **t < start + cold.window).count())
        .max();
    assert_eq!(used, !sent.is_empty());
    assert!(most.unwrap_or(0) as f64 <= budget, "{most:?} of {budget}");
}

#[test_case(SetupOutcome::NoConnection; "no connection")]
#[test_case(SetupOutcome::Broken; "broken")]
fn a_server_that_died_counts_as_cold_when_it_answers_again(outcome: SetupOutcome) {
    let mut front = front(PolicySettings { cold_start: Some(cold_start()), ..settings() });
    front.settings.max_streams_by_kind = vec![2.0];
    let pending = Session { server: Some(ServerId(0)), setup_count: 1, holders: cells(0, 1), ..session() };
    let placement = front.after_outcome(&mut session_table([pending]), SESSION, outcome, NOW);
    assert!(matches!(placement, Placement::NotYet | Placement::BusyReply { .. }), "{placement:?}");
}

#[test]
fn fronts_with_equal_measurements_choose_different_holders() {
    let first = |seed| {
        let mut front = front(settings());
        front.rng = fastrand::Rng::with_seed(seed);
        setup_server(&front.place(&mut session_table([session()]), SESSION, NOW))
    };
    assert!((1..20).any(|seed| first(seed) != first(0)));
}

#[test_case(1_400.0 => 0; "too soon after the last change")]
#[test_case(1_600.0 => 1; "later")]
fn unused_spare_capacity_serves_later_steps(ago: Ms) -> usize {
    let mut front = front(settings());
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().spare_kb_per_s = 1_000.0;
    front
        .due_actions(&mut session_table([Session { rung_set_at: NOW - ago, ..playing(0, 0, 0.0) }]), NOW)
        .rung_changes
        .len()
}

#[test_case(1 => 0; "one session pays for no probe yet")]
#[test_case(3 => 1; "three sessions pay for one")]
fn a_server_is_probed_in_proportion_to_its_sessions(sessions: u32) -> usize {
    let mut front = front(settings());
    let mut table = session_table((0..sessions).map(|_| playing(0, 2, 0.0)));
    front.due_actions(&mut table, NOW);
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().next_probe_at = Some(NOW);
    front.due_actions(&mut table, NOW);
    front.due_actions(&mut table, NOW + 12_000.0).probes.len()
}

#[test_case(2 => true; "own sessions elsewhere can step down")]
#[test_case(0 => false; "own sessions elsewhere are at the lowest rung")]
fn a_full_link_without_own_sessions_is_judged_by_own_sessions_elsewhere(rung: u8) -> bool {
    let mut front = front(settings());
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: 0.97, measured_at: NOW, own_load: 0.0 });
    let mut table = session_table([Session { holders: cells(0, 1), ..session() }, playing(3, rung, 0.0)]);
    setup_server(&front.place(&mut table, SESSION, NOW)).is_some()
}

#[test_case(1.0, 900.0 => true; "full uplink")]
#[test_case(1.0, 30_000.0 => false; "full uplink, but too long ago")]
#[test_case(0.2, 900.0 => false; "uplink with room")]
fn only_fresh_measurements_turn_a_request_away(uplink: f64, ago: Ms) -> bool {
    let mut front = front(PolicySettings { probes_allowed: false, ..settings() });
    front.fleet.servers.values_mut().for_each(|s| s.link_use = None);
    let rack = front.fleet.racks.entry(RackId(0)).or_default();
    rack.uplink_use = Some(Measurement { value: uplink, measured_at: NOW - ago, own_load: 0.0 });
    let mut table = session_table([Session { holders: cells(0, 1), ..session() }, playing(1, 0, 0.0)]);
    matches!(front.place(&mut table, SESSION, NOW), Placement::BusyReply { .. })
}

#[test]
fn an_uplink_without_measurements_counts_as_the_average() {
    let mut front = front(settings());
    front.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().value = 0.1);
    front.fleet.racks.entry(RackId(0)).or_default().uplink_use =
        Some(Measurement { value: 0.95, measured_at: NOW, own_load: 0.0 });
    let placement =
        front.place(&mut session_table([Session { holders: cells(1, 1), ..session() }]), SESSION, NOW);
    assert!(matches!(placement, Placement::Setup { rung: 0, .. }), "{placement:?}");
}

#[test_case(100.0 => (true, 0); "recent measurement")]
#[test_case(5_000.0 => (false, 1); "old measurement")]
fn a_holder_with_an_old_measurement_is_probed_first(ago: Ms) -> (bool, usize) {
    let mut front = front(settings());
    front.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().measured_at = NOW - ago);
    let mut table = session_table([session()]);
    let placement = front.place(&mut table, SESSION, NOW);
    (setup_server(&placement).is_some(), front.due_actions(&mut table, NOW).probes.len())
}

#[test_case(Some(SetupOutcome::Done), 20.0 => true; "answered")]
#[test_case(None, 20.0 => false; "not yet answered")]
#[test_case(None, 250.0 => true; "the answer is lost")]
fn a_session_waits_for_a_probe_answer_for_a_limited_time(answer: Option<SetupOutcome>, later: Ms) -> bool {
    let mut front = front(settings());
    front.fleet.servers.values_mut().for_each(|s| s.link_use = None);
    let mut table = session_table([session()]);
    front.place(&mut table, SESSION, NOW);
    let probed = front.due_actions(&mut table, NOW).probes[0];
    if let Some(outcome) = answer {
        front.probe_finished(&mut table, probed, outcome, NOW + later);
    }
    front.due_actions(&mut table, NOW + later).sessions_to_place == [SESSION]
}

#[test_case(500.0 => Some(1); "just now")]
#[test_case(1_500.0 => Some(0); "a while ago")]
fn a_server_is_avoided_for_a_while_after_a_busy_reply(ago: Ms) -> Option<u32> {
    let mut front = front(settings());
    front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use.as_mut().unwrap().value = 0.1;
    let pending = Session { server: Some(ServerId(0)), setup_count: 1, holders: cells(0, 2), ..session() };
    front.after_outcome(&mut session_table([pending]), SESSION, SetupOutcome::BusyReplied, NOW - ago);
    front.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().measured_at = NOW);
    setup_server(&front.place(
        &mut session_table([Session { holders: cells(0, 2), ..session() }]),
        SESSION,
        NOW,
    ))
}

#[test_case(0 => 2; "no burst")]
#[test_case(3 => 0; "three recent sessions at this front")]
fn a_burst_is_assumed_to_reach_all_fronts(recent: u32) -> u8 {
    let mut front = front(PolicySettings { front_count: 4, ..settings() });
    front.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().value = 0.3);
    let recent_session = |_| Session { rate_changed_at: NOW - 100.0, ..playing(3, 2, NOW) };
    let mut table = session_table(
        [Session { holders: cells(0, 1), ..session() }].into_iter().chain((0..recent).map(recent_session)),
    );
    match front.place(&mut table, SESSION, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

#[test_case(2, 0.75 => 1; "all can step down")]
#[test_case(0, 0.75 => 2; "most cannot step down, like the own ones elsewhere")]
fn a_front_sheds_load_by_what_its_sessions_can_shed(elsewhere: u8, share: f64) -> usize {
    let mut front = front(settings());
    let here = (0..2).map(|_| playing(0, 2, 0.0));
    let mut table = session_table(here.chain((0..8).map(|_| playing(3, elsewhere, 0.0))));
    front.record_delivered_share(&mut table, ServerId(0), share, NOW);
    front.rung_changes.len()
}

/// Guards against overload by a burst of requests for a title that is heavier than the ladder: by the
/// ladder's rates, all its sessions would fit.
#[test_case(None => 2; "unknown")]
#[test_case(Some(vec![200.0, 400.0, 800.0]) => 1; "a heavy title starts lower")]
#[test_case(Some(vec![50.0, 100.0, 150.0]) => 2; "a light title starts at the highest rung")]
#[test_case(Some(vec![800.0]) => 2; "rates that do not match the ladder are ignored")]
fn real_rates_of_a_title_replace_those_of_the_ladder(rates: Option<Vec<f64>>) -> u8 {
    let mut front = front(settings());
    front
        .fleet
        .servers
        .values_mut()
        .for_each(|s| s.link_use = Some(Measurement { value: 0.48, measured_at: NOW, own_load: 0.0 }));
    let request = Request {
        group: GroupIndex(0),
        title: TitleId(9),
        holders: cells(0, 4),
        rates_kb_per_s: rates.map(Into::into),
        highest_rung: 2,
        time_left: 3_000.0,
    };
    let mut table = SessionTable::default();
    front.add_request(&mut table, SESSION, request, NOW);
    let Placement::Setup { server, rung, .. } = front.place(&mut table, SESSION, NOW) else {
        panic!("no SETUP")
    };
    let load = table.loads(&front.settings)[&server].kb_per_s;
    assert_eq!(load, table.sessions[&SESSION].rate(&front.settings, rung));
    rung
}

/// Guards against viewers who are kept waiting when they could try elsewhere: a session that cannot be placed
/// is answered at once, with a time to retry after, however long its viewer would wait.
#[test_case(|_, s| s.viewer_deadline = NOW + 20.0; "its time is up")]
#[test_case(|_, s| s.setup_count = 4; "all SETUPs are used")]
#[test_case(|front, s| { front.settings.retry_budget = Some(retry_budget()); (0..2).for_each(|_| front.recent_retries.record(NOW, retry_budget().window)); s.setup_count = 1 }; "retry budget used up")]
#[test_case(|front, s| { front.settings.service_groups[0].max_sessions_per_title = 1; s.title = TitleId(1) }; "title limit reached")]
#[test_case(|_, s| s.holders = cells(0, 0); "no holder")]
#[test_case(|front, _| front.fleet.servers.clear(); "empty server list")]
#[test_case(|front, _| for_each_server(front, |s| s.entry.state = ServerState::Gone); "all servers gone")]
#[test_case(|front, _| for_each_server(front, |s| s.entry.state = ServerState::Draining); "all servers draining")]
#[test_case(|front, _| for_each_server(front, |s| s.link_use.as_mut().unwrap().value = 2.0); "all links full")]
#[test_case(|front, _| for_each_server(front, |s| s.busy_until = NOW + 1_000.0); "all servers busy")]
#[test_case(|front, _| { (front.settings.front_count, front.settings.cold_start) = (200, Some(cold_start())); for_each_server(front, |s| s.entry.started_at = Some(NOW)) }; "all servers cold for a long time")]
fn a_session_that_cannot_be_placed_is_answered_at_once(prepare: fn(&mut FrontState, &mut Session)) {
    let (mut front, mut unplaced) = (front(settings()), session());
    // One session plays at its lowest rung.
    let other = Session { title: TitleId(1), ..playing(0, 0, 0.0) };
    prepare(&mut front, &mut unplaced);
    let mut table = session_table([unplaced, other]);
    let placement = front.place(&mut table, SESSION, NOW);
    assert!(
        matches!(placement, Placement::BusyReply { retry_after: Some(t) } if (250.0..=500.0).contains(&t)),
        "{placement:?}"
    );
    assert!(!table.sessions.contains_key(&SESSION));
}

fn for_each_server(front: &mut FrontState, change: fn(&mut Server)) {
    front.fleet.servers.values_mut().for_each(change);
}

/// A session is held for a probe's answer only while the server takes new sessions.
#[test_case(ServerState::Ready => false; "still ready")]
#[test_case(ServerState::Draining => true; "draining")]
#[test_case(ServerState::Gone => true; "gone")]
fn no_session_waits_for_a_server_that_leaves(state: ServerState) -> bool {
    let mut front = front(settings());
    front.fleet.servers.values_mut().for_each(|s| s.link_use = None);
    let mut table = session_table([session()]);
    assert_eq!(front.place(&mut table, SESSION, NOW), Placement::NotYet);
    let probed = front.due_actions(&mut table, NOW).probes[0];
    front.fleet.servers.get_mut(&probed).unwrap().entry.state = state;
    front.due_actions(&mut table, NOW + 10.0).sessions_to_place == [SESSION]
}

/// The list may have zones, kinds and cells that the settings do not name, and a server may appear twice.
#[test]
fn servers_of_an_unknown_zone_kind_and_cell_are_used() {
    let mut front =
        front(PolicySettings { probes_allowed: false, cold_start: Some(cold_start()), ..settings() });
    let unknown =
        ListEntry { zone: ZoneIndex(9), kind: KindIndex(255), cell: CellId(4_001), ..server(7).entry };
    front.replace_server_list(vec![unknown.clone(), unknown, server(1).entry]);
    for (id, used) in [(7, 0.4), (1, 0.5)] {
        let record = front.fleet.servers.get_mut(&ServerId(id)).unwrap();
        record.link_use = Some(Measurement { value: used, measured_at: NOW, own_load: 0.0 });
        record.streams = Some(Measurement { value: 5.0, measured_at: NOW, own_load: 0.0 });
    }
    assert_eq!(
        setup_server(&front.place(&mut session_table([session()]), SESSION, NOW)),
        Some(7),
        "it has more room"
    );
}

#[test]
fn an_uplink_without_a_stated_capacity_limits_nothing() {
    let mut front = front(PolicySettings { uplink_kb_per_s: f64::INFINITY, ..settings() });
    front.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().value = 0.1);
    let mut table = session_table([session(), playing(0, 0, 0.0)]);
    assert!(matches!(front.place(&mut table, SESSION, NOW), Placement::Setup { rung: 2, .. }));
    front.record_link_use(&mut table, ServerId(0), 0.1, NOW + 5_000.0);
    assert_eq!(front.due_actions(&mut table, NOW + 5_000.0).rung_changes, [(SessionId(2), 1)]);
}

/// Where a change of rung costs much, one change steps down several rungs instead of several changes.
#[test_case(0.0, 2 => vec![(SESSION, 1)]; "free changes step down one rung")]
#[test_case(1_000.0, 2 => vec![(SESSION, 1)]; "cheap changes step down one rung")]
#[test_case(20_000.0, 2 => vec![(SESSION, 0)]; "costly changes step down further")]
fn a_costly_change_steps_further_down(change_cost: Ms, rung: u8) -> Vec<(SessionId, u8)> {
    let mut front = front(PolicySettings { rung_change_cost: change_cost, ..settings() });
    front.record_link_use(&mut session_table([playing(0, rung, 0.0)]), ServerId(0), 20.0, NOW);
    front.rung_changes
}

#[test_case(0.0 => 1; "free")]
#[test_case(1_000.0 => 1; "pays off in two and a half seconds")]
#[test_case(3_000.0 => 0; "pays off only later")]
fn a_session_steps_up_once_the_change_is_likely_to_pay_off(change_cost: Ms) -> usize {
    let mut front = front(PolicySettings { rung_change_cost: change_cost, ..settings() });
    let playing = Session { rung_set_at: NOW - 5_000.0, ..playing(0, 1, 0.0) };
    let link_use = &mut front.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use;
    *link_use = Some(Measurement { value: 0.4, measured_at: NOW - 5_000.0, own_load: 200.0 });
    front.record_link_use(&mut session_table([playing]), ServerId(0), 0.4, NOW);
    front.rung_changes.len()
}

/// Guards against probes that cost more than their answers are worth.
#[test_case(0.0, 0.0 => true; "free probes")]
#[test_case(0.01, -1.0 => true; "paid for by sessions")]
#[test_case(0.15, 2.0 => false; "not paid for yet")]
fn a_holder_is_probed_only_if_sessions_pay_for_it(probe_cost: f64, probe_debt: f64) -> bool {
    let mut front = front(PolicySettings { probe_cost, ..settings() });
    for_each_server(&mut front, |s| s.link_use = None);
    front.probe_debt = probe_debt;
    let mut table = session_table([session()]);
    let placement = front.place(&mut table, SESSION, NOW);
    front.due_actions(&mut table, NOW);
    assert_eq!(front.probe_debt > probe_debt, placement == Placement::NotYet && probe_cost > 0.0);
    placement == Placement::NotYet
}

/// Guards against a server that looks the smaller the more it carries, where its weight falls with its load.
#[test_case(WeightKind::Capacity => 0; "the current weight counts")]
#[test_case(WeightKind::LoadAdjusted => 2; "the largest listed weight counts")]
fn a_weight_that_falls_with_load_does_not_shrink_the_link(weight_kind: WeightKind) -> u8 {
    let mut front = front(PolicySettings { weight_kind, ..settings() });
    for weight in [1.0, 0.2] {
        front.update_server(ListEntry { weight, ..server(0).entry });
    }
    match front.place(&mut session_table([Session { holders: cells(0, 1), ..session() }]), SESSION, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

/// Guards against paying and waiting for answers that contain nothing of use.
#[test_case(vec![ReportColumn::Streams, ReportColumn::Link] => (false, 1); "link reported")]
#[test_case(vec![ReportColumn::Other] => (true, 0); "other values reported")]
#[test_case(vec![] => (true, 0); "nothing reported")]
fn a_holder_is_probed_only_if_its_answer_reports_the_link(columns: Vec<ReportColumn>) -> (bool, usize) {
    let mut front = front(PolicySettings { report_columns: columns, ..settings() });
    for_each_server(&mut front, |s| s.link_use = None);
    let mut table = session_table([session()]);
    let placement = front.place(&mut table, SESSION, NOW);
    (setup_server(&placement).is_some(), front.due_actions(&mut table, NOW).probes.len())
}

/// Guards against many viewers that are turned away at once and come back at once.
#[test]
fn viewers_turned_away_together_get_different_retry_times() {
    let mut front = front(settings());
    front.fleet.servers.clear();
    let retry_after =
        |front: &mut FrontState| match front.place(&mut session_table([session()]), SESSION, NOW) {
            Placement::BusyReply { retry_after: Some(t) } => t as u32 / 50,
            other => panic!("{other:?}"),
        };
    let times: std::collections::BTreeSet<u32> = (0..40).map(|_| retry_after(&mut front)).collect();
    assert!(times.len() >= 5, "{times:?}");
}

fn front_with_list(list_delivery: ListDelivery) -> FrontState {
    front(PolicySettings { list_delivery, ..settings() })
}

/// Times after `NOW` at which a front requests the list.
fn list_calls(front: &mut FrontState, from: Ms, until: Ms) -> Vec<Ms> {
    let mut table = session_table([]);
    let times = (from as u64..until as u64).step_by(10).map(|t| t as Ms);
    times.filter(|t| front.due_actions(&mut table, NOW + t).request_list).collect()
}

const WATCHED: ListDelivery = ListDelivery::Watched { assumed_known_after: 10_000.0 };

#[test_case(ListDelivery::Pushed, 200.0 => (0, 0); "pushed")]
#[test_case(WATCHED, 2_500.0 => (1, 0); "watched: once, within a quarter of the time")]
#[test_case(ListDelivery::Watched { assumed_known_after: Ms::INFINITY }, 3_750.0 => (1, 0); "watched without a stated time: once")]
#[test_case(ListDelivery::Polled { grace: 250.0 }, 200.0 => (1, 5); "polled every 200 ms, within the grace")]
#[test_case(ListDelivery::Polled { grace: 1_000.0 }, 500.0 => (1, 2); "polled at least every 500 ms")]
#[test_case(ListDelivery::Polled { grace: Ms::INFINITY }, 500.0 => (1, 2); "polled without a stated grace")]
fn the_list_is_requested_unless_it_is_pushed(
    list_delivery: ListDelivery,
    first_within: Ms,
) -> (usize, usize) {
    let mut front = front_with_list(list_delivery);
    let first = list_calls(&mut front, 0.0, first_within + 10.0).len();
    let in_next_second = list_calls(&mut front, first_within + 10.0, first_within + 1_010.0).len();
    (first, in_next_second)
}

/// Guards against a front that never learns of drains because a call had no answer or a watch broke off.
#[test]
fn failed_list_calls_are_repeated_with_growing_waits() {
    let mut front = front_with_list(WATCHED);
    let first = list_calls(&mut front, 0.0, 2_510.0)[0];
    assert_eq!(
        list_calls(&mut front, first + 10.0, first + 10_020.0).len(),
        1,
        "no answer to the first call"
    );
    front.list_received();
    assert_eq!(
        list_calls(&mut front, 20_000.0, 60_000.0),
        Vec::<Ms>::new(),
        "no calls while changes are pushed"
    );
    let mut waits = Vec::new();
    let mut now = 60_000.0;
    for _ in 0..6 {
        front.list_call_failed(NOW + now);
        let next = list_calls(&mut front, now, now + 10_020.0)[0];
        waits.push(next - now);
        now = next;
    }
    assert!(waits[0] <= 760.0 && waits[5] > 5_000.0, "{waits:?}");
    front.list_received();
    front.list_call_failed(NOW + now);
    assert!(list_calls(&mut front, now, now + 760.0).len() == 1, "an answer resets the wait");
}

#[test]
fn fronts_that_start_together_request_the_list_at_different_times() {
    let first = |seed| {
        let mut front = front_with_list(WATCHED);
        front.rng = fastrand::Rng::with_seed(seed);
        list_calls(&mut front, 0.0, 2_510.0)[0] as u64 / 500
    };
    let times: std::collections::BTreeSet<u64> = (0..40).map(first).collect();
    assert!(times.len() >= 5, "{times:?}");
}
