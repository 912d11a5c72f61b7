//! Unit tests of the load spread measures.

use super::*;

const SEC: Nanos = 1_000_000_000;

fn servers(count: usize) -> Vec<ServerHistory> {
    vec![ServerHistory { weight: 1.0, ready_spans: vec![(0, 100 * SEC)] }; count]
}

#[test]
fn windows_count_rpcs_and_time_in_service_for_ready_servers() {
    let mut servers = servers(3);
    servers[1].weight = 2.0;
    servers[2].ready_spans = vec![(0, SEC / 2)];
    let server_rpcs = [
        ServerRpc { server: 0, arrived_at: SEC / 2, ended_at: 3 * SEC / 2 },
        ServerRpc { server: 1, arrived_at: 0, ended_at: SEC },
        ServerRpc { server: 1, arrived_at: 0, ended_at: 2 * SEC },
    ];
    let series = WindowSeries { from: 0, to: 2 * SEC, width: SEC };
    let rpcs = series.windows(&servers, &server_rpcs, Quantity::Rpcs);
    assert_eq!(rpcs[0].values, [(0, 1.0), (1, 1.0)], "divided by weight, without the server that left");
    let held = series.windows(&servers, &server_rpcs, Quantity::Held);
    assert_eq!(held[0].values, [(0, 0.5), (1, 1.0)]);
    assert_eq!(held[1].values, [(0, 0.5), (1, 0.5)]);
    assert_eq!(held[0].spread().map(|spread| spread[0]), Some(1.0 / 0.75));
    assert_eq!(count_idle_servers(&rpcs, 0.5), 0);
    assert_eq!(count_idle_servers(&series.windows(&servers, &server_rpcs[1..], Quantity::Rpcs), 0.1), 1);
}

#[test]
fn least_loaded_assignment_is_even_and_random_assignment_is_not() {
    let servers = servers(10);
    let server_rpcs: Vec<ServerRpc> = (0..1000)
        .map(|at| ServerRpc { server: 0, arrived_at: at * SEC / 100, ended_at: at * SEC / 100 + 1 })
        .collect();
    let series = WindowSeries { from: 0, to: 10 * SEC, width: 5 * SEC };
    let spread =
        |server_rpcs: &[ServerRpc]| Spread::of(&series.windows(&servers, server_rpcs, Quantity::Rpcs));
    assert_eq!(spread(&assign_to_least_loaded(&servers, &server_rpcs)).peak, 1.0);
    let peak = spread(&assign_at_random(&servers, &server_rpcs, 1)).peak;
    assert!(peak > 1.05 && peak < 1.6, "{peak}");
    assert_eq!(spread(&server_rpcs).peak, 10.0);
}
