//! Encodes and parses messages of etcd v3's JSON gateway, as its public API documentation describes them:
//! `POST /v3/kv/range` and `POST /v3/watch` with JSON bodies, byte fields in base64 and 64-bit numbers as strings.
//!
//! This module does no I/O.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

/// The end of a prefix's key range, as etcd clients compute it: the prefix with its last byte incremented.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0] // all keys
}

/// The body of a range request for every key under `prefix`.
pub fn range_request_body(prefix: &[u8]) -> String {
    json!({"key": STANDARD.encode(prefix), "range_end": STANDARD.encode(prefix_end(prefix))}).to_string()
}

/// The body of a watch create request that starts at `revision` and asks for progress notifications.
pub fn watch_request_body(prefix: &[u8], revision: i64) -> String {
    let create = json!({"key": STANDARD.encode(prefix), "range_end": STANDARD.encode(prefix_end(prefix)),
        "start_revision": revision.to_string(), "progress_notify": true});
    json!({"create_request": create}).to_string()
}

/// A key and its value, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the key's last change.
    pub mod_revision: i64,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was set.
    Put(KeyValue),
    /// A key was deleted.
    Delete(Vec<u8>),
}

/// A decoded reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The complete reply to a range request at `revision`.
    Range {
        /// The store's revision.
        revision: i64,
        /// The keys of the range.
        entries: Vec<KeyValue>,
    },
    /// A message of a watch stream: the changes up to `revision`, none for a progress notification.
    Events {
        /// The store's revision.
        revision: i64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The watch was created.
    Created {
        /// The store's revision.
        revision: i64,
    },
    /// The watch was cancelled.
    Cancelled {
        /// The compaction's revision, if a compaction was the cause.
        compacted: Option<i64>,
    },
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct HeaderJson {
    revision: Option<Value>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct KeyValueJson {
    key: String,
    value: String,
    mod_revision: Option<Value>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EventJson {
    #[serde(rename = "type")]
    kind: String,
    kv: KeyValueJson,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ReplyJson {
    header: HeaderJson,
    kvs: Vec<KeyValueJson>,
    events: Vec<EventJson>,
    created: bool,
    canceled: bool,
    compact_revision: Option<Value>,
}

/// Parses a 64-bit number. The JSON mapping has them as strings; plain numbers are accepted as well.
fn parse_number(value: &Option<Value>) -> Option<i64> {
    match value.as_ref()? {
        Value::String(text) => text.parse().ok(),
        Value::Number(number) => number.as_i64(),
        _ => None,
    }
}

fn decode_base64(text: &str) -> Result<Vec<u8>, String> {
    STANDARD.decode(text).map_err(|e| format!("invalid base64: {e}"))
}

fn decode_key_value(kv: &KeyValueJson) -> Result<KeyValue, String> {
    Ok(KeyValue {
        key: decode_base64(&kv.key)?,
        value: decode_base64(&kv.value)?,
        mod_revision: parse_number(&kv.mod_revision).unwrap_or(0),
    })
}

/// Parses a range reply.
pub fn parse_range_reply(body: &[u8]) -> Result<Reply, String> {
    let body: ReplyJson = serde_json::from_slice(body).map_err(|e| format!("range reply: {e}"))?;
    let revision = parse_number(&body.header.revision).ok_or("range reply without a revision")?;
    let entries = body.kvs.iter().map(decode_key_value).collect::<Result<_, _>>()?;
    Ok(Reply::Range { revision, entries })
}

/// Parses a message of a watch stream, `{"result": {...}}` or `{"error": {...}}`.
pub fn parse_watch_message(message: &Value) -> Result<Reply, String> {
    if let Some(error) = message.get("error") {
        return Err(format!("watch error: {error}"));
    }
    let result = message.get("result").ok_or("watch message without a result")?;
    let body: ReplyJson =
        serde_json::from_value(result.clone()).map_err(|e| format!("watch message: {e}"))?;
    if body.canceled {
        return Ok(Reply::Cancelled {
            compacted: parse_number(&body.compact_revision).filter(|revision| *revision > 0),
        });
    }
    let revision = parse_number(&body.header.revision).ok_or("watch message without a revision")?;
    if body.created {
        return Ok(Reply::Created { revision });
    }
    let change = |event: &EventJson| -> Result<Change, String> {
        match event.kind.as_str() {
            "DELETE" => Ok(Change::Delete(decode_base64(&event.kv.key)?)),
            "PUT" | "" => Ok(Change::Put(decode_key_value(&event.kv)?)),
            other => Err(format!("watch event of unknown type {other:?}")),
        }
    };
    let changes = body.events.iter().map(change).collect::<Result<_, _>>()?;
    Ok(Reply::Events { revision, changes })
}

/// Splits a watch stream's bytes into JSON messages; an incomplete message stays in the buffer.
#[derive(Default)]
pub struct WatchStreamDecoder {
    buffer: Vec<u8>,
}

/// The largest message of a watch stream. Bounds the memory that a peer can make the gateway use.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

impl WatchStreamDecoder {
    /// Adds bytes of the stream and returns the messages that are now complete, or an error if the stream is invalid.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Value>, String> {
        self.buffer.extend_from_slice(bytes);
        let mut messages = Vec::new();
        let mut reader = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Value>();
        let consumed = loop {
            match reader.next() {
                Some(Ok(message)) => messages.push(message),
                Some(Err(e)) if e.is_eof() => break reader.byte_offset(),
                Some(Err(e)) => return Err(format!("watch stream: {e}")),
                None => break reader.byte_offset(),
            }
        };
        self.buffer.drain(..consumed);
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(format!("watch stream: message exceeds {MAX_MESSAGE_BYTES} bytes"));
        }
        Ok(messages)
    }
}

/// Decodes HTTP/1.1's chunked transfer coding, in which the JSON gateway sends a watch stream.
#[derive(Default)]
pub struct ChunkedDecoder {
    /// The part of a chunk's size line received so far.
    size_line: Vec<u8>,
    /// The data bytes that the current chunk still lacks.
    remaining: usize,
    /// The bytes that the CRLF after the current chunk's data still lacks.
    crlf_remaining: u8,
    /// The last chunk has been received.
    pub done: bool,
}

/// The longest size line of a chunk. Guards against a peer that never ends the line.
const MAX_SIZE_LINE_BYTES: usize = 1024;

impl ChunkedDecoder {
    /// Adds bytes of the stream and returns the data they carry, or an error if the coding is invalid.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<Vec<u8>, String> {
        let mut data = Vec::new();
        while !bytes.is_empty() && !self.done {
            if self.remaining > 0 {
                let take = self.remaining.min(bytes.len());
                data.extend_from_slice(&bytes[..take]);
                (self.remaining, bytes) = (self.remaining - take, &bytes[take..]);
                continue;
            }
            if self.crlf_remaining > 0 {
                let expected = if self.crlf_remaining == 2 { b'\r' } else { b'\n' };
                if bytes[0] != expected {
                    return Err("chunked stream: chunk does not end in CRLF".into());
                }
                (self.crlf_remaining, bytes) = (self.crlf_remaining - 1, &bytes[1..]);
                continue;
            }
            let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                self.size_line.extend_from_slice(bytes);
                if self.size_line.len() > MAX_SIZE_LINE_BYTES {
                    return Err("chunked stream: size line too long".into());
                }
                break;
            };
            self.size_line.extend_from_slice(&bytes[..end]);
            bytes = &bytes[end + 1..];
            let line = String::from_utf8_lossy(&self.size_line).trim().to_string();
            self.size_line.clear();
            let size = line.split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| format!("chunked stream: invalid chunk size {line:?}"))?;
            if size == 0 {
                self.done = true;
            } else {
                (self.remaining, self.crlf_remaining) = (size, 2);
            }
        }
        Ok(data)
    }
}

#[cfg(test)]
mod tests;
