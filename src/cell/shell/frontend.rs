//! Handles callers' requests: selects the queue, forwards the request to the owner, and encodes the
//! response.

use std::{
    rc::Rc,
    time::Duration, //
};

use actix_http::Method;
use compact_str::CompactString;
use log::{
    debug,
    info, //
};
use tokio::time::{
    self,
    Instant, //
};

use crate::{
    cell::{
        access,
        engine::memory,
        model, //
    },
    platform::api,
    remote::link, //
};

use super::{
    Shared,
    body,
    catalog,
    peer::{
        self,
        Outcome,
        Request, //
    },
    server::{
        self,
        Answer,
        CallerRequest, //
    }, //
};

/// Timeout of a caller that names none, in milliseconds: the usual limit of the platform.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;

/// Share of a caller's timeout that the request may use in this process.
const TIMEOUT_SHARE: f64 = 0.85;

/// Longest time that a request is retried while there is no owner: a change of owner takes about a
/// second.
const OWNER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout of one exchange with the owner, after which the request is repeated to the current
/// owner. Longer than a commit, shorter than a caller's timeout.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time in which the end of a connection is read after the request that precedes it.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Pause before a request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Value of the `Retry-After` header in seconds: a change of owner takes about one second.
const RETRY_AFTER_S: u64 = 1;

/// Length of a job's id, in hexadecimal digits.
const ID_LEN: usize = 16;

/// Answers the readiness check: the instance is ready once it has a configuration, while it may
/// admit keys by it, and until it stops.
#[must_use]
pub fn ready(shared: &Shared) -> Answer {
    let known = shared.catalog.borrow().is_some();
    // Callers with keys are served elsewhere meanwhile.
    let outdated = shared.settings.access.is_outdated(shared.catalog_age());
    if shared.stopping.get() || !known || outdated {
        return Answer::text(503, "not ready\n");
    }
    Answer::text(200, "ready\n")
}

fn unavailable(status: u16, text: &str) -> Answer {
    let mut answer = Answer::text(status, text);
    answer.retry_after = Some(RETRY_AFTER_S);
    answer
}

/// Serves a caller's request.
pub async fn serve(shared: &Rc<Shared>, incoming: &mut CallerRequest) -> Answer {
    let began = Instant::now();
    if shared.catalog.borrow().is_none() {
        return unavailable(503, "no configuration yet\n");
    }
    let limit = incoming.timeout.unwrap_or(DEFAULT_TIMEOUT_MS);
    let timeout = Duration::from_millis(share(limit, incoming.age));
    let waiting = server::Active::begin(shared);
    let Some(catalog) = matching_catalog(shared, incoming, timeout).await else {
        return unavailable(503, "a new configuration is being received\n");
    };
    // A process that stops does not wait for bodies.
    drop(waiting);
    let Some(queue) = catalog.queue(&incoming.host, &incoming.path) else {
        info!(host = incoming.host.as_str(), path = incoming.path.as_str(), version = catalog.version; "no queue matches the request");
        return Answer::text(404, "no such queue\n");
    };
    let organisation = match access(shared, &catalog, queue, incoming) {
        Ok(organisation) => organisation,
        Err(answer) => return answer,
    };
    // The time that a caller takes to send its body is its own.
    let spent = began.elapsed();
    let body = match body(shared, incoming).await {
        Ok(body) => body,
        Err(unread) => return server::unread(unread),
    };
    let _active = server::Active::begin(shared);
    let began = Instant::now();
    let timeout = limit;
    if incoming.method == Method::POST && incoming.age > 0 && is_outdated(incoming, timeout).await {
        info!(path = incoming.path.as_str(), age = incoming.age, timeout, closed = incoming.peer_closed.get(); "submission not taken: its caller may have given up");
        return unavailable(503, "the request was read too late; it does not run\n");
    }
    let id = incoming.path[queue.prefix.len()..].trim_end_matches('/');
    let spent = spent + began.elapsed();
    let timeout = share(limit, incoming.age).saturating_sub(spent.as_millis() as u64);
    let request = match request(shared, incoming, &body, (queue, organisation), id, timeout) {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    drop(body);
    let number = match &request {
        Request::Submit { number, .. } => Some(*number),
        _ => None,
    };
    let (outcome, unanswered) = forward(shared, request, Duration::from_millis(timeout)).await;
    let took = spent + began.elapsed();
    if number.is_some() || !matches!(outcome, Outcome::State(_)) {
        info!(job = id, method = incoming.method.as_str(), queue = queue.name.as_str(), version = catalog.version,
            number, unanswered, outcome:? = outcome, took = took.as_millis() as u64; "request answered");
    }
    shared
        .metrics
        .observe_answer(&incoming.method, &outcome, took);
    encode_outcome(outcome)
}

/// Time that a request may use in this process, in milliseconds, by its caller's timeout and its age.
fn share(timeout: u64, age: u64) -> u64 {
    (timeout.saturating_sub(age) as f64 * TIMEOUT_SHARE) as u64
}

/// Reads the body of a submission, and discards any other. The time for which it waits for memory
/// counts as age of the request.
async fn body(shared: &Shared, incoming: &mut CallerRequest) -> Result<Vec<u8>, body::Unread> {
    let body = match incoming.method {
        Method::POST => incoming.body.read().await?,
        _ => incoming.body.discard().await.map(|()| Vec::new())?,
    };
    let age = incoming.age.max(shared.stalls.age(shared.now()));
    incoming.age = age + incoming.body.waited();
    Ok(body)
}

/// Whether the caller of a request that was read after a stall has given it up, or may have: it has
/// closed the connection, or its timeout may have passed.
///
/// Without a stall, a caller that has closed its side may still wait for the response.
async fn is_outdated(incoming: &CallerRequest, timeout: u64) -> bool {
    if incoming.age >= timeout {
        return true;
    }
    time::sleep(CLOSE_DELAY).await;
    incoming.peer_closed.get()
}

/// Organisation on whose behalf a request is made, by its key.
fn admits<'a>(
    shared: &Shared,
    catalog: &'a model::Catalog,
    queue: &model::Queue,
    incoming: &CallerRequest,
) -> Result<&'a str, access::Denied> {
    let rules = &shared.settings.access;
    let age = shared.catalog_age();
    access::check(catalog, queue, incoming.key.as_deref(), rules, age)
}

