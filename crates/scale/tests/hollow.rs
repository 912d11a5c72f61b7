//! The hollow fleet: deterministic by seed, changes reach those whom they concern, and bad scenarios are refused whole.

use scale::hollow::{Scenario, Tables, play};
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

/// The small scenario with more behind it.
fn scenario(more: &str) -> Scenario {
    let text = format!("{SMALL}{more}");
    Scenario::from_toml(Path::new("small.toml"), &text).unwrap_or_else(|why| panic!("{why}"))
}

fn event(text: &str) -> String {
    format!("[[events]]\n{text}\n")
}

fn churn() -> String {
    event("kind = 'churn'\nat = 1.0\nseconds = 10.0\nevery = 0.5\nfail_share = 0.3\ndrain = 0.5\ndown = 2.0")
}

/// Everything that a scenario can hold at once.
fn everything() -> String {
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

fn tables(more: &str) -> Tables {
    play(&scenario(more))
}

#[test]
fn the_same_seed_gives_the_same_tables_byte_for_byte_and_another_gives_others() {
    let first = tables(&everything()).emulated_tables().unwrap();
    let again = tables(&everything()).emulated_tables().unwrap();
    assert_eq!(first, again);
    let mut other = scenario(&everything());
    other.seed = 8;
    assert_ne!(first, play(&other).emulated_tables().unwrap());
}

#[test]
fn every_change_of_the_list_comes_to_all_gateways_that_meet_its_service_and_to_no_other() {
    let tables = tables(&event("kind = 'replace'\nat = 1.0\nshare = 0.5\nseconds = 10.0\ndrain = 1.0"));
    // 30 servers replaced: draining, the new one, gone; 12 gateways meet 2 of 6 services each, so 4 meet each service.
    assert_eq!(tables.run.list_changes, 90);
    let lists = &tables.propagation[0];
    assert_eq!((lists.what, lists.applied, lists.missing), ("list", 90 * 4, 0));
    assert!(lists.p50_ms >= 10.0 && lists.max_ms <= 101.0, "{lists:?}");
    assert!(tables.run.list_bytes_per_gateway > 0.0);
}

#[test]
fn most_rpcs_of_a_healthy_fleet_are_answered_and_the_counter_is_asked() {
    let tables = tables("");
    let run = &tables.run;
    assert!(run.rpcs > 900 && run.rpcs < 1500, "{run:?}");
    assert!(run.ok <= run.rpcs && run.ok + 5 >= run.rpcs, "{run:?}");
    assert!(run.counter_calls > 0 && run.server_peak > 1.0, "{run:?}");
    let of_counter = tables.traffic.iter().filter(|row| row.peer == "counter");
    assert!(of_counter.map(|row| row.bytes_per_s).sum::<f64>() > 0.0);
}

#[test]
fn versions_come_into_force_everywhere_two_leases_after_the_last_machine_has_them() {
    let versions = event("kind = 'versions'\nat = 1.0\nseconds = 10.0\nevery = 5.0");
    let tables = tables(&format!("{AGREEMENT}{versions}"));
    let row = &tables.propagation[1];
    assert_eq!((row.what, row.applied, row.missing), ("version", 2 * 12, 0));
    assert!(row.p50_ms >= 2500.0 && row.max_ms < 3500.0, "{row:?}");
    let is_heard = |peer, direction| (peer, direction) == ("gateways", "received");
    let heard = tables.traffic.iter().find(|row| is_heard(row.peer, row.direction)).unwrap();
    // Three voters speak every quarter of a lease of 1 s, and more while a version waits.
    assert!(heard.messages_per_s > 10.0 && heard.messages_per_s < 16.0, "{heard:?}");
}

#[test]
fn a_lost_zone_is_told_in_one_line_to_each_gateway_and_its_return_in_another() {
    let tables = tables(&event("kind = 'zone_down'\nat = 2.0\nzone = 'c'\ntold_after = 1.0\nseconds = 8.0"));
    assert_eq!(tables.run.list_changes, 2 * 15, "{:?}", tables.run);
    assert_eq!(tables.propagation[0].missing, 0);
    let heartbeats_of_all = 12 * 6;
    let more = tables.seconds.iter().filter(|second| second.list_bytes > heartbeats_of_all);
    assert_eq!(more.count(), 2, "lines beside heartbeats in two seconds only");
}

#[test]
fn gateways_that_start_again_ask_for_the_list_once_each_and_go_on() {
    let tables = tables(&event("kind = 'restart_gateways'\nat = 5.0\nshare = 0.5\ndown = 1.0"));
    assert_eq!(tables.run.watch_requests, 6, "{:?}", tables.run);
    assert!(tables.run.ok + tables.run.lost + 5 >= tables.run.rpcs, "{:?}", tables.run);
}

#[test]
fn a_region_that_was_apart_hears_all_that_it_missed() {
    let apart = event("kind = 'region_apart'\nat = 2.0\nregion = 1\nseconds = 8.0");
    let tables = tables(&format!("{}{apart}", churn()));
    let lists = &tables.propagation[0];
    assert_eq!(lists.missing, 0, "{lists:?}");
    assert!(lists.max_ms > 3000.0, "{lists:?}");
}

#[test]
fn lost_agents_are_asked_again_until_they_are_back() {
    let lost = event("kind = 'agents_lost'\nat = 2.0\nshare = 0.34\nseconds = 6.0");
    let tables = tables(&format!("{}{lost}", churn()));
    assert!(tables.run.watches_broken > 4, "{:?}", tables.run);
    assert_eq!(tables.propagation[0].missing, 0, "{:?}", tables.propagation[0]);
}

#[test]
fn what_is_wrong_is_named_in_one_line() {
    let versions = event("kind = 'versions'\nat = 1.0\nseconds = 9.0\nevery = 4.5");
    let bad_event = event("kind = 'rack'\nat = 3.0\nservers = 5\ntold_after = 0.5\ndown = 4.0\nwhat = 1");
    let zone = event("kind = 'zone_down'\nat = 6.0\nzone = 'z'\ntold_after = 0.5\nseconds = 5.0");
    let late = event("kind = 'counter_stalled'\nat = 19.0\nseconds = 9.0");
    for (was, is, named) in [
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
        ("[server]\n", &format!("{zone}[server]\n"), "'events[0].zone'"),
        ("[server]\n", &format!("{late}[server]\n"), "'events[0].seconds'"),
        ("[server]\n", "[agreement]\nlease = 0.1\n[server]\n", "'agreement.lease'"),
    ] {
        let text = SMALL.replacen(was, is, 1);
        assert_ne!(text, SMALL, "{was}");
        let why = Scenario::from_toml(Path::new("small.toml"), &text).expect_err(is).to_string();
        assert!(why.contains(named) && !why.contains('\n'), "{is}: {why}");
    }
}

#[test]
fn a_fleet_that_does_not_fit_the_memory_is_refused_with_what_it_would_take() {
    let text = SMALL.replace("servers = 60", "servers = 170000").replace("gateways = 12", "gateways = 5800");
    let text = text.replace("services = 6\nservices_met = 2", "services = 1");
    let why = Scenario::from_toml(Path::new("small.toml"), &text).unwrap_err().to_string();
    assert!(why.starts_with("'sample': 5800 gateways with 170000 listed servers each"), "{why}");
}

#[test]
fn the_command_takes_nothing_of_a_bad_scenario() {
    let folder = std::env::temp_dir().join(format!("martenramp-hollow-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (file, out) = (folder.join("bad.toml"), folder.join("out"));
    std::fs::write(&file, SMALL.replace("rate = 5.0", "rate = 5.0\nspeed = 3")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenramp-scale"));
    let ended = command.arg("hollow").arg(&file).arg("--out").arg(&out).output().unwrap();
    let said = String::from_utf8(ended.stderr).unwrap();
    assert!(!ended.status.success() && said.contains("speed"), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
    assert!(!out.exists());
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn shipped_scenarios_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/hollow");
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let scenarios = files.filter(|file| file.extension().is_some_and(|kind| kind == "toml"));
    let read: Vec<Scenario> =
        scenarios.map(|file| Scenario::read(&file).unwrap_or_else(|why| panic!("{why}"))).collect();
    assert!(!read.is_empty());
}
