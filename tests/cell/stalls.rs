//! Age of requests that are read after the process stood still.

use bamboolock::cell::shell::stalls::{
    Stalls,
    TICK_MS, //
};

const START: u64 = 1_000_000;

/// Ticks in time until `until`.
fn run(stalls: &Stalls, from: u64, until: u64) -> u64 {
    let mut now = from;
    while now < until {
        assert_eq!(stalls.tick(now), None);
        now += TICK_MS;
    }
    now - TICK_MS
}

#[test]
fn a_process_that_runs_reads_fresh_requests() {
    let stalls = Stalls::default();
    assert_eq!(stalls.age(START), 0);
    let last = run(&stalls, START, START + 3_000);
    assert_eq!(stalls.age(last + 2 * TICK_MS), 0, "a busy process");
}

/// The request may be read before or after the tick that notices the stall.
#[test]
fn a_request_may_have_waited_for_the_whole_stall() {
    let stalls = Stalls::default();
    let last = run(&stalls, START, START + 3_000);
    let woken = last + 4_000;
    assert_eq!(stalls.age(woken), 4_000);
    assert_eq!(stalls.tick(woken + 5), Some(4_005));
    assert_eq!(stalls.age(woken + 10), 4_010);
}

#[test]
fn requests_are_fresh_again_soon_after_a_stall() {
    let stalls = Stalls::default();
    let last = run(&stalls, START, START + 3_000);
    assert_eq!(stalls.tick(last + 4_000), Some(4_000));
    let last = run(&stalls, last + 4_000 + TICK_MS, last + 4_500);
    assert_eq!(stalls.age(last), 0);
}
