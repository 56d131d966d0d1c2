//! Submits a job and follows it to its end.

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
            Answer,
            Failure, //
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

/// How often a job's status is asked for.
const POLL: Duration = Duration::from_millis(100);

/// How long one exchange may take.
const LIMIT: Duration = Duration::from_secs(5);

/// The first backoff of a submission that is repeated; doubles each time.
const BACKOFF: Duration = Duration::from_millis(100);

/// Submissions of one keyed job in all.
const ATTEMPTS: u32 = 5;

/// What became of a job.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The outcome; never [`Class::Late`], which is for the caller to decide.
    pub class: Class,
    /// When it was first seen to run.
    pub started: Option<Instant>,
    /// The code of a refusal.
    pub code: Option<Code>,
    /// Its id.
    pub run: Option<RunId>,
    /// Why it did not end well.
    pub detail: String,
}

impl Ended {
    fn early(class: Class, detail: &str) -> Self {
        Self {
            class,
            started: None,
            code: None,
            run: None,
            detail: detail.to_owned(),
        }
    }
}

/// Submits a job through the balancer and follows it until it ends or `until` has come.
pub async fn run(client: &awc::Client, balancer: &Balancer, job: &Job, until: Instant) -> Ended {
    let accepted = match submit(client, balancer, job).await {
        Ok(accepted) => accepted,
        Err(ended) => return ended,
    };
    let mut ended = Ended::early(Class::Open, "still open");
    ended.run = Some(accepted.id.clone());
    while Instant::now() < until {
        sleep(POLL).await;
        let Some(status) = status(client, balancer, &accepted.id).await else {
            continue;
        };
        if status.state != JobState::Waiting && ended.started.is_none() {
            ended.started = Some(Instant::now());
        }
        let class = match status.state {
            JobState::Waiting | JobState::Running => continue,
            JobState::Done => Class::Good,
            JobState::Failed | JobState::Cancelled => Class::Failed,
        };
        ended.class = class;
        ended.detail = status.reason;
        return ended;
    }
    ended
}

/// Submits a job. One with a key is submitted again while it may not have arrived.
async fn submit(client: &awc::Client, balancer: &Balancer, job: &Job) -> Result<Accepted, Ended> {
    let attempts = if job.key.is_some() { ATTEMPTS } else { 1 };
    let mut backoff = BACKOFF;
    let mut last = Ended::early(Class::Unknown, "not sent");
    for attempt in 0..attempts {
        if attempt > 0 {
            sleep(backoff).await;
            backoff *= 2;
        }
        match submit_once(client, balancer, job).await {
            Ok(accepted) => return Ok(accepted),
            Err(ended) if ended.class != Class::Unknown => return Err(ended),
            Err(ended) => last = ended,
        }
    }
    Err(last)
}

async fn submit_once(
    client: &awc::Client,
    balancer: &Balancer,
    job: &Job,
) -> Result<Accepted, Ended> {
    let body = serde_json::to_value(job).unwrap_or_default();
    for _ in 0..balancer.len() {
        let Some(entry) = balancer.next() else {
            break;
        };
        let request = client.post(format!("http://{entry}/v1/jobs"));
        match response::exchange(request, &body, LIMIT).await {
            Ok(answer) => return judge(&answer),
            Err(Failure::Lost(detail)) => return Err(Ended::early(Class::Unknown, &detail)),
            Err(Failure::Unsent(_)) => balancer.avoid(entry),
        }
    }
    Err(Ended::early(Class::Refused, "no entry instance"))
}

fn judge(answer: &Answer) -> Result<Accepted, Ended> {
    if !answer.whole {
        return Err(Ended::early(Class::Unknown, "the answer was cut short"));
    }
    if (200..300).contains(&answer.status) {
        return serde_json::from_slice(&answer.body)
            .map_err(|e| Ended::early(Class::Wrong, &e.to_string()));
    }
    let Ok(refusal) = serde_json::from_slice::<Refusal>(&answer.body) else {
        let detail = format!("status {} without a refusal", answer.status);
        return Err(Ended::early(Class::Unknown, &detail));
    };
    let class = match refusal.ran {
        Ran::No => Class::Refused,
        Ran::Yes => Class::Failed,
        Ran::Unknown => Class::Unknown,
    };
    Err(Ended {
        code: Some(refusal.code),
        ..Ended::early(class, &refusal.message)
    })
}

/// A job's status from any entry instance that knows it.
async fn status(client: &awc::Client, balancer: &Balancer, run: &RunId) -> Option<Status> {
    let entry = balancer.next()?;
    let request = client.get(format!("http://{entry}/v1/jobs/{run}"));
    let sent = request.timeout(LIMIT).send().await;
    let Ok(answer) = sent else {
        balancer.avoid(entry);
        return None;
    };
    read(answer).await
}

async fn read<T, S>(mut answer: awc::ClientResponse<S>) -> Option<T>
where
    T: DeserializeOwned,
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    if !answer.status().is_success() {
        return None;
    }
    answer.json().await.ok()
}
