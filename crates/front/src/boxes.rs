//! Control connections to boxes: one coroutine reads, one writes. They turn messages to bytes and back; what a
//! message means for a session is the desk's to say.
use crate::hub::{HubEvent, SessionContext};
use crate::Shared;
use may::net::TcpStream;
use may::sync::mpsc;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use walnutline::ids::ServerId;
use walnutline_control::rtsp::{self, ControlRequest, Message, MessageReader};
use walnutline_sessions::session_manager::{LoadReport, ResponseStatus, ServerMessage, ServerRequest};

pub enum OutgoingMessage {
    Request {
        cseq: u32,
        request: ServerRequest<SessionContext>,
    },
    /// The answer to a message of the box.
    Response {
        cseq: u32,
        status: u16,
    },
}

/// The hub's end of an open connection.
pub struct BoxConnection {
    pub sender: mpsc::Sender<OutgoingMessage>,
    /// The socket once more, to shut it whatever its coroutines wait for.
    pub socket: std::net::TcpStream,
}

impl BoxConnection {
    pub fn shut_down(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// How far writing has come. Both sides look at both: what the reader reports as not begun is never written
/// after that.
#[derive(Default)]
struct Progress {
    begun: AtomicU32,
    closed: AtomicBool,
}

/// Opens a connection. No time-out here or at writing: the desk gives up on what takes too long, and the hub then
/// shuts the socket.
pub fn connect(shared: Arc<Shared>, server: ServerId, conn: u64, address: SocketAddr) {
    let run = move || {
        let opened = TcpStream::connect(address).and_then(|s| {
            s.set_nodelay(true)?;
            Ok((s.inner().try_clone()?, s.try_clone()?, s))
        });
        let (to_shut, to_write, to_read) = match opened {
            Ok(halves) => halves,
            Err(e) => {
                tracing::debug!(server = server.0, %address, "no control connection: {e}");
                let _ = shared.hub_events.send(HubEvent::ConnectionFailed { server, conn });
                return;
            }
        };
        let (out, outs) = mpsc::channel();
        let progress = Arc::new(Progress::default());
        let _ = shared.hub_events.send(HubEvent::ConnectionOpened {
            server,
            conn,
            connection: BoxConnection { sender: out.clone(), socket: to_shut },
        });
        let (s, p) = (shared.clone(), progress.clone());
        spawn(move || write(&s, server, address, to_write, outs, &p));
        let why = read(&shared, server, conn, to_read, out);
        progress.closed.store(true, Ordering::SeqCst);
        let begun = progress.begun.load(Ordering::SeqCst);
        tracing::debug!(server = server.0, conn, begun, "control connection closed: {why}");
        let _ = shared.hub_events.send(HubEvent::ConnectionClosed { server, conn, last_cseq: begun });
    };
    spawn(run);
}

/// Starts a coroutine. One that is not started for want of memory is logged, not passed over.
pub fn spawn(run: impl FnOnce() + Send + 'static) {
    // Sound here: coroutines of this crate keep no thread-local state across a point where they yield.
    if let Err(e) = unsafe { may::coroutine::Builder::new().spawn(run) } {
        tracing::error!("coroutine not started: {e}");
    }
}

fn write(
    shared: &Shared,
    server: ServerId,
    address: SocketAddr,
    mut stream: TcpStream,
    outs: mpsc::Receiver<OutgoingMessage>,
    progress: &Progress,
) {
    let host = address.to_string();
    while let Ok(first) = outs.recv() {
        let mut bytes = Vec::new();
        for out in std::iter::once(first).chain(outs.try_iter().take(63)) {
            let message = match out {
                OutgoingMessage::Response { cseq, status } => {
                    Message::Response { cseq, status, session: None, parameters: Vec::new() }
                }
                OutgoingMessage::Request { cseq, request: what } => {
                    progress.begun.fetch_max(cseq, Ordering::SeqCst);
                    if progress.closed.load(Ordering::SeqCst) {
                        return;
                    }
                    let Some(request) = ask(shared, server, what) else {
                        // Nothing may be left out of the numbers that the box sees.
                        tracing::error!("no session key is in force: connection to box given up");
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    };
                    Message::Request { cseq, request }
                }
            };
            match rtsp::encode(&message, &host) {
                Ok(b) => bytes.extend(b),
                Err(e) => tracing::error!(server = server.0, "{e}"),
            }
        }
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn ask(shared: &Shared, server: ServerId, what: ServerRequest<SessionContext>) -> Option<ControlRequest> {
    Some(match what {
        ServerRequest::Setup { id, context: of, rung } => ControlRequest::Setup {
            title: of.title.clone(),
            service_group: shared.service_groups[of.group_index].name.clone(),
            rung,
            front_session: id.0,
            token: of.session_token(shared, server, shared.clock.now())?,
        },
        ServerRequest::Probe => ControlRequest::GetParameter(
            [rtsp::STREAMS, rtsp::LINK_USE, rtsp::UPLINK_USE].map(str::to_owned).to_vec(),
        ),
        ServerRequest::SetRung { session, rung } => ControlRequest::SetParameter {
            session: Some(session),
            parameters: vec![(rtsp::RUNG.to_owned(), f64::from(rung))],
        },
        ServerRequest::Teardown { session } => ControlRequest::Teardown { session },
    })
}

/// Reads until the connection ends; says why it did.
fn read(
    shared: &Shared,
    server: ServerId,
    conn: u64,
    mut stream: TcpStream,
    out: mpsc::Sender<OutgoingMessage>,
) -> String {
    let (mut reader, mut bytes) = (MessageReader::default(), vec![0; 8_192]);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return "its end".into(),
            Ok(n) => reader.push(&bytes[..n]),
            Err(e) => return e.to_string(),
        }
        loop {
            match reader.next_message() {
                Ok(None) => break,
                Ok(Some(message)) => {
                    if let Some(told) = told(message, &out) {
                        let _ =
                            shared.hub_events.send(HubEvent::MessageReceived { server, conn, message: told });
                    }
                }
                Err(bad) => {
                    tracing::warn!(server = server.0, "{bad}");
                    let _ = stream.shutdown(Shutdown::Both);
                    return bad.to_string();
                }
            }
        }
    }
}

fn told(message: Message, out: &mpsc::Sender<OutgoingMessage>) -> Option<ServerMessage> {
    match message {
        Message::Response { cseq, status, session, parameters } => {
            let outcome = match status {
                200..=299 => ResponseStatus::Success { session },
                rtsp::NOT_ENOUGH_BANDWIDTH | rtsp::SERVICE_UNAVAILABLE => ResponseStatus::Busy,
                // Not final: the answer is still to come.
                100..=199 => return None,
                _ => ResponseStatus::Error,
            };
            Some(ServerMessage::Response { cseq, status: outcome, report: report(&parameters) })
        }
        Message::Request { cseq, request } => {
            let (status, told) = match request {
                ControlRequest::SetParameter { parameters, .. } => {
                    match parameters.iter().find(|(n, _)| n == rtsp::DELIVERED_SHARE) {
                        Some((_, share)) => (200, Some(ServerMessage::DeliveredShare(*share))),
                        None => (200, Some(ServerMessage::LoadReport(report(&parameters)))),
                    }
                }
                ControlRequest::Teardown { session } => (200, Some(ServerMessage::SessionEnded { session })),
                _ => (501, None),
            };
            let _ = out.send(OutgoingMessage::Response { cseq, status });
            told
        }
    }
}

fn report(figures: &[(String, f64)]) -> LoadReport {
    let find = |name: &str| figures.iter().find(|(n, _)| n == name).map(|(_, v)| *v);
    LoadReport {
        streams: find(rtsp::STREAMS),
        link_use: find(rtsp::LINK_USE),
        uplink_use: find(rtsp::UPLINK_USE),
    }
}
