//! Common Access Tokens (CTA-5007): a CWT (RFC 8392) in a tagged COSE_Sign1 (RFC 9052), signed with Ed25519 and
//! sent as base64url. Claims by their registered numbers; the service group, the holders, the highest rung and
//! the tenant stand under numbers for private use (below -65536). A token with a claim of the CAT range
//! that is not read here is malformed: such a claim narrows the leave, and to pass over it would widen it.
use crate::{decode_base64url, encode_base64url};
use ciborium::Value;
use coset::{iana, CborSerializable, CoseSign1, CoseSign1Builder, HeaderBuilder, TaggedCborSerializable};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use walnutline_gate::authorization::Refusal;
use walnutline_gate::claims::{SessionClaims, ViewerClaims};
use walnutline_gate::keys::KeyLookupError;
use walnutline_gate::UnixMs;

/// Longest token that is looked at, in characters.
pub const MAX_TOKEN_BYTES: usize = 2_048;
/// Deepest nesting of arrays, maps and tags that is looked at: a token needs six.
const DEEPEST: usize = 12;

const SUB: i64 = 2;
const AUD: i64 = 3;
const EXP: i64 = 4;
const NBF: i64 = 5;
const CTI: i64 = 7;
const CNF: i64 = 8;
const CATV: i64 = 310;
const CATU: i64 = 312;
const CAT_RANGE: std::ops::RangeInclusive<i64> = 308..=325;
const GROUP: i64 = -65_537;
const HOLDERS: i64 = -65_538;
const TOP: i64 = -65_539;
const TENANT: i64 = -65_540;

/// `catu`: the part of the URI that is matched, and how.
const CATU_PATH: i64 = 3;
const MATCH_EXACT: i64 = 0;
const MATCH_PREFIX: i64 = 1;

/// COSE_Key of an Ed25519 key: kty OKP, crv Ed25519, x.
const KTY: (i64, i64) = (1, 1);
const CRV: (i64, i64) = (-1, 6);
const X: i64 = -2;

/// Signs a viewer's token.
pub fn mint(claims: &ViewerClaims, key_id: &[u8], key: &SigningKey) -> String {
    let cose_key = vec![
        (KTY.0.into(), KTY.1.into()),
        (CRV.0.into(), CRV.1.into()),
        (X.into(), Value::Bytes(claims.viewer_key.to_vec())),
    ];
    let holders = claims.holders.iter().map(|h| Value::from(*h)).collect();
    let mut map = vec![
        (EXP.into(), seconds(claims.expires_at)),
        (CTI.into(), Value::Bytes(claims.id.clone())),
        (CNF.into(), Value::Map(vec![(1.into(), Value::Map(cose_key))])),
        (CATV.into(), 1.into()),
        (CATU.into(), path_claim(MATCH_EXACT, &claims.manifest_path)),
        (GROUP.into(), claims.service_group.clone().into()),
        (HOLDERS.into(), Value::Array(holders)),
    ];
    map.extend(claims.not_before.map(|t| (NBF.into(), seconds(t))));
    map.extend(claims.max_rung.map(|t| (TOP.into(), t.into())));
    map.extend(claims.tenant.clone().map(|t| (TENANT.into(), t.into())));
    sign(map, key_id, key)
}

/// Signs a session's token.
pub fn mint_session(claims: &SessionClaims, key_id: &[u8], key: &SigningKey) -> String {
    let map = vec![
        (SUB.into(), claims.session.to_string().into()),
        (AUD.into(), claims.server.to_string().into()),
        (EXP.into(), seconds(claims.expires_at)),
        (CATV.into(), 1.into()),
        (CATU.into(), path_claim(MATCH_PREFIX, &claims.path_prefix)),
    ];
    sign(map, key_id, key)
}

fn seconds(t: UnixMs) -> Value {
    Value::Float(t / 1_000.0)
}

fn path_claim(how: i64, path: &str) -> Value {
    Value::Map(vec![(CATU_PATH.into(), Value::Map(vec![(how.into(), path.into())]))])
}

fn sign(map: Vec<(Value, Value)>, key_id: &[u8], key: &SigningKey) -> String {
    let payload = Value::Map(map).to_vec().expect("claims of plain values");
    let protected = HeaderBuilder::new().algorithm(iana::Algorithm::EdDSA).build();
    let unprotected = HeaderBuilder::new().key_id(key_id.to_vec()).build();
    let signed = CoseSign1Builder::new()
        .protected(protected)
        .unprotected(unprotected)
        .payload(payload)
        .create_signature(b"", |bytes| key.sign(bytes).to_bytes().to_vec())
        .build();
    encode_base64url(&signed.to_tagged_vec().expect("a message of plain values"))
}

