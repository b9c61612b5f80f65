//! One state of the catalogue: titles by position, positions by name, and which titles each box holds.
use crate::change::{Change, Fault, Numbered, Title};
use crate::cow::Pages;
use crate::names::{hash, Names};
use roaring::RoaringBitmap;
use std::collections::BTreeMap;
use std::sync::Arc;
use walnutline::ids::ServerId;

/// Longest name, most rungs and most holders that are taken, and the highest rate, in kB a second.
const LONGEST_NAME: usize = 512;
const MOST_RUNGS: usize = 64;
const MOST_HOLDERS: usize = 4_096;
const HIGHEST_RATE: f32 = 1e9;

/// What a version knows of a box.
#[derive(Debug, Clone, Default)]
struct Held {
    /// Positions of the titles that it holds.
    titles: Arc<RoaringBitmap>,
    gone: bool,
}

#[derive(Debug, Clone, Default)]
pub struct Version {
    /// The last change that is in it.
    number: u64,
    /// By position. A position is never used again for another title, so that sets of positions stay right.
    titles: Pages<Option<Arc<Title>>>,
    names: Names,
    boxes: BTreeMap<ServerId, Held>,
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

    pub fn title(&self, name: &str) -> Option<&Arc<Title>> {
        self.position(name).and_then(|p| self.at(p))
    }

    fn at(&self, position: u32) -> Option<&Arc<Title>> {
        self.titles.get(position as usize)?.as_ref()
    }

    fn position(&self, name: &str) -> Option<u32> {
        let same = |p: &u32| self.at(*p).is_some_and(|t| t.name == name);
        self.names.find(hash(name)).find(same)
    }

    /// Titles that a box holds, in no order that means anything.
    pub fn held_by(&self, server: ServerId) -> impl Iterator<Item = &Arc<Title>> {
        let held = self.boxes.get(&server).map(|b| b.titles.iter());
        held.into_iter().flatten().filter_map(|p| self.at(p))
    }

    pub fn is_gone(&self, server: ServerId) -> bool {
        self.boxes.get(&server).is_some_and(|b| b.gone)
    }

    /// Holders of a title that are not gone.
    pub fn sound_holders<'a>(&'a self, title: &'a Title) -> impl Iterator<Item = ServerId> + 'a {
        title.holders.iter().copied().filter(|s| !self.is_gone(*s))
    }

    /// Titles that would be out of reach altogether if these boxes went too: all their sound holders are among
    /// them. Costs as much as the sets of these boxes hold, not as the catalogue.
    pub fn lost_with(&self, servers: &[ServerId]) -> Vec<&Arc<Title>> {
        let mut touched = RoaringBitmap::new();
        for held in servers.iter().filter_map(|s| self.boxes.get(s)) {
            touched |= &*held.titles;
        }
        let lost = |t: &&Arc<Title>| self.sound_holders(t).all(|s| servers.contains(&s));
        touched.iter().filter_map(|p| self.at(p)).filter(lost).collect()
    }

    /// A new version with a batch of changes in it; this one stays as it is. Changes that are in it already are
    /// passed over; where one is missing or does not fit, nothing of the batch is applied.
    pub fn with(&self, batch: &[Numbered]) -> Result<Version, Fault> {
        let mut next = self.clone();
        for n in batch.iter().filter(|n| n.number > self.number) {
            if n.number <= next.number {
                continue;
            }
            if n.number - 1 != next.number {
                return Err(Fault::Gap { have: next.number, got: n.number });
            }
            next.apply(&n.change).map_err(|why| Fault::Conflict { number: n.number, why })?;
            next.number = n.number;
        }
        Ok(next)
    }

    /// A whole catalogue as of a number.
    pub fn whole(
        number: u64,
        titles: impl IntoIterator<Item = Title>,
        gone: impl IntoIterator<Item = ServerId>,
    ) -> Result<Version, Fault> {
        let mut v = Version { number, ..Version::default() };
        let fault = |why: String| Fault::Conflict { number, why };
        for t in titles {
            if v.position(&t.name).is_some() {
                return Err(fault(format!("title {:?} is given twice", t.name)));
            }
            v.put(&t).map_err(fault)?;
        }
        gone.into_iter().for_each(|s| v.boxes.entry(s).or_default().gone = true);
        Ok(v)
    }

