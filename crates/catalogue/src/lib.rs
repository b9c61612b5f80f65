//! Titles, their renditions and the boxes that hold them, known ahead of the requests. No input or output.
//!
//! A [`version::Version`] is one state of the catalogue. It never changes: a batch of numbered changes gives a new one
//! that shares with the old all that is the same, and readers keep the one they began with. What it says is never
//! leave to send a session anywhere: a request's own list of holders decides that.
//!
//! - [`change`]: what may change, and why a batch is refused.
//! - [`cow`]: arrays in pages that versions share.
//! - [`names`]: titles by name. [`version`]: both directions of the index, and how changes are applied.
pub mod change;
pub mod cow;
pub mod names;
pub mod version;
