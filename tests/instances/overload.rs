//! Organisations at an instance: a cap that holds at the workers, and refusals of callers.

use std::{
    thread,
    time::Duration, //
};

use serde_json::json;

use super::{
    make,
    processes::{
        self,
        Instance, //
    },
    standin,
    takeover,
    workers::JobSpec, //
};

/// Cap of the organisation, in millicores.
const CAP: u32 = 2_000;

/// A caller must be told at once that its job does not run, with a time to come back; the accepted jobs
/// must stay within the cap on the workers.
#[test]
fn a_long_backlog_is_refused_and_the_cap_holds() {
    let (address, platform) = standin::start(2, 8_000);
    let config = json!({
        "version": 1,
        "routes": [{"name": "q", "host": "h", "path_prefix": "/q/", "service": "s", "target_latency_ms": 1_000}],
        "services": [{"name": "s"}],
        "tenants": [{"name": "a", "api_keys": ["key-a"], "weight": 100, "cap": {"cpu": CAP, "mem_mb": 0, "gpu": 0}}],
    });
    let mut state = platform.lock().unwrap();
    state.publish("keyed.op", "config", &config);
    state.duration = Some(200);
    state.judge.attempts = 2;
    drop(state);
    let instance = Instance::start_with_rules("overload", address, &["tenants"], &json!({}));
    takeover::wait_until("the instance is ready", || instance.is_ready());
    let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 64, "estimated_ms": 1_000});
    let body = json!({"steps": [step]}).to_string();
    let (mut accepted, mut refused) = (Vec::new(), Vec::new());
    for n in 0..60 {
        let id = format!("{n:016x}");
        let known = JobSpec {
            steps: vec![(1, 1_000, false, Vec::new())],
            accepted: true,
            cancelled: None,
        };
        let mut state = platform.lock().unwrap();
        state.judge.jobs.insert(id.clone(), known);
        drop(state);
        let post = || processes::post_with_key(instance.front, &format!("/q/{id}"), "key-a", &body);
        takeover::wait_until("the job is answered", || match post() {
            Some((200, _)) => {
                accepted.push(id.clone());
                true
            }
            Some((429, retry)) => {
                assert!((1..=5).contains(&retry.unwrap()), "{retry:?}");
                refused.push(id.clone());
                true
            }
            _ => false,
        });
    }
    assert!(!refused.is_empty(), "60 seconds of work for two cores");
    assert!(accepted.len() > 5, "{}", accepted.len());
    let shown = |id: &String| {
        let path = format!("/q/{id}");
        processes::exchange_with_key(instance.front, "GET", &path, Some("key-a"))
    };
    takeover::wait_until("all accepted jobs have ended", || {
        let state = platform.lock().unwrap();
        let used: u32 = state.machines.iter().map(|machine| machine.used()).sum();
        assert!(used <= CAP, "{used}");
        drop(state);
        thread::sleep(Duration::from_millis(5));
        let ended = |id| shown(id).is_some_and(|(_, state)| state.contains("completed"));
        accepted.last().is_some_and(&ended) && accepted.iter().all(ended)
    });
    let state = platform.lock().unwrap();
    for id in &refused {
        let task = make::task(id, 0, 0);
        assert_eq!(state.judge.starts_of(&task), 0, "{id} was refused");
    }
    assert_eq!(state.judge.violations, Vec::<String>::new());
}