/// Reads a viewer's token and checks its signature by the key that it names.
pub fn verify(
    token: &str,
    key: impl Fn(&[u8]) -> Result<VerifyingKey, KeyLookupError>,
) -> Result<ViewerClaims, Refusal> {
    let map = verified_claims(token, key)?;
    let claims = read(&map).map_err(Refusal::TokenMalformed)?;
    Ok(claims)
}

/// Reads a session's token likewise.
pub fn verify_session(
    token: &str,
    key: impl Fn(&[u8]) -> Result<VerifyingKey, KeyLookupError>,
) -> Result<SessionClaims, Refusal> {
    let map = verified_claims(token, key)?;
    read_session(&map).map_err(Refusal::TokenMalformed)
}

/// What a session's token says, unchecked: for those who hold no key and give no leave by it.
pub fn decode_session_unverified(token: &str) -> Option<SessionClaims> {
    let bytes = decode_base64url(token).ok()?;
    nested_at_most(&bytes, DEEPEST).ok()?;
    let payload = CoseSign1::from_tagged_slice(&bytes).ok()?.payload?;
    nested_at_most(&payload, DEEPEST).ok()?;
    match Value::from_slice(&payload) {
        Ok(Value::Map(map)) => read_session(&map).ok(),
        _ => None,
    }
}

fn verified_claims(
    token: &str,
    key: impl Fn(&[u8]) -> Result<VerifyingKey, KeyLookupError>,
) -> Result<Vec<(Value, Value)>, Refusal> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(Refusal::TokenTooLong);
    }
    let bad = |e: String| Refusal::TokenMalformed(e);
    let bytes = decode_base64url(token).map_err(bad)?;
    nested_at_most(&bytes, DEEPEST).map_err(bad)?;
    let signed = CoseSign1::from_tagged_slice(&bytes).map_err(|e| bad(format!("COSE_Sign1: {e}")))?;
    let alg = Some(coset::Algorithm::Assigned(iana::Algorithm::EdDSA));
    if signed.protected.header.alg != alg {
        return Err(bad("algorithm: only EdDSA is taken".into()));
    }
    if !signed.protected.header.crit.is_empty() {
        return Err(bad("critical headers are not understood".into()));
    }
    let key = key(&signed.unprotected.key_id)?;
    let check = |sig: &[u8], data: &[u8]| {
        let sig = Signature::from_slice(sig).map_err(|_| ())?;
        key.verify_strict(data, &sig).map_err(|_| ())
    };
    signed.verify_signature(b"", check).map_err(|()| Refusal::BadSignature)?;
    let payload = signed.payload.ok_or_else(|| bad("no payload".into()))?;
    nested_at_most(&payload, DEEPEST).map_err(bad)?;
    match Value::from_slice(&payload) {
        Ok(Value::Map(map)) => Ok(map),
        Ok(_) => Err(bad("claims: not a map".into())),
        Err(e) => Err(bad(format!("claims: {e}"))),
    }
}

fn read(map: &[(Value, Value)]) -> Result<ViewerClaims, String> {
    understood(map, &[CATV, CATU])?;
    let key = at(map, CNF)?.as_map().and_then(|m| find(m, 1)).and_then(Value::as_map);
    let key = key.ok_or("cnf: no COSE_Key")?;
    let is = |(label, value): (i64, i64)| find(key, label) == Some(&value.into());
    if !is(KTY) || !is(CRV) {
        return Err("cnf: not an Ed25519 key".into());
    }
    let x = find(key, X).and_then(Value::as_bytes).ok_or("cnf: no key bytes")?;
    let holders = at(map, HOLDERS)?.as_array().ok_or("holders: not an array")?;
    let text = |label: i64, name: &str| match find(map, label) {
        None => Ok(None),
        Some(v) => v.as_text().map(|t| Some(t.to_owned())).ok_or(format!("{name}: not a text")),
    };
    Ok(ViewerClaims {
        id: at(map, CTI)?.as_bytes().ok_or("cti: not bytes")?.clone(),
        manifest_path: path(map, MATCH_EXACT)?,
        service_group: text(GROUP, "service group")?.ok_or("service group: missing")?,
        holders: holders.iter().map(|v| number(v, "holders")).collect::<Result<_, _>>()?,
        max_rung: find(map, TOP).map(|v| number(v, "highest rung")).transpose()?,
        tenant: text(TENANT, "tenant")?,
        not_before: find(map, NBF).map(|v| time(v, "nbf")).transpose()?,
        expires_at: time(at(map, EXP)?, "exp")?,
        viewer_key: x.as_slice().try_into().map_err(|_| "cnf: not 32 bytes of key")?,
    })
}

