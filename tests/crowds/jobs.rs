//! Crowds of jobs that the owner accepts and that wait, because no worker has room for their tasks.
//! On failure, the owner runs out of memory, or spends seconds on each placement pass.

use super::{
    processes,
    site::{
        self,
        Site, //
    },
};

/// Hands in `count` jobs, cancels those that were accepted, and checks the process and an ordinary
/// job.
fn check_crowd(count: usize, body: &str) {
    let mut site = Site::start(site::MANY_DESCRIPTORS);
    let front = site.instance.front;
    let path = |n: usize| format!("/q/{:016x}", 0xB000 + n);
    let mut accepted = Vec::new();
    for n in 0..count {
        match processes::exchange(front, "POST", &path(n), body) {
            Some((200 | 504, _)) | None => accepted.push(n),
            Some((503, _)) => {}
            other => panic!("{other:?}"),
        }
        if site.instance.has_ended() {
            break;
        }
    }
    site.check();
    for n in accepted {
        let cancel = || processes::exchange(front, "DELETE", &path(n), "");
        site::wait_until("the job is cancelled", || {
            cancel().is_some_and(|(status, _)| matches!(status, 200 | 410))
        });
    }
    site.serve_job();
    site.check();
}

#[test]
fn jobs_of_many_tasks() {
    check_crowd(30, r#"{"steps":[{"count":20000,"cpu":900000}]}"#);
}

#[test]
fn jobs_of_many_steps() {
    let step = r#"{"count":1,"cpu":900000},"#.repeat(9_999);
    check_crowd(
        16,
        &format!(r#"{{"steps":[{step}{{"count":1,"cpu":900000}}]}}"#),
    );
}
