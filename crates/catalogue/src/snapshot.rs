//! The binary encoding of a whole version: a header, service groups and boxes, blocks of titles, and an end block.
//! Each part has its own CRC-32, so that an error has an offset and no data of a damaged part is used.
//!
//! ```text
//! header   "WNLNCAT1"  number u64  titles u64  boxes u32  bytes of groups u32           crc u32
//! groups   each: length u8, UTF-8;  boxes, each: id u32, flags u8 (1 gone, 2 racked), rack u32   crc u32
//! block    titles u32  bytes u32  then each title: length u16 and its packed bytes     crc u32
//! end      a block without titles
//! ```
//! All numbers are little-endian. Encoder and reader work part by part: neither holds a whole snapshot in memory.
use crate::packed_title::PackedTitle;
use crate::version::{BoxState, Version, VersionBuilder};
use std::sync::Arc;
use walnutline::ids::{RackId, ServerId};

const MAGIC: &[u8; 8] = b"WNLNCAT1";
/// Length of the header with its checksum.
pub const HEADER_BYTES: usize = 36;
/// Size from which a block is closed. A reader takes a few tenths of a millisecond for one, so that a background load
/// can pause between blocks.
const BLOCK_BYTES: usize = 4 << 10;
/// Largest block that a reader accepts.
const MAX_BLOCK_BYTES: usize = 1 << 20;
/// Encoded size of a box.
const BOX_BYTES: usize = 9;
/// Most boxes that a reader accepts.
const MAX_BOXES: u32 = 1 << 20;

/// Why a snapshot is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotError {
    /// Offset in the snapshot of the invalid part, or of the invalid data in it.
    pub offset: u64,
    /// What is invalid there.
    pub reason: String,
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "snapshot: byte {}: {}", self.offset, self.reason)
    }
}

/// Appends the checksum of a part.
fn with_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// Encodes a version. Returns the parts of the snapshot in order.
pub fn encode(version: &Version) -> impl Iterator<Item = Vec<u8>> + '_ {
    let groups: Vec<u8> =
        version.groups().iter().flat_map(|g| std::iter::once(g.len() as u8).chain(g.bytes())).collect();
    let boxes: Vec<BoxState> = version.boxes().collect();
    let mut header = MAGIC.to_vec();
    header.extend(version.number().to_le_bytes());
    header.extend((version.len() as u64).to_le_bytes());
    header.extend((boxes.len() as u32).to_le_bytes());
    header.extend((groups.len() as u32).to_le_bytes());
    let mut groups_and_boxes = groups;
    for state in boxes {
        groups_and_boxes.extend(state.server.0.to_le_bytes());
        groups_and_boxes.push(u8::from(state.gone) | u8::from(state.rack.is_some()) << 1);
        groups_and_boxes.extend(state.rack.map_or(0, |r| r.0).to_le_bytes());
    }
    // In name order, so that a reader adds each title to its indexes close to the one before.
    let mut titles = version.titles_with_prefix("", None, version.len()).into_iter().peekable();
    let mut finished = false;
    let blocks = std::iter::from_fn(move || {
        if std::mem::replace(&mut finished, titles.peek().is_none()) {
            return None;
        }
        let (mut count, mut bytes) = (0u32, Vec::new());
        while let Some(title) = titles.next_if(|_| bytes.len() < BLOCK_BYTES) {
            bytes.extend((title.as_bytes().len() as u16).to_le_bytes());
            bytes.extend(title.as_bytes());
            count += 1;
        }
        let mut block = count.to_le_bytes().to_vec();
        block.extend((bytes.len() as u32).to_le_bytes());
        block.extend(bytes);
        // A block without titles is the end.
        finished = count == 0;
        Some(with_checksum(block))
    });
    [with_checksum(header), with_checksum(groups_and_boxes)].into_iter().chain(blocks)
}

/// The part that a reader expects next.
enum Part {
    Header,
    GroupsAndBoxes { boxes: usize, group_bytes: usize },
    Block,
    End,
}

/// Incremental reader: builds a version from the bytes of a snapshot as they arrive.
pub struct SnapshotReader {
    next_part: Part,
    /// Bytes of a part that is not complete yet.
    pending: Vec<u8>,
    /// Offset of the pending bytes in the snapshot.
    offset: u64,
    number: u64,
    total_titles: u64,
    titles_read: u64,
    previous: Option<Arc<Version>>,
    builder: Option<VersionBuilder>,
}

impl SnapshotReader {
    /// Creates a reader. Titles that are equal in the `previous` version are shared with it.
    pub fn new(previous: Option<Arc<Version>>) -> SnapshotReader {
        SnapshotReader {
            next_part: Part::Header,
            pending: Vec::new(),
            offset: 0,
            number: 0,
            total_titles: 0,
            titles_read: 0,
            previous,
            builder: None,
        }
    }

    /// The number of titles read so far, and of all titles.
    pub fn progress(&self) -> (u64, u64) {
        (self.titles_read, self.total_titles)
    }

    fn error(&self, reason: impl Into<String>) -> SnapshotError {
        SnapshotError { offset: self.offset, reason: reason.into() }
    }

