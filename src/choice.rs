//! All decisions of the session front. The caller asks three questions: [`FrontState::place`] (where does
//! this session go), [`FrontState::after_outcome`] (what follows from this outcome) and
//! [`FrontState::due_actions`] (what is due now, and when to ask again). Reports and other events are
//! recorded by further methods: here where they bear on a decision, else in `state`. The caller keeps the
//! timers and the session table and decides nothing itself. The types of the answers are in `api`; the state
//! is in `state`, `sessions`, `fleet` and `settings`. docs/design.md describes the design, its extensions and
//! when each of them acts.
use crate::api::{DueActions, PeerReport, Placement, SetupOutcome, PEER_REPORTS_PER_MESSAGE};
use crate::fleet::{ListEntry, Measurement, Server, ServerState, SharedLink};
use crate::ids::{Ms, RackId, ServerId, SessionId};
use crate::past_setups::PastSetup;
use crate::sessions::{Load, Session, SessionTable};
use crate::settings::{KeyScope, ListDelivery, RepeatPolicy, ReportColumn, WeightKind};
use crate::state::{ForeignLoad, FrontState};
use std::collections::BTreeMap;

/// Weight of the streams in a holder's cost.
const ALPHA: f64 = 0.5;
/// Weight of the use of link and uplink in a holder's cost.
const BETA: f64 = 0.5;
/// Costs that differ by less are equal.
const COST_TOLERANCE: f64 = 1e-6;
/// Use, including the new session, above which a session starts below its highest rung.
const START_USE: f64 = 0.8;
/// A session starts one rung lower for each such step of use above `START_USE`.
const START_USE_PER_RUNG: f64 = 0.1;
/// `START_USE` is lowered by the share of the link that the session itself takes, at most by this: where a
/// few sessions fill a link, the next one is likely to overload it.
const MAX_START_USE_REDUCTION: f64 = 0.1;
/// Playing sessions are stepped up while use at the higher rate stays under this. New sessions are accepted
/// while use would stay under it with all sessions at their lowest rungs.
const TARGET_USE: f64 = 0.8;
/// Playing sessions are stepped down above this use.
const FULL_USE: f64 = 1.0;
/// Least time between two changes of a session's rung, in measurement delays: the effect of the first change
/// has been measured by then. At the delays of the first deployments this is 2.5 s.
const RUNG_HOLD_DELAYS: f64 = 3.0;
/// A smaller delivered share shows an overloaded link or uplink.
const SUFFICIENT_SHARE: f64 = 0.98;
/// Most that probes may cost, as a share of the utility of sessions: each session pays for as many as that
/// allows.
const PROBE_COST_SHARE: f64 = 0.04;
/// Interval between probes of a server that has one session of this front. With more sessions it is divided
/// by their number, as sessions pay for probes.
const PROBE_INTERVAL: Ms = 25_000.0;
/// The first probe of a server comes at a random moment within this time. Where fronts exchange reports, it is
/// deferred by as much again.
const FIRST_PROBE_WITHIN: Ms = 1_500.0;
/// After a step down, reports are ignored for the measurement delay and this many further delays: they show
/// the load before it.
const SETTLE_DELAYS: f64 = 1.2;
/// Weight of a report against the value expected from earlier ones: single reports are noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Age above which a measurement no longer counts, as if there were none.
const MEASUREMENT_LIFETIME: Ms = 15_000.0;
/// Smaller delivered shares count as this.
const MIN_DELIVERED_SHARE: f64 = 0.1;
/// Share of the remaining start target that the first SETUP may take where another could follow.
pub(crate) const FIRST_SETUP_SHARE: f64 = 0.45;
/// Least time-out of a first SETUP, as a share of the start target: a shorter one would cut off healthy
/// servers. A first SETUP that is left with less may take all of the viewer's remaining time.
const MIN_TIMEOUT_SHARE: f64 = 0.1;
/// For how long a server is set aside after its first failure; doubled with each consecutive one.
const EXCLUSION_BASE: Ms = 1_000.0;
/// Longest time for which a server is set aside.
const EXCLUSION_MAX: Ms = 8_000.0;
/// `EXCLUSION_BASE` where fronts exchange reports. It is longer, as another front reports a server's recovery
/// sooner than a probe of this front would show it.
const EXCLUSION_BASE_WITH_PEERS: Ms = 4_000.0;
/// Share of a cold server's budget that all fronts together may use.
const COLD_BUDGET_SHARE: f64 = 0.9;
/// A holder whose last measurement is older is probed before a session goes there.
const PROBE_IF_OLDER_THAN: Ms = 3_000.0;
/// How long the answer to a probe is waited for.
const PROBE_WAIT: Ms = 200.0;
/// Most of the viewer's remaining time for which the answer to a probe is waited for.
const MAX_PROBE_WAIT_SHARE: f64 = 0.5;
/// Most holders that are probed for one session.
const MAX_PROBES_PER_SESSION: usize = 3;
/// Holders are probed only while more than this share of the start target is left.
const MIN_TARGET_LEFT_TO_PROBE: f64 = 0.6;
/// Messages that fronts receive from this one, for each request: the cost does not depend on the number of
/// fronts, and all fronts together report the more often the more requests arrive.
const PEER_MESSAGES_PER_REQUEST: f64 = 2.0;
/// For how long after a busy reply all streams of the server count as in use.
const BUSY_DURATION: Ms = 1_000.0;
/// Viewers are answered this long before they give up.
pub(crate) const ANSWER_MARGIN: Ms = 30.0;
/// Interval between calls for a polled list, as a share of the drain grace: if one answer is lost, another
/// arrives in time.
const LIST_POLL_SHARE: f64 = 0.8;
const MAX_LIST_POLL_INTERVAL: Ms = 500.0;
/// The first watch call comes within this share of the time after which the list is assumed known, or of
/// `MEASUREMENT_LIFETIME` if that is shorter.
const FIRST_LIST_CALL_SHARE: f64 = 0.25;
/// Mean wait after a failed watch call, as a share of the same time; doubled with each consecutive failure.
const LIST_RETRY_SHARE: f64 = 0.05;
/// Interval at which the rungs are reviewed.
const REVIEW_INTERVAL: Ms = 250.0;
/// Interval at which a session that waits for a cold server is reviewed.
const COLD_REVIEW_INTERVAL: Ms = 20.0;

type Loads = BTreeMap<ServerId, Load>;

impl FrontState {
    // ---- reports and other events ----

    /// Records that a session started to play.
    pub fn session_started(&mut self, table: &mut SessionTable, id: SessionId, now: Ms) {
        let Some(session) = table.sessions.get_mut(&id) else { return };
        (session.playing, session.answered, session.rung_set_at) = (true, true, now);
        let errored = std::mem::take(&mut session.errored_servers);
        if let Some(server) = session.server {
            self.update_health(server, None, now);
        }
        errored.into_iter().for_each(|server| self.update_health(server, Some(SetupOutcome::Errored), now));
    }

