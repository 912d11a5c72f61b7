//! Settings with versions on which many gateways agree without a consensus service: no two act on rules that contradict
//! each other for longer than a stated time, whatever is cut, lost, paused or restarted. `docs/agreement-design.md` has
//! the contract, the options weighed and what breaks if clocks lie.
//!
//! [`state`] is the state machine of one gateway: fed files, messages of others and the time, it says which content may be
//! acted on. [`message`] is what goes between gateways, one datagram each. [`rules`] knows which settings contradict, what the
//! fallback of a version is, and which successor is admissible; [`lists`] what to make of lists of servers that contradict each other. Nothing here knows a socket, a file or a clock.

pub mod lease;
pub mod lists;
pub mod message;
pub mod rules;
pub mod state;
pub mod terms;
pub mod version;

pub use martenramp::host::Nanos;
