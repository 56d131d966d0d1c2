//! Submissions while the store does not answer.

use bamboolock::cell::{
    engine::SubmissionStatus,
    outage, //
};

use super::make::{
    self,
    START, //
};

const JOB: &str = "000000000000a0a0";

/// Callers must not be held whose time is over before the store is usually back, nor be turned away
/// while it is expected within their time.
#[test]
fn only_callers_who_wait_in_vain_are_refused() {
    for (waits, left, refused) in [
        (0, 2_500, false),
        (900, 2_500, false),
        (901, 2_500, true),
        (1_900, 2_500, true),
        (2_100, 2_500, false),
        (4_000, 300, true),
        (4_600, 100, false),
    ] {
        assert_eq!(outage::is_hopeless(waits, left), refused, "{waits} {left}");
    }
}

/// A caller that repeats its request must not lose the job to the end of the earlier request.
#[test]
fn a_job_is_withdrawn_with_the_last_request_that_waits_for_it() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let submit = |engine: &mut bamboolock::cell::engine::Engine| {
        let work = make::work(vec![make::step(1, 1_000)]);
        engine
            .submit(JOB, make::queue("q", 0), work, START)
            .unwrap();
    };
    submit(&mut engine);
    engine.extend_wait(JOB, START + 1_000);
    submit(&mut engine);
    engine.extend_wait(JOB, START + 2_000);
    assert!(!engine.withdraw_expired(JOB, START + 1_000, START + 1_000));
    assert_eq!(engine.submission_status(JOB), SubmissionStatus::Pending);
    assert!(engine.withdraw_expired(JOB, START + 2_000, START + 2_000));
    assert_eq!(engine.submission_status(JOB), SubmissionStatus::Withdrawn);
}

/// A job that may be stored is not withdrawn: its caller must not hear that it does not run.
#[test]
fn a_job_that_was_sent_to_the_store_is_not_withdrawn() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    engine
        .submit(JOB, make::queue("q", 0), work, START)
        .unwrap();
    engine.extend_wait(JOB, START + 1_000);
    assert!(engine.take_batch().is_some());
    assert!(!engine.withdraw_expired(JOB, START + 1_000, START + 1_000));
}
