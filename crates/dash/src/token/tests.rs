use super::*;
use proptest::prelude::*;

fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

fn claims() -> ViewerClaims {
    ViewerClaims {
        id: vec![1, 2],
        manifest_path: "/m/water.mpd".into(),
        service_group: "council-notice".into(),
        holders: vec![3, 70_000],
        max_rung: Some(2),
        tenant: Some("north".into()),
        not_before: Some(5_000.0),
        expires_at: 1_700_000_000_500.0,
        viewer_key: [9; 32],
    }
}

fn find_key(id: &[u8]) -> Result<VerifyingKey, KeyLookupError> {
    if id == b"k1" {
        Ok(key(1).verifying_key())
    } else {
        Err(KeyLookupError::Unknown)
    }
}

#[test]
fn tokens_round_trip() {
    assert_eq!(verify(&mint(&claims(), b"k1", &key(1)), find_key), Ok(claims()));
    let session =
        SessionClaims { session: u64::MAX, server: 7, path_prefix: "/s/1/".into(), expires_at: 2_000.0 };
    assert_eq!(verify_session(&mint_session(&session, b"k1", &key(1)), find_key), Ok(session));
}

#[test]
fn unknown_key_bad_signature_and_excess_length_are_distinguished() {
    assert_eq!(verify(&mint(&claims(), b"k2", &key(1)), find_key), Err(Refusal::UnknownKey));
    assert_eq!(verify(&mint(&claims(), b"k1", &key(2)), find_key), Err(Refusal::BadSignature));
    assert_eq!(verify(&"A".repeat(MAX_TOKEN_BYTES + 1), find_key), Err(Refusal::TokenTooLong));
}

#[test]
fn any_changed_byte_is_refused() {
    let bytes = decode_base64url(&mint(&claims(), b"k1", &key(1))).unwrap();
    for index in 0..bytes.len() {
        for bit in [1, 0x80] {
            let mut changed = bytes.clone();
            changed[index] ^= bit;
            assert!(verify(&encode_base64url(&changed), find_key).is_err(), "byte {index} bit {bit}");
        }
    }
}

fn sign_and_verify(map: Vec<(Value, Value)>) -> Result<ViewerClaims, Refusal> {
    verify(&sign_claims(map, b"k1", &key(1)), find_key)
}

#[test]
fn unsupported_restriction_or_missing_claim_is_refused() {
    let bytes = decode_base64url(&mint(&claims(), b"k1", &key(1))).unwrap();
    let payload = CoseSign1::from_tagged_slice(&bytes).unwrap().payload.unwrap();
    let Value::Map(map) = Value::from_slice(&payload).unwrap() else { panic!() };
    assert!(sign_and_verify(map.clone()).is_ok());
    // Label 311 is `catnip`, which restricts the client's network addresses.
    let mut with_ip = map.clone();
    with_ip.push((311.into(), Value::Array(vec![])));
    assert_eq!(sign_and_verify(with_ip), Err(Refusal::TokenMalformed("claim 311 is not supported".into())));
    for index in 0..map.len() {
        let mut without = map.clone();
        let (label, _) = without.remove(index);
        let optional = [MAX_RUNG, TENANT, NBF].iter().any(|l| label == (*l).into());
        assert_eq!(sign_and_verify(without).is_ok(), optional, "without {label:?}");
    }
}

#[test]
fn deep_nesting_is_refused_before_decoding() {
    for initial_byte in [0x81u8, 0xa1, 0xc1, 0x9f, 0x5f] {
        let deep = vec![initial_byte; 1_500];
        assert!(check_nesting_depth(&deep, MAX_NESTING_DEPTH).is_err(), "{initial_byte:x}");
        assert!(matches!(verify(&encode_base64url(&deep), find_key), Err(Refusal::TokenMalformed(_))));
    }
}

proptest! {
    #[test]
    fn arbitrary_input_is_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(verify(&encode_base64url(&bytes), find_key).is_err());
        prop_assert!(verify(&String::from_utf8_lossy(&bytes), find_key).is_err());
    }

    /// The scan for nesting accepts values that the decoder accepts.
    #[test]
    fn nesting_check_accepts_shallow_values(numbers in prop::collection::vec(any::<i64>(), 0..40), text in ".{0,60}") {
        let list = Value::Array(numbers.into_iter().map(Value::from).collect());
        let value = Value::Map(vec![(text.into(), list), (1.into(), Value::Tag(18, Box::new(2.into())))]);
        let bytes = value.to_vec().unwrap();
        prop_assert_eq!(check_nesting_depth(&bytes, 4), Ok(()));
        prop_assert!(check_nesting_depth(&bytes, 1).is_err());
    }
}
