//! Tests the membership watcher against the etcd stand-in on loopback: a drain is seen in time, a compaction forces a
//! new read of the list, and an outage keeps the last known list.

use etcd_standin::Standin;
use etcd_standin::client::{WatchStream, WatcherDriver, node_value, range};
use membership::etcd;
use membership::watcher::Action;
use std::time::{Duration, Instant};

#[test]
fn watcher_follows_drains_and_survives_a_compaction_and_an_outage() {
    let standin = Standin::start().unwrap();
    standin.set_progress_interval(50);
    standin.with_store(|store| {
        for (key, port) in [("/nodes/a", 1), ("/nodes/b", 2), ("/nodes/c", 3)] {
            store.put(key.as_bytes(), &node_value(&format!("127.0.0.1:{port}"), "ready"), 0).unwrap();
        }
    });
    let mut driver = WatcherDriver::new(b"/nodes/");
    driver.drive_until(&standin, |members| members.merged().len() == 3);

    // A drain written to etcd has to be seen within 2 s.
    let drained_at = Instant::now();
    let drain_delay = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(20));
            standin.with_store(|store| {
                store.put(b"/nodes/b", &node_value("127.0.0.1:2", "draining"), 0).unwrap()
            });
        });
        driver.drive_until(&standin, |members| !members.merged()[1].ready);
        drained_at.elapsed()
    });
    assert!(drain_delay < Duration::from_secs(2), "the drain took {drain_delay:?}");

    // Changes are compacted past the revision that the next watch asks for: the watch is cancelled, and a new read
    // replaces the list instead of applying events to an outdated one.
    let rereads = driver.watcher.rereads;
    standin.with_store(|store| {
        store.delete(b"/nodes/a", &[]);
        store.put(b"/nodes/d", &node_value("127.0.0.1:4", "ready"), 0).unwrap();
        let revision = store.revision;
        store.compact(revision).unwrap();
    });
    let body = etcd::watch_request_body(b"/nodes/", driver.watcher.revision + 1);
    let mut stale = WatchStream::open(&standin, &body).unwrap();
    let cancelled = etcd::parse_watch_message(&stale.next_messages().unwrap()[0]).unwrap();
    assert!(matches!(cancelled, etcd::Reply::Cancelled { compacted: Some(_) }), "{cancelled:?}");
    let at = driver.now();
    driver.next_action = driver.watcher.handle_watch_message(at, cancelled, &mut driver.members);
    assert!(matches!(driver.next_action, Action::Range { .. }));
    driver.drive_until(&standin, |members| {
        let view = members.merged();
        view.iter().filter(|listed| listed.ready).count() == 2 && view.len() == 3
    });
    assert_eq!(driver.watcher.rereads, rereads + 1);

    // While etcd is unreachable the stream ends and the list stays as it was; after the outage the watcher catches up.
    standin.set_down(true);
    let count_before = driver.members.merged().len();
    let outage = Instant::now();
    let mut failed_reads = 0;
    while outage.elapsed() < Duration::from_millis(600) {
        failed_reads += 1;
        let Action::Range { body, .. } = driver.watcher.start_range() else { unreachable!() };
        assert!(range(&standin, &body).is_none(), "a stand-in that is down must not respond");
        let at = driver.now();
        driver.next_action = driver.watcher.handle_failure(at);
    }
    assert!(failed_reads > 0);
    assert_eq!(driver.members.merged().len(), count_before, "an outage keeps the last known list");
    standin.set_down(false);
    standin.with_store(|store| store.put(b"/nodes/e", &node_value("127.0.0.1:5", "ready"), 0).unwrap());
    driver.drive_until(&standin, |members| members.merged().len() == 4);
    let (messages, bytes) = standin.sent_totals();
    assert!(messages > 0 && bytes > 0);
}

#[test]
fn expired_leases_delete_their_keys_and_future_revisions_cannot_be_compacted() {
    let standin = Standin::start().unwrap();
    standin.with_store(|store| {
        let (lease, _) = store.grant(1, Instant::now() - Duration::from_secs(2));
        store.put(b"/nodes/x", &node_value("127.0.0.1:9", "ready"), lease).unwrap();
        assert!(store.put(b"/nodes/y", b"{}", 99).is_err(), "unknown lease");
        store.expire(Instant::now());
        assert!(store.is_empty(), "the lease has expired");
        assert!(store.compact(store.revision + 1).is_err());
    });
}
