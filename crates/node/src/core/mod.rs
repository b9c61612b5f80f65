//! One owner of all sessions, connections and time-outs of a node. It is told the time and what came in, and says
//! what to do next and when to call again. Every decision is asked of the module through the desk.
//!
//! - [`viewer_connections`]: what viewers send and are owed.
//! - [`server_connections`]: connections to servers, and what each end of one proves.
//! - [`server_messages`]: what servers say.
//! - [`server_list`]: the list of servers, followed by questions to the name service.
//! - [`peers`]: what front nodes tell each other.
//! - [`maintenance`]: what is due with time: silent, idle and overdue peers, and the end of the node.
//!
//! State grows with what is open now: sessions in hand, connections, servers listed or still in use.
mod maintenance;
mod peers;
mod server_connections;
mod server_list;
mod server_messages;
mod viewer_connections;

use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use server_connections::{Line, Server};
use server_list::Names;
use std::collections::{BTreeMap, VecDeque};
use viewer_connections::Viewer;
use walnutline::api::SetupOutcome;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline::settings::{ListDelivery, PolicySettings};
use walnutline_desk::engine::{Action, DecisionEngine};
use walnutline_desk::stall_detector::StallDetector;
use walnutline_desk::timer_queue::TimerQueue;
use walnutline_platform::configuration::Configuration;
use walnutline_platform::viewer::{self, SetupRequest};

/// A SETUP that is out, or waits for a connection that is being opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Out {
    server: ServerId,
    line: ConnectionId,
    /// Tells it from other SETUPs of the same session.
    no: u32,
    written: bool,
}

enum Stage {
    /// Its answer is owed to this connection.
    Asked { from: ConnectionId, wanted: Box<SetupRequest>, out: Option<Out> },
    /// It plays; the connection that its set-up came by, as long as that is open, and since when it is known to stand.
    Stands { from: Option<ConnectionId>, server: ServerId, since: Ms },
}

struct Session {
    stage: Stage,
    setups: u32,
    /// Until when the SETUP that is out is waited for.
    until: Ms,
}

/// What became of the requests that this process has taken.
#[derive(Default)]
struct Ledger {
    taken: u64,
    answered: u64,
    /// By their viewers, who closed or cancelled.
    given_up: u64,
}

/// A release that found no viewer's connection.
struct Owed {
    id: u64,
    cause: u32,
    since: Ms,
}

#[derive(Debug)]
enum Due {
    Setup { id: SessionId, no: u32 },
    Connecting { conn: ConnectionId },
    Test { conn: ConnectionId, id: u64 },
    Reconnect { server: ServerId },
    End,
    Sweep,
}

pub struct Node {
    pub desk: DecisionEngine,
    /// Names of the settings by their positions, and the waits that the settings state.
    told: Configuration,
    /// Zones that the settings name; further ones come with the list.
    zones_told: usize,
    sess: BTreeMap<SessionId, Session>,
    viewers: BTreeMap<ConnectionId, Viewer>,
    most_viewers: usize,
    most_lines: usize,
    /// The viewer's connection that last brought a set-up that could be taken.
    last_good: Option<ConnectionId>,
    servers: BTreeMap<ServerId, Server>,
    by_name: BTreeMap<String, ServerId>,
    lines: BTreeMap<ConnectionId, Line>,
    owed: VecDeque<Owed>,
    /// What servers told of sessions before these were handed over, their rungs or their ends: the two come
    /// by different ways.
    early_rungs: BTreeMap<SessionId, u8>,
    early_ends: BTreeMap<SessionId, (ServerId, Option<u32>)>,
    names: Names,
    timers: TimerQueue<Due>,
    stall: StallDetector,
    rng: fastrand::Rng,
    next_server: u32,
    next_conn: u64,
    stopping: Option<Ms>,
    ledger: Ledger,
    actions: Vec<Action>,
    dos: Vec<IoAction>,
    again_at: Ms,
    /// The time of the last call.
    clock: Ms,
}

impl Node {
    /// A node with the list that its configuration holds; connections to those servers are opened at once.
    pub fn new(told: Configuration, now: Ms) -> Result<Node, String> {
        let mut terms = PolicySettings::parse(&told.settings_text).map_err(|e| format!("settings: {e}"))?;
        // Changes come here with the answers to questions only, whatever the settings say of a list.
        terms.list_delivery = ListDelivery::Polled { grace: terms.drain_grace };
        // Each node sends its share: as many as either tells.
        terms.front_count =
            terms.front_count.max(u32::try_from(told.peer_addresses.len()).unwrap_or(u32::MAX));
        terms.peer_messages_allowed &=
            told.peer_broadcast_address.is_some() && told.peer_listen_address.is_some();
        let servers = told.servers.clone();
        let most_viewers = limits::max_viewer_connections(told.max_sockets, servers.len());
        let mut node = Node {
            desk: DecisionEngine::new(terms, told.seed, now),
            zones_told: told.zones.len(),
            sess: BTreeMap::new(),
            viewers: BTreeMap::new(),
            most_viewers,
            most_lines: limits::max_server_connections(told.max_sockets, most_viewers),
            last_good: None,
            servers: BTreeMap::new(),
            by_name: BTreeMap::new(),
            lines: BTreeMap::new(),
            owed: VecDeque::new(),
            early_rungs: BTreeMap::new(),
            early_ends: BTreeMap::new(),
            names: Names::new(told.name_service, told.server_list_serial),
            timers: TimerQueue::default(),
            stall: StallDetector::default(),
            rng: fastrand::Rng::with_seed(told.seed ^ 0x6e6f_6465),
            next_server: 0,
            next_conn: 0,
            stopping: None,
            ledger: Ledger::default(),
            actions: Vec::new(),
            dos: Vec::new(),
            again_at: now,
            clock: now,
            told,
        };
        node.listed(servers, now);
        node.timers.schedule(now + limits::SWEEP_INTERVAL, Due::Sweep);
        Ok(node)
    }

