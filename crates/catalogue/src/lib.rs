//! In-memory catalogue of video titles: their true rates and the boxes that hold them. This crate does no I/O.
//!
//! A [`version::Version`] is an immutable state of the catalogue. Applying a batch of numbered changes gives a new
//! version that shares unchanged data with the old one, and each reader keeps the version that it started with. The
//! catalogue never authorizes a placement: a session may only be sent to a holder that its own request lists.
//!
//! - [`change`]: the changes a catalogue takes, and why a batch is rejected. [`change_json`]: their JSON encoding.
//! - [`version`]: the indexes by title and by box, and how changes are applied. It builds on [`packed_title`] (a title
//!   encoded in one byte string), [`cow_array`] (copy-on-write arrays), [`name_index`] (titles by name) and
//!   [`prefix_trie`] (titles by name prefix).
//! - [`current`]: the current version, and the reclamation of replaced ones.
//! - [`snapshot`]: the binary encoding of a whole version. [`retention`]: which snapshots and changes stay on storage.
//! - [`follower`]: the state of a consumer of the change feed.
//! - [`demand`]: a sketch of the demand for titles in fixed memory. [`probe_planner`]: which boxes to probe ahead of
//!   requests.
//! - [`differences`]: disagreements between requests and the catalogue. [`advisor`]: all of this for one request.
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
