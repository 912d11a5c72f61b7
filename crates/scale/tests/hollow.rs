//! Tests of the hollow fleet: runs are deterministic by seed, changes reach the gateways that they concern,
//! and invalid scenarios are rejected as a whole.

use scale::hollow::{Scenario, Tables, simulate};
use std::path::Path;
use std::process::Command;

const SMALL: &str = r#"
name = "small"
seed = 7
warm_seconds = 6.0
seconds = 20.0
gateways = 12
servers = 60
services = 6
services_met = 2
zones = 4
regions = 2
tenants = 50
rate = 5.0
control_machines = 3
[load]
width = 3
skew = 0.5
plan = "team"
methods = [{ name = "read", share = 1.0 }]
[server]
slots = 16
service_ms = 10.0
[discovery]
delay_ms_least = 10.0
delay_ms_most = 100.0
[settings]
classes = [{ name = "read", credit = 1, onTime = 1.0, deadline = 2.0, idempotency = "free" }]
tariffs = [{ name = "team", perSecond = 100.0, depth = 100.0 }]
[settings.extra]
hasCounter = true
[settings.ceilings]
attemptsCap = 3
"#;

const AGREEMENT: &str = "[agreement]\nlease = 1.0\nclock = 0.1\nvoters = 3\nfile_seconds = 0.5\n";

/// The small scenario with extra text appended.
fn scenario(extra: &str) -> Scenario {
    let text = format!("{SMALL}{extra}");
    Scenario::from_toml(Path::new("small.toml"), &text).unwrap_or_else(|error| panic!("{error}"))
}

fn event(text: &str) -> String {
    format!("[[events]]\n{text}\n")
}

fn churn() -> String {
    event("kind = 'churn'\nat = 1.0\nseconds = 10.0\nevery = 0.5\nfail_share = 0.3\ndrain = 0.5\ndown = 2.0")
}

/// The agreement and one event of every kind.
fn all_features() -> String {
    let events = [
        churn(),
        event("kind = 'rack'\nat = 3.0\nservers = 5\ntold_after = 0.5\ndown = 4.0"),
        event("kind = 'zone_down'\nat = 6.0\nzone = 'b'\ntold_after = 0.5\nseconds = 5.0"),
        event("kind = 'replace'\nat = 2.0\nshare = 0.1\nseconds = 3.0\ndrain = 1.0"),
        event("kind = 'versions'\nat = 1.0\nseconds = 9.0\nevery = 4.5"),
        event("kind = 'region_apart'\nat = 8.0\nregion = 1\nseconds = 3.0"),
        event("kind = 'restart_gateways'\nat = 5.0\nshare = 0.5\ndown = 1.0"),
        event("kind = 'voters_lost'\nat = 9.0\ncount = 2\ndown = 2.0"),
        event("kind = 'agents_lost'\nat = 4.0\nshare = 0.4\nseconds = 3.0"),
        event("kind = 'counter_stalled'\nat = 2.0\nseconds = 1.0"),
    ];
    format!("{AGREEMENT}{}", events.concat())
}

fn tables(extra: &str) -> Tables {
    simulate(&scenario(extra))
}

#[test]
fn same_seed_gives_identical_tables_and_another_seed_different_ones() {
    let first = tables(&all_features()).emulated_tables().unwrap();
    let repeated = tables(&all_features()).emulated_tables().unwrap();
    assert_eq!(first, repeated);
    let mut other = scenario(&all_features());
    other.seed = 8;
    assert_ne!(first, simulate(&other).emulated_tables().unwrap());
}

