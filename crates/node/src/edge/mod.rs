//! Sockets, threads and signals around the core. All decisions are made in the core.
//!
//! - [`hub`]: the one thread that owns the core and polls all sockets.
//! - [`read_queue`]: the order in which connections are read.
//! - [`socket`]: a non-blocking TCP connection with its write backlog.
//!
//! Signals are received on the thread that calls [`run`], and configuration files are read on a thread of
//! their own, so that neither delays the other or the hub.
mod hub;
mod read_queue;
mod socket;

use mio::net::UdpSocket;
use mio::{Poll, Waker};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use walnutline::ids::Ms;
use walnutline_platform::configuration;

use crate::core::Node;

/// A message from the other threads to the hub.
pub(crate) enum HubMessage {
    /// A configuration that was read after SIGHUP.
    Reconfigure(Box<configuration::Configuration>),
    /// SIGTERM or SIGINT.
    Stop {
        /// When the signal arrived.
        at: Ms,
    },
}

/// A clock of Unix milliseconds that never goes back: the wall clock is read once, at the start, and a
/// monotonic clock counts from there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started_at: Instant,
    started_unix_ms: Ms,
}

impl Clock {
    fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), started_unix_ms: unix_time.as_secs_f64() * 1_000.0 }
    }

    /// Returns the current time in Unix milliseconds.
    pub fn now(&self) -> Ms {
        self.started_unix_ms + self.started_at.elapsed().as_secs_f64() * 1_000.0
    }
}

/// What the command line passes to a node at its start.
pub struct StartOptions {
    /// Address that viewers connect to.
    pub listen_address: SocketAddr,
    /// File that the configuration is read from, at the start and on every SIGHUP.
    pub configuration_path: std::path::PathBuf,
}

fn load_configuration(options: &StartOptions) -> Result<configuration::Configuration, String> {
    let path = options.configuration_path.display();
    let text = std::fs::read_to_string(&options.configuration_path).map_err(|e| format!("{path}: {e}"))?;
    configuration::parse(&text).map_err(|e| format!("{path}: {e}"))
}

/// Sends messages to the hub and wakes it from its poll.
#[derive(Clone)]
struct HubSender {
    messages: Sender<HubMessage>,
    waker: Arc<Waker>,
}

impl HubSender {
    fn send(&self, message: HubMessage) {
        if self.messages.send(message).is_ok() {
            let _ = self.waker.wake();
        }
    }
}

/// Runs a node until the process ends: after SIGTERM or SIGINT, the hub exits once every open request has
/// been answered. Returns an error when the node cannot start.
pub fn run(options: StartOptions) -> Result<(), String> {
    let clock = Clock::start();
    // Registered before anything else: a signal without a handler would end the process.
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGHUP,
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .map_err(|e| format!("signals: {e}"))?;
    let configuration = load_configuration(&options)?;
    let peers = configuration.peer_listen_address.and_then(|address| match UdpSocket::bind(address) {
        Ok(socket) => Some(socket),
        // The node also works without the reports of other nodes.
        Err(e) => {
            tracing::warn!("datagrams of other nodes: {address}: {e}");
            None
        }
    });
    let node = Node::new(configuration, clock.now())?;
    let bound =
        socket::listen(options.listen_address).and_then(|listener| Ok((listener.local_addr()?, listener)));
    let (address, listener) = bound.map_err(|e| format!("{}: {e}", options.listen_address))?;
    let name_service = UdpSocket::bind(SocketAddr::from(([0, 0, 0, 0], 0)))
        .map_err(|e| format!("socket for the name service: {e}"))?;
    let create_hub = || -> std::io::Result<_> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), hub::WAKER_TOKEN)?);
        Ok((hub::Hub::new(node, clock, poll, listener, name_service, peers)?, waker))
    };
    let (hub, waker) = create_hub().map_err(|e| format!("poll: {e}"))?;
    let (message_sender, message_receiver) = channel();
    let hub_sender = HubSender { messages: message_sender, waker };
    spawn_thread("hub", move || hub.run(&message_receiver))?;
    let (reload_sender, reload_receiver) = channel();
    let configuration_sender = hub_sender.clone();
    spawn_thread("configuration", move || serve_reloads(&options, &reload_receiver, &configuration_sender))?;
    tracing::info!(target: "walnutline::mode", listen = %address, "node up");
    for signal in signals.forever() {
        if signal != signal_hook::consts::SIGHUP {
            hub_sender.send(HubMessage::Stop { at: clock.now() });
        } else if reload_sender.send(()).is_err() {
            break;
        }
    }
    Ok(())
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let spawned = std::thread::Builder::new().name(name.into()).stack_size(256 * 1024).spawn(run);
    spawned.map(drop).map_err(|e| format!("thread {name}: {e}"))
}

/// Reads the configuration file once for each request, in order, so that the hub receives the latest content
/// last.
fn serve_reloads(options: &StartOptions, requests: &Receiver<()>, hub: &HubSender) {
    for () in requests {
        match load_configuration(options) {
            Ok(configuration) => hub.send(HubMessage::Reconfigure(Box::new(configuration))),
            Err(e) => tracing::error!("the configuration stays as it was: {e}"),
        }
    }
}
