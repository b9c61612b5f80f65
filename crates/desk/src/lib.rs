//! The use of the decisions without input or output.
//!
//! - [`desk`]: the module with its sessions in hand and its timer; the bench's adapter stands on it too.
//! - [`live`]: the desk in service: viewers' requests, control connections to boxes, the list of boxes.
//! - [`exchange`]: what the live desk is told and what it tells.
//! - [`link`]: one control connection: what is out on it, and what each end of it proves.
//! - [`follow`]: which events of the list may be applied.
//! - [`retry`]: how long to wait before a connection is tried again.
//! - [`stall`]: whether this process stood still, and what is not to be judged for it.
//! - [`timers`]: what is due when.
pub mod desk;
pub mod exchange;
pub mod follow;
pub mod link;
pub mod live;
pub mod retry;
pub mod stall;
pub mod timers;
