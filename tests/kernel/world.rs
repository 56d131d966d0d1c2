//! Instances, workers, the list and the log, with everything that may happen to them.

use bamboolock::{
    ids::{
        Millis,
        RunId, //
    },
    ledger::record,
    profile::Kind,
    wire::list, //
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

/// Availability zones of the workers. The second may end for good and the third
/// may leave.
const WORKERS: [&str; 5] = ["a", "a", "a", "b", "a"];

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
    /// An instance is replaced, and the new one starts from a peer's snapshot.
    Replace {
        instance: usize,
        peer: usize,
    },
    /// An instance takes in a peer's snapshot in place of the records that it has not read.
    Adopt {
        instance: usize,
        peer: usize,
    },
    /// An instance begins its graceful shutdown.
    Leave {
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
    pub(super) t: u64,
    pub(super) shells: Vec<Shell>,
    pub(super) workers: Vec<fake::Worker>,
    pub(super) log: Vec<Entry>,
    pub(super) flight: Vec<Message>,
    pub(super) cuts: Cuts,
    pub(super) listing: list::Listing,
    pub(super) oracle: Oracle,
    pub(super) submitted: Vec<RunId>,
    pub(super) count: u64,
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
            Op::Replace { instance, peer } => {
                let count = self.shells.len();
                self.replace(instance % count, peer % count);
            }
            Op::Adopt { instance, peer } => {
                let count = self.shells.len();
                let (at, peer) = (instance % count, peer % count);
                if self.shells[peer].next > self.shells[at].next {
                    self.adopt(at, peer);
                }
            }
            Op::Leave { instance } => {
                let at = instance % self.shells.len();
                self.shells[at].members.leave();
            }
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

    fn clock(&self, instance: usize) -> Millis {
        self.shells[instance % self.shells.len()].clock(self.t)
    }

    fn pass(&mut self, ms: u64) {
        self.t += ms;
        for worker in &mut self.workers {
            worker.tick(self.t);
        }
    }

    pub(super) fn round(&mut self, ms: u64) {
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
        for target in self.shells[at].members.due_heartbeats(now) {
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
            .position(|s| s.members.identity().id.as_str() == to);
        let Some(to) = found else {
            return;
        };
        if self.shells[to].paused || !self.cuts.reaches_peer(from, to) {
            return;
        }
        for (a, b) in [(from, to), (to, from)] {
            let beat = self.shells[a].heartbeat();
            let now = self.clock(b);
            self.shells[b].members.record_heartbeat(now, &beat);
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

    pub(super) fn finish_request(&mut self, worker: usize, at: usize) {
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

    pub(super) fn restart(&mut self, at: usize) {
        let old = &self.shells[at];
        let life = old.who.life + 1;
        self.shells[at] = Shell::new(at, life, old.zone, old.rate);
    }

    fn replace(&mut self, at: usize, peer: usize) {
        let jobs = self.shells[peer].jobs.clone();
        let next = self.shells[peer].next;
        self.restart(at);
        let now = self.clock(at);
        self.shells[at].adopt(now, jobs, next);
    }

    fn adopt(&mut self, at: usize, peer: usize) {
        let text = serde_json::to_string(&self.shells[peer].jobs).unwrap();
        let next = self.shells[peer].next;
        let now = self.clock(at);
        self.shells[at].adopt(now, serde_json::from_str(&text).unwrap(), next);
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

    pub(super) fn cancel(&mut self, at: usize, job: usize) {
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
    pub(super) fn publish(&mut self) {
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
