//! Serves one request: admission, key, dispatch, the whole answer.

use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::{
    entry::{
        exchange::{
            self,
            Answer,
            End, //
        },
        http,
        idempotency,
        refusal,
        scheduler::{
            self,
            Turn, //
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

/// A request as it arrived.
#[derive(Debug)]
pub struct Order {
    /// What to send.
    pub message: exchange::Message,
    /// The time that the caller gives it, in milliseconds.
    pub deadline: Option<u64>,
    /// Whether another entry instance passed it on.
    pub forwarded: bool,
}

/// Tells the scheduler that the caller went away, unless the request was answered.
struct Guard<'a> {
    shared: &'a http::Shared,
    request: RequestKey,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let gone = scheduler::Gone {
            request: self.request,
        };
        self.shared.scheduler.do_send(gone);
    }
}

/// Serves one request.
///
/// # Errors
///
/// Returns the refusal to tell the caller.
pub async fn serve(shared: &http::Shared, mut order: Order) -> Result<Answer, Refusal> {
    let arrived = Instant::now();
    let name = order.message.profile.parse();
    let name = name.map_err(|e| refusal::input("/profile", format!("{e}")))?;
    let version = lookup(shared, &name)?;
    check(&version.profile, &order)?;
    order.message.idempotent = version.profile.idempotent;
    order.message.demand = version.profile.demand;
    let claimed = idempotency::claim(shared, &name, &order).await?;
    if let idempotency::Claim::Answered(answer) = claimed {
        return Ok(answer);
    }
    let served = admitted(shared, &name, version, &order).await;
    idempotency::settle(shared, &name, &order, &claimed, &served);
    if served.is_ok() {
        let seconds = arrived.elapsed().as_secs_f64();
        shared.metrics.answered(name.as_str(), seconds);
    }
    served
}

/// The current version of a profile for requests.
fn lookup(shared: &http::Shared, name: &ProfileName) -> Result<ActiveVersion, Refusal> {
    if !shared.ledger.is_caught_up() {
        return Err(refusal::starting());
    }
    let version = shared.ledger.read(|state| state.profiles.profile(name));
    let found = version.filter(|v| v.profile.kind == profile::Kind::Request);
    found.ok_or_else(|| {
        let message = format!("no profile for requests is named {name}");
        refusal::not_run(Code::UnknownProfile, message)
    })
}

/// Checks the request against the bounds of its profile.
fn check(profile: &profile::Profile, order: &Order) -> Result<(), Refusal> {
    let size = order.message.body.len();
    let most = profile.limits.body as usize;
    if size > most {
        let message = format!("the body has {size} bytes, the profile allows {most}");
        return Err(refusal::not_run(Code::TooLarge, message));
    }
    if order.deadline == Some(0) {
        return Err(refusal::not_run(
            Code::Deadline,
            "the deadline has passed already".to_owned(),
        ));
    }
    Ok(())
}

/// Passes a request through the scheduler and waits for its one end.
async fn admitted(
    shared: &http::Shared,
    name: &ProfileName,
    version: ActiveVersion,
    order: &Order,
) -> Result<Answer, Refusal> {
    let (turns, mut turn) = mpsc::unbounded_channel();
    let open = scheduler::Open {
        id: order.message.id.clone(),
        name: name.clone(),
        version: version.version,
        profile: version.profile,
        deadline: order.deadline,
        key: order.message.key.clone(),
        forwarded: order.forwarded,
        turns: turns.clone(),
    };
    let opened = shared.scheduler.send(open).await;
    let request = opened.map_err(|_| refusal::draining())??;
    let _guard = Guard { shared, request };
    let mut last = None;
    while let Some(word) = turn.recv().await {
        match word {
            Turn::Send(attempt, route) => {
                depart(shared, request, attempt, &order.message, route, &turns);
            }
            Turn::Landed(End::Whole(answer)) if !answer.status.is_server_error() => {
                return Ok(answer);
            }
            Turn::Landed(End::Whole(answer)) => last = Some(answer),
            Turn::Landed(_) => {}
            Turn::Deliver => return last.ok_or_else(lost),
            Turn::Refuse(refusal) if refusal.code == Code::Backend => {
                return last.ok_or(refusal);
            }
            Turn::Refuse(refusal) => return Err(refusal),
        }
    }
    Err(lost())
}

/// The refusal when the scheduler ended without a word.
fn lost() -> Refusal {
    refusal::unknown(
        Code::OutcomeUnknown,
        "the instance stopped before the answer",
    )
}

/// Starts one exchange. It goes on when the caller goes away, so that its slot is freed in time.
fn depart(
    shared: &http::Shared,
    request: RequestKey,
    attempt: AttemptKey,
    message: &exchange::Message,
    route: exchange::Route,
    turns: &mpsc::UnboundedSender<Turn>,
) {
    let scheduler = shared.scheduler.clone();
    let settings = shared.settings.clone();
    let message = message.clone();
    let turns = turns.clone();
    actix_rt::spawn(async move {
        let sent = Instant::now();
        let idle = settings.requests.idle;
        let mut landed = scheduler::Landed {
            request,
            attempt,
            worker: route.worker,
            landing: scheduler::Landing::Silent,
            took: route.timeout,
        };
        let exchange = exchange::send(&message, &route, &settings.zone, idle);
        let mut exchange = std::pin::pin!(exchange);
        let end = match tokio::time::timeout(route.timeout, &mut exchange).await {
            Ok(end) => end,
            Err(_) => {
                scheduler.do_send(landed);
                exchange::forget(&route.address);
                exchange.await
            }
        };
        landed.landing = scheduler::Landing::of(&end);
        landed.took = sent.elapsed();
        // The caller may be gone; the scheduler must know all the same.
        let _ = turns.send(Turn::Landed(end));
        scheduler.do_send(landed);
    });
}
