//! Contract tests of the worker table: when a lease is valid, and which resources are free.

use assert_matches::assert_matches;
use bamboolock::{
    ids::{
        Boot,
        Millis,
        Token, //
    },
    kernel::{
        WorkerKey,
        WorkerPool,
        members::Members,
        workers::Workers, //
    },
    resources::Resources,
    wire::{
        list,
        worker::{
            Grant,
            Lease,
            Report,
            State,
            Task,
            TaskId, //
        }, //
    }, //
};

use super::values;

/// The table of one instance with a single worker.
struct Harness {
    members: Members,
    workers: Workers,
    key: WorkerKey,
}

impl Harness {
    fn new() -> Self {
        let me = values::me(0, "a", 1);
        let mut workers = Workers::new(values::lease(), me.clone());
        let row = values::listed("worker-0", list::Role::Worker, "a");
        workers.listed(Millis(0), &values::listing(vec![row]));
        let key = workers.key(&values::worker(0)).unwrap();
        Self {
            members: Members::new(values::membership(), me),
            workers,
            key,
        }
    }

    /// Returns a table that has held the worker since time 0 under the token of `report`.
    fn held(report: Report) -> Self {
        let mut harness = Self::new();
        assert_matches!(harness.tick(0), Some(Lease { token: None, .. }));
        let token = report.token;
        assert!(harness.granted(0, 10, report));
        assert_eq!(
            harness.workers.send_token(Millis(10), harness.key),
            Some(token)
        );
        harness
    }

    fn tick(&mut self, now: u64) -> Option<Lease> {
        let actions = self.workers.tick(Millis(now), &self.members);
        actions.into_iter().next().map(|a| a.message)
    }

    /// Passes a grant to the table and returns whether the table accepted its report.
    fn granted(&mut self, sent: u64, now: u64, report: Report) -> bool {
        let grant = Grant::Granted(report);
        let taken = self
            .workers
            .on_answer(Millis(sent), Millis(now), self.key, grant);
        taken.is_some()
    }

    fn token(&self, now: u64) -> Option<Token> {
        self.workers.send_token(Millis(now), self.key)
    }

    fn free(&self) -> u32 {
        self.workers.get(self.key).unwrap().free.slots
    }

    fn reserve(&mut self, count: usize) -> usize {
        let demand = values::request_demand();
        (0..count)
            .filter(|_| self.workers.reserve(self.key, &demand))
            .count()
    }
}

fn report(token: u64) -> Report {
    Report {
        token: Token(token),
        boot: Boot(1),
        capacity: values::capacity(),
        leaving: false,
        tasks: Vec::new(),
        requests: 0,
        earlier: Some(0),
        usage: Resources::default(),
    }
}

fn task(name: &str, state: State) -> Task {
    Task {
        id: id(name),
        demand: values::demand(1, 500),
        state,
        checkpoint: 0,
        reason: "".into(),
    }
}

fn id(name: &str) -> TaskId {
    TaskId {
        run: values::run(name),
        index: 0,
        attempt: 1,
    }
}

#[test]
fn a_lease_is_valid_from_sending_less_the_margin() {
    for (name, sent, arrived, now, expect) in [
        ("immediately", 100, 101, 101, true),
        ("just before the expiry", 100, 101, 2_799, true),
        ("at the expiry", 100, 101, 2_800, false),
        ("a slow answer leaves less time", 100, 2_700, 2_799, true),
        (
            "an answer after the expiry grants nothing",
            100,
            2_800,
            2_800,
            false,
        ),
    ] {
        let mut harness = Harness::new();
        harness.tick(sent);
        harness.granted(sent, arrived, report(1));
        assert_eq!(harness.token(now).is_some(), expect, "{name}");
    }
}

