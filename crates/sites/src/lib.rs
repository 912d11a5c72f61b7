//! Renders variants of site files from files of changes.
//!
//! A site file describes a deployment to the operators' bench and is not part of this repository; the files of changes
//! are. [`Changes::render`] applies a file of changes to a site. Each path in it has to exist in the site, so that an
//! outdated change is an error instead of having no effect.
//!
//! A path is a list of keys joined by dots. An item of an array of tables is selected by its `name` or its index
//! (`class.read.share`, `fam.plan.0.rate`). All paths refer to the original site, before any change is applied.
#![deny(missing_docs)]

use toml_edit::{DocumentMut, Item, Table, Value};

/// Keys that a file of changes may have.
const KNOWN_KEYS: [&str; 5] = ["from", "name", "set", "copy", "drop"];

/// Contents of a file of changes.
#[derive(Debug)]
pub struct Changes {
    /// Name of the original site, which is also the name of its file.
    pub from: String,
    /// Name of the rendered site.
    pub name: String,
    set: Vec<(String, Value)>,
    /// Items to append to arrays of tables: the path of the item to copy, and the values to set in the copy.
    copy: Vec<(String, Vec<(String, Value)>)>,
    drop: Vec<String>,
}

/// Step of a resolved path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Key(String),
    Index(usize),
}

impl Changes {
    /// Parses a file of changes.
    ///
    /// # Errors
    /// Returns a one-line message if the text is not a valid file of changes.
    pub fn read(text: &str) -> Result<Changes, String> {
        let document: DocumentMut =
            text.parse().map_err(|e: toml_edit::TomlError| one_line(&e.to_string()))?;
        if let Some((key, _)) = document.iter().find(|(key, _)| !KNOWN_KEYS.contains(key)) {
            return Err(format!("unknown key '{key}' in the changes"));
        }
        let required_text = |key: &str| {
            let text = document.get(key).and_then(Item::as_str).filter(|text| !text.is_empty());
            text.map(str::to_string).ok_or(format!("'{key}' is missing"))
        };
        let (from, name) = (required_text("from")?, required_text("name")?);
        // The name is used as the file name of the rendered site.
        if !name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-') {
            return Err(format!("'name' may hold letters, digits and '-' only: {name:?}"));
        }
        let set = match document.get("set") {
            None => Vec::new(),
            Some(value) => values(value).ok_or("'set' is not a table of paths and values")?,
        };
        let copies = match document.get("copy") {
            None => Vec::new(),
            Some(value) => {
                value.as_array_of_tables().ok_or("'copy' is not an array of tables")?.iter().collect()
            }
        };
        let mut copy = Vec::new();
        for table in copies {
            let of = table.get("of").and_then(Item::as_str).ok_or("a 'copy' has no 'of'")?;
            let set = table.get("set").and_then(values).ok_or(format!("the copy of '{of}' has no 'set'"))?;
            copy.push((of.to_string(), set));
        }
        let drop = match document.get("drop").map(Item::as_array) {
            None => Vec::new(),
            Some(value) => {
                let paths = value.into_iter().flatten().map(|path| path.as_str().map(str::to_string));
                paths
                    .collect::<Option<_>>()
                    .filter(|_| value.is_some())
                    .ok_or("'drop' is not a list of paths")?
            }
        };
        Ok(Changes { from, name, set, copy, drop })
    }

    /// Applies the changes to a site: first the values are set, then copies are appended to their arrays,
    /// then items are dropped.
    ///
    /// # Errors
    /// Returns a one-line message that names a path missing in the site, or says why the site can't be changed.
    pub fn render(&self, site: &str) -> Result<String, String> {
        let mut site: DocumentMut = site
            .parse()
            .map_err(|e: toml_edit::TomlError| format!("the site: {}", one_line(&e.to_string())))?;
        let site_name = site.get("name").and_then(Item::as_str).unwrap_or_default();
        if site_name != self.from {
            return Err(format!("the site is '{site_name}', but the changes are for '{}'", self.from));
        }
        let steps = |path: &String| resolve(site.as_item(), path);
        let set: Vec<_> = self.set.iter().map(|(path, _)| steps(path)).collect::<Result<_, _>>()?;
        let copy: Vec<_> = self.copy.iter().map(|(of, _)| steps(of)).collect::<Result<_, _>>()?;
        let mut drop: Vec<_> = self.drop.iter().map(steps).collect::<Result<_, _>>()?;
        for (steps, (path, value)) in set.iter().zip(&self.set) {
            let slot = reach(site.as_item_mut(), steps).filter(|item| item.is_value());
            *slot.ok_or(format!("'{path}' is not a single value"))? = Item::Value(value.clone());
        }
        for (steps, (of, set)) in copy.iter().zip(&self.copy) {
            let (last, list) = steps.split_last().ok_or("the path of a copy is empty")?;
            let list = reach(site.as_item_mut(), list).and_then(Item::as_array_of_tables_mut);
            let (Some(list), Step::Index(index)) = (list, last) else {
                return Err(format!("'{of}' is not an item of an array of tables"));
            };
            let mut item =
                list.get(*index).cloned().ok_or(format!("'{of}' is not an item of an array of tables"))?;
            for (key, value) in set {
                let slot = item.get_mut(key).filter(|item| item.is_value());
                *slot.ok_or(format!("the site has no '{of}.{key}'"))? = Item::Value(value.clone());
            }
            // toml_edit writes tables in the order of their positions; the copy gets the position of the last
            // item of its array, so that it is written after that item.
            if let Some(place) = list.iter().filter_map(Table::position).max() {
                item.set_position(place);
            }
            list.push(item);
        }
        drop.sort();
        for steps in drop.iter().rev() {
            let (last, rest) = steps.split_last().ok_or("a path to drop is empty")?;
            match (reach(site.as_item_mut(), rest), last) {
                (Some(list), Step::Index(index)) => {
                    list.as_array_of_tables_mut().map(|list| list.remove(*index));
                }
                (Some(table), Step::Key(key)) => drop_key(table, key),
                _ => return Err("the same item is dropped twice".to_string()),
            }
        }
        site["name"] = toml_edit::value(&self.name);
        Ok(site.to_string())
    }
}

