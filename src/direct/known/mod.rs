//! What an entry knows of endpoints: their load, health, momentary slowdown, step times and
//! capacity, and what peers report of them.

pub mod capacity;
pub mod health;
pub mod load;
pub mod observed;
pub mod reports;
pub mod slowdown;
