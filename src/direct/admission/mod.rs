//! Whether and when a request is sent: overload, shares of teams, warm-up, and the retry
//! budget, based on this entry's recent requests and on what peers report of theirs.

pub mod budget;
pub mod overload;
pub mod shares;
pub mod turnover;
pub mod waiting;
pub mod waiting_peers;
pub mod warmup;
