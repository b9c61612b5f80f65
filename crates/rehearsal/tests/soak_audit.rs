//! The rules of soak trials, each on a record that keeps it or breaks it.
use test_case::test_case;
use walnutline_rehearsal::soak::audit::{Attempt, RequestRecord, Rule};

/// When the trial of these records ended.
const END: f64 = 10_000.0;

/// A request that was served as it should be.
fn served() -> RequestRecord {
    let attempts = vec![attempt(0, 1_010.0, Some(1_020.0))];
    let answers = vec![(1_030.0, 200)];
    RequestRecord {
        sent_at: 1_000.0,
        wait: 500.0,
        answers,
        attempts,
        accepted: true,
        ..RequestRecord::default()
    }
}

fn attempt(server: usize, begun_at: f64, ended_at: Option<f64>) -> Attempt {
    Attempt { server, begun_at, ended_at, removal_told_at: None }
}

#[test_case(|_| () => None; "served")]
#[test_case(|r| r.answers = vec![(1_900.0, 503)] => None; "answered within half a second of its time")]
#[test_case(|r| r.answers = vec![(2_051.0, 200)] => Some(Rule::Lost); "answered too late")]
#[test_case(|r| r.answers.clear() => Some(Rule::Lost); "never answered")]
#[test_case(|r| { r.answers.clear(); r.connection_ended_at = Some(1_100.0) } => Some(Rule::Lost); "connection ended")]
#[test_case(|r| { r.answers.clear(); r.connection_ended_at = Some(1_050.0) } => None; "crossed the close")]
#[test_case(|r| { r.answers.clear(); r.gone_at = Some(1_030.0) } => None; "given up")]
#[test_case(|r| r.answers.push((1_040.0, 200)) => Some(Rule::WrongAnswer); "answered twice")]
#[test_case(|r| r.accepted = false => Some(Rule::WrongAnswer); "session that no server set up")]
#[test_case(|r| r.attempts.push(attempt(1, 1_020.0, Some(1_025.0))) => None; "second attempt after the first")]
#[test_case(|r| { r.attempts[0].ended_at = Some(1_200.0); r.attempts.push(attempt(1, 1_100.0, None)) }
    => Some(Rule::TwoAttempts); "second attempt during the first")]
#[test_case(|r| r.attempts[0].removal_told_at = Some(709.0) => Some(Rule::Removed); "attempt after a removal")]
#[test_case(|r| { r.gone_at = Some(1_000.0); r.attempts[0].begun_at = 1_151.0 } => Some(Rule::GoneClient); "attempt for nobody")]
fn rule_broken_on_a_request(change: fn(&mut RequestRecord)) -> Option<Rule> {
    let mut request = served();
    change(&mut request);
    request.breaks(END).first().copied()
}
