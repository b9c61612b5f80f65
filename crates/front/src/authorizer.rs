//! Checks a viewer's token and proof by the codecs and asks the gate for its verdict; mints sessions' tokens.
use arc_swap::ArcSwap;
use std::sync::Mutex;
use walnutline_auth::authorization::{AuthorizationPolicy, Refusal, RequestContext};
use walnutline_auth::claims::{SessionClaims, ViewerClaims};
use walnutline_auth::keys::KeySet;
use walnutline_auth::replay::ReplayCache;
use walnutline_dash::{proof, proof_digest, token, token_hash, SigningKey, VerifyingKey};

pub struct Authorizer {
    policy: AuthorizationPolicy,
    replay_cache: Mutex<ReplayCache>,
    issuer_keys: ArcSwap<KeySet<VerifyingKey>>,
    session_keys: ArcSwap<KeySet<SigningKey>>,
}

impl Authorizer {
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

    pub fn replace_keys(&self, issuer_keys: KeySet<VerifyingKey>, session_keys: KeySet<SigningKey>) {
        self.issuer_keys.store(issuer_keys.into());
        self.session_keys.store(session_keys.into());
    }

    /// Lets a request in by its token and proof, or says why not. `url`: the request's, without the query.
    pub fn authorize(
        &self,
        (method, path, url): (&str, &str, &str),
        token: Option<&str>,
        proof: Option<&str>,
        now: f64,
    ) -> Result<ViewerClaims, Refusal> {
        let token = token.ok_or(Refusal::NoToken)?;
        let hash = token_hash(token);
        let asked = RequestContext { method, path, url, token_hash: &hash };
        let ring = self.issuer_keys.load();
        let claims = token::verify(token, |id| ring.find(id, now).copied())?;
        self.policy.check_token(&claims, asked, now)?;
        let proof = proof::verify(proof.ok_or(Refusal::NoProof)?)?;
        self.policy.check_proof(&claims, &proof, asked, now)?;
        let mark = proof_digest(&proof.public_key, &proof.id);
        let use_ = self.replay_cache.lock().unwrap_or_else(|e| e.into_inner()).check_and_insert(mark, now);
        self.policy.check_first_use(use_)?;
        Ok(claims)
    }

    /// Signs a session's token; `None` while no session key is in force.
    pub fn mint_session_token(&self, claims: &SessionClaims, now: f64) -> Option<String> {
        let ring = self.session_keys.load();
        let entry = ring.signing_key(now)?;
        Some(token::mint_session(claims, &entry.id, &entry.key))
    }

    /// Checks a session's token that this front gave out itself.
    pub fn verify_session_token(&self, token: &str, now: f64) -> Result<SessionClaims, Refusal> {
        let ring = self.session_keys.load();
        let claims = token::verify_session(token, |id| ring.find(id, now).map(SigningKey::verifying_key))?;
        if now >= claims.expires_at {
            return Err(Refusal::Expired);
        }
        Ok(claims)
    }
}
