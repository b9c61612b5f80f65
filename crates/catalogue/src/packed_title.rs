//! A title encoded in one byte string, as versions and snapshots hold it. It takes about 60 bytes, where a
//! [`Title`] takes about 200 in four allocations; `walnutline bench catalogue` measures both.
//!
//! ```text
//! name: u16 length, UTF-8      rates: u8 count, f32 each, ascending, kB/s
//! service groups: u32 bits     duration: u32 ms
//! holders: u16 count, then a LEB128 varint each: the first id, then each id minus the one before minus 1
//! ```
//! All numbers are little-endian.
use crate::change::Title;
use std::sync::Arc;
use walnutline::ids::ServerId;

/// Longest name of a title, in bytes.
pub const MAX_NAME_BYTES: usize = 512;
/// Most rates of a title.
pub const MAX_RUNGS: usize = 64;
/// Most holders of a title.
pub const MAX_HOLDERS: usize = 4_096;
/// Highest rate of a title, in kB/s.
const MAX_RATE_KB_PER_S: f32 = 1e9;

/// An encoded title that was checked to be valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedTitle(Arc<[u8]>);

/// Why the bytes of a title are invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedTitleError {
    /// Offset in the bytes of the title.
    pub offset: usize,
    /// What is invalid there.
    pub reason: String,
}

impl PackedTitle {
    /// Checks and encodes a title.
    pub fn new(title: &Title) -> Result<PackedTitle, String> {
        validate(title)?;
        let mut bytes =
            Vec::with_capacity(16 + title.name.len() + 4 * title.rates.len() + 2 * title.holders.len());
        bytes.extend((title.name.len() as u16).to_le_bytes());
        bytes.extend(title.name.as_bytes());
        bytes.push(title.rates.len() as u8);
        title.rates.iter().for_each(|r| bytes.extend(r.to_le_bytes()));
        bytes.extend(title.group_mask.to_le_bytes());
        bytes.extend(title.duration_ms.to_le_bytes());
        bytes.extend((title.holders.len() as u16).to_le_bytes());
        let mut next = 0;
        for holder in &title.holders {
            write_varint(u64::from(holder.0) - next, &mut bytes);
            next = u64::from(holder.0) + 1;
        }
        Ok(PackedTitle(bytes.into()))
    }

    /// Checks untrusted bytes that should be exactly one title.
    pub fn parse(bytes: &[u8]) -> Result<PackedTitle, PackedTitleError> {
        let title = decode(bytes)?;
        validate(&title).map_err(|reason| PackedTitleError { offset: 0, reason })?;
        Ok(PackedTitle(bytes.into()))
    }

    /// The encoded title.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Name of the title.
    pub fn name(&self) -> &str {
        std::str::from_utf8(&self.0[2..2 + self.name_len()]).unwrap_or_default()
    }

    fn name_len(&self) -> usize {
        usize::from(u16::from_le_bytes([self.0[0], self.0[1]]))
    }

    /// Offset of the first rate, and the number of rates.
    fn rates_at(&self) -> (usize, usize) {
        let at = 2 + self.name_len();
        (at + 1, usize::from(self.0[at]))
    }

    /// True rate at each rung, in kB/s, ascending.
    pub fn rates(&self) -> impl ExactSizeIterator<Item = f32> + '_ {
        let (start, count) = self.rates_at();
        self.0[start..start + 4 * count].chunks_exact(4).map(|b| f32::from_le_bytes([b[0], b[1], b[2], b[3]]))
    }

    /// The `n`-th of the integers that follow the rates.
    fn integer_after_rates(&self, n: usize) -> u32 {
        let (at, rungs) = self.rates_at();
        let at = at + 4 * rungs + 4 * n;
        u32::from_le_bytes([self.0[at], self.0[at + 1], self.0[at + 2], self.0[at + 3]])
    }

    /// Service groups that may play the title, as in [`Title::group_mask`].
    pub fn group_mask(&self) -> u32 {
        self.integer_after_rates(0)
    }

    /// Duration in milliseconds.
    pub fn duration_ms(&self) -> u32 {
        self.integer_after_rates(1)
    }

    /// Boxes that hold the title, in ascending order.
    pub fn holders(&self) -> HolderIter<'_> {
        let (at, rungs) = self.rates_at();
        // The service groups, the duration and the number of holders take 10 bytes between the rates and the holders.
        HolderIter { rest: &self.0[at + 4 * rungs + 10..], next_id: 0 }
    }

    /// Whether a box holds the title.
    pub fn holds(&self, server: ServerId) -> bool {
        self.holders().take_while(|h| *h <= server).any(|h| h == server)
    }

    /// Decodes the title.
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

/// Iterator over the holders of a [`PackedTitle`].
pub struct HolderIter<'a> {
    rest: &'a [u8],
    /// The smallest id that can follow.
    next_id: u64,
}

impl Iterator for HolderIter<'_> {
    type Item = ServerId;

    fn next(&mut self) -> Option<ServerId> {
        if self.rest.is_empty() {
            return None;
        }
        let (gap, len) = read_varint(self.rest)?;
        self.rest = &self.rest[len..];
        let id = self.next_id + gap;
        self.next_id = id + 1;
        u32::try_from(id).ok().map(ServerId)
    }
}

/// Appends a number as an unsigned LEB128 varint.
fn write_varint(mut n: u64, out: &mut Vec<u8>) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

