//! Handles callers' requests at the owner: submission, state, cancellation and queue length.

use std::{
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
use log::info;
use tokio::time;

use crate::cell::{
    engine::{
        SubmissionStatus,
        Submitted,
        memory::Shortage, //
    },
    model,
    outage,
    refusals::Attempt, //
};

use super::{
    intake::Limit,
    metrics::LateCopy,
    owner::Owner,
    peer::{
        Outcome,
        Request, //
    }, //
};

/// Retry delays while the store is unreachable, in seconds: for urgent jobs, and for jobs with
/// slack. Jobs with slack are retried later, so that a caller's usual number of retries outlasts a
/// longer outage.
const STORE_RETRY_S: (u64, u64) = (1, 2);

/// Objective from which a job counts as having slack, in milliseconds: a typical outage of the
/// store.
const SLACK_MS: u64 = 4_500;

/// Time before the end of a caller's timeout at which a submission is answered, in milliseconds: the
/// way back to the caller through a slow machine.
const ANSWER_MARGIN_MS: u64 = 100;

/// Interval at which the store's reachability is checked while a job waits to be stored.
const STORE_POLL: Duration = Duration::from_millis(150);

/// Longest wait for a proof of ownership: an append and its first repetition.
const PROOF_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which the proof of ownership is checked while a caller waits for it.
const PROOF_POLL: Duration = Duration::from_millis(5);

/// Handles a caller's request.
pub async fn handle(owner: &Rc<Owner>, request: Request) -> Outcome {
    if owner.is_over() {
        return Outcome::Elsewhere;
    }
    match request {
        Request::Submit {
            id,
            queue,
            work,
            origin,
            organisation,
            incarnation,
            number,
            term,
            timeout,
        } => {
            let attempt = Attempt {
                incarnation,
                number,
            };
            let source = Source {
                origin,
                organisation,
                attempt,
            };
            if let Some(outcome) =
                reject_late_copy(owner, &id, attempt, term, retry_after(&queue, &work))
            {
                return outcome;
            }
            let outcome = submit(owner, &id, (*queue, *work), &source, timeout).await;
            remember_refusal(owner, &id, attempt, outcome)
        }
        Request::State { id } => state(owner, &id).await,
        Request::Cancel { id, timeout } => cancel(owner, &id, timeout).await,
        Request::Waiting { queue } => Outcome::Waiting(owner.engine.borrow().waiting_jobs(&queue)),
    }
}

/// Cancels a job. One that is not known is remembered as cancelled, because a request to submit it
/// may still arrive: from an instance that was paused, or over a slow path.
async fn cancel(owner: &Rc<Owner>, id: &str, timeout: u64) -> Outcome {
    let now = owner.now();
    let known = owner.engine.borrow_mut().cancel(id, now);
    let buried = match known {
        None => owner.engine.borrow_mut().bury(id, now),
        Some(_) => None,
    };
    owner.run_actions();
    match (known, buried) {
        (Some(batch), _) => wait_durable(owner, batch, timeout).await,
        (None, Some(batch)) => match wait_durable(owner, batch, timeout).await {
            Outcome::Accepted => Outcome::Gone,
            outcome => outcome,
        },
        (None, None) => Outcome::Unknown,
    }
}

/// Returns the state of a job. Another owner may have moved it on unless ownership is proven.
async fn state(owner: &Rc<Owner>, id: &str) -> Outcome {
    let state = owner.engine.borrow().visible_state(id);
    let Some(state) = state else {
        return gone(owner).await;
    };
    if state.is_final() || owner.engine.borrow().has_fresh_proof(owner.now()) {
        return Outcome::State(state);
    }
    // While the store is away, the state is as good as the right to command.
    if confirm(owner).await || !owner.is_over() && owner.engine.borrow().may_command(owner.now()) {
        return Outcome::State(state);
    }
    Outcome::Elsewhere
}

/// Returns that a job does not exist once ownership is proven, since another owner may have accepted
/// it.
async fn gone(owner: &Rc<Owner>) -> Outcome {
    match confirm(owner).await {
        true => Outcome::Gone,
        false if owner.is_over() => Outcome::Elsewhere,
        false => Outcome::Unknown,
    }
}

/// Waits until the store has confirmed the term after now; returns whether it has in time.
async fn confirm(owner: &Rc<Owner>) -> bool {
    let since = owner.now();
    owner.engine.borrow_mut().request_proof(since);
    owner.commit.notify_one();
    let proven = async {
        while owner.engine.borrow().proven_at < since {
            time::sleep(PROOF_POLL).await;
        }
    };
    tokio::select! {
        () = proven => true,
        () = owner.ended() => false,
        () = time::sleep(PROOF_TIMEOUT) => false,
    }
}

/// Returns the delay after which a rejected caller should retry, in seconds.
fn retry_after(queue: &model::Queue, work: &model::Submission) -> u64 {
    let longest: f64 = work.steps.iter().map(|step| step.estimate as f64).sum();
    let objective = ((longest * queue.stretch) as u64).saturating_add(queue.target);
    let (short, long) = STORE_RETRY_S;
    if objective < SLACK_MS { short } else { long }
}

/// Where a job comes from.
struct Source {
    /// Instance that received the job from its caller.
    origin: CompactString,
    /// Organisation on whose behalf the job is submitted; empty for none.
    organisation: CompactString,
    /// The caller's request at that instance.
    attempt: Attempt,
}

/// Outcome of a copy of a submission that must not be taken; `None` if it may be.
///
/// A copy for another term may be one of a request that its owner has refused, or that this owner
/// refuses later.
fn reject_late_copy(
    owner: &Owner,
    id: &str,
    attempt: Attempt,
    meant: u64,
    retry: u64,
) -> Option<Outcome> {
    let (late, outcome) = if meant > 0 && meant != owner.term() {
        (LateCopy::Term, Outcome::Elsewhere)
    } else if owner.refusals.borrow().contains(attempt) && !owner.engine.borrow().is_known(id) {
        (LateCopy::Refused, Outcome::Refused(retry))
    } else {
        return None;
    };
    owner.shared.metrics.count_late_copy(late);
    info!(job = id, incarnation = attempt.incarnation, number = attempt.number, meant, term = owner.term(),
        cause = late.label(); "late copy of a submission not taken");
    Some(outcome)
}

/// Returns the outcome of a submission. A refusal must hold for all copies of the request, or it is not
/// one.
fn remember_refusal(owner: &Owner, id: &str, attempt: Attempt, outcome: Outcome) -> Outcome {
    if !matches!(outcome, Outcome::Refused(_) | Outcome::Overloaded(_)) {
        return outcome;
    }
    let mut refusals = owner.refusals.borrow_mut();
    if refusals.record(attempt, owner.now()) {
        return outcome;
    }
    info!(job = id, incarnation = attempt.incarnation, number = attempt.number; "refusal not remembered");
    Outcome::Unknown
}

async fn submit(
    owner: &Rc<Owner>,
    id: &str,
    (queue, work): (model::Queue, model::Submission),
    source: &Source,
    timeout: u64,
) -> Outcome {
    let retry = retry_after(&queue, &work);
    let until = owner.now() + timeout.saturating_sub(ANSWER_MARGIN_MS);
    if is_hopeless(owner, until) && !owner.engine.borrow().is_stored(id) {
        // A job that may be on its way to the store is not rejected, because it may run.
        let now = owner.now();
        let pending = !owner.engine.borrow_mut().withdraw_expired(id, now, until);
        info!(job = id, waits = owner.store_delay(), timeout, pending; "submission not accepted: store unreachable");
        return if pending {
            Outcome::Unknown
        } else {
            Outcome::Refused(retry)
        };
    }
    if let Some(outcome) = lacks_room(owner, id, &work, retry) {
        return outcome;
    }
    let now = owner.now();
    let admitted = {
        let mut engine = owner.engine.borrow_mut();
        engine.admit(id, &source.organisation, &queue, &work, now)
    };
    if let Err(seconds) = admitted {
        return overloaded(owner, id, seconds).await;
    }
    let submitted = {
        let mut engine = owner.engine.borrow_mut();
        let submitted = engine.submit(id, queue, work, now);
        engine.set_origin(id, &source.origin);
        engine.set_organisation(id, &source.organisation);
        engine.extend_wait(id, until);
        submitted
    };
    owner.run_actions();
    if matches!(submitted, Ok(Submitted::InBatch(_))) {
        info!(job = id, origin = source.origin.as_str(), incarnation = source.attempt.incarnation,
            number = source.attempt.number, timeout; "submission taken");
    }
    match submitted {
        Ok(Submitted::Known) => Outcome::Accepted,
        Ok(Submitted::Cancelled) => Outcome::Gone,
        Ok(Submitted::InBatch(batch)) => await_stored(owner, id, (batch, until), retry).await,
        Err(text) => Outcome::Invalid(text),
    }
}

/// Returns that a job is refused once ownership is proven, since another owner may have accepted it.
async fn overloaded(owner: &Rc<Owner>, id: &str, seconds: u64) -> Outcome {
    let fresh = owner.engine.borrow().has_fresh_proof(owner.now());
    let proven = fresh || confirm(owner).await;
    if owner.is_over() {
        return Outcome::Elsewhere;
    }
    // Another request for the job may have been accepted meanwhile.
    match proven && !owner.engine.borrow().is_known(id) {
        true => Outcome::Overloaded(seconds),
        false => Outcome::Unknown,
    }
}

/// Outcome of a job for which there is no room at the owner; `None` if there is.
fn lacks_room(owner: &Owner, id: &str, work: &model::Submission, retry: u64) -> Option<Outcome> {
    let shortage = owner.engine.borrow().check_room(id, work).err()?;
    let guard = &owner.shared.guards.callers;
    match shortage {
        Shortage::Memory => {
            guard.note(Limit::Jobs);
            Some(Outcome::Refused(retry))
        }
        Shortage::Record(bytes) => {
            guard.note(Limit::Record);
            let limit = owner.shared.settings.max_append;
            let text =
                format!("/steps: the job's record of {bytes} bytes exceeds the limit of {limit}");
            Some(Outcome::Invalid(text))
        }
    }
}

/// Whether a submission whose caller waits until local time `until`, in milliseconds, should be
/// refused because the store does not answer.
fn is_hopeless(owner: &Owner, until: u64) -> bool {
    let left = until.saturating_sub(owner.now());
    outage::is_hopeless(owner.store_delay(), left)
}

/// Waits until a new job is stored, or until local time `until`, in milliseconds. A job that was not
/// yet sent to the store is withdrawn then, or as soon as its caller waits in vain: a caller may
/// repeat what is known not to run.
async fn await_stored(
    owner: &Rc<Owner>,
    id: &str,
    (batch, until): (u64, u64),
    retry: u64,
) -> Outcome {
    let left = until.saturating_sub(owner.now());
    let stored = wait_durable(owner, batch, left + ANSWER_MARGIN_MS);
    let mut stored = std::pin::pin!(stored);
    loop {
        let now = owner.now();
        let pause = Duration::from_millis(until.saturating_sub(now)).min(STORE_POLL);
        tokio::select! {
            outcome = &mut stored => return stored_outcome(owner, id, outcome, retry),
            () = time::sleep(pause) => {}
        }
        let now = owner.now();
        if now < until && !is_hopeless(owner, until) {
            continue;
        }
        if owner.engine.borrow_mut().withdraw_expired(id, now, until) {
            info!(job = id, waits = owner.store_delay(), expired = now >= until; "submission withdrawn: store unreachable");
            return Outcome::Refused(retry);
        }
        if now >= until {
            return Outcome::Unknown;
        }
    }
}

/// Returns the outcome of a submission after the batch for its job is stored.
fn stored_outcome(owner: &Owner, id: &str, outcome: Outcome, retry: u64) -> Outcome {
    if outcome == Outcome::Elsewhere && owner.engine.borrow().is_sent(id) {
        info!(job = id, term = owner.term(); "term ended before the submission was stored");
        return Outcome::Interrupted;
    }
    if outcome != Outcome::Accepted {
        return outcome;
    }
    match owner.engine.borrow().submission_status(id) {
        SubmissionStatus::Stored => Outcome::Accepted,
        SubmissionStatus::Pending => Outcome::Unknown,
        SubmissionStatus::Withdrawn => {
            info!(job = id; "submission withdrawn by another request for the same job");
            Outcome::Refused(retry)
        }
    }
}

/// Waits until a batch is stored, the term ends or the timeout passes.
async fn wait_durable(owner: &Rc<Owner>, batch: u64, timeout: u64) -> Outcome {
    let mut durable = owner.durable.subscribe();
    let stored = durable.wait_for(|durable| *durable >= batch);
    tokio::select! {
        stored = stored => match stored {
            Ok(_) => Outcome::Accepted,
            Err(_) => Outcome::Unknown,
        },
        () = owner.ended() => Outcome::Elsewhere,
        () = time::sleep(Duration::from_millis(timeout)) => Outcome::Unknown,
    }
}
