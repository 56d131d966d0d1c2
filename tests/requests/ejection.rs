//! Tests of the ejection of failing workers: its limit and readmission.

use bamboolock::kernel::requests::{
    Action,
    Dispatch,
    Outcome, //
};

use crate::support::{
    self,
    Rig,
    profile, //
};

const ANSWER: Outcome = Outcome::Answered { took: 20 };

/// Sends `count` requests one after the other; the workers with the indices in `bad` fail them at
/// once. Returns the number of failures.
fn drive(rig: &mut Rig, bad: &[usize], count: usize) -> usize {
    let profile = profile(serde_json::json!({"retry": {"budget": 0.0}}));
    let keys = rig.pool.keys();
    let mut failed = 0;
    let mut open: Vec<Dispatch> = Vec::new();
    for _ in 0..count {
        rig.submit("p", &profile, 60_000).unwrap();
        rig.now = rig.now.plus(5);
        open.extend(rig.dispatch());
        let (fast, slow): (Vec<_>, Vec<_>) = open
            .drain(..)
            .partition(|d| bad.iter().any(|i| keys[*i] == d.worker));
        for dispatch in fast {
            failed += 1;
            rig.finish(&dispatch, Outcome::NotRun);
        }
        open = slow;
        if open.len() >= 4 {
            let first = open.remove(0);
            assert_eq!(rig.finish(&first, ANSWER), Action::Answer);
        }
    }
    for dispatch in open {
        rig.finish(&dispatch, ANSWER);
    }
    failed
}

#[test]
fn a_worker_that_fails_fast_does_not_attract_load() {
    let mut rig = Rig::new(4, 8);
    let failed = drive(&mut rig, &[1], 300);
    assert!(failed <= 10, "{failed} of 300");
    assert_eq!(rig.kernel.ejected(), 1);
}

#[test]
fn ejections_stay_within_the_configured_share() {
    let rows = [
        ("one of four", vec![0], 1),
        ("three of four", vec![0, 1, 2], 2),
        ("all of four", vec![0, 1, 2, 3], 2),
    ];
    for (name, bad, expected) in rows {
        let mut rig = Rig::new(4, 8);
        drive(&mut rig, &bad, 200);
        assert_eq!(rig.kernel.ejected(), expected, "{name}");
    }
    let mut rig = Rig::new(1, 8);
    drive(&mut rig, &[0], 50);
    assert_eq!(rig.kernel.ejected(), 0, "the only worker");
}

#[test]
fn ejected_worker_is_readmitted_through_one_probe() {
    let once = profile(serde_json::json!({}));
    let check = profile(serde_json::json!({"idempotent": true}));
    let mut rig = Rig::new(2, 8);
    drive(&mut rig, &[0], 60);
    assert_eq!(rig.kernel.ejected(), 1);
    let bad = rig.pool.keys()[0];
    rig.advance(5_000);
    assert_eq!(rig.kernel.ejected(), 0);
    for _ in 0..8 {
        let sent = rig.send("once", &once, 60_000);
        assert_ne!(sent.worker, bad, "only idempotent requests are probes");
    }
    let probe = rig.send("check", &check, 60_000);
    assert_eq!(probe.worker, bad);
    rig.submit("check", &check, 60_000).unwrap();
    assert!(rig.dispatch().is_empty(), "one probe at a time");
    assert_eq!(rig.finish(&probe, ANSWER), Action::Answer);
    assert_eq!(rig.dispatch()[0].worker, bad);
}

#[test]
fn a_failed_probe_ejects_again() {
    let check = profile(serde_json::json!({"idempotent": true}));
    let mut rig = Rig::new(2, 8);
    drive(&mut rig, &[0], 60);
    rig.advance(5_000);
    let bad = rig.pool.keys()[0];
    let first = rig.send("check", &check, 60_000);
    let second = rig.send("check", &check, 60_000);
    let probe = if first.worker == bad { first } else { second };
    assert_eq!(probe.worker, bad);
    rig.finish(&probe, Outcome::NotRun);
    assert_eq!(rig.kernel.ejected(), 1);
}

/// Guards against ejections that stop for good: a worker that is removed while it is ejected, and whose
/// place another one takes, counted against the limit for ever.
#[test]
fn a_worker_that_is_removed_while_it_is_ejected_counts_until_its_pause_ends() {
    let mut rig = Rig::new(4, 8);
    drive(&mut rig, &[1], 60);
    assert_eq!(rig.kernel.ejected(), 1);
    let bad = rig.pool.keys()[1];
    rig.pool.remove(bad);
    // It takes the place of the former one.
    rig.pool.add(support::worker(8));
    drive(&mut rig, &[], 60);
    rig.advance(10_000);
    drive(&mut rig, &[], 1);
    assert_eq!(rig.kernel.ejected(), 0);
}
