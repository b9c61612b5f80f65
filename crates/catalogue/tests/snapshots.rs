//! Snapshots: read back the same from any cut of the bytes, refused with their place when anything of them is wrong.
use proptest::prelude::*;
use std::sync::Arc;
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change::Title;
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::snapshot::{encode, SnapshotError, SnapshotReader, HEADER_BYTES};
use walnutline_catalogue::version::{BoxState, Version, VersionBuilder};

fn version(titles: u32) -> Version {
    let mut b = VersionBuilder::new(77, vec!["council".into(), "board".into()], None).unwrap();
    for n in 0..20 {
        b.add_box(BoxState {
            server: ServerId(n),
            gone: n % 7 == 3,
            rack: (n % 2 == 0).then_some(RackId(n % 3)),
        });
    }
    for n in 0..titles {
        let t = Title {
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
        b.add_title(PackedTitle::new(&t).unwrap()).unwrap();
    }
    b.finish()
}

fn bytes(v: &Version) -> Vec<u8> {
    encode(v).flatten().collect()
}

fn read(bytes: &[u8], cut: usize) -> Result<Version, SnapshotError> {
    let mut r = SnapshotReader::new(None);
    for piece in bytes.chunks(cut) {
        r.push(piece)?;
    }
    r.finish()
}

fn same(a: &Version, b: &Version) {
    assert_eq!(
        (a.number(), a.groups(), a.len(), a.under_replicated_counts()),
        (b.number(), b.groups(), b.len(), b.under_replicated_counts())
    );
    assert!(a.boxes().eq(b.boxes()));
    assert!(b.titles().all(|t| a.title(t.name()) == Some(t)));
}

#[test]
fn any_cut_of_the_bytes_gives_the_same() {
    for titles in [0, 1, 5_000] {
        let v = version(titles);
        let bytes = bytes(&v);
        for cut in [1, 7, 4_096, bytes.len()] {
            same(&read(&bytes, cut).unwrap(), &v);
        }
    }
}

#[test]
fn every_flipped_byte_is_refused_with_its_place() {
    let bytes = bytes(&version(4_000));
    assert!(bytes.len() > 2 * (64 << 10), "more than one block is wanted");
    let samples = (0..HEADER_BYTES)
        .chain((HEADER_BYTES..bytes.len()).step_by(211))
        .chain(bytes.len() - 12..bytes.len());
    for at in samples {
        for flip in [0x01, 0x80] {
            let mut bad = bytes.clone();
            bad[at] ^= flip;
            let told = read(&bad, 8_192).err().unwrap_or_else(|| panic!("byte {at} flipped was taken"));
            assert!(told.offset <= at as u64 + 8, "byte {at}: {told}");
            // No further before it than its block is long.
            assert!(at as u64 - told.offset.min(at as u64) <= 66 << 10, "byte {at}: {told}");
        }
    }
}

#[test]
fn cut_short_or_too_long_is_refused() {
    let bytes = bytes(&version(300));
    for len in (0..bytes.len()).step_by(37) {
        let told = read(&bytes[..len], 1_000).unwrap_err();
        assert!(told.offset <= len as u64, "{told}");
    }
    let mut long = bytes.clone();
    long.push(0);
    assert_eq!(
        read(&long, 1_000).unwrap_err().to_string(),
        format!("snapshot: byte {}: bytes after its end", bytes.len())
    );
}

#[test]
fn a_load_beside_shares_what_is_the_same() {
    let v = Arc::new(version(500));
    let mut r = SnapshotReader::new(Some(v.clone()));
    r.push(&bytes(&v)).unwrap();
    assert_eq!(r.progress(), (500, 500));
    let again = r.finish().unwrap();
    let of = |v: &Version, name: &str| v.title(name).map(|t| t.as_bytes().as_ptr());
    let shared = v.titles().filter(|t| of(&v, t.name()) == of(&again, t.name()));
    assert_eq!(shared.count(), 500);
}

proptest! {
    #[test]
    fn rubbish_is_no_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..200), magic in any::<bool>()) {
        if magic {
            bytes.splice(0..0, *b"WNLNCAT1");
        }
        prop_assert!(read(&bytes, 64).is_err());
    }
}
