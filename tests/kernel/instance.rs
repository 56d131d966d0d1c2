//! A simulated instance: the kernel and a thin layer that passes messages to and from it.

use bamboolock::{
    ids::{
        Millis,
        Token, //
    },
    kernel::{
        WorkerKey,
        WorkerPool,
        members::Members,
        runs::{
            Command,
            Runs, //
        },
        workers::{
            LeaseMessage,
            Workers, //
        }, //
    },
    ledger::{
        jobs::Jobs,
        record, //
    },
    resources::Resources,
    wire::{
        list,
        peer::Heartbeat,
        worker::{
            SignalTasks,
            Start,
            TaskId, //
        }, //
    }, //
};

use super::{
    network::{
        Entry,
        Request,
        Response,
        Sender, //
    },
    values, //
};

/// Milliseconds of the local clock after which a missing response is treated as lost. Log entries
/// are appended again after twice that time.
const TIMEOUT_MS: u64 = 600;

/// An awaited response.
#[derive(Debug, Clone)]
enum Awaited {
    Lease(Millis),
    Start(Vec<TaskId>),
    Serve(u64),
}

/// A request in progress.
#[derive(Debug, Clone)]
struct Serving {
    id: u64,
    key: WorkerKey,
    demand: Resources,
}

/// A simulated instance.
pub(super) struct Instance {
    pub(super) sender: Sender,
    pub(super) zone: &'static str,
    pub(super) members: Members,
    pub(super) workers: Workers,
    pub(super) runs: Runs,
    pub(super) jobs: Jobs,
    pub(super) next_offset: usize,
    pub(super) paused: bool,
    /// Local milliseconds that pass in 100 milliseconds of the global clock.
    pub(super) rate: u64,
    pub(super) commands: Vec<Command>,
    /// Messages to workers that the simulation has to send.
    pub(super) outbox: Vec<(WorkerKey, Request)>,
    /// Entries that the simulation has to append to the log.
    pub(super) appends: Vec<Entry>,
    profiles: values::Published,
    awaited: Vec<(Millis, WorkerKey, Awaited)>,
    unconfirmed: Vec<(Millis, Entry)>,
    serving: Vec<Serving>,
    batches: u64,
}

impl Instance {
    pub(super) fn new(at: usize, incarnation: u64, zone: &'static str, rate: u64) -> Self {
        let me = values::me(at, zone, incarnation);
        let mut workers = Workers::new(values::lease(), me.clone());
        workers.set_request_demand(values::request_demand());
        Self {
            sender: Sender { at, incarnation },
            zone,
            members: Members::new(values::membership(), me.clone()),
            workers,
            runs: Runs::new(values::runs_cfg(), &values::lease(), me),
            jobs: Jobs::default(),
            next_offset: 0,
            paused: false,
            rate,
            commands: Vec::new(),
            outbox: Vec::new(),
            appends: Vec::new(),
            profiles: values::Published::new(),
            awaited: Vec::new(),
            unconfirmed: Vec::new(),
            serving: Vec::new(),
            batches: 0,
        }
    }

    /// Returns the local time at the global time `t`.
    pub(super) fn clock(&self, t: u64) -> Millis {
        Millis(self.sender.at as u64 * 1_000 + t * self.rate / 100)
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        let me = self.members.identity();
        Heartbeat {
            id: me.id.clone(),
            incarnation: me.incarnation,
            zone: me.zone.clone(),
            region: me.region.clone(),
            address: "127.0.0.1:1".into(),
            peer: "127.0.0.1:2".into(),
            next: bamboolock::ids::Offset(self.next_offset as u64),
            leaving: self.members.is_leaving(),
            free: 0,
            held: 0,
            shapes: Vec::new(),
        }
    }

    pub(super) fn list(&mut self, now: Millis, listing: &list::Listing) {
        self.members.apply_listing(now, listing);
        self.workers.listed(now, listing);
        let commands = self
            .runs
            .listed(now, listing, &self.jobs, &self.members, &self.workers);
        self.commands.extend(commands);
    }

    /// Replaces the jobs by a snapshot at the log offset `next_offset`.
    pub(super) fn load_snapshot(&mut self, now: Millis, jobs: Jobs, next_offset: usize) {
        self.jobs = jobs;
        self.next_offset = next_offset;
        self.runs.rebuild(now, &self.jobs, &self.profiles);
    }

    /// Applies the entries of the log that have not been applied yet.
    pub(super) fn read(&mut self, now: Millis, log: &[Entry]) {
        for entry in &log[self.next_offset..] {
            self.unconfirmed.retain(|u| u.1.id != entry.id);
            for record in &entry.records {
                for effect in self.jobs.apply(entry.at, &entry.by, record) {
                    let commands = self.runs.on_effect(
                        now,
                        &effect,
                        &self.jobs,
                        &mut self.workers,
                        &self.profiles,
                    );
                    self.commands.extend(commands);
                }
            }
        }
        self.next_offset = log.len();
    }

    /// Runs the due actions of the planner and the worker table.
    pub(super) fn decide(&mut self, now: Millis) {
        self.expire(now);
        self.runs.tick(now, &mut self.workers);
        for LeaseMessage {
            worker,
            message,
            sent,
            ..
        } in self.workers.tick(now, &self.members)
        {
            self.awaited.push((now, worker, Awaited::Lease(sent)));
            self.outbox.push((worker, Request::Lease { sent, message }));
        }
        let claims = self.runs.plan(
            now,
            &self.jobs,
            &mut self.workers,
            &self.members,
            &self.profiles,
        );
        for claim in claims {
            self.append(now, record::Record::Claim(claim));
        }
    }

