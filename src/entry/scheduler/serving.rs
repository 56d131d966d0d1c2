//! Requests, from admission to the response or refusal.

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
    wall_clock, //
};
use crate::{
    context::Distance,
    entry::exchange::{
        Outcome,
        Receiver,
        Response,
        Route, //
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
            Outcome as KernelOutcome,
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

/// Event for the handler of a request.
#[derive(Debug)]
pub enum Event {
    /// An attempt is to be sent.
    Send(AttemptKey, Route),
    /// An exchange has ended; sent by the exchange itself.
    ExchangeEnded(Outcome),
    /// The last complete response is to be returned, although it reports an error.
    Deliver,
    /// The request is refused.
    Refuse(Refusal),
}

/// Message that submits a request for admission.
#[derive(Debug, Message)]
#[rtype(result = "Result<RequestKey, Refusal>")]
pub struct Admit {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the profile.
    pub name: ProfileName,
    /// Version of the profile under which the request is admitted.
    pub version: u32,
    /// The profile.
    pub profile: Arc<Profile>,
    /// Time that the caller allows for the request, in milliseconds.
    pub deadline: Option<u64>,
    /// Idempotency key of the request, if any.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether another instance forwarded the request.
    pub forwarded: bool,
    /// Channel for the events of the request.
    pub events: mpsc::UnboundedSender<Event>,
}

/// Message that reports the end of a request's handler: the caller disconnected or has the answer.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Closed {
    /// Key of the request.
    pub key: RequestKey,
}

/// Message that reports the outcome of an attempt.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct AttemptEnded {
    /// Key of the request.
    pub key: RequestKey,
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Worker that the attempt was sent to; `None` for a peer.
    pub worker: Option<WorkerKey>,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Duration of the attempt.
    pub took: Duration,
}

/// Outcome of an attempt, without the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response arrived.
    Answered,
    /// A complete response arrived that reports an error of the backend server.
    BackendError,
    /// The request did not run.
    NotRun,
    /// The request did not run, because the lease was lost.
    Fenced,
    /// No response arrived within the timeout; the exchange continues.
    TimedOut,
    /// No response arrived before the exchange was aborted.
    Aborted,
    /// The exchange failed before the response was complete.
    ConnectionLost,
    /// The peer gave up on the request and does not know the outcome.
    Unknown,
}

impl AttemptOutcome {
    /// Returns the outcome of an attempt from that of its exchange with a worker or, without one,
    /// with a peer.
    #[must_use]
    pub fn of(outcome: &Outcome, worker: Option<WorkerKey>) -> Self {
        match outcome {
            Outcome::Complete(r) if worker.is_none() && gave_up(r) => AttemptOutcome::Unknown,
            Outcome::Complete(r) if r.status.is_server_error() => AttemptOutcome::BackendError,
            Outcome::Complete(_) => AttemptOutcome::Answered,
            Outcome::NotRun => AttemptOutcome::NotRun,
            Outcome::Fenced => AttemptOutcome::Fenced,
            Outcome::Aborted => AttemptOutcome::Aborted,
            Outcome::ConnectionLost => AttemptOutcome::ConnectionLost,
        }
    }

    fn to_kernel(self, took: Duration) -> KernelOutcome {
        let took = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        match self {
            AttemptOutcome::Answered => KernelOutcome::Answered { took },
            AttemptOutcome::BackendError => KernelOutcome::BackendError { took },
            AttemptOutcome::NotRun | AttemptOutcome::Fenced => KernelOutcome::NotRun,
            AttemptOutcome::TimedOut | AttemptOutcome::Aborted => KernelOutcome::TimedOut,
            AttemptOutcome::ConnectionLost => KernelOutcome::ConnectionLost,
            AttemptOutcome::Unknown => KernelOutcome::Unknown,
        }
    }
}

/// Whether a peer's response says that it gave up and does not know whether the request ran.
fn gave_up(response: &Response) -> bool {
    response.status.is_server_error() && response.ran == Ran::Unknown
}

/// A request without a final action.
#[derive(Debug)]
pub(super) struct Request {
    name: ProfileName,
    version: u32,
    objective: Objective,
    arrived: Millis,
    first_sent: Option<Millis>,
    /// Number of sends that may have run; reported as the attempts of a non-idempotent request.
    sends: u32,
    idempotent: bool,
    forwarded: bool,
    events: mpsc::UnboundedSender<Event>,
}

/// Worker pool for attempts of unknown outcome: their resources stay allocated until the worker
/// reports the attempt as ended.
struct DeferredRelease<'a>(&'a mut Workers);

impl WorkerPool for DeferredRelease<'_> {
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

impl Handler<Admit> for Scheduler {
    type Result = MessageResult<Admit>;