    fn apply(&mut self, change: &Change) -> Result<(), String> {
        match change {
            Change::Put(title) => self.put(title),
            Change::Drop { name } => {
                let position = self.known(name)?;
                self.set(position, None);
                self.names.remove(hash(name), position);
                Ok(())
            }
            Change::AddHolder { name, server } => {
                self.change(name, |t| match t.holders.binary_search(server) {
                    Ok(_) => Err(format!("box {} holds {name:?} already", server.0)),
                    Err(at) => {
                        t.holders.insert(at, *server);
                        Ok(())
                    }
                })
            }
            Change::DropHolder { name, server } => self.change(name, |t| remove_holder(t, *server)),
            Change::MoveHolder { name, from, to } => self.change(name, |t| {
                remove_holder(t, *from)?;
                match t.holders.binary_search(to) {
                    Ok(_) => Err(format!("box {} holds {name:?} already", to.0)),
                    Err(at) => {
                        t.holders.insert(at, *to);
                        Ok(())
                    }
                }
            }),
            Change::Rates { name, rates } => self.change(name, |t| {
                t.rates.clone_from(rates);
                Ok(())
            }),
            Change::Gone(server) => {
                self.boxes.entry(*server).or_default().gone = true;
                Ok(())
            }
            Change::Back(server) => {
                self.boxes.entry(*server).or_default().gone = false;
                Ok(())
            }
        }
    }

    fn known(&self, name: &str) -> Result<u32, String> {
        self.position(name).ok_or_else(|| format!("title {name:?} is not known"))
    }

    fn put(&mut self, title: &Title) -> Result<(), String> {
        check(title)?;
        let position = match self.position(&title.name) {
            Some(position) => position,
            None => {
                let position = u32::try_from(self.titles.push(None)).map_err(|_| "no more positions")?;
                self.names.insert(hash(&title.name), position);
                position
            }
        };
        self.set(position, Some(title.clone()));
        Ok(())
    }

    fn change(
        &mut self,
        name: &str,
        how: impl FnOnce(&mut Title) -> Result<(), String>,
    ) -> Result<(), String> {
        let position = self.known(name)?;
        let mut title = self.at(position).map(|t| Title::clone(t)).ok_or("no title at its position")?;
        how(&mut title)?;
        check(&title)?;
        self.set(position, Some(title));
        Ok(())
    }

    /// Puts a title at a position, or takes it away, and brings the boxes' sets up to it.
    fn set(&mut self, position: u32, title: Option<Title>) {
        let Some(slot) = self.titles.get_mut(position as usize) else { return };
        let old = std::mem::replace(slot, title.map(Arc::new));
        let new = slot.clone();
        let of = |t: &Option<Arc<Title>>| t.as_ref().map(|t| t.holders.clone()).unwrap_or_default();
        let (before, after) = (of(&old), of(&new));
        for server in before.iter().filter(|s| after.binary_search(s).is_err()) {
            if let Some(held) = self.boxes.get_mut(server) {
                Arc::make_mut(&mut held.titles).remove(position);
            }
        }
        for server in after.iter().filter(|s| before.binary_search(s).is_err()) {
            let held = self.boxes.entry(*server).or_default();
            Arc::make_mut(&mut held.titles).insert(position);
        }
    }
}

fn remove_holder(t: &mut Title, server: ServerId) -> Result<(), String> {
    let at = t.holders.binary_search(&server);
    let at = at.map_err(|_| format!("box {} does not hold {:?}", server.0, t.name))?;
    t.holders.remove(at);
    Ok(())
}

fn check(t: &Title) -> Result<(), String> {
    let name = &t.name;
    if name.is_empty() || name.len() > LONGEST_NAME {
        return Err(format!("a title's name has {} bytes, not 1 to {LONGEST_NAME}", name.len()));
    }
    if t.rates.is_empty() || t.rates.len() > MOST_RUNGS {
        return Err(format!("title {name:?} has {} rungs, not 1 to {MOST_RUNGS}", t.rates.len()));
    }
    if !t.rates.iter().all(|r| (0.001..=HIGHEST_RATE).contains(r)) || !t.rates.is_sorted() {
        return Err(format!("title {name:?}: rates {:?} do not ascend from above 0", t.rates));
    }
    if t.holders.len() > MOST_HOLDERS || !t.holders.windows(2).all(|w| w[0] < w[1]) {
        return Err(format!("title {name:?}: its holders are too many or do not ascend"));
    }
    Ok(())
}
