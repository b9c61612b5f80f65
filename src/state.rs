//! The state of one front, and the plain recording of news that calls for no decision.
use crate::api::Request;
use crate::fleet::{Fleet, ListEntry, Server, ServerState};
use crate::ids::{Ms, ServerId, SessionId};
use crate::sessions::{Session, SessionTable};
use crate::settings::PolicySettings;
use std::collections::VecDeque;

/// What the other fronts are taken to carry on a server on average, as of the last time it was reckoned.
#[derive(Debug, Default)]
pub struct ForeignLoad {
    pub streams: f64,
    /// Their load by what this front carries itself, in kB a second.
    pub kb_per_s: f64,
    /// Their use of a link by what was heard.
    pub link_use: Option<f64>,
    /// What they have added lately, unseen as yet.
    pub surge_kb_per_s: f64,
}

pub struct FrontState {
    pub settings: PolicySettings,
    pub fleet: Fleet,
    pub rng: fastrand::Rng,
    pub started_at: Ms,
    /// The time of the last call.
    pub last_call_at: Ms,
    /// When requests were taken and further SETUPs sent, as far back as the budget looks.
    pub request_times: VecDeque<Ms>,
    pub retry_times: VecDeque<Ms>,
    /// Changes of rung and log lines that are still to be handed out.
    pub foreign_load: ForeignLoad,
    pub rung_changes: Vec<(SessionId, u8)>,
    /// Probes to send, and the one that the session in hand waits for.
    pub pending_probes: Vec<ServerId>,
    pub awaited_probe: Option<ServerId>,
    /// What probes have cost beyond what the sessions so far pay for them.
    pub probe_debt: f64,
    /// Requests taken since this front last told its news, and the servers asked for the next time, since when.
    pub requests_since_peer_report: Option<f64>,
    pub pending_peer_report: Option<(Vec<ServerId>, Ms)>,
    /// When the list is asked for next, once that is settled, and calls for it that failed in a row.
    pub next_list_call_at: Option<Ms>,
    pub list_failures: i32,
    pub log_lines: Vec<String>,
}

impl FrontState {
    pub fn new(terms: PolicySettings, seed: u64, now: Ms) -> Self {
        FrontState {
            settings: terms,
            fleet: Fleet::default(),
            rng: fastrand::Rng::with_seed(seed),
            started_at: now,
            last_call_at: now,
            request_times: VecDeque::new(),
            retry_times: VecDeque::new(),
            foreign_load: ForeignLoad::default(),
            rung_changes: Vec::new(),
            pending_probes: Vec::new(),
            awaited_probe: None,
            probe_debt: 0.0,
            requests_since_peer_report: None,
            pending_peer_report: None,
            next_list_call_at: None,
            list_failures: 0,
            log_lines: Vec::new(),
        }
    }

    /// One line of the list. A new start makes it a new process: nothing known of the old one counts.
    pub fn update_server(&mut self, line: ListEntry) {
        match self.fleet.servers.get_mut(&line.id) {
            Some(s) if s.entry.started_at == line.started_at => {
                s.largest_weight = s.largest_weight.max(line.weight);
                s.entry = line;
            }
            Some(s) => {
                let sent_cold = std::mem::take(&mut s.recent_setups);
                *s = Server { recent_setups: sent_cold, ..Server::new(line) };
            }
            None => {
                self.fleet.servers.insert(line.id, Server::new(line));
            }
        }
    }

    /// The complete list: what it leaves out is gone.
    pub fn replace_server_list(&mut self, lines: Vec<ListEntry>) {
        for s in self.fleet.servers.values_mut() {
            s.entry.state = ServerState::Gone;
        }
        for line in lines {
            self.update_server(line);
        }
    }

    /// A request was taken.
    pub fn add_request(&mut self, hand: &mut SessionTable, id: SessionId, r: Request, now: Ms) {
        if self.settings.retry_budget.is_some() {
            self.request_times.push_back(now);
        }
        self.requests_since_peer_report = self.requests_since_peer_report.map(|n| n + 1.0);
        hand.sessions.insert(id, self.session(r, now));
    }

    /// A session that was under way when the front started.
    pub fn add_running_session(
        &mut self,
        hand: &mut SessionTable,
        id: SessionId,
        r: Request,
        server: ServerId,
        now: Ms,
    ) {
        let s = self.session(r, now);
        hand.sessions
            .insert(id, Session { server: Some(server), playing: true, answered: true, setup_count: 1, ..s });
    }

    fn session(&mut self, r: Request, now: Ms) -> Session {
        let g = &self.settings.service_groups[r.group.0 as usize];
        self.probe_debt -= 1.0;
        Session {
            group: r.group,
            title: r.title,
            holders: r.holders,
            // Rates that do not fit the ladder tell nothing of its rungs.
            rates_kb_per_s: r.rates_kb_per_s.filter(|kb| kb.len() == self.settings.rung_kb_per_s.len()),
            highest_rung: r.highest_rung.min(g.highest_rung).max(g.lowest_rung),
            arrived_at: now,
            viewer_deadline: now + r.time_left,
            rung: g.lowest_rung,
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

    /// The rung in force of a session.
    pub fn set_rung(&mut self, hand: &mut SessionTable, id: SessionId, rung: u8) {
        if let Some(s) = hand.sessions.get_mut(&id) {
            s.rung = rung.min(self.settings.rung_kb_per_s.len() as u8 - 1);
        }
    }

    /// The viewer left before an answer.
    pub fn viewer_left(&mut self, hand: &mut SessionTable, id: SessionId) {
        if let Some(s) = hand.sessions.get_mut(&id) {
            (s.answered, s.held_until) = (true, None);
            if s.server.is_none() {
                hand.sessions.remove(&id);
            }
        }
    }
}
