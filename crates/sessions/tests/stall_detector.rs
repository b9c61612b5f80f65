//! Deferral of time-outs while a process is starved of processor time.
use walnutline_sessions::stall_detector::StallDetector;

/// Each of these wake-ups comes 400 ms late, and would begin a deferral by itself.
#[test]
fn stalls_in_a_row_do_not_defer_timeouts_without_end() {
    let mut stall = StallDetector::default();
    let deferred: Vec<bool> = (1..20)
        .map(|wakeup| {
            let now = f64::from(wakeup) * 500.0;
            stall.expect_wakeup_at(now - 400.0);
            assert_eq!(stall.record_wakeup(now), Some(400.0));
            stall.timeouts_deferred_until(now).is_some()
        })
        .collect();
    assert!(deferred[0]);
    assert!(deferred.windows(2).all(|pair| pair != [true, true]), "{deferred:?}");
}

#[test]
fn each_stall_after_handled_timeouts_defers_them_again() {
    let mut stall = StallDetector::default();
    for stalled_at in [1_000.0, 5_000.0] {
        stall.expect_wakeup_at(stalled_at - 200.0);
        stall.record_wakeup(stalled_at);
        let until = stall.timeouts_deferred_until(stalled_at).expect("time-outs are deferred");
        stall.expect_wakeup_at(until);
        assert_eq!(stall.record_wakeup(until), None);
        assert_eq!(stall.timeouts_deferred_until(until), None);
    }
}