    fn handle(&mut self, admit: Admit, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let objective = admit.profile.objective;
        let deadline = admit.deadline.unwrap_or(objective.deadline);
        let request = Request {
            name: admit.name.clone(),
            version: admit.version,
            objective: Objective {
                deadline: deadline.min(objective.deadline),
                ..objective
            },
            arrived: now,
            first_sent: None,
            sends: 0,
            idempotent: admit.profile.idempotent,
            forwarded: admit.forwarded,
            events: admit.events,
        };
        let arrival = Arrival {
            id: admit.id,
            profile_name: admit.name,
            version: admit.version,
            profile: admit.profile,
            deadline: request.objective.deadline,
            idempotency_key: admit.idempotency_key,
            forwarded: admit.forwarded,
        };
        let admitted = self.requests.submit(now, arrival);
        match &admitted {
            Ok(key) => {
                self.open_requests.insert(*key, request);
            }
            Err(refusal) => self.count_refusal(now, &request, refusal),
        }
        self.dispatch_requests();
        MessageResult(admitted)
    }
}

impl Handler<AttemptEnded> for Scheduler {
    type Result = ();

    fn handle(&mut self, ended: AttemptEnded, _: &mut Context<Self>) {
        let now = self.now();
        let outcome = ended.outcome.to_kernel(ended.took);
        let workers = &mut self.workers;
        let action = self
            .requests
            .finish_attempt(now, ended.attempt, outcome, workers);
        if let Some(request) = self.open_requests.get_mut(ended.key)
            && matches!(outcome, KernelOutcome::NotRun)
        {
            request.sends = request.sends.saturating_sub(1);
        }
        self.count_broken(&ended);
        self.apply_action(now, ended.key, action);
        if matches!(
            ended.outcome,
            AttemptOutcome::Aborted | AttemptOutcome::ConnectionLost
        ) {
            self.metrics.unknown.inc();
            let mut pool = DeferredRelease(&mut self.workers);
            let action = self.requests.settle_attempt(now, ended.attempt, &mut pool);
            self.apply_action(now, ended.key, action);
        }
        if ended.outcome == AttemptOutcome::Fenced
            && let Some(worker) = ended.worker
        {
            self.workers.reacquire(now, worker);
        }
        self.dispatch_requests();
    }
}

impl Handler<Closed> for Scheduler {
    type Result = ();

    fn handle(&mut self, closed: Closed, _: &mut Context<Self>) {
        let Some(request) = self.open_requests.remove(closed.key) else {
            return;
        };
        let now = self.now();
        self.requests.cancel(closed.key);
        self.count_outcome(now, &request, tally::Outcome::Cancelled, Ran::Unknown);
    }
}

impl Scheduler {
    /// Counts a connection to a worker that broke while its caller waited.
    fn count_broken(&self, ended: &AttemptEnded) {
        let broke = ended.outcome == AttemptOutcome::ConnectionLost && ended.worker.is_some();
        if broke && let Some(request) = self.open_requests.get(ended.key) {
            self.metrics.count_broken(request.name.as_str());
        }
    }

    /// Checks the timers of requests.
    pub(super) fn check_timers(&mut self, _: &mut Context<Self>) {
        let now = self.now();
        for notice in self.requests.tick(now) {
            self.apply_action(now, notice.key, notice.action);
        }
        self.dispatch_requests();
    }

    /// Assigns waiting requests to free slots and forwards requests for which this instance has no
    /// free slot.
    pub(super) fn dispatch_requests(&mut self) {
        let now = self.now();
        for notice in self.requests.take_notices() {
            self.apply_action(now, notice.key, notice.action);
        }
        for dispatch in self.requests.dispatch(now, &mut self.workers) {
            self.send_attempt(now, &dispatch);
        }
        for notice in self.requests.take_notices() {
            self.apply_action(now, notice.key, notice.action);
        }
        if self.requests.queued() > 0 && !self.draining {
            self.forward_requests(now);
        }
    }

    /// Sends an attempt to a worker.
    fn send_attempt(&mut self, now: Millis, dispatch: &Dispatch) {
        let Some(request) = self.open_requests.get_mut(dispatch.key) else {
            return;
        };
        request.sends += 1;
        if request.first_sent.is_none() {
            request.first_sent = Some(now);
            let waited = now.since(request.arrived);
            self.metrics
                .waits
                .observe(Duration::from_millis(waited).as_secs_f64());
        }
        if dispatch.kind != AttemptKind::First {
            self.metrics.repeats.inc();
        }
        let Some(route) = self.route(now, dispatch) else {
            let outcome = KernelOutcome::NotRun;
            let action =
                self.requests
                    .finish_attempt(now, dispatch.attempt, outcome, &mut self.workers);
            self.apply_action(now, dispatch.key, action);
            return;
        };
        self.notify(dispatch.key, Event::Send(dispatch.attempt, route));
    }

