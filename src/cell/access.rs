//! Which requests of callers are admitted, by the API key that they carry.
//!
//! Handles keys that are withdrawn while an instance is cut off from the store: an instance that
//! cannot prove that its configuration is recent enough admits no key.

use sha2::{
    Digest,
    Sha256, //
};

use super::model::{
    self,
    KeyDigest, //
};

/// Time before the end of the period in which a withdrawn key may still be admitted at which an
/// unproven configuration is not used any more, in milliseconds: the way to the store and back.
const REVOCATION_MARGIN_MS: u64 = 100;

/// Rules for keys that the settings of the instance state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rules {
    /// Whether a request needs a key unless its queue is public.
    pub required: bool,
    /// Time within which a withdrawn key must be refused everywhere, in milliseconds; `None` if only
    /// instances that reach the store must refuse it.
    pub revocation: Option<u64>,
    /// Time within which a new configuration must be in force, in milliseconds.
    pub propagation: u64,
}

impl Rules {
    /// Whether a configuration that was known to be the newest `age` milliseconds ago may be too old
    /// to admit a key.
    #[must_use]
    pub fn is_outdated(&self, age: u64) -> bool {
        self.revocation
            .is_some_and(|time| age >= time.saturating_sub(REVOCATION_MARGIN_MS))
    }
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The request carries no key, or one that no organisation has.
    Unknown,
    /// The instance cannot prove that its configuration is recent enough.
    Unproven,
}

impl Denied {
    /// Name of the reason, for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Denied::Unknown => "unknown",
            Denied::Unproven => "unproven",
        }
    }
}

/// Digest of an API key, by which it is kept and looked up: the time of a lookup says nothing about
/// the keys.
#[must_use]
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

/// Organisation on whose behalf a request is made; empty for a request without one. The configuration
/// was known to be the newest `age` milliseconds ago.
///
/// # Errors
///
/// Returns why the request is not admitted.
pub fn check<'a>(
    catalog: &'a model::Catalog,
    queue: &model::Queue,
    key: Option<&str>,
    rules: &Rules,
    age: u64,
) -> Result<&'a str, Denied> {
    if !rules.required && catalog.keys.is_empty() || catalog.is_public(&queue.name) {
        return Ok("");
    }
    if rules.is_outdated(age) {
        return Err(Denied::Unproven);
    }
    let known = key.and_then(|key| catalog.organisation(&digest(key)));
    match known {
        Some(organisation) => Ok(organisation.name.as_str()),
        // A key that was added since may not have arrived.
        None if key.is_some() && age >= rules.propagation => Err(Denied::Unproven),
        None => Err(Denied::Unknown),
    }
}
