//! What the operators hold the program to while discovery is away and when it is back: changes count as told in time
//! whatever became of the calls before, idle clients leave the descriptors that everything else needs, and a fleet that
//! starts is ready in time. Each story brings the bad event on every run. `docs/races.md` lists the windows.

use standins::scripted::{
    Client, Peer, Program, RefusingPeer, Reply, WATCH_HEAD, answer, chunk, entry, list, raw_reply, rpc,
    settings, status,
};
use std::collections::BTreeSet;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_martenramp");
const READY: &str = "GET /-/ready HTTP/1.1\r\n\r\n";
const HEALTHY: &str = "GET /-/healthy HTTP/1.1\r\n\r\n";
/// An empty line of a watch: nothing changed.
const PULSE: &str = "1\r\n\n\r\n";

/// The beginning of an answer whose first header line goes on and on.
const UNENDED: &str = "HTTP/1.1 200 OK\r\nX-Note: ";

/// A change counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// What an open watch would have told counts at once; new work must stop so long after that.
const STOP_WITHIN: Duration = Duration::from_secs(2);
/// Nine in ten gateways have to be ready so soon (on short days), and all of them.
const READY_MOST: Duration = Duration::from_secs(6);
const READY_ALL: Duration = Duration::from_secs(30);

/// So many calls fail before the one that counts: the rests have grown to their longest by then.
const FAILED_CALLS: usize = 3;

/// Settings of a fleet whose rests are the longest, with discovery's lists asked for or pushed.
fn asked() -> String {
    settings("").replace("\"balancers\":2", "\"balancers\":300")
}

fn pushed() -> String {
    asked().replacen('{', "{\"membershipMode\":\"push\",", 1)
}

/// Plays a story at gateways with seeds of their own, at the same time, so that both short and long rests are drawn.
fn at_several_gateways(story: impl Fn(u64, &str) + Sync) {
    let (asked, pushed, story) = (asked(), pushed(), &story);
    std::thread::scope(|scope| {
        for seed in 1..=8 {
            let settings = if seed <= 6 { &asked } else { &pushed };
            scope.spawn(move || story(seed, settings));
        }
    });
}

fn known(servers: &[(&str, &Peer)]) -> String {
    let entries: Vec<String> =
        servers.iter().map(|(name, server)| entry(name, server.address, "ready")).collect();
    format!("\"known\":{},", list(3, true, &entries))
}

fn server() -> Peer {
    Peer::new(|_, _| answer(200, "", "ok"))
}

/// The answer to a call: a watch that tells at once that the server drains.
fn drains(server: &Peer) -> Reply {
    let drained = chunk(&list(4, false, &[entry("s0", server.address, "draining")]));
    raw_reply(&format!("{WATCH_HEAD}{drained}"))
}

/// Discovery has been asked and has told of the drain: in time, and nothing new goes to the server, though it is up.
fn is_told(gateway: &Program, server: &Peer, reachable: Instant, within: Duration) {
    let took = reachable.elapsed();
    assert!(took < within, "told {took:?} after discovery could be reached: {:#?}", gateway.new_lines());
    gateway.wait_until_processed();
    let got = gateway.client().ask(&rpc("read", 300));
    assert!(matches!(status(&got), 429 | 503), "{got}");
    assert!(server.nothing_received(), "new work went to a server that drains");
}

// ---- Told time: whatever became of the calls before, 6 s after discovery could be reached a change is known.

#[test]
fn a_drain_made_while_discovery_refused_connections_is_heeded_within_6_s_of_its_return() {
    at_several_gateways(|seed, settings| {
        let (server, down) = (server(), RefusingPeer::default());
        let gateway = Program::start_seeded(BIN, seed, down.address, &known(&[("s0", &server)]), settings);
        assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200);
        server.next();
        (0..FAILED_CALLS).for_each(|_| drop(gateway.wait_for_line("\"refused\"")));
        let (reply, reachable) = (drains(&server), Instant::now());
        let discovery = down.open(move |_, _| reply.clone());
        assert!(discovery.next().1.contains("from=3"));
        is_told(&gateway, &server, reachable, TOLD_WITHIN);
    });
}

