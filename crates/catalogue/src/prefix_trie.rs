//! Titles by the beginning of their names, in order: a burst trie (Heinz, Zobel and Williams, 2002) that versions
//! share. Inner nodes branch by one byte; a bucket at the end of a way keeps the positions of up to [`FULL`] titles in
//! the order of their names and bursts into an inner node beyond that. NameIndex are not kept here: who calls hands in the
//! way from a position to its name.
//!
//! Growth: 4 bytes a title and some for the buckets' spare room. A change copies the nodes on one way, of at most the
//! name's length, and one bucket.
use std::sync::Arc;

/// Positions in a bucket before it bursts.
const FULL: usize = 256;

#[derive(Debug, Clone)]
enum Node {
    Bucket(Vec<u32>),
    Inner {
        /// The title whose name ends here.
        here: Option<u32>,
        next: Vec<(u8, Arc<Node>)>,
    },
}

impl Default for Node {
    fn default() -> Self {
        Node::Bucket(Vec::new())
    }
}

#[derive(Debug, Clone, Default)]
pub struct PrefixTrie {
    root: Arc<Node>,
}

/// The way from a position to its name.
pub trait NameLookup<'a>: Fn(u32) -> &'a str + Copy {}
impl<'a, F: Fn(u32) -> &'a str + Copy> NameLookup<'a> for F {}

impl PrefixTrie {
    /// Adds a position that is not in it.
    pub fn insert<'a>(&mut self, position: u32, name_of: impl NameLookup<'a>) {
        let name = name_of(position).as_bytes();
        let mut node = Arc::make_mut(&mut self.root);
        for depth in 0.. {
            if let Node::Bucket(b) = node {
                if b.len() >= FULL {
                    *node = burst(b, depth, name_of);
                }
            }
            match node {
                Node::Bucket(b) => {
                    let at = b.partition_point(|p| name_of(*p).as_bytes() < name);
                    b.insert(at, position);
                    return;
                }
                Node::Inner { here, next } => {
                    let Some(byte) = name.get(depth) else {
                        *here = Some(position);
                        return;
                    };
                    let at = match next.binary_search_by_key(byte, |n| n.0) {
                        Ok(at) => at,
                        Err(at) => {
                            next.insert(at, (*byte, Arc::default()));
                            at
                        }
                    };
                    node = Arc::make_mut(&mut next[at].1);
                }
            }
        }
    }

    /// Takes a position out, while its name can still be had.
    pub fn remove<'a>(&mut self, position: u32, name_of: impl NameLookup<'a>) {
        let name = name_of(position).as_bytes();
        let mut node = Arc::make_mut(&mut self.root);
        for depth in 0.. {
            match node {
                Node::Bucket(b) => return b.retain(|p| *p != position),
                Node::Inner { here, next } => {
                    let Some(byte) = name.get(depth) else {
                        *here = None;
                        return;
                    };
                    let Ok(at) = next.binary_search_by_key(byte, |n| n.0) else { return };
                    node = Arc::make_mut(&mut next[at].1);
                }
            }
        }
    }

    /// Positions of the first titles in the order of their names that begin so and, where given, come after `after`.
    pub fn find<'a>(
        &self,
        prefix: &str,
        after: Option<&str>,
        most: usize,
        name_of: impl NameLookup<'a>,
    ) -> Vec<u32> {
        let mut found = Vec::new();
        let (mut node, mut depth) = (&self.root, 0);
        for byte in prefix.bytes() {
            let Node::Inner { next, .. } = &**node else { break };
            let Ok(at) = next.binary_search_by_key(&byte, |n| n.0) else { return found };
            (node, depth) = (&next[at].1, depth + 1);
        }
        // NameIndex up to `after` are left out; where that begins otherwise than `prefix`, all are, or none.
        let after = match after {
            Some(a) if a.starts_with(prefix) => Some(a),
            Some(a) if a > prefix => return found,
            _ => None,
        };
        // Nodes still to be looked through, the next one last, each with its depth and whether the way to it is the
        // beginning of `after`. NameIndex may be long, so no call calls itself.
        let mut ahead = vec![(node, depth, after.is_some())];
        while let Some((node, depth, on_way)) = ahead.pop() {
            if found.len() >= most {
                break;
            }
            let after = after.filter(|_| on_way);
            match &**node {
                Node::Bucket(b) => {
                    let from = match after {
                        Some(a) => b.partition_point(|p| name_of(*p) <= a),
                        None => b.partition_point(|p| name_of(*p) < prefix),
                    };
                    let same = b[from..].iter().copied().take_while(|p| name_of(*p).starts_with(prefix));
                    found.extend(same.take(most - found.len()));
                }
                Node::Inner { here, next } => {
                    // A name that ends on the way to `after` comes before it.
                    found.extend(here.filter(|_| after.is_none()));
                    let byte = after.and_then(|a| a.as_bytes().get(depth).copied());
                    let later = next.iter().filter(|n| byte.is_none_or(|b| n.0 >= b));
                    ahead.extend(later.rev().map(|n| (&n.1, depth + 1, byte == Some(n.0))));
                }
            }
        }
        found
    }
}

