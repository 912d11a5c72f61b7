//! Setup shared by the tests of the stand-in servers.

use standins::MS;
use standins::servers::{LateData, ServerSpec};
use std::net::SocketAddr;

/// A server that answers within milliseconds and sends nothing behind its answers.
pub fn server_spec() -> ServerSpec {
    ServerSpec {
        name: "s0".into(),
        zone: "z0".into(),
        weight: 1.0,
        cores: 1,
        queue_limit: 1,
        max_connections: 100,
        median_service: MS,
        service_sigma: 0.0,
        cold_share: 1.0,
        warmup: 0,
        reports_load: false,
        body_bytes: 16,
        late_data: LateData::default(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
    }
}
