//! Which servers of a list are in the same zone or cell, however many zones and cells there are.

use gateway::entry::{Entry, StringPool};
use gateway::name_ids::NameIds;
use martenramp::repeat_group::{RepeatScope, ServerGroup};

/// The group of a server with this zone and cell, as the list gives them.
fn listed_group(name_ids: &mut NameIds, zone: usize, cell: u64) -> ServerGroup {
    let text = format!(
        "{{\"name\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z{zone}\",\"group\":{cell},\"status\":\"ready\"}}"
    );
    let mut json = serde_json::Deserializer::from_str(&text);
    let entry = Entry::from_deserializer(&mut json, &mut StringPool::default()).expect("a valid entry");
    ServerGroup::of(&name_ids.to_listed(1, &entry))
}

/// Guards against an RPC that is repeated in another zone or cell, since the two share a number here.
#[test]
fn no_two_zones_or_cells_are_taken_for_the_same_group_however_many_there_are() {
    const ZONES: usize = 2000;
    const MORE_THAN_CELL_NUMBERS: u64 = 65536;
    let mut name_ids = NameIds::default();
    let by_zone: Vec<ServerGroup> = (0..ZONES).map(|zone| listed_group(&mut name_ids, zone, 0)).collect();
    for pair in by_zone.windows(2) {
        assert!(!RepeatScope::SameZone.includes(pair[0], pair[1]), "{pair:?}");
    }
    assert!(RepeatScope::SameZone.includes(by_zone[0], by_zone[0]));
    for cell in [0, 1, 7] {
        let listed = listed_group(&mut name_ids, 0, cell);
        let wrapped = listed_group(&mut name_ids, 0, cell + MORE_THAN_CELL_NUMBERS);
        let next = listed_group(&mut name_ids, 0, cell + MORE_THAN_CELL_NUMBERS + 1);
        assert!(RepeatScope::SameCell.includes(listed, listed));
        assert!(!RepeatScope::SameCell.includes(listed, wrapped), "{listed:?}, {wrapped:?}");
        assert!(!RepeatScope::SameCell.includes(wrapped, next), "{wrapped:?}, {next:?}");
    }
}
