//! Compares the timer wheel with a sorted list, for arbitrary due times, cancellations and stalls.
use proptest::prelude::*;
use walnutline_wheel::{Priority, TimerKey, TimerWheel};

#[derive(Debug, Clone)]
enum Step {
    Start {
        after: f64,
        slack: f64,
        high_priority: bool,
    },
    Cancel(prop::sample::Index),
    AdvanceBy(f64),
    /// Advances to the time that the wheel returns from `next_wakeup_at`.
    AdvanceToWakeup,
}

fn steps() -> impl Strategy<Value = Step> {
    let after = prop_oneof![4 => -5.0..50.0f64, 2 => 0.0..5_000.0f64, 1 => 0.0..1e8f64, 1 => Just(1e13)];
    let slack = prop_oneof![Just(0.0), Just(16.0), 0.0..200.0f64];
    prop_oneof![
        5 => (after, slack, any::<bool>()).prop_map(|(after, slack, high_priority)| Step::Start { after, slack, high_priority }),
        2 => any::<prop::sample::Index>().prop_map(Step::Cancel),
        3 => prop_oneof![0.0..10.0f64, 0.0..1_000.0f64, 0.0..1e7f64].prop_map(Step::AdvanceBy),
        2 => Just(Step::AdvanceToWakeup),
    ]
}

/// A timer of the sorted list; its value is the number of the step that started it.
struct ExpectedTimer {
    priority: Priority,
    due_tick: u64,
    step_number: usize,
    key: TimerKey,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn fires_and_cancels_like_a_sorted_list(from in 0.0..1e9f64, steps in prop::collection::vec(steps(), 1..200)) {
        let mut now = from;
        let mut wheel = TimerWheel::new(1.0, 20.0, now);
        let (mut expected, mut ended): (Vec<ExpectedTimer>, Vec<TimerKey>) = (Vec::new(), Vec::new());
        for (step_number, step) in steps.into_iter().enumerate() {
            let before = now;
            match step {
                Step::Start { after, slack, high_priority } => {
                    let priority = if high_priority { Priority::High } else { Priority::Low };
                    let due = now + after;
                    let key = wheel.start(due, slack, priority, step_number);
                    let multiple = (slack as u64).max(1);
                    let due_tick =
                        ((due.ceil().max(0.0) as u64).div_ceil(multiple) * multiple).max(now as u64 + 1);
                    expected.push(ExpectedTimer { priority, due_tick, step_number, key });
                }
                Step::Cancel(which) if !expected.is_empty() => {
                    let cancelled = expected.swap_remove(which.index(expected.len()));
                    prop_assert_eq!(wheel.cancel(cancelled.key), Some(cancelled.step_number));
                    ended.push(cancelled.key);
                }
                Step::Cancel(_) => {}
                Step::AdvanceBy(ms) => now += ms,
                Step::AdvanceToWakeup => now = now.max(wheel.next_wakeup_at().unwrap_or(now)),
            }
            if let Some(at) = wheel.next_wakeup_at() {
                let first = expected.iter().map(|e| e.due_tick).min();
                prop_assert!(first.is_some_and(|tick| at <= tick as f64), "wakes up after a timer is due");
            } else {
                prop_assert!(expected.is_empty());
            }
            if now > before || matches!(step, Step::AdvanceToWakeup) {
                let mut out = Vec::new();
                wheel.advance(now, &mut out);
                let mut due: Vec<ExpectedTimer> = Vec::new();
                let mut later = Vec::new();
                for e in expected {
                    if e.due_tick <= now as u64 { due.push(e) } else { later.push(e) }
                }
                expected = later;
                due.sort_by_key(|e| (e.priority, e.due_tick, e.step_number));
                let wanted: Vec<(TimerKey, usize)> = due.iter().map(|e| (e.key, e.step_number)).collect();
                let got: Vec<(TimerKey, usize)> = out.iter().map(|f| (f.key, f.value)).collect();
                prop_assert_eq!(got, wanted);
                for (fired, e) in out.iter().zip(&due) {
                    prop_assert_eq!(fired.late_by_ms, now - e.due_tick as f64);
                }
                ended.extend(due.iter().map(|e| e.key));
            }
            prop_assert_eq!(wheel.len(), expected.len());
        }
        // The key of an ended timer never cancels another one that reuses its entry.
        for key in ended {
            prop_assert_eq!(wheel.cancel(key), None);
        }
        for e in expected {
            prop_assert_eq!(wheel.cancel(e.key), Some(e.step_number));
        }
        prop_assert!(wheel.is_empty());
        prop_assert_eq!(wheel.next_wakeup_at(), None);
    }
}

#[test]
fn after_a_stall_high_priority_fires_first_and_late_timers_are_counted() {
    let mut wheel = TimerWheel::new(1.0, 20.0, 0.0);
    for n in 0..100 {
        let priority = if n % 10 == 0 { Priority::High } else { Priority::Low };
        wheel.start(f64::from(n), 0.0, priority, n);
    }
    let mut out = Vec::new();
    wheel.advance(550.0, &mut out);
    let order: Vec<i32> = out.iter().map(|f| f.value).collect();
    assert_eq!(order[..10], [0, 10, 20, 30, 40, 50, 60, 70, 80, 90]);
    assert!(order[10..].windows(2).all(|w| w[0] < w[1]));
    let stats = wheel.lateness();
    assert_eq!((stats.fired, stats.late, stats.max_late_ms), (100, 100, 549.0));
}

#[test]
fn slack_combines_wake_ups() {
    let mut wheel = TimerWheel::new(1.0, 20.0, 0.0);
    for n in 0..1_000 {
        wheel.start(60_000.0 + f64::from(n), 1_000.0, Priority::Low, n);
    }
    let mut wakeups = Vec::new();
    let mut out = Vec::new();
    while let Some(at) = wheel.next_wakeup_at() {
        let before = out.len();
        wheel.advance(at, &mut out);
        if out.len() > before {
            wakeups.push((at, out.len() - before));
        }
    }
    assert_eq!(wakeups, [(60_000.0, 1), (61_000.0, 999)]);
}

#[test]
fn slab_entries_are_reused() {
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