    /// Records a load report, whose values are in the order of the settings' report columns.
    pub fn record_report(&mut self, table: &mut SessionTable, server: ServerId, values: &[f64], now: Ms) {
        if let (true, Some(record)) =
            (values.iter().any(|v| is_plausible(*v)), self.fleet.servers.get_mut(&server))
        {
            record.last_report_at = now;
        }
        let columns = self.settings.report_columns.clone();
        for (column, &value) in columns.iter().zip(values) {
            match column {
                ReportColumn::Streams => {
                    let own = table.loads(&self.settings).get(&server).copied().unwrap_or_default();
                    if let (true, Some(record)) = (is_plausible(value), self.fleet.servers.get_mut(&server)) {
                        record.streams = Some(Measurement { value, measured_at: now, own_load: own.streams });
                    }
                }
                ReportColumn::Link => self.record_link_use(table, server, value, now),
                ReportColumn::Uplink => self.record_uplink_use(table, server, value, now),
                ReportColumn::Other => {}
            }
        }
    }

    /// Records the demand on a server's link as a share of its capacity.
    pub fn record_link_use(&mut self, table: &mut SessionTable, server: ServerId, use_: f64, now: Ms) {
        if self.fleet.servers.contains_key(&server) {
            self.record_use(table, SharedLink::Link(server), use_, now);
        }
    }

    /// Records the demand on the uplink of a server's rack as a share of its capacity.
    pub fn record_uplink_use(&mut self, table: &mut SessionTable, server: ServerId, use_: f64, now: Ms) {
        if let Some(rack) = self.rack_of(server) {
            self.record_use(table, SharedLink::Uplink(rack), use_, now);
        }
    }

    /// Records reports of another front. Newer measurements of this front's own stay.
    pub fn record_peer_reports(&mut self, table: &mut SessionTable, reports: &[PeerReport], now: Ms) {
        for report in reports
            .iter()
            .filter(|r| is_plausible(r.link_use) && is_plausible(r.stream_use) && is_plausible(r.age))
        {
            let own = table.loads(&self.settings).get(&report.server).copied().unwrap_or_default();
            let Some(record) = self.fleet.servers.get_mut(&report.server) else { continue };
            let measured_at = now - report.age;
            let survived =
                record.died_at.is_some_and(|died| measured_at > died && now - report.process_age < died);
            // The server has answered another front since it failed here: the next SETUP of this front shows
            // whether it answers this one too.
            if record.failures > 0 && measured_at > record.last_failure_at {
                self.update_health(report.server, None, now);
            }
            if survived {
                self.confirm_alive(report.server, now - report.process_age);
            }
            let Some(record) = self.fleet.servers.get_mut(&report.server) else { continue };
            if record.link_use.is_some_and(|last| last.measured_at >= measured_at) {
                continue;
            }
            let max_streams = self.settings.max_streams(&record.entry);
            record.streams = Some(Measurement {
                value: report.stream_use * max_streams,
                measured_at,
                own_load: own.streams,
            });
            let link = SharedLink::Link(report.server);
            let on_link = |s: &Session| self.uses_link(s, link);
            let growth =
                table.growth_since(&self.settings, on_link, measured_at - self.settings.measurement_delay)
                    / self.capacity(link);
            // The reporting front has already smoothed this value.
            self.merge_measurement(table, link, (report.link_use + growth).max(0.0), 1.0, measured_at, now);
        }
    }

    /// Whether fronts exchange reports: only where there are more fronts than servers, so that each front
    /// carries less than one server's load. A front that carries more measures all servers often enough by
    /// its own sessions and probes. Two fronts that exchanged reports on every server changed rungs several
    /// times as often, at three times the probes.
    fn exchanges_peer_reports(&self) -> bool {
        let ready = self.fleet.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        self.settings.peer_messages_allowed && self.settings.front_count as usize > ready.count().max(1)
    }

    /// Prepares reports for the other fronts. The answer to a probe is worth as much to each of them as to
    /// this front, and all pay the same price for probes. So each request pays for a part of one message to
    /// all fronts; once a message is paid for, this front probes the servers with the oldest measurements and
    /// reports their answers. The age of measurements thus depends on the requests of the whole fleet, not on
    /// the traffic of one front.
    fn report_to_peers(&mut self, due: &mut DueActions, now: Ms) {
        let other_fronts = self.settings.front_count.saturating_sub(1) as f64;
        if !self.exchanges_peer_reports() || !self.settings.probes_report_link() {
            return;
        }
        let servers = &self.fleet.servers;
        let measured_at = |id: &ServerId| {
            servers.get(id).and_then(|s| s.link_use).map_or(Ms::NEG_INFINITY, |l| l.measured_at)
        };
        // Only answers to this front itself are passed on: else reports would circulate for ever, those on
        // dead servers too.
        let answered_at = |id: &ServerId| servers.get(id).map_or(Ms::NEG_INFINITY, |s| s.last_report_at);
        if let Some((probed, since)) = &self.pending_peer_report {
            if now - since < PROBE_WAIT && probed.iter().any(|id| answered_at(id) < *since) {
                due.next_call_at = due.next_call_at.min(since + PROBE_WAIT);
                return;
            }
            for id in probed.iter().filter(|id| answered_at(id) >= *since) {
                let record = &servers[id];
                let max_streams = self.settings.max_streams(&record.entry);
                let stream_use = record.streams.map_or(0.0, |m| m.value) / max_streams;
                due.peer_reports.push(PeerReport {
                    server: *id,
                    stream_use,
                    link_use: record.link_use.map_or(0.0, |l| l.value),
                    process_age: 0.0,
                    age: now - answered_at(id),
                });
            }
            self.pending_peer_report = None;
        }
        // A random initial count keeps fronts that start together from reporting together.
        let (chance, requests) = (self.rng.f64(), self.requests_since_peer_report.unwrap_or(f64::NAN));
        let requests =
            if requests.is_nan() { chance * other_fronts / PEER_MESSAGES_PER_REQUEST } else { requests };
        self.requests_since_peer_report = Some(requests);
        if requests * PEER_MESSAGES_PER_REQUEST < other_fronts {
            return;
        }
        self.requests_since_peer_report = Some(0.0);
        let ready = servers.values().filter(|s| s.entry.state == ServerState::Ready);
        let oldest = ready
            .map(|s| (measured_at(&s.entry.id), s.entry.id))
            .filter(|(at, _)| now - at > self.settings.measurement_delay);
        let mut oldest: Vec<(Ms, ServerId)> = oldest.collect();
        oldest.sort_by(|a, b| a.0.total_cmp(&b.0));
        let probed: Vec<ServerId> =
            oldest.into_iter().take(PEER_REPORTS_PER_MESSAGE).map(|(_, id)| id).collect();
        due.probes.extend(&probed);
        due.next_call_at = due.next_call_at.min(now + PROBE_WAIT);
        self.pending_peer_report = Some((probed, now));
    }

