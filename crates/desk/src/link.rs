//! One control connection to a box: what is out on it, and what its end proves of each. The connection itself is
//! somewhere else; here it is a number that grows with each one opened.
use crate::retry::Retry;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use walnutline::api::SetupOutcome;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, SessionId};

/// What a message asked of the box.
#[derive(Debug, Clone, PartialEq)]
pub enum Asked {
    Setup(SessionId),
    Probe,
    /// A change of rung or a TEARDOWN: nothing waits for its answer.
    Other,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Out {
    pub what: Asked,
    /// Its time-out was reported, or its viewer left: what comes of it now is torn down.
    pub given_up: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    /// Nothing is tried until then, unless something is to be sent before.
    Waiting {
        until: Ms,
    },
    Connecting {
        conn: u64,
    },
    Up {
        conn: u64,
    },
}

/// Where a message went.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sent {
    /// It goes out on this connection under this number.
    On { conn: u64, cseq: u32 },
    /// It waits for the connection that is being opened, under this ticket.
    Waits { ticket: u64 },
    /// There is no connection, and none is being opened.
    Nowhere,
}

/// What was out when a connection closed.
#[derive(Debug, Default, PartialEq)]
pub struct Ends {
    /// SETUPs and probes, with what the close proves of each.
    pub out: Vec<(Asked, SetupOutcome)>,
    /// Sessions that played over it.
    pub sessions: Vec<SessionId>,
}

pub struct Link {
    pub address: SocketAddr,
    pub listing: ServerState,
    pub state: State,
    pub retry: Retry,
    /// When the box was last heard.
    pub heard_at: Ms,
    conns: u64,
    next_cseq: u32,
    out: BTreeMap<u32, Out>,
    waiting: Vec<(u64, Asked)>,
    tickets: u64,
    /// Sessions that play, by the name that the box gave them.
    playing: BTreeMap<String, SessionId>,
}

impl Link {
    pub fn new(address: SocketAddr, listing: ServerState) -> Self {
        Link {
            address,
            listing,
            state: State::Waiting { until: Ms::NEG_INFINITY },
            retry: Retry::default(),
            heard_at: Ms::NEG_INFINITY,
            conns: 0,
            next_cseq: 1,
            out: BTreeMap::new(),
            waiting: Vec::new(),
            tickets: 0,
            playing: BTreeMap::new(),
        }
    }

    /// Begins to open a connection; returns its number. Messages are numbered anew on each.
    pub fn connect(&mut self) -> u64 {
        self.conns += 1;
        self.next_cseq = 1;
        self.state = State::Connecting { conn: self.conns };
        self.conns
    }

    pub fn is_current(&self, conn: u64) -> bool {
        matches!(self.state, State::Connecting { conn: c } | State::Up { conn: c } if c == conn)
    }

    pub fn up(&self) -> Option<u64> {
        match self.state {
            State::Up { conn } => Some(conn),
            _ => None,
        }
    }

