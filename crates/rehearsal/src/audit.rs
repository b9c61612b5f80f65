//! The auditor: checks the six rules and computes the service figure of a rehearsal, from its records alone.
//!
//! 1. Every request gets exactly one answer within the viewer's wait limit, and no answer names a session that no box
//!    has set up.
//! 2. No session is set up twice: one SETUP is pending at a time, none is sent while the session plays or where an
//!    earlier one may have run and must not be repeated, and their number is limited.
//! 3. A front sends no SETUP to a box after the list has shown it as not ready, except within the drain grace.
//! 4. No cold box is overloaded.
//! 5. Sessions keep to the rungs of their service group and to its limit of sessions per title.
//! 6. SETUPs beyond a session's first stay within the front's retry budget.
use crate::record::{AuditSettings, Observation, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;

/// One violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Number of the rule, from 1 to 6.
    pub rule: u8,
    /// Unix time of the record that shows it, or of the deadline that was missed.
    pub at_ms: f64,
    /// What was observed.
    pub description: String,
}

/// The result of an audit.
#[derive(Debug, Default)]
pub struct Verdict {
    /// In the order of their times.
    pub violations: Vec<Violation>,
    /// Utility of the viewers that played within the start target, over the utility of all viewers.
    pub service: f64,
    /// Number of viewers that sent a request.
    pub viewers: usize,
    /// Number of requests.
    pub requests: usize,
    /// Number of requests by the status of the answer; 0 stands for no answer.
    pub answers_by_status: BTreeMap<u16, usize>,
    /// Number of SETUPs that boxes received.
    pub setups: usize,
    /// Those beyond the first of their session.
    pub retry_setups: usize,
    /// Mean share of the nominal rate that segments arrived at.
    pub mean_delivered_share: f64,
    /// Time from request to manifest of the requests that play: median and 99th percentile.
    pub startup_ms: (f64, f64),
    /// Time of the first record.
    pub started_at_ms: f64,
}

/// Tolerance of the drain grace: events are recorded next to the socket calls, so that the times that two sides record
/// for one event differ a little.
const TIME_TOLERANCE_MS: f64 = 5.0;
/// How long a box may keep a session whose SETUP was answered too late.
const TEARDOWN_TIMEOUT_MS: f64 = 1_000.0;

/// Audits a record file and prints the verdict; an error if a rule is violated.
pub fn run(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let records = crate::record::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let verdict = judge(records)?;
    print_verdict(&verdict);
    if verdict.violations.is_empty() {
        Ok(())
    } else {
        Err(format!("{} rule violations", verdict.violations.len()))
    }
}

/// Prints a verdict with the first violations.
pub fn print_verdict(verdict: &Verdict) {
    let answers: Vec<String> =
        verdict.answers_by_status.iter().map(|(status, count)| format!("{count} of {status}")).collect();
    println!("viewers {}  requests {}  answers {}", verdict.viewers, verdict.requests, answers.join(", "));
    println!(
        "SETUPs {}  further {}  delivered share {:.3}",
        verdict.setups, verdict.retry_setups, verdict.mean_delivered_share
    );
    println!(
        "request to manifest: median {:.1} ms, 99th percentile {:.1} ms",
        verdict.startup_ms.0, verdict.startup_ms.1
    );
    println!("service {:.3}", verdict.service);
    for violation in verdict.violations.iter().take(20) {
        println!(
            "rule {} broken at {:.3} s: {}",
            violation.rule,
            (violation.at_ms - verdict.started_at_ms) / 1_000.0,
            violation.description
        );
    }
    println!("rules {}", if verdict.violations.is_empty() { "all kept" } else { "BROKEN" });
}

#[derive(Default)]
struct Request {
    sent_at_ms: f64,
    viewer: u64,
    front: u32,
    group: usize,
    wait_limit_ms: f64,
    /// Times and statuses.
    answers: Vec<(f64, u16)>,
    /// Whether no answer is required: the front was killed, or the viewer left.
    excused: bool,
}

struct Setup {
    received_at_ms: f64,
    server: u32,
    /// Time and status.
    answer: Option<(f64, u16)>,
}

#[derive(Default)]
struct Session {
    front: u32,
    group: usize,
    title: String,
    setups: Vec<Setup>,
    /// Boxes where it may still play.
    possible_servers: BTreeSet<u32>,
}