#[test]
fn late_and_duplicate_answers_are_ignored() {
    let mut harness = Harness::held(report(5));
    assert!(!harness.granted(0, 20, report(4)), "an earlier token");
    assert_eq!(harness.token(20), Some(Token(5)));
    harness.tick(700);
    assert!(harness.granted(700, 710, report(5)));
    let mut late = report(5);
    late.tasks = vec![task("late", State::Running)];
    assert!(!harness.granted(0, 720, late), "an earlier report");
    assert_eq!(harness.free(), 4);
    harness
        .workers
        .on_answer(Millis(0), Millis(730), harness.key, Grant::Fenced);
    assert_eq!(
        harness.token(730),
        Some(Token(5)),
        "a refusal of an earlier message"
    );
    harness
        .workers
        .on_answer(Millis(700), Millis(740), harness.key, Grant::Fenced);
    assert_eq!(harness.token(740), None, "a refusal of a renewal");
    assert!(
        !harness.granted(700, 750, report(5)),
        "a token that was lost"
    );
    assert_eq!(harness.token(750), None);
}

#[test]
fn a_released_lease_is_not_restored_by_a_late_answer() {
    let mut harness = Harness::held(report(1));
    harness.tick(700);
    harness.workers.reacquire(Millis(710), harness.key);
    assert_eq!(
        harness.reserve(1),
        0,
        "no new work while the lease is draining"
    );
    assert_matches!(
        harness.tick(720),
        Some(Lease {
            token: Some(Token(1)),
            ttl: 0,
            ..
        })
    );
    assert!(!harness.granted(700, 730, report(1)));
    assert_eq!(harness.token(730), None);
    assert_matches!(harness.tick(740), Some(Lease { token: None, .. }));
    assert!(harness.granted(740, 750, report(2)));
    assert_eq!(harness.token(750), Some(Token(2)));
    assert!(
        !harness
            .workers
            .may_start(Millis(750), harness.key, Token(1))
    );
}

#[test]
fn a_renewal_is_sent_in_time_and_repeated_when_its_answer_is_lost() {
    let mut harness = Harness::held(report(1));
    assert_matches!(harness.tick(699), None);
    assert_matches!(
        harness.tick(700),
        Some(Lease {
            token: Some(Token(1)),
            ..
        })
    );
    assert_matches!(harness.tick(800), None);
    harness
        .workers
        .on_timeout(Millis(700), Millis(1_300), harness.key);
    assert_matches!(
        harness.tick(1_400),
        Some(Lease {
            token: Some(Token(1)),
            ..
        })
    );
    assert_matches!(
        harness.tick(2_700),
        Some(Lease { token: None, .. }),
        "expired: requests a new lease"
    );
    assert_eq!(harness.token(2_700), None);
}

#[test]
fn a_lease_held_by_another_instance_is_requested_again_at_its_end() {
    let mut harness = Harness::new();
    harness.tick(0);
    let held = Grant::Held {
        holder: values::instance(1),
        left: 40,
    };
    harness
        .workers
        .on_answer(Millis(0), Millis(10), harness.key, held);
    assert_matches!(harness.tick(49), None);
    assert_matches!(harness.tick(50), Some(Lease { token: None, .. }));
}

#[test]
fn reported_work_is_allocated_before_anything_is_placed() {
    let mut first = report(1);
    first.tasks = vec![
        task("a", State::Running),
        task("b", State::Stopping),
        task("c", State::Done),
    ];
    first.requests = 1;
    first.earlier = Some(1);
    first.usage = Resources::default();
    let mut harness = Harness::held(first);
    assert_eq!(harness.free(), 1);
    assert_eq!(harness.reserve(3), 1);
}

#[test]
fn an_allocation_is_released_only_on_proof() {
    let mut harness = Harness::held(report(1));
    let demand = values::demand(1, 500);
    let planned = harness
        .workers
        .allocate(Millis(20), harness.key, &id("a"), &demand);
    assert_eq!(planned, Some((Token(1), Boot(1))));
    harness.granted(100, 110, report(1));
    assert_eq!(harness.free(), 3, "absent: its start may be in flight");
    let mut running = report(1);
    running.tasks = vec![task("a", State::Running)];
    harness.granted(200, 210, running);
    harness.workers.cancel_allocation(harness.key, &id("a"));
    assert_eq!(
        harness.free(),
        3,
        "the worker runs it, whichever instance started it"
    );
    let mut done = report(1);
    done.tasks = vec![task("a", State::Done)];
    harness.granted(300, 310, done);
    assert_eq!(harness.free(), 4);
}

