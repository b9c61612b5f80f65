//! The record of a trial's requests as the stand-ins saw them, and the rules judged from it.
use serde::Serialize;
use std::collections::BTreeMap;
use walnutline::ids::Ms;

/// Slack on every time limit.
const SLACK: Ms = 50.0;
/// Time after its deadline from which an unanswered request is lost.
const LATE_ANSWER_LIMIT: Ms = 500.0;
/// Time after which no attempt may begin for a client that has gone.
const GONE_CLIENT_LIMIT: Ms = 100.0;
/// Time within which a request that crosses the close of its connection is sent again elsewhere.
const CROSSING_TIME: Ms = 50.0;
/// Time from the news that a server takes no more sessions within which attempts may still begin there; stated in the
/// settings of a trial.
const DRAIN_GRACE: Ms = 250.0;

/// A rule of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Rule {
    /// A request got no whole answer, or got it too late.
    Lost,
    /// A second answer, or one of a session that no server set up.
    WrongAnswer,
    /// An attempt while another was out.
    TwoAttempts,
    /// An attempt for a client that has gone.
    GoneClient,
    /// An attempt at a server that the list no longer names.
    Removed,
    /// A node ended without SIGTERM, or with an error, or did not start in time.
    Crash,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Break {
    pub rule: Rule,
    /// Id of the request, as in the log; empty for a crash.
    pub request: String,
}

/// A set-up that a server has read.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub server: usize,
    pub begun_at: Ms,
    /// When it was answered or given up, or its connection ended.
    pub ended_at: Option<Ms>,
    /// When its node was told that the server is no longer listed.
    pub removal_told_at: Option<Ms>,
}

/// What was seen of one request.
#[derive(Debug, Clone, Default)]
pub struct RequestRecord {
    /// When its last byte was written.
    pub sent_at: Ms,
    pub wait: Ms,
    /// When its client gave it up.
    pub gone_at: Option<Ms>,
    /// Times and statuses of its final answers.
    pub answers: Vec<(Ms, u16)>,
    pub attempts: Vec<Attempt>,
    /// Whether a server has set its session up.
    pub accepted: bool,
    pub connection_ended_at: Option<Ms>,
    /// The page excuses that it went with its process.
    pub excused: bool,
}

/// What was seen in a trial.
#[derive(Debug, Default)]
pub struct Record {
    pub requests: BTreeMap<u64, RequestRecord>,
    /// Faults, signals and ends of processes.
    pub events: Vec<(Ms, String)>,
    pub crashes: usize,
    pub ended_by_themselves: usize,
    pub killed: usize,
    pub ended_at: Ms,
    pub node_log: Vec<String>,
}

/// How many of each kind were seen.
#[derive(Debug, Serialize)]
pub struct Counts {
    requests: usize,
    served: usize,
    answered: usize,
    attempts: usize,
    ended_by_themselves: usize,
    killed: usize,
}

impl RequestRecord {
    /// Rules that were broken on this request, in a trial that ended at `end`.
    pub fn breaks(&self, end: Ms) -> Vec<Rule> {
        let answered_at = self.answers.first().map(|(at, _)| *at);
        let owed_until = self.sent_at + self.wait + LATE_ANSWER_LIMIT + SLACK;
        let settled_at = answered_at.into_iter().chain(self.gone_at).fold(f64::INFINITY, f64::min);
        let ended_at = self.connection_ended_at.unwrap_or(f64::INFINITY);
        let crossed = ended_at <= self.sent_at + CROSSING_TIME;
        let lost = settled_at > ended_at && !crossed && !self.excused
            || settled_at > owed_until && ended_at > owed_until && end > owed_until;
        let served = self.answers.iter().any(|(_, status)| *status == 200);
        let two_out = self
            .attempts
            .windows(2)
            .any(|pair| pair[0].ended_at.is_none_or(|ended_at| ended_at > pair[1].begun_at + SLACK));
        let gone_at = self.gone_at.unwrap_or(f64::INFINITY).min(ended_at);
        let for_nobody = |a: &Attempt| a.begun_at > gone_at + GONE_CLIENT_LIMIT + SLACK;
        let after_removal =
            |a: &Attempt| a.removal_told_at.is_some_and(|at| a.begun_at > at + DRAIN_GRACE + SLACK);
        let checks = [
            (Rule::Lost, lost),
            (Rule::WrongAnswer, self.answers.len() > 1 || served && !self.accepted),
            (Rule::TwoAttempts, two_out),
            (Rule::GoneClient, self.attempts.iter().any(for_nobody)),
            (Rule::Removed, self.attempts.iter().any(after_removal)),
        ];
        checks.into_iter().filter(|(_, broken)| *broken).map(|(rule, _)| rule).collect()
    }
}

impl Record {
    /// Rules that were broken.
    pub fn breaks(&self) -> Vec<Break> {
        let crash = Break { rule: Rule::Crash, request: String::new() };
        let mut breaks = vec![crash; self.crashes];
        for (id, request) in &self.requests {
            let rules = request.breaks(self.ended_at).into_iter();
            breaks.extend(rules.map(|rule| Break { rule, request: format!("{id:016x}") }));
        }
        breaks
    }

    /// Ends the open attempt of a request at a server.
    pub fn end_attempt(&mut self, id: u64, server: usize, now: Ms) {
        let attempts = self.requests.get_mut(&id).into_iter().flat_map(|r| &mut r.attempts);
        let open = attempts.filter(|a| a.server == server && a.ended_at.is_none());
        open.for_each(|attempt| attempt.ended_at = Some(now));
    }

    /// All events, and what was seen and logged of the requests on which a rule broke.
    pub fn timeline(&self, breaks: &[Break]) -> Vec<String> {
        if breaks.is_empty() {
            return Vec::new();
        }
        let mut lines: Vec<String> =
            self.events.iter().map(|(at, text)| format!("{at:9.1} {text}")).collect();
        for Break { rule, request } in breaks {
            let record = u64::from_str_radix(request, 16).ok().and_then(|id| self.requests.get(&id));
            lines.push(format!("{rule:?} {request} {record:?}"));
            let logged = self.node_log.iter().filter(|line| !request.is_empty() && line.contains(request));
            lines.extend(logged.cloned());
        }
        lines
    }

    /// Counts for the result of a trial.
    pub fn counts(&self) -> Counts {
        let requests = self.requests.values();
        let served = |r: &&RequestRecord| r.answers.iter().any(|(_, status)| *status == 200);
        Counts {
            requests: requests.len(),
            served: requests.clone().filter(served).count(),
            answered: requests.clone().filter(|r| !r.answers.is_empty()).count(),
            attempts: requests.map(|r| r.attempts.len()).sum(),
            ended_by_themselves: self.ended_by_themselves,
            killed: self.killed,
        }
    }
}
