//! SETUPs that may have run, of requests that have ended, in bounded memory.
use crate::ids::{Ms, ServerId, SessionId};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a SETUP is remembered.
pub const RETENTION: Ms = 60_000.0;
/// Most SETUPs remembered at once; beyond that, the oldest is forgotten.
pub const MAX_SETUPS: usize = 65_536;

/// A SETUP that may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PastSetup {
    pub server: ServerId,
    pub sent_at: Ms,
}

/// The first SETUP that may have run, of each request that had one lately.
#[derive(Debug, Default)]
pub struct PastSetups {
    by_request: BTreeMap<SessionId, PastSetup>,
    /// The requests in the order in which they were recorded, with the times.
    recorded: VecDeque<(Ms, SessionId)>,
}

impl PastSetups {
    /// Records a SETUP that may have run, unless an earlier one of the same request is known.
    pub fn record(&mut self, id: SessionId, setup: PastSetup, now: Ms) {
        let is_obsolete =
            |(at, _): &(Ms, SessionId), count: usize| now - at >= RETENTION || count >= MAX_SETUPS;
        while self.recorded.front().is_some_and(|oldest| is_obsolete(oldest, self.recorded.len())) {
            let oldest = self.recorded.pop_front();
            oldest.and_then(|(_, id)| self.by_request.remove(&id));
        }
        self.by_request.entry(id).or_insert_with(|| {
            self.recorded.push_back((now, id));
            setup
        });
    }

    /// The first SETUP of a request that may have run.
    pub fn get(&self, id: SessionId) -> Option<PastSetup> {
        self.by_request.get(&id).copied()
    }

    /// Number of SETUPs remembered.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }
}
