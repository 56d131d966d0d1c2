//! Network of the simulation: commands and answers that are lost, late or held up by a pause.

use bamboolock::cell::{
    engine::{
        Action,
        commands::SendError, //
    },
    fencing::Token,
    job::{
        RunKey,
        WorkerKey, //
    },
    model::{
        Outcome,
        Reply,
        Report,
        TaskName,
        Verdict, //
    }, //
};
use rand::Rng;

use super::{
    listing,
    workers::{
        self,
        Behaviour, //
    },
    world::World, //
};

/// Time after which an owner gives up waiting for the answer to a command, in milliseconds.
pub(super) const ANSWER_TIMEOUT: u64 = 350;

#[derive(Debug, Clone)]
pub(super) enum Call {
    Start(RunKey, TaskName, u32, u64, Token),
    Stop(RunKey, TaskName, u32, Token),
    Poll(WorkerKey, u64, Option<u64>, u64, Token),
}

#[derive(Debug, Clone)]
pub(super) enum Answer {
    Reply(Result<Reply, SendError>),
    Poll(Option<Result<Report, Reply>>),
}

#[derive(Debug, Clone)]
pub(super) enum Event {
    Arrive {
        owner: usize,
        at: usize,
        /// Incarnation that a delayed command was meant for.
        incarnation: Option<u64>,
        call: Call,
        answered: bool,
    },
    Return {
        owner: usize,
        call: Call,
        answer: Answer,
    },
    /// Answer to an append that was sent at local time `sent`; `batch` is `None` for one without
    /// records.
    Stored {
        owner: usize,
        batch: Option<u64>,
        sent: u64,
    },
    /// Answer to an append of a former owner.
    Refused { owner: usize },
}

impl Event {
    /// Owner that handles the event itself, and only while it is not paused.
    fn addressee(&self) -> Option<usize> {
        match self {
            Event::Arrive { .. } => None,
            Event::Return { owner, .. }
            | Event::Stored { owner, .. }
            | Event::Refused { owner } => Some(*owner),
        }
    }

    /// Whether the owner notices the event by a timer of its own.
    pub(super) fn is_timeout(&self) -> bool {
        let Event::Return { answer, .. } = self else {
            return false;
        };
        matches!(
            answer,
            Answer::Poll(None) | Answer::Reply(Err(SendError::Unknown))
        )
    }
}

impl World {
    pub(super) fn act(&mut self, owner: usize, action: Action) {
        let now = self.owners[owner].local(self.now);
        let engine = &mut self.owners[owner].engine;
        let (to, call) = match action {
            Action::Start(run) => {
                let Some(call) = engine.start_command(run, now) else {
                    return;
                };
                (
                    call.to.clone(),
                    Call::Start(run, call.task, call.run, call.expires_at, call.token),
                )
            }
            Action::Stop(run) => {
                let Some(call) = engine.stop_command(run, now) else {
                    return;
                };
                (
                    call.to.clone(),
                    Call::Stop(run, call.task, call.run, call.token),
                )
            }
            Action::Poll(worker) => {
                let Some(call) = engine.poll_command(worker, now) else {
                    return;
                };
                (
                    call.to.clone(),
                    Call::Poll(worker, call.acked, call.lease_end, call.sent_at, call.token),
                )
            }
            Action::Query(_) => return,
        };
        let Some(at) = self.machines.iter().position(|m| m.id == to.worker) else {
            return self.send_to_former(owner, &to.worker, call);
        };
        let now = self.now;
        if let Some(pause) = self.owners[owner].pause {
            return self.hold_up(owner, at, call, pause.until - now);
        }
        if self.paths[self.owners[owner].instance][at] > now {
            return self.unreachable(owner, call);
        }
        if to.address != listing::address(self.listings[at].port) {
            return self.misdirected(owner, call);
        }
        if self.roll(self.rates.late) {
            let delay = self.dice.random_range(500..2_400);
            self.delay(owner, at, call.clone(), delay);
            return self.unanswered(owner, call);
        }
        if self.is_applied_late(at) {
            return self.apply_late(owner, at, call);
        }
        let (loss, late) = (self.rates.loss, self.rates.delayed);
        let cut = self.cuts[at] > now || !self.machines[at].up;
        if cut || self.chance(loss) {
            // The command is lost, or arrives seconds later; in both cases there is no reply.
            let late = !cut && self.chance(late * 5);
            if late {
                let delay = self.rng.random_range(2_000..12_000);
                self.delay(owner, at, call.clone(), delay);
            }
            self.unanswered(owner, call);
            return;
        }
        let answered = !self.chance(loss);
        let delay = self.rng.random_range(1..30);
        if !answered {
            self.unanswered(owner, call.clone());
        }
        // Another worker at the address refuses what was meant for the former one.
        let replaced = self.rates.replaced > 0;
        let incarnation = replaced.then_some(self.machines[at].incarnation);
        self.post(
            delay,
            Event::Arrive {
                owner,
                at,
                incarnation,
                call,
                answered,
            },
        );
    }

