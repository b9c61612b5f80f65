//! One control connection to a box: what is out on it, and what its end proves of each. The connection itself is
//! somewhere else; here it is a number that grows with each one opened.
use crate::backoff::Backoff;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use walnutline::api::SetupOutcome;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, SessionId};

/// What a message asked of the box.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestKind {
    Setup(SessionId),
    Probe,
    /// A change of rung or a TEARDOWN: nothing waits for its answer.
    Other,
}

#[derive(Debug, Clone, PartialEq)]
pub struct PendingRequest {
    pub kind: RequestKind,
    /// Its time-out was reported, or its viewer left: what comes of it now is torn down.
    pub abandoned: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ConnectionState {
    /// Nothing is tried until then, unless something is to be sent before.
    Idle {
        until: Ms,
    },
    Connecting {
        conn: u64,
    },
    Open {
        conn: u64,
    },
}

/// Where a message went.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendResult {
    /// It goes out on this connection under this number.
    Sent { conn: u64, cseq: u32 },
    /// It waits for the connection that is being opened, under this ticket.
    Queued { ticket: u64 },
    /// There is no connection, and none is being opened.
    NotConnected,
}

/// What was out when a connection closed.
#[derive(Debug, Default, PartialEq)]
pub struct ClosedConnection {
    /// SETUPs and probes, with what the close proves of each.
    pub requests: Vec<(RequestKind, SetupOutcome)>,
    /// Sessions that played over it.
    pub sessions: Vec<SessionId>,
}

pub struct ControlConnection {
    pub address: SocketAddr,
    pub server_state: ServerState,
    pub state: ConnectionState,
    pub backoff: Backoff,
    /// When the box was last heard.
    pub last_received_at: Ms,
    conns: u64,
    next_cseq: u32,
    out: BTreeMap<u32, PendingRequest>,
    waiting: Vec<(u64, RequestKind)>,
    tickets: u64,
    /// Sessions that play, by the name that the box gave them.
    playing: BTreeMap<String, SessionId>,
}

impl ControlConnection {
    pub fn new(address: SocketAddr, server_state: ServerState) -> Self {
        ControlConnection {
            address,
            server_state,
            state: ConnectionState::Idle { until: Ms::NEG_INFINITY },
            backoff: Backoff::default(),
            last_received_at: Ms::NEG_INFINITY,
            conns: 0,
            next_cseq: 1,
            out: BTreeMap::new(),
            waiting: Vec::new(),
            tickets: 0,
            playing: BTreeMap::new(),
        }
    }

    /// Begins to open a connection; returns its number. Messages are numbered anew on each.
    pub fn begin_connect(&mut self) -> u64 {
        self.conns += 1;
        self.next_cseq = 1;
        self.state = ConnectionState::Connecting { conn: self.conns };
        self.conns
    }

    pub fn is_current(&self, conn: u64) -> bool {
        matches!(self.state, ConnectionState::Connecting { conn: c } | ConnectionState::Open { conn: c } if c == conn)
    }

    pub fn open_conn(&self) -> Option<u64> {
        match self.state {
            ConnectionState::Open { conn } => Some(conn),
            _ => None,
        }
    }

