//! Typed identifiers and numbers shared by all programs.

use std::{
    fmt,
    str::FromStr, //
};

use compact_str::CompactString;
use quick_error::quick_error;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

/// Maximum length of an identifier, in bytes.
pub const MAX_LEN: usize = 64;

quick_error! {
    /// Reason why a text is not a valid identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text is empty or longer than [`MAX_LEN`] bytes.
        Length(found: usize) {
            display("an identifier has 1 to {} characters, found {}", MAX_LEN, found)
        }
        /// The text contains a character outside `[A-Za-z0-9._:-]`.
        Character(found: char) {
            display("an identifier holds letters, digits, '.', '_', ':' and '-', found {:?}", found)
        }
    }
}

/// Checks the syntax that all identifiers share.
///
/// # Errors
///
/// Returns the first rule that `text` violates.
pub fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > MAX_LEN {
        return Err(Error::Length(text.len()));
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || "._:-".contains(*c);
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(Error::Character(found)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        #[schemars(with = "String")]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(CompactString::from(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = Error;

            fn try_from(text: CompactString) -> Result<Self, Error> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id! {
    /// Id of an entry instance. The id stays the same when the process restarts.
    InstanceId
}
text_id! {
    /// Id of a worker of the platform.
    WorkerId
}
text_id! {
    /// Id of an availability zone.
    ZoneId
}
text_id! {
    /// Id of a region: a set of availability zones with cheap links between them.
    RegionId
}
text_id! {
    /// Id of a rack of workers inside an availability zone.
    RackId
}
text_id! {
    /// Name of a profile.
    ProfileName
}
text_id! {
    /// Id of a team that owns profiles and has a quota.
    TeamId
}
text_id! {
    /// Id of an accepted job: a run, a gang or a service.
    RunId
}
text_id! {
    /// Id of a request of a caller.
    RequestId
}
text_id! {
    /// Idempotency key of a caller.
    IdempotencyKey
}
text_id! {
    /// Id of a change, chosen by its author. After a lost response, the author finds the outcome by
    /// reading the log back for this id.
    ChangeId
}

macro_rules! numeric {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

numeric! {
    /// Offset of an entry in the platform's log. Each append raises the offset by one.
    Offset
}
numeric! {
    /// Fencing token of a placement lease. Each new holder of a worker gets a higher token.
    Token
}
numeric! {
    /// Incarnation of a process, from its start to its exit. A later start of the same instance has
    /// a higher value.
    Incarnation
}
numeric! {
    /// Incarnation of a worker, from its start to its exit. A restart loses all tasks of the worker
    /// and raises the value.
    WorkerIncarnation
}
numeric! {
    /// A point in time or a duration, in milliseconds, on the clock that the context names.
    Millis
}

impl Millis {
    /// Adds a duration in milliseconds, saturating at the maximum.
    #[must_use]
    pub fn plus(self, span: u64) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// Returns the milliseconds since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
