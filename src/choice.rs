//! All decisions of the session front. It is asked through three calls: [`Chooser::place`] (where to send
//! this session, or not yet, or never), [`Chooser::after`] (what to do after this outcome) and
//! [`Chooser::wait`] (what is due now, and how long to wait before asking again). News is recorded by plain
//! methods: the list, reports, delivery shares, starts and ends. The caller keeps the timers and the
//! sessions in hand and decides nothing; the types of this interface stand in `ids`, `hand`, `fleet` and
//! `terms`, the answers just below. docs/design.md tells what comes from the design page.
use crate::fleet::{Fleet, Listed, Listing, Rack, Seen, Server};
use crate::hand::{Hand, Load, Sess};
use crate::ids::{CellNo, GroupNo, Ms, RackNo, ServerId, SessId, TitleId};
use crate::terms::{Column, Repeat, Scope, Terms};
use std::collections::{BTreeMap, VecDeque};

/// Weights of streams and of link plus uplink in a holder's cost.
const ALPHA: f64 = 0.5;
const BETA: f64 = 0.5;
/// Use from which a new session gets a lower rung, and the use for each further rung lower.
const MARK: f64 = 0.8;
const STEP: f64 = 0.1;
/// A new session's own rate may fill a link or uplink up to this.
const ADMIT: f64 = 0.8;
/// Use over which playing sessions are stepped down.
const FULL: f64 = 1.0;
/// A session changes rung at most once in this time.
const HOLD: Ms = 2_500.0;
/// Shares delivered under this tell of a link or uplink that is asked too much.
const SHORT: f64 = 0.98;
/// Time between the probes of a server in use.
const PROBE_PACE: Ms = 5_000.0;
/// After a step down, news older than its own delay and this is of the time before.
const SETTLE: Ms = 1_000.0;
/// A share that was heard stands for the uplink as long as this.
const SHARE_STANDS: Ms = 5_000.0;
/// Share of the start target that the first SETUP may take while others could follow.
const FIRST_SHARE: f64 = 0.45;
/// Failures in a row from which a server is set aside, for how long at first, and at most.
const ASIDE_FROM: u32 = 1;
const ASIDE: Ms = 1_000.0;
const ASIDE_MOST: Ms = 8_000.0;
/// Share of a cold server's budget that all fronts may count on.
const COLD_CERTAIN: f64 = 0.7;
/// Part of the span at the head of a front's turn in which it may send to a cold server.
const TURN_HEAD: f64 = 0.5;
/// An answer is given this long before the viewer gives up.
const ANSWER_MARGIN: Ms = 30.0;
/// Fronts take turns of this length at stepping up on a rack, so that they do not fill the same room twice.
const UP_TURN: Ms = 5_000.0;
/// How often the rungs are looked over.
const LOOK: Ms = 250.0;
/// How often a session that waits for a cold server is looked at again.
const TURN_LOOK: Ms = 20.0;

/// Where a session goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Place {
    Setup {
        server: ServerId,
        rung: u8,
        timeout: Ms,
    },
    NotYet,
    BusyReply {
        come_back: Option<Ms>,
    },
    TornDown,
    /// Nothing is owed: the session plays, or it is over.
    Nothing,
}

/// How a SETUP, or the session that came of it, ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Done,
    Errored,
    BusyReplied,
    TimedOut,
    NoConnection,
    Broken,
    Withdrawn,
    NeverSent,
}

impl Ending {
    fn never_ran(self) -> bool {
        matches!(self, Ending::BusyReplied | Ending::NoConnection | Ending::NeverSent)
    }
}

/// What is due now, and when to ask again.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    pub rungs: Vec<(SessId, u8)>,
    pub probes: Vec<ServerId>,
    pub place: Vec<SessId>,
    pub log: Vec<String>,
    pub again_at: Ms,
}

/// A request as it comes in.
#[derive(Debug, Clone)]
pub struct Request {
    pub group: GroupNo,
    pub title: TitleId,
    pub home: CellNo,
    pub span: u32,
    pub top: u8,
    /// How long the viewer waits.
    pub left: Ms,
}

