//! Cuts off viewers' connections that are overdue. One thread looks over all of them several times a second: each
//! costs it a few loads. Coroutines that have to wait a moment wait for its next look.
//!
//! The coroutine library's own timers are not used. Of many reads with unlike time-outs some never ended; and a sleep
//! hands its coroutine to the timer's thread before it is done with it, so that one of no length may be over, and
//! its memory gone, while the sleep still writes there.
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use walnutline_settings::ViewerLimits;

use crate::clock::Clock;

const LOOK: Duration = Duration::from_millis(50);

pub trait Watched: Send + Sync {
    /// Whether it has to be cut off now; says so once.
    fn overdue(&self, now: f64) -> bool;
    fn cut(&self);
}

#[derive(Default)]
pub struct Watch {
    all: Mutex<Vec<Weak<dyn Watched>>>,
    pausing: Mutex<Vec<may::coroutine::Coroutine>>,
}

impl Watch {
    pub fn start(clock: Clock) -> std::io::Result<Arc<Self>> {
        let watch = Arc::new(Watch::default());
        let w = watch.clone();
        std::thread::Builder::new().name("watch".into()).spawn(move || loop {
            std::thread::sleep(LOOK);
            w.look(clock.now());
        })?;
        Ok(watch)
    }

    pub fn add<W: Watched + 'static>(&self, one: &Arc<W>) {
        let one: Weak<dyn Watched> = Arc::downgrade(&(one.clone() as Arc<dyn Watched>));
        self.all.lock().unwrap_or_else(|e| e.into_inner()).push(one);
    }

    /// Lets a coroutine wait for the next look.
    pub fn pause(&self) {
        self.pausing.lock().unwrap_or_else(|e| e.into_inner()).push(may::coroutine::current());
        may::coroutine::park();
    }

    fn look(&self, now: f64) {
        let pausing = std::mem::take(&mut *self.pausing.lock().unwrap_or_else(|e| e.into_inner()));
        pausing.iter().for_each(|c| c.unpark());
        let mut cut = Vec::new();
        self.all.lock().unwrap_or_else(|e| e.into_inner()).retain(|one| match one.upgrade() {
            Some(one) => {
                if one.overdue(now) {
                    cut.push(one);
                }
                true
            }
            None => false,
        });
        cut.into_iter().for_each(|one| one.cut());
    }
}

/// What a viewer's connection is waiting for, and since when.
pub struct Patience {
    since: AtomicU64,
    /// A request has begun to come in and is not whole.
    partial: AtomicBool,
    /// Requests read and not yet answered.
    waiting: AtomicUsize,
    over: AtomicBool,
}

impl Patience {
    pub fn new(now: f64) -> Self {
        Patience {
            since: AtomicU64::new(now.to_bits()),
            partial: AtomicBool::new(false),
            waiting: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        }
    }

    /// A request begins to come in; or, where one was just read whole, whether the next one already has.
    pub fn begun(&self, partial: bool, now: f64) {
        self.since.store(now.to_bits(), Ordering::SeqCst);
        self.partial.store(partial, Ordering::SeqCst);
    }

    pub fn taken(&self) {
        self.waiting.fetch_add(1, Ordering::SeqCst);
    }

    pub fn answered(&self, now: f64) {
        if !self.partial.load(Ordering::SeqCst) {
            self.since.store(now.to_bits(), Ordering::SeqCst);
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// A request that comes in has its time from its first byte on; between requests there is the idle time;
    /// while an answer is owed there is no limit here.
    pub fn overdue(&self, now: f64, limits: &ViewerLimits) -> bool {
        let allowed = match (self.partial.load(Ordering::SeqCst), self.waiting.load(Ordering::SeqCst)) {
            (true, _) => limits.request_timeout_ms,
            (false, 0) => limits.idle_timeout_ms,
            _ => return false,
        };
        let since = f64::from_bits(self.since.load(Ordering::SeqCst));
        now - since >= allowed && !self.over.swap(true, Ordering::SeqCst)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_state_has_its_own_time() {
        let limits = ViewerLimits {
            max_connections: 1,
            max_header_bytes: 1,
            max_headers: 1,
            request_timeout_ms: 2_000.0,
            idle_timeout_ms: 60_000.0,
            max_pipelined: 1,
            write_timeout_ms: 1.0,
        };
        let p = Patience::new(0.0);
        assert!(!p.overdue(59_999.0, &limits));
        p.begun(true, 59_999.0);
        assert!(!p.overdue(61_998.0, &limits));
        // Read whole and taken: no limit while its answer is owed.
        p.begun(false, 61_000.0);
        p.taken();
        assert!(!p.overdue(1e9, &limits));
        p.answered(1e9);
        assert!(!p.overdue(1e9 + 59_999.0, &limits));
        p.begun(true, 1e9 + 59_999.0);
        assert!(p.overdue(1e9 + 61_999.0, &limits));
        assert!(!p.overdue(2e9, &limits), "said once");
        assert!(p.is_over());
    }
}
