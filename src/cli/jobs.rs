//! `submit`, `status` and `cancel`: commands on jobs.

use std::{
    io::{
        self,
        Read, //
    },
    path::PathBuf,
    time::Duration, //
};

use actix_web::http::Method;
use clap::ArgMatches;
use tokio::time::Instant;

use crate::{
    cli::{
        args,
        client::{
            Client, //
            Request,
        },
        exit::Failure,
        output::{
            self,
            Format, //
        }, //
    },
    findings,
    ids::{
        IdempotencyKey,
        RunId, //
    },
    report::text,
    wire::caller::{
        Accepted,
        Job,
        JobState,
        Status, //
    }, //
};

/// Interval between requests for the status of a job that the command waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// File name that denotes the standard input.
const STDIN: &str = "-";

/// Submits a job, and waits for its end with `--wait`.
///
/// # Errors
///
/// Returns the findings of the job, the refusal, the failure of the job, or a timeout of `--wait`.
pub async fn submit(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let mut job = read_job(args)?;
    let key = match job.key.take() {
        Some(key) => key,
        None => random_key()?,
    };
    output::progress(&format!("idempotency key: {key}"));
    job.key = Some(key);
    let client = Client::entry(args)?;
    let request = Request::json(Method::POST, "/v1/jobs".to_owned(), &job)?;
    let accepted: Accepted = client.call(request).await?;
    if !args.get_flag("wait") {
        format.print(&accepted, |a| format!("{}\n", a.id));
        return Ok(());
    }
    output::progress(&format!("job: {}", accepted.id));
    let status = wait_until_ended(&client, &accepted.id, args::duration(args, "within")?).await?;
    format.print(&[&status], |s| table(s));
    match status.state {
        JobState::Done => Ok(()),
        other => {
            let state = output::json_name(&other);
            Err(Failure::Failed(format!(
                "the job is {state}: {}",
                status.reason
            )))
        }
    }
}

/// Shows the status of jobs or of the entry instance.
///
/// # Errors
///
/// Returns a usage failure for an invalid id, the refusal, or an error if there is no usable
/// response.
pub async fn status(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let client = Client::entry(args)?;
    let ids = job_ids(args)?;
    if ids.is_empty() && !args.get_flag("jobs") {
        return print_instance(&client, format).await;
    }
    let mut statuses: Vec<Status> = Vec::new();
    if args.get_flag("jobs") {
        let request = Request::empty(Method::GET, "/v1/jobs".to_owned());
        statuses = client.call(request).await?;
    }
    for id in ids {
        statuses.push(fetch_status(&client, &id).await?);
    }
    format.print(&statuses, |s| table(s));
    Ok(())
}

/// Cancels jobs.
///
/// # Errors
///
/// Returns the first refusal, or an error if there is no usable response.
pub async fn cancel(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let client = Client::entry(args)?;
    let mut statuses: Vec<Status> = Vec::new();
    for id in job_ids(args)? {
        let request = Request::empty(Method::DELETE, format!("/v1/jobs/{id}"));
        statuses.push(client.call(request).await?);
    }
    format.print(&statuses, |s| table(s));
    Ok(())
}

async fn print_instance(client: &Client, format: Format) -> Result<(), Failure> {
    let request = Request::empty(Method::GET, "/v1/status".to_owned());
    let status: serde_json::Map<String, serde_json::Value> = client.call(request).await?;
    format.print(&status, |status| {
        let rows = status.iter().map(|(name, value)| {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            vec![name.clone(), value]
        });
        text::columns(&["INSTANCE", ""], &rows.collect::<Vec<_>>(), 1)
    });
    Ok(())
}

async fn fetch_status(client: &Client, id: &RunId) -> Result<Status, Failure> {
    let request = Request::empty(Method::GET, format!("/v1/jobs/{id}"));
    client.call(request).await
}

