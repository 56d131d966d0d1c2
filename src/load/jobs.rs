//! Submits a job and polls its status until it ends.

use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    ids::RunId,
    load::{
        balancer::Balancer,
        response::{
            self,
            Failure, //
            Response,
        },
        sample::Class, //
    },
    wire::caller::{
        Accepted,
        Code,
        Job,
        JobState,
        Ran,
        Refusal,
        Status, //
    }, //
};

/// Time between two status requests for a job.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one HTTP exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the first retry of a submission; doubles with each further retry.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Most attempts to submit a job with an idempotency key, the first included.
const MAX_ATTEMPTS: u32 = 5;

/// Outcome of a job.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Class of the outcome; never [`Class::Late`], which the code that knows the deadline sets.
    pub class: Class,
    /// Time at which a status first showed that the job had left the queue.
    pub started: Option<Instant>,
    /// Error code of a refusal, if the submission was refused.
    pub code: Option<Code>,
    /// Id of the job, once accepted.
    pub run: Option<RunId>,
    /// Human-readable reason for an outcome other than [`Class::Good`].
    pub detail: String,
}

impl Outcome {
    fn new(class: Class, detail: &str) -> Self {
        Self {
            class,
            started: None,
            code: None,
            run: None,
            detail: detail.to_owned(),
        }
    }
}

/// Submits a job through the balancer and polls its status until it ends or `deadline` is reached.
pub async fn run(
    client: &awc::Client,
    balancer: &Balancer,
    job: &Job,
    deadline: Instant,
) -> Outcome {
    let accepted = match submit(client, balancer, job).await {
        Ok(accepted) => accepted,
        Err(outcome) => return outcome,
    };
    let mut outcome = Outcome::new(Class::Open, "not ended before the timeout");
    outcome.run = Some(accepted.id.clone());
    while Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
        let Some(status) = status(client, balancer, &accepted.id).await else {
            continue;
        };
        if status.state != JobState::Waiting && outcome.started.is_none() {
            outcome.started = Some(Instant::now());
        }
        let class = match status.state {
            JobState::Waiting | JobState::Running => continue,
            JobState::Done => Class::Good,
            JobState::Failed | JobState::Cancelled => Class::Failed,
        };
        outcome.class = class;
        outcome.detail = status.reason;
        return outcome;
    }
    outcome
}

/// Submits a job. A submission with an unknown outcome is retried only if the job has an
/// idempotency key.
async fn submit(client: &awc::Client, balancer: &Balancer, job: &Job) -> Result<Accepted, Outcome> {
    let attempts = if job.key.is_some() { MAX_ATTEMPTS } else { 1 };
    let mut backoff = FIRST_BACKOFF;
    let mut last = Outcome::new(Class::Unknown, "not sent");
    for attempt in 0..attempts {
        if attempt > 0 {
            sleep(backoff).await;
            backoff *= 2;
        }
        match submit_once(client, balancer, job).await {
            Ok(accepted) => return Ok(accepted),
            Err(outcome) if outcome.class != Class::Unknown => return Err(outcome),
            Err(outcome) => last = outcome,
        }
    }
    Err(last)
}

async fn submit_once(
    client: &awc::Client,
    balancer: &Balancer,
    job: &Job,
) -> Result<Accepted, Outcome> {
    let body = serde_json::to_value(job).unwrap_or_default();
    for _ in 0..balancer.len() {
        let Some(entry) = balancer.next() else {
            break;
        };
        let request = client.post(format!("http://{entry}/v1/jobs"));
        match response::exchange(request, &body, EXCHANGE_TIMEOUT).await {
            Ok(response) => return parse_submission(&response),
            Err(Failure::NoResponse(detail)) => return Err(Outcome::new(Class::Unknown, &detail)),
            Err(Failure::NotSent(_)) => balancer.mark_down(entry),
        }
    }
    Err(Outcome::new(
        Class::Refused,
        "no entry instance accepted a connection",
    ))
}

fn parse_submission(response: &Response) -> Result<Accepted, Outcome> {
    if !response.complete {
        return Err(Outcome::new(Class::Unknown, "response body truncated"));
    }
    if (200..300).contains(&response.status) {
        return serde_json::from_slice(&response.body)
            .map_err(|e| Outcome::new(Class::Wrong, &e.to_string()));
    }
    let Ok(refusal) = serde_json::from_slice::<Refusal>(&response.body) else {
        let detail = format!("status {} without a refusal", response.status);
        return Err(Outcome::new(Class::Unknown, &detail));
    };
    let class = match refusal.ran {
        Ran::No => Class::Refused,
        Ran::Yes => Class::Failed,
        Ran::Unknown => Class::Unknown,
    };
    Err(Outcome {
        code: Some(refusal.code),
        ..Outcome::new(class, &refusal.message)
    })
}

/// Requests the status of a job from the next entry instance; none if that instance does not return
/// it.
async fn status(client: &awc::Client, balancer: &Balancer, run: &RunId) -> Option<Status> {
    let entry = balancer.next()?;
    let request = client.get(format!("http://{entry}/v1/jobs/{run}"));
    let sent = request.timeout(EXCHANGE_TIMEOUT).send().await;
    let Ok(response) = sent else {
        balancer.mark_down(entry);
        return None;
    };
    read_success(response).await
}

async fn read_success<T, S>(mut response: awc::ClientResponse<S>) -> Option<T>
where
    T: DeserializeOwned,
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    if !response.status().is_success() {
        return None;
    }
    response.json().await.ok()
}
