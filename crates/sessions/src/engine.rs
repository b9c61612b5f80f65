//! The placement decisions with their sessions and their one timer. Each event is one call with its time; what the
//! decisions answer comes out as [`Action`]s. Both the simulator's adapter and the live front use this engine. It
//! decides nothing itself.
use walnutline::api::{PeerReport, Placement, Request, SetupOutcome};
use walnutline::fleet::ListEntry;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline::sessions::SessionTable;
use walnutline::settings::PolicySettings;
use walnutline::state::FrontState;

/// What the caller has to do, in the order of the actions.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a SETUP and report its outcome with [`DecisionEngine::session_started`] or
    /// [`DecisionEngine::after_outcome`].
    Setup { id: SessionId, server: ServerId, rung: u8, timeout: Ms },
    /// Change the rung of a playing session.
    SetRung { id: SessionId, rung: u8 },
    /// Ask a server for its load and report the outcome with [`DecisionEngine::probe_finished`].
    Probe { server: ServerId },
    /// Ask for the list of servers, or for its changes from now on.
    RequestList,
    /// Answer the viewer finally with a busy reply, which states the time to retry after if one is given.
    BusyReply { id: SessionId, retry_after: Option<Ms> },
    /// Answer the viewer finally that its session is torn down: a SETUP that failed may have taken effect.
    TornDown { id: SessionId },
    /// Send these reports to all other fronts, in one message.
    SendPeerReports(Vec<PeerReport>),
    /// Write a line to the log.
    Log(String),
    /// Call [`DecisionEngine::process_due`] at this time at the latest. A later time never replaces an earlier one.
    CallAt(Ms),
}

/// The state of the decisions and the table of their sessions, driven by events.
pub struct DecisionEngine {
    /// What the decisions know of servers, requests and retries.
    pub state: FrontState,
    /// The sessions of this front, from the request to their end.
    pub session_table: SessionTable,
    /// The earliest time that was requested by [`Action::CallAt`] and has not come yet.
    next_call_at: Option<Ms>,
}

impl DecisionEngine {
    /// Creates an engine without sessions and servers.
    pub fn new(settings: PolicySettings, seed: u64, now: Ms) -> Self {
        DecisionEngine {
            state: FrontState::new(settings, seed, now),
            session_table: SessionTable::default(),
            next_call_at: None,
        }
    }

    /// Adds a viewer's request that was accepted, and places it.
    pub fn add_request(&mut self, id: SessionId, request: Request, now: Ms, actions: &mut Vec<Action>) {
        self.state.add_request(&mut self.session_table, id, request, now);
        let placement = self.state.place(&mut self.session_table, id, now);
        push_placement(id, placement, actions);
    }

    /// Adds a session that was playing already when this front started.
    pub fn add_running_session(&mut self, id: SessionId, request: Request, server: ServerId, now: Ms) {
        self.state.add_running_session(&mut self.session_table, id, request, server, now);
    }

    /// A SETUP succeeded: its session plays and has its final answer.
    pub fn session_started(&mut self, id: SessionId, now: Ms) {
        self.state.session_started(&mut self.session_table, id, now);
    }

    /// Records how a SETUP, or the session that came of it, ended. `is_over`: the viewer gets no further answer.
    pub fn after_outcome(
        &mut self,
        id: SessionId,
        outcome: SetupOutcome,
        is_over: bool,
        now: Ms,
        actions: &mut Vec<Action>,
    ) {
        if is_over {
            if let Some(session) = self.session_table.sessions.get_mut(&id) {
                session.answered = true;
            }
        }
        let placement = self.state.after_outcome(&mut self.session_table, id, outcome, now);
        push_placement(id, placement, actions);
    }

    /// A session, or its pending SETUP, turned out to be at another server than the one that was chosen.
    pub fn move_session(&mut self, id: SessionId, server: ServerId) {
        let session = self.session_table.sessions.get_mut(&id);
        if let Some(chosen) = session.and_then(|session| session.server.as_mut()) {
            *chosen = server;
        }
    }

    /// The viewer left before an answer. The outcome of an outstanding SETUP must still be reported.
    pub fn viewer_left(&mut self, id: SessionId) {
        self.state.viewer_left(&mut self.session_table, id);
    }

    /// Begins to stop the front: every request is answered by `answer_by`. Returns the time by which the caller has to
    /// report the outcome of each outstanding SETUP.
    pub fn begin_shutdown(&mut self, answer_by: Ms) -> Ms {
        self.state.begin_shutdown(&mut self.session_table, answer_by)
    }

