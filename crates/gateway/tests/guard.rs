//! What may begin: a process that falls behind turn after turn takes only what it can serve.

use gateway::guard::{AdmissionCheck, Denial, may_admit};

const MS: u64 = 1_000_000;

fn begin(last_turn: u64, this_turn: u64) -> AdmissionCheck {
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
fn a_process_that_keeps_up_or_was_held_up_once_takes_all() {
    assert_eq!(may_admit(&begin(1, 1)), Ok(()));
    assert_eq!(may_admit(&begin(150, 1)), Ok(()), "held up before this turn");
    assert_eq!(may_admit(&begin(1, 150)), Ok(()), "held up in this turn");
}

#[test]
fn a_process_whose_turns_are_long_one_after_another_takes_what_fits_into_a_turn() {
    assert_eq!(may_admit(&begin(80, 50)), Ok(()));
    assert_eq!(may_admit(&begin(80, 51)), Err(Denial::Overloaded));
    assert_eq!(may_admit(&begin(200, 100)), Ok(()), "half of the last turn");
    assert_eq!(may_admit(&begin(200, 101)), Err(Denial::Overloaded));
    assert_eq!(may_admit(&begin(1000, 150)), Ok(()));
    assert_eq!(may_admit(&begin(1000, 151)), Err(Denial::Overloaded), "three times what keeps up");
}

#[test]
fn what_is_too_late_already_does_not_begin() {
    assert_eq!(
        may_admit(&AdmissionCheck { deadline: 1000 * MS, ..begin(1, 1) }),
        Err(Denial::DeadlinePassed)
    );
}
