//! The control connection to one box: the requests that are outstanding on it, and what its end proves about each of
//! them. The socket is elsewhere; here a connection is a number that grows with each attempt to open one.
use crate::backoff::Backoff;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use walnutline::api::SetupOutcome;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, SessionId};

/// What a request asks of the box.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestKind {
    /// The SETUP of a session.
    Setup(SessionId),
    /// A load report.
    Probe,
    /// A change of rung or a TEARDOWN: nothing waits for its answer.
    Other,
}

/// A request that was sent and has no answer yet.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingRequest {
    /// What it asks of the box.
    pub kind: RequestKind,
    /// Its time-out was reported, or its viewer left: a session that it still leads to is torn down.
    pub abandoned: bool,
}

/// State of the connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ConnectionState {
    /// There is none, and none is opened before this time unless a probe is to be sent.
    Idle { until: Ms },
    /// One is being opened.
    Connecting { conn: u64 },
    /// One is open.
    Open { conn: u64 },
}

/// What became of a request that was to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendResult {
    /// It goes out on this connection under this sequence number.
    Sent { conn: u64, cseq: u32 },
    /// It waits for the connection that is being opened; the ticket identifies it until it is sent.
    Queued { ticket: u64 },
    /// There is no connection, and none is being opened.
    NotConnected,
}

/// What ended with a connection.
#[derive(Debug, Default, PartialEq)]
pub struct ClosedConnection {
    /// Outstanding requests, with what the close proves about each.
    pub requests: Vec<(RequestKind, SetupOutcome)>,
    /// Sessions that played over it.
    pub sessions: Vec<SessionId>,
}

/// The control connection to one box, across reconnects.
pub struct ControlConnection {
    /// Where the box accepts control connections.
    pub address: SocketAddr,
    /// State of the box in the server list.
    pub server_state: ServerState,
    /// State of the connection.
    pub state: ConnectionState,
    /// Delay before the next attempt to connect.
    pub backoff: Backoff,
    /// When the box was last heard from, or was last found to have no request to answer.
    pub silent_since: Ms,
    /// Number of the latest connection.
    last_conn: u64,
    next_cseq: u32,
    /// Sent and unanswered requests by sequence number.
    pending: BTreeMap<u32, PendingRequest>,
    /// Requests that wait for the connection to open, with their tickets.
    queued: Vec<(u64, RequestKind)>,
    /// Ticket of the request that was queued last.
    last_ticket: u64,
    /// Playing sessions by the box's names for them.
    sessions: BTreeMap<String, SessionId>,
}

impl ControlConnection {
    /// Creates the state for a box to which no connection has been tried yet.
    pub fn new(address: SocketAddr, server_state: ServerState) -> Self {
        ControlConnection {
            address,
            server_state,
            state: ConnectionState::Idle { until: Ms::NEG_INFINITY },
            backoff: Backoff::default(),
            silent_since: Ms::NEG_INFINITY,
            last_conn: 0,
            next_cseq: 1,
            pending: BTreeMap::new(),
            queued: Vec::new(),
            last_ticket: 0,
            sessions: BTreeMap::new(),
        }
    }

    /// Begins to open a connection and returns its number. Sequence numbers start over on each connection.
    pub fn begin_connect(&mut self) -> u64 {
        self.last_conn += 1;
        self.next_cseq = 1;
        self.state = ConnectionState::Connecting { conn: self.last_conn };
        self.last_conn
    }

    /// Whether this connection is the one that is open or being opened.
    pub fn is_current(&self, conn: u64) -> bool {
        matches!(self.state, ConnectionState::Connecting { conn: c } | ConnectionState::Open { conn: c } if c == conn)
    }

    /// Number of the open connection, if there is one.
    pub fn open_conn(&self) -> Option<u64> {
        match self.state {
            ConnectionState::Open { conn } => Some(conn),
            _ => None,
        }
    }

    /// The connection is open. Returns the queued requests in their order, each with its sequence number.
    pub fn opened(&mut self, conn: u64) -> Vec<(RequestKind, u32)> {
        self.state = ConnectionState::Open { conn };
        self.backoff.reset();
        let queued = std::mem::take(&mut self.queued);
        queued.into_iter().map(|(_, kind)| (kind.clone(), self.add_pending(kind))).collect()
    }

    /// Sends a request, or queues it while the connection is being opened.
    pub fn send(&mut self, kind: RequestKind) -> SendResult {
        match self.state {
            ConnectionState::Open { conn } => SendResult::Sent { conn, cseq: self.add_pending(kind) },
            ConnectionState::Connecting { .. } => {
                self.last_ticket += 1;
                self.queued.push((self.last_ticket, kind));
                SendResult::Queued { ticket: self.last_ticket }
            }
            ConnectionState::Idle { .. } => SendResult::NotConnected,
        }
    }

    fn add_pending(&mut self, kind: RequestKind) -> u32 {
        let cseq = self.next_cseq;
        self.next_cseq += 1;
        self.pending.insert(cseq, PendingRequest { kind, abandoned: false });
        cseq
    }

    /// Removes a request that waited too long for the connection: it was never sent.
    pub fn take_queued(&mut self, ticket: u64) -> Option<RequestKind> {
        let position = self.queued.iter().position(|(t, _)| *t == ticket)?;
        Some(self.queued.remove(position).1)
    }

    /// Removes the SETUP of a session from the queue; returns whether it was queued.
    pub fn cancel_queued_setup(&mut self, id: SessionId) -> bool {
        let before = self.queued.len();
        self.queued.retain(|(_, kind)| *kind != RequestKind::Setup(id));
        self.queued.len() < before
    }