pub struct Chooser {
    pub terms: Terms,
    pub fleet: Fleet,
    pub rng: fastrand::Rng,
    pub born: Ms,
    /// When requests were taken and further SETUPs sent, as far back as the budget looks.
    pub taken: VecDeque<Ms>,
    pub further: VecDeque<Ms>,
    rungs: Vec<(SessId, u8)>,
    log: Vec<String>,
}

type Loads = BTreeMap<ServerId, Load>;

impl Chooser {
    pub fn new(terms: Terms, seed: u64, now: Ms) -> Self {
        Chooser {
            terms,
            fleet: Fleet::default(),
            rng: fastrand::Rng::with_seed(seed),
            born: now,
            taken: VecDeque::new(),
            further: VecDeque::new(),
            rungs: Vec::new(),
            log: Vec::new(),
        }
    }

    // ---- news ----

    /// One line of the list. A new start makes it a new process: nothing known of the old one counts.
    pub fn listed(&mut self, line: Listed, now: Ms) {
        let wait = self.rng.f64() * PROBE_PACE;
        match self.fleet.servers.get_mut(&line.id) {
            Some(s) if s.listed.started == line.started => s.listed = line,
            Some(s) => {
                let sent_cold = std::mem::take(&mut s.sent_cold);
                *s = Server { sent_cold, probe_at: now + wait, ..Server::new(line) };
            }
            None => {
                let s = Server { probe_at: now + wait, ..Server::new(line.clone()) };
                self.fleet.servers.insert(line.id, s);
            }
        }
    }

    /// The complete list: what it leaves out is gone.
    pub fn listed_all(&mut self, lines: Vec<Listed>, now: Ms) {
        for s in self.fleet.servers.values_mut() {
            s.listed.listing = Listing::Gone;
        }
        for line in lines {
            self.listed(line, now);
        }
    }

    /// A request was taken.
    pub fn taken(&mut self, hand: &mut Hand, id: SessId, r: Request, now: Ms) {
        self.taken.push_back(now);
        hand.sess.insert(id, self.session(r, now));
    }

    /// A session that was under way when the front started.
    pub fn under_way(&mut self, hand: &mut Hand, id: SessId, r: Request, server: ServerId, now: Ms) {
        let s = self.session(r, now);
        hand.sess.insert(id, Sess { at: Some(server), playing: true, answered: true, setups: 1, ..s });
    }

    fn session(&self, r: Request, now: Ms) -> Sess {
        let g = &self.terms.groups[r.group.0 as usize];
        Sess {
            group: r.group,
            title: r.title,
            home: r.home,
            span: r.span,
            top: r.top.min(g.top).max(g.floor),
            came: now,
            until: now + r.left,
            rung: g.floor,
            at: None,
            playing: false,
            answered: false,
            setups: 0,
            tried: Vec::new(),
            sent: now,
            stepped: Ms::NEG_INFINITY,
            may_have_run: None,
            held_until: None,
        }
    }

    /// The rung in force of a session.
    pub fn rung_told(&mut self, hand: &mut Hand, id: SessId, rung: u8) {
        if let Some(s) = hand.sess.get_mut(&id) {
            s.rung = rung.min(self.terms.rung_kb.len() as u8 - 1);
        }
    }

    /// A session plays.
    pub fn started(&mut self, hand: &mut Hand, id: SessId, now: Ms) {
        let Some(s) = hand.sess.get_mut(&id) else { return };
        (s.playing, s.answered, s.stepped) = (true, true, now);
        if let Some(at) = s.at {
            self.judge(at, None, now);
        }
    }

    /// The viewer left before an answer.
    pub fn left(&mut self, hand: &mut Hand, id: SessId) {
        if let Some(s) = hand.sess.get_mut(&id) {
            (s.answered, s.held_until) = (true, None);
            if s.at.is_none() {
                hand.sess.remove(&id);
            }
        }
    }

