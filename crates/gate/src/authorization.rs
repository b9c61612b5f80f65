//! Whether a request with its token and proof is let in, or why not.
use crate::claims::{ProofClaims, ViewerClaims};
use crate::keys::KeyLookupError;
use crate::replay::ReplayCheck;
use crate::UnixMs;

/// Terms of letting in that the operator states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AuthorizationPolicy {
    /// How old a proof may be, in milliseconds.
    pub max_proof_age_ms: UnixMs,
    /// How far clocks may be apart, in milliseconds.
    pub clock_skew_ms: UnixMs,
}

/// Why a request is not let in. No SETUP is sent for any of these.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    NoToken,
    TokenTooLong,
    TokenMalformed(String),
    UnknownKey,
    KeyNotInForce,
    BadSignature,
    Expired,
    NotYetValid,
    OtherTitle,
    UnknownGroup,
    NoHolders,
    NoProof,
    ProofTooLong,
    ProofMalformed(String),
    ProofBadSignature,
    ProofOfOtherKey,
    ProofForOtherRequest,
    ProofForOtherToken,
    ProofStale,
    ProofUsed,
    NoRoomForProofs,
}

impl Refusal {
    /// The HTTP status: 401 where a better token or proof would help, 403 where this token gives no leave for
    /// this, 503 where the front has no room to tell.
    pub fn http_status(&self) -> u16 {
        match self {
            Refusal::OtherTitle | Refusal::UnknownGroup | Refusal::NoHolders | Refusal::ProofUsed => 403,
            Refusal::ProofOfOtherKey => 403,
            Refusal::NoRoomForProofs => 503,
            _ => 401,
        }
    }

    /// A word for logs and answers; stays the same from version to version.
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
    fn from(miss: KeyLookupError) -> Self {
        match miss {
            KeyLookupError::Unknown => Refusal::UnknownKey,
            KeyLookupError::NotInForce => Refusal::KeyNotInForce,
        }
    }
}

/// The request that a token and proof came with.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    pub method: &'a str,
    /// Path of the manifest, without the query.
    pub path: &'a str,
    /// The whole URL as this front is reached, without the query.
    pub url: &'a str,
    /// SHA-256 of the token as it was sent.
    pub token_hash: &'a [u8; 32],
}

impl AuthorizationPolicy {
    /// How long a used proof has to be remembered.
    pub fn replay_window_ms(&self) -> UnixMs {
        self.max_proof_age_ms + 2.0 * self.clock_skew_ms
    }

    /// Whether a token whose signature holds gives leave for this request.
    pub fn check_token(
        &self,
        claims: &ViewerClaims,
        asked: RequestContext,
        now: UnixMs,
    ) -> Result<(), Refusal> {
        if now >= claims.expires_at + self.clock_skew_ms {
            return Err(Refusal::Expired);
        }
        if claims.not_before.is_some_and(|t| now < t - self.clock_skew_ms) {
            return Err(Refusal::NotYetValid);
        }
        if claims.manifest_path != asked.path {
            return Err(Refusal::OtherTitle);
        }
        if claims.holders.is_empty() {
            return Err(Refusal::NoHolders);
        }
        Ok(())
    }

    /// Whether a proof whose signature holds was made by the token's own viewer for this very request. It
    /// still has to be entered as used.
    pub fn check_proof(
        &self,
        claims: &ViewerClaims,
        proof: &ProofClaims,
        asked: RequestContext,
        now: UnixMs,
    ) -> Result<(), Refusal> {
        if proof.public_key != claims.viewer_key {
            return Err(Refusal::ProofOfOtherKey);
        }
        if proof.method != asked.method || proof.url != asked.url {
            return Err(Refusal::ProofForOtherRequest);
        }
        if proof.token_hash != *asked.token_hash {
            return Err(Refusal::ProofForOtherToken);
        }
        let age = now - proof.issued_at;
        if !(-self.clock_skew_ms..=self.max_proof_age_ms + self.clock_skew_ms).contains(&age) {
            return Err(Refusal::ProofStale);
        }
        Ok(())
    }

    pub fn check_first_use(&self, use_: ReplayCheck) -> Result<(), Refusal> {
        match use_ {
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
    const TERMS: AuthorizationPolicy =
        AuthorizationPolicy { max_proof_age_ms: 10_000.0, clock_skew_ms: 2_000.0 };
    const ASKED: RequestContext =
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
            url: ASKED.url.into(),
            issued_at: NOW,
            token_hash: [7; 32],
        }
    }

    #[test_case(|_| {} => None; "good")]
    #[test_case(|c| c.expires_at = NOW - 2_000.0 => Some(Refusal::Expired); "expired beyond the skew")]
    #[test_case(|c| c.expires_at = NOW - 1_000.0 => None; "expired within the skew")]
    #[test_case(|c| c.not_before = Some(NOW + 2_001.0) => Some(Refusal::NotYetValid); "not yet valid")]
    #[test_case(|c| c.manifest_path = "/m/b.mpd".into() => Some(Refusal::OtherTitle); "other title")]
    #[test_case(|c| c.holders.clear() => Some(Refusal::NoHolders); "no holders")]
    fn tokens(change: fn(&mut ViewerClaims)) -> Option<Refusal> {
        let mut c = claims();
        change(&mut c);
        TERMS.check_token(&c, ASKED, NOW).err()
    }

    #[test_case(|_| {} => None; "good")]
    #[test_case(|p| p.public_key = [8; 32] => Some(Refusal::ProofOfOtherKey); "other phone's key")]
    #[test_case(|p| p.url = "http://other/m/a.mpd".into() => Some(Refusal::ProofForOtherRequest); "other front")]
    #[test_case(|p| p.method = "POST".into() => Some(Refusal::ProofForOtherRequest); "other method")]
    #[test_case(|p| p.token_hash = [0; 32] => Some(Refusal::ProofForOtherToken); "other token")]
    #[test_case(|p| p.issued_at = NOW - 12_001.0 => Some(Refusal::ProofStale); "too old")]
    #[test_case(|p| p.issued_at = NOW + 2_001.0 => Some(Refusal::ProofStale); "from the future")]
    #[test_case(|p| p.issued_at = f64::NAN => Some(Refusal::ProofStale); "no time at all")]
    fn proofs(change: fn(&mut ProofClaims)) -> Option<Refusal> {
        let mut p = proof();
        change(&mut p);
        TERMS.check_proof(&claims(), &p, ASKED, NOW).err()
    }
}
