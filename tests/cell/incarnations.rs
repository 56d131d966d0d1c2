//! What is meant for one incarnation of a worker must not act on the next one, which has the same id
//! and address.

use bamboolock::cell::{
    engine::{
        Action,
        Engine,
        PolicyQuery, //
    },
    model::{
        self,
        Permit,
        Verdict, //
    },
};

use super::make::{
    self,
    START, //
};

const JOB: &str = "00000000000000e1";

/// Registers the next incarnation of a worker that has not been polled since.
fn register_next(engine: &mut Engine, id: &str) {
    engine.register(make::worker(id, 2, 16_000));
}

/// Guards against a start that waited for the owner's link and then reaches an incarnation that has
/// not seen the owner's token: with an expiry on the clock of the former one, and although a successor
/// could not stop it there.
#[test]
fn a_start_that_waited_is_not_sent_to_an_incarnation_that_registered_meanwhile() {
    let (mut engine, run) = make::placed(JOB);
    register_next(&mut engine, "w1");
    assert_eq!(engine.start_command(run, START + 40), None);
}

/// Guards against a poll that renews leases by the clock of the former incarnation, and acknowledges
/// numbers that the next one gives to other ends.
#[test]
fn a_poll_of_an_incarnation_that_registered_meanwhile_renews_and_acknowledges_nothing() {
    let (mut engine, run) = make::placed(JOB);
    make::accept(&mut engine, &[run], START);
    let key = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 600);
    report.ended = vec![make::end(
        7,
        make::task("00000000000000e2", 0, 0),
        1,
        model::Outcome::Done,
    )];
    report.running = vec![make::live(JOB, 0, 0, 1)];
    make::answer(&mut engine, key, report, START + 100);
    make::store(&mut engine, START + 110);
    register_next(&mut engine, "w1");
    let poll = engine.poll_command(key, START + 700).unwrap();
    assert_eq!((poll.acked, poll.lease_end), (0, None));
}

/// Query that a placement pass sends.
fn query(engine: &mut Engine, now: u64) -> Option<PolicyQuery> {
    engine.schedule(now);
    let actions = std::mem::take(&mut engine.actions).into_iter();
    let mut queries = actions.filter_map(|action| match action {
        Action::Query(query) => Some(query),
        _ => None,
    });
    queries.next()
}

/// Creates an owner that has asked the policy about its only worker.
fn asked() -> (Engine, PolicyQuery) {
    let mut engine = make::owner(&[("w1", 16_000)]);
    engine.proxies.record_heartbeat("i1", u64::MAX / 2);
    let queue = make::advised(make::queue("q", 0));
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, queue, work, START);
    let query = query(&mut engine, START).unwrap();
    (engine, query)
}

fn permits() -> [Permit; 1] {
    [Permit {
        worker: "w1".into(),
        token: "of the first incarnation".into(),
    }]
}

/// Lets the next incarnation of the worker register and report.
fn restart(engine: &mut Engine, now: u64) {
    register_next(engine, "w1");
    let key = engine.cluster.find_worker("w1").unwrap();
    make::answer(engine, key, make::report(2, 50), now);
    make::store(engine, now);
    engine.actions.clear();
}

/// Guards against starts that the next incarnation refuses, since the permit that they carry is one
/// for the former incarnation.
#[test]
fn a_permit_that_was_held_is_not_used_at_the_next_incarnation() {
    let (mut engine, query) = asked();
    engine.policy_answered(&query, Some(&permits()), START + 300);
    restart(&mut engine, START + 310);
    assert_eq!(make::starts(&mut engine, START + 320), []);
}

/// The same for a query during which the worker restarted: the policy may have answered for either.
#[test]
fn a_permit_that_was_asked_for_before_a_restart_is_not_used_at_the_next_incarnation() {
    let (mut engine, query) = asked();
    restart(&mut engine, START + 290);
    engine.policy_answered(&query, Some(&permits()), START + 300);
    assert_eq!(make::starts(&mut engine, START + 320), []);
}

/// Guards against a permit that is used again after a worker has refused it, and against a worker or
/// task that is held back for it.
#[test]
fn a_refused_permit_is_dropped_and_asked_for_again() {
    let (mut engine, asked) = asked();
    engine.policy_answered(&asked, Some(&permits()), START + 300);
    let run = make::starts(&mut engine, START + 320)[0];
    engine.start_command(run, START + 320).unwrap();
    let refused = model::Reply {
        verdict: Verdict::Permit,
        clock: Some(840),
    };
    engine.start_answered(run, Ok(refused), START + 340);
    let again = query(&mut engine, START + 360).unwrap();
    assert_eq!(again.workers, ["w1"]);
    engine.policy_answered(&again, Some(&permits()), START + 660);
    assert_eq!(make::starts(&mut engine, START + 680).len(), 1);
}
