//! Settings of the `priority` shed plug-in.

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

/// Settings of the `priority` shed plug-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Priority {
    /// Share of the instance's queue capacity in use above which the lowest priority is refused,
    /// 0 to 1. The threshold rises linearly with the priority, to 1 for the highest.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub start: f64,
}

impl Default for Priority {
    fn default() -> Self {
        Self { start: 0.5 }
    }
}