/// Judges records, which may be in any order but for the settings, which come first.
pub fn judge(mut records: Vec<Record>) -> Result<Verdict, String> {
    let settings = match records.first().map(|r| &r.observation) {
        Some(Observation::Settings(settings)) => settings.clone(),
        _ => return Err("the first record does not hold the settings".into()),
    };
    records.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    let group_index = |name: &str| {
        let found = settings.groups.iter().position(|g| g.name == name);
        found.ok_or_else(|| format!("service group {name:?} is not in the settings"))
    };
    let ended_at = records[records.len() - 1].at_ms;
    let mut verdict = Verdict { started_at_ms: records[0].at_ms, ..Verdict::default() };
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut sessions: HashMap<u64, Session> = HashMap::new();
    // Since when the list has shown a box as not ready, by front and box.
    let mut not_ready_since: HashMap<(u32, u32), f64> = HashMap::new();
    let mut request_times: HashMap<u32, Vec<f64>> = HashMap::new();
    let mut retry_times: HashMap<u32, Vec<f64>> = HashMap::new();
    let recorder_delays: Vec<(f64, f64)> = records.iter().filter_map(recorder_delay).collect();
    let mut killed_fronts: BTreeSet<u32> = BTreeSet::new();
    // Sum and number of the segments' shares.
    let (mut shares, mut startup_times) = ((0.0, 0usize), Vec::new());
    let mut violations: Vec<Violation> = Vec::new();
    for Record { at_ms, observation } in records {
        let mut violated =
            |rule: u8, description: String| violations.push(Violation { rule, at_ms, description });
        match observation {
            Observation::RequestSent { viewer, request, front, group, wait_limit_ms, .. } => {
                let group = group_index(&group)?;
                request_times.entry(front).or_default().push(at_ms);
                // A request to a front that was killed before can have no answer.
                let excused = killed_fronts.contains(&front);
                requests.insert(
                    request,
                    Request {
                        sent_at_ms: at_ms,
                        viewer,
                        front,
                        group,
                        wait_limit_ms,
                        excused,
                        ..Request::default()
                    },
                );
            }
            Observation::Answered { request, status, session, server } => {
                let Some(entry) = requests.get_mut(&request) else {
                    return Err(format!("answer to unknown request {request}"));
                };
                entry.answers.push((at_ms, status));
                if status == 200 {
                    startup_times.push(at_ms - entry.sent_at_ms);
                    let set_up = session.and_then(|s| sessions.get(&s)).is_some_and(|s| {
                        s.setups.iter().any(|setup| {
                            Some(setup.server) == server && setup.answer.is_some_and(|a| a.1 == 200)
                        })
                    });
                    if !set_up {
                        violated(1, format!("request {request} got a session that no box has set up"));
                    }
                }
            }
            Observation::ExtraData { request } => {
                violated(1, format!("request {request} was answered more than once"))
            }
            Observation::WaitLimitExceeded { .. } | Observation::NoAnswer { .. } => {}
            Observation::ViewerLeft { request } => {
                if let Some(r) = requests.get_mut(&request) {
                    r.excused = true;
                }
            }
            Observation::SegmentPlayed { delivered_share, .. } => {
                shares = (shares.0 + delivered_share, shares.1 + 1)
            }
            Observation::SetupReceived { server, front, session, title, group, rung } => {
                let group = group_index(&group)?;
                verdict.setups += 1;
                let entry = sessions.entry(session).or_default();
                (entry.front, entry.group, entry.title) = (front, group, title);
                overlapping_setup(entry, at_ms, &settings)
                    .into_iter()
                    .for_each(|overlap| violated(2, format!("session {session}: {overlap}")));
                if !entry.setups.is_empty() {
                    verdict.retry_setups += 1;
                    retry_times.entry(front).or_default().push(at_ms);
                    if !settings.groups[group].repeatable {
                        let may_have_run =
                            entry.setups.iter().any(|setup| !matches!(setup.answer, Some((_, 453 | 503))));
                        if may_have_run {
                            violated(
                                2,
                                format!(
                                    "session {session} got another SETUP though an earlier one may have run"
                                ),
                            );
                        }
                    }
                }
                entry.setups.push(Setup { received_at_ms: at_ms, server, answer: None });
                if entry.setups.len() > settings.max_setups {
                    violated(2, format!("session {session} had {} SETUPs", entry.setups.len()));
                }
                if let Some(since) = not_ready_since.get(&(front, server)) {
                    if at_ms
                        > since
                            + settings.drain_grace_ms
                            + TIME_TOLERANCE_MS
                            + max_recorder_delay(&recorder_delays, *since, at_ms)
                    {
                        violated(
                            3,
                            format!(
                                "front {front} sent a SETUP to box {server} {:.0} ms after the list showed it not ready",
                                at_ms - since
                            ),
                        );
                    }
                }
                if rung < settings.groups[group].lowest_rung {
                    violated(
                        5,
                        format!("session {session} was set up at rung {rung}, below its lowest rung"),
                    );
                }
                entry.possible_servers.insert(server);
                let setup_count = entry.setups.len();
                let max_sessions = settings.groups[group].max_sessions_per_title;
                let count = if max_sessions > 0 {
                    sessions_of_title(&sessions, session, at_ms, &settings)
                } else {
                    0
                };
                if count > max_sessions {
                    violated(
                        5,
                        format!(
                            "front {front} has {count} sessions of one title, {max_sessions} are allowed"
                        ),
                    );
                }
                if let Some((free, share, window)) = settings.retry_budget {
                    let count_in_window = |times: Option<&Vec<f64>>| {
                        times.map_or(0, |all| all.iter().filter(|t| **t > at_ms - window).count()) as f64
                    };
                    let (retries, request_count) = (
                        count_in_window(retry_times.get(&front)),
                        count_in_window(request_times.get(&front)),
                    );
                    if setup_count > 1 && retries > free + share * request_count {
                        violated(
                            6,
                            format!("front {front} sent {retries} retry SETUPs for {request_count} requests"),
                        );
                    }
                }
            }
            Observation::SetupAnswered { server, session, status } => {
                let Some(entry) = sessions.get_mut(&session) else { continue };
                if let Some(setup) = entry
                    .setups
                    .iter_mut()
                    .rev()
                    .find(|setup| setup.server == server && setup.answer.is_none())
                {
                    setup.answer = Some((at_ms, status));
                }
                if status != 200 {
                    entry.possible_servers.remove(&server);
                }
            }
            Observation::SessionEnded { server, session, .. } => {
                if let Some(s) = sessions.get_mut(&session) {
                    s.possible_servers.remove(&server);
                }
            }
            Observation::RungSet { session, rung, .. } => {
                let lowest = sessions.get(&session).map_or(0, |s| settings.groups[s.group].lowest_rung);
                if rung < lowest || rung >= settings.rung_count {
                    violated(5, format!("session {session} was set to rung {rung}, lowest rung {lowest}"));
                }
            }
            Observation::ListEntrySent { front, server, state } => {
                if state == "ready" {
                    not_ready_since.remove(&(front, server));
                } else {
                    not_ready_since.entry((front, server)).or_insert(at_ms);
                }
            }
            Observation::BoxDown { server, reason } => {
                if reason == "fell over" {
                    violated(4, format!("box {server} was overloaded while cold"));
                }
                for s in sessions.values_mut() {
                    s.possible_servers.remove(&server);
                }
            }
            Observation::FrontUp { front } => {
                killed_fronts.remove(&front);
            }
            Observation::FrontDown { front } => {
                killed_fronts.insert(front);
                // Only requests within their wait limit are excused: an answer that was overdue stays missing.
                let open = |r: &&mut Request| {
                    r.front == front && r.answers.is_empty() && at_ms < r.sent_at_ms + r.wait_limit_ms
                };
                for r in requests.values_mut().filter(open) {
                    r.excused = true;
                }
                request_times.remove(&front);
                retry_times.remove(&front);
                // The process that replaces the front has none of its sessions.
                sessions.values_mut().filter(|s| s.front == front).for_each(|s| s.possible_servers.clear());
            }
            Observation::Settings(_)
            | Observation::BoxUp { .. }
            | Observation::RecorderLate { .. }
            | Observation::FaultInjected { .. } => {}
        }
    }
    for (request, entry) in &requests {
        let deadline = |at: f64| {
            entry.sent_at_ms
                + entry.wait_limit_ms
                + max_recorder_delay(&recorder_delays, entry.sent_at_ms, at)
        };
        let in_time = entry.answers.first().is_some_and(|(at, _)| *at <= deadline(*at));
        if !in_time && !entry.excused {
            let description = format!(
                "request {request} to front {} had no answer within {:.0} ms",
                entry.front, entry.wait_limit_ms
            );
            violations.push(Violation {
                rule: 1,
                at_ms: entry.sent_at_ms + entry.wait_limit_ms,
                description,
            });
        }
        *verdict.answers_by_status.entry(entry.answers.first().map_or(0, |a| a.1)).or_default() += 1;
    }
    // A session whose SETUP was answered too late must have been torn down within the time-out.
    for (session, entry) in &sessions {
        let plays = |setup: &&Setup| {
            setup.answer.is_some_and(|(at, status)| status == 200 && at < ended_at - TEARDOWN_TIMEOUT_MS)
                && entry.possible_servers.contains(&setup.server)
        };
        let servers: Vec<u32> = entry.setups.iter().filter(plays).map(|setup| setup.server).collect();
        if servers.len() > 1 {
            violations.push(Violation {
                rule: 2,
                at_ms: ended_at,
                description: format!("session {session} plays at boxes {servers:?}"),
            });
        }
    }
    violations.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    verdict.violations = violations;
    verdict.requests = requests.len();
    (verdict.viewers, verdict.service) = service(&requests, &settings);
    verdict.mean_delivered_share = if shares.1 > 0 { shares.0 / shares.1 as f64 } else { 0.0 };
    startup_times.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        startup_times
            .get(((startup_times.len() as f64 * q) as usize).min(startup_times.len().max(1) - 1))
            .copied()
    };
    verdict.startup_ms = (quantile(0.5).unwrap_or(0.0), quantile(0.99).unwrap_or(0.0));
    Ok(verdict)
}

