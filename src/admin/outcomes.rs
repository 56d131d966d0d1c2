//! Outcomes of work, as input for the service-level report.

use actix_web::{
    HttpResponse,
    web, //
};
use serde::Deserialize;

use crate::{
    admin::{
        AppState,
        access::Reader,
        error::ApiError, //
    },
    ids::Millis,
    ledger::{
        profiles::Versions,
        state::State, //
    },
    report::{
        Input,
        Target, //
    }, //
};

/// Query parameters of the outcomes.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(super) struct Query {
    /// Start of the period, in milliseconds since 1970.
    #[serde(default)]
    since: Millis,
}

/// `GET /v1/outcomes`: returns counts by time window, profile and version, with the objectives of
/// the profiles.
pub(super) async fn outcomes(
    app: web::Data<AppState>,
    query: web::Query<Query>,
    _: Reader,
) -> Result<HttpResponse, ApiError> {
    app.check_loaded().await?;
    let input = app.ledger.read(|state| build_input(state, query.since));
    Ok(HttpResponse::Ok().json(input))
}

/// Builds the input of the report from the state.
fn build_input(state: &State, since: Millis) -> Input {
    let profiles = state.profiles.list().iter();
    Input {
        now: state.clock(),
        rows: state.outcomes.rows(since).collect(),
        targets: profiles.flat_map(targets).collect(),
    }
}

/// Returns the objectives of the kept versions of a profile.
fn targets(versions: &Versions) -> impl Iterator<Item = Target> + '_ {
    versions.history.iter().filter_map(|version| {
        let profile = version.profile.as_ref()?;
        Some(Target {
            profile: versions.name.clone(),
            version: version.change.version,
            share: profile.objective.share,
        })
    })
}
