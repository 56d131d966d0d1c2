//! Instances, workers, the list and the log, with everything that may happen to them.

use bamboolock::{
    ids::{
        Millis,
        RunId, //
    },
    ledger::{
        jobs::Jobs,
        record, //
    },
    profile::Kind,
    wire::{
        caller::JobState,
        list, //
    }, //
};

use super::{
    fake,
    network::{
        Answer,
        Ask,
        Cuts,
        Entry,
        Message,
        Sender, //
    },
    oracle::Oracle,
    shell::Shell,
    values, //
};

/// Availability zones and clock rates (local milliseconds in 100 real ones) of the instances.
const INSTANCES: [(&str, u64); 4] = [("a", 100), ("a", 95), ("a", 105), ("b", 100)];

/// Availability zones of the workers. The second may end for good and the third may
/// leave.
const WORKERS: [&str; 5] = ["a", "a", "a", "b", "a"];

/// Rounds within which all must come right once nothing fails any more.
const CALM: u64 = 1_200;

/// What may happen.
#[derive(Debug, Clone)]
pub(super) enum Op {
    /// Time passes and all that is in flight arrives, in order.
    Round {
        ms: u64,
    },
    /// Time passes and one instance acts.
    Step {
        instance: usize,
        ms: u64,
    },
    /// One instance decides without sending what it decided before.
    Decide {
        instance: usize,
    },
    Deliver {
        at: usize,
    },
    Drop {
        at: usize,
    },
    /// A message to an instance or to the log arrives and stays in flight.
    Repeat {
        at: usize,
    },
    Pause {
        instance: usize,
        ms: u64,
    },
    Wake {
        instance: usize,
    },
    Restart {
        instance: usize,
    },
    CutWorker {
        instance: usize,
        worker: usize,
    },
    CutLog {
        instance: usize,
    },
    CutPeers {
        a: usize,
        b: usize,
    },
    Outage,
    Heal,
    RestartWorker {
        worker: usize,
    },
    EndWorker,
    LeaveWorker,
    Refuse {
        worker: usize,
    },
    Finish {
        worker: usize,
        at: usize,
        failed: bool,
    },
    FinishRequest {
        worker: usize,
        at: usize,
    },
    Submit {
        instance: usize,
        kind: Kind,
        tasks: u32,
        slots: u32,
    },
    Cancel {
        instance: usize,
        job: usize,
    },
    Request {
        instance: usize,
    },
    List,
}

/// Everything.
pub(super) struct World {
    t: u64,
    shells: Vec<Shell>,
    workers: Vec<fake::Worker>,
    log: Vec<Entry>,
    flight: Vec<Message>,
    cuts: Cuts,
    listing: list::Listing,
    oracle: Oracle,
    submitted: Vec<RunId>,
    count: u64,
}

impl World {
    pub(super) fn new() -> Self {
        let shells = INSTANCES.iter().enumerate();
        let mut world = Self {
            t: 0,
            shells: shells
                .map(|(at, (zone, rate))| Shell::new(at, 1, zone, *rate))
                .collect(),
            workers: (0..WORKERS.len())
                .map(|at| fake::Worker::new(values::worker(at)))
                .collect(),
            log: Vec::new(),
            flight: Vec::new(),
            cuts: Cuts::default(),
            listing: list::Listing::default(),
            oracle: Oracle::default(),
            submitted: Vec::new(),
            count: 0,
        };
        world.publish();
        world
    }

    pub(super) fn apply(&mut self, op: Op) {
        match op {
            Op::Round { ms } => self.round(ms),
            Op::Step { instance, ms } => {
                self.pass(ms);
                self.step(instance % self.shells.len());
            }
            Op::Decide { instance } => {
                let now = self.clock(instance);
                let at = instance % self.shells.len();
                if !self.shells[at].paused {
                    self.shells[at].decide(now);
                    self.collect(at);
                }
            }
            Op::Deliver { at } => self.deliver(at, false),
            Op::Repeat { at } => self.deliver(at, true),
            Op::Drop { at } => {
                if let Some(at) = at.checked_rem(self.flight.len()) {
                    self.flight.remove(at);
                }
            }
            Op::Pause { instance, ms } => {
                let at = instance % self.shells.len();
                self.shells[at].paused = true;
                self.pass(ms);
            }
            Op::Wake { instance } => {
                let at = instance % self.shells.len();
                self.shells[at].paused = false;
                self.send(at);
            }
            Op::Restart { instance } => self.restart(instance % self.shells.len()),
            Op::Finish { worker, at, failed } => {
                let count = self.workers.len();
                self.workers[worker % count].finish(at, failed);
            }
            Op::FinishRequest { worker, at } => self.finish_request(worker, at),
            Op::Submit {
                instance,
                kind,
                tasks,
                slots,
            } => {
                self.submit(instance % self.shells.len(), kind, tasks, slots);
            }
            Op::Cancel { instance, job } => self.cancel(instance % self.shells.len(), job),
            Op::Request { instance } => {
                let now = self.clock(instance);
                let at = instance % self.shells.len();
                self.count += 1;
                if !self.shells[at].paused {
                    self.shells[at].request(now, self.count);
                    self.collect(at);
                }
            }
            Op::List => self.publish(),
            fault => self.fault(fault),
        }
        self.oracle.check(&self.workers);
    }

