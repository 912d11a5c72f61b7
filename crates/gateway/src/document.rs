//! Reads the JSON document of a configuration file, with or without the list of servers in it.

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// Key of the list of servers, by far the largest part of a file where there are many.
pub const LIST_KEY: &str = "known";

/// Parses a document, which has to be an object. With `without_list` the list of servers is skipped: building its tree takes many
/// times as long as passing over it.
pub fn parse(text: &str, without_list: bool) -> Result<Value, serde_json::Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let document = Document { without_list }.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(document)
}

/// Deserializes an object and leaves out the list of servers, if it is not wanted.
struct Document {
    without_list: bool,
}

impl<'de> DeserializeSeed<'de> for Document {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Document {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut document = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            if self.without_list && key == LIST_KEY {
                entries.next_value::<IgnoredAny>()?;
            } else {
                document.insert(key, entries.next_value()?);
            }
        }
        Ok(Value::Object(document))
    }
}
