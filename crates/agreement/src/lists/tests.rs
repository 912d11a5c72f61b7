//! Unit tests of `lists`.

use super::*;

fn server(key: u64, ready: bool, started_at: Nanos) -> ListedServer {
    ListedServer { key, ready, started_at }
}

fn tracker_of_four() -> ListTracker {
    let mut lists = ListTracker::default();
    let all: Vec<ListedServer> = (1..5).map(|key| server(key, true, 0)).collect();
    assert_eq!(lists.apply(1, 40, true, &all), ListReview::default());
    lists
}

#[test]
fn an_older_list_restores_and_removes_no_server() {
    let mut lists = tracker_of_four();
    lists.apply(2, 41, false, &[server(1, false, 0)]);
    lists.apply(3, 42, true, &[server(3, true, 0), server(4, true, 0), server(5, true, 9)]); // 2 is gone, 5 new
    let old: Vec<ListedServer> = (1..5).map(|key| server(key, true, 0)).collect();
    let review = lists.apply(4, 40, true, &old);
    assert_eq!((review.is_older, review.held_back), (true, vec![1, 2]));
    assert_eq!(lists.ready.keys().copied().collect::<Vec<_>>(), [3, 4, 5]);
    // A newer list makes the server ready again, and so does a later server start, whatever the index.
    assert_eq!(lists.apply(5, 43, false, &[server(1, true, 0)]).held_back, [0; 0]);
    assert_eq!(lists.apply(6, 40, true, &[server(2, true, 77)]).held_back, [0; 0]);
}

#[test]
fn a_new_source_restores_a_removed_server_only_by_a_change() {
    let mut lists = tracker_of_four();
    lists.apply(2, 41, false, &[server(1, false, 0)]);
    lists.change_source();
    let all: Vec<ListedServer> = (1..5).map(|key| server(key, true, 0)).collect();
    assert_eq!(lists.apply(3, 900, true, &all).held_back, [1]);
    assert_eq!(lists.apply(4, 901, false, &[server(1, true, 0)]).held_back, [0; 0]);
}

#[test]
fn a_list_that_leaves_no_server_ready_is_ignored() {
    let mut lists = tracker_of_four();
    assert!(lists.apply(2, 41, true, &[]).leaves_none_ready);
    assert!(lists.apply(3, 42, true, &[server(1, false, 0)]).leaves_none_ready);
    assert_eq!((lists.ready.len(), lists.index()), (4, 40));
}

#[test]
fn servers_removed_in_a_newer_list_elsewhere_are_suspended_until_the_own_list_catches_up() {
    let mut lists = tracker_of_four();
    assert_eq!(lists.apply_notice(41, &[2, 99]), [2]);
    assert_eq!(lists.apply_notice(41, &[2]), [0; 0], "already suspended");
    assert_eq!(lists.apply_notice(42, &[1, 3]), [0; 0], "more than half of the ready servers");
    assert_eq!(lists.apply_notice(40, &[3]), [0; 0], "not newer");
    // A list below the notice's index that has the server ready does not release it; a list that reaches the index does.
    assert_eq!(lists.apply(2, 40, true, &[server(2, true, 0), server(3, true, 0)]).held_back, [2]);
    assert_eq!(lists.apply(3, 41, false, &[server(3, true, 0)]).released, [2]);
    // A gateway announces its own removals for a limited time.
    lists.apply(4, 42, false, &[server(2, false, 0)]);
    assert_eq!(lists.announcement(5).map(|announcement| announcement.index), Some(42));
    assert!(lists.announcement(5).unwrap().removed.contains(&2));
    assert_eq!(lists.announcement(4 + ANNOUNCEMENT_PERIOD), None);
}
