//! `profiles rollback` and `withdraw`, and how a change whose answer was lost is resolved.

use actix_web::http::Method;
use clap::ArgMatches;

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
        },
        profiles::{
            self,
            publish::{
                self,
                Outcome, //
            },
            show,
            waiting, //
        }, //
    },
    ids::{
        ChangeId,
        ProfileName, //
    },
    wire::admin::{
        Changed,
        Rollback, //
    }, //
};

/// Publishes an earlier version again, as a new one.
///
/// # Errors
///
/// Returns the refusal, or that a race was lost.
pub async fn rollback(args: &ArgMatches, output: Output) -> Result<(), Failure> {
    let name = profiles::named(args)?;
    let Some(version) = args.get_one::<u32>("version").copied() else {
        return Err(Failure::Usage("--version is needed".to_owned()));
    };
    let change = profiles::fresh_change()?;
    let body = Rollback {
        version,
        change: change.clone(),
    };
    let path = format!("/v1/profiles/{name}/rollback");
    let call = Call::json(Method::POST, path, &body)?;
    finish(args, output, name, call, &change).await
}

/// Withdraws a profile: no new work is admitted under it.
///
/// # Errors
///
/// Returns the refusal, or that a race was lost.
pub async fn withdraw(args: &ArgMatches, output: Output) -> Result<(), Failure> {
    let name = profiles::named(args)?;
    let change = profiles::fresh_change()?;
    let call = Call::plain(Method::DELETE, format!("/v1/profiles/{name}"));
    finish(args, output, name, call, &change).await
}

async fn finish(
    args: &ArgMatches,
    output: Output,
    name: ProfileName,
    call: Call<'_>,
    change: &ChangeId,
) -> Result<(), Failure> {
    let client = Client::admin(args)?;
    let changed = send(&client, &name, call, change).await?;
    let outcome = Outcome {
        name,
        version: changed.version,
        offset: changed.offset,
        changed: true,
    };
    output.show(&[outcome], |o| publish::table(o));
    if args.get_flag("wait") {
        let within = args::span(args, "within")?;
        waiting::in_force(&client, changed.offset, within).await?;
    }
    Ok(())
}

/// Makes a change. When its answer was lost, the history says whether it took effect.
///
/// # Errors
///
/// Returns the refusal, or that it is not known yet whether the change took effect.
pub async fn send(
    client: &Client,
    name: &ProfileName,
    call: Call<'_>,
    change: &ChangeId,
) -> Result<Changed, Failure> {
    let lost = match client.call(call).await {
        Ok(changed) => return Ok(changed),
        Err(failure) if failure.code() == crate::cli::exit::UNKNOWN => failure,
        Err(failure) => return Err(failure),
    };
    output::progress(&format!("{lost}; looking it up"));
    let found = show::versions(client, name).await.unwrap_or_default();
    let Some(made) = found.into_iter().find(|p| p.change == *change) else {
        return Err(lost);
    };
    Ok(Changed {
        version: made.version,
        offset: made.offset,
    })
}
