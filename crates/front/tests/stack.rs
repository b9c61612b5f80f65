//! The stack that coroutines need for their deepest calls: decoding a token with the deepest nesting that is accepted
//! and the longest proof, and writing the manifest of a long ladder. These have to fit in a quarter of the daemon's
//! stack, also in the unoptimised build, which needs more.
use may::coroutine::Builder;
use walnutline_auth::claims::{ProofClaims, ViewerClaims};
use walnutline_auth::keys::KeyLookupError;
use walnutline_dash::{encode_base64url, mpd, proof, token, SigningKey};

fn claims() -> ViewerClaims {
    ViewerClaims {
        id: vec![1; 16],
        manifest_path: "/m/a.mpd".into(),
        service_group: "g".repeat(60),
        holders: (0..200).collect(),
        max_rung: Some(1),
        tenant: Some("t".into()),
        not_before: Some(1.0),
        expires_at: 2e12,
        viewer_key: SigningKey::from_bytes(&[3; 32]).verifying_key().to_bytes(),
    }
}

#[test]
fn the_deepest_calls_fit_in_a_quarter_of_the_stack() {
    let work = || {
        let (issuer, viewer) = (SigningKey::from_bytes(&[1; 32]), SigningKey::from_bytes(&[3; 32]));
        let token = token::mint(&claims(), b"k1", &issuer);
        token::verify(&token, |_| Ok(issuer.verifying_key())).unwrap();
        for cbor_head in [0x81u8, 0xa1, 0xc1, 0x9f, 0x5f] {
            let nested = encode_base64url(&vec![cbor_head; token::MAX_TOKEN_BYTES * 3 / 4]);
            assert!(token::verify(&nested, |_| Err(KeyLookupError::Unknown)).is_err());
        }
        let proof_claims = ProofClaims {
            public_key: claims().viewer_key,
            id: "j".repeat(900),
            method: "GET".into(),
            url: "http://f/m/a.mpd".into(),
            issued_at: 1.0,
            token_hash: [0; 32],
        };
        proof::verify(&proof::mint(&proof_claims, &viewer)).unwrap();
        let params = mpd::ManifestParams {
            title: "a",
            base_url: "http://b/".into(),
            location: "http://f/".into(),
            started_at_ms: 1.0,
            published_at_ms: 1.0,
            update_period_ms: 1.0,
            segment_duration_ms: 1.0,
            rungs: (0..64).map(|r| (r, 100.0)).collect(),
        };
        mpd::to_xml(&params).unwrap();
    };
    let stack_words = walnutline_front::COROUTINE_STACK_WORDS / 4;
    // A stack overflow hits the guard page and ends the test process.
    let coroutine = unsafe { Builder::new().stack_size(stack_words).spawn(work) }.unwrap();
    coroutine.join().unwrap();
}