/// Polls the status of a job until the job has ended or `timeout_ms` have passed. The request is
/// repeated if the instance cannot be reached.
async fn wait_until_ended(client: &Client, id: &RunId, timeout_ms: u64) -> Result<Status, Failure> {
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    let mut last = String::new();
    loop {
        let line = match fetch_status(client, id).await {
            Ok(status) if is_terminal(status.state) => return Ok(status),
            Ok(status) => progress(&status),
            Err(Failure::Unreachable(address, reason)) => format!("{address}: {reason}"),
            Err(failure) => return Err(failure),
        };
        if line != last {
            output::progress(&line);
            last = line;
        }
        if Instant::now() + POLL_INTERVAL > deadline {
            let within = text::duration(timeout_ms);
            return Err(Failure::TimedOut(format!(
                "{id} has not ended within {within}"
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn is_terminal(state: JobState) -> bool {
    matches!(
        state,
        JobState::Done | JobState::Failed | JobState::Cancelled
    )
}

fn progress(status: &Status) -> String {
    let Status {
        waiting,
        running,
        done,
        ..
    } = status;
    let state = output::json_name(&status.state);
    format!("{state}: {waiting} waiting, {running} running, {done} done")
}

fn table(jobs: &[impl std::borrow::Borrow<Status>]) -> String {
    let header = [
        "JOB", "PROFILE", "VERSION", "ZONE", "STATE", "WAITING", "RUNNING", "DONE", "ACCEPTED",
        "REASON",
    ];
    let rows = jobs.iter().map(|job| {
        let job = job.borrow();
        vec![
            job.id.to_string(),
            job.profile.to_string(),
            job.version.to_string(),
            job.zone.to_string(),
            output::json_name(&job.state),
            job.waiting.to_string(),
            job.running.to_string(),
            job.done.to_string(),
            text::time(job.accepted),
            job.reason.clone(),
        ]
    });
    text::columns(&header, &rows.collect::<Vec<_>>(), 8)
}

fn job_ids(args: &ArgMatches) -> Result<Vec<RunId>, Failure> {
    let ids = args.get_many::<String>("id").unwrap_or_default();
    ids.map(|id| args::identifier("job", id)).collect()
}

/// Generates a unique idempotency key, so that a submission whose outcome is unknown can be
/// repeated.
fn random_key() -> Result<IdempotencyKey, Failure> {
    let key = format!("cli-{:032x}", rand::random::<u128>());
    args::identifier("key", &key)
}

/// Reads the job from the file and the options, and checks it.
fn read_job(args: &ArgMatches) -> Result<Job, Failure> {
    let (source, mut job) = match args.get_one::<PathBuf>("file") {
        Some(path) => read_file(path)?,
        None => ("the command line".to_owned(), serde_json::json!({})),
    };
    apply_options(args, &mut job)?;
    findings::from_value(&source, job).map_err(Failure::Findings)
}

fn read_file(path: &PathBuf) -> Result<(String, serde_json::Value), Failure> {
    let file_error = |e| Failure::File(path.clone(), e);
    let text = match path.as_os_str() == STDIN {
        true => io::read_to_string(io::stdin().lock().take(MAX_JOB_BYTES)).map_err(file_error)?,
        false => std::fs::read_to_string(path).map_err(file_error)?,
    };
    let source = path.display().to_string();
    let value = serde_json::from_str(&text).map_err(|e| {
        let mut findings = findings::Findings::default();
        let place = format!("line {} column {}", e.line(), e.column());
        findings.add(&source, &place, e.to_string(), "a job must be JSON");
        Failure::Findings(findings)
    })?;
    Ok((source, value))
}

/// Maximum size of a job on the standard input, in bytes.
const MAX_JOB_BYTES: u64 = 1 << 20;

/// Overrides the fields of the job with the options of the command line.
fn apply_options(args: &ArgMatches, job: &mut serde_json::Value) -> Result<(), Failure> {
    let Some(fields) = job.as_object_mut() else {
        return Ok(());
    };
    let mut set = |name: &str, value: Option<serde_json::Value>| {
        if let Some(value) = value {
            fields.insert(name.to_owned(), value);
        }
    };
    set("profile", args::string(args, "profile").map(Into::into));
    set("key", args::string(args, "key").map(Into::into));
    set("tasks", args.get_one::<u32>("tasks").map(|t| (*t).into()));
    set(
        "estimate",
        args::optional_duration(args, "estimate")?.map(Into::into),
    );
    set(
        "deadline",
        args::optional_duration(args, "deadline")?.map(Into::into),
    );
    let payload = args::string(args, "payload").map(serde_json::from_str);
    let payload = payload.transpose();
    let payload =
        payload.map_err(|e| Failure::Usage(format!("--payload is not valid JSON: {e}")))?;
    set("payload", payload);
    Ok(())
}
