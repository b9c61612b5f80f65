//! The daemon: sockets and coroutines round the live desk. It decides nothing.
//!
//! - [`hub`]: the one thread that owns the live desk; events come to it by a channel.
//! - [`viewer`]: viewers' connections; [`http`] reads their requests, [`door`] checks tokens, [`answer`] writes.
//! - [`watch`]: cuts off connections that are overdue.
//! - [`boxes`]: control connections. [`body`]: long answers, read as they come. [`list`]: the list of boxes.
//! - [`catalogue`]: titles and their places, known ahead of requests.
//! - [`clock`]: the one clock.
pub mod answer;
pub mod body;
pub mod boxes;
pub mod catalogue;
pub mod clock;
pub mod door;
pub mod http;
pub mod hub;
pub mod list;
pub mod viewer;
pub mod watch;

use clock::Clock;
use door::Door;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use walnutline_settings::{FrontSettings, ManifestSettings, ViewerLimits};

/// Stack of a coroutine, in words of 8 bytes. The deepest use is a token of the greatest nesting that is read;
/// `tests/stack.rs` measures it.
pub const STACK_WORDS: usize = 0x4000;

/// What all coroutines of one front share.
pub struct Shared {
    pub clock: Clock,
    pub door: Door,
    pub viewers: ViewerLimits,
    pub manifest: ManifestSettings,
    /// Rates of the ladder, and by service group its scale and floor.
    pub ladder: Vec<f64>,
    pub groups: Vec<GroupTerms>,
    pub public_url: String,
    pub catalogue: Option<Arc<catalogue::Known>>,
    pub hub: crossbeam_channel::Sender<hub::News>,
    pub watch: Arc<watch::Watch>,
    /// Set once the front takes no more viewers.
    pub stopping: AtomicBool,
    /// Viewers' connections open, and requests taken and not yet answered.
    pub connections: AtomicUsize,
    pub in_hand: AtomicUsize,
}

/// What the front's edge has to know of a service group.
pub struct GroupTerms {
    pub name: String,
    pub scale: f64,
    pub floor: u8,
    pub top: u8,
    pub patience: f64,
}

/// A front that runs.
pub struct Running {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Running {
    /// Puts the keys of another document in force; nothing else of it is taken over.
    pub fn reload_keys(&self, from: FrontSettings) {
        self.shared.door.reload(from.issuer_keys, from.session_keys);
    }

    /// Takes no more viewers, waits until all that are in hand are answered or `within` is over; returns how
    /// many are left.
    pub fn stop(&self, within: Duration) -> usize {
        self.shared.stopping.store(true, Ordering::SeqCst);
        let until = Instant::now() + within;
        loop {
            let left = self.shared.in_hand.load(Ordering::SeqCst);
            if left == 0 || Instant::now() >= until {
                return left;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Starts a front: binds, follows the list, takes viewers. `workers`: threads that run coroutines.
pub fn start(d: FrontSettings, workers: usize) -> io::Result<Running> {
    may::config().set_workers(workers).set_stack_size(STACK_WORDS);
    let listener = may::net::TcpListener::bind(d.listen_address)?;
    let address = listener.local_addr()?;
    let clock = Clock::start();
    let seed = d.seed.unwrap_or_else(|| clock.now().to_bits() ^ u64::from(std::process::id()));
    let group = |(n, (name, patience)): (usize, &(String, f64))| {
        let g = &d.policy.service_groups[n];
        GroupTerms {
            name: name.clone(),
            scale: g.rate_scale,
            floor: g.lowest_rung,
            top: g.highest_rung,
            patience: *patience,
        }
    };
    let known = d.catalogue.map(|terms| catalogue::start(terms, clock, d.timeouts, seed)).transpose()?;
    let (hub, news) = crossbeam_channel::unbounded();
    let shared = Arc::new(Shared {
        clock,
        door: Door::new(d.authorization, d.max_stored_proofs, d.issuer_keys, d.session_keys),
        viewers: d.viewer_limits,
        manifest: d.manifest,
        ladder: d.policy.rung_kb_per_s.clone(),
        groups: d.service_groups.iter().enumerate().map(group).collect(),
        public_url: d.public_url.unwrap_or_else(|| format!("http://{address}")),
        catalogue: known,
        hub,
        watch: watch::Watch::start(clock)?,
        stopping: AtomicBool::new(false),
        connections: AtomicUsize::new(0),
        in_hand: AtomicUsize::new(0),
    });
    hub::start(shared.clone(), news, d.policy, d.timeouts, seed)?;
    list::start(shared.clone(), d.list_address, d.list_path, d.timeouts, seed)?;
    viewer::start(shared.clone(), listener, seed)?;
    tracing::info!(%address, "front up");
    Ok(Running { address, shared })
}
