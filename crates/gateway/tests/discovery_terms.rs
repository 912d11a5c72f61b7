//! Requirements of the operators for times when discovery is unreachable and when it returns: a
//! change counts as announced within a time limit however earlier requests ended, idle clients
//! leave the descriptors that everything else needs, and a fleet that starts is ready in time. Each
//! test causes its fault deterministically. `docs/races.md` lists the time windows.

use standins::scripted::{
    Client, Peer, Program, RefusingPeer, Reply, WATCH_HEAD, answer, chunk, entry, list, raw_reply, rpc,
    settings, status,
};
use std::collections::BTreeSet;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");
const READY_REQUEST: &str = "GET /-/ready HTTP/1.1\r\n\r\n";
const HEALTH_REQUEST: &str = "GET /-/healthy HTTP/1.1\r\n\r\n";
/// A chunk with an empty line, which discovery sends on a watch while nothing changes.
const EMPTY_LINE_CHUNK: &str = "1\r\n\n\r\n";

/// The start of a response whose first header line never ends.
const ENDLESS_HEADER: &str = "HTTP/1.1 200 OK\r\nX-Note: ";

/// A change counts as announced this long after discovery had it and was reachable.
const ANNOUNCED_WITHIN: Duration = Duration::from_secs(6);
/// What an open watch would have announced counts at once; new work must stop within this time
/// after that.
const STOP_WITHIN: Duration = Duration::from_secs(2);
/// Time limits for becoming ready: of nine in ten gateways (as required for short days), and of all
/// gateways.
const READY_LIMIT_P90: Duration = Duration::from_secs(6);
const READY_LIMIT_ALL: Duration = Duration::from_secs(30);

/// Requests that fail before the one under test: by then the retry delays have grown to their
/// maximum.
const FAILED_REQUESTS: usize = 3;

/// Settings of a fleet so large that its retry delays are the longest. Lists are requested from
/// discovery, not pushed.
fn large_fleet_settings() -> String {
    settings("").replace("\"balancers\":2", "\"balancers\":300")
}

/// The same settings, with lists pushed by discovery.
fn push_settings() -> String {
    large_fleet_settings().replacen('{', "{\"membershipMode\":\"push\",", 1)
}

/// Runs a test against several gateways at the same time, each with its own seed, so that both
/// short and long retry delays are drawn.
fn run_with_several_seeds(test: impl Fn(u64, &str) + Sync) {
    let (large_fleet, push_settings, test) = (large_fleet_settings(), push_settings(), &test);
    std::thread::scope(|scope| {
        for seed in 1..=8 {
            let settings = if seed <= 6 { &large_fleet } else { &push_settings };
            scope.spawn(move || test(seed, settings));
        }
    });
}

/// Configuration with the list that a gateway starts on.
fn known_list(servers: &[(&str, &Peer)]) -> String {
    let entries: Vec<String> =
        servers.iter().map(|(name, server)| entry(name, server.address, "ready")).collect();
    format!("\"known\":{},", list(3, true, &entries))
}

fn server() -> Peer {
    Peer::new(|_, _| answer(200, "", "ok"))
}

/// The reply to a request: a watch that immediately announces that the server drains.
fn drain_reply(server: &Peer) -> Reply {
    let change = chunk(&list(4, false, &[entry("s0", server.address, "draining")]));
    raw_reply(&format!("{WATCH_HEAD}{change}"))
}

/// Asserts that the announcement of a drain arrived within a time limit after discovery became
/// reachable, and that the server gets no new work although it is up.
fn assert_drain_applied(gateway: &Program, server: &Peer, reachable_since: Instant, within: Duration) {
    let elapsed = reachable_since.elapsed();
    assert!(
        elapsed < within,
        "announced {elapsed:?} after discovery was reachable: {:#?}",
        gateway.new_lines()
    );
    gateway.wait_until_processed();
    let response = gateway.client().ask(&rpc("read", 300));
    assert!(matches!(status(&response), 429 | 503), "{response}");
    assert!(server.nothing_received(), "new work went to a draining server");
}

// ---- Announcement: changes are known 6 s after discovery is reachable, however requests ended before.

#[test]
fn a_drain_made_while_discovery_refused_connections_applies_within_6_s_of_its_return() {
    run_with_several_seeds(|seed, settings| {
        let (server, down) = (server(), RefusingPeer::default());
        let gateway =
            Program::start_seeded(BIN, seed, down.address, &known_list(&[("s0", &server)]), settings);
        assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200);
        server.next();
        (0..FAILED_REQUESTS).for_each(|_| drop(gateway.wait_for_line("\"refused\"")));
        let (reply, reachable_since) = (drain_reply(&server), Instant::now());
        let discovery = down.open(move |_, _| reply.clone());
        assert!(discovery.next().1.contains("from=3"));
        assert_drain_applied(&gateway, &server, reachable_since, ANNOUNCED_WITHIN);
    });
}

