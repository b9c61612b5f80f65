//! Codecs of the viewers' side: bytes to plain values and back, no decision.
//!
//! - [`mpd`]: DASH media presentation descriptions (ISO/IEC 23009-1).
//! - [`token`]: Common Access Tokens (CTA-5007): CWT claims (RFC 8392) in COSE_Sign1 (RFC 9052).
//! - [`proof`]: proofs of possession (DPoP, RFC 9449).
pub mod mpd;
pub mod proof;
pub mod token;

pub use ed25519_dalek::{SigningKey, VerifyingKey};

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use sha2::{Digest, Sha256};

/// Base64url without padding (RFC 4648), as tokens and proofs are sent.
pub fn encode_base64url(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

pub fn decode_base64url(text: &str) -> Result<Vec<u8>, String> {
    URL_SAFE_NO_PAD.decode(text).map_err(|e| format!("base64url: {e}"))
}

/// SHA-256 of a token as it is sent, as a proof carries it (`ath`).
pub fn token_hash(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// What a used proof is remembered by: its key and its id.
pub fn proof_digest(key: &[u8; 32], id: &str) -> [u8; 16] {
    let whole = Sha256::new().chain_update(key).chain_update(id.as_bytes()).finalize();
    let mut mark = [0; 16];
    mark.copy_from_slice(&whole[..16]);
    mark
}