/// The first calls meet this, all others are told of a drain that was made, with discovery in order, right after the last
/// of them.
fn after_failed_calls(failed: impl Fn() -> Reply + Copy + Send + Sync + 'static) {
    at_several_gateways(|seed, settings| {
        let server = server();
        let reply = drains(&server);
        let discovery =
            Peer::new(move |number, _| if number < FAILED_CALLS { failed() } else { reply.clone() });
        let known = known(&[("s0", &server)]);
        let gateway = Program::start_seeded(BIN, seed, discovery.address, &known, settings);
        (0..FAILED_CALLS).for_each(|_| drop(discovery.next()));
        let reachable = Instant::now();
        assert_eq!(discovery.next().0, FAILED_CALLS);
        is_told(&gateway, &server, reachable, TOLD_WITHIN);
    });
}

#[test]
fn a_drain_made_while_discovery_answered_with_errors_is_heeded_within_6_s() {
    after_failed_calls(|| answer(503, "", "not now"));
}

#[test]
fn a_drain_made_while_discovery_took_calls_and_never_answered_is_heeded_within_6_s() {
    after_failed_calls(|| (Vec::new(), false));
}

#[test]
fn a_drain_made_while_discovery_ended_each_watch_in_place_of_telling_is_heeded_within_6_s() {
    after_failed_calls(|| (WATCH_HEAD.as_bytes().to_vec(), true));
}

#[test]
fn a_watch_that_ends_in_place_of_telling_is_asked_for_at_once_though_earlier_calls_had_failed() {
    at_several_gateways(|seed, settings| {
        let server = server();
        let reply = drains(&server);
        let discovery = Peer::new(move |number, _| match number {
            _ if number < FAILED_CALLS => answer(503, "", "not now"),
            FAILED_CALLS => raw_reply(&format!("{WATCH_HEAD}{PULSE}")),
            _ => reply.clone(),
        });
        let known = known(&[("s0", &server)]);
        let gateway = Program::start_seeded(BIN, seed, discovery.address, &known, settings);
        (0..=FAILED_CALLS).for_each(|_| drop(discovery.next()));
        gateway.wait_for_line("\"watching\"");
        gateway.wait_until_processed();
        let ends = Instant::now();
        discovery.close(FAILED_CALLS);
        assert_eq!(discovery.next().0, FAILED_CALLS + 1);
        is_told(&gateway, &server, ends, STOP_WITHIN);
    });
}

#[test]
fn a_watch_whose_answer_never_gets_beyond_its_head_is_given_up() {
    at_several_gateways(|seed, settings| {
        let server = server();
        let reply = drains(&server);
        let discovery =
            Peer::new(move |number, _| if number == 0 { raw_reply(UNENDED) } else { reply.clone() });
        let known = known(&[("s0", &server)]);
        let gateway = Program::start_seeded(BIN, seed, discovery.address, &known, settings);
        discovery.next();
        let asked = Instant::now();
        while discovery.nothing_received() {
            assert!(asked.elapsed() < TOLD_WITHIN, "a byte now and then keeps a call without an answer");
            discovery.try_write(0, "0");
            std::thread::sleep(Duration::from_millis(50)); // the pace of the bytes is what is tested
        }
        is_told(&gateway, &server, asked, TOLD_WITHIN);
    });
}

#[test]
fn a_server_that_the_first_whole_list_leaves_out_gets_nothing_new_though_it_answers() {
    at_several_gateways(|seed, settings| {
        let left_out = Peer::new(|_, _| answer(200, "", "left-out"));
        let stays = Peer::new(|_, _| answer(200, "", "stays"));
        let down = RefusingPeer::default();
        let known = known(&[("s0", &left_out)]);
        let gateway = Program::start_seeded(BIN, seed, down.address, &known, settings);
        assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("left-out"));
        left_out.next();
        let whole = chunk(&list(4, true, &[entry("s1", stays.address, "ready")]));
        let reachable = Instant::now();
        let discovery = down.open(move |_, _| raw_reply(&format!("{WATCH_HEAD}{whole}")));
        discovery.next();
        assert!(reachable.elapsed() < TOLD_WITHIN);
        gateway.wait_until_processed();
        for _ in 0..20 {
            assert!(gateway.client().ask(&rpc("read", 2000)).ends_with("stays"));
        }
        assert!(left_out.nothing_received());
    });
}