    fn fault(&mut self, op: Op) {
        let (instances, workers) = (self.shells.len(), self.workers.len());
        match op {
            Op::CutWorker { instance, worker } => {
                self.cuts.cut_worker(instance % instances, worker % workers);
            }
            Op::CutLog { instance } => self.cuts.cut_log(instance % instances),
            Op::CutPeers { a, b } => self.cuts.cut_peers(a % instances, b % instances),
            Op::Outage => self.cuts.outage = !self.cuts.outage,
            Op::Heal => self.cuts = Cuts::default(),
            Op::RestartWorker { worker } => {
                let worker = &mut self.workers[worker % workers];
                if !worker.gone {
                    worker.restart();
                }
            }
            Op::EndWorker => {
                self.workers[1].restart();
                self.workers[1].gone = true;
            }
            Op::LeaveWorker => {
                self.workers[2].leaving.get_or_insert(self.t);
            }
            Op::Refuse { worker } => self.workers[worker % workers].refuse = true,
            _ => {}
        }
    }

    /// Lets all faults end and checks that everything accepted comes to its end.
    pub(super) fn settle(&mut self) {
        self.cuts = Cuts::default();
        for shell in &mut self.shells {
            shell.paused = false;
        }
        for round in 0..CALM {
            if round % 5 == 0 {
                self.publish();
                self.cancel_services();
            }
            if round % 3 == 0 {
                self.finish_all();
            }
            self.round(100);
            self.oracle.check(&self.workers);
            if self.settled() {
                self.check_replicas();
                return;
            }
        }
        let open: Vec<_> = self.open().collect();
        for status in &open {
            let job = self.shells[0].jobs.get(&status.id);
            eprintln!(
                "open: {:?}",
                job.map(|j| (&j.tasks, j.spec.demand, j.spec.terms.kind))
            );
        }
        for worker in &self.workers {
            eprintln!("{worker:?}");
            for shell in &self.shells {
                let key = shell.workers.key(&worker.id);
                let entry = key.and_then(|key| shell.workers.get(key));
                eprintln!(
                    "  {:?}: {:?}",
                    shell.who,
                    entry.map(|e| (&e.life, e.floor, e.free, e.holds(), e.listed, e.boot))
                );
            }
        }
        panic!("not settled after {CALM} calm rounds: {open:?}");
    }

    /// Services never end by themselves, and may hold all room.
    fn cancel_services(&mut self) {
        for job in 0..self.submitted.len() {
            let spec = self.oracle.job(&self.submitted[job]);
            let service = spec.is_some_and(|s| s.terms.kind == Kind::Service);
            if service && !self.oracle.is_cancelled(&self.submitted[job]) {
                self.cancel(0, job);
            }
        }
    }

    /// Jobs in the log that are not where they should be.
    fn open(&self) -> impl Iterator<Item = bamboolock::wire::caller::Status> {
        let jobs = &self.shells[0].jobs;
        self.submitted.iter().filter_map(move |run| {
            self.oracle.job(run)?;
            let status = jobs.status(run)?;
            let over = status.running == 0
                && matches!(
                    status.state,
                    JobState::Done | JobState::Failed | JobState::Cancelled
                );
            (!over).then_some(status)
        })
    }

    fn settled(&self) -> bool {
        let lost = self
            .submitted
            .iter()
            .any(|run| self.oracle.job(run).is_some() && self.shells[0].jobs.get(run).is_none());
        !lost && self.open().next().is_none() && self.stopped() && self.empty()
    }

    /// Whether every lease table counts the workers that it holds as empty, once they are.
    fn empty(&self) -> bool {
        let mut workers = self.shells.iter().flat_map(|s| s.workers.iter());
        workers.all(|(_, w)| !w.usable() || w.free == w.capacity)
    }

