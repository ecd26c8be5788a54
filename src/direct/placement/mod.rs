//! Which endpoint a request is sent to.

pub mod candidate;
pub mod choose;
pub mod demand;
pub mod lanes;
pub mod moves;
pub mod pause_risk;
pub mod prefix;
pub mod price;
pub mod room;
pub mod unseen;
