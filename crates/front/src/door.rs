//! Checks a viewer's token and proof by the codecs and asks the gate for its verdict; mints sessions' tokens.
use arc_swap::ArcSwap;
use std::sync::Mutex;
use walnutline_auth::authorization::{AuthorizationPolicy, Refusal, RequestContext};
use walnutline_auth::claims::{SessionClaims, ViewerClaims};
use walnutline_auth::keys::KeySet;
use walnutline_auth::replay::ReplayCache;
use walnutline_dash::{proof, proof_digest, token, token_hash, SigningKey, VerifyingKey};

pub struct Door {
    terms: AuthorizationPolicy,
    used: Mutex<ReplayCache>,
    issuer: ArcSwap<KeySet<VerifyingKey>>,
    session: ArcSwap<KeySet<SigningKey>>,
}

impl Door {
    pub fn new(
        terms: AuthorizationPolicy,
        proofs: usize,
        issuer: KeySet<VerifyingKey>,
        session: KeySet<SigningKey>,
    ) -> Self {
        Door {
            terms,
            used: Mutex::new(ReplayCache::new(terms.replay_window_ms(), proofs)),
            issuer: ArcSwap::from_pointee(issuer),
            session: ArcSwap::from_pointee(session),
        }
    }

    pub fn reload(&self, issuer: KeySet<VerifyingKey>, session: KeySet<SigningKey>) {
        self.issuer.store(issuer.into());
        self.session.store(session.into());
    }

    /// Lets a request in by its token and proof, or says why not. `url`: the request's, without the query.
    pub fn let_in(
        &self,
        (method, path, url): (&str, &str, &str),
        token: Option<&str>,
        proof: Option<&str>,
        now: f64,
    ) -> Result<ViewerClaims, Refusal> {
        let token = token.ok_or(Refusal::NoToken)?;
        let hash = token_hash(token);
        let asked = RequestContext { method, path, url, token_hash: &hash };
        let ring = self.issuer.load();
        let claims = token::verify(token, |id| ring.find(id, now).copied())?;
        self.terms.check_token(&claims, asked, now)?;
        let proof = proof::verify(proof.ok_or(Refusal::NoProof)?)?;
        self.terms.check_proof(&claims, &proof, asked, now)?;
        let mark = proof_digest(&proof.public_key, &proof.id);
        let use_ = self.used.lock().unwrap_or_else(|e| e.into_inner()).check_and_insert(mark, now);
        self.terms.check_first_use(use_)?;
        Ok(claims)
    }

    /// Signs a session's token; `None` while no session key is in force.
    pub fn mint(&self, claims: &SessionClaims, now: f64) -> Option<String> {
        let ring = self.session.load();
        let entry = ring.signing_key(now)?;
        Some(token::mint_session(claims, &entry.id, &entry.key))
    }

    /// Checks a session's token that this front gave out itself.
    pub fn own(&self, token: &str, now: f64) -> Result<SessionClaims, Refusal> {
        let ring = self.session.load();
        let claims = token::verify_session(token, |id| ring.find(id, now).map(SigningKey::verifying_key))?;
        if now >= claims.expires_at {
            return Err(Refusal::Expired);
        }
        Ok(claims)
    }
}
