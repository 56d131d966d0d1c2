//! The requests kernel in the simulation: late binding of requests to free slots by one or more
//! entry instances, each of which leases some of the workers and forwards requests to the others.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use slotmap::SecondaryMap;

use crate::{
    bench::{
        arrivals::{
            Request,
            Work, //
        },
        pool::Pool,
        sim::{
            Completion,
            Scheduler, //
            Start,
        },
    },
    configs,
    context::Distance,
    ids::{
        Millis,
        RequestId, //
    },
    kernel::{
        WorkerKey,
        WorkerPool,
        requests::{
            Action,
            Arrival,
            AttemptKey,
            AttemptKind,
            ForwardTarget,
            Outcome,
            RequestKey,
            Requests, //
        }, //
    },
    resources::Resources, //
};

/// Interval of the heartbeats between instances, which carry the number of free slots.
const HEARTBEAT_MS: u64 = 300;

/// One-way network delay between instances.
const ONE_WAY_MS: u64 = 1;

/// Identifies an attempt: index of the instance and key of its attempt.
pub type Attempt = (usize, AttemptKey);

/// Origin of an open request.
#[derive(Debug, Clone, Copy)]
struct Origin {
    /// Index of the arrival.
    index: usize,
    /// Attempt of the instance that forwarded the request; none if a caller sent it.
    from: Option<Attempt>,
}

/// A message between instances.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// A forwarded request.
    Request {
        to: usize,
        origin: Origin,
        deadline: Millis,
    },
    /// Outcome of a forwarded request.
    Outcome { to: Attempt, outcome: Outcome },
}

/// One entry instance.
#[derive(Debug)]
struct Instance {
    kernel: Requests,
    pool: Pool,
    workers: SecondaryMap<WorkerKey, usize>,
    open: SecondaryMap<RequestKey, Origin>,
    requests: SecondaryMap<AttemptKey, RequestKey>,
    /// Free slots of every instance, as of its last heartbeat.
    known_free: Vec<u32>,
}

/// All entry instances and the messages in transit between them.
#[derive(Debug)]
pub struct LateBinding {
    instances: Vec<Instance>,
    works: Vec<Work>,
    /// Index of the kind of work of each arrival.
    work_indices: Vec<usize>,
    id: RequestId,
    messages: VecDeque<(Millis, Message)>,
    completions: Vec<Completion>,
}

impl LateBinding {
    /// Creates `instances` entry instances and distributes `workers` workers of equal capacity
    /// among them in round-robin order.
    #[must_use]
    pub fn new(
        cfg: &configs::requests::Requests,
        works: &[Work],
        id: RequestId,
        instances: usize,
        workers: usize,
        capacity: Resources,
    ) -> Self {
        let mut made: Vec<_> = (0..instances)
            .map(|i| Instance {
                kernel: Requests::new(cfg.clone(), i as u64),
                pool: Pool::default(),
                workers: SecondaryMap::new(),
                open: SecondaryMap::new(),
                requests: SecondaryMap::new(),
                known_free: vec![0; instances],
            })
            .collect();
        for worker in 0..workers {
            let instance = &mut made[worker % instances];
            let key = instance.pool.add(capacity);
            instance.workers.insert(key, worker);
        }
        Self {
            instances: made,
            works: works.to_vec(),
            work_indices: Vec::new(),
            id,
            messages: VecDeque::new(),
            completions: Vec::new(),
        }
    }

    fn submit(&mut self, now: Millis, to: usize, origin: Origin, deadline: Millis) {
        let work = &self.works[self.work_indices[origin.index]];
        let arrival = Arrival {
            id: self.id.clone(),
            profile_name: work.name.clone(),
            version: 1,
            deadline: deadline.since(now),
            profile: Arc::clone(&work.profile),
            idempotency_key: None,
            forwarded: origin.from.is_some(),
        };
        let instance = &mut self.instances[to];
        match instance.kernel.submit(now, arrival) {
            Ok(key) => {
                instance.open.insert(key, origin);
            }
            Err(_) => self.complete(now, origin, Outcome::NotRun),
        }
    }

    /// Reports the outcome of a request to its origin.
    fn complete(&mut self, now: Millis, origin: Origin, outcome: Outcome) {
        let Some(to) = origin.from else {
            self.completions.push(Completion {
                index: origin.index,
                answered: matches!(outcome, Outcome::Answered { .. }),
            });
            return;
        };
        let message = Message::Outcome { to, outcome };
        self.messages.push_back((now.plus(ONE_WAY_MS), message));
    }

