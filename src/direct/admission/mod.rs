//! Whether and when a request is sent: overload, warm-up, the retry budget, and unreachable
//! endpoints, based on this entry's recent requests.

pub mod budget;
pub mod overload;
pub mod turnover;
pub mod unreachable;
pub mod warmup;
