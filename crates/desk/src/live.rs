//! The desk in service. Events come in by calls, each with its time: viewers' requests, what control
//! connections say and how they end, the list of boxes. What has to be done comes out as [`Do`]s. All state of
//! sessions in hand and of control connections is here and has this one writer. Where a session goes and what
//! follows an outcome is the module's to say; here it is only told which outcome it was.
use crate::desk::{Action, Desk};
use crate::link::{Asked, Link, Sent, State};
use crate::stall::Stall;
use crate::timers::Timers;
use std::collections::BTreeMap;
use std::sync::Arc;
use walnutline::api::{Holders, Request, SetupOutcome};
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline::settings::{PolicySettings, ReportColumn};

pub use crate::exchange::*;

/// What a timer is for.
enum Due {
    Answer { server: ServerId, conn: u64, cseq: u32 },
    Waiting { server: ServerId, ticket: u64 },
    Reconnect { server: ServerId },
    Connecting { server: ServerId, conn: u64 },
    Silence { server: ServerId, conn: u64 },
}

struct Sess<T> {
    of: Arc<T>,
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

pub struct Live<T> {
    desk: Desk,
    waits: Waits,
    links: BTreeMap<ServerId, Link>,
    sess: BTreeMap<SessionId, Sess<T>>,
    timers: Timers<Due>,
    again_at: Ms,
    stall: Stall,
    rng: fastrand::Rng,
    actions: Vec<Action>,
    dos: Vec<Do<T>>,
}

impl<T> Live<T> {
    pub fn new(terms: PolicySettings, waits: Waits, seed: u64, now: Ms) -> Self {
        Live {
            desk: Desk::new(terms, seed, now),
            waits,
            links: BTreeMap::new(),
            sess: BTreeMap::new(),
            timers: Timers::default(),
            again_at: now,
            stall: Stall::default(),
            // Apart from the module's chance: what connections do must not change what it draws.
            rng: fastrand::Rng::with_seed(!seed),
            actions: Vec::new(),
            dos: Vec::new(),
        }
    }

    /// What is to be done, in order; to be taken after each round of events and [`Live::attend`].
    pub fn take(&mut self) -> Vec<Do<T>> {
        std::mem::take(&mut self.dos)
    }

    /// Requests that still wait for their answer.
    pub fn owed(&self) -> usize {
        self.sess.values().filter(|s| s.owed).count()
    }

    pub fn playing(&self) -> usize {
        self.sess.values().filter(|s| s.plays.is_some()).count()
    }

    // ---- viewers ----

    pub fn asked(&mut self, id: SessionId, ask: Ask, of: T, now: Ms) {
        self.sess.insert(id, Sess { of: Arc::new(of), owed: true, out: None, plays: None });
        let request = Request {
            group: ask.group,
            title: ask.title,
            holders: Holders::named(ask.holders),
            rates_kb_per_s: ask.rates,
            highest_rung: ask.top,
            time_left: ask.left - self.waits.way_back,
        };
        self.desk.asked(id, request, now, &mut self.actions);
        self.settle(now);
    }

    /// The viewer left before its answer reached it: its SETUP, if one is out, is not waited for; a session that
    /// plays already, the answer being on its way, is torn down.
    pub fn left(&mut self, id: SessionId, now: Ms) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        if let Some((server, session)) = s.plays.clone() {
            if let Some(conn) = self.links.get_mut(&server).and_then(|l| l.session_over(&session).and(l.up()))
            {
                self.send(server, conn, Asked::Other, ToBox::Teardown { session });
            }
            self.over(id, SetupOutcome::Withdrawn, now);
            return self.settle(now);
        }
        s.owed = false;
        let out = s.out.take();
        self.desk.left(id);
        if let Some(out) = out {
            if let Some(link) = self.links.get_mut(&out.server) {
                match out.cseq {
                    Some(cseq) => drop(link.give_up(cseq)),
                    None => drop(link.take_waiting_setup(id)),
                }
            }
            self.desk.ended(id, SetupOutcome::Withdrawn, true, now, &mut self.actions);
        }
        self.sess.remove(&id);
        self.settle(now);
    }

