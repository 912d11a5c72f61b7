//! Measured on loopback: a watch over 1000 nodes under one prefix. Time from a drain written in the stand-in etcd
//! to the membership seeing it (p50, p99 over 100 drains), the watch's messages and bytes, and the time to follow
//! the list again after a compaction and after an outage. Run: cargo bench -p martenramp-etcd-standin.

use etcd_standin::Standin;
use etcd_standin::client::{Follower, node};
use std::time::{Duration, Instant};

const NODES: usize = 1000;
const DRAINS: usize = 100;

fn main() {
    let standin = Standin::start().expect("the stand-in starts");
    standin.set_progress(200);
    standin.with(|store| {
        for at in 0..NODES {
            let key = format!("/nodes/{at:04}");
            store
                .put(key.as_bytes(), &node(&format!("127.0.1.{}:{}", at / 250 + 1, 10000 + at), "ready"), 0)
                .unwrap();
        }
    });
    let (mut follower, read) = (Follower::new(b"/nodes/"), Instant::now());
    follower.until(&standin, |members| members.merged().len() == NODES);
    println!("first read of {NODES} nodes: {:.1} ms", read.elapsed().as_secs_f64() * 1e3);
    let (messages_before, bytes_before) = standin.written();
    let mut took = Vec::with_capacity(DRAINS);
    for drain in 0..DRAINS {
        let at = drain * 7 % NODES;
        let address = format!("127.0.1.{}:{}", at / 250 + 1, 10000 + at);
        let written = std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(2));
                let key = format!("/nodes/{at:04}");
                standin.with(|store| store.put(key.as_bytes(), &node(&address, "draining"), 0).unwrap());
            });
            let started = Instant::now();
            let number = follower.members.server_number(&address);
            follower.until(&standin, |members| {
                members.merged().iter().any(|listed| listed.server == number && !listed.ready)
            });
            started.elapsed().saturating_sub(Duration::from_millis(2))
        });
        took.push(written);
    }
    took.sort();
    let ms = |at: usize| took[at.min(DRAINS - 1)].as_secs_f64() * 1e3;
    println!(
        "drain written to drain seen, {DRAINS} drains: p50 {:.2} ms, p99 {:.2} ms, most {:.2} ms",
        ms(DRAINS / 2),
        ms(DRAINS * 99 / 100),
        ms(DRAINS - 1)
    );
    let (messages, bytes) = standin.written();
    println!(
        "watch: {} messages, {} bytes for {DRAINS} drains (each read of the list again costs a range)",
        messages - messages_before,
        bytes - bytes_before
    );
    standin.with(|store| {
        let revision = store.revision;
        store.compact(revision).unwrap();
    });
    standin.set_down(true);
    std::thread::sleep(Duration::from_millis(50));
    standin.set_down(false);
    let back = Instant::now();
    standin.with(|store| store.put(b"/nodes/new", &node("127.0.2.1:10000", "ready"), 0).unwrap());
    follower.until(&standin, |members| members.merged().len() == NODES + 1);
    println!(
        "after an outage of 50 ms and a compaction: a new node seen {:.1} ms after etcd was back",
        back.elapsed().as_secs_f64() * 1e3
    );
}
