//! Tests of admission, queue order, load shedding and deadlines of waiting requests.

use assert_matches::assert_matches;
use bamboolock::{
    configs,
    context::Distance,
    kernel::requests::{
        Action,
        ForwardTarget,
        Outcome, //
    },
    modules,
    wire::caller::{
        Code,
        Ran, //
    },
};

use crate::support::{
    Rig,
    profile, //
};

const ANSWER: Outcome = Outcome::Answered { took: 100 };

inventory::submit! {
    modules::Plugin {
        name: "test_admits_all",
        summary: "admits every request, also beyond the queue bound",
        point: modules::Point::Shed(|_| false),
    }
}

#[test]
fn queue_bound_holds_for_any_shed_plugin() {
    let profile = profile(serde_json::json!({
        "limits": {"queue": 2},
        "policies": {"shed": "test_admits_all"},
    }));
    let mut rig = Rig::new(0, 1);
    rig.submit("p", &profile, 60_000).unwrap();
    rig.submit("p", &profile, 60_000).unwrap();
    let refusal = rig.submit("p", &profile, 60_000).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::QueueFull, Ran::No));
}

#[test]
fn request_that_cannot_meet_its_deadline_is_not_dispatched() {
    let profile = profile(serde_json::json!({"policies": {"shed": "full_queue"}}));
    let mut rig = Rig::new(1, 1);
    rig.warm("p", &profile, 100, 10);
    let first = rig.send("p", &profile, 60_000);
    let key = rig.submit("p", &profile, 150).unwrap();
    rig.now = rig.now.plus(100);
    assert_eq!(rig.finish(&first, ANSWER), Action::Answer);
    assert!(rig.dispatch().is_empty());
    let notices = rig.kernel.take_notices();
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].key, key);
    assert_matches!(&notices[0].action, Action::Refuse(r) if r.ran == Ran::No);
}

#[test]
fn refusals_at_admission_report_not_run() {
    let plain = profile(serde_json::json!({"limits": {"queue": 2}}));
    let job = profile(serde_json::json!({"kind": "run"}));
    let full = |rig: &mut Rig| {
        for _ in 0..3 {
            rig.submit("p", &plain, 60_000).unwrap();
            rig.dispatch();
        }
    };
    let late = |rig: &mut Rig| {
        rig.warm("p", &plain, 100, 20);
        rig.submit("p", &plain, 60_000).unwrap();
        rig.dispatch();
    };
    let drain = |rig: &mut Rig| rig.kernel.drain();
    type Before<'a> = &'a dyn Fn(&mut Rig);
    let rows: [(&str, Before<'_>, _, u64, Code); 5] = [
        ("the queue is full", &full, &plain, 60_000, Code::QueueFull),
        ("no time to run", &late, &plain, 90, Code::Deadline),
        (
            "no time to wait and run",
            &late,
            &plain,
            150,
            Code::Deadline,
        ),
        ("draining", &drain, &plain, 60_000, Code::Draining),
        (
            "a job's profile",
            &|_| (),
            &job,
            60_000,
            Code::UnknownProfile,
        ),
    ];
    for (name, before, profile, deadline, code) in rows {
        let mut rig = Rig::new(1, 1);
        before(&mut rig);
        let refusal = rig.submit("p", profile, deadline).unwrap_err();
        assert_eq!((refusal.code, refusal.ran), (code, Ran::No), "{name}");
        let helps = code != Code::UnknownProfile;
        assert_eq!(refusal.retry.is_some(), helps, "{name}");
    }
}

#[test]
fn queued_request_past_its_deadline_is_refused_as_not_run() {
    let profile = profile(serde_json::json!({}));
    let mut rig = Rig::new(1, 1);
    let first = rig.send("p", &profile, 60_000);
    let key = rig.submit("p", &profile, 50).unwrap();
    assert!(rig.advance(49).is_empty());
    let notices = rig.advance(1);
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].key, key);
    assert_matches!(&notices[0].action, Action::Refuse(r) if r.ran == Ran::No && r.code == Code::Deadline);
    rig.finish(&first, ANSWER);
    assert!(rig.dispatch().is_empty());
    assert!(rig.kernel.is_idle());
}

#[test]
fn a_cancelled_request_is_never_sent() {
    let profile = profile(serde_json::json!({}));
    let mut rig = Rig::new(1, 1);
    let first = rig.send("p", &profile, 60_000);
    let key = rig.submit("p", &profile, 60_000).unwrap();
    assert!(rig.kernel.cancel(key).is_empty());
    assert_eq!(rig.kernel.cancel(first.key), [first.attempt]);
    assert_eq!(rig.held(), 1);
    assert_eq!(rig.finish(&first, ANSWER), Action::Ignore);
    assert!(rig.dispatch().is_empty());
    assert_eq!(rig.held(), 0);
}

