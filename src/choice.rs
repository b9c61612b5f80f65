//! All decisions of the session front. It is asked through three calls: [`Front::place`] (where to send this
//! session, or not yet, or never), [`Front::after`] (what to do after this outcome) and [`Front::wait`] (what
//! is due now, and how long to wait before asking again). News is recorded by plain methods: here where it
//! bears on a decision, else in `front`. The caller keeps the timers and the sessions in hand and decides
//! nothing. The answers stand in `interface`, the state in `front`, `hand`, `fleet` and `terms`.
//! docs/design.md tells what comes from the design page, what was added, and when each addition acts.
use crate::api::{DueActions, PeerReport, Placement, SetupOutcome, PEER_REPORTS_PER_MESSAGE};
use crate::fleet::{ListEntry, Measurement, Server, ServerState, SharedLink};
use crate::ids::{Ms, RackId, ServerId, SessionId};
use crate::sessions::{Load, Session, SessionTable};
use crate::settings::{KeyScope, ListDelivery, RepeatPolicy, ReportColumn, WeightKind};
use crate::state::{ForeignLoad, FrontState};
use std::collections::BTreeMap;

/// Weights of streams and of link plus uplink in a holder's cost.
const ALPHA: f64 = 0.5;
const BETA: f64 = 0.5;
/// Costs that differ by less than this are equal.
const EQUAL: f64 = 1e-6;
/// Use, with the session itself, from which a new one gets a lower rung, and the use for each rung lower. The
/// mark is lower by the part of its link that the session takes, at most by this: where a few sessions fill a
/// link, the next one is as likely to overfill it.
const START_MARK: f64 = 0.8;
const STEP: f64 = 0.1;
const COARSE: f64 = 0.1;
/// Use, at the higher rate, under which a playing session is stepped up; newcomers are let in while use stays
/// under it once all stand at their lowest rungs.
const MARK: f64 = 0.8;
/// Use over which playing sessions are stepped down.
const FULL: f64 = 1.0;
/// A session changes rung at most once in this time, by the delay of delivered shares: what a change led to
/// has been heard by then. 2.5 s where news is as late as on the first deployments.
const HOLD: f64 = 3.0;
/// Shares delivered under this tell of a link or uplink that is asked too much.
const SHORT: f64 = 0.98;
/// What probes may cost, as a share of what sessions earn: each session pays for as many.
const PROBE_SHARE: f64 = 0.04;
/// Time between the probes of a server, for each session that this front has there: probes are priced by
/// the session. The first one comes sooner.
const PROBE_PACE: Ms = 25_000.0;
const PROBE_FIRST: Ms = 1_500.0;
/// After a step down, news older than its own delay and this, by the same delay, is of the time before.
const SETTLE: f64 = 1.2;
/// Weight of a report against what the table expected: reports are noisy.
const MERGE: f64 = 0.5;
/// A report older than this no longer counts: its server is as one not heard from.
const STALE: Ms = 15_000.0;
/// Shares delivered under this are taken for this.
const LEAST_SHARE: f64 = 0.1;
/// Share of the start target that the first SETUP may take while others could follow.
const FIRST_SHARE: f64 = 0.45;
/// A time-out under this share of the start target would cut off sound servers.
const LEAST_TIMEOUT: f64 = 0.1;
/// How long a server is set aside from its first failure in a row, doubled for each further one, and at most.
const ASIDE: Ms = 1_000.0;
const ASIDE_MOST: Ms = 8_000.0;
/// Where fronts tell each other, one that answers again is heard of sooner than it could be asked.
const ASIDE_TOLD: Ms = 4_000.0;
/// Share of a cold server's budget that all fronts may count on.
const COLD_CERTAIN: f64 = 0.9;
/// A holder whose news is older than this is asked by a probe before a session goes there, for so long, at so
/// many holders at most, and while this share of the start target is left.
const ASK_AFTER: Ms = 3_000.0;
const ASK_WAIT: Ms = 200.0;
const ASK_MOST: usize = 3;
const ASK_TARGET: f64 = 0.6;
/// Messages that reach another front, for each request taken: so much is told whatever the number of fronts,
/// and all of them together tell the more often the more requests come.
const TELL_SHARE: f64 = 2.0;
/// How long a busy reply counts as all streams of the server in use.
const BUSY: Ms = 1_000.0;
/// An answer is given this long before the viewer gives up.
const ANSWER_MARGIN: Ms = 30.0;
/// Where the list is asked for, the time between questions by the grace of a drain, and at most: a question
/// whose answer is lost is followed by others in time.
const LIST_PACE: f64 = 0.8;
const LIST_MOST: Ms = 500.0;
/// Where it is followed, by the time after which a front counts as told or news is stale: the first call
/// comes within this share of it, and after a failure the next in about this share, doubled for each further
/// one.
const LIST_FIRST: f64 = 0.25;
const LIST_RETRY: f64 = 0.05;
/// How often the rungs are looked over.
const LOOK: Ms = 250.0;
/// How often a session that waits for a cold server is looked at again.
const COLD_LOOK: Ms = 20.0;

type Loads = BTreeMap<ServerId, Load>;

impl FrontState {
    // ---- news ----

    /// A session plays.
    pub fn session_started(&mut self, hand: &mut SessionTable, id: SessionId, now: Ms) {
        let Some(s) = hand.sessions.get_mut(&id) else { return };
        (s.playing, s.answered, s.rung_set_at) = (true, true, now);
        let erred = std::mem::take(&mut s.errored_servers);
        if let Some(at) = s.server {
            self.judge(at, None, now);
        }
        erred.into_iter().for_each(|server| self.judge(server, Some(SetupOutcome::Errored), now));
    }

