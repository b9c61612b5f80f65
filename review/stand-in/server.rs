//! A server: sessions that it sets up and ends, and the connections of one front node. Each front node reaches it at an
//! address of that node's own.
use crate::record;
use crate::rtsp::{self, Message, Reader};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a set-up takes.
const SETUP_MS: u64 = 20;

/// What a connection is still good for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Use {
    Open,
    /// It stays open, but nothing more comes through in either direction.
    Dead,
    /// The server knows nothing of it any more; what still comes in on it is answered with a reset.
    Forgotten,
    Closed,
}

struct Connection {
    stream: Option<TcpStream>,
    state: Use,
}

#[derive(Default)]
struct State {
    connections: Vec<Connection>,
    /// Sessions that stand, with the connection of their set-up.
    sessions: BTreeMap<u64, usize>,
    /// Releases that are sent on the next connection as well.
    repeat: Vec<(u64, u32)>,
    /// Set-ups that came in: when, which, and on which connection.
    setups: Vec<(f64, u64, usize)>,
    given_up: BTreeSet<u64>,
    delay_ms: BTreeMap<u64, u64>,
    lost_answers: BTreeSet<u64>,
    cut_answers: BTreeSet<u64>,
    /// The machine has vanished: it says nothing.
    vanished: bool,
}

/// An address, and the server that has it now.
#[derive(Clone)]
pub struct Address {
    pub address: SocketAddr,
    occupant: Arc<Mutex<Option<Server>>>,
    /// Connections that came in while no server had the address.
    unserved: Arc<Mutex<Vec<TcpStream>>>,
    /// The stand-in's own connections that fill the accept queue: while they do, further ones don't come up.
    filling: Arc<Mutex<Filling>>,
}

#[derive(Default)]
struct Filling {
    held: bool,
    streams: Vec<TcpStream>,
    addresses: BTreeSet<SocketAddr>,
}

impl Address {
    fn start() -> Result<Address, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let place =
            Address { address, occupant: Arc::default(), unserved: Arc::default(), filling: Arc::default() };
        let shared = place.clone();
        std::thread::spawn(move || {
            while let Ok((stream, from)) = listener.accept() {
                while shared.filling.lock().unwrap().held {
                    std::thread::sleep(Duration::from_millis(2));
                }
                if shared.filling.lock().unwrap().addresses.contains(&from) {
                    continue;
                }
                let occupant = shared.occupant.lock().unwrap().clone();
                match occupant {
                    Some(server) if !server.state.lock().unwrap().vanished => server.accept(stream),
                    _ => shared.unserved.lock().unwrap().push(stream),
                }
            }
        });
        Ok(place)
    }

    /// From now on, new connections don't come up: the accept queue is full.
    pub fn hold_new_connections(&self) {
        self.filling.lock().unwrap().held = true;
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(60)) {
            let mut filling = self.filling.lock().unwrap();
            let _ = stream.local_addr().map(|address| filling.addresses.insert(address));
            filling.streams.push(stream);
        }
        record::line("network", &format!("new connections to {} come up late from now on", self.address));
    }

    pub fn resume(&self) {
        let mut filling = self.filling.lock().unwrap();
        filling.held = false;
        filling.streams.clear();
        record::line("network", &format!("new connections to {} come up again", self.address));
    }

    /// Connections that came in while no server had the address.
    pub fn unserved_count(&self) -> usize {
        self.unserved.lock().unwrap().len()
    }
}

#[derive(Clone)]
pub struct Server {
    /// Its id in the list.
    pub name: String,
    /// Its name in the record.
    label: String,
    pub place: Address,
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts a server at an address of its own.
    pub fn start(name: &str) -> Result<Server, String> {
        Server::start_for(name, "")
    }

    /// Starts the address of a server for one of several nodes.
    pub fn start_for(name: &str, node: &str) -> Result<Server, String> {
        Ok(Server::create(name, format!("{name} {node}"), &Address::start()?))
    }

    /// Starts a server at an address whose earlier server has gone.
    pub fn start_at(name: &str, place: &Address) -> Server {
        Server::create(name, name.to_owned(), place)
    }

