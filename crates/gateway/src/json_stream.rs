//! Streaming parser of consecutive JSON objects that arrive in arbitrary pieces and each contain
//! one array of any length. The array's elements are passed on one by one, so that neither an
//! object's bytes nor a tree of them are ever held whole.

/// Limits on what is buffered of an object: one element, and the envelope, which is everything
/// around the elements.
pub const MAX_ELEMENT_LEN: usize = 64 << 10;
pub const MAX_ENVELOPE_LEN: usize = 16 << 10;
/// Maximum nesting depth.
pub const MAX_DEPTH: usize = 32;

/// Why an object is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectError {
    /// Not a JSON object of the expected format.
    Malformed,
    /// An element or the envelope exceeds its limit.
    ElementTooLong,
    EnvelopeTooLong,
    TooDeep,
    /// The elements together exceed their memory limit.
    ListTooLong,
}

impl ObjectError {
    /// The reason code for the log.
    pub fn reason(self) -> &'static str {
        match self {
            ObjectError::Malformed => "garbled-object",
            ObjectError::ElementTooLong => "entry-too-long",
            ObjectError::EnvelopeTooLong => "object-too-long",
            ObjectError::TooDeep => "object-too-deep",
            ObjectError::ListTooLong => "list-too-long",
        }
    }
}

/// A complete part of an object.
#[derive(Debug)]
pub enum ObjectPart<'a> {
    /// An element of the array; only its brackets and quotes have been checked.
    Element(&'a [u8]),
    /// The end of the object: all of it without the array's elements, checked no further either.
    Envelope(&'a [u8]),
}

/// Position of the next byte in the structure of an object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// Between two objects.
    #[default]
    Between,
    Envelope,
    /// In the array: before the first element, after a comma, or after an element, where only a
    /// comma or the end is allowed.
    FirstElement,
    NextElement,
    AfterElement,
    Element,
}

/// State of open brackets and strings.
#[derive(Debug, Default)]
struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    /// Takes one byte. A control character in a string means that the object was cut off.
    fn feed(&mut self, byte: u8) -> Result<(), ObjectError> {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string && byte < b' ' => return Err(ObjectError::Malformed),
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.checked_sub(1).ok_or(ObjectError::Malformed)?,
            _ => {}
        }
        if self.depth > MAX_DEPTH { Err(ObjectError::TooDeep) } else { Ok(()) }
    }
}

/// Splits objects whose array is stored under a given key, wherever among the object's keys it
/// stands.
#[derive(Debug)]
pub struct ObjectStream {
    /// The array's key, in quotes.
    quoted_key: String,
    position: Position,
    nesting: Nesting,
    /// Bytes received so far of the current object without its elements, and of the current
    /// element.
    envelope: Vec<u8>,
    element: Vec<u8>,
    /// The array has been found in this object.
    array_seen: bool,
}

impl ObjectStream {
    /// Creates a parser for objects whose array is stored under this key.
    pub fn new(key: &str) -> Self {
        ObjectStream {
            quoted_key: format!("\"{key}\""),
            position: Position::default(),
            nesting: Nesting::default(),
            envelope: Vec::new(),
            element: Vec::new(),
            array_seen: false,
        }
    }

    /// Whether an object has begun and not ended.
    pub fn is_in_object(&self) -> bool {
        self.position != Position::Between
    }

