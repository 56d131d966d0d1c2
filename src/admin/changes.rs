//! Changes of profiles: checked whole, appended, and answered by the log's verdict.

use std::time::Duration;

use crate::{
    admin::{
        AppState,
        error::ApiError,
        profiles, //
    },
    diff,
    entry::refusal,
    findings::{
        self,
        Findings, //
    },
    ids::{
        ChangeId,
        ProfileName, //
    },
    ledger::{
        effect::Effect,
        record,
        state::State, //
    },
    profile::Profile,
    wire::{
        admin::{
            Conflict,
            Published, //
        },
        caller::Code, //
    }, //
};

/// How long a change waits for the log.
const WAIT: Duration = Duration::from_secs(5);

/// What is known of a change.
enum Known {
    /// Nothing yet.
    New,
    /// It was accepted.
    Accepted(Published),
    /// It lost, or cannot win any more.
    Lost(Box<Conflict>),
    /// Its id belongs to another change.
    Other,
}

/// Reads a profile body and reports all its faults.
///
/// # Errors
///
/// Returns every fault of the stage that failed first.
pub fn check(source: &str, body: &serde_json::Value) -> Result<Profile, Findings> {
    findings::from_value(source, body.clone())
}

/// Appends a change and returns the log's verdict.
///
/// # Errors
///
/// Fails when the change lost, or when the log did not confirm it in time.
pub async fn publish(app: &AppState, change: record::ProfileChange) -> Result<Published, ApiError> {
    app.may_decide().await?;
    match app.ledger.read(|state| lookup(state, &change)) {
        Known::Accepted(published) => return Ok(published),
        Known::Lost(conflict) => return Err(ApiError::Conflict(conflict)),
        Known::Other => return Err(ApiError::duplicate()),
        Known::New => {}
    }
    log::info!(
        change:% = change.change,
        profile:% = change.name,
        base = change.base,
        operator:% = change.operator;
        "change requested"
    );
    let records = vec![record::Record::Profile(change.clone())];
    let effects = app.ledger.append(records, WAIT).await?;
    decided(app, &change, &effects)
}

fn decided(
    app: &AppState,
    change: &record::ProfileChange,
    effects: &[Effect],
) -> Result<Published, ApiError> {
    let verdict = effects.iter().find_map(|e| verdict(e, &change.change));
    let Some(accepted) = verdict else {
        return Err(ApiError::internal("the log holds no verdict on the change"));
    };
    log::info!(change:% = change.change, accepted; "change decided");
    match app.ledger.read(|state| lookup(state, change)) {
        Known::Accepted(published) => Ok(published),
        Known::Lost(conflict) => Err(ApiError::Conflict(conflict)),
        Known::Other => Err(ApiError::duplicate()),
        Known::New => Err(ApiError::internal("the verdict was forgotten")),
    }
}

fn verdict(effect: &Effect, wanted: &ChangeId) -> Option<bool> {
    match effect {
        Effect::Profile {
            change, accepted, ..
        } if change == wanted => Some(*accepted),
        _ => None,
    }
}

/// What the state says of a change.
fn lookup(state: &State, change: &record::ProfileChange) -> Known {
    let Some(verdict) = state.profiles.verdict(&change.change) else {
        // Versions never fall, so a base below the newest one cannot win any more.
        let newest = state.profiles.get(&change.name).map(|n| n.version());
        return match newest.is_some_and(|n| change.base < n) {
            true => Known::Lost(Box::new(conflict(state, change))),
            false => Known::New,
        };
    };
    if !verdict.accepted {
        return Known::Lost(Box::new(conflict(state, change)));
    }
    accepted(state, change, verdict.version)
}

fn accepted(state: &State, change: &record::ProfileChange, version: u32) -> Known {
    let named = state.profiles.get(&change.name);
    let made = named.and_then(|n| n.get(version)).map(|v| &v.change);
    let Some(made) = made.filter(|m| m.change == change.change) else {
        return Known::Other;
    };
    if made.base != change.base || made.value() != change.body {
        return Known::Other;
    }
    Known::Accepted(Published {
        name: change.name.clone(),
        change: change.change.clone(),
        version,
        offset: made.offset,
    })
}

fn conflict(state: &State, change: &record::ProfileChange) -> Conflict {
    let named = state.profiles.get(&change.name);
    let winner = named.and_then(|n| n.history.last().map(|v| profiles::version(&n.name, v)));
    let differences = winner.as_ref().map(|w| diff::diff(&w.body, &change.body));
    Conflict {
        refusal: refusal::not_run(
            Code::Conflict,
            lost(&change.name, change.base, winner.as_ref()),
        ),
        winner,
        differences: differences.unwrap_or_default(),
    }
}

fn lost(name: &ProfileName, base: u32, winner: Option<&crate::wire::admin::Version>) -> String {
    match winner {
        Some(w) if w.version == base => format!("{name} has no version to withdraw"),
        Some(w) => format!(
            "{name} is at version {}, made by {} with change {}; the change was based on {base}",
            w.version, w.operator, w.change
        ),
        None => format!("{name} does not exist; the change was based on version {base}"),
    }
}
