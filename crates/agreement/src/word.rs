//! What a gateway tells all others, one datagram each. A word stands alone and stays true for ever, so that it may be lost,
//! late, doubled or overtaken at will, and is never answered.

use crate::Nanos;
use crate::lease::{Content, Lease};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The form of the words; one of another form counts for nothing.
const FORM: u32 = 1;
/// The most that a datagram between gateways may hold, bytes (the platform's bound).
pub const MOST: usize = 256;

/// What a word says of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Says {
    /// A voter is for it over the span.
    For,
    /// A voter that has started on it asks what others are for, before it is for anything.
    Asks,
    /// The speaker holds it, and acts on it not yet, or no more.
    Holds,
}

/// A gateway's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Word {
    pub number: u32,
    /// Drawn anew by each life of a process, so that two that go by one number are told apart.
    pub life: u32,
    /// When it was said, by the speaker's clock: Unix time.
    pub sent: Nanos,
    pub says: Says,
    /// The content, and over which span a voter is for it.
    pub span: Lease,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    agreement: u32,
    gateway: u32,
    life: u32,
    sent: Nanos,
    says: Says,
    version: u64,
    digest: String,
    from: Nanos,
    until: Nanos,
    /// Of all the rest. Guards against a word that was spoilt on the way and still reads as one, which could vote or name
    /// another content. It is no signature.
    sum: String,
}

impl Word {
    pub fn write(&self) -> Vec<u8> {
        let mut body = Body {
            agreement: FORM,
            gateway: self.number,
            life: self.life,
            sent: self.sent,
            says: self.says,
            version: self.span.content.version,
            digest: format!("{:032x}", self.span.content.digest),
            from: self.span.from,
            until: self.span.until,
            sum: String::new(),
        };
        body.sum = format!("{:016x}", xxh3_64(&serde_json::to_vec(&body).unwrap_or_default()));
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Reads a datagram; what is spoilt or of another form is `None`.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        let body: Body = serde_json::from_slice(bytes.get(..bytes.len().min(MOST + 1))?).ok()?;
        let digest = u128::from_str_radix(&body.digest, 16).ok()?;
        let content = Content { version: body.version, digest };
        let span = Lease { content, from: body.from, until: body.until };
        let word = Word { number: body.gateway, life: body.life, sent: body.sent, says: body.says, span };
        // Byte for byte as it is written here: form, sum and all.
        (word.write() == bytes).then_some(word)
    }
}

/// What a voter tells of the list of servers that it holds: its index, and keys of servers last taken out of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub number: u32,
    pub index: u64,
    pub out: Vec<u64>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct NoticeBody {
    list: u32,
    gateway: u32,
    index: u64,
    out: Vec<String>,
    sum: String,
}

impl Notice {
    pub fn write(&self) -> Vec<u8> {
        let out = self.out.iter().map(|key| format!("{key:016x}")).collect();
        let mut body =
            NoticeBody { list: FORM, gateway: self.number, index: self.index, out, sum: String::new() };
        body.sum = format!("{:016x}", xxh3_64(&serde_json::to_vec(&body).unwrap_or_default()));
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Reads a datagram; what is spoilt or no notice is `None`.
    pub fn read(bytes: &[u8]) -> Option<Notice> {
        let body: NoticeBody = serde_json::from_slice(bytes.get(..bytes.len().min(MOST + 1))?).ok()?;
        let out: Option<Vec<u64>> = body.out.iter().map(|key| u64::from_str_radix(key, 16).ok()).collect();
        let notice = Notice { number: body.gateway, index: body.index, out: out? };
        (notice.write() == bytes).then_some(notice)
    }
}

#[cfg(test)]
mod tests;
