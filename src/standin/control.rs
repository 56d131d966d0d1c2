//! HTTP routes of the control API: switches faults and returns them and the judge's findings.

use actix_web::{
    HttpResponse,
    web, //
};

use crate::{
    ids::{
        Millis,
        Offset,
        ZoneId, //
    },
    standin::{
        command::{
            Command,
            Reached,
            RefusedWork,
            Select,
            UnknownName,
            View,
            WorkerView, //
        },
        faults,
        lock,
        shared::{
            Faults,
            Shared, //
        },
        worker::Worker, //
    },
    wire::list::State, //
};

/// Registers the routes of the control API.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("", web::post().to(command))
        .route("/state", web::get().to(state))
        .route("/judge", web::get().to(judge))
        .route("/judge/clear", web::post().to(clear))
        .route("/witness", web::post().to(witness))
        .route("/reset", web::post().to(reset));
}

async fn command(shared: web::Data<Shared>, body: web::Json<Command>) -> HttpResponse {
    log::info!(command:? = *body; "control command");
    let result = apply(&shared, &body);
    shared.changed.notify_waiters();
    match result {
        Ok(reached) => HttpResponse::Ok().json(Reached { reached }),
        Err(unknown) => HttpResponse::BadRequest().json(unknown),
    }
}

async fn state(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(view(&shared))
}

async fn judge(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared.world).judge.verdict())
}

async fn clear(shared: web::Data<Shared>) -> HttpResponse {
    lock(&shared.world).judge.clear();
    HttpResponse::NoContent().finish()
}

/// Checks that work refused as not run did not run. Returns the number of pieces that ran.
async fn witness(shared: web::Data<Shared>, body: web::Json<RefusedWork>) -> HttpResponse {
    let now = shared.now();
    let reached = lock(&shared.world).judge.check_refused(now, &body.refused);
    HttpResponse::Ok().json(Reached { reached })
}

/// Ends every reversible fault; workers that are leaving, crashed or gone stay so.
async fn reset(shared: web::Data<Shared>) -> HttpResponse {
    *lock(&shared.faults) = Faults::default();
    let now = shared.now();
    lock(&shared.list).freeze(now, false);
    for worker in &mut lock(&shared.world).workers {
        worker.set_slow(now, 100);
        worker.faults = faults::Worker::default();
    }
    shared.connections.close(|c| c.silent());
    shared.changed.notify_waiters();
    HttpResponse::NoContent().finish()
}

/// Applies a command. Returns the number of workers, instances or connections that it reached.
fn apply(shared: &Shared, command: &Command) -> Result<usize, UnknownName> {
    let now = shared.now();
    match command {
        Command::Crash { target }
        | Command::Restart { target }
        | Command::Gone { target }
        | Command::Leaving { target, .. } => change_lifecycle(shared, now, target, command),
        Command::Hang { target, on } => update(shared, target, |w| w.faults.hang = *on),
        Command::Failing { target, on } => update(shared, target, |w| w.faults.failing = *on),
        Command::Errors { target, on } => update(shared, target, |w| w.faults.errors = *on),
        Command::CutAnswers { target, on } => update(shared, target, |w| w.faults.cut = *on),
        Command::Late { target, delay } => update(shared, target, |w| w.faults.late = *delay),
        Command::Slow { target, factor } => update(shared, target, |w| w.set_slow(now, *factor)),
        Command::Silence { target } => silence(shared, target),
        Command::SilencePlatform => Ok(shared.connections.silence(|c| c.worker.is_none())),
        Command::CutZone { .. } | Command::CutPlatform { .. } | Command::CutPair { .. } => {
            cut_links(shared, command)
        }
        other => set_platform(shared, now, other),
    }
}

/// Applies commands for the log, the list and the service time.
fn set_platform(shared: &Shared, now: Millis, command: &Command) -> Result<usize, UnknownName> {
    let platform = &mut lock(&shared.faults).platform;
    match command {
        Command::Log { mode } => platform.log = *mode,
        Command::List { mode } => platform.list = *mode,
        Command::LoseAppends { count, mode } => {
            platform.lose = *count;
            platform.loss = *mode;
        }
        Command::DelayAppends { delay } => platform.delay = *delay,
        Command::FreezeList { on } => lock(&shared.list).freeze(now, *on),
        Command::ListLag { lag } => {
            lock(&shared.list).set_lag(*lag);
            lock(&shared.world).lag = *lag;
        }
        Command::Service { time } => *lock(&shared.service) = *time,
        Command::Entry { id, state, boot } => {
            if !lock(&shared.list).change(now, id.as_str(), *state, *boot) {
                return Err(unknown(id.as_str()));
            }
        }
        _ => return Ok(0),
    }
    Ok(1)
}