fn recorder_delay(r: &Record) -> Option<(f64, f64)> {
    match r.observation {
        Observation::RecorderLate { delay_ms } => Some((r.at_ms, delay_ms)),
        _ => None,
    }
}

/// The largest delay of the stand-ins themselves within a period. On an overloaded machine they read their sockets
/// late, and what they recorded may have arrived that much earlier.
fn max_recorder_delay(delays: &[(f64, f64)], from: f64, to: f64) -> f64 {
    let within = |(at, delay_ms): &&(f64, f64)| *at >= from && at - delay_ms <= to;
    delays.iter().filter(within).map(|d| d.1).fold(0.0, f64::max)
}

/// Number of sessions that a front certainly has for the title and service group of the given session, itself
/// included. A SETUP without an answer counts for as long as the front cannot have given it up.
fn sessions_of_title(
    sessions: &HashMap<u64, Session>,
    session: u64,
    now: f64,
    settings: &AuditSettings,
) -> usize {
    let Some(session) = sessions.get(&session) else { return 0 };
    let counts = |other: &&Session| {
        let active = |setup: &Setup| match setup.answer {
            Some((_, status)) => status == 200 && other.possible_servers.contains(&setup.server),
            None => {
                now - setup.received_at_ms < settings.min_setup_timeout_ms
                    && other.possible_servers.contains(&setup.server)
            }
        };
        other.front == session.front
            && other.group == session.group
            && other.title == session.title
            && other.setups.iter().any(active)
    };
    sessions.values().filter(counts).count()
}

