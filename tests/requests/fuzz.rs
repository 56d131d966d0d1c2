//! Stateful fuzzing of the requests kernel against an oracle that knows only the promises.

use std::sync::Arc;

use bamboolock::{
    configs,
    context::Distance,
    kernel::{
        WorkerPool,
        requests::{
            Action,
            AttemptKey,
            Dispatch,
            ForwardTarget,
            Outcome,
            RequestKey, //
        }, //
    },
    profile::Profile,
    wire::caller::{
        Ran,
        Refusal, //
    },
};
use proptest::test_runner::{
    Config,
    RngAlgorithm,
    RngSeed, //
};
use proptest_state_machine::StateMachineTest;

use crate::{
    ops::{
        Op,
        Ops,
        PROFILES, //
    },
    support::{
        Rig,
        profile, //
    }, //
};

const WORKERS: usize = 3;
const SLOTS: u32 = 2;

/// What the oracle knows of one attempt.
struct Sent {
    request: RequestKey,
    attempt: AttemptKey,
    /// Whether the backend server said that it did not run.
    unrun: bool,
    /// Whether its exchange broke off, after which no word counts any more.
    broken: bool,
    /// Whether it still holds its slot.
    holds: bool,
    /// Whether it went to a worker.
    local: bool,
}

/// What the oracle knows of one request.
struct Known {
    key: RequestKey,
    idempotent: bool,
    finals: u32,
    cancelled: bool,
}

/// The kernel and what was promised.
struct Machine {
    rig: Rig,
    profiles: Vec<Arc<Profile>>,
    versions: Vec<u32>,
    known: Vec<Known>,
    sent: Vec<Sent>,
    draining: bool,
}

impl Machine {
    fn start() -> Self {
        let cfg = configs::requests::Requests {
            waiting: 6,
            ..Default::default()
        };
        let json = [
            serde_json::json!({
                "idempotent": true, "priority": 8,
                "retry": {"budget": 1.0, "attempts": 4},
                "hedge": {"budget": 1.0, "quantile": 0.5}, "spill": "anywhere",
            }),
            serde_json::json!({
                "idempotent": false, "priority": 5, "retry": {"budget": 1.0, "attempts": 5},
                "quota": {"slots": 2, "connections": 9},
            }),
            serde_json::json!({
                "idempotent": false, "limits": {"reserve": 1, "queue": 4},
                "quota": {"slots": 1, "connections": 9}, "policies": {"route": "two_choices"},
            }),
            serde_json::json!({
                "idempotent": true, "priority": 2, "demand": {"slots": 2, "connections": 1},
                "policies": {"order": "fair_share", "shed": "priority", "route": "zone_aware"},
            }),
        ];
        Self {
            rig: Rig::with(cfg, WORKERS, SLOTS),
            profiles: json.into_iter().map(profile).collect(),
            versions: vec![1; PROFILES],
            known: Vec::new(),
            sent: Vec::new(),
            draining: false,
        }
    }

    fn submit(&mut self, at: usize, deadline: u64) {
        let profile = Arc::clone(&self.profiles[at]);
        let mut arrival = self.rig.arrival(&format!("p{at}"), &profile, deadline);
        arrival.version = self.versions[at];
        match self.rig.kernel.submit(self.rig.now, arrival) {
            Ok(key) => {
                assert!(!self.draining, "admitted while draining");
                self.known.push(Known {
                    key,
                    idempotent: profile.idempotent,
                    finals: 0,
                    cancelled: false,
                });
            }
            Err(refusal) => assert_eq!(refusal.ran, Ran::No),
        }
        self.notices();
    }

    fn next(&mut self) {
        for dispatch in self.rig.next() {
            self.dispatched(dispatch.key, dispatch.attempt, true);
            self.check_timeout(&dispatch);
        }
        self.notices();
    }

    fn check_timeout(&self, dispatch: &Dispatch) {
        assert!(dispatch.timeout > 0 && dispatch.timeout <= dispatch.remaining + 200);
    }

    fn dispatched(&mut self, request: RequestKey, attempt: AttemptKey, local: bool) {
        let known = self.known(request);
        assert_eq!(known.finals, 0, "sent after its final step");
        assert!(!known.cancelled, "sent after it was cancelled");
        let idempotent = known.idempotent;
        let mut before = self.sent.iter().filter(|s| s.request == request);
        let safe = before.all(|s| s.unrun);
        assert!(
            idempotent || safe,
            "a non-idempotent request was sent twice"
        );
        self.sent.push(Sent {
            request,
            attempt,
            unrun: false,
            broken: false,
            holds: true,
            local,
        });
    }

