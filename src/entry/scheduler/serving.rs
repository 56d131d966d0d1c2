//! Requests: from admission to their one final step.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix::{
    Context,
    Handler,
    Message,
    MessageResult, //
};
use compact_str::CompactString;
use tokio::sync::mpsc;

use super::{
    Scheduler,
    wall, //
};
use crate::{
    context::Distance,
    entry::exchange::{
        End,
        Route,
        Via, //
    },
    ids::{
        IdempotencyKey,
        Millis,
        ProfileName,
        RequestId, //
    },
    kernel::{
        Offer,
        WorkerKey,
        WorkerPool,
        members::Liveness,
        requests::{
            Action,
            Arrival,
            AttemptKey,
            AttemptKind,
            Dispatch,
            Forward,
            ForwardTarget,
            Outcome,
            RequestKey, //
        },
        tally,
        workers::Workers, //
    },
    profile::{
        Objective,
        Profile, //
    },
    resources::Resources,
    wire::caller::{
        Code,
        Ran,
        Refusal, //
    }, //
};

/// What a request's handler does next.
#[derive(Debug)]
pub enum Turn {
    /// Sends an attempt.
    Send(AttemptKey, Route),
    /// An exchange ended; sent by the exchange itself.
    Landed(End),
    /// Passes the last whole answer on, though it reports an error.
    Deliver,
    /// Refuses the request.
    Refuse(Refusal),
}

/// Asks for the admission of a request.
#[derive(Debug, Message)]
#[rtype(result = "Result<RequestKey, Refusal>")]
pub struct Open {
    /// Its id.
    pub id: RequestId,
    /// Its profile's name.
    pub name: ProfileName,
    /// The version of the profile that it is admitted under.
    pub version: u32,
    /// The profile.
    pub profile: Arc<Profile>,
    /// The time that the caller gives it, in milliseconds.
    pub deadline: Option<u64>,
    /// Its idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Whether another instance passed it on.
    pub forwarded: bool,
    /// Where its turns go.
    pub turns: mpsc::UnboundedSender<Turn>,
}

/// Tells that the caller went away, or was answered.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Gone {
    /// The request.
    pub request: RequestKey,
}

/// Tells how an exchange ended.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Landed {
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Where it was sent; none for a peer.
    pub worker: Option<WorkerKey>,
    /// How it ended.
    pub landing: Landing,
    /// How long it took.
    pub took: Duration,
}

/// How an exchange ended, without the answer itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Landing {
    /// A whole answer.
    Answered,
    /// A whole answer that reports an error of the backend server.
    Backend,
    /// It did not run.
    NotRun,
    /// It did not run since the lease was lost.
    Fenced,
    /// No answer yet; the exchange goes on.
    Silent,
    /// No answer before the exchange was ended.
    Lost,
    /// The exchange broke off.
    Cut,
}

impl Landing {
    /// The kind of an end.
    #[must_use]
    pub fn of(end: &End) -> Self {
        match end {
            End::Whole(answer) if answer.status.is_server_error() => Landing::Backend,
            End::Whole(_) => Landing::Answered,
            End::NotRun => Landing::NotRun,
            End::Fenced => Landing::Fenced,
            End::Silent => Landing::Lost,
            End::Cut => Landing::Cut,
        }
    }

    fn outcome(self, took: Duration) -> Outcome {
        let took = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        match self {
            Landing::Answered => Outcome::Answered { took },
            Landing::Backend => Outcome::BackendError { took },
            Landing::NotRun | Landing::Fenced => Outcome::NotRun,
            Landing::Silent | Landing::Lost => Outcome::TimedOut,
            Landing::Cut => Outcome::ConnectionLost,
        }
    }
}

/// A request that has not got its final step.
#[derive(Debug)]
pub(super) struct Request {
    name: ProfileName,
    version: u32,
    objective: Objective,
    arrived: Millis,
    sent: Option<Millis>,
    /// Sends of a non-idempotent request that may have run.
    runs: u32,
    idempotent: bool,
    forwarded: bool,
    turns: mpsc::UnboundedSender<Turn>,
}

/// Room of attempts whose outcome is unknown: it is not given back before the worker's word.
struct Orphaning<'a>(&'a mut Workers);

impl WorkerPool for Orphaning<'_> {
    fn sample(&self, _: Millis, _: &Resources, _: u64, _: usize, _: &mut Vec<Offer>) {}

    fn reserve(&mut self, _: WorkerKey, _: &Resources) -> bool {
        false
    }

    fn release(&mut self, worker: WorkerKey, demand: &Resources) {
        self.0.orphan(worker, demand);
    }

    fn slots(&self) -> (u32, u32) {
        self.0.slots()
    }
}

