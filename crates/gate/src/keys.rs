//! Which keys are in force when. Several may be at once, so that a new key can be told to every verifier before
//! the first token is signed with it, and the old one lasts until its last token has expired.
use crate::UnixMs;

#[derive(Debug, Clone)]
pub struct KeyEntry<K> {
    pub id: Vec<u8>,
    pub key: K,
    pub valid_from: UnixMs,
    pub valid_until: UnixMs,
}

/// The keys of one issuer; replaced whole on a change.
#[derive(Debug, Clone)]
pub struct KeySet<K> {
    entries: Vec<KeyEntry<K>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyLookupError {
    Unknown,
    NotInForce,
}

impl<K> KeySet<K> {
    /// Fails with the id that stands in two entries.
    pub fn new(entries: Vec<KeyEntry<K>>) -> Result<Self, Vec<u8>> {
        for (n, e) in entries.iter().enumerate() {
            if entries[..n].iter().any(|other| other.id == e.id) {
                return Err(e.id.clone());
            }
        }
        Ok(KeySet { entries })
    }

    pub fn find(&self, id: &[u8], now: UnixMs) -> Result<&K, KeyLookupError> {
        let e = self.entries.iter().find(|e| e.id == id).ok_or(KeyLookupError::Unknown)?;
        if (e.valid_from..e.valid_until).contains(&now) {
            Ok(&e.key)
        } else {
            Err(KeyLookupError::NotInForce)
        }
    }

    /// The key to sign with: of those in force the one that stays so longest.
    pub fn signing_key(&self, now: UnixMs) -> Option<&KeyEntry<K>> {
        let in_force = self.entries.iter().filter(|e| (e.valid_from..e.valid_until).contains(&now));
        in_force.max_by(|a, b| a.valid_until.total_cmp(&b.valid_until))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: &str, from: UnixMs, until: UnixMs) -> KeyEntry<u32> {
        KeyEntry { id: id.into(), key: id.len() as u32, valid_from: from, valid_until: until }
    }

    #[test]
    fn two_keys_overlap_and_each_ends_in_its_time() {
        let ring = KeySet::new(vec![entry("a", 0.0, 100.0), entry("bb", 50.0, 200.0)]).unwrap();
        assert_eq!(ring.find(b"a", 60.0), Ok(&1));
        assert_eq!(ring.find(b"bb", 60.0), Ok(&2));
        assert_eq!(ring.find(b"bb", 49.0), Err(KeyLookupError::NotInForce));
        assert_eq!(ring.find(b"a", 100.0), Err(KeyLookupError::NotInForce));
        assert_eq!(ring.find(b"c", 60.0), Err(KeyLookupError::Unknown));
        assert_eq!(ring.signing_key(60.0).unwrap().id, b"bb");
        assert_eq!(ring.signing_key(40.0).unwrap().id, b"a");
        assert!(ring.signing_key(300.0).is_none());
    }

    #[test]
    fn an_id_given_twice_is_named() {
        assert_eq!(KeySet::new(vec![entry("a", 0.0, 1.0), entry("a", 1.0, 2.0)]).unwrap_err(), b"a");
    }
}