    /// Incarnation of a worker that may carry out a late command; `None` for any.
    fn addressed(&mut self, at: usize, call: &Call) -> Option<u64> {
        let astray = match call {
            Call::Start(..) => self.rates.astray_starts,
            _ => self.rates.astray,
        };
        (!self.roll(astray)).then_some(self.machines[at].incarnation)
    }

    /// Lets a command arrive late; there is no answer.
    pub(super) fn delay(&mut self, owner: usize, at: usize, call: Call, delay: u64) {
        let incarnation = self.addressed(at, &call);
        self.post(
            delay,
            Event::Arrive {
                owner,
                at,
                incarnation,
                call,
                answered: false,
            },
        );
    }

    /// Sends a command that a pause of the owner interrupts: it leaves only when the pause is over.
    fn hold_up(&mut self, owner: usize, at: usize, call: Call, rest: u64) {
        let delay = rest + self.dice.random_range(1..30);
        let answered = self.dice.random_range(0..2) == 0;
        let incarnation = self.addressed(at, &call);
        if !answered {
            self.unanswered(owner, call.clone());
        }
        self.post(
            delay,
            Event::Arrive {
                owner,
                at,
                incarnation,
                call,
                answered,
            },
        );
    }

    /// Answers a command to an address that the worker has left: another worker answers there, or none.
    fn misdirected(&mut self, owner: usize, call: Call) {
        if self.dice.random_range(0..2) == 0 {
            return self.unreachable(owner, call);
        }
        self.refused_by_another(owner, call);
    }

    /// Answers a command in the place of the worker that it was meant for.
    pub(super) fn refused_by_another(&mut self, owner: usize, call: Call) {
        let reply = Reply {
            verdict: Verdict::Reborn,
            clock: None,
        };
        let answer = match call {
            Call::Poll(..) => Answer::Poll(Some(Err(reply))),
            _ => Answer::Reply(Ok(reply)),
        };
        let delay = self.dice.random_range(1..300);
        self.post(
            delay,
            Event::Return {
                owner,
                call,
                answer,
            },
        );
    }

    /// Answers a command on a path that is cut: the connection is refused at once, or nothing comes.
    fn unreachable(&mut self, owner: usize, call: Call) {
        if self.dice.random_range(0..2) == 0 {
            return self.unanswered(owner, call);
        }
        let answer = match call {
            Call::Poll(..) => Answer::Poll(None),
            _ => Answer::Reply(Err(SendError::Unsent)),
        };
        self.post(
            5,
            Event::Return {
                owner,
                call,
                answer,
            },
        );
    }

    pub(super) fn unanswered(&mut self, owner: usize, call: Call) {
        let answer = match call {
            Call::Poll(..) => Answer::Poll(None),
            _ => Answer::Reply(Err(SendError::Unknown)),
        };
        self.post(
            ANSWER_TIMEOUT,
            Event::Return {
                owner,
                call,
                answer,
            },
        );
    }

    pub(super) fn handle(&mut self, event: Event) {
        if let Some(owner) = event.addressee()
            && self.owners[owner].pause.is_some()
        {
            self.owners[owner].inbox.push(event);
            return;
        }
        match event {
            Event::Arrive {
                owner,
                at,
                incarnation,
                call,
                answered,
            } => {
                // A worker refuses what was meant for a former incarnation.
                let other = incarnation
                    .is_some_and(|incarnation| incarnation != self.machines[at].incarnation);
                if !other {
                    self.arrive(owner, at, call, answered);
                } else if answered {
                    self.misdirected(owner, call);
                }
            }
            Event::Return {
                owner,
                call,
                answer,
            } => self.give(owner, call, answer),
            Event::Stored { owner, batch, sent } => self.stored(owner, batch, sent),
            Event::Refused { owner } => self.owners[owner].alive = false,
        }
    }

