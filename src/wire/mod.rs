//! Messages that processes exchange. docs/INTERFACES.md describes the interfaces.

pub mod admin;
pub mod caller;
pub mod list;
pub mod log;
pub mod peer;
pub mod worker;

/// Header with the id of a request, on requests and responses.
pub const REQUEST_HEADER: &str = "x-bamboolock-request";

/// Header with the fencing token of the placement lease, on requests to a worker.
pub const TOKEN_HEADER: &str = "x-bamboolock-token";

/// Header with the time left until the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-bamboolock-deadline";

/// Header with the idempotency key of the caller.
pub const KEY_HEADER: &str = "idempotency-key";

/// Response header that says whether the work ran: `yes`, `no` or `unknown`.
pub const RAN_HEADER: &str = "x-bamboolock-ran";

/// Header of a worker's response with the run time, in milliseconds.
pub const TOOK_HEADER: &str = "x-bamboolock-took";

/// Header with the id of the instance that forwarded a request. A forwarded request is not
/// forwarded again.
pub const FORWARD_HEADER: &str = "x-bamboolock-forwarded";

/// Header with the availability zone of the sending entry instance, on requests to the platform
/// and to workers.
pub const ZONE_HEADER: &str = "x-bamboolock-zone";

/// Header that marks a request that must not run twice: `yes`.
pub const NONIDEMPOTENT_HEADER: &str = "x-bamboolock-nonidempotent";

/// Header with the resources that a request takes on a worker: five comma-separated numbers in the
/// order of [`crate::resources::NAMES`]. Absent for one slot and one connection.
pub const DEMAND_HEADER: &str = "x-bamboolock-demand";
