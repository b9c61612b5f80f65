//! Copy-on-write arrays, split into pages that clones share. Cloning an array copies one pointer for each page.
//! Changing an element first copies its page if another clone still uses it. A read takes two array accesses at any
//! length.
//!
//! Growth: 8 bytes for each page of [`PAGE_LEN`] elements, in addition to the elements. A clone with `n` scattered
//! changes holds up to `n` pages of its own.
use std::sync::Arc;

/// Elements in a page. At this size copying a page takes about a microsecond, and 2 000 000 titles need 8 000
/// pointers.
pub const PAGE_LEN: usize = 256;

/// A growable array whose clones share unchanged pages.
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
    /// Number of elements.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the array has no elements.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The element at an index.
    pub fn get(&self, index: usize) -> Option<&T> {
        self.pages.get(index / PAGE_LEN)?.get(index % PAGE_LEN)
    }

    /// The element at an index, for changing it. Copies its page if a clone shares it.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut T> {
        Arc::make_mut(self.pages.get_mut(index / PAGE_LEN)?).get_mut(index % PAGE_LEN)
    }

    /// Appends an element and returns its index.
    pub fn push(&mut self, value: T) -> usize {
        if self.len.is_multiple_of(PAGE_LEN) {
            self.pages.push(Arc::new(Vec::with_capacity(PAGE_LEN)));
        }
        let last = self.pages.last_mut().expect("a page with room exists");
        Arc::make_mut(last).push(value);
        self.len += 1;
        self.len - 1
    }

    /// All elements in order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.pages.iter().flat_map(|p| p.iter())
    }

    /// Number of pages that are not shared with `other`: the extra memory of this array beside it.
    pub fn unshared_pages(&self, other: &Self) -> usize {
        let shared = |(n, p): &(usize, &Arc<Vec<T>>)| other.pages.get(*n).is_some_and(|o| Arc::ptr_eq(o, p));
        self.pages.iter().enumerate().filter(|p| !shared(p)).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Clones taken at any time keep their content through later changes.
        #[test]
        fn behaves_like_a_vector_and_clones_stay_unchanged(
            steps in prop::collection::vec((0u8..4, 0usize..2_000, any::<u16>()), 1..300),
        ) {
            let (mut array, mut model) = (CowArray::default(), Vec::new());
            let mut clones: Vec<(CowArray<u16>, Vec<u16>)> = Vec::new();
            for (operation, index, value) in steps {
                match operation {
                    0 if clones.len() < 8 => clones.push((array.clone(), model.clone())),
                    0 | 1 => {
                        let expected = model.get_mut(index).map(|v: &mut u16| std::mem::replace(v, value));
                        let got = array.get_mut(index).map(|v| std::mem::replace(v, value));
                        prop_assert_eq!(got, expected);
                    }
                    _ => {
                        for n in 0..20u16 {
                            model.push(value ^ n);
                            prop_assert_eq!(array.push(value ^ n), model.len() - 1);
                        }
                    }
                }
            }
            clones.push((array, model));
            for (array, model) in clones {
                prop_assert_eq!(array.len(), model.len());
                prop_assert!(array.iter().eq(model.iter()));
                prop_assert_eq!(array.get(model.len()), None);
            }
        }
    }

    #[test]
    fn changes_within_a_page_copy_only_that_page() {
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
