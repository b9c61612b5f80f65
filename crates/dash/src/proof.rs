//! Proofs of possession (DPoP, RFC 9449): a JWT (RFC 7515, 7519) signed with the viewer's own Ed25519 key over the
//! method and URL of one request and the hash of the token that goes with it.
use crate::{decode_base64url, encode_base64url};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use walnutline_gate::authorization::Refusal;
use walnutline_gate::claims::ProofClaims;

/// Longest proof that is looked at, in characters.
pub const MAX_PROOF_BYTES: usize = 2_048;

#[derive(Serialize, Deserialize)]
struct Header {
    typ: String,
    alg: String,
    jwk: Jwk,
}

#[derive(Serialize, Deserialize)]
struct Jwk {
    kty: String,
    crv: String,
    x: String,
}

#[derive(Serialize, Deserialize)]
struct Payload {
    jti: String,
    htm: String,
    htu: String,
    iat: f64,
    ath: String,
}

/// Signs a proof; its `key` is the signing key's, whatever it says.
pub fn mint(proof: &ProofClaims, key: &SigningKey) -> String {
    let jwk =
        Jwk { kty: "OKP".into(), crv: "Ed25519".into(), x: encode_base64url(key.verifying_key().as_bytes()) };
    let header = Header { typ: "dpop+jwt".into(), alg: "EdDSA".into(), jwk };
    let payload = Payload {
        jti: proof.id.clone(),
        htm: proof.method.clone(),
        htu: proof.url.clone(),
        iat: proof.issued_at / 1_000.0,
        ath: encode_base64url(&proof.token_hash),
    };
    let part = |json: serde_json::Result<Vec<u8>>| encode_base64url(&json.expect("plain texts and numbers"));
    let signed = format!("{}.{}", part(serde_json::to_vec(&header)), part(serde_json::to_vec(&payload)));
    let signature = encode_base64url(&key.sign(signed.as_bytes()).to_bytes());
    format!("{signed}.{signature}")
}

/// Reads a proof and checks that its own key signed it. Whose key that is, and whether the proof is for the
/// request at hand, is for the caller to compare.
pub fn verify(proof: &str) -> Result<ProofClaims, Refusal> {
    if proof.len() > MAX_PROOF_BYTES {
        return Err(Refusal::ProofTooLong);
    }
    let bad = |what: &str| Refusal::ProofMalformed(what.into());
    let (signed, signature) = proof.rsplit_once('.').ok_or_else(|| bad("three parts are wanted"))?;
    let (header, payload) = signed.split_once('.').ok_or_else(|| bad("three parts are wanted"))?;
    let header: Header = part(header, "header")?;
    if header.typ != "dpop+jwt" || header.alg != "EdDSA" {
        return Err(bad("header: only dpop+jwt with EdDSA is taken"));
    }
    if header.jwk.kty != "OKP" || header.jwk.crv != "Ed25519" {
        return Err(bad("jwk: not an Ed25519 key"));
    }
    let key = bytes32(&header.jwk.x).ok_or_else(|| bad("jwk: not 32 bytes of key"))?;
    let payload: Payload = part(payload, "payload")?;
    let verifying = VerifyingKey::from_bytes(&key).map_err(|_| bad("jwk: no point of the curve"))?;
    let signature = decode_base64url(signature).ok().and_then(|s| Signature::from_slice(&s).ok());
    let signature = signature.ok_or_else(|| bad("signature: not 64 bytes"))?;
    verifying.verify_strict(signed.as_bytes(), &signature).map_err(|_| Refusal::ProofBadSignature)?;
    Ok(ProofClaims {
        public_key: key,
        id: payload.jti,
        method: payload.htm,
        url: payload.htu,
        issued_at: payload.iat * 1_000.0,
        token_hash: bytes32(&payload.ath).ok_or_else(|| bad("ath: not a SHA-256"))?,
    })
}

fn part<P: for<'a> Deserialize<'a>>(text: &str, name: &str) -> Result<P, Refusal> {
    let bytes = decode_base64url(text).map_err(|e| Refusal::ProofMalformed(format!("{name}: {e}")))?;
    serde_json::from_slice(&bytes).map_err(|e| Refusal::ProofMalformed(format!("{name}: {e}")))
}

fn bytes32(text: &str) -> Option<[u8; 32]> {
    decode_base64url(text).ok()?.try_into().ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn proof(key: &SigningKey) -> ProofClaims {
        ProofClaims {
            public_key: key.verifying_key().to_bytes(),
            id: "j-1".into(),
            method: "GET".into(),
            url: "http://127.0.0.1:80/m/a.mpd".into(),
            issued_at: 1_700_000_000_250.0,
            token_hash: [5; 32],
        }
    }

    #[test]
    fn what_was_minted_is_read_back_and_any_change_is_refused() {
        let key = SigningKey::from_bytes(&[4; 32]);
        let text = mint(&proof(&key), &key);
        assert_eq!(verify(&text), Ok(proof(&key)));
        for at in 0..text.len() {
            let mut changed = text.clone().into_bytes();
            changed[at] = if changed[at] == b'A' { b'B' } else { b'A' };
            let changed = String::from_utf8(changed).unwrap();
            assert!(verify(&changed).is_err(), "character {at}");
        }
    }

    proptest! {
        #[test]
        fn rubbish_is_refused(text in "[A-Za-z0-9_.-]{0,300}") {
            prop_assert!(verify(&text).is_err());
        }
    }
}
