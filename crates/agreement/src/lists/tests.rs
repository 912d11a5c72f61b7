//! Unit tests of `lists`.

use super::*;

fn server(key: u64, ready: bool, started_at: Nanos) -> ListedServer {
    ListedServer { key, ready, started_at }
}

fn four() -> ListTracker {
    let mut lists = ListTracker::default();
    let all: Vec<ListedServer> = (1..5).map(|key| server(key, true, 0)).collect();
    assert_eq!(lists.apply(1, 40, true, &all), ListReview::default());
    lists
}

#[test]
fn an_older_list_brings_nothing_back_and_takes_nothing_away() {
    let mut lists = four();
    lists.apply(2, 41, false, &[server(1, false, 0)]);
    lists.apply(3, 42, true, &[server(3, true, 0), server(4, true, 0), server(5, true, 9)]); // 2 is gone, 5 new
    let old: Vec<ListedServer> = (1..5).map(|key| server(key, true, 0)).collect();
    let review = lists.apply(4, 40, true, &old);
    assert_eq!((review.is_older, review.held_back), (true, vec![1, 2]));
    assert_eq!(lists.ready.keys().copied().collect::<Vec<_>>(), [3, 4, 5]);
    // Newer, it is believed; and a new life is, whatever the index.
    assert_eq!(lists.apply(5, 43, false, &[server(1, true, 0)]).held_back, [0; 0]);
    assert_eq!(lists.apply(6, 40, true, &[server(2, true, 77)]).held_back, [0; 0]);
}

#[test]
fn another_source_that_disagrees_brings_nothing_back_until_it_says_so_anew() {
    let mut lists = four();
    lists.apply(2, 41, false, &[server(1, false, 0)]);
    lists.change_source();
    let all: Vec<ListedServer> = (1..5).map(|key| server(key, true, 0)).collect();
    assert_eq!(lists.apply(3, 900, true, &all).held_back, [1]);
    assert_eq!(lists.apply(4, 901, false, &[server(1, true, 0)]).held_back, [0; 0]);
}

#[test]
fn a_good_list_is_never_emptied() {
    let mut lists = four();
    assert!(lists.apply(2, 41, true, &[]).leaves_none_ready);
    assert!(lists.apply(3, 42, true, &[server(1, false, 0)]).leaves_none_ready);
    assert_eq!((lists.ready.len(), lists.index()), (4, 40));
}

#[test]
fn what_others_heard_first_gets_nothing_until_the_own_list_is_as_new() {
    let mut lists = four();
    assert_eq!(lists.apply_notice(41, &[2, 99]), [2]);
    assert_eq!(lists.apply_notice(41, &[2]), [0; 0], "once");
    assert_eq!(lists.apply_notice(42, &[1, 3]), [0; 0], "more than half");
    assert_eq!(lists.apply_notice(40, &[3]), [0; 0], "not newer");
    // An older or equal list that calls it ready does not release it, a newer one does.
    assert_eq!(lists.apply(2, 40, true, &[server(2, true, 0), server(3, true, 0)]).held_back, [2]);
    assert_eq!(lists.apply(3, 41, false, &[server(3, true, 0)]).released, [2]);
    // Who removed it tells so for a while.
    lists.apply(4, 42, false, &[server(2, false, 0)]);
    assert_eq!(lists.announcement(5).map(|told| told.index), Some(42));
    assert!(lists.announcement(5).unwrap().removed.contains(&2));
    assert_eq!(lists.announcement(4 + ANNOUNCED_FOR), None);
}
