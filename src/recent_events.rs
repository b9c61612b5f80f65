//! Counts of recent events in bounded memory, whatever their rate.
use crate::ids::Ms;
use std::collections::VecDeque;

/// Number of parts of the window that are told apart. Events in the same part are kept as one run.
const RUNS_PER_WINDOW: f64 = 1_024.0;

/// Events that followed one another closely.
#[derive(Debug, Clone, Copy)]
struct Run {
    first_at: Ms,
    last_at: Ms,
    count: u64,
}

/// The times of the events within a sliding window, to a fraction of the window. Holds at most one run for each part of
/// the window, and one more.
#[derive(Debug, Default)]
pub struct RecentEvents {
    /// Oldest first.
    runs: VecDeque<Run>,
}

impl RecentEvents {
    /// Records an event, and forgets those that are older than the window.
    pub fn record(&mut self, now: Ms, window: Ms) {
        while self.runs.front().is_some_and(|run| run.last_at < now - window) {
            self.runs.pop_front();
        }
        match self.runs.back_mut() {
            Some(run) if now - run.first_at <= window / RUNS_PER_WINDOW => {
                run.last_at = run.last_at.max(now);
                run.count += 1;
            }
            _ => self.runs.push_back(Run { first_at: now, last_at: now, count: 1 }),
        }
    }

    /// Number of events that came after `cutoff`. A run that may have begun before it is left out.
    pub fn at_least_after(&self, cutoff: Ms) -> u64 {
        self.runs.iter().filter(|run| run.first_at > cutoff).map(|run| run.count).sum()
    }

    /// Number of events that came at `cutoff` or after it. A run that ended after it counts as a whole.
    pub fn at_most_since(&self, cutoff: Ms) -> u64 {
        self.runs.iter().filter(|run| run.last_at >= cutoff).map(|run| run.count).sum()
    }

    /// Number of runs kept, to which the memory in use is proportional.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no event is kept.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
