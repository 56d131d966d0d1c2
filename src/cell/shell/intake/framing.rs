//! Where the head and the body of a request end in the bytes of a connection.
//!
//! The HTTP library parses all that it is given; these scanners tell how much to give it. They are
//! lenient: malformed requests are rejected by the library.

/// Finds the end of a request's head: an empty line. Lines end with LF or CRLF.
#[derive(Debug, Clone)]
pub struct HeadScan {
    /// Number of bytes scanned.
    at: usize,
    /// Whether the request line has begun. Empty lines before it are permitted.
    begun: bool,
    /// Whether the present line is empty so far.
    empty: bool,
}

impl Default for HeadScan {
    fn default() -> Self {
        Self {
            at: 0,
            begun: false,
            empty: true,
        }
    }
}

impl HeadScan {
    /// Scans the bytes that follow those scanned before; `bytes` begins with the head. Returns the
    /// length of the head once it is complete, and then begins again.
    pub fn end(&mut self, bytes: &[u8]) -> Option<usize> {
        while let Some(byte) = bytes.get(self.at) {
            self.at += 1;
            match byte {
                b'\n' if self.begun && self.empty => {
                    return Some(std::mem::take(self).at);
                }
                b'\n' => self.empty = true,
                b'\r' => {}
                _ => {
                    self.begun = true;
                    self.empty = false;
                }
            }
        }
        None
    }
}

/// What follows in a body in chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chunk {
    /// Size of a chunk, as far as its digits are known.
    Size(u64),
    /// Rest of the line with the size.
    Extension(u64),
    /// Data of a chunk, in bytes.
    Data(u64),
    /// End of the line after the data.
    DataEnd,
    /// Lines after the last chunk; whether the present one is empty so far.
    Trailer(bool),
}

/// Rest of a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Nothing is left.
    Done,
    /// Number of bytes that are left.
    Length(u64),
    /// Chunks are left.
    Chunked(Chunk),
    /// All that follows on the connection.
    UntilEnd,
}

impl Framing {
    /// Body in chunks.
    pub const CHUNKED: Self = Self::Chunked(Chunk::Size(0));

    /// Body of a known length in bytes.
    #[must_use]
    pub fn length(bytes: u64) -> Self {
        match bytes {
            0 => Self::Done,
            bytes => Self::Length(bytes),
        }
    }

    /// Whether the body is complete.
    #[must_use]
    pub fn is_done(self) -> bool {
        self == Self::Done
    }

    /// Takes the part of `bytes` that belongs to the body and has at most `room` bytes of data.
    /// Returns its length and the number of bytes of data in it.
    pub fn accept(&mut self, bytes: &[u8], room: usize) -> (usize, usize) {
        let len = bytes.len().min(room);
        match self {
            Self::Done => (0, 0),
            Self::UntilEnd => (len, len),
            Self::Length(left) => {
                let len = len.min(usize::try_from(*left).unwrap_or(usize::MAX));
                *self = Self::length(*left - len as u64);
                (len, len)
            }
            Self::Chunked(_) => self.accept_chunks(bytes, room),
        }
    }

    fn accept_chunks(&mut self, bytes: &[u8], room: usize) -> (usize, usize) {
        let (mut at, mut data) = (0, 0);
        while let Self::Chunked(chunk) = self
            && at < bytes.len()
        {
            if let Chunk::Data(left) = chunk {
                let len = (bytes.len() - at).min(room - data);
                let len = len.min(usize::try_from(*left).unwrap_or(usize::MAX));
                if len == 0 {
                    break;
                }
                at += len;
                data += len;
                *left -= len as u64;
                if *left == 0 {
                    *chunk = Chunk::DataEnd;
                }
                continue;
            }
            *self = step(*chunk, bytes[at]);
            at += 1;
        }
        (at, data)
    }
}

/// What follows a byte outside of the data of chunks.
fn step(chunk: Chunk, byte: u8) -> Framing {
    let next = match (chunk, byte) {
        (Chunk::Size(0) | Chunk::Extension(0), b'\n') => Chunk::Trailer(true),
        (Chunk::Size(size) | Chunk::Extension(size), b'\n') => Chunk::Data(size),
        (Chunk::Size(size), b'\r') => Chunk::Size(size),
        (Chunk::Size(size), byte) => match char::from(byte).to_digit(16) {
            Some(digit) => Chunk::Size(size.saturating_mul(16).saturating_add(digit.into())),
            None => Chunk::Extension(size),
        },
        (Chunk::DataEnd, b'\n') => Chunk::Size(0),
        (Chunk::Trailer(true), b'\n') => return Framing::Done,
        (Chunk::Trailer(_), b'\n') => Chunk::Trailer(true),
        (Chunk::Trailer(empty), byte) => Chunk::Trailer(empty && byte == b'\r'),
        (chunk, _) => chunk,
    };
    Framing::Chunked(next)
}
