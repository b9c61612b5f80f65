//! Sockets, threads and signals round the core. It decides nothing.
//!
//! - [`hub`]: the one thread that owns the core; events come to it by a bounded channel.
//! - [`socket`]: one coroutine a connection reads; the hub writes, and never waits for it.
mod hub;
mod socket;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use walnutline::ids::Ms;
use walnutline_platform::{configuration, names};

use crate::core::Node;
use crate::exchange::{ConnId, End};
use crate::limits;

/// Stack of a coroutine, in words of 8 bytes: a piece of bytes read, and room for a few calls.
const STACK_WORDS: usize = 0x1000;

/// Stacks kept for new coroutines. They are used in turn, so that each one kept is touched sooner or later: more of
/// them is memory that grows with the connections that come and go.
const POOL: usize = 16;

pub(crate) enum News {
    Accepted(Arc<socket::Socket>),
    Connected(ConnId),
    Bytes {
        conn: ConnId,
        at: Ms,
        bytes: Vec<u8>,
        piece: socket::Piece,
    },
    Closed {
        conn: ConnId,
        end: End,
    },
    Datagram {
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Peer {
        from: SocketAddr,
        bytes: Vec<u8>,
    },
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
    configuration::read(&text).map_err(|e| format!("{name}: {e}"))
}

/// Runs a node until it is told to stop and owes nothing any more.
pub fn run(start: &Start) -> Result<(), String> {
    let clock = Clock::start();
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(POOL);
    let told = load(start)?;
    let peers = told.peer_listen.and_then(|at| match UdpSocket::bind(at) {
        Ok(socket) => Some(Arc::new(socket)),
        // Without them it serves all the same.
        Err(e) => {
            tracing::warn!("datagrams of other nodes: {at}: {e}");
            None
        }
    });
    let node = Node::new(told, clock.now())?;
    let bound = socket::listen(start.listen).and_then(|l| Ok((l.local_addr()?, l)));
    let (address, listener) = bound.map_err(|e| format!("{}: {e}", start.listen))?;
    let names = UdpSocket::bind("0.0.0.0:0").map_err(|e| format!("datagrams: {e}"))?;
    let names = Arc::new(names);
    let (news, events) = crossbeam_channel::bounded(limits::QUEUE);
    let (signalled, signals_in) = crossbeam_channel::unbounded();
    let gate = Arc::new(socket::Gate::new(node.most_viewers()));
    let thread = |name: &str, run: Box<dyn FnOnce() + Send>| -> Result<(), String> {
        let built = std::thread::Builder::new().name(name.into()).stack_size(256 * 1024).spawn(run);
        built.map(drop).map_err(|e| format!("thread {name}: {e}"))
    };
    let (to_hub, socket) = (news.clone(), names.clone());
    thread(
        "names",
        Box::new(move || {
            hear(&socket, names::LONGEST, &to_hub, |from, bytes| News::Datagram { from, bytes })
        }),
    )?;
    if let Some(socket) = peers.clone() {
        let to_hub = news.clone();
        // A byte more than is allowed: a longer one is told from one of that length.
        let room = walnutline_platform::peers::LONGEST + 1;
        thread(
            "peers",
            Box::new(move || hear(&socket, room, &to_hub, |from, bytes| News::Peer { from, bytes })),
        )?;
    }
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGHUP,
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .map_err(|e| format!("signals: {e}"))?;
    socket::accept(listener, news.clone(), gate.clone()).map_err(|e| format!("accept: {e}"))?;
    let ended = hub::Hub::new(node, clock, names, peers, news.clone(), gate);
    thread("hub", Box::new(move || ended.run(&events, &signals_in)))?;
    tracing::info!(target: "walnutline::mode", listen = %address, "node up");
    for signal in signals.forever() {
        let said = if signal == signal_hook::consts::SIGHUP {
            match load(start) {
                Ok(told) => News::Configured(Box::new(told)),
                Err(e) => {
                    tracing::error!("the configuration stays as it was: {e}");
                    continue;
                }
            }
        } else {
            News::Stop { at: clock.now() }
        };
        if signalled.send(said).is_err() {
            break;
        }
    }
    Ok(())
}

/// Hears datagrams. Errors of a socket without a connection tell of earlier sends and are passed over.
fn hear(
    socket: &UdpSocket,
    longest: usize,
    hub: &crossbeam_channel::Sender<News>,
    news: fn(SocketAddr, Vec<u8>) -> News,
) {
    let mut buffer = vec![0; longest];
    loop {
        match socket.recv_from(&mut buffer) {
            Ok((n, from)) => {
                if hub.send(news(from, buffer[..n].to_vec())).is_err() {
                    return;
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => std::thread::sleep(std::time::Duration::from_millis(10)),
        }
    }
}