    /// A load report, its values in the order of the terms' columns.
    pub fn report(&mut self, hand: &Hand, server: ServerId, values: &[f64], now: Ms) {
        let columns = self.terms.columns.clone();
        for (column, &v) in columns.iter().zip(values) {
            match column {
                Column::Streams => {
                    let own = hand.loads(&self.terms).get(&server).copied().unwrap_or_default();
                    if let (true, Some(s)) = (sound(v), self.fleet.servers.get_mut(&server)) {
                        s.streams = Some(Seen { value: v, at: now, own: own.streams });
                    }
                }
                Column::Link => self.link_heard(hand, server, v, now),
                Column::Uplink => self.uplink_heard(hand, server, v, now),
                Column::Other => {}
            }
        }
    }

    /// What is asked of a server's link over what it gives.
    pub fn link_heard(&mut self, hand: &Hand, server: ServerId, use_: f64, now: Ms) {
        let own = hand.loads(&self.terms).get(&server).copied().unwrap_or_default();
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        if sound(use_) && now >= s.settled_at {
            s.link = Some(Seen { value: use_, at: now, own: own.kb });
        }
    }

    /// The same of the uplink of its rack.
    pub fn uplink_heard(&mut self, hand: &Hand, server: ServerId, use_: f64, now: Ms) {
        let Some(rack) = self.rack_of(server) else { return };
        let own = self.rack_load(&hand.loads(&self.terms), rack);
        let r = self.fleet.racks.entry(rack).or_default();
        if sound(use_) && now >= r.settled_at {
            r.uplink = Some(Seen { value: use_, at: now, own });
        }
    }

    /// The share of their rates that sessions at a server got. The shortage lies with its link or with the
    /// uplink, whichever the table holds to be fuller.
    pub fn share_heard(&mut self, hand: &Hand, server: ServerId, share: f64, now: Ms) {
        let Some(rack) = self.rack_of(server) else { return };
        if !sound(share) || share <= 0.0 {
            return;
        }
        let loads = hand.loads(&self.terms);
        let (link, uplink) = (self.link_use(&loads, server), self.uplink_use(&loads, rack, now));
        let asked = 1.0 / share;
        if share >= SHORT {
            // Enough again: what was heard of a shortage no longer stands.
            if link > asked {
                self.link_heard(hand, server, asked, now);
            }
            if uplink > asked {
                self.uplink_heard(hand, server, asked, now);
            }
        } else if link >= uplink {
            self.link_heard(hand, server, asked, now);
        } else {
            self.uplink_heard(hand, server, asked, now);
        }
    }

    /// The answer to a probe.
    pub fn probed(&mut self, server: ServerId, answered: bool, now: Ms) {
        let wait = self.pace();
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        (s.probe_out, s.probe_at) = (false, now + wait);
        if answered && s.died.is_some() && s.back.is_none() {
            s.back = Some(now);
        }
    }

    // ---- the first call: where to ----

    pub fn place(&mut self, hand: &mut Hand, id: SessId, now: Ms) -> Place {
        let Some(s) = hand.sess.get(&id) else { return Place::Nothing };
        if s.answered || s.at.is_some() {
            return Place::Nothing;
        }
        let s = s.clone();
        let answer = self.choose(hand, &s, now);
        match &answer {
            Place::Setup { server, rung, .. } => {
                if s.setups > 0 {
                    self.further.push_back(now);
                }
                if let Some(to) = self.fleet.servers.get_mut(server) {
                    to.sent_cold.push(now);
                }
                let s = hand.sess.get_mut(&id).expect("the session that was just read");
                (s.at, s.rung, s.sent, s.held_until) = (Some(*server), *rung, now, None);
                s.setups += 1;
            }
            Place::NotYet | Place::Nothing => {}
            Place::BusyReply { .. } | Place::TornDown => {
                hand.sess.remove(&id);
            }
        }
        if let (Place::NotYet, Some(s)) = (&answer, hand.sess.get_mut(&id)) {
            s.held_until = Some(now + TURN_LOOK);
        }
        answer
    }

