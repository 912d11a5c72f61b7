//! Counts what the process holds, by kind, so that operators can see what takes its memory: in
//! `/-/healthy`, and in the last line of the log.

use super::*;
use crate::heap::{HeapUse, heap_use};
use std::fmt;

const KIB: usize = 1 << 10;
/// For this long a count is shown again. Counting looks at all connections and at the whole heap, which
/// is much for a process with a small part of a core, so it is done only when somebody asks.
const COUNT_LIFETIME: Nanos = 250 * MS;

/// What the process held when it was last counted. Sizes are in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemoryAccount {
    counted_at: Nanos,
    customers: usize,
    /// RPCs that were rejected since the start because no further customer could be remembered.
    refused_customers: u64,
    remembered_ids: usize,
    rpcs: usize,
    timers: usize,
    client_buffers: usize,
    /// The most that clients' buffers took since the start.
    client_buffer_peak: usize,
    upstream_buffers: usize,
    decoded_answers: usize,
    heap: HeapUse,
}

impl fmt::Display for MemoryAccount {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let MemoryAccount { customers, refused_customers, remembered_ids, rpcs, timers, .. } = self;
        write!(
            out,
            "customers={customers}, refused_customers={refused_customers}, ids={remembered_ids}, rpcs={rpcs}, timers={timers}, "
        )?;
        let (clients, peak) = (self.client_buffers / KIB, self.client_buffer_peak / KIB);
        let upstream = self.upstream_buffers / KIB;
        let (decoded, used, free) = (self.decoded_answers / KIB, self.heap.used / KIB, self.heap.free / KIB);
        write!(
            out,
            "client_buffers_kib={clients}, client_peak_kib={peak}, upstream_buffers_kib={upstream}, "
        )?;
        write!(out, "decoded_kib={decoded}, heap_used_kib={used}, heap_free_kib={free}")
    }
}

impl Gateway {
    /// Counts again what the process holds.
    pub(super) fn count_memory(&mut self) {
        let host = &mut self.host;
        host.memory_account = MemoryAccount {
            counted_at: host.net.now,
            customers: self.controller.customer_count(),
            refused_customers: self.controller.refused_customer_count(),
            remembered_ids: host.transaction_ids.remembered_count(),
            rpcs: host.rpcs.len(),
            timers: host.timers.len(),
            client_buffers: host.net.client_buffer_bytes,
            client_buffer_peak: host.net.client_buffer_peak,
            upstream_buffers: host.net.upstream_buffer_bytes,
            decoded_answers: host.server_connections.values().map(ServerConnection::decoded_bytes).sum(),
            heap: heap_use(),
        };
    }
}

impl Gateway {
    /// The header line that shows what the process holds to operators.
    pub(super) fn memory_header(&mut self) -> String {
        if self.host.net.now >= self.host.memory_account.counted_at + COUNT_LIFETIME {
            self.count_memory();
        }
        format!("X-Held: {}\n", self.host.memory_account)
    }
}
