//! HTTP handlers for profiles.

use actix_web::{
    HttpResponse,
    web, //
};
use bytes::Bytes;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;

use crate::{
    admin::{
        AppState,
        access::{
            Operator,
            Reader, //
        },
        changes,
        error::ApiError, //
    },
    diff,
    findings::{
        self,
        Check,
        Findings, //
    },
    ids::ProfileName,
    ledger::{
        profiles,
        record, //
    },
    wire::admin, //
};

type HandlerResult = Result<HttpResponse, ApiError>;

/// `GET /v1/profiles`: lists all profiles.
pub(super) async fn list(app: web::Data<AppState>, _: Reader) -> HandlerResult {
    app.check_loaded().await?;
    let all: Vec<admin::Summary> = app.ledger.read(|state| {
        let list = state.profiles.list().iter();
        list.filter_map(summary).collect()
    });
    Ok(HttpResponse::Ok().json(all))
}

/// `GET /v1/profiles/{name}`: returns the latest version of a profile and the version in force.
pub(super) async fn show(
    app: web::Data<AppState>,
    path: web::Path<String>,
    _: Reader,
) -> HandlerResult {
    app.check_loaded().await?;
    let name = parse_name(&path)?;
    let found = app.ledger.read(|state| {
        let versions = state.profiles.get(&name)?;
        Some(admin::Profile {
            effective: versions.current().map(|v| v.change.version),
            latest: version(&name, versions.history.last()?),
        })
    });
    let found = found.ok_or_else(|| unknown_profile(&name))?;
    Ok(HttpResponse::Ok().json(found))
}

/// `GET /v1/profiles/{name}/history`: returns the kept versions, oldest first.
pub(super) async fn history(
    app: web::Data<AppState>,
    path: web::Path<String>,
    _: Reader,
) -> HandlerResult {
    app.check_loaded().await?;
    let name = parse_name(&path)?;
    let versions: Option<Vec<admin::Version>> = app.ledger.read(|state| {
        let versions = state.profiles.get(&name)?.history.iter();
        Some(versions.map(|v| version(&name, v)).collect())
    });
    let versions = versions.ok_or_else(|| unknown_profile(&name))?;
    Ok(HttpResponse::Ok().json(versions))
}

/// `POST /v1/profiles/check`: returns all findings about a profile.
pub(super) async fn check(_: Reader, body: Bytes) -> HandlerResult {
    let found = match parse_json("profile", &body) {
        Ok(value) => changes::check("profile", &value).err(),
        Err(findings) => Some(findings),
    };
    Ok(HttpResponse::Ok().json(found.unwrap_or_default()))
}

/// `POST /v1/profiles/{name}/diff`: returns the differences between a proposed profile and the
/// latest version.
pub(super) async fn compare(
    app: web::Data<AppState>,
    path: web::Path<String>,
    _: Reader,
    body: Bytes,
) -> HandlerResult {
    app.check_loaded().await?;
    let name = parse_name(&path)?;
    let proposed = parse_json("profile", &body).map_err(ApiError::bad_input)?;
    let (version, current) = app.ledger.read(|state| {
        let last = state.profiles.get(&name).and_then(|n| n.history.last());
        last.map_or((0, serde_json::Value::Null), |v| {
            (v.change.version, v.change.value())
        })
    });
    Ok(HttpResponse::Ok().json(admin::Diff {
        version,
        differences: diff::diff(&current, &proposed),
    }))
}

/// `PUT /v1/profiles/{name}`: publishes a profile.
pub(super) async fn publish(
    app: web::Data<AppState>,
    path: web::Path<String>,
    operator: Operator,
    body: Bytes,
) -> HandlerResult {
    let name = parse_name(&path)?;
    let publish: admin::Publish = read_body(&body)?;
    changes::check("/body", &publish.body).map_err(ApiError::bad_input)?;
    let change = record::ProfileChange {
        change: publish.change,
        name,
        base: publish.base,
        body: publish.body,
        operator: operator.name,
    };
    apply(&app, change).await
}

/// `POST /v1/profiles/{name}/rollback`: publishes the body of an earlier version again.
pub(super) async fn roll_back(
    app: web::Data<AppState>,
    path: web::Path<String>,
    operator: Operator,
    body: Bytes,
) -> HandlerResult {
    app.check_loaded().await?;
    let name = parse_name(&path)?;
    let wanted: admin::Rollback = read_body(&body)?;
    let version = wanted.version;
    let kept = app.ledger.read(|state| {
        let version = state.profiles.get(&name)?.get(version)?;
        Some(version.change.value())
    });
    let missing = || ApiError::not_found(format!("{name} has no kept version {version}"));
    let body = kept.ok_or_else(missing)?;
    changes::check("version", &body).map_err(ApiError::bad_input)?;
    let change = record::ProfileChange {
        change: wanted.change,
        name: name.clone(),
        base: wanted.base,
        body,
        operator: operator.name,
    };
    apply(&app, change).await
}

/// `DELETE /v1/profiles/{name}`: withdraws a profile.
pub(super) async fn withdraw(
    app: web::Data<AppState>,
    path: web::Path<String>,
    operator: Operator,
    query: web::Query<admin::WithdrawQuery>,
) -> HandlerResult {
    let name = parse_name(&path)?;
    let query = query.into_inner();
    let change = record::ProfileChange {
        change: query.change,
        name,
        base: query.base,
        body: serde_json::Value::Null,
        operator: operator.name,
    };
    apply(&app, change).await
}

async fn apply(app: &AppState, change: record::ProfileChange) -> HandlerResult {
    let published = changes::publish(app, change).await?;
    Ok(HttpResponse::Ok().json(published))
}

fn summary(versions: &profiles::Versions) -> Option<admin::Summary> {
    let last = &versions.history.last()?.change;
    Some(admin::Summary {
        name: versions.name.clone(),
        effective: versions.current().map(|v| v.change.version),
        version: last.version,
        operator: last.operator.clone(),
        at: last.at,
    })
}

/// Converts a version to its representation in the API.
pub(super) fn version(name: &ProfileName, version: &profiles::Version) -> admin::Version {
    let change = &version.change;
    admin::Version {
        name: name.clone(),
        version: change.version,
        base: change.base,
        change: change.change.clone(),
        operator: change.operator.clone(),
        at: change.at,
        offset: change.offset,
        readable: version.profile.is_some() || change.withdrawn(),
        body: change.value(),
    }
}

fn parse_name(path: &str) -> Result<ProfileName, ApiError> {
    path.parse().map_err(|e: crate::ids::Error| {
        let mut found = Findings::default();
        found.add("request", "/name", e.to_string(), "");
        ApiError::bad_input(found)
    })
}

fn unknown_profile(name: &ProfileName) -> ApiError {
    ApiError::not_found(format!("no profile is named {name}"))
}

fn read_body<T: Check + DeserializeOwned + JsonSchema>(body: &Bytes) -> Result<T, ApiError> {
    let value = parse_json("request", body).map_err(ApiError::bad_input)?;
    findings::from_value("request", value).map_err(ApiError::bad_input)
}

fn parse_json(source: &str, body: &Bytes) -> Result<serde_json::Value, Findings> {
    serde_json::from_slice(body).map_err(|e| {
        let mut found = Findings::default();
        let place = format!("line {} column {}", e.line(), e.column());
        found.add(source, &place, e.to_string(), "the body must be JSON");
        found
    })
}
