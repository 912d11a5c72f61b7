//! Unit tests of the decoder and the replies.

use super::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap()).collect()
}

fn answer(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    let verdict = serve(input, &mut output);
    (verdict, output)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let (verdict, output) = answer(&hex("00000001 00000000 00000014 4020d3126e978d50"));
    assert_eq!((verdict, output), (Ok(()), hex("00000001 0000000c 00000000")));
}

#[test]
fn unknown_codes_and_unknown_instances_are_passed_over() {
    let batch =
        hex("00000007 00000002 0000002c 4020d3126e978d50 63 00000002 abcd 16 00000008 00000003 0000004d");
    let (verdict, output) = answer(&batch);
    assert!(verdict.is_err(), "the length names more bytes than the frame holds");
    assert!(output.is_empty());
    let batch =
        hex("00000007 00000002 00000028 4020d3126e978d50 63 00000002 abcd 16 00000008 00000003 0000004d");
    assert_eq!(answer(&batch), (Ok(()), hex("00000007 0000000c 00000000")));
}

#[test]
fn a_field_past_its_record_is_named_by_its_byte_and_gets_no_reply() {
    let batch = hex("00000007 00000001 0000001d 4020d3126e978d50 16 00000004 00000003");
    let (verdict, output) = answer(&batch);
    assert_eq!(verdict, Err("byte 29: a field runs past its record or frame".to_string()));
    assert!(output.is_empty());
}
