//! What a run has against the invariants: the clients' view, the servers' ledgers and the gateways' own logs beside each
//! other. Each violation carries what is needed to follow its RPC.

use crate::fleet::RunResult;
use crate::load_generator::{ClientRpc, RpcOutcome as End};
use crate::scenario::{Fault, Place, Scenario};
use crate::{MS, Nanos, SEC, nanos};
use standins::servers::{Row, RpcOutcome};
use std::collections::BTreeMap;
use std::fmt;

/// No attempt begins so long after its client left, and what the way takes on a busy machine.
const LEFT_GRACE: Nanos = 100 * MS;
const WAY: Nanos = 50 * MS;
/// A server is told at most what is left, with this slack.
const TOLD_SLACK: Nanos = 150 * MS;
/// New work to a server stops so long after its drain was told (`rules.stopSendingWithin`), and when a change of the list
/// counts as told where discovery was in trouble.
const STOP_WITHIN: Nanos = 2 * SEC;
const TOLD_LATEST: Nanos = 6 * SEC;
/// Log lines that are shown of one RPC.
const LINES_SHOWN: usize = 12;

/// Which rule was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An RPC that was taken got no answer.
    Lost,
    /// What may run once ran twice.
    Duplicate,
    /// A client was told that trying again is harmless, though its RPC had run and must not twice.
    FalseRefusal,
    /// New work went to a server that drains or is gone.
    Drain,
    /// An attempt began after its client had left.
    ClientLeft,
    /// A server was told more time than its client had left.
    ToldTime,
    /// A process ended unasked, with an error, or not in its time.
    Process,
    /// A process found one of its own invariants broken.
    Own,
    /// A client got an answer that it had not asked for.
    ExtraAnswer,
}

/// One broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub text: String,
    /// The log lines that name the RPC.
    pub lines: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{:?}: {}", self.rule, self.text)?;
        self.lines.iter().try_for_each(|line| write!(to, "\n    {line}"))
    }
}

/// The sums of what processes said of their own checks as they ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnCounts {
    /// Checks made.
    pub checked: u64,
    /// Breaks that the guard kept from happening.
    pub withheld: u64,
    /// Breaks.
    pub violated: u64,
}

impl OwnCounts {
    /// Adds up the last lines of all processes.
    pub fn of(lines: &[Vec<String>]) -> OwnCounts {
        let ended = lines.iter().flatten().filter(|line| line.contains("\"msg\":\"ended\""));
        ended.fold(OwnCounts::default(), |sum, line| OwnCounts {
            checked: sum.checked + count_of(line, "checked="),
            withheld: sum.withheld + count_of(line, "withheld="),
            violated: sum.violated + count_of(line, "violated="),
        })
    }
}

fn count_of(line: &str, name: &str) -> u64 {
    let digits = line.split(name).nth(1).map(|rest| rest.chars().take_while(char::is_ascii_digit));
    digits.and_then(|digits| digits.collect::<String>().parse().ok()).unwrap_or(0)
}

/// All that a run broke.
pub fn violations(scenario: &Scenario, outcome: &RunResult) -> Vec<Violation> {
    let mut rows: BTreeMap<u64, Vec<&Row>> = BTreeMap::new();
    for row in &outcome.server_rpcs {
        rows.entry(row.txn).or_default().push(row);
    }
    let mut found = processes(outcome);
    for call in outcome.client_rpcs.iter().filter(|call| call.txn != u64::MAX) {
        let at_servers = rows.get(&call.txn).map_or(&[][..], Vec::as_slice);
        found.extend(of_call(scenario, outcome, call, at_servers));
    }
    found.extend(drains(scenario, outcome));
    found
}

fn processes(outcome: &RunResult) -> Vec<Violation> {
    let plain = |rule, text: String| Violation { rule, text, lines: Vec::new() };
    let mut found: Vec<Violation> =
        outcome.crashed.iter().map(|text| plain(Rule::Process, text.clone())).collect();
    let own = outcome.log_lines.iter().flatten().filter(|line| {
        line.contains("\"msg\":\"invariant broken\"") || line.contains("\"msg\":\"refusal withheld\"")
    });
    found.extend(own.map(|line| plain(Rule::Own, line.clone())));
    if outcome.unexpected_answers > 0 {
        found.push(plain(Rule::ExtraAnswer, format!("{} answers", outcome.unexpected_answers)));
    }
    found
}