fn burst<'a>(bucket: &[u32], depth: usize, name_of: impl NameLookup<'a>) -> Node {
    let (mut here, mut next) = (None, Vec::<(u8, Arc<Node>)>::new());
    let mut rest = bucket;
    while let Some(first) = rest.first() {
        let byte = |p: u32| name_of(p).as_bytes().get(depth).copied();
        let Some(b) = byte(*first) else {
            here = Some(*first);
            rest = &rest[1..];
            continue;
        };
        let same = rest.partition_point(|p| byte(*p) == Some(b));
        next.push((b, Arc::new(Node::Bucket(rest[..same].to_vec()))));
        rest = &rest[same..];
    }
    Node::Inner { here, next }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    proptest! {
        /// Beside an ordered map: names of few letters, so that many share beginnings and buckets burst.
        #[test]
        fn like_an_ordered_map(
            steps in prop::collection::vec(("[ab]{1,12}", 0u8..5), 1..1_200),
            asked in prop::collection::vec(("[ab]{0,5}", prop::option::of("[ab]{1,6}"), 0usize..400), 8),
        ) {
            let (mut trie, mut plain, mut names) = (PrefixTrie::default(), BTreeMap::new(), Vec::<String>::new());
            let mut kept = None;
            for (n, (name, what)) in steps.iter().enumerate() {
                if *what == 0 {
                    if let Some(position) = plain.remove(name) {
                        trie.remove(position, |p| &names[p as usize]);
                    }
                } else if !plain.contains_key(name) {
                    names.push(name.clone());
                    let position = names.len() as u32 - 1;
                    trie.insert(position, |p| &names[p as usize]);
                    plain.insert(name.clone(), position);
                }
                if n == 600 {
                    kept = Some((trie.clone(), plain.clone()));
                }
            }
            for (trie, plain) in kept.into_iter().chain([(trie, plain)]) {
                for (prefix, after, most) in &asked {
                    let wanted: Vec<u32> = plain
                        .iter()
                        .filter(|(n, _)| n.starts_with(prefix.as_str()) && after.as_ref().is_none_or(|a| *n > a))
                        .map(|(_, p)| *p)
                        .take(*most)
                        .collect();
                    prop_assert_eq!(trie.find(prefix, after.as_deref(), *most, |p| &names[p as usize]), wanted);
                }
            }
        }
    }

    #[test]
    fn long_names_that_begin_alike() {
        let names: Vec<String> = (0..600).map(|n| format!("{}{n:03}", "x".repeat(500))).collect();
        let mut trie = PrefixTrie::default();
        (0..600).for_each(|p| trie.insert(p, |p| &names[p as usize]));
        assert_eq!(trie.find("xxx", None, 1_000, |p| &names[p as usize]), (0..600).collect::<Vec<_>>());
        assert_eq!(trie.find(&names[7], None, 9, |p| &names[p as usize]), [7]);
    }
}
