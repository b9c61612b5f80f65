//! The decisions, each on a small state built here.
mod support;

use support::*;
use test_case::test_case;
use walnutline::api::{Placement, SetupOutcome};
use walnutline::fleet::{Measurement, ServerState};
use walnutline::ids::*;
use walnutline::sessions::{Session, SessionTable};
use walnutline::settings::{KeyScope, ListDelivery, RepeatPolicy, ReportColumn, WeightKind};

const ONE: SessionId = SessionId(1);

fn went_to(place: &Placement) -> Option<u32> {
    match place {
        Placement::Setup { server, .. } => Some(server.0),
        _ => None,
    }
}

#[test_case(0.2, 5.0 => Some(3); "least link use")]
#[test_case(0.5, 1.0 => Some(3); "least streams")]
#[test_case(0.7, 5.0 => Some(1); "fuller than the rest")]
fn the_holder_of_least_cost_wins(link: f64, streams: f64) -> Option<u32> {
    let mut f = front(terms());
    let three = f.fleet.servers.get_mut(&ServerId(3)).unwrap();
    three.link_use = Some(Measurement { value: link, measured_at: NOW, own_load: 0.0 });
    three.streams = Some(Measurement { value: streams, measured_at: NOW, own_load: 0.0 });
    let mut h = hand([Session { holders: cells(1, 3), ..sess() }]);
    f.fleet.servers.get_mut(&ServerId(2)).unwrap().entry.state = ServerState::Gone;
    went_to(&f.place(&mut h, ONE, NOW))
}

#[test]
fn a_server_not_heard_from_counts_as_average() {
    let mut f = front(walnutline::settings::PolicySettings { probes_allowed: false, ..terms() });
    for id in [0, 1] {
        f.fleet.servers.get_mut(&ServerId(id)).unwrap().link_use =
            Some(Measurement { value: 0.1 + 0.6 * id as f64, measured_at: NOW, own_load: 0.0 });
    }
    let unheard = f.fleet.servers.get_mut(&ServerId(3)).unwrap();
    (unheard.link_use, unheard.streams) = (None, None);
    // Rack 1 holds the server of use 0.7 and the one not heard from: under a half on average.
    let mut h = hand([Session { holders: cells(3, 1), ..sess() }]);
    let place = f.place(&mut h, ONE, NOW);
    assert!(matches!(place, Placement::Setup { rung: 2, .. }), "{place:?}");
}

#[test_case(0.48 => 2; "under the mark at the top")]
#[test_case(0.65 => 1; "a tenth over at one lower")]
#[test_case(0.80 => 0; "two tenths over at the lowest")]
#[test_case(0.92 => 0; "more than two tenths over")]
fn a_new_session_starts_lower_on_a_fuller_link(used: f64) -> u8 {
    let mut f = front(terms());
    for s in f.fleet.servers.values_mut() {
        s.link_use = Some(Measurement { value: used, measured_at: NOW, own_load: 0.0 });
    }
    match f.place(&mut hand([sess()]), ONE, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

/// Where a session takes a good part of its link, the mark is lower; a fine-grained link is used up to the
/// page's.
#[test_case(2_000.0, 0.55 => 1; "a fifth of the link each")]
#[test_case(200_000.0, 0.75 => 2; "a five hundredth each")]
#[test_case(200_000.0, 0.85 => 1; "over the page's mark all the same")]
fn a_coarse_link_keeps_more_room(link_kb_per_weight: f64, used: f64) -> u8 {
    let uplink_kb = 10.0 * link_kb_per_weight;
    let mut f = front(walnutline::settings::PolicySettings {
        link_kb_per_s_per_weight: link_kb_per_weight,
        uplink_kb_per_s: uplink_kb,
        ..terms()
    });
    f.fleet
        .servers
        .values_mut()
        .for_each(|s| s.link_use = Some(Measurement { value: used, measured_at: NOW, own_load: 0.0 }));
    match f.place(&mut hand([sess()]), ONE, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

#[test_case(0.97, 0 => false; "full with all at their lowest rungs")]
#[test_case(0.97, 2 => true; "those there can step down")]
#[test_case(0.70, 0 => true; "room at the lowest rung")]
fn what_does_not_fit_at_the_lowest_rungs_is_turned_away(used: f64, rung: u8) -> bool {
    let mut f = front(terms());
    let own = f.settings.ladder_rate(GroupIndex(0), rung);
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: used, measured_at: NOW, own_load: own });
    let mut h = hand([Session { holders: cells(0, 1), ..sess() }, playing(0, rung, 0.0)]);
    went_to(&f.place(&mut h, ONE, NOW)).is_some()
}

#[test_case(ServerState::Draining; "draining")]
#[test_case(ServerState::Gone; "gone")]
fn nothing_new_goes_to_a_server_that_leaves(listing: ServerState) {
    let mut f = front(terms());
    f.fleet.servers.get_mut(&ServerId(1)).unwrap().entry.state = listing;
    let mut h = hand([Session { holders: cells(1, 1), ..sess() }]);
    assert!(matches!(f.place(&mut h, ONE, NOW), Placement::BusyReply { .. }));
    assert!(h.sessions.is_empty());
}

#[test_case(1.5, 5.0 => vec![(SessionId(3), 1), (SessionId(2), 1)]; "newest first until it fits")]
#[test_case(0.95, 5.0 => Vec::<(SessionId, u8)>::new(); "not over")]
#[test_case(1.5, 0.5 => Vec::<(SessionId, u8)>::new(); "all changed within the hold")]
fn playing_sessions_step_down_where_use_is_over(use_: f64, ago_s: f64) -> Vec<(SessionId, u8)> {
    let mut f = front(terms());
    let mut h = hand((0..3).map(|i| playing(0, 2, 1_000.0 * i as f64)));
    h.sessions.values_mut().for_each(|s| s.rung_set_at = NOW - 1_000.0 * ago_s);
    f.record_delivered_share(&mut h, ServerId(0), 1.0 / use_, NOW);
    f.rung_changes
}

#[test_case(0.5, 1.3 => 0.9; "one reading over does not make it full")]
#[test_case(1.1, 1.3 => 1.2; "two do")]
fn a_report_counts_half_against_what_the_table_expected(held: f64, told: f64) -> f64 {
    let mut f = front(terms());
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: held, measured_at: NOW, own_load: 0.0 });
    f.record_link_use(&mut SessionTable::default(), ServerId(0), told, NOW);
    (f.fleet.servers[&ServerId(0)].link_use.unwrap().value * 1e6).round() / 1e6
}

