//! Tests of a request that crashes each backend server that runs it: it goes on to few of them, and
//! its answer says that the outcome is unknown.

use actix_web::http::StatusCode;
use assert_matches::assert_matches;
use bamboolock::{
    context::Distance,
    entry::{
        exchange,
        scheduler::AttemptOutcome, //
    },
    kernel::{
        WorkerKey,
        requests::{
            Action,
            AttemptKind,
            Dispatch,
            ForwardTarget,
            Outcome, //
        }, //
    },
    wire::caller::{
        Code,
        Ran, //
    },
};

use crate::support::{
    Rig,
    profile, //
};

const BACKEND: Outcome = Outcome::BackendError { took: 5 };

/// Number of backend servers that one request may take down.
const MOST_BROKEN: usize = 2;

/// Sends a request whose attempts end as listed, and returns the number of attempts of which the
/// connection broke, and the final action.
fn play(outcomes: &[Outcome]) -> (usize, Action) {
    let profile = profile(serde_json::json!({
        "idempotent": true,
        "retry": {"budget": 1.0, "attempts": 10, "backoff": 2},
    }));
    let mut rig = Rig::new(16, 4);
    rig.warm("p", &profile, 5, 40);
    let mut sent = rig.send("p", &profile, 60_000);
    let mut broken = 0;
    for outcome in outcomes.iter().cycle() {
        broken += usize::from(*outcome == Outcome::ConnectionLost);
        let action = rig.finish(&sent, *outcome);
        let Action::Retry { at } = action else {
            return (broken, action);
        };
        rig.now = at;
        sent = rig.dispatch().remove(0);
    }
    unreachable!()
}

#[test]
fn a_request_that_crashes_its_backend_servers_takes_down_two_at_most() {
    let rows: [(&str, &[Outcome]); 4] = [
        ("each time", &[Outcome::ConnectionLost]),
        (
            "each second time, not run between",
            &[Outcome::NotRun, Outcome::ConnectionLost],
        ),
        (
            "each third time",
            &[Outcome::NotRun, Outcome::NotRun, Outcome::ConnectionLost],
        ),
        (
            "after an error of the backend server",
            &[BACKEND, Outcome::ConnectionLost],
        ),
    ];
    for (name, outcomes) in rows {
        let (broken, action) = play(outcomes);
        assert_eq!(broken, MOST_BROKEN, "{name}");
        let expected = match outcomes.contains(&BACKEND) {
            true => (Code::Backend, Ran::Yes),
            false => (Code::OutcomeUnknown, Ran::Unknown),
        };
        assert_matches!(action, Action::Refuse(r) if (r.code, r.ran) == expected, "{name}");
    }
}

#[test]
fn a_request_whose_hedge_crashed_too_is_not_sent_again() {
    let profile = profile(serde_json::json!({
        "idempotent": true,
        "hedge": {"budget": 1.0, "quantile": 0.9},
        "retry": {"budget": 1.0, "attempts": 10, "backoff": 2},
    }));
    let mut rig = Rig::new(8, 4);
    rig.warm("p", &profile, 5, 40);
    let first = rig.send("p", &profile, 60_000);
    rig.now = rig.now.plus(8);
    let copy = rig.dispatch().remove(0);
    assert_eq!(copy.kind, AttemptKind::Hedge);
    assert_eq!(rig.finish(&first, Outcome::ConnectionLost), Action::Ignore);
    let action = rig.finish(&copy, Outcome::ConnectionLost);
    assert_matches!(action, Action::Refuse(r) if r.ran == Ran::Unknown);
}

