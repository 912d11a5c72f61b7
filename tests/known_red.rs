//! `.ci/known-red`, which decides which tests CI passes over.

use std::path::PathBuf;
use std::process::Command;

const TESTS: &str =
    "one_test: test\nmodule::two_test: test\ntwice: test\ntwice: test\nthird: test\nfourth: test\n";

/// Runs the script on a list of known failures; returns the names that it prints, or its error.
fn skipped_tests(name: &str, list: &str) -> Result<Vec<String>, String> {
    let folder = std::env::temp_dir().join(format!("martenramp-known-red-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (list_file, tests_file) = (folder.join("list"), folder.join("tests"));
    std::fs::write(&list_file, list).unwrap();
    std::fs::write(&tests_file, TESTS).unwrap();
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let output = Command::new("bash").arg(script).args([&list_file, &tests_file]).output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    if output.status.success() {
        Ok(String::from_utf8(output.stdout).unwrap().lines().map(str::to_string).collect())
    } else {
        Err(String::from_utf8(output.stderr).unwrap())
    }
}

#[test]
fn listed_tests_are_skipped_and_runs_by_hand_are_not() {
    let list = "one_test | cargo test --test a | 5 | failed | 26\n\
        soak seed 7001 | martenramp-rig soak --seed 7001 | 7001 | a told time | 54\n\
        module::two_test | cargo test -p b | | failed | 54\n";
    assert_eq!(skipped_tests("known", list), Ok(vec!["one_test".into(), "module::two_test".into()]));
    assert_eq!(skipped_tests("empty", ""), Ok(vec![]));
}

/// Guards against an entry that skips nothing and goes unnoticed, or that skips more than it says.
#[test]
fn an_entry_whose_test_does_not_exist_exactly_once_is_an_error() {
    let error = |name, list| skipped_tests(name, list).unwrap_err();
    assert!(
        error("renamed", "one_tset | cargo test | 5 | failed | 26\n").contains("0 tests are named one_tset")
    );
    assert!(
        error("part", "two_test | cargo test | 5 | failed | 26\n").contains("0 tests are named two_test")
    );
    assert!(error("twice", "twice | cargo test | 5 | failed | 26\n").contains("2 tests are named twice"));
    assert!(error("bare", "one_test\n").contains("no command"));
}

#[test]
fn more_than_three_tests_are_an_error() {
    let line = |name| format!("{name} | cargo test | 5 | failed | 26\n");
    let list = ["one_test", "module::two_test", "third", "fourth"].map(line).concat();
    assert!(skipped_tests("many", &list).unwrap_err().contains("more than 3"));
}
