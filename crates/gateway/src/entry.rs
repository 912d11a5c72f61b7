//! One entry of discovery's list: a server, read by `serde` with no tree of its JSON between.

use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// So many different words for zones and types are shared among the entries; further ones take their own memory.
const WORDS_MOST: usize = 256;
/// What an entry's name takes beyond its letters.
const ALLOCATION: usize = 16;
/// What is gone need not have an address any more.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// One server as an object of the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: Box<str>,
    pub address: SocketAddr,
    pub zone: Rc<str>,
    pub kind: Rc<str>,
    /// As [`crate::services::Services`] numbers it.
    pub service: u32,
    pub cell: u16,
    pub ready: bool,
    pub gone: bool,
    pub weight: f64,
    pub started_ms: u64,
}

impl Entry {
    /// Reads an entry; nothing where it makes no sense.
    pub fn from_deserializer<'a>(from: impl Deserializer<'a>, words: &mut StringPool) -> Option<Entry> {
        let fields = Fields::deserialize(from).ok()?;
        let status = fields.status.text()?;
        let gone = status == "gone";
        let address = fields.address.text().and_then(|text| text.parse().ok());
        Some(Entry {
            name: fields.name.text()?.into(),
            address: address.or(gone.then_some(NOWHERE))?,
            zone: words.shared(fields.zone.text().unwrap_or_default()),
            kind: words.shared(fields.kind.text().unwrap_or_default()),
            service: 0,
            cell: fields.group.whole().unwrap_or(0) as u16,
            ready: status == "ready",
            gone,
            weight: fields.weight.number().filter(|weight| weight.is_finite()).unwrap_or(1.0),
            started_ms: fields.since_ms.number().unwrap_or(0.0) as u64,
        })
    }

    /// Bytes that it takes.
    pub fn memory_size(&self) -> usize {
        size_of::<Entry>() + self.name.len() + ALLOCATION
    }
}

/// Words that many entries have in common, such as the names of zones, held once.
#[derive(Debug, Default)]
pub struct StringPool(Vec<Rc<str>>);

impl StringPool {
    fn shared(&mut self, word: &str) -> Rc<str> {
        if let Some(known) = self.0.iter().find(|known| &***known == word) {
            return known.clone();
        }
        let new: Rc<str> = word.into();
        if self.0.len() < WORDS_MOST {
            self.0.push(new.clone());
        }
        new
    }
}

/// An entry's fields, each of any type or missing.
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

/// A value of which only words and numbers are kept.
#[derive(Default)]
enum Field<'a> {
    Text(Cow<'a, str>),
    Whole(u64),
    Number(f64),
    #[default]
    Other,
}

impl Field<'_> {
    fn text(&self) -> Option<&str> {
        if let Field::Text(text) = self { Some(text) } else { None }
    }

    fn whole(&self) -> Option<u64> {
        if let Field::Whole(number) = self { Some(*number) } else { None }
    }

    fn number(&self) -> Option<f64> {
        match self {
            Field::Whole(number) => Some(*number as f64),
            Field::Number(number) => Some(*number),
            Field::Text(_) | Field::Other => None,
        }
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Field<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(AnyValue)
    }
}

/// Takes a value of any type for a [`Field`].
struct AnyValue;

impl<'de> Visitor<'de> for AnyValue {
    type Value = Field<'de>;

    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("any value")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Field<'de>, E> {
        Ok(Field::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Field<'de>, E> {
        Ok(Field::Text(Cow::Owned(text.to_string())))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Field<'de>, E> {
        Ok(Field::Whole(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Field<'de>, E> {
        Ok(Field::Number(number as f64))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Field<'de>, E> {
        Ok(Field::Number(number))
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
