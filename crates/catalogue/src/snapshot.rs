//! A whole version as bytes: header, groups and boxes, blocks of titles, an end. Each part carries its own sum
//! (CRC-32), so that a fault is told with its place and nothing is taken of a part that is not whole.
//!
//! ```text
//! header   "WNLNCAT1"  number u64  titles u64  boxes u32  bytes of groups u32           sum u32
//! groups   each: length u8, UTF-8;  boxes, each: id u32, flags u8 (1 gone, 2 racked), rack u32   sum u32
//! block    titles u32  bytes u32  then each title: length u16 and its packed bytes     sum u32
//! end      a block of no titles
//! ```
//! All numbers are little-endian. Writer and reader work piece by piece: neither holds the whole in memory.
use crate::packed_title::PackedTitle;
use crate::version::{BoxState, Version, VersionBuilder};
use std::sync::Arc;
use walnutline::ids::{RackId, ServerId};

const MAGIC: &[u8; 8] = b"WNLNCAT1";
pub const HEADER_BYTES: usize = 36;
/// A block is closed when it has grown to so many bytes; one that claims more than the second is refused.
/// A reader works at one for some tenths of a millisecond: who reads beside other work can rest in between.
const BLOCK: usize = 4 << 10;
const LARGEST: usize = 1 << 20;
const BOX: usize = 9;
const MOST_BOXES: u32 = 1 << 20;

/// What is wrong, and at which byte of the snapshot the part at fault begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotError {
    pub offset: u64,
    pub reason: String,
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "snapshot: byte {}: {}", self.offset, self.reason)
    }
}

fn summed(mut bytes: Vec<u8>) -> Vec<u8> {
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

/// The pieces of a version's snapshot, in order.
pub fn encode(v: &Version) -> impl Iterator<Item = Vec<u8>> + '_ {
    let groups: Vec<u8> =
        v.groups().iter().flat_map(|g| std::iter::once(g.len() as u8).chain(g.bytes())).collect();
    let boxes: Vec<BoxState> = v.boxes().collect();
    let mut header = MAGIC.to_vec();
    header.extend(v.number().to_le_bytes());
    header.extend((v.len() as u64).to_le_bytes());
    header.extend((boxes.len() as u32).to_le_bytes());
    header.extend((groups.len() as u32).to_le_bytes());
    let mut places = groups;
    for b in boxes {
        places.extend(b.server.0.to_le_bytes());
        places.push(u8::from(b.gone) | u8::from(b.rack.is_some()) << 1);
        places.extend(b.rack.map_or(0, |r| r.0).to_le_bytes());
    }
    // In the order of names: who puts them together again then finds the place of each beside the one before.
    let mut titles = v.titles_with_prefix("", None, v.len()).into_iter().peekable();
    let mut ended = false;
    let blocks = std::iter::from_fn(move || {
        if std::mem::replace(&mut ended, titles.peek().is_none()) {
            return None;
        }
        let (mut count, mut bytes) = (0u32, Vec::new());
        while let Some(t) = titles.next_if(|_| bytes.len() < BLOCK) {
            bytes.extend((t.as_bytes().len() as u16).to_le_bytes());
            bytes.extend(t.as_bytes());
            count += 1;
        }
        let mut block = count.to_le_bytes().to_vec();
        block.extend((bytes.len() as u32).to_le_bytes());
        block.extend(bytes);
        // The block of no titles is the end.
        ended = count == 0;
        Some(summed(block))
    });
    [summed(header), summed(places)].into_iter().chain(blocks)
}

enum Part {
    Header,
    Places { boxes: usize, groups: usize },
    Block,
    End,
}

/// Puts a version together from the bytes of a snapshot, as they come.
pub struct SnapshotReader {
    part: Part,
    pending: Vec<u8>,
    /// Bytes taken before those pending.
    at: u64,
    number: u64,
    titles: u64,
    done: u64,
    beside: Option<Arc<Version>>,
    builder: Option<VersionBuilder>,
}

impl SnapshotReader {
    /// `beside`: the version that serves meanwhile; what is the same is shared with it.
    pub fn new(beside: Option<Arc<Version>>) -> SnapshotReader {
        SnapshotReader {
            part: Part::Header,
            pending: Vec::new(),
            at: 0,
            number: 0,
            titles: 0,
            done: 0,
            beside,
            builder: None,
        }
    }

    /// Titles read, and how many there are to be.
    pub fn progress(&self) -> (u64, u64) {
        (self.done, self.titles)
    }

    fn bad(&self, why: impl Into<String>) -> SnapshotError {
        SnapshotError { offset: self.at, reason: why.into() }
    }

