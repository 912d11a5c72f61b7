//! Integration tests of the emulator: determinism, conservation of RPCs, the effect of each fault, and reports.

use lab::policies::PolicyKind;
use lab::record::Record;
use lab::report;
use lab::scenario::{EXAMPLE, Scenario};

/// A larger version of the example scenario, with `extra_toml` (faults, client or network settings) appended.
fn scenario(extra_toml: &str) -> Scenario {
    let text = EXAMPLE.replace("gateways = 2", "gateways = 6").replace("count = 8", "count = 24");
    let text = text.replace("width = 2", "width = 3").replace("seconds = 20.0", "seconds = 30.0");
    Scenario::from_toml(&format!("{text}\n{extra_toml}")).expect("the test scenario is valid")
}

/// The run's table as CSV, to compare runs byte by byte.
fn csv_bytes(record: &Record) -> Vec<u8> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    report::time_rows(record).iter().for_each(|row| writer.serialize(row).unwrap());
    writer.into_inner().unwrap()
}

/// Asserts that every RPC has exactly one outcome and at most one final answer.
fn assert_conserved(record: &Record) {
    let total = record.total;
    assert_eq!(total.arrived, total.resolved() + total.abandoned + total.disconnected, "{total:?}");
    assert_eq!(total.duplicate_answers, 0, "an RPC got two final answers");
}

/// Sums the counts of the time buckets that start in `from..to`, in seconds.
fn counts_between(record: &Record, from: f64, to: f64) -> lab::record::Counts {
    let mut sum = lab::record::Counts::default();
    for row in record.rows.iter().filter(|row| (from..to).contains(&(row.start as f64 / 1e9))) {
        let counts = row.counts;
        sum.arrived += counts.arrived;
        sum.ok += counts.ok;
        sum.rejected += counts.rejected;
        sum.disconnected += counts.disconnected;
        sum.attempts += counts.attempts;
        sum.counter_calls += counts.counter_calls;
        sum.counter_timeouts += counts.counter_timeouts;
    }
    sum
}

/// Client departures, retries, message loss and five kinds of fault in one scenario.
const COMBINED_FAULTS: &str = r#"
[clients]
give_up_share = 0.05
retry_share = 0.5
retries_most = 2
[network]
loss = 0.01
[[troubles]]
kind = "kill"
at = 5.0
share = 0.5
back_after = 1.0
[[troubles]]
kind = "drain"
at = 9.0
share = 0.3
back_after = 1.0
[[troubles]]
kind = "counter_split"
at = 12.0
seconds = 3.0
[[troubles]]
kind = "replace"
at = 16.0
share = 0.5
seconds = 2.0
[[troubles]]
kind = "pause"
at = 20.0
share = 0.5
seconds = 1.0
"#;

#[test]
fn same_scenario_and_seed_produce_identical_tables() {
    let scenario = scenario(COMBINED_FAULTS);
    for kind in PolicyKind::ALL {
        let (first, second) = (
            lab::world::run_scenario(&scenario, kind, None),
            lab::world::run_scenario(&scenario, kind, None),
        );
        assert_eq!(csv_bytes(&first), csv_bytes(&second), "{kind:?}");
        assert_eq!(first.events, second.events);
    }
    let mut reseeded = scenario.clone();
    reseeded.seed += 1;
    let design = lab::world::run_scenario(&scenario, PolicyKind::Design, None);
    assert_ne!(
        csv_bytes(&design),
        csv_bytes(&lab::world::run_scenario(&reseeded, PolicyKind::Design, None)),
        "a different seed must change the random draws"
    );
}

#[test]
fn every_rpc_has_one_outcome_under_combined_faults() {
    let scenario = scenario(COMBINED_FAULTS);
    for kind in PolicyKind::ALL {
        let record = lab::world::run_scenario(&scenario, kind, None);
        assert_conserved(&record);
        assert!(record.total.abandoned > 0 && record.total.disconnected > 0, "{kind:?}: {:?}", record.total);
        if kind == PolicyKind::Design {
            assert_eq!(record.total.lost, 0, "the design must answer every RPC in time: {:?}", record.total);
        }
    }
}