    fn apply_action(&mut self, now: Millis, at: usize, key: Option<RequestKey>, action: &Action) {
        let outcome = match action {
            Action::Answer => Outcome::Answered { took: 0 },
            Action::Refuse(r) if r.ran == crate::wire::caller::Ran::No => Outcome::NotRun,
            Action::Refuse(_) => Outcome::ConnectionLost,
            Action::Retry { .. } | Action::Ignore => return,
        };
        let open = &mut self.instances[at].open;
        if let Some(origin) = key.and_then(|key| open.remove(key)) {
            self.complete(now, origin, outcome);
        }
    }

    fn deliver(&mut self, now: Millis) {
        while let Some((at, message)) = self.messages.front().copied() {
            if at > now {
                return;
            }
            self.messages.pop_front();
            match message {
                Message::Request {
                    to,
                    origin,
                    deadline,
                } => self.submit(now, to, origin, deadline),
                Message::Outcome { to, outcome } => self.finish(now, to, outcome),
            }
        }
    }

    fn heartbeat(&mut self) {
        let free = self.instances.iter().map(|i| {
            let (held, total) = i.pool.slots();
            let waiting = i.kernel.queued();
            (total - held).saturating_sub(waiting)
        });
        let free: Vec<u32> = free.collect();
        for instance in &mut self.instances {
            instance.known_free.clone_from(&free);
        }
    }

    /// Forwards the waiting requests of one instance that its kernel selects.
    fn forward(&mut self, now: Millis, at: usize) {
        let instance = &mut self.instances[at];
        let others: Vec<usize> = (0..instance.known_free.len())
            .filter(|i| *i != at)
            .collect();
        let peers = others.iter().map(|i| ForwardTarget {
            free: instance.known_free[*i],
            distance: Distance::Zone,
            rtt: 2 * ONE_WAY_MS,
        });
        let peers: Vec<ForwardTarget> = peers.collect();
        for forward in instance.kernel.forward(now, &peers) {
            let to = others[forward.peer];
            instance.known_free[to] = instance.known_free[to].saturating_sub(1);
            instance.requests.insert(forward.attempt, forward.key);
            let Some(open) = instance.open.get(forward.key) else {
                continue;
            };
            let message = Message::Request {
                to,
                origin: Origin {
                    index: open.index,
                    from: Some((at, forward.attempt)),
                },
                deadline: now.plus(forward.remaining),
            };
            self.messages.push_back((now.plus(ONE_WAY_MS), message));
        }
    }
}

impl Scheduler for LateBinding {
    type Attempt = Attempt;

    fn arrive(&mut self, now: Millis, index: usize, request: &Request) {
        debug_assert_eq!(self.work_indices.len(), index);
        self.work_indices.push(request.work);
        let to = super::early_binding::assign_entry(index, self.instances.len());
        let deadline = now.plus(self.works[request.work].profile.objective.deadline);
        let origin = Origin { index, from: None };
        self.submit(now, to, origin, deadline);
    }

    fn start(&mut self, now: Millis, starts: &mut Vec<Start<Attempt>>) {
        for at in 0..self.instances.len() {
            let instance = &mut self.instances[at];
            for dispatch in instance.kernel.dispatch(now, &mut instance.pool) {
                instance.requests.insert(dispatch.attempt, dispatch.key);
                let worker = instance.workers.get(dispatch.worker);
                let open = instance.open.get(dispatch.key);
                let (Some(worker), Some(open)) = (worker, open) else {
                    continue;
                };
                starts.push(Start {
                    attempt: (at, dispatch.attempt),
                    index: open.index,
                    worker: *worker,
                    timeout: dispatch.timeout,
                    repeat: dispatch.kind != AttemptKind::First,
                });
            }
            self.forward(now, at);
        }
    }

    fn finish(&mut self, now: Millis, (at, attempt): Attempt, outcome: Outcome) {
        let instance = &mut self.instances[at];
        let pool = &mut instance.pool;
        let action = instance.kernel.finish_attempt(now, attempt, outcome, pool);
        let key = instance.requests.get(attempt).copied();
        self.apply_action(now, at, key, &action);
    }

    fn settle(&mut self, now: Millis, (at, attempt): Attempt) {
        let instance = &mut self.instances[at];
        let action = instance
            .kernel
            .settle_attempt(now, attempt, &mut instance.pool);
        let key = instance.requests.get(attempt).copied();
        self.apply_action(now, at, key, &action);
    }

    fn tick(&mut self, now: Millis, completions: &mut Vec<Completion>) {
        self.deliver(now);
        for at in 0..self.instances.len() {
            for notice in self.instances[at].kernel.tick(now) {
                self.apply_action(now, at, Some(notice.key), &notice.action);
            }
        }
        if now.0.is_multiple_of(HEARTBEAT_MS) {
            self.heartbeat();
        }
        completions.append(&mut self.completions);
    }
}