#[test_case(None => 0; "average of a full fleet")]
#[test_case(Some(NOW - 5_000.0) => 2; "just started, so empty")]
#[test_case(Some(NOW - 50_000.0) => 0; "started long ago")]
fn a_server_in_its_warm_up_counts_as_empty_until_heard_from(started: Option<Ms>) -> u8 {
    let mut f = front(walnutline::settings::PolicySettings {
        cold_start: Some(cold()),
        uplink_kb_per_s: 1e6,
        probes_allowed: false,
        ..terms()
    });
    f.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().value = 0.95);
    let s = f.fleet.servers.get_mut(&ServerId(0)).unwrap();
    (s.link_use, s.entry.started_at) = (None, started);
    f.settings.front_count = 1;
    match f.place(&mut hand([Session { holders: cells(0, 1), ..sess() }]), ONE, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

#[test_case(1.3 => None; "full still, though this front has left")]
#[test_case(0.9 => Some(0); "room")]
fn a_full_link_is_not_empty_once_this_front_has_left_it(heard: f64) -> Option<u32> {
    let mut f = front(terms());
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: heard, measured_at: NOW, own_load: 400.0 });
    went_to(&f.place(&mut hand([Session { holders: cells(0, 1), ..sess() }, playing(3, 0, 0.0)]), ONE, NOW))
}

#[test_case(100.0 => 0.6; "started since: 400 of 2000 kB more")]
#[test_case(900.0 => 0.5; "in it already")]
fn a_report_lacks_what_was_added_since_it_was_made(ago: Ms) -> f64 {
    let mut f = front(terms());
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: 0.5, measured_at: NOW, own_load: 400.0 });
    let mut h = hand([Session { rate_changed_at: NOW - ago, ..playing(0, 2, NOW - ago) }]);
    f.record_link_use(&mut h, ServerId(0), 0.5, NOW);
    f.fleet.servers[&ServerId(0)].link_use.unwrap().value
}

#[test_case(0.40, 2 => vec![(ONE, 2)]; "room at the higher rate")]
#[test_case(0.78, 2 => Vec::<(SessionId, u8)>::new(); "over the mark at the higher rate")]
#[test_case(0.40, 1 => Vec::<(SessionId, u8)>::new(); "the viewer's top")]
fn a_playing_session_steps_up_into_room(use_: f64, top: u8) -> Vec<(SessionId, u8)> {
    let mut f = front(terms());
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: use_, measured_at: NOW - 5_000.0, own_load: 200.0 });
    let mut h = hand([Session { highest_rung: top, ..playing(0, 1, 0.0) }]);
    f.record_link_use(&mut h, ServerId(0), use_, NOW);
    f.rung_changes
}

/// News that comes again within its own delay does not show what the first led to: guards against room filled
/// twice.
#[test_case(5_000.0 => 800.0; "all of the part")]
#[test_case(110.0 => 80.0; "a tenth of the delay later")]
fn room_is_filled_once_within_the_delay_of_news(ago: Ms) -> f64 {
    let mut f = front(walnutline::settings::PolicySettings { uplink_kb_per_s: 1e6, ..terms() });
    let link = Some(Measurement { value: 0.4, measured_at: NOW - ago, own_load: 800.0 });
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use = link;
    let stay = Session { highest_rung: 2, rung_set_at: NOW, ..playing(0, 2, 0.0) };
    let mut h = hand([stay.clone(), stay]);
    f.record_link_use(&mut h, ServerId(0), 0.4, NOW);
    f.fleet.servers[&ServerId(0)].spare_kb_per_s.round()
}

fn telling(fronts: u32) -> walnutline::state::FrontState {
    front(walnutline::settings::PolicySettings {
        front_count: fronts,
        peer_messages_allowed: true,
        ..terms()
    })
}

/// So many messages as requests pay for: with 41 fronts one to all for each 20 taken.
#[test]
fn what_probes_answer_is_told_to_all_and_paid_for_by_requests() {
    let (mut f, mut h) = (telling(41), SessionTable::default());
    let now = NOW + 2_000.0;
    f.requests_since_peer_report = Some(19.0);
    assert!(f.due_actions(&mut h, now).probes.is_empty());
    f.requests_since_peer_report = Some(20.0);
    // Three are old news, one was heard just now.
    f.fleet.servers.get_mut(&ServerId(3)).unwrap().link_use.as_mut().unwrap().measured_at = now - 100.0;
    let due = f.due_actions(&mut h, now);
    assert_eq!((due.probes.len(), due.peer_reports.len(), f.requests_since_peer_report), (3, 0, Some(0.0)));
    for id in [0, 1] {
        f.record_report(&mut h, ServerId(id), &[10.0, 0.7], now + 10.0);
    }
    assert!(f.due_actions(&mut h, now + 20.0).peer_reports.is_empty(), "one has not answered yet");
    // What another front says of it is not this one's to pass on: guards against a dead server told of for
    // ever.
    let news = walnutline::api::PeerReport {
        server: ServerId(2),
        stream_use: 0.5,
        link_use: 0.5,
        age: 0.0,
        process_age: 0.0,
    };
    f.record_peer_reports(&mut h, &[news], now + 30.0);
    let told = f.due_actions(&mut h, now + 200.0).peer_reports;
    assert_eq!(told.iter().map(|n| (n.server.0, n.age)).collect::<Vec<_>>(), [(0, 190.0), (1, 190.0)]);
    assert!((told[0].link_use - 0.6).abs() < 1e-9 && (told[0].stream_use - 0.5).abs() < 1e-9, "{told:?}");
    assert!(f.due_actions(&mut h, now + 400.0).peer_reports.is_empty(), "once");
}

