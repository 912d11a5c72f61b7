//! Unit tests of `servers`.

use super::*;

fn model() -> scenario::Servers {
    scenario::Servers {
        count: 2,
        zones: 1,
        slots: 4,
        service_ms: 10.0,
        service_sigma: 0.0,
        cold_seconds: 10.0,
        cold_share: 0.25,
        error_share: 0.0,
    }
}

#[test]
fn a_cold_server_has_a_share_of_its_slots_and_a_paused_one_holds_attempts() {
    let mut servers = Servers::new(&model(), crate::rng::stream(1, crate::rng::Stream::Servers));
    let attempt = AttemptRef { gateway: 0, incarnation: 0, rpc: 1, number: 0 };
    servers.replace(0, 0);
    assert_eq!(servers.accept(1, 0, 1, attempt), Disposition::Serving { after: 10_000_000, ok: true });
    assert_eq!(
        servers.accept(1, 0, 1, attempt),
        Disposition::Full,
        "a cold server has one of its four slots"
    );
    assert_eq!(
        servers.accept(1, 0, 0, attempt),
        Disposition::Refused,
        "an attempt sent to the previous incarnation"
    );
    servers.pause(1);
    assert_eq!(servers.accept(1, 1, 0, attempt), Disposition::Held);
    assert_eq!(servers.resume(1).len(), 1);
}
