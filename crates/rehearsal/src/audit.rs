//! The auditor: judges the six rules and the service from what the stand-ins saw, and from nothing else.
use crate::record::{AuditSettings, Observation, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;

/// A broken rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: u8,
    pub at_ms: f64,
    pub description: String,
}

#[derive(Debug, Default)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    /// Utility started within the start target over utility asked for.
    pub service: f64,
    pub viewers: usize,
    pub requests: usize,
    /// Final answers by status; 0 where a killed front or a viewer that left needed none.
    pub answers_by_status: BTreeMap<u16, usize>,
    pub setups: usize,
    pub retry_setups: usize,
    /// Mean share that segments came at.
    pub mean_delivered_share: f64,
    /// Time from request to manifest, for those that play: median, 99th percentile.
    pub startup_ms: (f64, f64),
    pub started_at_ms: f64,
}

/// A rule's slack for the two clocks' reading of one event: records are written beside the sockets, not in them.
const SLACK: f64 = 5.0;
/// How long a session that came too late may stay at its box.
const TEARDOWN_WITHIN: f64 = 1_000.0;

pub fn run(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let records = crate::record::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let verdict = judge(records)?;
    print_verdict(&verdict);
    if verdict.violations.is_empty() {
        Ok(())
    } else {
        Err(format!("{} breaks of rules", verdict.violations.len()))
    }
}

pub fn print_verdict(v: &Verdict) {
    let answers: Vec<String> = v.answers_by_status.iter().map(|(s, n)| format!("{n} of {s}")).collect();
    println!("viewers {}  requests {}  answers {}", v.viewers, v.requests, answers.join(", "));
    println!(
        "SETUPs {}  further {}  delivered share {:.3}",
        v.setups, v.retry_setups, v.mean_delivered_share
    );
    println!(
        "request to manifest: median {:.1} ms, 99th percentile {:.1} ms",
        v.startup_ms.0, v.startup_ms.1
    );
    println!("service {:.3}", v.service);
    for b in v.violations.iter().take(20) {
        println!(
            "rule {} broken at {:.3} s: {}",
            b.rule,
            (b.at_ms - v.started_at_ms) / 1_000.0,
            b.description
        );
    }
    println!("rules {}", if v.violations.is_empty() { "all kept" } else { "BROKEN" });
}

#[derive(Default)]
struct Request {
    at: f64,
    viewer: u64,
    front: u32,
    group: usize,
    wait: f64,
    answers: Vec<(f64, u16)>,
    excused: bool,
}

struct Setup {
    at: f64,
    server: u32,
    done: Option<(f64, u16)>,
}

#[derive(Default)]
struct Session {
    front: u32,
    group: usize,
    title: String,
    setups: Vec<Setup>,
    /// Boxes where it may still play.
    at: BTreeSet<u32>,
}

