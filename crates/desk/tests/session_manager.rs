//! The live desk against boxes, viewers and a list that do anything in any order: what holds whatever happens.
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use walnutline::fleet::{ListEntry, ServerState};
use walnutline::ids::*;
use walnutline::settings::{
    ListDelivery, PolicySettings, RepeatPolicy, ReportColumn, RetryBudget, ServiceGroup, WeightKind,
};
use walnutline_desk::session_manager::*;

const BOXES: u32 = 4;
const WAITS: Timeouts = Timeouts { connect: 300.0, probe: 200.0, max_silence: 5_000.0, answer_margin: 50.0 };
const PATIENCE: Ms = 2_000.0;

fn terms() -> PolicySettings {
    let group = |repeat| ServiceGroup {
        start_target: 800.0,
        utility: 1.0,
        repeat,
        key_window: 5_000.0,
        lowest_rung: 0,
        highest_rung: 1,
        rate_scale: 1.0,
        max_sessions_per_title: 0,
    };
    PolicySettings {
        front_count: 1,
        service_groups: vec![group(RepeatPolicy::Safe), group(RepeatPolicy::Once)],
        rung_kb_per_s: vec![100.0, 200.0],
        rung_utility: vec![0.5, 1.0],
        cell_count: u32::MAX,
        rack_count: u32::MAX,
        max_streams_by_kind: vec![50.0],
        weight_kind: WeightKind::Capacity,
        link_kb_per_s_per_weight: 10_000.0,
        uplink_kb_per_s: 40_000.0,
        measurement_delay: 500.0,
        rung_change_cost: 0.0,
        list_delivery: ListDelivery::Pushed,
        drain_grace: 250.0,
        report_columns: vec![ReportColumn::Streams, ReportColumn::Link],
        reports_by_probe: true,
        probes_allowed: true,
        probe_cost: 0.0,
        peer_messages_allowed: false,
        max_retry_after: Some(500.0),
        max_setups: 3,
        retry_budget: Some(RetryBudget { free_retries: 3.0, retries_per_request: 0.5, window: 5_000.0 }),
        cold_start: None,
    }
}

fn line(id: u32, listing: ServerState) -> ServerEndpoint {
    let listed = ListEntry {
        id: ServerId(id),
        zone: ZoneIndex(0),
        kind: KindIndex(0),
        cell: CellId(id % 2),
        state: listing,
        weight: 1.0,
        started_at: None,
    };
    ServerEndpoint { entry: listed, control_address: SocketAddr::from(([127, 0, 0, 1], 1_000 + id as u16)) }
}

/// What may happen next. Boxes and messages are picked from what is there.
#[derive(Debug, Clone)]
enum Event {
    Ask { group: u16, holders: u32 },
    Leave(usize),
    Open(usize),
    Fail(usize),
    Close { which: usize, begun: u32 },
    Reply { which: usize, how: u8 },
    Unasked { which: usize, cseq: u32 },
    Over(usize),
    List { id: u32, listing: u8 },
    WholeList(u32),
    Wait(Ms),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let n = any::<prop::sample::Index>().prop_map(|i| i.index(1_000));
    let event = prop_oneof![
        6 => (0u16..2, 1u32..16).prop_map(|(group, holders)| Event::Ask { group, holders }),
        1 => n.clone().prop_map(Event::Leave),
        4 => n.clone().prop_map(Event::Open),
        1 => n.clone().prop_map(Event::Fail),
        1 => (n.clone(), 0u32..6).prop_map(|(which, begun)| Event::Close { which, begun }),
        8 => (n.clone(), 0u8..5).prop_map(|(which, how)| Event::Reply { which, how }),
        1 => (n.clone(), any::<u32>()).prop_map(|(which, cseq)| Event::Unasked { which, cseq }),
        1 => n.clone().prop_map(Event::Over),
        1 => (0..BOXES, 0u8..3).prop_map(|(id, listing)| Event::List { id, listing }),
        1 => (0u32..16).prop_map(Event::WholeList),
        6 => (1.0..400.0f64).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 1..120)
}

