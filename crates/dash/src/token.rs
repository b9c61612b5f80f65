//! Common Access Tokens (CTA-5007): a CWT (RFC 8392) in a tagged COSE_Sign1 (RFC 9052), signed with Ed25519 and sent as
//! base64url. Claims have their registered labels; the service group, the holders, the highest rung and the tenant
//! have labels for private use (below -65536). A token with an unsupported claim in the CAT range is rejected as
//! malformed: such a claim restricts what the token authorizes, so ignoring it would authorize too much.
use crate::{decode_base64url, encode_base64url};
use ciborium::Value;
use coset::{iana, CborSerializable, CoseSign1, CoseSign1Builder, HeaderBuilder, TaggedCborSerializable};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use walnutline_auth::authorization::Refusal;
use walnutline_auth::claims::{SessionClaims, ViewerClaims};
use walnutline_auth::keys::KeyLookupError;
use walnutline_auth::UnixMs;

/// Longest token that is accepted, in its encoded form.
pub const MAX_TOKEN_BYTES: usize = 2_048;
/// Maximum nesting depth of arrays, maps and tags in CBOR. A token needs six levels.
const MAX_NESTING_DEPTH: usize = 12;

// Labels of registered claims.
const SUB: i64 = 2;
const AUD: i64 = 3;
const EXP: i64 = 4;
const NBF: i64 = 5;
const CTI: i64 = 7;
const CNF: i64 = 8;
const CATV: i64 = 310;
const CATU: i64 = 312;
/// Labels registered for CAT claims.
const CAT_RANGE: std::ops::RangeInclusive<i64> = 308..=325;
// Labels of private claims.
const SERVICE_GROUP: i64 = -65_537;
const HOLDERS: i64 = -65_538;
const MAX_RUNG: i64 = -65_539;
const TENANT: i64 = -65_540;

// In `catu`: the component of the URI that is matched, and the types of match.
const CATU_PATH: i64 = 3;
const MATCH_EXACT: i64 = 0;
const MATCH_PREFIX: i64 = 1;

// Parameters of the COSE_Key of an Ed25519 key, as (label, value): kty OKP and crv Ed25519; x is the public key.
const KTY: (i64, i64) = (1, 1);
const CRV: (i64, i64) = (-1, 6);
const X: i64 = -2;

/// Creates a signed access token for a viewer.
pub fn mint(claims: &ViewerClaims, key_id: &[u8], key: &SigningKey) -> String {
    let cose_key = vec![
        (KTY.0.into(), KTY.1.into()),
        (CRV.0.into(), CRV.1.into()),
        (X.into(), Value::Bytes(claims.viewer_key.to_vec())),
    ];
    let holders = claims.holders.iter().map(|holder| Value::from(*holder)).collect();
    let mut map = vec![
        (EXP.into(), numeric_date(claims.expires_at)),
        (CTI.into(), Value::Bytes(claims.id.clone())),
        (CNF.into(), Value::Map(vec![(1.into(), Value::Map(cose_key))])),
        (CATV.into(), 1.into()),
        (CATU.into(), path_match_claim(MATCH_EXACT, &claims.manifest_path)),
        (SERVICE_GROUP.into(), claims.service_group.clone().into()),
        (HOLDERS.into(), Value::Array(holders)),
    ];
    map.extend(claims.not_before.map(|t| (NBF.into(), numeric_date(t))));
    map.extend(claims.max_rung.map(|rung| (MAX_RUNG.into(), rung.into())));
    map.extend(claims.tenant.clone().map(|tenant| (TENANT.into(), tenant.into())));
    sign_claims(map, key_id, key)
}

/// Creates a signed session token.
pub fn mint_session(claims: &SessionClaims, key_id: &[u8], key: &SigningKey) -> String {
    let map = vec![
        (SUB.into(), claims.session.to_string().into()),
        (AUD.into(), claims.server.to_string().into()),
        (EXP.into(), numeric_date(claims.expires_at)),
        (CATV.into(), 1.into()),
        (CATU.into(), path_match_claim(MATCH_PREFIX, &claims.path_prefix)),
    ];
    sign_claims(map, key_id, key)
}

