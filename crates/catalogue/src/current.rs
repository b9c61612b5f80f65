//! The current version of the catalogue. Readers load it without waiting for the writer, and a version lives until
//! its last reader releases it.
//!
//! Freeing a large version takes as long as walking through it. So that this work does not fall on the request that
//! happens to be the last reader, the writer keeps replaced versions, and [`VersionWriter::reclaim`] frees them once
//! no reader has them.
use crate::version::Version;
use arc_swap::ArcSwap;
use std::sync::Arc;

/// The shared pointer to the current version.
#[derive(Debug, Default)]
pub struct CurrentVersion(ArcSwap<Version>);

impl CurrentVersion {
    /// Loads the current version. A request should keep the one it loaded until its end.
    pub fn load(&self) -> Arc<Version> {
        self.0.load_full()
    }
}

/// The single writer, which replaces the current version.
#[derive(Debug, Default)]
pub struct VersionWriter {
    current: Arc<CurrentVersion>,
    replaced: Vec<Arc<Version>>,
}

impl VersionWriter {
    /// The pointer for readers.
    pub fn current(&self) -> Arc<CurrentVersion> {
        self.current.clone()
    }

    /// Makes a version the current one.
    pub fn publish(&mut self, version: Version) {
        self.replaced.push(self.current.0.swap(Arc::new(version)));
        self.reclaim();
    }

    /// Frees the replaced versions that have no readers left. Returns the number of those that still have some.
    pub fn reclaim(&mut self) -> usize {
        // A count of 1 cannot grow again: a replaced version can no longer be loaded.
        self.replaced.retain(|v| Arc::strong_count(v) > 1);
        self.replaced.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::version::VersionBuilder;
    use std::sync::atomic::{AtomicBool, Ordering};

    fn version(number: u64) -> Version {
        VersionBuilder::new(number, vec![], None).unwrap().finish()
    }

    #[test]
    fn a_version_is_freed_by_the_writer_after_its_last_reader() {
        let mut writer = VersionWriter::default();
        writer.publish(version(1));
        let reader = writer.current().load();
        let weak = Arc::downgrade(&reader);
        writer.publish(version(2));
        assert_eq!((reader.number(), writer.current().load().number()), (1, 2));
        assert_eq!(writer.reclaim(), 1);
        drop(reader);
        assert!(weak.upgrade().is_some(), "freed by the reader");
        assert_eq!(writer.reclaim(), 0);
        assert!(weak.upgrade().is_none());
    }

    /// Version numbers never decrease for readers on other threads while the writer publishes.
    #[test]
    fn readers_see_version_numbers_in_order() {
        let mut writer = VersionWriter::default();
        let (current, stopped) = (writer.current(), AtomicBool::new(false));
        std::thread::scope(|s| {
            for _ in 0..3 {
                s.spawn(|| {
                    let mut last = 0;
                    while !stopped.load(Ordering::SeqCst) {
                        let n = current.load().number();
                        assert!(n >= last, "{n} after {last}");
                        last = n;
                    }
                });
            }
            (1..20_000).for_each(|n| writer.publish(version(n)));
            stopped.store(true, Ordering::SeqCst);
        });
        assert_eq!(writer.reclaim(), 0);
    }
}
