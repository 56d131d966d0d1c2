//! Test rig: a request scheduler with a pool of workers and a clock.

use std::sync::Arc;

use bamboolock::{
    bench::pool::Pool,
    configs,
    ids::Millis,
    kernel::{
        WorkerPool,
        requests::{
            Action,
            Arrival,
            Dispatch,
            Notice,
            Outcome,
            RequestKey,
            Requests, //
        }, //
    },
    profile::Profile,
    resources::Resources,
    wire::caller::Refusal, //
};

/// Total resources of a test worker.
pub(crate) fn worker(slots: u32) -> Resources {
    Resources {
        millicores: 16_000,
        memory: 65_536,
        accelerators: 0,
        slots,
        connections: 64,
    }
}

/// Creates a profile from JSON fields that override a minimal request profile of team `t`.
pub(crate) fn profile(change: serde_json::Value) -> Arc<Profile> {
    let mut json = serde_json::json!({"kind": "request", "team": "t"});
    for (name, value) in change.as_object().unwrap() {
        json[name] = value.clone();
    }
    Arc::new(serde_json::from_value(json).unwrap())
}

/// Request scheduler under test, with its clock and workers.
pub(crate) struct Rig {
    pub(crate) kernel: Requests,
    pub(crate) pool: Pool,
    pub(crate) now: Millis,
    last_id: u32,
}

impl Rig {
    pub(crate) fn new(workers: usize, slots: u32) -> Self {
        Self::with(configs::requests::Requests::default(), workers, slots)
    }

    pub(crate) fn with(cfg: configs::requests::Requests, workers: usize, slots: u32) -> Self {
        Self {
            kernel: Requests::new(cfg, 7),
            pool: Pool::new(workers, worker(slots)),
            now: Millis(1_000),
            last_id: 0,
        }
    }

    pub(crate) fn arrival(&mut self, name: &str, profile: &Arc<Profile>, deadline: u64) -> Arrival {
        self.last_id += 1;
        Arrival {
            id: format!("r{}", self.last_id).parse().unwrap(),
            profile_name: name.parse().unwrap(),
            version: 1,
            profile: Arc::clone(profile),
            deadline,
            idempotency_key: None,
            forwarded: false,
        }
    }

    pub(crate) fn submit(
        &mut self,
        name: &str,
        profile: &Arc<Profile>,
        deadline: u64,
    ) -> Result<RequestKey, Refusal> {
        let arrival = self.arrival(name, profile, deadline);
        self.kernel.submit(self.now, arrival)
    }

    pub(crate) fn dispatch(&mut self) -> Vec<Dispatch> {
        self.kernel.dispatch(self.now, &mut self.pool)
    }

    /// Submits a request that is expected to be dispatched at once.
    pub(crate) fn send(&mut self, name: &str, profile: &Arc<Profile>, deadline: u64) -> Dispatch {
        self.submit(name, profile, deadline).unwrap();
        let mut sends = self.dispatch();
        assert_eq!(sends.len(), 1);
        sends.remove(0)
    }

    pub(crate) fn finish(&mut self, dispatch: &Dispatch, outcome: Outcome) -> Action {
        let attempt = dispatch.attempt;
        self.kernel
            .finish_attempt(self.now, attempt, outcome, &mut self.pool)
    }

    /// Advances the clock by `span` milliseconds and returns the actions that are due.
    pub(crate) fn advance(&mut self, span: u64) -> Vec<Notice> {
        self.now = self.now.plus(span);
        self.kernel.tick(self.now)
    }

    /// Completes `count` requests one by one, so that run times are known and budgets are full.
    pub(crate) fn warm(&mut self, name: &str, profile: &Arc<Profile>, took: u64, count: usize) {
        for _ in 0..count {
            let sent = self.send(name, profile, 60_000);
            self.now = self.now.plus(took);
            assert_eq!(
                self.finish(&sent, Outcome::Answered { took }),
                Action::Answer
            );
        }
    }

    pub(crate) fn held(&self) -> u32 {
        self.pool.slots().0
    }
}
