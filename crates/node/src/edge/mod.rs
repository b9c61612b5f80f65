//! Sockets, threads and signals round the core. It decides nothing.
//!
//! - [`hub`]: the one thread that owns the core and polls all sockets.
//! - [`socket`]: a connection, read and written without waiting.
//!
//! Signals and the reading of a configuration have threads of their own: neither waits for the other, or holds up
//! the hub.
mod hub;
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

/// What signals lead to.
pub(crate) enum News {
    Configured(Box<configuration::Configuration>),
    /// When the signal came.
    Stop {
        at: Ms,
    },
}

/// Unix milliseconds that never run backwards: the wall clock is read once, then the steady one counts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
    unix: Ms,
}

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_secs_f64() * 1_000.0 }
    }

    pub fn now(&self) -> Ms {
        self.unix + self.started.elapsed().as_secs_f64() * 1_000.0
    }
}

/// What a node is told when it starts.
pub struct Start {
    pub listen: SocketAddr,
    pub file: std::path::PathBuf,
}

fn load(start: &Start) -> Result<configuration::Configuration, String> {
    let name = start.file.display();
    let text = std::fs::read_to_string(&start.file).map_err(|e| format!("{name}: {e}"))?;
    configuration::parse(&text).map_err(|e| format!("{name}: {e}"))
}

/// Tells the hub.
#[derive(Clone)]
struct ToHub {
    news: Sender<News>,
    waker: Arc<Waker>,
}

impl ToHub {
    fn tell(&self, news: News) {
        if self.news.send(news).is_ok() {
            let _ = self.waker.wake();
        }
    }
}

/// Runs a node until it is told to stop and owes nothing any more.
pub fn run(start: Start) -> Result<(), String> {
    let clock = Clock::start();
    // First of all: unheard, a signal would end the process.
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGHUP,
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .map_err(|e| format!("signals: {e}"))?;
    let told = load(&start)?;
    let peers = told.peer_listen_address.and_then(|at| match UdpSocket::bind(at) {
        Ok(socket) => Some(socket),
        // Without them it serves all the same.
        Err(e) => {
            tracing::warn!("datagrams of other nodes: {at}: {e}");
            None
        }
    });
    let node = Node::new(told, clock.now())?;
    let bound = socket::listen(start.listen).and_then(|l| Ok((l.local_addr()?, l)));
    let (address, listener) = bound.map_err(|e| format!("{}: {e}", start.listen))?;
    let names =
        UdpSocket::bind(SocketAddr::from(([0, 0, 0, 0], 0))).map_err(|e| format!("datagrams: {e}"))?;
    let polled = || -> std::io::Result<_> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), hub::SIGNALS)?);
        Ok((hub::Hub::new(node, clock, poll, listener, names, peers)?, waker))
    };
    let (hub, waker) = polled().map_err(|e| format!("poll: {e}"))?;
    let (news, heard) = channel();
    let to_hub = ToHub { news, waker };
    thread("hub", move || hub.run(&heard))?;
    let (reload, reloads) = channel();
    let to = to_hub.clone();
    thread("configuration", move || reload_all(&start, &reloads, &to))?;
    tracing::info!(target: "walnutline::mode", listen = %address, "node up");
    for signal in signals.forever() {
        if signal != signal_hook::consts::SIGHUP {
            to_hub.tell(News::Stop { at: clock.now() });
        } else if reload.send(()).is_err() {
            break;
        }
    }
    Ok(())
}

fn thread(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let built = std::thread::Builder::new().name(name.into()).stack_size(256 * 1024).spawn(run);
    built.map(drop).map_err(|e| format!("thread {name}: {e}"))
}

/// Reads the configuration again, one time after the other: the last reading is told last.
fn reload_all(start: &Start, reloads: &Receiver<()>, hub: &ToHub) {
    for () in reloads {
        match load(start) {
            Ok(told) => hub.tell(News::Configured(Box::new(told))),
            Err(e) => tracing::error!("the configuration stays as it was: {e}"),
        }
    }
}
