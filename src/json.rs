//! Splits JSON text into its parts without decoding them, so that a malformed part does not spoil
//! the others.
//!
//! The parts are found by an iterative scan: neither deep nesting nor a number out of range is an
//! error until the part is decoded.

use serde::{
    Deserialize,
    de::{
        Error as _,
        IgnoredAny, //
    }, //
};
use serde_json::Error;

/// Text that has not been split yet.
struct Scanner<'a> {
    rest: &'a [u8],
}

impl<'a> Scanner<'a> {
    /// Skips white space; returns the next byte without taking it.
    fn peek(&mut self) -> Option<u8> {
        self.rest = self.rest.trim_ascii_start();
        self.rest.first().copied()
    }

    /// Takes the next byte if it is `byte`; returns whether it was.
    fn accept(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        if found {
            self.rest = &self.rest[1..];
        }
        found
    }

    fn expect(&mut self, byte: u8) -> Result<(), Error> {
        match self.accept(byte) {
            true => Ok(()),
            false => Err(Error::custom(format!("expected {:?}", char::from(byte)))),
        }
    }

    /// Takes the text of the next value.
    fn value(&mut self) -> Result<&'a [u8], Error> {
        self.peek();
        let mut values = serde_json::Deserializer::from_slice(self.rest).into_iter::<IgnoredAny>();
        if values.next().transpose()?.is_none() {
            return Err(Error::custom("expected a value"));
        }
        let (value, rest) = self.rest.split_at(values.byte_offset());
        self.rest = rest;
        Ok(value)
    }

    /// Takes the parts of an array or an object, which ends with `close`.
    fn parts<T>(
        mut self,
        (open, close): (u8, u8),
        mut part: impl FnMut(&mut Self) -> Result<T, Error>,
    ) -> Result<Vec<T>, Error> {
        self.expect(open)?;
        let mut parts = Vec::new();
        if !self.accept(close) {
            parts.push(part(&mut self)?);
            while self.accept(b',') {
                parts.push(part(&mut self)?);
            }
            self.expect(close)?;
        }
        match self.peek() {
            None => Ok(parts),
            Some(_) => Err(Error::custom("text after the end")),
        }
    }
}

/// Returns the texts of the elements of an array.
///
/// # Errors
///
/// Fails if `text` is no array.
pub fn elements(text: &[u8]) -> Result<Vec<&[u8]>, Error> {
    Scanner { rest: text }.parts((b'[', b']'), Scanner::value)
}

/// Fields of an object, each with the text of its value.
pub struct Fields<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Fields<'a> {
    /// Splits an object.
    ///
    /// # Errors
    ///
    /// Fails if `text` is no object.
    pub fn new(text: &'a [u8]) -> Result<Self, Error> {
        let field = |scanner: &mut Scanner<'a>| {
            let name = scanner.value()?;
            scanner.expect(b':')?;
            Ok((name, scanner.value()?))
        };
        Scanner { rest: text }.parts((b'{', b'}'), field).map(Self)
    }

    /// Returns the text of a field's value. `name` needs no escapes in JSON.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&'a [u8]> {
        let named = |field: &&(&[u8], &[u8])| {
            let inner = field.0.strip_prefix(b"\"");
            inner.and_then(|inner| inner.strip_suffix(b"\"")) == Some(name.as_bytes())
        };
        self.0.iter().rev().find(named).map(|(_, value)| *value)
    }

    /// Decodes a field.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing or has another type.
    pub fn get<T: Deserialize<'a>>(&self, name: &str) -> Result<T, Error> {
        let Some(text) = self.text(name) else {
            return Err(Error::custom(format!("field {name} is missing")));
        };
        serde_json::from_slice(text).map_err(|e| Error::custom(format!("field {name}: {e}")))
    }
}

/// Decodes the element of a row at `column`.
///
/// # Errors
///
/// Fails if the row has too few columns, or the element has another type.
pub fn column<'a, T: Deserialize<'a>>(row: &[&'a [u8]], column: usize) -> Result<T, Error> {
    let Some(text) = row.get(column) else {
        return Err(Error::custom(format!("column {column} is missing")));
    };
    serde_json::from_slice(text).map_err(|e| Error::custom(format!("column {column}: {e}")))
}
