//! What one change of the list costs a gateway: the whole table of pairs worked out, at several sizes.

use criterion::{Criterion, criterion_group, criterion_main};
use martenramp::subsetting::{Endpoint, Subsetter, key};

fn list(c: &mut Criterion) {
    for (fleet, count) in [(40, 40), (100, 60), (300, 100), (300, 200)] {
        let endpoint = |at: usize| Endpoint {
            id: at as u32,
            key: key(&format!("s{at:04}")),
            zone: at as u16 % 3,
            weight: 1.0,
            same_zone: at.is_multiple_of(3),
        };
        let endpoints: Vec<Endpoint> = (0..count).map(endpoint).collect();
        c.bench_function(&format!("list {fleet} gateways {count} servers"), |bench| {
            bench.iter(|| {
                let mut subsetter = Subsetter::new(Some(1), fleet, 7);
                subsetter.set_endpoints(endpoints.clone(), 18.0);
                subsetter.subset_len()
            });
        });
    }
}

criterion_group!(benches, list);
criterion_main!(benches);