/// Reads an unsigned LEB128 varint. Returns the number and its length in bytes; `None` if it is truncated or longer
/// than 5 bytes.
fn read_varint(bytes: &[u8]) -> Option<(u64, usize)> {
    let mut n = 0;
    for (index, byte) in bytes.iter().take(5).enumerate() {
        n |= u64::from(byte & 0x7f) << (7 * index);
        if byte & 0x80 == 0 {
            return Some((n, index + 1));
        }
    }
    None
}

/// A read position in the bytes of a title.
struct Cursor<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Cursor<'a> {
    /// Takes `len` bytes of a field, which is named in the error.
    fn take(&mut self, len: usize, field: &str) -> Result<&'a [u8], PackedTitleError> {
        let part = self.bytes.get(self.offset..self.offset + len);
        let part = part.ok_or_else(|| PackedTitleError {
            offset: self.offset,
            reason: format!("title truncated in its {field}"),
        })?;
        self.offset += len;
        Ok(part)
    }

    /// Takes a little-endian integer of `len` bytes.
    fn integer(&mut self, len: usize, field: &str) -> Result<u32, PackedTitleError> {
        Ok(self.take(len, field)?.iter().rev().fold(0, |number, b| number << 8 | u32::from(*b)))
    }
}

fn decode(bytes: &[u8]) -> Result<Title, PackedTitleError> {
    let mut cursor = Cursor { bytes, offset: 0 };
    let len = cursor.integer(2, "name")? as usize;
    let name = std::str::from_utf8(cursor.take(len, "name")?);
    let name = name.map_err(|e| PackedTitleError {
        offset: 2 + e.valid_up_to(),
        reason: "the name is not valid UTF-8".into(),
    })?;
    let rungs = cursor.integer(1, "rates")?;
    let mut rates = Vec::new();
    for _ in 0..rungs {
        rates.push(f32::from_bits(cursor.integer(4, "rates")?));
    }
    let (group_mask, duration_ms) = (cursor.integer(4, "service groups")?, cursor.integer(4, "duration")?);
    let count = cursor.integer(2, "holders")?;
    let (mut holders, mut next_id) = (Vec::new(), 0);
    for _ in 0..count {
        let error = |reason: &str| PackedTitleError { offset: cursor.offset, reason: reason.into() };
        let (gap, len) = read_varint(&bytes[cursor.offset..])
            .ok_or_else(|| error("a holder is truncated or too large"))?;
        let id = u32::try_from(next_id + gap).map_err(|_| error("a holder does not fit in 32 bits"))?;
        cursor.offset += len;
        holders.push(ServerId(id));
        next_id = u64::from(id) + 1;
    }
    if cursor.offset != bytes.len() {
        return Err(PackedTitleError {
            offset: cursor.offset,
            reason: format!("{} bytes after the title", bytes.len() - cursor.offset),
        });
    }
    Ok(Title { name: name.into(), rates, group_mask, duration_ms, holders })
}

/// Checks the limits and orders that the encoding relies on.
fn validate(title: &Title) -> Result<(), String> {
    let name = &title.name;
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(format!(
            "a title's name has {} bytes, but 1 to {MAX_NAME_BYTES} are allowed",
            name.len()
        ));
    }
    if title.rates.is_empty() || title.rates.len() > MAX_RUNGS {
        return Err(format!(
            "title {name:?} has {} rates, but 1 to {MAX_RUNGS} are allowed",
            title.rates.len()
        ));
    }
    if !title.rates.iter().all(|r| (0.001..=MAX_RATE_KB_PER_S).contains(r)) || !title.rates.is_sorted() {
        return Err(format!(
            "title {name:?}: rates {:?} are not ascending from 0.001 to {MAX_RATE_KB_PER_S} kB/s",
            title.rates
        ));
    }
    if title.holders.len() > MAX_HOLDERS || !title.holders.windows(2).all(|w| w[0] < w[1]) {
        return Err(format!(
            "title {name:?}: its holders are more than {MAX_HOLDERS} or not in ascending order"
        ));
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
            |(name, mut rates, group_mask, duration_ms, holders)| {
                rates.sort_by(f32::total_cmp);
                Title {
                    name,
                    rates,
                    group_mask,
                    duration_ms,
                    holders: holders.into_iter().map(ServerId).collect(),
                }
            },
        )
    }

    proptest! {
        #[test]
        fn encoding_round_trips(title in title()) {
            let packed = PackedTitle::new(&title).unwrap();
            prop_assert_eq!(packed.unpack(), title.clone());
            prop_assert!(title.holders.iter().all(|h| packed.holds(*h)));
            let mut parsed = PackedTitle::parse(packed.as_bytes()).unwrap();
            prop_assert_eq!(&parsed, &packed);
            parsed = PackedTitle::new(&parsed.unpack()).unwrap();
            prop_assert_eq!(parsed, packed);
        }

        /// Truncated or changed bytes are either a valid title or rejected with an offset within their length.
        #[test]
        fn damaged_bytes_are_rejected_with_an_offset(
            title in title(),
            position in any::<prop::sample::Index>(),
            new_byte in any::<u8>(),
            cut in any::<prop::sample::Index>(),
        ) {
            let mut bytes = PackedTitle::new(&title).unwrap().as_bytes().to_vec();
            let short = cut.index(bytes.len());
            prop_assert!(PackedTitle::parse(&bytes[..short]).unwrap_err().offset <= short);
            let index = position.index(bytes.len());
            bytes[index] = new_byte;
            match PackedTitle::parse(&bytes) {
                Ok(p) => prop_assert!(PackedTitle::new(&p.unpack()).is_ok()),
                Err(e) => prop_assert!(e.offset <= bytes.len()),
            }
        }
    }
}
