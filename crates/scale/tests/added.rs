//! `martenramp-scale added` refuses what it can't measure in one line that names the argument.

use std::process::Command;

fn refused(arguments: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO_BIN_EXE_martenramp-scale")).arg("added").args(arguments).output().unwrap();
    assert!(!output.status.success(), "{arguments:?}");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn a_length_out_of_range_is_refused_by_its_key() {
    for seconds in ["0", "121", "NaN"] {
        let said = refused(&["--seconds", seconds]);
        assert_eq!(said, "martenramp-scale: 'seconds': must be from 1 to 120\n");
    }
}

#[test]
fn a_program_that_is_not_there_is_refused_by_its_key() {
    let said = refused(&["--program", "no/such/program"]);
    assert_eq!(said, "martenramp-scale: 'program': no/such/program is no file\n");
}
