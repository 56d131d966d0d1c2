//! Stateful fuzzing of the request scheduler against an oracle that checks its invariants.

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

/// State of one attempt in the oracle.
struct TrackedAttempt {
    request: RequestKey,
    attempt: AttemptKey,
    /// Whether the backend server reported that the attempt did not run.
    not_run: bool,
    /// Whether the connection broke, after which no report is expected.
    connection_lost: bool,
    /// Whether the connection broke while the attempt held its slot.
    broke: bool,
    /// Whether the attempt still holds its slot.
    holds_slot: bool,
    /// Whether the attempt was sent to a worker, not to a peer.
    local: bool,
}

/// State of one request in the oracle.
struct TrackedRequest {
    key: RequestKey,
    idempotent: bool,
    final_actions: u32,
    cancelled: bool,
}

/// The scheduler under test and the state of the oracle.
struct Machine {
    rig: Rig,
    profiles: Vec<Arc<Profile>>,
    versions: Vec<u32>,
    requests: Vec<TrackedRequest>,
    attempts: Vec<TrackedAttempt>,
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
            requests: Vec::new(),
            attempts: Vec::new(),
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
                self.requests.push(TrackedRequest {
                    key,
                    idempotent: profile.idempotent,
                    final_actions: 0,
                    cancelled: false,
                });
            }
            Err(refusal) => assert_eq!(refusal.ran, Ran::No),
        }
        self.check_notices();
    }

    fn dispatch(&mut self) {
        for dispatch in self.rig.dispatch() {
            self.track_attempt(dispatch.key, dispatch.attempt, true);
            self.check_timeout(&dispatch);
        }
        self.check_notices();
    }

    fn check_timeout(&self, dispatch: &Dispatch) {
        assert!(dispatch.timeout > 0 && dispatch.timeout <= dispatch.remaining + 200);
    }

    fn track_attempt(&mut self, request: RequestKey, attempt: AttemptKey, local: bool) {
        let known = self.request(request);
        assert_eq!(known.final_actions, 0, "sent after its final action");
        assert!(!known.cancelled, "sent after its cancellation");
        let idempotent = known.idempotent;
        let mut before = self.attempts.iter().filter(|s| s.request == request);
        let safe = before.all(|s| s.not_run);
        let broken = self.attempts.iter();
        let broken = broken.filter(|s| s.request == request && s.broke);
        assert!(broken.count() < 2, "sent after it broke two connections");
        assert!(
            idempotent || safe,
            "a non-idempotent request was sent twice"
        );
        self.attempts.push(TrackedAttempt {
            request,
            attempt,
            not_run: false,
            connection_lost: false,
            broke: false,
            holds_slot: true,
            local,
        });
    }

    fn finish(&mut self, at: usize, outcome: Outcome) {
        if self.attempts.is_empty() {
            return;
        }
        let at = at % self.attempts.len();
        let sent = &mut self.attempts[at];
        let reported = !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost);
        if sent.holds_slot && !sent.connection_lost {
            sent.not_run = outcome == Outcome::NotRun;
        }
        sent.connection_lost |= outcome == Outcome::ConnectionLost;
        sent.broke |= sent.holds_slot && outcome == Outcome::ConnectionLost;
        let (request, attempt, holds_slot) = (sent.request, sent.attempt, sent.holds_slot);
        sent.holds_slot &= !reported && (sent.local || outcome == Outcome::TimedOut);
        let now = self.rig.now;
        let pool = &mut self.rig.pool;
        let action = self.rig.kernel.finish_attempt(now, attempt, outcome, pool);
        assert!(
            holds_slot || action == Action::Ignore,
            "an action for a closed attempt"
        );
        if action == Action::Answer {
            assert!(matches!(outcome, Outcome::Answered { .. }));
        }
        self.check_action(request, &action);
        self.check_notices();
    }

    fn settle(&mut self, at: usize) {
        if self.attempts.is_empty() {
            return;
        }
        let at = at % self.attempts.len();
        let sent = &mut self.attempts[at];
        let (request, attempt) = (sent.request, sent.attempt);
        sent.holds_slot = false;
        let now = self.rig.now;
        let action = self
            .rig
            .kernel
            .settle_attempt(now, attempt, &mut self.rig.pool);
        assert_ne!(action, Action::Answer);
        self.check_action(request, &action);
        self.check_notices();
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
            self.track_attempt(forward.key, forward.attempt, false);
        }
    }

    fn cancel(&mut self, at: usize) {
        if self.requests.is_empty() {
            return;
        }
        let at = at % self.requests.len();
        let known = &mut self.requests[at];
        known.cancelled |= known.final_actions == 0;
        self.rig.kernel.cancel(known.key);
    }

    fn advance(&mut self, span: u64) {
        for notice in self.rig.advance(span) {
            self.check_action(notice.key, &notice.action);
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

    fn request(&mut self, key: RequestKey) -> &mut TrackedRequest {
        self.requests.iter_mut().find(|k| k.key == key).unwrap()
    }

    fn check_notices(&mut self) {
        for notice in self.rig.kernel.take_notices() {
            assert!(matches!(notice.action, Action::Refuse(_)));
            self.check_action(notice.key, &notice.action);
        }
    }

    fn check_action(&mut self, request: RequestKey, action: &Action) {
        if let Action::Refuse(refusal) = action {
            self.check_refusal(request, refusal);
        }
        if !matches!(action, Action::Answer | Action::Refuse(_)) {
            return;
        }
        let known = self.request(request);
        known.final_actions += 1;
        assert_eq!(known.final_actions, 1, "more than one final action");
        assert!(!known.cancelled, "a final action after a cancellation");
    }

    fn check_refusal(&self, request: RequestKey, refusal: &Refusal) {
        let mut sent = self.attempts.iter().filter(|s| s.request == request);
        let clean = sent.all(|s| s.not_run);
        assert_eq!(refusal.ran == Ran::No, clean, "{refusal:?}");
    }

    /// Checks the invariants after an operation.
    fn check(&self) {
        assert_eq!(
            self.rig.pool.accounting_errors(),
            0,
            "reserved or released more than available"
        );
        let held_by_attempts = self
            .attempts
            .iter()
            .filter(|s| s.holds_slot && s.local)
            .count();
        let (held, total) = self.rig.pool.slots();
        assert!(held_by_attempts as u32 <= held && held <= total);
        assert!(
            self.rig.kernel.queued() <= 6 + held_by_attempts as u32 + self.attempts.len() as u32
        );
        let open = self
            .requests
            .iter()
            .filter(|k| k.final_actions == 0 && !k.cancelled);
        assert_eq!(open.count(), self.rig.kernel.len(), "a request was lost");
    }

    /// Finishes all requests, and checks that each got exactly one final action and that all
    /// resources are released.
    fn finish_all(mut self) {
        self.rig.kernel.drain();
        for _ in 0..4 {
            self.advance(1_000);
        }
        for at in 0..self.attempts.len() {
            self.settle(at);
        }
        self.check();
        for known in &self.requests {
            let expected = u32::from(!known.cancelled);
            assert_eq!(known.final_actions, expected, "{:?}", known.key);
        }
        assert_eq!(self.rig.held(), 0, "resources are not released");
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
            Op::Dispatch => machine.dispatch(),
            Op::Finish { attempt, outcome } => machine.finish(attempt, outcome),
            Op::Settle { attempt } => machine.settle(attempt),
            Op::Forward { free } => machine.forward(free),
            Op::Cancel { request } => machine.cancel(request),
            Op::Advance { span } => machine.advance(span),
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
        machine.finish_all();
    }
}

/// Number of test cases, multiplied by `BAMBOOLOCK_SOAK`.
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
    fn invariants_hold_in_any_order_of_operations(sequential 1..400 => Machine);
}
