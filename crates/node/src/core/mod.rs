//! Owns all sessions, connections and time-outs of a node, without I/O: it is given events with their times,
//! and returns the actions to take and the time of the next call. Every decision on a session is made by the
//! decision engine.
//!
//! - [`viewer_connections`]: viewers' messages and the answers to them.
//! - [`server_connections`]: connections to servers, and what the end of one implies.
//! - [`liveness`]: what is known of the liveness of one connection.
//! - [`server_messages`]: servers' messages.
//! - [`server_list`]: the list of servers, kept up to date by queries to the name service.
//! - [`replaced_servers`]: servers at the address of one that has gone.
//! - [`peers`]: load reports between front nodes.
//! - [`maintenance`]: timers: overdue, idle and silent peers.
//! - [`shutdown`]: the end of the node.
//!
//! State is bounded by what is in use now: open sessions, connections, and servers that are listed or still
//! in use.
mod liveness;
mod maintenance;
mod peers;
mod replaced_servers;
mod server_connections;
mod server_list;
mod server_messages;
mod shutdown;
mod viewer_connections;

use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use crate::request_log::{RequestCounts, RequestEvent, RequestLine};
use server_connections::{Server, ServerConnection};
use server_list::NameService;
use std::collections::{BTreeMap, VecDeque};
use viewer_connections::Viewer;
use walnutline::api::SetupOutcome;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline::settings::{ListDelivery, PolicySettings};
use walnutline_platform::configuration::Configuration;
use walnutline_platform::viewer::{self, SetupRequest};
use walnutline_sessions::engine::{Action, DecisionEngine};
use walnutline_sessions::stall_detector::StallDetector;
use walnutline_sessions::timer_queue::TimerQueue;

/// A SETUP that was sent and not answered, or that waits for its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingSetup {
    server: ServerId,
    conn: ConnectionId,
    /// Distinguishes the SETUPs of one session.
    attempt: u32,
    sent: bool,
}

/// How far a session has come.
enum Stage {
    /// The viewer's request is not answered yet; the answer goes to `viewer_conn`.
    Pending { viewer_conn: ConnectionId, request: Box<SetupRequest>, setup: Option<PendingSetup> },
    /// The session plays. `viewer_conn` is the connection that brought its set-up and `server_conn` the one on which
    /// the server accepted it; both may have closed since. `since` is the time from which it is known to play.
    Playing {
        viewer_conn: Option<ConnectionId>,
        server: ServerId,
        server_conn: Option<ConnectionId>,
        since: Ms,
    },
}

/// A pending request or a playing session.
struct Session {
    stage: Stage,
    /// When its request was read, or its hand-over.
    taken_at: Ms,
    /// SETUPs started so far. The last one has this number as its attempt.
    setup_count: u32,
    /// When the pending SETUP times out.
    setup_deadline: Ms,
}

/// A release that waits for a viewer's connection, or for the viewer's confirmation.
struct PendingRelease {
    id: u64,
    cause: u32,
    created_at: Ms,
}

/// What a timer is for.
#[derive(Debug)]
enum TimerEvent {
    SetupTimeout { id: SessionId, attempt: u32 },
    ConnectTimeout { conn: ConnectionId },
    OptionsTimeout { conn: ConnectionId, id: u64 },
    Reconnect { server: ServerId },
    ShutdownCheck,
    Sweep,
}

/// The core of a front node.
pub struct Node {
    /// Makes the decisions on sessions.
    pub engine: DecisionEngine,
    /// The configuration as it was read, with which a new one is compared.
    configuration: Configuration,
    /// Zones of listed servers that the configuration does not name. Their indexes follow its own; unused ones are empty.
    unconfigured_zones: Vec<String>,
    sessions: BTreeMap<SessionId, Session>,
    viewers: BTreeMap<ConnectionId, Viewer>,
    max_viewer_connections: usize,
    max_server_connections: usize,
    /// The viewer's connection that last brought a valid set-up.
    last_setup_conn: Option<ConnectionId>,
    servers: BTreeMap<ServerId, Server>,
    servers_by_name: BTreeMap<String, ServerId>,
    server_connections: BTreeMap<ConnectionId, ServerConnection>,
    /// Releases that found no viewer's connection.
    pending_releases: VecDeque<PendingRelease>,
    /// Rungs and ends reported by servers for sessions that have not been handed over yet: reports and
    /// hand-overs come by different connections.
    early_rungs: BTreeMap<SessionId, u8>,
    early_ends: BTreeMap<SessionId, (ServerId, Option<u32>)>,
    name_service: NameService,
    timers: TimerQueue<TimerEvent>,
    stall: StallDetector,
    rng: fastrand::Rng,
    last_server_id: u32,
    last_connection_id: u64,
    stop_requested_at: Option<Ms>,
    request_counts: RequestCounts,
    /// Whether events of requests are logged while the node is not stopping.
    logs_requests: bool,
    engine_actions: Vec<Action>,
    io_actions: Vec<IoAction>,
    engine_next_call_at: Ms,
    /// The time that the last call was given.
    last_call_at: Ms,
}

