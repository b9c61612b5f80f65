//! One immutable state of the catalogue: titles by position, positions by name, the titles on each box, and the
//! under-replicated titles, which have at most one available holder.
//!
//! Growth: a title takes its packed bytes, 16 bytes for its position, 16 in the index by name, 4 to 6 in the index by
//! prefix, and 2 to 4 for each holder. A new version copies 16 bytes for every 256 titles, and the data that its
//! batch changes.
use crate::change::{ApplyError, Change, NumberedChange, Title};
use crate::cow_array::CowArray;
use crate::name_index::{hash_name, NameIndex};
use crate::packed_title::PackedTitle;
use crate::prefix_trie::PrefixTrie;
use roaring::RoaringBitmap;
use std::collections::BTreeMap;
use std::sync::Arc;
use walnutline::ids::{RackId, ServerId};

/// What a version stores for a box.
#[derive(Debug, Clone, Default)]
struct BoxEntry {
    /// Positions of the titles that the box holds.
    titles: Arc<RoaringBitmap>,
    gone: bool,
    rack: Option<RackId>,
}

/// The state of a box, as snapshots contain it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoxState {
    /// The box.
    pub server: ServerId,
    /// Whether it is marked as gone, so that it serves no title.
    pub gone: bool,
    /// Its rack, if known.
    pub rack: Option<RackId>,
}

/// An immutable state of the catalogue. Clones and successors share unchanged data.
#[derive(Debug, Clone, Default)]
pub struct Version {
    /// Number of the last applied change.
    number: u64,
    /// Names of the service groups, by bit of the group masks.
    groups: Arc<[String]>,
    /// By position. The position of a removed title is never reused, so that sets of positions stay valid.
    titles: CowArray<Option<PackedTitle>>,
    names: NameIndex,
    prefixes: PrefixTrie,
    boxes: BTreeMap<ServerId, BoxEntry>,
    /// Positions of the titles with no available holder, and with one.
    under_replicated: [Arc<RoaringBitmap>; 2],
}

impl Version {
    /// Number of the last applied change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Number of titles.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are no titles.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Names of the service groups: bit `n` of a group mask stands for the `n`-th.
    pub fn groups(&self) -> &[String] {
        &self.groups
    }

    /// The title of a name.
    pub fn title(&self, name: &str) -> Option<&PackedTitle> {
        self.position(name).and_then(|p| self.title_at(p))
    }

    /// Titles whose names have this [`hash_name`]: nearly always one or none.
    pub fn titles_with_name_hash(&self, hash: u64) -> impl Iterator<Item = &PackedTitle> {
        self.names.positions(hash).filter_map(|p| self.title_at(p))
    }

    fn title_at(&self, position: u32) -> Option<&PackedTitle> {
        self.titles.get(position as usize)?.as_ref()
    }

    /// The position of the title of a name.
    fn position(&self, name: &str) -> Option<u32> {
        let has_name = |p: &u32| self.title_at(*p).is_some_and(|t| t.name() == name);
        self.names.positions(hash_name(name)).find(has_name)
    }

    /// All titles, by position.
    pub fn titles(&self) -> impl Iterator<Item = &PackedTitle> {
        self.titles.iter().flatten()
    }

    /// The first `limit` titles, in name order, whose names start with `prefix` and, if `after` is given, come after
    /// it.
    pub fn titles_with_prefix(&self, prefix: &str, after: Option<&str>, limit: usize) -> Vec<&PackedTitle> {
        let found = self.prefixes.find(prefix, after, limit, |p| name_at(&self.titles, p));
        found.into_iter().filter_map(|p| self.title_at(p)).collect()
    }

    /// The titles that a box holds, in no specified order.
    pub fn titles_on(&self, server: ServerId) -> impl Iterator<Item = &PackedTitle> {
        let positions = self.boxes.get(&server).map(|b| b.titles.iter());
        positions.into_iter().flatten().filter_map(|p| self.title_at(p))
    }

    /// The number of titles that a box holds.
    pub fn title_count_on(&self, server: ServerId) -> u64 {
        self.boxes.get(&server).map_or(0, |b| b.titles.len())
    }

