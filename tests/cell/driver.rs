//! A cell without faults of its own, for tables of what an owner does when workers crash, drain or fall
//! silent. Commands take no time.

use bamboolock::cell::{
    engine::{
        Action,
        Engine,
        commands::SendError, //
    },
    fencing::Token,
    model::{
        self,
        Availability,
        Outcome,
        Reply,
        State,
        TaskName,
        Verdict, //
    }, //
};
use compact_str::format_compact;

use super::{
    make::{
        self,
        START, //
    },
    workers::{
        self,
        Behaviour,
        Deadly,
        JobSpec,
        Oracle,
        SimWorker, //
    },
};

/// Length of a step, in milliseconds.
pub(super) const STEP: u64 = 10;

/// Time until a crashed worker is back, in milliseconds.
const DOWN: u64 = 3_500;

/// Time for which the registration of a worker that is gone stays listed, in milliseconds.
const LAPSE: u64 = 4_500;

/// How a crashed worker comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Back {
    /// Under its id, as a later incarnation.
    Itself,
    /// As another worker at its address.
    Another,
}

pub(super) const WAYS: [Back; 2] = [Back::Itself, Back::Another];

/// Worker that another one has replaced.
struct Former {
    id: String,
    machine: usize,
    incarnation: u64,
    listed: u64,
}

/// An owner, its store and workers, without faults of their own; commands take no time.
pub(super) struct Cell {
    pub(super) engine: Engine,
    machines: Vec<SimWorker>,
    pub(super) judge: Oracle,
    pub(super) log: Vec<(String, Option<Vec<u8>>)>,
    pub(super) now: u64,
    pub(super) back: Back,
    /// Time at which each worker that is down comes back, in milliseconds.
    downs: Vec<u64>,
    /// Time until which each worker cannot be reached, in milliseconds.
    pub(super) cuts: Vec<u64>,
    /// Time at which each draining worker exits, in milliseconds.
    pub(super) exits: Vec<Option<u64>>,
    former: Vec<Former>,
    /// Duration of the runs that start, in milliseconds.
    pub(super) duration: u64,
    /// Time within which the durations of runs differ, in milliseconds.
    pub(super) spread: u64,
    /// Whether the answers to start commands are lost.
    pub(super) unanswered: bool,
    /// Time until which the store takes nothing, in milliseconds.
    pub(super) outage: u64,
    /// Organisations in the configuration.
    organisations: Vec<model::Organisation>,
}

impl Cell {
    pub(super) fn new(workers: usize, back: Back) -> Self {
        let machine = |n| SimWorker::new(format!("w{n}"), 8_000, 1_000, START - 100);
        let mut cell = Self {
            engine: make::owner(&[]),
            machines: (0..workers).map(machine).collect(),
            judge: Oracle::default(),
            log: Vec::new(),
            now: START,
            back,
            downs: vec![0; workers],
            cuts: vec![0; workers],
            exits: vec![None; workers],
            former: Vec::new(),
            duration: 500,
            spread: 0,
            unanswered: false,
            outage: 0,
            organisations: Vec::new(),
        };
        cell.judge.attempts = 3;
        cell.judge.traced = std::env::var_os("BAMBOOLOCK_TRACE").is_some();
        if cell.judge.traced {
            bamboolock::program::log_to_stderr();
        }
        cell.list();
        cell.run(200);
        cell
    }

    pub(super) fn run(&mut self, time: u64) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until a condition holds, for a minute at most.
    pub(super) fn run_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        let until = self.now + 60_000;
        while !holds(self) {
            assert!(self.now < until, "{what}: {:?}", self.judge.violations);
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        workers::advance(&mut self.machines, &mut self.judge, now);
        for at in std::mem::take(&mut self.judge.crashed) {
            self.downs[at] = now + DOWN;
        }
        for at in 0..self.machines.len() {
            self.move_on(at);
        }
        if now.is_multiple_of(500) {
            self.list();
        }
        self.engine.set_wall_clock(now, now);
        self.engine.set_catalog_proven_at(now);
        if now.is_multiple_of(20) {
            self.engine.tick(now);
        }
        if self.engine.pass_needed {
            self.engine.schedule(now);
        }
        if now >= self.outage {
            self.log.extend(make::store(&mut self.engine, now));
        }
        for action in std::mem::take(&mut self.engine.actions) {
            self.act(action);
        }
    }

