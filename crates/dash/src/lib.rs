//! Codecs for what viewers send and receive. They convert between bytes and plain values and take no decisions.
//!
//! - [`mpd`]: DASH media presentation descriptions (ISO/IEC 23009-1).
//! - [`token`]: Common Access Tokens (CTA-5007): CWT claims (RFC 8392) in COSE_Sign1 (RFC 9052).
//! - [`proof`]: DPoP proofs of possession (RFC 9449).
pub mod mpd;
pub mod proof;
pub mod token;

pub use ed25519_dalek::{SigningKey, VerifyingKey};

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use sha2::{Digest, Sha256};

/// Encodes bytes as base64url without padding (RFC 4648), the form in which tokens and proofs are sent.
pub fn encode_base64url(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes base64url without padding.
pub fn decode_base64url(text: &str) -> Result<Vec<u8>, String> {
    URL_SAFE_NO_PAD.decode(text).map_err(|e| format!("base64url: {e}"))
}

/// SHA-256 of a token in its encoded form, as the `ath` claim of a proof carries it.
pub fn token_hash(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Digest under which the replay cache stores a proof: SHA-256 over its key and id, cut to 16 bytes.
pub fn proof_digest(key: &[u8; 32], id: &str) -> [u8; 16] {
    let hash = Sha256::new().chain_update(key).chain_update(id.as_bytes()).finalize();
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash[..16]);
    digest
}
