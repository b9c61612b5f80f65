//! Titles by name prefix, in name order: a burst trie (Heinz, Zobel and Williams, 2002) whose nodes versions share.
//! Inner nodes branch on one byte. A leaf is a bucket with the positions of up to `BUCKET_CAPACITY` titles in name
//! order, and bursts into an inner node beyond that. Names are not stored here: the caller passes a function from a
//! position to its name.
//!
//! Growth: 4 bytes for each title, and the spare capacity of the buckets. A change copies the nodes on one path, at
//! most as many as the name has bytes, and one bucket.
use std::sync::Arc;

/// Positions in a bucket before it bursts.
const BUCKET_CAPACITY: usize = 256;

#[derive(Debug, Clone)]
enum Node {
    Bucket(Vec<u32>),
    Inner {
        /// The title whose name ends at this node.
        terminal: Option<u32>,
        /// Child nodes by the next byte, in ascending order.
        children: Vec<(u8, Arc<Node>)>,
    },
}

impl Default for Node {
    fn default() -> Self {
        Node::Bucket(Vec::new())
    }
}

/// A copy-on-write burst trie of positions, ordered by name.
#[derive(Debug, Clone, Default)]
pub struct PrefixTrie {
    root: Arc<Node>,
}

/// A function from a position to its name.
pub trait NameLookup<'a>: Fn(u32) -> &'a str + Copy {}
impl<'a, F: Fn(u32) -> &'a str + Copy> NameLookup<'a> for F {}

impl PrefixTrie {
    /// Adds a position that is not in the trie.
    pub fn insert<'a>(&mut self, position: u32, name_of: impl NameLookup<'a>) {
        let name = name_of(position).as_bytes();
        let mut node = Arc::make_mut(&mut self.root);
        for depth in 0.. {
            if let Node::Bucket(bucket) = node {
                if bucket.len() >= BUCKET_CAPACITY {
                    *node = burst(bucket, depth, name_of);
                }
            }
            match node {
                Node::Bucket(bucket) => {
                    let index = bucket.partition_point(|p| name_of(*p).as_bytes() < name);
                    bucket.insert(index, position);
                    return;
                }
                Node::Inner { terminal, children } => {
                    let Some(byte) = name.get(depth) else {
                        *terminal = Some(position);
                        return;
                    };
                    let index = match children.binary_search_by_key(byte, |c| c.0) {
                        Ok(index) => index,
                        Err(index) => {
                            children.insert(index, (*byte, Arc::default()));
                            index
                        }
                    };
                    node = Arc::make_mut(&mut children[index].1);
                }
            }
        }
    }

    /// Removes a position. Its name must still be available.
    pub fn remove<'a>(&mut self, position: u32, name_of: impl NameLookup<'a>) {
        let name = name_of(position).as_bytes();
        let mut node = Arc::make_mut(&mut self.root);
        for depth in 0.. {
            match node {
                Node::Bucket(bucket) => return bucket.retain(|p| *p != position),
                Node::Inner { terminal, children } => {
                    let Some(byte) = name.get(depth) else {
                        *terminal = None;
                        return;
                    };
                    let Ok(index) = children.binary_search_by_key(byte, |c| c.0) else { return };
                    node = Arc::make_mut(&mut children[index].1);
                }
            }
        }
    }

    /// Positions of the first `limit` titles, in name order, whose names start with `prefix` and, if `after` is
    /// given, come after it.
    pub fn find<'a>(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        name_of: impl NameLookup<'a>,
    ) -> Vec<u32> {
        let mut found = Vec::new();
        let (mut node, mut depth) = (&self.root, 0);
        for byte in prefix.bytes() {
            let Node::Inner { children, .. } = &**node else { break };
            let Ok(index) = children.binary_search_by_key(&byte, |c| c.0) else { return found };
            (node, depth) = (&children[index].1, depth + 1);
        }
        // Names up to `after` are skipped. If it does not start with `prefix`, either all names or none are skipped.
        let after = match after {
            Some(a) if a.starts_with(prefix) => Some(a),
            Some(a) if a > prefix => return found,
            _ => None,
        };
        // A stack of nodes to visit, the next one last, each with its depth and whether its path is a prefix of
        // `after`. It takes the place of recursion, which could go as deep as names are long.
        let mut stack = vec![(node, depth, after.is_some())];
        while let Some((node, depth, on_after_path)) = stack.pop() {
            if found.len() >= limit {
                break;
            }
            let after = after.filter(|_| on_after_path);
            match &**node {
                Node::Bucket(bucket) => {
                    let start = match after {
                        Some(a) => bucket.partition_point(|p| name_of(*p) <= a),
                        None => bucket.partition_point(|p| name_of(*p) < prefix),
                    };
                    let matching =
                        bucket[start..].iter().copied().take_while(|p| name_of(*p).starts_with(prefix));
                    found.extend(matching.take(limit - found.len()));
                }
                Node::Inner { terminal, children } => {
                    // A name that ends on the path to `after` comes before it.
                    found.extend(terminal.filter(|_| after.is_none()));
                    let byte = after.and_then(|a| a.as_bytes().get(depth).copied());
                    let later = children.iter().filter(|c| byte.is_none_or(|b| c.0 >= b));
                    stack.extend(later.rev().map(|c| (&c.1, depth + 1, byte == Some(c.0))));
                }
            }
        }
        found
    }
}