/// Guards against two fronts that ask each server anew with each request, and fill and shed its link by
/// turns.
#[test_case(5 => 4; "more fronts than servers")]
#[test_case(4 => 0; "as many")]
#[test_case(1 => 0; "alone")]
fn fronts_tell_each_other_where_they_are_more_than_the_servers(fronts: u32) -> usize {
    let mut f = telling(fronts);
    f.requests_since_peer_report = Some(1_000.0);
    f.due_actions(&mut SessionTable::default(), NOW + 2_000.0).probes.len()
}

#[test_case(100.0 => 0.9; "newer than what was heard")]
#[test_case(3_000.0 => 0.5; "older")]
fn what_another_front_tells_counts_where_it_is_newer(age: Ms) -> f64 {
    let (mut f, mut h) = (telling(41), SessionTable::default());
    let news = walnutline::api::PeerReport {
        server: ServerId(0),
        stream_use: 0.5,
        link_use: 0.9,
        age,
        process_age: 0.0,
    };
    let unknown = walnutline::api::PeerReport { server: ServerId(77), ..news };
    let unsound = walnutline::api::PeerReport { link_use: f64::NAN, age: 0.0, ..news };
    f.record_peer_reports(&mut h, &[unknown, unsound, news], NOW + 1_000.0);
    f.fleet.servers[&ServerId(0)].link_use.unwrap().value
}

/// A zone that was cut off is no zone that comes back cold: guards against each front leaving it alone for a
/// whole warm-up. What another front tells counts where it was heard after the failure.
#[test_case(1_000.0, 50.0 => (true, 0); "known since before the failure")]
#[test_case(100.0, 50.0 => (false, 0); "perhaps a new process")]
#[test_case(1_000.0, 700.0 => (false, 2); "heard before the failure")]
fn a_server_that_answers_another_front_is_no_dead_one(since: Ms, age: Ms) -> (bool, u32) {
    let (mut f, mut h) = (telling(41), SessionTable::default());
    f.settings.cold_start = Some(cold());
    let s = f.fleet.servers.get_mut(&ServerId(0)).unwrap();
    (s.died_at, s.last_failure_at, s.failures) = (Some(NOW), NOW, 2);
    let news = walnutline::api::PeerReport {
        server: ServerId(0),
        stream_use: 0.5,
        link_use: 0.5,
        age,
        process_age: since,
    };
    f.record_peer_reports(&mut h, &[news], NOW + 500.0);
    let s = &f.fleet.servers[&ServerId(0)];
    (s.died_at.is_none(), s.failures)
}

/// Guards against 300 fronts that each ask a server what one of them has just told all.
#[test_case(true => 0; "told")]
#[test_case(false => 1; "not told")]
fn a_server_that_another_front_told_of_is_not_probed(told: bool) -> usize {
    let (mut f, mut h) = (telling(41), hand([playing(0, 1, 0.0)]));
    f.due_actions(&mut h, NOW);
    let later = NOW + 30_000.0;
    if told {
        let news = walnutline::api::PeerReport {
            server: ServerId(0),
            stream_use: 0.5,
            link_use: 0.5,
            age: 50.0,
            process_age: 0.0,
        };
        f.record_peer_reports(&mut h, &[news], later - 100.0);
    }
    f.due_actions(&mut h, later).probes.len()
}

/// Many fronts with a session each on one link: all hear the same use of 0.5, and have room for 6 steps.
#[test]
fn fronts_that_hear_the_same_news_fill_the_room_once() {
    let ups = |seed| {
        let mut f = front(walnutline::settings::PolicySettings { uplink_kb_per_s: 1e6, ..terms() });
        f.rng = fastrand::Rng::with_seed(seed);
        f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
            Some(Measurement { value: 0.5, measured_at: 0.0, own_load: 100.0 });
        f.record_link_use(&mut hand([playing(0, 0, 0.0)]), ServerId(0), 0.5, NOW);
        f.rung_changes.len()
    };
    let all: usize = (0..10).map(ups).sum();
    assert!((3..=8).contains(&all), "{all}");
}

#[test_case(f64::NAN; "not a number")]
#[test_case(f64::INFINITY; "without bound")]
#[test_case(-0.5; "below zero")]
fn a_figure_that_cannot_be_stays_out_of_the_table(value: f64) {
    let mut f = front(terms());
    f.record_report(&mut SessionTable::default(), ServerId(0), &[value, value], NOW + 1.0);
    let s = &f.fleet.servers[&ServerId(0)];
    assert_eq!((s.link_use.unwrap().measured_at, s.streams.unwrap().measured_at), (NOW, NOW));
}

