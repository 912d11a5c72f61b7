//! The membership watcher against the stand-in etcd on loopback: drains seen within the bound, a compaction that
//! forces a fresh read, and an outage that keeps the last list.

use etcd_standin::Standin;
use etcd_standin::client::{Follower, Watch, node, range};
use membership::etcd;
use membership::watcher::Action;
use std::time::{Duration, Instant};

#[test]
fn drains_compaction_and_an_outage_against_the_standin() {
    let standin = Standin::start().unwrap();
    standin.set_progress(50);
    standin.with(|store| {
        for (key, port) in [("/nodes/a", 1), ("/nodes/b", 2), ("/nodes/c", 3)] {
            store.put(key.as_bytes(), &node(&format!("127.0.0.1:{port}"), "ready"), 0).unwrap();
        }
    });
    let mut follower = Follower::new(b"/nodes/");
    follower.until(&standin, |members| members.merged().len() == 3);

    // A drain written in etcd is seen, well within the bound of 2 s.
    let drained_at = Instant::now();
    let feeder = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(20));
            standin.with(|store| store.put(b"/nodes/b", &node("127.0.0.1:2", "draining"), 0).unwrap());
        });
        follower.until(&standin, |members| !members.merged()[1].ready);
        drained_at.elapsed()
    });
    assert!(feeder < Duration::from_secs(2), "the drain took {feeder:?}");

    // Changes and a compaction past the revision the watch will ask for: the watch is cancelled, a fresh read
    // replaces the list, and nothing is replayed wrongly.
    let rereads = follower.watcher.rereads;
    standin.with(|store| {
        store.delete(b"/nodes/a", &[]);
        store.put(b"/nodes/d", &node("127.0.0.1:4", "ready"), 0).unwrap();
        let revision = store.revision;
        store.compact(revision).unwrap();
    });
    let body = etcd::watch_request_body(b"/nodes/", follower.watcher.revision + 1);
    let mut stale = Watch::open(&standin, &body).unwrap();
    let cancelled = etcd::parse_watch_message(&stale.take().unwrap()[0]).unwrap();
    assert!(matches!(cancelled, etcd::Reply::Cancelled { compacted: Some(_) }), "{cancelled:?}");
    let at = follower.now();
    follower.next = follower.watcher.handle_watch_message(at, cancelled, &mut follower.members);
    assert!(matches!(follower.next, Action::Range { .. }));
    follower.until(&standin, |members| {
        let view = members.merged();
        view.iter().filter(|listed| listed.ready).count() == 2 && view.len() == 3
    });
    assert_eq!(follower.watcher.rereads, rereads + 1);

    // etcd unreachable: the stream ends, the list stays as it was; back up, followed again.
    standin.set_down(true);
    let before = follower.members.merged().len();
    let outage = Instant::now();
    let mut tries = 0;
    while outage.elapsed() < Duration::from_millis(600) {
        tries += 1;
        let Action::Range { body, .. } = follower.watcher.start_range() else { unreachable!() };
        assert!(range(&standin, &body).is_none(), "down means no answer");
        let at = follower.now();
        follower.next = follower.watcher.handle_failure(at);
    }
    assert!(tries > 0);
    assert_eq!(follower.members.merged().len(), before, "an outage keeps the last known list");
    standin.set_down(false);
    standin.with(|store| store.put(b"/nodes/e", &node("127.0.0.1:5", "ready"), 0).unwrap());
    follower.until(&standin, |members| members.merged().len() == 4);
    let (messages, bytes) = standin.written();
    assert!(messages > 0 && bytes > 0);
}

#[test]
fn leases_take_their_keys_and_compaction_refuses_the_past() {
    let standin = Standin::start().unwrap();
    standin.with(|store| {
        let (lease, _) = store.grant(1, Instant::now() - Duration::from_secs(2));
        store.put(b"/nodes/x", &node("127.0.0.1:9", "ready"), lease).unwrap();
        assert!(store.put(b"/nodes/y", b"{}", 99).is_err(), "no such lease");
        store.expire(Instant::now());
        assert!(store.is_empty(), "the lease was over");
        assert!(store.compact(store.revision + 1).is_err());
    });
}