/// The first requests get the given reply. All later ones get a watch that announces a drain, which
/// was made right after the last failed request, when discovery worked again.
fn assert_drain_applied_after_failed_requests(
    failed_reply: impl Fn() -> Reply + Copy + Send + Sync + 'static,
) {
    run_with_several_seeds(|seed, settings| {
        let server = server();
        let reply = drain_reply(&server);
        let discovery =
            Peer::new(move |number, _| if number < FAILED_REQUESTS { failed_reply() } else { reply.clone() });
        let known_list = known_list(&[("s0", &server)]);
        let gateway = Program::start_seeded(BIN, seed, discovery.address, &known_list, settings);
        (0..FAILED_REQUESTS).for_each(|_| drop(discovery.next()));
        let reachable_since = Instant::now();
        assert_eq!(discovery.next().0, FAILED_REQUESTS);
        assert_drain_applied(&gateway, &server, reachable_since, ANNOUNCED_WITHIN);
    });
}

#[test]
fn a_drain_made_while_discovery_responded_with_errors_applies_within_6_s() {
    assert_drain_applied_after_failed_requests(|| answer(503, "", "not now"));
}

#[test]
fn a_drain_made_while_discovery_never_responded_applies_within_6_s() {
    assert_drain_applied_after_failed_requests(|| (Vec::new(), false));
}

#[test]
fn a_drain_made_while_discovery_closed_each_watch_without_a_list_applies_within_6_s() {
    assert_drain_applied_after_failed_requests(|| (WATCH_HEAD.as_bytes().to_vec(), true));
}

#[test]
fn a_watch_closed_without_a_change_is_reopened_at_once_though_earlier_requests_failed() {
    run_with_several_seeds(|seed, settings| {
        let server = server();
        let reply = drain_reply(&server);
        let discovery = Peer::new(move |number, _| match number {
            _ if number < FAILED_REQUESTS => answer(503, "", "not now"),
            FAILED_REQUESTS => raw_reply(&format!("{WATCH_HEAD}{EMPTY_LINE_CHUNK}")),
            _ => reply.clone(),
        });
        let known_list = known_list(&[("s0", &server)]);
        let gateway = Program::start_seeded(BIN, seed, discovery.address, &known_list, settings);
        (0..=FAILED_REQUESTS).for_each(|_| drop(discovery.next()));
        gateway.wait_for_line("\"watching\"");
        gateway.wait_until_processed();
        let closed_at = Instant::now();
        discovery.close(FAILED_REQUESTS);
        assert_eq!(discovery.next().0, FAILED_REQUESTS + 1);
        assert_drain_applied(&gateway, &server, closed_at, STOP_WITHIN);
    });
}

#[test]
fn a_watch_whose_response_header_never_ends_is_abandoned() {
    run_with_several_seeds(|seed, settings| {
        let server = server();
        let reply = drain_reply(&server);
        let discovery =
            Peer::new(move |number, _| if number == 0 { raw_reply(ENDLESS_HEADER) } else { reply.clone() });
        let known_list = known_list(&[("s0", &server)]);
        let gateway = Program::start_seeded(BIN, seed, discovery.address, &known_list, settings);
        discovery.next();
        let requested_at = Instant::now();
        while discovery.nothing_received() {
            assert!(
                requested_at.elapsed() < ANNOUNCED_WITHIN,
                "single bytes keep a request open that never gets a response"
            );
            discovery.try_write(0, "0");
            std::thread::sleep(Duration::from_millis(50)); // the test depends on this interval
        }
        assert_drain_applied(&gateway, &server, requested_at, ANNOUNCED_WITHIN);
    });
}

#[test]
fn a_server_missing_from_the_first_snapshot_gets_nothing_new_though_it_responds() {
    run_with_several_seeds(|seed, settings| {
        let left_out = Peer::new(|_, _| answer(200, "", "left-out"));
        let stays = Peer::new(|_, _| answer(200, "", "stays"));
        let down = RefusingPeer::default();
        let known_list = known_list(&[("s0", &left_out)]);
        let gateway = Program::start_seeded(BIN, seed, down.address, &known_list, settings);
        assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("left-out"));
        left_out.next();
        let snapshot = chunk(&list(4, true, &[entry("s1", stays.address, "ready")]));
        let reachable_since = Instant::now();
        let discovery = down.open(move |_, _| raw_reply(&format!("{WATCH_HEAD}{snapshot}")));
        discovery.next();
        assert!(reachable_since.elapsed() < ANNOUNCED_WITHIN);
        gateway.wait_until_processed();
        for _ in 0..20 {
            assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("stays"));
        }
        assert!(left_out.nothing_received());
    });
}

