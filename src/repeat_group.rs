//! Which servers recognize the repeat of a deduplicated RPC.
//!
//! A server that ran an RPC shares its key with the servers of a group. Any other server would run the RPC a second time.

use crate::host::DiscoveredServer;

/// The number of a zone or cell that has no number of its own. Several may share it, so it stands for no group.
pub const UNNUMBERED: u16 = u16::MAX;

/// Where a server is listed: its zone, and its cell, a set of servers that may span zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerGroup {
    pub zone: u16,
    pub cell: u16,
}

impl ServerGroup {
    pub fn of(server: &DiscoveredServer) -> ServerGroup {
        ServerGroup { zone: server.zone, cell: server.cell }
    }
}

/// The servers that recognize a repeat of an RPC that one of them ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatScope {
    AllServers,
    SameZone,
    SameCell,
}

impl RepeatScope {
    /// Reads the setting `group` of a method. Without one, only the smallest group is certain.
    pub fn from_setting(group: Option<&str>) -> RepeatScope {
        match group {
            Some("all") => RepeatScope::AllServers,
            Some("zone") => RepeatScope::SameZone,
            _ => RepeatScope::SameCell,
        }
    }

    /// Whether a server of group `repeat` recognizes an RPC that a server of group `first` ran.
    pub fn includes(self, first: ServerGroup, repeat: ServerGroup) -> bool {
        let is_same = |first: u16, repeat: u16| first == repeat && first != UNNUMBERED;
        match self {
            RepeatScope::AllServers => true,
            RepeatScope::SameZone => is_same(first.zone, repeat.zone),
            RepeatScope::SameCell => is_same(first.cell, repeat.cell),
        }
    }
}
