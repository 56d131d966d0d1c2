//! The messages that processes exchange. docs/INTERFACES.md describes them in words.

pub mod admin;
pub mod caller;
pub mod list;
pub mod log;
pub mod peer;
pub mod worker;

/// Header that carries a request's id in both directions.
pub const REQUEST_HEADER: &str = "x-bamboolock-request";

/// Header that carries the fencing token of the placement lease to a worker.
pub const TOKEN_HEADER: &str = "x-bamboolock-token";

/// Header that carries the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-bamboolock-deadline";

/// Header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header of an answer that says whether the work ran: `yes`, `no` or `unknown`.
pub const RAN_HEADER: &str = "x-bamboolock-ran";

/// Header by which a worker's answer reports the run time it took, in milliseconds.
pub const TOOK_HEADER: &str = "x-bamboolock-took";

/// Header that names the instance which forwarded a request; a forwarded request stays there.
pub const FORWARD_HEADER: &str = "x-bamboolock-forwarded";

/// Header by which an entry instance declares its availability zone to platform and workers.
pub const ZONE_HEADER: &str = "x-bamboolock-zone";

/// Header that marks a request which must not run twice: `yes`.
pub const NONIDEMPOTENT_HEADER: &str = "x-bamboolock-nonidempotent";

/// Header that tells a worker what a request takes: five numbers with commas between, in the order
/// of [`crate::resources::NAMES`]. Absent: one slot and one connection.
pub const DEMAND_HEADER: &str = "x-bamboolock-demand";
