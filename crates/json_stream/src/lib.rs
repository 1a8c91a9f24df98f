//! Where the objects on a stream of JSON end, and how deep JSON nests.
//!
//! The reader of JSON wants an object whole, and it recurses: text that nests deep enough uses up any stack, which ends the
//! program. So whoever takes JSON from outside asks here first. Nothing is read of what stands in an object; that is left to
//! the reader.

/// The deepest that arrays and objects may lie in each other. What the program reads needs six.
pub const DEEPEST: usize = 64;

/// Follows the brackets outside of strings.
#[derive(Clone, Copy, Debug, Default)]
struct Brackets {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Brackets {
    fn step(&mut self, byte: u8) {
        if self.in_string {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

/// Whether this text nests deeper than [`DEEPEST`].
pub fn nests_too_deep(json: &[u8]) -> bool {
    let mut brackets = Brackets::default();
    json.iter().any(|&byte| {
        brackets.step(byte);
        brackets.depth > DEEPEST
    })
}

/// What comes next on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A whole object, which may span lines.
    Object(Vec<u8>),
    /// A line ended with no object begun: the sender is there.
    LineEnd,
}

/// Why a stream cannot be followed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable(pub &'static str);

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Unreadable {}

/// A stream of JSON objects with blank space between them.
#[derive(Debug)]
pub struct Objects {
    bytes: Vec<u8>,
    /// How far the bytes have been looked at, and where the object in hand begins.
    at: usize,
    from: usize,
    brackets: Brackets,
    longest: usize,
}

impl Objects {
    /// A stream whose objects are no longer than this.
    pub fn new(longest: usize) -> Self {
        Self { bytes: Vec::new(), at: 0, from: 0, brackets: Brackets::default(), longest }
    }

    /// Where what comes in is appended.
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Whether an object has begun and not ended.
    pub fn is_begun(&self) -> bool {
        self.brackets.depth > 0
    }

    /// What is whole next; `None` where more must come.
    ///
    /// # Errors
    ///
    /// It is no stream of objects, or one of them is too long or too deep.
    pub fn next_item(&mut self) -> Result<Option<Item>, Unreadable> {
        while let Some(&byte) = self.bytes.get(self.at) {
            self.at += 1;
            if !self.is_begun() {
                self.from = self.at - 1;
                match byte {
                    b'{' => {}
                    b'\n' => return Ok(Some(Item::LineEnd)),
                    b' ' | b'\t' | b'\r' => continue,
                    _ => return Err(Unreadable("text that is no object")),
                }
            }
            self.brackets.step(byte);
            if self.brackets.depth > DEEPEST {
                return Err(Unreadable("an object that nests too deep"));
            }
            if self.at - self.from > self.longest {
                return Err(Unreadable("an object that is too long"));
            }
            if !self.is_begun() {
                return Ok(Some(Item::Object(self.bytes[self.from..self.at].to_vec())));
            }
        }
        // What was given out is let go of once for all.
        let kept = if self.is_begun() { self.from } else { self.at };
        self.bytes.drain(..kept);
        (self.at, self.from) = (self.at - kept, 0);
        Ok(None)
    }
}