    // ---- the server list ----

    /// Schedules the calls for the list. Fronts that start together call at random times, as one service
    /// answers all of them.
    fn schedule_list_call(&mut self, due: &mut DueActions, now: Ms) {
        let (first_within, interval) = match self.settings.list_delivery {
            ListDelivery::Pushed => return,
            ListDelivery::Watched { assumed_known_after } => (
                assumed_known_after.min(MEASUREMENT_LIFETIME) * FIRST_LIST_CALL_SHARE,
                assumed_known_after.min(MEASUREMENT_LIFETIME),
            ),
            ListDelivery::Polled { grace } => {
                let interval = (grace * LIST_POLL_SHARE).clamp(COLD_REVIEW_INTERVAL, MAX_LIST_POLL_INTERVAL);
                (interval, interval)
            }
        };
        let call_at = self.next_list_call_at.unwrap_or_else(|| now + first_within * self.rng.f64());
        due.request_list = call_at <= now;
        // A call without an answer is followed by the next one; calls that were missed are not made up for.
        let next = if due.request_list { call_at.max(now - interval) + interval } else { call_at };
        self.next_list_call_at = Some(next);
        due.next_call_at = due.next_call_at.min(next);
    }

    /// Records that a watch call was answered: changes are pushed from now on.
    pub fn list_received(&mut self) {
        if let ListDelivery::Watched { .. } = self.settings.list_delivery {
            (self.next_list_call_at, self.list_failures) = (Some(Ms::INFINITY), 0);
        }
    }

    /// Records that a watch call failed or a watch broke off. The next call comes after a random wait that
    /// doubles with each consecutive failure.
    pub fn list_call_failed(&mut self, now: Ms) {
        let ListDelivery::Watched { assumed_known_after } = self.settings.list_delivery else { return };
        self.list_failures += 1;
        let wait = LIST_RETRY_SHARE * 2f64.powi(self.list_failures.min(10) - 1) * (0.5 + self.rng.f64());
        self.next_list_call_at = Some(now + assumed_known_after.min(MEASUREMENT_LIFETIME) * wait.min(1.0));
        self.log_lines.push(format!("list not told fails={}", self.list_failures));
    }

    // ---- measurements of links ----

    /// Records a report of a link's use. The value is about as old as the measurement delay, so the load that
    /// this front has added since then is added to it.
    fn record_use(&mut self, table: &mut SessionTable, link: SharedLink, use_: f64, now: Ms) {
        let on_link = |s: &Session| self.uses_link(s, link);
        let growth = table.growth_since(&self.settings, on_link, now - self.settings.measurement_delay)
            / self.capacity(link);
        if is_plausible(use_) {
            self.merge_measurement(table, link, (use_ + growth).max(0.0), REPORT_WEIGHT, now, now);
        }
    }

    /// Merges a measurement with the value expected from earlier ones, by its weight. Above full use, the
    /// newest sessions on the link are stepped down until this front's own load fits: every front sheds its
    /// own part of the excess. Measurements just after that still show the time before and are ignored.
    fn merge_measurement(
        &mut self,
        table: &mut SessionTable,
        link: SharedLink,
        measured: f64,
        weight: f64,
        measured_at: Ms,
        now: Ms,
    ) {
        let own = self.own_load(&table.loads(&self.settings), link);
        let capacity = self.capacity(link);
        let Some((last, ignore_until)) = self.fleet.link_state_mut(link) else { return };
        if !is_plausible(measured) || now < *ignore_until {
            return;
        }
        let use_ = match *last {
            Some(last) if now - last.measured_at < MEASUREMENT_LIFETIME => {
                weight * measured + (1.0 - weight) * extrapolate(last, own, capacity)
            }
            _ => measured,
        };
        let since_last = last.map_or(Ms::INFINITY, |last| measured_at - last.measured_at);
        *last = Some(Measurement { value: use_, measured_at, own_load: own });
        if let SharedLink::Link(id) = link {
            // Capacity used within the measurement delay does not show in the measurement yet.
            let usable_share =
                (since_last / (self.settings.measurement_delay * (1.0 + SETTLE_DELAYS)).max(1.0)).min(1.0);
            self.use_spare_capacity(table, id, usable_share, now);
        }
        // This front's part of the excess follows what it can shed: sessions at their lowest rungs, here or
        // elsewhere, can shed nothing.
        let can_shed = 1.0 - self.lowest_rung_load_share(table, |s| self.uses_link(s, link));
        let all_can_shed = (1.0 - self.lowest_rung_load_share(table, |s| s.server.is_some())).max(1e-3);
        let own_limit = own * (1.0 - (1.0 - FULL_USE / use_) * can_shed / all_can_shed);
        if use_ > FULL_USE && self.step_down(table, link, own_limit, now) {
            self.log_lines.push(format!("over {link} use={use_:.2}"));
            let until = now + self.settings.measurement_delay * (1.0 + SETTLE_DELAYS);
            self.fleet.link_state_mut(link).into_iter().for_each(|(_, ignore_until)| *ignore_until = until);
        }
    }

    /// Records the share of their rates that sessions at a server received: the demand on its link is the
    /// capacity divided by this share. Where the uplink is the bottleneck, every server of the rack reports it
    /// for itself.
    pub fn record_delivered_share(
        &mut self,
        table: &mut SessionTable,
        server: ServerId,
        share: f64,
        now: Ms,
    ) {
        if !is_plausible(share) || !self.fleet.servers.contains_key(&server) {
            return;
        }
        let demand = 1.0 / share.max(MIN_DELIVERED_SHARE);
        // A sufficient share does not show how much of the link is free, only that an earlier shortage is over.
        if share < SUFFICIENT_SHARE || self.link_use(&table.loads(&self.settings), server) > demand {
            self.merge_measurement(table, SharedLink::Link(server), demand, 1.0, now, now);
        }
    }

    /// Records the outcome of a probe. Sessions held for it are placed next.
    pub fn probe_finished(
        &mut self,
        table: &mut SessionTable,
        server: ServerId,
        outcome: SetupOutcome,
        now: Ms,
    ) {
        for s in table.sessions.values_mut().filter(|s| s.awaited_probe == Some(server)) {
            s.held_until = Some(now);
        }
        self.update_health(server, (outcome != SetupOutcome::Done).then_some(outcome), now);
    }

    // ---- the first question: where to place a session ----

