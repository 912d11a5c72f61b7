//! Every wait within the process's own life: after SIGTERM the platform kills the process the longest deadline (3 s at
//! most) and 0.7 s later. Whatever it read has its one answer before that, and the process ends by itself.

use standins::scripted::{Client, Peer, Program, entry, rpc, status};
use std::time::{Duration, Instant};

mod support;
use support::{patient_settings, under, watch};

/// Of the time between SIGTERM and SIGKILL, what does not hang on the settings; and the longest deadline that counts.
const KILL_GRACE: Duration = Duration::from_millis(700);
const DEADLINE_MOST: Duration = Duration::from_secs(3);

/// A gateway that was sent SIGTERM.
struct Stopping {
    gateway: Program,
    since: Instant,
    /// When the platform may kill it.
    killed_at: Instant,
}

impl Stopping {
    /// Sends SIGTERM to a gateway whose settings tell this as the longest deadline.
    fn begin(gateway: Program, longest: Duration) -> Stopping {
        gateway.signal("-TERM");
        let since = Instant::now();
        gateway.line("\"stopping\"");
        Stopping { gateway, since, killed_at: since + longest.min(DEADLINE_MOST) + KILL_GRACE }
    }

    /// Waits until so long after SIGTERM: the time itself is what these stories are about.
    fn wait_until(&self, after: Duration) {
        std::thread::sleep((self.since + after).saturating_duration_since(Instant::now()));
    }

    /// The client's whole answer, if it comes before the process may be killed.
    fn answer(&self, client: &mut Client) -> Option<String> {
        client.answer_within(self.killed_at.saturating_duration_since(Instant::now()))
    }

    /// Whether the process ended by itself, with 0, before it may be killed.
    fn ends_by_itself(&mut self) -> bool {
        while Instant::now() < self.killed_at {
            if let Some(how) = self.gateway.ended() {
                return how.success();
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        false
    }
}

/// The operators' settings in the incident: deadlines of 6, 5 and 2.5 s. One attempt an RPC, as when the limit of an
/// attempt is left out because answers are slow.
fn long_deadlines() -> String {
    let told = patient_settings().replace("\"attemptsCap\":2", "\"attemptsCap\":1");
    let told = told.replacen("\"deadline\":3.0", "\"deadline\":6.0", 1);
    let told = told.replacen("\"deadline\":3.0", "\"deadline\":5.0", 1);
    told.replacen("\"deadline\":3.0", "\"deadline\":2.5", 1)
}

/// A server that takes every RPC and says nothing.
fn hangs() -> Peer {
    Peer::new(|_, _| (Vec::new(), false))
}

fn with_id(text: &str, id: u64) -> String {
    text.replace("X-Txn: 0123456789abcdef", &format!("X-Txn: {id:016x}"))
}

#[test]
fn what_is_read_late_in_a_shutdown_has_its_answer_before_the_process_is_killed() {
    let (server, discovery) = (hangs(), watch());
    let gateway = under(&discovery, &[entry("s0", server.address, "ready")], &long_deadlines());
    let mut clients: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    gateway.catch_up(); // they are taken, and have said nothing yet
    let mut stopping = Stopping::begin(gateway, Duration::from_secs(6));
    stopping.wait_until(Duration::from_millis(900));
    for (id, (client, method)) in clients.iter_mut().zip(["read", "submit", "verify"]).enumerate() {
        client.send(&with_id(&rpc(method, 5000), id as u64 + 1));
    }
    let answers: Vec<Option<String>> = clients.iter_mut().map(|client| stopping.answer(client)).collect();
    let statuses: Vec<Option<u16>> = answers.iter().map(|got| got.as_deref().map(status)).collect();
    assert!(statuses.iter().all(Option::is_some), "an answer each: {statuses:?}");
    assert!(matches!(statuses[2], Some(502 | 504)), "it may have run: {statuses:?}");
    drop(clients);
    assert!(stopping.ends_by_itself());
}
