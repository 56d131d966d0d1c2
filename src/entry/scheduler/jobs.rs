//! Jobs: acceptance, planning, task starts and outcomes.

use std::time::Duration;

use actix::{
    ActorFutureExt,
    Context,
    Handler,
    Message,
    MessageResult,
    ResponseActFuture,
    WrapFuture, //
};

use super::Scheduler;
use crate::{
    entry::refusal,
    ids::{
        Millis,
        ProfileName,
        RunId,
        Token,
        WorkerId, //
    },
    kernel::{
        WorkerKey,
        runs::{
            self,
            Command, //
        }, //
    },
    ledger::{
        effect::{
            Applied,
            Effect, //
        },
        profiles::ActiveVersion,
        record::{
            self,
            Record, //
        },
        replica::Unavailable,
        state::State, //
    },
    profile::{
        self,
        Profile, //
    },
    remote::worker,
    resources::Resources,
    wire::{
        caller::{
            self,
            Code,
            Ran,
            Refusal, //
        },
        worker::{
            Forget,
            Launch,
            Report,
            SignalTasks,
            Start,
            StartResponse, //
        }, //
    }, //
};

/// How long the log may take to confirm a job or its cancellation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(4_000);

/// How long to keep trying to append claims and outcomes to the log. The time exceeds any outage
/// worth waiting for; work whose records are dropped is planned again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// When a caller may retry while the log is unavailable, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Maximum number of jobs in a list.
const MAX_LISTED_JOBS: usize = 1_000;

/// Message that submits a job.
#[derive(Debug, Message)]
#[rtype(result = "Result<caller::Accepted, Refusal>")]
pub struct Submit {
    /// Id for the job, unless the log already knows a job with the same key.
    pub run: RunId,
    /// The job.
    pub job: caller::Job,
}

/// Message that requests the status of a job.
#[derive(Debug, Message)]
#[rtype(result = "Result<caller::Status, Refusal>")]
pub struct Show {
    /// Id of the job.
    pub run: RunId,
}

/// Message that requests the list of the newest jobs.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Result<Vec<caller::Status>, Refusal>")]
pub struct List;

/// Message that cancels a job.
#[derive(Debug, Message)]
#[rtype(result = "Result<caller::Status, Refusal>")]
pub struct Cancel {
    /// Id of the job.
    pub run: RunId,
}

/// Profiles of the replayed log, as the planner looks them up.
struct Profiles<'a>(&'a State);

impl runs::Profiles for Profiles<'_> {
    fn profile(&self, name: &ProfileName) -> Option<&Profile> {
        let version = self.0.profiles.get(name)?.current()?;
        version.profile.as_deref()
    }
}

impl Handler<Submit> for Scheduler {
    type Result = ResponseActFuture<Self, Result<caller::Accepted, Refusal>>;

    fn handle(&mut self, submit: Submit, _: &mut Context<Self>) -> Self::Result {
        let accepted = match self.check_job(submit) {
            Ok(accepted) => accepted,
            Err(refusal) => return Box::pin(actix::fut::ready(Err(refusal))),
        };
        let run = accepted.run.clone();
        let ledger = self.ledger.clone();
        let appended = async move {
            let records = vec![Record::Accepted(accepted)];
            ledger.append(records, CONFIRM_TIMEOUT).await
        };
        let appended = appended.into_actor(self);
        Box::pin(appended.map(move |result, _, _| match result {
            Ok(effects) => acceptance(run, &effects),
            Err(e) => Err(append_failed(e)),
        }))
    }
}

/// Returns the answer to the caller once the log has confirmed the job.
fn acceptance(proposed: RunId, effects: &[Effect]) -> Result<caller::Accepted, Refusal> {
    let found = effects.iter().find_map(|effect| match effect {
        Effect::Accepted { run, .. } => Some(run.clone()),
        _ => None,
    });
    let Some(id) = found else {
        let message = "the record of the job was not understood";
        return Err(refusal::may_have_run(Code::Internal, message));
    };
    let repeated = id != proposed;
    Ok(caller::Accepted { id, repeated })
}

fn append_failed(e: Unavailable) -> Refusal {
    let mut refusal = refusal::retry_later(Code::LogUnavailable, &e.to_string(), RETRY_AFTER_MS);
    if e == Unavailable::Pending {
        refusal.ran = Ran::Unknown;
    }
    refusal
}

impl Handler<Show> for Scheduler {
    type Result = MessageResult<Show>;

