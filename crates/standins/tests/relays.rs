//! Tests that relays inject the faults set for them into connections and datagrams, and nothing else.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::MS;
use standins::reactor::{Clock, Handle};
use standins::relay::{AcceptMode, Faults, PathFaults, Relays};
use standins::scripted::{Client, Peer, answer, rpc};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 7], 0))
}

fn start_relays() -> Handle<Relays> {
    Handle::start(Relays::new(ChaCha8Rng::seed_from_u64(5)), Clock::start()).unwrap()
}

fn set_faults(relays: &Handle<Relays>, relay: usize, faults: Faults) {
    relays.with(move |relays, io| relays.set_faults(io, relay, faults));
}

/// Waits until the relays have received `count` connections and datagrams.
fn wait_for_received(relays: &Handle<Relays>, count: u64) {
    while relays.with(|relays, _| relays.received) < count {
        std::thread::yield_now();
    }
}

#[test]
fn a_cut_delays_bytes_in_either_direction_until_it_ends() {
    let peer = Peer::new(|_, _| answer(200, "", "here"));
    let (relays, target) = (start_relays(), peer.address);
    let (relay, at) = relays.with(move |relays, io| relays.relay_tcp(io, free_port(), target)).unwrap();
    let mut client = Client::new(at);
    assert!(client.ask(&rpc("read", 2000)).ends_with("here"));
    peer.next();
    // Cut to the target: the request doesn't arrive until the cut ends.
    let cut_path = PathFaults { cut: true, ..PathFaults::default() };
    set_faults(&relays, relay, Faults { to_target: cut_path, ..Faults::default() });
    client.send(&rpc("read", 2000));
    // A request that passes another relay shows that the first one would have had time to arrive.
    let (_, other_address) =
        relays.with(move |relays, io| relays.relay_tcp(io, free_port(), target)).unwrap();
    assert!(Client::new(other_address).ask(&rpc("read", 2000)).ends_with("here"));
    assert_eq!(peer.next().0, 1, "the request has to come from the other relay");
    assert!(peer.nothing_received());
    set_faults(&relays, relay, Faults::default());
    assert_eq!(peer.next().0, 0);
    assert!(client.answer().unwrap().ends_with("here"));
    // Cut from the target: the request arrives, and its answer is delayed.
    set_faults(&relays, relay, Faults { from_target: cut_path, ..Faults::default() });
    client.send(&rpc("verify", 2000));
    assert_eq!(peer.next().0, 0, "the request has to arrive");
    set_faults(&relays, relay, Faults::default());
    assert!(client.answer().unwrap().ends_with("here"));
}

#[test]
fn connections_are_delayed_reset_or_discarded() {
    let peer = Peer::new(|_, _| answer(200, "", "here"));
    let (relays, target) = (start_relays(), peer.address);
    let (relay, at) = relays.with(move |relays, io| relays.relay_tcp(io, free_port(), target)).unwrap();
    let delayed = PathFaults { delay: 150 * MS, ..PathFaults::default() };
    set_faults(&relays, relay, Faults { to_target: delayed, from_target: delayed, ..Faults::default() });
    let (mut client, since) = (Client::new(at), Instant::now());
    assert!(client.ask(&rpc("read", 2000)).ends_with("here"));
    assert!(since.elapsed() >= Duration::from_millis(300), "the delay applies once in each direction");
    set_faults(&relays, relay, Faults { accept: AcceptMode::Reset, ..Faults::default() });
    assert!(client.is_closed(), "an open connection has to be reset");
    assert!(Client::new(at).try_ask(&rpc("read", 2000)).is_none(), "a new connection has to be reset");
    peer.next();
    set_faults(&relays, relay, Faults { accept: AcceptMode::Discard, ..Faults::default() });
    let mut discarded = Client::new(at);
    discarded.send(&rpc("read", 2000));
    wait_for_received(&relays, 3);
    set_faults(&relays, relay, Faults::default());
    assert!(Client::new(at).ask(&rpc("read", 2000)).ends_with("here"));
    assert_eq!(peer.next().0, 1, "a discarded connection is not passed on later");
    assert!(peer.nothing_received());
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered() {
    let (relays, receiver) = (start_relays(), UdpSocket::bind("127.0.0.1:0").unwrap());
    receiver.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let target = receiver.local_addr().unwrap();
    let (relay, at) = relays.with(move |relays, io| relays.relay_udp(io, free_port(), target)).unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let receive = || -> Option<u8> {
        let mut buffer = [0; 8];
        match receiver.recv_from(&mut buffer) {
            Ok((1, from)) if from == at => Some(buffer[0]),
            Ok(other) => panic!("{other:?}"),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            Err(e) => panic!("{e}"),
        }
    };
    let send = |number: u8| assert_eq!(sender.send_to(&[number], at).unwrap(), 1);
    send(1);
    assert_eq!(receive(), Some(1));
    let faults_to_target = |path| Faults { to_target: path, ..Faults::default() };
    set_faults(&relays, relay, faults_to_target(PathFaults { cut: true, ..PathFaults::default() }));
    send(2);
    wait_for_received(&relays, 2);
    set_faults(&relays, relay, faults_to_target(PathFaults { duplicate: 1.0, ..PathFaults::default() }));
    send(3);
    assert_eq!((receive(), receive()), (Some(3), Some(3)), "a datagram sent during a cut is lost");
    // Half of them are delayed: all arrive, but not in order.
    set_faults(&relays, relay, faults_to_target(PathFaults { reorder: 0.5, ..PathFaults::default() }));
    (10..30).for_each(send);
    let received: Vec<u8> = (10..30).map(|_| receive().unwrap()).collect();
    let mut sorted = received.clone();
    sorted.sort_unstable();
    assert!(sorted == (10..30).collect::<Vec<_>>() && received != sorted, "{received:?}");
    set_faults(&relays, relay, faults_to_target(PathFaults { loss: 0.5, ..PathFaults::default() }));
    (40..140).for_each(send);
    wait_for_received(&relays, 123);
    set_faults(&relays, relay, Faults::default());
    send(200);
    let received = std::iter::from_fn(&receive).take_while(|number| *number != 200).count();
    assert!((20..80).contains(&received), "{received} of 100");
}