pub fn judge(mut records: Vec<Record>) -> Result<Verdict, String> {
    let terms = match records.first().map(|r| &r.observation) {
        Some(Observation::Settings(t)) => t.clone(),
        _ => return Err("the records do not begin with their terms".into()),
    };
    records.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    let group_no = |name: &str| {
        let found = terms.groups.iter().position(|g| g.name == name);
        found.ok_or_else(|| format!("service group {name:?} is not in the terms"))
    };
    let ended = records[records.len() - 1].at_ms;
    let mut v = Verdict { started_at_ms: records[0].at_ms, ..Verdict::default() };
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut sessions: HashMap<u64, Session> = HashMap::new();
    let mut not_ready: HashMap<(u32, u32), f64> = HashMap::new();
    let mut taken: HashMap<u32, Vec<f64>> = HashMap::new();
    let mut further: HashMap<u32, Vec<f64>> = HashMap::new();
    let late: Vec<(f64, f64)> = records.iter().filter_map(kit_late).collect();
    let mut down: BTreeSet<u32> = BTreeSet::new();
    let (mut shares, mut played) = ((0.0, 0usize), Vec::new());
    let mut breaks: Vec<Violation> = Vec::new();
    for Record { at_ms: at, observation } in records {
        let mut broken =
            |rule: u8, what: String| breaks.push(Violation { rule, at_ms: at, description: what });
        match observation {
            Observation::RequestSent { viewer, request: req, front, group, wait_limit_ms: wait, .. } => {
                let group = group_no(&group)?;
                taken.entry(front).or_default().push(at);
                // What reaches a front after its killing was never taken by a running one.
                let excused = down.contains(&front);
                requests
                    .insert(req, Request { at, viewer, front, group, wait, excused, ..Request::default() });
            }
            Observation::Answered { request: req, status, session, server } => {
                let Some(r) = requests.get_mut(&req) else {
                    return Err(format!("answer to no request {req}"));
                };
                r.answers.push((at, status));
                if status == 200 {
                    played.push(at - r.at);
                    let stands = session.and_then(|s| sessions.get(&s)).is_some_and(|s| {
                        s.setups
                            .iter()
                            .any(|o| Some(o.server) == server && o.done.is_some_and(|d| d.1 == 200))
                    });
                    if !stands {
                        broken(1, format!("request {req} was given a session that no box has set up"));
                    }
                }
            }
            Observation::ExtraData { request: req } => {
                broken(1, format!("request {req} was answered more than once"))
            }
            Observation::WaitLimitExceeded { .. } | Observation::NoAnswer { .. } => {}
            Observation::ViewerLeft { request: req } => {
                if let Some(r) = requests.get_mut(&req) {
                    r.excused = true;
                }
            }
            Observation::SegmentPlayed { delivered_share: share, .. } => {
                shares = (shares.0 + share, shares.1 + 1)
            }
            Observation::SetupReceived { server, front, session, title, group, rung } => {
                let group = group_no(&group)?;
                v.setups += 1;
                let s = sessions.entry(session).or_default();
                (s.front, s.group, s.title) = (front, group, title);
                two_at_once(s, at, &terms)
                    .into_iter()
                    .for_each(|w| broken(2, format!("session {session}: {w}")));
                if !s.setups.is_empty() {
                    v.retry_setups += 1;
                    further.entry(front).or_default().push(at);
                    if !terms.groups[group].repeatable {
                        let ran = s.setups.iter().any(|o| !matches!(o.done, Some((_, 453 | 503))));
                        if ran {
                            broken(
                                2,
                                format!("session {session} was set up again though a SETUP may have run"),
                            );
                        }
                    }
                }
                s.setups.push(Setup { at, server, done: None });
                if s.setups.len() > terms.max_setups {
                    broken(2, format!("session {session} had {} SETUPs", s.setups.len()));
                }
                if let Some(since) = not_ready.get(&(front, server)) {
                    if at > since + terms.drain_grace_ms + SLACK + lateness(&late, *since, at) {
                        broken(
                            3,
                            format!(
                                "front {front} sent to box {server} {:.0} ms after it was told",
                                at - since
                            ),
                        );
                    }
                }
                if rung < terms.groups[group].lowest_rung {
                    broken(5, format!("session {session} was set up at rung {rung}, under its floor"));
                }
                s.at.insert(server);
                let sent = s.setups.len();
                let most = terms.groups[group].max_sessions_per_title;
                let held = if most > 0 { seated(&sessions, session, at, &terms) } else { 0 };
                if held > most {
                    broken(5, format!("front {front} holds {held} sessions of one title for {most} seats"));
                }
                if let Some((free, share, span)) = terms.retry_budget {
                    let within = |of: Option<&Vec<f64>>| {
                        of.map_or(0, |all| all.iter().filter(|t| **t > at - span).count()) as f64
                    };
                    let (more, of) = (within(further.get(&front)), within(taken.get(&front)));
                    if sent > 1 && more > free + share * of {
                        broken(6, format!("front {front} sent {more} further SETUPs for {of} requests"));
                    }
                }
            }
            Observation::SetupAnswered { server, session, status } => {
                let Some(s) = sessions.get_mut(&session) else { continue };
                if let Some(o) = s.setups.iter_mut().rev().find(|o| o.server == server && o.done.is_none()) {
                    o.done = Some((at, status));
                }
                if status != 200 {
                    s.at.remove(&server);
                }
            }
            Observation::SessionEnded { server, session, .. } => {
                if let Some(s) = sessions.get_mut(&session) {
                    s.at.remove(&server);
                }
            }
            Observation::RungSet { session, rung, .. } => {
                let floor = sessions.get(&session).map_or(0, |s| terms.groups[s.group].lowest_rung);
                if rung < floor || rung >= terms.rung_count {
                    broken(5, format!("session {session} was put to rung {rung}, floor {floor}"));
                }
            }
            Observation::ListEntrySent { front, server, state } => {
                if state == "ready" {
                    not_ready.remove(&(front, server));
                } else {
                    not_ready.entry((front, server)).or_insert(at);
                }
            }
            Observation::BoxDown { server, reason } => {
                if reason == "fell over" {
                    broken(4, format!("box {server} fell over while cold"));
                }
                for s in sessions.values_mut() {
                    s.at.remove(&server);
                }
            }
            Observation::FrontUp { front } => {
                down.remove(&front);
            }
            Observation::FrontDown { front } => {
                down.insert(front);
                // Only what it still had time for: an answer that was overdue by then stays owed.
                let open = |r: &&mut Request| r.front == front && r.answers.is_empty() && at < r.at + r.wait;
                for r in requests.values_mut().filter(open) {
                    r.excused = true;
                }
                taken.remove(&front);
                further.remove(&front);
                // The one that starts after it holds nothing of what this one held.
                sessions.values_mut().filter(|s| s.front == front).for_each(|s| s.at.clear());
            }
            Observation::Settings(_)
            | Observation::BoxUp { .. }
            | Observation::RecorderLate { .. }
            | Observation::FaultInjected { .. } => {}
        }
    }
    for (no, r) in &requests {
        let by = |at: f64| r.at + r.wait + lateness(&late, r.at, at);
        let in_time = r.answers.first().is_some_and(|(at, _)| *at <= by(*at));
        if !in_time && !r.excused {
            let what = format!("request {no} to front {} had no answer within {:.0} ms", r.front, r.wait);
            breaks.push(Violation { rule: 1, at_ms: r.at + r.wait, description: what });
        }
        *v.answers_by_status.entry(r.answers.first().map_or(0, |a| a.1)).or_default() += 1;
    }
    // An answer that came too late is torn down: within a second at the most.
    for (id, s) in &sessions {
        let plays = |o: &&Setup| {
            o.done.is_some_and(|(t, status)| status == 200 && t < ended - TEARDOWN_WITHIN)
                && s.at.contains(&o.server)
        };
        let boxes: Vec<u32> = s.setups.iter().filter(plays).map(|o| o.server).collect();
        if boxes.len() > 1 {
            breaks.push(Violation {
                rule: 2,
                at_ms: ended,
                description: format!("session {id} plays at boxes {boxes:?}"),
            });
        }
    }
    breaks.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    v.violations = breaks;
    v.requests = requests.len();
    (v.viewers, v.service) = service(&requests, &terms);
    v.mean_delivered_share = if shares.1 > 0 { shares.0 / shares.1 as f64 } else { 0.0 };
    played.sort_by(f64::total_cmp);
    let at = |q: f64| played.get(((played.len() as f64 * q) as usize).min(played.len().max(1) - 1)).copied();
    v.startup_ms = (at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0));
    Ok(v)
}

