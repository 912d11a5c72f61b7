//! Scale tests: how the program's costs grow with the size of the deployment.
//!
//! - [`slopes`] measures each cost against one size, with the other sizes fixed, and fits an exponent.
//! - [`hollow`] simulates whole fleets of the program's state machines without sockets.
//! - [`added`] measures the latency that a gateway adds to a request.
//! - [`report`] writes the results as tables and charts.
//! - [`alloc`] counts allocations.
//!
//! `docs/scale.md` describes how to run the tests and what each figure means.

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
