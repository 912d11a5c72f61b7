//! Costs of the agreement: a second of its datagrams at one gateway and over the fleet, and lists judged against each other.

use super::Cost;
use super::scenario::{Agreement as Sizes, List};
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
/// Terms as the gateway's defaults have them.
const LEASE: Nanos = 2 * SECOND;
const CLOCK: Nanos = SECOND / 4;
/// Voters of a fleet whose size changes.
const VOTERS: u32 = 7;
/// Voters are silent for a while after their start; the seconds measured come after it.
const WARM_SECONDS: u64 = 5;
const SECONDS: u64 = 4;
/// Lists are judged so many times at most.
const JUDGED: usize = 50;

/// The costs of this family.
pub fn costs(scenario: &Sizes, list: &List) -> Vec<Cost> {
    let lists = |name, prepare: fn(u64) -> Result<Operation, ScaleError>| Cost {
        family: "agreement",
        name,
        size_name: "servers",
        held: "one gateway".to_string(),
        sizes: list.servers.clone(),
        prepare: Box::new(prepare),
    };
    let one_gateway = Cost {
        family: "agreement",
        name: "agreement second of a gateway",
        size_name: "voters",
        held: "one gateway, lease 2 s".to_string(),
        sizes: scenario.voters.clone(),
        prepare: Box::new(|voters| heard_for_a_second(voters as u32, 1)),
    };
    let fleet = Cost {
        family: "agreement",
        name: "agreement second of the fleet",
        size_name: "gateways",
        held: format!("voters {VOTERS}, lease 2 s"),
        sizes: scenario.gateways.clone(),
        prepare: Box::new(|gateways| heard_for_a_second(VOTERS, gateways as usize)),
    };
    vec![
        one_gateway,
        fleet,
        lists("list judged whole", judged_whole),
        lists("list judged change", judged_change),
    ]
}

/// A datagram on its way.
struct Datagram {
    at: Nanos,
    bytes: Vec<u8>,
}

fn member(number: u32, voters: u32) -> Agreement {
    let terms =
        AgreementConfig { voters: (0..voters).collect(), lease_duration: LEASE, max_clock_error: CLOCK };
    let content = ContentId { version: 1, digest: 1 };
    let mut member = Agreement::new(terms, Some(number), number, START_TIME, content, 0);
    member.skip_recovery();
    member
}

/// What voters tell, second by second.
fn record(voters: u32, seconds: u64) -> Vec<Vec<Datagram>> {
    let mut members: Vec<Agreement> = (0..voters).map(|number| member(number, voters)).collect();
    let mut recorded: Vec<Vec<Datagram>> = (0..seconds).map(|_| Vec::new()).collect();
    let every = LEASE / 4;
    for tick in 0..seconds * SECOND / every {
        let at = START_TIME + tick * every;
        let words: Vec<LeaseMessage> =
            members.iter_mut().flat_map(|member| member.poll_messages(at)).collect();
        for member in &mut members {
            words.iter().for_each(|word| _ = member.receive(at, word));
            member.evaluate(at);
        }
        let second = &mut recorded[(tick * every / SECOND) as usize];
        second.extend(words.iter().map(|word| Datagram { at, bytes: word.encode() }));
    }
    recorded
}

/// So many gateways that don't vote hear a second of all voters' datagrams, and look at what they may act on after each.
pub fn heard_for_a_second(voters: u32, gateways: usize) -> Result<Operation, ScaleError> {
    let recorded = without_counting(|| record(voters, WARM_SECONDS + SECONDS));
    let mut members: Vec<Agreement> =
        (0..gateways).map(|number| member(voters + number as u32, voters)).collect();
    let mut seconds = recorded.into_iter().skip(WARM_SECONDS as usize);
    let step = move || {
        let mut traffic = Traffic::default();
        for datagram in seconds.next().unwrap_or_default() {
            traffic.sent.add(datagram.bytes.len());
            for member in &mut members {
                traffic.received.add(datagram.bytes.len());
                hear(member, &datagram);
            }
            without_counting(|| drop(datagram));
        }
        Ok(traffic)
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: SECONDS as usize })
}

fn hear(member: &mut Agreement, datagram: &Datagram) {
    if let Some(word) = LeaseMessage::decode(&datagram.bytes) {
        member.receive(datagram.at, &word);
    }
    member.evaluate(datagram.at);
}

fn seen(servers: u64) -> Vec<ListedServer> {
    (0..servers)
        .map(|number| ListedServer {
            key: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ready: true,
            started_at: 0,
        })
        .collect()
}

/// A whole list that says what is held already.
pub fn judged_whole(servers: u64) -> Result<Operation, ScaleError> {
    let list = without_counting(|| seen(servers));
    let mut lists = ListTracker::default();
    lists.apply(START_TIME, SNAPSHOT_INDEX, true, &list);
    let mut index = SNAPSHOT_INDEX;
    let step = move || {
        index += 1;
        std::hint::black_box(lists.apply(START_TIME, index, true, &list));
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: JUDGED })
}

/// A change of one server, away or back.
pub fn judged_change(servers: u64) -> Result<Operation, ScaleError> {
    let list = without_counting(|| seen(servers));
    let mut lists = ListTracker::default();
    lists.apply(START_TIME, SNAPSHOT_INDEX, true, &list);
    let one = list[list.len() / 2];
    without_counting(|| drop(list));
    let mut index = SNAPSHOT_INDEX;
    let step = move || {
        index += 1;
        let ready = index % 2 == 1;
        std::hint::black_box(lists.apply(START_TIME, index, false, &[ListedServer { ready, ..one }]));
        Ok(Traffic::default())
    };
    Ok(Operation { step: Box::new(step), operations_per_step: 1, steps_most: JUDGED })
}
