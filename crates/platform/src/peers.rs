//! Datagrams in which front nodes report the status of servers to each other.
//!
//! A datagram has at most 256 bytes: the letters `wl`, a version byte and the number of entries. Each entry is
//!
//! - 3 bytes: hash of the server's name;
//! - 1 byte: age of the values, in steps of 10 ms;
//! - 1 byte: streams as a share of the server's maximum, in steps of 1/128;
//! - 1 byte: link use, in steps of 1/100;
//! - 1 byte: least uptime of the server process, in steps of 100 ms.
//!
//! A datagram that deviates from this format is rejected as a whole.
//!
//! Servers are identified by a hash of their names, because each node numbers them on its own. Receivers ignore an
//! entry whose hash matches more than one server.

/// Longest datagram that the platform allows.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Most entries that fit into a datagram.
pub const MAX_ENTRIES: usize = (MAX_DATAGRAM_BYTES - MAGIC_AND_VERSION.len() - 1) / ENTRY_BYTES;
const MAGIC_AND_VERSION: [u8; 3] = [b'w', b'l', 1];
const ENTRY_BYTES: usize = 7;
const AGE_STEP_MS: f64 = 10.0;
const STREAM_SHARE_STEP: f64 = 1.0 / 128.0;
const LINK_USE_STEP: f64 = 0.01;
const UPTIME_STEP_MS: f64 = 100.0;

/// Status of one server as a front node knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerStatus {
    /// Hash of the server's name; see [`hash_server_name`].
    pub name_hash: u32,
    /// Time since the values were received from the server.
    pub age_ms: f64,
    /// Streams that the server runs or sets up, as a share of its maximum.
    pub stream_share: f64,
    /// Demand on the server's network link, relative to its capacity.
    pub link_use: f64,
    /// Lower bound of the uptime of the server process.
    pub known_uptime_ms: f64,
}

/// Hashes the name of a server: 32-bit FNV-1a, folded to 24 bits.
pub fn hash_server_name(name: &str) -> u32 {
    let hash = name.bytes().fold(0x811c_9dc5_u32, |hash, b| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193));
    (hash >> 24 ^ hash) & 0xff_ffff
}

/// Converts a value to the nearest number of steps that fits into a byte.
fn to_steps(value: f64, step: f64) -> u8 {
    // The cast saturates at the limits of a byte and turns NaN into 0.
    (value / step).round() as u8
}

/// Encodes a datagram. Entries beyond [`MAX_ENTRIES`] are left out.
pub fn encode(entries: &[ServerStatus]) -> Vec<u8> {
    let entries = &entries[..entries.len().min(MAX_ENTRIES)];
    let mut bytes = Vec::with_capacity(MAGIC_AND_VERSION.len() + 1 + entries.len() * ENTRY_BYTES);
    bytes.extend(MAGIC_AND_VERSION);
    bytes.push(entries.len() as u8);
    for entry in entries {
        bytes.extend(&entry.name_hash.to_be_bytes()[1..]);
        bytes.extend([
            to_steps(entry.age_ms, AGE_STEP_MS),
            to_steps(entry.stream_share, STREAM_SHARE_STEP),
            to_steps(entry.link_use, LINK_USE_STEP),
            // Rounded down, as the value is a lower bound.
            (entry.known_uptime_ms / UPTIME_STEP_MS) as u8,
        ]);
    }
    bytes
}

/// Decodes a datagram; `None` if its format, version or length is wrong.
pub fn decode(bytes: &[u8]) -> Option<Vec<ServerStatus>> {
    let (count, entries) = bytes.strip_prefix(&MAGIC_AND_VERSION)?.split_first()?;
    if bytes.len() > MAX_DATAGRAM_BYTES || entries.len() != usize::from(*count) * ENTRY_BYTES {
        return None;
    }
    let decode_entry = |entry: &[u8]| ServerStatus {
        name_hash: u32::from_be_bytes([0, entry[0], entry[1], entry[2]]),
        age_ms: f64::from(entry[3]) * AGE_STEP_MS,
        stream_share: f64::from(entry[4]) * STREAM_SHARE_STEP,
        link_use: f64::from(entry[5]) * LINK_USE_STEP,
        known_uptime_ms: f64::from(entry[6]) * UPTIME_STEP_MS,
    };
    Some(entries.chunks_exact(ENTRY_BYTES).map(decode_entry).collect())
}
