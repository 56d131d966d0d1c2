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
    /// How full the instance is with waiting requests when the lowest priority is refused, 0 to 1.
    /// The highest priority is refused when it is full.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub start: f64,
}

impl Default for Priority {
    fn default() -> Self {
        Self { start: 0.5 }
    }
}