// ---- Descriptors: idle clients hold no more than their share, and everything else has what it needs.

/// Connects far more clients than there are descriptors. Each is served once and then stays idle.
fn connect_idle_clients(gateway: &Program) -> Vec<Client> {
    let served = |_| {
        let mut client = gateway.client();
        assert_eq!(status(&client.ask(HEALTH_REQUEST)), 200, "a new client must be served");
        client
    };
    (0..60).map(served).collect()
}

/// An RPC of a customer whose quota is charged through the counter.
fn rpc_using_counter() -> String {
    rpc("read", 15_000).replace("spread=1", "spread=2")
}

/// Connects the same clients and sends an RPC on the newest connection. The connection to the
/// server that it needs takes the descriptor that accepting leaves free, unless another limit on
/// descriptors applies first.
fn connect_idle_clients_and_send(gateway: &Program) -> Vec<Client> {
    let mut idle_clients = connect_idle_clients(gateway);
    let newest_client = idle_clients.last_mut().expect("no idle clients");
    assert_eq!(status(&newest_client.ask(&rpc_using_counter())), 200);
    idle_clients
}

/// The numbers of the descriptors that a process has open.
fn open_descriptors(gateway: &Program) -> BTreeSet<usize> {
    let entries = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).unwrap();
    entries.map(|descriptor| descriptor.unwrap().file_name().to_str().unwrap().parse().unwrap()).collect()
}

/// Runs the program under a limit on descriptors and fills them with idle clients: while discovery
/// is down, when it returns, when a reload moves it, and at shutdown. Each time all other
/// connections must still come up.
fn check_descriptor_limit(command: &mut Command, limit: usize) {
    let (server, down) = (server(), RefusingPeer::default());
    let counter = Peer::new(|_, call| raw_reply(if call == "PING" { "+PONG\r\n" } else { "$1\r\n2\r\n" }));
    let settings_with_counter = push_settings().replacen(
        '{',
        "{\"extra\":{\"hasCounter\":true,\"countWait\":15.0,\"largest\":8},",
        1,
    );
    let limits_config = format!("\"limits\":{{\"sockets\":{limit}}},\"counter\":\"{}\",", counter.address);
    let extra_config = format!("{limits_config}{}", known_list(&[("s0", &server)]));
    let mut gateway = Program::run(command, down.address, &extra_config, &settings_with_counter);
    // Descriptors with numbers beyond the limit were inherited and don't count towards it.
    let inherited = open_descriptors(&gateway).split_off(&limit);
    let descriptor_count = |gateway: &Program| open_descriptors(gateway).difference(&inherited).count();

    // Only the connections that were idle for longest have been closed.
    let mut idle_clients = connect_idle_clients(&gateway);
    let still_open: Vec<bool> = idle_clients.iter_mut().map(Client::nothing_received).collect();
    assert!(still_open.is_sorted() && !still_open[0] && still_open[59], "{still_open:?}");
    // While the others stay open, the connections to the server and to the counter come up.
    assert_eq!(status(&gateway.client().ask(&rpc_using_counter())), 200);
    assert!(server.next().0 == 0 && counter.next().1.starts_with("INCRTTL "));
    assert!(descriptor_count(&gateway) <= limit, "{:?}", open_descriptors(&gateway));

    // Discovery returns while idle clients hold all descriptors that they can get.
    let idle_clients = connect_idle_clients_and_send(&gateway);
    let reachable_since = Instant::now();
    let discovery = down.open(|_, _| raw_reply(WATCH_HEAD));
    assert!(discovery.next().1.contains("from=3"));
    assert!(reachable_since.elapsed() < ANNOUNCED_WITHIN, "{:?}", reachable_since.elapsed());
    drop(idle_clients);

    // A reload (SIGHUP) moves discovery: the file is read, and a second watch is opened while the
    // first is still open.
    let idle_clients = connect_idle_clients_and_send(&gateway);
    let new_discovery = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    gateway.rewrite_config(&gateway.config(new_discovery.address, &limits_config, &settings_with_counter));
    gateway.signal("-HUP");
    let reloaded_at = Instant::now();
    assert!(new_discovery.next().1.contains("from=3"));
    assert!(reloaded_at.elapsed() < ANNOUNCED_WITHIN, "{:?}", reloaded_at.elapsed());
    assert!(descriptor_count(&gateway) <= limit, "{:?}", open_descriptors(&gateway));
    drop(idle_clients);

    let idle_clients = connect_idle_clients(&gateway);
    gateway.signal("-TERM");
    gateway.wait_for_line("\"stopping\"");
    assert_eq!(status(&gateway.client().ask(&rpc_using_counter())), 200);
    drop(idle_clients);
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn idle_clients_leave_descriptors_for_the_watch_the_counter_and_the_servers() {
    check_descriptor_limit(&mut Command::new(BIN), 64);
}

/// Inherited descriptors, seven of them here, use up those that are kept free for other
/// connections.
#[test]
fn without_a_free_descriptor_the_longest_idle_client_is_closed_for_any_connection() {
    let mut limited_command = Command::new("sh");
    let inherited_descriptors: String = (3..10).map(|number| format!("exec {number}</dev/null; ")).collect();
    limited_command.args(["-c", &format!("{inherited_descriptors}ulimit -n 22; exec {BIN} \"$@\""), "sh"]);
    check_descriptor_limit(&mut limited_command, 22);
}

// ---- Restarts: a whole fleet at once, on a machine that is also busy with other work.

const FLEET_SIZE: u64 = 20;

/// Starts a fleet while other threads load the machine. Returns each gateway with the time at which
/// its start began.
fn start_fleet(discovery: std::net::SocketAddr, extra_config: &str) -> Vec<(Program, Instant)> {
    let (started, settings) = (AtomicBool::new(false), large_fleet_settings());
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !started.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        let starts = |seed| {
            let settings = &settings;
            scope.spawn(move || {
                let start_time = Instant::now();
                (Program::start_seeded(BIN, seed, discovery, extra_config, settings), start_time)
            })
        };
        let starting: Vec<_> = (1..=FLEET_SIZE).map(starts).collect();
        let fleet = starting.into_iter().map(|thread| thread.join().unwrap()).collect();
        started.store(true, Ordering::Relaxed);
        fleet
    })
}

