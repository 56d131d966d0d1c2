//! Idempotency keys: a non-idempotent request with a key holds it in the log before it is sent.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    entry::{
        exchange::{
            self,
            Response, //
        },
        http,
        refusal,
        serve::Request, //
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
const MAX_STORED_BODY_BYTES: usize = 4_096;

/// How long the log may take to confirm a key, in milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 1_500;

/// How long an answer or a release is offered to the log, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 600_000;

/// How often the log is looked at for the answer of an earlier request.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// When a caller may try again while the log is out, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// What the log says of a request's key.
#[derive(Debug)]
pub enum Claim {
    /// The request needs no key.
    NotRequired,
    /// The request holds the key under this id.
    Held(RequestId),
    /// An earlier request got this answer.
    Answered(Response),
}

/// Holds the key of a request, if it needs one.
///
/// # Errors
///
/// Refuses when another request holds the key, and as not run while the log is out.
pub async fn claim(
    shared: &http::Shared,
    name: &ProfileName,
    incoming: &Request,
) -> Result<Claim, Refusal> {
    let Some(key) = required_key(incoming) else {
        return Ok(Claim::NotRequired);
    };
    // The caller's own id could be used twice; the key's holder must be this one request.
    let holder: RequestId = shared
        .unique_id()
        .parse()
        .map_err(|_| refusal::draining())?;
    let record = record::Key {
        profile: name.clone(),
        key: key.clone(),
        request: holder.clone(),
    };
    let limit = Duration::from_millis(
        incoming
            .deadline
            .unwrap_or(CONFIRM_TIMEOUT_MS)
            .min(CONFIRM_TIMEOUT_MS),
    );
    let records = vec![Record::Key(record)];
    match shared.ledger.append(records, limit).await {
        Ok(effects) if holds_key(&effects, &holder) => Ok(Claim::Held(holder)),
        Ok(_) => replay(stored_answer(shared, name, key, incoming.deadline).await),
        Err(Unavailable::Dropped) => Err(key_unconfirmed()),
        Err(Unavailable::Pending) => {
            release(shared, name, key, holder);
            Err(key_unconfirmed())
        }
    }
}

/// The key of a request that must hold it here.
fn required_key(incoming: &Request) -> Option<&IdempotencyKey> {
    if incoming.message.idempotent || incoming.forwarded {
        return None;
    }
    incoming.message.idempotency_key.as_ref()
}

fn key_unconfirmed() -> Refusal {
    let message = "the log cannot confirm the idempotency key; the request was not sent";
    refusal::retry_later(Code::LogUnavailable, message, RETRY_AFTER_MS)
}

/// Whether the log gave the key to this request.
fn holds_key(effects: &[Effect], request: &RequestId) -> bool {
    effects.iter().any(|effect| match effect {
        Effect::Key { holder, .. } => holder == request,
        _ => false,
    })
}

/// The answer of the request that holds the key; waits for one that is still in progress.
async fn stored_answer(
    shared: &http::Shared,
    name: &ProfileName,
    key: &IdempotencyKey,
    deadline: Option<u64>,
) -> Option<record::Answer> {
    let objective_ms = shared.ledger.read(|state| {
        let version = state.profiles.profile(name);
        version.map_or(0, |v| v.profile.objective.deadline)
    });
    let limit = Duration::from_millis(deadline.unwrap_or(objective_ms).min(objective_ms));
    let end = Instant::now() + limit;
    loop {
        let found = shared.ledger.read(|state| {
            let entry = state.keys.get(name, key);
            entry.and_then(|e| e.answer.clone())
        });
        if found.is_some() || Instant::now() >= end {
            return found;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The answer of the request that holds the key.
fn replay(stored: Option<record::Answer>) -> Result<Claim, Refusal> {
    let in_progress = "a request with this key is in progress, or ended without a known answer";
    let Some(stored) = stored else {
        return Err(refusal::may_have_run(Code::Duplicate, in_progress));
    };
    let status = actix_web::http::StatusCode::from_u16(stored.status);
    match (stored.ran, stored.body, status) {
        (Ran::Yes, Some(body), Ok(status)) => Ok(Claim::Answered(Response {
            status,
            content_type: "application/json".into(),
            body: Bytes::from(body),
            ran: Ran::Yes,
        })),
        (Ran::Yes, ..) => {
            let message = "a request with this key ran; its answer was too large to be kept";
            let mut refusal = refusal::may_have_run(Code::Duplicate, message);
            refusal.ran = Ran::Yes;
            Err(refusal)
        }
        _ => Err(refusal::may_have_run(Code::Duplicate, in_progress)),
    }
}

/// Records what a request that holds its key got.
pub fn record_outcome(
    shared: &http::Shared,
    name: &ProfileName,
    incoming: &Request,
    claim: &Claim,
    served: &Result<Response, Refusal>,
) {
    let Claim::Held(holder) = claim else {
        return;
    };
    let Some(key) = &incoming.message.idempotency_key else {
        return;
    };
    let (status, ran, body) = match served {
        Ok(response) => (
            response.status.as_u16(),
            response.ran,
            storable_body(response),
        ),
        Err(refusal) => (refusal::status(refusal.code).as_u16(), refusal.ran, None),
    };
    append_answer(
        shared,
        record::Answer {
            profile: name.clone(),
            key: key.clone(),
            request: holder.clone(),
            status,
            ran,
            body,
        },
    );
}

/// Lets others take a key that this request may hold but will not use.
fn release(shared: &http::Shared, name: &ProfileName, key: &IdempotencyKey, request: RequestId) {
    append_answer(
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
fn append_answer(shared: &http::Shared, answer: record::Answer) {
    let ledger = shared.ledger.clone();
    actix_rt::spawn(async move {
        let limit = Duration::from_millis(RECORD_TIMEOUT_MS);
        let appended = ledger.append(vec![Record::Answer(answer)], limit).await;
        if let Err(e) = appended {
            log::warn!("the answer of a key was not recorded: {e}");
        }
    });
}

/// The body of an answer as text, if it is short enough to keep.
fn storable_body(response: &exchange::Response) -> Option<String> {
    if response.body.len() > MAX_STORED_BODY_BYTES {
        return None;
    }
    String::from_utf8(response.body.to_vec()).ok()
}