/// Encodes a time as a NumericDate: seconds since the epoch, with fractions.
fn numeric_date(time: UnixMs) -> Value {
    Value::Float(time / 1_000.0)
}

/// Value of a `catu` claim with one match on the path.
fn path_match_claim(match_type: i64, path: &str) -> Value {
    Value::Map(vec![(CATU_PATH.into(), Value::Map(vec![(match_type.into(), path.into())]))])
}

/// Signs a map of claims and returns the encoded token.
fn sign_claims(map: Vec<(Value, Value)>, key_id: &[u8], key: &SigningKey) -> String {
    let payload = Value::Map(map).to_vec().expect("claims are encodable");
    let protected = HeaderBuilder::new().algorithm(iana::Algorithm::EdDSA).build();
    let unprotected = HeaderBuilder::new().key_id(key_id.to_vec()).build();
    let signed = CoseSign1Builder::new()
        .protected(protected)
        .unprotected(unprotected)
        .payload(payload)
        .create_signature(b"", |bytes| key.sign(bytes).to_bytes().to_vec())
        .build();
    encode_base64url(&signed.to_tagged_vec().expect("COSE_Sign1 is encodable"))
}

/// Decodes a viewer's access token and verifies its signature. `find_key` looks up the key by the token's key id.
pub fn verify(
    token: &str,
    find_key: impl Fn(&[u8]) -> Result<VerifyingKey, KeyLookupError>,
) -> Result<ViewerClaims, Refusal> {
    let map = verified_claims(token, find_key)?;
    let claims = parse_viewer_claims(&map).map_err(Refusal::TokenMalformed)?;
    Ok(claims)
}

/// Decodes a session token and verifies its signature. `find_key` looks up the key by the token's key id.
pub fn verify_session(
    token: &str,
    find_key: impl Fn(&[u8]) -> Result<VerifyingKey, KeyLookupError>,
) -> Result<SessionClaims, Refusal> {
    let map = verified_claims(token, find_key)?;
    parse_session_claims(&map).map_err(Refusal::TokenMalformed)
}

/// Decodes a session token without verifying its signature. The result must not be used for authorization; it serves
/// callers that have no key.
pub fn decode_session_unverified(token: &str) -> Option<SessionClaims> {
    let bytes = decode_base64url(token).ok()?;
    check_nesting_depth(&bytes, MAX_NESTING_DEPTH).ok()?;
    let payload = CoseSign1::from_tagged_slice(&bytes).ok()?.payload?;
    check_nesting_depth(&payload, MAX_NESTING_DEPTH).ok()?;
    match Value::from_slice(&payload) {
        Ok(Value::Map(map)) => parse_session_claims(&map).ok(),
        _ => None,
    }
}

/// Verifies the signature of a token and returns its map of claims.
fn verified_claims(
    token: &str,
    find_key: impl Fn(&[u8]) -> Result<VerifyingKey, KeyLookupError>,
) -> Result<Vec<(Value, Value)>, Refusal> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(Refusal::TokenTooLong);
    }
    let malformed = |reason: String| Refusal::TokenMalformed(reason);
    let bytes = decode_base64url(token).map_err(malformed)?;
    check_nesting_depth(&bytes, MAX_NESTING_DEPTH).map_err(malformed)?;
    let signed = CoseSign1::from_tagged_slice(&bytes).map_err(|e| malformed(format!("COSE_Sign1: {e}")))?;
    let eddsa = Some(coset::Algorithm::Assigned(iana::Algorithm::EdDSA));
    if signed.protected.header.alg != eddsa {
        return Err(malformed("algorithm: only EdDSA is supported".into()));
    }
    if !signed.protected.header.crit.is_empty() {
        return Err(malformed("critical headers are not supported".into()));
    }
    let key = find_key(&signed.unprotected.key_id)?;
    let verify_signature = |signature: &[u8], data: &[u8]| {
        let signature = Signature::from_slice(signature).map_err(|_| ())?;
        key.verify_strict(data, &signature).map_err(|_| ())
    };
    signed.verify_signature(b"", verify_signature).map_err(|()| Refusal::BadSignature)?;
    let payload = signed.payload.ok_or_else(|| malformed("no payload".into()))?;
    check_nesting_depth(&payload, MAX_NESTING_DEPTH).map_err(malformed)?;
    match Value::from_slice(&payload) {
        Ok(Value::Map(map)) => Ok(map),
        Ok(_) => Err(malformed("claims: not a map".into())),
        Err(e) => Err(malformed(format!("claims: {e}"))),
    }
}

