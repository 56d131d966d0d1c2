//! Sends the arrivals at their intended times and collects a sample for each.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use actix_web::rt;
use awc::Connector;
use tokio::time::{
    Instant,
    sleep_until,
    timeout_at, //
};

use crate::{
    ids::{
        IdempotencyKey,
        Token, //
    },
    load::{
        balancer::Balancer,
        direct::Pool,
        jobs,
        response::{
            self,
            Failure,
            Outcome, //
        },
        sample::{
            Class,
            Sample, //
        },
        schedule::Arrival, //
    },
    wire, //
};

/// Least time between two progress messages in the log.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Destination of the requests and jobs.
#[derive(Debug)]
pub enum Target {
    /// The entry instances, through a balancer.
    Entries(Balancer),
    /// The backend servers on the workers, without an entry instance; jobs are not sent.
    Direct(Pool),
}

/// Settings of a run.
#[derive(Debug)]
pub struct Plan {
    /// Destination of the requests and jobs.
    pub target: Target,
    /// How long a response, or the end of a job, is awaited after the intended send time.
    pub timeout: Duration,
}

/// State of a run in progress.
struct Run {
    plan: Plan,
    client: awc::Client,
    start: Instant,
    samples: RefCell<Vec<Sample>>,
}

/// Creates an HTTP client without a connection limit, a default timeout or redirects.
#[must_use]
pub fn client() -> awc::Client {
    let connector = Connector::new().limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Sends all arrivals, which must be sorted by time, and waits until all that were sent have ended.
/// Returns a sample for each arrival that was sent, in the order of the arrivals. Sending stops
/// early when `stop` completes.
pub async fn run(
    plan: Plan,
    arrivals: &Rc<Vec<Arrival>>,
    stop: impl Future<Output = ()>,
) -> Vec<Sample> {
    let run = Rc::new(Run {
        plan,
        client: client(),
        start: Instant::now(),
        samples: RefCell::new(Vec::with_capacity(arrivals.len())),
    });
    tokio::select! {
        () = send_and_wait(&run, arrivals, stop) => {}
        () = run.watch_entries() => {}
    }
    let mut samples = run.samples.take();
    samples.sort_by_key(|s| s.index);
    mark_doubled(arrivals, &mut samples);
    samples
}

/// Sends the arrivals in order as a closed loop, with `connections` requests in progress at a time,
/// regardless of their intended times. Returns the number of requests in [`Class::Good`] and the
/// time taken.
pub async fn saturate(
    plan: Plan,
    arrivals: &Rc<Vec<Arrival>>,
    connections: usize,
) -> (usize, Duration) {
    let run = Rc::new(Run {
        plan,
        client: client(),
        start: Instant::now(),
        samples: RefCell::new(Vec::new()),
    });
    let next = Rc::new(Cell::new(0));
    let callers = (0..connections).map(|_| {
        let (run, arrivals, next) = (Rc::clone(&run), Rc::clone(arrivals), Rc::clone(&next));
        rt::spawn(async move { run.send_in_turn(&arrivals, &next).await })
    });
    let callers: Vec<_> = callers.collect();
    let mut good = 0;
    for caller in callers {
        good += caller.await.unwrap_or(0);
    }
    (good, run.start.elapsed())
}

/// Sends the arrivals until done or stopped, and waits until all that were sent have ended.
async fn send_and_wait(run: &Rc<Run>, arrivals: &Rc<Vec<Arrival>>, stop: impl Future<Output = ()>) {
    let mut handles = Vec::with_capacity(arrivals.len());
    tokio::select! {
        () = send_all(run, arrivals, &mut handles) => {}
        () = stop => log::info!("stopped sending early; waiting for the work in progress"),
    }
    for handle in handles {
        if let Err(e) = handle.await {
            log::error!(error:% = e; "an exchange task was aborted or panicked");
        }
    }
}

async fn send_all(
    run: &Rc<Run>,
    arrivals: &Rc<Vec<Arrival>>,
    handles: &mut Vec<rt::task::JoinHandle<()>>,
) {
    let mut last_progress = run.start;
    for index in 0..arrivals.len() {
        sleep_until(run.intended_time(&arrivals[index])).await;
        let (run, arrivals) = (Rc::clone(run), Rc::clone(arrivals));
        if last_progress.elapsed() >= PROGRESS_INTERVAL {
            last_progress = Instant::now();
            let ended = run.samples.borrow().len();
            log::info!(sent = index, ended = ended, of = arrivals.len(); "load progress");
        }
        handles.push(rt::spawn(async move {
            let sample = run.send_one(index, &arrivals[index]).await;
            run.samples.borrow_mut().push(sample);
        }));
    }
}

impl Run {
    /// Runs the balancer's readiness probes; never returns.
    async fn watch_entries(&self) {
        match &self.plan.target {
            Target::Entries(balancer) => balancer.watch_readiness(&self.client).await,
            Target::Direct(_) => std::future::pending().await,
        }
    }

    /// Sends requests one after another until none is left. Returns the number in [`Class::Good`].
    async fn send_in_turn(&self, arrivals: &[Arrival], next: &Cell<usize>) -> usize {
        let mut good = 0;
        while let Some(arrival) = arrivals.get(next.replace(next.get() + 1)) {
            let outcome = self.send_request(arrival, Duration::ZERO).await;
            good += usize::from(outcome.class == Class::Good);
        }
        good
    }

    fn intended_time(&self, arrival: &Arrival) -> Instant {
        self.start + Duration::from_micros(arrival.at)
    }

    async fn send_one(&self, index: usize, arrival: &Arrival) -> Sample {
        let intended = self.intended_time(arrival);
        let lag = intended.elapsed();
        let mut sample = Sample {
            index,
            at: arrival.at,
            lag: micros(lag),
            latency: 0,
            wait: None,
            class: Class::Open,
            code: None,
            execution: Default::default(),
            detail: String::new(),
        };
        match arrival.job {
            Some(_) => self.run_job(arrival, &mut sample).await,
            None => {
                let outcome = self.send_request(arrival, lag).await;
                sample.class = outcome.class;
                sample.code = outcome.code;
                sample.execution = outcome.execution;
                sample.detail = outcome.detail;
            }
        }
        sample.latency = micros(intended.elapsed());
        let limit = arrival.deadline.unwrap_or(u64::MAX).saturating_mul(1_000);
        if sample.class == Class::Good && sample.latency > limit {
            sample.class = Class::Late;
        }
        sample
    }

    async fn send_request(&self, arrival: &Arrival, lag: Duration) -> Outcome {
        match &self.plan.target {
            Target::Entries(balancer) => self.send_to_entry(balancer, arrival, lag).await,
            Target::Direct(pool) => self.send_to_worker(pool, arrival).await,
        }
    }

    async fn send_to_entry(
        &self,
        balancer: &Balancer,
        arrival: &Arrival,
        lag: Duration,
    ) -> Outcome {
        let body = arrival.body();
        for _ in 0..balancer.len() {
            let Some(entry) = balancer.next() else {
                break;
            };
            let url = format!("http://{entry}/v1/requests/{}", arrival.profile);
            let mut request = with_key(self.client.post(url), arrival.key.as_ref());
            if let Some(deadline) = arrival.deadline {
                let spent = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
                let left = deadline.saturating_sub(spent);
                request = request.insert_header((wire::DEADLINE_HEADER, left.to_string()));
            }
            match response::exchange(request, &body, self.plan.timeout).await {
                Ok(response) => return response::classify(&response, &body),
                Err(Failure::NoResponse(detail)) => return unanswered(Class::Unknown, detail),
                Err(Failure::NotSent(_)) => balancer.mark_down(entry),
            }
        }
        unanswered(
            Class::Refused,
            "no entry instance accepted a connection".to_owned(),
        )
    }

    async fn send_to_worker(&self, pool: &Pool, arrival: &Arrival) -> Outcome {
        let until = self.intended_time(arrival).max(Instant::now()) + self.plan.timeout;
        let Ok(Some(slot)) = timeout_at(until, pool.acquire()).await else {
            return unanswered(Class::Refused, "no free slot before the timeout".to_owned());
        };
        let body = arrival.body();
        let url = format!("http://{}/v1/serve/{}", slot.address, arrival.profile);
        let request = with_key(self.client.post(url), arrival.key.as_ref());
        let Token(token) = slot.token;
        let request = request
            .insert_header((wire::TOKEN_HEADER, token.to_string()))
            .insert_header((wire::REQUEST_HEADER, arrival.work.as_str()));
        let result = response::exchange(request, &body, self.plan.timeout).await;
        pool.release(slot);
        match result {
            Ok(response) => response::classify(&response, &body),
            Err(Failure::NotSent(detail)) => unanswered(Class::Refused, detail),
            Err(Failure::NoResponse(detail)) => unanswered(Class::Unknown, detail),
        }
    }

    async fn run_job(&self, arrival: &Arrival, sample: &mut Sample) {
        let (Target::Entries(balancer), Some(job)) = (&self.plan.target, arrival.submission())
        else {
            sample.class = Class::Refused;
            sample.detail = "jobs are not sent in direct mode".to_owned();
            return;
        };
        let intended = self.intended_time(arrival);
        let until = intended + self.plan.timeout;
        let outcome = jobs::run(&self.client, balancer, &job, until).await;
        let wait = outcome
            .started
            .map(|s| s.saturating_duration_since(intended));
        sample.wait = wait.map(micros);
        sample.class = outcome.class;
        sample.code = outcome.code;
        sample.execution = outcome.run.map(Into::into).unwrap_or_default();
        sample.detail = outcome.detail;
    }
}

/// Marks every later response to a key that came from another execution than the first response.
fn mark_doubled(arrivals: &[Arrival], samples: &mut [Sample]) {
    let answered = |s: &Sample| matches!(s.class, Class::Good | Class::Late);
    let keyed = |s: &&mut Sample| arrivals[s.index].key.is_some() && answered(s);
    let mut keyed: Vec<_> = samples.iter_mut().filter(keyed).collect();
    keyed.sort_by(|a, b| arrivals[a.index].key.cmp(&arrivals[b.index].key));
    for pair in keyed.chunk_by_mut(|a, b| arrivals[a.index].key == arrivals[b.index].key) {
        let Some((first, rest)) = pair.split_first_mut() else {
            continue;
        };
        for other in rest.iter_mut().filter(|o| o.execution != first.execution) {
            other.class = Class::Doubled;
            other.detail = format!("executed as {} and {}", first.execution, other.execution);
        }
    }
}

fn with_key(request: awc::ClientRequest, key: Option<&IdempotencyKey>) -> awc::ClientRequest {
    match key {
        Some(key) => request.insert_header((wire::KEY_HEADER, key.as_str())),
        None => request,
    }
}

fn unanswered(class: Class, detail: String) -> Outcome {
    Outcome {
        class,
        code: None,
        execution: Default::default(),
        detail,
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