    fn handle(&mut self, show: Show, _: &mut Context<Self>) -> Self::Result {
        let status = self.ledger.read(|state| state.jobs.status(&show.run));
        MessageResult(status.ok_or_else(|| unknown_job(&show.run)))
    }
}

fn unknown_job(run: &RunId) -> Refusal {
    refusal::not_run(Code::UnknownJob, format!("no job {run} is known here"))
}

impl Handler<List> for Scheduler {
    type Result = MessageResult<List>;

    fn handle(&mut self, _: List, _: &mut Context<Self>) -> Self::Result {
        let mut all: Vec<_> = self.ledger.read(|state| {
            let jobs = state.jobs.iter();
            jobs.map(|(run, job)| job.status(run)).collect()
        });
        all.sort_by_key(|status| std::cmp::Reverse(status.accepted));
        all.truncate(MAX_LISTED_JOBS);
        MessageResult(Ok(all))
    }
}

impl Handler<Cancel> for Scheduler {
    type Result = ResponseActFuture<Self, Result<caller::Status, Refusal>>;

    fn handle(&mut self, cancel: Cancel, _: &mut Context<Self>) -> Self::Result {
        let run = cancel.run;
        if self.ledger.read(|state| state.jobs.get(&run).is_none()) {
            return Box::pin(actix::fut::ready(Err(unknown_job(&run))));
        }
        let ledger = self.ledger.clone();
        let appended = async move {
            let records = vec![Record::Cancel { run: run.clone() }];
            let appended = ledger.append(records, CONFIRM_TIMEOUT).await;
            appended.map_err(append_failed)?;
            let status = ledger.read(|state| state.jobs.status(&run));
            status.ok_or_else(|| unknown_job(&run))
        };
        Box::pin(appended.into_actor(self))
    }
}

impl Handler<Applied> for Scheduler {
    type Result = ();

    fn handle(&mut self, applied: Applied, ctx: &mut Context<Self>) {
        let now = self.now();
        let mut commands = Vec::new();
        for effect in &applied.effects {
            match effect {
                Effect::Restored { .. } => {
                    self.rebuild_planner(now);
                    self.update_request_demand();
                    continue;
                }
                Effect::Profile { accepted: true, .. } => self.update_request_demand(),
                _ => {}
            }
            self.count_effect(effect);
            let ledger = self.ledger.clone();
            commands.extend(ledger.read(|state| {
                let profiles = Profiles(state);
                let workers = &mut self.workers;
                self.runs
                    .on_effect(now, effect, &state.jobs, workers, &profiles)
            }));
        }
        self.execute(commands, ctx);
        if !applied.effects.is_empty() {
            self.plan_round(ctx);
        }
    }
}

impl Scheduler {
    /// Checks a job and builds the record of its acceptance.
    fn check_job(&self, submit: Submit) -> Result<record::Accepted, Refusal> {
        if self.draining {
            return Err(refusal::draining());
        }
        if !self.ledger.is_caught_up() {
            return Err(refusal::starting());
        }
        if !self.ledger.is_complete() {
            return Err(refusal::outdated());
        }
        let Submit { run, job } = submit;
        let active = self.active_profile(&job.profile)?;
        let profile = &active.profile;
        let demand = job.demand.unwrap_or(profile.demand);
        self.check_feasible(&demand, job.tasks, profile.kind)?;
        if let Some(quota) = &profile.quota
            && !demand.fits(quota)
        {
            let message = format!(
                "a task exceeds the profile's quota in {}",
                demand.excess(quota).join(", ")
            );
            return Err(refusal::not_run(Code::Impossible, message));
        }
        Ok(record::Accepted {
            run,
            version: active.version,
            zone: self.settings.zone.clone(),
            tasks: job.tasks,
            demand,
            terms: profile.as_ref().into(),
            estimate: job.estimate,
            deadline: job.deadline.unwrap_or(profile.objective.deadline),
            profile: job.profile,
            key: job.key,
            payload: job.payload,
        })
    }