    /// Whether nothing of a cancelled job executes.
    fn stopped(&self) -> bool {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let mut active = tasks.filter(|t| t.state.active());
        !active.any(|t| self.oracle.is_cancelled(&t.id.run))
    }

    /// Every replica at the same place of the log holds the same jobs, also out of a snapshot.
    fn check_replicas(&self) {
        let first = &self.shells[0];
        for shell in &self.shells[1..] {
            if shell.next == first.next {
                assert_eq!(shell.jobs, first.jobs);
            }
        }
        let text = serde_json::to_string(&first.jobs).unwrap();
        let back: Jobs = serde_json::from_str(&text).unwrap();
        assert_eq!(back, first.jobs);
    }

    fn clock(&self, instance: usize) -> Millis {
        self.shells[instance % self.shells.len()].clock(self.t)
    }

    fn pass(&mut self, ms: u64) {
        self.t += ms;
        for worker in &mut self.workers {
            worker.tick(self.t);
        }
    }

    fn round(&mut self, ms: u64) {
        self.pass(ms);
        self.arrive();
        for at in 0..self.shells.len() {
            self.step(at);
        }
        self.arrive();
    }

    /// Delivers what is in flight, but for messages to paused instances.
    fn arrive(&mut self) {
        for message in std::mem::take(&mut self.flight) {
            self.hand(message);
        }
    }

    fn step(&mut self, at: usize) {
        if self.shells[at].paused {
            return;
        }
        let now = self.clock(at);
        if self.cuts.reaches_log(at) {
            let listing = self.listing.clone();
            self.shells[at].list(now, &listing);
            self.shells[at].read(now, &self.log);
        }
        for target in self.shells[at].members.due(now) {
            self.beat(at, target.id.as_str());
        }
        self.send(at);
        self.shells[at].decide(now);
        self.send(at);
    }

    /// A heartbeat and its answer.
    fn beat(&mut self, from: usize, to: &str) {
        let found = self
            .shells
            .iter()
            .position(|s| s.members.me().id.as_str() == to);
        let Some(to) = found else {
            return;
        };
        if self.shells[to].paused || !self.cuts.reaches_peer(from, to) {
            return;
        }
        for (a, b) in [(from, to), (to, from)] {
            let beat = self.shells[a].heartbeat();
            let now = self.clock(b);
            self.shells[b].members.heard(now, &beat);
        }
    }

    fn send(&mut self, at: usize) {
        let now = self.clock(at);
        if !self.shells[at].paused {
            self.shells[at].send(now);
            self.collect(at);
        }
    }

    /// Puts what an instance sends on its way.
    fn collect(&mut self, at: usize) {
        let from = self.shells[at].who;
        for (key, ask) in std::mem::take(&mut self.shells[at].out) {
            let Some(entry) = self.shells[at].workers.get(key) else {
                continue;
            };
            let Some(worker) = self.workers.iter().position(|w| w.id == entry.id) else {
                continue;
            };
            let token = match &ask {
                Ask::Start { message } => Some(message.token),
                Ask::Serve { token, .. } => Some(*token),
                _ => None,
            };
            if let Some(token) = token {
                self.oracle.sent(self.t, &self.workers[worker], token);
            }
            self.flight.push(Message::Worker {
                from,
                worker,
                key,
                ask,
            });
        }
        for entry in std::mem::take(&mut self.shells[at].appends) {
            self.flight.push(Message::Log { from, entry });
        }
    }

    fn deliver(&mut self, at: usize, again: bool) {
        let Some(at) = at.checked_rem(self.flight.len()) else {
            return;
        };
        let message = self.flight.remove(at);
        if again && !matches!(message, Message::Worker { .. }) {
            self.flight.push(message.clone());
        }
        self.hand(message);
    }

    fn hand(&mut self, message: Message) {
        match message {
            Message::Worker {
                from,
                worker,
                key,
                ask,
            } => {
                if self.cuts.reaches_worker(from.at, worker) && !self.workers[worker].gone {
                    self.serve(from, worker, key, ask);
                }
            }
            Message::Instance {
                to,
                worker,
                key,
                answer,
            } => {
                let shell = &self.shells[to.at];
                if shell.paused {
                    self.flight.push(Message::Instance {
                        to,
                        worker,
                        key,
                        answer,
                    });
                } else if shell.who == to && self.cuts.reaches_worker(to.at, worker) {
                    let now = self.clock(to.at);
                    self.shells[to.at].answered(now, key, answer);
                    self.collect(to.at);
                }
            }
            Message::Log { from, mut entry } => {
                if self.cuts.reaches_log(from.at) {
                    entry.at = Millis(self.t);
                    self.oracle.logged(&entry);
                    self.log.push(entry);
                }
            }
        }
    }

