//! The desk in service. Events come in by calls, each with its time: viewers' requests, what control
//! connections say and how they end, the list of boxes. What has to be done comes out as [`IoAction`]s. All state of
//! sessions in hand and of control connections is here and has this one writer. Where a session goes and what
//! follows an outcome is the module's to say; here it is only told which outcome it was.
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
enum Due {
    Answer { server: ServerId, conn: u64, cseq: u32 },
    Waiting { server: ServerId, ticket: u64 },
    Reconnect { server: ServerId },
    Connecting { server: ServerId, conn: u64 },
    Silence { server: ServerId, conn: u64 },
}

struct ManagedSession<T> {
    context: Arc<T>,
    /// Whether the viewer still waits for the answer.
    owed: bool,
    /// Where its SETUP is out and until when, with its number once it went out.
    out: Option<SetupOut>,
    /// Where it plays, and the box's name for it.
    plays: Option<(ServerId, String)>,
}

#[derive(Debug, Clone, Copy)]
struct SetupOut {
    server: ServerId,
    cseq: Option<u32>,
    until: Ms,
}

pub struct SessionManager<T> {
    engine: DecisionEngine,
    waits: Timeouts,
    links: BTreeMap<ServerId, ControlConnection>,
    sess: BTreeMap<SessionId, ManagedSession<T>>,
    timers: TimerQueue<Due>,
    engine_call_at: Ms,
    stall: StallDetector,
    rng: fastrand::Rng,
    actions: Vec<Action>,
    dos: Vec<IoAction<T>>,
}

impl<T> SessionManager<T> {
    pub fn new(terms: PolicySettings, waits: Timeouts, seed: u64, now: Ms) -> Self {
        SessionManager {
            engine: DecisionEngine::new(terms, seed, now),
            waits,
            links: BTreeMap::new(),
            sess: BTreeMap::new(),
            timers: TimerQueue::default(),
            engine_call_at: now,
            stall: StallDetector::default(),
            // Apart from the module's chance: what connections do must not change what it draws.
            rng: fastrand::Rng::with_seed(!seed),
            actions: Vec::new(),
            dos: Vec::new(),
        }
    }

    /// What is to be done, in order; to be taken after each round of events and [`SessionManager::process_due`].
    pub fn take_actions(&mut self) -> Vec<IoAction<T>> {
        std::mem::take(&mut self.dos)
    }

    /// Requests that still wait for their answer.
    pub fn unanswered_count(&self) -> usize {
        self.sess.values().filter(|s| s.owed).count()
    }

    pub fn playing_count(&self) -> usize {
        self.sess.values().filter(|s| s.plays.is_some()).count()
    }

    // ---- viewers ----

    pub fn add_request(&mut self, id: SessionId, ask: SessionRequest, of: T, now: Ms) {
        self.sess.insert(id, ManagedSession { context: Arc::new(of), owed: true, out: None, plays: None });
        let request = Request {
            group: ask.group,
            title: ask.title,
            holders: Holders::named(ask.holders),
            rates_kb_per_s: ask.rates_kb_per_s,
            highest_rung: ask.highest_rung,
            time_left: ask.time_left - self.waits.answer_margin,
        };
        self.engine.add_request(id, request, now, &mut self.actions);
        self.settle(now);
    }

