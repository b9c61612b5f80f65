//! What the calls of the decisions take and return: plain values.
use crate::ids::{CellNo, GroupNo, Ms, ServerId, SessId, TitleId};
use std::sync::Arc;

/// Where a session goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Place {
    Setup {
        server: ServerId,
        rung: u8,
        timeout: Ms,
    },
    NotYet,
    BusyReply {
        come_back: Option<Ms>,
    },
    TornDown,
    /// Nothing is owed: the session plays, or it is over.
    Nothing,
}

/// How a SETUP, or the session that came of it, ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Done,
    Errored,
    BusyReplied,
    TimedOut,
    NoConnection,
    Broken,
    Withdrawn,
    NeverSent,
}

impl Ending {
    /// Whether this proves that the SETUP had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::BusyReplied | Ending::NoConnection | Ending::NeverSent)
    }
}

/// Servers that one message between fronts has room for.
pub const NEWS_A_MESSAGE: usize = 36;

/// What one front tells the others of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct News {
    pub server: ServerId,
    /// Streams that it runs or sets up, as a share of the most that it runs.
    pub streams: f64,
    /// What is asked of its link over what it gives.
    pub link: f64,
    /// How long ago that was heard.
    pub age: Ms,
    /// How long ago the process that answered is known to have been there.
    pub since: Ms,
}

/// What is due now, and when to ask again.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    pub rungs: Vec<(SessId, u8)>,
    pub probes: Vec<ServerId>,
    /// The list of servers, or its changes from now on, is to be asked for.
    pub ask_list: bool,
    pub place: Vec<SessId>,
    /// To be told to all other fronts, in one message.
    pub tell: Vec<News>,
    pub log: Vec<String>,
    pub again_at: Ms,
}

/// The servers that hold a title, as a request tells them. Both forms enter the same choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Holders {
    /// Those in `span` cells in a row from `home`.
    Cells { home: CellNo, span: u32 },
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
    pub group: GroupNo,
    pub title: TitleId,
    pub holders: Holders,
    /// The title's true rate at each rung, in kB a second, where it is known: else it is taken for the ladder's.
    pub rates: Option<Arc<[f64]>>,
    pub top: u8,
    /// How long the viewer waits.
    pub left: Ms,
}
