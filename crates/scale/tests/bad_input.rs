//! Scenarios and arguments that can't be taken: one line that names the key, and nothing is measured or written.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("martenramp-scale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn file(&self, text: &str) -> PathBuf {
        let file = self.0.join("scenario.toml");
        std::fs::write(&file, text).unwrap();
        file
    }

    fn out(&self) -> PathBuf {
        self.0.join("out")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn slopes(scenario: &Path, out: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenramp-scale"));
    command.arg("slopes").arg("--scenario").arg(scenario).arg("--out").arg(out).args(more);
    command.output().unwrap()
}

/// The one line that was said; the run failed.
fn refusal(output: &Output) -> String {
    let said = String::from_utf8(output.stderr.clone()).unwrap();
    assert!(!output.status.success(), "it was taken");
    assert_eq!(said.trim_end().lines().count(), 1, "{said}");
    said
}

#[test]
fn scenarios_that_cannot_be_taken_are_refused_by_the_key() {
    let folder = Folder::new("keys");
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
        let said = refusal(&slopes(&folder.file(text), &folder.out(), &[]));
        assert!(said.contains(key), "{text}: {said}");
        assert!(!folder.out().exists(), "{text}: something was written");
    }
}

#[test]
fn files_and_names_that_are_not_there_are_said_so() {
    let folder = Folder::new("files");
    let missing = folder.0.join("missing.toml");
    assert!(refusal(&slopes(&missing, &folder.out(), &[])).contains("missing.toml"));
    let good = folder.file("effort_ms = 1");
    let said = refusal(&slopes(&good, &folder.out(), &["--only", "no such cost"]));
    assert!(said.contains("--only"), "{said}");
    assert!(!folder.out().exists());
    // The folder of the tables is a file: said before anything is measured.
    assert!(refusal(&slopes(&good, &good, &[])).contains("scenario.toml"));
}

#[test]
fn a_small_scenario_writes_its_tables_and_says_what_was_cut_off() {
    let folder = Folder::new("good");
    let text = "effort_ms = 1\nsize_seconds = 0.001\n[settings]\nplans = [10, 20, 40, 60000]";
    let output = slopes(&folder.file(text), &folder.out(), &["--only", "version digested"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let table = std::fs::read_to_string(folder.out().join("slopes.csv")).unwrap();
    assert!(table.lines().any(|line| line.contains(",10,measured,")), "{table}");
    assert!(table.lines().any(|line| line.contains(",60000,cut off: ")), "{table}");
    for name in ["fits.csv", "slopes.svg"] {
        assert!(folder.out().join(name).exists(), "{name}");
    }
}
