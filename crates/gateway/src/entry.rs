//! An entry of discovery's list, which describes one server, deserialized without an intermediate
//! JSON tree.

use martenramp::repeat_group::UNNUMBERED;
use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// Servers with other weights are logged. Where weights lie that far apart, servers get RPCs only roughly by them, since the
/// order that they are drawn from has a bounded length.
pub const USUAL_WEIGHTS: RangeInclusive<f64> = 1e-3..=1e3;
/// At most this many different names of zones and types are shared among entries; further ones are
/// allocated per entry.
const MAX_POOLED_STRINGS: usize = 256;
/// Estimated allocation overhead of an entry's name, in bytes.
const ALLOCATION_OVERHEAD: usize = 16;
/// Address of servers that are gone, whose entries need not have one.
const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// A server as it appears in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: Box<str>,
    pub address: SocketAddr,
    pub zone: Rc<str>,
    pub kind: Rc<str>,
    /// Number of its service, assigned by [`crate::services::Services`].
    pub service: u32,
    /// [`UNNUMBERED`] if the list gives a number that is too large.
    pub cell: u16,
    pub ready: bool,
    pub gone: bool,
    pub weight: f64,
    /// Unix time of its start; 0 for long ago.
    pub started_ms: u64,
}

impl Entry {
    /// Deserializes an entry; returns `None` if it is invalid.
    pub fn from_deserializer<'a>(
        deserializer: impl Deserializer<'a>,
        strings: &mut StringPool,
    ) -> Option<Entry> {
        let fields = Fields::deserialize(deserializer).ok()?;
        let status = fields.status.as_str()?;
        let gone = status == "gone";
        let address = fields.address.as_str().and_then(|text| text.parse().ok());
        Some(Entry {
            name: fields.name.as_str()?.into(),
            address: address.or(gone.then_some(UNSPECIFIED_ADDRESS))?,
            zone: strings.intern(fields.zone.as_str().unwrap_or_default()),
            kind: strings.intern(fields.kind.as_str().unwrap_or_default()),
            service: 0,
            cell: u16::try_from(fields.group.as_u64().unwrap_or(0)).unwrap_or(UNNUMBERED),
            ready: status == "ready",
            gone,
            weight: fields.weight.as_f64().filter(|weight| weight.is_finite()).unwrap_or(1.0),
            started_ms: fields.since_ms.as_f64().unwrap_or(0.0) as u64,
        })
    }

    /// Returns the memory that the entry takes, in bytes.
    pub fn memory_size(&self) -> usize {
        size_of::<Entry>() + self.name.len() + ALLOCATION_OVERHEAD
    }
}

/// Strings that many entries share, such as zone names; each is stored once.
#[derive(Debug, Default)]
pub struct StringPool(Vec<Rc<str>>);

impl StringPool {
    fn intern(&mut self, text: &str) -> Rc<str> {
        if let Some(known) = self.0.iter().find(|known| &***known == text) {
            return known.clone();
        }
        let new: Rc<str> = text.into();
        if self.0.len() < MAX_POOLED_STRINGS {
            self.0.push(new.clone());
        }
        new
    }
}

/// Raw fields of an entry; each may be missing or of any type.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Fields<'a> {
    #[serde(borrow)]
    name: Field<'a>,
    #[serde(borrow)]
    address: Field<'a>,
    #[serde(borrow)]
    zone: Field<'a>,
    #[serde(borrow, rename = "type")]
    kind: Field<'a>,
    #[serde(borrow)]
    group: Field<'a>,
    #[serde(borrow)]
    status: Field<'a>,
    #[serde(borrow)]
    weight: Field<'a>,
    #[serde(borrow)]
    since_ms: Field<'a>,
}

/// A field's value; only strings and numbers are kept.
#[derive(Default)]
enum Field<'a> {
    Text(Cow<'a, str>),
    Integer(u64),
    Float(f64),
    #[default]
    Other,
}

impl Field<'_> {
    fn as_str(&self) -> Option<&str> {
        if let Field::Text(text) = self { Some(text) } else { None }
    }

    fn as_u64(&self) -> Option<u64> {
        if let Field::Integer(number) = self { Some(*number) } else { None }
    }

    fn as_f64(&self) -> Option<f64> {
        match self {
            Field::Integer(number) => Some(*number as f64),
            Field::Float(number) => Some(*number),
            Field::Text(_) | Field::Other => None,
        }
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Field<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(FieldVisitor)
    }
}

/// Accepts a value of any type for a [`Field`].
struct FieldVisitor;

impl<'de> Visitor<'de> for FieldVisitor {
    type Value = Field<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Field<'de>, E> {
        Ok(Field::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Field<'de>, E> {
        Ok(Field::Text(Cow::Owned(text.to_string())))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Field<'de>, E> {
        Ok(Field::Integer(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Field<'de>, E> {
        Ok(Field::Float(number as f64))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Field<'de>, E> {
        Ok(Field::Float(number))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Field<'de>, E> {
        Ok(Field::Other)
    }

    fn visit_unit<E>(self) -> Result<Field<'de>, E> {
        Ok(Field::Other)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Field<'de>, A::Error> {
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Field::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Field<'de>, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Field::Other)
    }
}
