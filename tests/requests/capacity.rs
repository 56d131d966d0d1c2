//! Tests of reserved slots, quotas and forwarding.

use assert_matches::assert_matches;
use bamboolock::{
    context::Distance,
    kernel::requests::{
        Action,
        ForwardTarget,
        Outcome, //
    },
};

use crate::support::{
    Rig,
    profile, //
};

const ANSWER: Outcome = Outcome::Answered { took: 5 };

#[test]
fn long_running_requests_leave_reserved_slots_free() {
    let long = profile(serde_json::json!({"limits": {"reserve": 2}}));
    let short = profile(serde_json::json!({}));
    let mut rig = Rig::new(3, 8);
    for _ in 0..30 {
        rig.submit("long", &long, 60_000).unwrap();
    }
    let sends = rig.dispatch();
    assert_eq!(sends.len(), 18);
    for worker in rig.pool.keys() {
        assert_eq!(rig.pool.free(worker).slots, 2);
    }
    for _ in 0..6 {
        rig.send("short", &short, 1_000);
    }
    assert_eq!(rig.pool.accounting_errors(), 0);
}

#[test]
fn profile_classified_as_long_running_leaves_spare_slots() {
    let plain = profile(serde_json::json!({}));
    let mut rig = Rig::new(1, 4);
    rig.warm("short", &plain, 5, 25);
    rig.warm("long", &plain, 500, 25);
    rig.advance(1);
    for _ in 0..6 {
        rig.submit("long", &plain, 60_000).unwrap();
    }
    assert_eq!(rig.dispatch().len(), 3);
    rig.send("short", &plain, 1_000);
}

#[test]
fn straggler_counts_as_long_running_work() {
    let short = profile(serde_json::json!({}));
    let long = profile(serde_json::json!({"limits": {"reserve": 2}}));
    let mut rig = Rig::new(1, 4);
    rig.warm("short", &short, 5, 25);
    let straggler = rig.send("short", &short, 60_000);
    rig.advance(100);
    rig.submit("long", &long, 60_000).unwrap();
    rig.submit("long", &long, 60_000).unwrap();
    assert_eq!(rig.dispatch().len(), 1);
    assert_eq!(rig.finish(&straggler, ANSWER), Action::Answer);
    assert_eq!(rig.dispatch().len(), 1);
}

#[test]
fn team_quota_is_enforced_and_unused_quota_is_lent() {
    let quota = |slots| {
        profile(serde_json::json!({
            "quota": {"slots": slots, "connections": slots},
            "policies": {"shed": "full_queue"},
        }))
    };
    let (one, two) = (quota(2), quota(3));
    let mut rig = Rig::new(1, 8);
    rig.submit("two", &two, 60_000).unwrap();
    rig.dispatch();
    for _ in 0..8 {
        rig.submit("one", &one, 60_000).unwrap();
    }
    let borrowed = rig.dispatch();
    assert_eq!(
        borrowed.len(),
        4,
        "two slots of its own quota and two unused ones"
    );
    rig.submit("two", &two, 60_000).unwrap();
    assert!(rig.dispatch().is_empty(), "the team has used its quota");
    rig.finish(&borrowed[0], ANSWER);
    let sends = rig.dispatch();
    assert_eq!(sends.len(), 1);
    let stats = rig.kernel.stats();
    assert_eq!(stats[1].active, 2, "own quota precedes borrowed quota");
}

#[test]
fn request_is_forwarded_only_as_far_as_its_profile_allows() {
    let rows = [
        ("same zone", "zone", Distance::Zone, 2, 4, true),
        (
            "another zone, not allowed",
            "zone",
            Distance::Region,
            2,
            4,
            false,
        ),
        (
            "another zone, allowed",
            "region",
            Distance::Region,
            2,
            4,
            true,
        ),
        (
            "another region, not allowed",
            "region",
            Distance::Remote,
            24,
            4,
            false,
        ),
        (
            "another region, allowed",
            "anywhere",
            Distance::Remote,
            24,
            4,
            true,
        ),
        (
            "no free slot at the peer",
            "anywhere",
            Distance::Zone,
            2,
            0,
            false,
        ),
        (
            "too far for the deadline",
            "anywhere",
            Distance::Zone,
            900,
            4,
            false,
        ),
    ];
    for (name, spill, distance, rtt, free, expected) in rows {
        let profile = profile(serde_json::json!({"spill": spill}));
        let mut rig = Rig::new(0, 8);
        rig.submit("p", &profile, 800).unwrap();
        assert!(rig.dispatch().is_empty());
        let peer = ForwardTarget {
            free,
            distance,
            rtt,
        };
        let passed = rig.kernel.forward(rig.now, &[peer]);
        assert_eq!(!passed.is_empty(), expected, "{name}");
    }
}

#[test]
fn request_returned_by_a_peer_is_requeued_and_not_forwarded_again() {
    let profile = profile(serde_json::json!({}));
    let mut rig = Rig::new(0, 8);
    rig.submit("p", &profile, 800).unwrap();
    rig.dispatch();
    let peer = ForwardTarget {
        free: 1,
        distance: Distance::Zone,
        rtt: 2,
    };
    let passed = rig.kernel.forward(rig.now, &[peer]);
    let action =
        rig.kernel
            .finish_attempt(rig.now, passed[0].attempt, Outcome::NotRun, &mut rig.pool);
    assert_eq!(action, Action::Retry { at: rig.now });
    assert_eq!(rig.kernel.queued(), 1);
    assert!(rig.kernel.forward(rig.now, &[peer]).is_empty());
}

#[test]
fn sent_request_is_not_forwarded() {
    let profile = profile(serde_json::json!({"retry": {"budget": 1.0}}));
    let mut rig = Rig::new(1, 1);
    let sent = rig.send("p", &profile, 60_000);
    assert_matches!(rig.finish(&sent, Outcome::NotRun), Action::Retry { .. });
    let blocker = rig.send("blocker", &profile, 60_000);
    rig.now = rig.now.plus(50);
    assert!(rig.dispatch().is_empty());
    assert_eq!(rig.kernel.queued(), 1);
    let peer = ForwardTarget {
        free: 1,
        distance: Distance::Zone,
        rtt: 0,
    };
    assert!(rig.kernel.forward(rig.now, &[peer]).is_empty());
    rig.finish(&blocker, ANSWER);
    assert_eq!(rig.dispatch().len(), 1);
}