#[test]
fn stalled_counter_answers_no_calls() {
    let record = lab::world::run_scenario(
        &scenario("[[troubles]]\nkind = \"counter_stall\"\nat = 10.0\nseconds = 5.0\n"),
        PolicyKind::Design,
        None,
    );
    let (before, during) = (counts_between(&record, 2.0, 10.0), counts_between(&record, 10.5, 15.0));
    assert!(before.counter_calls > 0 && before.counter_timeouts == 0, "{before:?}");
    assert!(during.counter_timeouts > 0 && during.counter_timeouts == during.counter_calls, "{during:?}");
    assert_conserved(&record);
}

#[test]
fn killed_gateways_accept_no_rpcs_until_restart() {
    let fault = "[[troubles]]\nkind = \"kill\"\nat = 10.0\nshare = 0.7\nback_after = 5.0\n";
    let record = lab::world::run_scenario(&scenario(fault), PolicyKind::Design, None);
    let up = |second: usize| record.rows[second].gateways_up;
    assert_eq!((up(9), up(11), up(16)), (6, 2, 6), "a share of 0.7 of six gateways is four");
    assert!(record.total.disconnected > 0);
    assert_conserved(&record);
}

#[test]
fn zone_outage_causes_attempts_to_be_retried() {
    let fault = "[[troubles]]\nkind = \"zone_down\"\nat = 10.0\nzone = 0\nseconds = 3.0\n";
    let mut scenario = scenario(fault);
    scenario.servers =
        lab::scenario::Servers { zones: 2, cold_seconds: 10.0, cold_share: 0.1, ..scenario.servers };
    let record = lab::world::run_scenario(&scenario, PolicyKind::Design, None);
    let no_fault = lab::world::run_scenario(&without_faults(&scenario), PolicyKind::Design, None);
    let during = counts_between(&record, 10.0, 20.0);
    assert!(
        during.attempts > during.arrived,
        "attempts at the failed zone must end and be retried: {during:?}"
    );
    assert!(
        no_fault.total.attempts <= no_fault.total.arrived,
        "without the outage no RPC needs a second attempt"
    );
    assert_conserved(&record);
}

fn without_faults(scenario: &Scenario) -> Scenario {
    Scenario { faults: Vec::new(), ..scenario.clone() }
}

#[test]
fn partitions_and_message_loss_leave_attempts_and_counter_calls_unanswered() {
    let mut lossy = scenario("[network]\nloss = 0.2\n");
    let plain = lab::world::run_scenario(&lossy, PolicyKind::Plain, None);
    assert!(
        plain.total.rejected > plain.total.arrived / 10,
        "a lost message must leave its attempt without a result, so that the plain policy rejects RPCs"
    );
    let design = lab::world::run_scenario(&lossy, PolicyKind::Design, None);
    let total = design.total;
    assert!(
        total.ok * 10 < total.arrived * 9,
        "losing a fifth of the messages must reduce ok answers: {total:?}"
    );
    assert_conserved(&design);
    lossy.network.loss = 0.0;
    lossy.servers.zones = 2;
    lossy.faults = Scenario::from_toml(&format!(
        "{EXAMPLE}\n[[troubles]]\nkind = \"partition\"\nat = 5.0\nzone = 0\nseconds = 20.0\n"
    ))
    .map(|example| example.faults)
    .unwrap_or_default();
    let partitioned = lab::world::run_scenario(&lossy, PolicyKind::Design, None);
    assert!(
        counts_between(&partitioned, 6.0, 25.0).counter_timeouts > 0,
        "gateways of the partitioned zone must not reach the counter"
    );
    assert_conserved(&partitioned);
}

#[test]
fn slow_and_paused_servers_increase_latency() {
    let no_fault = lab::world::run_scenario(&scenario(""), PolicyKind::Plain, None);
    let slow =
        scenario("[[troubles]]\nkind = \"slow\"\nat = 0.0\nshare = 1.0\nfactor = 10.0\nseconds = 30.0\n");
    let slow = lab::world::run_scenario(&slow, PolicyKind::Plain, None);
    let p50 = |record: &Record| Record::quantile_ms(&record.latency, 0.5);
    assert!(p50(&slow) > 5.0 * p50(&no_fault), "{} against {}", p50(&slow), p50(&no_fault));
    let paused = scenario("[[troubles]]\nkind = \"pause\"\nat = 10.0\nshare = 1.0\nseconds = 0.5\n");
    let paused = lab::world::run_scenario(&paused, PolicyKind::Plain, None);
    assert!(
        Record::quantile_ms(&paused.rows[10].latency, 1.0) >= 400.0,
        "attempts must be held until the pause ends"
    );
}

