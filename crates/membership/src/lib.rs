//! Membership: the servers that the admission module may send to, merged from several sources.
//!
//! One source is etcd, over a client state machine for its v3 JSON gateway that does no I/O.
//! `docs/membership-design.md` compares the alternatives.
//!
//! - [`nodes`]: merges the sources' node lists into one, with the rules for drains and removals.
//! - [`etcd`]: encodes requests and parses range replies and watch streams, with keys and values in base64.
//! - [`watcher`]: reads a range, then watches from the next revision; handles compaction, outages and restored members.
#![deny(missing_docs)]

pub mod etcd;
pub mod nodes;
pub mod watcher;

pub use martenramp::host::Nanos;
