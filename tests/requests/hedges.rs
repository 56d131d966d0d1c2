//! Tests of request hedging.

use bamboolock::kernel::requests::{
    Action,
    AttemptKind,
    Outcome, //
};

use crate::support::{
    Rig,
    profile, //
};

const ANSWER: Outcome = Outcome::Answered { took: 5 };

#[test]
fn a_slow_idempotent_request_is_hedged_once_and_answered_once() {
    for route in ["least_loaded", "random", "round_robin"] {
        let profile = profile(serde_json::json!({
            "idempotent": true,
            "hedge": {"budget": 1.0, "quantile": 0.9},
            "policies": {"route": route},
        }));
        let mut rig = Rig::new(2, 4);
        rig.warm("p", &profile, 5, 10);
        for _ in 0..10 {
            let first = rig.send("p", &profile, 1_000);
            assert!(rig.dispatch().is_empty(), "{route}");
            rig.now = rig.now.plus(8);
            let copies = rig.dispatch();
            assert_eq!(copies.len(), 1, "{route}");
            assert_eq!(copies[0].kind, AttemptKind::Hedge, "{route}");
            assert_ne!(copies[0].worker, first.worker, "{route}");
            rig.now = rig.now.plus(20);
            assert!(rig.dispatch().is_empty(), "{route}");
            assert_eq!(rig.finish(&copies[0], ANSWER), Action::Answer, "{route}");
            assert_eq!(rig.finish(&first, ANSWER), Action::Ignore, "{route}");
        }
        assert_eq!(rig.held(), 0, "{route}");
    }
}

#[test]
fn failed_hedge_leaves_the_first_attempt_in_progress() {
    let profile = profile(serde_json::json!({
        "idempotent": true,
        "hedge": {"budget": 1.0, "quantile": 0.9},
        "retry": {"budget": 1.0},
    }));
    let mut rig = Rig::new(2, 2);
    rig.warm("p", &profile, 5, 10);
    let first = rig.send("p", &profile, 1_000);
    rig.now = rig.now.plus(8);
    let copy = rig.dispatch().remove(0);
    assert_eq!(rig.finish(&copy, Outcome::NotRun), Action::Ignore);
    assert_eq!(rig.finish(&first, ANSWER), Action::Answer);
}

#[test]
fn hedge_is_not_sent_if_not_allowed() {
    let rows = [
        ("non-idempotent", false, 0.5, 0),
        ("no budget", true, 0.0, 0),
        ("budget exhausted", true, 0.01, 0),
        ("another request waits", true, 0.5, 2),
    ];
    for (name, idempotent, budget, waiting) in rows {
        let slow = profile(serde_json::json!({
            "idempotent": idempotent,
            "hedge": {"budget": budget, "quantile": 0.9},
        }));
        let other = profile(serde_json::json!({"limits": {"concurrency": 1}}));
        let mut rig = Rig::new(2, 4);
        rig.warm("slow", &slow, 5, 10);
        let first = rig.send("slow", &slow, 1_000);
        for _ in 0..waiting {
            rig.submit("other", &other, 1_000).unwrap();
            rig.dispatch();
        }
        rig.now = rig.now.plus(8);
        assert!(rig.dispatch().is_empty(), "{name}");
        assert_eq!(rig.finish(&first, ANSWER), Action::Answer, "{name}");
    }
}
