//! martenramp: admission decisions for a service sold by plan.
//!
//! [`admission`] holds every decision, [`subsetting`] which servers a gateway draws from, [`host`] what both need from whoever
//! runs them.
//! A host hands events to a [`admission::AdmissionController`] and carries out what comes back:
//!
//! ```
//! use martenramp::admission::AdmissionController;
//! use martenramp::host::{Arrival, Host, Nanos, Settings};
//!
//! #[derive(Default)]
//! struct Printer(Vec<String>);
//! impl Host for Printer {
//!     fn send_attempt(&mut self, rpc: u32, server: u32, _limit: Nanos, _before: Nanos) { self.0.push(format!("{rpc} to {server}")); }
//!     fn reject(&mut self, rpc: u32, _come_back: Nanos) { self.0.push(format!("{rpc} pushed back")); }
//!     fn abort(&mut self, rpc: u32) { self.0.push(format!("{rpc} aborted")); }
//!     fn set_timer(&mut self, _after: Nanos, _token: u32) {}
//!     fn add_to_counter(&mut self, _name: u64, _add: f64, _forget: Nanos) {}
//! }
//!
//! let mut host = Printer::default();
//! let mut brain = AdmissionController::new(7, Settings::new());
//! let rpc = Arrival { id: 1, deadline: 2_000_000_000, units: 1.0, gateway_count: 1, ..Arrival::default() };
//! brain.on_arrival(&mut host, 0, &rpc); // no server known yet: the RPC is held, then given up on in time
//! brain.on_timer(&mut host, 2_000_000_000, 0);
//! assert_eq!(host.0, ["1 pushed back"]);
//! ```

pub mod admission;
mod attempts;
pub mod host;
mod quota;
mod samples;
pub mod settings;
pub mod subsetting;
