//! Codecs of the operators' platform, without input or output.
//!
//! - [`rtsp`]: cuts a stream of bytes into RTSP messages, within bounds.
//! - [`viewer`], [`server`]: what the messages of each side mean, and the bytes of those sent to it.
//! - [`headers`]: the fields of the platform's own.
//! - [`discovery`]: queries to the name service and its answers.
//! - [`peers`]: what front nodes tell each other.
//! - [`configuration`]: the document a node is started with.
pub mod configuration;
pub mod discovery;
pub mod headers;
pub mod peers;
pub mod rtsp;
pub mod server;
pub mod viewer;

/// One server as the configuration or the name service tells it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRecord {
    /// Its id.
    pub name: String,
    pub address: std::net::SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub draining: bool,
    pub weight: f64,
    /// Start of the process in Unix milliseconds, where it was not long ago.
    pub started_unix_ms: Option<f64>,
}