fn read_session(map: &[(Value, Value)]) -> Result<SessionClaims, String> {
    understood(map, &[CATV, CATU])?;
    let text = |label: i64, name: &str| {
        let text = at(map, label)?.as_text().ok_or(format!("{name}: not a text"))?;
        text.parse::<u64>().map_err(|_| format!("{name}: not a number"))
    };
    Ok(SessionClaims {
        session: text(SUB, "sub")?,
        server: u32::try_from(text(AUD, "aud")?).map_err(|_| "aud: not a box's number")?,
        path_prefix: path(map, MATCH_PREFIX)?,
        expires_at: time(at(map, EXP)?, "exp")?,
    })
}

fn understood(map: &[(Value, Value)], known: &[i64]) -> Result<(), String> {
    for (label, _) in map {
        let label = label.as_integer().and_then(|i| i64::try_from(i).ok());
        if let Some(label) = label.filter(|l| CAT_RANGE.contains(l) && !known.contains(l)) {
            return Err(format!("claim {label} is not understood"));
        }
    }
    match find(map, CATV) {
        Some(v) if *v == 1.into() => Ok(()),
        _ => Err("catv: only version 1 is taken".into()),
    }
}

fn find(map: &[(Value, Value)], label: i64) -> Option<&Value> {
    map.iter().find(|(l, _)| *l == label.into()).map(|(_, v)| v)
}

fn at(map: &[(Value, Value)], label: i64) -> Result<&Value, String> {
    find(map, label).ok_or_else(|| format!("claim {label}: missing"))
}

fn number<N: TryFrom<i128>>(v: &Value, name: &str) -> Result<N, String> {
    let n = v.as_integer().map(i128::from).ok_or_else(|| format!("{name}: not a number"))?;
    N::try_from(n).map_err(|_| format!("{name}: {n} is out of range"))
}

/// A NumericDate: seconds since the epoch, with fractions or without.
fn time(v: &Value, name: &str) -> Result<UnixMs, String> {
    let seconds = match v {
        Value::Float(f) if f.is_finite() => *f,
        Value::Integer(i) => i128::from(*i) as f64,
        _ => return Err(format!("{name}: not a time")),
    };
    Ok(seconds * 1_000.0)
}

fn path(map: &[(Value, Value)], how: i64) -> Result<String, String> {
    let parts = at(map, CATU)?.as_map().ok_or("catu: not a map")?;
    let [(part, matches)] = parts.as_slice() else {
        return Err("catu: only one match of the path is taken".into());
    };
    let matches = matches.as_map().ok_or("catu: not a map of matches")?;
    match (part, matches.as_slice()) {
        (part, [(h, text)]) if *part == CATU_PATH.into() && *h == how.into() => {
            text.as_text().map(str::to_owned).ok_or_else(|| "catu: not a text".into())
        }
        _ => Err("catu: only one match of the path is taken".into()),
    }
}

/// Walks over CBOR heads and fails where they nest deeper: readers of CBOR call themselves for each level, and a
/// coroutine's stack is small. It checks no more than it needs to keep its place; the reader does the rest.
fn nested_at_most(bytes: &[u8], deepest: usize) -> Result<(), String> {
    // Items still to come on each open level; `u64::MAX` for those without a stated end.
    let mut open: Vec<u64> = vec![1];
    let mut at = 0;
    while let Some(left) = open.last_mut() {
        if *left == 0 {
            open.pop();
            continue;
        }
        let Some(&head) = bytes.get(at) else { return Ok(()) };
        at += 1;
        if head == 0xff {
            open.pop();
            continue;
        }
        if *left != u64::MAX {
            *left -= 1;
        }
        let (major, short) = (head >> 5, head & 31);
        let size = if (24..=27).contains(&short) { 1usize << (short - 24) } else { 0 };
        let Some(raw) = bytes.get(at..at + size) else { return Ok(()) };
        let value = match size {
            0 => short as u64,
            _ => raw.iter().fold(0, |sum, b| sum << 8 | *b as u64),
        };
        at += size;
        let endless = short == 31;
        match major {
            2 | 3 if endless => open.push(u64::MAX),
            2 | 3 => at = at.saturating_add(value.min(bytes.len() as u64) as usize),
            4 | 5 if endless => open.push(u64::MAX),
            4 => open.push(value),
            5 => open.push(value.saturating_mul(2)),
            6 => open.push(1),
            _ => {}
        }
        if open.len() > deepest {
            return Err(format!("byte {at}: nested deeper than {deepest}"));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