#[test]
fn a_request_that_crashed_a_backend_server_is_not_hedged() {
    let profile = profile(serde_json::json!({
        "idempotent": true,
        "hedge": {"budget": 1.0, "quantile": 0.9},
        "retry": {"budget": 1.0, "attempts": 10, "backoff": 2},
    }));
    let mut rig = Rig::new(8, 4);
    rig.warm("p", &profile, 5, 40);
    let first = rig.send("p", &profile, 60_000);
    let action = rig.finish(&first, Outcome::ConnectionLost);
    let Action::Retry { at } = action else {
        panic!("{action:?}");
    };
    rig.now = at;
    let retry = rig.dispatch().remove(0);
    rig.now = rig.now.plus(50);
    assert!(rig.dispatch().is_empty(), "hedged after a crash");
    assert_eq!(
        rig.finish(&retry, Outcome::Answered { took: 5 }),
        Action::Answer
    );
}

/// A request whose two attempts timed out, so that a third one waits.
fn third_attempt_waits() -> (Rig, [Dispatch; 2]) {
    let profile = profile(serde_json::json!({
        "idempotent": true,
        "retry": {"budget": 1.0, "attempts": 10, "backoff": 20},
    }));
    let mut rig = Rig::new(8, 4);
    rig.warm("p", &profile, 5, 40);
    let first = rig.send("p", &profile, 60_000);
    let Action::Retry { at } = rig.finish(&first, Outcome::TimedOut) else {
        panic!("not retried");
    };
    rig.now = at;
    let second = rig.dispatch().remove(0);
    assert_matches!(rig.finish(&second, Outcome::TimedOut), Action::Retry { .. });
    (rig, [first, second])
}

#[test]
fn a_waiting_retry_is_dropped_when_both_earlier_attempts_crash() {
    let (mut rig, [first, second]) = third_attempt_waits();
    assert_eq!(rig.finish(&first, Outcome::ConnectionLost), Action::Ignore);
    let action = rig.finish(&second, Outcome::ConnectionLost);
    assert_matches!(action, Action::Refuse(r) if r.ran == Ran::Unknown);
    rig.now = rig.now.plus(1_000);
    assert!(rig.dispatch().is_empty());
    assert!(rig.kernel.is_idle());
}

#[test]
fn a_request_that_a_peer_gave_up_as_unknown_goes_to_no_further_server() {
    let profile = profile(serde_json::json!({
        "idempotent": true,
        "retry": {"budget": 1.0, "attempts": 10, "backoff": 2},
    }));
    let mut rig = Rig::new(1, 1);
    rig.warm("p", &profile, 100, 40);
    rig.send("p", &profile, 60_000);
    rig.submit("p", &profile, 60_000).unwrap();
    let peer = ForwardTarget {
        free: 1,
        distance: Distance::Zone,
        rtt: 0,
    };
    let passed = rig.kernel.forward(rig.now, &[peer]);
    assert_eq!(passed.len(), 1);
    let attempt = passed[0].attempt;
    let action = rig
        .kernel
        .finish_attempt(rig.now, attempt, Outcome::Unknown, &mut rig.pool);
    let expected = (Code::OutcomeUnknown, Ran::Unknown);
    assert_matches!(action, Action::Refuse(r) if (r.code, r.ran) == expected);
}

#[test]
fn an_unknown_outcome_at_a_peer_is_not_taken_for_a_run() {
    let rows = [
        (
            "peer, unknown",
            true,
            504,
            Ran::Unknown,
            AttemptOutcome::Unknown,
        ),
        (
            "peer, ran",
            true,
            502,
            Ran::Yes,
            AttemptOutcome::BackendError,
        ),
        (
            "peer, answered",
            true,
            200,
            Ran::Yes,
            AttemptOutcome::Answered,
        ),
        (
            "worker that does not say",
            false,
            500,
            Ran::Unknown,
            AttemptOutcome::BackendError,
        ),
    ];
    for (name, peer, status, ran, expected) in rows {
        let outcome = exchange::Outcome::Complete(exchange::Response {
            status: StatusCode::from_u16(status).unwrap(),
            content_type: "".into(),
            body: Default::default(),
            ran,
        });
        let worker = (!peer).then(WorkerKey::default);
        assert_eq!(AttemptOutcome::of(&outcome, worker), expected, "{name}");
    }
}