    /// All known boxes.
    pub fn boxes(&self) -> impl Iterator<Item = BoxState> + '_ {
        self.boxes.iter().map(|(server, b)| BoxState { server: *server, gone: b.gone, rack: b.rack })
    }

    /// Whether a box is marked as gone.
    pub fn is_gone(&self, server: ServerId) -> bool {
        self.boxes.get(&server).is_some_and(|b| b.gone)
    }

    /// The boxes in a rack, and the titles on at least one of them. The cost grows with the titles on these boxes.
    pub fn rack_contents(&self, rack: RackId) -> (Vec<ServerId>, Vec<&PackedTitle>) {
        let in_rack: Vec<_> = self.boxes.iter().filter(|(_, b)| b.rack == Some(rack)).collect();
        let mut positions = RoaringBitmap::new();
        in_rack.iter().for_each(|(_, b)| positions |= &*b.titles);
        (
            in_rack.iter().map(|(s, _)| **s).collect(),
            positions.iter().filter_map(|p| self.title_at(p)).collect(),
        )
    }

    /// Holders of a title that are not marked as gone.
    pub fn available_holders<'a>(&'a self, title: &'a PackedTitle) -> impl Iterator<Item = ServerId> + 'a {
        title.holders().filter(|s| !self.is_gone(*s))
    }

    /// Titles with exactly `available` available holders. Only 0 and 1 are indexed; other numbers give no titles.
    pub fn under_replicated(&self, available: usize) -> impl Iterator<Item = &PackedTitle> {
        let positions = self.under_replicated.get(available).map(|set| set.iter());
        positions.into_iter().flatten().filter_map(|p| self.title_at(p))
    }

    /// The number of titles with no available holder, and with one.
    pub fn under_replicated_counts(&self) -> (u64, u64) {
        (self.under_replicated[0].len(), self.under_replicated[1].len())
    }

    /// Titles that would be unreachable if these boxes failed too: all their available holders are among them. The
    /// cost grows with the titles on these boxes, not with the catalogue.
    pub fn unreachable_without(&self, servers: &[ServerId]) -> Vec<&PackedTitle> {
        let mut positions = RoaringBitmap::new();
        for entry in servers.iter().filter_map(|s| self.boxes.get(s)) {
            positions |= &*entry.titles;
        }
        let unreachable = |t: &&PackedTitle| self.available_holders(t).all(|s| servers.contains(&s));
        positions.iter().filter_map(|p| self.title_at(p)).filter(unreachable).collect()
    }

    /// Returns a new version with a batch of changes applied. Changes that this version contains already are skipped.
    /// On a missing or contradicting change the whole batch is rejected.
    pub fn with_changes(&self, batch: &[NumberedChange]) -> Result<Version, ApplyError> {
        let mut next = self.clone();
        for numbered in batch.iter().filter(|n| n.number > self.number) {
            if numbered.number <= next.number {
                continue;
            }
            if numbered.number - 1 != next.number {
                return Err(ApplyError::Gap { have: next.number, got: numbered.number });
            }
            next.apply(&numbered.change)
                .map_err(|reason| ApplyError::Conflict { number: numbered.number, reason })?;
            next.number = numbered.number;
        }
        Ok(next)
    }

    fn apply(&mut self, change: &Change) -> Result<(), String> {
        match change {
            Change::PutTitle(title) => {
                let groups = self.groups.len() as u32;
                if groups < 32 && title.group_mask >> groups != 0 {
                    return Err(format!(
                        "title {:?} has a service group beyond the {groups} known ones",
                        title.name
                    ));
                }
                self.put_title(PackedTitle::new(title)?)
            }
            Change::RemoveTitle { name } => {
                let position = self.known_position(name)?;
                let Version { titles, prefixes, .. } = self;
                prefixes.remove(position, |p| name_at(titles, p));
                self.set_title(position, None);
                self.names.remove(hash_name(name), position);
                Ok(())
            }
            Change::AddHolder { name, server } => self.update_title(name, |t| add_holder(t, *server)),
            Change::RemoveHolder { name, server } => self.update_title(name, |t| remove_holder(t, *server)),
            Change::MoveHolder { name, from, to } => self.update_title(name, |t| {
                remove_holder(t, *from)?;
                add_holder(t, *to)
            }),
            Change::SetRates { name, rates } => self.update_title(name, |t| {
                t.rates.clone_from(rates);
                Ok(())
            }),
            Change::ServerGone(server) => {
                self.set_available(*server, false);
                Ok(())
            }
            Change::ServerBack(server) => {
                self.set_available(*server, true);
                Ok(())
            }
            Change::SetRack { server, rack } => {
                self.boxes.entry(*server).or_default().rack = Some(*rack);
                Ok(())
            }
        }
    }

    /// The position of the title of a name, or an error.
    fn known_position(&self, name: &str) -> Result<u32, String> {
        self.position(name).ok_or_else(|| format!("title {name:?} is not known"))
    }

    /// Adds or replaces a title.
    fn put_title(&mut self, title: PackedTitle) -> Result<(), String> {
        if let Some(position) = self.position(title.name()) {
            self.set_title(position, Some(title));
            return Ok(());
        }
        self.append(title)
    }

    /// Adds a title of a new name.
    fn append(&mut self, title: PackedTitle) -> Result<(), String> {
        let hash = hash_name(title.name());
        let position = u32::try_from(self.titles.push(None)).map_err(|_| "all positions are used")?;
        self.set_title(position, Some(title));
        self.names.insert(hash, position);
        let Version { titles, prefixes, .. } = self;
        prefixes.insert(position, |p| name_at(titles, p));
        Ok(())
    }

    /// Replaces a title by an updated copy.
    fn update_title(
        &mut self,
        name: &str,
        update: impl FnOnce(&mut Title) -> Result<(), String>,
    ) -> Result<(), String> {
        let position = self.known_position(name)?;
        let mut title = self.title_at(position).map(PackedTitle::unpack).ok_or("no title at its position")?;
        update(&mut title)?;
        self.set_title(position, Some(PackedTitle::new(&title)?));
        Ok(())
    }

    /// Marks a box as available or gone, and updates the under-replicated sets for its titles.
    fn set_available(&mut self, server: ServerId, available: bool) {
        let entry = self.boxes.entry(server).or_default();
        if std::mem::replace(&mut entry.gone, !available) == available {
            for position in entry.titles.clone().iter() {
                self.update_under_replicated(position);
            }
        }
    }

    /// Replaces or removes the title at a position, and updates the indexes by box.
    fn set_title(&mut self, position: u32, title: Option<PackedTitle>) {
        let Some(slot) = self.titles.get_mut(position as usize) else { return };
        let old = std::mem::replace(slot, title.clone());
        let holders_of = |t: &Option<PackedTitle>| t.iter().flat_map(|t| t.holders()).collect::<Vec<_>>();
        let (before, after) = (holders_of(&old), holders_of(&title));
        for server in before.iter().filter(|s| after.binary_search(s).is_err()) {
            if let Some(entry) = self.boxes.get_mut(server) {
                Arc::make_mut(&mut entry.titles).remove(position);
            }
        }
        for server in after.iter().filter(|s| before.binary_search(s).is_err()) {
            let entry = self.boxes.entry(*server).or_default();
            Arc::make_mut(&mut entry.titles).insert(position);
        }
        self.update_under_replicated(position);
    }

    /// Updates the under-replicated sets for a title.
    fn update_under_replicated(&mut self, position: u32) {
        let available = self.title_at(position).map(|t| self.available_holders(t).take(2).count());
        for (count, set) in self.under_replicated.iter_mut().enumerate() {
            let belongs = available == Some(count);
            // Checked first, so that a set that does not change is not copied.
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

fn add_holder(title: &mut Title, server: ServerId) -> Result<(), String> {
    match title.holders.binary_search(&server) {
        Ok(_) => Err(format!("box {} already holds {:?}", server.0, title.name)),
        Err(index) => {
            title.holders.insert(index, server);
            Ok(())
        }
    }
}

fn remove_holder(title: &mut Title, server: ServerId) -> Result<(), String> {
    let index = title.holders.binary_search(&server);
    let index = index.map_err(|_| format!("box {} does not hold {:?}", server.0, title.name))?;
    title.holders.remove(index);
    Ok(())
}

/// Builds a whole version title by title. Titles that are equal in the previous version are shared with it, so that
/// loading a new catalogue beside it only takes memory for the indexes and for what differs.
pub struct VersionBuilder {
    version: Version,
    previous: Option<Arc<Version>>,
}

impl VersionBuilder {
    /// Starts a version as of change `number`. `groups` are the service groups by bit of the group masks, at most 32.
    /// Titles that are equal in `previous` are shared with it.
    pub fn new(
        number: u64,
        groups: Vec<String>,
        previous: Option<Arc<Version>>,
    ) -> Result<VersionBuilder, String> {
        let duplicates = groups.iter().enumerate().any(|(n, g)| groups[..n].contains(g));
        if groups.len() > 32 || duplicates {
            return Err(format!(
                "{} service groups, but at most 32 with distinct names are allowed",
                groups.len()
            ));
        }
        Ok(VersionBuilder {
            version: Version { number, groups: groups.into(), ..Version::default() },
            previous,
        })
    }

    /// Adds or updates a box. Boxes should be added before titles: later, the cost grows with the titles on the box.
    pub fn add_box(&mut self, state: BoxState) {
        self.version.set_available(state.server, !state.gone);
        self.version.boxes.entry(state.server).or_default().rack = state.rack;
    }

    /// Adds a title. Fails if its name was added before, or if it has an unknown service group.
    pub fn add_title(&mut self, title: PackedTitle) -> Result<(), String> {
        if self.version.position(title.name()).is_some() {
            return Err(format!("title {:?} is given twice", title.name()));
        }
        if self.version.groups.len() < 32 && title.group_mask() >> self.version.groups.len() != 0 {
            return Err(format!("title {:?} has an unknown service group", title.name()));
        }
        let previous = self.previous.as_ref().and_then(|old| old.title(title.name()));
        let shared = previous.filter(|old| **old == title).cloned();
        self.version.append(shared.unwrap_or(title))
    }

    /// Returns the version.
    pub fn finish(self) -> Version {
        self.version
    }
}
