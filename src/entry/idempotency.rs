//! Idempotency keys: a non-idempotent request with a key holds it in the log before it is sent.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    entry::{
        exchange::{
            self,
            Answer, //
        },
        http,
        refusal,
        serve::Order, //
    },
    ids::{
        IdempotencyKey,
        ProfileName,
        RequestId, //
    },
    ledger::{
        effect::Effect,
        record::{
            self,
            Record, //
        },
        replica::Unavailable, //
    },
    wire::caller::{
        Code,
        Ran,
        Refusal, //
    }, //
};

/// Longest body that is kept with a key, in bytes.
const MAX_BODY: usize = 4_096;

/// How long the log may take to confirm a key, in milliseconds.
const CONFIRM: u64 = 1_500;

/// How long an answer or a release is offered to the log, in milliseconds.
const SETTLE: u64 = 600_000;

/// How often the log is looked at for the answer of an earlier request.
const LOOK: Duration = Duration::from_millis(20);

/// When a caller may try again while the log is out, in milliseconds.
const RETRY: u64 = 1_000;

/// What the log says of a request's key.
#[derive(Debug)]
pub enum Claim {
    /// The request needs no key.
    Unneeded,
    /// The request holds the key under this id.
    Held(RequestId),
    /// An earlier request got this answer.
    Answered(Answer),
}

/// Holds the key of a request, if it needs one.
///
/// # Errors
///
/// Refuses when another request holds the key, and as not run while the log is out.
pub async fn claim(
    shared: &http::Shared,
    name: &ProfileName,
    order: &Order,
) -> Result<Claim, Refusal> {
    let Some(key) = needed(order) else {
        return Ok(Claim::Unneeded);
    };
    // The caller's own id could be used twice; the key's holder must be this one request.
    let request: RequestId = shared.unique().parse().map_err(|_| refusal::draining())?;
    let wanted = record::Key {
        profile: name.clone(),
        key: key.clone(),
        request: request.clone(),
    };
    let limit = Duration::from_millis(order.deadline.unwrap_or(CONFIRM).min(CONFIRM));
    let records = vec![Record::Key(wanted)];
    match shared.ledger.append(records, limit).await {
        Ok(effects) if holds(&effects, &request) => Ok(Claim::Held(request)),
        Ok(_) => repeat(earlier(shared, name, key, order.deadline).await),
        Err(Unavailable::Dropped) => Err(unavailable()),
        Err(Unavailable::Pending) => {
            release(shared, name, key, request);
            Err(unavailable())
        }
    }
}

/// The key of a request that must hold it here.
fn needed(order: &Order) -> Option<&IdempotencyKey> {
    if order.message.idempotent || order.forwarded {
        return None;
    }
    order.message.key.as_ref()
}

fn unavailable() -> Refusal {
    let message = "the log cannot confirm the idempotency key; the request was not sent";
    refusal::later(Code::LogUnavailable, message, RETRY)
}

/// Whether the log gave the key to this request.
fn holds(effects: &[Effect], request: &RequestId) -> bool {
    effects.iter().any(|effect| match effect {
        Effect::Key { holder, .. } => holder == request,
        _ => false,
    })
}

/// The answer of the request that holds the key; waits for one that is still in progress.
async fn earlier(
    shared: &http::Shared,
    name: &ProfileName,
    key: &IdempotencyKey,
    deadline: Option<u64>,
) -> Option<record::Answer> {
    let promised = shared.ledger.read(|state| {
        let version = state.profiles.profile(name);
        version.map_or(0, |v| v.profile.objective.deadline)
    });
    let limit = Duration::from_millis(deadline.unwrap_or(promised).min(promised));
    let end = Instant::now() + limit;
    loop {
        let found = shared.ledger.read(|state| {
            let held = state.keys.get(name, key);
            held.and_then(|h| h.answer.clone())
        });
        if found.is_some() || Instant::now() >= end {
            return found;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// The answer of the request that holds the key.
fn repeat(earlier: Option<record::Answer>) -> Result<Claim, Refusal> {
    let in_progress = "a request with this key is in progress, or ended without a known answer";
    let Some(earlier) = earlier else {
        return Err(refusal::unknown(Code::Duplicate, in_progress));
    };
    let status = actix_web::http::StatusCode::from_u16(earlier.status);
    match (earlier.ran, earlier.body, status) {
        (Ran::Yes, Some(body), Ok(status)) => Ok(Claim::Answered(Answer {
            status,
            content: "application/json".into(),
            body: Bytes::from(body),
            ran: Ran::Yes,
        })),
        (Ran::Yes, ..) => {
            let message = "a request with this key ran; its answer was too large to be kept";
            let mut refusal = refusal::unknown(Code::Duplicate, message);
            refusal.ran = Ran::Yes;
            Err(refusal)
        }
        _ => Err(refusal::unknown(Code::Duplicate, in_progress)),
    }
}

/// Records what a request that holds its key got.
pub fn settle(
    shared: &http::Shared,
    name: &ProfileName,
    order: &Order,
    claim: &Claim,
    served: &Result<Answer, Refusal>,
) {
    let Claim::Held(request) = claim else {
        return;
    };
    let Some(key) = &order.message.key else {
        return;
    };
    let (status, ran, body) = match served {
        Ok(answer) => (answer.status.as_u16(), answer.ran, text(answer)),
        Err(refusal) => (refusal::status(refusal.code).as_u16(), refusal.ran, None),
    };
    record(
        shared,
        record::Answer {
            profile: name.clone(),
            key: key.clone(),
            request: request.clone(),
            status,
            ran,
            body,
        },
    );
}

/// Lets others take a key that this request may hold but will not use.
fn release(shared: &http::Shared, name: &ProfileName, key: &IdempotencyKey, request: RequestId) {
    record(
        shared,
        record::Answer {
            profile: name.clone(),
            key: key.clone(),
            request,
            status: refusal::status(Code::LogUnavailable).as_u16(),
            ran: Ran::No,
            body: None,
        },
    );
}

/// Offers an answer to the log; nobody waits for it.
fn record(shared: &http::Shared, answer: record::Answer) {
    let ledger = shared.ledger.clone();
    actix_rt::spawn(async move {
        let limit = Duration::from_millis(SETTLE);
        let written = ledger.append(vec![Record::Answer(answer)], limit).await;
        if let Err(e) = written {
            log::warn!("the answer of a key was not recorded: {e}");
        }
    });
}

/// The body of an answer as text, if it is short enough to keep.
fn text(answer: &exchange::Answer) -> Option<String> {
    if answer.body.len() > MAX_BODY {
        return None;
    }
    String::from_utf8(answer.body.to_vec()).ok()
}