/// The same, or the response to a request that is not admitted.
fn access<'a>(
    shared: &Shared,
    catalog: &'a model::Catalog,
    queue: &model::Queue,
    incoming: &CallerRequest,
) -> Result<&'a str, Answer> {
    let denied = match admits(shared, catalog, queue, incoming) {
        Ok(organisation) => return Ok(organisation),
        Err(denied) => denied,
    };
    info!(path = incoming.path.as_str(), queue = queue.name.as_str(), version = catalog.version, age = shared.catalog_age(), keyed = incoming.key.is_some(), denied:? = denied; "request not admitted");
    shared.metrics.count_denied(denied);
    Err(match denied {
        access::Denied::Unknown => Answer::text(401, "the key is not known\n"),
        access::Denied::Unproven => unavailable(
            503,
            "it is not known whether the key is still valid; not taken\n",
        ),
    })
}

/// Returns the configuration in force once it has a queue for the request, or is known to be the
/// newest; `None` if neither is so within `timeout`.
///
/// Handles a large configuration that takes seconds to arrive: a queue that it adds exists already.
async fn matching_catalog(
    shared: &Shared,
    incoming: &CallerRequest,
    timeout: Duration,
) -> Option<Rc<model::Catalog>> {
    let deadline = Instant::now() + timeout;
    loop {
        let catalog = shared.catalog.borrow().clone()?;
        let found = catalog
            .queue(&incoming.host, &incoming.path)
            .is_some_and(|queue| admits(shared, &catalog, queue, incoming).is_ok());
        if found || !catalog::is_behind(shared) {
            return Some(catalog);
        }
        if Instant::now() >= deadline {
            return None;
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Decodes a caller's request into a request to the owner.
fn request(
    shared: &Shared,
    incoming: &CallerRequest,
    body: &[u8],
    (queue, organisation): (&model::Queue, &str),
    id: &str,
    timeout: u64,
) -> Result<Request, Answer> {
    if id.is_empty() && incoming.method == Method::GET {
        return Ok(Request::Waiting {
            queue: queue.name.clone(),
        });
    }
    let valid = id.len() == ID_LEN && id.bytes().all(|b| b.is_ascii_hexdigit());
    if !valid {
        return Err(Answer::text(404, "a job's id has 16 hexadecimal digits\n"));
    }
    let id = CompactString::from(id);
    match incoming.method {
        Method::GET => Ok(Request::State { id }),
        Method::DELETE => Ok(Request::Cancel { id, timeout }),
        Method::POST => {
            let work = api::decode_job(body)
                .map_err(|e| Answer::text(400, &format!("the job cannot be read: {e}\n")))?;
            // The job is encoded or copied for the owner.
            if !incoming
                .body
                .replace_charge(2 * memory::submission_bytes(&work))
            {
                return Err(unavailable(503, "too little memory; it does not run\n"));
            }
            shared.specs.insert(&id, &work.spec);
            Ok(Request::Submit {
                id,
                origin: shared.settings.instance.clone(),
                queue: Box::new(queue.clone()),
                work: Box::new(work),
                organisation: organisation.into(),
                incarnation: shared.incarnation,
                number: shared.next_submission(),
                term: 0,
                timeout,
            })
        }
        _ => Err(Answer::text(405, "GET, POST or DELETE\n")),
    }
}

/// Forwards a request to the current owner, with retries until the caller's timeout. Repetitions
/// are safe because the job's id makes them idempotent, and because the owner takes no copy of a request
/// that it has refused. Returns the number of copies without an answer, too.
async fn forward(shared: &Rc<Shared>, mut request: Request, timeout: Duration) -> (Outcome, u32) {
    // By the clock that goes on while the machine is suspended, as the caller's does.
    let deadline = shared.now() + timeout.as_millis() as u64;
    let mut unanswered = 0;
    let given_up = |unanswered| match unanswered {
        0 => (Outcome::Refused(RETRY_AFTER_S), 0),
        _ => (Outcome::Unknown, unanswered),
    };
    let mut without_owner: Option<Instant> = None;
    loop {
        let left = Duration::from_millis(deadline.saturating_sub(shared.now()));
        if left.is_zero() {
            return given_up(unanswered);
        }
        request.set_timeout(left.as_millis() as u64);
        let outcome = exchange(shared, &mut request, left.min(EXCHANGE_TIMEOUT)).await;
        match outcome {
            Ok(Outcome::Elsewhere) | Err(link::Error::Refused | link::Error::Unreachable) => {}
            Ok(Outcome::Interrupted) => unanswered += 1,
            Ok(outcome) => return (outcome, unanswered),
            Err(e) => {
                debug!("no response from the owner: {e}");
                unanswered += 1;
            }
        }
        let since = *without_owner.get_or_insert_with(Instant::now);
        if since.elapsed() > OWNER_TIMEOUT {
            return given_up(unanswered);
        }
        // A change of owner ends the pause early.
        let _ = time::timeout(RETRY_PAUSE, shared.owner_changed.notified()).await;
    }
}

async fn exchange(
    shared: &Rc<Shared>,
    request: &mut Request,
    limit: Duration,
) -> Result<Outcome, link::Error> {
    let local = shared.owner.borrow().as_ref().map(|owner| owner.term());
    if let Some(term) = local {
        request.set_term(term);
        return Ok(peer::answer_caller(shared, request.clone()).await);
    }
    let Some(owner) = peer::known_owner(shared) else {
        return Err(link::Error::Unreachable);
    };
    request.set_term(owner.term);
    let request = &*request;
    let sent = peer::send(shared, &owner.address, peer::ASK, request, limit);
    tokio::select! {
        answer = sent => {
            if matches!(answer, Ok(ref outcome) if !matches!(outcome, Outcome::Elsewhere | Outcome::Interrupted)) {
                shared.ownership.borrow_mut().note_sign_of_life(owner.term, shared.now());
            }
            answer
        }
        // The next owner knows what this owner stored, and recognises a repeated request by its id.
        () = replaced(shared, owner.term) => Err(link::Error::NoResponse),
    }
}

/// Waits until the known owner is not that of `term` any more.
async fn replaced(shared: &Shared, term: u64) {
    loop {
        let owner_changed = shared.owner_changed.notified();
        if shared.ownership.borrow().term() != term {
            return;
        }
        owner_changed.await;
    }
}

fn encode_outcome(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Accepted => Answer::json(200, b"{}".to_vec()),
        Outcome::State(state) => Answer::json(200, api::encode_state(state)),
        Outcome::Waiting(count) => Answer::json(200, api::encode_waiting(count)),
        Outcome::Gone => Answer::text(410, "no such job\n"),
        Outcome::Invalid(text) => Answer::text(400, &format!("{text}\n")),
        Outcome::Unknown | Outcome::Interrupted => Answer::text(
            504,
            "it is not known whether the job was taken; ask again\n",
        ),
        Outcome::Refused(seconds) => {
            let mut answer = Answer::text(503, "not taken; it does not run\n");
            answer.retry_after = Some(seconds);
            answer
        }
        Outcome::Overloaded(seconds) => {
            let text = "not taken, too much work of the organisation waits; it does not run\n";
            let mut answer = Answer::text(429, text);
            answer.retry_after = Some(seconds);
            answer
        }
        Outcome::Elsewhere => unavailable(503, "no owner\n"),
    }
}
