//! HTTP/1.1 framing over httparse: how long a message is, where its body lies, how heads are written.
//! Knows neither sockets nor peers; everything works on slices of the buffer that holds the message.

use httparse::Header;
use std::ops::Range;

/// The largest head and body taken from anyone.
pub const MAX_HEAD_LEN: usize = 16 << 10;
pub const MAX_BODY_LEN: usize = 64 << 10;
/// More header lines than this in one head are refused.
pub const MAX_HEADERS: usize = 64;

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    Fixed(usize),
    Chunked,
    UntilClose,
}

/// Why a message can't be taken: the status to answer a request with, and a reason code for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageError(pub u16, pub &'static str);

pub fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

pub fn header_text<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    header(headers, name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
}

/// A header that must stand there once: two could be read differently by whoever is next.
pub fn single_header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let mut named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let value = std::str::from_utf8(named.next()?.value).ok().map(str::trim);
    value.filter(|value| named.next().is_none() && !value.is_empty())
}

/// Whether a header that lists words holds this one.
pub fn header_has_token(headers: &[Header], name: &str, word: &str) -> bool {
    let named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let mut words = named.flat_map(|header| header.value.split(|byte| *byte == b','));
    words.any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
}

/// The length that the headers tell; `without` is what applies if they tell none. Guards against messages
/// that two readers would end at different bytes (two lengths, or a length beside chunks).
pub fn body_length(headers: &[Header], without: BodyLength) -> Result<BodyLength, MessageError> {
    let mut told = None;
    for header in headers.iter().filter(|header| header.name.eq_ignore_ascii_case("content-length")) {
        let value = header.value.trim_ascii();
        let plain = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let digits = std::str::from_utf8(value).ok().filter(|_| plain);
        let number = digits.and_then(|digits| digits.parse().ok()).ok_or(MessageError(400, "bad-length"))?;
        if told.replace(number).is_some_and(|before| before != number) {
            return Err(MessageError(400, "two-lengths"));
        }
    }
    if header(headers, "transfer-encoding").is_some() {
        let chunked =
            header_text(headers, "transfer-encoding").is_some_and(|how| how.eq_ignore_ascii_case("chunked"));
        return match told {
            None if chunked => Ok(BodyLength::Chunked),
            _ => Err(MessageError(400, "bad-encoding")),
        };
    }
    Ok(told.map_or(without, BodyLength::Fixed))
}

/// Headers that speak of one connection only, or that whoever passes a message on writes itself.
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

/// Passes on the header lines of a head (without its first line), except those of one connection and `but`.
pub fn forward_headers(out: &mut Vec<u8>, lines: &[u8], but: &[&str]) {
    let lines = || lines.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let named = |line: &[u8], name: &str| {
        line.get(name.len()) == Some(&b':') && line[..name.len()].eq_ignore_ascii_case(name.as_bytes())
    };
    // A connection's own header may name further ones that end here.
    let dropped: Vec<&[u8]> = lines()
        .filter(|line| named(line, "connection"))
        .flat_map(|line| line["connection:".len()..].split(|byte| *byte == b','))
        .map(<[u8]>::trim_ascii)
        .collect();
    for line in lines().filter(|line| !line.is_empty()) {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        if !CONNECTION_HEADERS.iter().chain(but).any(|own| named(line, own))
            && !dropped.iter().any(|word| word.eq_ignore_ascii_case(name))
        {
            out.extend_from_slice(line);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Where a slice lies in the buffer that it is part of.
pub fn range_within(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + part.len()
}

/// Takes chunked bodies apart, fed bytes as they come; the data is handed on in pieces.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    /// Data bytes left of the chunk at hand.
    chunk_left: usize,
    state: ChunkState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkState {
    #[default]
    Size,
    Data,
    DataEnd,
    Trailer,
    Done,
}

impl ChunkedDecoder {
    pub fn is_complete(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// How many bytes of the input were used up; `data` gets what they held.
    pub fn feed(&mut self, input: &[u8], mut data: impl FnMut(&[u8])) -> Result<usize, MessageError> {
        let mut at = 0;
        while self.state != ChunkState::Done {
            let rest = &input[at..];
            match self.state {
                ChunkState::Data => {
                    let now = rest.len().min(self.chunk_left);
                    data(&rest[..now]);
                    self.chunk_left -= now;
                    at += now;
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
                    at += end + 1;
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
        Ok(at)
    }

    fn parse_size(&mut self, line: &[u8]) -> Result<ChunkState, MessageError> {
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let digits = std::str::from_utf8(digits).ok().filter(|digits| !digits.starts_with('+'));
        let size = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok());
        self.chunk_left = size.ok_or(MessageError(400, "bad-chunk"))? as usize;
        Ok(if self.chunk_left == 0 { ChunkState::Trailer } else { ChunkState::Data })
    }
}

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
