//! The clock of the process: Unix time in milliseconds that never goes backwards.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts Unix milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_ms_at_start: f64,
}

impl Clock {
    /// Reads the wall clock once. Later adjustments of the wall clock have no effect.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_ms_at_start: since_epoch.as_secs_f64() * 1_000.0 }
    }

    /// The current time in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.unix_ms_at_start + self.started.elapsed().as_secs_f64() * 1_000.0
    }
}
