//! What the log says of viewers' requests: the events in the life of each, and the counts of all.
use crate::actions::ConnectionId;
use std::fmt;
use walnutline::api::SetupOutcome;
use walnutline::ids::{Ms, SessionId};

/// A line of the log about one request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestLine {
    /// The session that was requested.
    pub id: SessionId,
    /// What happened.
    pub event: RequestEvent,
}

/// An event in the life of a viewer's request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestEvent {
    /// It was read from this connection, and its viewer waits for this much longer.
    Taken { conn: ConnectionId, time_left: Ms },
    /// It was pending when the node was asked to stop.
    PendingAtStop { age: Ms, setups: u32 },
    /// A SETUP for it goes to a server, on a connection that is up or still being opened.
    SetupStarted { attempt: u32, server: String, conn: ConnectionId, up: bool, timeout: Ms },
    /// A SETUP for it ended without success. `sent`: it was written to its connection.
    SetupEnded { attempt: u32, server: String, outcome: SetupOutcome, sent: bool },
    /// Its final answer was written.
    Answered { status: u16, age: Ms, setups: u32 },
    /// Its viewer cancelled it, or closed its connection.
    Cancelled { age: Ms, setups: u32 },
}

impl fmt::Display for RequestLine {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "request {:016x} ", self.id.0)?;
        match &self.event {
            RequestEvent::Taken { conn, time_left } => {
                write!(f, "taken conn={} time_left={time_left:.0}", conn.0)
            }
            RequestEvent::PendingAtStop { age, setups } => {
                write!(f, "pending at stop age={age:.0} setups={setups}")
            }
            RequestEvent::SetupStarted { attempt, server, conn, up, timeout } => {
                write!(
                    f,
                    "setup {attempt} starts server={server} conn={} up={up} timeout={timeout:.0}",
                    conn.0
                )
            }
            RequestEvent::SetupEnded { attempt, server, outcome, sent } => {
                write!(f, "setup {attempt} ended server={server} outcome={outcome:?} sent={sent}")
            }
            RequestEvent::Answered { status, age, setups } => {
                write!(f, "answered status={status} age={age:.0} setups={setups}")
            }
            RequestEvent::Cancelled { age, setups } => write!(f, "cancelled age={age:.0} setups={setups}"),
        }
    }
}

/// Counts of the requests that this process has taken, and of the SETUPs for them.
#[derive(Debug, Default)]
pub struct RequestCounts {
    pub taken: u64,
    /// Final answers of any kind.
    pub answered: u64,
    /// Those among the answers that say that trying again is harmless.
    pub refused: u64,
    /// Those among the answers that say that the set-up failed.
    pub failed: u64,
    /// Cancelled by their viewers, or closed with their connections.
    pub given_up: u64,
    /// SETUPs started.
    pub setups: u64,
    /// SETUPs that ended without success.
    pub setups_failed: u64,
}

impl RequestCounts {
    /// Returns the counts for the log, with the number of requests that are pending now.
    pub fn to_log_fields(&self, open: usize) -> String {
        let RequestCounts { taken, answered, refused, failed, given_up, setups, setups_failed } = self;
        let requests = format!("taken={taken} answered={answered} given_up={given_up} open={open}");
        format!("{requests} refused={refused} failed={failed} setups={setups} setups_failed={setups_failed}")
    }
}
