//! Memory and counts of the retry budget.
#[allow(dead_code)]
mod support;

use support::*;
use walnutline::ids::*;
use walnutline::recent_events::RecentEvents;
use walnutline::settings::PolicySettings;
use walnutline::state::FrontState;

/// Takes `count` requests, evenly spread over `duration`, each of which is over at once.
fn take_requests(front: &mut FrontState, count: u64, duration: Ms) {
    let mut table = session_table([]);
    for n in 0..count {
        let now = NOW + duration * n as f64 / count as f64;
        front.add_request(&mut table, SessionId(n), request(3_000.0), now);
        table.sessions.clear();
    }
}

/// Guards against a flood of refused requests that drives a node over its memory limit: no retry is ever asked for,
/// and the times of all requests were kept until one was.
#[test]
fn requests_beyond_any_number_take_bounded_memory() {
    let mut front = front(PolicySettings { retry_budget: Some(retry_budget()), ..settings() });
    take_requests(&mut front, 1_000_000, 10.0 * retry_budget().window);
    assert!(front.recent_requests.len() < 2_048, "{} entries", front.recent_requests.len());
}

/// The budget is never exceeded: requests are counted too low by what comes in a thousandth of the window, and retries
/// too high by as much.
#[test]
fn counts_err_on_the_side_of_fewer_retries() {
    let (window, interval) = (1_000.0, 0.25);
    let mut events = RecentEvents::default();
    for n in 0..8_000 {
        let now = NOW + interval * f64::from(n);
        events.record(now, window);
        let cutoff = now - window;
        let exact = (f64::from(n) + 1.0).min(window / interval) as u64;
        let (least, most) = (events.at_least_after(cutoff), events.at_most_since(cutoff));
        assert!(least <= exact && exact <= most, "{least} {exact} {most} at {now}");
        assert!(most - least <= 16, "{least} {exact} {most} at {now}");
    }
}
