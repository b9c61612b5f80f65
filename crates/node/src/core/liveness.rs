//! What is known of the liveness of one connection to a server. Only what comes in on that very connection counts: a
//! server that answers on another connection, or answers another node, may have forgotten this one.
//!
//! A request without an answer is evidence against its connection by itself. What else comes in says nothing of that
//! answer: it may be lost afterwards, with all that follows it. The evidence ends with the answer to that very request.
//! The answer to a request sent later shows that the connection worked after that one was sent: the other requests count
//! as unanswered from then on, and those given up before that are forgotten.
use crate::limits;
use std::collections::BTreeMap;
use walnutline::ids::{Ms, SessionId};

/// Identifies a request that wants an answer, among those on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestId {
    Setup(SessionId),
    Options(u64),
}

/// A request without an answer.
struct UnansweredRequest {
    sent_at: Ms,
    /// When the connection was last known to work, from when the request was sent.
    unanswered_since: Ms,
    /// When the answer ceased to be wanted. The server needs not send it any more.
    given_up_at: Option<Ms>,
}

/// Liveness of one open connection.
#[derive(Default)]
pub(super) struct Liveness {
    /// When anything last came in.
    heard_at: Option<Ms>,
    unanswered: BTreeMap<RequestId, UnansweredRequest>,
    failed_ping: Option<FailedPing>,
}

/// A ping that timed out, with no input on the connection since it was sent.
struct FailedPing {
    failed_at: Ms,
    /// When it was first noticed that the server has since been heard on another connection.
    server_alive_at: Option<Ms>,
}

impl Liveness {
    /// Records that something came in, whatever it is.
    pub fn heard(&mut self, now: Ms) {
        self.heard_at = Some(now);
        self.failed_ping = None;
    }

    /// When anything last came in.
    pub fn heard_at(&self) -> Option<Ms> {
        self.heard_at
    }

    /// Records that a request was sent that wants an answer.
    pub fn request_sent(&mut self, id: RequestId, now: Ms) {
        let request = UnansweredRequest { sent_at: now, unanswered_since: now, given_up_at: None };
        self.unanswered.insert(id, request);
    }

    /// Records the final answer to a request.
    pub fn answered(&mut self, id: RequestId) {
        if let Some(request) = self.unanswered.remove(&id) {
            self.worked_after(request.sent_at);
        }
    }

    /// Records that the server has confirmed the withdrawal of a request.
    pub fn withdrawal_confirmed(&mut self, id: RequestId) {
        if let Some(given_up_at) = self.unanswered.get(&id).and_then(|request| request.given_up_at) {
            self.unanswered.remove(&id);
            self.worked_after(given_up_at);
        }
    }

    /// Records that the server has answered a message that was sent at `sent_at`.
    fn worked_after(&mut self, sent_at: Ms) {
        self.unanswered.retain(|_, request| request.given_up_at.is_none_or(|at| at > sent_at));
        for request in self.unanswered.values_mut() {
            request.unanswered_since = request.unanswered_since.max(sent_at);
        }
    }

    /// Records that the answer to a request is no longer wanted.
    pub fn given_up(&mut self, id: RequestId, now: Ms) {
        if let Some(request) = self.unanswered.get_mut(&id) {
            request.given_up_at = Some(now);
        }
        if self.unanswered.len() > limits::MAX_UNANSWERED_REQUESTS {
            self.merge_given_up(id, now);
        }
    }

    /// Forgets a request that was given up and keeps an older one for as long in its place.
    fn merge_given_up(&mut self, id: RequestId, now: Ms) {
        let older = self.unanswered.iter_mut().filter(|(other, r)| **other != id && r.given_up_at.is_some());
        let oldest = older.min_by(|(_, a), (_, b)| a.unanswered_since.total_cmp(&b.unanswered_since));
        if let Some((_, oldest)) = oldest {
            oldest.given_up_at = Some(now);
            self.unanswered.remove(&id);
        }
    }

    /// Records that a ping sent at `sent_at` was not answered in time.
    pub fn ping_timed_out(&mut self, sent_at: Ms, now: Ms) {
        if self.heard_at.is_none_or(|heard_at| heard_at <= sent_at) {
            self.failed_ping.get_or_insert(FailedPing { failed_at: now, server_alive_at: None });
        }
    }

    /// Whether a request has stayed unanswered for this long.
    fn unanswered_for(&self, period: Ms, now: Ms) -> bool {
        self.unanswered.values().any(|request| now - request.unanswered_since >= period)
    }

    /// Whether a request has stayed unanswered for so long that another connection is preferred.
    pub fn is_in_doubt(&self, now: Ms) -> bool {
        self.unanswered_for(limits::DOUBT_AFTER, now)
    }

    /// When a ping failed, if nothing has come in since.
    pub fn failed_ping_at(&self) -> Option<Ms> {
        self.failed_ping.as_ref().map(|ping| ping.failed_at)
    }

    /// Whether a ping has failed and nothing has come in since.
    pub fn has_failed_ping(&self) -> bool {
        self.failed_ping.is_some()
    }

    /// Whether a ping is to find out if the connection still works.
    pub fn wants_ping(&self, now: Ms) -> bool {
        self.unanswered_for(limits::PING_IN_DOUBT_AFTER, now) && !self.has_failed_ping()
    }

    /// Whether the connection is dead though its server is alive: a ping has failed, and the server has since been
    /// heard on another connection, for long enough that an answer on this one would have arrived too. To be called
    /// at each sweep.
    pub fn check_dead(&mut self, server_heard_at: Ms, now: Ms) -> bool {
        let Some(ping) = &mut self.failed_ping else { return false };
        if server_heard_at <= ping.failed_at {
            return false;
        }
        now - *ping.server_alive_at.get_or_insert(now) >= limits::MAX_DELIVERY_DELAY
    }
}