    /// Decides where a session goes, and records that in the session table.
    pub fn place(&mut self, table: &mut SessionTable, id: SessionId, now: Ms) -> Placement {
        self.last_call_at = now;
        let Some(session) = table.sessions.get(&id) else { return Placement::NoAction };
        if session.answered || session.server.is_some() {
            return Placement::NoAction;
        }
        let session = session.clone();
        self.estimate_foreign_load(table, &table.loads(&self.settings), now);
        let placement = self.choose_placement(table, &session, now);
        let session = table.sessions.get_mut(&id).expect("the session was just read");
        match &placement {
            Placement::Setup { server, rung, .. } => {
                if let (true, Some(budget)) = (session.setup_count > 0, self.settings.retry_budget) {
                    self.recent_retries.record(now, budget.window);
                }
                let window = self.settings.cold_start.map_or(0.0, |c| c.window + c.connect_timeout);
                let chosen = self.fleet.servers.get_mut(server).expect("holders are known servers");
                chosen.recent_setups.retain(|t| *t > now - window);
                chosen.recent_setups.push(now);
                (session.server, session.rung, session.setup_sent_at, session.held_until) =
                    (Some(*server), *rung, now, None);
                (session.previous_kb_per_s, session.rate_changed_at) = (0.0, now);
                session.setup_count += 1;
            }
            Placement::NotYet => {
                let probed = self.awaited_probe.take();
                let time_left = session.viewer_deadline - ANSWER_MARGIN - now;
                let wait = match probed {
                    Some(_) => PROBE_WAIT.min(time_left * MAX_PROBE_WAIT_SHARE),
                    None => COLD_REVIEW_INTERVAL.min(time_left),
                };
                session.held_until = Some(now + wait);
                session.awaited_probe = probed;
                session.probed_servers.extend(probed);
                self.pending_probes.extend(probed);
            }
            Placement::NoAction => {}
            Placement::BusyReply { .. } | Placement::TornDown => drop(table.sessions.remove(&id)),
        }
        placement
    }

    fn choose_placement(&mut self, table: &SessionTable, session: &Session, now: Ms) -> Placement {
        let group = self.settings.service_groups[session.group.0 as usize].clone();
        let give_up = self.give_up(session);
        let time_left = session.viewer_deadline - now;
        let title_limit_reached = group.max_sessions_per_title > 0
            && table.title_session_count(session.title, session.group) >= group.max_sessions_per_title;
        let setups_used_up = session.setup_count >= self.settings.max_setups
            || session.setup_count > 0 && !self.retry_budget_left(now);
        if time_left <= ANSWER_MARGIN
            || title_limit_reached
            || setups_used_up
            || self.is_too_late_for_setup(session, now)
        {
            return give_up;
        }
        let loads = table.loads(&self.settings);
        let ready = self.fleet.servers.values().filter(|r| r.entry.state == ServerState::Ready);
        let usable: Vec<ServerId> = ready
            .filter(|r| {
                self.settings.is_holder(&r.entry, &session.holders) && self.setup_is_safe(session, r, now)
            })
            .map(|r| r.entry.id)
            .filter(|id| self.has_room(table, &loads, *id, session))
            .collect();
        // Normally one of the holders that are neither set aside nor were tried for this session.
        let avoided =
            |id: &ServerId| self.fleet.servers[id].excluded_until > now || session.tried_servers.contains(id);
        let preferred: Vec<ServerId> = usable.iter().copied().filter(|id| !avoided(id)).collect();
        // If there is none, any holder but the one that was tried last.
        let last_tried = |id: &ServerId| session.tried_servers.last() == Some(id) && usable.len() > 1;
        let others: Vec<ServerId> = usable.iter().copied().filter(|id| !last_tried(id)).collect();
        let choice = self.cheapest(&loads, &preferred, now).or_else(|| self.cheapest(&loads, &others, now));
        let Some(server) = choice else {
            let wait =
                usable.iter().filter_map(|id| self.cold_start_wait(id, now)).fold(Ms::INFINITY, Ms::min);
            let in_time = now + wait
                < (session.arrived_at + group.start_target).min(session.viewer_deadline - ANSWER_MARGIN);
            return if in_time { Placement::NotYet } else { give_up };
        };
        let target_left = session.arrived_at + group.start_target - now;
        // A holder with an old measurement is probed first: the answer sets the rung and may change the
        // choice. Guards against placing by a guess, as with many fronts, after a restart, or with dead
        // servers in the list. It can do harm where probes are slow. A lost answer costs PROBE_WAIT, and late
        // sessions are not held.
        let measured_at =
            self.fleet.servers[&server].link_use.map_or(Ms::NEG_INFINITY, |last| last.measured_at);
        let time_to_probe = target_left > group.start_target * MIN_TARGET_LEFT_TO_PROBE;
        let may_probe = self.settings.probes_report_link() && self.probe_debt <= 0.0;
        if may_probe
            && now - measured_at > PROBE_IF_OLDER_THAN
            && session.probed_servers.len() < MAX_PROBES_PER_SESSION
            && time_to_probe
        {
            self.awaited_probe = Some(server);
            return Placement::NotYet;
        }
        let rung = self.start_rung(&loads, server, session);
        // Only the first SETUP has a short time-out: where two take too long, servers are slow and not dead,
        // and abandoned and repeated SETUPs would keep them slow.
        let retry_possible = session.setup_count == 0 && self.settings.max_setups > 1 && usable.len() > 1;
        let timeout = match target_left * FIRST_SETUP_SHARE {
            t if retry_possible && t >= group.start_target * MIN_TIMEOUT_SHARE => {
                t.min(time_left - ANSWER_MARGIN)
            }
            _ => time_left - ANSWER_MARGIN,
        };
        Placement::Setup { server, rung, timeout }
    }

    /// The answer to a session that this front cannot place. It is given at once, so that the viewer can try
    /// elsewhere.
    fn give_up(&mut self, session: &Session) -> Placement {
        let repeat = self.settings.service_groups[session.group.0 as usize].repeat;
        if session.first_uncertain_setup.is_some()
            && !matches!(repeat, RepeatPolicy::Safe | RepeatPolicy::Keyed(KeyScope::All))
        {
            return Placement::TornDown;
        }
        // Random, so that viewers who are turned away together do not come back together.
        let jitter = 0.5 + 0.5 * self.rng.f64();
        Placement::BusyReply { retry_after: self.settings.max_retry_after.map(|max| max * jitter) }
    }

