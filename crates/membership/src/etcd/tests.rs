//! Unit tests of `etcd`.

use super::*;

#[test]
fn requests_are_encoded_and_replies_decoded_in_the_json_mapping() {
    assert_eq!(prefix_end(b"/nodes/"), b"/nodes0");
    assert_eq!(prefix_end(&[0x61, 0xff]), [0x62]);
    assert!(watch_request_body(b"/n/", 8).contains("\"start_revision\":\"8\""));
    let reply =
        br#"{"header":{"revision":"12"},"kvs":[{"key":"L24vYQ==","value":"e30=","mod_revision":"9"}]}"#;
    let entry = KeyValue { key: b"/n/a".to_vec(), value: b"{}".to_vec(), mod_revision: 9 };
    assert_eq!(parse_range_reply(reply).unwrap(), Reply::Range { revision: 12, entries: vec![entry] });
    let mut stream = WatchStreamDecoder::default();
    let text =
        br#"{"result":{"header":{"revision":"13"},"events":[{"type":"DELETE","kv":{"key":"L24vYQ=="}}]}}
{"result":{"header":{"revision":"14"},"canceled":true,"compact_revision":"13"}}{"resu"#;
    let messages = stream.feed(text).unwrap();
    assert_eq!(messages.len(), 2);
    let deleted = Reply::Events { revision: 13, changes: vec![Change::Delete(b"/n/a".to_vec())] };
    assert_eq!(parse_watch_message(&messages[0]).unwrap(), deleted);
    assert_eq!(parse_watch_message(&messages[1]).unwrap(), Reply::Cancelled { compacted: Some(13) });
    assert_eq!(
        stream.feed(br#"lt":{"header":{"revision":"15"}}}"#).unwrap().len(),
        1,
        "the rest of the message arrives later"
    );
    assert!(stream.feed(b"}garbage").is_err());
    let mut chunks = ChunkedDecoder::default();
    let mut data = chunks.feed(b"5\r\nhel").unwrap();
    data.extend(chunks.feed(b"lo\r\n3;x=1\r\n ok\r\n0\r\n\r\n").unwrap());
    assert_eq!((data.as_slice(), chunks.done), (&b"hello ok"[..], true));
    assert!(ChunkedDecoder::default().feed(b"zz\r\n").is_err());
}
