//! Prints what the admission controller's longest operations cost at one gateway, by the number of servers and the share
//! of them that has just started: `cargo bench --bench server_count_figures`. Every operation is one call, which a
//! gateway makes within one turn of its event loop.

use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Host, Nanos, Settings};
use std::time::{Duration, Instant};

const MS: Nanos = 1_000_000;
const SEC: Nanos = 1_000 * MS;
const NOW: Nanos = 1_000_000 * SEC;
const SERVER_COUNTS: [u32; 4] = [200, 800, 3_200, 6_000];
/// Gateways for each server, up to the operators' largest fleet.
const GATEWAYS_PER_SERVER: f64 = 1.5;
const MAX_GATEWAYS: u32 = 900;
/// Percentage of the servers that has just started.
const COLD_PERCENTAGES: [u32; 3] = [0, 10, 60];
const CHANGES: u32 = 64;
const RPCS: u32 = 200;
/// Work on subsets in one call, as the gateway does it.
const SUBSET_WORK: usize = 50_000;

/// Host that records the attempts that were requested.
#[derive(Default)]
struct RecordingHost(Vec<(u32, u32)>);

impl Host for RecordingHost {
    fn send_attempt(&mut self, rpc: u32, server: u32, _limit: Nanos, _before: Nanos) {
        self.0.push((rpc, server));
    }
    fn reject(&mut self, _rpc: u32, _retry_after: Nanos) {}
    fn abort(&mut self, _rpc: u32) {}
    fn set_timer(&mut self, _after: Nanos, _token: u32) {}
    fn add_to_counter(&mut self, _name: u64, _amount: f64, _expire_after: Nanos) {}
}

/// Mean and longest duration of one kind of operation.
#[derive(Default)]
struct Durations {
    count: u32,
    sum: Duration,
    longest: Duration,
}

impl Durations {
    fn time<T>(&mut self, operation: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = operation();
        let took = started.elapsed();
        self.count += 1;
        self.sum += took;
        self.longest = self.longest.max(took);
        result
    }

    fn text(&self) -> String {
        let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
        format!("{:9.3} {:9.3}", ms(self.sum) / f64::from(self.count.max(1)), ms(self.longest))
    }
}

fn settings(gateways: u32) -> Settings {
    let text = format!(
        "balancers={gateways} me=3 zone=0 ceilings.attemptsCap=3 classes.count=1 classes.0.credit=1 \
         classes.0.onTime=1 classes.0.idempotency=free tariffs.0.perSecond=0 rules.coldFrom=0.2 \
         rules.warmWithin=20 rules.fallMultiple=2.5 rules.fall=3"
    );
    let pairs = text.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

fn listed(server: u32, started_at: Nanos, ready: bool) -> DiscoveredServer {
    DiscoveredServer {
        server,
        key: martenramp::subsetting::key(&format!("s{server:05}")),
        zone: (server % 3) as u16,
        ready,
        weight: 1.0,
        started_at,
        ..DiscoveredServer::default()
    }
}

fn measure(servers: u32, cold_percentage: u32) {
    let gateways = ((f64::from(servers) * GATEWAYS_PER_SERVER) as u32).min(MAX_GATEWAYS);
    let mut controller = AdmissionController::new(7, settings(gateways));
    let [mut first, mut change, mut subsets, mut rpc] = <[Durations; 4]>::default();
    let cold = servers * cold_percentage / 100;
    let started_at = |server: u32| if server <= cold { NOW } else { 0 };
    let list: Vec<DiscoveredServer> =
        (1..=servers).map(|server| listed(server, started_at(server), true)).collect();
    first.time(|| controller.on_server_list(NOW, true, &list));
    for index in 0..CHANGES {
        let server = 1 + (index / 2 * 37) % servers;
        let entry = listed(server, started_at(server), index % 2 == 1);
        change.time(|| controller.on_server_list_deferred(NOW, &[entry]));
    }
    let mut now = NOW;
    while let Some(due) = controller.subset_work_due() {
        now = now.max(due);
        subsets.time(|| controller.work_on_subsets(now, SUBSET_WORK));
    }
    let mut host = RecordingHost::default();
    for id in 1..=RPCS {
        now += 10 * MS;
        let arrival = Arrival {
            id,
            customer: u64::from(id),
            deadline: now + SEC,
            units: 1.0,
            gateway_count: 1,
            ..Arrival::default()
        };
        rpc.time(|| controller.on_arrival(&mut host, now, &arrival));
        for (rpc, server) in std::mem::take(&mut host.0) {
            let result = AttemptResult {
                rpc,
                server,
                attempt: 0,
                outcome: CallOutcome::Ok,
                duration: 4 * MS,
                rpc_answered: true,
                settled_units: 0.0,
                load_report: Vec::new(),
            };
            controller.on_attempt_end(&mut host, now + 4 * MS, &result);
        }
    }
    println!(
        "{servers:7} {gateways:8} {cold_percentage:5}% {} {} {} {}",
        first.text(),
        change.text(),
        subsets.text(),
        rpc.text()
    );
}

fn main() {
    println!("mean and longest, in milliseconds");
    println!(
        "{:>7} {:>8} {:>6} {:>19} {:>19} {:>19} {:>19}",
        "servers", "gateways", "cold", "first list", "one change", "subset work", "one RPC"
    );
    for servers in SERVER_COUNTS {
        for cold_percentage in COLD_PERCENTAGES {
            measure(servers, cold_percentage);
        }
    }
}
