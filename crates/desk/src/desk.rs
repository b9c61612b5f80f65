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
    /// Send a SETUP; its outcome is owed through [`Desk::started`] or [`Desk::ended`].
    Setup { id: SessionId, server: ServerId, rung: u8, timeout: Ms },
    /// A playing session changes rung.
    Rung { id: SessionId, rung: u8 },
    /// Ask a server for its load; the answer is owed through [`Desk::probed`].
    Probe { server: ServerId },
    /// Ask for the list of servers, or for its changes from now on.
    AskList,
    /// The final answer: busy reply, with the time to come back where one is told.
    BusyReply { id: SessionId, come_back: Option<Ms> },
    /// The final answer: torn down.
    TornDown { id: SessionId },
    /// Tell all other fronts, in one message.
    Tell(Vec<PeerReport>),
    /// A line for the log.
    Log(String),
    /// Call [`Desk::attend`] at this time at the latest. A later one never replaces an earlier one.
    AgainAt(Ms),
}

pub struct Desk {
    pub front: FrontState,
    pub hand: SessionTable,
    /// The earliest time that was asked for by [`Action::AgainAt`] and has not come.
    again_at: Option<Ms>,
}

impl Desk {
    pub fn new(terms: PolicySettings, seed: u64, now: Ms) -> Self {
        Desk { front: FrontState::new(terms, seed, now), hand: SessionTable::default(), again_at: None }
    }

    /// A viewer's request was taken.
    pub fn asked(&mut self, id: SessionId, request: Request, now: Ms, out: &mut Vec<Action>) {
        self.front.add_request(&mut self.hand, id, request, now);
        let place = self.front.place(&mut self.hand, id, now);
        answer(id, place, out);
    }

    /// A session that was playing when this front started.
    pub fn under_way(&mut self, id: SessionId, request: Request, server: ServerId, now: Ms) {
        self.front.add_running_session(&mut self.hand, id, request, server, now);
    }

    /// A SETUP led to play: the final answer of its session.
    pub fn started(&mut self, id: SessionId, now: Ms) {
        self.front.session_started(&mut self.hand, id, now);
    }

    /// How a SETUP, or the session that came of it, ended. `over`: no answer is owed any more.
    pub fn ended(&mut self, id: SessionId, ending: SetupOutcome, over: bool, now: Ms, out: &mut Vec<Action>) {
        if over {
            if let Some(s) = self.hand.sessions.get_mut(&id) {
                s.answered = true;
            }
        }
        let place = self.front.after_outcome(&mut self.hand, id, ending, now);
        answer(id, place, out);
    }

    /// The viewer left before an answer; the outcome of a SETUP that is out is still owed.
    pub fn left(&mut self, id: SessionId) {
        self.front.viewer_left(&mut self.hand, id);
    }

    /// The outcome of a probe; what it reported goes to [`Desk::report`] first.
    pub fn probed(&mut self, server: ServerId, ending: SetupOutcome, now: Ms) {
        self.front.probe_finished(&mut self.hand, server, ending, now);
    }

    /// A load report, its values in the order of the terms' columns.
    pub fn report(&mut self, server: ServerId, values: &[f64], now: Ms) {
        self.front.record_report(&mut self.hand, server, values, now);
    }

    /// What another front told.
    pub fn peer_told(&mut self, news: &[PeerReport], now: Ms) {
        self.front.record_peer_reports(&mut self.hand, news, now);
    }

    /// The process of a server is one that was there at that time.
    pub fn lives(&mut self, server: ServerId, since: Ms) {
        self.front.confirm_alive(server, since);
    }

    pub fn share_heard(&mut self, server: ServerId, share: f64, now: Ms) {
        self.front.record_delivered_share(&mut self.hand, server, share, now);
    }

    pub fn link_heard(&mut self, server: ServerId, use_: f64, now: Ms) {
        self.front.record_link_use(&mut self.hand, server, use_, now);
    }

    pub fn uplink_heard(&mut self, server: ServerId, use_: f64, now: Ms) {
        self.front.record_uplink_use(&mut self.hand, server, use_, now);
    }

    pub fn rung_told(&mut self, id: SessionId, rung: u8) {
        self.front.set_rung(&mut self.hand, id, rung);
    }

    pub fn listed(&mut self, line: ListEntry) {
        self.front.update_server(line);
    }

    pub fn listed_all(&mut self, lines: Vec<ListEntry>) {
        self.front.replace_server_list(lines);
    }

    /// What [`Action::AskList`] asked for was told, so that changes come by themselves now.
    pub fn list_told(&mut self) {
        self.front.list_received();
    }

    /// A call for the list failed, or what was followed broke off.
    pub fn list_failed(&mut self, now: Ms) {
        self.front.list_call_failed(now);
    }

    /// A time that was asked for has come.
    pub fn rang(&mut self, now: Ms) {
        self.again_at = self.again_at.filter(|t| *t > now);
    }

    /// Does what is due; to be called once after the events of each moment. Whether sessions that were held were
    /// placed: such a one may be held once more, and what it then waits for is told by the next call.
    pub fn attend(&mut self, now: Ms, out: &mut Vec<Action>) -> bool {
        let due = self.front.due_actions(&mut self.hand, now);
        out.extend(due.rung_changes.into_iter().map(|(id, rung)| Action::Rung { id, rung }));
        out.extend(due.probes.into_iter().map(|server| Action::Probe { server }));
        if due.request_list {
            out.push(Action::AskList);
        }
        let placed = !due.sessions_to_place.is_empty();
        for id in due.sessions_to_place {
            let place = self.front.place(&mut self.hand, id, now);
            answer(id, place, out);
        }
        if !due.peer_reports.is_empty() {
            out.push(Action::Tell(due.peer_reports));
        }
        out.extend(due.log_lines.into_iter().map(Action::Log));
        if self.again_at.is_none_or(|t| t > due.next_call_at) {
            self.again_at = Some(due.next_call_at);
            out.push(Action::AgainAt(due.next_call_at));
        }
        placed
    }
}

fn answer(id: SessionId, place: Placement, out: &mut Vec<Action>) {
    match place {
        Placement::Setup { server, rung, timeout } => out.push(Action::Setup { id, server, rung, timeout }),
        Placement::BusyReply { retry_after } => out.push(Action::BusyReply { id, come_back: retry_after }),
        Placement::TornDown => out.push(Action::TornDown { id }),
        Placement::NotYet | Placement::NoAction => {}
    }
}
