//! Codecs of the operators' platform. They convert between bytes and typed values and do no I/O.
//!
//! - [`rtsp`]: splits a byte stream into RTSP messages of bounded size.
//! - [`viewer`], [`server`]: the messages exchanged with viewers and with servers.
//! - [`headers`]: the platform's own header fields and their values.
//! - [`discovery`]: DNS queries for the server list and their answers.
//! - [`peers`]: datagrams in which front nodes report the load of servers to each other.
//! - [`configuration`]: the JSON document that configures a node.
pub mod configuration;
pub mod discovery;
pub mod headers;
pub mod peers;
pub mod rtsp;
pub mod server;
pub mod viewer;

/// One server, as listed by the configuration or by the name service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRecord {
    /// Unique id of the server.
    pub name: String,
    pub address: std::net::SocketAddr,
    /// Name of the zone that the server is in.
    pub zone: String,
    /// Machine type.
    pub kind: String,
    /// Number of the cell that the server belongs to.
    pub cell: u32,
    /// Whether the server is shutting down and takes no new sessions.
    pub draining: bool,
    /// Weight in the list; the settings say what it measures.
    pub weight: f64,
    /// Start time of the server process in Unix milliseconds; present only while the start is recent.
    pub started_unix_ms: Option<f64>,
}
