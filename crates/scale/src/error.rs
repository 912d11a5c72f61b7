//! What can go wrong in a run, each said in one line.

use std::fmt;
use std::path::{Path, PathBuf};

/// Why a run was refused or could not be finished.
#[derive(Debug)]
pub enum ScaleError {
    /// A key of a scenario, or an argument, that can't be taken.
    BadKey { key: String, why: String },
    /// A scenario that can't be read as one; the parser's message names the key.
    BadScenario { file: PathBuf, why: String },
    /// A file that can't be read or written.
    File { file: PathBuf, why: String },
    /// The program itself refused what was given to it, for this reason code.
    Refused { why: &'static str },
    /// A measurement that could not be made.
    Measurement { what: String, why: String },
}

impl ScaleError {
    /// A key with a value that can't be taken.
    pub fn bad_key(key: impl Into<String>, why: impl Into<String>) -> ScaleError {
        ScaleError::BadKey { key: key.into(), why: why.into() }
    }

    /// A file that can't be read or written.
    pub fn file(file: &Path, why: impl fmt::Display) -> ScaleError {
        ScaleError::File { file: file.to_path_buf(), why: one_line(&why.to_string()) }
    }

    /// A scenario that is not one.
    pub fn scenario(file: &Path, why: impl fmt::Display) -> ScaleError {
        ScaleError::BadScenario { file: file.to_path_buf(), why: one_line(&why.to_string()) }
    }
}

/// Several lines of a message (a parser's with its place marked) as one.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

impl fmt::Display for ScaleError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScaleError::BadKey { key, why } => write!(out, "'{key}': {why}"),
            ScaleError::BadScenario { file, why } | ScaleError::File { file, why } => {
                write!(out, "{}: {why}", file.display())
            }
            ScaleError::Refused { why } => write!(out, "refused by the program: {why}"),
            ScaleError::Measurement { what, why } => write!(out, "{what}: {why}"),
        }
    }
}

impl std::error::Error for ScaleError {}