/// The world outside, and what was seen of the desk's doing.
struct World {
    live: SessionManager<SessionId>,
    now: Ms,
    next_id: u64,
    /// Connections being opened, and open ones.
    opening: BTreeSet<(u32, u64)>,
    open: BTreeSet<(u32, u64)>,
    /// Messages out by connection, with their session where they are SETUPs.
    out: Vec<(u32, u64, u32, Option<SessionId>)>,
    playing: BTreeMap<String, (u32, u64, SessionId)>,
    asked: BTreeMap<SessionId, (Ms, BTreeSet<u32>, u16)>,
    left: BTreeSet<SessionId>,
    answers: BTreeMap<SessionId, (Answer, Ms)>,
    setups: BTreeMap<SessionId, Vec<(u32, Ms)>>,
    /// SETUPs that may have run, as far as the world knows: begun to be written and not surely refused.
    may_have_run: BTreeSet<SessionId>,
    listing: BTreeMap<u32, ServerState>,
}

impl World {
    fn new() -> Self {
        let mut w = World {
            live: SessionManager::new(terms(), WAITS, 3, 0.0),
            now: 0.0,
            next_id: 1,
            opening: BTreeSet::new(),
            open: BTreeSet::new(),
            out: Vec::new(),
            playing: BTreeMap::new(),
            asked: BTreeMap::new(),
            left: BTreeSet::new(),
            answers: BTreeMap::new(),
            setups: BTreeMap::new(),
            may_have_run: BTreeSet::new(),
            listing: (0..BOXES).map(|id| (id, ServerState::Ready)).collect(),
        };
        w.live.replace_server_list((0..BOXES).map(|id| line(id, ServerState::Ready)).collect(), 0.0);
        w.attend();
        w
    }

    fn attend(&mut self) {
        self.live.process_due(self.now);
        for what in self.live.take_actions() {
            self.see(what);
        }
    }

    fn see(&mut self, what: IoAction<SessionId>) {
        match what {
            IoAction::Connect { server, conn, address } => {
                assert_eq!(address.port(), 1_000 + server.0 as u16);
                assert!(!self.open.iter().any(|(s, _)| *s == server.0), "a second connection to {server:?}");
                self.opening.insert((server.0, conn));
            }
            IoAction::Close { server, conn } => self.gone(server.0, conn),
            IoAction::Send { server, conn, cseq, request: what } => {
                assert!(self.open.contains(&(server.0, conn)), "sent on a connection that is not open");
                let setup = match what {
                    ServerRequest::Setup { id, context: of, .. } => {
                        assert_eq!(id, *of);
                        self.setup(id, server.0);
                        Some(id)
                    }
                    ServerRequest::Teardown { session } => {
                        self.playing.remove(&session);
                        None
                    }
                    _ => None,
                };
                self.out.push((server.0, conn, cseq, setup));
            }
            IoAction::Answer { id, answer, .. } => {
                assert!(!self.left.contains(&id), "an answer to one who left");
                assert!(self.answers.insert(id, (answer, self.now)).is_none(), "answered twice: {id:?}");
                if matches!(answer, Answer::Busy { .. }) && self.asked[&id].2 == 1 {
                    assert!(
                        !self.may_have_run.contains(&id),
                        "a busy reply though a paid SETUP may have run"
                    );
                }
            }
            IoAction::Log(_) => {}
        }
    }

    fn setup(&mut self, id: SessionId, server: u32) {
        let (_, holders, group) = &self.asked[&id];
        assert!(holders.contains(&server), "sent to a box that the request did not name");
        assert_eq!(self.listing[&server], ServerState::Ready, "sent to a box that is not ready");
        assert!(!self.answers.contains_key(&id) && !self.left.contains(&id), "sent after the answer");
        assert!(*group == 0 || !self.may_have_run.contains(&id), "a paid session set up twice");
        let of = self.setups.entry(id).or_default();
        of.push((server, self.now));
        assert!(of.len() <= 3, "{} SETUPs", of.len());
        self.may_have_run.insert(id);
    }

