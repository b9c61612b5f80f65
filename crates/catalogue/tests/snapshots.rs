//! Snapshots round-trip however their bytes are split, and damaged ones are rejected with an offset.
use proptest::prelude::*;
use std::sync::Arc;
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change::Title;
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::snapshot::{encode, SnapshotError, SnapshotReader, HEADER_BYTES};
use walnutline_catalogue::version::{BoxState, Version, VersionBuilder};

fn version(titles: u32) -> Version {
    let mut builder = VersionBuilder::new(77, vec!["council".into(), "board".into()], None).unwrap();
    for n in 0..20 {
        builder.add_box(BoxState {
            server: ServerId(n),
            gone: n % 7 == 3,
            rack: (n % 2 == 0).then_some(RackId(n % 3)),
        });
    }
    for n in 0..titles {
        let title = Title {
            name: format!("notice-{n}"),
            rates: vec![100.0 + n as f32, 9_000.0],
            group_mask: 1 + n % 3,
            duration_ms: n,
            holders: (0..n % 4)
                .map(|k| ServerId((n * 7 + k * 3) % 20))
                .collect::<std::collections::BTreeSet<_>>()
                .into_iter()
                .collect(),
        };
        builder.add_title(PackedTitle::new(&title).unwrap()).unwrap();
    }
    builder.finish()
}

fn encoded(version: &Version) -> Vec<u8> {
    encode(version).flatten().collect()
}

fn read(bytes: &[u8], chunk_len: usize) -> Result<Version, SnapshotError> {
    let mut reader = SnapshotReader::new(None);
    for chunk in bytes.chunks(chunk_len) {
        reader.push(chunk)?;
    }
    reader.finish()
}

fn assert_same(a: &Version, b: &Version) {
    assert_eq!(
        (a.number(), a.groups(), a.len(), a.under_replicated_counts()),
        (b.number(), b.groups(), b.len(), b.under_replicated_counts())
    );
    assert!(a.boxes().eq(b.boxes()));
    assert!(b.titles().all(|t| a.title(t.name()) == Some(t)));
}

#[test]
fn reading_in_chunks_of_any_length_gives_the_same_version() {
    for titles in [0, 1, 5_000] {
        let version = version(titles);
        let bytes = encoded(&version);
        for chunk_len in [1, 7, 4_096, bytes.len()] {
            assert_same(&read(&bytes, chunk_len).unwrap(), &version);
        }
    }
}

#[test]
fn flipped_bits_are_rejected_with_an_offset_near_them() {
    let bytes = encoded(&version(4_000));
    assert!(bytes.len() > 2 * (64 << 10), "the test needs more than one block");
    let samples = (0..HEADER_BYTES)
        .chain((HEADER_BYTES..bytes.len()).step_by(211))
        .chain(bytes.len() - 12..bytes.len());
    for at in samples {
        for flip in [0x01, 0x80] {
            let mut damaged = bytes.clone();
            damaged[at] ^= flip;
            let error = read(&damaged, 8_192)
                .err()
                .unwrap_or_else(|| panic!("byte {at} was flipped, but the snapshot was accepted"));
            assert!(error.offset <= at as u64 + 8, "byte {at}: {error}");
            // The reported part starts at most one block before the byte.
            assert!(at as u64 - error.offset.min(at as u64) <= 66 << 10, "byte {at}: {error}");
        }
    }
}

#[test]
fn truncated_or_too_long_snapshots_are_rejected() {
    let bytes = encoded(&version(300));
    for len in (0..bytes.len()).step_by(37) {
        let error = read(&bytes[..len], 1_000).unwrap_err();
        assert!(error.offset <= len as u64, "{error}");
    }
    let mut too_long = bytes.clone();
    too_long.push(0);
    assert_eq!(
        read(&too_long, 1_000).unwrap_err().to_string(),
        format!("snapshot: byte {}: bytes after the end block", bytes.len())
    );
}

#[test]
fn equal_titles_are_shared_with_the_previous_version() {
    let previous = Arc::new(version(500));
    let mut reader = SnapshotReader::new(Some(previous.clone()));
    reader.push(&encoded(&previous)).unwrap();
    assert_eq!(reader.progress(), (500, 500));
    let loaded = reader.finish().unwrap();
    let address = |version: &Version, name: &str| version.title(name).map(|t| t.as_bytes().as_ptr());
    let shared = previous.titles().filter(|t| address(&previous, t.name()) == address(&loaded, t.name()));
    assert_eq!(shared.count(), 500);
}

proptest! {
    #[test]
    fn random_bytes_are_rejected_without_a_panic(
        mut bytes in prop::collection::vec(any::<u8>(), 0..200),
        with_magic in any::<bool>(),
    ) {
        if with_magic {
            bytes.splice(0..0, *b"WNLNCAT1");
        }
        prop_assert!(read(&bytes, 64).is_err());
    }
}