    /// A number for a connection that comes in.
    pub fn new_connection_id(&mut self) -> ConnectionId {
        self.next_conn += 1;
        ConnectionId(self.next_conn)
    }

    pub fn take_actions(&mut self) -> Vec<IoAction> {
        std::mem::take(&mut self.dos)
    }

    /// What became of the requests taken so far: those answered, given up and open add up to them.
    pub fn request_counts(&self) -> String {
        let Ledger { taken, answered, given_up } = self.ledger;
        let open = self.sess.values().filter(|s| matches!(s.stage, Stage::Asked { .. })).count();
        format!("taken={taken} answered={answered} given_up={given_up} open={open}")
    }

    /// How many viewers' connections are held at most.
    pub fn max_viewer_connections(&self) -> usize {
        self.most_viewers
    }

    /// Bytes that came in on a connection at that time.
    pub fn bytes_received(&mut self, conn: ConnectionId, bytes: &[u8], at: Ms, now: Ms) {
        if self.viewers.contains_key(&conn) {
            self.viewer_bytes(conn, bytes, at, now);
        } else if self.lines.contains_key(&conn) {
            self.server_bytes(conn, bytes, now);
        }
        self.settle(now);
    }

    /// A connection is over, or never came up.
    pub fn connection_closed(&mut self, conn: ConnectionId, end: crate::actions::ConnectionEnd, now: Ms) {
        if self.viewers.contains_key(&conn) {
            self.viewer_closed(conn, now);
        } else if self.lines.contains_key(&conn) {
            self.line_closed(conn, end, now);
        }
        self.settle(now);
    }

    /// Acts on what the module answered. An outcome that is known at once leads to the next answer.
    fn settle(&mut self, now: Ms) {
        self.clock = now;
        let mut next = 0;
        while next < self.actions.len() {
            let action = self.actions[next].clone();
            next += 1;
            match action {
                Action::Setup { id, server, timeout, .. } => self.setup(id, server, timeout, now),
                Action::SetRung { id, rung } => self.rung(id, rung),
                Action::Probe { server } => self.probe(server, now),
                Action::RequestList => self.ask_list(),
                Action::BusyReply { id, retry_after: come_back } => {
                    self.answer(id, viewer::busy_response(id.0, come_back))
                }
                Action::TornDown { id } => self.answer(id, viewer::setup_failed_response(id.0)),
                Action::SendPeerReports(news) => self.tell(&news, now),
                Action::Log(line) => self.dos.push(IoAction::Log(line)),
                Action::CallAt(at) => self.again_at = at,
            }
        }
        self.actions.clear();
    }

    /// The final answer of a session that does not play.
    fn answer(&mut self, id: SessionId, bytes: Vec<u8>) {
        if let Some(Session { stage: Stage::Asked { from, .. }, .. }) = self.sess.remove(&id) {
            self.ledger.answered += 1;
            if let Some(v) = self.viewers.get_mut(&from) {
                v.open.remove(&id);
                self.dos.push(IoAction::Write { conn: from, bytes });
            }
        }
    }

    /// How the SETUP of a session ended that is out no more.
    fn setup_ended(&mut self, id: SessionId, ending: SetupOutcome, now: Ms) {
        if let Some(Session { stage: Stage::Asked { out, .. }, .. }) = self.sess.get_mut(&id) {
            *out = None;
            self.desk.after_outcome(id, ending, false, now, &mut self.actions);
        }
    }

    /// A session that stood is over; its viewer is told the cause where one is owed.
    fn over(&mut self, id: SessionId, ending: SetupOutcome, cause: Option<u32>, now: Ms) {
        let Some(Session { stage: Stage::Stands { from, server, .. }, .. }) = self.sess.remove(&id) else {
            return;
        };
        if let Some(s) = self.servers.get_mut(&server) {
            s.standing.remove(&id);
        }
        if let Some(cause) = cause {
            self.release(id.0, from, cause, now);
        }
        self.desk.after_outcome(id, ending, true, now, &mut self.actions);
    }
}
