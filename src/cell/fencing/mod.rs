//! Fencing tokens that tell the incarnations of a worker apart.
//!
//! A worker that starts again under its id carries out commands that were meant for its former
//! incarnation: the id is the same, and the clock on which a command expires starts anew. An owner
//! therefore uses a higher token for each incarnation. Once an incarnation has seen its token, it does
//! nothing for an earlier command, however late that arrives.

use std::fmt;

use log::{
    kv::{
        ToValue,
        Value, //
    }, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Number of bits that number the tokens of a term: enough for a change of incarnation each
/// millisecond for three days, while tokens of 30 million terms are exact in JSON.
const NUMBER_BITS: u32 = 28;

/// Fencing token: a term, and a number within it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Token(u64);

impl Token {
    /// Creates the lowest token of a term.
    #[must_use]
    pub const fn first(term: u64) -> Self {
        Self(term.saturating_mul(1 << NUMBER_BITS))
    }

    /// Term of the owner that uses the token.
    #[must_use]
    pub const fn term(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// The token as workers compare it.
    #[must_use]
    pub const fn value(self) -> u64 {
        self.0
    }
}

impl From<u64> for Token {
    fn from(value: u64) -> Self {
        Self(value)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = self.0 & ((1 << NUMBER_BITS) - 1);
        write!(f, "{}.{number}", self.term())
    }
}

impl ToValue for Token {
    fn to_value(&self) -> Value<'_> {
        Value::from_display(self)
    }
}

/// Tokens of one term in rising order.
#[derive(Debug, Clone)]
pub struct Tokens {
    next: Token,
}

impl Tokens {
    /// Tokens of `term`.
    #[must_use]
    pub fn of(term: u64) -> Self {
        Self {
            next: Token::first(term),
        }
    }
}

impl Iterator for Tokens {
    type Item = Token;

    /// Returns a token above all before it; `None` once the term has no more.
    fn next(&mut self) -> Option<Token> {
        let token = self.next;
        let next = Token(token.0.checked_add(1)?);
        // The last number is kept back, so that no token is that of a later term.
        (next.term() == token.term()).then(|| {
            self.next = next;
            token
        })
    }
}