/// A session that no server can use sets none aside; an error counts once another server plays the session,
/// or where none may be asked.
#[test_case(4, 1, true => 1; "played elsewhere")]
#[test_case(4, 2, true => 2; "played at the third")]
#[test_case(3, 3, false => 0; "in error everywhere")]
#[test_case(1, 1, false => 1; "no other may be asked")]
fn an_error_is_the_servers_or_the_sessions(max_setups: u16, errors: usize, plays: bool) -> usize {
    let mut f = front(walnutline::settings::PolicySettings { max_setups, ..terms() });
    let mut h = hand([sess()]);
    f.place(&mut h, ONE, NOW);
    for _ in 0..errors {
        f.after_outcome(&mut h, ONE, SetupOutcome::Errored, NOW);
    }
    if plays {
        f.session_started(&mut h, ONE, NOW);
    }
    f.fleet.servers.values().filter(|s| s.failures > 0).count()
}

#[test_case(SetupOutcome::Broken; "broken")]
#[test_case(SetupOutcome::TimedOut; "timed out")]
#[test_case(SetupOutcome::NoConnection; "no connection")]
fn a_failed_setup_goes_on_to_another_holder(ending: SetupOutcome) {
    let mut f = front(terms());
    let out = Session { server: Some(ServerId(2)), setup_count: 1, holders: cells(2, 2), ..sess() };
    let place = f.after_outcome(&mut hand([out]), ONE, ending, NOW);
    assert_eq!(went_to(&place), Some(3));
    assert!(f.fleet.servers[&ServerId(2)].excluded_until > NOW);
}

#[test]
fn a_fast_erroring_server_does_not_draw_the_next_sessions() {
    let mut f = front(terms());
    let s = f.fleet.servers.get_mut(&ServerId(0)).unwrap();
    (s.link_use, s.failures, s.excluded_until) =
        (Some(Measurement { value: 0.0, measured_at: NOW, own_load: 0.0 }), 1, NOW + 1_000.0);
    assert_ne!(went_to(&f.place(&mut hand([sess()]), ONE, NOW)), Some(0));
}

#[test]
fn when_every_holder_is_aside_one_is_tried_all_the_same() {
    let mut f = front(terms());
    f.fleet.servers.values_mut().for_each(|s| s.excluded_until = NOW + 9_000.0);
    assert!(went_to(&f.place(&mut hand([sess()]), ONE, NOW)).is_some());
}

#[test_case(RepeatPolicy::Once, SetupOutcome::Errored => Placement::TornDown; "may have run")]
#[test_case(RepeatPolicy::Once, SetupOutcome::BusyReplied => Placement::BusyReply { retry_after: None }; "never ran")]
#[test_case(RepeatPolicy::Keyed(KeyScope::Zone), SetupOutcome::TimedOut => Placement::TornDown; "key of one zone")]
fn no_set_up_happens_twice(repeat: RepeatPolicy, ending: SetupOutcome) -> Placement {
    let mut t = walnutline::settings::PolicySettings { max_retry_after: None, ..terms() };
    t.service_groups[0].repeat = repeat;
    let mut f = front(t);
    // The other holder stands in another zone, or is gone where the first one gave a busy reply.
    let other = &mut f.fleet.servers.get_mut(&ServerId(2)).unwrap().entry;
    other.zone = ZoneIndex(1);
    if ending == SetupOutcome::BusyReplied {
        other.state = ServerState::Gone;
    }
    f.fleet.servers.get_mut(&ServerId(3)).unwrap().entry.state = ServerState::Draining;
    let out = Session { server: Some(ServerId(3)), setup_count: 1, holders: cells(2, 2), ..sess() };
    f.after_outcome(&mut hand([out]), ONE, ending, NOW)
}

#[test_case(20.0, 0 => false; "its time is up")]
#[test_case(3_000.0, 4 => false; "all SETUPs are used")]
#[test_case(3_000.0, 3 => true; "one is left")]
fn an_answer_comes_before_the_viewer_gives_up(left: Ms, setups: u16) -> bool {
    let mut f = front(terms());
    let mut h = hand([Session { viewer_deadline: NOW + left, setup_count: setups, ..sess() }]);
    went_to(&f.place(&mut h, ONE, NOW)).is_some()
}

#[test_case(2, 2 => false; "all taken")]
#[test_case(1, 2 => true; "one free")]
fn seats_are_kept(held: usize, seats: u32) -> bool {
    let mut t = terms();
    t.service_groups[0].max_sessions_per_title = seats;
    let others = (0..held).map(|i| Session { playing: i > 0, ..playing(0, 0, 0.0) });
    let mut h = hand([sess()].into_iter().chain(others));
    went_to(&front(t).place(&mut h, ONE, NOW)).is_some()
}

#[test]
fn no_rung_under_the_floor_is_set() {
    let mut t = terms();
    t.service_groups[0].lowest_rung = 1;
    let mut f = front(t);
    let mut h = hand([playing(0, 1, 0.0)]);
    f.record_link_use(&mut h, ServerId(0), 4.0, NOW);
    assert!(f.rung_changes.is_empty());
}

#[test_case(5, 1 => true; "the free one and a fifth of five")]
#[test_case(5, 2 => false; "spent")]
#[test_case(0, 0 => true; "the free one")]
fn further_setups_stay_within_the_budget(taken: usize, sent: usize) -> bool {
    let mut f = front(walnutline::settings::PolicySettings { retry_budget: Some(budget()), ..terms() });
    f.request_times.extend((0..taken).map(|i| NOW - 9_000.0 + i as f64));
    f.retry_times.extend((0..sent).map(|i| NOW - 5_000.0 + i as f64));
    let out = Session { server: Some(ServerId(0)), setup_count: 1, ..sess() };
    went_to(&f.after_outcome(&mut hand([out]), ONE, SetupOutcome::Errored, NOW)).is_some()
}

