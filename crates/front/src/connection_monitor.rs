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

const SCAN_INTERVAL: Duration = Duration::from_millis(50);

pub trait Monitored: Send + Sync {
    /// Whether it has to be cut off now; says so once.
    fn take_expired(&self, now: f64) -> bool;
    fn shut_down(&self);
}

#[derive(Default)]
pub struct ConnectionMonitor {
    connections: Mutex<Vec<Weak<dyn Monitored>>>,
    waiting: Mutex<Vec<may::coroutine::Coroutine>>,
}

impl ConnectionMonitor {
    pub fn start(clock: Clock) -> std::io::Result<Arc<Self>> {
        let watch = Arc::new(ConnectionMonitor::default());
        let w = watch.clone();
        std::thread::Builder::new().name("watch".into()).spawn(move || loop {
            std::thread::sleep(SCAN_INTERVAL);
            w.scan(clock.now());
        })?;
        Ok(watch)
    }

    pub fn register<W: Monitored + 'static>(&self, one: &Arc<W>) {
        let one: Weak<dyn Monitored> = Arc::downgrade(&(one.clone() as Arc<dyn Monitored>));
        self.connections.lock().unwrap_or_else(|e| e.into_inner()).push(one);
    }

    /// Lets a coroutine wait for the next look.
    pub fn wait_for_next_scan(&self) {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner()).push(may::coroutine::current());
        may::coroutine::park();
    }

    fn scan(&self, now: f64) {
        let pausing = std::mem::take(&mut *self.waiting.lock().unwrap_or_else(|e| e.into_inner()));
        pausing.iter().for_each(|c| c.unpark());
        let mut cut = Vec::new();
        self.connections.lock().unwrap_or_else(|e| e.into_inner()).retain(|one| match one.upgrade() {
            Some(one) => {
                if one.take_expired(now) {
                    cut.push(one);
                }
                true
            }
            None => false,
        });
        cut.into_iter().for_each(|one| one.shut_down());
    }
}

/// What a viewer's connection is waiting for, and since when.
pub struct ConnectionTimer {
    since: AtomicU64,
    /// A request has begun to come in and is not whole.
    partial: AtomicBool,
    /// Requests read and not yet answered.
    waiting: AtomicUsize,
    over: AtomicBool,
}

impl ConnectionTimer {
    pub fn new(now: f64) -> Self {
        ConnectionTimer {
            since: AtomicU64::new(now.to_bits()),
            partial: AtomicBool::new(false),
            waiting: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        }
    }

    /// A request begins to come in; or, where one was just read whole, whether the next one already has.
    pub fn set_receiving(&self, partial: bool, now: f64) {
        self.since.store(now.to_bits(), Ordering::SeqCst);
        self.partial.store(partial, Ordering::SeqCst);
    }

    pub fn request_received(&self) {
        self.waiting.fetch_add(1, Ordering::SeqCst);
    }

    pub fn response_sent(&self, now: f64) {
        if !self.partial.load(Ordering::SeqCst) {
            self.since.store(now.to_bits(), Ordering::SeqCst);
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
    }

    pub fn has_expired(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// A request that comes in has its time from its first byte on; between requests there is the idle time;
    /// while an answer is owed there is no limit here.
    pub fn take_expired(&self, now: f64, limits: &ViewerLimits) -> bool {
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
        let p = ConnectionTimer::new(0.0);
        assert!(!p.take_expired(59_999.0, &limits));
        p.set_receiving(true, 59_999.0);
        assert!(!p.take_expired(61_998.0, &limits));
        // Read whole and taken: no limit while its answer is owed.
        p.set_receiving(false, 61_000.0);
        p.request_received();
        assert!(!p.take_expired(1e9, &limits));
        p.response_sent(1e9);
        assert!(!p.take_expired(1e9 + 59_999.0, &limits));
        p.set_receiving(true, 1e9 + 59_999.0);
        assert!(p.take_expired(1e9 + 61_999.0, &limits));
        assert!(!p.take_expired(2e9, &limits), "said once");
        assert!(p.has_expired());
    }
}
