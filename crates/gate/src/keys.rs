//! Which keys are in force when. Several may be at once, so that a new key can be told to every verifier before
//! the first token is signed with it, and the old one lasts until its last token has expired.
use crate::UnixMs;

#[derive(Debug, Clone)]
pub struct Entry<K> {
    pub id: Vec<u8>,
    pub key: K,
    pub from: UnixMs,
    pub until: UnixMs,
}

/// The keys of one issuer; replaced whole on a change.
#[derive(Debug, Clone)]
pub struct Ring<K> {
    entries: Vec<Entry<K>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    Unknown,
    NotInForce,
}

impl<K> Ring<K> {
    /// Fails with the id that stands in two entries.
    pub fn new(entries: Vec<Entry<K>>) -> Result<Self, Vec<u8>> {
        for (n, e) in entries.iter().enumerate() {
            if entries[..n].iter().any(|other| other.id == e.id) {
                return Err(e.id.clone());
            }
        }
        Ok(Ring { entries })
    }

    pub fn find(&self, id: &[u8], now: UnixMs) -> Result<&K, Miss> {
        let e = self.entries.iter().find(|e| e.id == id).ok_or(Miss::Unknown)?;
        if (e.from..e.until).contains(&now) {
            Ok(&e.key)
        } else {
            Err(Miss::NotInForce)
        }
    }

    /// The key to sign with: of those in force the one that stays so longest.
    pub fn signer(&self, now: UnixMs) -> Option<&Entry<K>> {
        let in_force = self.entries.iter().filter(|e| (e.from..e.until).contains(&now));
        in_force.max_by(|a, b| a.until.total_cmp(&b.until))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: &str, from: UnixMs, until: UnixMs) -> Entry<u32> {
        Entry { id: id.into(), key: id.len() as u32, from, until }
    }

    #[test]
    fn two_keys_overlap_and_each_ends_in_its_time() {
        let ring = Ring::new(vec![entry("a", 0.0, 100.0), entry("bb", 50.0, 200.0)]).unwrap();
        assert_eq!(ring.find(b"a", 60.0), Ok(&1));
        assert_eq!(ring.find(b"bb", 60.0), Ok(&2));
        assert_eq!(ring.find(b"bb", 49.0), Err(Miss::NotInForce));
        assert_eq!(ring.find(b"a", 100.0), Err(Miss::NotInForce));
        assert_eq!(ring.find(b"c", 60.0), Err(Miss::Unknown));
        assert_eq!(ring.signer(60.0).unwrap().id, b"bb");
        assert_eq!(ring.signer(40.0).unwrap().id, b"a");
        assert!(ring.signer(300.0).is_none());
    }

    #[test]
    fn an_id_given_twice_is_named() {
        assert_eq!(Ring::new(vec![entry("a", 0.0, 1.0), entry("a", 1.0, 2.0)]).unwrap_err(), b"a");
    }
}
