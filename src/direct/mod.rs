//! Direct placement: an entry that orders endpoints itself, without a sidecar beside each.
//!
//! The way of a request: [`caller`] (accept) - [`intake`] (read) - [`handle`] (allow or refuse) -
//! [`job`] (attempts, each [`choose`] - [`channel`] - [`relay`]) - [`answerer`] (write) -
//! [`progress`] (the line at its end).
//! Permission is decided by [`resolve`] (route, team) and [`residency`] (regions); [`refuse`] writes the entry's own answers.
//! Whether a request is sent at all is decided by [`admission`] and by the [`room`] that is left for more urgent ones, which
//! follows the [`turnover`] of this entry; and how many an endpoint that has just started
//! gets by [`warmup`]. For a [`demand`], an endpoint is chosen by its [`price`], which follows from its [`load`], what it
//! keeps of the [`prefix`] of a prompt or has by [`moves`], and the [`lanes`] of its pool.
//! Runs that an endpoint did not finish are kept by [`ends`] until it is known whether the endpoint itself has ended; then
//! [`crate::quarantine`] counts that against what they asked for.
//! What the platform says of endpoints and zones is [`listed`], what endpoints say of themselves in their answers
//! [`crate::announced`]. What a process believes is kept by [`catalog`] (routes, pools, teams), [`directory`]
//! (endpoints, with the [`cordons`] of their zones), [`freshness`] (how old that knowledge is) and [`peers`] (other entries), fed by
//! [`sync`] (the store), and by [`gossip`] and [`fetch`] (peers), which pass on what is in
//! [`changes`] and [`versions`] (a [`patch`] each). All decisions are state machines
//! without I/O; [`entry`] is the state that the tasks share, [`process`] starts and ends them and
//! opens the sockets.
//!
//! The formats on the wire come from an implementation of [`dialect::Dialect`].

pub mod admission;
pub mod answerer;
pub mod budget;
pub mod caller;
pub mod catalog;
pub mod changes;
pub mod channel;
pub mod choose;
pub mod cordons;
pub mod decision;
pub mod demand;
pub mod dialect;
pub mod directory;
pub mod ends;
pub mod entry;
pub mod explain;
pub mod fetch;
pub mod freshness;
pub mod gauge;
pub mod gossip;
pub mod handle;
pub mod health;
pub mod intake;
pub mod job;
pub mod lanes;
pub mod limits;
pub mod listed;
pub mod load;
pub mod moves;
pub mod patch;
pub mod peers;
pub mod prefix;
pub mod price;
pub mod process;
pub mod progress;
pub mod ready;
pub mod refuse;
pub mod relay;
pub mod residency;
pub mod resolve;
pub mod room;
pub mod settings;
pub mod sync;
pub mod turnover;
pub mod versions;
pub mod warmup;