/// Fronts that all send whenever they may stay within the budget of a cold server, in every span.
#[test_case(2, 20.0, true; "a share each")]
#[test_case(3, 8.0, false; "left alone until warm")]
#[test_case(200, 20.0, false; "left alone by many")]
fn all_fronts_together_spare_a_cold_server(fronts: u32, streams: f64, used: bool) {
    let mut all: Vec<_> = (0..fronts)
        .map(|_| {
            let t = walnutline::settings::PolicySettings {
                front_count: fronts,
                cold_start: Some(cold()),
                ..terms()
            };
            let mut f =
                front(walnutline::settings::PolicySettings { max_streams_by_kind: vec![streams], ..t });
            f.fleet.servers.get_mut(&ServerId(0)).unwrap().entry.started_at = Some(NOW);
            f
        })
        .collect();
    let mut sent = Vec::new();
    for ms in (0..9_990).step_by(10) {
        let now = NOW + ms as f64;
        for f in &mut all {
            let mut h = hand([Session {
                holders: cells(0, 1),
                arrived_at: now,
                viewer_deadline: now + 3_000.0,
                ..sess()
            }]);
            if went_to(&f.place(&mut h, ONE, now)).is_some() {
                sent.push(now);
            }
        }
    }
    let c = cold();
    let budget = c.rate_multiple * streams / c.duration * c.initial_share * c.window;
    let most = sent.iter().map(|t| sent.iter().filter(|u| **u >= *t && **u < t + c.window).count()).max();
    assert_eq!(used, !sent.is_empty());
    assert!(most.unwrap_or(0) as f64 <= budget, "{most:?} of {budget}");
}

#[test_case(SetupOutcome::NoConnection; "no connection")]
#[test_case(SetupOutcome::Broken; "broken")]
fn a_server_seen_to_die_counts_as_cold_when_it_answers_again(ending: SetupOutcome) {
    let mut f = front(walnutline::settings::PolicySettings { cold_start: Some(cold()), ..terms() });
    f.settings.max_streams_by_kind = vec![2.0];
    let out = Session { server: Some(ServerId(0)), setup_count: 1, holders: cells(0, 1), ..sess() };
    let place = f.after_outcome(&mut hand([out]), ONE, ending, NOW);
    assert!(matches!(place, Placement::NotYet | Placement::BusyReply { .. }), "{place:?}");
}

#[test]
fn fronts_that_hear_nothing_do_not_all_send_to_the_same_holder() {
    let first = |seed| {
        let mut f = front(terms());
        f.rng = fastrand::Rng::with_seed(seed);
        went_to(&f.place(&mut hand([sess()]), ONE, NOW))
    };
    assert!((1..20).any(|seed| first(seed) != first(0)));
}

#[test_case(1_400.0 => 0; "within the hold")]
#[test_case(1_600.0 => 1; "once it is over")]
fn what_is_left_of_the_room_serves_later_steps(ago: Ms) -> usize {
    let mut f = front(terms());
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().spare_kb_per_s = 1_000.0;
    f.due_actions(&mut hand([Session { rung_set_at: NOW - ago, ..playing(0, 0, 0.0) }]), NOW)
        .rung_changes
        .len()
}

#[test_case(1 => 0; "one session: not yet")]
#[test_case(3 => 1; "three: they pay for it")]
fn a_server_is_probed_in_the_pace_of_the_sessions_there(sessions: u32) -> usize {
    let mut f = front(terms());
    let mut h = hand((0..sessions).map(|_| playing(0, 2, 0.0)));
    f.due_actions(&mut h, NOW);
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().next_probe_at = Some(NOW);
    f.due_actions(&mut h, NOW);
    f.due_actions(&mut h, NOW + 12_000.0).probes.len()
}

#[test_case(2 => true; "its own stand high elsewhere")]
#[test_case(0 => false; "its own stand at the lowest")]
fn a_full_link_without_own_sessions_is_judged_by_the_height_of_own_ones(rung: u8) -> bool {
    let mut f = front(terms());
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use =
        Some(Measurement { value: 0.97, measured_at: NOW, own_load: 0.0 });
    let mut h = hand([Session { holders: cells(0, 1), ..sess() }, playing(3, rung, 0.0)]);
    went_to(&f.place(&mut h, ONE, NOW)).is_some()
}

#[test_case(1.0, 900.0 => true; "news of the uplink: full")]
#[test_case(1.0, 30_000.0 => false; "news that has aged")]
#[test_case(0.2, 900.0 => false; "news of room")]
fn only_what_was_heard_turns_a_request_away(uplink: f64, ago: Ms) -> bool {
    let mut f = front(walnutline::settings::PolicySettings { probes_allowed: false, ..terms() });
    f.fleet.servers.values_mut().for_each(|s| s.link_use = None);
    let rack = f.fleet.racks.entry(RackId(0)).or_default();
    rack.uplink_use = Some(Measurement { value: uplink, measured_at: NOW - ago, own_load: 0.0 });
    let mut h = hand([Session { holders: cells(0, 1), ..sess() }, playing(1, 0, 0.0)]);
    matches!(f.place(&mut h, ONE, NOW), Placement::BusyReply { .. })
}

#[test]
fn an_uplink_not_heard_from_counts_as_the_average_of_uplinks() {
    let mut f = front(terms());
    f.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().value = 0.1);
    f.fleet.racks.entry(RackId(0)).or_default().uplink_use =
        Some(Measurement { value: 0.95, measured_at: NOW, own_load: 0.0 });
    let place = f.place(&mut hand([Session { holders: cells(1, 1), ..sess() }]), ONE, NOW);
    assert!(matches!(place, Placement::Setup { rung: 0, .. }), "{place:?}");
}

#[test_case(100.0 => (true, 0); "fresh news: it goes at once")]
#[test_case(5_000.0 => (false, 1); "old news: the holder is asked")]
fn a_holder_with_old_news_is_asked_before_a_session_goes_there(ago: Ms) -> (bool, usize) {
    let mut f = front(terms());
    f.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().measured_at = NOW - ago);
    let mut h = hand([sess()]);
    let place = f.place(&mut h, ONE, NOW);
    (went_to(&place).is_some(), f.due_actions(&mut h, NOW).probes.len())
}