    /// A connection is gone, with all that was on it.
    fn gone(&mut self, server: u32, conn: u64) {
        self.open.remove(&(server, conn));
        self.opening.remove(&(server, conn));
        self.out.retain(|o| (o.0, o.1) != (server, conn));
        self.playing.retain(|_, p| (p.0, p.1) != (server, conn));
    }

    fn pick<T: Clone>(of: impl Iterator<Item = T>, n: usize) -> Option<T> {
        let all: Vec<T> = of.collect();
        (!all.is_empty()).then(|| all[n % all.len()].clone())
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Ask { group, holders } => {
                let id = SessionId(self.next_id);
                self.next_id += 1;
                let named: BTreeSet<u32> = (0..BOXES).filter(|b| holders >> b & 1 == 1).collect();
                self.asked.insert(id, (self.now, named.clone(), group));
                let ask = SessionRequest {
                    group: GroupIndex(group),
                    title: TitleId(u64::from(holders)),
                    holders: named.into_iter().map(ServerId).collect(),
                    rates_kb_per_s: None,
                    highest_rung: 1,
                    time_left: PATIENCE,
                };
                self.live.add_request(id, ask, id, self.now);
            }
            Event::Leave(n) => {
                let waiting = self.asked.keys().filter(|id| !self.answers.contains_key(id)).copied();
                if let Some(id) = Self::pick(waiting, n) {
                    self.left.insert(id);
                    self.live.viewer_left(id, self.now);
                }
            }
            Event::Open(n) => {
                if let Some((server, conn)) = Self::pick(self.opening.iter().copied(), n) {
                    self.opening.remove(&(server, conn));
                    if self.live.connection_opened(ServerId(server), conn, self.now) {
                        self.open.insert((server, conn));
                    }
                }
            }
            Event::Fail(n) => {
                if let Some((server, conn)) = Self::pick(self.opening.iter().copied(), n) {
                    self.opening.remove(&(server, conn));
                    self.live.connection_failed(ServerId(server), conn, self.now);
                }
            }
            Event::Close { which, begun } => {
                if let Some((server, conn)) = Self::pick(self.open.iter().copied(), which) {
                    let never: Vec<SessionId> = self
                        .out
                        .iter()
                        .filter(|o| (o.0, o.1) == (server, conn) && o.2 > begun)
                        .filter_map(|o| o.3)
                        .collect();
                    self.surely_not(&never);
                    self.gone(server, conn);
                    self.live.connection_closed(ServerId(server), conn, begun, self.now);
                }
            }
            Event::Reply { which, how } => {
                let Some((server, conn, cseq, setup)) = Self::pick(self.out.iter().copied(), which) else {
                    return;
                };
                self.out.retain(|o| (o.0, o.1, o.2) != (server, conn, cseq));
                let session = format!("{server}-{conn}-{cseq}");
                let outcome = match how {
                    0 => ResponseStatus::Busy,
                    1 => ResponseStatus::Error,
                    _ => ResponseStatus::Success { session: setup.map(|_| session.clone()) },
                };
                match (&outcome, setup) {
                    (ResponseStatus::Success { .. }, Some(id)) => {
                        self.playing.insert(session, (server, conn, id));
                    }
                    (ResponseStatus::Busy, Some(id)) => self.surely_not(&[id]),
                    _ => {}
                }
                let report = LoadReport {
                    streams: Some(f64::from(how)),
                    link_use: Some(0.2 * f64::from(how)),
                    uplink_use: None,
                };
                let told = ServerMessage::Response { cseq, status: outcome, report };
                self.live.message_received(ServerId(server), conn, told, self.now);
            }
            Event::Unasked { which, cseq } => {
                if let Some((server, conn)) = Self::pick(self.open.iter().copied(), which) {
                    if self.out.iter().any(|o| (o.0, o.1, o.2) == (server, conn, cseq)) {
                        return;
                    }
                    let outcome = ResponseStatus::Success { session: Some("made up".into()) };
                    let told =
                        ServerMessage::Response { cseq, status: outcome, report: LoadReport::default() };
                    self.live.message_received(ServerId(server), conn, told, self.now);
                }
            }
            Event::Over(n) => {
                if let Some(name) = Self::pick(self.playing.keys().cloned(), n) {
                    let (server, conn, _) = self.playing.remove(&name).unwrap();
                    self.live.message_received(
                        ServerId(server),
                        conn,
                        ServerMessage::SessionEnded { session: name },
                        self.now,
                    );
                }
            }
            Event::List { id, listing } => {
                let listing =
                    [ServerState::Ready, ServerState::Draining, ServerState::Gone][listing as usize];
                self.listing.insert(id, listing);
                self.live.update_servers(vec![line(id, listing)], self.now);
            }
            Event::WholeList(mask) => {
                let here: Vec<u32> = (0..BOXES).filter(|b| mask >> b & 1 == 1).collect();
                for id in 0..BOXES {
                    let listing = if here.contains(&id) { ServerState::Ready } else { ServerState::Gone };
                    self.listing.insert(id, listing);
                }
                self.live.replace_server_list(
                    here.into_iter().map(|id| line(id, ServerState::Ready)).collect(),
                    self.now,
                );
            }
            Event::Wait(ms) => self.wait(ms),
        }
        self.attend();
    }

    /// A SETUP of these surely never ran. One that ran earlier is not made undone by it; in this world the
    /// paid ones have no earlier one that may have run, as the desk is held to that.
    fn surely_not(&mut self, ids: &[SessionId]) {
        for id in ids {
            if self.asked[id].2 == 1 {
                self.may_have_run.remove(id);
            }
        }
    }

    /// Time passes, the desk being called whenever it asked to be.
    fn wait(&mut self, ms: Ms) {
        let until = self.now + ms;
        loop {
            let next = self.live.next_call_at(self.now);
            if next > until {
                break;
            }
            self.now = next.max(self.now + 0.01);
            self.attend();
        }
        self.now = until;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_each_request_has_one_answer_in_time(events in events()) {
        let mut w = World::new();
        for event in events {
            w.happen(event);
        }
        w.wait(PATIENCE + 1.0);
        w.attend();
        for (id, (came, ..)) in &w.asked {
            match w.answers.get(id) {
                Some((_, at)) => prop_assert!(*at <= came + PATIENCE, "{id:?} answered after {}", at - came),
                None => prop_assert!(w.left.contains(id), "{id:?} has no answer"),
            }
        }
        prop_assert_eq!(w.live.unanswered_count(), 0);
        // What plays at a box that the desk does not know of is torn down or was never its.
        prop_assert_eq!(w.live.playing_count(), w.playing.len());
    }
}

