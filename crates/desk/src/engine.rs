//! The decisions in use: the module with its sessions in hand and its one timer. Each event is one call with
//! its time; what the module answers comes out as [`Action`]s. The bench's adapter and the live front both
//! stand on this; it decides nothing.
use walnutline::api::{PeerReport, Placement, Request, SetupOutcome};
use walnutline::fleet::ListEntry;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline::sessions::SessionTable;
use walnutline::settings::PolicySettings;
use walnutline::state::FrontState;

/// What the caller has to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a SETUP; its outcome is owed through [`DecisionEngine::session_started`] or [`DecisionEngine::after_outcome`].
    Setup { id: SessionId, server: ServerId, rung: u8, timeout: Ms },
    /// A playing session changes rung.
    SetRung { id: SessionId, rung: u8 },
    /// Ask a server for its load; the answer is owed through [`DecisionEngine::probe_finished`].
    Probe { server: ServerId },
    /// Ask for the list of servers, or for its changes from now on.
    RequestList,
    /// The final answer: busy reply, with the time to come back where one is told.
    BusyReply { id: SessionId, retry_after: Option<Ms> },
    /// The final answer: torn down.
    TornDown { id: SessionId },
    /// Tell all other fronts, in one message.
    SendPeerReports(Vec<PeerReport>),
    /// A line for the log.
    Log(String),
    /// Call [`DecisionEngine::process_due`] at this time at the latest. A later one never replaces an earlier one.
    CallAt(Ms),
}

pub struct DecisionEngine {
    pub state: FrontState,
    pub sessions: SessionTable,
    /// The earliest time that was asked for by [`Action::CallAt`] and has not come.
    next_call_at: Option<Ms>,
}

impl DecisionEngine {
    pub fn new(terms: PolicySettings, seed: u64, now: Ms) -> Self {
        DecisionEngine {
            state: FrontState::new(terms, seed, now),
            sessions: SessionTable::default(),
            next_call_at: None,
        }
    }

    /// A viewer's request was taken.
    pub fn add_request(&mut self, id: SessionId, request: Request, now: Ms, out: &mut Vec<Action>) {
        self.state.add_request(&mut self.sessions, id, request, now);
        let place = self.state.place(&mut self.sessions, id, now);
        answer(id, place, out);
    }

    /// A session that was playing when this front started.
    pub fn add_running_session(&mut self, id: SessionId, request: Request, server: ServerId, now: Ms) {
        self.state.add_running_session(&mut self.sessions, id, request, server, now);
    }

    /// A SETUP led to play: the final answer of its session.
    pub fn session_started(&mut self, id: SessionId, now: Ms) {
        self.state.session_started(&mut self.sessions, id, now);
    }

    /// How a SETUP, or the session that came of it, ended. `over`: no answer is owed any more.
    pub fn after_outcome(
        &mut self,
        id: SessionId,
        ending: SetupOutcome,
        over: bool,
        now: Ms,
        out: &mut Vec<Action>,
    ) {
        if over {
            if let Some(s) = self.sessions.sessions.get_mut(&id) {
                s.answered = true;
            }
        }
        let place = self.state.after_outcome(&mut self.sessions, id, ending, now);
        answer(id, place, out);
    }

    /// The viewer left before an answer; the outcome of a SETUP that is out is still owed.
    pub fn viewer_left(&mut self, id: SessionId) {
        self.state.viewer_left(&mut self.sessions, id);
    }

    /// The outcome of a probe; what it reported goes to [`DecisionEngine::record_report`] first.
    pub fn probe_finished(&mut self, server: ServerId, ending: SetupOutcome, now: Ms) {
        self.state.probe_finished(&mut self.sessions, server, ending, now);
    }

    /// A load report, its values in the order of the terms' columns.
    pub fn record_report(&mut self, server: ServerId, values: &[f64], now: Ms) {
        self.state.record_report(&mut self.sessions, server, values, now);
    }

    /// What another front told.
    pub fn record_peer_reports(&mut self, news: &[PeerReport], now: Ms) {
        self.state.record_peer_reports(&mut self.sessions, news, now);
    }

    /// The process of a server is one that was there at that time.
    pub fn confirm_alive(&mut self, server: ServerId, since: Ms) {
        self.state.confirm_alive(server, since);
    }

    pub fn record_delivered_share(&mut self, server: ServerId, share: f64, now: Ms) {
        self.state.record_delivered_share(&mut self.sessions, server, share, now);
    }

    pub fn record_link_use(&mut self, server: ServerId, use_: f64, now: Ms) {
        self.state.record_link_use(&mut self.sessions, server, use_, now);
    }

    pub fn record_uplink_use(&mut self, server: ServerId, use_: f64, now: Ms) {
        self.state.record_uplink_use(&mut self.sessions, server, use_, now);
    }

    pub fn set_rung(&mut self, id: SessionId, rung: u8) {
        self.state.set_rung(&mut self.sessions, id, rung);
    }

    pub fn update_server(&mut self, line: ListEntry) {
        self.state.update_server(line);
    }

    pub fn replace_server_list(&mut self, lines: Vec<ListEntry>) {
        self.state.replace_server_list(lines);
    }

    /// What [`Action::RequestList`] asked for was told, so that changes come by themselves now.
    pub fn list_received(&mut self) {
        self.state.list_received();
    }

    /// A call for the list failed, or what was followed broke off.
    pub fn list_call_failed(&mut self, now: Ms) {
        self.state.list_call_failed(now);
    }

    /// A time that was asked for has come.
    pub fn timer_fired(&mut self, now: Ms) {
        self.next_call_at = self.next_call_at.filter(|t| *t > now);
    }

    /// Does what is due; to be called once after the events of each moment. Whether sessions that were held were
    /// placed: such a one may be held once more, and what it then waits for is told by the next call.
    pub fn process_due(&mut self, now: Ms, out: &mut Vec<Action>) -> bool {
        let due = self.state.due_actions(&mut self.sessions, now);
        out.extend(due.rung_changes.into_iter().map(|(id, rung)| Action::SetRung { id, rung }));
        out.extend(due.probes.into_iter().map(|server| Action::Probe { server }));
        if due.request_list {
            out.push(Action::RequestList);
        }
        let placed = !due.sessions_to_place.is_empty();
        for id in due.sessions_to_place {
            let place = self.state.place(&mut self.sessions, id, now);
            answer(id, place, out);
        }
        if !due.peer_reports.is_empty() {
            out.push(Action::SendPeerReports(due.peer_reports));
        }
        out.extend(due.log_lines.into_iter().map(Action::Log));
        if self.next_call_at.is_none_or(|t| t > due.next_call_at) {
            self.next_call_at = Some(due.next_call_at);
            out.push(Action::CallAt(due.next_call_at));
        }
        placed
    }
}

fn answer(id: SessionId, place: Placement, out: &mut Vec<Action>) {
    match place {
        Placement::Setup { server, rung, timeout } => out.push(Action::Setup { id, server, rung, timeout }),
        Placement::BusyReply { retry_after } => out.push(Action::BusyReply { id, retry_after }),
        Placement::TornDown => out.push(Action::TornDown { id }),
        Placement::NotYet | Placement::NoAction => {}
    }
}
