//! Admission by the guard: a process whose event loop falls behind turn after turn admits only what it can serve.

use gateway::guard::{AdmissionCheck, Denial, may_admit};

const MS: u64 = 1_000_000;

fn check(last_turn: u64, this_turn: u64) -> AdmissionCheck {
    AdmissionCheck {
        now: 1000 * MS,
        deadline: 2000 * MS,
        last_turn: last_turn * MS,
        this_turn: this_turn * MS,
        max_turn: 50 * MS,
        shutdown: None,
    }
}

#[test]
fn process_that_keeps_up_or_was_delayed_once_admits_all() {
    assert_eq!(may_admit(&check(1, 1)), Ok(()));
    assert_eq!(may_admit(&check(150, 1)), Ok(()), "delayed before this turn");
    assert_eq!(may_admit(&check(1, 150)), Ok(()), "delayed in this turn");
}

#[test]
fn process_with_consecutive_long_turns_admits_what_fits_into_a_turn() {
    assert_eq!(may_admit(&check(80, 50)), Ok(()));
    assert_eq!(may_admit(&check(80, 51)), Err(Denial::Overloaded));
    assert_eq!(may_admit(&check(200, 100)), Ok(()), "half of the last turn");
    assert_eq!(may_admit(&check(200, 101)), Err(Denial::Overloaded));
    assert_eq!(may_admit(&check(1000, 150)), Ok(()));
    assert_eq!(may_admit(&check(1000, 151)), Err(Denial::Overloaded), "more than three times max_turn");
}

#[test]
fn rpc_past_its_deadline_is_not_admitted() {
    assert_eq!(
        may_admit(&AdmissionCheck { deadline: 1000 * MS, ..check(1, 1) }),
        Err(Denial::DeadlinePassed)
    );
}
