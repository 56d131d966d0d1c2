//! Changes of profiles: each is checked, appended to the log and answered with the log's verdict.

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

/// How long a change may wait for the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a change, according to the replayed log.
enum ChangeState {
    /// The log holds no verdict on the change yet.
    New,
    /// The change was accepted.
    Accepted(Published),
    /// The change was rejected, or can no longer be accepted.
    Rejected(Box<Conflict>),
    /// The change id belongs to another change.
    IdReused,
}

/// Parses the body of a profile and reports all findings.
///
/// # Errors
///
/// Returns all findings of the first validation stage that fails.
pub fn check(source: &str, body: &serde_json::Value) -> Result<Profile, Findings> {
    findings::from_value(source, body.clone())
}

/// Appends a change and returns the log's verdict.
///
/// # Errors
///
/// Fails when the change is rejected, or when the log does not confirm the change in time.
pub async fn publish(app: &AppState, change: record::ProfileChange) -> Result<Published, ApiError> {
    app.check_complete().await?;
    match app.ledger.read(|state| lookup(state, &change)) {
        ChangeState::Accepted(published) => return Ok(published),
        ChangeState::Rejected(conflict) => return Err(ApiError::Conflict(conflict)),
        ChangeState::IdReused => return Err(ApiError::duplicate()),
        ChangeState::New => {}
    }
    log::info!(
        change:% = change.change,
        profile:% = change.name,
        base = change.base,
        operator:% = change.operator;
        "change requested"
    );
    let records = vec![record::Record::Profile(change.clone())];
    let effects = app.ledger.append(records, APPEND_TIMEOUT).await?;
    read_verdict(app, &change, &effects)
}

fn read_verdict(
    app: &AppState,
    change: &record::ProfileChange,
    effects: &[Effect],
) -> Result<Published, ApiError> {
    let verdict = effects.iter().find_map(|e| verdict_of(e, &change.change));
    let Some(accepted) = verdict else {
        return Err(ApiError::internal("the log holds no verdict on the change"));
    };
    log::info!(change:% = change.change, accepted; "change decided");
    match app.ledger.read(|state| lookup(state, change)) {
        ChangeState::Accepted(published) => Ok(published),
        ChangeState::Rejected(conflict) => Err(ApiError::Conflict(conflict)),
        ChangeState::IdReused => Err(ApiError::duplicate()),
        ChangeState::New => Err(ApiError::internal("the verdict was forgotten")),
    }
}

fn verdict_of(effect: &Effect, id: &ChangeId) -> Option<bool> {
    match effect {
        Effect::Profile {
            change, accepted, ..
        } if change == id => Some(*accepted),
        _ => None,
    }
}

/// Returns the state of a change.
fn lookup(state: &State, change: &record::ProfileChange) -> ChangeState {
    let Some(verdict) = state.profiles.verdict(&change.change) else {
        // Versions never decrease, so a change based on an older version can no longer be accepted.
        let newest = state.profiles.get(&change.name).map(|n| n.version());
        return match newest.is_some_and(|n| change.base < n) {
            true => ChangeState::Rejected(Box::new(conflict(state, change))),
            false => ChangeState::New,
        };
    };
    if !verdict.accepted {
        return ChangeState::Rejected(Box::new(conflict(state, change)));
    }
    accepted_state(state, change, verdict.version)
}

fn accepted_state(state: &State, change: &record::ProfileChange, version: u32) -> ChangeState {
    let versions = state.profiles.get(&change.name);
    let stored = versions.and_then(|n| n.get(version)).map(|v| &v.change);
    let Some(stored) = stored.filter(|m| m.change == change.change) else {
        return ChangeState::IdReused;
    };
    if stored.base != change.base || stored.value() != change.body {
        return ChangeState::IdReused;
    }
    ChangeState::Accepted(Published {
        name: change.name.clone(),
        change: change.change.clone(),
        version,
        offset: stored.offset,
    })
}

fn conflict(state: &State, change: &record::ProfileChange) -> Conflict {
    let versions = state.profiles.get(&change.name);
    let winner = versions.and_then(|n| n.history.last().map(|v| profiles::version(&n.name, v)));
    let differences = winner.as_ref().map(|w| diff::diff(&w.body, &change.body));
    Conflict {
        refusal: refusal::not_run(
            Code::Conflict,
            conflict_message(&change.name, change.base, winner.as_ref()),
        ),
        winner,
        differences: differences.unwrap_or_default(),
    }
}

fn conflict_message(
    name: &ProfileName,
    base: u32,
    winner: Option<&crate::wire::admin::Version>,
) -> String {
    match winner {
        Some(w) if w.version == base => format!("{name} has no version to withdraw"),
        Some(w) => format!(
            "{name} is at version {}, made by {} with change {}; the change was based on {base}",
            w.version, w.operator, w.change
        ),
        None => format!("{name} does not exist; the change was based on version {base}"),
    }
}
