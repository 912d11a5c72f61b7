//! Costs of the agreement: one second of its datagrams at one gateway and over the fleet, and the evaluation of lists.

use super::Cost;
use super::scenario::{Agreement as AgreementSizes, List};
use crate::ScaleError;
use crate::alloc::without_counting;
use crate::deployment::{SNAPSHOT_INDEX, START_TIME};
use crate::measure::{Operation, Traffic};
use agreement::config::AgreementConfig;
use agreement::lease::ContentId;
use agreement::lists::{ListTracker, ListedServer};
use agreement::message::LeaseMessage;
use agreement::state::Agreement;
use martenramp::host::Nanos;

const SECOND: Nanos = 1_000_000_000;
/// The gateway's default lease duration and clock error.
const LEASE_DURATION: Nanos = 2 * SECOND;
const MAX_CLOCK_ERROR: Nanos = SECOND / 4;
/// Number of voters while the fleet size varies.
const VOTERS: u32 = 7;
/// Voters send nothing for a while after their start; measurement begins after this time.
const WARM_UP_SECONDS: u64 = 5;
const MEASURED_SECONDS: u64 = 4;
/// Maximum number of steps that each evaluate a list.
const MAX_EVALUATIONS: usize = 50;

/// The costs of this family.
pub fn costs(scenario: &AgreementSizes, list: &List) -> Vec<Cost> {
    let lists = |name, prepare: fn(u64) -> Result<Operation, ScaleError>| Cost {
        family: "agreement",
        name,
        size_name: "servers",
        fixed_sizes: "one gateway".to_string(),
        sizes: list.servers.clone(),
        prepare: Box::new(prepare),
    };
    let gateway_cost = Cost {
        family: "agreement",
        name: "agreement second of a gateway",
        size_name: "voters",
        fixed_sizes: "one gateway, lease 2 s".to_string(),
        sizes: scenario.voters.clone(),
        prepare: Box::new(|voters| receive_one_second(voters as u32, 1)),
    };
    let fleet_cost = Cost {
        family: "agreement",
        name: "agreement second of the fleet",
        size_name: "gateways",
        fixed_sizes: format!("voters {VOTERS}, lease 2 s"),
        sizes: scenario.gateways.clone(),
        prepare: Box::new(|gateways| receive_one_second(VOTERS, gateways as usize)),
    };
    vec![
        gateway_cost,
        fleet_cost,
        lists("list judged whole", evaluate_full_list),
        lists("list judged change", evaluate_changed_server),
    ]
}

/// An encoded datagram and the time at which it is sent and received.
struct Datagram {
    at: Nanos,
    bytes: Vec<u8>,
}

fn new_member(number: u32, voters: u32) -> Agreement {
    let config = AgreementConfig {
        voters: (0..voters).collect(),
        lease_duration: LEASE_DURATION,
        max_clock_error: MAX_CLOCK_ERROR,
    };
    let content = ContentId { version: 1, digest: 1 };
    let mut member = Agreement::new(config, Some(number), number, START_TIME, content, 0);
    member.skip_recovery();
    member
}

/// Records the datagrams that voters send, grouped by second.
fn record_datagrams(voters: u32, seconds: u64) -> Vec<Vec<Datagram>> {
    let mut members: Vec<Agreement> = (0..voters).map(|number| new_member(number, voters)).collect();
    let mut recorded: Vec<Vec<Datagram>> = (0..seconds).map(|_| Vec::new()).collect();
    let interval = LEASE_DURATION / 4;
    for tick in 0..seconds * SECOND / interval {
        let at = START_TIME + tick * interval;
        let messages: Vec<LeaseMessage> =
            members.iter_mut().flat_map(|member| member.poll_messages(at)).collect();
        for member in &mut members {
            messages.iter().for_each(|message| _ = member.receive(at, message));
            member.evaluate(at);
        }
        let second = &mut recorded[(tick * interval / SECOND) as usize];
        second.extend(messages.iter().map(|message| Datagram { at, bytes: message.encode() }));
    }
    recorded
}

/// Delivers one second of all voters' datagrams to `gateways` non-voting gateways. Each re-evaluates after every
/// datagram which version it may act on.
pub fn receive_one_second(voters: u32, gateways: usize) -> Result<Operation, ScaleError> {
    let recorded = without_counting(|| record_datagrams(voters, WARM_UP_SECONDS + MEASURED_SECONDS));
    let mut members: Vec<Agreement> =
        (0..gateways).map(|number| new_member(voters + number as u32, voters)).collect();
    let mut seconds = recorded.into_iter().skip(WARM_UP_SECONDS as usize);
    let step = move || {
        let mut traffic = Traffic::default();
        for datagram in seconds.next().unwrap_or_default() {
            traffic.sent.add(datagram.bytes.len());
            for member in &mut members {
                traffic.received.add(datagram.bytes.len());
                deliver(member, &datagram);
            }
            without_counting(|| drop(datagram));
        }
        Ok(traffic)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MEASURED_SECONDS as usize })
}

fn deliver(member: &mut Agreement, datagram: &Datagram) {
    if let Some(message) = LeaseMessage::decode(&datagram.bytes) {
        member.receive(datagram.at, &message);
    }
    member.evaluate(datagram.at);
}

fn listed_servers(servers: u64) -> Vec<ListedServer> {
    (0..servers)
        .map(|number| ListedServer {
            key: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ready: true,
            started_at: 0,
        })
        .collect()
}

/// Evaluates a full list that is equal to the current one.
pub fn evaluate_full_list(servers: u64) -> Result<Operation, ScaleError> {
    let list = without_counting(|| listed_servers(servers));
    let mut lists = ListTracker::default();
    lists.apply(START_TIME, SNAPSHOT_INDEX, true, &list);
    let mut index = SNAPSHOT_INDEX;
    let step = move || {
        index += 1;
        std::hint::black_box(lists.apply(START_TIME, index, true, &list));
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_EVALUATIONS })
}

/// Evaluates a change of one server, alternately to not ready and to ready.
pub fn evaluate_changed_server(servers: u64) -> Result<Operation, ScaleError> {
    let list = without_counting(|| listed_servers(servers));
    let mut lists = ListTracker::default();
    lists.apply(START_TIME, SNAPSHOT_INDEX, true, &list);
    let changed = list[list.len() / 2];
    without_counting(|| drop(list));
    let mut index = SNAPSHOT_INDEX;
    let step = move || {
        index += 1;
        let ready = index % 2 == 1;
        std::hint::black_box(lists.apply(START_TIME, index, false, &[ListedServer { ready, ..changed }]));
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, max_steps: MAX_EVALUATIONS })
}