    /// Lets a draining worker exit, and one that is down come back.
    fn move_on(&mut self, at: usize) {
        let (now, machine) = (self.now, &mut self.machines[at]);
        if machine.up && self.exits[at].is_some_and(|exit| exit <= now) {
            machine.up = false;
            self.downs[at] = now + DOWN;
        }
        if machine.up || self.downs[at] > now {
            return;
        }
        self.exits[at] = None;
        let incarnation = machine.incarnation;
        machine.restart(now);
        if self.back == Back::Another {
            let id = std::mem::replace(&mut machine.id, format!("w{at}-{now}"));
            self.former.push(Former {
                id,
                machine: at,
                incarnation,
                listed: now + LAPSE - DOWN,
            });
        }
        self.list();
    }

    /// Lets the owner read the registrations.
    fn list(&mut self) {
        let entry = |id: &str, at: usize, incarnation| model::Registration {
            address: format_compact!("127.0.0.1:{}", at + 1),
            ..make::worker(id, incarnation, 8_000)
        };
        for former in &self.former {
            match former.listed > self.now {
                true => {
                    let entry = entry(&former.id, former.machine, former.incarnation);
                    self.engine.register(entry);
                }
                false => self.engine.unregister(&former.id),
            }
        }
        for (at, machine) in self.machines.iter().enumerate() {
            let mut entry = entry(&machine.id, at, machine.incarnation);
            if self.exits[at].is_some() {
                entry.availability = Availability::Draining;
            }
            self.engine.register(entry);
        }
    }

    /// Machine of a worker, and whether another worker is there now.
    fn find(&self, id: &str) -> (usize, bool) {
        let at = self.machines.iter().position(|m| m.id == id);
        let former = || self.former.iter().find(|f| f.id == id).unwrap().machine;
        at.map_or_else(|| (former(), true), |at| (at, false))
    }

    fn reaches(&self, at: usize) -> bool {
        self.machines[at].up && self.cuts[at] <= self.now
    }

    fn act(&mut self, action: Action) {
        let now = self.now;
        let reborn = Reply {
            verdict: Verdict::Reborn,
            clock: None,
        };
        match action {
            Action::Start(run) => {
                let Some(call) = self.engine.start_command(run, now) else {
                    return;
                };
                let (at, former) = self.find(&call.to.worker);
                let order = (&call.task, call.run, call.expires_at, call.token);
                let answer = match (self.reaches(at), former) {
                    (false, _) => Err(SendError::Unknown),
                    (true, true) => Ok(reborn),
                    (true, false) => Ok(self.start(at, order)),
                };
                let lost = self.unanswered && !former;
                let answer = if lost {
                    Err(SendError::Unknown)
                } else {
                    answer
                };
                self.engine.start_answered(run, answer, now);
            }
            Action::Stop(run) => {
                let Some(call) = self.engine.stop_command(run, now) else {
                    return;
                };
                let (at, former) = self.find(&call.to.worker);
                let order = (&call.task, call.run, call.token);
                let answer = match (self.reaches(at), former) {
                    (false, _) => Err(SendError::Unknown),
                    (true, true) => Ok(reborn),
                    (true, false) => Ok(workers::stop(
                        &mut self.machines[at],
                        at,
                        order,
                        &mut self.judge,
                        now,
                    )),
                };
                self.engine.stop_answered(run, answer, now);
            }
            Action::Poll(worker) => {
                let Some(call) = self.engine.poll_command(worker, now) else {
                    return;
                };
                let (at, former) = self.find(&call.to.worker);
                if !self.reaches(at) {
                    return self.engine.poll_failed(worker, now);
                }
                if former {
                    return self.engine.poll_refused(worker, reborn, now);
                }
                let order = (call.acked, call.lease_end, call.token);
                let machine = &mut self.machines[at];
                let reply = workers::poll(machine, at, order, &mut self.judge, now);
                match reply {
                    Ok(report) => {
                        let (sent, seen) = (call.sent_at, call.acked);
                        self.engine.apply_report(worker, sent, seen, &report, now);
                    }
                    Err(reply) => self.engine.poll_refused(worker, reply, now),
                }
            }
            Action::Query(_) => {}
        }
    }

