//! `submit`, `status` and `cancel`.

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
            Call,
            Client, //
        },
        exit::Failure,
        output::{
            self,
            Output, //
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

/// How often a job is looked at while it is waited for.
const POLL: Duration = Duration::from_millis(500);

/// The file name that stands for the standard input.
const STDIN: &str = "-";

/// Submits a job.
///
/// # Errors
///
/// Returns the findings of the job, the refusal, or how the job failed.
pub async fn submit(args: &ArgMatches, output: Output) -> Result<(), Failure> {
    let mut job = read_job(args)?;
    let key = match job.key.take() {
        Some(key) => key,
        None => fresh_key()?,
    };
    output::progress(&format!("idempotency key: {key}"));
    job.key = Some(key);
    let client = Client::entry(args)?;
    let call = Call::json(Method::POST, "/v1/jobs".to_owned(), &job)?;
    let accepted: Accepted = client.call(call).await?;
    if !args.get_flag("wait") {
        output.show(&accepted, |a| format!("{}\n", a.id));
        return Ok(());
    }
    output::progress(&format!("job: {}", accepted.id));
    let status = wait(&client, &accepted.id, args::span(args, "within")?).await?;
    output.show(&[&status], |s| table(s));
    match status.state {
        JobState::Done => Ok(()),
        other => {
            let state = output::word(&other);
            Err(Failure::Failed(format!(
                "the job is {state}: {}",
                status.reason
            )))
        }
    }
}

/// Shows jobs or the instance.
///
/// # Errors
///
/// Returns the refusal.
pub async fn status(args: &ArgMatches, output: Output) -> Result<(), Failure> {
    let client = Client::entry(args)?;
    let ids = run_ids(args)?;
    if ids.is_empty() && !args.get_flag("jobs") {
        return instance(&client, output).await;
    }
    let mut found: Vec<Status> = Vec::new();
    if args.get_flag("jobs") {
        let call = Call::plain(Method::GET, "/v1/jobs".to_owned());
        found = client.call(call).await?;
    }
    for id in ids {
        found.push(show(&client, &id).await?);
    }
    output.show(&found, |f| table(f));
    Ok(())
}

/// Cancels jobs.
///
/// # Errors
///
/// Returns the first refusal.
pub async fn cancel(args: &ArgMatches, output: Output) -> Result<(), Failure> {
    let client = Client::entry(args)?;
    let mut found: Vec<Status> = Vec::new();
    for id in run_ids(args)? {
        let call = Call::plain(Method::DELETE, format!("/v1/jobs/{id}"));
        found.push(client.call(call).await?);
    }
    output.show(&found, |f| table(f));
    Ok(())
}

async fn instance(client: &Client, output: Output) -> Result<(), Failure> {
    let call = Call::plain(Method::GET, "/v1/status".to_owned());
    let status: serde_json::Map<String, serde_json::Value> = client.call(call).await?;
    output.show(&status, |status| {
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

async fn show(client: &Client, id: &RunId) -> Result<Status, Failure> {
    let call = Call::plain(Method::GET, format!("/v1/jobs/{id}"));
    client.call(call).await
}

/// Looks at a job until it has ended. An instance that does not answer is asked again.
async fn wait(client: &Client, id: &RunId, within: u64) -> Result<Status, Failure> {
    let end = Instant::now() + Duration::from_millis(within);
    let mut last = String::new();
    loop {
        let line = match show(client, id).await {
            Ok(status) if ended(status.state) => return Ok(status),
            Ok(status) => progress(&status),
            Err(Failure::Unreachable(address, reason)) => format!("{address}: {reason}"),
            Err(failure) => return Err(failure),
        };
        if line != last {
            output::progress(&line);
            last = line;
        }
        if Instant::now() + POLL > end {
            let within = text::span(within);
            return Err(Failure::NotYet(format!(
                "{id} has not ended within {within}"
            )));
        }
        tokio::time::sleep(POLL).await;
    }
}

fn ended(state: JobState) -> bool {
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
    let state = output::word(&status.state);
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
            output::word(&job.state),
            job.waiting.to_string(),
            job.running.to_string(),
            job.done.to_string(),
            text::time(job.accepted),
            job.reason.clone(),
        ]
    });
    text::columns(&header, &rows.collect::<Vec<_>>(), 8)
}

fn run_ids(args: &ArgMatches) -> Result<Vec<RunId>, Failure> {
    let ids = args.get_many::<String>("id").unwrap_or_default();
    ids.map(|id| args::identifier("job", id)).collect()
}

/// A key that no other submission has, so that one whose answer was lost can be repeated.
fn fresh_key() -> Result<IdempotencyKey, Failure> {
    let key = format!("cli-{:032x}", rand::random::<u128>());
    args::identifier("key", &key)
}

/// The job from the file and the options, checked whole.
fn read_job(args: &ArgMatches) -> Result<Job, Failure> {
    let (source, mut job) = match args.get_one::<PathBuf>("file") {
        Some(path) => read_file(path)?,
        None => ("the command line".to_owned(), serde_json::json!({})),
    };
    overlay(args, &mut job)?;
    findings::from_value(&source, job).map_err(Failure::Findings)
}

fn read_file(path: &PathBuf) -> Result<(String, serde_json::Value), Failure> {
    let fault = |e| Failure::File(path.clone(), e);
    let text = match path.as_os_str() == STDIN {
        true => io::read_to_string(io::stdin().lock().take(MAX_JOB)).map_err(fault)?,
        false => std::fs::read_to_string(path).map_err(fault)?,
    };
    let source = path.display().to_string();
    let value = serde_json::from_str(&text).map_err(|e| {
        let mut found = findings::Findings::default();
        let place = format!("line {} column {}", e.line(), e.column());
        found.add(&source, &place, e.to_string(), "a job is JSON");
        Failure::Findings(found)
    })?;
    Ok((source, value))
}

/// Largest job that is read from the standard input, in bytes.
const MAX_JOB: u64 = 1 << 20;

/// Puts the options over what the file says.
fn overlay(args: &ArgMatches, job: &mut serde_json::Value) -> Result<(), Failure> {
    let Some(fields) = job.as_object_mut() else {
        return Ok(());
    };
    let mut set = |name: &str, value: Option<serde_json::Value>| {
        if let Some(value) = value {
            fields.insert(name.to_owned(), value);
        }
    };
    set("profile", args::text(args, "profile").map(Into::into));
    set("key", args::text(args, "key").map(Into::into));
    set("tasks", args.get_one::<u32>("tasks").map(|t| (*t).into()));
    set(
        "estimate",
        args::maybe_span(args, "estimate")?.map(Into::into),
    );
    set(
        "deadline",
        args::maybe_span(args, "deadline")?.map(Into::into),
    );
    let payload = args::text(args, "payload").map(serde_json::from_str);
    let payload = payload.transpose();
    let payload = payload.map_err(|e| Failure::Usage(format!("--payload is no JSON: {e}")))?;
    set("payload", payload);
    Ok(())
}