    /// Lets a worker handle a message.
    fn serve(&mut self, to: Sender, at: usize, key: bamboolock::kernel::WorkerKey, ask: Ask) {
        let worker = &mut self.workers[at];
        let answer = match ask {
            Ask::Lease { sent, message } => {
                let grant = worker.lease(self.t, &message);
                Answer::Lease { sent, grant }
            }
            Ask::Start { message } => {
                let mut begun = Vec::new();
                let answer = worker.start(&message, &mut begun);
                for id in &begun {
                    self.oracle.began(id);
                }
                let tasks = message.tasks.into_iter().map(|l| l.id).collect();
                Answer::Start { tasks, answer }
            }
            Ask::Serve { id, token, demand } => {
                if worker.current(token) {
                    worker.requests.push(fake::Request { id, token, demand });
                    return;
                }
                Answer::Serve { id }
            }
            Ask::Signal { message } => return worker.signal(&message),
            Ask::Forget { token, tasks } => return worker.forget(token, &tasks),
        };
        self.flight.push(Message::Instance {
            to,
            worker: at,
            key,
            answer,
        });
    }

    fn finish_request(&mut self, worker: usize, at: usize) {
        let count = self.workers.len();
        let worker = worker % count;
        let requests = &mut self.workers[worker].requests;
        let Some(at) = at.checked_rem(requests.len()) else {
            return;
        };
        let id = requests.remove(at).id;
        for shell in &self.shells {
            let id_worker = &self.workers[worker].id;
            let Some(key) = shell.workers.key(id_worker) else {
                continue;
            };
            let to = shell.who;
            let answer = Answer::Serve { id };
            self.flight.push(Message::Instance {
                to,
                worker,
                key,
                answer,
            });
        }
    }

    /// Ends requests, and tasks that are neither kept running nor cancelled. Those must be told.
    fn finish_all(&mut self) {
        for worker in 0..self.workers.len() {
            while !self.workers[worker].requests.is_empty() {
                self.finish_request(worker, 0);
            }
            let jobs = &self.oracle;
            let kept = |run: &RunId| {
                let spec = jobs.job(run);
                let service = spec.is_some_and(|s| s.terms.kind == Kind::Service);
                service || jobs.is_cancelled(run)
            };
            for task in &mut self.workers[worker].tasks {
                use bamboolock::wire::worker::State;
                task.state = match task.state {
                    State::Stopping => State::Stopped,
                    State::Running if !kept(&task.id.run) => State::Done,
                    state => state,
                };
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let old = &self.shells[at];
        let life = old.who.life + 1;
        self.shells[at] = Shell::new(at, life, old.zone, old.rate);
    }

    fn submit(&mut self, at: usize, kind: Kind, tasks: u32, slots: u32) {
        if self.shells[at].paused {
            return;
        }
        self.count += 1;
        let name = format!("job-{:04}", self.count);
        let mut job = values::accepted(&name, kind, tasks);
        job.demand = values::demand(slots, slots * 700);
        job.zone = self.shells[at].zone.parse().unwrap();
        let now = self.clock(at);
        self.shells[at].append(now, record::Record::Accepted(job));
        self.submitted.push(values::run(&name));
        self.collect(at);
    }

    fn cancel(&mut self, at: usize, job: usize) {
        let Some(job) = job.checked_rem(self.submitted.len()) else {
            return;
        };
        let run = self.submitted[job].clone();
        let now = self.clock(at);
        if !self.shells[at].paused && self.shells[at].jobs.get(&run).is_some() {
            self.shells[at].append(now, record::Record::Cancel { run });
            self.collect(at);
        }
    }

    /// Brings the platform's list up to date.
    fn publish(&mut self) {
        let entries = INSTANCES.iter().enumerate().map(|(at, (zone, _))| {
            let id = values::instance(at);
            values::listed(id.as_str(), list::Role::Entry, zone)
        });
        let workers = self.workers.iter().zip(WORKERS).map(|(worker, zone)| {
            let mut row = values::listed(worker.id.as_str(), list::Role::Worker, zone);
            row.boot = worker.boot;
            if worker.leaving.is_some() {
                row.state = list::State::Leaving;
            }
            if worker.gone {
                row.state = list::State::Gone;
            }
            row
        });
        self.listing = values::listing(entries.chain(workers).collect());
    }
}
