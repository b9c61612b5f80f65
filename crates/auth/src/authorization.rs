//! Checks whether the claims of an access token and a DPoP proof authorize a request, and names the reason if not.
//! Signatures are verified where tokens and proofs are decoded, before these checks.
use crate::claims::{ProofClaims, ViewerClaims};
use crate::keys::KeyLookupError;
use crate::replay::ReplayCheck;
use crate::UnixMs;

/// Authorization limits from the operator's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AuthorizationPolicy {
    /// Maximum age of a proof, in milliseconds.
    pub max_proof_age_ms: f64,
    /// Maximum difference between two clocks, in milliseconds.
    pub clock_skew_ms: f64,
}

/// Why a request is not authorized. No SETUP is sent for a refused request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The request carries no access token.
    NoToken,
    /// The token exceeds the length limit.
    TokenTooLong,
    /// The token cannot be decoded or lacks a required claim; the text says what is wrong.
    TokenMalformed(String),
    /// The token names a key that is not in the issuer's key set.
    UnknownKey,
    /// The token's key is outside its validity period.
    KeyNotInForce,
    /// The token's signature does not verify.
    BadSignature,
    /// The token has expired.
    Expired,
    /// The token is not valid yet.
    NotYetValid,
    /// The token was issued for another title or session.
    OtherTitle,
    /// The token names a service group that is not in the settings.
    UnknownGroup,
    /// The token lists no boxes that hold the title.
    NoHolders,
    /// The request carries no DPoP proof.
    NoProof,
    /// The proof exceeds the length limit.
    ProofTooLong,
    /// The proof cannot be decoded; the text says what is wrong.
    ProofMalformed(String),
    /// The proof's signature does not verify.
    ProofBadSignature,
    /// The proof was signed with another key than the token is bound to.
    ProofOfOtherKey,
    /// The proof was made for another method or URL.
    ProofForOtherRequest,
    /// The proof was made for another token.
    ProofForOtherToken,
    /// The proof is too old or was issued in the future.
    ProofStale,
    /// The proof was used before.
    ProofUsed,
    /// The replay cache is full.
    NoRoomForProofs,
}

impl Refusal {
    /// HTTP status: 401 if another token or proof may be accepted; 403 if the token does not authorize the request, or
    /// the proof is of another key or was used before; 503 if the replay cache is full.
    pub fn http_status(&self) -> u16 {
        match self {
            Refusal::OtherTitle | Refusal::UnknownGroup | Refusal::NoHolders | Refusal::ProofUsed => 403,
            Refusal::ProofOfOtherKey => 403,
            Refusal::NoRoomForProofs => 503,
            _ => 401,
        }
    }

    /// Machine-readable reason for logs and responses; stable across versions.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::NoToken => "no-token",
            Refusal::TokenTooLong => "token-too-long",
            Refusal::TokenMalformed(_) => "token-malformed",
            Refusal::UnknownKey => "unknown-key",
            Refusal::KeyNotInForce => "key-not-in-force",
            Refusal::BadSignature => "bad-signature",
            Refusal::Expired => "expired",
            Refusal::NotYetValid => "not-yet-valid",
            Refusal::OtherTitle => "other-title",
            Refusal::UnknownGroup => "unknown-group",
            Refusal::NoHolders => "no-holders",
            Refusal::NoProof => "no-proof",
            Refusal::ProofTooLong => "proof-too-long",
            Refusal::ProofMalformed(_) => "proof-malformed",
            Refusal::ProofBadSignature => "proof-bad-signature",
            Refusal::ProofOfOtherKey => "proof-of-other-key",
            Refusal::ProofForOtherRequest => "proof-for-other-request",
            Refusal::ProofForOtherToken => "proof-for-other-token",
            Refusal::ProofStale => "proof-stale",
            Refusal::ProofUsed => "proof-used",
            Refusal::NoRoomForProofs => "no-room-for-proofs",
        }
    }
}

impl From<KeyLookupError> for Refusal {
    fn from(error: KeyLookupError) -> Self {
        match error {
            KeyLookupError::Unknown => Refusal::UnknownKey,
            KeyLookupError::NotInForce => Refusal::KeyNotInForce,
        }
    }
}

/// The request that carries a token and proof.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path of the manifest, without the query.
    pub path: &'a str,
    /// Full URL under the front's public address, without the query.
    pub url: &'a str,
    /// SHA-256 of the token as it was sent.
    pub token_hash: &'a [u8; 32],
}

impl AuthorizationPolicy {
    /// How long a used proof must stay in the replay cache, in milliseconds.
    pub fn replay_window_ms(&self) -> f64 {
        self.max_proof_age_ms + 2.0 * self.clock_skew_ms
    }

