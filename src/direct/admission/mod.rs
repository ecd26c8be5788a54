//! Whether and when a request is sent: overload, warm-up, and the retry budget, based on this
//! entry's recent requests.

pub mod budget;
pub mod overload;
pub mod turnover;
pub mod waiting;
pub mod waiting_peers;
pub mod warmup;
