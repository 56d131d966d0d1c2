//! Serves one request: admission, idempotency key, dispatch and response.

use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::{
    entry::{
        exchange::{
            self,
            Outcome,
            Response, //
        },
        http,
        idempotency,
        refusal,
        scheduler::{
            self,
            Event, //
        }, //
    },
    ids::ProfileName,
    kernel::requests::{
        AttemptKey,
        RequestKey, //
    },
    ledger::profiles::ActiveVersion,
    profile,
    wire::caller::{
        Code,
        Refusal, //
    }, //
};

/// Request as received from the caller.
#[derive(Debug)]
pub struct Request {
    /// Message to send to a worker or peer.
    pub message: exchange::Message,
    /// Time that the caller allows for the request, in milliseconds.
    pub deadline: Option<u64>,
    /// Whether another entry instance forwarded the request.
    pub forwarded: bool,
}

/// Reports to the scheduler that the handler has ended, also when the caller disconnects.
struct CloseGuard<'a> {
    app: &'a http::AppState,
    key: RequestKey,
}

impl Drop for CloseGuard<'_> {
    fn drop(&mut self) {
        let closed = scheduler::Closed { key: self.key };
        self.app.scheduler.do_send(closed);
    }
}

/// Serves one request.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub async fn serve(app: &http::AppState, mut request: Request) -> Result<Response, Refusal> {
    let arrived = Instant::now();
    let name = request.message.profile.parse();
    let name = name.map_err(|e| refusal::invalid_field("/profile", format!("{e}")))?;
    let version = active_profile(app, &name)?;
    check_limits(&version.profile, &request)?;
    request.message.idempotent = version.profile.idempotent;
    request.message.demand = version.profile.demand;
    let claim = idempotency::claim(app, &name, &request).await?;
    if let idempotency::Claim::Answered(response) = claim {
        return Ok(response);
    }
    let result = execute(app, &name, version, &request).await;
    idempotency::record_outcome(app, &name, &request, &claim, &result);
    if result.is_ok() {
        let seconds = arrived.elapsed().as_secs_f64();
        app.metrics.record_response(name.as_str(), seconds);
    }
    result
}

/// Returns the active version of a request profile.
fn active_profile(app: &http::AppState, name: &ProfileName) -> Result<ActiveVersion, Refusal> {
    if !app.ledger.is_caught_up() {
        return Err(refusal::starting());
    }
    let version = app.ledger.read(|state| state.profiles.profile(name));
    let found = version.filter(|v| v.profile.kind == profile::Kind::Request);
    found.ok_or_else(|| {
        let message = format!("no profile for requests is named {name}");
        refusal::not_run(Code::UnknownProfile, message)
    })
}

/// Checks the request against the limits of its profile.
fn check_limits(profile: &profile::Profile, request: &Request) -> Result<(), Refusal> {
    let size = request.message.body.len();
    let max = profile.limits.body as usize;
    if size > max {
        let message = format!("the body has {size} bytes, the profile allows {max}");
        return Err(refusal::not_run(Code::TooLarge, message));
    }
    if request.deadline == Some(0) {
        return Err(refusal::not_run(
            Code::Deadline,
            "the deadline has passed already".to_owned(),
        ));
    }
    Ok(())
}

/// Submits a request to the scheduler and runs its attempts until the response or the refusal.
async fn execute(
    app: &http::AppState,
    name: &ProfileName,
    version: ActiveVersion,
    request: &Request,
) -> Result<Response, Refusal> {
    let (events, mut received) = mpsc::unbounded_channel();
    let admit = scheduler::Admit {
        id: request.message.id.clone(),
        name: name.clone(),
        version: version.version,
        profile: version.profile,
        deadline: request.deadline,
        idempotency_key: request.message.idempotency_key.clone(),
        forwarded: request.forwarded,
        events: events.clone(),
    };
    let admitted = app.scheduler.send(admit).await;
    let key = admitted.map_err(|_| refusal::draining())??;
    let _guard = CloseGuard { app, key };
    let mut last = None;
    while let Some(event) = received.recv().await {
        match event {
            Event::Send(attempt, route) => {
                start_exchange(app, key, attempt, &request.message, route, &events);
            }
            Event::ExchangeEnded(Outcome::Complete(response))
                if !response.status.is_server_error() =>
            {
                return Ok(response);
            }
            Event::ExchangeEnded(Outcome::Complete(response)) => last = Some(response),
            Event::ExchangeEnded(_) => {}
            Event::Deliver => return last.ok_or_else(scheduler_stopped),
            Event::Refuse(refusal) if refusal.code == Code::Backend => {
                return last.ok_or(refusal);
            }
            Event::Refuse(refusal) => return Err(refusal),
        }
    }
    Err(scheduler_stopped())
}

/// Returns the refusal for a request whose scheduler stopped without an event that ends it.
fn scheduler_stopped() -> Refusal {
    refusal::may_have_run(
        Code::OutcomeUnknown,
        "the instance stopped before the answer",
    )
}

/// Starts one exchange. The exchange continues when the caller disconnects, so that the scheduler
/// learns when the slot is free.
fn start_exchange(
    app: &http::AppState,
    key: RequestKey,
    attempt: AttemptKey,
    message: &exchange::Message,
    route: exchange::Route,
    events: &mpsc::UnboundedSender<Event>,
) {
    let scheduler = app.scheduler.clone();
    let settings = app.settings.clone();
    let message = message.clone();
    let events = events.clone();
    actix_rt::spawn(async move {
        let started = Instant::now();
        let idle = settings.requests.idle;
        let mut ended = scheduler::AttemptEnded {
            key,
            attempt,
            worker: route.worker,
            outcome: scheduler::AttemptOutcome::TimedOut,
            took: route.timeout,
        };
        let exchange = exchange::send(&message, &route, &settings.zone, idle);
        let mut exchange = std::pin::pin!(exchange);
        let outcome = match tokio::time::timeout(route.timeout, &mut exchange).await {
            Ok(outcome) => outcome,
            Err(_) => {
                scheduler.do_send(ended);
                exchange::drop_client(&route.address);
                exchange.await
            }
        };
        ended.outcome = scheduler::AttemptOutcome::of(&outcome, route.worker);
        ended.took = started.elapsed();
        // The receiver is closed if the caller disconnected; the scheduler needs the outcome
        // anyway.
        let _ = events.send(Event::ExchangeEnded(outcome));
        scheduler.do_send(ended);
    });
}
