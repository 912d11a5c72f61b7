//! Flattens nested JSON (or anything serde can convert to it, such as a TOML table) into the `path=value` settings that the
//! admission controller reads. Shared by the gateway's configuration and the lab's scenarios.

use crate::host::Settings;
use serde_json::{Map, Value};

/// Flattens nested settings. A list of plain values is joined with commas. A list of objects becomes its length under
/// `.count` and its items under their indices. Spaces and commas within values become `_`.
///
/// ```
/// let nested = serde_json::json!({"zone": 1, "a": {"hasCounter": true}, "zones": ["x y", "z"],
///     "classes": [{"onTime": 1.5}, {"onTime": 0.8}]});
/// let flat = martenramp::settings::flatten(nested.as_object().unwrap());
/// let get = |name: &str| flat[name].as_str();
/// assert_eq!((get("zone"), get("a.hasCounter"), get("zones")), ("1", "true", "x_y,z"));
/// assert_eq!((get("classes.count"), get("classes.1.onTime")), ("2", "0.8"));
/// ```
pub fn flatten(nested: &Map<String, Value>) -> Settings {
    let mut flat = Settings::new();
    nested.iter().for_each(|(name, value)| insert(&mut flat, name, value));
    flat
}

fn insert(flat: &mut Settings, path: &str, value: &Value) {
    match value {
        Value::Null => {}
        Value::Object(entries) => {
            entries.iter().for_each(|(name, value)| insert(flat, &format!("{path}.{name}"), value));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flat.insert(format!("{path}.count"), items.len().to_string());
            items.iter().enumerate().for_each(|(index, item)| insert(flat, &format!("{path}.{index}"), item));
        }
        Value::Array(items) => {
            let values: Vec<String> = items.iter().map(plain_text).collect();
            flat.insert(path.to_string(), values.join(","));
        }
        value => drop(flat.insert(path.to_string(), plain_text(value))),
    }
}

fn plain_text(value: &Value) -> String {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    text.replace([' ', ','], "_")
}
