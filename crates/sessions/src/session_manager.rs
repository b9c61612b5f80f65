//! Runs the sessions and control connections of a live front. Events come in by calls, each with its time: requests of
//! viewers, messages and closes of control connections, changes of the server list. What has to be done comes out as
//! [`IoAction`]s. The session manager is the only writer of all this state. Where a session goes, and what follows an
//! outcome, is decided by the [`DecisionEngine`]; the session manager only reports the outcomes to it.
use crate::connection::{ConnectionState, ControlConnection, RequestKind, SendResult};
use crate::engine::{Action, DecisionEngine};
use crate::stall_detector::StallDetector;
use crate::timer_queue::TimerQueue;
use std::collections::BTreeMap;
use std::sync::Arc;
use walnutline::api::{Holders, Request, SetupOutcome};
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline::settings::{PolicySettings, ReportColumn};

pub use crate::api::*;

/// What a timer is for.
enum Timer {
    /// A request was not answered in time.
    Answer { server: ServerId, conn: u64, cseq: u32 },
    /// A request waited too long for its connection to open.
    Queued { server: ServerId, ticket: u64 },
    /// The delay before the next attempt to connect is over.
    Reconnect { server: ServerId },
    /// A connection did not open in time.
    Connecting { server: ServerId, conn: u64 },
    /// An open connection is to be checked for silence.
    Silence { server: ServerId, conn: u64 },
}

/// A session from its request to its end. `T` is the context that the caller keeps with it.
struct ManagedSession<T> {
    context: Arc<T>,
    /// Whether the viewer still waits for its answer.
    awaits_answer: bool,
    /// Its SETUP, while one is queued or unanswered.
    setup: Option<OutstandingSetup>,
    /// Where it plays, and the box's name for it.
    playing: Option<(ServerId, String)>,
}

#[derive(Debug, Clone, Copy)]
struct OutstandingSetup {
    server: ServerId,
    /// Its sequence number, once it was sent.
    cseq: Option<u32>,
    deadline: Ms,
}

/// The sessions and control connections of a front. `T` is the context that the caller keeps with a session.
pub struct SessionManager<T> {
    engine: DecisionEngine,
    timeouts: Timeouts,
    connections: BTreeMap<ServerId, ControlConnection>,
    sessions: BTreeMap<SessionId, ManagedSession<T>>,
    timers: TimerQueue<Timer>,
    /// When the engine is to be called next.
    engine_call_at: Ms,
    stall_detector: StallDetector,
    rng: fastrand::Rng,
    /// Actions of the engine that are not carried out yet.
    engine_actions: Vec<Action>,
    /// Actions for the caller.
    io_actions: Vec<IoAction<T>>,
}

impl<T> SessionManager<T> {
    /// Creates a session manager without sessions and servers.
    pub fn new(settings: PolicySettings, timeouts: Timeouts, seed: u64, now: Ms) -> Self {
        SessionManager {
            engine: DecisionEngine::new(settings, seed, now),
            timeouts,
            connections: BTreeMap::new(),
            sessions: BTreeMap::new(),
            timers: TimerQueue::default(),
            engine_call_at: now,
            stall_detector: StallDetector::default(),
            // Separate from the engine's generator: connection failures must not change what the engine draws.
            rng: fastrand::Rng::with_seed(!seed),
            engine_actions: Vec::new(),
            io_actions: Vec::new(),
        }
    }

    /// Takes what is to be done, in order. Call it after each round of events and [`SessionManager::process_due`].
    pub fn take_actions(&mut self) -> Vec<IoAction<T>> {
        std::mem::take(&mut self.io_actions)
    }

    /// Number of requests that still wait for their answer.
    pub fn unanswered_count(&self) -> usize {
        self.sessions.values().filter(|s| s.awaits_answer).count()
    }

    /// Number of sessions that play.
    pub fn playing_count(&self) -> usize {
        self.sessions.values().filter(|s| s.playing.is_some()).count()
    }

    // ---- viewers ----

    /// Adds a viewer's request that was admitted.
    pub fn add_request(&mut self, id: SessionId, request: SessionRequest, context: T, now: Ms) {
        self.sessions.insert(
            id,
            ManagedSession { context: Arc::new(context), awaits_answer: true, setup: None, playing: None },
        );
        let request = Request {
            group: request.group,
            title: request.title,
            holders: Holders::named(request.holders),
            rates_kb_per_s: request.rates_kb_per_s,
            highest_rung: request.highest_rung,
            time_left: request.time_left - self.timeouts.answer_margin,
        };
        self.engine.add_request(id, request, now, &mut self.engine_actions);
        self.run_engine_actions(now);
    }

