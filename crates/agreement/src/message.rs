//! The messages between gateways, one datagram each. A message stands alone and stays true for ever, so that it may be lost,
//! late, duplicated or reordered at will, and is never answered.

use crate::Nanos;
use crate::lease::{ContentId, Lease};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The version of the messages' format; a message of another one is ignored.
const FORMAT: u32 = 1;
/// The most that a datagram between gateways may hold, bytes (the platform's bound).
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// What a message says of its content. The wire's names are those of format 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MessageKind {
    /// A voter grants a lease on it.
    #[serde(rename = "for")]
    Grant,
    /// A voter that has restarted asks what others have granted, before it grants anything.
    #[serde(rename = "asks")]
    Query,
    /// The sender holds it, and does not act on it, or not yet.
    #[serde(rename = "holds")]
    Holding,
}

/// A message of a gateway about the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseMessage {
    /// The sender's number.
    pub gateway: u32,
    /// Drawn anew by each process, so that two that go by one number are told apart.
    pub incarnation: u32,
    /// When it was sent, by the sender's clock: Unix time.
    pub sent: Nanos,
    /// What it says of the content.
    pub kind: MessageKind,
    /// The content, and for how long it is granted; empty where the message grants nothing.
    pub lease: Lease,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    agreement: u32,
    gateway: u32,
    life: u32,
    sent: Nanos,
    says: MessageKind,
    version: u64,
    digest: String,
    from: Nanos,
    until: Nanos,
    /// Checksum of all the rest. Guards against a message that was corrupted on the way and still parses, which could grant or
    /// name another content. It is no signature.
    sum: String,
}

impl LeaseMessage {
    /// The datagram of this message.
    pub fn encode(&self) -> Vec<u8> {
        let mut body = Body {
            agreement: FORMAT,
            gateway: self.gateway,
            life: self.incarnation,
            sent: self.sent,
            says: self.kind,
            version: self.lease.content.version,
            digest: format!("{:032x}", self.lease.content.digest),
            from: self.lease.from,
            until: self.lease.until,
            sum: String::new(),
        };
        body.sum = format!("{:016x}", xxh3_64(&serde_json::to_vec(&body).unwrap_or_default()));
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Parses a datagram; `None` where it is corrupted or of another format.
    pub fn decode(bytes: &[u8]) -> Option<LeaseMessage> {
        let body: Body =
            serde_json::from_slice(bytes.get(..bytes.len().min(MAX_DATAGRAM_BYTES + 1))?).ok()?;
        let digest = u128::from_str_radix(&body.digest, 16).ok()?;
        let content = ContentId { version: body.version, digest };
        let lease = Lease { content, from: body.from, until: body.until };
        let message = LeaseMessage {
            gateway: body.gateway,
            incarnation: body.life,
            sent: body.sent,
            kind: body.says,
            lease,
        };
        // Byte for byte as it is encoded here: format, checksum and all.
        (message.encode() == bytes).then_some(message)
    }
}

/// A voter's notice about the list of servers that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListNotice {
    /// The sender's number.
    pub gateway: u32,
    /// The index of the list that it holds.
    pub index: u64,
    /// Keys of the servers that were last taken out of work.
    pub removed: Vec<u64>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListNoticeBody {
    list: u32,
    gateway: u32,
    index: u64,
    out: Vec<String>,
    sum: String,
}

impl ListNotice {
    /// The datagram of this message.
    pub fn encode(&self) -> Vec<u8> {
        let out = self.removed.iter().map(|key| format!("{key:016x}")).collect();
        let mut body = ListNoticeBody {
            list: FORMAT,
            gateway: self.gateway,
            index: self.index,
            out,
            sum: String::new(),
        };
        body.sum = format!("{:016x}", xxh3_64(&serde_json::to_vec(&body).unwrap_or_default()));
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Parses a datagram; `None` where it is corrupted or no notice.
    pub fn decode(bytes: &[u8]) -> Option<ListNotice> {
        let body: ListNoticeBody =
            serde_json::from_slice(bytes.get(..bytes.len().min(MAX_DATAGRAM_BYTES + 1))?).ok()?;
        let out: Option<Vec<u64>> = body.out.iter().map(|key| u64::from_str_radix(key, 16).ok()).collect();
        let notice = ListNotice { gateway: body.gateway, index: body.index, removed: out? };
        (notice.encode() == bytes).then_some(notice)
    }
}

#[cfg(test)]
mod tests;
