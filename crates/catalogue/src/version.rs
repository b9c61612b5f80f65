//! One state of the catalogue: titles by position, positions by name, which titles each box holds, and which titles are
//! thinly held.
//!
//! Growth: a title costs its packed bytes, 16 bytes of its place, 16 in the index by name, 4 to 6 in the one by prefix
//! and 2 to 4 for each holder. A new version copies 16 bytes for each 256 titles, and what its batch touches.
use crate::change::{ApplyError, Change, NumberedChange, Title};
use crate::cow_array::CowArray;
use crate::name_index::{hash_name, NameIndex};
use crate::packed_title::PackedTitle;
use crate::prefix_trie::PrefixTrie;
use roaring::RoaringBitmap;
use std::collections::BTreeMap;
use std::sync::Arc;
use walnutline::ids::{RackId, ServerId};

/// What a version knows of a box.
#[derive(Debug, Clone, Default)]
struct Held {
    /// Positions of the titles that it holds.
    titles: Arc<RoaringBitmap>,
    gone: bool,
    rack: Option<RackId>,
}

/// A box as snapshots tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoxState {
    pub server: ServerId,
    pub gone: bool,
    pub rack: Option<RackId>,
}

#[derive(Debug, Clone, Default)]
pub struct Version {
    /// The last change that is in it.
    number: u64,
    /// NameIndex of the service groups that titles' bits stand for.
    groups: Arc<[String]>,
    /// By position. A position is never used again for another title, so that sets of positions stay right.
    titles: CowArray<Option<PackedTitle>>,
    names: NameIndex,
    prefixes: PrefixTrie,
    boxes: BTreeMap<ServerId, Held>,
    /// Titles with no sound holder, and with one.
    thin: [Arc<RoaringBitmap>; 2],
}

impl Version {
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Titles in it.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// NameIndex of the service groups that titles' bits stand for, the lowest bit first.
    pub fn groups(&self) -> &[String] {
        &self.groups
    }

    pub fn title(&self, name: &str) -> Option<&PackedTitle> {
        self.position(name).and_then(|p| self.at(p))
    }

    /// Titles whose names have this [`hash_name`]: nearly always one or none.
    pub fn titles_with_name_hash(&self, hash: u64) -> impl Iterator<Item = &PackedTitle> {
        self.names.positions(hash).filter_map(|p| self.at(p))
    }

    fn at(&self, position: u32) -> Option<&PackedTitle> {
        self.titles.get(position as usize)?.as_ref()
    }

    fn position(&self, name: &str) -> Option<u32> {
        let same = |p: &u32| self.at(*p).is_some_and(|t| t.name() == name);
        self.names.positions(hash_name(name)).find(same)
    }

    /// All titles, in the order of their positions.
    pub fn titles(&self) -> impl Iterator<Item = &PackedTitle> {
        self.titles.iter().flatten()
    }

    /// The first titles in the order of their names that begin so and, where given, come after `after`.
    pub fn titles_with_prefix(&self, prefix: &str, after: Option<&str>, most: usize) -> Vec<&PackedTitle> {
        let found = self.prefixes.find(prefix, after, most, |p| name_at(&self.titles, p));
        found.into_iter().filter_map(|p| self.at(p)).collect()
    }

    /// Titles that a box holds, in no order that means anything.
    pub fn titles_on(&self, server: ServerId) -> impl Iterator<Item = &PackedTitle> {
        let held = self.boxes.get(&server).map(|b| b.titles.iter());
        held.into_iter().flatten().filter_map(|p| self.at(p))
    }

    /// How many titles a box holds.
    pub fn title_count_on(&self, server: ServerId) -> u64 {
        self.boxes.get(&server).map_or(0, |b| b.titles.len())
    }

