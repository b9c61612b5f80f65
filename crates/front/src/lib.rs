//! The front daemon: the sockets and coroutines around the session manager, which makes all decisions.
//!
//! - [`hub`]: the thread that owns the session manager; all other parts send it events over a channel.
//! - [`viewer`]: viewers' connections. [`http`] parses their requests, [`authorizer`] checks tokens and proofs,
//!   [`response`] builds the answers.
//! - [`connection_monitor`]: times out viewers' connections.
//! - [`boxes`]: control connections to boxes.
//! - [`list`]: follows the list of boxes.
//! - [`catalogue`]: follows and stores the catalogue of titles.
//! - [`http_client`]: client for streamed responses, which fetches the list and the catalogue.
//! - [`clock`]: the clock of the process.
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

/// Stack size of a coroutine in words of 8 bytes. Decoding a token with the deepest nesting that is accepted needs
/// the most; `tests/stack.rs` checks that it fits.
pub const COROUTINE_STACK_WORDS: usize = 0x4000;

/// How often [`RunningFront::stop`] checks whether all requests are answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State that all threads and coroutines of one front share.
pub struct Shared {
    /// The clock of the process.
    pub clock: Clock,
    /// Checks viewers' requests and issues session tokens.
    pub authorizer: Authorizer,
    /// Limits on viewers' connections.
    pub viewer_limits: ViewerLimits,
    /// Times that apply to manifests and to the session tokens in them.
    pub manifest: ManifestSettings,
    /// Rate of each rung of the ladder.
    pub ladder_kb_per_s: Vec<f64>,
    /// Service groups by their index.
    pub service_groups: Vec<ServiceGroupSettings>,
    /// Base URL under which viewers reach this front.
    pub public_url: String,
    /// `None`: the front has no catalogue.
    pub catalogue: Option<Arc<catalogue::CatalogueHandle>>,
    /// Sends events to the hub.
    pub hub_events: crossbeam_channel::Sender<hub::HubEvent>,
    /// Times out viewers' connections.
    pub monitor: Arc<connection_monitor::ConnectionMonitor>,
    /// Whether the front is stopping and accepts no more sessions.
    pub stopping: AtomicBool,
    /// Number of open viewers' connections.
    pub open_connections: AtomicUsize,
    /// Number of requests that were accepted and are not answered yet.
    pub open_requests: AtomicUsize,
}

/// What requests and manifests need of a service group's settings.
pub struct ServiceGroupSettings {
    pub name: String,
    /// Factor on the ladder's rates.
    pub rate_scale: f64,
    pub lowest_rung: u8,
    pub highest_rung: u8,
    /// How long a viewer waits for its answer, unless the request states less.
    pub wait_limit_ms: f64,
}

/// A front that was started.
pub struct RunningFront {
    /// Address that the front listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl RunningFront {
    /// Replaces the keys by those in `settings`. The other settings stay as they were at the start.
    pub fn reload_keys(&self, settings: FrontSettings) {
        self.shared.authorizer.replace_keys(settings.issuer_keys, settings.session_keys);
    }

    /// Accepts no more sessions and waits until all open requests are answered, at most for `timeout`. Returns the
    /// number of requests that are still unanswered.
    pub fn stop(&self, timeout: Duration) -> usize {
        self.shared.stopping.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + timeout;
        loop {
            let unanswered = self.shared.open_requests.load(Ordering::SeqCst);
            if unanswered == 0 || Instant::now() >= deadline {
                return unanswered;
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }
}

/// Starts a front: listens for viewers and follows the list of boxes and the catalogue. `workers` is the number of
/// threads that run coroutines.
pub fn start(settings: FrontSettings, workers: usize) -> io::Result<RunningFront> {
    may::config().set_workers(workers).set_stack_size(COROUTINE_STACK_WORDS);
    let listener = may::net::TcpListener::bind(settings.listen_address)?;
    let address = listener.local_addr()?;
    let clock = Clock::start();
    let seed = settings.seed.unwrap_or_else(|| clock.now().to_bits() ^ u64::from(std::process::id()));
    let service_group = |(n, (name, wait_limit_ms)): (usize, &(String, f64))| {
        let group = &settings.policy.service_groups[n];
        ServiceGroupSettings {
            name: name.clone(),
            rate_scale: group.rate_scale,
            lowest_rung: group.lowest_rung,
            highest_rung: group.highest_rung,
            wait_limit_ms: *wait_limit_ms,
        }
    };
    let catalogue =
        settings.catalogue.map(|c| catalogue::start(c, clock, settings.timeouts, seed)).transpose()?;
    let (hub_events, events) = crossbeam_channel::unbounded();
    let shared = Arc::new(Shared {
        clock,
        authorizer: Authorizer::new(
            settings.authorization,
            settings.max_stored_proofs,
            settings.issuer_keys,
            settings.session_keys,
        ),
        viewer_limits: settings.viewer_limits,
        manifest: settings.manifest,
        ladder_kb_per_s: settings.policy.rung_kb_per_s.clone(),
        service_groups: settings.service_groups.iter().enumerate().map(service_group).collect(),
        public_url: settings.public_url.unwrap_or_else(|| format!("http://{address}")),
        catalogue,
        hub_events,
        monitor: connection_monitor::ConnectionMonitor::start(clock)?,
        stopping: AtomicBool::new(false),
        open_connections: AtomicUsize::new(0),
        open_requests: AtomicUsize::new(0),
    });
    hub::start(shared.clone(), events, settings.policy, settings.timeouts, seed)?;
    list::start(shared.clone(), settings.list_address, settings.list_path, settings.timeouts, seed)?;
    viewer::start(shared.clone(), listener, seed)?;
    tracing::info!(%address, "front up");
    Ok(RunningFront { address, shared })
}
