//! Index of titles by name: from the hash of a name to the positions of titles, in pages that versions share. Each
//! page holds the hashes with a common bit prefix, in ascending order. Names are not stored here: the caller compares
//! the name at each returned position.
//!
//! Growth: 16 bytes for each title. A look-up reads one page of a few hundred entries, starting where the hash is
//! expected. A change copies one page. All pages are split at once when they reach `MAX_MEAN_PAGE_LEN` entries on
//! average.
use std::sync::Arc;

/// Mean number of entries in a page at which all pages are split.
const MAX_MEAN_PAGE_LEN: usize = 256;

/// A copy-on-write multimap from hashes of names to positions.
#[derive(Debug, Clone)]
pub struct NameIndex {
    /// Leading bits of a hash that select its page: there are `1 << page_bits` pages.
    page_bits: u32,
    pages: Vec<Arc<Vec<(u64, u32)>>>,
    len: usize,
}

impl Default for NameIndex {
    fn default() -> Self {
        NameIndex { page_bits: 0, pages: vec![Arc::default()], len: 0 }
    }
}

/// Hashes a name: FNV-1a with a final mix, since the leading bits select the page. Names come from the publisher and
/// not from viewers, so outsiders cannot choose colliding ones. The index stays correct if they collide.
pub fn hash_name(name: &str) -> u64 {
    hash_bytes(name.as_bytes())
}

/// Hashes bytes in the same way as [`hash_name`].
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let h = bytes.iter().copied().fold(0xcbf2_9ce4_8422_2325, step);
    let h = (h ^ h >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ h >> 29
}

impl NameIndex {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Index of the page that holds a hash.
    fn page_index(&self, hash: u64) -> usize {
        if self.page_bits == 0 {
            0
        } else {
            (hash >> (64 - self.page_bits)) as usize
        }
    }

    /// Positions of the titles whose names have this hash: nearly always one or none.
    pub fn positions(&self, hash: u64) -> impl Iterator<Item = u32> + '_ {
        let page = &self.pages[self.page_index(hash)];
        let start = self.lower_bound(page, hash);
        page[start..].iter().take_while(move |e| e.0 == hash).map(|e| e.1)
    }

    /// Index of the first entry of a page that is not below a hash. Hashes are evenly distributed, so the search
    /// starts at the expected index. It touches fewer cache lines than a binary search, which touches one in each
    /// step.
    fn lower_bound(&self, page: &[(u64, u32)], hash: u64) -> usize {
        let suffix = hash.checked_shl(self.page_bits).unwrap_or(0);
        let mut index = ((u128::from(suffix) * page.len() as u128) >> 64) as usize;
        while index > 0 && page[index - 1].0 >= hash {
            index -= 1;
        }
        while page.get(index).is_some_and(|e| e.0 < hash) {
            index += 1;
        }
        index
    }

    /// Adds an entry, unless it exists.
    pub fn insert(&mut self, hash: u64, position: u32) {
        if self.len >= MAX_MEAN_PAGE_LEN << self.page_bits && self.page_bits < 24 {
            self.split();
        }
        let index = self.page_index(hash);
        let page = Arc::make_mut(&mut self.pages[index]);
        let entry = (hash, position);
        if let Err(n) = page.binary_search(&entry) {
            page.insert(n, entry);
            self.len += 1;
        }
    }

    /// Removes an entry, if it exists.
    pub fn remove(&mut self, hash: u64, position: u32) {
        let index = self.page_index(hash);
        let page = Arc::make_mut(&mut self.pages[index]);
        if let Ok(n) = page.binary_search(&(hash, position)) {
            page.remove(n);
            self.len -= 1;
        }
    }

    /// Splits every page in two.
    fn split(&mut self) {
        self.page_bits += 1;
        let halves = |page: &Arc<Vec<(u64, u32)>>| {
            // All hashes in a page agree in the bits before this one.
            let middle = page.partition_point(|e| e.0 >> (64 - self.page_bits) & 1 == 0);
            [Arc::new(page[..middle].to_vec()), Arc::new(page[middle..].to_vec())]
        };
        self.pages = self.pages.iter().flat_map(halves).collect();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    proptest! {
        /// Checked against a plain set, with hashes that often collide or share their leading bits.
        #[test]
        fn behaves_like_a_set_and_clones_stay_unchanged(
            steps in prop::collection::vec((any::<bool>(), 0u64..400, 0u32..3, any::<bool>()), 0..1_500),
        ) {
            let (mut names, mut model) = (NameIndex::default(), BTreeSet::new());
            let mut cloned = None;
            for (n, (add, base, position, shared_prefix)) in steps.into_iter().enumerate() {
                let hash = if shared_prefix { base << 55 } else { base.wrapping_mul(0x9e37_79b9_7f4a_7c15) };
                if add {
                    names.insert(hash, position);
                    model.insert((hash, position));
                } else {
                    names.remove(hash, position);
                    model.remove(&(hash, position));
                }
                prop_assert_eq!(names.len(), model.len());
                let found: Vec<u32> = names.positions(hash).collect();
                let expected: Vec<u32> = model.range((hash, 0)..=(hash, u32::MAX)).map(|e| e.1).collect();
                prop_assert_eq!(found, expected);
                if n == 700 {
                    cloned = Some((names.clone(), model.clone()));
                }
            }
            for (names, model) in cloned.into_iter().chain([(names, model)]) {
                prop_assert!(model.iter().all(|(h, p)| names.positions(*h).any(|q| q == *p)));
            }
        }
    }

    #[test]
    fn page_splits_keep_all_entries_and_even_pages() {
        let mut names = NameIndex::default();
        let name = |n: u32| hash_name(&format!("notice-{n}"));
        (0..20_000).for_each(|n| names.insert(name(n), n));
        assert!(names.pages.len() >= 64);
        assert!((0..20_000).all(|n| names.positions(name(n)).eq([n])));
        let longest = names.pages.iter().map(|p| p.len()).max().unwrap();
        assert!(longest < 2 * MAX_MEAN_PAGE_LEN, "uneven pages: the longest has {longest} entries");
    }
}
