//! Key sets with validity periods. Periods may overlap: a new key is distributed to every verifier before the first
//! token is signed with it, and the old key stays in force until its last token has expired.
use crate::UnixMs;

/// A key with its id and validity period.
#[derive(Debug, Clone)]
pub struct KeyEntry<K> {
    /// Key id, as tokens carry it.
    pub id: Vec<u8>,
    /// Verifying or signing key.
    pub key: K,
    /// Start of the validity period, inclusive.
    pub valid_from: UnixMs,
    /// End of the validity period, exclusive.
    pub valid_until: UnixMs,
}

/// All keys of one issuer. A change of keys replaces the whole set.
#[derive(Debug, Clone)]
pub struct KeySet<K> {
    entries: Vec<KeyEntry<K>>,
}

/// Why a key set has no usable key for an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyLookupError {
    /// No entry has this id.
    Unknown,
    /// The key exists, but the current time is outside its validity period.
    NotInForce,
}

impl<K> KeySet<K> {
    /// Creates a key set. Returns the offending id as the error if two entries share it.
    pub fn new(entries: Vec<KeyEntry<K>>) -> Result<Self, Vec<u8>> {
        for (index, entry) in entries.iter().enumerate() {
            if entries[..index].iter().any(|other| other.id == entry.id) {
                return Err(entry.id.clone());
            }
        }
        Ok(KeySet { entries })
    }

    /// Returns the key with this id if it is in force at `now`.
    pub fn find(&self, id: &[u8], now: UnixMs) -> Result<&K, KeyLookupError> {
        let entry = self.entries.iter().find(|entry| entry.id == id).ok_or(KeyLookupError::Unknown)?;
        if (entry.valid_from..entry.valid_until).contains(&now) {
            Ok(&entry.key)
        } else {
            Err(KeyLookupError::NotInForce)
        }
    }

    /// Returns the key to sign with: of the keys in force at `now`, the one whose validity ends last.
    pub fn signing_key(&self, now: UnixMs) -> Option<&KeyEntry<K>> {
        let in_force =
            self.entries.iter().filter(|entry| (entry.valid_from..entry.valid_until).contains(&now));
        in_force.max_by(|a, b| a.valid_until.total_cmp(&b.valid_until))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: &str, valid_from: UnixMs, valid_until: UnixMs) -> KeyEntry<u32> {
        KeyEntry { id: id.into(), key: id.len() as u32, valid_from, valid_until }
    }

    #[test]
    fn overlapping_keys_are_found_within_their_validity_periods() {
        let keys = KeySet::new(vec![entry("a", 0.0, 100.0), entry("bb", 50.0, 200.0)]).unwrap();
        assert_eq!(keys.find(b"a", 60.0), Ok(&1));
        assert_eq!(keys.find(b"bb", 60.0), Ok(&2));
        assert_eq!(keys.find(b"bb", 49.0), Err(KeyLookupError::NotInForce));
        assert_eq!(keys.find(b"a", 100.0), Err(KeyLookupError::NotInForce));
        assert_eq!(keys.find(b"c", 60.0), Err(KeyLookupError::Unknown));
        assert_eq!(keys.signing_key(60.0).unwrap().id, b"bb");
        assert_eq!(keys.signing_key(40.0).unwrap().id, b"a");
        assert!(keys.signing_key(300.0).is_none());
    }

    #[test]
    fn duplicate_key_id_is_rejected() {
        assert_eq!(KeySet::new(vec![entry("a", 0.0, 1.0), entry("a", 1.0, 2.0)]).unwrap_err(), b"a");
    }
}