    /// All boxes that it tells of.
    pub fn boxes(&self) -> impl Iterator<Item = BoxState> + '_ {
        self.boxes.iter().map(|(server, b)| BoxState { server: *server, gone: b.gone, rack: b.rack })
    }

    pub fn is_gone(&self, server: ServerId) -> bool {
        self.boxes.get(&server).is_some_and(|b| b.gone)
    }

    /// Boxes that stand in a rack, and the titles that they hold among them. Costs what their sets hold.
    pub fn rack_contents(&self, rack: RackId) -> (Vec<ServerId>, Vec<&PackedTitle>) {
        let there: Vec<_> = self.boxes.iter().filter(|(_, b)| b.rack == Some(rack)).collect();
        let mut held = RoaringBitmap::new();
        there.iter().for_each(|(_, b)| held |= &*b.titles);
        (there.iter().map(|(s, _)| **s).collect(), held.iter().filter_map(|p| self.at(p)).collect())
    }

    /// Holders of a title that are not gone.
    pub fn available_holders<'a>(&'a self, title: &'a PackedTitle) -> impl Iterator<Item = ServerId> + 'a {
        title.holders().filter(|s| !self.is_gone(*s))
    }

    /// Titles that have no sound holder (`left` 0) or one (1).
    pub fn under_replicated(&self, left: usize) -> impl Iterator<Item = &PackedTitle> {
        let set = self.thin.get(left).map(|set| set.iter());
        set.into_iter().flatten().filter_map(|p| self.at(p))
    }

    /// How many titles have no sound holder, and one.
    pub fn under_replicated_counts(&self) -> (u64, u64) {
        (self.thin[0].len(), self.thin[1].len())
    }

    /// Titles that would be out of reach altogether if these boxes went too: all their sound holders are among
    /// them. Costs as much as the sets of these boxes hold, not as the catalogue.
    pub fn unreachable_without(&self, servers: &[ServerId]) -> Vec<&PackedTitle> {
        let mut touched = RoaringBitmap::new();
        for held in servers.iter().filter_map(|s| self.boxes.get(s)) {
            touched |= &*held.titles;
        }
        let lost = |t: &&PackedTitle| self.available_holders(t).all(|s| servers.contains(&s));
        touched.iter().filter_map(|p| self.at(p)).filter(lost).collect()
    }

    /// A new version with a batch of changes in it; this one stays as it is. Changes that are in it already are
    /// passed over; where one is missing or does not fit, nothing of the batch is applied.
    pub fn with_changes(&self, batch: &[NumberedChange]) -> Result<Version, ApplyError> {
        let mut next = self.clone();
        for n in batch.iter().filter(|n| n.number > self.number) {
            if n.number <= next.number {
                continue;
            }
            if n.number - 1 != next.number {
                return Err(ApplyError::Gap { have: next.number, got: n.number });
            }
            next.apply(&n.change).map_err(|reason| ApplyError::Conflict { number: n.number, reason })?;
            next.number = n.number;
        }
        Ok(next)
    }

    fn apply(&mut self, change: &Change) -> Result<(), String> {
        match change {
            Change::PutTitle(title) => {
                let bits = self.groups.len() as u32;
                if bits < 32 && title.group_mask >> bits != 0 {
                    return Err(format!("title {:?} has a service group above the {bits} known", title.name));
                }
                self.put(PackedTitle::new(title)?)
            }
            Change::RemoveTitle { name } => {
                let position = self.known(name)?;
                let Version { titles, prefixes, .. } = self;
                prefixes.remove(position, |p| name_at(titles, p));
                self.set(position, None);
                self.names.remove(hash_name(name), position);
                Ok(())
            }
            Change::AddHolder { name, server } => self.change(name, |t| add_holder(t, *server)),
            Change::RemoveHolder { name, server } => self.change(name, |t| remove_holder(t, *server)),
            Change::MoveHolder { name, from, to } => self.change(name, |t| {
                remove_holder(t, *from)?;
                add_holder(t, *to)
            }),
            Change::SetRates { name, rates } => self.change(name, |t| {
                t.rates.clone_from(rates);
                Ok(())
            }),
            Change::ServerGone(server) => {
                self.sound(*server, false);
                Ok(())
            }
            Change::ServerBack(server) => {
                self.sound(*server, true);
                Ok(())
            }
            Change::SetRack { server, rack } => {
                self.boxes.entry(*server).or_default().rack = Some(*rack);
                Ok(())
            }
        }
    }

    fn known(&self, name: &str) -> Result<u32, String> {
        self.position(name).ok_or_else(|| format!("title {name:?} is not known"))
    }

    fn put(&mut self, title: PackedTitle) -> Result<(), String> {
        if let Some(position) = self.position(title.name()) {
            self.set(position, Some(title));
            return Ok(());
        }
        self.append(title)
    }

    /// Puts a title that is not in it yet.
    fn append(&mut self, title: PackedTitle) -> Result<(), String> {
        let hash = hash_name(title.name());
        let position = u32::try_from(self.titles.push(None)).map_err(|_| "no more positions")?;
        self.set(position, Some(title));
        self.names.insert(hash, position);
        let Version { titles, prefixes, .. } = self;
        prefixes.insert(position, |p| name_at(titles, p));
        Ok(())
    }

    fn change(
        &mut self,
        name: &str,
        how: impl FnOnce(&mut Title) -> Result<(), String>,
    ) -> Result<(), String> {
        let position = self.known(name)?;
        let mut title = self.at(position).map(PackedTitle::unpack).ok_or("no title at its position")?;
        how(&mut title)?;
        self.set(position, Some(PackedTitle::new(&title)?));
        Ok(())
    }

    /// A box is gone or back: how thinly each of its titles is held is counted anew.
    fn sound(&mut self, server: ServerId, sound: bool) {
        let held = self.boxes.entry(server).or_default();
        if std::mem::replace(&mut held.gone, !sound) == sound {
            for position in held.titles.clone().iter() {
                self.count_thin(position);
            }
        }
    }

    /// Puts a title at a position, or takes it away, and brings the sets up to it.
    fn set(&mut self, position: u32, title: Option<PackedTitle>) {
        let Some(slot) = self.titles.get_mut(position as usize) else { return };
        let old = std::mem::replace(slot, title.clone());
        let of = |t: &Option<PackedTitle>| t.iter().flat_map(|t| t.holders()).collect::<Vec<_>>();
        let (before, after) = (of(&old), of(&title));
        for server in before.iter().filter(|s| after.binary_search(s).is_err()) {
            if let Some(held) = self.boxes.get_mut(server) {
                Arc::make_mut(&mut held.titles).remove(position);
            }
        }
        for server in after.iter().filter(|s| before.binary_search(s).is_err()) {
            let held = self.boxes.entry(*server).or_default();
            Arc::make_mut(&mut held.titles).insert(position);
        }
        self.count_thin(position);
    }

    fn count_thin(&mut self, position: u32) {
        let sound = self.at(position).map(|t| self.available_holders(t).take(2).count());
        for (left, set) in self.thin.iter_mut().enumerate() {
            let belongs = sound == Some(left);
            // Looked up first: a set that stays as it is is not copied.
            if set.contains(position) != belongs {
                let set = Arc::make_mut(set);
                if belongs {
                    set.insert(position);
                } else {
                    set.remove(position);
                }
            }
        }
    }
}