    /// Takes bytes. After an error nothing more is to be handed in.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        self.pending.extend_from_slice(bytes);
        let mut used = 0;
        let pending = std::mem::take(&mut self.pending);
        while let Some(len) = self.wanted(&pending[used..])? {
            let Some(part) = pending.get(used..used + len) else { break };
            self.take(part)?;
            used += len;
            self.at += len as u64;
        }
        self.pending = pending;
        self.pending.drain(..used);
        Ok(())
    }

    /// Length of the part that is next, its sum included; `None` while too little of it is here to say.
    fn wanted(&self, rest: &[u8]) -> Result<Option<usize>, SnapshotError> {
        match self.part {
            Part::Header => Ok(Some(HEADER_BYTES)),
            Part::Places { boxes, groups } => Ok(Some(boxes * BOX + groups + 4)),
            Part::Block if rest.len() < 8 => Ok(None),
            Part::Block => match word(rest, 4) as usize {
                len if len <= LARGEST => Ok(Some(8 + len + 4)),
                len => Err(self.bad(format!("a block of {len} bytes, more than {LARGEST}"))),
            },
            Part::End if rest.is_empty() => Ok(None),
            Part::End => Err(self.bad("bytes after its end")),
        }
    }

    fn take(&mut self, part: &[u8]) -> Result<(), SnapshotError> {
        let (bytes, sum) = part.split_at(part.len() - 4);
        if matches!(self.part, Part::Header) && !bytes.starts_with(MAGIC) {
            return Err(self.bad("this is no catalogue of a version that is known here"));
        }
        if crc32fast::hash(bytes) != word(sum, 0) {
            return Err(self.bad("the sum of this part is wrong"));
        }
        match self.part {
            Part::Header => {
                (self.number, self.titles) = (long(bytes, 8), long(bytes, 16));
                let (boxes, groups) = (word(bytes, 24), word(bytes, 28));
                if boxes > MOST_BOXES || groups > 32 * 256 {
                    return Err(self.bad(format!("{boxes} boxes and {groups} bytes of groups are too many")));
                }
                self.part = Part::Places { boxes: boxes as usize, groups: groups as usize };
            }
            Part::Places { groups, .. } => {
                let (names, boxes) = bytes.split_at(groups);
                let names = self.groups(names)?;
                let builder = VersionBuilder::new(self.number, names, self.beside.take());
                let mut builder = builder.map_err(|why| self.bad(why))?;
                for b in boxes.chunks_exact(BOX) {
                    builder.add_box(BoxState {
                        server: ServerId(word(b, 0)),
                        gone: b[4] & 1 != 0,
                        rack: (b[4] & 2 != 0).then(|| RackId(word(b, 5))),
                    });
                }
                self.builder = Some(builder);
                self.part = Part::Block;
            }
            Part::Block => self.block(word(bytes, 0), &bytes[8..])?,
            Part::End => {}
        }
        Ok(())
    }

    fn groups(&self, mut bytes: &[u8]) -> Result<Vec<String>, SnapshotError> {
        let mut names = Vec::new();
        while let Some((len, rest)) = bytes.split_first() {
            let name = rest.get(..usize::from(*len)).and_then(|n| std::str::from_utf8(n).ok());
            let name = name.ok_or_else(|| self.bad("a service group's name is cut short or no UTF-8"))?;
            names.push(name.to_owned());
            bytes = &rest[usize::from(*len)..];
        }
        Ok(names)
    }

    fn block(&mut self, count: u32, mut bytes: &[u8]) -> Result<(), SnapshotError> {
        let (at, len) = (self.at, bytes.len());
        for _ in 0..count {
            let within = at + 8 + (len - bytes.len()) as u64;
            let bad = |at: u64, why: String| SnapshotError { offset: within + at, reason: why };
            let n = bytes.get(..2).map(|b| usize::from(u16::from_le_bytes([b[0], b[1]])));
            let title = n.and_then(|n| bytes.get(2..2 + n));
            let title = title.ok_or_else(|| bad(0, "a title that is cut short".into()))?;
            let packed = PackedTitle::parse(title).map_err(|e| bad(2 + e.offset as u64, e.reason))?;
            let builder = self.builder.as_mut().ok_or_else(|| bad(0, "titles before boxes".into()))?;
            builder.add_title(packed).map_err(|why| bad(0, why))?;
            bytes = &bytes[2 + title.len()..];
            self.done += 1;
        }
        if !bytes.is_empty() {
            return Err(self.bad(format!("{} bytes of a block belong to no title", bytes.len())));
        }
        if count == 0 {
            if self.done != self.titles {
                return Err(self.bad(format!("it ends after {} of {} titles", self.done, self.titles)));
            }
            self.part = Part::End;
        }
        Ok(())
    }

    /// The version, once all bytes are handed in.
    pub fn finish(self) -> Result<Version, SnapshotError> {
        let short = self.at + self.pending.len() as u64;
        match (self.part, self.builder) {
            (Part::End, Some(builder)) => Ok(builder.finish()),
            _ => Err(SnapshotError { offset: short, reason: "it ends here, before its end".into() }),
        }
    }
}

fn word(bytes: &[u8], at: usize) -> u32 {
    bytes[at..at + 4].iter().rev().fold(0, |sum, b| sum << 8 | u32::from(*b))
}

fn long(bytes: &[u8], at: usize) -> u64 {
    u64::from(word(bytes, at)) | u64::from(word(bytes, at + 4)) << 32
}
