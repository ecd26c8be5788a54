//! What an entry knows of endpoints: their load, health, momentary slowdown and capacity.

pub mod capacity;
pub mod health;
pub mod load;
pub mod slowdown;