fn parse_viewer_claims(map: &[(Value, Value)]) -> Result<ViewerClaims, String> {
    check_cat_claims(map, &[CATV, CATU])?;
    let key = require(map, CNF)?.as_map().and_then(|m| get(m, 1)).and_then(Value::as_map);
    let key = key.ok_or("cnf: no COSE_Key")?;
    let has = |(label, value): (i64, i64)| get(key, label) == Some(&value.into());
    if !has(KTY) || !has(CRV) {
        return Err("cnf: not an Ed25519 key".into());
    }
    let x = get(key, X).and_then(Value::as_bytes).ok_or("cnf: no key bytes")?;
    let holders = require(map, HOLDERS)?.as_array().ok_or("holders: not an array")?;
    let optional_text = |label: i64, name: &str| match get(map, label) {
        None => Ok(None),
        Some(v) => v.as_text().map(|t| Some(t.to_owned())).ok_or(format!("{name}: not a text string")),
    };
    Ok(ViewerClaims {
        id: require(map, CTI)?.as_bytes().ok_or("cti: not bytes")?.clone(),
        manifest_path: parse_path_match(map, MATCH_EXACT)?,
        service_group: optional_text(SERVICE_GROUP, "service group")?.ok_or("service group: missing")?,
        holders: holders.iter().map(|v| parse_integer(v, "holders")).collect::<Result<_, _>>()?,
        max_rung: get(map, MAX_RUNG).map(|v| parse_integer(v, "highest rung")).transpose()?,
        tenant: optional_text(TENANT, "tenant")?,
        not_before: get(map, NBF).map(|v| parse_numeric_date(v, "nbf")).transpose()?,
        expires_at: parse_numeric_date(require(map, EXP)?, "exp")?,
        viewer_key: x.as_slice().try_into().map_err(|_| "cnf: key is not 32 bytes")?,
    })
}

fn parse_session_claims(map: &[(Value, Value)]) -> Result<SessionClaims, String> {
    check_cat_claims(map, &[CATV, CATU])?;
    let decimal_text = |label: i64, name: &str| {
        let text = require(map, label)?.as_text().ok_or(format!("{name}: not a text string"))?;
        text.parse::<u64>().map_err(|_| format!("{name}: not a number"))
    };
    Ok(SessionClaims {
        session: decimal_text(SUB, "sub")?,
        server: u32::try_from(decimal_text(AUD, "aud")?).map_err(|_| "aud: not a box id")?,
        path_prefix: parse_path_match(map, MATCH_PREFIX)?,
        expires_at: parse_numeric_date(require(map, EXP)?, "exp")?,
    })
}

/// Rejects CAT claims other than `supported`, and versions of CAT other than 1.
fn check_cat_claims(map: &[(Value, Value)], supported: &[i64]) -> Result<(), String> {
    for (label, _) in map {
        let label = label.as_integer().and_then(|i| i64::try_from(i).ok());
        if let Some(label) = label.filter(|l| CAT_RANGE.contains(l) && !supported.contains(l)) {
            return Err(format!("claim {label} is not supported"));
        }
    }
    match get(map, CATV) {
        Some(v) if *v == 1.into() => Ok(()),
        _ => Err("catv: only version 1 is supported".into()),
    }
}