    /// Passes on each complete part. No more data may be fed after an error.
    pub fn feed(
        &mut self,
        mut data: &[u8],
        mut on_part: impl FnMut(ObjectPart) -> Result<(), ObjectError>,
    ) -> Result<(), ObjectError> {
        while let Some((byte, rest)) = data.split_first() {
            match self.position {
                Position::Element => {
                    data = self.feed_element(data, &mut on_part)?;
                    continue;
                }
                Position::Envelope => self.feed_envelope(*byte, &mut on_part)?,
                _ if byte.is_ascii_whitespace() => {}
                Position::Between if *byte == b'{' => {
                    self.position = Position::Envelope;
                    self.feed_envelope(*byte, &mut on_part)?;
                }
                Position::FirstElement | Position::NextElement if *byte == b'{' => {
                    self.position = Position::Element;
                    continue;
                }
                Position::AfterElement if *byte == b',' => self.position = Position::NextElement,
                Position::FirstElement | Position::AfterElement if *byte == b']' => {
                    self.position = Position::Envelope;
                    self.feed_envelope(*byte, &mut on_part)?;
                }
                _ => return Err(ObjectError::Malformed),
            }
            data = rest;
        }
        Ok(())
    }

    /// Takes the available bytes of an element and returns the data behind them.
    fn feed_element<'a>(
        &mut self,
        data: &'a [u8],
        on_part: &mut impl FnMut(ObjectPart) -> Result<(), ObjectError>,
    ) -> Result<&'a [u8], ObjectError> {
        // An element is nested in the object and its array.
        let array_depth = 2;
        let mut end = None;
        for (index, byte) in data.iter().enumerate() {
            self.nesting.feed(*byte)?;
            if self.nesting.depth == array_depth {
                end = Some(index + 1);
                break;
            }
        }
        let (part, rest) = data.split_at(end.unwrap_or(data.len()));
        if self.element.len() + part.len() > MAX_ELEMENT_LEN {
            return Err(ObjectError::ElementTooLong);
        }
        if end.is_none() {
            self.element.extend_from_slice(part);
            return Ok(rest);
        }
        self.position = Position::AfterElement;
        if self.element.is_empty() {
            on_part(ObjectPart::Element(part))?;
        } else {
            self.element.extend_from_slice(part);
            on_part(ObjectPart::Element(&self.element))?;
            self.element.clear();
        }
        Ok(rest)
    }

    /// Takes a byte of the envelope.
    fn feed_envelope(
        &mut self,
        byte: u8,
        on_part: &mut impl FnMut(ObjectPart) -> Result<(), ObjectError>,
    ) -> Result<(), ObjectError> {
        let opens_array =
            byte == b'[' && !self.nesting.in_string && self.nesting.depth == 1 && self.ends_with_array_key();
        self.nesting.feed(byte)?;
        self.push_envelope_byte(byte)?;
        if opens_array {
            if std::mem::replace(&mut self.array_seen, true) {
                return Err(ObjectError::Malformed);
            }
            self.position = Position::FirstElement;
        } else if self.nesting.depth == 0 {
            if !std::mem::take(&mut self.array_seen) {
                return Err(ObjectError::Malformed);
            }
            self.position = Position::Between;
            on_part(ObjectPart::Envelope(&self.envelope))?;
            self.envelope.clear();
        }
        Ok(())
    }

    /// Stores a byte of the envelope; a run of white space outside strings is stored as one byte.
    fn push_envelope_byte(&mut self, byte: u8) -> Result<(), ObjectError> {
        let is_blank = |byte: u8| byte.is_ascii_whitespace();
        if is_blank(byte)
            && !self.nesting.in_string
            && self.envelope.last().is_some_and(|last| is_blank(*last))
        {
            return Ok(());
        }
        if self.envelope.len() >= MAX_ENVELOPE_LEN {
            return Err(ObjectError::EnvelopeTooLong);
        }
        self.envelope.push(byte);
        Ok(())
    }

    /// Whether the envelope ends with the array's key. A quote inside a string is preceded by a
    /// backslash, so a string that merely ends like the key does not match.
    fn ends_with_array_key(&self) -> bool {
        let key = self.envelope.trim_ascii_end().strip_suffix(b":").map(<[u8]>::trim_ascii_end);
        let prefix = key.and_then(|key| key.strip_suffix(self.quoted_key.as_bytes()));
        prefix.is_some_and(|prefix| matches!(prefix.trim_ascii_end().last(), Some(b'{' | b',')))
    }
}