    fn arrive(&mut self, owner: usize, at: usize, call: Call, answered: bool) {
        let now = self.now;
        if !self.machines[at].up {
            if answered {
                self.unanswered(owner, call);
            }
            return;
        }
        let long = matches!(call, Call::Start(..)) && self.roll(self.rates.long);
        let full = match &call {
            Call::Start(_, task, ..) => self.rates.guarded && !self.fits(at, task),
            _ => false,
        };
        let judge = &mut self.judge;
        let answer = match &call {
            Call::Start(_, task, run, expires, token) => {
                let outcome = if self.rng.random_range(0..10) == 0 {
                    Outcome::Failed
                } else {
                    Outcome::Done
                };
                let mut duration = self.rng.random_range(100..2_500);
                if long {
                    duration = self.dice.random_range(4_000..20_000);
                }
                let fate = Behaviour { duration, outcome };
                let call = (task, *run, *expires, *token);
                let (until, verdict) = self.spells[at];
                let refusal = match full {
                    true => Some(Verdict::Full),
                    false => (until > now).then_some(verdict),
                };
                let refused = refusal.and_then(|verdict| {
                    workers::refuse(&mut self.machines[at], call, verdict, now)
                });
                let reply = refused.unwrap_or_else(|| {
                    workers::start(&mut self.machines, at, call, fate, judge, now)
                });
                Answer::Reply(Ok(reply))
            }
            Call::Stop(_, task, run, token) => {
                let machine = &mut self.machines[at];
                Answer::Reply(Ok(workers::stop(
                    machine,
                    at,
                    (task, *run, *token),
                    judge,
                    now,
                )))
            }
            Call::Poll(_, seen, expires, _, token) => {
                let machine = &mut self.machines[at];
                let order = (*seen, *expires, *token);
                let mut reply = workers::poll(machine, at, order, judge, now);
                if let Ok(report) = &mut reply
                    && self.rates.page > 0
                {
                    report.ended.truncate(self.rates.page);
                    report.partial = report.ended.len() == self.rates.page;
                }
                Answer::Poll(Some(reply))
            }
        };
        let path = self.paths[self.owners[owner].instance][at];
        if answered && path > now {
            return self.unanswered(owner, call);
        }
        if answered {
            let delay = self.rng.random_range(1..30);
            self.post(
                delay,
                Event::Return {
                    owner,
                    call,
                    answer,
                },
            );
        }
    }

    /// Whether a worker has the capacity for one more run of a task.
    fn fits(&self, at: usize, task: &TaskName) -> bool {
        let job = self.judge.jobs.get(task.job.as_str());
        let demand = job.map_or(0, |job| job.steps[task.step as usize].1);
        self.machines[at].used() + demand <= self.machines[at].capacity
    }

    fn give(&mut self, owner: usize, call: Call, answer: Answer) {
        let now = self.owners[owner].local(self.now);
        let state = &mut self.owners[owner];
        if !state.alive {
            return;
        }
        let engine = &mut state.engine;
        if let Call::Poll(worker, _, _, sent, _) = call
            && !engine.awaits_poll(worker, sent)
        {
            return;
        }
        match (call, answer) {
            (Call::Start(run, ..), Answer::Reply(reply)) => engine.start_answered(run, reply, now),
            (Call::Stop(run, ..), Answer::Reply(reply)) => engine.stop_answered(run, reply, now),
            (Call::Poll(worker, seen, _, sent, _), Answer::Poll(Some(Ok(report)))) => {
                engine.apply_report(worker, sent, seen, &report, now);
            }
            (Call::Poll(worker, ..), Answer::Poll(Some(Err(reply)))) => {
                engine.poll_refused(worker, reply, now)
            }
            (Call::Poll(worker, ..), Answer::Poll(None)) => engine.poll_failed(worker, now),
            _ => unreachable!("an answer of the other kind"),
        }
    }
}