    /// Refuses a job with a task that no known worker could ever hold.
    fn check_feasible(
        &self,
        demand: &Resources,
        tasks: u32,
        kind: profile::Kind,
    ) -> Result<(), Refusal> {
        let capacities = self.known_capacities();
        if capacities.is_empty() {
            let message = "no worker is known here yet";
            return Err(refusal::retry_later(
                Code::NoWorker,
                message,
                RETRY_AFTER_MS,
            ));
        }
        let fits = capacities.iter().any(|capacity| demand.fits(capacity));
        match runs::feasibility::check(&self.workers, demand, tasks, kind) {
            // A peer knows a larger worker.
            Err(runs::feasibility::Infeasible::Demand(_)) if fits => Ok(()),
            Err(e) => Err(refusal::not_run(Code::Impossible, e.to_string())),
            Ok(()) if fits => Ok(()),
            Ok(()) => {
                let least = capacities.iter().map(|capacity| demand.excess(capacity));
                let least = least.min_by_key(Vec::len).unwrap_or_default().join(", ");
                let message = format!("no worker could ever hold a task: too much of {least}");
                Err(refusal::not_run(Code::Impossible, message))
            }
        }
    }

    /// Returns the active version of a job profile.
    fn active_profile(&self, name: &ProfileName) -> Result<ActiveVersion, Refusal> {
        let active = self.ledger.read(|state| state.profiles.profile(name));
        let active = active.filter(|v| v.profile.kind != profile::Kind::Request);
        active.ok_or_else(|| {
            let message = format!("no profile for jobs is named {name}");
            refusal::not_run(Code::UnknownProfile, message)
        })
    }

    /// Runs one round of planning and appends its claims to the log.
    pub(super) fn plan_round(&mut self, ctx: &mut Context<Self>) {
        if self.draining || !self.ledger.is_caught_up() || !self.ledger.is_complete() {
            return;
        }
        let now = self.now();
        self.runs.tick(now, &mut self.workers);
        let ledger = self.ledger.clone();
        let claims = ledger.read(|state| {
            let profiles = Profiles(state);
            let workers = &mut self.workers;
            self.runs
                .plan(now, &state.jobs, workers, &self.members, &profiles)
        });
        for claim in claims {
            self.append_claim(claim, ctx);
        }
    }

    /// Appends one claim to the log. The effect arrives like that of any other record; only a claim
    /// that was never sent is released here.
    fn append_claim(&mut self, claim: record::Claim, ctx: &mut Context<Self>) {
        let ledger = self.ledger.clone();
        let records = vec![Record::Claim(claim.clone())];
        let appended = async move { ledger.append(records, APPEND_TIMEOUT).await };
        self.spawn_then(ctx, appended, move |actor, result, _| {
            if result == Err(Unavailable::Dropped) {
                actor.runs.release_claim(&claim, &mut actor.workers);
            }
        });
    }

    /// Executes the commands of the planner, unless they follow from an incomplete state.
    pub(super) fn execute(&mut self, commands: Vec<Command>, ctx: &mut Context<Self>) {
        if !self.ledger.is_complete() {
            return;
        }
        for command in commands {
            match command {
                Command::Start {
                    worker,
                    token,
                    launches,
                } => self.start_tasks(worker, token, launches, ctx),
                Command::Signal { worker, tasks } => {
                    self.signal_tasks(worker, ctx, |token| SignalTasks { token, tasks });
                }
                Command::Forget { worker, tasks } => {
                    self.forget_tasks(worker, ctx, |token| Forget { token, tasks });
                }
                Command::AppendOutcomes(outcomes) => self.append_outcomes(outcomes, ctx),
            }
        }
    }

    /// Sends task starts if the lease under which the tasks were claimed is still valid.
    fn start_tasks(
        &mut self,
        key: WorkerKey,
        token: Token,
        launches: Vec<Launch>,
        ctx: &mut Context<Self>,
    ) {
        let now = self.now();
        let ids: Vec<_> = launches.iter().map(|l| l.id.clone()).collect();
        let link = self.link(key);
        let allowed = self.workers.may_start(now, key, token);
        let (true, Some(link)) = (allowed, link) else {
            let commands = self.runs.on_start_unsent(now, &ids, &mut self.workers);
            self.execute(commands, ctx);
            return;
        };
        self.metrics.starts.inc_by(ids.len() as u64);
        let limit = self.settings.lease.timeout;
        let message = Start {
            token,
            tasks: launches,
        };
        let sent = async move { worker::start(&link, &message, limit).await };
        self.spawn_then(ctx, sent, move |actor, answer, ctx| {
            let now = actor.now();
            let answer: Option<StartResponse> = answer.ok();
            let workers = &mut actor.workers;
            let commands = actor
                .runs
                .on_start_answer(now, key, &ids, answer.as_ref(), workers);
            actor.execute(commands, ctx);
        });
    }

