//! Authorizes viewers' requests by token and proof, and issues session tokens. `walnutline_dash` decodes and verifies
//! signatures, `walnutline_auth` decides by the claims.
use arc_swap::ArcSwap;
use std::sync::Mutex;
use walnutline_auth::authorization::{AuthorizationPolicy, Refusal, RequestContext};
use walnutline_auth::claims::{SessionClaims, ViewerClaims};
use walnutline_auth::keys::KeySet;
use walnutline_auth::replay::ReplayCache;
use walnutline_dash::{proof, proof_digest, token, token_hash, SigningKey, VerifyingKey};

/// Holds the keys in force and the proofs that were used.
pub struct Authorizer {
    policy: AuthorizationPolicy,
    replay_cache: Mutex<ReplayCache>,
    issuer_keys: ArcSwap<KeySet<VerifyingKey>>,
    session_keys: ArcSwap<KeySet<SigningKey>>,
}

impl Authorizer {
    /// Creates an authorizer that stores at most `max_stored_proofs` for replay detection.
    pub fn new(
        policy: AuthorizationPolicy,
        max_stored_proofs: usize,
        issuer_keys: KeySet<VerifyingKey>,
        session_keys: KeySet<SigningKey>,
    ) -> Self {
        Authorizer {
            policy,
            replay_cache: Mutex::new(ReplayCache::new(policy.replay_window_ms(), max_stored_proofs)),
            issuer_keys: ArcSwap::from_pointee(issuer_keys),
            session_keys: ArcSwap::from_pointee(session_keys),
        }
    }

    /// Replaces all keys. Requests under way are finished with the old ones.
    pub fn replace_keys(&self, issuer_keys: KeySet<VerifyingKey>, session_keys: KeySet<SigningKey>) {
        self.issuer_keys.store(issuer_keys.into());
        self.session_keys.store(session_keys.into());
    }

    /// Checks a request's token and proof; returns the token's claims or why the request is refused. `url` is the
    /// request's URL without the query.
    pub fn authorize(
        &self,
        (method, path, url): (&str, &str, &str),
        token: Option<&str>,
        proof: Option<&str>,
        now: f64,
    ) -> Result<ViewerClaims, Refusal> {
        let token = token.ok_or(Refusal::NoToken)?;
        let hash = token_hash(token);
        let request = RequestContext { method, path, url, token_hash: &hash };
        let keys = self.issuer_keys.load();
        let claims = token::verify(token, |id| keys.find(id, now).copied())?;
        self.policy.check_token(&claims, request, now)?;
        let proof = proof::verify(proof.ok_or(Refusal::NoProof)?)?;
        self.policy.check_proof(&claims, &proof, request, now)?;
        let digest = proof_digest(&proof.public_key, &proof.id);
        let replay_check =
            self.replay_cache.lock().unwrap_or_else(|e| e.into_inner()).check_and_insert(digest, now);
        self.policy.check_first_use(replay_check)?;
        Ok(claims)
    }

    /// Issues a session token; `None` while no session key is in force.
    pub fn mint_session_token(&self, claims: &SessionClaims, now: f64) -> Option<String> {
        let keys = self.session_keys.load();
        let entry = keys.signing_key(now)?;
        Some(token::mint_session(claims, &entry.id, &entry.key))
    }

    /// Verifies a session token that this front issued.
    pub fn verify_session_token(&self, token: &str, now: f64) -> Result<SessionClaims, Refusal> {
        let keys = self.session_keys.load();
        let claims = token::verify_session(token, |id| keys.find(id, now).map(SigningKey::verifying_key))?;
        if now >= claims.expires_at {
            return Err(Refusal::Expired);
        }
        Ok(claims)
    }
}
