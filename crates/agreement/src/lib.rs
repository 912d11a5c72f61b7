//! Settings with versions on which many gateways agree without a consensus service: no two act on settings that contradict
//! each other for longer than a stated time, whatever is cut, lost, paused or restarted. `docs/agreement-design.md` has
//! the contract, the options weighed and what breaks if clocks lie.
//!
//! [`state`] is the state machine of one gateway: fed contents, messages of others and the time, it says which content may
//! be acted on. [`lease`] is what voters grant, [`message`] what goes between gateways, one datagram each, and [`config`] what all
//! are configured with alike. [`version`] has a version's content and fallback, and [`rules`] which settings contradict and which
//! successor is admissible. [`lists`] reviews lists of servers that contradict each other. Nothing here knows a socket, a
//! file or a clock.
#![deny(missing_docs)]

pub mod config;
pub mod lease;
pub mod lists;
pub mod message;
pub mod rules;
pub mod state;
pub mod version;

pub use martenramp::host::Nanos;
