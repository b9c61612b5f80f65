//! Titles, their renditions and the boxes that hold them, known ahead of the requests. No input or output.
//!
//! A [`version::Version`] is one state of the catalogue. It never changes: a batch of numbered changes gives a new one
//! that shares with the old all that is the same, and readers keep the one they began with. What it says is never
//! leave to send a session anywhere: a request's own list of holders decides that.
//!
//! - [`change`]: what may change, and why a batch is refused. [`wire`]: changes as they are sent and kept.
//! - [`version`]: both directions of the index, and how changes are applied. It stands on [`packed`] (a title in one
//!   run of bytes), [`cow`] (arrays in pages that versions share), [`names`] (titles by name) and [`prefix`] (titles
//!   by the beginning of their names).
//! - [`current`]: the version in force, and who frees the replaced ones.
//! - [`snapshot`]: a whole version as bytes. [`keep`]: what stays on storage. [`follow`]: where a follower stands in
//!   the stream of changes.
//! - [`demand`]: what is asked for, in fixed memory. [`news`]: the boxes whose news is worth having.
//! - [`differ`]: where a request's list and the catalogue disagree. [`advice`]: all of this for one request.
pub mod advice;
pub mod change;
pub mod cow;
pub mod current;
pub mod demand;
pub mod differ;
pub mod follow;
pub mod keep;
pub mod names;
pub mod news;
pub mod packed;
pub mod prefix;
pub mod snapshot;
pub mod version;
pub mod wire;
