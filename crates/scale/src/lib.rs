//! Scale tests: how the program's costs grow with the size of the deployment.
//!
//! [`slopes`] measures each cost against its own size with the others held and fits an exponent, [`hollow`] plays whole
//! fleets of the program's state machines without sockets, [`added`] measures the time that a gateway adds to a request,
//! and [`report`] keeps what they found as tables and charts. [`alloc`] counts what is allocated. `docs/scale.md` says how
//! to run them and what each figure means.

pub mod added;
pub mod alloc;
pub mod deployment;
pub mod error;
pub mod fit;
pub mod gateway_driver;
pub mod hollow;
pub mod measure;
pub mod replica;
pub mod report;
pub mod slopes;

pub use error::ScaleError;