    fn choose(&mut self, hand: &Hand, s: &Sess, now: Ms) -> Place {
        let group = self.terms.groups[s.group.0 as usize].clone();
        let give_up = self.give_up(s);
        let left = s.until - now;
        if left <= ANSWER_MARGIN || s.setups >= self.terms.max_setups {
            return give_up;
        }
        if group.seats > 0 && hand.seated(s.title, s.group) >= group.seats {
            return give_up;
        }
        if s.setups > 0 && !self.budget_left(now) {
            return give_up;
        }
        let loads = hand.loads(&self.terms);
        let able: Vec<ServerId> = self
            .fleet
            .servers
            .values()
            .filter(|r| r.listed.listing == Listing::Ready)
            .filter(|r| self.terms.holds(r.listed.cell, s.home, s.span) && self.may_run(s, r, now))
            .map(|r| r.listed.id)
            .collect();
        // Ordinary path: holders neither set aside nor tried by this session; then tried ones last.
        let sound_ones = |r: &&ServerId| self.fleet.servers[r].aside_until <= now && !s.tried.contains(r);
        let mut pick = self.cheapest(&loads, able.iter().filter(sound_ones), now);
        if pick.is_none() {
            // All holders failed lately or did not take this session: any but the last one that failed it.
            let others = able.iter().filter(|r| s.tried.last() != Some(r) || able.len() == 1);
            pick = self.cheapest(&loads, others, now);
        }
        let Some(server) = pick else {
            let soon = able.iter().filter_map(|r| self.cold_wait(r, now)).fold(Ms::INFINITY, Ms::min);
            let in_time = now + soon < (s.came + group.start_target).min(s.until - ANSWER_MARGIN);
            return if in_time { Place::NotYet } else { give_up };
        };
        let rung = self.rung_for(&loads, server, s, now);
        let target_left = s.came + group.start_target - now;
        let further_ok = s.setups + 1 < self.terms.max_setups && able.len() > 1;
        let timeout = match target_left * FIRST_SHARE {
            t if further_ok && t >= group.start_target * FIRST_SHARE * 0.25 => t.min(left),
            _ => left,
        };
        Place::Setup { server, rung, timeout }
    }

    /// The answer to a session that this front cannot place; at once, so that its viewer may look elsewhere.
    fn give_up(&self, s: &Sess) -> Place {
        let busy_ok = match self.terms.groups[s.group.0 as usize].repeat {
            Repeat::Safe | Repeat::Keyed(Scope::All) => true,
            Repeat::Once | Repeat::Keyed(_) => s.may_have_run.is_none(),
        };
        if !busy_ok {
            return Place::TornDown;
        }
        Place::BusyReply { come_back: self.terms.tells_return.then_some(self.terms.max_return) }
    }

