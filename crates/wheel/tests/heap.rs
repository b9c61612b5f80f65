//! The wheel against a plain sorted list, with any times, cancellings and stalls.
use proptest::prelude::*;
use walnutline_wheel::{Priority, TimerKey, TimerWheel};

#[derive(Debug, Clone)]
enum Step {
    Start {
        after: f64,
        slack: f64,
        urgent: bool,
    },
    Cancel(prop::sample::Index),
    Pass(f64),
    /// To the time that the wheel itself names.
    Sleep,
}

fn steps() -> impl Strategy<Value = Step> {
    let after = prop_oneof![4 => -5.0..50.0f64, 2 => 0.0..5_000.0f64, 1 => 0.0..1e8f64, 1 => Just(1e13)];
    let slack = prop_oneof![Just(0.0), Just(16.0), 0.0..200.0f64];
    prop_oneof![
        5 => (after, slack, any::<bool>()).prop_map(|(after, slack, urgent)| Step::Start { after, slack, urgent }),
        2 => any::<prop::sample::Index>().prop_map(Step::Cancel),
        3 => prop_oneof![0.0..10.0f64, 0.0..1_000.0f64, 0.0..1e7f64].prop_map(Step::Pass),
        2 => Just(Step::Sleep),
    ]
}

struct Plain {
    urgency: Priority,
    tick: u64,
    started: usize,
    key: TimerKey,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn like_a_sorted_list(from in 0.0..1e9f64, steps in prop::collection::vec(steps(), 1..200)) {
        let mut now = from;
        let mut wheel = TimerWheel::new(1.0, 20.0, now);
        let (mut plain, mut gone): (Vec<Plain>, Vec<TimerKey>) = (Vec::new(), Vec::new());
        for (n, step) in steps.into_iter().enumerate() {
            let before = now;
            match step {
                Step::Start { after, slack, urgent } => {
                    let urgency = if urgent { Priority::High } else { Priority::Low };
                    let due = now + after;
                    let key = wheel.start(due, slack, urgency, n);
                    let step = (slack as u64).max(1);
                    let tick = ((due.ceil().max(0.0) as u64).div_ceil(step) * step).max(now as u64 + 1);
                    plain.push(Plain { urgency, tick, started: n, key });
                }
                Step::Cancel(which) if !plain.is_empty() => {
                    let p = plain.swap_remove(which.index(plain.len()));
                    prop_assert_eq!(wheel.cancel(p.key), Some(p.started));
                    gone.push(p.key);
                }
                Step::Cancel(_) => {}
                Step::Pass(ms) => now += ms,
                Step::Sleep => now = now.max(wheel.next_wakeup_at().unwrap_or(now)),
            }
            if let Some(at) = wheel.next_wakeup_at() {
                let first = plain.iter().map(|p| p.tick).min();
                prop_assert!(first.is_some_and(|t| at <= t as f64), "sleeps past a timer");
            } else {
                prop_assert!(plain.is_empty());
            }
            if now > before || matches!(step, Step::Sleep) {
                let mut out = Vec::new();
                wheel.advance(now, &mut out);
                let mut due: Vec<Plain> = Vec::new();
                let mut later = Vec::new();
                for p in plain {
                    if p.tick <= now as u64 { due.push(p) } else { later.push(p) }
                }
                plain = later;
                due.sort_by_key(|p| (p.urgency, p.tick, p.started));
                let wanted: Vec<(TimerKey, usize)> = due.iter().map(|p| (p.key, p.started)).collect();
                let got: Vec<(TimerKey, usize)> = out.iter().map(|f| (f.key, f.value)).collect();
                prop_assert_eq!(got, wanted);
                for (f, p) in out.iter().zip(&due) {
                    prop_assert_eq!(f.late_by_ms, now - p.tick as f64);
                }
                gone.extend(due.iter().map(|p| p.key));
            }
            prop_assert_eq!(wheel.len(), plain.len());
        }
        // Keys of timers that are over name no other.
        for key in gone {
            prop_assert_eq!(wheel.cancel(key), None);
        }
        for p in plain {
            prop_assert_eq!(wheel.cancel(p.key), Some(p.started));
        }
        prop_assert!(wheel.is_empty());
        prop_assert_eq!(wheel.next_wakeup_at(), None);
    }
}

#[test]
fn after_a_stall_the_urgent_go_first_and_lateness_is_counted() {
    let mut wheel = TimerWheel::new(1.0, 20.0, 0.0);
    for n in 0..100 {
        let urgency = if n % 10 == 0 { Priority::High } else { Priority::Low };
        wheel.start(f64::from(n), 0.0, urgency, n);
    }
    let mut out = Vec::new();
    wheel.advance(550.0, &mut out);
    let order: Vec<i32> = out.iter().map(|f| f.value).collect();
    assert_eq!(order[..10], [0, 10, 20, 30, 40, 50, 60, 70, 80, 90]);
    assert!(order[10..].windows(2).all(|w| w[0] < w[1]));
    let late = wheel.lateness();
    assert_eq!((late.fired, late.late, late.max_late_ms), (100, 100, 549.0));
}

#[test]
fn slack_makes_one_wake_up_of_many() {
    let mut wheel = TimerWheel::new(1.0, 20.0, 0.0);
    for n in 0..1_000 {
        wheel.start(60_000.0 + f64::from(n), 1_000.0, Priority::Low, n);
    }
    let mut wakes = Vec::new();
    let mut out = Vec::new();
    while let Some(at) = wheel.next_wakeup_at() {
        let before = out.len();
        wheel.advance(at, &mut out);
        if out.len() > before {
            wakes.push((at, out.len() - before));
        }
    }
    assert_eq!(wakes, [(60_000.0, 1), (61_000.0, 999)]);
}

#[test]
fn places_are_used_again() {
    let mut wheel = TimerWheel::new(1.0, 20.0, 0.0);
    let mut out = Vec::new();
    for n in 0..10_000 {
        let now = f64::from(n);
        let key = wheel.start(now + 5.0, 0.0, Priority::High, n);
        if n % 2 == 0 {
            assert_eq!(wheel.cancel(key), Some(n));
        }
        wheel.advance(now, &mut out);
    }
    assert_eq!(out.len() + wheel.len(), 5_000);
    assert!(wheel.len() < 10);
}
