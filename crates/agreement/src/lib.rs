//! Agreement between gateways on versioned settings, without a consensus service.
//!
//! No two gateways act on contradicting settings for longer than a stated bound, whatever connections break, messages are
//! lost, or processes pause or restart. `docs/agreement-design.md` has the contract, the alternatives considered and what
//! fails if clocks are off by more than configured.
//!
//! - [`state`]: the state machine of one gateway. Its inputs are contents, messages of other gateways and the time; its
//!   output is the content that the gateway may act on.
//! - [`lease`]: content identifiers and the leases that voters grant on them.
//! - [`message`]: the messages between gateways, one datagram each.
//! - [`config`]: the configuration that all gateways of a fleet share.
//! - [`version`]: a version of the settings, its content digest and its fallback.
//! - [`rules`]: which settings contradict each other, and which successor of a version is admissible.
//! - [`lists`]: the review of server lists that contradict each other.
//!
//! This crate does no I/O and reads no clock.
#![deny(missing_docs)]

pub mod config;
pub mod lease;
pub mod lists;
pub mod message;
pub mod rules;
pub mod state;
pub mod version;

pub use martenramp::host::Nanos;