#[test]
fn bursts_multiply_arrivals_and_retry_storms_conserve_rpcs() {
    let no_fault = lab::world::run_scenario(&scenario(""), PolicyKind::Design, None).total.arrived;
    let burst = scenario("[[troubles]]\nkind = \"burst\"\nat = 0.0\nfactor = 3.0\nseconds = 30.0\n");
    let burst = lab::world::run_scenario(&burst, PolicyKind::Design, None).total.arrived;
    assert!(burst > 2 * no_fault, "{burst} arrivals in the burst, {no_fault} without it");
    let mut storm = scenario("[clients]\nretry_share = 1.0\nretry_at_once = true\nretries_most = 5\n");
    storm.customers[0].load[0].rate = 40.0;
    let record = lab::world::run_scenario(&storm, PolicyKind::Design, None);
    assert!(record.total.rejected > 0);
    assert_conserved(&record);
}

#[test]
fn split_counter_keeps_separate_totals_per_half() {
    let mut counter = lab::counter::Counter::new(true);
    counter.add(0, 0, 1, 10.0, lab::SEC);
    counter.split();
    assert_eq!(counter.add(1, 1, 1, 1.0, lab::SEC), Some(11.0));
    assert_eq!(
        counter.add(1, 2, 1, 1.0, lab::SEC),
        Some(11.0),
        "the other half must not see this half's call"
    );
}

#[test]
fn runs_and_sweeps_write_tables_and_charts() {
    let dir = std::env::temp_dir().join(format!("martenramp-lab-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let text = EXAMPLE.replace("seconds = 20.0", "seconds = 5.0");
    let scenario = Scenario::from_toml(&text).unwrap();
    lab::cli::run(&scenario, &PolicyKind::ALL, &dir).unwrap();
    let charts = report::draw_run_charts(&dir).unwrap();
    assert_eq!(charts.len(), 3);
    assert!(std::fs::read_to_string(&charts[0]).unwrap().starts_with("<svg"));
    let values = ["2".to_string(), "4".to_string()];
    let points = lab::sweep::sweep(&text, "servers.count", &values, &[PolicyKind::Design], |_| {}).unwrap();
    report::write_csv(&dir.join("sweep.csv"), &points).unwrap();
    assert_eq!(lab::sweep::draw_charts(&dir).unwrap().len(), 3);
    let stored: Vec<report::Summary> = report::read_csv(&dir.join("sweep.csv")).unwrap();
    assert_eq!((stored.len(), stored[1].servers, stored[1].value.as_str()), (2, 4, "4"));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn discovery_delay_prolongs_attempts_at_a_failed_zone() {
    let zone_down = "[[troubles]]\nkind = \"zone_down\"\nat = 10.0\nzone = 0\nseconds = 10.0\n";
    let discovery_delay = "[[troubles]]\nkind = \"list_late\"\nat = 5.0\nseconds = 20.0\ndelay_ms = 3000.0\n";
    let two_zones = |mut scenario: Scenario| {
        scenario.servers.zones = 2;
        scenario
    };
    let prompt = lab::world::run_scenario(&two_zones(scenario(zone_down)), PolicyKind::Plain, None);
    let delayed = lab::world::run_scenario(
        &two_zones(scenario(&format!("{zone_down}{discovery_delay}"))),
        PolicyKind::Plain,
        None,
    );
    let (prompt, delayed) = (counts_between(&prompt, 10.0, 13.0), counts_between(&delayed, 10.0, 13.0));
    let extra_attempts = |counts: &lab::record::Counts| counts.attempts - counts.arrived.min(counts.attempts);
    assert!(
        extra_attempts(&delayed) > 2 * extra_attempts(&prompt) + 10,
        "servers that are down must stay listed for 3 s: {delayed:?} with the delay, {prompt:?} without"
    );
}
