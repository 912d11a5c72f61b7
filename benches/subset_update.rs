//! Cost of a list change at one gateway: computing the whole table of subsets, for several sizes.

use criterion::{Criterion, criterion_group, criterion_main};
use martenramp::subsetting::{Endpoint, Subsetter, key};

fn list_change(criterion: &mut Criterion) {
    for (fleet, count) in [(40, 40), (100, 60), (300, 100), (300, 200)] {
        let endpoint = |index: usize| Endpoint {
            id: index as u32,
            key: key(&format!("s{index:04}")),
            zone: index as u16 % 3,
            weight: 1.0,
            same_zone: index.is_multiple_of(3),
        };
        let endpoints: Vec<Endpoint> = (0..count).map(endpoint).collect();
        criterion.bench_function(&format!("list {fleet} gateways {count} servers"), |bencher| {
            bencher.iter(|| {
                let mut subsetter = Subsetter::new(Some(1), fleet, 7);
                subsetter.set_endpoints(endpoints.clone(), 18.0);
                subsetter.subset_len()
            });
        });
    }
}

criterion_group!(benches, list_change);
criterion_main!(benches);
