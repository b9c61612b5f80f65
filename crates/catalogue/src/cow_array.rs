//! Arrays in pages that versions share. To copy one is to copy a pointer for each page; to change an element copies its
//! page once, where another version still has it. Reading is two steps, whatever the length.
//!
//! Growth: 8 bytes for each page of [`PAGE_LEN`] elements, beside the elements. A version that changes `n` elements far
//! apart holds `n` pages of its own, at most all of them.
use std::sync::Arc;

/// Elements in a page: a copy of one costs a microsecond or so, and 2 000 000 titles make 8 000 pointers.
pub const PAGE_LEN: usize = 256;

#[derive(Debug, Clone)]
pub struct CowArray<T> {
    pages: Vec<Arc<Vec<T>>>,
    len: usize,
}

impl<T> Default for CowArray<T> {
    fn default() -> Self {
        CowArray { pages: Vec::new(), len: 0 }
    }
}

impl<T: Clone> CowArray<T> {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn get(&self, at: usize) -> Option<&T> {
        self.pages.get(at / PAGE_LEN)?.get(at % PAGE_LEN)
    }

    pub fn get_mut(&mut self, at: usize) -> Option<&mut T> {
        Arc::make_mut(self.pages.get_mut(at / PAGE_LEN)?).get_mut(at % PAGE_LEN)
    }

    /// Adds an element; returns its position.
    pub fn push(&mut self, value: T) -> usize {
        if self.len.is_multiple_of(PAGE_LEN) {
            self.pages.push(Arc::new(Vec::with_capacity(PAGE_LEN)));
        }
        let last = self.pages.last_mut().expect("a page was just made sure of");
        Arc::make_mut(last).push(value);
        self.len += 1;
        self.len - 1
    }

    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.pages.iter().flat_map(|p| p.iter())
    }

    /// CowArray that this version has and the other has not: what it costs beside the other.
    pub fn unshared_pages(&self, other: &Self) -> usize {
        let same = |(n, p): &(usize, &Arc<Vec<T>>)| other.pages.get(*n).is_some_and(|o| Arc::ptr_eq(o, p));
        self.pages.iter().enumerate().filter(|p| !same(p)).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Versions taken at any time stay as they were, whatever is done after.
        #[test]
        fn like_a_vector_with_copies(steps in prop::collection::vec((0u8..4, 0usize..2_000, any::<u16>()), 1..300)) {
            let (mut pages, mut plain) = (CowArray::default(), Vec::new());
            let mut kept: Vec<(CowArray<u16>, Vec<u16>)> = Vec::new();
            for (what, at, value) in steps {
                match what {
                    0 if kept.len() < 8 => kept.push((pages.clone(), plain.clone())),
                    0 | 1 => {
                        let want = plain.get_mut(at).map(|v: &mut u16| std::mem::replace(v, value));
                        let got = pages.get_mut(at).map(|v| std::mem::replace(v, value));
                        prop_assert_eq!(got, want);
                    }
                    _ => {
                        for n in 0..20u16 {
                            plain.push(value ^ n);
                            prop_assert_eq!(pages.push(value ^ n), plain.len() - 1);
                        }
                    }
                }
            }
            kept.push((pages, plain));
            for (pages, plain) in kept {
                prop_assert_eq!(pages.len(), plain.len());
                prop_assert!(pages.iter().eq(plain.iter()));
                prop_assert_eq!(pages.get(plain.len()), None);
            }
        }
    }

    #[test]
    fn a_change_copies_one_page() {
        let mut old = CowArray::default();
        for n in 0..10 * PAGE_LEN {
            old.push(n);
        }
        let mut new = old.clone();
        *new.get_mut(3 * PAGE_LEN + 5).unwrap() = 0;
        *new.get_mut(3 * PAGE_LEN + 6).unwrap() = 0;
        assert_eq!(new.unshared_pages(&old), 1);
    }
}