    /// A load report, its values in the order of the terms' columns.
    pub fn record_report(&mut self, hand: &mut SessionTable, server: ServerId, values: &[f64], now: Ms) {
        if let (true, Some(s)) = (values.iter().any(|v| sound(*v)), self.fleet.servers.get_mut(&server)) {
            s.last_report_at = now;
        }
        let columns = self.settings.report_columns.clone();
        for (column, &v) in columns.iter().zip(values) {
            match column {
                ReportColumn::Streams => {
                    let own = hand.loads(&self.settings).get(&server).copied().unwrap_or_default();
                    if let (true, Some(s)) = (sound(v), self.fleet.servers.get_mut(&server)) {
                        s.streams = Some(Measurement { value: v, measured_at: now, own_load: own.streams });
                    }
                }
                ReportColumn::Link => self.record_link_use(hand, server, v, now),
                ReportColumn::Uplink => self.record_uplink_use(hand, server, v, now),
                ReportColumn::Other => {}
            }
        }
    }

    /// What is asked of a server's link over what it gives.
    pub fn record_link_use(&mut self, hand: &mut SessionTable, server: ServerId, use_: f64, now: Ms) {
        if self.fleet.servers.contains_key(&server) {
            self.told(hand, SharedLink::Link(server), use_, now);
        }
    }

    /// The same of the uplink of its rack.
    pub fn record_uplink_use(&mut self, hand: &mut SessionTable, server: ServerId, use_: f64, now: Ms) {
        if let Some(rack) = self.rack_of(server) {
            self.told(hand, SharedLink::Uplink(rack), use_, now);
        }
    }

    /// What another front tells of servers. What this front has heard since stands.
    pub fn record_peer_reports(&mut self, hand: &mut SessionTable, news: &[PeerReport], now: Ms) {
        for n in news.iter().filter(|n| sound(n.link_use) && sound(n.stream_use) && sound(n.age)) {
            let own = hand.loads(&self.settings).get(&n.server).copied().unwrap_or_default();
            let Some(s) = self.fleet.servers.get_mut(&n.server) else { continue };
            let at = now - n.age;
            let lives = s.died_at.is_some_and(|died| at > died && now - n.process_age < died);
            // What this front saw fail answered another one since: its own next SETUP tells whether it does
            // so here.
            if s.failures > 0 && at > s.last_failure_at {
                self.judge(n.server, None, now);
            }
            if lives {
                self.confirm_alive(n.server, now - n.process_age);
            }
            let Some(s) = self.fleet.servers.get_mut(&n.server) else { continue };
            if s.link_use.is_some_and(|seen| seen.measured_at >= at) {
                continue;
            }
            let most = self.settings.max_streams(&s.entry);
            s.streams =
                Some(Measurement { value: n.stream_use * most, measured_at: at, own_load: own.streams });
            let line = SharedLink::Link(n.server);
            let there = |s: &Session| self.on_line(s, line);
            let since = hand.growth_since(&self.settings, there, at - self.settings.measurement_delay)
                / self.kb(line);
            // The front that tells it has merged it already.
            self.heard(hand, line, (n.link_use + since).max(0.0), 1.0, at, now);
        }
    }

    /// Whether fronts tell each other: where there are more of them than servers, so that each has less than
    /// one server's part to know of. A front with the part of several hears of them often enough by its own
    /// sessions and probes; two fronts that told each other of every server stepped sessions up and down
    /// several times as often, for three times the probes.
    fn tells(&self) -> bool {
        let ready = self.fleet.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        self.settings.peer_messages_allowed && self.settings.front_count as usize > ready.count().max(1)
    }

    /// News for the other fronts. A probe's answer is worth as much to each of them as to this one, and their
    /// probes are priced like its own: each front earns with each request that it takes a part of one message
    /// to all, asks the servers that it has not heard from of late, and tells what they answer. So news is as
    /// old everywhere as the fleet's requests pay for, however thin the traffic of one front.
    fn tell(&mut self, due: &mut DueActions, now: Ms) {
        let others = self.settings.front_count.saturating_sub(1) as f64;
        if !self.tells() || !self.settings.probes_report_link() {
            return;
        }
        let servers = &self.fleet.servers;
        let heard = |id: &ServerId| {
            servers.get(id).and_then(|s| s.link_use).map_or(Ms::NEG_INFINITY, |l| l.measured_at)
        };
        // Only what this front was answered itself: news passed on and on would never end, that of a dead
        // server too.
        let answered = |id: &ServerId| servers.get(id).map_or(Ms::NEG_INFINITY, |s| s.last_report_at);
        if let Some((asked, since)) = &self.pending_peer_report {
            if now - since < ASK_WAIT && asked.iter().any(|id| answered(id) < *since) {
                due.next_call_at = due.next_call_at.min(since + ASK_WAIT);
                return;
            }
            for id in asked.iter().filter(|id| answered(id) >= *since) {
                let s = &servers[id];
                let most = self.settings.max_streams(&s.entry);
                let streams = s.streams.map_or(0.0, |seen| seen.value) / most;
                due.peer_reports.push(PeerReport {
                    server: *id,
                    stream_use: streams,
                    link_use: s.link_use.map_or(0.0, |l| l.value),
                    process_age: 0.0,
                    age: now - answered(id),
                });
            }
            self.pending_peer_report = None;
        }
        // A front that starts is anywhere in its turn: those that start together do not tell together.
        let (chance, untold) = (self.rng.f64(), self.requests_since_peer_report.unwrap_or(f64::NAN));
        let untold = if untold.is_nan() { chance * others / TELL_SHARE } else { untold };
        self.requests_since_peer_report = Some(untold);
        if untold * TELL_SHARE < others {
            return;
        }
        self.requests_since_peer_report = Some(0.0);
        let able = servers.values().filter(|s| s.entry.state == ServerState::Ready);
        let old = able
            .map(|s| (heard(&s.entry.id), s.entry.id))
            .filter(|(at, _)| now - at > self.settings.measurement_delay);
        let mut old: Vec<(Ms, ServerId)> = old.collect();
        old.sort_by(|a, b| a.0.total_cmp(&b.0));
        let asked: Vec<ServerId> = old.into_iter().take(PEER_REPORTS_PER_MESSAGE).map(|(_, id)| id).collect();
        due.probes.extend(&asked);
        due.next_call_at = due.next_call_at.min(now + ASK_WAIT);
        self.pending_peer_report = Some((asked, now));
    }

    // ---- the list ----

