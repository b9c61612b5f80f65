//! Viewers: a connection to a front node, and what came in on it.
use crate::record;
use crate::rtsp::{self, Message, Reader};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Viewer {
    name: String,
    stream: Mutex<TcpStream>,
    received: Arc<Mutex<Vec<(f64, Message)>>>,
}

/// What a viewer asks for.
pub struct Wish {
    pub id: u64,
    pub title: u64,
    pub home: u32,
    pub copies: u32,
    pub wait_ms: u32,
    pub class: &'static str,
}

impl Wish {
    /// The set-up, with more parameters of its destination.
    fn to_text(&self, more: &str) -> String {
        let body = format!("v={:x}\r\nc=IN IP4 127.0.0.1\r\n", self.id);
        format!(
            "SETUP rtsp://media/{:016x} RTSP/1.0\r\nCSeq: 1\r\nSession: {:016x}\r\nX-Call-Class: {}\r\nX-Ring-Limit: {}\r\nX-Dest: home:{};copies:{};top:1;viewer:{:016x}{more}\r\nContent-Length: {}\r\n\r\n{body}",
            self.title, self.id, self.class, self.wait_ms, self.home, self.copies, self.id, body.len()
        )
    }
}

/// What a client that doesn't behave has sent and been answered.
#[derive(Default)]
pub struct Flood {
    pub refused: AtomicU64,
    pub other: AtomicU64,
    pub stopped: AtomicBool,
}

/// Sends hundreds of requests for one title at once, and the same again as soon as it is turned away, at full speed and
/// each under a new id. It reads whatever it is sent.
pub fn flood(node: SocketAddr, first_id: u64, count: u64, wish: &Wish, flood: &Flood) {
    let Ok(mut stream) = TcpStream::connect(node) else { return };
    let mut reader = match stream.try_clone() {
        Ok(stream) => Reader::new(stream),
        Err(_) => return,
    };
    let (mut id, mut open) = (first_id, 0);
    while !flood.stopped.load(Ordering::Relaxed) {
        let mut text = String::new();
        while open < count {
            text += &Wish { id, ..*wish }.to_text("");
            (id, open) = (id + 1, open + 1);
        }
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        while open > 0 {
            let Some(message) = reader.next() else { return };
            open -= 1;
            match message.status() {
                Some(503) => flood.refused.fetch_add(1, Ordering::Relaxed),
                _ => flood.other.fetch_add(1, Ordering::Relaxed),
            };
        }
    }
}

impl Viewer {
    pub fn connect(name: &str, node: SocketAddr) -> Result<Viewer, String> {
        let stream = TcpStream::connect(node).map_err(|e| format!("viewer: {e}"))?;
        let _ = stream.set_nodelay(true);
        let received = Arc::new(Mutex::new(Vec::new()));
        let mut reader = Reader::new(stream.try_clone().map_err(|e| e.to_string())?);
        let mut writer = stream.try_clone().map_err(|e| e.to_string())?;
        let (messages, own_name) = (received.clone(), name.to_owned());
        std::thread::spawn(move || {
            while let Some(message) = reader.next() {
                record::line(&own_name, &format!("<- {}", message.summary()));
                if message.method() == "TEARDOWN" {
                    let cseq = message.field("CSeq").unwrap_or("2").to_owned();
                    let _ = writer.write_all(rtsp::answer("200 OK", &cseq, message.id(), "", "").as_bytes());
                }
                messages.lock().unwrap().push((record::now(), message));
            }
            record::line(&own_name, "connection ended");
        });
        Ok(Viewer { name: name.to_owned(), stream: Mutex::new(stream), received })
    }

    pub fn send_setup(&self, wish: &Wish) -> Result<(), String> {
        record::line(&self.name, &format!("-> SETUP {:016x} title {:x}", wish.id, wish.title));
        self.stream.lock().unwrap().write_all(wish.to_text("").as_bytes()).map_err(|e| format!("viewer: {e}"))
    }

    /// Hands over a session that plays at a server.
    pub fn hand_over(&self, wish: &Wish, server: &str) -> Result<(), String> {
        let text = wish.to_text(&format!(";at:{server}"));
        self.stream.lock().unwrap().write_all(text.as_bytes()).map_err(|e| format!("viewer: {e}"))
    }

    /// The final answer to a set-up, waited for until `timeout_ms` from now.
    pub fn answer(&self, id: u64, timeout_ms: u64) -> Option<u16> {
        let is_answer = |m: &Message| m.id() == id && m.status().is_some_and(|s| s >= 200);
        self.wait(timeout_ms, is_answer).and_then(|(_, m)| m.status())
    }

    /// When the release of a session came, waited for until `timeout_ms` from now.
    pub fn release(&self, id: u64, timeout_ms: u64) -> Option<f64> {
        self.wait(timeout_ms, |m| m.method() == "TEARDOWN" && m.id() == id).map(|(at, _)| at)
    }

    fn wait(&self, timeout_ms: u64, wanted: impl Fn(&Message) -> bool) -> Option<(f64, Message)> {
        let until = Instant::now() + Duration::from_millis(timeout_ms);
        loop {
            let found = self.received.lock().unwrap().iter().find(|(_, m)| wanted(m)).cloned();
            if found.is_some() || Instant::now() >= until {
                return found;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Tests a node until it passes, for 10 s at most.
pub fn wait_until_ready(node: SocketAddr) -> Result<(), String> {
    for _ in 0..200 {
        std::thread::sleep(Duration::from_millis(50));
        let Ok(mut stream) = TcpStream::connect(node) else { continue };
        let test = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: 00000000000000ff\r\nContent-Length: 0\r\n\r\n";
        if stream.write_all(test.as_bytes()).is_ok()
            && Reader::new(stream).next().is_some_and(|m| m.status() == Some(200))
        {
            return Ok(());
        }
    }
    Err("the node did not become ready".into())
}