fn ask(w: &mut World) -> SessionId {
    let id = SessionId(w.next_id);
    w.happen(Event::Ask { group: 0, holders: 15 });
    id
}

fn open_all(w: &mut World) {
    while !w.opening.is_empty() {
        w.happen(Event::Open(0));
    }
}

/// Probes that a session waits for are answered, until its SETUP is out.
fn until_setup(w: &mut World, id: SessionId) -> usize {
    for _ in 0..10 {
        if let Some(at) = w.out.iter().position(|o| o.3 == Some(id)) {
            return at;
        }
        let probe = w.out.iter().position(|o| o.3.is_none()).expect("a probe is out");
        w.happen(Event::Reply { which: probe, how: 2 });
        w.wait(1.0);
    }
    panic!("no SETUP");
}

#[test]
fn after_a_stall_what_stands_in_the_sockets_goes_before_time_outs() {
    let mut w = World::new();
    open_all(&mut w);
    let id = ask(&mut w);
    let at = until_setup(&mut w, id);
    // Stopped for longer than the SETUP's time-out; the answer was there all along.
    w.now += 900.0;
    w.attend();
    assert_eq!(w.setups[&id].len(), 1, "no time-out is counted on waking");
    w.now += 5.0;
    w.happen(Event::Reply { which: at, how: 2 });
    assert!(matches!(w.answers[&id].0, Answer::Playing { .. }));
    assert_eq!(w.live.playing_count(), 1);
}