#[test]
fn list_changes_reach_exactly_the_gateways_that_use_the_service() {
    let tables = tables(&event("kind = 'replace'\nat = 1.0\nshare = 0.5\nseconds = 10.0\ndrain = 1.0"));
    // Each of the 30 replacements is 3 changes: the old server drains, the new one is ready, the old one is
    // gone. 12 gateways use 2 of 6 services each, so 4 gateways use each service.
    assert_eq!(tables.run.list_changes, 90);
    let lists = &tables.propagation[0];
    assert_eq!((lists.what, lists.applied, lists.missing), ("list", 90 * 4, 0));
    assert!(lists.p50_ms >= 10.0 && lists.max_ms <= 101.0, "{lists:?}");
    assert!(tables.run.list_bytes_per_gateway > 0.0);
}

#[test]
fn healthy_fleet_answers_rpcs_and_calls_the_counter() {
    let tables = tables("");
    let run = &tables.run;
    assert!(run.rpcs > 900 && run.rpcs < 1500, "{run:?}");
    assert!(run.ok <= run.rpcs && run.ok + 5 >= run.rpcs, "{run:?}");
    assert!(run.counter_calls > 0 && run.server_peak > 1.0, "{run:?}");
    let counter_rows = tables.traffic.iter().filter(|row| row.peer == "counter");
    assert!(counter_rows.map(|row| row.bytes_per_s).sum::<f64>() > 0.0);
}

#[test]
fn versions_come_into_force_two_leases_after_the_last_machine_has_the_file() {
    let versions = event("kind = 'versions'\nat = 1.0\nseconds = 10.0\nevery = 5.0");
    let tables = tables(&format!("{AGREEMENT}{versions}"));
    let row = &tables.propagation[1];
    assert_eq!((row.what, row.applied, row.missing), ("version", 2 * 12, 0));
    assert!(row.p50_ms >= 2500.0 && row.max_ms < 3500.0, "{row:?}");
    let is_received = |peer, direction| (peer, direction) == ("gateways", "received");
    let received = tables.traffic.iter().find(|row| is_received(row.peer, row.direction)).unwrap();
    // Three voters send every quarter of the 1 s lease, and more often while a version is scheduled.
    assert!(received.messages_per_s > 10.0 && received.messages_per_s < 16.0, "{received:?}");
}

#[test]
fn zone_loss_and_return_take_one_list_object_each_per_gateway() {
    let tables = tables(&event("kind = 'zone_down'\nat = 2.0\nzone = 'c'\ntold_after = 1.0\nseconds = 8.0"));
    assert_eq!(tables.run.list_changes, 2 * 15, "{:?}", tables.run);
    assert_eq!(tables.propagation[0].missing, 0);
    let heartbeat_bytes = 12 * 6;
    let seconds_with_updates = tables.seconds.iter().filter(|second| second.list_bytes > heartbeat_bytes);
    assert_eq!(seconds_with_updates.count(), 2, "list updates in two seconds only");
}

#[test]
fn restarted_gateways_request_the_watch_once_and_continue() {
    let tables = tables(&event("kind = 'restart_gateways'\nat = 5.0\nshare = 0.5\ndown = 1.0"));
    assert_eq!(tables.run.watch_requests, 6, "{:?}", tables.run);
    assert!(tables.run.ok + tables.run.lost + 5 >= tables.run.rpcs, "{:?}", tables.run);
}

#[test]
fn region_receives_missed_list_changes_after_a_partition() {
    let partition = event("kind = 'region_apart'\nat = 2.0\nregion = 1\nseconds = 8.0");
    let tables = tables(&format!("{}{partition}", churn()));
    let lists = &tables.propagation[0];
    assert_eq!(lists.missing, 0, "{lists:?}");
    assert!(lists.max_ms > 3000.0, "{lists:?}");
}

#[test]
fn watches_to_lost_agents_are_retried_until_they_return() {
    let agents_lost = event("kind = 'agents_lost'\nat = 2.0\nshare = 0.34\nseconds = 6.0");
    let tables = tables(&format!("{}{agents_lost}", churn()));
    assert!(tables.run.watches_broken > 4, "{:?}", tables.run);
    assert_eq!(tables.propagation[0].missing, 0, "{:?}", tables.propagation[0]);
}

