//! Unit tests of `counter`.

use super::*;

#[test]
fn calls_are_read_whole_or_not_at_all_and_nonsense_is_an_error() {
    let call = b"*4\r\n$7\r\nINCRTTL\r\n$1\r\na\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n";
    for cut in 0..call.len() {
        assert_eq!(parse(&call[..cut]), Ok(None), "cut at {cut}");
    }
    let (words, length) = parse(call).unwrap().unwrap();
    assert_eq!((words.len(), length), (4, call.len()));
    assert!(parse(b"*x\r\n").is_err() && parse(b"*1\r\n+a\r\n").is_err());
    let mut counter = Counter::new(0);
    assert_eq!(counter.call(0, &words), b"$4\r\n-2.5\r\n");
    assert_eq!(counter.call(MS, &words), b"$2\r\n-5\r\n");
    // A name is forgotten after its life.
    assert_eq!(counter.call(4001 * MS, &words), b"$4\r\n-2.5\r\n");
}