    /// Removes all SETUPs from the queue: none of them may be sent any more.
    pub fn take_queued_setups(&mut self) -> Vec<RequestKind> {
        let (setups, others) = std::mem::take(&mut self.queued)
            .into_iter()
            .partition(|(_, kind)| matches!(kind, RequestKind::Setup(_)));
        self.queued = others;
        let setups: Vec<(u64, RequestKind)> = setups;
        setups.into_iter().map(|(_, kind)| kind).collect()
    }

    /// Removes a request that was answered; `None` if no request with this number is outstanding.
    pub fn take_answered(&mut self, cseq: u32) -> Option<PendingRequest> {
        self.pending.remove(&cseq)
    }

    /// Stops waiting for an outstanding request, whose answer may still come. Returns what it asked for on the first
    /// call only.
    pub fn abandon(&mut self, cseq: u32) -> Option<RequestKind> {
        let request = self.pending.get_mut(&cseq)?;
        (!std::mem::replace(&mut request.abandoned, true)).then(|| request.kind.clone())
    }

    /// Records a session that plays, by the box's name for it.
    pub fn add_session(&mut self, name: String, id: SessionId) {
        self.sessions.insert(name, id);
    }

    /// Removes a session by the box's name for it.
    pub fn remove_session(&mut self, name: &str) -> Option<SessionId> {
        self.sessions.remove(name)
    }

    /// Whether there are no sessions and no queued or outstanding requests.
    pub fn is_unused(&self) -> bool {
        self.pending.is_empty() && self.queued.is_empty() && self.sessions.is_empty()
    }

    /// Whether the box has requests to answer.
    pub fn awaits_response(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The connection could not be opened. Returns the queued requests, none of which can have taken effect.
    pub fn connect_failed(&mut self, until: Ms) -> Vec<RequestKind> {
        self.state = ConnectionState::Idle { until };
        std::mem::take(&mut self.queued).into_iter().map(|(_, kind)| kind).collect()
    }

    /// The connection closed. `begun` is how many requests had begun to be written: sequence numbers follow the order
    /// of writing, so requests above it were never sent, and the others may have taken effect. Abandoned requests
    /// were reported before and are left out.
    pub fn closed(&mut self, begun: u32, until: Ms) -> ClosedConnection {
        self.state = ConnectionState::Idle { until };
        let outcome = |cseq: u32| if cseq > begun { SetupOutcome::NeverSent } else { SetupOutcome::Broken };
        let pending = std::mem::take(&mut self.pending).into_iter().filter(|(_, request)| !request.abandoned);
        ClosedConnection {
            requests: pending.map(|(cseq, request)| (request.kind, outcome(cseq))).collect(),
            sessions: std::mem::take(&mut self.sessions).into_values().collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn open_connection() -> ControlConnection {
        let mut connection = ControlConnection::new(([127, 0, 0, 1], 1).into(), ServerState::Ready);
        let conn = connection.begin_connect();
        connection.opened(conn);
        connection
    }

    #[test]
    fn a_close_distinguishes_unsent_requests_from_those_that_may_have_run() {
        let mut connection = open_connection();
        for id in 1..=3 {
            connection.send(RequestKind::Setup(SessionId(id)));
        }
        let closed = connection.closed(2, 0.0);
        let expected = [(1, SetupOutcome::Broken), (2, SetupOutcome::Broken), (3, SetupOutcome::NeverSent)];
        assert_eq!(
            closed.requests,
            expected.map(|(id, outcome)| (RequestKind::Setup(SessionId(id)), outcome))
        );
    }

    #[test]
    fn an_abandoned_request_is_reported_once_and_its_answer_is_recognized() {
        let mut connection = open_connection();
        let SendResult::Sent { cseq, .. } = connection.send(RequestKind::Setup(SessionId(1))) else {
            panic!()
        };
        assert_eq!(connection.abandon(cseq), Some(RequestKind::Setup(SessionId(1))));
        assert_eq!(connection.abandon(cseq), None);
        assert!(connection.take_answered(cseq).is_some_and(|request| request.abandoned));
        let SendResult::Sent { cseq, .. } = connection.send(RequestKind::Setup(SessionId(2))) else {
            panic!()
        };
        connection.abandon(cseq);
        assert_eq!(connection.closed(9, 0.0).requests, []);
    }

    #[test]
    fn queued_requests_are_sent_in_order_or_not_at_all() {
        let mut connection = ControlConnection::new(([127, 0, 0, 1], 1).into(), ServerState::Ready);
        assert_eq!(connection.send(RequestKind::Probe), SendResult::NotConnected);
        let conn = connection.begin_connect();
        let SendResult::Queued { ticket } = connection.send(RequestKind::Probe) else { panic!() };
        connection.send(RequestKind::Setup(SessionId(1)));
        assert_eq!(connection.take_queued(ticket), Some(RequestKind::Probe));
        assert_eq!(connection.take_queued(ticket), None);
        assert_eq!(connection.opened(conn), [(RequestKind::Setup(SessionId(1)), 1)]);
        connection.closed(0, 0.0);
        connection.begin_connect();
        connection.send(RequestKind::Setup(SessionId(2)));
        assert_eq!(connection.connect_failed(5.0), [RequestKind::Setup(SessionId(2))]);
    }

    #[test]
    fn a_repeated_or_unknown_answer_matches_no_request() {
        let mut connection = open_connection();
        let SendResult::Sent { cseq, .. } = connection.send(RequestKind::Probe) else { panic!() };
        assert!(connection.take_answered(cseq).is_some());
        assert!(connection.take_answered(cseq).is_none());
        assert!(connection.take_answered(77).is_none());
    }
}
