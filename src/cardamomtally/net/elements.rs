//! Cuts the elements of an array in a JSON document apart without decoding them.
//!
//! A decoder that reads a document as a whole fails for all of it if one element cannot be
//! read. The scanner looks at brackets, strings and escapes only, in one pass and without
//! recursion, and holds at most one element. Each element can then be decoded on its own.
//!
//! Bytes of an element that are no JSON stay within it, as long as its brackets and quotes
//! balance. If they do not, its end cannot be told, and the document counts as cut short.

use std::fmt;

/// Largest part of a document around the elements, in bytes.
const MAX_REST_BYTES: usize = 64 << 10;

/// Bounds on one element. Elements beyond them are not passed on.
#[derive(Clone, Copy, Debug)]
pub struct ElementLimits {
    /// Greatest length in bytes.
    pub bytes: usize,
    /// Greatest number of brackets that are open at once.
    pub depth: usize,
}

/// Bound that an element exceeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Excess {
    /// It is too long.
    Length,
    /// It is nested too deeply.
    Depth,
}

/// Why a document cannot be cut into elements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScanError {
    /// It ends within the array.
    CutShort,
    /// Too much surrounds the array.
    LongRest,
    /// The document has no such array, or has two.
    NotOne,
}

impl fmt::Display for ScanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CutShort => f.write_str("it ends within the list, or a bracket is left open"),
            Self::LongRest => write!(f, "its part around the list exceeds {MAX_REST_BYTES} bytes"),
            Self::NotOne => f.write_str("it holds no list, or more than one"),
        }
    }
}

impl std::error::Error for ScanError {}

/// Tells which bytes belong to strings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Text {
    #[default]
    Outside,
    Inside,
    Escaped,
}

impl Text {
    /// Takes the next byte. Returns whether it lies outside of all strings, quotes included.
    fn take(&mut self, byte: u8) -> bool {
        let before = *self;
        *self = match (before, byte) {
            (Self::Outside, b'"') | (Self::Escaped, _) => Self::Inside,
            (Self::Inside, b'"') => Self::Outside,
            (Self::Inside, b'\\') => Self::Escaped,
            (same, _) => same,
        };
        before == Self::Outside && *self == Self::Outside
    }
}

/// Cuts one array into its elements. The document arrives in pieces.
#[derive(Debug)]
pub struct ElementScanner {
    /// Name of the array in the outermost object, in quotes. If there is none, the document
    /// itself is the array.
    name: Option<Vec<u8>>,
    limits: ElementLimits,
    text: Text,
    within: bool,
    /// Number of arrays with this name that were opened.
    count: usize,
    outer: Outer,
    element: Element,
}

/// The document without the elements.
#[derive(Debug, Default)]
struct Outer {
    rest: Vec<u8>,
    depth: usize,
    /// Where a string of the outermost object began that may be a key.
    key: Option<usize>,
    expects_key: bool,
    /// Whether the key before is the name of the array.
    is_named: bool,
}

/// The element that is read.
#[derive(Debug, Default)]
struct Element {
    bytes: Vec<u8>,
    depth: usize,
    excess: Option<Excess>,
    /// Whether an element must follow, because a comma was read.
    is_due: bool,
}

impl ElementScanner {
    /// Builds a scanner of the array with this name in the outermost object, or of a document
    /// that is an array if there is no name. The name must be written without escapes in the
    /// document.
    #[must_use]
    pub fn new(name: Option<&str>, limits: ElementLimits) -> Self {
        Self {
            name: name.map(|name| format!("\"{name}\"").into_bytes()),
            limits,
            text: Text::default(),
            within: false,
            count: 0,
            outer: Outer::default(),
            element: Element::default(),
        }
    }

    /// Reads the next bytes of the document, and passes each element that ends in them to
    /// `each`.
    ///
    /// # Errors
    ///
    /// Returns an error if too much surrounds the array.
    pub fn push(
        &mut self,
        bytes: &[u8],
        mut each: impl FnMut(Result<&[u8], Excess>),
    ) -> Result<(), ScanError> {
        for &byte in bytes {
            let structural = self.text.take(byte);
            if !self.within {
                self.within = self
                    .outer
                    .take(byte, structural, self.text, self.name.as_deref())?;
                self.count += usize::from(self.within);
                continue;
            }
            let at_end = structural && self.element.depth == 0 && matches!(byte, b',' | b']');
            if !at_end {
                self.element.take(byte, structural, self.limits);
                continue;
            }
            if byte == b',' || self.element.is_due || !self.element.bytes.is_empty() {
                each(self.element.excess.map_or(Ok(&*self.element.bytes), Err));
            }
            self.element.bytes.clear();
            self.element.excess = None;
            self.element.is_due = byte == b',';
            if byte == b']' {
                self.within = false;
                self.outer.rest.push(byte);
            }
        }
        Ok(())
    }

    /// Returns the document with an empty array in the place of the one that was cut.
    ///
    /// # Errors
    ///
    /// Returns an error if the document ends within the array, or if it has none or several.
    pub fn finish(self) -> Result<Vec<u8>, ScanError> {
        if self.within {
            return Err(ScanError::CutShort);
        }
        if self.count != 1 {
            return Err(ScanError::NotOne);
        }
        Ok(self.outer.rest)
    }
}

impl Outer {
    /// Takes a byte. Returns whether it opens the array with this name.
    fn take(
        &mut self,
        byte: u8,
        structural: bool,
        text: Text,
        name: Option<&[u8]>,
    ) -> Result<bool, ScanError> {
        if self.rest.len() >= MAX_REST_BYTES {
            return Err(ScanError::LongRest);
        }
        self.rest.push(byte);
        if !structural {
            self.take_text(text, name);
            return Ok(false);
        }
        match byte {
            b'[' if self.depth == 1 && self.is_named => return Ok(true),
            b'[' if self.depth == 0 && name.is_none() => return Ok(true),
            b'{' | b'[' => {
                self.depth += 1;
                self.expects_key = self.depth == 1 && byte == b'{';
            }
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            b',' if self.depth == 1 => {
                self.expects_key = true;
                self.is_named = false;
            }
            _ => {}
        }
        Ok(false)
    }

    /// Notes where a key begins, and whether it is the name of the array.
    fn take_text(&mut self, text: Text, name: Option<&[u8]>) {
        if !self.expects_key {
            return;
        }
        let start = *self.key.get_or_insert(self.rest.len() - 1);
        if text == Text::Outside {
            self.is_named = name == Some(&self.rest[start..]);
            self.expects_key = false;
            self.key = None;
        }
    }
}

impl Element {
    fn take(&mut self, byte: u8, structural: bool, limits: ElementLimits) {
        if structural {
            match byte {
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                b' ' | b'\n' | b'\r' | b'\t' if self.bytes.is_empty() => return,
                _ => {}
            }
        }
        if self.depth > limits.depth {
            self.excess = Some(Excess::Depth);
        }
        if self.bytes.len() < limits.bytes {
            self.bytes.push(byte);
        } else {
            self.excess.get_or_insert(Excess::Length);
        }
    }
}
