//! A title as one run of bytes: what versions hold and what snapshots carry. Some 60 bytes where the plain value takes
//! four allocations and some 200; `walnutline bench catalogue` measures both.
//!
//! ```text
//! name: u16 length, UTF-8      rates: u8 count, f32 each, ascending, kB a second
//! service groups: u32 bits     length: u32 ms
//! holders: u16 count, each as the difference to the one before plus 1, base 128, low bits first
//! ```
//! All numbers are little-endian.
use crate::change::Title;
use std::sync::Arc;
use walnutline::ids::ServerId;

/// Longest name, most rungs and most holders that are taken, and the highest rate, in kB a second.
pub const MAX_NAME_BYTES: usize = 512;
pub const MAX_RUNGS: usize = 64;
pub const MAX_HOLDERS: usize = 4_096;
const HIGHEST_RATE: f32 = 1e9;

/// A title whose bytes are known to be sound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedTitle(Arc<[u8]>);

/// What is wrong with the bytes of a title, and at which of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedTitleError {
    pub offset: usize,
    pub reason: String,
}

impl PackedTitle {
    pub fn new(t: &Title) -> Result<PackedTitle, String> {
        check(t)?;
        let mut b = Vec::with_capacity(16 + t.name.len() + 4 * t.rates.len() + 2 * t.holders.len());
        b.extend((t.name.len() as u16).to_le_bytes());
        b.extend(t.name.as_bytes());
        b.push(t.rates.len() as u8);
        t.rates.iter().for_each(|r| b.extend(r.to_le_bytes()));
        b.extend(t.group_mask.to_le_bytes());
        b.extend(t.duration_ms.to_le_bytes());
        b.extend((t.holders.len() as u16).to_le_bytes());
        let mut next = 0;
        for h in &t.holders {
            varint(u64::from(h.0) - next, &mut b);
            next = u64::from(h.0) + 1;
        }
        Ok(PackedTitle(b.into()))
    }

    /// Takes bytes that came from outside, all of them one title.
    pub fn parse(bytes: &[u8]) -> Result<PackedTitle, PackedTitleError> {
        let title = unpack(bytes)?;
        check(&title).map_err(|why| PackedTitleError { offset: 0, reason: why })?;
        Ok(PackedTitle(bytes.into()))
    }

    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    pub fn name(&self) -> &str {
        std::str::from_utf8(&self.0[2..2 + self.name_len()]).unwrap_or_default()
    }

    fn name_len(&self) -> usize {
        usize::from(u16::from_le_bytes([self.0[0], self.0[1]]))
    }

    fn rates_at(&self) -> (usize, usize) {
        let at = 2 + self.name_len();
        (at + 1, usize::from(self.0[at]))
    }

    /// True rates by rung, in kB a second, ascending.
    pub fn rates(&self) -> impl ExactSizeIterator<Item = f32> + '_ {
        let (at, n) = self.rates_at();
        self.0[at..at + 4 * n].chunks_exact(4).map(|b| f32::from_le_bytes([b[0], b[1], b[2], b[3]]))
    }

    fn word(&self, n: usize) -> u32 {
        let (at, rungs) = self.rates_at();
        let at = at + 4 * rungs + 4 * n;
        u32::from_le_bytes([self.0[at], self.0[at + 1], self.0[at + 2], self.0[at + 3]])
    }

    /// Service groups that may play it, as bits.
    pub fn group_mask(&self) -> u32 {
        self.word(0)
    }

    /// Its length in milliseconds.
    pub fn duration_ms(&self) -> u32 {
        self.word(1)
    }

    /// Boxes that hold it, ascending.
    pub fn holders(&self) -> HolderIter<'_> {
        let (at, rungs) = self.rates_at();
        HolderIter { rest: &self.0[at + 4 * rungs + 10..], next: 0 }
    }

    pub fn holds(&self, server: ServerId) -> bool {
        self.holders().take_while(|h| *h <= server).any(|h| h == server)
    }

    pub fn unpack(&self) -> Title {
        Title {
            name: self.name().into(),
            rates: self.rates().collect(),
            group_mask: self.group_mask(),
            duration_ms: self.duration_ms(),
            holders: self.holders().collect(),
        }
    }
}

pub struct HolderIter<'a> {
    rest: &'a [u8],
    next: u64,
}

impl Iterator for HolderIter<'_> {
    type Item = ServerId;

    fn next(&mut self) -> Option<ServerId> {
        if self.rest.is_empty() {
            return None;
        }
        let (more, used) = read_varint(self.rest)?;
        self.rest = &self.rest[used..];
        let id = self.next + more;
        self.next = id + 1;
        u32::try_from(id).ok().map(ServerId)
    }
}

/// Base 128, low bits first.
fn varint(mut n: u64, out: &mut Vec<u8>) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

/// A number and the bytes that it took; `None` where it does not end or is above 2^35.
fn read_varint(bytes: &[u8]) -> Option<(u64, usize)> {
    let mut n = 0;
    for (k, b) in bytes.iter().take(5).enumerate() {
        n |= u64::from(b & 0x7f) << (7 * k);
        if b & 0x80 == 0 {
            return Some((n, k + 1));
        }
    }
    None
}