    /// Whether a SETUP to this server cannot set the session up twice.
    fn setup_is_safe(&self, session: &Session, server: &Server, now: Ms) -> bool {
        let group = &self.settings.service_groups[session.group.0 as usize];
        let Some(first) = session.first_uncertain_setup else { return true };
        match group.repeat {
            RepeatPolicy::Safe => true,
            RepeatPolicy::Once => false,
            RepeatPolicy::Keyed(scope) => {
                let same = |key: fn(&ListEntry) -> u32| {
                    let first = self.fleet.servers.get(&first.server);
                    first.is_some_and(|first| key(&first.entry) == key(&server.entry))
                };
                now - first.sent_at < group.key_window
                    && match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => same(|entry| entry.zone.0 as u32),
                        KeyScope::Cell => same(|entry| entry.cell.0),
                    }
            }
        }
    }

    /// Whether the retry budget allows one more retry.
    fn retry_budget_left(&self, now: Ms) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        // At the edge of the window a request may no longer count, while a retry still may.
        let requests = self.recent_requests.at_least_after(now - budget.window);
        let retries = self.recent_retries.at_most_since(now - budget.window);
        (retries + 1) as f64 <= budget.free_retries + budget.retries_per_request * requests as f64
    }

    /// WMCA: the holder of least cost among those that may take a SETUP now. The choice among equals is
    /// random: where few servers are measured most are equal, and all fronts would choose the same one.
    fn cheapest(&mut self, loads: &Loads, holders: &[ServerId], now: Ms) -> Option<ServerId> {
        let usable = holders.iter().filter(|id| self.cold_start_wait(id, now).is_none());
        let mut by_cost: Vec<(f64, ServerId)> = usable.map(|id| (self.cost(loads, *id), *id)).collect();
        let least = by_cost.iter().map(|(cost, _)| *cost).fold(f64::INFINITY, f64::min);
        by_cost.retain(|(cost, _)| *cost <= least + COST_TOLERANCE);
        (!by_cost.is_empty()).then(|| by_cost[self.rng.usize(..by_cost.len())].1)
    }

    /// Cost of a holder: the weighted sum of its stream use and of the use of its link and uplink.
    fn cost(&self, loads: &Loads, server: ServerId) -> f64 {
        let record = &self.fleet.servers[&server];
        let max_streams = self.settings.max_streams(&record.entry);
        let uplink = self.uplink_use(loads, self.settings.rack_of_cell(record.entry.cell));
        ALPHA * self.stream_count(loads, server, max_streams) / max_streams
            + BETA * (self.link_use(loads, server) + uplink)
    }

    // ---- estimates of the current load ----

    /// Stated capacity of a link, in kB a second.
    fn capacity(&self, link: SharedLink) -> f64 {
        let weight = |id| {
            let weight = self.fleet.servers.get(&id).map(|s| match self.settings.weight_kind {
                WeightKind::Capacity => s.entry.weight,
                // The current weight would make a server look the smaller the more it carries.
                WeightKind::LoadAdjusted => s.largest_weight,
            });
            weight.map_or(1.0, |weight| weight.max(0.01))
        };
        match link {
            SharedLink::Link(id) => self.settings.link_kb_per_s_per_weight * weight(id),
            SharedLink::Uplink(_) => self.settings.uplink_kb_per_s,
        }
    }

    /// The measurement, if it is recent enough to count.
    fn fresh(&self, last: Option<Measurement>) -> Option<Measurement> {
        last.filter(|last| self.last_call_at - last.measured_at < MEASUREMENT_LIFETIME)
    }

    fn rack_of(&self, server: ServerId) -> Option<RackId> {
        Some(self.settings.rack_of_cell(self.fleet.servers.get(&server)?.entry.cell))
    }

    /// This front's own load on a link, in kB a second.
    fn own_load(&self, loads: &Loads, link: SharedLink) -> f64 {
        match link {
            SharedLink::Link(id) => loads.get(&id).map_or(0.0, |l| l.kb_per_s),
            SharedLink::Uplink(rack) => {
                let in_rack = loads.iter().filter(|(id, _)| self.rack_of(**id) == Some(rack));
                in_rack.map(|(_, l)| l.kb_per_s).sum()
            }
        }
    }

    /// Streams at a server: the last report, adjusted by the change of this front's own streams since.
    /// Without a report, this front's own streams and as many others as on an average server.
    fn stream_count(&self, loads: &Loads, server: ServerId, max_streams: f64) -> f64 {
        let own = loads.get(&server).map_or(0.0, |l| l.streams);
        let record = &self.fleet.servers[&server];
        match record.streams {
            _ if record.busy_until > self.last_call_at => max_streams,
            Some(last) => (last.value + own - last.own_load).max(own),
            None => own + self.unmeasured_foreign_load(server, self.foreign_load.streams),
        }
    }

    /// Use of a server's link, estimated as in `stream_count`. What the other fronts are assumed to have added
    /// recently is added to a measurement.
    fn link_use(&self, loads: &Loads, server: ServerId) -> f64 {
        let own = loads.get(&server).map_or(0.0, |l| l.kb_per_s);
        let capacity = self.capacity(SharedLink::Link(server));
        let foreign = &self.foreign_load;
        match self.fresh(self.fleet.servers[&server].link_use) {
            Some(last) => extrapolate(last, own, capacity) + foreign.surge_kb_per_s / capacity,
            None => {
                let average = foreign.link_use.unwrap_or(foreign.kb_per_s / capacity);
                own / capacity + self.unmeasured_foreign_load(server, average)
            }
        }
    }

    /// Load of the other fronts on a server without a measurement: the average. A server that has just
    /// started by the list counts as empty: a zone that comes back would otherwise look as full as those that
    /// took over its load. It can fill up unnoticed if all fronts send there before its first report.
    fn unmeasured_foreign_load(&self, server: ServerId, average: f64) -> f64 {
        let started_at = self.fleet.servers[&server].entry.started_at;
        let cold = started_at
            .zip(self.settings.cold_start)
            .is_some_and(|(t, cold)| self.last_call_at < t + cold.duration);
        if cold {
            0.0
        } else {
            average
        }
    }

    /// Estimates the load of the other fronts on an average server: that on the measured servers or, without
    /// any, the load if each front carries as much as this one. The others are also assumed to have added to
    /// each server, not measured yet, what this front has added to all servers recently: in a burst of
    /// requests all fronts get their part, and all follow the same reports. If the burst comes to this front
    /// alone, it avoids more servers than necessary.
    fn estimate_foreign_load(&mut self, table: &SessionTable, loads: &Loads, now: Ms) {
        let ready = self.fleet.servers.values().filter(|s| s.entry.state == ServerState::Ready).count();
        let others_per_server = self.settings.front_count.saturating_sub(1) as f64 / ready.max(1) as f64;
        let total = |of: fn(&Load) -> f64| loads.values().map(of).sum::<f64>() * others_per_server;
        let (streams, kb_per_s) = (total(|l| l.streams), total(|l| l.kb_per_s));
        let growth = table.growth_since(&self.settings, |_| true, now - self.settings.measurement_delay);
        let measured =
            self.fleet.servers.values().filter_map(|s| s.streams.map(|last| last.value - last.own_load));
        let streams = mean(measured).unwrap_or(streams);
        let link_use = mean(self.fleet.servers.values().filter_map(|s| {
            let last = self.fresh(s.link_use)?;
            Some((last.value - last.own_load / self.capacity(SharedLink::Link(s.entry.id))).max(0.0))
        }));
        let surge_kb_per_s = growth.max(0.0) * others_per_server;
        self.foreign_load = ForeignLoad { streams, kb_per_s, link_use, surge_kb_per_s };
    }

    /// Use of a rack's uplink: the last measurement, else the mean of the measured uplinks, else the sum of
    /// the loads of the rack's links as a share of the uplink's stated capacity.
    fn uplink_use(&self, loads: &Loads, rack: RackId) -> f64 {
        let uplink = SharedLink::Uplink(rack);
        // Measurements expire, as a full rack that is avoided is not measured again.
        if let Some(last) = self.fresh(self.fleet.racks.get(&rack).and_then(|r| r.uplink_use)) {
            return extrapolate(last, self.own_load(loads, uplink), self.capacity(uplink));
        }
        let measured = self.fleet.racks.values().filter_map(|r| self.fresh(r.uplink_use));
        mean(measured.map(|last| last.value)).unwrap_or_else(|| {
            let servers = self.fleet.servers.values().filter(|s| s.entry.state != ServerState::Gone);
            let in_rack =
                servers.filter(|s| self.settings.rack_of_cell(s.entry.cell) == rack).map(|s| s.entry.id);
            let load = |id| self.link_use(loads, id) * self.capacity(SharedLink::Link(id));
            in_rack.map(load).sum::<f64>() / self.capacity(uplink)
        })
    }

    /// The higher use of a server's link and its uplink after `kb_per_s` more on both.
    fn max_use_with(&self, loads: &Loads, server: ServerId, kb_per_s: f64) -> f64 {
        let rack = self.settings.rack_of_cell(self.fleet.servers[&server].entry.cell);
        let link = self.link_use(loads, server) + kb_per_s / self.capacity(SharedLink::Link(server));
        link.max(self.uplink_use(loads, rack) + kb_per_s / self.capacity(SharedLink::Uplink(rack)))
    }

    /// Whether one more session at its lowest rung fits a server's link and uplink with all sessions there at
    /// their lowest rungs. How far the other fronts' sessions can step down is taken from all sessions of
    /// this front, as it has few on any one link. Guards against a burst in which every viewer gets too
    /// little to go on watching: a busy reply does less harm than one more session. It can turn viewers away
    /// for nothing while a measured shortage is already over. A link without a measurement turns nobody away.
    fn has_room(&self, table: &SessionTable, loads: &Loads, server: ServerId, new: &Session) -> bool {
        let lowest_rate = |s: &Session| {
            s.rate(&self.settings, self.settings.service_groups[s.group.0 as usize].lowest_rung)
        };
        let lowest_share = self.lowest_rung_load_share(table, |s| s.server.is_some());
        let record = &self.fleet.servers[&server];
        let rack = self.settings.rack_of_cell(record.entry.cell);
        let uplink = self.fleet.racks.get(&rack).and_then(|r| r.uplink_use);
        let full =
            |link, use_: f64| use_ * lowest_share + lowest_rate(new) / self.capacity(link) > TARGET_USE;
        record.busy_until <= self.last_call_at
            && !(self.fresh(record.link_use).is_some()
                && full(SharedLink::Link(server), self.link_use(loads, server)))
            && !(self.fresh(uplink).is_some() && full(SharedLink::Uplink(rack), self.uplink_use(loads, rack)))
    }

    /// Load of the selected sessions at their lowest rungs, as a share of their current load. Without
    /// sessions it is 0, so that a front without any turns nobody away.
    fn lowest_rung_load_share(&self, table: &SessionTable, selected: impl Fn(&Session) -> bool) -> f64 {
        let lowest_rate = |s: &Session| {
            s.rate(&self.settings, self.settings.service_groups[s.group.0 as usize].lowest_rung)
        };
        let sessions = table.sessions.values().filter(|s| selected(s));
        let (lowest, current) =
            sessions.fold((0.0, 0.0), |(a, b), s| (a + lowest_rate(s), b + s.rate(&self.settings, s.rung)));
        lowest / current.max(1e-3)
    }

    fn uses_link(&self, session: &Session, link: SharedLink) -> bool {
        session.server.is_some_and(|server| match link {
            SharedLink::Link(id) => server == id,
            SharedLink::Uplink(rack) => self.rack_of(server) == Some(rack),
        })
    }

    // ---- rungs ----

    /// The rung of a new session: its highest, and one lower for each `START_USE_PER_RUNG` of use above
    /// `START_USE`. Use includes the session at that rung, as one at a high rung may be a good part of a
    /// link.
    fn start_rung(&self, loads: &Loads, server: ServerId, session: &Session) -> u8 {
        let lowest = self.settings.service_groups[session.group.0 as usize].lowest_rung;
        let fits = |rung: &u8| {
            let kb_per_s = session.rate(&self.settings, *rung);
            let reduction = (kb_per_s / self.capacity(SharedLink::Link(server))).min(MAX_START_USE_REDUCTION);
            let limit = START_USE - reduction;
            let steps = (self.max_use_with(loads, server, kb_per_s) - limit) / START_USE_PER_RUNG;
            (session.highest_rung - *rung) as f64 >= steps.ceil().max(0.0)
        };
        (lowest..=session.highest_rung).rev().find(fits).unwrap_or(lowest)
    }

    /// Steps down the newest of this front's sessions on a link until their load is at most `limit`, in kB a
    /// second. Returns whether any rung changed.
    fn step_down(&mut self, table: &mut SessionTable, link: SharedLink, limit: f64, now: Ms) -> bool {
        let settings = &self.settings;
        let on_link = table.sessions.values().filter(|s| self.uses_link(s, link));
        let mut load: f64 = on_link.map(|s| s.rate(settings, s.rung)).sum();
        let playing = table.sessions.iter().filter(|(_, s)| s.playing && self.uses_link(s, link));
        let mut newest: Vec<(Ms, SessionId)> =
            playing.map(|(id, session)| (session.arrived_at, *id)).collect();
        newest.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let changes_before = self.rung_changes.len();
        for (_, id) in newest {
            let session = table.sessions.get_mut(&id).expect("the session was just listed");
            if load <= limit {
                break;
            }
            let lowest = settings.service_groups[session.group.0 as usize].lowest_rung;
            if now - session.rung_set_at >= RUNG_HOLD_DELAYS * settings.measurement_delay
                && session.rung > lowest
            {
                let saved = |rung: u8| session.rate(settings, session.rung) - session.rate(settings, rung);
                // One rung, unless a change costs more than a rung's utility within MEASUREMENT_LIFETIME.
                let cost = |rung: u8| {
                    let lost =
                        settings.rung_utility[session.rung as usize] - settings.rung_utility[rung as usize];
                    (settings.rung_change_cost + MEASUREMENT_LIFETIME * lost) / saved(rung)
                };
                let rung = (lowest..session.rung).rev().min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
                let rung = rung.expect("there is a rung below");
                let saved = saved(rung);
                // A rung may be far more than this front's part of the excess. The last step is random, or
                // all fronts together would shed several times the excess.
                if load - limit < saved * self.rng.f64() {
                    break;
                }
                load -= saved;
                (session.previous_kb_per_s, session.rate_changed_at) =
                    (session.rate(settings, session.rung), now);
                (session.rung, session.rung_set_at) = (rung, now);
                self.rung_changes.push((id, session.rung));
            }
        }
        self.rung_changes.len() > changes_before
    }

    /// Sets this front's part of a server's spare capacity and steps sessions up into it. The part is as large
    /// a share of the spare capacity as this front has of the use, and as in `step_down` the last step is
    /// random: so fronts with the same measurement fill the spare capacity once, however many they are. It
    /// fills more slowly where their shares differ much. `usable_share` of the part may be used now. What is
    /// left of it stays until the next measurement, for sessions that may not change their rung yet.
    fn use_spare_capacity(&mut self, table: &mut SessionTable, server: ServerId, usable_share: f64, now: Ms) {
        let loads = table.loads(&self.settings);
        self.estimate_foreign_load(table, &loads, now);
        let own_part = |use_: f64, link| {
            (TARGET_USE - use_) * (self.own_load(&loads, link) / use_.max(1e-3)).min(self.capacity(link))
        };
        let rack = self.settings.rack_of_cell(self.fleet.servers[&server].entry.cell);
        let part = own_part(self.link_use(&loads, server), SharedLink::Link(server))
            .min(own_part(self.uplink_use(&loads, rack), SharedLink::Uplink(rack)));
        self.fleet.servers.get_mut(&server).expect("measured servers are known").spare_kb_per_s =
            part * usable_share;
        self.step_up(table, server, now);
    }

    /// Steps sessions up by one rung each while this front's part of the spare capacity lasts, those with the
    /// most utility for their rate first.
    fn step_up(&mut self, table: &mut SessionTable, server: ServerId, now: Ms) {
        let mut loads = table.loads(&self.settings);
        let settings = &self.settings;
        let mut candidates: Vec<(f64, SessionId)> = Vec::new();
        for (id, session) in &table.sessions {
            if session.playing && session.server == Some(server) && session.rung < session.highest_rung {
                let utility_gain = settings.rung_utility[session.rung as usize + 1]
                    - settings.rung_utility[session.rung as usize];
                // A session that has kept its rung for as long as the change takes to pay off is likely to
                // stay on for as long again.
                let payback = settings.rung_change_cost / utility_gain.max(1e-3);
                if now - session.rung_set_at < (RUNG_HOLD_DELAYS * settings.measurement_delay).max(payback) {
                    continue;
                }
                let kb_per_s =
                    session.rate(settings, session.rung + 1) - session.rate(settings, session.rung);
                let utility = settings.service_groups[session.group.0 as usize].utility;
                candidates.push((utility * utility_gain / kb_per_s, *id));
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in candidates {
            let session = table.sessions.get_mut(&id).expect("the session was just listed");
            let kb_per_s =
                session.rate(&self.settings, session.rung + 1) - session.rate(&self.settings, session.rung);
            let spare = self.fleet.servers[&server].spare_kb_per_s;
            let fits = self.max_use_with(&loads, server, kb_per_s) < TARGET_USE
                && spare >= kb_per_s * self.rng.f64();
            self.fleet.servers.get_mut(&server).expect("the server was just read").spare_kb_per_s =
                if fits { spare - kb_per_s } else { 0.0 };
            if !fits {
                break;
            }
            (session.previous_kb_per_s, session.rate_changed_at) =
                (session.rate(&self.settings, session.rung), now);
            (session.rung, session.rung_set_at) = (session.rung + 1, now);
            loads.entry(server).or_default().kb_per_s += kb_per_s;
            self.rung_changes.push((id, session.rung));
        }
    }

    // ---- the second question: what follows from an outcome ----

    /// Records how a SETUP or a session ended, and decides where the session goes next.
    pub fn after_outcome(
        &mut self,
        table: &mut SessionTable,
        id: SessionId,
        outcome: SetupOutcome,
        now: Ms,
    ) -> Placement {
        let Some(session) = table.sessions.get_mut(&id) else { return Placement::NoAction };
        let Some(server) = session.server.take() else { return Placement::NoAction };
        if !outcome.never_ran() {
            let setup = PastSetup { server, sent_at: session.setup_sent_at };
            let first = *session.first_uncertain_setup.get_or_insert(setup);
            if self.settings.service_groups[session.group.0 as usize].repeat != RepeatPolicy::Safe {
                self.past_setups.record(id, first, now);
            }
        }
        if session.playing || session.answered {
            let played = session.playing;
            table.sessions.remove(&id);
            if played && outcome == SetupOutcome::Broken {
                self.update_health(server, Some(outcome), now);
            }
            return Placement::NoAction;
        }
        session.tried_servers.push(server);
        // An error counts against the server once another one takes the session, or if no other may be tried.
        // Else it counts against the session: one that no server can use would set aside each server that it
        // tries. Guards against viewers that request what does not exist. Where all holders of a title answer
        // with errors, none of them is set aside.
        if outcome == SetupOutcome::Errored {
            session.errored_servers.push(server);
        } else {
            self.update_health(server, Some(outcome), now);
        }
        let only_error = session.errored_servers == [server];
        if outcome == SetupOutcome::BusyReplied {
            // Else the server would stay cheapest and draw every retry, whether its link, its streams or its
            // queue is full. If it has room again at once, it is avoided for BUSY_DURATION for nothing.
            self.fleet.servers.get_mut(&server).expect("a SETUP was sent to it").busy_until =
                now + BUSY_DURATION;
        }
        let placement = self.place(table, id, now);
        if only_error && matches!(placement, Placement::BusyReply { .. } | Placement::TornDown) {
            self.update_health(server, Some(SetupOutcome::Errored), now);
        }
        placement
    }

    /// Counts a server's consecutive failures and sets it aside for them. `None` stands for a SETUP that led
    /// to play, or another sign that the server works.
    fn update_health(&mut self, server: ServerId, outcome: Option<SetupOutcome>, now: Ms) {
        let with_peers = self.exchanges_peer_reports();
        let Some(record) = self.fleet.servers.get_mut(&server) else { return };
        match outcome {
            None => {
                if record.failures > 0 {
                    self.log_lines.push(format!("server back server={} fails={}", server.0, record.failures));
                }
                (record.failures, record.excluded_until) = (0, Ms::NEG_INFINITY);
                if record.died_at.is_some() && record.recovered_at.is_none() {
                    record.recovered_at = Some(now);
                }
            }
            Some(
                SetupOutcome::Done
                | SetupOutcome::BusyReplied
                | SetupOutcome::Withdrawn
                | SetupOutcome::NeverSent,
            ) => {}
            Some(failure) => {
                record.failures += 1;
                record.last_failure_at = now;
                if matches!(failure, SetupOutcome::NoConnection | SetupOutcome::Broken) {
                    // Its process may be gone, and is then cold when it answers again, whatever the list
                    // says.
                    (record.died_at, record.recovered_at) = (Some(now), None);
                }
                let base = if with_peers { EXCLUSION_BASE_WITH_PEERS } else { EXCLUSION_BASE };
                record.excluded_until =
                    now + (base * 2f64.powi(record.failures.min(10) as i32 - 1)).min(EXCLUSION_MAX);
                self.log_lines.push(format!(
                    "server aside server={} fails={} last={failure:?}",
                    server.0, record.failures
                ));
            }
        }
    }

    /// Records that the server's current process already existed at `since`. If it was believed dead after
    /// that, it was not, and it is as warm as before. Guards against a zone that was cut off for seconds, or
    /// whose connections were reset: each front that noticed would leave its servers alone for a whole
    /// warm-up.
    pub fn confirm_alive(&mut self, server: ServerId, since: Ms) {
        let Some(record) = self.fleet.servers.get_mut(&server) else { return };
        if record.died_at.is_some_and(|died| since < died) {
            self.log_lines.push(format!("server lives server={}", server.0));
            (record.died_at, record.recovered_at) = (None, None);
        }
    }

    /// How long until a SETUP may go to a server that may be cold; `None` if it may go now. All fronts share
    /// the server's budget equally if that gives each at least one SETUP in a window. Else the server is left
    /// alone until it is warm, as no front knows what the others send. The budget is computed from the
    /// capacity at the start only, as how it grows afterwards is not certain. A front that has just started
    /// counts its share as spent.
    /// Shares are spaced by the window plus the connect time-out, as a SETUP may wait for its connection. It
    /// does harm where much of a fleet is cold at once: the other servers must carry all.
    fn cold_start_wait(&self, server: &ServerId, now: Ms) -> Option<Ms> {
        let cold = self.settings.cold_start?;
        let record = &self.fleet.servers[server];
        // A server that died comes back cold. Without probes, only the list shows when.
        let recovered_at = record.recovered_at.or(record.died_at.filter(|_| !self.settings.probes_allowed));
        let warm_after_death =
            record.died_at.map(|_| recovered_at.map_or(Ms::INFINITY, |t| t + cold.duration));
        let warm_after_start = record.entry.started_at.map(|t| t + cold.duration);
        let warm_at = warm_after_death.into_iter().chain(warm_after_start).fold(now, Ms::max);
        if warm_at <= now {
            return None;
        }
        let max_streams = self.settings.max_streams(&record.entry);
        let budget = cold.rate_multiple * max_streams / cold.duration
            * cold.initial_share
            * cold.window
            * COLD_BUDGET_SHARE;
        let share = (budget / self.settings.front_count.max(1) as f64).floor();
        if share < 1.0 {
            return Some(warm_at - now);
        }
        let window = cold.window + cold.connect_timeout;
        let recent = record.recent_setups.iter().filter(|t| **t > now - window);
        let mut wait: Ms = (self.started_at + window - now).max(0.0);
        if recent.clone().count() as f64 >= share {
            wait = wait.max(recent.fold(Ms::INFINITY, |a, b| a.min(*b)) + window - now);
        }
        (wait > 0.0).then_some(wait)
    }

    // ---- the third question: what is due ----

    /// Returns everything that is due now, and when to ask again.
    pub fn due_actions(&mut self, table: &mut SessionTable, now: Ms) -> DueActions {
        self.last_call_at = now;
        let with_spare = self.fleet.servers.values().filter(|s| s.spare_kb_per_s > 0.0).map(|s| s.entry.id);
        for id in with_spare.collect::<Vec<_>>() {
            self.step_up(table, id, now);
        }
        let mut due = DueActions { next_call_at: now + REVIEW_INTERVAL, ..DueActions::default() };
        due.probes = std::mem::take(&mut self.pending_probes);
        let servers = &self.fleet.servers;
        let not_ready = |id| servers.get(&id).is_none_or(|r| r.entry.state != ServerState::Ready);
        for (id, session) in &mut table.sessions {
            match session.held_until {
                // A server that no longer takes new sessions is not waited for.
                Some(t) if t <= now || session.awaited_probe.is_some_and(not_ready) => {
                    (session.held_until, session.awaited_probe) = (None, None);
                    due.sessions_to_place.push(*id);
                }
                Some(t) => due.next_call_at = due.next_call_at.min(t),
                None => {}
            }
        }
        let loads = table.loads(&self.settings);
        let listed = |s: &&mut Server| s.entry.state != ServerState::Gone;
        let with_peers = self.exchanges_peer_reports();
        for record in self.fleet.servers.values_mut().filter(listed).filter(|_| self.settings.probes_allowed)
        {
            // A server that was set aside is tried by a probe and not by a viewer's session.
            if record.failures > 0 {
                if record.entry.state == ServerState::Ready && record.excluded_until <= now {
                    record.excluded_until = now + EXCLUSION_BASE;
                    due.probes.push(record.entry.id);
                }
                continue;
            }
            let may_probe = self.settings.reports_by_probe
                && self.settings.probes_report_link()
                && self.probe_debt <= 0.0;
            let Some(own) = loads.get(&record.entry.id).filter(|_| may_probe) else { continue };
            let regular_probe_at = now + PROBE_INTERVAL / own.streams;
            let just_measured =
                record.link_use.is_some_and(|last| now - last.measured_at < FIRST_PROBE_WITHIN);
            let min_wait = if with_peers { FIRST_PROBE_WITHIN } else { 0.0 };
            let first_probe_at = if just_measured {
                regular_probe_at
            } else {
                now + min_wait + FIRST_PROBE_WITHIN * self.rng.f64()
            };
            // A report of another front serves as well as an answer to this one.
            let due_by_age_at =
                record.link_use.map_or(now, |last| last.measured_at + PROBE_INTERVAL / own.streams);
            if *record.next_probe_at.get_or_insert(first_probe_at) <= now {
                record.next_probe_at =
                    Some(if due_by_age_at <= now { regular_probe_at } else { due_by_age_at });
                if due_by_age_at <= now {
                    due.probes.push(record.entry.id);
                }
            }
        }
        self.report_to_peers(&mut due, now);
        self.probe_debt += due.probes.len() as f64 * self.settings.probe_cost / PROBE_COST_SHARE;
        self.schedule_list_call(&mut due, now);
        due.rung_changes = std::mem::take(&mut self.rung_changes);
        due.log_lines = std::mem::take(&mut self.log_lines);
        due
    }
}

/// A measurement, adjusted by the change of this front's own load since. Once this front has shed its part of
/// an overload, the others are assumed to have shed theirs.
fn extrapolate(last: Measurement, own_load: f64, capacity: f64) -> f64 {
    let current = (last.value + (own_load - last.own_load) / capacity).max(0.0);
    if last.value > FULL_USE && own_load < last.own_load {
        current.min(FULL_USE)
    } else {
        current
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / count as f64)
}

/// Whether a reported value can be right. Reports may contain any value; implausible ones are ignored.
fn is_plausible(value: f64) -> bool {
    value.is_finite() && (0.0..1e4).contains(&value)
}
