//! Titles by name: an index from the hash of a name to the positions of titles, in pages that versions share. Each
//! page has the hashes that begin alike, ascending. NameIndex are not kept here a second time: who asks compares the name
//! of each position that is offered.
//!
//! Growth: 16 bytes a title. A look-up begins in one page of some hundred entries where its hash should be; a change copies
//! one page. Pages are split in two all at once when they have grown past [`FULL`] on average.
use std::sync::Arc;

/// Entries a page on average from which all pages are split.
const FULL: usize = 256;

#[derive(Debug, Clone)]
pub struct NameIndex {
    /// 1 << bits pages.
    bits: u32,
    pages: Vec<Arc<Vec<(u64, u32)>>>,
    len: usize,
}

impl Default for NameIndex {
    fn default() -> Self {
        NameIndex { bits: 0, pages: vec![Arc::default()], len: 0 }
    }
}

/// FNV-1a, then mixed: the first bits choose the page. NameIndex are the publisher's, not viewers', so that nobody
/// outside can choose them to collide; the index stays right if they do.
pub fn hash_name(name: &str) -> u64 {
    hash_bytes(name.as_bytes())
}

pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let h = bytes.iter().copied().fold(0xcbf2_9ce4_8422_2325, step);
    let h = (h ^ h >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ h >> 29
}

impl NameIndex {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn page(&self, hash: u64) -> usize {
        if self.bits == 0 {
            0
        } else {
            (hash >> (64 - self.bits)) as usize
        }
    }

    /// Positions of the titles whose names hash so: nearly always one or none.
    pub fn positions(&self, hash: u64) -> impl Iterator<Item = u32> + '_ {
        let page = &self.pages[self.page(hash)];
        let from = self.lower_bound(page, hash);
        page[from..].iter().take_while(move |e| e.0 == hash).map(|e| e.1)
    }

    /// Position of the first entry of a page that is not below a hash. Hashes are spread evenly, so it is looked for
    /// from where it should be: some cache lines are read where halving would read one for each step.
    fn lower_bound(&self, page: &[(u64, u32)], hash: u64) -> usize {
        let within = hash.checked_shl(self.bits).unwrap_or(0);
        let mut at = ((u128::from(within) * page.len() as u128) >> 64) as usize;
        while at > 0 && page[at - 1].0 >= hash {
            at -= 1;
        }
        while page.get(at).is_some_and(|e| e.0 < hash) {
            at += 1;
        }
        at
    }

    pub fn insert(&mut self, hash: u64, position: u32) {
        if self.len >= FULL << self.bits && self.bits < 24 {
            self.split();
        }
        let at = self.page(hash);
        let page = Arc::make_mut(&mut self.pages[at]);
        let entry = (hash, position);
        if let Err(n) = page.binary_search(&entry) {
            page.insert(n, entry);
            self.len += 1;
        }
    }

    pub fn remove(&mut self, hash: u64, position: u32) {
        let at = self.page(hash);
        let page = Arc::make_mut(&mut self.pages[at]);
        if let Ok(n) = page.binary_search(&(hash, position)) {
            page.remove(n);
            self.len -= 1;
        }
    }

    fn split(&mut self) {
        self.bits += 1;
        let half = |page: &Arc<Vec<(u64, u32)>>| {
            // Within a page all bits before this one are the same.
            let middle = page.partition_point(|e| e.0 >> (64 - self.bits) & 1 == 0);
            [Arc::new(page[..middle].to_vec()), Arc::new(page[middle..].to_vec())]
        };
        self.pages = self.pages.iter().flat_map(half).collect();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    proptest! {
        /// Beside a plain set, with hashes that often collide or share their first bits.
        #[test]
        fn like_a_set(steps in prop::collection::vec((any::<bool>(), 0u64..400, 0u32..3, any::<bool>()), 0..1_500)) {
            let (mut names, mut plain) = (NameIndex::default(), BTreeSet::new());
            let mut kept = None;
            for (n, (add, base, position, high)) in steps.into_iter().enumerate() {
                let hash = if high { base << 55 } else { base.wrapping_mul(0x9e37_79b9_7f4a_7c15) };
                if add {
                    names.insert(hash, position);
                    plain.insert((hash, position));
                } else {
                    names.remove(hash, position);
                    plain.remove(&(hash, position));
                }
                prop_assert_eq!(names.len(), plain.len());
                let found: Vec<u32> = names.positions(hash).collect();
                let wanted: Vec<u32> = plain.range((hash, 0)..=(hash, u32::MAX)).map(|e| e.1).collect();
                prop_assert_eq!(found, wanted);
                if n == 700 {
                    kept = Some((names.clone(), plain.clone()));
                }
            }
            for (names, plain) in kept.into_iter().chain([(names, plain)]) {
                prop_assert!(plain.iter().all(|(h, p)| names.positions(*h).any(|q| q == *p)));
            }
        }
    }

    #[test]
    fn splits_keep_every_name() {
        let mut names = NameIndex::default();
        let name = |n: u32| hash_name(&format!("notice-{n}"));
        (0..20_000).for_each(|n| names.insert(name(n), n));
        assert!(names.pages.len() >= 64);
        assert!((0..20_000).all(|n| names.positions(name(n)).eq([n])));
        let most = names.pages.iter().map(|p| p.len()).max().unwrap();
        assert!(most < 2 * FULL, "uneven pages: {most}");
    }
}