    /// Takes the next bytes of the snapshot. The reader must not be used after an error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        self.pending.extend_from_slice(bytes);
        let mut consumed = 0;
        let pending = std::mem::take(&mut self.pending);
        while let Some(len) = self.part_len(&pending[consumed..])? {
            let Some(part) = pending.get(consumed..consumed + len) else { break };
            self.read_part(part)?;
            consumed += len;
            self.offset += len as u64;
        }
        self.pending = pending;
        self.pending.drain(..consumed);
        Ok(())
    }

    /// Length of the next part with its checksum; `None` while too few bytes are there to know.
    fn part_len(&self, rest: &[u8]) -> Result<Option<usize>, SnapshotError> {
        match self.next_part {
            Part::Header => Ok(Some(HEADER_BYTES)),
            Part::GroupsAndBoxes { boxes, group_bytes } => Ok(Some(boxes * BOX_BYTES + group_bytes + 4)),
            Part::Block if rest.len() < 8 => Ok(None),
            Part::Block => match u32_at(rest, 4) as usize {
                len if len <= MAX_BLOCK_BYTES => Ok(Some(8 + len + 4)),
                len => Err(self.error(format!("block of {len} bytes exceeds {MAX_BLOCK_BYTES}"))),
            },
            Part::End if rest.is_empty() => Ok(None),
            Part::End => Err(self.error("bytes after the end block")),
        }
    }

    fn read_part(&mut self, part: &[u8]) -> Result<(), SnapshotError> {
        let (bytes, checksum) = part.split_at(part.len() - 4);
        if matches!(self.next_part, Part::Header) && !bytes.starts_with(MAGIC) {
            return Err(self.error("not a catalogue snapshot, or of an unsupported format version"));
        }
        if crc32fast::hash(bytes) != u32_at(checksum, 0) {
            return Err(self.error("checksum mismatch"));
        }
        match self.next_part {
            Part::Header => {
                (self.number, self.total_titles) = (u64_at(bytes, 8), u64_at(bytes, 16));
                let (boxes, group_bytes) = (u32_at(bytes, 24), u32_at(bytes, 28));
                // At most 32 group names, each with a length byte and up to 255 bytes.
                if boxes > MAX_BOXES || group_bytes > 32 * 256 {
                    return Err(self.error(format!(
                        "{boxes} boxes or {group_bytes} bytes of service groups are too many"
                    )));
                }
                self.next_part =
                    Part::GroupsAndBoxes { boxes: boxes as usize, group_bytes: group_bytes as usize };
            }
            Part::GroupsAndBoxes { group_bytes, .. } => {
                let (groups, boxes) = bytes.split_at(group_bytes);
                let groups = self.decode_groups(groups)?;
                let builder = VersionBuilder::new(self.number, groups, self.previous.take());
                let mut builder = builder.map_err(|reason| self.error(reason))?;
                for encoded in boxes.chunks_exact(BOX_BYTES) {
                    builder.add_box(BoxState {
                        server: ServerId(u32_at(encoded, 0)),
                        gone: encoded[4] & 1 != 0,
                        rack: (encoded[4] & 2 != 0).then(|| RackId(u32_at(encoded, 5))),
                    });
                }
                self.builder = Some(builder);
                self.next_part = Part::Block;
            }
            Part::Block => self.read_block(u32_at(bytes, 0), &bytes[8..])?,
            Part::End => {}
        }
        Ok(())
    }

    fn decode_groups(&self, mut bytes: &[u8]) -> Result<Vec<String>, SnapshotError> {
        let mut names = Vec::new();
        while let Some((len, rest)) = bytes.split_first() {
            let name = rest.get(..usize::from(*len)).and_then(|n| std::str::from_utf8(n).ok());
            let name = name
                .ok_or_else(|| self.error("the name of a service group is truncated or not valid UTF-8"))?;
            names.push(name.to_owned());
            bytes = &rest[usize::from(*len)..];
        }
        Ok(names)
    }

    fn read_block(&mut self, count: u32, mut bytes: &[u8]) -> Result<(), SnapshotError> {
        let (offset, len) = (self.offset, bytes.len());
        for _ in 0..count {
            let title_offset = offset + 8 + (len - bytes.len()) as u64;
            let error = |at: u64, reason: String| SnapshotError { offset: title_offset + at, reason };
            let title_len = bytes.get(..2).map(|b| usize::from(u16::from_le_bytes([b[0], b[1]])));
            let title = title_len.and_then(|n| bytes.get(2..2 + n));
            let title = title.ok_or_else(|| error(0, "title truncated".into()))?;
            let packed = PackedTitle::parse(title).map_err(|e| error(2 + e.offset as u64, e.reason))?;
            let builder = self.builder.as_mut().ok_or_else(|| error(0, "titles before the boxes".into()))?;
            builder.add_title(packed).map_err(|reason| error(0, reason))?;
            bytes = &bytes[2 + title.len()..];
            self.titles_read += 1;
        }
        if !bytes.is_empty() {
            return Err(self.error(format!("{} bytes after the last title of a block", bytes.len())));
        }
        if count == 0 {
            if self.titles_read != self.total_titles {
                return Err(self
                    .error(format!("end block after {} of {} titles", self.titles_read, self.total_titles)));
            }
            self.next_part = Part::End;
        }
        Ok(())
    }

    /// Returns the version, after all bytes of the snapshot.
    pub fn finish(self) -> Result<Version, SnapshotError> {
        let len = self.offset + self.pending.len() as u64;
        match (self.next_part, self.builder) {
            (Part::End, Some(builder)) => Ok(builder.finish()),
            _ => Err(SnapshotError { offset: len, reason: "snapshot truncated".into() }),
        }
    }
}

/// The little-endian `u32` at an offset.
fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes[offset..offset + 4].iter().rev().fold(0, |number, b| number << 8 | u32::from(*b))
}

/// The little-endian `u64` at an offset.
fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from(u32_at(bytes, offset)) | u64::from(u32_at(bytes, offset + 4)) << 32
}
