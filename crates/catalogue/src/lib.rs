//! Titles, their renditions and the boxes that hold them, known ahead of the requests. No input or output.
//!
//! A [`version::Version`] is one state of the catalogue. It never changes: a batch of numbered changes gives a new one
//! that shares with the old all that is the same, and readers keep the one they began with. What it says is never
//! leave to send a session anywhere: a request's own list of holders decides that.
//!
//! - [`change`]: what may change, and why a batch is refused. [`change_json`]: changes as they are sent and kept.
//! - [`version`]: both directions of the index, and how changes are applied. It stands on [`packed_title`] (a title in one
//!   run of bytes), [`cow_array`] (arrays in pages that versions share), [`name_index`] (titles by name) and [`prefix_trie`] (titles
//!   by the beginning of their names).
//! - [`current`]: the version in force, and who frees the replaced ones.
//! - [`snapshot`]: a whole version as bytes. [`retention`]: what stays on storage. [`follower`]: where a follower stands in
//!   the stream of changes.
//! - [`demand`]: what is asked for, in fixed memory. [`probe_planner`]: the boxes whose news is worth having.
//! - [`differences`]: where a request's list and the catalogue disagree. [`advisor`]: all of this for one request.
pub mod advisor;
pub mod change;
pub mod change_json;
pub mod cow_array;
pub mod current;
pub mod demand;
pub mod differences;
pub mod follower;
pub mod name_index;
pub mod packed_title;
pub mod prefix_trie;
pub mod probe_planner;
pub mod retention;
pub mod snapshot;
pub mod version;
