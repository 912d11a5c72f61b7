//! Membership: which servers the decision module may send to, merged from several sources, and etcd's v3 JSON
//! gateway as a client state machine that knows no socket. `docs/membership-design.md` weighs the options.
//!
//! - [`nodes`]: the merge of sources into one set, with the drain and removal rules.
//! - [`etcd`]: request bodies and the parsing of range replies and watch streams, keys and values in base64.
//! - [`watcher`]: range, then watch from the next revision; compaction, outages and restored members.
#![deny(missing_docs)]

pub mod etcd;
pub mod nodes;
pub mod watcher;

pub use martenramp::host::Nanos;
