//! Claims of access tokens and DPoP proofs after decoding. The values have not been checked against a request yet.
use crate::UnixMs;

/// Claims of a viewer's access token: authorization to watch one title, granted by the publisher of the title.
#[derive(Debug, Clone, PartialEq)]
pub struct ViewerClaims {
    /// Identifies the token in records (`cti`).
    pub id: Vec<u8>,
    /// Path of the manifest that the token grants access to (`catu`, path, exact match).
    pub manifest_path: String,
    /// Name of the service group in the settings.
    pub service_group: String,
    /// Ids of the boxes that hold the title, as in the box list.
    pub holders: Vec<u32>,
    /// Highest rung that the viewer can use; if absent, the service group's highest rung applies.
    pub max_rung: Option<u8>,
    /// Tenant to whose utility the session counts; absent in deployments without tenants.
    pub tenant: Option<String>,
    /// Start of the token's validity (`nbf`).
    pub not_before: Option<UnixMs>,
    /// End of the token's validity, exclusive (`exp`).
    pub expires_at: UnixMs,
    /// Ed25519 public key that the token is bound to (`cnf`): each use needs a proof signed with its private key.
    pub viewer_key: [u8; 32],
}

/// Claims of a session token: authorization to fetch the segments of one session from one box, issued by the front.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionClaims {
    /// Session id (`sub`).
    pub session: u64,
    /// Id of the box that serves the session (`aud`).
    pub server: u32,
    /// Path under which the segments are served (`catu`, path, prefix match).
    pub path_prefix: String,
    /// End of the token's validity (`exp`).
    pub expires_at: UnixMs,
}

/// Claims of a DPoP proof: the sender of a request holds the private key of `public_key` (RFC 9449).
#[derive(Debug, Clone, PartialEq)]
pub struct ProofClaims {
    /// Ed25519 public key that verifies the proof's own signature (`jwk`).
    pub public_key: [u8; 32],
    /// Unique id of the proof (`jti`).
    pub id: String,
    /// Method of the request that the proof was made for (`htm`).
    pub method: String,
    /// URL of the request that the proof was made for (`htu`).
    pub url: String,
    /// Time of issue (`iat`).
    pub issued_at: UnixMs,
    /// SHA-256 of the access token that is sent with the proof (`ath`).
    pub token_hash: [u8; 32],
}