    /// The viewer left before its answer reached it. An outstanding SETUP is abandoned. A session that plays already,
    /// with its answer still on the way, is torn down.
    pub fn viewer_left(&mut self, id: SessionId, now: Ms) {
        let Some(managed) = self.sessions.get_mut(&id) else { return };
        if let Some((server, session)) = managed.playing.clone() {
            if let Some(conn) =
                self.connections.get_mut(&server).and_then(|c| c.remove_session(&session).and(c.open_conn()))
            {
                self.send(server, conn, RequestKind::Other, ServerRequest::Teardown { session });
            }
            self.session_ended(id, SetupOutcome::Withdrawn, now);
            return self.run_engine_actions(now);
        }
        managed.awaits_answer = false;
        let setup = managed.setup.take();
        self.engine.viewer_left(id);
        if let Some(setup) = setup {
            if let Some(connection) = self.connections.get_mut(&setup.server) {
                match setup.cseq {
                    Some(cseq) => drop(connection.abandon(cseq)),
                    None => drop(connection.cancel_queued_setup(id)),
                }
            }
            self.engine.after_outcome(id, SetupOutcome::Withdrawn, true, now, &mut self.engine_actions);
        }
        self.sessions.remove(&id);
        self.run_engine_actions(now);
    }

    /// Where a session plays and at which rung, for a renewed manifest; `None` once it has ended.
    pub fn playing_session(&self, id: SessionId) -> Option<(ServerId, u8, Arc<T>)> {
        let managed = self.sessions.get(&id)?;
        let (server, _) = managed.playing.as_ref()?;
        Some((*server, self.engine.session_table.sessions.get(&id)?.rung, managed.context.clone()))
    }

    // ---- additional probes ----

    /// When the use of a box's link was last measured. `None` for a box that is not ready, or that the engine has
    /// excluded: the engine probes those itself.
    pub fn link_measured_at(&self, server: ServerId) -> Option<Ms> {
        let record = self.engine.state.fleet.servers.get(&server)?;
        (record.entry.state == ServerState::Ready && record.failures == 0)
            .then(|| record.link_use.map_or(Ms::NEG_INFINITY, |measurement| measurement.measured_at))
    }

    /// Probes boxes in addition to those that the engine probes; the engine gets the answers to these too.
    pub fn probe_servers(&mut self, servers: Vec<ServerId>, now: Ms) {
        servers.into_iter().for_each(|server| self.probe(server, now));
        self.run_engine_actions(now);
    }

    // ---- the server list ----

    /// Replaces the server list: boxes that are not in it are gone.
    pub fn replace_server_list(&mut self, endpoints: Vec<ServerEndpoint>, now: Ms) {
        endpoints.iter().for_each(|endpoint| self.close_if_moved(endpoint, now));
        self.engine.replace_server_list(endpoints.iter().map(|e| e.entry.clone()).collect());
        self.connections.values_mut().for_each(|connection| connection.server_state = ServerState::Gone);
        endpoints.into_iter().for_each(|endpoint| self.update_connection(endpoint, now));
        self.fail_queued_setups(now);
        self.close_unused_connections();
        self.run_engine_actions(now);
    }

    /// Records changed entries of the server list.
    pub fn update_servers(&mut self, endpoints: Vec<ServerEndpoint>, now: Ms) {
        for endpoint in endpoints {
            self.close_if_moved(&endpoint, now);
            self.engine.update_server(endpoint.entry.clone());
            self.update_connection(endpoint, now);
        }
        self.fail_queued_setups(now);
        self.close_unused_connections();
        self.run_engine_actions(now);
    }

    /// A box with another address is another process. What was outstanding at the old one ends before the engine
    /// gets the new entry; otherwise the failures of the old process would count against the new one.
    fn close_if_moved(&mut self, endpoint: &ServerEndpoint, now: Ms) {
        let server = endpoint.entry.id;
        let Some(connection) =
            self.connections.get_mut(&server).filter(|c| c.address != endpoint.control_address)
        else {
            return;
        };
        connection.address = endpoint.control_address;
        if let ConnectionState::Connecting { conn } | ConnectionState::Open { conn } = connection.state {
            self.io_actions.push(IoAction::Close { server, conn });
            self.connection_closed(server, conn, u32::MAX, now);
        }
    }

