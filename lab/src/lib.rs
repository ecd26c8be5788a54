//! Stand-ins for the outside systems, a load tool and experiments; never shipped.

#![forbid(unsafe_code)]
#![warn(
    missing_debug_implementations,
    missing_docs,
    rust_2018_idioms,
    unused_qualifications
)]

pub mod capacity;
pub mod chaos;
pub mod client;
pub mod demo;
pub mod endless;
pub mod engine;
pub mod fleet;
pub mod limited;
pub mod load;
pub mod plain;
pub mod platform;
pub mod process;
pub mod proofs;
pub mod relay;
pub mod report;
pub mod rollout;
pub mod scenario;
#[path = "../../platform/site.rs"]
pub mod site;
pub mod soak;
#[path = "../../platform/standin.rs"]
pub mod standin;
pub mod suspension;
pub mod tiers;
pub mod urgency;
pub mod usage;
pub mod web;