// ---- Descriptors: idle clients hold what they may, and everything else keeps what it needs.

/// Far more clients than there are descriptors, each served once and resting then.
fn crowd(gateway: &Program) -> Vec<Client> {
    let served = |_| {
        let mut client = gateway.client();
        assert_eq!(status(&client.ask(HEALTHY)), 200, "a newcomer is served");
        client
    };
    (0..60).map(served).collect()
}

/// An RPC of a customer that draws from the counter.
fn counted_rpc() -> String {
    rpc("read", 15_000).replace("spread=1", "spread=2")
}

/// The same crowd, and the connection to a server that the newest of them needs: where nothing else bounds the descriptors,
/// it takes the one that accepting leaves free.
fn crowd_that_asks(gateway: &Program) -> Vec<Client> {
    let mut idle = crowd(gateway);
    let newest = idle.last_mut().expect("a crowd");
    assert_eq!(status(&newest.ask(&counted_rpc())), 200);
    idle
}

/// Descriptors that a process holds, by number.
fn held(gateway: &Program) -> BTreeSet<usize> {
    let all = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).unwrap();
    all.map(|one| one.unwrap().file_name().to_str().unwrap().parse().unwrap()).collect()
}

/// A program that may hold so many descriptors is crowded by idle clients while discovery is down, and at each turn after.
fn crowded(command: &mut Command, limit: usize) {
    let (server, down) = (server(), RefusingPeer::default());
    let counter = Peer::new(|_, call| raw_reply(if call == "PING" { "+PONG\r\n" } else { "$1\r\n2\r\n" }));
    let counted =
        pushed().replacen('{', "{\"extra\":{\"hasCounter\":true,\"countWait\":15.0,\"largest\":8},", 1);
    let limits = format!("\"limits\":{{\"sockets\":{limit}}},\"counter\":\"{}\",", counter.address);
    let more = format!("{limits}{}", known(&[("s0", &server)]));
    let mut gateway = Program::run(command, down.address, &more, &counted);
    // Numbers beyond the limit were there before the process began and are none of its own.
    let inherited = held(&gateway).split_off(&limit);
    let holds = |gateway: &Program| held(gateway).difference(&inherited).count();

    // The longest idle of them have given way, and only those.
    let mut idle = crowd(&gateway);
    let open: Vec<bool> = idle.iter_mut().map(Client::nothing_received).collect();
    assert!(open.is_sorted() && !open[0] && open[59], "{open:?}");
    // With the rest still there, the server's connection and the counter's come up.
    assert_eq!(status(&gateway.client().ask(&counted_rpc())), 200);
    assert!(server.next().0 == 0 && counter.next().1.starts_with("INCRTTL "));
    assert!(holds(&gateway) <= limit, "{:?}", held(&gateway));

    // Discovery comes back while idle clients hold all that there is to hold.
    let idle = crowd_that_asks(&gateway);
    let reachable = Instant::now();
    let discovery = down.open(|_, _| raw_reply(WATCH_HEAD));
    assert!(discovery.next().1.contains("from=3"));
    assert!(reachable.elapsed() < TOLD_WITHIN, "{:?}", reachable.elapsed());
    drop(idle);

    // SIGHUP moves discovery: the file is read, and a second watch opened beside the first.
    let idle = crowd_that_asks(&gateway);
    let next = Peer::new(|_, _| raw_reply(WATCH_HEAD));
    gateway.rewrite_config(&gateway.config(next.address, &limits, &counted));
    gateway.signal("-HUP");
    let moved = Instant::now();
    assert!(next.next().1.contains("from=3"));
    assert!(moved.elapsed() < TOLD_WITHIN, "{:?}", moved.elapsed());
    assert!(holds(&gateway) <= limit, "{:?}", held(&gateway));
    drop(idle);

    let idle = crowd(&gateway);
    gateway.signal("-TERM");
    gateway.wait_for_line("\"stopping\"");
    assert_eq!(status(&gateway.client().ask(&counted_rpc())), 200);
    drop(idle);
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn idle_clients_leave_the_watch_the_counter_and_the_servers_their_part_of_the_descriptors() {
    crowded(&mut Command::new(BIN), 64);
}

/// What else the process was given, here seven inherited descriptors, takes the parts that are kept.
#[test]
fn where_no_descriptor_is_left_at_all_the_longest_idle_client_gives_way_for_any_connection() {
    let mut limited = Command::new("sh");
    let inherits: String = (3..10).map(|at| format!("exec {at}</dev/null; ")).collect();
    limited.args(["-c", &format!("{inherits}ulimit -n 22; exec {BIN} \"$@\""), "sh"]);
    crowded(&mut limited, 22);
}

// ---- Restarts: a whole fleet at once, on a machine that has other work.

const FLEET: u64 = 20;

/// Starts a fleet with other work on the machine; each gateway with the time at which its start began.
fn start_fleet(discovery: std::net::SocketAddr, more: &str) -> Vec<(Program, Instant)> {
    let (started, settings) = (AtomicBool::new(false), asked());
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
                let begun = Instant::now();
                (Program::start_seeded(BIN, seed, discovery, more, settings), begun)
            })
        };
        let starting: Vec<_> = (1..=FLEET).map(starts).collect();
        let fleet = starting.into_iter().map(|one| one.join().unwrap()).collect();
        started.store(true, Ordering::Relaxed);
        fleet
    })
}

