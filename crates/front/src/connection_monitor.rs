//! Times out viewers' connections.
//!
//! One thread scans all connections several times a second, which costs it a few loads for each. Coroutines that have
//! to wait a moment wait for its next scan.
//!
//! The timers of the coroutine library are not used, because they have two faults. Among many reads with different
//! time-outs, some never ended. And a sleep hands its coroutine to the timer's thread before it has finished its own
//! work on it: the timer may resume the coroutine at once, and its memory may be freed while the sleep still writes to
//! it. This happens with sleeps of zero length.
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use walnutline_settings::ViewerLimits;

use crate::clock::Clock;

/// Time between two scans.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// A connection that the monitor times out.
pub trait Monitored: Send + Sync {
    /// Whether the connection has timed out; true only once.
    fn take_expired(&self, now: f64) -> bool;
    /// Ends the connection's reads.
    fn shut_down(&self);
}

/// Monitors all viewers' connections.
#[derive(Default)]
pub struct ConnectionMonitor {
    connections: Mutex<Vec<Weak<dyn Monitored>>>,
    /// Coroutines that wait for the next scan.
    waiting: Mutex<Vec<may::coroutine::Coroutine>>,
}

impl ConnectionMonitor {
    /// Starts the monitor's thread.
    pub fn start(clock: Clock) -> std::io::Result<Arc<Self>> {
        let monitor = Arc::new(ConnectionMonitor::default());
        let scanner = monitor.clone();
        std::thread::Builder::new().name("watch".into()).spawn(move || loop {
            std::thread::sleep(SCAN_INTERVAL);
            scanner.scan(clock.now());
        })?;
        Ok(monitor)
    }

    /// Adds a connection, which is monitored until it is dropped.
    pub fn register<C: Monitored + 'static>(&self, connection: &Arc<C>) {
        let connection: Weak<dyn Monitored> = Arc::downgrade(&(connection.clone() as Arc<dyn Monitored>));
        self.connections.lock().unwrap_or_else(|e| e.into_inner()).push(connection);
    }

    /// Suspends the calling coroutine until the next scan.
    pub fn wait_for_next_scan(&self) {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner()).push(may::coroutine::current());
        may::coroutine::park();
    }

    /// Resumes the waiting coroutines and shuts down the connections that have timed out.
    fn scan(&self, now: f64) {
        let waiting = std::mem::take(&mut *self.waiting.lock().unwrap_or_else(|e| e.into_inner()));
        waiting.iter().for_each(|c| c.unpark());
        let mut expired = Vec::new();
        self.connections.lock().unwrap_or_else(|e| e.into_inner()).retain(|weak| match weak.upgrade() {
            Some(connection) => {
                if connection.take_expired(now) {
                    expired.push(connection);
                }
                true
            }
            None => false,
        });
        expired.into_iter().for_each(|connection| connection.shut_down());
    }
}

/// What a viewer's connection waits for, and since when.
pub struct ConnectionTimer {
    /// When the current wait began: Unix milliseconds, as the bits of an `f64`.
    since: AtomicU64,
    /// Whether a request is partially received.
    receiving: AtomicBool,
    /// Number of requests that are read and not yet answered.
    unanswered: AtomicUsize,
    expired: AtomicBool,
}

impl ConnectionTimer {
    /// The timer of a connection that is opened at `now`.
    pub fn new(now: f64) -> Self {
        ConnectionTimer {
            since: AtomicU64::new(now.to_bits()),
            receiving: AtomicBool::new(false),
            unanswered: AtomicUsize::new(0),
            expired: AtomicBool::new(false),
        }
    }

    /// Sets whether a request is partially received. The request time-out, or the idle time-out between requests,
    /// begins at `now`.
    pub fn set_receiving(&self, receiving: bool, now: f64) {
        self.since.store(now.to_bits(), Ordering::SeqCst);
        self.receiving.store(receiving, Ordering::SeqCst);
    }

    /// Records that a request was read and waits for its answer.
    pub fn request_received(&self) {
        self.unanswered.fetch_add(1, Ordering::SeqCst);
    }

    /// Records that a request was answered. The idle time begins unless the next request is already arriving.
    pub fn response_sent(&self, now: f64) {
        if !self.receiving.load(Ordering::SeqCst) {
            self.since.store(now.to_bits(), Ordering::SeqCst);
        }
        self.unanswered.fetch_sub(1, Ordering::SeqCst);
    }

    /// Whether [`Self::take_expired`] has returned true.
    pub fn has_expired(&self) -> bool {
        self.expired.load(Ordering::SeqCst)
    }

    /// Whether the connection has timed out; true only once.
    ///
    /// A request that is being received has the request time-out, from its first byte. Between requests the idle
    /// time-out applies. While a request waits for its answer there is no limit here.
    pub fn take_expired(&self, now: f64, limits: &ViewerLimits) -> bool {
        let timeout = match (self.receiving.load(Ordering::SeqCst), self.unanswered.load(Ordering::SeqCst)) {
            (true, _) => limits.request_timeout_ms,
            (false, 0) => limits.idle_timeout_ms,
            _ => return false,
        };
        let since = f64::from_bits(self.since.load(Ordering::SeqCst));
        now - since >= timeout && !self.expired.swap(true, Ordering::SeqCst)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_state_has_its_own_timeout() {
        let limits = ViewerLimits {
            max_connections: 1,
            max_header_bytes: 1,
            max_headers: 1,
            request_timeout_ms: 2_000.0,
            idle_timeout_ms: 60_000.0,
            max_pipelined: 1,
            write_timeout_ms: 1.0,
        };
        let timer = ConnectionTimer::new(0.0);
        assert!(!timer.take_expired(59_999.0, &limits));
        timer.set_receiving(true, 59_999.0);
        assert!(!timer.take_expired(61_998.0, &limits));
        // The request is complete: no limit while it waits for its answer.
        timer.set_receiving(false, 61_000.0);
        timer.request_received();
        assert!(!timer.take_expired(1e9, &limits));
        timer.response_sent(1e9);
        assert!(!timer.take_expired(1e9 + 59_999.0, &limits));
        timer.set_receiving(true, 1e9 + 59_999.0);
        assert!(timer.take_expired(1e9 + 61_999.0, &limits));
        assert!(!timer.take_expired(2e9, &limits), "reported only once");
        assert!(timer.has_expired());
    }
}
