//! Unit tests of `measure`.

use super::*;

const SEC: Nanos = 1_000_000_000;

fn servers(count: usize) -> Vec<ServerHistory> {
    vec![ServerHistory { weight: 1.0, ready_spans: vec![(0, 100 * SEC)] }; count]
}

#[test]
fn windows_count_rpcs_and_time_held_for_servers_that_are_ready() {
    let mut servers = servers(3);
    servers[1].weight = 2.0;
    servers[2].ready_spans = vec![(0, SEC / 2)];
    let visits = [
        ServerRpc { server: 0, arrived_at: SEC / 2, ended_at: 3 * SEC / 2 },
        ServerRpc { server: 1, arrived_at: 0, ended_at: SEC },
        ServerRpc { server: 1, arrived_at: 0, ended_at: 2 * SEC },
    ];
    let frame = WindowSeries { from: 0, to: 2 * SEC, width: SEC };
    let rpcs = frame.windows(&servers, &visits, Quantity::Rpcs);
    assert_eq!(rpcs[0].values, [(0, 1.0), (1, 1.0)], "by weight, and not the one that went");
    let held = frame.windows(&servers, &visits, Quantity::Held);
    assert_eq!(held[0].values, [(0, 0.5), (1, 1.0)]);
    assert_eq!(held[1].values, [(0, 0.5), (1, 0.5)]);
    assert_eq!(held[0].spread().map(|spread| spread[0]), Some(1.0 / 0.75));
    assert_eq!(count_idle_servers(&rpcs, 0.5), 0);
    assert_eq!(count_idle_servers(&frame.windows(&servers, &visits[1..], Quantity::Rpcs), 0.1), 1);
}

#[test]
fn the_centre_is_even_and_chance_is_not() {
    let servers = servers(10);
    let visits: Vec<ServerRpc> = (0..1000)
        .map(|at| ServerRpc { server: 0, arrived_at: at * SEC / 100, ended_at: at * SEC / 100 + 1 })
        .collect();
    let frame = WindowSeries { from: 0, to: 10 * SEC, width: 5 * SEC };
    let spread = |visits: &[ServerRpc]| Spread::of(&frame.windows(&servers, visits, Quantity::Rpcs));
    assert_eq!(spread(&assign_to_least_loaded(&servers, &visits)).peak, 1.0);
    let peak = spread(&assign_at_random(&servers, &visits, 1)).peak;
    assert!(peak > 1.05 && peak < 1.6, "{peak}");
    assert_eq!(spread(&visits).peak, 10.0);
}