    /// Where a session plays and at which rung, for a renewed manifest; `None` once it is over.
    pub fn plays(&self, id: SessionId) -> Option<(ServerId, u8, Arc<T>)> {
        let s = self.sess.get(&id)?;
        let (server, _) = s.plays.as_ref()?;
        Some((*server, self.desk.hand.sessions.get(&id)?.rung, s.of.clone()))
    }

    // ---- news asked for besides ----

    /// When news of a box's link was last heard; `None` for a box that is not ready, or that the decisions have set
    /// aside: those are theirs to try.
    pub fn heard_at(&self, server: ServerId) -> Option<Ms> {
        let s = self.desk.front.fleet.servers.get(&server)?;
        (s.entry.state == ServerState::Ready && s.failures == 0)
            .then(|| s.link_use.map_or(Ms::NEG_INFINITY, |seen| seen.measured_at))
    }

    /// Asks boxes for their load, as the decisions do; what they answer goes to these all the same.
    pub fn ask_news(&mut self, servers: Vec<ServerId>, now: Ms) {
        servers.into_iter().for_each(|server| self.probe(server, now));
        self.settle(now);
    }

    // ---- the list ----

    pub fn listed_all(&mut self, lines: Vec<BoxLine>, now: Ms) {
        lines.iter().for_each(|line| self.moved(line, now));
        self.desk.listed_all(lines.iter().map(|l| l.listed.clone()).collect());
        self.links.values_mut().for_each(|link| link.listing = ServerState::Gone);
        lines.into_iter().for_each(|line| self.line(line, now));
        self.call_back(now);
        self.hang_up_gone();
        self.settle(now);
    }

    pub fn listed(&mut self, lines: Vec<BoxLine>, now: Ms) {
        for line in lines {
            self.moved(&line, now);
            self.desk.listed(line.listed.clone());
            self.line(line, now);
        }
        self.call_back(now);
        self.hang_up_gone();
        self.settle(now);
    }

    /// A box that is somewhere else is another process: what was out at the old one ends before the decisions
    /// hear of the new one, or the new one would be judged for it.
    fn moved(&mut self, line: &BoxLine, now: Ms) {
        let server = line.listed.id;
        let Some(link) = self.links.get_mut(&server).filter(|l| l.address != line.control) else { return };
        link.address = line.control;
        if let State::Connecting { conn } | State::Up { conn } = link.state {
            self.dos.push(Do::Close { server, conn });
            self.closed(server, conn, u32::MAX, now);
        }
    }

    fn line(&mut self, line: BoxLine, now: Ms) {
        let server = line.listed.id;
        let link = self.links.entry(server).or_insert_with(|| Link::new(line.control, line.listed.state));
        link.listing = line.listed.state;
        if link.listing != ServerState::Gone && matches!(link.state, State::Waiting { until } if until <= now)
        {
            self.connect(server, now);
        }
    }

    /// SETUPs that wait for a connection to a box that is no longer ready never go out: the connection may open
    /// after the grace for drains is over.
    fn call_back(&mut self, now: Ms) {
        let away = self.links.iter_mut().filter(|(_, link)| link.listing != ServerState::Ready);
        let back: Vec<_> = away.map(|(server, link)| (*server, link.take_waiting_setups())).collect();
        for (server, setups) in back {
            setups.into_iter().for_each(|what| self.ended(server, what, SetupOutcome::NeverSent, now));
        }
    }

