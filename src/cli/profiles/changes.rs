//! `profiles rollback` and `withdraw`, and retries of changes whose outcome is unknown.

use std::time::Duration;

use actix_web::http::Method;
use clap::ArgMatches;

use crate::{
    cli::{
        args,
        client::{
            Client, //
            Request,
        },
        exit::{
            self,
            Failure, //
        },
        output::{
            self,
            Format, //
        },
        profiles::{
            self,
            in_force, //
            publish::{
                self,
                Outcome, //
            },
        }, //
    },
    ids::{
        ChangeId,
        ProfileName, //
    },
    wire::admin::{
        Published,
        Rollback, //
    }, //
};

/// Maximum number of attempts at one change whose outcome stays unknown.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Publishes an earlier version again, as a new version.
///
/// # Errors
///
/// Returns the refusal, or a conflict with a concurrent change.
pub async fn rollback(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let name = profiles::profile_name(args)?;
    let Some(version) = args.get_one::<u32>("version").copied() else {
        return Err(Failure::Usage("--version is required".to_owned()));
    };
    let client = Client::admin(args)?;
    let body = Rollback {
        base: base_version(args, &client, &name).await?,
        change: profiles::change_id(args)?,
        version,
    };
    let path = format!("/v1/profiles/{name}/rollback");
    let request = Request::json(Method::POST, path, &body)?;
    apply(args, format, &client, request, &body.change).await
}

/// Withdraws a profile: no new work is admitted under it.
///
/// # Errors
///
/// Returns the refusal, or a conflict with a concurrent change.
pub async fn withdraw(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let name = profiles::profile_name(args)?;
    let client = Client::admin(args)?;
    let base = base_version(args, &client, &name).await?;
    let change = profiles::change_id(args)?;
    let path = format!("/v1/profiles/{name}?base={base}&change={change}");
    let request = Request::empty(Method::DELETE, path);
    apply(args, format, &client, request, &change).await
}

/// Returns the version that a change is based on: from the command line, or the latest version.
async fn base_version(
    args: &ArgMatches,
    client: &Client,
    name: &ProfileName,
) -> Result<u32, Failure> {
    if let Some(base) = args.get_one::<u32>("base") {
        return Ok(*base);
    }
    let latest = profiles::latest_version(client, name).await?;
    Ok(latest.map_or(0, |v| v.version))
}

async fn apply(
    args: &ArgMatches,
    format: Format,
    client: &Client,
    request: Request<'_>,
    change: &ChangeId,
) -> Result<(), Failure> {
    let outcome = Outcome::from(send(client, request, change).await?);
    let offset = outcome.offset;
    format.print(&[outcome], |o| publish::table(o));
    if args.get_flag("wait") {
        in_force::wait(client, offset, args::duration(args, "within")?).await?;
    }
    Ok(())
}

/// Sends a change. If its outcome is unknown, it is sent again with the same change id, so that the
/// server treats it as the same change.
///
/// # Errors
///
/// Returns the refusal, a conflict, or an error if the outcome is still unknown after all attempts.
pub async fn send(
    client: &Client,
    request: Request<'_>,
    change: &ChangeId,
) -> Result<Published, Failure> {
    let mut attempts = 1;
    loop {
        let failure = match client.call(request.clone()).await {
            Ok(published) => return Ok(published),
            Err(failure) => failure,
        };
        if failure.code() != exit::OUTCOME_UNKNOWN {
            return Err(failure);
        }
        if attempts == MAX_ATTEMPTS {
            output::progress(&format!("repeat it later with --change {change}"));
            return Err(failure);
        }
        output::progress(&format!("{failure}; retrying change {change}"));
        tokio::time::sleep(RETRY_DELAY).await;
        attempts += 1;
    }
}