    /// The connection is open; what waited for it goes out in its order.
    pub fn opened(&mut self, conn: u64) -> Vec<(RequestKind, u32)> {
        self.state = ConnectionState::Open { conn };
        self.backoff.reset();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|(_, what)| (what.clone(), self.number(what))).collect()
    }

    pub fn send(&mut self, what: RequestKind) -> SendResult {
        match self.state {
            ConnectionState::Open { conn } => SendResult::Sent { conn, cseq: self.number(what) },
            ConnectionState::Connecting { .. } => {
                self.tickets += 1;
                self.waiting.push((self.tickets, what));
                SendResult::Queued { ticket: self.tickets }
            }
            ConnectionState::Idle { .. } => SendResult::NotConnected,
        }
    }

    fn number(&mut self, what: RequestKind) -> u32 {
        let cseq = self.next_cseq;
        self.next_cseq += 1;
        self.out.insert(cseq, PendingRequest { kind: what, abandoned: false });
        cseq
    }

    /// A message that waited too long for the connection was never sent.
    pub fn take_queued(&mut self, ticket: u64) -> Option<RequestKind> {
        let at = self.waiting.iter().position(|(t, _)| *t == ticket)?;
        Some(self.waiting.remove(at).1)
    }

    /// The SETUP of a session is given up before it went out.
    pub fn cancel_queued_setup(&mut self, id: SessionId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(_, what)| *what != RequestKind::Setup(id));
        self.waiting.len() < before
    }

    /// SETUPs that wait for the connection: none of them may go out any more.
    pub fn take_queued_setups(&mut self) -> Vec<RequestKind> {
        let (setups, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, what)| matches!(what, RequestKind::Setup(_)));
        self.waiting = rest;
        let setups: Vec<(u64, RequestKind)> = setups;
        setups.into_iter().map(|(_, what)| what).collect()
    }

    /// The answer to a message; `None` where nothing of that number is out.
    pub fn take_answered(&mut self, cseq: u32) -> Option<PendingRequest> {
        self.out.remove(&cseq)
    }

    /// Gives up on a message that is still out: its answer may yet come. What it asked is returned once.
    pub fn abandon(&mut self, cseq: u32) -> Option<RequestKind> {
        let out = self.out.get_mut(&cseq)?;
        (!std::mem::replace(&mut out.abandoned, true)).then(|| out.kind.clone())
    }

    pub fn add_session(&mut self, name: String, id: SessionId) {
        self.playing.insert(name, id);
    }

    pub fn remove_session(&mut self, name: &str) -> Option<SessionId> {
        self.playing.remove(name)
    }

    pub fn is_unused(&self) -> bool {
        self.out.is_empty() && self.waiting.is_empty() && self.playing.is_empty()
    }

    /// Whether something is out that the box owes an answer to.
    pub fn awaits_response(&self) -> bool {
        !self.out.is_empty()
    }

    /// The connection could not be opened: nothing that waited for it can have run.
    pub fn connect_failed(&mut self, until: Ms) -> Vec<RequestKind> {
        self.state = ConnectionState::Idle { until };
        std::mem::take(&mut self.waiting).into_iter().map(|(_, what)| what).collect()
    }

    /// The connection closed. `begun`: how many messages had begun to be written; numbers are given in the
    /// order of writing, so what stands above it was never sent. The rest may have run. What was given up
    /// has been reported before and is left out.
    pub fn closed(&mut self, begun: u32, until: Ms) -> ClosedConnection {
        self.state = ConnectionState::Idle { until };
        let proves = |cseq: u32| if cseq > begun { SetupOutcome::NeverSent } else { SetupOutcome::Broken };
        let out = std::mem::take(&mut self.out).into_iter().filter(|(_, out)| !out.abandoned);
        ClosedConnection {
            requests: out.map(|(cseq, out)| (out.kind, proves(cseq))).collect(),
            sessions: std::mem::take(&mut self.playing).into_values().collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn up() -> ControlConnection {
        let mut link = ControlConnection::new(([127, 0, 0, 1], 1).into(), ServerState::Ready);
        let conn = link.begin_connect();
        link.opened(conn);
        link
    }

    #[test]
    fn a_close_tells_what_never_ran_from_what_may_have() {
        let mut link = up();
        for id in 1..=3 {
            link.send(RequestKind::Setup(SessionId(id)));
        }
        let ends = link.closed(2, 0.0);
        let expect = [(1, SetupOutcome::Broken), (2, SetupOutcome::Broken), (3, SetupOutcome::NeverSent)];
        assert_eq!(ends.requests, expect.map(|(id, e)| (RequestKind::Setup(SessionId(id)), e)));
    }

    #[test]
    fn what_was_given_up_is_reported_once_and_its_answer_is_known() {
        let mut link = up();
        let SendResult::Sent { cseq, .. } = link.send(RequestKind::Setup(SessionId(1))) else { panic!() };
        assert_eq!(link.abandon(cseq), Some(RequestKind::Setup(SessionId(1))));
        assert_eq!(link.abandon(cseq), None);
        assert!(link.take_answered(cseq).is_some_and(|out| out.abandoned));
        let SendResult::Sent { cseq, .. } = link.send(RequestKind::Setup(SessionId(2))) else { panic!() };
        link.abandon(cseq);
        assert_eq!(link.closed(9, 0.0).requests, []);
    }

    #[test]
    fn what_waits_for_a_connection_goes_out_in_order_or_never() {
        let mut link = ControlConnection::new(([127, 0, 0, 1], 1).into(), ServerState::Ready);
        assert_eq!(link.send(RequestKind::Probe), SendResult::NotConnected);
        let conn = link.begin_connect();
        let SendResult::Queued { ticket } = link.send(RequestKind::Probe) else { panic!() };
        link.send(RequestKind::Setup(SessionId(1)));
        assert_eq!(link.take_queued(ticket), Some(RequestKind::Probe));
        assert_eq!(link.take_queued(ticket), None);
        assert_eq!(link.opened(conn), [(RequestKind::Setup(SessionId(1)), 1)]);
        link.closed(0, 0.0);
        link.begin_connect();
        link.send(RequestKind::Setup(SessionId(2)));
        assert_eq!(link.connect_failed(5.0), [RequestKind::Setup(SessionId(2))]);
    }

    #[test]
    fn a_repeated_or_unknown_answer_is_none() {
        let mut link = up();
        let SendResult::Sent { cseq, .. } = link.send(RequestKind::Probe) else { panic!() };
        assert!(link.take_answered(cseq).is_some());
        assert!(link.take_answered(cseq).is_none());
        assert!(link.take_answered(77).is_none());
    }
}
