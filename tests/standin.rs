//! Contract tests of the stand-in: behaviour of the platform and the backend servers, with and
//! without faults.

#![expect(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

#[path = "standin/client.rs"]
mod client;
#[path = "standin/faults.rs"]
mod faults;
#[path = "standin/judge.rs"]
mod judge;
#[path = "standin/lease.rs"]
mod lease;
#[path = "standin/list.rs"]
mod list;
#[path = "standin/log.rs"]
mod log;
#[path = "standin/page.rs"]
mod page;
#[path = "standin/platform.rs"]
mod platform;
#[path = "standin/serve.rs"]
mod serve;
#[path = "standin/tasks.rs"]
mod tasks;