/// Waits until a gateway is ready, asking as a front would; how long after `since` that was.
fn wait_ready(gateway: &Program, since: Instant) -> Duration {
    let mut client = gateway.client();
    while status(&client.ask(READY)) != 200 {
        assert!(since.elapsed() < READY_ALL, "{:#?}", gateway.new_lines());
        std::thread::sleep(Duration::from_millis(20)); // the front's pace
    }
    since.elapsed()
}

/// Nine in ten took less than the one time, and all of them less than the other.
fn are_ready_in_time(mut took: Vec<Duration>) {
    took.sort_unstable();
    let most = took[took.len() * 9 / 10 - 1];
    assert!(most < READY_MOST && took[took.len() - 1] < READY_ALL, "{took:?}");
}

#[test]
fn a_fleet_started_with_discovery_down_is_ready_on_the_lists_from_before() {
    let (server, down) = (server(), RefusingPeer::default());
    let fleet = start_fleet(down.address, &known(&[("s0", &server)]));
    are_ready_in_time(fleet.iter().map(|(gateway, begun)| wait_ready(gateway, *begun)).collect());
    for (gateway, _) in &fleet {
        assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200, "and it serves");
    }
}

#[test]
fn a_fleet_started_with_discovery_down_and_no_list_is_ready_within_6_s_of_its_return() {
    let (server, down) = (server(), RefusingPeer::default());
    let fleet = start_fleet(down.address, "");
    for (gateway, _) in &fleet {
        assert_eq!(
            status(&gateway.client().ask(READY)),
            503,
            "without a list there is nothing to serve with"
        );
        (0..2).for_each(|_| drop(gateway.wait_for_line("\"refused\"")));
    }
    let whole = chunk(&list(3, true, &[entry("s0", server.address, "ready")]));
    let reachable = Instant::now();
    let _discovery = down.open(move |_, _| raw_reply(&format!("{WATCH_HEAD}{whole}")));
    are_ready_in_time(fleet.iter().map(|(gateway, _)| wait_ready(gateway, reachable)).collect());
    for (gateway, _) in &fleet {
        assert_eq!(status(&gateway.client().ask(&rpc("read", 2000))), 200, "and it serves");
    }
}