    fn finish(&mut self, at: usize, outcome: Outcome) {
        if self.sent.is_empty() {
            return;
        }
        let at = at % self.sent.len();
        let sent = &mut self.sent[at];
        let word = !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost);
        if sent.holds && !sent.broken {
            sent.unrun = outcome == Outcome::NotRun;
        }
        sent.broken |= outcome == Outcome::ConnectionLost;
        let (request, attempt, holds) = (sent.request, sent.attempt, sent.holds);
        sent.holds &= !word && (sent.local || outcome == Outcome::TimedOut);
        let now = self.rig.now;
        let pool = &mut self.rig.pool;
        let step = self.rig.kernel.finish_attempt(now, attempt, outcome, pool);
        assert!(
            holds || step == Action::Ignore,
            "a step for a closed attempt"
        );
        if step == Action::Answer {
            assert!(matches!(outcome, Outcome::Answered { .. }));
        }
        self.take(request, &step);
        self.notices();
    }

    fn settle(&mut self, at: usize) {
        if self.sent.is_empty() {
            return;
        }
        let at = at % self.sent.len();
        let sent = &mut self.sent[at];
        let (request, attempt) = (sent.request, sent.attempt);
        sent.holds = false;
        let now = self.rig.now;
        let step = self
            .rig
            .kernel
            .settle_attempt(now, attempt, &mut self.rig.pool);
        assert_ne!(step, Action::Answer);
        self.take(request, &step);
        self.notices();
    }

    fn forward(&mut self, free: u32) {
        let peer = ForwardTarget {
            free,
            distance: Distance::Region,
            rtt: 2,
        };
        let passed = self.rig.kernel.forward(self.rig.now, &[peer]);
        assert!(passed.len() <= free as usize);
        for forward in passed {
            self.dispatched(forward.key, forward.attempt, false);
        }
    }

    fn cancel(&mut self, at: usize) {
        if self.known.is_empty() {
            return;
        }
        let at = at % self.known.len();
        let known = &mut self.known[at];
        known.cancelled |= known.finals == 0;
        self.rig.kernel.cancel(known.key);
    }

    fn pass(&mut self, span: u64) {
        for notice in self.rig.pass(span) {
            self.take(notice.key, &notice.action);
        }
    }

    fn republish(&mut self, at: usize) {
        self.versions[at] += 1;
        let mut changed = Profile::clone(&self.profiles[at]);
        changed.priority = (changed.priority + 3) % 10;
        changed.quota = match changed.quota {
            None => Some(bamboolock::resources::Resources {
                slots: 2,
                connections: 9,
                ..Default::default()
            }),
            Some(_) => None,
        };
        self.profiles[at] = Arc::new(changed);
    }

    fn known(&mut self, key: RequestKey) -> &mut Known {
        self.known.iter_mut().find(|k| k.key == key).unwrap()
    }

    fn notices(&mut self) {
        for notice in self.rig.kernel.take_notices() {
            assert!(matches!(notice.action, Action::Refuse(_)));
            self.take(notice.key, &notice.action);
        }
    }

    fn take(&mut self, request: RequestKey, step: &Action) {
        if let Action::Refuse(refusal) = step {
            self.check_refusal(request, refusal);
        }
        if !matches!(step, Action::Answer | Action::Refuse(_)) {
            return;
        }
        let known = self.known(request);
        known.finals += 1;
        assert_eq!(known.finals, 1, "two final steps");
        assert!(!known.cancelled, "a final step after a cancellation");
    }

    fn check_refusal(&self, request: RequestKey, refusal: &Refusal) {
        let mut sent = self.sent.iter().filter(|s| s.request == request);
        let clean = sent.all(|s| s.unrun);
        assert_eq!(refusal.ran == Ran::No, clean, "{refusal:?}");
    }

    /// What must hold after every operation.
    fn check(&self) {
        assert_eq!(
            self.rig.pool.faults(),
            0,
            "more taken or given than there is"
        );
        let holding = self.sent.iter().filter(|s| s.holds && s.local).count();
        let (held, total) = self.rig.pool.slots();
        assert!(holding as u32 <= held && held <= total);
        assert!(self.rig.kernel.queued() <= 6 + holding as u32 + self.sent.len() as u32);
        let open = self.known.iter().filter(|k| k.finals == 0 && !k.cancelled);
        assert_eq!(open.count(), self.rig.kernel.len(), "a request got lost");
    }

    /// Lets everything end: each request has had its one final step, all room is given back.
    fn end(mut self) {
        self.rig.kernel.drain();
        for _ in 0..4 {
            self.pass(1_000);
        }
        for at in 0..self.sent.len() {
            self.settle(at);
        }
        self.check();
        for known in &self.known {
            let expected = u32::from(!known.cancelled);
            assert_eq!(known.finals, expected, "{:?}", known.key);
        }
        assert_eq!(self.rig.held(), 0, "room is not given back");
        assert!(self.rig.kernel.is_idle());
        assert_eq!(self.rig.kernel.attempts(), 0);
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Ops;

    fn init_test((): &()) -> Self {
        Machine::start()
    }

    fn apply(mut machine: Self, (): &(), op: Op) -> Self {
        match op {
            Op::Submit { profile, deadline } => machine.submit(profile, deadline),
            Op::Next => machine.next(),
            Op::Finish { attempt, outcome } => machine.finish(attempt, outcome),
            Op::Settle { attempt } => machine.settle(attempt),
            Op::Forward { free } => machine.forward(free),
            Op::Cancel { request } => machine.cancel(request),
            Op::Pass { span } => machine.pass(span),
            Op::Republish { profile } => machine.republish(profile),
            Op::Drain => {
                machine.rig.kernel.drain();
                machine.draining = true;
            }
        }
        machine.check();
        machine
    }

    fn teardown(machine: Self, (): ()) {
        machine.end();
    }
}

/// Cases of the fuzzing; `BAMBOOLOCK_SOAK` multiplies them.
const CASES: u32 = 600;

fn config() -> Config {
    let soak = std::env::var("BAMBOOLOCK_SOAK");
    let factor = soak.ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    Config {
        cases: CASES * factor,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0xbab0),
        max_shrink_iters: 20_000,
        failure_persistence: None,
        ..Config::default()
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold_in_any_order(sequential 1..400 => Machine);
}
