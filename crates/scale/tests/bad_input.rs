//! Invalid scenarios and arguments of `slopes`: the command fails with a one-line error that names the key or file, before
//! anything is measured or written.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A temporary directory that is removed when dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let dir = std::env::temp_dir().join(format!("martenramp-scale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        TempDir(dir)
    }

    fn write_scenario(&self, text: &str) -> PathBuf {
        let file = self.0.join("scenario.toml");
        std::fs::write(&file, text).unwrap();
        file
    }

    fn output_dir(&self) -> PathBuf {
        self.0.join("out")
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run_slopes(scenario: &Path, out: &Path, extra_args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenramp-scale"));
    command.arg("slopes").arg("--scenario").arg(scenario).arg("--out").arg(out).args(extra_args);
    command.output().unwrap()
}

/// Asserts that the command failed with a one-line error, and returns that line.
fn error_line(output: &Output) -> String {
    let stderr = String::from_utf8(output.stderr.clone()).unwrap();
    assert!(!output.status.success(), "the command succeeded");
    assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
    stderr
}

#[test]
fn invalid_scenarios_are_rejected_with_an_error_that_names_the_key() {
    let dir = TempDir::new("keys");
    let cases = [
        ("colour = 3", "colour"),
        ("[list]\nserver = [1, 2]", "server"),
        ("memory_mb = \"much\"", "memory_mb"),
        ("memory_mb = 1", "memory_mb"),
        ("memory_mb = 1048576", "memory_mb"),
        ("size_seconds = 0.0", "size_seconds"),
        ("size_seconds = nan", "size_seconds"),
        ("total_seconds = 1e9", "total_seconds"),
        ("effort_ms = -1", "effort_ms"),
        ("[list]\nservers = [0, 10]", "list.servers"),
        ("[list]\nservers = []", "list.servers"),
        ("[list]\nservers = [10, 10]", "list.servers"),
        ("[list]\nservers = [100, 10]", "list.servers"),
        ("[list]\nservers = [10, 2000000]", "list.servers"),
        ("[list]\nfleets = [10, 200000]", "list.fleets"),
        ("[list]\nheld_fleets = [0]", "list.held_fleets"),
        ("[list]\nheld_servers = 0", "list.held_servers"),
        ("memory_mb = 64\n[list]\nservers = [10, 1000000]", "list.servers"),
        ("memory_mb = 64\n[list]\nservers = [10]\n[tenants]\nseen = [10, 1000000]", "tenants.seen"),
        (
            "memory_mb = 64\n[list]\nservers = [10]\n[tenants]\nseen = [10]\nbusy = [10, 1000000]",
            "tenants.busy",
        ),
        ("[settings]\nplans = [10, 100000]", "settings.plans"),
        ("[agreement]\nvoters = [3, 5000]", "agreement.voters"),
        ("[counter]\nrates = [0]", "counter.rates"),
        ("[rpcs]\nin_flight = [10, 10000000]", "rpcs.in_flight"),
    ];
    for (text, key) in cases {
        let error = error_line(&run_slopes(&dir.write_scenario(text), &dir.output_dir(), &[]));
        assert!(error.contains(key), "{text}: {error}");
        assert!(!dir.output_dir().exists(), "{text}: the output directory was created");
    }
}

#[test]
fn missing_files_and_unknown_costs_are_reported() {
    let dir = TempDir::new("files");
    let missing = dir.0.join("missing.toml");
    assert!(error_line(&run_slopes(&missing, &dir.output_dir(), &[])).contains("missing.toml"));
    let valid = dir.write_scenario("effort_ms = 1");
    let error = error_line(&run_slopes(&valid, &dir.output_dir(), &["--only", "no such cost"]));
    assert!(error.contains("--only"), "{error}");
    assert!(!dir.output_dir().exists());
    // The output path is a file: this is reported before anything is measured.
    assert!(error_line(&run_slopes(&valid, &valid, &[])).contains("scenario.toml"));
}

#[test]
fn a_small_scenario_writes_its_tables_and_marks_sizes_over_the_time_limit() {
    let dir = TempDir::new("good");
    let text = "effort_ms = 1\nsize_seconds = 0.001\n[settings]\nplans = [10, 20, 40, 60000]";
    let output = run_slopes(&dir.write_scenario(text), &dir.output_dir(), &["--only", "version digested"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let table = std::fs::read_to_string(dir.output_dir().join("slopes.csv")).unwrap();
    assert!(table.lines().any(|line| line.contains(",10,measured,")), "{table}");
    assert!(table.lines().any(|line| line.contains(",60000,cut off: ")), "{table}");
    for name in ["fits.csv", "slopes.svg"] {
        assert!(dir.output_dir().join(name).exists(), "{name}");
    }
}