/// Applies commands that crash, restart, remove or drain workers, and updates the list.
fn change_lifecycle(
    shared: &Shared,
    now: Millis,
    target: &Select,
    command: &Command,
) -> Result<usize, UnknownName> {
    let selected = select(shared, target)?;
    for index in &selected {
        let mut world = lock(&shared.world);
        let worker = &mut world.workers[*index];
        let listed = match command {
            Command::Crash { .. } => {
                worker.crash(now);
                None
            }
            Command::Restart { .. } => {
                worker.restart(now);
                Some(listed_state(worker))
            }
            Command::Gone { .. } => {
                worker.crash(now);
                Some(State::Gone)
            }
            Command::Leaving { on, .. } => {
                worker.leaving = on.then_some(worker.leaving.unwrap_or(now));
                Some(listed_state(worker))
            }
            _ => None,
        };
        let (id, boot) = (worker.spec.id.clone(), worker.boot);
        drop(world);
        if let Some(state) = listed {
            lock(&shared.list).change(now, id.as_str(), state, Some(boot));
        }
    }
    if !matches!(command, Command::Leaving { .. }) {
        close(shared, &selected);
    }
    Ok(selected.len())
}

fn listed_state(worker: &Worker) -> State {
    match worker.leaving {
        Some(_) => State::Leaving,
        None => State::Live,
    }
}

/// Applies `set` to the selected workers. Returns their number.
fn update(
    shared: &Shared,
    target: &Select,
    set: impl Fn(&mut Worker),
) -> Result<usize, UnknownName> {
    let selected = select(shared, target)?;
    let world = &mut lock(&shared.world);
    for index in &selected {
        set(&mut world.workers[*index]);
    }
    Ok(selected.len())
}

fn silence(shared: &Shared, target: &Select) -> Result<usize, UnknownName> {
    let selected = select(shared, target)?;
    let wanted = |worker: Option<usize>| worker.is_some_and(|w| selected.binary_search(&w).is_ok());
    Ok(shared.connections.silence(|c| wanted(c.worker)))
}

fn close(shared: &Shared, selected: &[usize]) {
    let wanted = |worker: Option<usize>| worker.is_some_and(|w| selected.binary_search(&w).is_ok());
    shared.connections.close(|c| wanted(c.worker));
}

/// Applies commands that cut links between availability zones and to the platform.
fn cut_links(shared: &Shared, command: &Command) -> Result<usize, UnknownName> {
    let zones = shared.zones();
    let cuts = &mut lock(&shared.faults).cuts;
    match command {
        Command::CutPlatform { zone, on } => {
            cuts.set_platform(check_zone(zones, zone)?, *on);
            Ok(1)
        }
        Command::CutPair { one, other, on } => {
            cuts.set_pair(check_zone(zones, one)?, check_zone(zones, other)?, *on);
            Ok(1)
        }
        Command::CutZone { zone, on } => {
            cuts.set_platform(check_zone(zones, zone)?, *on);
            let others = zones.iter().filter(|(z, _)| z != zone);
            for (other, _) in others {
                cuts.set_pair(zone, other, *on);
            }
            Ok(zones.len())
        }
        _ => Ok(0),
    }
}

fn check_zone<'a, T>(zones: &[(ZoneId, T)], zone: &'a ZoneId) -> Result<&'a ZoneId, UnknownName> {
    match zones.binary_search_by(|z| z.0.cmp(zone)) {
        Ok(_) => Ok(zone),
        Err(_) => Err(unknown(zone.as_str())),
    }
}

/// Returns the sorted indices of the selected workers.
fn select(shared: &Shared, target: &Select) -> Result<Vec<usize>, UnknownName> {
    let zones = shared.zones();
    for zone in &target.zones {
        check_zone(zones, zone)?;
    }
    let world = lock(&shared.world);
    for id in &target.workers {
        if !world.workers.iter().any(|w| w.spec.id == *id) {
            return Err(unknown(id.as_str()));
        }
    }
    let all = target.workers.is_empty() && target.zones.is_empty();
    let wanted = |w: &Worker| {
        all || target.workers.contains(&w.spec.id) || target.zones.contains(&w.spec.zone)
    };
    let workers = world.workers.iter().enumerate();
    Ok(workers.filter(|(_, w)| wanted(w)).map(|w| w.0).collect())
}

fn unknown(name: &str) -> UnknownName {
    UnknownName { name: name.into() }
}

fn view(shared: &Shared) -> View {
    let faults = lock(&shared.faults).clone();
    let (frozen, lag) = {
        let list = lock(&shared.list);
        (list.frozen(), list.lag())
    };
    let page = lock(&shared.log).read(Offset(0), 0);
    let now = shared.now();
    let workers = &mut lock(&shared.world).workers;
    View {
        platform: faults.platform,
        cuts: faults.cuts,
        frozen,
        lag,
        first: page.first,
        next: page.next,
        service: *lock(&shared.service),
        workers: workers.iter_mut().map(|w| worker_view(w, now)).collect(),
    }
}

fn worker_view(worker: &mut Worker, now: Millis) -> WorkerView {
    let (tasks, requests) = worker.load(now);
    WorkerView {
        id: worker.spec.id.clone(),
        zone: worker.spec.zone.clone(),
        up: worker.up,
        boot: worker.boot,
        leaving: worker.leaving.is_some(),
        faults: worker.faults,
        tasks,
        requests,
    }
}
