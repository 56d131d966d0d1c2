//! Waves of crashes, and the suspicion that they leave.

use bamboolock::cell::{
    engine::{
        Action,
        Engine, //
    },
    job::WorkerKey,
    model::{
        Reply,
        Verdict, //
    },
    suspicion::{
        self,
        Crash, //
    },
    waves::{
        SPAN_MS,
        Waves, //
    },
};
use slotmap::SlotMap;

use super::make::{
    self,
    START, //
};

/// Jobs of one task each, which fill six workers.
const JOBS: u32 = 96;

/// Time between two silences of a wave, in milliseconds: time-outs show them one after the other.
const APART_MS: u64 = 150;

/// Time from a silence to the answer of the worker's next incarnation, in milliseconds.
const DOWN_MS: u64 = 900;

/// Age of the first runs of a wave, in milliseconds.
const AGE_MS: u64 = 1_000;

fn id(n: u32) -> String {
    format!("{n:016x}")
}

/// Creates an owner of sixteen workers with `jobs` jobs.
fn cell(jobs: u32) -> Engine {
    let names: Vec<String> = (0..16).map(|n| format!("w{}", 100 + n)).collect();
    let workers: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 16_000)).collect();
    let mut engine = make::owner(&workers);
    for n in 1..=jobs {
        let work = make::work(vec![make::step(1, 1_000)]);
        make::submit(&mut engine, &id(n), make::queue("q", 0), work, START);
    }
    engine
}

/// Places what waits, and lets the workers accept it. Returns the number of runs.
fn place(engine: &mut Engine, now: u64) -> usize {
    let mut runs = make::starts(engine, now);
    make::store(engine, now);
    let held = std::mem::take(&mut engine.actions).into_iter();
    runs.extend(held.filter_map(|action| match action {
        Action::Start(run) => Some(run),
        _ => None,
    }));
    make::accept(engine, &runs, now);
    engine.cluster.runs.len()
}

/// Lets each worker with runs fall silent, one after the other, and another one answer in its place.
/// Returns the time of the last answer.
fn wave(engine: &mut Engine, begin: u64) -> u64 {
    let workers = engine.cluster.workers.iter();
    let busy: Vec<WorkerKey> = workers
        .filter(|(_, worker)| !worker.runs.is_empty())
        .map(|(key, _)| key)
        .collect();
    let silences = busy
        .iter()
        .enumerate()
        .map(|(n, key)| (begin + APART_MS * n as u64, *key));
    let mut events: Vec<(u64, WorkerKey, bool)> = silences
        .flat_map(|(at, key)| [(at, key, false), (at + DOWN_MS, key, true)])
        .collect();
    events.sort_by_key(|(at, ..)| *at);
    let mut last = begin;
    for (at, key, back) in events {
        last = at;
        engine.poll_command(key, at).unwrap();
        if !back {
            engine.poll_failed(key, at);
            continue;
        }
        let reply = Reply {
            verdict: Verdict::Reborn,
            clock: None,
        };
        engine.poll_refused(key, reply, at);
        let name = engine.cluster.workers[key].registration.id.clone();
        engine.unregister(&name);
        make::join(engine, &format!("{name}x"), at);
    }
    make::store(engine, last);
    last
}

/// Lets two waves pass; returns their end.
fn two_waves(engine: &mut Engine) -> u64 {
    place(engine, START);
    let first = wave(engine, START + AGE_MS);
    engine.tick(first + 10);
    // Tasks that were beside others in one crash are no suspects.
    place(engine, first + 20);
    wave(engine, first + 20 + AGE_MS)
}

/// Guards against tasks that wait to be tried one by one for what a wave has left, long after it is over
/// and with most of the capacity free (review/8).
#[test]
fn tasks_run_together_again_once_a_wave_is_over() {
    let mut engine = cell(JOBS);
    let end = two_waves(&mut engine);
    engine.tick(end + 10);
    assert!(engine.waiting_trials() > 0, "both waves made suspects");
    let mut calm = end;
    while calm < end + 3 * SPAN_MS {
        calm += 100;
        engine.tick(calm);
    }
    assert_eq!(engine.waiting_trials(), 0);
    assert_eq!(place(&mut engine, calm), JOBS as usize);
}

/// Guards against suspects that share workers while the wave goes on: it would look like their doing.
#[test]
fn suspects_stay_apart_during_a_wave() {
    let mut engine = cell(JOBS);
    let end = two_waves(&mut engine);
    engine.tick(end + 10);
    let suspects = engine.waiting_trials();
    assert!(suspects > 0);
    engine.tick(end + SPAN_MS / 2);
    assert_eq!(engine.waiting_trials(), suspects);
}

fn crash(run: u32, wave: bool) -> Crash {
    Crash {
        run,
        age: Some(1_000),
        alone: false,
        joint: false,
        wave,
        unsure: false,
    }
}

/// Guards against a task that crashes its workers and hides behind a wave.
#[test]
fn a_wave_explains_no_crashes_outside_of_it() {
    let explained = |waves: &[bool]| {
        let crashes = waves.iter().zip(1..).map(|(wave, run)| crash(run, *wave));
        suspicion::is_explained(&crashes.collect::<Vec<_>>())
    };
    assert!(explained(&[true, true, true]));
    assert!(explained(&[false, true, true]), "one crash is no suspicion");
    assert!(!explained(&[false, false, true]));
    assert!(
        !explained(&[true, true, false]),
        "it crashed a worker since"
    );
    assert!(!explained(&[]));
    let early = Crash {
        age: Some(10),
        ..crash(1, false)
    };
    assert!(!suspicion::is_explained(&[early, crash(2, true)]));
}

/// Guards against single crashes that count as a wave, and against a wave that never ends.
#[test]
fn a_wave_is_many_workers_within_seconds() {
    let mut keys = SlotMap::<WorkerKey, ()>::with_key();
    let workers: Vec<WorkerKey> = (0..100).map(|_| keys.insert(())).collect();
    let mut waves = Waves::default();
    for (n, worker) in workers[..4].iter().enumerate() {
        assert!(!waves.is_on(None, || 16, n as u64), "{n}");
        waves.note(*worker, n as u64);
    }
    assert!(waves.is_on(None, || 16, 3));
    assert!(
        !waves.is_on(Some(workers[0]), || 16, 3),
        "one of them is it"
    );
    assert!(!waves.is_on(None, || 100, 3), "few in a large cell");
    assert!(waves.is_on(None, || 16, SPAN_MS - 1));
    assert!(!waves.is_on(None, || 16, SPAN_MS));
    waves.note(workers[4], 4);
    waves.forget(workers[3]);
    assert!(waves.is_on(None, || 16, 4));
    waves.forget(workers[4]);
    assert!(!waves.is_on(None, || 16, 4), "two were only cut off");
}
