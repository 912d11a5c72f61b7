//! Unit tests of `message`.

use super::*;

#[test]
fn messages_decode_as_encoded_and_corrupted_ones_are_rejected() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..2000 {
        let content = ContentId { version: rng.u64(..), digest: rng.u128(..) };
        let lease = Lease { content, from: rng.u64(..), until: rng.u64(..) };
        let kind = [MessageKind::Grant, MessageKind::Query, MessageKind::Holding][rng.usize(..3)];
        let message =
            LeaseMessage { gateway: rng.u32(..), incarnation: rng.u32(..), sent: rng.u64(..), kind, lease };
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        assert_eq!(LeaseMessage::decode(&bytes), Some(message));
        // A truncated, corrupted or random datagram decodes to nothing, and never causes a panic.
        assert_eq!(LeaseMessage::decode(&bytes[..rng.usize(..bytes.len())]), None);
        let mut corrupted = bytes.clone();
        let at = rng.usize(..corrupted.len());
        corrupted[at] = rng.u8(..);
        assert!(corrupted == bytes || LeaseMessage::decode(&corrupted).is_none());
        let noise: Vec<u8> = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
        assert_eq!(LeaseMessage::decode(&noise), None);
    }
    let content = ContentId { version: 1, digest: 1 };
    let lease = Lease { content, from: 1, until: 2 };
    let text = String::from_utf8(
        LeaseMessage { gateway: 1, incarnation: 1, sent: 1, kind: MessageKind::Grant, lease }.encode(),
    )
    .unwrap();
    assert_eq!(
        LeaseMessage::decode(text.replace("\"agreement\":1", "\"agreement\":0").as_bytes()),
        None,
        "an older format version"
    );
    assert_eq!(
        LeaseMessage::decode(text.replace('}', ",\"x\":1}").as_bytes()),
        None,
        "a field that the format does not have"
    );
}

#[test]
fn notices_fit_into_a_datagram_and_decode_as_encoded() {
    let removed = vec![u64::MAX; crate::lists::MAX_ANNOUNCED_REMOVALS];
    let notice = ListNotice { gateway: u32::MAX, index: u64::MAX, removed };
    let bytes = notice.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(ListNotice::decode(&bytes), Some(notice));
    let mut corrupted = bytes.clone();
    corrupted[30] ^= 1;
    assert_eq!((ListNotice::decode(&corrupted), LeaseMessage::decode(&bytes)), (None, None));
}

/// Guards against a rename that changes the wire format: gateways of different releases read each other's datagrams.
#[test]
fn the_bytes_of_a_datagram_are_those_of_format_1() {
    let lease = Lease { content: ContentId { version: 2, digest: 7 }, from: 100, until: 200 };
    for (kind, says) in
        [(MessageKind::Grant, "for"), (MessageKind::Query, "asks"), (MessageKind::Holding, "holds")]
    {
        let message = LeaseMessage { gateway: 3, incarnation: 9, sent: 101, kind, lease };
        let text = |sum: &str| {
            format!(
                r#"{{"agreement":1,"gateway":3,"life":9,"sent":101,"says":"{says}","version":2,"digest":"00000000000000000000000000000007","from":100,"until":200,"sum":"{sum}"}}"#
            )
        };
        let sum = format!("{:016x}", xxh3_64(text("").as_bytes()));
        assert_eq!(message.encode(), text(&sum).into_bytes());
    }
    let notice = ListNotice { gateway: 3, index: 41, removed: vec![1, 255] };
    let text = |sum: &str| {
        format!(
            r#"{{"list":1,"gateway":3,"index":41,"out":["0000000000000001","00000000000000ff"],"sum":"{sum}"}}"#
        )
    };
    let sum = format!("{:016x}", xxh3_64(text("").as_bytes()));
    assert_eq!(notice.encode(), text(&sum).into_bytes());
}
