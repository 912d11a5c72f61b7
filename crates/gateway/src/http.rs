//! HTTP/1.1 message framing on top of httparse: message lengths, body ranges and forwarded headers.
//! It uses no sockets and knows no peers; everything works on slices of the buffer that holds the
//! message.

use httparse::Header;
use std::ops::Range;

/// Largest head and body accepted from any peer, in bytes.
pub const MAX_HEAD_LEN: usize = 16 << 10;
pub const MAX_BODY_LEN: usize = 64 << 10;
/// A head with more header lines than this is rejected.
pub const MAX_HEADERS: usize = 64;

/// How a body's end is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    Fixed(usize),
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why a message is rejected: the status code for the response to a request, and a reason code for
/// the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageError(pub u16, pub &'static str);

/// Returns the value of the first header with this name.
pub fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

/// Returns the trimmed value of the first header with this name if it is valid UTF-8.
pub fn header_text<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    header(headers, name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
}

/// Returns a header that must occur exactly once: the next hop might pick another of several
/// values.
pub fn single_header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let mut matching = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let value = std::str::from_utf8(matching.next()?.value).ok().map(str::trim);
    value.filter(|value| matching.next().is_none() && !value.is_empty())
}

/// Whether a header that is a comma-separated list contains this token.
pub fn header_has_token(headers: &[Header], name: &str, token: &str) -> bool {
    let matching = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let mut tokens = matching.flat_map(|header| header.value.split(|byte| *byte == b','));
    tokens.any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Returns the body length that the headers declare, or `default` if they declare none. Rejects
/// messages that two parsers could end at different bytes: two lengths, or a length along with
/// chunked encoding.
pub fn body_length(headers: &[Header], default: BodyLength) -> Result<BodyLength, MessageError> {
    let mut declared = None;
    for header in headers.iter().filter(|header| header.name.eq_ignore_ascii_case("content-length")) {
        let value = header.value.trim_ascii();
        let is_decimal = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let digits = std::str::from_utf8(value).ok().filter(|_| is_decimal);
        let number = digits.and_then(|digits| digits.parse().ok()).ok_or(MessageError(400, "bad-length"))?;
        if declared.replace(number).is_some_and(|previous| previous != number) {
            return Err(MessageError(400, "two-lengths"));
        }
    }
    if header(headers, "transfer-encoding").is_some() {
        let chunked = header_text(headers, "transfer-encoding")
            .is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked"));
        return match declared {
            None if chunked => Ok(BodyLength::Chunked),
            _ => Err(MessageError(400, "bad-encoding")),
        };
    }
    Ok(declared.map_or(default, BodyLength::Fixed))
}

/// Headers that apply to one connection only, or that the forwarding side writes itself.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "x-remaining-ms",
];

/// Forwards the header lines of a head (without its first line), except for those of the connection
/// and those in `except`.
pub fn forward_headers(out: &mut Vec<u8>, lines: &[u8], except: &[&str]) {
    let lines = || lines.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let is_named = |line: &[u8], name: &str| {
        line.get(name.len()) == Some(&b':') && line[..name.len()].eq_ignore_ascii_case(name.as_bytes())
    };
    // A `Connection` header may name further headers that apply to this connection only.
    let connection_options: Vec<&[u8]> = lines()
        .filter(|line| is_named(line, "connection"))
        .flat_map(|line| line["connection:".len()..].split(|byte| *byte == b','))
        .map(<[u8]>::trim_ascii)
        .collect();
    for line in lines().filter(|line| !line.is_empty()) {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        if !CONNECTION_HEADERS.iter().chain(except).any(|dropped| is_named(line, dropped))
            && !connection_options.iter().any(|option| option.eq_ignore_ascii_case(name))
        {
            out.extend_from_slice(line);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Returns the range of a slice within the buffer that contains it.
pub fn range_within(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + part.len()
}

/// Incremental decoder of chunked bodies; passes the data on in pieces.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    /// Bytes left in the current chunk.
    chunk_left: usize,
    state: ChunkState,
}

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkState {
    #[default]
    Size,
    Data,
    /// The line end behind a chunk's data.
    DataEnd,
    Trailer,
    Done,
}

impl ChunkedDecoder {
    pub fn is_complete(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Returns how many bytes of the input were consumed; `data` is called with the decoded bytes.
    pub fn feed(&mut self, input: &[u8], mut data: impl FnMut(&[u8])) -> Result<usize, MessageError> {
        let mut consumed = 0;
        while self.state != ChunkState::Done {
            let rest = &input[consumed..];
            match self.state {
                ChunkState::Data => {
                    let length = rest.len().min(self.chunk_left);
                    data(&rest[..length]);
                    self.chunk_left -= length;
                    consumed += length;
                    if self.chunk_left > 0 {
                        break;
                    }
                    self.state = ChunkState::DataEnd;
                }
                _ => {
                    let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
                        if rest.len() > 256 {
                            return Err(MessageError(400, "bad-chunk"));
                        }
                        break;
                    };
                    let line = rest[..end].strip_suffix(b"\r").unwrap_or(&rest[..end]);
                    consumed += end + 1;
                    self.state = match self.state {
                        ChunkState::Size => self.parse_size(line)?,
                        ChunkState::DataEnd if line.is_empty() => ChunkState::Size,
                        ChunkState::Trailer if line.is_empty() => ChunkState::Done,
                        ChunkState::Trailer => ChunkState::Trailer,
                        _ => return Err(MessageError(400, "bad-chunk")),
                    };
                }
            }
        }
        Ok(consumed)
    }

    fn parse_size(&mut self, line: &[u8]) -> Result<ChunkState, MessageError> {
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let digits = std::str::from_utf8(digits).ok().filter(|digits| !digits.starts_with('+'));
        let size = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok());
        self.chunk_left = size.ok_or(MessageError(400, "bad-chunk"))? as usize;
        Ok(if self.chunk_left == 0 { ChunkState::Trailer } else { ChunkState::Data })
    }
}

/// Returns the reason phrase of a status code.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
