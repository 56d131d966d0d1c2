//! The requests kernel as a system under experiment: late binding to free slots.

use std::sync::Arc;

use slotmap::SecondaryMap;

use crate::{
    bench::{
        arrivals::{
            Job,
            Work, //
        },
        room::Pool,
        sim::{
            Final,
            Start,
            System, //
        },
    },
    configs,
    ids::{
        Millis,
        RequestId, //
    },
    kernel::{
        WorkerKey,
        requests::{
            Arrival,
            AttemptKey,
            Kind,
            Outcome,
            RequestKey,
            Requests,
            Step, //
        }, //
    },
    resources::Resources, //
};

/// The kernel, its workers and the arrivals that are open.
#[derive(Debug)]
pub struct Late {
    kernel: Requests,
    pool: Pool,
    works: Vec<Work>,
    id: RequestId,
    indexes: SecondaryMap<RequestKey, usize>,
    requests: SecondaryMap<AttemptKey, RequestKey>,
    workers: SecondaryMap<WorkerKey, usize>,
    finals: Vec<Final>,
}

impl Late {
    /// A kernel with so many workers of the same capacity.
    #[must_use]
    pub fn new(
        cfg: configs::requests::Requests,
        works: &[Work],
        id: RequestId,
        workers: usize,
        capacity: Resources,
    ) -> Self {
        let pool = Pool::new(workers, capacity);
        let keys = pool.keys().into_iter().enumerate();
        Self {
            kernel: Requests::new(cfg, 1),
            workers: keys.map(|(i, key)| (key, i)).collect(),
            pool,
            works: works.to_vec(),
            id,
            indexes: SecondaryMap::new(),
            requests: SecondaryMap::new(),
            finals: Vec::new(),
        }
    }

    fn finish(&mut self, key: RequestKey, answered: bool) {
        if let Some(index) = self.indexes.remove(key) {
            self.finals.push(Final { index, answered });
        }
    }

    fn take(&mut self, key: Option<RequestKey>, step: &Step) {
        let Some(key) = key else {
            return;
        };
        match step {
            Step::Answer => self.finish(key, true),
            Step::Refuse(_) => self.finish(key, false),
            Step::Retry { .. } | Step::Ignore => {}
        }
    }
}

impl System for Late {
    type Attempt = AttemptKey;

    fn arrive(&mut self, now: Millis, index: usize, job: &Job) {
        let work = &self.works[job.work];
        let arrival = Arrival {
            id: self.id.clone(),
            name: work.name.clone(),
            version: 1,
            deadline: work.profile.objective.deadline,
            profile: Arc::clone(&work.profile),
            key: None,
            forwarded: false,
        };
        match self.kernel.submit(now, arrival) {
            Ok(key) => {
                self.indexes.insert(key, index);
            }
            Err(_) => self.finals.push(Final {
                index,
                answered: false,
            }),
        }
    }

    fn start(&mut self, now: Millis, starts: &mut Vec<Start<AttemptKey>>) {
        for dispatch in self.kernel.next(now, &mut self.pool) {
            self.requests.insert(dispatch.attempt, dispatch.key);
            let worker = self.workers.get(dispatch.worker);
            let index = self.indexes.get(dispatch.key);
            let (Some(worker), Some(index)) = (worker, index) else {
                continue;
            };
            starts.push(Start {
                attempt: dispatch.attempt,
                index: *index,
                worker: *worker,
                timeout: dispatch.timeout,
                again: dispatch.kind != Kind::First,
            });
        }
    }

    fn end(&mut self, now: Millis, attempt: AttemptKey, outcome: Outcome) {
        let step = self.kernel.finished(now, attempt, outcome, &mut self.pool);
        let key = self.requests.get(attempt).copied();
        self.take(key, &step);
    }

    fn settle(&mut self, now: Millis, attempt: AttemptKey) {
        let step = self.kernel.settled(now, attempt, &mut self.pool);
        let key = self.requests.get(attempt).copied();
        self.take(key, &step);
    }

    fn tick(&mut self, now: Millis, finals: &mut Vec<Final>) {
        for notice in self.kernel.tick(now) {
            self.take(Some(notice.key), &notice.step);
        }
        finals.append(&mut self.finals);
    }
}
