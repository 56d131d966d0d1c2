//! Typed identifiers and counters shared by all programs.

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

/// Longest identifier accepted, in bytes.
pub const MAX_LEN: usize = 64;

quick_error! {
    /// Why a text is not an identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text is empty or longer than [`MAX_LEN`] bytes.
        Length(found: usize) {
            display("an identifier has 1 to {} characters, found {}", MAX_LEN, found)
        }
        /// The text holds a character outside `[A-Za-z0-9._:-]`.
        Character(found: char) {
            display("an identifier holds letters, digits, '.', '_', ':' and '-', found {:?}", found)
        }
    }
}

/// Checks the common form of every identifier.
///
/// # Errors
///
/// Returns the first rule that `text` breaks.
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
            /// The identifier as text.
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
    /// One entry instance of the system. It keeps its id when its process restarts.
    InstanceId
}
text_id! {
    /// One worker of the platform.
    WorkerId
}
text_id! {
    /// An availability zone.
    ZoneId
}
text_id! {
    /// A region: a set of availability zones with cheap links between them.
    RegionId
}
text_id! {
    /// A rack of workers inside an availability zone.
    RackId
}
text_id! {
    /// The name of a profile.
    ProfileName
}
text_id! {
    /// A team that owns profiles and has a quota.
    TeamId
}
text_id! {
    /// An accepted job: a run, a gang or a service.
    RunId
}
text_id! {
    /// One request of a caller.
    RequestId
}
text_id! {
    /// A caller's idempotency key.
    IdempotencyKey
}
text_id! {
    /// The id an author gives a change, so that a lost answer can be resolved by reading back.
    ChangeId
}

macro_rules! counter {
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

counter! {
    /// The place of an entry in the platform's log; rises by one an append.
    Offset
}
counter! {
    /// A fencing token of a placement lease; rises with every new holder of a worker.
    Token
}
counter! {
    /// One life of a process: a later start of the same instance has a higher value.
    Incarnation
}
counter! {
    /// One life of a worker: a restart loses all its tasks and raises the value.
    Boot
}
counter! {
    /// A point of time or a span in milliseconds, on the clock that the context names.
    Millis
}

impl Millis {
    /// The sum, at most the largest value.
    #[must_use]
    pub fn plus(self, span: u64) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// The milliseconds from `earlier` to this point, zero when it lies before.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
