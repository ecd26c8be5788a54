//! What an entry knows of one endpoint: its load, its health and its momentary slowdown.

pub mod health;
pub mod load;
pub mod slowdown;
