//! Direct placement: an entry that chooses endpoints and sends requests to them itself, without a
//! sidecar beside each endpoint.
//!
//! A request passes through these modules: [`caller`] accepts the connection, [`intake`] reads the
//! request, [`handle`] allows or refuses it, [`job`] makes the attempts (each one uses
//! [`placement::choose`], [`channel`] and [`relay`]), [`answerer`] writes the response, and [`progress`] logs the end.
//!
//! - Memory: [`incoming_body`] reads the body of a request if there is memory for it, [`uploads`]
//!   makes slow and less urgent bodies give way, and [`body`] keeps it until no attempt can need it.
//!   [`crate::memory`] is the account of all that is held.
//! - Permission: [`resolve`] finds the route and the team, [`residency`] checks the regions, and
//!   [`refuse`] writes the entry's own error responses.
//! - Admission: [`admission::overload`] decides whether a request is sent at all, based on the
//!   entry's recent requests in [`admission::turnover`]. [`admission::warmup`] limits the requests
//!   to endpoints that have just started.
//! - Choice: for a [`placement::demand`], the endpoint with the lowest [`placement::price`] is
//!   chosen, and [`placement::room`] reserves slots for more urgent requests. The price depends on
//!   what is [`known`] of the endpoint (its load, its momentary slowdown, its health), the
//!   [`placement::prefix`] of the prompt that it has cached or can fetch from another endpoint
//!   ([`placement::moves`]), and how its pool is split between latency-sensitive streams and long
//!   prompts ([`placement::lanes`]).
//! - Endpoints that end: [`ends`] keeps the runs that an endpoint did not finish until it is known
//!   whether the endpoint itself has ended. [`crate::quarantine`] then counts that against what the
//!   runs asked for.
//! - Resumed streams: [`origins`] keeps at which software version a stream began, also for callers
//!   that resume it at another entry.
//! - State: [`listed`] defines what the platform lists of endpoints and zones, and
//!   [`crate::announced`] what endpoints announce in their responses. The process keeps its state
//!   in [`catalog`] (routes, pools, teams), [`directory`] (endpoints, with the [`cordons`] of their
//!   zones), [`freshness`] (age of the configuration) and [`peers`] (other entries).
//! - Updates: [`sync`] reads them from the store, [`gossip`] and [`fetch`] from peers. For peers,
//!   [`changes`] keeps changes of the list and [`versions`] those of the configuration, each as a
//!   [`patch`].
//!
//! All decisions are state machines without I/O. [`entry`] is the state that the tasks share;
//! [`process`] starts and ends the tasks and opens the sockets.
//!
//! The wire formats come from an implementation of [`dialect::Dialect`].

pub mod admission;
pub mod answerer;
pub mod body;
pub mod caller;
pub mod catalog;
pub mod changes;
pub mod channel;
pub mod cordons;
pub mod decision;
pub mod departed;
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
pub mod incoming_body;
pub mod intake;
pub mod item_limit;
pub mod job;
pub mod known;
pub mod limits;
pub mod listed;
pub mod origins;
pub mod patch;
pub mod peers;
pub mod placement;
pub mod process;
pub mod progress;
pub mod ready;
pub mod refuse;
pub mod relay;
pub mod residency;
pub mod resolve;
pub mod settings;
pub mod sync;
pub mod uploads;
pub mod versions;
