//! Decisions of a session front: which media server plays a session, at which rung, and how to go on after a
//! failure. [`choice`] decides, and [`shutdown`] while the front is being stopped; the other modules hold plain types and
//! state.
pub mod api;
pub mod choice;
pub mod fleet;
pub mod ids;
pub mod past_setups;
pub mod recent_events;
pub mod sessions;
pub mod settings;
pub mod shutdown;
pub mod state;
