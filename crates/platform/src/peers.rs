//! What front nodes tell each other of servers: one datagram of at most 256 bytes, read with suspicion.
//!
//! It is 'w', 'l', a version and a count, then for each server 3 bytes of its name's hash and a byte each of age (10 ms),
//! streams (a 128th of the most), use of its link (a hundredth) and for how long its process is known (100 ms).
//!
//! Servers are named by a hash, as numbers differ from node to node; one that fits two names tells nothing.

/// Longest datagram that the platform allows.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Servers that one has room for.
pub const MAX_ENTRIES: usize = (MAX_DATAGRAM_BYTES - HEAD.len() - 1) / ENTRY;
const HEAD: [u8; 3] = [b'w', b'l', 1];
const ENTRY: usize = 7;
const AGE_STEP: f64 = 10.0;
const STREAMS_STEP: f64 = 1.0 / 128.0;
const LINK_STEP: f64 = 0.01;
const SINCE_STEP: f64 = 100.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerStatus {
    pub name_hash: u32,
    pub age_ms: f64,
    /// Share of its most streams.
    pub stream_share: f64,
    pub link_use: f64,
    /// For how long its process is known at least.
    pub known_uptime_ms: f64,
}

/// What stands for a server's name: 24 bits of FNV-1a.
pub fn hash_server_name(name: &str) -> u32 {
    let all = name.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    (all >> 24 ^ all) & 0xff_ffff
}

fn step(value: f64, size: f64) -> u8 {
    // The cast keeps to what a byte holds; what is no number becomes 0.
    (value / size).round() as u8
}

/// The datagram; entries beyond [`MOST`] are left out.
pub fn encode(entries: &[ServerStatus]) -> Vec<u8> {
    let entries = &entries[..entries.len().min(MAX_ENTRIES)];
    let mut bytes = Vec::with_capacity(HEAD.len() + 1 + entries.len() * ENTRY);
    bytes.extend(HEAD);
    bytes.push(entries.len() as u8);
    for e in entries {
        bytes.extend(&e.name_hash.to_be_bytes()[1..]);
        bytes.extend([
            step(e.age_ms, AGE_STEP),
            step(e.stream_share, STREAMS_STEP),
            step(e.link_use, LINK_STEP),
            (e.known_uptime_ms / SINCE_STEP) as u8,
        ]);
    }
    bytes
}

/// What a datagram tells; `None` for one that is no message of this kind, or not whole.
pub fn decode(bytes: &[u8]) -> Option<Vec<ServerStatus>> {
    let (count, entries) = bytes.strip_prefix(&HEAD)?.split_first()?;
    if bytes.len() > MAX_DATAGRAM_BYTES || entries.len() != usize::from(*count) * ENTRY {
        return None;
    }
    let one = |e: &[u8]| ServerStatus {
        name_hash: u32::from_be_bytes([0, e[0], e[1], e[2]]),
        age_ms: f64::from(e[3]) * AGE_STEP,
        stream_share: f64::from(e[4]) * STREAMS_STEP,
        link_use: f64::from(e[5]) * LINK_STEP,
        known_uptime_ms: f64::from(e[6]) * SINCE_STEP,
    };
    Some(entries.chunks_exact(ENTRY).map(one).collect())
}
