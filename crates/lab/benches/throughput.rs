//! Benchmarks emulated events per second of wall time on the example scenario with 50 gateways and 40 servers.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use lab::policies::PolicyKind;
use lab::scenario::Scenario;

fn large_scenario() -> Scenario {
    let text =
        lab::scenario::EXAMPLE.replace("gateways = 2", "gateways = 50").replace("count = 4", "count = 40");
    let text = text.replace("count = 8", "count = 200").replace("seconds = 20.0", "seconds = 10.0");
    Scenario::from_toml(&text).expect("the enlarged example is a valid scenario")
}

fn throughput(criterion: &mut Criterion) {
    let scenario = large_scenario();
    let mut group = criterion.benchmark_group("lab");
    group.sample_size(10);
    for kind in PolicyKind::ALL {
        let events = lab::world::run_scenario(&scenario, kind, None).events;
        group.throughput(Throughput::Elements(events));
        group.bench_function(kind.name(), |bench| {
            bench.iter(|| lab::world::run_scenario(&scenario, kind, None))
        });
    }
    group.finish();
}

criterion_group!(benches, throughput);
criterion_main!(benches);