    /// Carries out the pending commands; a start is sent only if that is still allowed.
    pub(super) fn send(&mut self, now: Millis) {
        for command in std::mem::take(&mut self.commands) {
            match command {
                Command::Start {
                    worker,
                    token,
                    launches,
                } => {
                    let ids: Vec<_> = launches.iter().map(|l| l.id.clone()).collect();
                    if !self.workers.may_start(now, worker, token) {
                        let commands = self.runs.on_start_unsent(now, &ids, &mut self.workers);
                        self.append_outcomes(now, commands);
                        continue;
                    }
                    let tasks = launches;
                    let message = Start { token, tasks };
                    self.awaited.push((now, worker, Awaited::Start(ids)));
                    self.outbox.push((worker, Request::Start { message }));
                }
                Command::Signal { worker, tasks } => {
                    if let Some(token) = self.workers.signal_token(now, worker) {
                        let message = SignalTasks { token, tasks };
                        self.outbox.push((worker, Request::Signal { message }));
                    }
                }
                Command::Forget { worker, tasks } => {
                    if let Some(token) = self.workers.signal_token(now, worker) {
                        self.outbox.push((worker, Request::Forget { token, tasks }));
                    }
                }
                Command::AppendOutcomes(ended) => self.append(now, record::Record::Ended(ended)),
            }
        }
    }

    pub(super) fn on_response(&mut self, now: Millis, key: WorkerKey, response: Response) {
        match response {
            Response::Lease { sent, grant } => {
                self.awaited
                    .retain(|w| !matches!(w.2, Awaited::Lease(s) if s == sent && w.1 == key));
                if let Some(report) = self.workers.on_answer(sent, now, key, grant) {
                    let commands =
                        self.runs
                            .report(now, key, &report, &self.jobs, &mut self.workers);
                    self.commands.extend(commands);
                }
            }
            Response::Start { tasks, response } => {
                self.awaited
                    .retain(|w| !matches!(&w.2, Awaited::Start(ids) if *ids == tasks));
                let workers = &mut self.workers;
                let commands =
                    self.runs
                        .on_start_answer(now, key, &tasks, Some(&response), workers);
                self.append_outcomes(now, commands);
            }
            Response::Serve { id } => {
                self.awaited
                    .retain(|w| !matches!(w.2, Awaited::Serve(s) if s == id));
                if let Some(done) = self.take_serving(id) {
                    self.workers.release(done.key, &done.demand);
                }
            }
        }
    }

    /// Sends a request to a worker with enough free resources, if there is one.
    pub(super) fn request(&mut self, now: Millis, id: u64) {
        let demand = values::request_demand();
        let mut offers = Vec::new();
        self.workers.sample(now, &demand, id, 1, &mut offers);
        let Some(offer) = offers.first() else {
            return;
        };
        let key = offer.worker;
        assert!(
            self.workers.reserve(key, &demand),
            "an offered worker did not fit the request"
        );
        let Some(token) = self.workers.send_token(now, key) else {
            self.workers.release(key, &demand);
            return;
        };
        self.serve(now, key, (id, token, demand));
    }

    fn serve(&mut self, now: Millis, key: WorkerKey, (id, token, demand): (u64, Token, Resources)) {
        self.serving.push(Serving { id, key, demand });
        self.awaited.push((now, key, Awaited::Serve(id)));
        self.outbox
            .push((key, Request::Serve { id, token, demand }));
    }

    pub(super) fn append(&mut self, now: Millis, record: record::Record) {
        self.batches += 1;
        let entry = Entry {
            id: (self.sender.at, self.sender.incarnation, self.batches),
            by: values::author(self.sender.at, self.sender.incarnation),
            records: vec![record],
            at: Millis(0),
        };
        self.unconfirmed.push((now, entry.clone()));
        self.appends.push(entry);
    }

    fn append_outcomes(&mut self, now: Millis, commands: Vec<Command>) {
        for command in commands {
            if let Command::AppendOutcomes(ended) = command {
                self.append(now, record::Record::Ended(ended));
            }
        }
    }

    fn take_serving(&mut self, id: u64) -> Option<Serving> {
        let at = self.serving.iter().position(|s| s.id == id)?;
        Some(self.serving.remove(at))
    }

    /// Times out missing responses, and appends entries again that were not read back.
    fn expire(&mut self, now: Millis) {
        let awaited = std::mem::take(&mut self.awaited);
        let (late, left): (Vec<_>, Vec<_>) = awaited
            .into_iter()
            .partition(|w| now.since(w.0) > TIMEOUT_MS);
        self.awaited = left;
        for (_, key, wait) in late {
            match wait {
                Awaited::Lease(sent) => self.workers.on_timeout(sent, now, key),
                Awaited::Start(ids) => {
                    let workers = &mut self.workers;
                    let commands = self.runs.on_start_answer(now, key, &ids, None, workers);
                    self.append_outcomes(now, commands);
                }
                Awaited::Serve(id) => {
                    if let Some(lost) = self.take_serving(id) {
                        self.workers.orphan(lost.key, &lost.demand);
                    }
                }
            }
        }
        for (since, entry) in &mut self.unconfirmed {
            if now.since(*since) > TIMEOUT_MS * 2 {
                *since = now;
                self.appends.push(entry.clone());
            }
        }
    }
}
