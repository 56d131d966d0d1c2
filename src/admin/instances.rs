//! Progress of a change: the number of instances on which it is in force, and the instances on
//! which it is not.

use std::time::Duration;

use actix_web::{
    HttpResponse,
    web, //
};
use futures_util::{
    StreamExt,
    stream, //
};

use crate::{
    admin::{
        AppState,
        access::Reader,
        error::ApiError, //
    },
    ids::{
        InstanceId,
        Offset,
        ZoneId, //
    },
    ledger::state::State,
    remote::{
        link::Link,
        list, //
    },
    wire::{
        admin::{
            InForce,
            InForceQuery,
            Missing,
            Progress, //
        },
        list::{
            Instance,
            Role, //
        }, //
    }, //
};

/// How long the platform's list or an instance may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of instances that are queried concurrently.
const MAX_CONCURRENT: usize = 64;

/// `GET /v1/instances/in-force`: reports on how many instances an offset of the log is applied.
pub(super) async fn in_force(
    app: web::Data<AppState>,
    query: web::Query<InForceQuery>,
    _: Reader,
) -> Result<HttpResponse, ApiError> {
    app.check_loaded().await?;
    let applied = app.ledger.read(State::next).0.saturating_sub(1);
    let offset = query.offset.unwrap_or(Offset(applied));
    let instances = entry_instances(&app).await?;
    let total = u32::try_from(instances.len()).unwrap_or(u32::MAX);
    let missing = find_missing(&app.settings.zone, offset, instances).await;
    let missing_count = u32::try_from(missing.len()).unwrap_or(u32::MAX);
    Ok(HttpResponse::Ok().json(InForce {
        offset,
        reached: total - missing_count,
        total,
        missing,
    }))
}

/// Returns the entry instances that are not gone according to the platform's list.
async fn entry_instances(app: &AppState) -> Result<Vec<Instance>, ApiError> {
    let platform = app.settings.platform.to_string();
    let link = Link::new(&platform, &app.settings.zone, TIMEOUT);
    let listing = list::read(&link, TIMEOUT).await;
    let listing = listing.map_err(|_| ApiError::unavailable("the platform's list is out"))?;
    let mut entries = listing.instances;
    entries.retain(|i| i.role == Role::Entry && i.state != crate::wire::list::State::Gone);
    Ok(entries)
}

async fn find_missing(zone: &ZoneId, offset: Offset, instances: Vec<Instance>) -> Vec<Missing> {
    let queries = instances.into_iter().map(|i| query_offset(zone, i));
    let answers: Vec<Option<Missing>> = stream::iter(queries)
        .buffer_unordered(MAX_CONCURRENT)
        .collect()
        .await;
    let is_missing = |m: &Missing| m.next.is_none_or(|next| next <= offset);
    let mut missing: Vec<Missing> = answers.into_iter().flatten().filter(is_missing).collect();
    missing.sort_by(|a, b| a.id.cmp(&b.id));
    missing
}

async fn query_offset(zone: &ZoneId, instance: Instance) -> Option<Missing> {
    let link = Link::new(&instance.address, zone, TIMEOUT);
    let answer: Result<Progress, _> = link.get("/v1/status", TIMEOUT).await;
    Some(Missing {
        id: InstanceId::try_from(instance.id).ok()?,
        zone: instance.zone,
        next: answer.ok().map(|p| p.next),
    })
}
