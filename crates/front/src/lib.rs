//! The daemon: sockets and coroutines round the live desk. It decides nothing.
//!
//! - [`hub`]: the one thread that owns the live desk; events come to it by a channel.
//! - [`viewer`]: viewers' connections; [`http`] reads their requests, [`door`] checks tokens, [`answer`] writes.
//! - [`watch`]: cuts off connections that are overdue.
//! - [`boxes`]: control connections. [`body`]: long answers, read as they come. [`list`]: the list of boxes.
//! - [`catalogue`]: titles and their places, known ahead of requests.
//! - [`clock`]: the one clock.
pub mod authorizer;
pub mod boxes;
pub mod catalogue;
pub mod clock;
pub mod connection_monitor;
pub mod http;
pub mod http_client;
pub mod hub;
pub mod list;
pub mod response;
pub mod viewer;

use authorizer::Authorizer;
use clock::Clock;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use walnutline_settings::{FrontSettings, ManifestSettings, ViewerLimits};

/// Stack of a coroutine, in words of 8 bytes. The deepest use is a token of the greatest nesting that is read;
/// `tests/stack.rs` measures it.
pub const COROUTINE_STACK_WORDS: usize = 0x4000;

/// What all coroutines of one front share.
pub struct Shared {
    pub clock: Clock,
    pub authorizer: Authorizer,
    pub viewer_limits: ViewerLimits,
    pub manifest: ManifestSettings,
    /// Rates of the ladder, and by service group its scale and floor.
    pub ladder_kb_per_s: Vec<f64>,
    pub service_groups: Vec<ServiceGroupSettings>,
    pub public_url: String,
    pub catalogue: Option<Arc<catalogue::CatalogueHandle>>,
    pub hub_events: crossbeam_channel::Sender<hub::HubEvent>,
    pub monitor: Arc<connection_monitor::ConnectionMonitor>,
    /// Set once the front takes no more viewers.
    pub stopping: AtomicBool,
    /// Viewers' connections open, and requests taken and not yet answered.
    pub open_connections: AtomicUsize,
    pub open_requests: AtomicUsize,
}

/// What the front's edge has to know of a service group.
pub struct ServiceGroupSettings {
    pub name: String,
    pub rate_scale: f64,
    pub lowest_rung: u8,
    pub highest_rung: u8,
    pub wait_limit_ms: f64,
}

/// A front that runs.
pub struct RunningFront {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl RunningFront {
    /// Puts the keys of another document in force; nothing else of it is taken over.
    pub fn reload_keys(&self, from: FrontSettings) {
        self.shared.authorizer.replace_keys(from.issuer_keys, from.session_keys);
    }

    /// Takes no more viewers, waits until all that are in hand are answered or `within` is over; returns how
    /// many are left.
    pub fn stop(&self, within: Duration) -> usize {
        self.shared.stopping.store(true, Ordering::SeqCst);
        let until = Instant::now() + within;
        loop {
            let left = self.shared.open_requests.load(Ordering::SeqCst);
            if left == 0 || Instant::now() >= until {
                return left;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Starts a front: binds, follows the list, takes viewers. `workers`: threads that run coroutines.
pub fn start(d: FrontSettings, workers: usize) -> io::Result<RunningFront> {
    may::config().set_workers(workers).set_stack_size(COROUTINE_STACK_WORDS);
    let listener = may::net::TcpListener::bind(d.listen_address)?;
    let address = listener.local_addr()?;
    let clock = Clock::start();
    let seed = d.seed.unwrap_or_else(|| clock.now().to_bits() ^ u64::from(std::process::id()));
    let group = |(n, (name, wait_limit_ms)): (usize, &(String, f64))| {
        let g = &d.policy.service_groups[n];
        ServiceGroupSettings {
            name: name.clone(),
            rate_scale: g.rate_scale,
            lowest_rung: g.lowest_rung,
            highest_rung: g.highest_rung,
            wait_limit_ms: *wait_limit_ms,
        }
    };
    let known = d.catalogue.map(|terms| catalogue::start(terms, clock, d.timeouts, seed)).transpose()?;
    let (hub_events, events) = crossbeam_channel::unbounded();
    let shared = Arc::new(Shared {
        clock,
        authorizer: Authorizer::new(d.authorization, d.max_stored_proofs, d.issuer_keys, d.session_keys),
        viewer_limits: d.viewer_limits,
        manifest: d.manifest,
        ladder_kb_per_s: d.policy.rung_kb_per_s.clone(),
        service_groups: d.service_groups.iter().enumerate().map(group).collect(),
        public_url: d.public_url.unwrap_or_else(|| format!("http://{address}")),
        catalogue: known,
        hub_events,
        monitor: connection_monitor::ConnectionMonitor::start(clock)?,
        stopping: AtomicBool::new(false),
        open_connections: AtomicUsize::new(0),
        open_requests: AtomicUsize::new(0),
    });
    hub::start(shared.clone(), events, d.policy, d.timeouts, seed)?;
    list::start(shared.clone(), d.list_address, d.list_path, d.timeouts, seed)?;
    viewer::start(shared.clone(), listener, seed)?;
    tracing::info!(%address, "front up");
    Ok(RunningFront { address, shared })
}
