//! Selection of the instance through which the policy is queried.

use bamboolock::cell::engine::proxies::Proxies;

use super::make::START;

fn pool(count: u32) -> Proxies {
    let mut pool = Proxies::default();
    for n in 0..count {
        pool.record_heartbeat(&format!("i{n}"), START);
    }
    pool
}

#[test]
fn long_queries_leave_instances_for_short_ones() {
    let mut pool = pool(5);
    let long: Vec<_> = (0..5).map_while(|_| pool.assign(400.0, START)).collect();
    assert_eq!(long.len(), 3);
    let short = pool.assign(10.0, START).unwrap();
    assert!(!long.contains(&short));
}

#[test]
fn short_queries_queue_at_most_a_round_trip_ahead() {
    let mut pool = pool(1);
    let taken = (0..20).map_while(|_| pool.assign(10.0, START)).count();
    assert_eq!(taken, 4, "30 ms ahead at most");
    pool.record_answer("i0", true, START + 10);
    assert!(pool.assign(10.0, START + 20).is_some());
}

#[test]
fn instances_without_answer_or_heartbeat_are_not_used() {
    let mut pool = pool(1);
    assert!(pool.assign(10.0, START).is_some());
    pool.record_answer("i0", false, START + 500);
    pool.record_heartbeat("i0", START + 600);
    assert_eq!(pool.assign(10.0, START + 700), None);
    pool.record_heartbeat("i0", START + 1_400);
    assert!(pool.assign(10.0, START + 1_500).is_some());
    pool.record_answer("i0", true, START + 1_510);
    assert_eq!(pool.assign(10.0, START + 3_000), None);
    assert_eq!(pool.live(START + 3_000).count(), 0);
}