/// Distributes a full bucket at this depth over the children of a new inner node.
fn burst<'a>(bucket: &[u32], depth: usize, name_of: impl NameLookup<'a>) -> Node {
    let (mut terminal, mut children) = (None, Vec::<(u8, Arc<Node>)>::new());
    let mut rest = bucket;
    while let Some(first) = rest.first() {
        let byte_of = |p: u32| name_of(p).as_bytes().get(depth).copied();
        let Some(byte) = byte_of(*first) else {
            terminal = Some(*first);
            rest = &rest[1..];
            continue;
        };
        let end = rest.partition_point(|p| byte_of(*p) == Some(byte));
        children.push((byte, Arc::new(Node::Bucket(rest[..end].to_vec()))));
        rest = &rest[end..];
    }
    Node::Inner { terminal, children }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    proptest! {
        /// Checked against an ordered map, with names of few letters, so that many share prefixes and buckets burst.
        #[test]
        fn behaves_like_an_ordered_map_and_clones_stay_unchanged(
            steps in prop::collection::vec(("[ab]{1,12}", 0u8..5), 1..1_200),
            queries in prop::collection::vec(("[ab]{0,5}", prop::option::of("[ab]{1,6}"), 0usize..400), 8),
        ) {
            let (mut trie, mut model, mut names) = (PrefixTrie::default(), BTreeMap::new(), Vec::<String>::new());
            let mut cloned = None;
            for (n, (name, action)) in steps.iter().enumerate() {
                if *action == 0 {
                    if let Some(position) = model.remove(name) {
                        trie.remove(position, |p| &names[p as usize]);
                    }
                } else if !model.contains_key(name) {
                    names.push(name.clone());
                    let position = names.len() as u32 - 1;
                    trie.insert(position, |p| &names[p as usize]);
                    model.insert(name.clone(), position);
                }
                if n == 600 {
                    cloned = Some((trie.clone(), model.clone()));
                }
            }
            for (trie, model) in cloned.into_iter().chain([(trie, model)]) {
                for (prefix, after, limit) in &queries {
                    let expected: Vec<u32> = model
                        .iter()
                        .filter(|(n, _)| n.starts_with(prefix.as_str()) && after.as_ref().is_none_or(|a| *n > a))
                        .map(|(_, p)| *p)
                        .take(*limit)
                        .collect();
                    prop_assert_eq!(trie.find(prefix, after.as_deref(), *limit, |p| &names[p as usize]), expected);
                }
            }
        }
    }

    #[test]
    fn names_with_a_long_common_prefix_are_found_in_order() {
        let names: Vec<String> = (0..600).map(|n| format!("{}{n:03}", "x".repeat(500))).collect();
        let mut trie = PrefixTrie::default();
        (0..600).for_each(|p| trie.insert(p, |p| &names[p as usize]));
        assert_eq!(trie.find("xxx", None, 1_000, |p| &names[p as usize]), (0..600).collect::<Vec<_>>());
        assert_eq!(trie.find(&names[7], None, 9, |p| &names[p as usize]), [7]);
    }
}
