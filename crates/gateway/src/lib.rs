//! The martenramp gateway on sockets: HTTP/1.1 towards clients and servers, the discovery watch and
//! the shared counter, built around the admission controller. Modules are divided by kind of peer;
//! only `driver` uses sockets, and `gateway` connects them all.

pub mod clients;
pub mod config;
pub mod counter;
pub mod document;
pub mod driver;
pub mod entry;
pub mod eviction;
pub mod gateway;
pub mod guard;
pub mod heap;
pub mod http;
pub mod invariants;
pub mod json_stream;
pub mod late_data;
pub mod list;
pub mod list_diff;
pub mod logs;
pub mod name_ids;
pub mod phase;
pub mod servers;
pub mod services;
pub mod shutdown;
pub mod start_times;
pub mod tcp_info;
pub mod timers;
pub mod transaction_ids;
pub mod turn_log;