    fn create(name: &str, label: String, place: &Address) -> Server {
        let server = Server { name: name.to_owned(), label, place: place.clone(), state: Arc::default() };
        let before = place.occupant.lock().unwrap().replace(server.clone());
        record::line(&server.label, &format!("started at {}", place.address));
        // The machine that has the address now knows nothing of the connections of the one before it.
        before.into_iter().for_each(|s| s.forget_connections());
        server
    }

    fn accept(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut state = self.state.lock().unwrap();
        let index = state.connections.len();
        record::line(&self.label, &format!("connection {index} opened"));
        for (id, cause) in std::mem::take(&mut state.repeat) {
            record::line(
                &self.label,
                &format!("-> release {id:016x} cause={cause} on connection {index}, once more"),
            );
            let _ = stream.write_all(rtsp::release(id, cause).as_bytes());
        }
        let Ok(clone) = stream.try_clone() else { return };
        state.connections.push(Connection { stream: Some(clone), state: Use::Open });
        drop(state);
        let server = self.clone();
        std::thread::spawn(move || server.read(stream, index));
    }

    fn read(&self, stream: TcpStream, index: usize) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = Reader::new(clone);
        while self.wait_for_input(&stream, index) {
            let Some(message) = reader.next() else { break };
            self.handle(index, &message);
        }
        let mut state = self.state.lock().unwrap();
        state.connections[index].state = Use::Closed;
        record::line(&self.label, &format!("connection {index} ended"));
    }

    fn use_of(&self, index: usize) -> Use {
        self.state.lock().unwrap().connections[index].state
    }

    /// Waits for bytes without taking them. On a dead connection they stay unread. What comes in on a forgotten one is
    /// answered with a reset: it is closed with that unread.
    fn wait_for_input(&self, stream: &TcpStream, index: usize) -> bool {
        let mut bytes = [0; 512];
        let mut unheard = 0;
        loop {
            let arrived = match stream.peek(&mut bytes) {
                Ok(n) if n > 0 => n,
                _ => return false,
            };
            match self.use_of(index) {
                Use::Open => return true,
                Use::Dead if arrived > unheard => {
                    let text = String::from_utf8_lossy(&bytes[unheard..arrived]).replace("\r\n", " | ");
                    record::line(&self.label, &format!("(unheard on connection {index}) {text}"));
                    unheard = arrived;
                }
                Use::Dead => std::thread::sleep(Duration::from_millis(5)),
                Use::Forgotten => {
                    record::line(&self.label, &format!("connection {index} is not known here: reset"));
                    // The last handle is dropped with unread bytes, which resets the connection.
                    self.state.lock().unwrap().connections[index].stream = None;
                    return false;
                }
                Use::Closed => return false,
            }
        }
    }

    fn handle(&self, index: usize, message: &Message) {
        let id = message.id();
        let cseq = message.field("CSeq").unwrap_or("0").to_owned();
        match message.method() {
            "SETUP" => {
                record::line(&self.label, &format!("<- {} on connection {index}", message.summary()));
                let mut state = self.state.lock().unwrap();
                state.setups.push((record::now(), id, index));
                state.given_up.remove(&id);
                let delay = state.delay_ms.get(&id).copied().unwrap_or(SETUP_MS);
                let server = self.clone();
                drop(state);
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(delay));
                    server.set_up(index, id);
                });
            }
            "TEARDOWN" => {
                record::line(&self.label, &format!("<- {} on connection {index}", message.summary()));
                let mut state = self.state.lock().unwrap();
                state.given_up.insert(id);
                state.sessions.remove(&id);
                self.write(&mut state, index, &rtsp::answer("200 OK", &cseq, id, "", ""));
            }
            "OPTIONS" => {
                let mut state = self.state.lock().unwrap();
                let report = if message.first_line().contains("/load") {
                    format!("X-Circuits: inflight:{};x0:0.1\r\n", state.sessions.len())
                } else {
                    String::new()
                };
                record::line(&self.label, &format!("<- {} on connection {index}", message.first_line()));
                self.write(&mut state, index, &rtsp::answer("200 OK", &cseq, id, &report, ""));
            }
            _ => {}
        }
    }

    /// The session is set up and stands, unless it was given up in the meantime.
    fn set_up(&self, index: usize, id: u64) {
        let mut state = self.state.lock().unwrap();
        if state.vanished || state.given_up.contains(&id) || state.connections[index].state != Use::Open {
            return;
        }
        if state.lost_answers.remove(&id) {
            record::line(
                &self.label,
                &format!("the answer to {id:016x} is lost; connection {index} stays open and dead"),
            );
            state.connections[index].state = Use::Dead;
            return;
        }
        if state.cut_answers.remove(&id) {
            record::line(
                &self.label,
                &format!("the answer to {id:016x} stops short; connection {index} stays open and dead"),
            );
            let text = rtsp::answer("200 OK", "1", id, "", "");
            self.write(&mut state, index, &text[..40]);
            state.connections[index].state = Use::Dead;
            return;
        }
        state.sessions.insert(id, index);
        record::line(&self.label, &format!("-> 200 to SETUP {id:016x} on connection {index}"));
        self.write(
            &mut state,
            index,
            &rtsp::answer("200 OK", "1", id, "", &format!("server={}\r\n", self.name)),
        );
    }

    /// Writes to a connection. What is written to a dead one is lost.
    fn write(&self, state: &mut State, index: usize, text: &str) {
        let Connection { stream, state } = &mut state.connections[index];
        if let (Use::Open, Some(stream)) = (*state, stream) {
            let _ = stream.write_all(text.as_bytes());
        }
    }

    /// A session has come to its end: its release goes out on the connection of its set-up, otherwise on any open one,
    /// and on the next one opened as well. Returns when it ended.
    pub fn end_session(&self, id: u64) -> Option<f64> {
        let mut state = self.state.lock().unwrap();
        let of_setup = state.sessions.remove(&id)?;
        let known = |c: &Connection| matches!(c.state, Use::Open | Use::Dead);
        let index = if known(&state.connections[of_setup]) {
            Some(of_setup)
        } else {
            state.connections.iter().position(known)
        };
        match index {
            Some(index) => {
                record::line(&self.label, &format!("-> release {id:016x} cause=16 on connection {index}"));
                self.write(&mut state, index, &rtsp::release(id, 16));
            }
            None => record::line(
                &self.label,
                &format!("session {id:016x} has ended; no connection is open for its release"),
            ),
        }
        state.repeat.push((id, 16));
        Some(record::now())
    }

    /// The server forgets its idle connections, without a word to the front node.
    pub fn forget_connections(&self) {
        let mut state = self.state.lock().unwrap();
        for (index, connection) in state.connections.iter_mut().enumerate() {
            if matches!(connection.state, Use::Open | Use::Dead) {
                record::line(&self.label, &format!("forgets connection {index}"));
                connection.state = Use::Forgotten;
            }
        }
    }

    pub fn delay(&self, id: u64, ms: u64) {
        self.state.lock().unwrap().delay_ms.insert(id, ms);
    }

    pub fn cut_answer(&self, id: u64) {
        self.state.lock().unwrap().cut_answers.insert(id);
    }

    pub fn lose_answer(&self, id: u64) {
        self.state.lock().unwrap().lost_answers.insert(id);
    }

    /// Whether a session stands, and the connection of its set-up.
    pub fn session(&self, id: u64) -> Option<usize> {
        self.state.lock().unwrap().sessions.get(&id).copied()
    }

    pub fn setups(&self) -> Vec<(f64, u64, usize)> {
        self.state.lock().unwrap().setups.clone()
    }

    /// The machine vanishes: its open connections stay open and silent, and its sessions are over.
    pub fn vanish(&self) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.vanished = true;
        state.sessions.clear();
        for connection in state.connections.iter_mut().filter(|c| c.state == Use::Open) {
            connection.state = Use::Dead;
        }
        record::line(&self.label, "its machine has vanished");
        record::now()
    }

    /// The process ends in order: its connections are closed.
    pub fn shut_down(&self) {
        *self.place.occupant.lock().unwrap() = None;
        let mut state = self.state.lock().unwrap();
        for connection in state.connections.iter_mut() {
            let _ = connection.stream.as_ref().map(|s| s.shutdown(std::net::Shutdown::Both));
        }
        record::line(&self.label, "its process has ended");
    }
}
