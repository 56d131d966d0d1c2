//! Room: slots kept for short work, quotas, and passing requests on.

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
fn long_work_leaves_the_reserved_slots_to_others() {
    let long = profile(serde_json::json!({"limits": {"reserve": 2}}));
    let short = profile(serde_json::json!({}));
    let mut rig = Rig::new(3, 8);
    for _ in 0..30 {
        rig.submit("long", &long, 60_000).unwrap();
    }
    let sends = rig.next();
    assert_eq!(sends.len(), 18);
    for worker in rig.pool.keys() {
        assert_eq!(rig.pool.free(worker).slots, 2);
    }
    for _ in 0..6 {
        rig.send("short", &short, 1_000);
    }
    assert_eq!(rig.pool.faults(), 0);
}

#[test]
fn a_learned_long_profile_leaves_spare_slots() {
    let plain = profile(serde_json::json!({}));
    let mut rig = Rig::new(1, 4);
    rig.warm("short", &plain, 5, 25);
    rig.warm("long", &plain, 500, 25);
    rig.pass(1);
    for _ in 0..6 {
        rig.submit("long", &plain, 60_000).unwrap();
    }
    assert_eq!(rig.next().len(), 3);
    rig.send("short", &plain, 1_000);
}

#[test]
fn a_request_that_outlives_its_class_counts_as_long_work() {
    let short = profile(serde_json::json!({}));
    let long = profile(serde_json::json!({"limits": {"reserve": 2}}));
    let mut rig = Rig::new(1, 4);
    rig.warm("short", &short, 5, 25);
    let straggler = rig.send("short", &short, 60_000);
    rig.pass(100);
    rig.submit("long", &long, 60_000).unwrap();
    rig.submit("long", &long, 60_000).unwrap();
    assert_eq!(rig.next().len(), 1);
    assert_eq!(rig.finish(&straggler, ANSWER), Action::Answer);
    assert_eq!(rig.next().len(), 1);
}

#[test]
fn quotas_bound_a_team_and_lend_what_is_unused() {
    let quota = |slots| {
        profile(serde_json::json!({
            "quota": {"slots": slots, "connections": slots},
            "policies": {"shed": "full_queue"},
        }))
    };
    let (one, two) = (quota(2), quota(3));
    let mut rig = Rig::new(1, 8);
    rig.submit("two", &two, 60_000).unwrap();
    rig.next();
    for _ in 0..8 {
        rig.submit("one", &one, 60_000).unwrap();
    }
    let borrowed = rig.next();
    assert_eq!(borrowed.len(), 4, "two of its own and two that are unused");
    rig.submit("two", &two, 60_000).unwrap();
    assert!(rig.next().is_empty(), "the team holds all that it may");
    rig.finish(&borrowed[0], ANSWER);
    let sends = rig.next();
    assert_eq!(sends.len(), 1);
    let stats = rig.kernel.stats();
    assert_eq!(stats[1].active, 2, "the owner goes before the borrower");
}

#[test]
fn a_request_is_passed_on_only_where_its_profile_allows() {
    let rows = [
        ("same zone", "zone", Distance::Zone, 2, 4, true),
        ("another zone, kept", "zone", Distance::Region, 2, 4, false),
        (
            "another zone, allowed",
            "region",
            Distance::Region,
            2,
            4,
            true,
        ),
        (
            "another region, kept",
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
        ("no room there", "anywhere", Distance::Zone, 2, 0, false),
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
        assert!(rig.next().is_empty());
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
fn a_request_that_a_peer_hands_back_unrun_waits_here_and_stays() {
    let profile = profile(serde_json::json!({}));
    let mut rig = Rig::new(0, 8);
    rig.submit("p", &profile, 800).unwrap();
    rig.next();
    let peer = ForwardTarget {
        free: 1,
        distance: Distance::Zone,
        rtt: 2,
    };
    let passed = rig.kernel.forward(rig.now, &[peer]);
    let step =
        rig.kernel
            .finish_attempt(rig.now, passed[0].attempt, Outcome::NotRun, &mut rig.pool);
    assert_eq!(step, Action::Retry { at: rig.now });
    assert_eq!(rig.kernel.queued(), 1);
    assert!(rig.kernel.forward(rig.now, &[peer]).is_empty());
}

#[test]
fn a_request_that_was_sent_is_not_passed_on() {
    let profile = profile(serde_json::json!({"retry": {"budget": 1.0}}));
    let mut rig = Rig::new(1, 1);
    let sent = rig.send("p", &profile, 60_000);
    assert_matches!(rig.finish(&sent, Outcome::NotRun), Action::Retry { .. });
    let blocker = rig.send("blocker", &profile, 60_000);
    rig.now = rig.now.plus(50);
    assert!(rig.next().is_empty());
    assert_eq!(rig.kernel.queued(), 1);
    let peer = ForwardTarget {
        free: 1,
        distance: Distance::Zone,
        rtt: 0,
    };
    assert!(rig.kernel.forward(rig.now, &[peer]).is_empty());
    rig.finish(&blocker, ANSWER);
    assert_eq!(rig.next().len(), 1);
}
