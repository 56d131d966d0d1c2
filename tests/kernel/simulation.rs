//! A simulation of instances, workers, the platform's list and the log, and the operations and
//! faults that may occur.

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
    instance::Instance,
    network::{
        Cuts,
        Entry,
        Message,
        Request,
        Response,
        Sender, //
    },
    oracle::Oracle,
    values, //
};

/// Availability zones and clock rates of the instances; a rate is the number of local milliseconds
/// in 100 milliseconds of the global clock.
const INSTANCES: [(&str, u64); 4] = [("a", 100), ("a", 95), ("a", 105), ("b", 100)];

/// Availability zones of the workers. The second worker may be terminated, and the third may leave.
const WORKERS: [&str; 5] = ["a", "a", "a", "b", "a"];

/// An operation or fault.
#[derive(Debug, Clone)]
pub(super) enum Op {
    /// Time passes, all messages in flight are delivered in order, and every instance acts.
    Round {
        ms: u64,
    },
    /// Time passes and one instance acts.
    Step {
        instance: usize,
        ms: u64,
    },
    /// One instance plans without first carrying out its pending commands.
    Decide {
        instance: usize,
    },
    Deliver {
        at: usize,
    },
    Drop {
        at: usize,
    },
    /// A message to an instance or to the log is delivered and remains in flight.
    Duplicate {
        at: usize,
    },
    Pause {
        instance: usize,
        ms: u64,
    },
    Resume {
        instance: usize,
    },
    Restart {
        instance: usize,
    },
    /// An instance is replaced by a new incarnation that starts from the snapshot of a peer.
    Replace {
        instance: usize,
        peer: usize,
    },
    /// An instance loads the snapshot of a peer instead of reading the records up to it.
    LoadSnapshot {
        instance: usize,
        peer: usize,
    },
    /// An instance begins a graceful shutdown.
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

/// State of the simulation.
pub(super) struct Simulation {
    pub(super) t: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) workers: Vec<fake::Worker>,
    pub(super) log: Vec<Entry>,
    pub(super) in_flight: Vec<Message>,
    pub(super) cuts: Cuts,
    pub(super) listing: list::Listing,
    pub(super) oracle: Oracle,
    pub(super) submitted: Vec<RunId>,
    pub(super) id_count: u64,
}

impl Simulation {
    pub(super) fn new() -> Self {
        let instances = INSTANCES.iter().enumerate();
        let mut simulation = Self {
            t: 0,
            instances: instances
                .map(|(at, (zone, rate))| Instance::new(at, 1, zone, *rate))
                .collect(),
            workers: (0..WORKERS.len())
                .map(|at| fake::Worker::new(values::worker(at)))
                .collect(),
            log: Vec::new(),
            in_flight: Vec::new(),
            cuts: Cuts::default(),
            listing: list::Listing::default(),
            oracle: Oracle::default(),
            submitted: Vec::new(),
            id_count: 0,
        };
        simulation.publish();
        simulation
    }

    pub(super) fn apply(&mut self, op: Op) {
        match op {
            Op::Round { ms } => self.round(ms),
            Op::Step { instance, ms } => {
                self.advance(ms);
                self.step(instance % self.instances.len());
            }
            Op::Decide { instance } => {
                let now = self.clock(instance);
                let at = instance % self.instances.len();
                if !self.instances[at].paused {
                    self.instances[at].decide(now);
                    self.collect(at);
                }
            }
            Op::Deliver { at } => self.deliver(at, false),
            Op::Duplicate { at } => self.deliver(at, true),
            Op::Drop { at } => {
                if let Some(at) = at.checked_rem(self.in_flight.len()) {
                    self.in_flight.remove(at);
                }
            }
            Op::Pause { instance, ms } => {
                let at = instance % self.instances.len();
                self.instances[at].paused = true;
                self.advance(ms);
            }
            Op::Resume { instance } => {
                let at = instance % self.instances.len();
                self.instances[at].paused = false;
                self.send(at);
            }
            Op::Restart { instance } => self.restart(instance % self.instances.len()),
            Op::Replace { instance, peer } => {
                let count = self.instances.len();
                self.replace(instance % count, peer % count);
            }
            Op::LoadSnapshot { instance, peer } => {
                let count = self.instances.len();
                let (at, peer) = (instance % count, peer % count);
                if self.instances[peer].next_offset > self.instances[at].next_offset {
                    self.load_snapshot(at, peer);
                }
            }
            Op::Leave { instance } => {
                let at = instance % self.instances.len();
                self.instances[at].members.leave();
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
                self.submit(instance % self.instances.len(), kind, tasks, slots);
            }
            Op::Cancel { instance, job } => self.cancel(instance % self.instances.len(), job),
            Op::Request { instance } => {
                let now = self.clock(instance);
                let at = instance % self.instances.len();
                self.id_count += 1;
                if !self.instances[at].paused {
                    self.instances[at].request(now, self.id_count);
                    self.collect(at);
                }
            }
            Op::List => self.publish(),
            fault => self.fault(fault),
        }
        self.oracle.check(&self.workers);
    }