#[test]
fn a_box_that_says_nothing_after_a_stall_is_still_timed_out() {
    let mut w = World::new();
    open_all(&mut w);
    let id = ask(&mut w);
    until_setup(&mut w, id);
    w.now += 900.0;
    w.attend();
    w.wait(100.0);
    assert_eq!(w.setups[&id].len(), 2);
}

#[test]
fn a_late_answer_is_torn_down_and_never_plays() {
    let mut w = World::new();
    open_all(&mut w);
    let id = ask(&mut w);
    let (server, conn, cseq, _) = {
        let at = until_setup(&mut w, id);
        w.out[at]
    };
    w.wait(700.0);
    let late = w.out.iter().position(|o| (o.0, o.1, o.2) == (server, conn, cseq)).unwrap();
    let playing = w.live.playing_count();
    w.happen(Event::Reply { which: late, how: 2 });
    assert_eq!(w.live.playing_count(), playing);
    assert!(!w.playing.contains_key(&format!("{server}-{conn}-{cseq}")), "it was torn down");
}

#[test]
fn a_connection_that_is_silent_while_answers_are_owed_is_closed() {
    let mut w = World::new();
    open_all(&mut w);
    let id = ask(&mut w);
    until_setup(&mut w, id);
    let open = w.open.len();
    w.wait(3.0 * WAITS.max_silence);
    assert!(w.open.len() < open, "still open: {:?}", w.open);
}

#[test]
fn a_viewer_who_left_while_its_answer_was_on_the_way_has_its_session_torn_down() {
    let mut w = World::new();
    open_all(&mut w);
    let id = ask(&mut w);
    let at = until_setup(&mut w, id);
    w.happen(Event::Reply { which: at, how: 2 });
    assert_eq!((w.live.playing_count(), w.playing.len()), (1, 1));
    w.live.viewer_left(id, w.now);
    w.attend();
    assert_eq!((w.live.playing_count(), w.playing.len()), (0, 0), "a TEARDOWN was sent");
}

#[test]
fn a_box_that_comes_back_elsewhere_is_not_judged_for_the_old_one() {
    let mut w = World::new();
    open_all(&mut w);
    let id = ask(&mut w);
    let at = until_setup(&mut w, id);
    let server = w.out[at].0;
    w.happen(Event::Reply { which: at, how: 2 });
    let old = line(server, ServerState::Ready);
    let started = Some(w.now);
    let new = ServerEndpoint {
        entry: ListEntry { started_at: started, ..old.entry },
        control_address: SocketAddr::from(([127, 0, 0, 2], old.control_address.port())),
    };
    w.live.update_servers(vec![new], w.now);
    w.live.process_due(w.now);
    let told: Vec<String> = w.live.take_actions().iter().map(|d| format!("{d:?}")).collect();
    assert!(told.iter().any(|d| d.starts_with("Close")), "{told:?}");
    assert_eq!(w.live.playing_count(), 0, "what played at the old one is over");
    // The module probes a box that it has set aside. It must not have set the new process aside.
    let (mut connected, mut probed) = (false, false);
    for step in 1..200 {
        let now = w.now + 10.0 * f64::from(step);
        w.live.process_due(now);
        for what in w.live.take_actions() {
            match what {
                IoAction::Connect { server: s, conn, address } if s.0 == server => {
                    assert_eq!(address.ip().to_string(), "127.0.0.2");
                    connected = w.live.connection_opened(s, conn, now);
                }
                IoAction::Send { server: s, request: ServerRequest::Probe, .. } => probed |= s.0 == server,
                _ => {}
            }
        }
    }
    assert!(connected && !probed, "connected {connected}, probed {probed}");
}