    /// Sends signals to tasks. A lost signal is sent again after a later report.
    fn signal_tasks(
        &mut self,
        key: WorkerKey,
        ctx: &mut Context<Self>,
        message: impl FnOnce(Token) -> SignalTasks,
    ) {
        let now = self.now();
        let (Some(token), Some(link)) = (self.workers.signal_token(now, key), self.link(key))
        else {
            return;
        };
        let message = message(token);
        let limit = self.settings.lease.timeout;
        let sent = async move { worker::signal(&link, &message, limit).await };
        self.spawn_then(ctx, sent, |_, _, _| {});
    }

    /// Lets a worker forget ended tasks. A lost message is sent again after a later report.
    fn forget_tasks(
        &mut self,
        key: WorkerKey,
        ctx: &mut Context<Self>,
        message: impl FnOnce(Token) -> Forget,
    ) {
        let now = self.now();
        let (Some(token), Some(link)) = (self.workers.signal_token(now, key), self.link(key))
        else {
            return;
        };
        let message = message(token);
        let limit = self.settings.lease.timeout;
        let sent = async move { worker::forget(&link, &message, limit).await };
        self.spawn_then(ctx, sent, |_, _, _| {});
    }

    /// Appends outcomes to the log. A dropped record is proposed again after a later report.
    fn append_outcomes(&mut self, outcomes: record::Ended, ctx: &mut Context<Self>) {
        let ledger = self.ledger.clone();
        let appended = async move {
            ledger
                .append(vec![Record::Ended(outcomes)], APPEND_TIMEOUT)
                .await
        };
        self.spawn_then(ctx, appended, |_, _, _| {});
    }

    /// Processes the report of a worker.
    pub(super) fn on_report(&mut self, key: WorkerKey, report: &Report, ctx: &mut Context<Self>) {
        let now = self.now();
        let ledger = self.ledger.clone();
        let commands = ledger.read(|state| {
            let workers = &mut self.workers;
            self.runs.report(now, key, report, &state.jobs, workers)
        });
        self.execute(commands, ctx);
    }

    /// Ends the attempts on workers that are gone according to the platform's list.
    pub(super) fn on_listing(
        &mut self,
        listing: &crate::wire::list::Listing,
        ctx: &mut Context<Self>,
    ) {
        let now = self.now();
        let ledger = self.ledger.clone();
        let commands = ledger.read(|state| {
            let (members, workers) = (&self.members, &self.workers);
            self.runs
                .listed(now, listing, &state.jobs, members, workers)
        });
        self.execute(commands, ctx);
    }

    /// Updates the assumed demand of a request of an earlier lease holder. A worker reports only
    /// the number of such requests, so each counts as the largest demand of any request profile.
    fn update_request_demand(&mut self) {
        let ledger = self.ledger.clone();
        let largest = ledger.read(|state| {
            let versions = state
                .profiles
                .list()
                .iter()
                .flat_map(|versions| &versions.history);
            let profiles = versions.filter_map(|version| version.profile.as_ref());
            let requests = profiles.filter(|p| p.kind == profile::Kind::Request);
            requests.fold(Resources::default(), |largest, p| largest.max(&p.demand))
        });
        let minimum = Resources {
            slots: 1,
            connections: 1,
            ..Resources::default()
        };
        self.workers.set_request_demand(largest.max(&minimum));
    }

    /// Rebuilds the planner from a restored state.
    fn rebuild_planner(&mut self, now: Millis) {
        let ledger = self.ledger.clone();
        ledger.read(|state| self.runs.rebuild(now, &state.jobs, &Profiles(state)));
    }

    /// Counts the claims that won in the log, and the crashes of workers under tasks.
    fn count_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Claim { won: true, .. } => {
                self.metrics.claims.inc();
            }
            Effect::Ended { finish, worker } if finish.crashed() => {
                self.count_crash(finish, worker);
            }
            _ => {}
        }
    }

    fn count_crash(&self, finish: &record::FinishedAttempt, worker: &WorkerId) {
        let id = &finish.id;
        let ledger = self.ledger.clone();
        ledger.read(|state| {
            let Some(job) = state.jobs.get(&id.run) else {
                return;
            };
            self.metrics.count_crash(job.spec.profile.as_str());
            log::warn!(
                run = id.run.as_str(),
                task = id.index,
                attempt = id.attempt,
                worker = worker.as_str(),
                profile = job.spec.profile.as_str(),
                blamed = finish.end == record::Outcome::Failed;
                "worker crashed under a task"
            );
        });
    }
}