    /// When to ask for the list. Fronts that start together do not ask together: it is one service for all.
    fn ask_list(&mut self, due: &mut DueActions, now: Ms) {
        let (first, pace) = match self.settings.list_delivery {
            ListDelivery::Pushed => return,
            ListDelivery::Watched { assumed_known_after } => {
                (assumed_known_after.min(STALE) * LIST_FIRST, assumed_known_after.min(STALE))
            }
            ListDelivery::Polled { grace } => {
                let pace = (grace * LIST_PACE).clamp(COLD_LOOK, LIST_MOST);
                (pace, pace)
            }
        };
        let at = self.next_list_call_at.unwrap_or_else(|| now + first * self.rng.f64());
        due.request_list = at <= now;
        // A call that nothing answers is followed by another; questions that were missed are not made up for.
        let next = if due.request_list { at.max(now - pace) + pace } else { at };
        self.next_list_call_at = Some(next);
        due.next_call_at = due.next_call_at.min(next);
    }

    /// What was asked for is told: changes come by themselves now.
    pub fn list_received(&mut self) {
        if let ListDelivery::Watched { .. } = self.settings.list_delivery {
            (self.next_list_call_at, self.list_failures) = (Some(Ms::INFINITY), 0);
        }
    }

    /// A call failed, or what was followed broke off: all fronts come again by chance, ever more seldom.
    pub fn list_call_failed(&mut self, now: Ms) {
        let ListDelivery::Watched { assumed_known_after } = self.settings.list_delivery else { return };
        self.list_failures += 1;
        let wait = LIST_RETRY * 2f64.powi(self.list_failures.min(10) - 1) * (0.5 + self.rng.f64());
        self.next_list_call_at = Some(now + assumed_known_after.min(STALE) * wait.min(1.0));
        self.log_lines.push(format!("list not told fails={}", self.list_failures));
    }

    /// A report is about as late as a delivered share: what this front has added since is not yet in it.
    fn told(&mut self, hand: &mut SessionTable, line: SharedLink, use_: f64, now: Ms) {
        let there = |s: &Session| self.on_line(s, line);
        let since =
            hand.growth_since(&self.settings, there, now - self.settings.measurement_delay) / self.kb(line);
        if sound(use_) {
            self.heard(hand, line, (use_ + since).max(0.0), MERGE, now, now);
        }
    }

    /// News of a line enters the table, merged by its weight with what the table expected. Above 1.0 the
    /// newest sessions there are stepped down until this front's own load fits: every front sheds its own
    /// part of what is too much. Just after that, what is told is still of the time before and stays out.
    fn heard(&mut self, hand: &mut SessionTable, line: SharedLink, told: f64, weight: f64, at: Ms, now: Ms) {
        let own = self.own_kb(&hand.loads(&self.settings), line);
        let size = self.kb(line);
        let Some((seen, settled_at)) = self.fleet.link_state_mut(line) else { return };
        if !sound(told) || now < *settled_at {
            return;
        }
        let use_ = match *seen {
            Some(old) if now - old.measured_at < STALE => {
                weight * told + (1.0 - weight) * moved_on(old, own, size)
            }
            _ => told,
        };
        let since = seen.map_or(Ms::INFINITY, |old| at - old.measured_at);
        *seen = Some(Measurement { value: use_, measured_at: at, own_load: own });
        if let SharedLink::Link(id) = line {
            // What was filled within the delay of news is not in it yet.
            let gain = (since / (self.settings.measurement_delay * (1.0 + SETTLE)).max(1.0)).min(1.0);
            self.fill(hand, id, gain, now);
        }
        // Its part is by what it can give: sessions at their lowest rungs, here or elsewhere, give nothing.
        let can_give = 1.0 - self.lowest(hand, |s| self.on_line(s, line));
        let all_can = (1.0 - self.lowest(hand, |s| s.server.is_some())).max(1e-3);
        let fits = own * (1.0 - (1.0 - FULL / use_) * can_give / all_can);
        if use_ > FULL && self.shed(hand, line, fits, now) {
            self.log_lines.push(format!("over {line} use={use_:.2}"));
            let until = now + self.settings.measurement_delay * (1.0 + SETTLE);
            self.fleet.link_state_mut(line).into_iter().for_each(|(_, settled_at)| *settled_at = until);
        }
    }

    /// The share of their rates that sessions at a server got: its link is asked for so much more than it
    /// gives. Where the uplink is what falls short, every server of the rack tells so for itself.
    pub fn record_delivered_share(&mut self, hand: &mut SessionTable, server: ServerId, share: f64, now: Ms) {
        if !sound(share) || !self.fleet.servers.contains_key(&server) {
            return;
        }
        let asked = 1.0 / share.max(LEAST_SHARE);
        // Once it is enough again, only what was heard of a shortage no longer stands.
        if share < SHORT || self.link_use(&hand.loads(&self.settings), server) > asked {
            self.heard(hand, SharedLink::Link(server), asked, 1.0, now, now);
        }
    }

    /// The answer to a probe. Sessions that wait for it are placed next.
    pub fn probe_finished(
        &mut self,
        hand: &mut SessionTable,
        server: ServerId,
        ending: SetupOutcome,
        now: Ms,
    ) {
        for s in hand.sessions.values_mut().filter(|s| s.awaited_probe == Some(server)) {
            s.held_until = Some(now);
        }
        self.judge(server, (ending != SetupOutcome::Done).then_some(ending), now);
    }

    // ---- the first call: where to ----

    pub fn place(&mut self, hand: &mut SessionTable, id: SessionId, now: Ms) -> Placement {
        self.last_call_at = now;
        let Some(s) = hand.sessions.get(&id) else { return Placement::NoAction };
        if s.answered || s.server.is_some() {
            return Placement::NoAction;
        }
        let s = s.clone();
        self.take_stock(hand, &hand.loads(&self.settings), now);
        let answer = self.choose(hand, &s, now);
        let s = hand.sessions.get_mut(&id).expect("the session that was just read");
        match &answer {
            Placement::Setup { server, rung, .. } => {
                if s.setup_count > 0 && self.settings.retry_budget.is_some() {
                    self.retry_times.push_back(now);
                }
                let span = self.settings.cold_start.map_or(0.0, |c| c.window + c.connect_timeout);
                let to = self.fleet.servers.get_mut(server).expect("a holder");
                to.recent_setups.retain(|t| *t > now - span);
                to.recent_setups.push(now);
                (s.server, s.rung, s.setup_sent_at, s.held_until) = (Some(*server), *rung, now, None);
                (s.previous_kb_per_s, s.rate_changed_at) = (0.0, now);
                s.setup_count += 1;
            }
            Placement::NotYet => {
                let asking = self.awaited_probe.take();
                s.held_until = Some(now + if asking.is_some() { ASK_WAIT } else { COLD_LOOK });
                s.awaited_probe = asking;
                s.probed_servers.extend(asking);
                self.pending_probes.extend(asking);
            }
            Placement::NoAction => {}
            Placement::BusyReply { .. } | Placement::TornDown => drop(hand.sessions.remove(&id)),
        }
        answer
    }

