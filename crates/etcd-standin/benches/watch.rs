//! Benchmark of a watch over 1000 nodes under one prefix, on loopback against the etcd stand-in.
//!
//! It prints the time from writing a drain to its arrival in the membership (p50 and p99 over 100 drains), the watch's
//! messages and bytes, and the time until the membership is up to date again after an outage with a compaction.
//! Run it with `cargo bench -p martenramp-etcd-standin`.

use etcd_standin::Standin;
use etcd_standin::client::{WatcherDriver, node_value};
use std::time::{Duration, Instant};

const NODES: usize = 1000;
const DRAINS: usize = 100;

fn main() {
    let standin = Standin::start().expect("the stand-in starts listening");
    standin.set_progress_interval(200);
    standin.with_store(|store| {
        for at in 0..NODES {
            let key = format!("/nodes/{at:04}");
            store
                .put(
                    key.as_bytes(),
                    &node_value(&format!("127.0.1.{}:{}", at / 250 + 1, 10000 + at), "ready"),
                    0,
                )
                .unwrap();
        }
    });
    let (mut driver, read_started) = (WatcherDriver::new(b"/nodes/"), Instant::now());
    driver.drive_until(&standin, |members| members.merged().len() == NODES);
    println!("first read of {NODES} nodes: {:.1} ms", read_started.elapsed().as_secs_f64() * 1e3);
    let (messages_before, bytes_before) = standin.sent_totals();
    let mut delays = Vec::with_capacity(DRAINS);
    for drain in 0..DRAINS {
        let at = drain * 7 % NODES;
        let address = format!("127.0.1.{}:{}", at / 250 + 1, 10000 + at);
        let delay = std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(2));
                let key = format!("/nodes/{at:04}");
                standin.with_store(|store| {
                    store.put(key.as_bytes(), &node_value(&address, "draining"), 0).unwrap()
                });
            });
            let started = Instant::now();
            let number = driver.members.server_number(&address);
            driver.drive_until(&standin, |members| {
                members.merged().iter().any(|listed| listed.server == number && !listed.ready)
            });
            started.elapsed().saturating_sub(Duration::from_millis(2))
        });
        delays.push(delay);
    }
    delays.sort();
    let ms = |at: usize| delays[at.min(DRAINS - 1)].as_secs_f64() * 1e3;
    println!(
        "drain written to drain seen, {DRAINS} drains: p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms",
        ms(DRAINS / 2),
        ms(DRAINS * 99 / 100),
        ms(DRAINS - 1)
    );
    let (messages, bytes) = standin.sent_totals();
    println!(
        "watch: {} messages, {} bytes for {DRAINS} drains (each re-read of the list costs a range request)",
        messages - messages_before,
        bytes - bytes_before
    );
    standin.with_store(|store| {
        let revision = store.revision;
        store.compact(revision).unwrap();
    });
    standin.set_down(true);
    std::thread::sleep(Duration::from_millis(50));
    standin.set_down(false);
    let restored_at = Instant::now();
    standin.with_store(|store| store.put(b"/nodes/new", &node_value("127.0.2.1:10000", "ready"), 0).unwrap());
    driver.drive_until(&standin, |members| members.merged().len() == NODES + 1);
    println!(
        "after an outage of 50 ms and a compaction: new node seen {:.1} ms after etcd was reachable again",
        restored_at.elapsed().as_secs_f64() * 1e3
    );
}