fn kit_late(r: &Record) -> Option<(f64, f64)> {
    match r.observation {
        Observation::RecorderLate { delay_ms: ms } => Some((r.at_ms, ms)),
        _ => None,
    }
}

/// How late the kit itself was at most within a span: on a machine that is too busy it reads its sockets late,
/// and what it saw may have come so much earlier.
fn lateness(late: &[(f64, f64)], from: f64, to: f64) -> f64 {
    let within = |(at, ms): &&(f64, f64)| *at >= from && at - ms <= to;
    late.iter().filter(within).map(|l| l.1).fold(0.0, f64::max)
}

/// Sessions of one title and service group that a front holds for certain, the given one among them: a SETUP
/// without an answer counts while the front cannot have given it up.
fn seated(sessions: &HashMap<u64, Session>, of: u64, now: f64, terms: &AuditSettings) -> usize {
    let Some(of) = sessions.get(&of) else { return 0 };
    let holds = |s: &&Session| {
        let out = |o: &Setup| match o.done {
            Some((_, status)) => status == 200 && s.at.contains(&o.server),
            None => now - o.at < terms.min_setup_timeout_ms && s.at.contains(&o.server),
        };
        s.front == of.front && s.group == of.group && s.title == of.title && s.setups.iter().any(out)
    };
    sessions.values().filter(holds).count()
}

/// Whether a session has two SETUPs out, or plays at one box while another is asked. From outside, a SETUP is out
/// until its answer, or until the front can have given it up.
fn two_at_once(s: &Session, at: f64, terms: &AuditSettings) -> Option<String> {
    let last = s.setups.last()?;
    match last.done {
        Some((done, 200)) if s.at.contains(&last.server) && done - last.at < terms.min_setup_timeout_ms => {
            Some(format!("a further SETUP while it plays at box {}", last.server))
        }
        None if at - last.at < terms.min_setup_timeout_ms && s.at.contains(&last.server) => {
            Some(format!("two SETUPs out, the first for {:.0} ms", at - last.at))
        }
        _ => None,
    }
}

/// A viewer's tries count as one, from the first on.
fn service(requests: &BTreeMap<u64, Request>, terms: &AuditSettings) -> (usize, f64) {
    let mut viewers: BTreeMap<u64, (f64, usize, bool)> = BTreeMap::new();
    for r in requests.values() {
        let first = viewers.entry(r.viewer).or_insert((r.at, r.group, false));
        let target = terms.groups[r.group].start_target_ms;
        first.2 |= r.answers.first().is_some_and(|(at, status)| *status == 200 && at - first.0 <= target);
    }
    let utility = |(_, group, _): &&(f64, usize, bool)| terms.groups[*group].utility;
    let asked: f64 = viewers.values().map(|v| utility(&v)).sum();
    let started: f64 = viewers.values().filter(|v| v.2).map(|v| utility(&v)).sum();
    (viewers.len(), if asked > 0.0 { started / asked } else { 0.0 })
}

#[cfg(test)]
mod tests;