    /// Records the outcome of a probe. Call [`DecisionEngine::record_report`] with its load report first.
    pub fn probe_finished(&mut self, server: ServerId, outcome: SetupOutcome, now: Ms) {
        self.state.probe_finished(&mut self.session_table, server, outcome, now);
    }

    /// Records a load report, its values in the order of the settings' report columns.
    pub fn record_report(&mut self, server: ServerId, values: &[f64], now: Ms) {
        self.state.record_report(&mut self.session_table, server, values, now);
    }

    /// Records what another front reported.
    pub fn record_peer_reports(&mut self, reports: &[PeerReport], now: Ms) {
        self.state.record_peer_reports(&mut self.session_table, reports, now);
    }

    /// The most sessions that any server can play at once.
    pub fn max_streams_of_a_server(&self) -> f64 {
        self.state.settings.max_streams_by_kind.iter().copied().fold(0.0, f64::max)
    }

    /// Records that the current process of a server was already running at the time `since`.
    pub fn confirm_alive(&mut self, server: ServerId, since: Ms) {
        self.state.confirm_alive(server, since);
    }

    /// Records the share of their rates that this front's sessions on a server were delivered.
    pub fn record_delivered_share(&mut self, server: ServerId, share: f64, now: Ms) {
        self.state.record_delivered_share(&mut self.session_table, server, share, now);
    }

    /// Records the use of a server's link that the server announced.
    pub fn record_link_use(&mut self, server: ServerId, link_use: f64, now: Ms) {
        self.state.record_link_use(&mut self.session_table, server, link_use, now);
    }

    /// Records the use of its rack's uplink that a server announced.
    pub fn record_uplink_use(&mut self, server: ServerId, uplink_use: f64, now: Ms) {
        self.state.record_uplink_use(&mut self.session_table, server, uplink_use, now);
    }

    /// Records the rung that is in force for a session.
    pub fn set_rung(&mut self, id: SessionId, rung: u8) {
        self.state.set_rung(&mut self.session_table, id, rung);
    }

    /// Records a changed entry of the server list.
    pub fn update_server(&mut self, entry: ListEntry) {
        self.state.update_server(entry);
    }

    /// Records a complete server list: servers that are not in it are gone.
    pub fn replace_server_list(&mut self, entries: Vec<ListEntry>) {
        self.state.replace_server_list(entries);
    }

    /// [`Action::RequestList`] was answered; from now on changes are delivered without a request.
    pub fn list_received(&mut self) {
        self.state.list_received();
    }

    /// A call for the list failed, or the stream of its changes broke off.
    pub fn list_call_failed(&mut self, now: Ms) {
        self.state.list_call_failed(now);
    }

    /// A time that was requested by [`Action::CallAt`] has come.
    pub fn timer_fired(&mut self, now: Ms) {
        self.next_call_at = self.next_call_at.filter(|t| *t > now);
    }

    /// Does what is due; to be called once after the events of each moment. Returns whether held sessions were
    /// placed. Such a session may be held again; the next call then returns the time or probe that it waits for.
    pub fn process_due(&mut self, now: Ms, actions: &mut Vec<Action>) -> bool {
        let due = self.state.due_actions(&mut self.session_table, now);
        actions.extend(due.rung_changes.into_iter().map(|(id, rung)| Action::SetRung { id, rung }));
        actions.extend(due.probes.into_iter().map(|server| Action::Probe { server }));
        if due.request_list {
            actions.push(Action::RequestList);
        }
        let placed = !due.sessions_to_place.is_empty();
        for id in due.sessions_to_place {
            let placement = self.state.place(&mut self.session_table, id, now);
            push_placement(id, placement, actions);
        }
        if !due.peer_reports.is_empty() {
            actions.push(Action::SendPeerReports(due.peer_reports));
        }
        actions.extend(due.log_lines.into_iter().map(Action::Log));
        if self.next_call_at.is_none_or(|t| t > due.next_call_at) {
            self.next_call_at = Some(due.next_call_at);
            actions.push(Action::CallAt(due.next_call_at));
        }
        placed
    }
}

/// Adds the action that a placement calls for, if any.
fn push_placement(id: SessionId, placement: Placement, actions: &mut Vec<Action>) {
    match placement {
        Placement::Setup { server, rung, timeout } => {
            actions.push(Action::Setup { id, server, rung, timeout })
        }
        Placement::BusyReply { retry_after } => actions.push(Action::BusyReply { id, retry_after }),
        Placement::TornDown => actions.push(Action::TornDown { id }),
        Placement::NotYet | Placement::NoAction => {}
    }
}