    fn fault(&mut self, op: Op) {
        let (instances, workers) = (self.instances.len(), self.workers.len());
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
            Op::Refuse { worker } => self.workers[worker % workers].refuse_next = true,
            _ => {}
        }
    }

    fn clock(&self, instance: usize) -> Millis {
        self.instances[instance % self.instances.len()].clock(self.t)
    }

    fn advance(&mut self, ms: u64) {
        self.t += ms;
        for worker in &mut self.workers {
            worker.tick(self.t);
        }
    }

    pub(super) fn round(&mut self, ms: u64) {
        self.advance(ms);
        self.deliver_all();
        for at in 0..self.instances.len() {
            self.step(at);
        }
        self.deliver_all();
    }

    /// Delivers all messages in flight except those to paused instances.
    fn deliver_all(&mut self) {
        for message in std::mem::take(&mut self.in_flight) {
            self.dispatch(message);
        }
    }

    fn step(&mut self, at: usize) {
        if self.instances[at].paused {
            return;
        }
        let now = self.clock(at);
        if self.cuts.reaches_log(at) {
            let listing = self.listing.clone();
            self.instances[at].list(now, &listing);
            self.instances[at].read(now, &self.log);
        }
        for target in self.instances[at].members.due_heartbeats(now) {
            self.exchange_heartbeats(at, target.id.as_str());
        }
        self.send(at);
        self.instances[at].decide(now);
        self.send(at);
    }

    /// Exchanges heartbeats between two instances.
    fn exchange_heartbeats(&mut self, from: usize, to: &str) {
        let found = self
            .instances
            .iter()
            .position(|s| s.members.identity().id.as_str() == to);
        let Some(to) = found else {
            return;
        };
        if self.instances[to].paused || !self.cuts.reaches_peer(from, to) {
            return;
        }
        for (a, b) in [(from, to), (to, from)] {
            let beat = self.instances[a].heartbeat();
            let now = self.clock(b);
            self.instances[b].members.record_heartbeat(now, &beat);
        }
    }

    fn send(&mut self, at: usize) {
        let now = self.clock(at);
        if !self.instances[at].paused {
            self.instances[at].send(now);
            self.collect(at);
        }
    }

    /// Moves the outgoing messages of an instance into flight, and checks work that it sends.
    fn collect(&mut self, at: usize) {
        let from = self.instances[at].sender;
        for (key, request) in std::mem::take(&mut self.instances[at].outbox) {
            let Some(entry) = self.instances[at].workers.get(key) else {
                continue;
            };
            let Some(worker) = self.workers.iter().position(|w| w.id == entry.id) else {
                continue;
            };
            let token = match &request {
                Request::Start { message } => Some(message.token),
                Request::Serve { token, .. } => Some(*token),
                _ => None,
            };
            if let Some(token) = token {
                self.oracle.check_send(self.t, &self.workers[worker], token);
            }
            self.in_flight.push(Message::Worker {
                from,
                worker,
                key,
                request,
            });
        }
        for entry in std::mem::take(&mut self.instances[at].appends) {
            self.in_flight.push(Message::Log { from, entry });
        }
    }

    fn deliver(&mut self, at: usize, duplicate: bool) {
        let Some(at) = at.checked_rem(self.in_flight.len()) else {
            return;
        };
        let message = self.in_flight.remove(at);
        if duplicate && !matches!(message, Message::Worker { .. }) {
            self.in_flight.push(message.clone());
        }
        self.dispatch(message);
    }

    fn dispatch(&mut self, message: Message) {
        match message {
            Message::Worker {
                from,
                worker,
                key,
                request,
            } => {
                if self.cuts.reaches_worker(from.at, worker) && !self.workers[worker].gone {
                    self.serve(from, worker, key, request);
                }
            }
            Message::Instance {
                to,
                worker,
                key,
                response,
            } => {
                let instance = &self.instances[to.at];
                if instance.paused {
                    self.in_flight.push(Message::Instance {
                        to,
                        worker,
                        key,
                        response,
                    });
                } else if instance.sender == to && self.cuts.reaches_worker(to.at, worker) {
                    let now = self.clock(to.at);
                    self.instances[to.at].on_response(now, key, response);
                    self.collect(to.at);
                }
            }
            Message::Log { from, mut entry } => {
                if self.cuts.reaches_log(from.at) {
                    entry.at = Millis(self.t);
                    self.oracle.record_entry(&entry);
                    self.log.push(entry);
                }
            }
        }
    }

    /// Delivers a request to a worker and sends its response.
    fn serve(
        &mut self,
        to: Sender,
        at: usize,
        key: bamboolock::kernel::WorkerKey,
        request: Request,
    ) {
        let worker = &mut self.workers[at];
        let response = match request {
            Request::Lease { sent, message } => {
                let grant = worker.lease(self.t, &message);
                Response::Lease { sent, grant }
            }
            Request::Start { message } => {
                let mut started = Vec::new();
                let response = worker.start(&message, &mut started);
                for id in &started {
                    self.oracle.record_start(id);
                }
                let tasks = message.tasks.into_iter().map(|l| l.id).collect();
                Response::Start { tasks, response }
            }
            Request::Serve { id, token, demand } => {
                if worker.current(token) {
                    worker.requests.push(fake::Request { id, token, demand });
                    return;
                }
                Response::Serve { id }
            }
            Request::Signal { message } => return worker.signal(&message),
            Request::Forget { token, tasks } => return worker.forget(token, &tasks),
        };
        self.in_flight.push(Message::Instance {
            to,
            worker: at,
            key,
            response,
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
        for instance in &self.instances {
            let id_worker = &self.workers[worker].id;
            let Some(key) = instance.workers.key(id_worker) else {
                continue;
            };
            let to = instance.sender;
            let response = Response::Serve { id };
            self.in_flight.push(Message::Instance {
                to,
                worker,
                key,
                response,
            });
        }
    }

    pub(super) fn restart(&mut self, at: usize) {
        let old = &self.instances[at];
        let incarnation = old.sender.incarnation + 1;
        self.instances[at] = Instance::new(at, incarnation, old.zone, old.rate);
    }

    fn replace(&mut self, at: usize, peer: usize) {
        let jobs = self.instances[peer].jobs.clone();
        let next_offset = self.instances[peer].next_offset;
        self.restart(at);
        let now = self.clock(at);
        self.instances[at].load_snapshot(now, jobs, next_offset);
    }

    fn load_snapshot(&mut self, at: usize, peer: usize) {
        let text = serde_json::to_string(&self.instances[peer].jobs).unwrap();
        let next_offset = self.instances[peer].next_offset;
        let now = self.clock(at);
        self.instances[at].load_snapshot(now, serde_json::from_str(&text).unwrap(), next_offset);
    }

    fn submit(&mut self, at: usize, kind: Kind, tasks: u32, slots: u32) {
        if self.instances[at].paused {
            return;
        }
        self.id_count += 1;
        let name = format!("job-{:04}", self.id_count);
        let mut job = values::accepted(&name, kind, tasks);
        job.demand = values::demand(slots, slots * 700);
        job.zone = self.instances[at].zone.parse().unwrap();
        let now = self.clock(at);
        self.instances[at].append(now, record::Record::Accepted(job));
        self.submitted.push(values::run(&name));
        self.collect(at);
    }

    pub(super) fn cancel(&mut self, at: usize, job: usize) {
        let Some(job) = job.checked_rem(self.submitted.len()) else {
            return;
        };
        let run = self.submitted[job].clone();
        let now = self.clock(at);
        if !self.instances[at].paused && self.instances[at].jobs.get(&run).is_some() {
            self.instances[at].append(now, record::Record::Cancel { run });
            self.collect(at);
        }
    }

    /// Updates the platform's list from the state of the workers.
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
