//! The `walnutline` command is in `main.rs`; this library is empty.