impl Handler<Open> for Scheduler {
    type Result = MessageResult<Open>;

    fn handle(&mut self, open: Open, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let promised = open.profile.objective;
        let deadline = open.deadline.unwrap_or(promised.deadline);
        let request = Request {
            name: open.name.clone(),
            version: open.version,
            objective: Objective {
                deadline: deadline.min(promised.deadline),
                ..promised
            },
            arrived: now,
            sent: None,
            runs: 0,
            idempotent: open.profile.idempotent,
            forwarded: open.forwarded,
            turns: open.turns,
        };
        let arrival = Arrival {
            id: open.id,
            profile_name: open.name,
            version: open.version,
            profile: open.profile,
            deadline: request.objective.deadline,
            idempotency_key: open.key,
            forwarded: open.forwarded,
        };
        let admitted = self.requests.submit(now, arrival);
        match &admitted {
            Ok(key) => {
                self.open.insert(*key, request);
            }
            Err(refusal) => self.refused(now, &request, refusal),
        }
        self.pump();
        MessageResult(admitted)
    }
}

impl Handler<Landed> for Scheduler {
    type Result = ();

    fn handle(&mut self, landed: Landed, _: &mut Context<Self>) {
        let now = self.now();
        let outcome = landed.landing.outcome(landed.took);
        let workers = &mut self.workers;
        let step = self
            .requests
            .finish_attempt(now, landed.attempt, outcome, workers);
        if let Some(request) = self.open.get_mut(landed.request)
            && matches!(outcome, Outcome::NotRun)
        {
            request.runs = request.runs.saturating_sub(1);
        }
        self.step(now, landed.request, step);
        if matches!(landed.landing, Landing::Lost | Landing::Cut) {
            self.metrics.unknown.inc();
            let mut room = Orphaning(&mut self.workers);
            let step = self.requests.settle_attempt(now, landed.attempt, &mut room);
            self.step(now, landed.request, step);
        }
        if landed.landing == Landing::Fenced
            && let Some(worker) = landed.worker
        {
            self.workers.reacquire(now, worker);
        }
        self.pump();
    }
}

impl Handler<Gone> for Scheduler {
    type Result = ();

    fn handle(&mut self, gone: Gone, _: &mut Context<Self>) {
        let Some(request) = self.open.remove(gone.request) else {
            return;
        };
        let now = self.now();
        self.requests.cancel(gone.request);
        self.ended(now, &request, tally::Outcome::Cancelled, Ran::Unknown);
    }
}

impl Scheduler {
    /// Looks at the timers of requests.
    pub(super) fn tick(&mut self, _: &mut Context<Self>) {
        let now = self.now();
        for notice in self.requests.tick(now) {
            self.step(now, notice.key, notice.action);
        }
        self.pump();
    }

    /// Binds waiting requests to free slots and passes on what has no room here.
    pub(super) fn pump(&mut self) {
        let now = self.now();
        for notice in self.requests.take_notices() {
            self.step(now, notice.key, notice.action);
        }
        for dispatch in self.requests.dispatch(now, &mut self.workers) {
            self.send(now, &dispatch);
        }
        for notice in self.requests.take_notices() {
            self.step(now, notice.key, notice.action);
        }
        if self.requests.queued() > 0 && !self.draining {
            self.forward(now);
        }
    }

    /// Sends an attempt to a worker.
    fn send(&mut self, now: Millis, dispatch: &Dispatch) {
        let Some(request) = self.open.get_mut(dispatch.key) else {
            return;
        };
        request.runs += 1;
        if request.sent.is_none() {
            request.sent = Some(now);
            let waited = now.since(request.arrived);
            self.metrics
                .waits
                .observe(Duration::from_millis(waited).as_secs_f64());
        }
        if dispatch.kind != AttemptKind::First {
            self.metrics.repeats.inc();
        }
        let Some(route) = self.route(now, dispatch) else {
            let landed = Outcome::NotRun;
            let step =
                self.requests
                    .finish_attempt(now, dispatch.attempt, landed, &mut self.workers);
            self.step(now, dispatch.key, step);
            return;
        };
        self.turn(dispatch.key, Turn::Send(dispatch.attempt, route));
    }

    /// Where an attempt goes, if the lease still allows it.
    fn route(&self, now: Millis, dispatch: &Dispatch) -> Option<Route> {
        let token = self.workers.send_token(now, dispatch.worker)?;
        let worker = self.workers.get(dispatch.worker)?;
        let until = worker.valid(now)?.expires;
        Some(Route {
            address: worker.address.clone(),
            worker: Some(dispatch.worker),
            via: Via::Worker(token),
            until: self.instant(until),
            timeout: Duration::from_millis(dispatch.timeout),
            limit: self.longest(dispatch.remaining),
            fresh: dispatch.kind != AttemptKind::First,
        })
    }