/// Describes the overlap when a session gets a SETUP while another is pending or while it plays. Seen from outside, a
/// SETUP is pending until its answer, or until the front can have given it up.
fn overlapping_setup(session: &Session, at: f64, settings: &AuditSettings) -> Option<String> {
    let last = session.setups.last()?;
    match last.answer {
        Some((answered_at, 200))
            if session.possible_servers.contains(&last.server)
                && answered_at - last.received_at_ms < settings.min_setup_timeout_ms =>
        {
            Some(format!("another SETUP while it plays at box {}", last.server))
        }
        None if at - last.received_at_ms < settings.min_setup_timeout_ms
            && session.possible_servers.contains(&last.server) =>
        {
            Some(format!("two pending SETUPs, the first for {:.0} ms", at - last.received_at_ms))
        }
        _ => None,
    }
}

/// Number of viewers and the service figure. All attempts of a viewer count as one, from the first request on.
fn service(requests: &BTreeMap<u64, Request>, settings: &AuditSettings) -> (usize, f64) {
    let mut viewers: BTreeMap<u64, (f64, usize, bool)> = BTreeMap::new();
    for r in requests.values() {
        let first = viewers.entry(r.viewer).or_insert((r.sent_at_ms, r.group, false));
        let target = settings.groups[r.group].start_target_ms;
        first.2 |= r.answers.first().is_some_and(|(at, status)| *status == 200 && at - first.0 <= target);
    }
    let utility = |(_, group, _): &&(f64, usize, bool)| settings.groups[*group].utility;
    let requested: f64 = viewers.values().map(|v| utility(&v)).sum();
    let started: f64 = viewers.values().filter(|v| v.2).map(|v| utility(&v)).sum();
    (viewers.len(), if requested > 0.0 { started / requested } else { 0.0 })
}

#[cfg(test)]
mod tests;
