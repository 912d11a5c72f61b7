//! JSON objects that come in any pieces, one behind the other, each with one array that may be of any length: its elements
//! are handed on one by one, so that neither the object's bytes nor a tree of them are ever held whole.

/// What of an object is held at most: one element, and all that stands around the elements.
pub const MAX_ELEMENT_LEN: usize = 64 << 10;
pub const MAX_ENVELOPE_LEN: usize = 16 << 10;
/// So many brackets may be open at once.
pub const MAX_DEPTH: usize = 32;

/// Why an object can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectError {
    /// It is no JSON object of the form that is asked for.
    Malformed,
    /// One element, or what stands around the elements, is longer than its bound.
    ElementTooLong,
    EnvelopeTooLong,
    TooDeep,
    /// All elements together take more memory than they may.
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

/// A part of an object that is whole.
#[derive(Debug)]
pub enum ObjectPart<'a> {
    /// An element of the array; only the pairing of brackets and quotes has been looked at.
    Element(&'a [u8]),
    /// The object's end: the whole of it but for the array's elements, and looked at no further either.
    Envelope(&'a [u8]),
}

/// Where the next byte stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    Between,
    Envelope,
    /// In the array, where an element may begin: as the first, behind a comma; or where only a comma or the end may come.
    FirstElement,
    NextElement,
    AfterElement,
    Element,
}

/// Brackets and quotes that are open.
#[derive(Debug, Default)]
struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    /// Takes one byte. Strings hold no bare line ends: one tells of an object that was cut short.
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

/// Takes objects apart whose array stands under one name, wherever among the object's keys.
#[derive(Debug)]
pub struct ObjectStream {
    /// The array's name as it is written, in quotes.
    quoted_key: String,
    position: Position,
    nesting: Nesting,
    /// What has come so far of the object at hand without its elements, and of the element at hand.
    envelope: Vec<u8>,
    element: Vec<u8>,
    /// The array has been met in this object.
    array_seen: bool,
}

impl ObjectStream {
    /// For objects whose array stands under this name.
    pub fn new(name: &str) -> Self {
        ObjectStream {
            quoted_key: format!("\"{name}\""),
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

    /// Hands on each part that is whole. After a fault nothing more may be fed.
    pub fn feed(
        &mut self,
        mut data: &[u8],
        mut found: impl FnMut(ObjectPart) -> Result<(), ObjectError>,
    ) -> Result<(), ObjectError> {
        while let Some((byte, rest)) = data.split_first() {
            match self.position {
                Position::Element => {
                    data = self.feed_element(data, &mut found)?;
                    continue;
                }
                Position::Envelope => self.feed_envelope(*byte, &mut found)?,
                _ if byte.is_ascii_whitespace() => {}
                Position::Between if *byte == b'{' => {
                    self.position = Position::Envelope;
                    self.feed_envelope(*byte, &mut found)?;
                }
                Position::FirstElement | Position::NextElement if *byte == b'{' => {
                    self.position = Position::Element;
                    continue;
                }
                Position::AfterElement if *byte == b',' => self.position = Position::NextElement,
                Position::FirstElement | Position::AfterElement if *byte == b']' => {
                    self.position = Position::Envelope;
                    self.feed_envelope(*byte, &mut found)?;
                }
                _ => return Err(ObjectError::Malformed),
            }
            data = rest;
        }
        Ok(())
    }

    /// Takes what there is of an element; what stands behind it is told back.
    fn feed_element<'a>(
        &mut self,
        data: &'a [u8],
        found: &mut impl FnMut(ObjectPart) -> Result<(), ObjectError>,
    ) -> Result<&'a [u8], ObjectError> {
        // An element stands within the object and its array.
        let outside = 2;
        let mut end = None;
        for (at, byte) in data.iter().enumerate() {
            self.nesting.feed(*byte)?;
            if self.nesting.depth == outside {
                end = Some(at + 1);
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
            found(ObjectPart::Element(part))?;
        } else {
            self.element.extend_from_slice(part);
            found(ObjectPart::Element(&self.element))?;
            self.element.clear();
        }
        Ok(rest)
    }

    /// Takes a byte of what stands around the elements.
    fn feed_envelope(
        &mut self,
        byte: u8,
        found: &mut impl FnMut(ObjectPart) -> Result<(), ObjectError>,
    ) -> Result<(), ObjectError> {
        let opens =
            byte == b'[' && !self.nesting.in_string && self.nesting.depth == 1 && self.ends_with_array_key();
        self.nesting.feed(byte)?;
        self.push_envelope_byte(byte)?;
        if opens {
            if std::mem::replace(&mut self.array_seen, true) {
                return Err(ObjectError::Malformed);
            }
            self.position = Position::FirstElement;
        } else if self.nesting.depth == 0 {
            if !std::mem::take(&mut self.array_seen) {
                return Err(ObjectError::Malformed);
            }
            self.position = Position::Between;
            found(ObjectPart::Envelope(&self.envelope))?;
            self.envelope.clear();
        }
        Ok(())
    }

    /// Keeps a byte of the frame; of white space outside strings, one.
    fn push_envelope_byte(&mut self, byte: u8) -> Result<(), ObjectError> {
        let blank = |byte: u8| byte.is_ascii_whitespace();
        if blank(byte) && !self.nesting.in_string && self.envelope.last().is_some_and(|last| blank(*last)) {
            return Ok(());
        }
        if self.envelope.len() >= MAX_ENVELOPE_LEN {
            return Err(ObjectError::EnvelopeTooLong);
        }
        self.envelope.push(byte);
        Ok(())
    }

    /// Whether the key that the frame ends with is the array's. A quote inside a string has a backslash before it, so
    /// that a string that only ends like the key is none.
    fn ends_with_array_key(&self) -> bool {
        let key = self.envelope.trim_ascii_end().strip_suffix(b":").map(<[u8]>::trim_ascii_end);
        let before = key.and_then(|key| key.strip_suffix(self.quoted_key.as_bytes()));
        before.is_some_and(|before| matches!(before.trim_ascii_end().last(), Some(b'{' | b',')))
    }
}
