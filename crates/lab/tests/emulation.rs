//! Stories of the lab: determinism, conservation, and for each model a play that shows its failure happens.

use lab::policies::PolicyKind;
use lab::record::Record;
use lab::report;
use lab::scenario::{EXAMPLE, Scenario};

/// The example grown a little, with troubles laid on as TOML.
fn scenario(troubles: &str) -> Scenario {
    let text = EXAMPLE.replace("gateways = 2", "gateways = 6").replace("count = 8", "count = 24");
    let text = text.replace("width = 2", "width = 3").replace("seconds = 20.0", "seconds = 30.0");
    Scenario::from_toml(&format!("{text}\n{troubles}")).expect("the story's scenario reads")
}

fn csv_of(record: &Record) -> Vec<u8> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    report::time_rows(record).iter().for_each(|row| writer.serialize(row).unwrap());
    writer.into_inner().unwrap()
}

/// Every RPC ends in exactly one way, and none gets two final answers.
fn conserved(record: &Record) {
    let total = record.total;
    assert_eq!(total.arrived, total.resolved() + total.abandoned + total.disconnected, "{total:?}");
    assert_eq!(total.duplicate_answers, 0, "an RPC got two final answers");
}

fn rows_between(record: &Record, from: f64, to: f64) -> lab::record::Counts {
    let mut sum = lab::record::Counts::default();
    for row in record.rows.iter().filter(|row| (from..to).contains(&(row.start as f64 / 1e9))) {
        let c = row.counts;
        sum.arrived += c.arrived;
        sum.ok += c.ok;
        sum.rejected += c.rejected;
        sum.disconnected += c.disconnected;
        sum.attempts += c.attempts;
        sum.counter_calls += c.counter_calls;
        sum.counter_timeouts += c.counter_timeouts;
    }
    sum
}

const ALL_TROUBLES: &str = r#"
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
fn the_same_scenario_and_seed_give_the_same_bytes() {
    let scenario = scenario(ALL_TROUBLES);
    for kind in PolicyKind::ALL {
        let (first, second) = (
            lab::world::run_scenario(&scenario, kind, None),
            lab::world::run_scenario(&scenario, kind, None),
        );
        assert_eq!(csv_of(&first), csv_of(&second), "{kind:?}");
        assert_eq!(first.events, second.events);
    }
    let mut other = scenario.clone();
    other.seed += 1;
    let design = lab::world::run_scenario(&scenario, PolicyKind::Design, None);
    assert_ne!(
        csv_of(&design),
        csv_of(&lab::world::run_scenario(&other, PolicyKind::Design, None)),
        "the seed moves the draws"
    );
}

#[test]
fn every_rpc_ends_once_under_every_trouble() {
    let scenario = scenario(ALL_TROUBLES);
    for kind in PolicyKind::ALL {
        let record = lab::world::run_scenario(&scenario, kind, None);
        conserved(&record);
        assert!(record.total.abandoned > 0 && record.total.disconnected > 0, "{kind:?}: {:?}", record.total);
        if kind == PolicyKind::Design {
            assert_eq!(record.total.lost, 0, "the module gives up on time: {:?}", record.total);
        }
    }
}

#[test]
fn a_stalled_counter_answers_nothing() {
    let record = lab::world::run_scenario(
        &scenario("[[troubles]]\nkind = \"counter_stall\"\nat = 10.0\nseconds = 5.0\n"),
        PolicyKind::Design,
        None,
    );
    let (before, during) = (rows_between(&record, 2.0, 10.0), rows_between(&record, 10.5, 15.0));
    assert!(before.counter_calls > 0 && before.counter_timeouts == 0, "{before:?}");
    assert!(during.counter_timeouts > 0 && during.counter_timeouts == during.counter_calls, "{during:?}");
    conserved(&record);
}

#[test]
fn killed_gateways_take_no_rpcs_until_they_start_again() {
    let troubles = "[[troubles]]\nkind = \"kill\"\nat = 10.0\nshare = 0.7\nback_after = 5.0\n";
    let record = lab::world::run_scenario(&scenario(troubles), PolicyKind::Design, None);
    let up = |second: usize| record.rows[second].gateways_up;
    assert_eq!((up(9), up(11), up(16)), (6, 2, 6), "seven in ten of six gateways are four");
    assert!(record.total.disconnected > 0);
    conserved(&record);
}

#[test]
fn a_lost_zone_ends_call_outs_and_comes_back_cold() {
    let troubles = "[[troubles]]\nkind = \"zone_down\"\nat = 10.0\nzone = 0\nseconds = 3.0\n";
    let mut scenario = scenario(troubles);
    scenario.servers =
        lab::scenario::Servers { zones: 2, cold_seconds: 10.0, cold_share: 0.1, ..scenario.servers };
    let record = lab::world::run_scenario(&scenario, PolicyKind::Design, None);
    let calm = lab::world::run_scenario(&scenario_without_troubles(&scenario), PolicyKind::Design, None);
    let hit = rows_between(&record, 10.0, 20.0);
    assert!(hit.attempts > hit.arrived, "call-outs to the lost zone end and are tried again: {hit:?}");
    assert!(calm.total.attempts <= calm.total.arrived, "without the loss none takes more than one");
    conserved(&record);
}

fn scenario_without_troubles(scenario: &Scenario) -> Scenario {
    Scenario { faults: Vec::new(), ..scenario.clone() }
}

