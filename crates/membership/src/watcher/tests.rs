//! Unit tests of `watcher`.

use super::*;
use crate::etcd::Entry;

fn put(key: &str, address: &str, state: &str) -> Change {
    let value = format!(r#"{{"address":"{address}","state":"{state}"}}"#).into_bytes();
    Change::Put(Entry { key: key.as_bytes().to_vec(), value, mod_revision: 0 })
}

#[test]
fn a_compaction_and_a_restored_member_read_afresh_and_an_outage_keeps_the_list() {
    let (mut members, mut watcher) = (Members::default(), Watcher::new(b"/n/", 2));
    assert!(matches!(watcher.read(), Next::Range { endpoint: 0, .. }));
    let Change::Put(entry) = put("/n/a", "127.0.0.1:1", "ready") else { unreachable!() };
    let next = watcher.ranged(0, Reply::Range { revision: 10, entries: vec![entry] }, &mut members);
    assert!(matches!(next, Next::Watch { ref body, .. } if body.contains("\"11\"")));
    let drained = Reply::Watched { revision: 11, changes: vec![put("/n/a", "127.0.0.1:1", "draining")] };
    watcher.watched(1, drained, &mut members);
    assert!(!members.view()[0].ready, "the drain is seen at once");
    assert!(matches!(
        watcher.watched(2, Reply::Cancelled { compacted: Some(20) }, &mut members),
        Next::Range { .. }
    ));
    assert!(matches!(
        watcher.ranged(3, Reply::Range { revision: 25, entries: vec![] }, &mut members),
        Next::Watch { .. }
    ));
    assert!(members.view().is_empty(), "the fresh read replaces the list whole");
    let older = Reply::Watched { revision: 4, changes: vec![put("/n/b", "127.0.0.1:2", "ready")] };
    assert!(matches!(watcher.watched(4, older, &mut members), Next::Range { .. }), "a restored member");
    assert_eq!(watcher.reread, 2);
    members.change(
        5,
        Source::Discovery,
        "127.0.0.1:3",
        Some(Node { zone: String::new(), ready: true, weight: 1.0, came_up: 0 }),
    );
    assert_eq!(watcher.broke(6), Next::Wait { until: 6 + REST_FIRST });
    assert_eq!(watcher.endpoint(), 1, "the next endpoint");
    assert_eq!(watcher.broke(7), Next::Wait { until: 7 + 2 * REST_FIRST }, "the rest grows");
    assert!(matches!(watcher.woke(7 + 2 * REST_FIRST, &members), Next::Range { endpoint: 0, .. }));
    assert_eq!(members.view().len(), 1, "an outage empties nothing");
}
