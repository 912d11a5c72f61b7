//! Unit tests of `watcher`.

use super::*;
use crate::etcd::KeyValue;

fn put(key: &str, address: &str, state: &str) -> Change {
    let value = format!(r#"{{"address":"{address}","state":"{state}"}}"#).into_bytes();
    Change::Put(KeyValue { key: key.as_bytes().to_vec(), value, mod_revision: 0 })
}

#[test]
fn a_compaction_or_a_restored_member_rereads_the_range_and_an_outage_keeps_the_list() {
    let (mut members, mut watcher) = (Members::default(), Watcher::new(b"/n/", 2));
    assert!(matches!(watcher.start_range(), Action::Range { endpoint: 0, .. }));
    let Change::Put(entry) = put("/n/a", "127.0.0.1:1", "ready") else { unreachable!() };
    let next =
        watcher.handle_range_reply(0, Reply::Range { revision: 10, entries: vec![entry] }, &mut members);
    assert!(matches!(next, Action::Watch { ref body, .. } if body.contains("\"11\"")));
    let drained = Reply::Events { revision: 11, changes: vec![put("/n/a", "127.0.0.1:1", "draining")] };
    watcher.handle_watch_message(1, drained, &mut members);
    assert!(!members.merged()[0].ready, "the drain takes effect at once");
    assert!(matches!(
        watcher.handle_watch_message(2, Reply::Cancelled { compacted: Some(20) }, &mut members),
        Action::Range { .. }
    ));
    assert!(matches!(
        watcher.handle_range_reply(3, Reply::Range { revision: 25, entries: vec![] }, &mut members),
        Action::Watch { .. }
    ));
    assert!(members.merged().is_empty(), "reading the range again replaces the whole list");
    let older = Reply::Events { revision: 4, changes: vec![put("/n/b", "127.0.0.1:2", "ready")] };
    assert!(
        matches!(watcher.handle_watch_message(4, older, &mut members), Action::Range { .. }),
        "a restored member"
    );
    assert_eq!(watcher.rereads, 2);
    members.update(
        5,
        Source::Discovery,
        "127.0.0.1:3",
        Some(Node { zone: String::new(), ready: true, weight: 1.0, started_at: 0 }),
    );
    assert_eq!(watcher.handle_failure(6), Action::Wait { until: 6 + INITIAL_BACKOFF });
    assert_eq!(watcher.endpoint(), 1, "the next endpoint");
    assert_eq!(
        watcher.handle_failure(7),
        Action::Wait { until: 7 + 2 * INITIAL_BACKOFF },
        "the backoff grows"
    );
    assert!(matches!(
        watcher.handle_timer(7 + 2 * INITIAL_BACKOFF, &members),
        Action::Range { endpoint: 0, .. }
    ));
    assert_eq!(members.merged().len(), 1, "an outage removes no server");
}