    /// How long an exchange may take when `left` milliseconds are left for its request.
    fn longest(&self, left: u64) -> Duration {
        Duration::from_millis(left) + self.settings.requests.grace
    }

    /// Passes waiting requests on to peers with room.
    fn forward(&mut self, now: Millis) {
        let (addresses, peers) = self.receivers(now);
        if peers.is_empty() {
            return;
        }
        for forward in self.requests.forward(now, &peers) {
            let Some(address) = addresses.get(forward.peer) else {
                continue;
            };
            self.pass(now, &forward, address.clone());
        }
    }

    fn pass(&mut self, now: Millis, forward: &Forward, address: CompactString) {
        self.metrics.forwards.inc();
        if let Some(request) = self.open.get_mut(forward.key) {
            request.sent.get_or_insert(now);
            request.runs += 1;
        }
        let timeout = Duration::from_millis(forward.timeout);
        let route = Route {
            address,
            worker: None,
            via: Via::Peer {
                from: self.settings.id.as_str().into(),
                left: forward.remaining,
            },
            until: self.instant(now.plus(forward.remaining)),
            timeout,
            limit: self.longest(forward.remaining),
            fresh: false,
        };
        self.turn(forward.key, Turn::Send(forward.attempt, route));
    }

    /// Peers that are alive and have room, with their callers' addresses.
    fn receivers(&self, now: Millis) -> (Vec<CompactString>, Vec<ForwardTarget>) {
        let mut addresses = Vec::new();
        let mut peers = Vec::new();
        for peer in self.members.peers() {
            if peer.leaving || peer.free == 0 {
                continue;
            }
            if self.members.liveness(now, peer) != Liveness::Alive {
                continue;
            }
            let (distance, rtt) = self.distance(peer);
            addresses.push(peer.caller_address.clone());
            peers.push(ForwardTarget {
                free: peer.free,
                distance,
                rtt,
            });
        }
        (addresses, peers)
    }

    /// How far a peer is, and the time there and back in milliseconds.
    fn distance(&self, peer: &crate::kernel::members::Peer) -> (Distance, u64) {
        const ZONE_TRIP: u64 = 1;
        const REGION_TRIP: u64 = 2;
        const REMOTE_TRIP: u64 = 24;
        if peer.zone == self.settings.zone {
            return (Distance::Zone, ZONE_TRIP);
        }
        if peer.region == self.settings.region {
            return (Distance::Region, REGION_TRIP);
        }
        (Distance::Remote, REMOTE_TRIP)
    }

    /// Does what the kernel decided about a request.
    pub(super) fn step(&mut self, now: Millis, key: RequestKey, step: Action) {
        match step {
            Action::Answer => {
                self.turn(key, Turn::Deliver);
                if let Some(request) = self.open.remove(key) {
                    self.ended(now, &request, tally::Outcome::Done, Ran::Yes);
                }
            }
            Action::Refuse(refusal) => {
                if let Some(request) = self.open.remove(key) {
                    self.refused(now, &request, &refusal);
                    // The caller may be gone.
                    let _ = request.turns.send(Turn::Refuse(refusal));
                }
            }
            Action::Retry { .. } | Action::Ignore => {}
        }
    }

    fn turn(&mut self, key: RequestKey, turn: Turn) {
        if let Some(request) = self.open.get(key) {
            // The caller may be gone; its exchange then reports nothing and `Gone` cleans up.
            let _ = request.turns.send(turn);
        }
    }

    /// Counts a refused request.
    fn refused(&mut self, now: Millis, request: &Request, refusal: &Refusal) {
        let end = match (refusal.ran, refusal.code) {
            (Ran::Unknown, _) => tally::Outcome::Unknown,
            (Ran::Yes, _) => tally::Outcome::Failed,
            (Ran::No, Code::Deadline) => tally::Outcome::Unplaced,
            (Ran::No, _) => tally::Outcome::Refused,
        };
        self.ended(now, request, end, refusal.ran);
    }

    /// Counts a request that has got its final step. One that was passed on is counted where it
    /// arrived first.
    fn ended(&mut self, now: Millis, request: &Request, outcome: tally::Outcome, ran: Ran) {
        if request.forwarded {
            return;
        }
        let started = request.sent.unwrap_or(now);
        let attempts = match request.idempotent {
            true => 1,
            false => request.runs,
        };
        let work = tally::Work {
            profile: request.name.clone(),
            version: request.version,
            waited: started.since(request.arrived),
            took: now.since(request.arrived),
            objective: request.objective,
            ran,
            attempts,
            outcome,
        };
        self.tally.record(wall(), &work);
    }
}