    /// Whether a further SETUP at this server cannot set the session up twice.
    fn may_run(&self, s: &Sess, to: &Server, now: Ms) -> bool {
        let group = &self.terms.groups[s.group.0 as usize];
        let Some((first, sent)) = s.may_have_run else { return true };
        match group.repeat {
            Repeat::Safe => true,
            Repeat::Once => false,
            Repeat::Keyed(scope) => {
                let same = |f: fn(&Listed) -> u32| {
                    self.fleet.servers.get(&first).is_some_and(|a| f(&a.listed) == f(&to.listed))
                };
                now - sent < group.window
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => same(|l| l.zone.0 as u32),
                        Scope::Cell => same(|l| l.cell.0),
                    }
            }
        }
    }

    /// Guards the budget for further SETUPs: counted before the one that is about to be sent.
    fn budget_left(&mut self, now: Ms) -> bool {
        let Some(b) = self.terms.budget else { return true };
        for times in [&mut self.taken, &mut self.further] {
            while times.front().is_some_and(|t| *t < now - b.span) {
                times.pop_front();
            }
        }
        (self.further.len() + 1) as f64 <= b.free + b.share * self.taken.len() as f64
    }

    /// WMCA: of the holders that may take a SETUP now, the one of least cost.
    fn cheapest<'a>(
        &self,
        loads: &Loads,
        of: impl Iterator<Item = &'a ServerId>,
        now: Ms,
    ) -> Option<ServerId> {
        of.filter(|r| self.cold_wait(r, now).is_none())
            .map(|r| (self.cost(loads, *r, now), *r))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, r)| r)
    }

    fn cost(&self, loads: &Loads, server: ServerId, now: Ms) -> f64 {
        let r = &self.fleet.servers[&server];
        let most = self.terms.kind_streams.get(r.listed.kind.0 as usize).copied().unwrap_or(1.0);
        let uplink = self.uplink_use(loads, self.terms.rack(r.listed.cell), now);
        ALPHA * self.streams(loads, server) / most + BETA * (self.link_use(loads, server) + uplink)
    }

    // ---- the table ----

    fn link_kb(&self, r: &Server) -> f64 {
        self.terms.link_kb_per_weight * r.listed.weight.max(0.01)
    }

    fn rack_of(&self, server: ServerId) -> Option<RackNo> {
        Some(self.terms.rack(self.fleet.servers.get(&server)?.listed.cell))
    }

    fn rack_load(&self, loads: &Loads, rack: RackNo) -> f64 {
        loads.iter().filter(|(id, _)| self.rack_of(**id) == Some(rack)).map(|(_, l)| l.kb).sum()
    }

    /// Streams at a server: the last report, moved on by this front's own changes since. One not yet heard
    /// from counts as average: its own streams, and of others as many as elsewhere.
    fn streams(&self, loads: &Loads, server: ServerId) -> f64 {
        let own = |id: &ServerId| loads.get(id).map_or(0.0, |l| l.streams);
        if let Some(seen) = self.fleet.servers[&server].streams {
            return (seen.value + own(&server) - seen.own).max(own(&server));
        }
        let heard = self.fleet.servers.values().filter_map(|s| s.streams.map(|seen| seen.value - seen.own));
        let total: f64 = loads.values().map(|l| l.streams).sum();
        own(&server) + mean(heard).unwrap_or_else(|| self.of_others(total))
    }

    /// Use of a server's link, likewise.
    fn link_use(&self, loads: &Loads, server: ServerId) -> f64 {
        let own = |id: &ServerId| loads.get(id).map_or(0.0, |l| l.kb);
        let r = &self.fleet.servers[&server];
        if let Some(seen) = r.link {
            return moved_on(seen, own(&server), self.link_kb(r));
        }
        let others = |s: &Server| s.link.map(|seen| (seen.value - seen.own / self.link_kb(s)).max(0.0));
        let heard = self.fleet.servers.values().filter_map(others);
        let total: f64 = loads.values().map(|l| l.kb).sum();
        own(&server) / self.link_kb(r)
            + mean(heard).unwrap_or_else(|| self.of_others(total) / self.link_kb(r))
    }

    /// A server's part of what the other fronts carry, while nothing is heard: as much each as this one.
    fn of_others(&self, own_total: f64) -> f64 {
        let ready = self.fleet.servers.values().filter(|s| s.listed.listing == Listing::Ready).count();
        own_total * self.terms.fronts.saturating_sub(1) as f64 / ready.max(1) as f64
    }

    /// Use of a rack's uplink: what was heard, else the sum of its links' loads over its told size.
    fn uplink_use(&self, loads: &Loads, rack: RackNo, now: Ms) -> f64 {
        let told = self.terms.uplink_kb.max(1.0);
        let stands =
            |seen: &Seen| self.terms.columns.contains(&Column::Uplink) || now < seen.at + SHARE_STANDS;
        if let Some(seen) = self.fleet.racks.get(&rack).and_then(|r| r.uplink).filter(stands) {
            return moved_on(seen, self.rack_load(loads, rack), told);
        }
        let here = self
            .fleet
            .servers
            .values()
            .filter(|s| s.listed.listing != Listing::Gone && self.terms.rack(s.listed.cell) == rack);
        here.map(|s| self.link_use(loads, s.listed.id) * self.link_kb(s)).sum::<f64>() / told
    }

    fn fuller(&self, loads: &Loads, server: ServerId, now: Ms) -> f64 {
        let rack = self.terms.rack(self.fleet.servers[&server].listed.cell);
        self.link_use(loads, server).max(self.uplink_use(loads, rack, now))
    }

    /// Use of the fuller of link and uplink when `kb` more is asked of both.
    fn fuller_with(&self, loads: &Loads, server: ServerId, kb: f64, now: Ms) -> f64 {
        let r = &self.fleet.servers[&server];
        let uplink = self.uplink_use(loads, self.terms.rack(r.listed.cell), now);
        let link = self.link_use(loads, server) + kb / self.link_kb(r);
        link.max(uplink + kb / self.terms.uplink_kb.max(1.0))
    }

    // ---- rungs ----

    /// A new session's rung: the top, one lower for each tenth of use above the mark.
    fn rung_for(&self, loads: &Loads, server: ServerId, s: &Sess, now: Ms) -> u8 {
        let floor = self.terms.groups[s.group.0 as usize].floor;
        let over = ((self.fuller(loads, server, now) - MARK) / STEP).ceil().max(0.0) as u8;
        let mut rung = s.top.saturating_sub(over).max(floor);
        // A single session may be a good part of a link: it is not let in at a rung that overfills it.
        while rung > floor && self.fuller_with(loads, server, self.terms.rate(s.group, rung), now) > ADMIT {
            rung -= 1;
        }
        rung
    }

    /// Steps down the newest sessions wherever what was heard shows use above 1.0, until this front's own
    /// load there fits: every front sheds its own part of what is too much.
    fn step_down(&mut self, hand: &mut Hand, now: Ms) {
        let servers: Vec<ServerId> = self.fleet.servers.keys().copied().collect();
        for id in servers {
            let Some(seen) = self.fleet.servers[&id].link else { continue };
            let settle = now + self.terms.share_delay + SETTLE;
            if seen.value > FULL && now >= self.fleet.servers[&id].settled_at && seen.at == now {
                let only = |s: &Sess| s.at == Some(id);
                if self.shed(hand, only, seen.own / seen.value, now) {
                    self.fleet.servers.get_mut(&id).expect("listed").settled_at = settle;
                    self.log.push(format!("link over server={} use={:.2}", id.0, seen.value));
                }
            }
        }
        let racks: Vec<(RackNo, Rack)> = self.fleet.racks.iter().map(|(n, r)| (*n, r.clone())).collect();
        for (no, rack) in racks {
            let Some(seen) = rack.uplink else { continue };
            if seen.value > FULL && now >= rack.settled_at && seen.at == now {
                let members: Vec<ServerId> = self.members(no);
                let only = |s: &Sess| s.at.is_some_and(|a| members.contains(&a));
                if self.shed(hand, only, seen.own / seen.value, now) {
                    let settle = now + self.terms.share_delay + SETTLE;
                    self.fleet.racks.get_mut(&no).expect("heard").settled_at = settle;
                    self.log.push(format!("uplink over rack={} use={:.2}", no.0, seen.value));
                }
            }
        }
    }

    fn members(&self, rack: RackNo) -> Vec<ServerId> {
        let here = self.fleet.servers.values().filter(|s| self.terms.rack(s.listed.cell) == rack);
        here.map(|s| s.listed.id).collect()
    }

    /// Steps the newest of these sessions down a rung each until their load is at most `fits`.
    fn shed(&mut self, hand: &mut Hand, of: impl Fn(&Sess) -> bool, fits: f64, now: Ms) -> bool {
        let terms = &self.terms;
        let mut load: f64 = hand.sess.values().filter(|s| of(s)).map(|s| terms.rate(s.group, s.rung)).sum();
        let mut newest: Vec<(Ms, SessId)> =
            hand.sess.iter().filter(|(_, s)| s.playing && of(s)).map(|(id, s)| (s.came, *id)).collect();
        newest.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut any = false;
        for (_, id) in newest {
            let s = hand.sess.get_mut(&id).expect("a session that was just listed");
            if load <= fits {
                break;
            }
            if now - s.stepped >= HOLD && s.rung > terms.groups[s.group.0 as usize].floor {
                load -= terms.rate(s.group, s.rung) - terms.rate(s.group, s.rung - 1);
                (s.rung, s.stepped, any) = (s.rung - 1, now, true);
                self.rungs.push((id, s.rung));
            }
        }
        any
    }

    /// Steps sessions up where use stays under the mark at the higher rate, the most utility for its rate
    /// first.
    fn step_up(&mut self, hand: &mut Hand, now: Ms) {
        let terms = &self.terms;
        let mut up: Vec<(f64, SessId)> = Vec::new();
        for (id, s) in &hand.sess {
            if s.playing && s.rung < s.top && now - s.stepped >= HOLD {
                let more = terms.rung_utility[s.rung as usize + 1] - terms.rung_utility[s.rung as usize];
                let kb = terms.rate(s.group, s.rung + 1) - terms.rate(s.group, s.rung);
                up.push((terms.groups[s.group.0 as usize].utility * more / kb, *id));
            }
        }
        up.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut loads = hand.loads(&self.terms);
        for (_, id) in up {
            let s = hand.sess.get_mut(&id).expect("a session that was just listed");
            let Some(at) = s.at.filter(|a| self.fleet.servers.contains_key(a)) else { continue };
            let kb = self.terms.rate(s.group, s.rung + 1) - self.terms.rate(s.group, s.rung);
            if !self.may_step_up(at, now) {
                continue;
            }
            if self.fuller_with(&loads, at, kb, now) < MARK {
                (s.rung, s.stepped) = (s.rung + 1, now);
                loads.entry(at).or_default().kb += kb;
                self.rungs.push((id, s.rung));
            }
        }
    }

    /// Whether it is this front's turn on the server's rack, and the server was heard in this turn.
    fn may_step_up(&self, server: ServerId, now: Ms) -> bool {
        let s = &self.fleet.servers[&server];
        let turn = (now / UP_TURN).floor();
        let whose =
            (turn + self.terms.rack(s.listed.cell).0 as f64).rem_euclid(self.terms.fronts.max(1) as f64);
        let heard = s.link.is_some_and(|seen| seen.at - turn * UP_TURN >= 0.0);
        heard && whose == self.terms.my_number as f64
    }

    // ---- the second call: after an outcome ----

    pub fn after(&mut self, hand: &mut Hand, id: SessId, ending: Ending, now: Ms) -> Place {
        let Some(s) = hand.sess.get_mut(&id) else { return Place::Nothing };
        let Some(server) = s.at.take() else { return Place::Nothing };
        if s.playing || s.answered {
            let played = s.playing;
            hand.sess.remove(&id);
            if played && ending == Ending::Broken {
                self.judge(server, Some(ending), now);
            }
            return Place::Nothing;
        }
        if !ending.never_ran() && s.may_have_run.is_none() {
            s.may_have_run = Some((server, s.sent));
        }
        s.tried.push(server);
        self.judge(server, Some(ending), now);
        if ending == Ending::BusyReplied {
            // A busy reply tells that the link is asked for at least as much as the terms say.
            let loads = hand.loads(&self.terms);
            if let Some(from) = self.terms.busy_from.filter(|f| self.link_use(&loads, server) < *f) {
                self.link_heard(hand, server, from, now);
            }
        }
        self.place(hand, id, now)
    }

    /// A server is judged by its failures in a row. `None` is a SETUP that led to play.
    fn judge(&mut self, server: ServerId, ending: Option<Ending>, now: Ms) {
        let Some(r) = self.fleet.servers.get_mut(&server) else { return };
        match ending {
            None => {
                if r.fails >= ASIDE_FROM {
                    self.log.push(format!("server back server={} fails={}", server.0, r.fails));
                }
                (r.fails, r.aside_until) = (0, Ms::NEG_INFINITY);
                if r.died.is_some() && r.back.is_none() {
                    r.back = Some(now);
                }
            }
            Some(Ending::Done | Ending::BusyReplied | Ending::Withdrawn | Ending::NeverSent) => {}
            Some(how) => {
                r.fails += 1;
                if matches!(how, Ending::NoConnection | Ending::Broken) {
                    // Its process may be gone: it is cold when it answers again, whatever the list says.
                    (r.died, r.back) = (Some(now), None);
                }
                if r.fails >= ASIDE_FROM {
                    let longer = 2f64.powi((r.fails - ASIDE_FROM).min(10) as i32);
                    r.aside_until = now + (ASIDE * longer).min(ASIDE_MOST);
                    let (id, n) = (server.0, r.fails);
                    self.log.push(format!("server aside server={id} fails={n} last={how:?}"));
                }
            }
        }
    }

    /// How long until a SETUP may go to this server, if it may be cold; `None` if it may go now. All fronts
    /// share the budget of a cold server: where it leaves each front one SETUP or more in a span, that is
    /// its share; else fronts take turns by their number. Only the warmth at the start is certain. A front
    /// that has just started has spent its share.
    fn cold_wait(&self, server: &ServerId, now: Ms) -> Option<Ms> {
        let cold = self.terms.cold?;
        let r = &self.fleet.servers[server];
        let told = r.listed.started.is_some_and(|t| now < t + cold.lasts);
        let witnessed = r.died.is_some() && r.back.is_none_or(|t| now < t + cold.lasts);
        if !told && !witnessed {
            return None;
        }
        let most = self.terms.kind_streams.get(r.listed.kind.0 as usize).copied().unwrap_or(1.0);
        let n = cold.multiple * most / cold.lasts * cold.from * cold.span * COLD_CERTAIN;
        let fronts = self.terms.fronts.max(1) as f64;
        let share = (n / fronts).floor();
        let (span, share) = match n {
            _ if share >= 1.0 => (cold.span, share),
            n if n >= 1.0 => (cold.span, n.floor()),
            n => (cold.span / n.max(1e-3), 1.0),
        };
        let recent = r.sent_cold.iter().filter(|t| **t > now - span);
        let mut wait: Ms = (self.born + span - now).max(0.0);
        if recent.clone().count() as f64 >= share {
            wait = wait.max(recent.fold(Ms::INFINITY, |a, b| a.min(*b)) + span - now);
        }
        if n / fronts < 1.0 {
            let head = span * TURN_HEAD;
            let turn = span + head;
            let round = turn * fronts;
            let since = (now + wait - turn * self.terms.my_number as f64).rem_euclid(round);
            if since > head * 0.9 {
                wait += round - since;
            }
        }
        (wait > 0.0).then_some(wait)
    }

    // ---- the third call: how long to wait ----

    pub fn wait(&mut self, hand: &mut Hand, now: Ms) -> Due {
        self.step_down(hand, now);
        self.step_up(hand, now);
        let mut due = Due { again_at: now + LOOK, ..Due::default() };
        for (id, s) in &mut hand.sess {
            match s.held_until {
                Some(t) if t <= now => {
                    s.held_until = None;
                    due.place.push(*id);
                }
                Some(t) => due.again_at = due.again_at.min(t),
                None => {}
            }
        }
        if self.terms.may_probe && self.terms.probe_fed {
            let loads = hand.loads(&self.terms);
            let wait = self.pace();
            for s in self.fleet.servers.values_mut() {
                if s.listed.listing != Listing::Gone && loads.contains_key(&s.listed.id) && s.probe_at <= now
                {
                    (s.probe_out, s.probe_at) = (true, now + wait);
                    due.probes.push(s.listed.id);
                }
            }
        }
        if let Some(cold) = self.terms.cold {
            for s in self.fleet.servers.values_mut() {
                s.sent_cold.retain(|t| *t > now - cold.lasts);
            }
        }
        due.rungs = std::mem::take(&mut self.rungs);
        due.log = std::mem::take(&mut self.log);
        due
    }

    fn pace(&mut self) -> Ms {
        PROBE_PACE * (0.9 + 0.2 * self.rng.f64())
    }
}

/// A figure heard, moved on by what this front's own load has changed since. Above full, its own load stands
/// for the whole: if it sheds its part, so do the others.
fn moved_on(seen: Seen, own: f64, size: f64) -> f64 {
    if seen.value > FULL && own < seen.own {
        seen.value * own / seen.own
    } else {
        (seen.value + (own - seen.own) / size).max(0.0)
    }
}

fn mean(of: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = of.fold((0.0, 0u32), |(sum, n), x| (sum + x, n + 1));
    (n > 0).then(|| sum / n as f64)
}

/// Reports may carry anything: what is not a plausible figure does not enter the table.
fn sound(x: f64) -> bool {
    x.is_finite() && (0.0..1e4).contains(&x)
}
