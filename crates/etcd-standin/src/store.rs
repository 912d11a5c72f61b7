//! Key-value store of the etcd stand-in, with revisions, a history of changes for watches, compaction and leases.
//! Each put, and each delete request that removes keys, adds one to the revision, as in etcd.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Kv {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

#[derive(Clone, Debug)]
struct Change {
    revision: i64,
    key: Vec<u8>,
    /// `None` for a delete.
    kv: Option<Kv>,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: i64,
    expires: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// Keys with their revisions, the history of changes, and the leases.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Revision of the last change.
    pub revision: i64,
    /// Revision of the last compaction; the history up to it is gone.
    pub compacted: i64,
    keys: BTreeMap<Vec<u8>, Kv>,
    history: Vec<Change>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

/// Whether a key is in an etcd range: `from` alone if `end` is empty, all keys from `from` on if `end` is a zero byte.
fn in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

impl Store {
    /// Header of a response.
    pub fn header(&self) -> Value {
        json!({"cluster_id": "1", "member_id": "1", "revision": self.revision.to_string(), "raft_term": "1"})
    }

    fn kv_json(key: &[u8], kv: &Kv) -> Value {
        json!({"key": STANDARD.encode(key), "value": STANDARD.encode(&kv.value),
            "create_revision": kv.create_revision.to_string(), "mod_revision": kv.mod_revision.to_string(),
            "version": kv.version.to_string(), "lease": kv.lease.to_string()})
    }

    /// Response to a range request.
    pub fn range_json(&self, from: &[u8], end: &[u8]) -> Value {
        let kvs: Vec<Value> = (self.keys.iter())
            .filter(|(key, _)| in_range(key, from, end))
            .map(|(key, kv)| Self::kv_json(key, kv))
            .collect();
        json!({"header": self.header(), "count": kvs.len().to_string(), "kvs": kvs})
    }

    /// Changes to a key range from `from_revision` on, as watch events.
    pub fn events_json(&self, from_revision: i64, from: &[u8], end: &[u8]) -> Vec<Value> {
        let start = self.history.partition_point(|change| change.revision < from_revision);
        (self.history[start..].iter())
            .filter(|change| in_range(&change.key, from, end))
            .map(|change| match &change.kv {
                Some(kv) => json!({"type": "PUT", "kv": Self::kv_json(&change.key, kv)}),
                None => json!({"type": "DELETE", "kv": {"key": STANDARD.encode(&change.key),
                    "mod_revision": change.revision.to_string()}}),
            })
            .collect()
    }

    /// Sets a key. Fails with etcd's message if the lease doesn't exist.
    pub fn put(&mut self, key: &[u8], value: &[u8], lease: i64) -> Result<(), String> {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err("etcdserver: requested lease not found".into());
        }
        self.revision += 1;
        let old = self.keys.get(key);
        let kv = Kv {
            value: value.to_vec(),
            create_revision: old.map_or(self.revision, |old| old.create_revision),
            mod_revision: self.revision,
            version: old.map_or(1, |old| old.version + 1),
            lease,
        };
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.insert(key.to_vec());
        }
        self.keys.insert(key.to_vec(), kv.clone());
        self.history.push(Change { revision: self.revision, key: key.to_vec(), kv: Some(kv) });
        Ok(())
    }

    /// Deletes a key, or a range of keys at one revision; returns the number of keys deleted.
    pub fn delete(&mut self, from: &[u8], end: &[u8]) -> usize {
        let deleted: Vec<Vec<u8>> =
            self.keys.keys().filter(|key| in_range(key, from, end)).cloned().collect();
        if deleted.is_empty() {
            return 0;
        }
        self.revision += 1;
        for key in &deleted {
            self.keys.remove(key);
            self.history.push(Change { revision: self.revision, key: key.clone(), kv: None });
        }
        deleted.len()
    }

    /// Removes the history up to and including `revision`; watches that start at or before it are cancelled.
    pub fn compact(&mut self, revision: i64) -> Result<(), String> {
        if revision <= self.compacted {
            return Err("etcdserver: mvcc: required revision has been compacted".into());
        }
        if revision > self.revision {
            return Err("etcdserver: mvcc: required revision is a future revision".into());
        }
        self.compacted = revision;
        self.history.retain(|change| change.revision > revision);
        Ok(())
    }

    /// Grants a lease; returns its id and its time to live in seconds.
    pub fn grant(&mut self, ttl: i64, now: Instant) -> (i64, i64) {
        self.next_lease += 1;
        let ttl = ttl.max(1);
        let lease = Lease { ttl, expires: now + Duration::from_secs(ttl as u64), keys: BTreeSet::new() };
        self.leases.insert(self.next_lease, lease);
        (self.next_lease, ttl)
    }

    /// Renews a lease; returns its time to live in seconds, or 0 if it doesn't exist.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.expires = now + Duration::from_secs(lease.ttl as u64);
        lease.ttl
    }

    /// Removes expired leases and deletes the keys that are still attached to them.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| lease.expires <= now).map(|(id, _)| *id).collect();
        for id in expired {
            let keys = self.leases.remove(&id).map(|lease| lease.keys).unwrap_or_default();
            let attached: Vec<Vec<u8>> =
                keys.into_iter().filter(|key| self.keys.get(key).is_some_and(|kv| kv.lease == id)).collect();
            for key in attached {
                self.delete(&key, &[]);
            }
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the store has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