#[test]
fn invalid_scenarios_are_rejected_with_a_one_line_error_that_names_the_key() {
    let versions = event("kind = 'versions'\nat = 1.0\nseconds = 9.0\nevery = 4.5");
    let bad_event = event("kind = 'rack'\nat = 3.0\nservers = 5\ntold_after = 0.5\ndown = 4.0\nwhat = 1");
    let unknown_zone = event("kind = 'zone_down'\nat = 6.0\nzone = 'z'\ntold_after = 0.5\nseconds = 5.0");
    let ends_late = event("kind = 'counter_stalled'\nat = 19.0\nseconds = 9.0");
    for (original, replacement, expected) in [
        ("gateways = 12", "gateways = 0", "'gateways'"),
        ("gateways = 12", "gateways = 12\nsample = 13", "'sample'"),
        ("servers = 60", "servers = 2000000", "'servers'"),
        ("servers = 60", "servers = -1", "-1"),
        ("services = 6", "services = 61", "'services'"),
        ("services_met = 2", "services_met = 7", "'services_met'"),
        ("regions = 2", "regions = 5", "'regions'"),
        ("rate = 5.0", "rate = -1.0", "'rate'"),
        ("rate = 5.0", "rate = nan", "'rate'"),
        ("width = 3", "width = 13", "'load.width'"),
        ("width = 3", "width = 3\nwidht = 1", "widht"),
        ("plan = \"team\"", "plan = \"none\"", "'load.plan'"),
        ("name = \"read\", share", "name = \"none\", share", "'load.methods'"),
        ("tenants = 50", "tenants = 50\nmemory_mb = 0", "'sample'"),
        ("tenants = 50", "", "tenants"),
        ("[server]", "[[events]]\n[server]", "kind"),
        ("[server]\n", &format!("{versions}[server]\n"), "'events[0]'"),
        ("[server]\n", &format!("{bad_event}[server]\n"), "what"),
        ("[server]\n", &format!("{unknown_zone}[server]\n"), "'events[0].zone'"),
        ("[server]\n", &format!("{ends_late}[server]\n"), "'events[0].seconds'"),
        ("[server]\n", "[agreement]\nlease = 0.1\n[server]\n", "'agreement.lease'"),
    ] {
        let text = SMALL.replacen(original, replacement, 1);
        assert_ne!(text, SMALL, "{original}");
        let error = Scenario::from_toml(Path::new("small.toml"), &text).expect_err(replacement).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{replacement}: {error}");
    }
}

#[test]
fn fleet_that_exceeds_the_memory_limit_is_rejected_with_its_size() {
    let text = SMALL.replace("servers = 60", "servers = 170000").replace("gateways = 12", "gateways = 5800");
    let text = text.replace("services = 6\nservices_met = 2", "services = 1");
    let error = Scenario::from_toml(Path::new("small.toml"), &text).unwrap_err().to_string();
    assert!(error.starts_with("'sample': 5800 gateways with 170000 listed servers each"), "{error}");
}

#[test]
fn command_writes_nothing_for_an_invalid_scenario() {
    let directory = std::env::temp_dir().join(format!("martenramp-hollow-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let (file, out) = (directory.join("bad.toml"), directory.join("out"));
    std::fs::write(&file, SMALL.replace("rate = 5.0", "rate = 5.0\nspeed = 3")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenramp-scale"));
    let output = command.arg("hollow").arg(&file).arg("--out").arg(&out).output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && stderr.contains("speed"), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(!out.exists());
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn shipped_scenarios_load() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/hollow");
    let files = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let scenarios = files.filter(|file| file.extension().is_some_and(|extension| extension == "toml"));
    let loaded: Vec<Scenario> =
        scenarios.map(|file| Scenario::read(&file).unwrap_or_else(|error| panic!("{error}"))).collect();
    assert!(!loaded.is_empty());
}