#[test]
fn requests_of_earlier_tokens_are_counted_once_until_the_worker_reports_fewer() {
    let mut harness = Harness::held(report(1));
    assert_eq!(harness.reserve(2), 2);
    harness.workers.reacquire(Millis(20), harness.key);
    harness.tick(30);
    harness.tick(40);
    let mut taken = report(2);
    taken.requests = 2;
    taken.earlier = Some(2);
    harness.granted(40, 50, taken);
    assert_eq!(harness.free(), 2, "both are in the reported number");
    assert_eq!(harness.reserve(2), 2);
    harness
        .workers
        .release(harness.key, &values::request_demand());
    assert_eq!(
        harness.free(),
        0,
        "a response to an earlier request frees nothing by itself"
    );
    let mut later = report(2);
    later.requests = 3;
    later.earlier = Some(1);
    harness.granted(60, 70, later);
    assert_eq!(harness.free(), 1);
}

#[test]
fn an_orphaned_request_stays_allocated_until_a_new_token() {
    let mut harness = Harness::held(report(1));
    assert_eq!(harness.reserve(1), 1);
    harness
        .workers
        .orphan(harness.key, &values::request_demand());
    harness.granted(100, 110, report(1));
    assert_eq!(harness.free(), 3, "it may arrive late");
    let mut gave_up = false;
    for now in (200..4_000).step_by(100) {
        let Some(message) = harness.tick(now) else {
            continue;
        };
        gave_up |= message.ttl == 0;
        match message.token {
            Some(token) if !gave_up => harness.granted(now, now + 1, report(token.0)),
            Some(_) => false,
            None => harness.granted(now, now + 1, report(2)),
        };
    }
    assert!(gave_up);
    assert_eq!(harness.free(), 4);
}

#[test]
fn a_leaving_worker_gets_no_work_but_keeps_its_lease() {
    for (name, by_list) in [("by its own report", false), ("by the list", true)] {
        let mut harness = Harness::held(report(1));
        let mut word = report(1);
        word.leaving = !by_list;
        harness.granted(100, 110, word);
        if by_list {
            let mut row = values::listed("worker-0", list::Role::Worker, "a");
            row.state = list::State::Leaving;
            harness
                .workers
                .listed(Millis(120), &values::listing(vec![row]));
        }
        assert_eq!(harness.reserve(1), 0, "{name}");
        assert_eq!(harness.token(130), None, "{name}");
        let signal = harness.workers.signal_token(Millis(130), harness.key);
        assert_eq!(signal, Some(Token(1)), "{name}");
        assert_matches!(
            harness.tick(800),
            Some(Lease {
                token: Some(Token(1)),
                ttl: 3_000,
                ..
            })
        );
    }
}

#[test]
fn a_restart_of_the_worker_ends_the_lease() {
    let mut harness = Harness::held(report(1));
    let mut row = values::listed("worker-0", list::Role::Worker, "a");
    row.boot = Boot(2);
    harness
        .workers
        .listed(Millis(100), &values::listing(vec![row]));
    assert_eq!(harness.token(100), None);
    assert!(
        !harness.granted(90, 110, report(2)),
        "a report of the earlier incarnation"
    );
}

#[test]
fn a_shutdown_releases_every_lease() {
    let mut harness = Harness::held(report(1));
    harness.members.leave();
    assert_matches!(harness.tick(20), None);
    assert_matches!(harness.tick(30), Some(Lease { ttl: 0, .. }));
    assert!(harness.workers.holds_none());
    assert_matches!(harness.tick(9_000), None, "no lease is requested any more");
}