    fn choose(&mut self, hand: &SessionTable, s: &Session, now: Ms) -> Placement {
        let group = self.settings.service_groups[s.group.0 as usize].clone();
        let give_up = self.give_up(s);
        let left = s.viewer_deadline - now;
        let seats_gone = group.max_sessions_per_title > 0
            && hand.sessions_of_title(s.title, s.group) >= group.max_sessions_per_title;
        let setups_gone =
            s.setup_count >= self.settings.max_setups || s.setup_count > 0 && !self.budget_left(now);
        if left <= ANSWER_MARGIN || seats_gone || setups_gone {
            return give_up;
        }
        let loads = hand.loads(&self.settings);
        let ready = self.fleet.servers.values().filter(|r| r.entry.state == ServerState::Ready);
        let able: Vec<ServerId> = ready
            .filter(|r| self.settings.is_holder(&r.entry, &s.holders) && self.may_run(s, r, now))
            .map(|r| r.entry.id)
            .filter(|r| self.has_room(hand, &loads, *r, s))
            .collect();
        // Ordinary path: holders neither set aside nor tried by this session; then tried ones last.
        let aside = |r: &ServerId| self.fleet.servers[r].excluded_until > now || s.tried_servers.contains(r);
        let sound_ones: Vec<ServerId> = able.iter().copied().filter(|r| !aside(r)).collect();
        // All holders are set aside or did not take this session: any but the last one tried.
        let last = |r: &ServerId| s.tried_servers.last() == Some(r) && able.len() > 1;
        let others: Vec<ServerId> = able.iter().copied().filter(|r| !last(r)).collect();
        let pick = self.cheapest(&loads, &sound_ones, now).or_else(|| self.cheapest(&loads, &others, now));
        let Some(server) = pick else {
            let soon = able.iter().filter_map(|r| self.cold_wait(r, now)).fold(Ms::INFINITY, Ms::min);
            let in_time =
                now + soon < (s.arrived_at + group.start_target).min(s.viewer_deadline - ANSWER_MARGIN);
            return if in_time { Placement::NotYet } else { give_up };
        };
        let target_left = s.arrived_at + group.start_target - now;
        // Where its news is old, it is asked first: what it answers may change the choice, and sets the rung.
        // Guards against placing by a guess: many fronts, a front that comes back, dead servers still listed.
        // It can harm where probes are slow; a lost answer costs its wait, and none is asked late.
        let news = self.fleet.servers[&server].link_use.map_or(Ms::NEG_INFINITY, |seen| seen.measured_at);
        let in_time = target_left > group.start_target * ASK_TARGET;
        let may_ask = self.settings.probes_report_link() && self.probe_debt <= 0.0;
        if may_ask && now - news > ASK_AFTER && s.probed_servers.len() < ASK_MOST && in_time {
            self.awaited_probe = Some(server);
            return Placement::NotYet;
        }
        let rung = self.rung_for(&loads, server, s);
        // Only the first one is cut short: where two take too long, servers are slow and not dead, and SETUPs
        // given up and sent anew would keep them so.
        let further_ok = s.setup_count == 0 && self.settings.max_setups > 1 && able.len() > 1;
        let timeout = match target_left * FIRST_SHARE {
            t if further_ok && t >= group.start_target * LEAST_TIMEOUT => t.min(left - ANSWER_MARGIN),
            _ => left - ANSWER_MARGIN,
        };
        Placement::Setup { server, rung, timeout }
    }

    /// The answer to a session that this front cannot place; at once, so that its viewer may look elsewhere.
    fn give_up(&mut self, s: &Session) -> Placement {
        let repeat = self.settings.service_groups[s.group.0 as usize].repeat;
        if s.first_uncertain_setup.is_some()
            && !matches!(repeat, RepeatPolicy::Safe | RepeatPolicy::Keyed(KeyScope::All))
        {
            return Placement::TornDown;
        }
        // Those who are turned away together do not come back together.
        let spread = 0.5 + 0.5 * self.rng.f64();
        Placement::BusyReply { retry_after: self.settings.max_retry_after.map(|most| most * spread) }
    }