    fn start(&mut self, at: usize, order: (&TaskName, u32, u64, Token)) -> Reply {
        let starts = u64::from(self.judge.starts);
        let fate = Behaviour {
            duration: self.duration + starts * 37 % (self.spread + 1),
            outcome: Outcome::Done,
        };
        workers::start(
            &mut self.machines,
            at,
            order,
            fate,
            &mut self.judge,
            self.now,
        )
    }

    pub(super) fn submit(&mut self, id: &str, work: model::Submission, deadly: Option<Deadly>) {
        let steps = work.steps.iter();
        let steps = steps.map(|s| (s.count, s.demand.millicores, s.gang, s.depends_on.clone()));
        let known = JobSpec {
            steps: steps.collect(),
            accepted: true,
            cancelled: None,
        };
        self.judge.jobs.insert(id.to_owned(), known);
        if let Some(deadly) = deadly {
            self.judge.deadly.insert(id.to_owned(), deadly);
        }
        let mut queue = make::queue("q", 0);
        queue.attempts = 3;
        self.engine.submit(id, queue, work, self.now).unwrap();
    }

    /// Puts a configuration with these organisations in force.
    pub(super) fn configure(&mut self, organisations: &[model::Organisation]) {
        self.organisations = organisations.to_vec();
        self.engine.set_organisations(organisations);
    }

    /// Submits a job of an organisation.
    pub(super) fn submit_for(&mut self, id: &str, organisation: &str, work: model::Submission) {
        self.submit(id, work, None);
        self.engine.set_organisation(id, organisation);
    }

    /// CPU that the tasks of a job take on the workers, in millicores.
    pub(super) fn used_by(&self, id: &str) -> u32 {
        let steps = self.judge.jobs[id].steps.iter().enumerate();
        let tasks = steps.flat_map(|(step, (count, demand, _, _))| {
            (0..*count).map(move |index| (make::task(id, step as u32, index), *demand))
        });
        let machines = || self.machines.iter().filter(|m| m.up);
        let used = tasks.map(|(task, demand)| {
            let runs = machines().filter(|m| m.runs(&task)).count();
            runs as u32 * demand
        });
        used.sum()
    }

    /// Replaces the owner by another one that knows what is stored.
    pub(super) fn replace_owner(&mut self) {
        let records = self.log.iter();
        let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
        let mut engine = Engine::new(self.engine.term + 1, make::TIMES);
        engine.set_wall_clock(self.now, self.now);
        engine.proven_at = u64::MAX / 2;
        engine.set_organisations(&self.organisations);
        engine.load(records, self.now);
        self.engine = engine;
        self.list();
    }

    /// Machine on which a task runs, if it does.
    pub(super) fn place(&self, task: &TaskName) -> Option<usize> {
        let runs = |m: &SimWorker| m.up && m.runs(task);
        self.machines.iter().position(runs)
    }

    /// Whether a worker is up.
    pub(super) fn is_up(&self, at: usize) -> bool {
        self.machines[at].up
    }

    pub(super) fn crash(&mut self, at: usize) {
        self.machines[at].crash(at, &mut self.judge, self.now);
        self.downs[at] = self.now + DOWN;
    }

    pub(super) fn state(&self, id: &str) -> Option<State> {
        self.engine.visible_state(id)
    }
}
