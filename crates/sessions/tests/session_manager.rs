//! The session manager with boxes, viewers and a server list whose events come in any order: the guarantees that hold
//! for every order, and single cases.
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use walnutline::fleet::{ListEntry, ServerState};
use walnutline::ids::*;
use walnutline::settings::{
    ListDelivery, PolicySettings, RepeatPolicy, ReportColumn, RetryBudget, ServiceGroup, WeightKind,
};
use walnutline_sessions::session_manager::*;

/// Boxes of the server list.
const BOX_COUNT: u32 = 4;
const TIMEOUTS: Timeouts =
    Timeouts { connect: 300.0, probe: 200.0, max_silence: 5_000.0, answer_margin: 50.0 };
/// How long each viewer waits for its answer.
const VIEWER_WAIT: Ms = 2_000.0;

fn settings() -> PolicySettings {
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

fn endpoint(id: u32, state: ServerState) -> ServerEndpoint {
    let entry = ListEntry {
        id: ServerId(id),
        zone: ZoneIndex(0),
        kind: KindIndex(0),
        cell: CellId(id % 2),
        state,
        weight: 1.0,
        started_at: None,
    };
    ServerEndpoint { entry, control_address: SocketAddr::from(([127, 0, 0, 1], 1_000 + id as u16)) }
}

/// An event. An index picks a request, connection or message among those that there are.
#[derive(Debug, Clone)]
enum Event {
    /// Bit n of `holders` stands for box n.
    Request {
        group: u16,
        holders: u32,
    },
    ViewerLeaves(usize),
    ConnectionOpens(usize),
    ConnectionFails(usize),
    ConnectionCloses {
        index: usize,
        begun: u32,
    },
    /// A `result` of 0 stands for a busy reply, 1 for an error, a higher one for success.
    Response {
        index: usize,
        result: u8,
    },
    UnknownResponse {
        index: usize,
        cseq: u32,
    },
    SessionEnds(usize),
    ServerChanges {
        id: u32,
        state: u8,
    },
    /// Bit n stands for box n.
    ListReplaced(u32),
    TimePasses(Ms),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let index = any::<prop::sample::Index>().prop_map(|i| i.index(1_000));
    let event = prop_oneof![
        6 => (0u16..2, 1u32..16).prop_map(|(group, holders)| Event::Request { group, holders }),
        1 => index.clone().prop_map(Event::ViewerLeaves),
        4 => index.clone().prop_map(Event::ConnectionOpens),
        1 => index.clone().prop_map(Event::ConnectionFails),
        1 => (index.clone(), 0u32..6).prop_map(|(index, begun)| Event::ConnectionCloses { index, begun }),
        8 => (index.clone(), 0u8..5).prop_map(|(index, result)| Event::Response { index, result }),
        1 => (index.clone(), any::<u32>()).prop_map(|(index, cseq)| Event::UnknownResponse { index, cseq }),
        1 => index.clone().prop_map(Event::SessionEnds),
        1 => (0..BOX_COUNT, 0u8..3).prop_map(|(id, state)| Event::ServerChanges { id, state }),
        1 => (0u32..16).prop_map(Event::ListReplaced),
        6 => (1.0..400.0f64).prop_map(Event::TimePasses),
    ];
    prop::collection::vec(event, 1..120)
}

/// The environment of the session manager, and what was observed of it.
struct Environment {
    manager: SessionManager<SessionId>,
    now: Ms,
    next_id: u64,
    /// Connections that are being opened: server and number.
    opening: BTreeSet<(u32, u64)>,
    open: BTreeSet<(u32, u64)>,
    /// Unanswered messages: server, connection, sequence number, and the session of a SETUP.
    unanswered: Vec<(u32, u64, u32, Option<SessionId>)>,
    /// Sessions that play, by the boxes' names for them: server, connection and id.
    playing: BTreeMap<String, (u32, u64, SessionId)>,
    /// Requests: when they came, their holders and their service group.
    requests: BTreeMap<SessionId, (Ms, BTreeSet<u32>, u16)>,
    viewers_left: BTreeSet<SessionId>,
    answers: BTreeMap<SessionId, (Answer, Ms)>,
    setups: BTreeMap<SessionId, Vec<(u32, Ms)>>,
    /// Sessions with a SETUP that may have taken effect: it was sent, and nothing proves that it was refused.
    may_have_run: BTreeSet<SessionId>,
    server_states: BTreeMap<u32, ServerState>,
}

impl Environment {
    fn new() -> Self {
        let mut environment = Environment {
            manager: SessionManager::new(settings(), TIMEOUTS, 3, 0.0),
            now: 0.0,
            next_id: 1,
            opening: BTreeSet::new(),
            open: BTreeSet::new(),
            unanswered: Vec::new(),
            playing: BTreeMap::new(),
            requests: BTreeMap::new(),
            viewers_left: BTreeSet::new(),
            answers: BTreeMap::new(),
            setups: BTreeMap::new(),
            may_have_run: BTreeSet::new(),
            server_states: (0..BOX_COUNT).map(|id| (id, ServerState::Ready)).collect(),
        };
        environment
            .manager
            .replace_server_list((0..BOX_COUNT).map(|id| endpoint(id, ServerState::Ready)).collect(), 0.0);
        environment.process_due();
        environment
    }

    fn process_due(&mut self) {
        self.manager.process_due(self.now);
        for action in self.manager.take_actions() {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: IoAction<SessionId>) {
        match action {
            IoAction::Connect { server, conn, address } => {
                assert_eq!(address.port(), 1_000 + server.0 as u16);
                assert!(!self.open.iter().any(|(s, _)| *s == server.0), "a second connection to {server:?}");
                self.opening.insert((server.0, conn));
            }
            IoAction::Close { server, conn } => self.connection_gone(server.0, conn),
            IoAction::Send { server, conn, cseq, request } => {
                assert!(self.open.contains(&(server.0, conn)), "sent on a connection that is not open");
                let setup = match request {
                    ServerRequest::Setup { id, context, .. } => {
                        assert_eq!(id, *context);
                        self.check_setup(id, server.0);
                        Some(id)
                    }
                    ServerRequest::Teardown { session } => {
                        self.playing.remove(&session);
                        None
                    }
                    _ => None,
                };
                self.unanswered.push((server.0, conn, cseq, setup));
            }
            IoAction::Answer { id, answer, .. } => {
                assert!(!self.viewers_left.contains(&id), "an answer to a viewer that left");
                assert!(self.answers.insert(id, (answer, self.now)).is_none(), "answered twice: {id:?}");
                if matches!(answer, Answer::Busy { .. }) && self.requests[&id].2 == 1 {
                    assert!(
                        !self.may_have_run.contains(&id),
                        "a busy reply though a SETUP that must not be repeated may have run"
                    );
                }
            }
            IoAction::Log(_) => {}
        }
    }

    fn check_setup(&mut self, id: SessionId, server: u32) {
        let (_, holders, group) = &self.requests[&id];
        assert!(holders.contains(&server), "sent to a box that the request did not name");
        assert_eq!(self.server_states[&server], ServerState::Ready, "sent to a box that is not ready");
        assert!(!self.answers.contains_key(&id) && !self.viewers_left.contains(&id), "sent after the answer");
        assert!(
            *group == 0 || !self.may_have_run.contains(&id),
            "a session that must not be repeated was set up twice"
        );
        let setups = self.setups.entry(id).or_default();
        setups.push((server, self.now));
        assert!(setups.len() <= 3, "{} SETUPs", setups.len());
        self.may_have_run.insert(id);
    }

    /// Removes a connection with its messages and sessions.
    fn connection_gone(&mut self, server: u32, conn: u64) {
        self.open.remove(&(server, conn));
        self.opening.remove(&(server, conn));
        self.unanswered.retain(|message| (message.0, message.1) != (server, conn));
        self.playing.retain(|_, session| (session.0, session.1) != (server, conn));
    }

    fn pick<T: Clone>(items: impl Iterator<Item = T>, index: usize) -> Option<T> {
        let items: Vec<T> = items.collect();
        (!items.is_empty()).then(|| items[index % items.len()].clone())
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Request { group, holders } => {
                let id = SessionId(self.next_id);
                self.next_id += 1;
                let holder_ids: BTreeSet<u32> = (0..BOX_COUNT).filter(|b| holders >> b & 1 == 1).collect();
                self.requests.insert(id, (self.now, holder_ids.clone(), group));
                let request = SessionRequest {
                    group: GroupIndex(group),
                    title: TitleId(u64::from(holders)),
                    holders: holder_ids.into_iter().map(ServerId).collect(),
                    rates_kb_per_s: None,
                    highest_rung: 1,
                    time_left: VIEWER_WAIT,
                };
                self.manager.add_request(id, request, id, self.now);
            }
            Event::ViewerLeaves(index) => {
                let waiting = self.requests.keys().filter(|id| !self.answers.contains_key(id)).copied();
                if let Some(id) = Self::pick(waiting, index) {
                    self.viewers_left.insert(id);
                    self.manager.viewer_left(id, self.now);
                }
            }
            Event::ConnectionOpens(index) => {
                if let Some((server, conn)) = Self::pick(self.opening.iter().copied(), index) {
                    self.opening.remove(&(server, conn));
                    if self.manager.connection_opened(ServerId(server), conn, self.now) {
                        self.open.insert((server, conn));
                    }
                }
            }
            Event::ConnectionFails(index) => {
                if let Some((server, conn)) = Self::pick(self.opening.iter().copied(), index) {
                    self.opening.remove(&(server, conn));
                    self.manager.connection_failed(ServerId(server), conn, self.now);
                }
            }
            Event::ConnectionCloses { index, begun } => {
                if let Some((server, conn)) = Self::pick(self.open.iter().copied(), index) {
                    let unsent: Vec<SessionId> = self
                        .unanswered
                        .iter()
                        .filter(|message| (message.0, message.1) == (server, conn) && message.2 > begun)
                        .filter_map(|message| message.3)
                        .collect();
                    self.setups_refused(&unsent);
                    self.connection_gone(server, conn);
                    self.manager.connection_closed(ServerId(server), conn, begun, self.now);
                }
            }
            Event::Response { index, result } => {
                let Some((server, conn, cseq, setup)) = Self::pick(self.unanswered.iter().copied(), index)
                else {
                    return;
                };
                self.unanswered.retain(|message| (message.0, message.1, message.2) != (server, conn, cseq));
                let session = format!("{server}-{conn}-{cseq}");
                let status = match result {
                    0 => ResponseStatus::Busy,
                    1 => ResponseStatus::Error,
                    _ => ResponseStatus::Success { session: setup.map(|_| session.clone()) },
                };
                match (&status, setup) {
                    (ResponseStatus::Success { .. }, Some(id)) => {
                        self.playing.insert(session, (server, conn, id));
                    }
                    (ResponseStatus::Busy, Some(id)) => self.setups_refused(&[id]),
                    _ => {}
                }
                let report = LoadReport {
                    streams: Some(f64::from(result)),
                    link_use: Some(0.2 * f64::from(result)),
                    uplink_use: None,
                };
                let message = ServerMessage::Response { cseq, status, report };
                self.manager.message_received(ServerId(server), conn, message, self.now);
            }
            Event::UnknownResponse { index, cseq } => {
                if let Some((server, conn)) = Self::pick(self.open.iter().copied(), index) {
                    if self
                        .unanswered
                        .iter()
                        .any(|message| (message.0, message.1, message.2) == (server, conn, cseq))
                    {
                        return;
                    }
                    let status = ResponseStatus::Success { session: Some("made up".into()) };
                    let message = ServerMessage::Response { cseq, status, report: LoadReport::default() };
                    self.manager.message_received(ServerId(server), conn, message, self.now);
                }
            }
            Event::SessionEnds(index) => {
                if let Some(name) = Self::pick(self.playing.keys().cloned(), index) {
                    let (server, conn, _) = self.playing.remove(&name).unwrap();
                    self.manager.message_received(
                        ServerId(server),
                        conn,
                        ServerMessage::SessionEnded { session: name },
                        self.now,
                    );
                }
            }
            Event::ServerChanges { id, state } => {
                let state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][state as usize];
                self.server_states.insert(id, state);
                self.manager.update_servers(vec![endpoint(id, state)], self.now);
            }
            Event::ListReplaced(mask) => {
                let listed: Vec<u32> = (0..BOX_COUNT).filter(|b| mask >> b & 1 == 1).collect();
                for id in 0..BOX_COUNT {
                    let state = if listed.contains(&id) { ServerState::Ready } else { ServerState::Gone };
                    self.server_states.insert(id, state);
                }
                self.manager.replace_server_list(
                    listed.into_iter().map(|id| endpoint(id, ServerState::Ready)).collect(),
                    self.now,
                );
            }
            Event::TimePasses(duration) => self.wait(duration),
        }
        self.process_due();
    }

    /// The last SETUPs of these sessions certainly did not take effect. That does not undo an earlier SETUP; sessions of
    /// group 1 have no earlier one that may have taken effect, which `check_setup` asserts.
    fn setups_refused(&mut self, ids: &[SessionId]) {
        for id in ids {
            if self.requests[id].2 == 1 {
                self.may_have_run.remove(id);
            }
        }
    }

    /// Lets time pass and calls the session manager whenever it asked for it.
    fn wait(&mut self, duration: Ms) {
        let until = self.now + duration;
        loop {
            let next = self.manager.next_call_at(self.now);
            if next > until {
                break;
            }
            self.now = next.max(self.now + 0.01);
            self.process_due();
        }
        self.now = until;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn every_request_gets_one_answer_in_time(events in events()) {
        let mut environment = Environment::new();
        for event in events {
            environment.apply(event);
        }
        environment.wait(VIEWER_WAIT + 1.0);
        environment.process_due();
        for (id, (arrived_at, ..)) in &environment.requests {
            match environment.answers.get(id) {
                Some((_, at)) => {
                    prop_assert!(
                        *at <= arrived_at + VIEWER_WAIT,
                        "{id:?} answered after {}",
                        at - arrived_at
                    )
                }
                None => prop_assert!(environment.viewers_left.contains(id), "{id:?} has no answer"),
            }
        }
        prop_assert_eq!(environment.manager.unanswered_count(), 0);
        // Sessions that the session manager does not know of were torn down at their boxes.
        prop_assert_eq!(environment.manager.playing_count(), environment.playing.len());
    }
}

fn add_request(environment: &mut Environment) -> SessionId {
    let id = SessionId(environment.next_id);
    environment.apply(Event::Request { group: 0, holders: 15 });
    id
}

fn open_all(environment: &mut Environment) {
    while !environment.opening.is_empty() {
        environment.apply(Event::ConnectionOpens(0));
    }
}

/// Answers the probes that a session waits for until its SETUP is sent; returns the position of the SETUP among the
/// unanswered messages.
fn answer_probes_until_setup(environment: &mut Environment, id: SessionId) -> usize {
    for _ in 0..10 {
        if let Some(position) = environment.unanswered.iter().position(|message| message.3 == Some(id)) {
            return position;
        }
        let probe = environment
            .unanswered
            .iter()
            .position(|message| message.3.is_none())
            .expect("no probe is unanswered");
        environment.apply(Event::Response { index: probe, result: 2 });
        environment.wait(1.0);
    }
    panic!("no SETUP");
}

#[test]
fn after_a_stall_received_answers_are_handled_before_timeouts() {
    let mut environment = Environment::new();
    open_all(&mut environment);
    let id = add_request(&mut environment);
    let position = answer_probes_until_setup(&mut environment, id);
    // Suspended for longer than the SETUP's time-out, with the answer unread in the socket.
    environment.now += 900.0;
    environment.process_due();
    assert_eq!(environment.setups[&id].len(), 1, "a time-out fired at the wake-up");
    environment.now += 5.0;
    environment.apply(Event::Response { index: position, result: 2 });
    assert!(matches!(environment.answers[&id].0, Answer::Playing { .. }));
    assert_eq!(environment.manager.playing_count(), 1);
}

#[test]
fn a_box_that_stays_silent_after_a_stall_is_timed_out() {
    let mut environment = Environment::new();
    open_all(&mut environment);
    let id = add_request(&mut environment);
    answer_probes_until_setup(&mut environment, id);
    environment.now += 900.0;
    environment.process_due();
    environment.wait(100.0);
    assert_eq!(environment.setups[&id].len(), 2);
}

#[test]
fn the_session_of_a_late_answer_is_torn_down_and_never_plays() {
    let mut environment = Environment::new();
    open_all(&mut environment);
    let id = add_request(&mut environment);
    let (server, conn, cseq, _) = {
        let position = answer_probes_until_setup(&mut environment, id);
        environment.unanswered[position]
    };
    environment.wait(700.0);
    let late = environment
        .unanswered
        .iter()
        .position(|message| (message.0, message.1, message.2) == (server, conn, cseq))
        .unwrap();
    let playing = environment.manager.playing_count();
    environment.apply(Event::Response { index: late, result: 2 });
    assert_eq!(environment.manager.playing_count(), playing);
    assert!(!environment.playing.contains_key(&format!("{server}-{conn}-{cseq}")), "it was not torn down");
}

#[test]
fn a_silent_connection_with_unanswered_requests_is_closed() {
    let mut environment = Environment::new();
    open_all(&mut environment);
    let id = add_request(&mut environment);
    answer_probes_until_setup(&mut environment, id);
    let open = environment.open.len();
    environment.wait(3.0 * TIMEOUTS.max_silence);
    assert!(environment.open.len() < open, "still open: {:?}", environment.open);
}

#[test]
fn a_session_is_torn_down_when_its_viewer_leaves_before_the_answer_arrives() {
    let mut environment = Environment::new();
    open_all(&mut environment);
    let id = add_request(&mut environment);
    let position = answer_probes_until_setup(&mut environment, id);
    environment.apply(Event::Response { index: position, result: 2 });
    assert_eq!((environment.manager.playing_count(), environment.playing.len()), (1, 1));
    environment.manager.viewer_left(id, environment.now);
    environment.process_due();
    assert_eq!(
        (environment.manager.playing_count(), environment.playing.len()),
        (0, 0),
        "no TEARDOWN was sent"
    );
}

#[test]
fn a_box_with_a_new_address_is_not_excluded_for_failures_at_the_old_one() {
    let mut environment = Environment::new();
    open_all(&mut environment);
    let id = add_request(&mut environment);
    let position = answer_probes_until_setup(&mut environment, id);
    let server = environment.unanswered[position].0;
    environment.apply(Event::Response { index: position, result: 2 });
    let old_endpoint = endpoint(server, ServerState::Ready);
    let started_at = Some(environment.now);
    let new_endpoint = ServerEndpoint {
        entry: ListEntry { started_at, ..old_endpoint.entry },
        control_address: SocketAddr::from(([127, 0, 0, 2], old_endpoint.control_address.port())),
    };
    environment.manager.update_servers(vec![new_endpoint], environment.now);
    environment.manager.process_due(environment.now);
    let actions: Vec<String> =
        environment.manager.take_actions().iter().map(|action| format!("{action:?}")).collect();
    assert!(actions.iter().any(|action| action.starts_with("Close")), "{actions:?}");
    assert_eq!(environment.manager.playing_count(), 0, "the session at the old address has not ended");
    // The engine probes a box that it has excluded, so a probe would show that the new process is excluded.
    let (mut connected, mut probed) = (false, false);
    for step in 1..200 {
        let now = environment.now + 10.0 * f64::from(step);
        environment.manager.process_due(now);
        for action in environment.manager.take_actions() {
            match action {
                IoAction::Connect { server: s, conn, address } if s.0 == server => {
                    assert_eq!(address.ip().to_string(), "127.0.0.2");
                    connected = environment.manager.connection_opened(s, conn, now);
                }
                IoAction::Send { server: s, request: ServerRequest::Probe, .. } => probed |= s.0 == server,
                _ => {}
            }
        }
    }
    assert!(connected && !probed, "connected {connected}, probed {probed}");
}
