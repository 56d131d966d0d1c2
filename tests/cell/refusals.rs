//! Refused submissions, of which copies arrive late.

use bamboolock::cell::refusals::{
    Attempt,
    MAX_INSTANCES,
    MAX_NUMBERS,
    RETENTION_MS,
    Refusals, //
};

const FRONT: u64 = 77;

fn attempt(incarnation: u64, number: u64) -> Attempt {
    Attempt {
        incarnation,
        number,
    }
}

/// Guards against a job that runs after its refusal, and against the refusal of a caller's next request.
#[test]
fn only_copies_of_the_refused_request_are_recognised() {
    let mut refusals = Refusals::default();
    assert!(refusals.record(attempt(FRONT, 7), 0));
    assert!(refusals.contains(attempt(FRONT, 7)));
    for other in [attempt(FRONT, 6), attempt(FRONT, 8), attempt(FRONT + 1, 7)] {
        assert!(!refusals.contains(other), "{other:?}");
    }
    assert!(refusals.record(attempt(FRONT, 7), 1), "the next copy");
}

/// Guards against the refusals of an instance that restarts: its copies may still be under way, and its
/// numbers begin anew.
#[test]
fn incarnations_of_an_instance_are_told_apart() {
    let mut refusals = Refusals::default();
    assert!(refusals.record(attempt(FRONT, 7), 0));
    assert!(refusals.record(attempt(FRONT + 1, 3), 10));
    assert!(refusals.contains(attempt(FRONT, 7)));
    assert!(!refusals.contains(attempt(FRONT + 1, 7)));
}

/// Guards against a copy that is taken because there were too many refusals to remember its own.
#[test]
fn no_refusal_is_forgotten_when_there_are_many() {
    let mut refusals = Refusals::default();
    let most = 3 * MAX_NUMBERS as u64;
    for number in 1..=most {
        assert!(refusals.record(attempt(FRONT, number), number));
    }
    assert!((1..=most).all(|number| refusals.contains(attempt(FRONT, number))));
    assert!(!refusals.contains(attempt(FRONT, most + 1)));
}

/// Guards against refusals that pass for final although their copies cannot be recognised.
#[test]
fn a_refusal_without_a_number_does_not_hold() {
    let mut refusals = Refusals::default();
    assert!(!refusals.record(attempt(FRONT, 0), 0));
    assert!(!refusals.contains(attempt(FRONT, 0)));
}

/// The same where too many instances have restarted, until the connections of the first ones have ended.
#[test]
fn a_refusal_of_one_instance_too_many_does_not_hold() {
    let mut refusals = Refusals::default();
    let most = MAX_INSTANCES as u64;
    for incarnation in 1..=most {
        assert!(refusals.record(attempt(incarnation, 1), incarnation));
    }
    let next = attempt(most + 1, 1);
    assert!(!refusals.record(next, RETENTION_MS));
    assert!(refusals.contains(attempt(1, 1)));
    assert!(refusals.record(attempt(1, 2), RETENTION_MS), "a known one");
    assert!(refusals.record(next, RETENTION_MS + 2));
    assert!(refusals.contains(next));
    assert!(refusals.contains(attempt(1, 1)), "refused again since");
    assert!(!refusals.contains(attempt(2, 1)));
}