#[test]
fn full_instance_evicts_only_a_lower_priority() {
    let cfg = configs::requests::Requests {
        waiting: 3,
        ..Default::default()
    };
    let ranked = |priority| profile(serde_json::json!({"priority": priority}));
    let (low, middle, high) = (ranked(1), ranked(4), ranked(8));
    let mut rig = Rig::with(cfg, 1, 1);
    rig.send("high", &high, 60_000);
    let waiting = rig.submit("low", &low, 60_000).unwrap();
    rig.submit("middle", &middle, 60_000).unwrap();
    rig.submit("middle", &middle, 60_000).unwrap();
    let refusal = rig.submit("low", &low, 60_000).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::QueueFull, Ran::No));
    rig.submit("high", &high, 60_000).unwrap();
    let notices = rig.kernel.take_notices();
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].key, waiting);
    assert_matches!(&notices[0].action, Action::Refuse(r) if r.ran == Ran::No);
    let refusal = rig.submit("middle", &middle, 60_000).unwrap_err();
    assert_eq!(refusal.code, Code::QueueFull);
    assert!(rig.kernel.take_notices().is_empty());
}

#[test]
fn a_request_that_was_sent_is_not_evicted() {
    let cfg = configs::requests::Requests {
        waiting: 1,
        ..Default::default()
    };
    let low = profile(serde_json::json!({"idempotent": true, "retry": {"budget": 1.0}}));
    let high = profile(serde_json::json!({"priority": 9}));
    let mut rig = Rig::with(cfg, 1, 1);
    let sent = rig.send("low", &low, 60_000);
    assert_matches!(
        rig.finish(&sent, Outcome::BackendError { took: 1 }),
        Action::Retry { .. }
    );
    rig.send("high", &high, 60_000);
    rig.now = rig.now.plus(50);
    assert!(rig.dispatch().is_empty());
    assert_eq!(rig.kernel.queued(), 1, "the retry takes the only place");
    let refusal = rig.submit("high", &high, 60_000).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::QueueFull, Ran::No));
    assert!(rig.kernel.take_notices().is_empty());
}

/// Guards against a failure of the soak test: a forwarded request was evicted as not run, since it
/// had not been sent to a worker, although it may have run at the peer.
#[test]
fn a_request_that_may_run_at_a_peer_is_not_evicted() {
    let cfg = configs::requests::Requests {
        waiting: 1,
        ..Default::default()
    };
    let low = profile(serde_json::json!({"idempotent": true, "retry": {"budget": 1.0}}));
    let high = profile(serde_json::json!({"priority": 9}));
    let mut rig = Rig::with(cfg, 1, 1);
    rig.send("low", &low, 60_000);
    rig.submit("low", &low, 60_000).unwrap();
    let peer = ForwardTarget {
        free: 1,
        distance: Distance::Zone,
        rtt: 0,
    };
    let passed = rig.kernel.forward(rig.now, &[peer]);
    assert_eq!(passed.len(), 1);
    let action =
        rig.kernel
            .finish_attempt(rig.now, passed[0].attempt, Outcome::TimedOut, &mut rig.pool);
    assert_matches!(action, Action::Retry { .. });
    rig.now = rig.now.plus(50);
    assert!(rig.dispatch().is_empty());
    assert_eq!(rig.kernel.queued(), 1);
    let refusal = rig.submit("high", &high, 60_000).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::QueueFull, Ran::No));
    assert!(rig.kernel.take_notices().is_empty());
}

#[test]
fn most_urgent_request_is_dispatched_first() {
    let rows = [
        (
            "priority before deadline",
            "deadline",
            [(1, 500), (8, 9_000)],
            1,
        ),
        (
            "the earlier deadline",
            "deadline",
            [(1, 9_000), (1, 500)],
            1,
        ),
        ("arrival alone", "fifo", [(1, 9_000), (1, 500)], 0),
    ];
    for (name, order, submits, expected) in rows {
        let mut rig = Rig::new(1, 1);
        let blocker = profile(serde_json::json!({}));
        let first = rig.send("blocker", &blocker, 60_000);
        let mut keys = Vec::new();
        for (i, (priority, deadline)) in submits.into_iter().enumerate() {
            let profile = profile(serde_json::json!({
                "priority": priority,
                "policies": {"order": order},
            }));
            rig.now = rig.now.plus(1);
            let submitted = rig.submit(&format!("p{i}"), &profile, deadline);
            keys.push(submitted.unwrap());
        }
        rig.finish(&first, Outcome::Answered { took: 1 });
        let sends = rig.dispatch();
        assert_eq!(sends.len(), 1, "{name}");
        assert_eq!(sends[0].key, keys[expected], "{name}");
    }
}

#[test]
fn teams_get_equal_shares_of_the_slots() {
    let team = |team| {
        profile(serde_json::json!({
            "team": team,
            "policies": {"order": "fair_share", "shed": "full_queue"},
        }))
    };
    let (greedy, modest) = (team("greedy"), team("modest"));
    let mut rig = Rig::new(1, 1);
    for _ in 0..40 {
        rig.submit("greedy", &greedy, 60_000).unwrap();
    }
    for _ in 0..10 {
        rig.submit("modest", &modest, 60_000).unwrap();
    }
    let mut modest_sent = 0;
    for _ in 0..20 {
        let sends = rig.dispatch();
        let stats = rig.kernel.stats();
        modest_sent = stats
            .iter()
            .find(|g| g.profile_name.as_str() == "modest")
            .unwrap()
            .first;
        rig.finish(&sends[0], Outcome::Answered { took: 1_000 });
    }
    assert!((9..=10).contains(&modest_sent), "{modest_sent} of 20");
}