/// The value of an integer label in a CBOR map.
fn get(map: &[(Value, Value)], label: i64) -> Option<&Value> {
    map.iter().find(|(l, _)| *l == label.into()).map(|(_, v)| v)
}

/// Like [`get`], but an absent claim is an error.
fn require(map: &[(Value, Value)], label: i64) -> Result<&Value, String> {
    get(map, label).ok_or_else(|| format!("claim {label}: missing"))
}

fn parse_integer<N: TryFrom<i128>>(v: &Value, name: &str) -> Result<N, String> {
    let n = v.as_integer().map(i128::from).ok_or_else(|| format!("{name}: not a number"))?;
    N::try_from(n).map_err(|_| format!("{name}: {n} is out of range"))
}

/// Decodes a NumericDate: seconds since the epoch, integer or floating-point.
fn parse_numeric_date(v: &Value, name: &str) -> Result<UnixMs, String> {
    let seconds = match v {
        Value::Float(f) if f.is_finite() => *f,
        Value::Integer(i) => i128::from(*i) as f64,
        _ => return Err(format!("{name}: not a time")),
    };
    Ok(seconds * 1_000.0)
}

/// The path in the `catu` claim, which must consist of one match of this type on the path.
fn parse_path_match(map: &[(Value, Value)], match_type: i64) -> Result<String, String> {
    let components = require(map, CATU)?.as_map().ok_or("catu: not a map")?;
    let [(component, matches)] = components.as_slice() else {
        return Err("catu: only one match on the path is supported".into());
    };
    let matches = matches.as_map().ok_or("catu: not a map of matches")?;
    match (component, matches.as_slice()) {
        (component, [(label, text)]) if *component == CATU_PATH.into() && *label == match_type.into() => {
            text.as_text().map(str::to_owned).ok_or_else(|| "catu: not a text string".into())
        }
        _ => Err("catu: only one match on the path is supported".into()),
    }
}

/// Scans the heads of CBOR data items and fails if they nest deeper than `max_depth`. CBOR decoders recurse for each
/// level, and the stack of a coroutine is small. The scan checks only what it needs to find the next head; all other
/// errors are left to the decoder.
fn check_nesting_depth(bytes: &[u8], max_depth: usize) -> Result<(), String> {
    // Number of items still expected at each open level; `u64::MAX` for an indefinite length.
    let mut remaining_items: Vec<u64> = vec![1];
    let mut offset = 0;
    while let Some(remaining) = remaining_items.last_mut() {
        if *remaining == 0 {
            remaining_items.pop();
            continue;
        }
        let Some(&initial_byte) = bytes.get(offset) else { return Ok(()) };
        offset += 1;
        // Break: the end of an item of indefinite length.
        if initial_byte == 0xff {
            remaining_items.pop();
            continue;
        }
        if *remaining != u64::MAX {
            *remaining -= 1;
        }
        let (major_type, additional_info) = (initial_byte >> 5, initial_byte & 31);
        let argument_len =
            if (24..=27).contains(&additional_info) { 1usize << (additional_info - 24) } else { 0 };
        let Some(argument_bytes) = bytes.get(offset..offset + argument_len) else { return Ok(()) };
        let argument = match argument_len {
            0 => additional_info as u64,
            _ => argument_bytes.iter().fold(0, |acc, byte| acc << 8 | *byte as u64),
        };
        offset += argument_len;
        let indefinite = additional_info == 31;
        // Major types: 2 byte string, 3 text string, 4 array, 5 map, 6 tag.
        match major_type {
            2 | 3 if indefinite => remaining_items.push(u64::MAX),
            2 | 3 => offset = offset.saturating_add(argument.min(bytes.len() as u64) as usize),
            4 | 5 if indefinite => remaining_items.push(u64::MAX),
            4 => remaining_items.push(argument),
            5 => remaining_items.push(argument.saturating_mul(2)),
            6 => remaining_items.push(1),
            _ => {}
        }
        if remaining_items.len() > max_depth {
            return Err(format!("byte {offset}: nested deeper than {max_depth}"));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
