//! Gangs whose workers crash, in a queue with a placement policy that takes long.

use bamboolock::cell::{
    engine::{
        Action,
        Engine,
        PolicyQuery, //
    },
    model, //
};

use super::make::{
    self,
    START, //
};

const FIRST: &str = "00000000000000f1";
const SECOND: &str = "00000000000000f2";

/// Delay between two placement passes, in milliseconds.
const PASS: u64 = 25;

/// Job of one gang.
fn gang(count: u32, millicores: u32) -> model::Submission {
    let mut step = make::step(count, millicores);
    step.gang = true;
    make::work(vec![step])
}

/// Queries that a placement pass sends.
fn queries(engine: &mut Engine, now: u64) -> Vec<PolicyQuery> {
    engine.schedule(now);
    let actions = std::mem::take(&mut engine.actions).into_iter();
    let queries = actions.filter_map(|action| match action {
        Action::Query(query) => Some(query),
        _ => None,
    });
    queries.collect()
}

#[test]
fn a_probe_that_no_instance_could_send_is_not_put_off() {
    // The policy is expected to allow half of the workers, too few for the second gang.
    let workers = ["w1", "w2", "w3", "w4"].map(|w| (w, 8_000));
    let mut engine = make::owner(&workers);
    engine.proxies.record_heartbeat("i1", u64::MAX / 2);
    let queue = make::advised(make::queue("q", 1));
    make::submit(&mut engine, FIRST, queue.clone(), gang(1, 100), START);
    let asked = queries(&mut engine, START);
    assert_eq!(asked.len(), 1);
    make::submit(&mut engine, SECOND, queue, gang(4, 5_000), START);
    assert_eq!(
        queries(&mut engine, START + PASS),
        [],
        "no instance is free"
    );
    let at = START + 400;
    engine.policy_answered(&asked[0], Some(&[]), at);
    engine.cancel(FIRST, at).unwrap();
    let probes = queries(&mut engine, at);
    assert_eq!(probes.len(), 1, "an instance is free");
    assert!(probes[0].name.starts_with(SECOND));
}

#[test]
fn a_gang_whose_workers_keep_crashing_leaves_the_policy_to_the_next_one() {
    let names: Vec<String> = (0..10).map(|n| format!("w{n}")).collect();
    let workers: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 16_000)).collect();
    let mut engine = make::owner(&workers);
    engine.proxies.record_heartbeat("i1", u64::MAX / 2);
    let queue = make::advised(make::queue("q", 1));
    make::submit(&mut engine, FIRST, queue.clone(), gang(4, 9_000), START);
    make::submit(&mut engine, SECOND, queue, gang(2, 9_000), START + 1);
    // Both jobs are so late that their completion has no value any more.
    let from = START + 60_000;
    let mut sent: Vec<(u64, PolicyQuery)> = Vec::new();
    let mut next = names.len();
    for now in (from..from + 10_000).step_by(PASS as usize) {
        let (due, later) = sent.into_iter().partition(|(at, _)| *at <= now);
        sent = later;
        for (_, query) in due {
            let allowed = query.workers.iter().step_by(2);
            let permits: Vec<model::Permit> = allowed
                .map(|worker| model::Permit {
                    worker: worker.clone(),
                    token: "t".into(),
                })
                .collect();
            engine.policy_answered(&query, Some(&permits), now);
            if !query.name.starts_with(FIRST) {
                continue;
            }
            for worker in &query.workers {
                engine.unregister(worker);
                make::join(&mut engine, &format!("w{next}"), now);
                next += 1;
            }
        }
        let asked = queries(&mut engine, now);
        sent.extend(
            asked
                .into_iter()
                .map(|query| (now + query.cost_ms as u64, query)),
        );
        if engine
            .cluster
            .runs
            .values()
            .any(|run| run.name.job == SECOND)
        {
            return;
        }
    }
    panic!("the second gang has not started");
}
