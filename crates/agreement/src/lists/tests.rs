//! Unit tests of `lists`.

use super::*;

fn seen(key: u64, ready: bool, since: Nanos) -> Seen {
    Seen { key, ready, since }
}

fn four() -> Lists {
    let mut lists = Lists::default();
    let all: Vec<Seen> = (1..5).map(|key| seen(key, true, 0)).collect();
    assert_eq!(lists.told(1, 40, true, &all), Verdict::default());
    lists
}

#[test]
fn an_older_list_brings_nothing_back_and_takes_nothing_away() {
    let mut lists = four();
    lists.told(2, 41, false, &[seen(1, false, 0)]);
    lists.told(3, 42, true, &[seen(3, true, 0), seen(4, true, 0), seen(5, true, 9)]); // 2 is gone, 5 new
    let old: Vec<Seen> = (1..5).map(|key| seen(key, true, 0)).collect();
    let verdict = lists.told(4, 40, true, &old);
    assert_eq!((verdict.older, verdict.held_back), (true, vec![1, 2]));
    assert_eq!(lists.ready.keys().copied().collect::<Vec<_>>(), [3, 4, 5]);
    // Newer, it is believed; and a new life is, whatever the index.
    assert_eq!(lists.told(5, 43, false, &[seen(1, true, 0)]).held_back, [0; 0]);
    assert_eq!(lists.told(6, 40, true, &[seen(2, true, 77)]).held_back, [0; 0]);
}

#[test]
fn another_source_that_disagrees_brings_nothing_back_until_it_says_so_anew() {
    let mut lists = four();
    lists.told(2, 41, false, &[seen(1, false, 0)]);
    lists.moved();
    let all: Vec<Seen> = (1..5).map(|key| seen(key, true, 0)).collect();
    assert_eq!(lists.told(3, 900, true, &all).held_back, [1]);
    assert_eq!(lists.told(4, 901, false, &[seen(1, true, 0)]).held_back, [0; 0]);
}

#[test]
fn a_good_list_is_never_emptied() {
    let mut lists = four();
    assert!(lists.told(2, 41, true, &[]).empties);
    assert!(lists.told(3, 42, true, &[seen(1, false, 0)]).empties);
    assert_eq!((lists.ready.len(), lists.index()), (4, 40));
}

#[test]
fn what_others_heard_first_gets_nothing_until_the_own_list_is_as_new() {
    let mut lists = four();
    assert_eq!(lists.heard(41, &[2, 99]), [2]);
    assert_eq!(lists.heard(41, &[2]), [0; 0], "once");
    assert_eq!(lists.heard(42, &[1, 3]), [0; 0], "more than half");
    assert_eq!(lists.heard(40, &[3]), [0; 0], "not newer");
    // An older or equal list that calls it ready does not release it, a newer one does.
    assert_eq!(lists.told(2, 40, true, &[seen(2, true, 0), seen(3, true, 0)]).held_back, [2]);
    assert_eq!(lists.told(3, 41, false, &[seen(3, true, 0)]).released, [2]);
    // Who removed it tells so for a while.
    lists.told(4, 42, false, &[seen(2, false, 0)]);
    assert_eq!(lists.tells(5).map(|told| told.0), Some(42));
    assert!(lists.tells(5).unwrap().1.contains(&2));
    assert_eq!(lists.tells(4 + TOLD_FOR), None);
}
