//! DPoP proofs of possession (RFC 9449). A proof is a JWT (RFC 7515, RFC 7519) signed with the viewer's Ed25519 key. It
//! covers the method and URL of one request and the hash of the access token sent with it.
use crate::{decode_base64url, encode_base64url};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use walnutline_auth::authorization::Refusal;
use walnutline_auth::claims::ProofClaims;

/// Longest proof that is accepted, in its encoded form.
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

/// Creates a signed proof. Its public key is that of `key`; `claims.public_key` is ignored.
pub fn mint(claims: &ProofClaims, key: &SigningKey) -> String {
    let jwk =
        Jwk { kty: "OKP".into(), crv: "Ed25519".into(), x: encode_base64url(key.verifying_key().as_bytes()) };
    let header = Header { typ: "dpop+jwt".into(), alg: "EdDSA".into(), jwk };
    let payload = Payload {
        jti: claims.id.clone(),
        htm: claims.method.clone(),
        htu: claims.url.clone(),
        iat: claims.issued_at / 1_000.0,
        ath: encode_base64url(&claims.token_hash),
    };
    let encode_part =
        |json: serde_json::Result<Vec<u8>>| encode_base64url(&json.expect("strings and numbers serialize"));
    let signed =
        format!("{}.{}", encode_part(serde_json::to_vec(&header)), encode_part(serde_json::to_vec(&payload)));
    let signature = encode_base64url(&key.sign(signed.as_bytes()).to_bytes());
    format!("{signed}.{signature}")
}

/// Decodes a proof and verifies its signature with the key it carries. The caller has to check that the key belongs to
/// the viewer and that the proof is for the current request.
pub fn verify(proof: &str) -> Result<ProofClaims, Refusal> {
    if proof.len() > MAX_PROOF_BYTES {
        return Err(Refusal::ProofTooLong);
    }
    let malformed = |reason: &str| Refusal::ProofMalformed(reason.into());
    let (signed, signature) =
        proof.rsplit_once('.').ok_or_else(|| malformed("expected three parts separated by dots"))?;
    let (header, payload) =
        signed.split_once('.').ok_or_else(|| malformed("expected three parts separated by dots"))?;
    let header: Header = decode_part(header, "header")?;
    if header.typ != "dpop+jwt" || header.alg != "EdDSA" {
        return Err(malformed("header: only dpop+jwt with EdDSA is supported"));
    }
    if header.jwk.kty != "OKP" || header.jwk.crv != "Ed25519" {
        return Err(malformed("jwk: not an Ed25519 key"));
    }
    let key = decode_32_bytes(&header.jwk.x).ok_or_else(|| malformed("jwk: key is not 32 bytes"))?;
    let payload: Payload = decode_part(payload, "payload")?;
    let verifying_key =
        VerifyingKey::from_bytes(&key).map_err(|_| malformed("jwk: key is not a point on the curve"))?;
    let signature = decode_base64url(signature).ok().and_then(|s| Signature::from_slice(&s).ok());
    let signature = signature.ok_or_else(|| malformed("signature: not 64 bytes"))?;
    verifying_key.verify_strict(signed.as_bytes(), &signature).map_err(|_| Refusal::ProofBadSignature)?;
    Ok(ProofClaims {
        public_key: key,
        id: payload.jti,
        method: payload.htm,
        url: payload.htu,
        issued_at: payload.iat * 1_000.0,
        token_hash: decode_32_bytes(&payload.ath).ok_or_else(|| malformed("ath: not a SHA-256 hash"))?,
    })
}

fn decode_part<P: for<'a> Deserialize<'a>>(text: &str, name: &str) -> Result<P, Refusal> {
    let bytes = decode_base64url(text).map_err(|e| Refusal::ProofMalformed(format!("{name}: {e}")))?;
    serde_json::from_slice(&bytes).map_err(|e| Refusal::ProofMalformed(format!("{name}: {e}")))
}

fn decode_32_bytes(text: &str) -> Option<[u8; 32]> {
    decode_base64url(text).ok()?.try_into().ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn claims(key: &SigningKey) -> ProofClaims {
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
    fn proof_round_trips_and_any_changed_character_is_refused() {
        let key = SigningKey::from_bytes(&[4; 32]);
        let proof = mint(&claims(&key), &key);
        assert_eq!(verify(&proof), Ok(claims(&key)));
        for index in 0..proof.len() {
            let mut changed = proof.clone().into_bytes();
            changed[index] = if changed[index] == b'A' { b'B' } else { b'A' };
            let changed = String::from_utf8(changed).unwrap();
            assert!(verify(&changed).is_err(), "character {index}");
        }
    }

    proptest! {
        #[test]
        fn arbitrary_text_is_refused(text in "[A-Za-z0-9_.-]{0,300}") {
            prop_assert!(verify(&text).is_err());
        }
    }
}
