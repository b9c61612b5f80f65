use super::*;
use proptest::prelude::*;

fn key(n: u8) -> SigningKey {
    SigningKey::from_bytes(&[n; 32])
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

fn by_id(id: &[u8]) -> Result<VerifyingKey, KeyLookupError> {
    if id == b"k1" {
        Ok(key(1).verifying_key())
    } else {
        Err(KeyLookupError::Unknown)
    }
}

#[test]
fn what_was_minted_is_read_back() {
    assert_eq!(verify(&mint(&claims(), b"k1", &key(1)), by_id), Ok(claims()));
    let session =
        SessionClaims { session: u64::MAX, server: 7, path_prefix: "/s/1/".into(), expires_at: 2_000.0 };
    assert_eq!(verify_session(&mint_session(&session, b"k1", &key(1)), by_id), Ok(session));
}

#[test]
fn keys_and_signatures_are_told_apart() {
    assert_eq!(verify(&mint(&claims(), b"k2", &key(1)), by_id), Err(Refusal::UnknownKey));
    assert_eq!(verify(&mint(&claims(), b"k1", &key(2)), by_id), Err(Refusal::BadSignature));
    assert_eq!(verify(&"A".repeat(MAX_TOKEN_BYTES + 1), by_id), Err(Refusal::TokenTooLong));
}

#[test]
fn any_changed_byte_is_refused() {
    let bytes = decode_base64url(&mint(&claims(), b"k1", &key(1))).unwrap();
    for at in 0..bytes.len() {
        for bit in [1, 0x80] {
            let mut changed = bytes.clone();
            changed[at] ^= bit;
            assert!(verify(&encode_base64url(&changed), by_id).is_err(), "byte {at} bit {bit}");
        }
    }
}

fn signed(map: Vec<(Value, Value)>) -> Result<ViewerClaims, Refusal> {
    verify(&sign(map, b"k1", &key(1)), by_id)
}

#[test]
fn what_narrows_the_leave_and_is_not_understood_is_refused() {
    let bytes = decode_base64url(&mint(&claims(), b"k1", &key(1))).unwrap();
    let payload = CoseSign1::from_tagged_slice(&bytes).unwrap().payload.unwrap();
    let Value::Map(map) = Value::from_slice(&payload).unwrap() else { panic!() };
    assert!(signed(map.clone()).is_ok());
    let mut with_ip = map.clone();
    with_ip.push((311.into(), Value::Array(vec![])));
    assert_eq!(signed(with_ip), Err(Refusal::TokenMalformed("claim 311 is not understood".into())));
    for n in 0..map.len() {
        let mut without = map.clone();
        let (label, _) = without.remove(n);
        let optional = [TOP, TENANT, NBF].iter().any(|l| label == (*l).into());
        assert_eq!(signed(without).is_ok(), optional, "without {label:?}");
    }
}

#[test]
fn deep_nesting_is_refused_before_it_is_read() {
    for head in [0x81u8, 0xa1, 0xc1, 0x9f, 0x5f] {
        let deep = vec![head; 1_500];
        assert!(nested_at_most(&deep, DEEPEST).is_err(), "{head:x}");
        assert!(matches!(verify(&encode_base64url(&deep), by_id), Err(Refusal::TokenMalformed(_))));
    }
}

proptest! {
    #[test]
    fn rubbish_is_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(verify(&encode_base64url(&bytes), by_id).is_err());
        prop_assert!(verify(&String::from_utf8_lossy(&bytes), by_id).is_err());
    }

    /// The walk over heads agrees with the reader on what the reader takes.
    #[test]
    fn shallow_values_pass(numbers in prop::collection::vec(any::<i64>(), 0..40), text in ".{0,60}") {
        let list = Value::Array(numbers.into_iter().map(Value::from).collect());
        let value = Value::Map(vec![(text.into(), list), (1.into(), Value::Tag(18, Box::new(2.into())))]);
        let bytes = value.to_vec().unwrap();
        prop_assert_eq!(nested_at_most(&bytes, 4), Ok(()));
        prop_assert!(nested_at_most(&bytes, 1).is_err());
    }
}
