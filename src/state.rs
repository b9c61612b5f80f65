//! The state of one front, and the recording of events that need no decision.
use crate::api::Request;
use crate::fleet::{Fleet, ListEntry, Server, ServerState};
use crate::ids::{Ms, ServerId, SessionId};
use crate::past_setups::PastSetups;
use crate::recent_events::RecentEvents;
use crate::sessions::{Session, SessionTable};
use crate::settings::PolicySettings;

/// Estimate of what the other fronts carry on a server on average, as it was last computed.
#[derive(Debug, Default)]
pub struct ForeignLoad {
    pub streams: f64,
    /// Their load if each carries as much as this front, for links without a measurement.
    pub kb_per_s: f64,
    /// Their mean use of a link by the measurements; `None` without any.
    pub link_use: Option<f64>,
    /// Load that they have added recently and that no measurement shows yet.
    pub surge_kb_per_s: f64,
}

/// The state of one front.
pub struct FrontState {
    pub settings: PolicySettings,
    pub fleet: Fleet,
    pub rng: fastrand::Rng,
    pub started_at: Ms,
    /// The time of the last decision call.
    pub last_call_at: Ms,
    /// Requests, as far back as the retry budget counts them.
    pub recent_requests: RecentEvents,
    /// Retries sent, as far back as the retry budget counts them.
    pub recent_retries: RecentEvents,
    /// SETUPs that may have run, of groups whose sessions may not be set up twice anywhere: a request that has ended may
    /// come again under its id.
    pub past_setups: PastSetups,
    pub foreign_load: ForeignLoad,
    /// Changes of rung that were not handed out yet.
    pub rung_changes: Vec<(SessionId, u8)>,
    /// Probes that were not handed out yet.
    pub pending_probes: Vec<ServerId>,
    /// The server whose probe answer the session being placed has to wait for.
    pub awaited_probe: Option<ServerId>,
    /// Cost of the probes so far beyond what the sessions so far pay for.
    pub probe_debt: f64,
    /// Requests since the last report to the other fronts; `None` until the first call.
    pub requests_since_peer_report: Option<f64>,
    /// The servers probed for the next report to the other fronts, and when.
    pub pending_peer_report: Option<(Vec<ServerId>, Ms)>,
    /// When the server list is requested next; `None` until the first call.
    pub next_list_call_at: Option<Ms>,
    /// Consecutive failures of requests for the server list.
    pub list_failures: i32,
    /// When every request has to have been answered; set once the front is being stopped.
    pub answer_by: Option<Ms>,
    /// Log lines that were not handed out yet.
    pub log_lines: Vec<String>,
}

impl FrontState {
    /// A front that starts now and knows no servers yet.
    pub fn new(settings: PolicySettings, seed: u64, now: Ms) -> Self {
        FrontState {
            settings,
            fleet: Fleet::default(),
            rng: fastrand::Rng::with_seed(seed),
            started_at: now,
            last_call_at: now,
            recent_requests: RecentEvents::default(),
            recent_retries: RecentEvents::default(),
            past_setups: PastSetups::default(),
            foreign_load: ForeignLoad::default(),
            rung_changes: Vec::new(),
            pending_probes: Vec::new(),
            awaited_probe: None,
            probe_debt: 0.0,
            requests_since_peer_report: None,
            pending_peer_report: None,
            next_list_call_at: None,
            list_failures: 0,
            answer_by: None,
            log_lines: Vec::new(),
        }
    }

    /// Records an entry of the server list. Another start time means a new process, for which nothing known
    /// of the old one counts.
    pub fn update_server(&mut self, entry: ListEntry) {
        match self.fleet.servers.get_mut(&entry.id) {
            Some(record) if record.entry.started_at == entry.started_at => {
                record.largest_weight = record.largest_weight.max(entry.weight);
                record.entry = entry;
            }
            Some(record) => {
                let recent_setups = std::mem::take(&mut record.recent_setups);
                *record = Server { recent_setups, ..Server::new(entry) };
            }
            None => {
                self.fleet.servers.insert(entry.id, Server::new(entry));
            }
        }
    }

    /// Records the complete server list. Servers that are not in it are gone.
    pub fn replace_server_list(&mut self, entries: Vec<ListEntry>) {
        for s in self.fleet.servers.values_mut() {
            s.entry.state = ServerState::Gone;
        }
        for entry in entries {
            self.update_server(entry);
        }
    }

    /// Records a new request.
    pub fn add_request(&mut self, table: &mut SessionTable, id: SessionId, request: Request, now: Ms) {
        if let Some(budget) = self.settings.retry_budget {
            self.recent_requests.record(now, budget.window);
        }
        self.requests_since_peer_report = self.requests_since_peer_report.map(|n| n + 1.0);
        let first_uncertain_setup = self.past_setups.get(id);
        table.sessions.insert(id, Session { first_uncertain_setup, ..self.new_session(request, now) });
    }

    /// Records a session that already played when the front started.
    pub fn add_running_session(
        &mut self,
        table: &mut SessionTable,
        id: SessionId,
        request: Request,
        server: ServerId,
        now: Ms,
    ) {
        let new = self.new_session(request, now);
        let running = Session { server: Some(server), playing: true, answered: true, setup_count: 1, ..new };
        table.sessions.insert(id, running);
    }

    fn new_session(&mut self, request: Request, now: Ms) -> Session {
        let group = &self.settings.service_groups[request.group.0 as usize];
        self.probe_debt -= 1.0;
        Session {
            group: request.group,
            title: request.title,
            holders: request.holders,
            // Rates that do not match the ladder are ignored: they cannot be assigned to its rungs.
            rates_kb_per_s: request.rates_kb_per_s.filter(|kb| kb.len() == self.settings.rung_kb_per_s.len()),
            highest_rung: request.highest_rung.min(group.highest_rung).max(group.lowest_rung),
            arrived_at: now,
            viewer_deadline: self.answer_deadline(now + request.time_left),
            rung: group.lowest_rung,
            server: None,
            playing: false,
            answered: false,
            setup_count: 0,
            tried_servers: Vec::new(),
            errored_servers: Vec::new(),
            probed_servers: Vec::new(),
            awaited_probe: None,
            setup_sent_at: now,
            rung_set_at: Ms::NEG_INFINITY,
            previous_kb_per_s: 0.0,
            rate_changed_at: Ms::NEG_INFINITY,
            first_uncertain_setup: None,
            held_until: None,
        }
    }

    /// Records the rung that a session really has.
    pub fn set_rung(&mut self, table: &mut SessionTable, id: SessionId, rung: u8) {
        if let Some(s) = table.sessions.get_mut(&id) {
            s.rung = rung.min(self.settings.rung_kb_per_s.len() as u8 - 1);
        }
    }

    /// Records that the viewer left before it had an answer.
    pub fn viewer_left(&mut self, table: &mut SessionTable, id: SessionId) {
        if let Some(session) = table.sessions.get_mut(&id) {
            (session.answered, session.held_until) = (true, None);
            if session.server.is_none() {
                table.sessions.remove(&id);
            }
        }
    }
}