    /// Returns the route of an attempt if the lease still allows new work.
    fn route(&self, now: Millis, dispatch: &Dispatch) -> Option<Route> {
        let token = self.workers.send_token(now, dispatch.worker)?;
        let worker = self.workers.get(dispatch.worker)?;
        let expires = worker.valid(now)?.expires;
        Some(Route {
            address: worker.address.clone(),
            worker: Some(dispatch.worker),
            receiver: Receiver::Worker(token),
            send_deadline: self.instant(expires),
            timeout: Duration::from_millis(dispatch.timeout),
            abort_after: self.exchange_limit(dispatch.remaining),
            new_connection: dispatch.kind != AttemptKind::First,
        })
    }

    /// Returns the time limit of an exchange whose request has `time_left_ms` milliseconds left.
    fn exchange_limit(&self, time_left_ms: u64) -> Duration {
        Duration::from_millis(time_left_ms) + self.settings.requests.grace
    }

    /// Forwards waiting requests to peers with free slots.
    fn forward_requests(&mut self, now: Millis) {
        let (addresses, peers) = self.forward_targets(now);
        if peers.is_empty() {
            return;
        }
        for forward in self.requests.forward(now, &peers) {
            let Some(address) = addresses.get(forward.peer) else {
                continue;
            };
            self.forward_request(now, &forward, address.clone());
        }
    }

    fn forward_request(&mut self, now: Millis, forward: &Forward, address: CompactString) {
        self.metrics.forwards.inc();
        if let Some(request) = self.open_requests.get_mut(forward.key) {
            request.first_sent.get_or_insert(now);
            request.sends += 1;
        }
        let timeout = Duration::from_millis(forward.timeout);
        let route = Route {
            address,
            worker: None,
            receiver: Receiver::Peer {
                from: self.settings.id.as_str().into(),
                remaining: forward.remaining,
            },
            send_deadline: self.instant(now.plus(forward.remaining)),
            timeout,
            abort_after: self.exchange_limit(forward.remaining),
            new_connection: false,
        };
        self.notify(forward.key, Event::Send(forward.attempt, route));
    }

    /// Returns the peers that are alive and have free slots, with the addresses at which they serve
    /// callers.
    fn forward_targets(&self, now: Millis) -> (Vec<CompactString>, Vec<ForwardTarget>) {
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

    /// Returns the distance to a peer and the round-trip time in milliseconds.
    fn distance(&self, peer: &crate::kernel::members::Peer) -> (Distance, u64) {
        const ZONE_RTT_MS: u64 = 1;
        const REGION_RTT_MS: u64 = 2;
        const REMOTE_RTT_MS: u64 = 24;
        if peer.zone == self.settings.zone {
            return (Distance::Zone, ZONE_RTT_MS);
        }
        if peer.region == self.settings.region {
            return (Distance::Region, REGION_RTT_MS);
        }
        (Distance::Remote, REMOTE_RTT_MS)
    }

    /// Applies the kernel's decision about a request.
    pub(super) fn apply_action(&mut self, now: Millis, key: RequestKey, action: Action) {
        match action {
            Action::Answer => {
                self.notify(key, Event::Deliver);
                if let Some(request) = self.open_requests.remove(key) {
                    self.count_outcome(now, &request, tally::Outcome::Done, Ran::Yes);
                }
            }
            Action::Refuse(refusal) => {
                if let Some(request) = self.open_requests.remove(key) {
                    self.count_refusal(now, &request, &refusal);
                    // The receiver is closed if the caller has disconnected.
                    let _ = request.events.send(Event::Refuse(refusal));
                }
            }
            Action::Retry { .. } | Action::Ignore => {}
        }
    }

    fn notify(&mut self, key: RequestKey, event: Event) {
        if let Some(request) = self.open_requests.get(key) {
            // The receiver is closed if the caller has disconnected; `Closed` then removes the
            // request.
            let _ = request.events.send(event);
        }
    }

    /// Counts the outcome of a refused request.
    fn count_refusal(&mut self, now: Millis, request: &Request, refusal: &Refusal) {
        let outcome = match (refusal.ran, refusal.code) {
            (Ran::Unknown, _) => tally::Outcome::Unknown,
            (Ran::Yes, _) => tally::Outcome::Failed,
            (Ran::No, Code::Deadline) => tally::Outcome::Unplaced,
            (Ran::No, _) => tally::Outcome::Refused,
        };
        self.count_outcome(now, request, outcome, refusal.ran);
    }

    /// Counts the outcome of a request. A forwarded request is counted at the instance that
    /// received it from the caller.
    fn count_outcome(&mut self, now: Millis, request: &Request, outcome: tally::Outcome, ran: Ran) {
        if request.forwarded {
            return;
        }
        let sent = request.first_sent.unwrap_or(now);
        let attempts = match request.idempotent {
            true => 1,
            false => request.sends,
        };
        let work = tally::Work {
            profile: request.name.clone(),
            version: request.version,
            waited: sent.since(request.arrived),
            took: now.since(request.arrived),
            objective: request.objective,
            ran,
            attempts,
            outcome,
        };
        self.tally.record(wall_clock(), &work);
    }
}
