//! What the calls of the decisions take and return: plain values.
use crate::ids::{CellId, GroupIndex, Ms, ServerId, SessionId, TitleId};
use std::sync::Arc;

/// Where a session goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    Setup {
        server: ServerId,
        rung: u8,
        timeout: Ms,
    },
    NotYet,
    BusyReply {
        retry_after: Option<Ms>,
    },
    TornDown,
    /// Nothing is owed: the session plays, or it is over.
    NoAction,
}

/// How a SETUP, or the session that came of it, ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SetupOutcome {
    Done,
    Errored,
    BusyReplied,
    TimedOut,
    NoConnection,
    Broken,
    Withdrawn,
    NeverSent,
}

impl SetupOutcome {
    /// Whether this proves that the SETUP had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, SetupOutcome::BusyReplied | SetupOutcome::NoConnection | SetupOutcome::NeverSent)
    }
}

/// Servers that one message between fronts has room for.
pub const PEER_REPORTS_PER_MESSAGE: usize = 36;

/// What one front tells the others of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerReport {
    pub server: ServerId,
    /// Streams that it runs or sets up, as a share of the most that it runs.
    pub stream_use: f64,
    /// What is asked of its link over what it gives.
    pub link_use: f64,
    /// How long ago that was heard.
    pub age: Ms,
    /// How long ago the process that answered is known to have been there.
    pub process_age: Ms,
}

/// What is due now, and when to ask again.
#[derive(Debug, Default, PartialEq)]
pub struct DueActions {
    pub rung_changes: Vec<(SessionId, u8)>,
    pub probes: Vec<ServerId>,
    /// The list of servers, or its changes from now on, is to be asked for.
    pub request_list: bool,
    pub sessions_to_place: Vec<SessionId>,
    /// To be told to all other fronts, in one message.
    pub peer_reports: Vec<PeerReport>,
    pub log_lines: Vec<String>,
    pub next_call_at: Ms,
}

/// The servers that hold a title, as a request tells them. Both forms enter the same choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Holders {
    /// Those in `span` cells in a row from `home`.
    Cells { first: CellId, count: u32 },
    /// Those named, ascending by id: see [`Holders::named`].
    Named(Arc<[ServerId]>),
}

impl Holders {
    /// Named holders in any order; one named twice counts once.
    pub fn named(mut ids: Vec<ServerId>) -> Holders {
        ids.sort_unstable();
        ids.dedup();
        Holders::Named(ids.into())
    }
}

/// A request as it comes in.
#[derive(Debug, Clone)]
pub struct Request {
    pub group: GroupIndex,
    pub title: TitleId,
    pub holders: Holders,
    /// The title's true rate at each rung, in kB a second, where it is known: else it is taken for the ladder's.
    pub rates_kb_per_s: Option<Arc<[f64]>>,
    pub highest_rung: u8,
    /// How long the viewer waits.
    pub time_left: Ms,
}