/// Waits until a gateway is ready, polling it as a front end would. Returns the time from `since` until
/// then.
fn wait_until_ready(gateway: &Program, since: Instant) -> Duration {
    let mut client = gateway.client();
    while status(&client.ask(READY_REQUEST)) != 200 {
        assert!(since.elapsed() < READY_LIMIT_ALL, "{:#?}", gateway.new_lines());
        std::thread::sleep(Duration::from_millis(20)); // the front end's polling interval
    }
    since.elapsed()
}

/// Asserts both time limits for becoming ready.
fn assert_ready_in_time(mut elapsed: Vec<Duration>) {
    elapsed.sort_unstable();
    let p90 = elapsed[elapsed.len() * 9 / 10 - 1];
    assert!(p90 < READY_LIMIT_P90 && elapsed[elapsed.len() - 1] < READY_LIMIT_ALL, "{elapsed:?}");
}

#[test]
fn a_fleet_started_with_discovery_down_is_ready_on_its_stored_lists() {
    let (server, down) = (server(), RefusingPeer::default());
    let fleet = start_fleet(down.address, &known_list(&[("s0", &server)]));
    assert_ready_in_time(
        fleet.iter().map(|(gateway, start_time)| wait_until_ready(gateway, *start_time)).collect(),
    );
    for (gateway, _) in &fleet {
        assert_eq!(
            status(&gateway.client().ask(&rpc("read", 2000))),
            200,
            "the gateway is ready but does not serve"
        );
    }
}

#[test]
fn a_fleet_started_with_discovery_down_and_no_list_is_ready_within_6_s_of_its_return() {
    let (server, down) = (server(), RefusingPeer::default());
    let fleet = start_fleet(down.address, "");
    for (gateway, _) in &fleet {
        assert_eq!(
            status(&gateway.client().ask(READY_REQUEST)),
            503,
            "a gateway without a list must not be ready"
        );
        (0..2).for_each(|_| drop(gateway.wait_for_line("\"refused\"")));
    }
    let snapshot = chunk(&list(3, true, &[entry("s0", server.address, "ready")]));
    let reachable_since = Instant::now();
    let _discovery = down.open(move |_, _| raw_reply(&format!("{WATCH_HEAD}{snapshot}")));
    assert_ready_in_time(
        fleet.iter().map(|(gateway, _)| wait_until_ready(gateway, reachable_since)).collect(),
    );
    for (gateway, _) in &fleet {
        assert_eq!(
            status(&gateway.client().ask(&rpc("read", 2000))),
            200,
            "the gateway is ready but does not serve"
        );
    }
}
