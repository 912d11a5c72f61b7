//! etcd v3's JSON gateway, as its public API documentation describes it: `POST /v3/kv/range` and `POST /v3/watch`
//! with JSON bodies, byte fields in base64, 64-bit numbers as strings. Nothing here knows a socket.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

/// The end of a prefix's range: the prefix with its last byte raised by one, as etcd's clients compute it.
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

/// The body of a watch create request from `revision` on, with progress notifications.
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
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub mod_revision: i64,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was set.
    Put(KeyValue),
    /// A key was deleted.
    Delete(Vec<u8>),
}

/// What a reply says, decoded; an error names what was wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A range's whole answer at `revision`.
    Range {
        /// The store's revision.
        revision: i64,
        /// The keys of the range.
        entries: Vec<KeyValue>,
    },
    /// One message of a watch stream: changes up to `revision` (none for a progress notification).
    Events {
        /// The store's revision.
        revision: i64,
        /// What changed.
        changes: Vec<Change>,
    },
    /// The watch was created.
    Created {
        /// The store's revision.
        revision: i64,
    },
    /// The watch was cancelled; `compacted` is the compaction's revision where that was the cause.
    Cancelled {
        /// The compaction's revision, if that was the cause.
        compacted: Option<i64>,
    },
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Header {
    revision: Option<Value>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Kv {
    key: String,
    value: String,
    mod_revision: Option<Value>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Event {
    #[serde(rename = "type")]
    kind: String,
    kv: Kv,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Body {
    header: Header,
    kvs: Vec<Kv>,
    events: Vec<Event>,
    created: bool,
    canceled: bool,
    compact_revision: Option<Value>,
}

/// 64-bit numbers come as strings in the JSON mapping; plain numbers are taken too.
fn number(value: &Option<Value>) -> Option<i64> {
    match value.as_ref()? {
        Value::String(text) => text.parse().ok(),
        Value::Number(number) => number.as_i64(),
        _ => None,
    }
}

fn bytes(text: &str) -> Result<Vec<u8>, String> {
    STANDARD.decode(text).map_err(|e| format!("not base64: {e}"))
}

fn entry(kv: &Kv) -> Result<KeyValue, String> {
    Ok(KeyValue {
        key: bytes(&kv.key)?,
        value: bytes(&kv.value)?,
        mod_revision: number(&kv.mod_revision).unwrap_or(0),
    })
}

/// Reads one range reply.
pub fn parse_range_reply(body: &[u8]) -> Result<Reply, String> {
    let body: Body = serde_json::from_slice(body).map_err(|e| format!("range reply: {e}"))?;
    let revision = number(&body.header.revision).ok_or("range reply without a revision")?;
    let entries = body.kvs.iter().map(entry).collect::<Result<_, _>>()?;
    Ok(Reply::Range { revision, entries })
}

/// Reads one message of a watch stream, `{"result": {...}}` or `{"error": {...}}`.
pub fn parse_watch_message(message: &Value) -> Result<Reply, String> {
    if let Some(error) = message.get("error") {
        return Err(format!("watch error: {error}"));
    }
    let result = message.get("result").ok_or("watch message without a result")?;
    let body: Body = serde_json::from_value(result.clone()).map_err(|e| format!("watch message: {e}"))?;
    if body.canceled {
        return Ok(Reply::Cancelled {
            compacted: number(&body.compact_revision).filter(|revision| *revision > 0),
        });
    }
    let revision = number(&body.header.revision).ok_or("watch message without a revision")?;
    if body.created {
        return Ok(Reply::Created { revision });
    }
    let change = |event: &Event| -> Result<Change, String> {
        match event.kind.as_str() {
            "DELETE" => Ok(Change::Delete(bytes(&event.kv.key)?)),
            "PUT" | "" => Ok(Change::Put(entry(&event.kv)?)),
            other => Err(format!("watch event of unknown type {other:?}")),
        }
    };
    let changes = body.events.iter().map(change).collect::<Result<_, _>>()?;
    Ok(Reply::Events { revision, changes })
}

/// Splits a watch stream's bytes into whole JSON messages; what is not whole yet stays in the buffer.
#[derive(Default)]
pub struct WatchStreamDecoder {
    buffer: Vec<u8>,
}

/// A watch stream's message may be no larger: a bound on what one peer can make the gateway hold.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

impl WatchStreamDecoder {
    /// Takes bytes; gives the messages now whole, or an error if the stream can't be read on.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Value>, String> {
        self.buffer.extend_from_slice(bytes);
        let mut messages = Vec::new();
        let mut reader = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Value>();
        let used = loop {
            match reader.next() {
                Some(Ok(message)) => messages.push(message),
                Some(Err(e)) if e.is_eof() => break reader.byte_offset(),
                Some(Err(e)) => return Err(format!("watch stream: {e}")),
                None => break reader.byte_offset(),
            }
        };
        self.buffer.drain(..used);
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(format!("watch stream: a message over {MAX_MESSAGE_BYTES} bytes"));
        }
        Ok(messages)
    }
}

/// HTTP/1.1's chunked transfer coding, as the JSON gateway sends a watch stream: fed bytes, gives the data.
#[derive(Default)]
pub struct ChunkedDecoder {
    head: Vec<u8>,
    /// Bytes of data still due in the chunk being read, and whether its closing CRLF is.
    due: usize,
    closing: u8,
    /// The last chunk has come.
    pub done: bool,
}

/// A chunk's size line may be no longer: a bound against a peer that never ends one.
const SIZE_LINE_MOST: usize = 1024;

impl ChunkedDecoder {
    /// Takes bytes; gives the data they carry, or an error for a coding that is broken.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<Vec<u8>, String> {
        let mut data = Vec::new();
        while !bytes.is_empty() && !self.done {
            if self.due > 0 {
                let take = self.due.min(bytes.len());
                data.extend_from_slice(&bytes[..take]);
                (self.due, bytes) = (self.due - take, &bytes[take..]);
                continue;
            }
            if self.closing > 0 {
                let expected = if self.closing == 2 { b'\r' } else { b'\n' };
                if bytes[0] != expected {
                    return Err("chunked stream: a chunk does not end in CRLF".into());
                }
                (self.closing, bytes) = (self.closing - 1, &bytes[1..]);
                continue;
            }
            let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                self.head.extend_from_slice(bytes);
                if self.head.len() > SIZE_LINE_MOST {
                    return Err("chunked stream: a size line without end".into());
                }
                break;
            };
            self.head.extend_from_slice(&bytes[..end]);
            bytes = &bytes[end + 1..];
            let line = String::from_utf8_lossy(&self.head).trim().to_string();
            self.head.clear();
            let size = line.split(';').next().unwrap_or_default();
            let size =
                usize::from_str_radix(size, 16).map_err(|_| format!("chunked stream: size {line:?}"))?;
            if size == 0 {
                self.done = true;
            } else {
                (self.due, self.closing) = (size, 2);
            }
        }
        Ok(data)
    }
}

#[cfg(test)]
mod tests;