#[test]
fn a_partition_and_a_lossy_network_end_call_outs_without_answers() {
    let mut lossy = scenario("[network]\nloss = 0.2\n");
    let plain = lab::world::run_scenario(&lossy, PolicyKind::Plain, None);
    assert!(
        plain.total.rejected > plain.total.arrived / 10,
        "a lost message leaves its call-out without end"
    );
    let design = lab::world::run_scenario(&lossy, PolicyKind::Design, None);
    let total = design.total;
    assert!(total.ok * 10 < total.arrived * 9, "a fifth of the messages lost: {total:?}");
    conserved(&design);
    lossy.network.loss = 0.0;
    lossy.servers.zones = 2;
    lossy.faults = Scenario::from_toml(&format!(
        "{EXAMPLE}\n[[troubles]]\nkind = \"partition\"\nat = 5.0\nzone = 0\nseconds = 20.0\n"
    ))
    .map(|example| example.faults)
    .unwrap_or_default();
    let cut = lab::world::run_scenario(&lossy, PolicyKind::Design, None);
    assert!(
        rows_between(&cut, 6.0, 25.0).counter_timeouts > 0,
        "the cut-off zone's gateways reach no counter"
    );
    conserved(&cut);
}

#[test]
fn slow_and_paused_servers_show_in_latency() {
    let calm = lab::world::run_scenario(&scenario(""), PolicyKind::Plain, None);
    let slow =
        scenario("[[troubles]]\nkind = \"slow\"\nat = 0.0\nshare = 1.0\nfactor = 10.0\nseconds = 30.0\n");
    let slow = lab::world::run_scenario(&slow, PolicyKind::Plain, None);
    let p50 = |record: &Record| Record::quantile_ms(&record.latency, 0.5);
    assert!(p50(&slow) > 5.0 * p50(&calm), "{} against {}", p50(&slow), p50(&calm));
    let paused = scenario("[[troubles]]\nkind = \"pause\"\nat = 10.0\nshare = 1.0\nseconds = 0.5\n");
    let paused = lab::world::run_scenario(&paused, PolicyKind::Plain, None);
    assert!(Record::quantile_ms(&paused.rows[10].latency, 1.0) >= 400.0, "held through the pause");
}

#[test]
fn bursts_and_retry_storms_bring_more_rpcs() {
    let calm = lab::world::run_scenario(&scenario(""), PolicyKind::Design, None).total.arrived;
    let burst = scenario("[[troubles]]\nkind = \"burst\"\nat = 0.0\nfactor = 3.0\nseconds = 30.0\n");
    let burst = lab::world::run_scenario(&burst, PolicyKind::Design, None).total.arrived;
    assert!(burst > 2 * calm, "{burst} against {calm}");
    let mut storm = scenario("[clients]\nretry_share = 1.0\nretry_at_once = true\nretries_most = 5\n");
    storm.customers[0].load[0].rate = 40.0;
    let record = lab::world::run_scenario(&storm, PolicyKind::Design, None);
    assert!(record.total.rejected > 0);
    conserved(&record);
}

#[test]
fn a_split_counter_lets_each_half_count_alone() {
    let mut counter = lab::counter::Counter::new(true);
    counter.add(0, 0, 1, 10.0, lab::SEC);
    counter.split();
    assert_eq!(counter.add(1, 1, 1, 1.0, lab::SEC), Some(11.0));
    assert_eq!(counter.add(1, 2, 1, 1.0, lab::SEC), Some(11.0), "the other half does not see that add");
}

#[test]
fn a_sweep_and_a_run_are_kept_as_tables_and_drawn_from_them() {
    let dir = std::env::temp_dir().join(format!("martenramp-lab-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let text = EXAMPLE.replace("seconds = 20.0", "seconds = 5.0");
    let scenario = Scenario::from_toml(&text).unwrap();
    lab::cli::run(&scenario, &PolicyKind::ALL, &dir).unwrap();
    let drawn = report::draw_run_charts(&dir).unwrap();
    assert_eq!(drawn.len(), 3);
    assert!(std::fs::read_to_string(&drawn[0]).unwrap().starts_with("<svg"));
    let values = ["2".to_string(), "4".to_string()];
    let points = lab::sweep::sweep(&text, "servers.count", &values, &[PolicyKind::Design], |_| {}).unwrap();
    report::write_csv(&dir.join("sweep.csv"), &points).unwrap();
    assert_eq!(lab::sweep::draw_charts(&dir).unwrap().len(), 3);
    let kept: Vec<report::Summary> = report::read_csv(&dir.join("sweep.csv")).unwrap();
    assert_eq!((kept.len(), kept[1].servers, kept[1].value.as_str()), (2, 4, "4"));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn a_late_list_keeps_call_outs_going_to_a_lost_zone() {
    let lost = "[[troubles]]\nkind = \"zone_down\"\nat = 10.0\nzone = 0\nseconds = 10.0\n";
    let late = "[[troubles]]\nkind = \"list_late\"\nat = 5.0\nseconds = 20.0\ndelay_ms = 3000.0\n";
    let two_zones = |mut scenario: Scenario| {
        scenario.servers.zones = 2;
        scenario
    };
    let prompt = lab::world::run_scenario(&two_zones(scenario(lost)), PolicyKind::Plain, None);
    let slow =
        lab::world::run_scenario(&two_zones(scenario(&format!("{lost}{late}"))), PolicyKind::Plain, None);
    let (prompt, slow) = (rows_between(&prompt, 10.0, 13.0), rows_between(&slow, 10.0, 13.0));
    let extra = |counts: &lab::record::Counts| counts.attempts - counts.arrived.min(counts.attempts);
    assert!(
        extra(&slow) > 2 * extra(&prompt) + 10,
        "the gone servers stay listed for 3 s: {slow:?} against {prompt:?}"
    );
}