/// What one RPC shows.
fn of_call(scenario: &Scenario, outcome: &RunResult, call: &ClientRpc, rows: &[&Row]) -> Vec<Violation> {
    let name = &scenario.load.methods[call.method].name;
    let effect = scenario.idempotency(name);
    let deadline = nanos(scenario.deadline(name));
    let ran: Vec<&&Row> = rows.iter().filter(|row| row.outcome != RpcOutcome::TurnedAway).collect();
    let mut found = Vec::new();
    let mut broken = |rule, what: &str| found.push(of_rpc(rule, what, outcome, call, name, rows));
    let ended_badly = matches!(call.outcome, End::Lost | End::Cut | End::Open);
    if ended_badly && !was_killed(outcome, call) && !was_shut_unread(outcome, call, rows) {
        broken(Rule::Lost, &format!("{:?}", call.outcome));
    }
    // What reached a server before its client sent it again had been read, so that its connection was no longer resting.
    let read_before = |row: &&&Row| call.resent_at.is_some_and(|crossed| row.first_byte_at + WAY < crossed);
    if rows.iter().find(read_before).is_some() && !was_killed(outcome, call) && !any_link(scenario, rows) {
        broken(Rule::Lost, "read, and its connection ended");
    }
    if effect == "single_shot" && ran.len() > 1 {
        broken(Rule::Duplicate, "ran more than once");
    }
    if effect == "single_shot" && call.outcome == End::PushedBack && !ran.is_empty() {
        broken(Rule::FalseRefusal, "refused, though it may have run");
    }
    let late = |row: &&&Row| {
        call.outcome == End::Left
            && !behind_a_link(scenario, row)
            && row.first_byte_at > call.ended_at + LEFT_GRACE + WAY
    };
    if let Some(row) = rows.iter().find(late) {
        broken(
            Rule::ClientLeft,
            &format!("sent {} ms after its client left", (row.first_byte_at - call.ended_at) / MS),
        );
    }
    let left = |row: &Row| (call.sent_at + deadline).saturating_sub(row.first_byte_at);
    let told = |row: &Row| row.remaining_ms.unwrap_or(0) * MS;
    if let Some(row) =
        rows.iter().find(|row| !behind_a_link(scenario, row) && told(row) > left(row) + TOLD_SLACK)
    {
        broken(Rule::ToldTime, &format!("{} ms told, {} left", told(row) / MS, left(row) / MS));
    }
    found
}

/// Whether a link that holds bytes back stands before a server: what it got says nothing of when it was sent.
fn behind_a_link(scenario: &Scenario, row: &Row) -> bool {
    let covers = |fault: &Fault| match fault {
        Fault::Link { to, .. } => {
            matches!(Place::parse(to), Ok(Place::Servers(range)) if range.contains(&(row.server as usize)))
        }
        _ => false,
    };
    scenario.faults.iter().any(covers)
}

/// Whether a crowd's gateway shut a new connection with nothing read from it: no server and no log line knows the RPC.
fn was_shut_unread(outcome: &RunResult, call: &ClientRpc, rows: &[&Row]) -> bool {
    let id = format!("{:016x}", call.txn);
    call.outcome == End::Cut
        && call.during_connection_flood
        && rows.is_empty()
        && !outcome.log_lines.iter().flatten().any(|line| line.contains(&id))
}

/// Whether a link stands before one of these servers.
fn any_link(scenario: &Scenario, rows: &[&Row]) -> bool {
    rows.iter().any(|row| behind_a_link(scenario, row))
}

/// Whether a fault killed the gateway while it had the RPC.
fn was_killed(outcome: &RunResult, call: &ClientRpc) -> bool {
    let until = if call.outcome == End::Open { Nanos::MAX } else { call.ended_at };
    outcome.killed.iter().any(|(gateway, at)| *gateway == call.gateway && *at >= call.sent_at && *at <= until)
}

fn of_rpc(
    rule: Rule,
    what: &str,
    outcome: &RunResult,
    call: &ClientRpc,
    method: &str,
    rows: &[&Row],
) -> Violation {
    let ms = |at: Nanos| at / MS;
    let servers: Vec<String> = rows
        .iter()
        .map(|row| {
            format!(
                "s{:04} at {} to {} {:?}",
                row.server,
                ms(row.first_byte_at),
                ms(row.finished_at),
                row.outcome
            )
        })
        .collect();
    let text = format!(
        "{what}; {method} {:016x} to n{} sent {}{} ended {} {:?}; servers: [{}]",
        call.txn,
        call.gateway,
        ms(call.sent_at),
        call.resent_at.map_or(String::new(), |at| format!(" and again {}", ms(at))),
        ms(call.ended_at),
        call.outcome,
        servers.join(", ")
    );
    let id = format!("{:016x}", call.txn);
    let lines = outcome.log_lines.iter().flatten().filter(|line| line.contains(&id));
    Violation { rule, text, lines: lines.take(LINES_SHOWN).cloned().collect() }
}

/// New work to servers whose drain had been told.
fn drains(scenario: &Scenario, outcome: &RunResult) -> Vec<Violation> {
    let in_trouble = |fault: &Fault| {
        matches!(fault, Fault::DiscoveryDown { .. } | Fault::ListLate { .. } | Fault::Pause { .. })
    };
    let told_within = if scenario.faults.iter().any(in_trouble) { TOLD_LATEST } else { 0 };
    let mut found = Vec::new();
    for row in outcome.server_rpcs.iter().filter(|row| !behind_a_link(scenario, row)) {
        let mut before = outcome.list_changes.iter().filter(|change| change.server == row.server as usize);
        let last = before.rfind(|change| change.at <= row.first_byte_at);
        let Some(change) = last.filter(|change| !change.ready) else { continue };
        let since = row.first_byte_at - change.at;
        if since > STOP_WITHIN + told_within + WAY {
            let text = format!(
                "s{:04} got {:016x} from n{} {} ms after its drain was listed",
                row.server,
                row.txn,
                row.gateway(),
                since / MS
            );
            found.push(Violation { rule: Rule::Drain, text, lines: Vec::new() });
        }
    }
    found
}
