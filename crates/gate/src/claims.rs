//! What a token and a proof of possession say once they are read; nothing here was checked yet.
use crate::UnixMs;

/// A viewer's token: leave for one title, given by the notices' publisher.
#[derive(Debug, Clone, PartialEq)]
pub struct ViewerClaims {
    /// Names the token in records (`cti`).
    pub id: Vec<u8>,
    /// Path of the manifest that it opens (`catu`, path, exact match).
    pub manifest_path: String,
    /// Service group, by its name in the settings.
    pub service_group: String,
    /// Boxes that hold the title, by their numbers in the list.
    pub holders: Vec<u32>,
    /// The highest rung that the viewer can use; none: the group's.
    pub max_rung: Option<u8>,
    /// Whose utility it counts for; none where the deployment has no tenants.
    pub tenant: Option<String>,
    pub not_before: Option<UnixMs>,
    pub expires_at: UnixMs,
    /// Public key (Ed25519) whose holder may use the token (`cnf`).
    pub viewer_key: [u8; 32],
}

/// A session's token: leave to fetch one session's segments at one box, given by the front.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionClaims {
    pub session: u64,
    pub server: u32,
    /// Path under which the segments stand (`catu`, path, prefix match).
    pub path_prefix: String,
    pub expires_at: UnixMs,
}

/// A proof that the sender of a request holds a key (RFC 9449).
#[derive(Debug, Clone, PartialEq)]
pub struct ProofClaims {
    /// The key that signed it.
    pub public_key: [u8; 32],
    /// Unique to the proof (`jti`).
    pub id: String,
    /// Method and URL of the request that it was made for.
    pub method: String,
    pub url: String,
    pub issued_at: UnixMs,
    /// SHA-256 of the token that it goes with (`ath`).
    pub token_hash: [u8; 32],
}
