//! Executes the engine's actions by requests to workers and the placement policy, and passes the
//! results back.

use std::{
    rc::Rc,
    time::Duration, //
};

use log::{
    debug,
    warn, //
};

use crate::{
    cell::{
        engine::{
            PolicyQuery,
            commands::SendError, //
        },
        job::{
            RunKey,
            WorkerKey, //
        }, //
    },
    platform::worker,
    remote::{
        link,
        uplink, //
    }, //
};

use super::{
    owner::Owner,
    peer::{
        self,
        AdviceRequest, //
    },
    relay::{
        self,
        Relayed, //
    }, //
};

/// Timeout of a start or stop request: a round trip to another region and a margin for a busy
/// worker.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout of a report request in addition to its wait.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Classifies a failed exchange by whether the request may have taken effect.
fn delivery_error(e: &link::Error) -> SendError {
    match e.may_have_applied() {
        false => SendError::Unsent,
        true => SendError::Unknown,
    }
}

/// Sends the start request of a run when the link has room for it, and passes the result to the
/// engine. While the link is full, the request goes through the instance that received the job.
pub(super) async fn start(owner: Rc<Owner>, run: RunKey) {
    let uplink = owner.shared.uplink.clone();
    let origin = owner.engine.borrow().relay_for(run);
    let via = relay::choose(&owner, origin);
    let size = match via {
        Some(_) => relay::RELAY_BYTES,
        None => owner.engine.borrow().start_size(run),
    };
    uplink.turn(uplink::Kind::Start, size).await;
    // Any time may have passed: the engine decides now whether the run may still start.
    let now = owner.now();
    let order = owner.engine.borrow_mut().start_command(run, now);
    let Some(order) = order.filter(|_| !owner.is_over()) else {
        return;
    };
    if let Some(via) = &via {
        let answer = match relay::start(&owner, via, &order).await {
            Relayed::Replied(reply) => Some(Ok(reply)),
            Relayed::Unknown => Some(Err(SendError::Relay)),
            Relayed::Unsent => None,
        };
        let now = owner.now();
        let may_start = !owner.is_over() && owner.engine.borrow().may_still_start(run, now);
        if answer.is_some() || !may_start {
            let answer = answer.unwrap_or(Err(SendError::Relay));
            owner.engine.borrow_mut().start_answered(run, answer, now);
            owner.run_actions();
            return;
        }
    }
    let link = owner.link(&order.to);
    let start = worker::StartRequest {
        task: &order.task,
        run: order.run,
        spec: &order.spec,
        expires: order.expires_at,
        token: order.token,
        checkpoint: &order.checkpoint,
        permit: &order.permit,
    };
    owner.shared.metrics.starts.inc();
    let limit = ORDER_TIMEOUT + uplink.backlog().min(ORDER_TIMEOUT);
    let answer = worker::start(&link, &order.to.worker, &start, limit).await;
    let answer = answer.map_err(|e| delivery_error(&e));
    let now = owner.now();
    owner.engine.borrow_mut().start_answered(run, answer, now);
    owner.run_actions();
}

/// Sends the stop request of a run, and passes the result to the engine.
pub(super) async fn stop(owner: Rc<Owner>, run: RunKey) {
    let now = owner.now();
    let order = owner.engine.borrow_mut().stop_command(run, now);
    let Some(order) = order.filter(|_| !owner.is_over()) else {
        return;
    };
    let link = owner.link(&order.to);
    owner.shared.metrics.stops.inc();
    let answer = worker::stop(
        &link,
        &order.to.worker,
        &order.task,
        order.run,
        order.token,
        ORDER_TIMEOUT,
    )
    .await;
    let answer = answer.map_err(|e| delivery_error(&e));
    let now = owner.now();
    owner.engine.borrow_mut().stop_answered(run, answer, now);
    owner.run_actions();
}

/// Renews the lease of a worker's runs, and passes the report to the engine.
pub(super) async fn request_report(owner: Rc<Owner>, key: WorkerKey) {
    let now = owner.now();
    let order = owner.engine.borrow_mut().poll_command(key, now);
    let Some(order) = order.filter(|_| !owner.is_over()) else {
        return;
    };
    let link = owner.link(&order.to);
    let message = worker::ReportRequest {
        token: order.token,
        acknowledged: order.acked,
        expires: order.lease_end,
        wait: order.wait,
    };
    owner.shared.metrics.reports.inc();
    let answer = worker::request_report(&link, &order.to.worker, &message, REPORT_TIMEOUT).await;
    let now = owner.now();
    {
        let mut engine = owner.engine.borrow_mut();
        if !engine.awaits_poll(key, order.sent_at) {
            return;
        }
        match answer {
            Ok(Ok(report)) => engine.apply_report(key, order.sent_at, order.acked, &report, now),
            Ok(Err(reply)) => engine.poll_refused(key, reply, now),
            Err(e) => {
                debug!(worker = order.to.worker.as_str(); "report not received: {e}");
                engine.poll_failed(key, now);
            }
        }
    }
    owner.run_actions();
}

/// Asks the placement policy through the instance that the engine chose: the one that is free
/// first.
pub(super) async fn ask_policy(owner: Rc<Owner>, question: PolicyQuery) {
    let me = &owner.shared.settings.instance;
    let through = Some(&question.proxy).filter(|i| *i != me);
    let through = through.and_then(|instance| owner.address(instance));
    let message = AdviceRequest {
        step: question.name.clone(),
        workers: question.workers.clone(),
        cost: question.cost_ms as u64,
    };
    let answer = match &through {
        None => peer::advise(&owner.shared, &message).await,
        Some(address) => {
            let limit = Duration::from_millis(question.cost_ms as u64) + peer::ADVICE_MARGIN * 2;
            peer::send(&owner.shared, address, peer::ADVISE, &message, limit).await
        }
    };
    if let Err(e) = &answer {
        warn!(step = question.name.as_str(), through = question.proxy.as_str(); "placement policy request failed: {e}");
    }
    let now = owner.now();
    owner
        .engine
        .borrow_mut()
        .policy_answered(&question, answer.as_deref().ok(), now);
    owner.run_actions();
}