struct Cursor<'a> {
    all: &'a [u8],
    at: usize,
}

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], PackedTitleError> {
        let part = self.all.get(self.at..self.at + n);
        let part = part
            .ok_or_else(|| PackedTitleError { offset: self.at, reason: format!("ends within its {what}") })?;
        self.at += n;
        Ok(part)
    }

    fn number(&mut self, n: usize, what: &str) -> Result<u32, PackedTitleError> {
        Ok(self.take(n, what)?.iter().rev().fold(0, |sum, b| sum << 8 | u32::from(*b)))
    }
}

fn unpack(bytes: &[u8]) -> Result<Title, PackedTitleError> {
    let mut c = Cursor { all: bytes, at: 0 };
    let len = c.number(2, "name")? as usize;
    let name = std::str::from_utf8(c.take(len, "name")?);
    let name = name.map_err(|e| PackedTitleError {
        offset: 2 + e.valid_up_to(),
        reason: "a name that is not UTF-8".into(),
    })?;
    let rungs = c.number(1, "rates")?;
    let mut rates = Vec::new();
    for _ in 0..rungs {
        rates.push(f32::from_bits(c.number(4, "rates")?));
    }
    let (groups, length) = (c.number(4, "service groups")?, c.number(4, "length")?);
    let count = c.number(2, "holders")?;
    let (mut holders, mut next) = (Vec::new(), 0);
    for _ in 0..count {
        let unsound = |why: &str| PackedTitleError { offset: c.at, reason: why.into() };
        let (more, used) =
            read_varint(&bytes[c.at..]).ok_or_else(|| unsound("a holder that does not end"))?;
        let id = u32::try_from(next + more).map_err(|_| unsound("a holder above 2^32"))?;
        c.at += used;
        holders.push(ServerId(id));
        next = u64::from(id) + 1;
    }
    if c.at != bytes.len() {
        return Err(PackedTitleError {
            offset: c.at,
            reason: format!("{} bytes too many", bytes.len() - c.at),
        });
    }
    Ok(Title { name: name.into(), rates, group_mask: groups, duration_ms: length, holders })
}

fn check(t: &Title) -> Result<(), String> {
    let name = &t.name;
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(format!("a title's name has {} bytes, not 1 to {MAX_NAME_BYTES}", name.len()));
    }
    if t.rates.is_empty() || t.rates.len() > MAX_RUNGS {
        return Err(format!("title {name:?} has {} rungs, not 1 to {MAX_RUNGS}", t.rates.len()));
    }
    if !t.rates.iter().all(|r| (0.001..=HIGHEST_RATE).contains(r)) || !t.rates.is_sorted() {
        return Err(format!("title {name:?}: rates {:?} do not ascend from above 0", t.rates));
    }
    if t.holders.len() > MAX_HOLDERS || !t.holders.windows(2).all(|w| w[0] < w[1]) {
        return Err(format!("title {name:?}: its holders are too many or do not ascend"));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn title() -> impl Strategy<Value = Title> {
        let holders = prop::collection::btree_set(any::<u32>(), 0..9);
        let rates = prop::collection::vec(0.01f32..1e6, 1..8);
        ("\\PC{1,20}", rates, any::<u32>(), any::<u32>(), holders).prop_map(
            |(name, mut rates, groups, length, h)| {
                rates.sort_by(f32::total_cmp);
                Title {
                    name,
                    rates,
                    group_mask: groups,
                    duration_ms: length,
                    holders: h.into_iter().map(ServerId).collect(),
                }
            },
        )
    }

    proptest! {
        #[test]
        fn read_back(t in title()) {
            let packed = PackedTitle::new(&t).unwrap();
            prop_assert_eq!(packed.unpack(), t.clone());
            prop_assert!(t.holders.iter().all(|h| packed.holds(*h)));
            let mut read = PackedTitle::parse(packed.as_bytes()).unwrap();
            prop_assert_eq!(&read, &packed);
            read = PackedTitle::new(&read.unpack()).unwrap();
            prop_assert_eq!(read, packed);
        }

        /// Bytes cut short or changed are either a sound title or refused within their length; nothing breaks.
        #[test]
        fn rubbish_is_refused_with_its_place(t in title(), at in any::<prop::sample::Index>(), b in any::<u8>(), cut in any::<prop::sample::Index>()) {
            let mut bytes = PackedTitle::new(&t).unwrap().as_bytes().to_vec();
            let short = cut.index(bytes.len());
            prop_assert!(PackedTitle::parse(&bytes[..short]).unwrap_err().offset <= short);
            let at = at.index(bytes.len());
            bytes[at] = b;
            match PackedTitle::parse(&bytes) {
                Ok(p) => prop_assert!(PackedTitle::new(&p.unpack()).is_ok()),
                Err(e) => prop_assert!(e.offset <= bytes.len()),
            }
        }
    }
}