    /// Whether a further SETUP at this server cannot set the session up twice.
    fn may_run(&self, s: &Session, to: &Server, now: Ms) -> bool {
        let group = &self.settings.service_groups[s.group.0 as usize];
        let Some((first, sent)) = s.first_uncertain_setup else { return true };
        match group.repeat {
            RepeatPolicy::Safe => true,
            RepeatPolicy::Once => false,
            RepeatPolicy::Keyed(scope) => {
                let same = |f: fn(&ListEntry) -> u32| {
                    self.fleet.servers.get(&first).is_some_and(|a| f(&a.entry) == f(&to.entry))
                };
                now - sent < group.key_window
                    && match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => same(|l| l.zone.0 as u32),
                        KeyScope::Cell => same(|l| l.cell.0),
                    }
            }
        }
    }

    /// Guards the budget for further SETUPs: counted before the one that is about to be sent.
    fn budget_left(&mut self, now: Ms) -> bool {
        let Some(b) = self.settings.retry_budget else { return true };
        // At the edge of the span a request may no longer count, a further SETUP still may.
        self.request_times.retain(|t| *t > now - b.window);
        self.retry_times.retain(|t| *t >= now - b.window);
        (self.retry_times.len() + 1) as f64
            <= b.free_retries + b.retries_per_request * self.request_times.len() as f64
    }

    /// WMCA: of the holders that may take a SETUP now, the one of least cost; among equals by chance. Where
    /// few servers are heard from, most are equals, and all fronts would send to the same one.
    fn cheapest(&mut self, loads: &Loads, of: &[ServerId], now: Ms) -> Option<ServerId> {
        let able = of.iter().filter(|r| self.cold_wait(r, now).is_none());
        let mut all: Vec<(f64, ServerId)> = able.map(|r| (self.cost(loads, *r), *r)).collect();
        let least = all.iter().map(|(c, _)| *c).fold(f64::INFINITY, f64::min);
        all.retain(|(c, _)| *c <= least + EQUAL);
        (!all.is_empty()).then(|| all[self.rng.usize(..all.len())].1)
    }

    fn cost(&self, loads: &Loads, server: ServerId) -> f64 {
        let r = &self.fleet.servers[&server];
        let most = self.settings.max_streams(&r.entry);
        let uplink = self.uplink_use(loads, self.settings.rack_of_cell(r.entry.cell));
        ALPHA * self.streams(loads, server, most) / most + BETA * (self.link_use(loads, server) + uplink)
    }

    // ---- the table ----

    /// The told size of a line.
    fn kb(&self, line: SharedLink) -> f64 {
        let weight = |id| {
            let weight = self.fleet.servers.get(&id).map(|s| match self.settings.weight_kind {
                WeightKind::Capacity => s.entry.weight,
                // Else a server would look the smaller the more it carries.
                WeightKind::LoadAdjusted => s.largest_weight,
            });
            weight.map_or(1.0, |weight| weight.max(0.01))
        };
        match line {
            SharedLink::Link(id) => self.settings.link_kb_per_s_per_weight * weight(id),
            SharedLink::Uplink(_) => self.settings.uplink_kb_per_s,
        }
    }

    /// News that is still worth something.
    fn fresh(&self, seen: Option<Measurement>) -> Option<Measurement> {
        seen.filter(|seen| self.last_call_at - seen.measured_at < STALE)
    }

    fn rack_of(&self, server: ServerId) -> Option<RackId> {
        Some(self.settings.rack_of_cell(self.fleet.servers.get(&server)?.entry.cell))
    }

    /// This front's own load on a line.
    fn own_kb(&self, loads: &Loads, line: SharedLink) -> f64 {
        match line {
            SharedLink::Link(id) => loads.get(&id).map_or(0.0, |l| l.kb_per_s),
            SharedLink::Uplink(no) => {
                loads.iter().filter(|(id, _)| self.rack_of(**id) == Some(no)).map(|(_, l)| l.kb_per_s).sum()
            }
        }
    }

    /// Streams at a server: the last report, moved on by this front's own changes since. One not yet heard
    /// from counts as average: its own streams, and of others as many as elsewhere.
    fn streams(&self, loads: &Loads, server: ServerId, most: f64) -> f64 {
        let own = loads.get(&server).map_or(0.0, |l| l.streams);
        let s = &self.fleet.servers[&server];
        match s.streams {
            _ if s.busy_until > self.last_call_at => most,
            Some(seen) => (seen.value + own - seen.own_load).max(own),
            None => own + self.unheard(server, self.foreign_load.streams),
        }
    }

    /// Use of a server's link, likewise.
    fn link_use(&self, loads: &Loads, server: ServerId) -> f64 {
        let own = loads.get(&server).map_or(0.0, |l| l.kb_per_s);
        let size = self.kb(SharedLink::Link(server));
        match self.fresh(self.fleet.servers[&server].link_use) {
            Some(seen) => moved_on(seen, own, size) + self.foreign_load.surge_kb_per_s / size,
            None => {
                own / size
                    + self.unheard(
                        server,
                        self.foreign_load.link_use.unwrap_or(self.foreign_load.kb_per_s / size),
                    )
            }
        }
    }

    /// What the other fronts carry on a server not heard from: the average. A server that the list tells to
    /// be in its warm-up carries only what is sent to it: a building that comes back would look as full as
    /// those that took its load. It can fill up unseen where all fronts send there before any report.
    fn unheard(&self, server: ServerId, average: f64) -> f64 {
        let started = self.fleet.servers[&server].entry.started_at;
        let cold = started
            .zip(self.settings.cold_start)
            .is_some_and(|(t, cold)| self.last_call_at < t + cold.duration);
        if cold {
            0.0
        } else {
            average
        }
    }

    /// What others carry on a server on average: as on those heard from or, while nothing is heard, what they
    /// carry if they do as this front does. They are also taken to have added to each server, unseen as yet,
    /// what this front has added to all of late: a crowd comes to all fronts, and all follow the same news.
    /// Where a crowd comes to this front alone, it keeps clear of more servers than it need.
    fn take_stock(&mut self, hand: &SessionTable, loads: &Loads, now: Ms) {
        let ready = self.fleet.servers.values().filter(|s| s.entry.state == ServerState::Ready).count();
        let alike = self.settings.front_count.saturating_sub(1) as f64 / ready.max(1) as f64;
        let total = |of: fn(&Load) -> f64| loads.values().map(of).sum::<f64>() * alike;
        let (streams, kb) = (total(|l| l.streams), total(|l| l.kb_per_s));
        let grown = hand.growth_since(&self.settings, |_| true, now - self.settings.measurement_delay);
        let heard =
            self.fleet.servers.values().filter_map(|s| s.streams.map(|seen| seen.value - seen.own_load));
        let streams = mean(heard).unwrap_or(streams);
        let link = mean(self.fleet.servers.values().filter_map(|s| {
            let seen = self.fresh(s.link_use)?;
            Some((seen.value - seen.own_load / self.kb(SharedLink::Link(s.entry.id))).max(0.0))
        }));
        self.foreign_load =
            ForeignLoad { streams, kb_per_s: kb, link_use: link, surge_kb_per_s: grown.max(0.0) * alike };
    }

    /// Use of a rack's uplink: what was heard, else the sum of its links' loads over its told size.
    fn uplink_use(&self, loads: &Loads, rack: RackId) -> f64 {
        let line = SharedLink::Uplink(rack);
        // A rack that was heard full and left alone is not heard of again: like a link's, its news ages.
        if let Some(seen) = self.fresh(self.fleet.racks.get(&rack).and_then(|r| r.uplink_use)) {
            return moved_on(seen, self.own_kb(loads, line), self.kb(line));
        }
        // Where uplinks are heard of, one not heard from counts as average too.
        let heard = self.fleet.racks.values().filter_map(|r| self.fresh(r.uplink_use));
        mean(heard.map(|seen| seen.value)).unwrap_or_else(|| {
            let servers = self.fleet.servers.values().filter(|s| s.entry.state != ServerState::Gone);
            let here =
                servers.filter(|s| self.settings.rack_of_cell(s.entry.cell) == rack).map(|s| s.entry.id);
            here.map(|id| self.link_use(loads, id) * self.kb(SharedLink::Link(id))).sum::<f64>()
                / self.kb(line)
        })
    }

    /// Use of the fuller of link and uplink when `kb` more is asked of both.
    fn fuller_with(&self, loads: &Loads, server: ServerId, kb: f64) -> f64 {
        let rack = self.settings.rack_of_cell(self.fleet.servers[&server].entry.cell);
        let link = self.link_use(loads, server) + kb / self.kb(SharedLink::Link(server));
        link.max(self.uplink_use(loads, rack) + kb / self.kb(SharedLink::Uplink(rack)))
    }

    /// Whether one more session at its lowest rung fits a server's link and uplink once all there stand at
    /// theirs. Others are taken to stand as high as this front's own do, wherever they play: on one line it
    /// has a session or two, or none. Guards against a crowd in which everyone gets too little to go on
    /// watching: there, a busy reply does less harm than one more session. It can turn viewers away for
    /// nothing while a shortage that was heard is already over; a guess at what was not heard turns nobody
    /// away.
    fn has_room(&self, hand: &SessionTable, loads: &Loads, server: ServerId, new: &Session) -> bool {
        let floor = |s: &Session| {
            s.rate(&self.settings, self.settings.service_groups[s.group.0 as usize].lowest_rung)
        };
        let height = self.lowest(hand, |s| s.server.is_some());
        let r = &self.fleet.servers[&server];
        let rack = self.settings.rack_of_cell(r.entry.cell);
        let uplink = self.fleet.racks.get(&rack).and_then(|r| r.uplink_use);
        let full = |line, use_: f64| use_ * height + floor(new) / self.kb(line) > MARK;
        r.busy_until <= self.last_call_at
            && !(self.fresh(r.link_use).is_some()
                && full(SharedLink::Link(server), self.link_use(loads, server)))
            && !(self.fresh(uplink).is_some() && full(SharedLink::Uplink(rack), self.uplink_use(loads, rack)))
    }

    /// What is left of the load of these sessions once each stands at its lowest rung, as a share of it; a
    /// front that has none knows nothing of heights and turns nobody away for them.
    fn lowest(&self, hand: &SessionTable, of: impl Fn(&Session) -> bool) -> f64 {
        let floor = |s: &Session| {
            s.rate(&self.settings, self.settings.service_groups[s.group.0 as usize].lowest_rung)
        };
        let of = hand.sessions.values().filter(|s| of(s));
        let (least, now) =
            of.fold((0.0, 0.0), |(a, b), s| (a + floor(s), b + s.rate(&self.settings, s.rung)));
        least / now.max(1e-3)
    }

    fn on_line(&self, s: &Session, line: SharedLink) -> bool {
        s.server.is_some_and(|at| match line {
            SharedLink::Link(id) => at == id,
            SharedLink::Uplink(no) => self.rack_of(at) == Some(no),
        })
    }

    // ---- rungs ----

    /// A new session's rung: the top, one lower for each tenth of use above the mark. Use is counted with the
    /// session at that rung: one at the top may be a good part of a link.
    fn rung_for(&self, loads: &Loads, server: ServerId, s: &Session) -> u8 {
        let floor = self.settings.service_groups[s.group.0 as usize].lowest_rung;
        let fits = |rung: &u8| {
            let kb = s.rate(&self.settings, *rung);
            let mark = START_MARK - (kb / self.kb(SharedLink::Link(server))).min(COARSE);
            let lower = ((self.fuller_with(loads, server, kb) - mark) / STEP).ceil().max(0.0);
            (s.highest_rung - *rung) as f64 >= lower
        };
        (floor..=s.highest_rung).rev().find(fits).unwrap_or(floor)
    }

    /// Steps the newest of the sessions on a line down a rung each until their load is at most `fits`.
    fn shed(&mut self, hand: &mut SessionTable, line: SharedLink, fits: f64, now: Ms) -> bool {
        let terms = &self.settings;
        let mut load: f64 =
            hand.sessions.values().filter(|s| self.on_line(s, line)).map(|s| s.rate(terms, s.rung)).sum();
        let on_it = hand.sessions.iter().filter(|(_, s)| s.playing && self.on_line(s, line));
        let mut newest: Vec<(Ms, SessionId)> = on_it.map(|(id, s)| (s.arrived_at, *id)).collect();
        newest.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let before = self.rung_changes.len();
        for (_, id) in newest {
            let s = hand.sessions.get_mut(&id).expect("a session that was just listed");
            if load <= fits {
                break;
            }
            let floor = terms.service_groups[s.group.0 as usize].lowest_rung;
            if now - s.rung_set_at >= HOLD * terms.measurement_delay && s.rung > floor {
                let less = |rung: u8| s.rate(terms, s.rung) - s.rate(terms, rung);
                // One rung, but for changes that cost more than a rung does in the time that news counts.
                let costs = |rung: u8| {
                    let lost = terms.rung_utility[s.rung as usize] - terms.rung_utility[rung as usize];
                    (terms.rung_change_cost + STALE * lost) / less(rung)
                };
                let to = (floor..s.rung).rev().min_by(|a, b| costs(*a).total_cmp(&costs(*b)));
                let to = to.expect("a rung over the floor");
                let less = less(to);
                // A rung may be far more than this front's part of the excess: the last one goes by chance,
                // or all fronts together would shed several times what is too much.
                if load - fits < less * self.rng.f64() {
                    break;
                }
                load -= less;
                (s.previous_kb_per_s, s.rate_changed_at) = (s.rate(terms, s.rung), now);
                (s.rung, s.rung_set_at) = (to, now);
                self.rung_changes.push((id, s.rung));
            }
        }
        self.rung_changes.len() > before
    }

    /// Steps sessions on a link up a rung each while use stays under the mark at the higher rate, the most
    /// utility for its rate first. As in `shed`, each front takes its own part of the room, in the share that
    /// it has of the use, and the last rung goes by chance: fronts that hear the same news fill the room
    /// once, however many they are. Where they carry very unequal shares the room fills more slowly. What
    /// is left of the part stands until the next news, for sessions that still are within their hold.
    fn fill(&mut self, hand: &mut SessionTable, server: ServerId, gain: f64, now: Ms) {
        let loads = hand.loads(&self.settings);
        self.take_stock(hand, &loads, now);
        let room =
            |use_: f64, line| (MARK - use_) * (self.own_kb(&loads, line) / use_.max(1e-3)).min(self.kb(line));
        let rack = self.settings.rack_of_cell(self.fleet.servers[&server].entry.cell);
        let part = room(self.link_use(&loads, server), SharedLink::Link(server))
            .min(room(self.uplink_use(&loads, rack), SharedLink::Uplink(rack)));
        self.fleet.servers.get_mut(&server).expect("heard").spare_kb_per_s = part * gain;
        self.step_up(hand, server, now);
    }

    /// Steps sessions up a rung each while this front's part of the room lasts.
    fn step_up(&mut self, hand: &mut SessionTable, server: ServerId, now: Ms) {
        let mut loads = hand.loads(&self.settings);
        let terms = &self.settings;
        let mut up: Vec<(f64, SessionId)> = Vec::new();
        for (id, s) in &hand.sessions {
            if s.playing && s.server == Some(server) && s.rung < s.highest_rung {
                let more = terms.rung_utility[s.rung as usize + 1] - terms.rung_utility[s.rung as usize];
                // What has stood for as long as the change takes to be earned back is likely to stand on.
                let earns_back = terms.rung_change_cost / more.max(1e-3);
                if now - s.rung_set_at < (HOLD * terms.measurement_delay).max(earns_back) {
                    continue;
                }
                let kb = s.rate(terms, s.rung + 1) - s.rate(terms, s.rung);
                up.push((terms.service_groups[s.group.0 as usize].utility * more / kb, *id));
            }
        }
        up.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in up {
            let s = hand.sessions.get_mut(&id).expect("a session that was just listed");
            let kb = s.rate(&self.settings, s.rung + 1) - s.rate(&self.settings, s.rung);
            let part = self.fleet.servers[&server].spare_kb_per_s;
            let fits = self.fuller_with(&loads, server, kb) < MARK && part >= kb * self.rng.f64();
            self.fleet.servers.get_mut(&server).expect("listed").spare_kb_per_s =
                if fits { part - kb } else { 0.0 };
            if !fits {
                break;
            }
            (s.previous_kb_per_s, s.rate_changed_at) = (s.rate(&self.settings, s.rung), now);
            (s.rung, s.rung_set_at) = (s.rung + 1, now);
            loads.entry(server).or_default().kb_per_s += kb;
            self.rung_changes.push((id, s.rung));
        }
    }

    // ---- the second call: after an outcome ----

    pub fn after_outcome(
        &mut self,
        hand: &mut SessionTable,
        id: SessionId,
        ending: SetupOutcome,
        now: Ms,
    ) -> Placement {
        let Some(s) = hand.sessions.get_mut(&id) else { return Placement::NoAction };
        let Some(server) = s.server.take() else { return Placement::NoAction };
        if s.playing || s.answered {
            let played = s.playing;
            hand.sessions.remove(&id);
            if played && ending == SetupOutcome::Broken {
                self.judge(server, Some(ending), now);
            }
            return Placement::NoAction;
        }
        if !ending.never_ran() && s.first_uncertain_setup.is_none() {
            s.first_uncertain_setup = Some((server, s.setup_sent_at));
        }
        s.tried_servers.push(server);
        // An error is the server's once another one takes the session, or where no other may be asked. Else
        // it is the session's: one that no server can use would set aside each that is asked. Guards against
        // viewers that ask for what is not there. Where all holders of a title err alike, none of them is set
        // aside.
        if ending == SetupOutcome::Errored {
            s.errored_servers.push(server);
        } else {
            self.judge(server, Some(ending), now);
        }
        let alone = s.errored_servers == [server];
        if ending == SetupOutcome::BusyReplied {
            // Else the server would stay cheapest and draw every retry, whether its link, its streams or its
            // queue is full. Where it has room again at once, it is left out for a moment for nothing.
            self.fleet.servers.get_mut(&server).expect("sent there").busy_until = now + BUSY;
        }
        let place = self.place(hand, id, now);
        if alone && matches!(place, Placement::BusyReply { .. } | Placement::TornDown) {
            self.judge(server, Some(SetupOutcome::Errored), now);
        }
        place
    }

    /// A server is judged by its failures in a row. `None` is a SETUP that led to play.
    fn judge(&mut self, server: ServerId, ending: Option<SetupOutcome>, now: Ms) {
        let tells = self.tells();
        let Some(r) = self.fleet.servers.get_mut(&server) else { return };
        match ending {
            None => {
                if r.failures > 0 {
                    self.log_lines.push(format!("server back server={} fails={}", server.0, r.failures));
                }
                (r.failures, r.excluded_until) = (0, Ms::NEG_INFINITY);
                if r.died_at.is_some() && r.recovered_at.is_none() {
                    r.recovered_at = Some(now);
                }
            }
            Some(
                SetupOutcome::Done
                | SetupOutcome::BusyReplied
                | SetupOutcome::Withdrawn
                | SetupOutcome::NeverSent,
            ) => {}
            Some(how) => {
                r.failures += 1;
                r.last_failure_at = now;
                if matches!(how, SetupOutcome::NoConnection | SetupOutcome::Broken) {
                    // Its process may be gone: it is cold when it answers again, whatever the list says.
                    (r.died_at, r.recovered_at) = (Some(now), None);
                }
                let first = if tells { ASIDE_TOLD } else { ASIDE };
                r.excluded_until = now + (first * 2f64.powi(r.failures.min(10) as i32 - 1)).min(ASIDE_MOST);
                self.log_lines
                    .push(format!("server aside server={} fails={} last={how:?}", server.0, r.failures));
            }
        }
    }

    /// The process of a server is one that was there at that time: what was taken for its death since then
    /// was none, and it is as warm as before. Guards against a zone that was only cut off for seconds, or
    /// connections reset, leaving each server alone for its whole warm-up in each front that noticed.
    pub fn confirm_alive(&mut self, server: ServerId, since: Ms) {
        let Some(r) = self.fleet.servers.get_mut(&server) else { return };
        if r.died_at.is_some_and(|died| since < died) {
            self.log_lines.push(format!("server lives server={}", server.0));
            (r.died_at, r.recovered_at) = (None, None);
        }
    }

    /// How long until a SETUP may go to this server, if it may be cold; `None` if it may go now. All fronts
    /// share its budget: where that leaves each one SETUP or more in a span, that is its share; else the
    /// server is left alone until warm, as no front can know what others send. Only the warmth at the start
    /// is certain. A front that starts has spent its share; shares are further apart than a span, as a SETUP
    /// may wait for its connection. Harms where much of a fleet is cold at once: the rest must carry all.
    fn cold_wait(&self, server: &ServerId, now: Ms) -> Option<Ms> {
        let cold = self.settings.cold_start?;
        let r = &self.fleet.servers[server];
        // What was seen to die comes back cold; without probes only the list tells when.
        let back = r.recovered_at.or(r.died_at.filter(|_| !self.settings.probes_allowed));
        let witnessed = r.died_at.map(|_| back.map_or(Ms::INFINITY, |t| t + cold.duration));
        let told = r.entry.started_at.map(|t| t + cold.duration);
        let warm_at = witnessed.into_iter().chain(told).fold(now, Ms::max);
        if warm_at <= now {
            return None;
        }
        let most = self.settings.max_streams(&r.entry);
        let all = cold.rate_multiple * most / cold.duration * cold.initial_share * cold.window * COLD_CERTAIN;
        let share = (all / self.settings.front_count.max(1) as f64).floor();
        if share < 1.0 {
            return Some(warm_at - now);
        }
        let span = cold.window + cold.connect_timeout;
        let recent = r.recent_setups.iter().filter(|t| **t > now - span);
        let mut wait: Ms = (self.started_at + span - now).max(0.0);
        if recent.clone().count() as f64 >= share {
            wait = wait.max(recent.fold(Ms::INFINITY, |a, b| a.min(*b)) + span - now);
        }
        (wait > 0.0).then_some(wait)
    }

    // ---- the third call: how long to wait ----

    pub fn due_actions(&mut self, hand: &mut SessionTable, now: Ms) -> DueActions {
        self.last_call_at = now;
        let roomy = self.fleet.servers.values().filter(|s| s.spare_kb_per_s > 0.0).map(|s| s.entry.id);
        for id in roomy.collect::<Vec<_>>() {
            self.step_up(hand, id, now);
        }
        let mut due = DueActions { next_call_at: now + LOOK, ..DueActions::default() };
        due.probes = std::mem::take(&mut self.pending_probes);
        let servers = &self.fleet.servers;
        let leaves = |id| servers.get(&id).is_none_or(|r| r.entry.state != ServerState::Ready);
        for (id, s) in &mut hand.sessions {
            match s.held_until {
                // What a server answers that takes nothing new any more is not waited for.
                Some(t) if t <= now || s.awaited_probe.is_some_and(leaves) => {
                    (s.held_until, s.awaited_probe) = (None, None);
                    due.sessions_to_place.push(*id);
                }
                Some(t) => due.next_call_at = due.next_call_at.min(t),
                None => {}
            }
        }
        let loads = hand.loads(&self.settings);
        let listed = |s: &&mut Server| s.entry.state != ServerState::Gone;
        let tells = self.tells();
        for s in self.fleet.servers.values_mut().filter(listed).filter(|_| self.settings.probes_allowed) {
            // A probe, not a viewer's session, tries a server that was set aside.
            if s.failures > 0 {
                if s.entry.state == ServerState::Ready && s.excluded_until <= now {
                    s.excluded_until = now + ASIDE;
                    due.probes.push(s.entry.id);
                }
                continue;
            }
            let asks = self.settings.reports_by_probe
                && self.settings.probes_report_link()
                && self.probe_debt <= 0.0;
            let Some(own) = loads.get(&s.entry.id).filter(|_| asks) else { continue };
            let next = now + PROBE_PACE / own.streams;
            let known = s.link_use.is_some_and(|seen| now - seen.measured_at < PROBE_FIRST);
            let from = if tells { PROBE_FIRST } else { 0.0 };
            let first = if known { next } else { now + from + PROBE_FIRST * self.rng.f64() };
            // What another front told in the meantime is as good as an answer of its own.
            let told = s.link_use.map_or(now, |seen| seen.measured_at + PROBE_PACE / own.streams);
            if *s.next_probe_at.get_or_insert(first) <= now {
                s.next_probe_at = Some(if told <= now { next } else { told });
                if told <= now {
                    due.probes.push(s.entry.id);
                }
            }
        }
        self.tell(&mut due, now);
        self.probe_debt += due.probes.len() as f64 * self.settings.probe_cost / PROBE_SHARE;
        self.ask_list(&mut due, now);
        due.rung_changes = std::mem::take(&mut self.rung_changes);
        due.log_lines = std::mem::take(&mut self.log_lines);
        due
    }
}

/// A figure heard, moved on by what this front's own load has changed since. Once this front has shed its
/// part of what was over full, the others are taken to have shed theirs.
fn moved_on(seen: Measurement, own: f64, size: f64) -> f64 {
    let now = (seen.value + (own - seen.own_load) / size).max(0.0);
    if seen.value > FULL && own < seen.own_load {
        now.min(FULL)
    } else {
        now
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
