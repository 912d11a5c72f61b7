//! The messages between gateways, one datagram each. A message is self-contained and what it states stays true, so that it
//! may be lost, delayed, duplicated or reordered, and needs no reply.

use crate::Nanos;
use crate::lease::{ContentId, Lease};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The version of the message format; a message of any other version is ignored.
const FORMAT_VERSION: u32 = 1;
/// The largest datagram between gateways that the platform allows, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// What a message says about its content. The names on the wire are those of format 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MessageKind {
    /// A voter grants a lease on the content.
    #[serde(rename = "for")]
    Grant,
    /// A restarted voter asks what other voters have granted, before it grants a lease itself.
    #[serde(rename = "asks")]
    Query,
    /// The sender has the content, but does not act on it, at least not yet.
    #[serde(rename = "holds")]
    Holding,
}

/// A gateway's message about a content of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseMessage {
    /// The sender's number.
    pub gateway: u32,
    /// Drawn at random by each process, so that two processes with the same number can be distinguished.
    pub incarnation: u32,
    /// When the message was sent, by the sender's clock: Unix time.
    pub sent: Nanos,
    /// What the message says about the content.
    pub kind: MessageKind,
    /// The content and the granted lease; the lease is empty if the message grants nothing.
    pub lease: Lease,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaseMessageBody {
    #[serde(rename = "agreement")]
    format: u32,
    gateway: u32,
    #[serde(rename = "life")]
    incarnation: u32,
    sent: Nanos,
    #[serde(rename = "says")]
    kind: MessageKind,
    version: u64,
    digest: String,
    from: Nanos,
    until: Nanos,
    /// Checksum of all other fields. Guards against a message that was corrupted in transit and still parses: it could name
    /// or grant a lease on another content. It does not authenticate the sender.
    #[serde(rename = "sum")]
    checksum: String,
}

impl LeaseMessage {
    /// Encodes this message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut body = LeaseMessageBody {
            format: FORMAT_VERSION,
            gateway: self.gateway,
            incarnation: self.incarnation,
            sent: self.sent,
            kind: self.kind,
            version: self.lease.content.version,
            digest: format!("{:032x}", self.lease.content.digest),
            from: self.lease.from,
            until: self.lease.until,
            checksum: String::new(),
        };
        body.checksum = format!("{:016x}", xxh3_64(&serde_json::to_vec(&body).unwrap_or_default()));
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Parses a datagram; `None` if it is corrupted or has another format.
    pub fn decode(bytes: &[u8]) -> Option<LeaseMessage> {
        let body: LeaseMessageBody =
            serde_json::from_slice(bytes.get(..bytes.len().min(MAX_DATAGRAM_BYTES + 1))?).ok()?;
        let digest = u128::from_str_radix(&body.digest, 16).ok()?;
        let content = ContentId { version: body.version, digest };
        let lease = Lease { content, from: body.from, until: body.until };
        let message = LeaseMessage {
            gateway: body.gateway,
            incarnation: body.incarnation,
            sent: body.sent,
            kind: body.kind,
            lease,
        };
        // Accepted only if encoding it again gives the same bytes, which also checks the format and the checksum.
        (message.encode() == bytes).then_some(message)
    }
}

/// A voter's notice about its current server list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListNotice {
    /// The sender's number.
    pub gateway: u32,
    /// The index of the sender's list.
    pub index: u64,
    /// Keys of the servers that were removed last.
    pub removed: Vec<u64>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListNoticeBody {
    #[serde(rename = "list")]
    format: u32,
    gateway: u32,
    index: u64,
    #[serde(rename = "out")]
    removed: Vec<String>,
    #[serde(rename = "sum")]
    checksum: String,
}

impl ListNotice {
    /// Encodes this notice as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let removed = self.removed.iter().map(|key| format!("{key:016x}")).collect();
        let mut body = ListNoticeBody {
            format: FORMAT_VERSION,
            gateway: self.gateway,
            index: self.index,
            removed,
            checksum: String::new(),
        };
        body.checksum = format!("{:016x}", xxh3_64(&serde_json::to_vec(&body).unwrap_or_default()));
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Parses a datagram; `None` if it is corrupted or not a notice.
    pub fn decode(bytes: &[u8]) -> Option<ListNotice> {
        let body: ListNoticeBody =
            serde_json::from_slice(bytes.get(..bytes.len().min(MAX_DATAGRAM_BYTES + 1))?).ok()?;
        let removed: Option<Vec<u64>> =
            body.removed.iter().map(|key| u64::from_str_radix(key, 16).ok()).collect();
        let notice = ListNotice { gateway: body.gateway, index: body.index, removed: removed? };
        (notice.encode() == bytes).then_some(notice)
    }
}

#[cfg(test)]
mod tests;
