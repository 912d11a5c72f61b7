//! Tests the parser of the counter's commands, and the expiry of its totals.

use super::*;

#[test]
fn incomplete_calls_wait_and_invalid_ones_are_errors() {
    let call = b"*4\r\n$7\r\nINCRTTL\r\n$1\r\na\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n";
    for cut in 0..call.len() {
        assert_eq!(parse(&call[..cut]), Ok(None), "cut at {cut}");
    }
    let (arguments, length) = parse(call).unwrap().unwrap();
    assert_eq!((arguments.len(), length), (4, call.len()));
    assert!(parse(b"*x\r\n").is_err() && parse(b"*1\r\n+a\r\n").is_err());
    let mut counter = Counter::new(0);
    assert_eq!(counter.execute(0, &arguments), b"$4\r\n-2.5\r\n");
    assert_eq!(counter.execute(MS, &arguments), b"$2\r\n-5\r\n");
    // The total of a name is reset once its time to live has passed.
    assert_eq!(counter.execute(4001 * MS, &arguments), b"$4\r\n-2.5\r\n");
}