fn name_at(titles: &CowArray<Option<PackedTitle>>, position: u32) -> &str {
    titles.get(position as usize).and_then(|t| t.as_ref()).map_or("", PackedTitle::name)
}

fn add_holder(t: &mut Title, server: ServerId) -> Result<(), String> {
    match t.holders.binary_search(&server) {
        Ok(_) => Err(format!("box {} holds {:?} already", server.0, t.name)),
        Err(at) => {
            t.holders.insert(at, server);
            Ok(())
        }
    }
}

fn remove_holder(t: &mut Title, server: ServerId) -> Result<(), String> {
    let at = t.holders.binary_search(&server);
    let at = at.map_err(|_| format!("box {} does not hold {:?}", server.0, t.name))?;
    t.holders.remove(at);
    Ok(())
}

/// Puts a whole version together, title by title. What an older version has the same is shared with it, so that a load
/// beside it costs its indexes and what differs.
pub struct VersionBuilder {
    v: Version,
    beside: Option<Arc<Version>>,
}

impl VersionBuilder {
    /// As of the change `number`; `groups`: the service groups that bits stand for, at most 32.
    pub fn new(
        number: u64,
        groups: Vec<String>,
        beside: Option<Arc<Version>>,
    ) -> Result<VersionBuilder, String> {
        let twice = groups.iter().enumerate().any(|(n, g)| groups[..n].contains(g));
        if groups.len() > 32 || twice {
            return Err(format!("{} service groups, not up to 32 of different names", groups.len()));
        }
        Ok(VersionBuilder { v: Version { number, groups: groups.into(), ..Version::default() }, beside })
    }

    /// Boxes come before titles: telling of one after costs as much as it holds.
    pub fn add_box(&mut self, b: BoxState) {
        self.v.sound(b.server, !b.gone);
        self.v.boxes.entry(b.server).or_default().rack = b.rack;
    }

    pub fn add_title(&mut self, title: PackedTitle) -> Result<(), String> {
        if self.v.position(title.name()).is_some() {
            return Err(format!("title {:?} is given twice", title.name()));
        }
        if self.v.groups.len() < 32 && title.group_mask() >> self.v.groups.len() != 0 {
            return Err(format!("title {:?} has a service group that is not known", title.name()));
        }
        let known = self.beside.as_ref().and_then(|old| old.title(title.name()));
        let same = known.filter(|old| **old == title).cloned();
        self.v.append(same.unwrap_or(title))
    }

    pub fn finish(self) -> Version {
        self.v
    }
}
