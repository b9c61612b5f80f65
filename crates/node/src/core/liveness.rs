//! What is known of the liveness of one connection to a server. Only what comes in on that very connection counts: a
//! server that answers on another connection, or answers another node, may have forgotten this one.
use crate::limits;
use walnutline::ids::Ms;

/// Liveness of one open connection.
pub(super) struct Liveness {
    /// When anything last came in.
    heard_at: Option<Ms>,
    /// When the earliest request was sent since anything last came in.
    unanswered_since: Option<Ms>,
    failed_ping: Option<FailedPing>,
}

/// A ping that timed out, with no input on the connection since it was sent.
struct FailedPing {
    failed_at: Ms,
    /// When it was first noticed that the server has since been heard on another connection.
    server_alive_at: Option<Ms>,
}

impl Liveness {
    /// A connection on which nothing has come in yet.
    pub fn new() -> Self {
        Liveness { heard_at: None, unanswered_since: None, failed_ping: None }
    }

    /// Records that something came in.
    pub fn heard(&mut self, now: Ms) {
        *self = Liveness { heard_at: Some(now), ..Liveness::new() };
    }

    /// When anything last came in.
    pub fn heard_at(&self) -> Option<Ms> {
        self.heard_at
    }

    /// Records that a request was sent that wants an answer.
    pub fn request_sent(&mut self, now: Ms) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a ping sent at `sent_at` was not answered in time.
    pub fn ping_timed_out(&mut self, sent_at: Ms, now: Ms) {
        if self.unanswered_since.is_some_and(|since| since <= sent_at) {
            self.failed_ping.get_or_insert(FailedPing { failed_at: now, server_alive_at: None });
        }
    }

    /// Whether requests have stayed unanswered for so long that another connection is preferred.
    pub fn is_in_doubt(&self, now: Ms) -> bool {
        self.unanswered_since.is_some_and(|since| now - since >= limits::DOUBT_AFTER)
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
        let overdue = self.unanswered_since.is_some_and(|since| now - since >= limits::PING_IN_DOUBT_AFTER);
        overdue && !self.has_failed_ping()
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
