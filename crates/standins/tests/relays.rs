//! Links do what they are told to what passes them, and nothing else.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::MS;
use standins::reactor::{Clock, Handle};
use standins::relay::{AcceptMode, Faults, PathFaults, Relays};
use standins::scripted::{Client, Peer, answer, rpc};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

fn here() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 7], 0))
}

fn relays() -> Handle<Relays> {
    Handle::start(Relays::new(ChaCha8Rng::seed_from_u64(5)), Clock::start()).unwrap()
}

fn set(relays: &Handle<Relays>, link: usize, faults: Faults) {
    relays.with(move |relays, io| relays.set_faults(io, link, faults));
}

/// Waits until so many connections and datagrams have come to the relays.
fn came(relays: &Handle<Relays>, count: u64) {
    while relays.with(|relays, _| relays.received) < count {
        std::thread::yield_now();
    }
}

#[test]
fn a_connection_is_cut_each_way_and_what_waited_comes_when_it_heals() {
    let peer = Peer::new(|_, _| answer(200, "", "here"));
    let (relays, target) = (relays(), peer.address);
    let (link, at) = relays.with(move |relays, io| relays.relay_tcp(io, here(), target)).unwrap();
    let mut client = Client::new(at);
    assert!(client.ask(&rpc("read", 2000)).ends_with("here"));
    peer.next();
    // There: the message does not arrive until the cut is over.
    let cut = PathFaults { cut: true, ..PathFaults::default() };
    set(&relays, link, Faults { to_target: cut, ..Faults::default() });
    client.send(&rpc("read", 2000));
    // What passes another link meanwhile shows that this one had its time.
    let (_, other) = relays.with(move |relays, io| relays.relay_tcp(io, here(), target)).unwrap();
    assert!(Client::new(other).ask(&rpc("read", 2000)).ends_with("here"));
    assert_eq!(peer.next().0, 1, "only by the other link");
    assert!(peer.nothing_received());
    set(&relays, link, Faults::default());
    assert_eq!(peer.next().0, 0);
    assert!(client.answer().unwrap().ends_with("here"));
    // Back: the message arrives, its answer waits.
    set(&relays, link, Faults { from_target: cut, ..Faults::default() });
    client.send(&rpc("verify", 2000));
    assert_eq!(peer.next().0, 0, "it runs");
    set(&relays, link, Faults::default());
    assert!(client.answer().unwrap().ends_with("here"));
}

#[test]
fn delays_resets_and_silence() {
    let peer = Peer::new(|_, _| answer(200, "", "here"));
    let (relays, target) = (relays(), peer.address);
    let (link, at) = relays.with(move |relays, io| relays.relay_tcp(io, here(), target)).unwrap();
    let slow = PathFaults { delay: 150 * MS, ..PathFaults::default() };
    set(&relays, link, Faults { to_target: slow, from_target: slow, ..Faults::default() });
    let (mut client, since) = (Client::new(at), Instant::now());
    assert!(client.ask(&rpc("read", 2000)).ends_with("here"));
    assert!(since.elapsed() >= Duration::from_millis(300), "each way once");
    set(&relays, link, Faults { accept: AcceptMode::Reset, ..Faults::default() });
    assert!(client.is_closed(), "what stood is reset");
    assert!(Client::new(at).try_ask(&rpc("read", 2000)).is_none(), "and so is what comes");
    peer.next();
    set(&relays, link, Faults { accept: AcceptMode::Discard, ..Faults::default() });
    let mut silent = Client::new(at);
    silent.send(&rpc("read", 2000));
    came(&relays, 3);
    set(&relays, link, Faults::default());
    assert!(Client::new(at).ask(&rpc("read", 2000)).ends_with("here"));
    assert_eq!(peer.next().0, 1, "what came to a silent link stays there");
    assert!(peer.nothing_received());
}

#[test]
fn datagrams_are_lost_doubled_and_overtaken() {
    let (relays, got) = (relays(), UdpSocket::bind("127.0.0.1:0").unwrap());
    got.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let target = got.local_addr().unwrap();
    let (link, at) = relays.with(move |relays, io| relays.relay_udp(io, here(), target)).unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let receive = || -> Option<u8> {
        let mut some = [0; 8];
        match got.recv_from(&mut some) {
            Ok((1, from)) if from == at => Some(some[0]),
            Ok(other) => panic!("{other:?}"),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            Err(e) => panic!("{e}"),
        }
    };
    let send = |number: u8| assert_eq!(sender.send_to(&[number], at).unwrap(), 1);
    send(1);
    assert_eq!(receive(), Some(1));
    let there = |path| Faults { to_target: path, ..Faults::default() };
    set(&relays, link, there(PathFaults { cut: true, ..PathFaults::default() }));
    send(2);
    came(&relays, 2);
    set(&relays, link, there(PathFaults { duplicate: 1.0, ..PathFaults::default() }));
    send(3);
    assert_eq!((receive(), receive()), (Some(3), Some(3)), "what was cut never comes");
    // Half of them overtaken: all come, not in order.
    set(&relays, link, there(PathFaults { reorder: 0.5, ..PathFaults::default() }));
    (10..30).for_each(send);
    let got: Vec<u8> = (10..30).map(|_| receive().unwrap()).collect();
    let mut sorted = got.clone();
    sorted.sort_unstable();
    assert!(sorted == (10..30).collect::<Vec<_>>() && got != sorted, "{got:?}");
    set(&relays, link, there(PathFaults { loss: 0.5, ..PathFaults::default() }));
    (40..140).for_each(send);
    came(&relays, 123);
    set(&relays, link, Faults::default());
    send(200);
    let got = std::iter::from_fn(&receive).take_while(|number| *number != 200).count();
    assert!((20..80).contains(&got), "{got} of 100");
}
