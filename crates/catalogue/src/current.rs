//! The version in force. Readers take it without waiting for a writer; a version lives until its last reader is done.
//!
//! To free a large version takes as long as to walk it, and must not fall to the request that happens to be the last
//! reader: what is replaced is kept by the writer and freed by [`VersionWriter::reclaim`], once nobody else has it.
use crate::version::Version;
use arc_swap::ArcSwap;
use std::sync::Arc;

#[derive(Debug, Default)]
pub struct CurrentVersion(ArcSwap<Version>);

impl CurrentVersion {
    /// The version in force, to be kept for a whole request.
    pub fn load(&self) -> Arc<Version> {
        self.0.load_full()
    }
}

/// The one who changes the version in force.
#[derive(Debug, Default)]
pub struct VersionWriter {
    current: Arc<CurrentVersion>,
    replaced: Vec<Arc<Version>>,
}

impl VersionWriter {
    /// For readers.
    pub fn current(&self) -> Arc<CurrentVersion> {
        self.current.clone()
    }

    pub fn publish(&mut self, v: Version) {
        self.replaced.push(self.current.0.swap(Arc::new(v)));
        self.reclaim();
    }

    /// Frees replaced versions that have no reader left; returns how many still have one.
    pub fn reclaim(&mut self) -> usize {
        // Nobody can take one anew: it is in force nowhere.
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
    fn a_version_is_freed_by_its_writer_after_its_last_reader() {
        let mut writer = VersionWriter::default();
        writer.publish(version(1));
        let reader = writer.current().load();
        let watch = Arc::downgrade(&reader);
        writer.publish(version(2));
        assert_eq!((reader.number(), writer.current().load().number()), (1, 2));
        assert_eq!(writer.reclaim(), 1);
        drop(reader);
        assert!(watch.upgrade().is_some(), "freed by its reader");
        assert_eq!(writer.reclaim(), 0);
        assert!(watch.upgrade().is_none());
    }

    /// Readers on other threads see whole versions that never go back while the writer changes them.
    #[test]
    fn readers_never_see_it_go_back() {
        let mut writer = VersionWriter::default();
        let (current, over) = (writer.current(), AtomicBool::new(false));
        std::thread::scope(|s| {
            for _ in 0..3 {
                s.spawn(|| {
                    let mut last = 0;
                    while !over.load(Ordering::SeqCst) {
                        let n = current.load().number();
                        assert!(n >= last, "{n} after {last}");
                        last = n;
                    }
                });
            }
            (1..20_000).for_each(|n| writer.publish(version(n)));
            over.store(true, Ordering::SeqCst);
        });
        assert_eq!(writer.reclaim(), 0);
    }
}
