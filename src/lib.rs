//! Decisions of a session front: which media server plays a session, at which rung, and what to do
//! when that does not work out. [`choice`] decides; the other modules hold plain types and state.
pub mod choice;
pub mod fleet;
pub mod front;
pub mod hand;
pub mod ids;
pub mod interface;
pub mod terms;