    /// Connections to boxes that are gone close once nothing is left on them.
    fn hang_up_gone(&mut self) {
        let gone = self.links.iter().filter(|(_, link)| link.listing == ServerState::Gone);
        for server in gone.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.hang_up(server);
        }
    }

    fn hang_up(&mut self, server: ServerId) {
        let Some(link) = self.links.get_mut(&server) else { return };
        if let (ServerState::Gone, Some(conn), true) = (link.listing, link.up(), link.is_quiet()) {
            link.state = State::Waiting { until: Ms::NEG_INFINITY };
            self.dos.push(Do::Close { server, conn });
        }
    }

    // ---- control connections ----

    fn connect(&mut self, server: ServerId, now: Ms) {
        let Some(link) = self.links.get_mut(&server) else { return };
        let conn = link.connect();
        link.heard_at = now;
        self.timers.set(now + self.waits.connect, Due::Connecting { server, conn });
        self.dos.push(Do::Connect { server, conn, address: link.address });
    }

    /// A connection opened; `false` where it is not wanted any more.
    pub fn connected(&mut self, server: ServerId, conn: u64, now: Ms) -> bool {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.is_current(conn)) else { return false };
        link.heard_at = now;
        for (what, cseq) in link.connected(conn) {
            let until = match &what {
                // One that waited for the connection keeps the time-out that it was given.
                Asked::Setup(id) => self.sess.get(id).and_then(|s| s.out).map_or(now, |out| out.until),
                _ => now + self.waits.probe,
            };
            self.out(server, conn, cseq, what, until);
        }
        self.watch_silence(server, conn);
        self.settle(now);
        true
    }

    /// The connection could not be opened in time.
    pub fn not_connected(&mut self, server: ServerId, conn: u64, now: Ms) {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.is_current(conn)) else { return };
        let until = now + link.retry.failed(&mut self.rng);
        for what in link.not_connected(until) {
            self.ended(server, what, SetupOutcome::NoConnection, now);
        }
        self.timers.set(until, Due::Reconnect { server });
        self.settle(now);
    }

    /// A connection closed, after the writing of so many messages had begun.
    pub fn closed(&mut self, server: ServerId, conn: u64, begun: u32, now: Ms) {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.is_current(conn)) else { return };
        let until = now + link.retry.failed(&mut self.rng);
        let ends = link.closed(begun, until);
        for (what, ending) in ends.out {
            self.ended(server, what, ending, now);
        }
        for id in ends.sessions {
            self.over(id, SetupOutcome::Broken, now);
        }
        self.timers.set(until, Due::Reconnect { server });
        self.settle(now);
    }

    pub fn told(&mut self, server: ServerId, conn: u64, told: FromBox, now: Ms) {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.up() == Some(conn)) else { return };
        link.heard_at = now;
        match told {
            FromBox::Reply { cseq, outcome, report } => self.reply(server, conn, cseq, outcome, report, now),
            FromBox::Share(share) => self.desk.share_heard(server, share, now),
            FromBox::News(report) => self.news(server, report, now),
            FromBox::Over { session } => {
                if let Some(id) = link.session_over(&session) {
                    self.over(id, SetupOutcome::Done, now);
                }
            }
        }
        self.settle(now);
    }

    fn reply(&mut self, server: ServerId, conn: u64, cseq: u32, outcome: Outcome, report: Report, now: Ms) {
        let Some(link) = self.links.get_mut(&server) else { return };
        let Some(out) = link.answered(cseq) else { return };
        match (out.what, outcome) {
            // An answer that comes too late, or that nobody waits for, never plays.
            (Asked::Setup(_), Outcome::Done { session: Some(session) }) if out.given_up => {
                self.send(server, conn, Asked::Other, ToBox::Teardown { session });
            }
            (Asked::Setup(id), Outcome::Done { session: Some(session) }) => {
                self.plays_at(id, server, session, now);
                self.news(server, report, now);
            }
            (Asked::Setup(id), outcome) if !out.given_up => {
                // A SETUP that was done without a session to show for it may have run.
                let ending =
                    if outcome == Outcome::Busy { SetupOutcome::BusyReplied } else { SetupOutcome::Errored };
                self.ended(server, Asked::Setup(id), ending, now);
                self.news(server, report, now);
            }
            (Asked::Probe, outcome) if !out.given_up => {
                let ending = match outcome {
                    Outcome::Done { .. } => SetupOutcome::Done,
                    Outcome::Busy => SetupOutcome::BusyReplied,
                    Outcome::Error => SetupOutcome::Errored,
                };
                self.news(server, report, now);
                self.desk.probed(server, ending, now);
            }
            _ => {}
        }
    }

    fn news(&mut self, server: ServerId, report: Report, now: Ms) {
        if report == Report::default() {
            return;
        }
        let told = |column: &ReportColumn| match column {
            ReportColumn::Streams => report.streams,
            ReportColumn::Link => report.link,
            ReportColumn::Uplink => report.uplink,
            ReportColumn::Other => None,
        };
        // What was not told is no figure; the module leaves such out.
        let values: Vec<f64> =
            self.desk.front.settings.report_columns.iter().map(|c| told(c).unwrap_or(f64::NAN)).collect();
        self.desk.report(server, &values, now);
    }

    // ---- sessions ----

    fn plays_at(&mut self, id: SessionId, server: ServerId, session: String, now: Ms) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        (s.out, s.plays, s.owed) = (None, Some((server, session.clone())), false);
        let of = s.of.clone();
        if let Some(link) = self.links.get_mut(&server) {
            link.plays(session, id);
        }
        self.desk.started(id, now);
        let rung = self.desk.hand.sessions.get(&id).map_or(0, |s| s.rung);
        self.dos.push(Do::Answer { id, of, answer: Answer::Plays { server, rung } });
    }

    /// How a message ended that is out no more.
    fn ended(&mut self, server: ServerId, what: Asked, ending: SetupOutcome, now: Ms) {
        match what {
            Asked::Setup(id) => {
                if let Some(s) = self.sess.get_mut(&id) {
                    s.out = None;
                    self.desk.ended(id, ending, false, now, &mut self.actions);
                }
            }
            Asked::Probe => self.desk.probed(server, ending, now),
            Asked::Other => {}
        }
    }

    /// A session that played is over.
    fn over(&mut self, id: SessionId, ending: SetupOutcome, now: Ms) {
        let Some(s) = self.sess.remove(&id) else { return };
        self.desk.ended(id, ending, true, now, &mut self.actions);
        if let Some((server, _)) = s.plays {
            self.hang_up(server);
        }
    }

    fn final_answer(&mut self, id: SessionId, answer: Answer) {
        let Some(s) = self.sess.remove(&id) else { return };
        if s.owed {
            self.dos.push(Do::Answer { id, of: s.of, answer });
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
                Action::Rung { id, rung } => self.rung(id, rung),
                Action::Probe { server } => self.probe(server, now),
                Action::BusyReply { id, come_back } => self.final_answer(id, Answer::Busy { come_back }),
                Action::TornDown { id } => self.final_answer(id, Answer::TornDown),
                // Fronts of this kind have no way to each other.
                // The list comes by a stream of its own.
                Action::Tell(_) | Action::AskList => {}
                Action::Log(line) => self.dos.push(Do::Log(line)),
                Action::AgainAt(at) => self.again_at = at,
            }
        }
        self.actions.clear();
    }

    fn setup(&mut self, id: SessionId, server: ServerId, timeout: Ms, now: Ms) {
        let Some(link) = self.links.get_mut(&server) else {
            return self.ended(server, Asked::Setup(id), SetupOutcome::NoConnection, now);
        };
        debug_assert!(self.sess.get(&id).is_none_or(|s| s.out.is_none()), "two SETUPs out for {id:?}");
        let until = now + timeout;
        match link.send(Asked::Setup(id)) {
            Sent::On { conn, cseq } => self.out(server, conn, cseq, Asked::Setup(id), until),
            Sent::Waits { ticket } => {
                self.timers.set(until, Due::Waiting { server, ticket });
                if let Some(s) = self.sess.get_mut(&id) {
                    s.out = Some(SetupOut { server, cseq: None, until });
                }
            }
            Sent::Nowhere => self.ended(server, Asked::Setup(id), SetupOutcome::NoConnection, now),
        }
    }

    fn probe(&mut self, server: ServerId, now: Ms) {
        let Some(link) = self.links.get_mut(&server) else { return };
        // A probe to a box without a connection is the time to try one.
        if matches!(link.state, State::Waiting { .. }) && link.listing != ServerState::Gone {
            self.connect(server, now);
        }
        let Some(link) = self.links.get_mut(&server) else { return };
        match link.send(Asked::Probe) {
            Sent::On { conn, cseq } => self.out(server, conn, cseq, Asked::Probe, now + self.waits.probe),
            Sent::Waits { ticket } => {
                self.timers.set(now + self.waits.probe, Due::Waiting { server, ticket })
            }
            Sent::Nowhere => self.desk.probed(server, SetupOutcome::NoConnection, now),
        }
    }

    /// A SETUP or probe goes out under its number; its answer is waited for until then.
    fn out(&mut self, server: ServerId, conn: u64, cseq: u32, what: Asked, until: Ms) {
        let what = match what {
            Asked::Setup(id) => {
                let rung = self.desk.hand.sessions.get(&id).map_or(0, |s| s.rung);
                let Some(s) = self.sess.get_mut(&id) else { return };
                s.out = Some(SetupOut { server, cseq: Some(cseq), until });
                ToBox::Setup { id, of: s.of.clone(), rung }
            }
            Asked::Probe => ToBox::Probe,
            Asked::Other => return,
        };
        self.timers.set(until, Due::Answer { server, conn, cseq });
        self.dos.push(Do::Send { server, conn, cseq, what });
    }

    fn rung(&mut self, id: SessionId, rung: u8) {
        let Some((server, session)) = self.sess.get(&id).and_then(|s| s.plays.clone()) else { return };
        let Some(conn) = self.links.get(&server).and_then(Link::up) else { return };
        self.send(server, conn, Asked::Other, ToBox::Rung { session, rung });
    }

    fn send(&mut self, server: ServerId, conn: u64, asked: Asked, what: ToBox<T>) {
        let Some(link) = self.links.get_mut(&server) else { return };
        if let Sent::On { cseq, .. } = link.send(asked) {
            self.dos.push(Do::Send { server, conn, cseq, what });
        }
    }

    // ---- time ----

    /// When [`Live::attend`] is to be called next at the latest.
    pub fn next_at(&self, now: Ms) -> Ms {
        let held_back = self.stall.holds_back(now).unwrap_or(Ms::NEG_INFINITY);
        self.timers.next_at().map_or(self.again_at, |t| t.max(held_back).min(self.again_at))
    }

    /// Does what is due; to be called after each round of events and whenever [`Live::next_at`] has come.
    pub fn attend(&mut self, now: Ms) {
        if let Some(late) = self.stall.woke(now) {
            self.dos.push(Do::Log(format!("stalled for={late:.0}")));
        }
        if self.stall.holds_back(now).is_none() {
            while let Some(due) = self.timers.due(now) {
                self.fire(due, now);
            }
        }
        self.settle(now);
        self.desk.rang(now);
        // A session that is placed and held again waits for a probe or a time that only a further call tells. On
        // the bench the next batch brings that call within milliseconds; here nothing else may come for long.
        if self.desk.attend(now, &mut self.actions) {
            self.desk.attend(now, &mut self.actions);
        }
        self.settle(now);
        self.stall.sleeps_until(self.next_at(now));
    }

    fn fire(&mut self, due: Due, now: Ms) {
        match due {
            Due::Answer { server, conn, cseq } => {
                let Some(link) = self.links.get_mut(&server).filter(|l| l.up() == Some(conn)) else { return };
                if let Some(what) = link.give_up(cseq) {
                    self.ended(server, what, SetupOutcome::TimedOut, now);
                }
            }
            Due::Waiting { server, ticket } => {
                if let Some(what) = self.links.get_mut(&server).and_then(|l| l.take_waiting(ticket)) {
                    self.ended(server, what, SetupOutcome::NoConnection, now);
                }
            }
            Due::Reconnect { server } => {
                let Some(link) = self.links.get(&server) else { return };
                let due = matches!(link.state, State::Waiting { until } if until <= now);
                if due && link.listing != ServerState::Gone {
                    self.connect(server, now);
                }
            }
            // What opens after this is not wanted any more.
            Due::Connecting { server, conn } => {
                let connecting = State::Connecting { conn };
                if self.links.get(&server).is_some_and(|l| l.state == connecting) {
                    self.not_connected(server, conn, now);
                }
            }
            Due::Silence { server, conn } => self.silence(server, conn, now),
        }
    }

    fn watch_silence(&mut self, server: ServerId, conn: u64) {
        let Some(link) = self.links.get(&server) else { return };
        self.timers.set(link.heard_at + self.waits.silence, Due::Silence { server, conn });
    }

    /// Guards against a connection whose other end is gone without a word: answers are owed, none comes, and
    /// nothing else would ever end it. A box that stands still for longer than that loses its sessions.
    fn silence(&mut self, server: ServerId, conn: u64, now: Ms) {
        let Some(link) = self.links.get_mut(&server).filter(|l| l.up() == Some(conn)) else { return };
        if !link.is_owed() {
            link.heard_at = now;
        }
        if now - link.heard_at >= self.waits.silence {
            self.dos.push(Do::Log(format!("silent server={}", server.0)));
            self.dos.push(Do::Close { server, conn });
            self.closed(server, conn, u32::MAX, now);
        } else {
            self.watch_silence(server, conn);
        }
    }
}