fn drop_key(table: &mut Item, key: &str) {
    if let Some(table) = table.as_table_like_mut() {
        table.remove(key);
    }
}

/// Joins the lines of a message into one.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Keys and values of a table, in the order of the text; `None` if the item is not a table of plain values.
fn values(item: &Item) -> Option<Vec<(String, Value)>> {
    let entries = item.as_table_like()?.iter();
    entries.map(|(key, item)| Some((key.to_string(), item.as_value()?.clone().decorated(" ", "")))).collect()
}

/// Resolves a path to the steps that lead to its item.
fn resolve(site: &Item, path: &str) -> Result<Vec<Step>, String> {
    let missing = || format!("the site has no '{path}'");
    let (mut at, mut steps) = (site, Vec::new());
    for part in path.split('.') {
        let step = match at.as_array_of_tables() {
            None => Step::Key(part.to_string()),
            Some(list) => {
                let named = |table: &Table| table.get("name").and_then(Item::as_str) == Some(part);
                let index = list.iter().position(named).or_else(|| part.parse().ok());
                Step::Index(index.ok_or_else(missing)?)
            }
        };
        at = match &step {
            Step::Key(key) => at.get(key.as_str()).ok_or_else(missing)?,
            Step::Index(index) => at.get(*index).ok_or_else(missing)?,
        };
        steps.push(step);
    }
    Ok(steps)
}

/// Returns the item that the steps lead to.
fn reach<'a>(site: &'a mut Item, steps: &[Step]) -> Option<&'a mut Item> {
    steps.iter().try_fold(site, |at, step| match step {
        Step::Key(key) => at.get_mut(key.as_str()),
        Step::Index(index) => at.get_mut(*index),
    })
}
