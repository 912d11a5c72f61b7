//! martenramp: admission decisions for a service sold by plan.
//!
//! [`admission`] makes every decision, [`subsetting`] determines which servers a gateway chooses from, and [`host`] defines
//! the interface between the two and the program that runs them.
//! A host passes events to an [`admission::AdmissionController`] and carries out the requests that it makes:
//!
//! ```
//! use martenramp::admission::AdmissionController;
//! use martenramp::host::{Arrival, Host, Nanos, Settings};
//!
//! #[derive(Default)]
//! struct Printer(Vec<String>);
//! impl Host for Printer {
//!     fn send_attempt(&mut self, rpc: u32, server: u32, _limit: Nanos, _before: Nanos) { self.0.push(format!("{rpc} to {server}")); }
//!     fn reject(&mut self, rpc: u32, _retry_after: Nanos) { self.0.push(format!("{rpc} rejected")); }
//!     fn abort(&mut self, rpc: u32) { self.0.push(format!("{rpc} aborted")); }
//!     fn set_timer(&mut self, _after: Nanos, _token: u32) {}
//!     fn add_to_counter(&mut self, _name: u64, _add: f64, _forget: Nanos) {}
//! }
//!
//! let mut host = Printer::default();
//! let mut controller = AdmissionController::new(7, Settings::new());
//! let rpc = Arrival { id: 1, deadline: 2_000_000_000, units: 1.0, gateway_count: 1, ..Arrival::default() };
//! controller.on_arrival(&mut host, 0, &rpc); // no server is known yet: the RPC waits and is rejected before its deadline
//! controller.on_timer(&mut host, 2_000_000_000, 0);
//! assert_eq!(host.0, ["1 rejected"]);
//! ```

pub mod admission;
mod attempts;
pub mod host;
mod quota;
pub mod repeat_group;
mod samples;
pub mod settings;
pub mod subsetting;
