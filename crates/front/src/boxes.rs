//! Control connections to boxes.
//!
//! Each connection has two coroutines: one reads, the other writes. They only translate between bytes and messages;
//! what a message means for a session is decided by the session manager.
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

/// Maximum number of messages that are written to a box at once.
const MAX_WRITE_BATCH: usize = 64;

/// A message for the writer of a connection.
pub enum OutgoingMessage {
    /// A request of the session manager.
    Request { cseq: u32, request: ServerRequest<SessionContext> },
    /// The response to a request of the box.
    Response { cseq: u32, status: u16 },
}

/// The hub's handle of an open connection.
pub struct BoxConnection {
    /// Passes messages to the writer.
    pub sender: mpsc::Sender<OutgoingMessage>,
    /// A duplicate of the socket, to close it while its coroutines are blocked on it.
    pub socket: std::net::TcpStream,
}

impl BoxConnection {
    /// Shuts the socket down, which ends both coroutines.
    pub fn shut_down(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// Progress of the writer, shared with the reader.
///
/// The writer stores `last_cseq` before it checks `closed`; the reader sets `closed` before it loads `last_cseq`. So a
/// request that the reader reports as not begun is never written afterwards.
#[derive(Default)]
struct WriteProgress {
    /// CSeq of the last request that the writer has begun to write.
    last_cseq: AtomicU32,
    /// Whether the reader has found the connection closed.
    closed: AtomicBool,
}

/// Opens a connection. Connecting and writing have no time-out here: the session manager gives up on a connection that
/// takes too long, and the hub then shuts its socket down.
pub fn connect(shared: Arc<Shared>, server: ServerId, conn: u64, address: SocketAddr) {
    let run = move || {
        let opened = TcpStream::connect(address).and_then(|s| {
            s.set_nodelay(true)?;
            Ok((s.inner().try_clone()?, s.try_clone()?, s))
        });
        let (socket, write_half, read_half) = match opened {
            Ok(halves) => halves,
            Err(e) => {
                tracing::debug!(server = server.0, %address, "control connection could not be opened: {e}");
                let _ = shared.hub_events.send(HubEvent::ConnectionFailed { server, conn });
                return;
            }
        };
        let (sender, messages) = mpsc::channel();
        let progress = Arc::new(WriteProgress::default());
        let _ = shared.hub_events.send(HubEvent::ConnectionOpened {
            server,
            conn,
            connection: BoxConnection { sender: sender.clone(), socket },
        });
        let (writer_shared, writer_progress) = (shared.clone(), progress.clone());
        spawn(move || {
            write_messages(&writer_shared, server, address, write_half, messages, &writer_progress)
        });
        let why = read_messages(&shared, server, conn, read_half, sender);
        progress.closed.store(true, Ordering::SeqCst);
        let last_cseq = progress.last_cseq.load(Ordering::SeqCst);
        tracing::debug!(server = server.0, conn, begun = last_cseq, "control connection closed: {why}");
        let _ = shared.hub_events.send(HubEvent::ConnectionClosed { server, conn, last_cseq });
    };
    spawn(run);
}

/// Starts a coroutine. A failure, for example for lack of memory, is logged.
pub fn spawn(run: impl FnOnce() + Send + 'static) {
    // SAFETY: coroutines of this crate keep no thread-local state across a point where they yield.
    if let Err(e) = unsafe { may::coroutine::Builder::new().spawn(run) } {
        tracing::error!("coroutine not started: {e}");
    }
}

fn write_messages(
    shared: &Shared,
    server: ServerId,
    address: SocketAddr,
    mut stream: TcpStream,
    messages: mpsc::Receiver<OutgoingMessage>,
    progress: &WriteProgress,
) {
    let host = address.to_string();
    while let Ok(first) = messages.recv() {
        let mut bytes = Vec::new();
        for outgoing in std::iter::once(first).chain(messages.try_iter().take(MAX_WRITE_BATCH - 1)) {
            let message = match outgoing {
                OutgoingMessage::Response { cseq, status } => {
                    Message::Response { cseq, status, session: None, parameters: Vec::new() }
                }
                OutgoingMessage::Request { cseq, request } => {
                    progress.last_cseq.fetch_max(cseq, Ordering::SeqCst);
                    if progress.closed.load(Ordering::SeqCst) {
                        return;
                    }
                    let Some(request) = control_request(shared, server, request) else {
                        // Skipping the request would leave a gap in the CSeqs that the box receives.
                        tracing::error!("no session key is in force: connection to box given up");
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    };
                    Message::Request { cseq, request }
                }
            };
            match rtsp::encode(&message, &host) {
                Ok(encoded) => bytes.extend(encoded),
                Err(e) => tracing::error!(server = server.0, "{e}"),
            }
        }
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// The request as it goes to the box. `None`: it needs a session token, and no session key is in force.
fn control_request(
    shared: &Shared,
    server: ServerId,
    request: ServerRequest<SessionContext>,
) -> Option<ControlRequest> {
    Some(match request {
        ServerRequest::Setup { id, context, rung } => ControlRequest::Setup {
            title: context.title.clone(),
            service_group: shared.service_groups[context.group_index].name.clone(),
            rung,
            front_session: id.0,
            token: context.session_token(shared, server, shared.clock.now())?,
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

/// Reads until the connection ends; returns the reason.
fn read_messages(
    shared: &Shared,
    server: ServerId,
    conn: u64,
    mut stream: TcpStream,
    sender: mpsc::Sender<OutgoingMessage>,
) -> String {
    let (mut reader, mut bytes) = (MessageReader::default(), vec![0; 8_192]);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return "closed by the box".into(),
            Ok(n) => reader.push(&bytes[..n]),
            Err(e) => return e.to_string(),
        }
        loop {
            match reader.next_message() {
                Ok(None) => break,
                Ok(Some(message)) => {
                    if let Some(message) = server_message(message, &sender) {
                        let event = HubEvent::MessageReceived { server, conn, message };
                        let _ = shared.hub_events.send(event);
                    }
                }
                Err(error) => {
                    tracing::warn!(server = server.0, "{error}");
                    let _ = stream.shutdown(Shutdown::Both);
                    return error.to_string();
                }
            }
        }
    }
}

/// Converts a message of the box for the session manager; a request of the box is also responded to. `None`: the
/// session manager has no use for it.
fn server_message(message: Message, sender: &mpsc::Sender<OutgoingMessage>) -> Option<ServerMessage> {
    match message {
        Message::Response { cseq, status, session, parameters } => {
            let status = match status {
                200..=299 => ResponseStatus::Success { session },
                rtsp::NOT_ENOUGH_BANDWIDTH | rtsp::SERVICE_UNAVAILABLE => ResponseStatus::Busy,
                // Provisional: the final response is still to come.
                100..=199 => return None,
                _ => ResponseStatus::Error,
            };
            Some(ServerMessage::Response { cseq, status, report: load_report(&parameters) })
        }
        Message::Request { cseq, request } => {
            let (status, message) = match request {
                ControlRequest::SetParameter { parameters, .. } => {
                    match parameters.iter().find(|(n, _)| n == rtsp::DELIVERED_SHARE) {
                        Some((_, share)) => (200, Some(ServerMessage::DeliveredShare(*share))),
                        None => (200, Some(ServerMessage::LoadReport(load_report(&parameters)))),
                    }
                }
                ControlRequest::Teardown { session } => (200, Some(ServerMessage::SessionEnded { session })),
                _ => (501, None),
            };
            let _ = sender.send(OutgoingMessage::Response { cseq, status });
            message
        }
    }
}

/// The load figures among a message's parameters.
fn load_report(parameters: &[(String, f64)]) -> LoadReport {
    let find = |name: &str| parameters.iter().find(|(n, _)| n == name).map(|(_, v)| *v);
    LoadReport {
        streams: find(rtsp::STREAMS),
        link_use: find(rtsp::LINK_USE),
        uplink_use: find(rtsp::UPLINK_USE),
    }
}