    /// The connection is open; what waited for it goes out in its order.
    pub fn connected(&mut self, conn: u64) -> Vec<(Asked, u32)> {
        self.state = State::Up { conn };
        self.retry.worked();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|(_, what)| (what.clone(), self.number(what))).collect()
    }

    pub fn send(&mut self, what: Asked) -> Sent {
        match self.state {
            State::Up { conn } => Sent::On { conn, cseq: self.number(what) },
            State::Connecting { .. } => {
                self.tickets += 1;
                self.waiting.push((self.tickets, what));
                Sent::Waits { ticket: self.tickets }
            }
            State::Waiting { .. } => Sent::Nowhere,
        }
    }

    fn number(&mut self, what: Asked) -> u32 {
        let cseq = self.next_cseq;
        self.next_cseq += 1;
        self.out.insert(cseq, Out { what, given_up: false });
        cseq
    }

    /// A message that waited too long for the connection was never sent.
    pub fn take_waiting(&mut self, ticket: u64) -> Option<Asked> {
        let at = self.waiting.iter().position(|(t, _)| *t == ticket)?;
        Some(self.waiting.remove(at).1)
    }

    /// The SETUP of a session is given up before it went out.
    pub fn take_waiting_setup(&mut self, id: SessionId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(_, what)| *what != Asked::Setup(id));
        self.waiting.len() < before
    }

    /// SETUPs that wait for the connection: none of them may go out any more.
    pub fn take_waiting_setups(&mut self) -> Vec<Asked> {
        let (setups, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, what)| matches!(what, Asked::Setup(_)));
        self.waiting = rest;
        let setups: Vec<(u64, Asked)> = setups;
        setups.into_iter().map(|(_, what)| what).collect()
    }

    /// The answer to a message; `None` where nothing of that number is out.
    pub fn answered(&mut self, cseq: u32) -> Option<Out> {
        self.out.remove(&cseq)
    }

    /// Gives up on a message that is still out: its answer may yet come. What it asked is returned once.
    pub fn give_up(&mut self, cseq: u32) -> Option<Asked> {
        let out = self.out.get_mut(&cseq)?;
        (!std::mem::replace(&mut out.given_up, true)).then(|| out.what.clone())
    }

    pub fn plays(&mut self, name: String, id: SessionId) {
        self.playing.insert(name, id);
    }

    pub fn session_over(&mut self, name: &str) -> Option<SessionId> {
        self.playing.remove(name)
    }

    pub fn is_quiet(&self) -> bool {
        self.out.is_empty() && self.waiting.is_empty() && self.playing.is_empty()
    }

    /// Whether something is out that the box owes an answer to.
    pub fn is_owed(&self) -> bool {
        !self.out.is_empty()
    }

    /// The connection could not be opened: nothing that waited for it can have run.
    pub fn not_connected(&mut self, until: Ms) -> Vec<Asked> {
        self.state = State::Waiting { until };
        std::mem::take(&mut self.waiting).into_iter().map(|(_, what)| what).collect()
    }

    /// The connection closed. `begun`: how many messages had begun to be written; numbers are given in the
    /// order of writing, so what stands above it was never sent. The rest may have run. What was given up
    /// has been reported before and is left out.
    pub fn closed(&mut self, begun: u32, until: Ms) -> Ends {
        self.state = State::Waiting { until };
        let proves = |cseq: u32| if cseq > begun { SetupOutcome::NeverSent } else { SetupOutcome::Broken };
        let out = std::mem::take(&mut self.out).into_iter().filter(|(_, out)| !out.given_up);
        Ends {
            out: out.map(|(cseq, out)| (out.what, proves(cseq))).collect(),
            sessions: std::mem::take(&mut self.playing).into_values().collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn up() -> Link {
        let mut link = Link::new(([127, 0, 0, 1], 1).into(), ServerState::Ready);
        let conn = link.connect();
        link.connected(conn);
        link
    }

    #[test]
    fn a_close_tells_what_never_ran_from_what_may_have() {
        let mut link = up();
        for id in 1..=3 {
            link.send(Asked::Setup(SessionId(id)));
        }
        let ends = link.closed(2, 0.0);
        let expect = [(1, SetupOutcome::Broken), (2, SetupOutcome::Broken), (3, SetupOutcome::NeverSent)];
        assert_eq!(ends.out, expect.map(|(id, e)| (Asked::Setup(SessionId(id)), e)));
    }

    #[test]
    fn what_was_given_up_is_reported_once_and_its_answer_is_known() {
        let mut link = up();
        let Sent::On { cseq, .. } = link.send(Asked::Setup(SessionId(1))) else { panic!() };
        assert_eq!(link.give_up(cseq), Some(Asked::Setup(SessionId(1))));
        assert_eq!(link.give_up(cseq), None);
        assert!(link.answered(cseq).is_some_and(|out| out.given_up));
        let Sent::On { cseq, .. } = link.send(Asked::Setup(SessionId(2))) else { panic!() };
        link.give_up(cseq);
        assert_eq!(link.closed(9, 0.0).out, []);
    }

    #[test]
    fn what_waits_for_a_connection_goes_out_in_order_or_never() {
        let mut link = Link::new(([127, 0, 0, 1], 1).into(), ServerState::Ready);
        assert_eq!(link.send(Asked::Probe), Sent::Nowhere);
        let conn = link.connect();
        let Sent::Waits { ticket } = link.send(Asked::Probe) else { panic!() };
        link.send(Asked::Setup(SessionId(1)));
        assert_eq!(link.take_waiting(ticket), Some(Asked::Probe));
        assert_eq!(link.take_waiting(ticket), None);
        assert_eq!(link.connected(conn), [(Asked::Setup(SessionId(1)), 1)]);
        link.closed(0, 0.0);
        link.connect();
        link.send(Asked::Setup(SessionId(2)));
        assert_eq!(link.not_connected(5.0), [Asked::Setup(SessionId(2))]);
    }

    #[test]
    fn a_repeated_or_unknown_answer_is_none() {
        let mut link = up();
        let Sent::On { cseq, .. } = link.send(Asked::Probe) else { panic!() };
        assert!(link.answered(cseq).is_some());
        assert!(link.answered(cseq).is_none());
        assert!(link.answered(77).is_none());
    }
}
