//! violetline routes language-model traffic with service levels and priorities.
//!
//! A request goes caller -> entry -> sidecar -> endpoint and streams back the same way. Entries
//! are thin and keep the work; the sidecar beside each endpoint owns the endpoint's run slots,
//! orders the waiting requests and grants slots one at a time.
//!
//! Decisions ([`schedule`], [`keys`], [`limit`], [`route`], [`document`]) are state machines
//! without I/O; the processes ([`entry`], [`sidecar`]) own sockets and clocks.
//!
//! ```
//! use violetline::bundle::Bundle;
//!
//! let err = Bundle::parse(b"{\"version\": 0}").unwrap_err();
//! assert_eq!(err.0[0].place, "line 1 column 14");
//! ```

#![forbid(unsafe_code)]
#![warn(
    missing_copy_implementations,
    missing_debug_implementations,
    missing_docs,
    rust_2018_idioms,
    trivial_casts,
    trivial_numeric_casts,
    unused_qualifications
)]

pub mod accept;
pub mod admin;
pub mod announced;
pub mod answer;
pub mod attempt;
pub mod audit;
pub mod body_buffer;
pub mod budget;
pub mod bundle;
pub mod check;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod delivery;
pub mod direct;
pub mod document;
pub mod endpoint;
pub mod entry;
pub mod finding;
pub mod fingerprint;
pub mod flow;
pub mod gossip;
pub mod health;
pub mod ids;
pub mod intake;
pub mod keys;
pub mod limit;
pub mod link;
pub mod links;
pub mod listener;
pub mod members;
pub mod memory;
pub mod metrics;
pub mod mix_bits;
pub mod node;
pub mod offer;
pub mod order;
pub mod outcome;
pub mod overlay;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate;
pub mod replica;
pub mod rerun;
pub mod response_head;
pub mod route;
pub mod run;
pub mod schedule;
pub mod seal;
pub mod search;
pub mod session;
pub mod settings;
pub mod sidecar;
pub mod source;
pub mod sse;
pub mod supervisor;
pub mod suspicion;
pub mod wire;
