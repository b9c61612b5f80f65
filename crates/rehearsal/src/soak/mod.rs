//! Soak trials of the front node around the stops of its processes.
//!
//! - [`trial`]: what a seed draws. [`audit`]: the record of what stand-ins saw, and the rules judged from it.
pub mod audit;
pub mod trial;
