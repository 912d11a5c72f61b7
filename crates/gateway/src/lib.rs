//! martenramp on sockets: HTTP/1.1 between clients and servers, discovery's watch and the shared counter,
//! around the decision module. Files go by peer; `driver` alone knows sockets, `gateway` ties all together.

pub mod clients;
pub mod config;
pub mod counter;
pub mod driver;
pub mod entry;
pub mod eviction;
pub mod gateway;
pub mod guard;
pub mod http;
pub mod invariants;
pub mod json_stream;
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