impl Node {
    /// Creates a node with the list of servers in its configuration.
    pub fn new(configuration: Configuration, now: Ms) -> Result<Node, String> {
        let mut settings =
            PolicySettings::parse(&configuration.settings_text).map_err(|e| format!("settings: {e}"))?;
        // On this platform the list of servers is always polled, whatever the settings say.
        settings.list_delivery = ListDelivery::Polled { grace: settings.drain_grace };
        // Each front node sends its share of the load. Their number is the one in the settings or the length
        // of the list of peers, whichever is larger.
        settings.front_count =
            settings.front_count.max(u32::try_from(configuration.peer_addresses.len()).unwrap_or(u32::MAX));
        settings.peer_messages_allowed &=
            configuration.peer_broadcast_address.is_some() && configuration.peer_listen_address.is_some();
        let servers = configuration.servers.clone();
        let max_viewer_connections = limits::max_viewer_connections(configuration.max_sockets, servers.len());
        let mut node = Node {
            engine: DecisionEngine::new(settings, configuration.seed, now),
            unconfigured_zones: Vec::new(),
            sessions: BTreeMap::new(),
            viewers: BTreeMap::new(),
            max_viewer_connections,
            max_server_connections: limits::max_server_connections(
                configuration.max_sockets,
                max_viewer_connections,
            ),
            last_setup_conn: None,
            servers: BTreeMap::new(),
            servers_by_name: BTreeMap::new(),
            server_connections: BTreeMap::new(),
            pending_releases: VecDeque::new(),
            early_rungs: BTreeMap::new(),
            early_ends: BTreeMap::new(),
            name_service: NameService::new(configuration.name_service, configuration.server_list_serial),
            timers: TimerQueue::default(),
            stall: StallDetector::default(),
            rng: fastrand::Rng::with_seed(configuration.seed ^ 0x6e6f_6465),
            last_server_id: 0,
            last_connection_id: 0,
            stop_requested_at: None,
            request_counts: RequestCounts::default(),
            logs_requests: false,
            engine_actions: Vec::new(),
            io_actions: Vec::new(),
            engine_next_call_at: now,
            last_call_at: now,
            configuration,
        };
        node.replace_server_list(servers, now);
        node.timers.schedule(now + limits::SWEEP_INTERVAL, TimerEvent::Sweep);
        Ok(node)
    }

    /// Returns a new id, for an accepted connection.
    pub fn new_connection_id(&mut self) -> ConnectionId {
        self.last_connection_id += 1;
        ConnectionId(self.last_connection_id)
    }

    /// Removes and returns the actions that the edge has to take, oldest first.
    pub fn take_actions(&mut self) -> Vec<IoAction> {
        std::mem::take(&mut self.io_actions)
    }

    /// Returns the counts of requests for the log: those answered, given up and open add up to those taken.
    pub fn request_counts(&self) -> String {
        self.request_counts.to_log_fields(self.pending_count())
    }

    /// Number of requests that are not answered yet.
    fn pending_count(&self) -> usize {
        self.sessions.values().filter(|s| matches!(s.stage, Stage::Pending { .. })).count()
    }

    /// Number of scheduled timers, to which the memory they take is proportional.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Schedules a timer.
    fn schedule(&mut self, due_at: Ms, event: TimerEvent) {
        if self.timers.needs_purge() {
            let mut timers = std::mem::take(&mut self.timers);
            timers.purge(|event| self.is_obsolete(event));
            self.timers = timers;
        }
        self.timers.schedule(due_at, event);
    }

    /// Whether nothing will be left to do when this timer is due.
    fn is_obsolete(&self, event: &TimerEvent) -> bool {
        match event {
            TimerEvent::SetupTimeout { id, attempt } => self.pending_setup(*id, *attempt).is_none(),
            TimerEvent::ConnectTimeout { conn } => self.server_connections.get(conn).is_none_or(|c| c.up),
            TimerEvent::OptionsTimeout { conn, id } => {
                self.server_connections.get(conn).is_none_or(|c| !c.pending_options.contains_key(id))
            }
            TimerEvent::Reconnect { server } => !self.servers.contains_key(server),
            TimerEvent::ShutdownCheck | TimerEvent::Sweep => false,
        }
    }

    /// The pending SETUP of a session, if it is still this attempt.
    fn pending_setup(&self, id: SessionId, attempt: u32) -> Option<PendingSetup> {
        match &self.sessions.get(&id)?.stage {
            Stage::Pending { setup: Some(setup), .. } if setup.attempt == attempt => Some(*setup),
            _ => None,
        }
    }

    /// Requests a log line for each event of each request. Without it, only those of a stopping node are
    /// logged.
    pub fn log_requests(&mut self) {
        self.logs_requests = true;
    }

