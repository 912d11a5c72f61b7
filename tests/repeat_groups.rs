//! Which servers a deduplicated RPC that may have run is sent to again: only those that recognize the repeat, by the setting
//! `group`: all servers, those of the same zone, or those of the same cell. A cell may lie in one zone or span zones.

mod harness;

use harness::{MS, SEC, Scenario, ready_server, scenario};
use martenramp::host::{CallOutcome, DiscoveredServer};
use martenramp::repeat_group::UNNUMBERED;

const SERVERS: u32 = 9;
/// RPCs in each check, each of a customer of its own, so that quotas play no part.
const RPCS: u64 = 60;
/// The deduplicated method of the harness.
const SUBMIT: u16 = 1;

/// A server in one of two zones and one of three cells of three servers, each with servers of both zones.
fn in_spanning_cell(server: u32) -> DiscoveredServer {
    DiscoveredServer { zone: server as u16 % 2, cell: (server as u16 - 1) / 3, ..ready_server(server, 0) }
}

/// A server in one of two zones and one of four cells, each within a zone.
fn in_cell_of_a_zone(server: u32) -> DiscoveredServer {
    DiscoveredServer { zone: server as u16 % 2, cell: server as u16 % 4, ..ready_server(server, 0) }
}

fn scenario_with(group: &str, server: fn(u32) -> DiscoveredServer) -> Scenario {
    let mut scenario = scenario(&format!("classes.1.group={group} classes.1.window=5"));
    let list: Vec<DiscoveredServer> = (1..=SERVERS).map(server).collect();
    scenario.deliver_list(true, &list);
    scenario
}

/// The servers of the first attempt and of the repeat, for each RPC whose first attempt ended with a reset.
fn repeats(scenario: &mut Scenario) -> Vec<(u32, u32)> {
    let mut pairs = Vec::new();
    for customer in 0..RPCS {
        let rpc = scenario.submit_for(300 + customer, SUBMIT, 1.0, 4 * SEC);
        scenario.advance(MS);
        scenario.end_attempt(rpc, CallOutcome::Reset);
        scenario.advance(MS);
        scenario.end_attempt(rpc, CallOutcome::Ok);
        let servers: Vec<u32> =
            scenario.host.sent.iter().filter(|sent| sent.0 == rpc).map(|sent| sent.1).collect();
        assert_eq!(servers.len(), 2, "the RPC is repeated");
        pairs.push((servers[0], servers[1]));
    }
    pairs
}

/// Guards against an RPC that runs once in each of two zones: a server of the same cell doesn't recognize a repeat if its zone
/// is another one.
#[test]
fn a_repeat_by_zone_stays_in_the_zone_whatever_the_cells() {
    for server in [in_spanning_cell as fn(u32) -> DiscoveredServer, in_cell_of_a_zone] {
        for (first, repeat) in repeats(&mut scenario_with("zone", server)) {
            assert_eq!(server(first).zone, server(repeat).zone, "first at {first}, then at {repeat}");
        }
    }
}

/// Guards against an RPC that runs once in each of two cells.
#[test]
fn a_repeat_by_cell_stays_in_the_cell_whatever_the_zones() {
    for server in [in_spanning_cell as fn(u32) -> DiscoveredServer, in_cell_of_a_zone] {
        for (first, repeat) in repeats(&mut scenario_with("cell", server)) {
            assert_eq!(server(first).cell, server(repeat).cell, "first at {first}, then at {repeat}");
        }
    }
}

/// Guards against repeats that are confined although every server recognizes them.
#[test]
fn a_repeat_at_all_servers_may_leave_zone_and_cell() {
    let pairs = repeats(&mut scenario_with("all", in_spanning_cell));
    let leaves = |of: fn(&DiscoveredServer) -> u16| {
        pairs.iter().any(|(first, repeat)| of(&in_spanning_cell(*first)) != of(&in_spanning_cell(*repeat)))
    };
    assert!(leaves(|server| server.zone) && leaves(|server| server.cell), "{pairs:?}");
}

/// Guards against a repeat in the zone to which the list moved the first attempt's server meanwhile: its peers there know
/// nothing of the first run.
#[test]
fn a_repeat_goes_to_the_zone_in_which_the_first_attempt_was_sent() {
    let mut scenario = scenario_with("zone", in_cell_of_a_zone);
    for customer in 0..RPCS {
        let rpc = scenario.submit_for(300 + customer, SUBMIT, 1.0, 4 * SEC);
        let first = scenario.host.sent.last().unwrap().1;
        let zone = in_cell_of_a_zone(first).zone;
        scenario.deliver_list(false, &[DiscoveredServer { zone: 1 - zone, ..in_cell_of_a_zone(first) }]);
        scenario.advance(MS);
        scenario.end_attempt(rpc, CallOutcome::Reset);
        scenario.advance(MS);
        scenario.end_attempt(rpc, CallOutcome::Ok);
        let repeat = scenario.host.sent.last().unwrap().1;
        assert!(
            repeat != first && in_cell_of_a_zone(repeat).zone == zone,
            "first at {first} in zone {zone}, then at {repeat}"
        );
        scenario.deliver_list(false, &[in_cell_of_a_zone(first)]);
    }
}

/// Guards against a rejection, which says that the RPC didn't run, where no server of the group is left for a repeat.
#[test]
fn an_rpc_that_may_have_run_is_aborted_if_its_group_has_no_other_server() {
    for group in ["zone", "cell"] {
        let alone = |server: u32| DiscoveredServer {
            zone: server as u16,
            cell: server as u16,
            ..ready_server(server, 0)
        };
        let mut scenario = scenario_with(group, alone);
        let rpc = scenario.submit(SUBMIT, 1.0);
        let first = scenario.host.sent[0].1;
        scenario.deliver_list(false, &[DiscoveredServer { ready: false, ..alone(first) }]);
        scenario.end_attempt(rpc, CallOutcome::Reset);
        scenario.advance(4 * SEC);
        assert_eq!((scenario.attempt_count(rpc), scenario.host.aborted.as_slice()), (1, &[rpc][..]));
        assert!(scenario.host.rejected.is_empty());
    }
}

/// Guards against an RPC that runs in two zones, or cells, that share a number since neither has one of its own.
#[test]
fn an_rpc_is_not_repeated_among_servers_whose_zones_and_cells_have_no_number() {
    for group in ["zone", "cell"] {
        let unnumbered =
            |server: u32| DiscoveredServer { zone: UNNUMBERED, cell: UNNUMBERED, ..ready_server(server, 0) };
        let mut scenario = scenario_with(group, unnumbered);
        let rpc = scenario.submit(SUBMIT, 1.0);
        scenario.end_attempt(rpc, CallOutcome::Reset);
        scenario.advance(4 * SEC);
        assert_eq!((scenario.attempt_count(rpc), scenario.host.aborted.as_slice()), (1, &[rpc][..]));
    }
}