#[test_case(Some(SetupOutcome::Done), 20.0 => true; "answered")]
#[test_case(None, 20.0 => false; "not yet answered")]
#[test_case(None, 250.0 => true; "the answer is lost")]
fn a_session_waits_for_the_answer_but_not_for_long(answer: Option<SetupOutcome>, later: Ms) -> bool {
    let mut f = front(terms());
    f.fleet.servers.values_mut().for_each(|s| s.link_use = None);
    let mut h = hand([sess()]);
    f.place(&mut h, ONE, NOW);
    let asked = f.due_actions(&mut h, NOW).probes[0];
    if let Some(ending) = answer {
        f.probe_finished(&mut h, asked, ending, NOW + later);
    }
    f.due_actions(&mut h, NOW + later).sessions_to_place == [ONE]
}

#[test_case(500.0 => Some(1); "just now")]
#[test_case(1_500.0 => Some(0); "a while ago")]
fn a_busy_reply_counts_for_a_while(ago: Ms) -> Option<u32> {
    let mut f = front(terms());
    f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use.as_mut().unwrap().value = 0.1;
    let out = Session { server: Some(ServerId(0)), setup_count: 1, holders: cells(0, 2), ..sess() };
    f.after_outcome(&mut hand([out]), ONE, SetupOutcome::BusyReplied, NOW - ago);
    f.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().measured_at = NOW);
    went_to(&f.place(&mut hand([Session { holders: cells(0, 2), ..sess() }]), ONE, NOW))
}