    /// Logs an event of a request, if such events are logged now.
    fn log_request(&mut self, id: SessionId, event: impl FnOnce(&Node) -> RequestEvent) {
        let stopping = self.stop_requested_at.is_some();
        if stopping || self.logs_requests {
            let line = RequestLine { id, event: event(self) };
            self.io_actions.push(IoAction::LogRequest { line, stopping });
        }
    }

    /// Name of a server for the log.
    fn server_name(&self, server: ServerId) -> String {
        self.servers.get(&server).map_or_else(String::new, |s| s.name.clone())
    }

    /// The largest number of viewers' connections held at once.
    pub fn max_viewer_connections(&self) -> usize {
        self.max_viewer_connections
    }

    /// Handles bytes from a connection, received at `received_at`.
    pub fn bytes_received(&mut self, conn: ConnectionId, bytes: &[u8], received_at: Ms, now: Ms) {
        if self.viewers.contains_key(&conn) {
            self.viewer_bytes_received(conn, bytes, received_at, now);
        } else if self.server_connections.contains_key(&conn) {
            self.server_bytes_received(conn, bytes, now);
        }
        self.process_engine_actions(now);
    }

    /// Handles the end of a connection, or that it could not be opened.
    pub fn connection_closed(&mut self, conn: ConnectionId, end: crate::actions::ConnectionEnd, now: Ms) {
        if self.viewers.contains_key(&conn) {
            self.viewer_connection_closed(conn, now);
        } else if self.server_connections.contains_key(&conn) {
            self.server_connection_closed(conn, end, now);
        }
        self.process_engine_actions(now);
    }

    /// Carries out the decision engine's actions. One whose outcome is known at once can add further actions.
    fn process_engine_actions(&mut self, now: Ms) {
        self.last_call_at = now;
        let mut next = 0;
        while next < self.engine_actions.len() {
            let action = self.engine_actions[next].clone();
            next += 1;
            match action {
                Action::Setup { id, server, timeout, .. } => self.start_setup(id, server, timeout, now),
                Action::SetRung { id, rung } => self.set_rung(id, rung),
                Action::Probe { server } => self.probe(server, now),
                Action::RequestList => self.request_list(),
                Action::BusyReply { id, retry_after } => {
                    self.request_counts.refused += 1;
                    let bytes = viewer::busy_response(id.0, retry_after);
                    self.send_final_answer(id, viewer::BUSY_STATUS, bytes, now);
                }
                Action::TornDown { id } => {
                    self.request_counts.failed += 1;
                    let bytes = viewer::setup_failed_response(id.0);
                    self.send_final_answer(id, viewer::FAILED_STATUS, bytes, now);
                }
                Action::SendPeerReports(reports) => self.send_peer_reports(&reports, now),
                Action::Log(line) => self.io_actions.push(IoAction::Log(line)),
                Action::CallAt(at) => self.engine_next_call_at = at,
            }
        }
        self.engine_actions.clear();
    }

    /// Answers a request that could not be placed on a server, and forgets its session.
    fn send_final_answer(&mut self, id: SessionId, status: u16, bytes: Vec<u8>, now: Ms) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let Stage::Pending { viewer_conn, .. } = session.stage else { return };
        self.request_counts.answered += 1;
        if let Some(viewer) = self.viewers.get_mut(&viewer_conn) {
            viewer.open_setups.remove(&id);
            self.io_actions.push(IoAction::Write { conn: viewer_conn, bytes });
        }
        let (age, setups) = (now - session.taken_at, session.setup_count);
        self.log_request(id, |_| RequestEvent::Answered { status, age, setups });
    }

    /// Passes the outcome of a session's SETUP to the decision engine, which decides what comes next.
    fn setup_ended(&mut self, id: SessionId, outcome: SetupOutcome, now: Ms) {
        if let Some(Session { stage: Stage::Pending { setup, .. }, .. }) = self.sessions.get_mut(&id) {
            if let Some(PendingSetup { server, attempt, sent, .. }) = setup.take() {
                self.request_counts.setups_failed += 1;
                self.log_request(id, |node| {
                    let server = node.server_name(server);
                    RequestEvent::SetupEnded { attempt, server, outcome, sent }
                });
            }
            self.engine.after_outcome(id, outcome, false, now, &mut self.engine_actions);
        }
    }

    /// Ends a playing session. With a cause, a release goes to its viewer.
    fn end_session(&mut self, id: SessionId, outcome: SetupOutcome, cause: Option<u32>, now: Ms) {
        let Some(Session { stage: Stage::Playing { viewer_conn, server, .. }, .. }) =
            self.sessions.remove(&id)
        else {
            return;
        };
        if let Some(s) = self.servers.get_mut(&server) {
            s.sessions.remove(&id);
        }
        if let Some(cause) = cause {
            self.release_viewer(id.0, viewer_conn, cause, now);
        }
        self.engine.after_outcome(id, outcome, true, now, &mut self.engine_actions);
    }
}
