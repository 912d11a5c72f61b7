//! Unit tests of decoding frames and encoding replies.

use super::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&digits[start..start + 2], 16).unwrap())
        .collect()
}

fn reply_to(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    let result = serve(input, &mut output);
    (result, output)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let (result, output) = reply_to(&hex("00000001 00000000 00000014 4020d3126e978d50"));
    assert_eq!((result, output), (Ok(()), hex("00000001 0000000c 00000000")));
}

#[test]
fn records_with_unknown_codes_or_instances_are_skipped() {
    let batch =
        hex("00000007 00000002 0000002c 4020d3126e978d50 63 00000002 abcd 16 00000008 00000003 0000004d");
    let (result, output) = reply_to(&batch);
    assert!(result.is_err(), "the frame length exceeds the bytes sent");
    assert!(output.is_empty());
    let batch =
        hex("00000007 00000002 00000028 4020d3126e978d50 63 00000002 abcd 16 00000008 00000003 0000004d");
    assert_eq!(reply_to(&batch), (Ok(()), hex("00000007 0000000c 00000000")));
}

#[test]
fn a_field_past_its_record_is_reported_by_byte_offset_without_a_reply() {
    let batch = hex("00000007 00000001 0000001d 4020d3126e978d50 16 00000004 00000003");
    let (result, output) = reply_to(&batch);
    assert_eq!(result, Err("byte 29: a field runs past its record or frame".to_string()));
    assert!(output.is_empty());
}
