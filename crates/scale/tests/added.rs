//! `martenramp-scale added` rejects invalid arguments with a one-line error that names the argument.

use std::process::Command;

fn rejection(arguments: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO_BIN_EXE_martenramp-scale")).arg("added").args(arguments).output().unwrap();
    assert!(!output.status.success(), "{arguments:?}");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn out_of_range_duration_is_rejected_by_key() {
    for seconds in ["0", "121", "NaN"] {
        let message = rejection(&["--seconds", seconds]);
        assert_eq!(message, "martenramp-scale: 'seconds': must be from 1 to 120\n");
    }
}

#[test]
fn numbers_of_servers_and_gateways_out_of_range_are_rejected_by_key() {
    assert_eq!(rejection(&["--servers", "0"]), "martenramp-scale: 'servers': must be from 1 to 3200\n");
    assert_eq!(rejection(&["--servers", "3201"]), "martenramp-scale: 'servers': must be from 1 to 3200\n");
    assert_eq!(rejection(&["--fleet", "901"]), "martenramp-scale: 'fleet': must be from 1 to 900\n");
}

#[test]
fn missing_program_is_rejected_by_key() {
    let message = rejection(&["--program", "no/such/program"]);
    assert_eq!(message, "martenramp-scale: 'program': no/such/program is not a file\n");
}
