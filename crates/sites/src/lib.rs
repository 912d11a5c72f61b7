//! Variants of a site file. A site file describes a deployment to the operators' bench and does not belong to this
//! repository; a file of changes does. [`render`] applies one to the other. Every path of a change has to name something
//! that the site has, so that a change that has gone stale is an error and never a silent nothing.
//!
//! Paths are keys joined by dots; an item of a list of tables goes by its `name` or by its number (`class.read.share`,
//! `fam.plan.0.rate`), and all paths are those of the site as it was handed out.
#![deny(missing_docs)]

use toml_edit::{DocumentMut, Item, Table, Value};

/// The keys of a file of changes.
const KNOWN: [&str; 5] = ["from", "name", "set", "copy", "drop"];

/// What a file of changes tells.
#[derive(Debug)]
pub struct Changes {
    /// The site that is changed, as its file is named, and the name of what comes out.
    pub from: String,
    /// The name of what comes out.
    pub name: String,
    set: Vec<(String, Value)>,
    /// Items of lists that are added: whose copies they are, and what is set in them.
    copy: Vec<(String, Vec<(String, Value)>)>,
    drop: Vec<String>,
}

/// One step of a resolved path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Key(String),
    Number(usize),
}

impl Changes {
    /// Reads a file of changes.
    ///
    /// # Errors
    /// One line that says what is wrong with it.
    pub fn read(text: &str) -> Result<Changes, String> {
        let all: DocumentMut = text.parse().map_err(|e: toml_edit::TomlError| one_line(&e.to_string()))?;
        if let Some((key, _)) = all.iter().find(|(key, _)| !KNOWN.contains(key)) {
            return Err(format!("changes know no '{key}'"));
        }
        let word = |key: &str| {
            let told = all.get(key).and_then(Item::as_str).filter(|told| !told.is_empty());
            told.map(str::to_string).ok_or(format!("'{key}' is missing"))
        };
        let (from, name) = (word("from")?, word("name")?);
        // It becomes a file's name beside the changes.
        if !name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-') {
            return Err(format!("'name' may hold letters, digits and '-' only: {name:?}"));
        }
        let set = match all.get("set") {
            None => Vec::new(),
            Some(told) => values(told).ok_or("'set' is no table of paths and values")?,
        };
        let copies = match all.get("copy") {
            None => Vec::new(),
            Some(told) => told.as_array_of_tables().ok_or("'copy' is no list of tables")?.iter().collect(),
        };
        let mut copy = Vec::new();
        for told in copies {
            let of = told.get("of").and_then(Item::as_str).ok_or("a 'copy' names no 'of'")?;
            let set = told.get("set").and_then(values).ok_or(format!("the copy of '{of}' tells no 'set'"))?;
            copy.push((of.to_string(), set));
        }
        let drop = match all.get("drop").map(Item::as_array) {
            None => Vec::new(),
            Some(told) => {
                let paths = told.into_iter().flatten().map(|path| path.as_str().map(str::to_string));
                paths.collect::<Option<_>>().filter(|_| told.is_some()).ok_or("'drop' is no list of paths")?
            }
        };
        Ok(Changes { from, name, set, copy, drop })
    }

    /// The site with these changes: values first, then copies, which stand at their lists' ends, then what is dropped.
    ///
    /// # Errors
    /// One line that names the path that the site lacks, or what is wrong with the site.
    pub fn render(&self, site: &str) -> Result<String, String> {
        let mut site: DocumentMut = site
            .parse()
            .map_err(|e: toml_edit::TomlError| format!("the site: {}", one_line(&e.to_string())))?;
        let known = site.get("name").and_then(Item::as_str).unwrap_or_default();
        if known != self.from {
            return Err(format!("the site is '{known}', and the changes are for '{}'", self.from));
        }
        let steps = |path: &String| resolve(site.as_item(), path);
        let set: Vec<_> = self.set.iter().map(|(path, _)| steps(path)).collect::<Result<_, _>>()?;
        let copy: Vec<_> = self.copy.iter().map(|(of, _)| steps(of)).collect::<Result<_, _>>()?;
        let mut drop: Vec<_> = self.drop.iter().map(steps).collect::<Result<_, _>>()?;
        for (steps, (path, value)) in set.iter().zip(&self.set) {
            let at = reach(site.as_item_mut(), steps).filter(|at| at.is_value());
            *at.ok_or(format!("'{path}' is no single value"))? = Item::Value(value.clone());
        }
        for (steps, (of, set)) in copy.iter().zip(&self.copy) {
            let (last, list) = steps.split_last().ok_or("a copy of nothing")?;
            let list = reach(site.as_item_mut(), list).and_then(Item::as_array_of_tables_mut);
            let (Some(list), Step::Number(number)) = (list, last) else {
                return Err(format!("'{of}' is no item of a list"));
            };
            let mut item = list.get(*number).cloned().ok_or(format!("'{of}' is no item of a list"))?;
            for (key, value) in set {
                let at = item.get_mut(key).filter(|at| at.is_value());
                *at.ok_or(format!("the site lacks '{of}.{key}'"))? = Item::Value(value.clone());
            }
            // Tables are written by their places in the text; a copy follows the last of its list.
            if let Some(place) = list.iter().filter_map(Table::position).max() {
                item.set_position(place);
            }
            list.push(item);
        }
        drop.sort();
        for steps in drop.iter().rev() {
            let (last, rest) = steps.split_last().ok_or("a drop of nothing")?;
            match (reach(site.as_item_mut(), rest), last) {
                (Some(list), Step::Number(number)) => {
                    list.as_array_of_tables_mut().map(|list| list.remove(*number));
                }
                (Some(table), Step::Key(key)) => drop_key(table, key),
                _ => return Err("dropped twice".to_string()),
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

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The values of a table, by their keys, in the order in which they stand.
fn values(item: &Item) -> Option<Vec<(String, Value)>> {
    let entries = item.as_table_like()?.iter();
    entries.map(|(key, item)| Some((key.to_string(), item.as_value()?.clone().decorated(" ", "")))).collect()
}

/// The steps to what a path names.
fn resolve(site: &Item, path: &str) -> Result<Vec<Step>, String> {
    let lacks = || format!("the site lacks '{path}'");
    let (mut at, mut steps) = (site, Vec::new());
    for part in path.split('.') {
        let step = match at.as_array_of_tables() {
            None => Step::Key(part.to_string()),
            Some(list) => {
                let named = |table: &Table| table.get("name").and_then(Item::as_str) == Some(part);
                let number = list.iter().position(named).or_else(|| part.parse().ok());
                Step::Number(number.ok_or_else(lacks)?)
            }
        };
        at = match &step {
            Step::Key(key) => at.get(key.as_str()).ok_or_else(lacks)?,
            Step::Number(number) => at.get(*number).ok_or_else(lacks)?,
        };
        steps.push(step);
    }
    Ok(steps)
}

fn reach<'a>(site: &'a mut Item, steps: &[Step]) -> Option<&'a mut Item> {
    steps.iter().try_fold(site, |at, step| match step {
        Step::Key(key) => at.get_mut(key.as_str()),
        Step::Number(number) => at.get_mut(*number),
    })
}
