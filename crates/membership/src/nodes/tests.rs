//! Unit tests of `nodes`.

use super::*;

fn node(ready: bool) -> Node {
    Node { zone: "a".into(), ready, weight: 1.0, started_at: 0 }
}

#[test]
fn a_drain_in_any_source_makes_a_node_unready_and_silence_keeps_the_list() {
    let mut members = Members::default();
    let both =
        BTreeMap::from([("127.0.0.1:1".to_string(), node(true)), ("127.0.0.1:2".to_string(), node(true))]);
    members.replace_list(0, Source::Discovery, both.clone());
    members.replace_list(0, Source::Etcd, both);
    members.update(5, Source::Etcd, "127.0.0.1:2", Some(node(false)));
    let merged = members.merged();
    assert_eq!(merged.iter().map(|listed| listed.ready).collect::<Vec<_>>(), [true, false]);
    members.update(6, Source::Etcd, "127.0.0.1:1", None);
    assert!(members.merged()[0].ready, "still listed ready by discovery");
    assert_eq!(members.time_since_contact(100, Source::Etcd), Some(94));
    assert_eq!(members.merged().len(), 2, "the list of a silent source stays in use");
    assert_eq!(members.server_number("127.0.0.1:2"), 1, "an address keeps its number");
    assert!(parse_node(br#"{"address":"127.0.0.1:9","state":"gone"}"#).unwrap_err().contains("neither"));
    assert!(parse_node(br#"{"address":"nowhere"}"#).is_err());
    let (address, parsed) =
        parse_node(br#"{"address":"127.0.0.1:9","zone":"b","state":"draining"}"#).unwrap();
    assert_eq!((address.as_str(), parsed.ready, parsed.zone.as_str()), ("127.0.0.1:9", false, "b"));
}