    /// The viewer left before its answer reached it: its SETUP, if one is out, is not waited for; a session that
    /// plays already, the answer being on its way, is torn down.
    pub fn viewer_left(&mut self, id: SessionId, now: Ms) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        if let Some((server, session)) = s.plays.clone() {
            if let Some(conn) =
                self.links.get_mut(&server).and_then(|l| l.remove_session(&session).and(l.open_conn()))
            {
                self.send(server, conn, RequestKind::Other, ServerRequest::Teardown { session });
            }
            self.over(id, SetupOutcome::Withdrawn, now);
            return self.settle(now);
        }
        s.owed = false;
        let out = s.out.take();
        self.engine.viewer_left(id);
        if let Some(out) = out {
            if let Some(link) = self.links.get_mut(&out.server) {
                match out.cseq {
                    Some(cseq) => drop(link.abandon(cseq)),
                    None => drop(link.cancel_queued_setup(id)),
                }
            }
            self.engine.after_outcome(id, SetupOutcome::Withdrawn, true, now, &mut self.actions);
        }
        self.sess.remove(&id);
        self.settle(now);
    }

    /// Where a session plays and at which rung, for a renewed manifest; `None` once it is over.
    pub fn playing_session(&self, id: SessionId) -> Option<(ServerId, u8, Arc<T>)> {
        let s = self.sess.get(&id)?;
        let (server, _) = s.plays.as_ref()?;
        Some((*server, self.engine.sessions.sessions.get(&id)?.rung, s.context.clone()))
    }

    // ---- news asked for besides ----

    /// When news of a box's link was last heard; `None` for a box that is not ready, or that the decisions have set
    /// aside: those are theirs to try.
    pub fn link_measured_at(&self, server: ServerId) -> Option<Ms> {
        let s = self.engine.state.fleet.servers.get(&server)?;
        (s.entry.state == ServerState::Ready && s.failures == 0)
            .then(|| s.link_use.map_or(Ms::NEG_INFINITY, |seen| seen.measured_at))
    }

    /// Asks boxes for their load, as the decisions do; what they answer goes to these all the same.
    pub fn probe_servers(&mut self, servers: Vec<ServerId>, now: Ms) {
        servers.into_iter().for_each(|server| self.probe(server, now));
        self.settle(now);
    }

    // ---- the list ----

    pub fn replace_server_list(&mut self, lines: Vec<ServerEndpoint>, now: Ms) {
        lines.iter().for_each(|line| self.moved(line, now));
        self.engine.replace_server_list(lines.iter().map(|l| l.entry.clone()).collect());
        self.links.values_mut().for_each(|link| link.server_state = ServerState::Gone);
        lines.into_iter().for_each(|line| self.line(line, now));
        self.call_back(now);
        self.hang_up_gone();
        self.settle(now);
    }

    pub fn update_servers(&mut self, lines: Vec<ServerEndpoint>, now: Ms) {
        for line in lines {
            self.moved(&line, now);
            self.engine.update_server(line.entry.clone());
            self.line(line, now);
        }
        self.call_back(now);
        self.hang_up_gone();
        self.settle(now);
    }

    /// A box that is somewhere else is another process: what was out at the old one ends before the decisions
    /// hear of the new one, or the new one would be judged for it.
    fn moved(&mut self, line: &ServerEndpoint, now: Ms) {
        let server = line.entry.id;
        let Some(link) = self.links.get_mut(&server).filter(|l| l.address != line.control_address) else {
            return;
        };
        link.address = line.control_address;
        if let ConnectionState::Connecting { conn } | ConnectionState::Open { conn } = link.state {
            self.dos.push(IoAction::Close { server, conn });
            self.connection_closed(server, conn, u32::MAX, now);
        }
    }

    fn line(&mut self, line: ServerEndpoint, now: Ms) {
        let server = line.entry.id;
        let link = self
            .links
            .entry(server)
            .or_insert_with(|| ControlConnection::new(line.control_address, line.entry.state));
        link.server_state = line.entry.state;
        if link.server_state != ServerState::Gone
            && matches!(link.state, ConnectionState::Idle { until } if until <= now)
        {
            self.connect(server, now);
        }
    }

    /// SETUPs that wait for a connection to a box that is no longer ready never go out: the connection may open
    /// after the grace for drains is over.
    fn call_back(&mut self, now: Ms) {
        let away = self.links.iter_mut().filter(|(_, link)| link.server_state != ServerState::Ready);
        let back: Vec<_> = away.map(|(server, link)| (*server, link.take_queued_setups())).collect();
        for (server, setups) in back {
            setups.into_iter().for_each(|what| self.ended(server, what, SetupOutcome::NeverSent, now));
        }
    }

    /// Connections to boxes that are gone close once nothing is left on them.
    fn hang_up_gone(&mut self) {
        let gone = self.links.iter().filter(|(_, link)| link.server_state == ServerState::Gone);
        for server in gone.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.hang_up(server);
        }
    }

    fn hang_up(&mut self, server: ServerId) {
        let Some(link) = self.links.get_mut(&server) else { return };
        if let (ServerState::Gone, Some(conn), true) = (link.server_state, link.open_conn(), link.is_unused())
        {
            link.state = ConnectionState::Idle { until: Ms::NEG_INFINITY };
            self.dos.push(IoAction::Close { server, conn });
        }
    }

    // ---- control connections ----

    fn connect(&mut self, server: ServerId, now: Ms) {
        let Some(link) = self.links.get_mut(&server) else { return };
        let conn = link.begin_connect();
        link.last_received_at = now;
        self.timers.schedule(now + self.waits.connect, Due::Connecting { server, conn });
        self.dos.push(IoAction::Connect { server, conn, address: link.address });
    }

    /// A connection opened; `false` where it is not wanted any more.
    pub fn connection_opened(&mut self, server: ServerId, conn: u64, now: Ms) -> bool {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.is_current(conn)) else { return false };
        link.last_received_at = now;
        for (what, cseq) in link.opened(conn) {
            let until = match &what {
                // One that waited for the connection keeps the time-out that it was given.
                RequestKind::Setup(id) => self.sess.get(id).and_then(|s| s.out).map_or(now, |out| out.until),
                _ => now + self.waits.probe,
            };
            self.out(server, conn, cseq, what, until);
        }
        self.watch_silence(server, conn);
        self.settle(now);
        true
    }

    /// The connection could not be opened in time.
    pub fn connection_failed(&mut self, server: ServerId, conn: u64, now: Ms) {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.is_current(conn)) else { return };
        let until = now + link.backoff.next_delay(&mut self.rng);
        for what in link.connect_failed(until) {
            self.ended(server, what, SetupOutcome::NoConnection, now);
        }
        self.timers.schedule(until, Due::Reconnect { server });
        self.settle(now);
    }

    /// A connection closed, after the writing of so many messages had begun.
    pub fn connection_closed(&mut self, server: ServerId, conn: u64, begun: u32, now: Ms) {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.is_current(conn)) else { return };
        let until = now + link.backoff.next_delay(&mut self.rng);
        let ends = link.closed(begun, until);
        for (what, ending) in ends.requests {
            self.ended(server, what, ending, now);
        }
        for id in ends.sessions {
            self.over(id, SetupOutcome::Broken, now);
        }
        self.timers.schedule(until, Due::Reconnect { server });
        self.settle(now);
    }

    pub fn message_received(&mut self, server: ServerId, conn: u64, told: ServerMessage, now: Ms) {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.open_conn() == Some(conn)) else { return };
        link.last_received_at = now;
        match told {
            ServerMessage::Response { cseq, status: outcome, report } => {
                self.reply(server, conn, cseq, outcome, report, now)
            }
            ServerMessage::DeliveredShare(share) => self.engine.record_delivered_share(server, share, now),
            ServerMessage::LoadReport(report) => self.news(server, report, now),
            ServerMessage::SessionEnded { session } => {
                if let Some(id) = link.remove_session(&session) {
                    self.over(id, SetupOutcome::Done, now);
                }
            }
        }
        self.settle(now);
    }

    fn reply(
        &mut self,
        server: ServerId,
        conn: u64,
        cseq: u32,
        outcome: ResponseStatus,
        report: LoadReport,
        now: Ms,
    ) {
        let Some(link) = self.links.get_mut(&server) else { return };
        let Some(out) = link.take_answered(cseq) else { return };
        match (out.kind, outcome) {
            // An answer that comes too late, or that nobody waits for, never plays.
            (RequestKind::Setup(_), ResponseStatus::Success { session: Some(session) }) if out.abandoned => {
                self.send(server, conn, RequestKind::Other, ServerRequest::Teardown { session });
            }
            (RequestKind::Setup(id), ResponseStatus::Success { session: Some(session) }) => {
                self.plays_at(id, server, session, now);
                self.news(server, report, now);
            }
            (RequestKind::Setup(id), outcome) if !out.abandoned => {
                // A SETUP that was done without a session to show for it may have run.
                let ending = if outcome == ResponseStatus::Busy {
                    SetupOutcome::BusyReplied
                } else {
                    SetupOutcome::Errored
                };
                self.ended(server, RequestKind::Setup(id), ending, now);
                self.news(server, report, now);
            }
            (RequestKind::Probe, outcome) if !out.abandoned => {
                let ending = match outcome {
                    ResponseStatus::Success { .. } => SetupOutcome::Done,
                    ResponseStatus::Busy => SetupOutcome::BusyReplied,
                    ResponseStatus::Error => SetupOutcome::Errored,
                };
                self.news(server, report, now);
                self.engine.probe_finished(server, ending, now);
            }
            _ => {}
        }
    }

    fn news(&mut self, server: ServerId, report: LoadReport, now: Ms) {
        if report == LoadReport::default() {
            return;
        }
        let told = |column: &ReportColumn| match column {
            ReportColumn::Streams => report.streams,
            ReportColumn::Link => report.link_use,
            ReportColumn::Uplink => report.uplink_use,
            ReportColumn::Other => None,
        };
        // What was not told is no figure; the module leaves such out.
        let values: Vec<f64> =
            self.engine.state.settings.report_columns.iter().map(|c| told(c).unwrap_or(f64::NAN)).collect();
        self.engine.record_report(server, &values, now);
    }

    // ---- sessions ----

    fn plays_at(&mut self, id: SessionId, server: ServerId, session: String, now: Ms) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        (s.out, s.plays, s.owed) = (None, Some((server, session.clone())), false);
        let context = s.context.clone();
        if let Some(link) = self.links.get_mut(&server) {
            link.add_session(session, id);
        }
        self.engine.session_started(id, now);
        let rung = self.engine.sessions.sessions.get(&id).map_or(0, |s| s.rung);
        self.dos.push(IoAction::Answer { id, context, answer: Answer::Playing { server, rung } });
    }

    /// How a message ended that is out no more.
    fn ended(&mut self, server: ServerId, what: RequestKind, ending: SetupOutcome, now: Ms) {
        match what {
            RequestKind::Setup(id) => {
                if let Some(s) = self.sess.get_mut(&id) {
                    s.out = None;
                    self.engine.after_outcome(id, ending, false, now, &mut self.actions);
                }
            }
            RequestKind::Probe => self.engine.probe_finished(server, ending, now),
            RequestKind::Other => {}
        }
    }

    /// A session that played is over.
    fn over(&mut self, id: SessionId, ending: SetupOutcome, now: Ms) {
        let Some(s) = self.sess.remove(&id) else { return };
        self.engine.after_outcome(id, ending, true, now, &mut self.actions);
        if let Some((server, _)) = s.plays {
            self.hang_up(server);
        }
    }

    fn final_answer(&mut self, id: SessionId, answer: Answer) {
        let Some(s) = self.sess.remove(&id) else { return };
        if s.owed {
            self.dos.push(IoAction::Answer { id, context: s.context, answer });
        }
    }

    /// Acts on what the module answered. An outcome that is known at once leads to the next answer.
    fn settle(&mut self, now: Ms) {
        let mut next = 0;
        while next < self.actions.len() {
            let action = self.actions[next].clone();
            next += 1;
            match action {
                Action::Setup { id, server, timeout, .. } => self.setup(id, server, timeout, now),
                Action::SetRung { id, rung } => self.rung(id, rung),
                Action::Probe { server } => self.probe(server, now),
                Action::BusyReply { id, retry_after } => self.final_answer(id, Answer::Busy { retry_after }),
                Action::TornDown { id } => self.final_answer(id, Answer::TornDown),
                // Fronts of this kind have no way to each other.
                // The list comes by a stream of its own.
                Action::SendPeerReports(_) | Action::RequestList => {}
                Action::Log(line) => self.dos.push(IoAction::Log(line)),
                Action::CallAt(at) => self.engine_call_at = at,
            }
        }
        self.actions.clear();
    }

    fn setup(&mut self, id: SessionId, server: ServerId, timeout: Ms, now: Ms) {
        let Some(link) = self.links.get_mut(&server) else {
            return self.ended(server, RequestKind::Setup(id), SetupOutcome::NoConnection, now);
        };
        debug_assert!(self.sess.get(&id).is_none_or(|s| s.out.is_none()), "two SETUPs out for {id:?}");
        let until = now + timeout;
        match link.send(RequestKind::Setup(id)) {
            SendResult::Sent { conn, cseq } => self.out(server, conn, cseq, RequestKind::Setup(id), until),
            SendResult::Queued { ticket } => {
                self.timers.schedule(until, Due::Waiting { server, ticket });
                if let Some(s) = self.sess.get_mut(&id) {
                    s.out = Some(SetupOut { server, cseq: None, until });
                }
            }
            SendResult::NotConnected => {
                self.ended(server, RequestKind::Setup(id), SetupOutcome::NoConnection, now)
            }
        }
    }

    fn probe(&mut self, server: ServerId, now: Ms) {
        let Some(link) = self.links.get_mut(&server) else { return };
        // A probe to a box without a connection is the time to try one.
        if matches!(link.state, ConnectionState::Idle { .. }) && link.server_state != ServerState::Gone {
            self.connect(server, now);
        }
        let Some(link) = self.links.get_mut(&server) else { return };
        match link.send(RequestKind::Probe) {
            SendResult::Sent { conn, cseq } => {
                self.out(server, conn, cseq, RequestKind::Probe, now + self.waits.probe)
            }
            SendResult::Queued { ticket } => {
                self.timers.schedule(now + self.waits.probe, Due::Waiting { server, ticket })
            }
            SendResult::NotConnected => self.engine.probe_finished(server, SetupOutcome::NoConnection, now),
        }
    }

    /// A SETUP or probe goes out under its number; its answer is waited for until then.
    fn out(&mut self, server: ServerId, conn: u64, cseq: u32, what: RequestKind, until: Ms) {
        let what = match what {
            RequestKind::Setup(id) => {
                let rung = self.engine.sessions.sessions.get(&id).map_or(0, |s| s.rung);
                let Some(s) = self.sess.get_mut(&id) else { return };
                s.out = Some(SetupOut { server, cseq: Some(cseq), until });
                ServerRequest::Setup { id, context: s.context.clone(), rung }
            }
            RequestKind::Probe => ServerRequest::Probe,
            RequestKind::Other => return,
        };
        self.timers.schedule(until, Due::Answer { server, conn, cseq });
        self.dos.push(IoAction::Send { server, conn, cseq, request: what });
    }

    fn rung(&mut self, id: SessionId, rung: u8) {
        let Some((server, session)) = self.sess.get(&id).and_then(|s| s.plays.clone()) else { return };
        let Some(conn) = self.links.get(&server).and_then(ControlConnection::open_conn) else { return };
        self.send(server, conn, RequestKind::Other, ServerRequest::SetRung { session, rung });
    }

    fn send(&mut self, server: ServerId, conn: u64, asked: RequestKind, what: ServerRequest<T>) {
        let Some(link) = self.links.get_mut(&server) else { return };
        if let SendResult::Sent { cseq, .. } = link.send(asked) {
            self.dos.push(IoAction::Send { server, conn, cseq, request: what });
        }
    }

    // ---- time ----

    /// When [`SessionManager::process_due`] is to be called next at the latest.
    pub fn next_call_at(&self, now: Ms) -> Ms {
        let held_back = self.stall.timeouts_deferred_until(now).unwrap_or(Ms::NEG_INFINITY);
        self.timers.next_due_at().map_or(self.engine_call_at, |t| t.max(held_back).min(self.engine_call_at))
    }

    /// Does what is due; to be called after each round of events and whenever [`SessionManager::next_call_at`] has come.
    pub fn process_due(&mut self, now: Ms) {
        if let Some(late) = self.stall.record_wakeup(now) {
            self.dos.push(IoAction::Log(format!("stalled for={late:.0}")));
        }
        if self.stall.timeouts_deferred_until(now).is_none() {
            while let Some(due) = self.timers.pop_due(now) {
                self.fire(due, now);
            }
        }
        self.settle(now);
        self.engine.timer_fired(now);
        // A session that is placed and held again waits for a probe or a time that only a further call tells. On
        // the bench the next batch brings that call within milliseconds; here nothing else may come for long.
        if self.engine.process_due(now, &mut self.actions) {
            self.engine.process_due(now, &mut self.actions);
        }
        self.settle(now);
        self.stall.expect_wakeup_at(self.next_call_at(now));
    }

    fn fire(&mut self, due: Due, now: Ms) {
        match due {
            Due::Answer { server, conn, cseq } => {
                let Some(link) = self.links.get_mut(&server).filter(|l| l.open_conn() == Some(conn)) else {
                    return;
                };
                if let Some(what) = link.abandon(cseq) {
                    self.ended(server, what, SetupOutcome::TimedOut, now);
                }
            }
            Due::Waiting { server, ticket } => {
                if let Some(what) = self.links.get_mut(&server).and_then(|l| l.take_queued(ticket)) {
                    self.ended(server, what, SetupOutcome::NoConnection, now);
                }
            }
            Due::Reconnect { server } => {
                let Some(link) = self.links.get(&server) else { return };
                let due = matches!(link.state, ConnectionState::Idle { until } if until <= now);
                if due && link.server_state != ServerState::Gone {
                    self.connect(server, now);
                }
            }
            // What opens after this is not wanted any more.
            Due::Connecting { server, conn } => {
                let connecting = ConnectionState::Connecting { conn };
                if self.links.get(&server).is_some_and(|l| l.state == connecting) {
                    self.connection_failed(server, conn, now);
                }
            }
            Due::Silence { server, conn } => self.silence(server, conn, now),
        }
    }

    fn watch_silence(&mut self, server: ServerId, conn: u64) {
        let Some(link) = self.links.get(&server) else { return };
        self.timers.schedule(link.last_received_at + self.waits.max_silence, Due::Silence { server, conn });
    }

    /// Guards against a connection whose other end is gone without a word: answers are owed, none comes, and
    /// nothing else would ever end it. A box that stands still for longer than that loses its sessions.
    fn silence(&mut self, server: ServerId, conn: u64, now: Ms) {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.open_conn() == Some(conn)) else { return };
        if !link.awaits_response() {
            link.last_received_at = now;
        }
        if now - link.last_received_at >= self.waits.max_silence {
            self.dos.push(IoAction::Log(format!("silent server={}", server.0)));
            self.dos.push(IoAction::Close { server, conn });
            self.connection_closed(server, conn, u32::MAX, now);
        } else {
            self.watch_silence(server, conn);
        }
    }
}
