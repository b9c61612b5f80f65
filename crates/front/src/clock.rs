//! The one clock of a process: Unix milliseconds that never run backwards.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: f64,
}

impl Clock {
    /// Reads the wall clock once; from then on only the steady clock counts.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_secs_f64() * 1_000.0 }
    }

    pub fn now(&self) -> f64 {
        self.unix + self.started.elapsed().as_secs_f64() * 1_000.0
    }
}