    /// Checks that a token with a valid signature authorizes this request.
    pub fn check_token(
        &self,
        claims: &ViewerClaims,
        request: RequestContext,
        now: UnixMs,
    ) -> Result<(), Refusal> {
        if now >= claims.expires_at + self.clock_skew_ms {
            return Err(Refusal::Expired);
        }
        if claims.not_before.is_some_and(|t| now < t - self.clock_skew_ms) {
            return Err(Refusal::NotYetValid);
        }
        if claims.manifest_path != request.path {
            return Err(Refusal::OtherTitle);
        }
        if claims.holders.is_empty() {
            return Err(Refusal::NoHolders);
        }
        Ok(())
    }

    /// Checks that a proof with a valid signature was made for this request and token, with the key that the token is
    /// bound to. The caller still has to check it against the replay cache.
    pub fn check_proof(
        &self,
        claims: &ViewerClaims,
        proof: &ProofClaims,
        request: RequestContext,
        now: UnixMs,
    ) -> Result<(), Refusal> {
        if proof.public_key != claims.viewer_key {
            return Err(Refusal::ProofOfOtherKey);
        }
        if proof.method != request.method || proof.url != request.url {
            return Err(Refusal::ProofForOtherRequest);
        }
        if proof.token_hash != *request.token_hash {
            return Err(Refusal::ProofForOtherToken);
        }
        let age = now - proof.issued_at;
        if !(-self.clock_skew_ms..=self.max_proof_age_ms + self.clock_skew_ms).contains(&age) {
            return Err(Refusal::ProofStale);
        }
        Ok(())
    }

    /// Turns the outcome of the replay cache into a decision.
    pub fn check_first_use(&self, replay_check: ReplayCheck) -> Result<(), Refusal> {
        match replay_check {
            ReplayCheck::FirstUse => Ok(()),
            ReplayCheck::Replayed => Err(Refusal::ProofUsed),
            ReplayCheck::CacheFull => Err(Refusal::NoRoomForProofs),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const NOW: UnixMs = 1e12;
    const POLICY: AuthorizationPolicy =
        AuthorizationPolicy { max_proof_age_ms: 10_000.0, clock_skew_ms: 2_000.0 };
    const REQUEST: RequestContext =
        RequestContext { method: "GET", path: "/m/a.mpd", url: "http://front/m/a.mpd", token_hash: &[7; 32] };

    fn claims() -> ViewerClaims {
        ViewerClaims {
            id: vec![1],
            manifest_path: "/m/a.mpd".into(),
            service_group: "council-notice".into(),
            holders: vec![3],
            max_rung: None,
            tenant: None,
            not_before: None,
            expires_at: NOW + 1.0,
            viewer_key: [9; 32],
        }
    }

    fn proof() -> ProofClaims {
        ProofClaims {
            public_key: [9; 32],
            id: "x".into(),
            method: "GET".into(),
            url: REQUEST.url.into(),
            issued_at: NOW,
            token_hash: [7; 32],
        }
    }

    #[test_case(|_| {} => None; "valid")]
    #[test_case(|c| c.expires_at = NOW - 2_000.0 => Some(Refusal::Expired); "expired beyond the skew")]
    #[test_case(|c| c.expires_at = NOW - 1_000.0 => None; "expired within the skew")]
    #[test_case(|c| c.not_before = Some(NOW + 2_001.0) => Some(Refusal::NotYetValid); "not yet valid")]
    #[test_case(|c| c.manifest_path = "/m/b.mpd".into() => Some(Refusal::OtherTitle); "other title")]
    #[test_case(|c| c.holders.clear() => Some(Refusal::NoHolders); "no holders")]
    fn token_is_checked_against_policy_and_request(change: fn(&mut ViewerClaims)) -> Option<Refusal> {
        let mut claims = claims();
        change(&mut claims);
        POLICY.check_token(&claims, REQUEST, NOW).err()
    }

    #[test_case(|_| {} => None; "valid")]
    #[test_case(|p| p.public_key = [8; 32] => Some(Refusal::ProofOfOtherKey); "other viewer's key")]
    #[test_case(|p| p.url = "http://other/m/a.mpd".into() => Some(Refusal::ProofForOtherRequest); "other front")]
    #[test_case(|p| p.method = "POST".into() => Some(Refusal::ProofForOtherRequest); "other method")]
    #[test_case(|p| p.token_hash = [0; 32] => Some(Refusal::ProofForOtherToken); "other token")]
    #[test_case(|p| p.issued_at = NOW - 12_001.0 => Some(Refusal::ProofStale); "stale")]
    #[test_case(|p| p.issued_at = NOW + 2_001.0 => Some(Refusal::ProofStale); "issued in the future")]
    #[test_case(|p| p.issued_at = f64::NAN => Some(Refusal::ProofStale); "issue time is not a number")]
    fn proof_is_checked_against_token_and_request(change: fn(&mut ProofClaims)) -> Option<Refusal> {
        let mut proof = proof();
        change(&mut proof);
        POLICY.check_proof(&claims(), &proof, REQUEST, NOW).err()
    }
}