    /// Records the state of a box, and connects to it if it is not gone and no delay has to be waited for.
    fn update_connection(&mut self, endpoint: ServerEndpoint, now: Ms) {
        let server = endpoint.entry.id;
        let connection = self
            .connections
            .entry(server)
            .or_insert_with(|| ControlConnection::new(endpoint.control_address, endpoint.entry.state));
        connection.server_state = endpoint.entry.state;
        if connection.server_state != ServerState::Gone
            && matches!(connection.state, ConnectionState::Idle { until } if until <= now)
        {
            self.connect(server, now);
        }
    }

    /// SETUPs that are queued for a box that is no longer ready are never sent: the connection may open after the
    /// grace period for draining boxes is over.
    fn fail_queued_setups(&mut self, now: Ms) {
        let not_ready = self.connections.iter_mut().filter(|(_, c)| c.server_state != ServerState::Ready);
        let queued: Vec<_> = not_ready.map(|(server, c)| (*server, c.take_queued_setups())).collect();
        for (server, setups) in queued {
            setups
                .into_iter()
                .for_each(|kind| self.request_ended(server, kind, SetupOutcome::NeverSent, now));
        }
    }

    /// Closes connections to boxes that are gone and have nothing outstanding.
    fn close_unused_connections(&mut self) {
        let gone = self.connections.iter().filter(|(_, c)| c.server_state == ServerState::Gone);
        for server in gone.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.close_if_unused(server);
        }
    }

    fn close_if_unused(&mut self, server: ServerId) {
        let Some(connection) = self.connections.get_mut(&server) else { return };
        if let (ServerState::Gone, Some(conn), true) =
            (connection.server_state, connection.open_conn(), connection.is_unused())
        {
            connection.state = ConnectionState::Idle { until: Ms::NEG_INFINITY };
            self.io_actions.push(IoAction::Close { server, conn });
        }
    }

    // ---- control connections ----

    fn connect(&mut self, server: ServerId, now: Ms) {
        let Some(connection) = self.connections.get_mut(&server) else { return };
        let conn = connection.begin_connect();
        connection.silent_since = now;
        self.timers.schedule(now + self.timeouts.connect, Timer::Connecting { server, conn });
        self.io_actions.push(IoAction::Connect { server, conn, address: connection.address });
    }

    /// A connection opened. Returns whether it is still wanted; if not, the caller closes it.
    pub fn connection_opened(&mut self, server: ServerId, conn: u64, now: Ms) -> bool {
        let Some(connection) = self.connections.get_mut(&server).filter(|c| c.is_current(conn)) else {
            return false;
        };
        connection.silent_since = now;
        for (kind, cseq) in connection.opened(conn) {
            let deadline = match &kind {
                // A SETUP that was queued keeps the deadline that it was given.
                RequestKind::Setup(id) => {
                    self.sessions.get(id).and_then(|s| s.setup).map_or(now, |setup| setup.deadline)
                }
                _ => now + self.timeouts.probe,
            };
            self.send_numbered(server, conn, cseq, kind, deadline);
        }
        self.schedule_silence_check(server, conn);
        self.run_engine_actions(now);
        true
    }

    /// A connection could not be opened, or not in time.
    pub fn connection_failed(&mut self, server: ServerId, conn: u64, now: Ms) {
        let Some(connection) = self.connections.get_mut(&server).filter(|c| c.is_current(conn)) else {
            return;
        };
        let until = now + connection.backoff.next_delay(&mut self.rng);
        for kind in connection.connect_failed(until) {
            self.request_ended(server, kind, SetupOutcome::NoConnection, now);
        }
        self.timers.schedule(until, Timer::Reconnect { server });
        self.run_engine_actions(now);
    }

    /// A connection closed. `begun` is the number of requests that had begun to be written; `u32::MAX` if all of them
    /// may have been.
    pub fn connection_closed(&mut self, server: ServerId, conn: u64, begun: u32, now: Ms) {
        let Some(connection) = self.connections.get_mut(&server).filter(|c| c.is_current(conn)) else {
            return;
        };
        let until = now + connection.backoff.next_delay(&mut self.rng);
        let closed = connection.closed(begun, until);
        for (kind, outcome) in closed.requests {
            self.request_ended(server, kind, outcome, now);
        }
        for id in closed.sessions {
            self.session_ended(id, SetupOutcome::Broken, now);
        }
        self.timers.schedule(until, Timer::Reconnect { server });
        self.run_engine_actions(now);
    }

    /// A message of a box was received on a connection.
    pub fn message_received(&mut self, server: ServerId, conn: u64, message: ServerMessage, now: Ms) {
        let Some(connection) = self.connections.get_mut(&server).filter(|c| c.open_conn() == Some(conn))
        else {
            return;
        };
        connection.silent_since = now;
        match message {
            ServerMessage::Response { cseq, status, report } => {
                self.response_received(server, conn, cseq, status, report, now)
            }
            ServerMessage::DeliveredShare(share) => self.engine.record_delivered_share(server, share, now),
            ServerMessage::LoadReport(report) => self.record_report(server, report, now),
            ServerMessage::SessionEnded { session } => {
                if let Some(id) = connection.remove_session(&session) {
                    self.session_ended(id, SetupOutcome::Done, now);
                }
            }
        }
        self.run_engine_actions(now);
    }

    fn response_received(
        &mut self,
        server: ServerId,
        conn: u64,
        cseq: u32,
        status: ResponseStatus,
        report: LoadReport,
        now: Ms,
    ) {
        let Some(connection) = self.connections.get_mut(&server) else { return };
        let Some(request) = connection.take_answered(cseq) else { return };
        match (request.kind, status) {
            // A session whose SETUP was abandoned must not play.
            (RequestKind::Setup(_), ResponseStatus::Success { session: Some(session) })
                if request.abandoned =>
            {
                self.send(server, conn, RequestKind::Other, ServerRequest::Teardown { session });
            }
            (RequestKind::Setup(id), ResponseStatus::Success { session: Some(session) }) => {
                self.session_started(id, server, session, now);
                self.record_report(server, report, now);
            }
            (RequestKind::Setup(id), status) if !request.abandoned => {
                // A success that names no session counts as an error: the SETUP may have taken effect.
                let outcome = if status == ResponseStatus::Busy {
                    SetupOutcome::BusyReplied
                } else {
                    SetupOutcome::Errored
                };
                self.request_ended(server, RequestKind::Setup(id), outcome, now);
                self.record_report(server, report, now);
            }
            (RequestKind::Probe, status) if !request.abandoned => {
                let outcome = match status {
                    ResponseStatus::Success { .. } => SetupOutcome::Done,
                    ResponseStatus::Busy => SetupOutcome::BusyReplied,
                    ResponseStatus::Error => SetupOutcome::Errored,
                };
                self.record_report(server, report, now);
                self.engine.probe_finished(server, outcome, now);
            }
            _ => {}
        }
    }

    fn record_report(&mut self, server: ServerId, report: LoadReport, now: Ms) {
        if report == LoadReport::default() {
            return;
        }
        let value = |column: &ReportColumn| match column {
            ReportColumn::Streams => report.streams,
            ReportColumn::Link => report.link_use,
            ReportColumn::Uplink => report.uplink_use,
            ReportColumn::Other => None,
        };
        // The engine skips values that are not finite, so NaN stands for those that were not reported.
        let values: Vec<f64> =
            self.engine.state.settings.report_columns.iter().map(|c| value(c).unwrap_or(f64::NAN)).collect();
        self.engine.record_report(server, &values, now);
    }

    // ---- sessions ----

    fn session_started(&mut self, id: SessionId, server: ServerId, session: String, now: Ms) {
        let Some(managed) = self.sessions.get_mut(&id) else { return };
        (managed.setup, managed.playing, managed.awaits_answer) =
            (None, Some((server, session.clone())), false);
        let context = managed.context.clone();
        if let Some(connection) = self.connections.get_mut(&server) {
            connection.add_session(session, id);
        }
        self.engine.session_started(id, now);
        let rung = self.engine.session_table.sessions.get(&id).map_or(0, |s| s.rung);
        self.io_actions.push(IoAction::Answer { id, context, answer: Answer::Playing { server, rung } });
    }

    /// Reports the outcome of a request that is no longer outstanding.
    fn request_ended(&mut self, server: ServerId, kind: RequestKind, outcome: SetupOutcome, now: Ms) {
        match kind {
            RequestKind::Setup(id) => {
                if let Some(managed) = self.sessions.get_mut(&id) {
                    managed.setup = None;
                    self.engine.after_outcome(id, outcome, false, now, &mut self.engine_actions);
                }
            }
            RequestKind::Probe => self.engine.probe_finished(server, outcome, now),
            RequestKind::Other => {}
        }
    }

    /// Removes a session that played and reports how it ended.
    fn session_ended(&mut self, id: SessionId, outcome: SetupOutcome, now: Ms) {
        let Some(managed) = self.sessions.remove(&id) else { return };
        self.engine.after_outcome(id, outcome, true, now, &mut self.engine_actions);
        if let Some((server, _)) = managed.playing {
            self.close_if_unused(server);
        }
    }

    /// Removes a session that was not set up and answers its viewer.
    fn answer_without_session(&mut self, id: SessionId, answer: Answer) {
        let Some(managed) = self.sessions.remove(&id) else { return };
        if managed.awaits_answer {
            self.io_actions.push(IoAction::Answer { id, context: managed.context, answer });
        }
    }

    /// Carries out the actions of the engine, also those that follow from an outcome that is known at once.
    fn run_engine_actions(&mut self, now: Ms) {
        let mut next = 0;
        while next < self.engine_actions.len() {
            let action = self.engine_actions[next].clone();
            next += 1;
            match action {
                Action::Setup { id, server, timeout, .. } => self.setup(id, server, timeout, now),
                Action::SetRung { id, rung } => self.set_rung(id, rung),
                Action::Probe { server } => self.probe(server, now),
                Action::BusyReply { id, retry_after } => {
                    self.answer_without_session(id, Answer::Busy { retry_after })
                }
                Action::TornDown { id } => self.answer_without_session(id, Answer::TornDown),
                // Live fronts do not send each other messages, and the list comes by its own event stream.
                Action::SendPeerReports(_) | Action::RequestList => {}
                Action::Log(line) => self.io_actions.push(IoAction::Log(line)),
                Action::CallAt(at) => self.engine_call_at = at,
            }
        }
        self.engine_actions.clear();
    }

    fn setup(&mut self, id: SessionId, server: ServerId, timeout: Ms, now: Ms) {
        let Some(connection) = self.connections.get_mut(&server) else {
            return self.request_ended(server, RequestKind::Setup(id), SetupOutcome::NoConnection, now);
        };
        debug_assert!(
            self.sessions.get(&id).is_none_or(|s| s.setup.is_none()),
            "second SETUP while one is outstanding for {id:?}"
        );
        let deadline = now + timeout;
        match connection.send(RequestKind::Setup(id)) {
            SendResult::Sent { conn, cseq } => {
                self.send_numbered(server, conn, cseq, RequestKind::Setup(id), deadline)
            }
            SendResult::Queued { ticket } => {
                self.timers.schedule(deadline, Timer::Queued { server, ticket });
                if let Some(managed) = self.sessions.get_mut(&id) {
                    managed.setup = Some(OutstandingSetup { server, cseq: None, deadline });
                }
            }
            SendResult::NotConnected => {
                self.request_ended(server, RequestKind::Setup(id), SetupOutcome::NoConnection, now)
            }
        }
    }

    fn probe(&mut self, server: ServerId, now: Ms) {
        let Some(connection) = self.connections.get_mut(&server) else { return };
        // A probe of a box without a connection tries to open one, also before the backoff delay is over.
        if matches!(connection.state, ConnectionState::Idle { .. })
            && connection.server_state != ServerState::Gone
        {
            self.connect(server, now);
        }
        let Some(connection) = self.connections.get_mut(&server) else { return };
        match connection.send(RequestKind::Probe) {
            SendResult::Sent { conn, cseq } => {
                self.send_numbered(server, conn, cseq, RequestKind::Probe, now + self.timeouts.probe)
            }
            SendResult::Queued { ticket } => {
                self.timers.schedule(now + self.timeouts.probe, Timer::Queued { server, ticket })
            }
            SendResult::NotConnected => self.engine.probe_finished(server, SetupOutcome::NoConnection, now),
        }
    }

    /// Sends a SETUP or probe under its sequence number; its answer is waited for until the deadline.
    fn send_numbered(&mut self, server: ServerId, conn: u64, cseq: u32, kind: RequestKind, deadline: Ms) {
        let request = match kind {
            RequestKind::Setup(id) => {
                let rung = self.engine.session_table.sessions.get(&id).map_or(0, |s| s.rung);
                let Some(managed) = self.sessions.get_mut(&id) else { return };
                managed.setup = Some(OutstandingSetup { server, cseq: Some(cseq), deadline });
                ServerRequest::Setup { id, context: managed.context.clone(), rung }
            }
            RequestKind::Probe => ServerRequest::Probe,
            RequestKind::Other => return,
        };
        self.timers.schedule(deadline, Timer::Answer { server, conn, cseq });
        self.io_actions.push(IoAction::Send { server, conn, cseq, request });
    }

    fn set_rung(&mut self, id: SessionId, rung: u8) {
        let Some((server, session)) = self.sessions.get(&id).and_then(|s| s.playing.clone()) else { return };
        let Some(conn) = self.connections.get(&server).and_then(ControlConnection::open_conn) else { return };
        self.send(server, conn, RequestKind::Other, ServerRequest::SetRung { session, rung });
    }

    fn send(&mut self, server: ServerId, conn: u64, kind: RequestKind, request: ServerRequest<T>) {
        let Some(connection) = self.connections.get_mut(&server) else { return };
        if let SendResult::Sent { cseq, .. } = connection.send(kind) {
            self.io_actions.push(IoAction::Send { server, conn, cseq, request });
        }
    }

    // ---- time ----

    /// When [`SessionManager::process_due`] is to be called next at the latest.
    pub fn next_call_at(&self, now: Ms) -> Ms {
        let deferred_until = self.stall_detector.timeouts_deferred_until(now).unwrap_or(Ms::NEG_INFINITY);
        self.timers
            .next_due_at()
            .map_or(self.engine_call_at, |t| t.max(deferred_until).min(self.engine_call_at))
    }

    /// Does what is due. Call it after each round of events and at [`SessionManager::next_call_at`].
    pub fn process_due(&mut self, now: Ms) {
        if let Some(late_by) = self.stall_detector.record_wakeup(now) {
            self.io_actions.push(IoAction::Log(format!("stalled for={late_by:.0}")));
        }
        if self.stall_detector.timeouts_deferred_until(now).is_none() {
            while let Some(timer) = self.timers.pop_due(now) {
                self.handle_timer(timer, now);
            }
        }
        self.run_engine_actions(now);
        self.engine.timer_fired(now);
        // A session that was placed and then held again waits for a probe or a time that only the next call returns.
        // In the simulator the next batch brings that call within milliseconds; a live front may have no other event
        // for long.
        if self.engine.process_due(now, &mut self.engine_actions) {
            self.engine.process_due(now, &mut self.engine_actions);
        }
        self.run_engine_actions(now);
        self.stall_detector.expect_wakeup_at(self.next_call_at(now));
    }

    fn handle_timer(&mut self, timer: Timer, now: Ms) {
        match timer {
            Timer::Answer { server, conn, cseq } => {
                let Some(connection) =
                    self.connections.get_mut(&server).filter(|c| c.open_conn() == Some(conn))
                else {
                    return;
                };
                if let Some(kind) = connection.abandon(cseq) {
                    self.request_ended(server, kind, SetupOutcome::TimedOut, now);
                }
            }
            Timer::Queued { server, ticket } => {
                if let Some(kind) = self.connections.get_mut(&server).and_then(|c| c.take_queued(ticket)) {
                    self.request_ended(server, kind, SetupOutcome::NoConnection, now);
                }
            }
            Timer::Reconnect { server } => {
                let Some(connection) = self.connections.get(&server) else { return };
                let is_due = matches!(connection.state, ConnectionState::Idle { until } if until <= now);
                if is_due && connection.server_state != ServerState::Gone {
                    self.connect(server, now);
                }
            }
            // If the connection opens after this, it is no longer wanted.
            Timer::Connecting { server, conn } => {
                let connecting = ConnectionState::Connecting { conn };
                if self.connections.get(&server).is_some_and(|c| c.state == connecting) {
                    self.connection_failed(server, conn, now);
                }
            }
            Timer::Silence { server, conn } => self.check_silence(server, conn, now),
        }
    }

    fn schedule_silence_check(&mut self, server: ServerId, conn: u64) {
        let Some(connection) = self.connections.get(&server) else { return };
        self.timers
            .schedule(connection.silent_since + self.timeouts.max_silence, Timer::Silence { server, conn });
    }

    /// Closes a connection on which requests stay unanswered for too long. Guards against a box that vanished without
    /// closing it: nothing else would ever end the connection. A box that stalls for longer loses its sessions.
    fn check_silence(&mut self, server: ServerId, conn: u64, now: Ms) {
        let Some(connection) = self.connections.get_mut(&server).filter(|c| c.open_conn() == Some(conn))
        else {
            return;
        };
        if !connection.awaits_response() {
            connection.silent_since = now;
        }
        if now - connection.silent_since >= self.timeouts.max_silence {
            self.io_actions.push(IoAction::Log(format!("silent server={}", server.0)));
            self.io_actions.push(IoAction::Close { server, conn });
            self.connection_closed(server, conn, u32::MAX, now);
        } else {
            self.schedule_silence_check(server, conn);
        }
    }
}