#[test_case(0 => 2; "calm")]
#[test_case(3 => 0; "three came to this front within the delay of news")]
fn a_crowd_is_taken_to_come_to_all_fronts(came: u32) -> u8 {
    let mut f = front(walnutline::settings::PolicySettings { front_count: 4, ..terms() });
    f.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().value = 0.3);
    let lately = |_| Session { rate_changed_at: NOW - 100.0, ..playing(3, 2, NOW) };
    let mut h = hand([Session { holders: cells(0, 1), ..sess() }].into_iter().chain((0..came).map(lately)));
    match f.place(&mut h, ONE, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

#[test_case(2, 0.75 => 1; "all can give")]
#[test_case(0, 0.75 => 2; "most cannot, as its own elsewhere cannot")]
fn a_front_sheds_by_what_can_be_given(elsewhere: u8, share: f64) -> usize {
    let mut f = front(terms());
    let here = (0..2).map(|_| playing(0, 2, 0.0));
    let mut h = hand(here.chain((0..8).map(|_| playing(3, elsewhere, 0.0))));
    f.record_delivered_share(&mut h, ServerId(0), share, NOW);
    f.rung_changes.len()
}

/// Found on crowds for titles that are heavier than the ladder says: by its rates they all fitted.
#[test_case(None => 2; "by the ladder")]
#[test_case(Some(vec![200.0, 400.0, 800.0]) => 1; "a heavy title starts lower")]
#[test_case(Some(vec![50.0, 100.0, 150.0]) => 2; "a light one at the top")]
#[test_case(Some(vec![800.0]) => 2; "rates that do not fit the ladder tell nothing")]
fn true_rates_count_where_they_are_known(rates: Option<Vec<f64>>) -> u8 {
    let mut f = front(terms());
    f.fleet
        .servers
        .values_mut()
        .for_each(|s| s.link_use = Some(Measurement { value: 0.48, measured_at: NOW, own_load: 0.0 }));
    let request = walnutline::api::Request {
        group: GroupIndex(0),
        title: TitleId(9),
        holders: cells(0, 4),
        rates_kb_per_s: rates.map(Into::into),
        highest_rung: 2,
        time_left: 3_000.0,
    };
    let mut h = SessionTable::default();
    f.add_request(&mut h, ONE, request, NOW);
    let Placement::Setup { server, rung, .. } = f.place(&mut h, ONE, NOW) else { panic!("no SETUP") };
    let asked = h.loads(&f.settings)[&server].kb_per_s;
    assert_eq!(asked, h.sessions[&ONE].rate(&f.settings, rung));
    rung
}

/// A session that this front gives up on has its answer at once, however long its viewer would wait. Guards
/// against viewers kept from looking elsewhere; they are told when to come back.
#[test_case(|_, s| s.viewer_deadline = NOW + 20.0; "its time is up")]
#[test_case(|_, s| s.setup_count = 4; "all SETUPs are used")]
#[test_case(|f, s| { f.settings.retry_budget = Some(budget()); f.retry_times.extend([NOW, NOW]); s.setup_count = 1 }; "budget spent")]
#[test_case(|f, s| { f.settings.service_groups[0].max_sessions_per_title = 1; s.title = TitleId(1) }; "seats taken")]
#[test_case(|_, s| s.holders = cells(0, 0); "held nowhere")]
#[test_case(|f, _| f.fleet.servers.clear(); "an empty list")]
#[test_case(|f, _| each(f, |s| s.entry.state = ServerState::Gone); "all gone")]
#[test_case(|f, _| each(f, |s| s.entry.state = ServerState::Draining); "all draining")]
#[test_case(|f, _| each(f, |s| s.link_use.as_mut().unwrap().value = 2.0); "all full")]
#[test_case(|f, _| each(f, |s| s.busy_until = NOW + 1_000.0); "all busy")]
#[test_case(|f, _| { (f.settings.front_count, f.settings.cold_start) = (200, Some(cold())); each(f, |s| s.entry.started_at = Some(NOW)) }; "all cold for long")]
fn what_is_given_up_is_answered_at_once(why: fn(&mut walnutline::state::FrontState, &mut Session)) {
    let (mut f, mut s) = (front(terms()), sess());
    // One session plays, and stands at its lowest rung.
    let one = Session { title: TitleId(1), ..playing(0, 0, 0.0) };
    why(&mut f, &mut s);
    let mut h = hand([s, one]);
    let place = f.place(&mut h, ONE, NOW);
    assert!(
        matches!(place, Placement::BusyReply { retry_after: Some(t) } if (250.0..=500.0).contains(&t)),
        "{place:?}"
    );
    assert!(!h.sessions.contains_key(&ONE));
}

fn each(f: &mut walnutline::state::FrontState, with: fn(&mut walnutline::fleet::Server)) {
    f.fleet.servers.values_mut().for_each(with);
}

/// A session is held for a server's answer no longer than that server takes anything.
#[test_case(ServerState::Ready => false; "it may still answer")]
#[test_case(ServerState::Draining => true; "it drains")]
#[test_case(ServerState::Gone => true; "it is gone")]
fn no_session_waits_for_a_server_that_leaves(listing: ServerState) -> bool {
    let mut f = front(terms());
    f.fleet.servers.values_mut().for_each(|s| s.link_use = None);
    let mut h = hand([sess()]);
    assert_eq!(f.place(&mut h, ONE, NOW), Placement::NotYet);
    let asked = f.due_actions(&mut h, NOW).probes[0];
    f.fleet.servers.get_mut(&asked).unwrap().entry.state = listing;
    f.due_actions(&mut h, NOW + 10.0).sessions_to_place == [ONE]
}

/// A list as no settings foretell it: a new zone, kind or cell, a server named twice.
#[test]
fn servers_of_an_unknown_place_and_kind_are_used_all_the_same() {
    let mut f = front(walnutline::settings::PolicySettings {
        probes_allowed: false,
        cold_start: Some(cold()),
        ..terms()
    });
    let strange = walnutline::fleet::ListEntry {
        zone: ZoneIndex(9),
        kind: KindIndex(255),
        cell: CellId(4_001),
        ..server(7).entry
    };
    f.replace_server_list(vec![strange.clone(), strange, server(1).entry]);
    for (id, used) in [(7, 0.4), (1, 0.5)] {
        let s = f.fleet.servers.get_mut(&ServerId(id)).unwrap();
        s.link_use = Some(Measurement { value: used, measured_at: NOW, own_load: 0.0 });
        s.streams = Some(Measurement { value: 5.0, measured_at: NOW, own_load: 0.0 });
    }
    assert_eq!(went_to(&f.place(&mut hand([sess()]), ONE, NOW)), Some(7), "it has more room");
}

/// Where no size of uplinks is told, they hold nothing up.
#[test]
fn an_uplink_without_a_size_is_not_taken_for_a_full_one() {
    let mut f = front(walnutline::settings::PolicySettings { uplink_kb_per_s: f64::INFINITY, ..terms() });
    f.fleet.servers.values_mut().for_each(|s| s.link_use.as_mut().unwrap().value = 0.1);
    let mut h = hand([sess(), playing(0, 0, 0.0)]);
    assert!(matches!(f.place(&mut h, ONE, NOW), Placement::Setup { rung: 2, .. }));
    f.record_link_use(&mut h, ServerId(0), 0.1, NOW + 5_000.0);
    assert_eq!(f.due_actions(&mut h, NOW + 5_000.0).rung_changes, [(SessionId(2), 1)]);
}

/// A change that costs more than a rung does goes further down at once, and up again only by one that lasts.
#[test_case(0.0, 2 => vec![(ONE, 1)]; "free: one rung")]
#[test_case(1_000.0, 2 => vec![(ONE, 1)]; "cheap: one rung")]
#[test_case(20_000.0, 2 => vec![(ONE, 0)]; "costly: as far as makes it worth it")]
fn a_costly_step_down_goes_further(change_cost: Ms, rung: u8) -> Vec<(SessionId, u8)> {
    let mut f = front(walnutline::settings::PolicySettings { rung_change_cost: change_cost, ..terms() });
    f.record_link_use(&mut hand([playing(0, rung, 0.0)]), ServerId(0), 20.0, NOW);
    f.rung_changes
}

#[test_case(0.0 => 1; "free")]
#[test_case(1_000.0 => 1; "earned back in two and a half seconds")]
#[test_case(3_000.0 => 0; "earned back only later")]
fn a_session_steps_up_once_it_is_likely_to_earn_the_change_back(change_cost: Ms) -> usize {
    let mut f = front(walnutline::settings::PolicySettings { rung_change_cost: change_cost, ..terms() });
    let stands = Session { rung_set_at: NOW - 5_000.0, ..playing(0, 1, 0.0) };
    let one = &mut f.fleet.servers.get_mut(&ServerId(0)).unwrap().link_use;
    *one = Some(Measurement { value: 0.4, measured_at: NOW - 5_000.0, own_load: 200.0 });
    f.record_link_use(&mut hand([stands]), ServerId(0), 0.4, NOW);
    f.rung_changes.len()
}

/// Guards against more being paid for news than it can earn, where probes are dear.
#[test_case(0.0, 0.0 => true; "free")]
#[test_case(0.01, -1.0 => true; "paid for")]
#[test_case(0.15, 2.0 => false; "the sessions so far have not paid for more")]
fn a_holder_is_asked_as_far_as_sessions_pay_for_it(probe_cost: f64, probe_debt: f64) -> bool {
    let mut f = front(walnutline::settings::PolicySettings { probe_cost, ..terms() });
    each(&mut f, |s| s.link_use = None);
    f.probe_debt = probe_debt;
    let mut h = hand([sess()]);
    let place = f.place(&mut h, ONE, NOW);
    f.due_actions(&mut h, NOW);
    assert_eq!(f.probe_debt > probe_debt, place == Placement::NotYet && probe_cost > 0.0);
    place == Placement::NotYet
}

/// Guards against a server that looks the smaller the more it carries, where its listed weight moves with its
/// load.
#[test_case(WeightKind::Capacity => 0; "the weight as it is listed")]
#[test_case(WeightKind::LoadAdjusted => 2; "the largest that was listed")]
fn a_weight_that_moves_with_load_is_no_smaller_link(weights: WeightKind) -> u8 {
    let mut f = front(walnutline::settings::PolicySettings { weight_kind: weights, ..terms() });
    for weight in [1.0, 0.2] {
        f.update_server(walnutline::fleet::ListEntry { weight, ..server(0).entry });
    }
    match f.place(&mut hand([Session { holders: cells(0, 1), ..sess() }]), ONE, NOW) {
        Placement::Setup { rung, .. } => rung,
        other => panic!("{other:?}"),
    }
}

/// Guards against sessions held for answers that can tell nothing, and paid for.
#[test_case(vec![ReportColumn::Streams, ReportColumn::Link] => (false, 1); "of the link")]
#[test_case(vec![ReportColumn::Other] => (true, 0); "of nothing that counts")]
#[test_case(vec![] => (true, 0); "of nothing at all")]
fn a_holder_is_asked_only_for_what_its_answer_tells(columns: Vec<ReportColumn>) -> (bool, usize) {
    let mut f = front(walnutline::settings::PolicySettings { report_columns: columns, ..terms() });
    each(&mut f, |s| s.link_use = None);
    let mut h = hand([sess()]);
    let place = f.place(&mut h, ONE, NOW);
    (went_to(&place).is_some(), f.due_actions(&mut h, NOW).probes.len())
}

/// Guards against a crowd that is turned away together and comes back together.
#[test]
fn those_turned_away_together_do_not_come_back_together() {
    let mut f = front(terms());
    f.fleet.servers.clear();
    let told = |f: &mut walnutline::state::FrontState| match f.place(&mut hand([sess()]), ONE, NOW) {
        Placement::BusyReply { retry_after: Some(t) } => t as u32 / 50,
        other => panic!("{other:?}"),
    };
    let when: std::collections::BTreeSet<u32> = (0..40).map(|_| told(&mut f)).collect();
    assert!(when.len() >= 5, "{when:?}");
}

fn following(way: ListDelivery) -> walnutline::state::FrontState {
    front(walnutline::settings::PolicySettings { list_delivery: way, ..terms() })
}

/// When a front asks for the list, in milliseconds from now, until the given time.
fn calls(f: &mut walnutline::state::FrontState, from: Ms, until: Ms) -> Vec<Ms> {
    let mut h = hand([]);
    let times = (from as u64..until as u64).step_by(10).map(|t| t as Ms);
    times.filter(|t| f.due_actions(&mut h, NOW + t).request_list).collect()
}

const FOLLOWED: ListDelivery = ListDelivery::Watched { assumed_known_after: 10_000.0 };

#[test_case(ListDelivery::Pushed, 200.0 => (0, 0); "it comes by itself")]
#[test_case(FOLLOWED, 2_500.0 => (1, 0); "once, within a quarter of the time")]
#[test_case(ListDelivery::Watched { assumed_known_after: Ms::INFINITY }, 3_750.0 => (1, 0); "once, though no time is stated")]
#[test_case(ListDelivery::Polled { grace: 250.0 }, 200.0 => (1, 5); "every 200 ms, within the grace")]
#[test_case(ListDelivery::Polled { grace: 1_000.0 }, 500.0 => (1, 2); "no more seldom than every 500 ms")]
#[test_case(ListDelivery::Polled { grace: Ms::INFINITY }, 500.0 => (1, 2); "no grace is stated: not all the time")]
fn the_list_is_asked_for_where_it_does_not_come(way: ListDelivery, first: Ms) -> (usize, usize) {
    let mut f = following(way);
    (calls(&mut f, 0.0, first + 10.0).len(), calls(&mut f, first + 10.0, first + 1_010.0).len())
}

/// Guards against drains that are never heard: nothing answered, or what was followed broke off.
#[test]
fn a_list_that_is_not_told_is_asked_for_again_ever_more_seldom() {
    let mut f = following(FOLLOWED);
    let first = calls(&mut f, 0.0, 2_510.0)[0];
    assert_eq!(calls(&mut f, first + 10.0, first + 10_020.0).len(), 1, "nothing was answered");
    f.list_received();
    assert_eq!(calls(&mut f, 20_000.0, 60_000.0), Vec::<Ms>::new(), "told: changes come by themselves");
    let mut waits = Vec::new();
    let mut now = 60_000.0;
    for _ in 0..6 {
        f.list_call_failed(NOW + now);
        let next = calls(&mut f, now, now + 10_020.0)[0];
        waits.push(next - now);
        now = next;
    }
    assert!(waits[0] <= 760.0 && waits[5] > 5_000.0, "{waits:?}");
    f.list_received();
    f.list_call_failed(NOW + now);
    assert!(calls(&mut f, now, now + 760.0).len() == 1, "an answer in between begins anew");
}

#[test]
fn fronts_that_start_together_do_not_ask_for_the_list_together() {
    let first = |seed| {
        let mut f = following(FOLLOWED);
        f.rng = fastrand::Rng::with_seed(seed);
        calls(&mut f, 0.0, 2_510.0)[0] as u64 / 500
    };
    let when: std::collections::BTreeSet<u64> = (0..40).map(first).collect();
    assert!(when.len() >= 5, "{when:?}");
}
