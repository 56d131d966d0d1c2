//! Tests of decisions based on run-time estimates, and of profile updates.

use std::sync::Arc;

use assert_matches::assert_matches;
use bamboolock::{
    kernel::requests::{
        Action,
        Outcome, //
    },
    profile::Profile,
    wire::caller::Code, //
};

use crate::support::{
    Rig,
    profile, //
};

const ANSWER: Outcome = Outcome::Answered { took: 100 };

/// Submits a request with a given profile version.
fn submit(rig: &mut Rig, version: u32, profile: &Arc<Profile>) -> Result<(), Code> {
    let mut arrival = rig.arrival("p", profile, 60_000);
    arrival.version = version;
    let submitted = rig.kernel.submit(rig.now, arrival);
    submitted.map(|_| ()).map_err(|refusal| refusal.code)
}

#[test]
fn backlog_is_counted_once_after_the_queue_was_empty() {
    let profile = profile(serde_json::json!({"policies": {"order": "fifo"}}));
    let mut rig = Rig::new(1, 1);
    rig.warm("p", &profile, 100, 50);
    rig.send("p", &profile, 60_000);
    rig.submit("p", &profile, 60_000).unwrap();
    // One request is running and one is ahead: a wait of 200 ms and a run time of at most 111 ms.
    rig.submit("p", &profile, 320).unwrap();
}

#[test]
fn slots_held_by_higher_priorities_are_not_counted_as_available() {
    let rows = [
        ("low", 0, 250, false),
        ("low", 0, 450, true),
        ("high", 9, 250, true),
    ];
    for (name, priority, deadline, admitted) in rows {
        let urgent = profile(serde_json::json!({"priority": 9}));
        let chosen = profile(serde_json::json!({
            "priority": priority,
            "policies": {"order": "fifo"},
        }));
        let mut rig = Rig::new(1, 4);
        rig.warm("urgent", &urgent, 100, 10);
        rig.warm("chosen", &chosen, 100, 10);
        for _ in 0..3 {
            rig.send("urgent", &urgent, 60_000);
        }
        rig.send("chosen", &chosen, 60_000);
        rig.submit("chosen", &chosen, 60_000).unwrap();
        rig.dispatch();
        let submitted = rig.submit("chosen", &chosen, deadline);
        assert_eq!(submitted.is_ok(), admitted, "{name}, {deadline} ms left");
    }
}

#[test]
fn contested_slot_goes_to_a_request_that_is_likely_to_finish() {
    // Half of the requests run for 100 ms, the other half for 400 ms.
    for (name, others, expected) in [("alone", 0, 1), ("contested", 1, 0)] {
        let profile = profile(serde_json::json!({"policies": {"shed": "full_queue"}}));
        let mut rig = Rig::new(1, 1);
        for _ in 0..10 {
            rig.warm("p", &profile, 100, 1);
            rig.warm("p", &profile, 400, 1);
        }
        let first = rig.send("p", &profile, 60_000);
        let tight = rig.submit("p", &profile, 400).unwrap();
        for _ in 0..others {
            rig.submit("p", &profile, 60_000).unwrap();
        }
        rig.now = rig.now.plus(100);
        assert_eq!(rig.finish(&first, ANSWER), Action::Answer, "{name}");
        let sends = rig.dispatch();
        assert_eq!(sends.len(), 1, "{name}");
        let sent = usize::from(sends[0].key == tight);
        assert_eq!(sent, expected, "{name}");
        for notice in rig.kernel.take_notices() {
            assert_eq!(notice.key, tight, "{name}");
            assert_matches!(notice.action, Action::Refuse(_), "{name}");
        }
    }
}

#[test]
fn older_profile_version_does_not_replace_a_newer_one() {
    let old = profile(serde_json::json!({"limits": {"queue": 3}}));
    let new = profile(serde_json::json!({"limits": {"queue": 1}}));
    let mut rig = Rig::new(0, 1);
    assert_eq!(submit(&mut rig, 2, &new), Ok(()));
    assert_eq!(submit(&mut rig, 1, &old), Err(Code::QueueFull));
    assert_eq!(submit(&mut rig, 3, &old), Ok(()));
}

#[test]
fn quota_usage_is_exact_after_adding_or_removing_a_quota() {
    let free = profile(serde_json::json!({}));
    let quota = profile(serde_json::json!({"quota": {"slots": 2, "connections": 2}}));
    for (before, after) in [(&quota, &free), (&free, &quota)] {
        let mut rig = Rig::new(1, 8);
        submit(&mut rig, 1, before).unwrap();
        submit(&mut rig, 1, before).unwrap();
        let sends = rig.dispatch();
        assert_eq!(sends.len(), 2);
        submit(&mut rig, 2, after).unwrap();
        for sent in &sends {
            rig.finish(sent, ANSWER);
        }
        for sent in rig.dispatch() {
            rig.finish(&sent, ANSWER);
        }
        for _ in 0..3 {
            submit(&mut rig, 3, &quota).unwrap();
        }
        assert_eq!(rig.dispatch().len(), 2, "the whole quota and no more");
    }
}
