//! The error type of the scale tests; each error is displayed as one line.

use std::fmt;
use std::path::{Path, PathBuf};

/// Why a run was rejected or could not be completed.
#[derive(Debug)]
pub enum ScaleError {
    /// An invalid value of a scenario key or of an argument.
    BadKey { key: String, why: String },
    /// A scenario file that can't be parsed; the parser's message names the key.
    BadScenario { file: PathBuf, why: String },
    /// A file that can't be read or written.
    File { file: PathBuf, why: String },
    /// The program under test rejected its input with this reason code.
    Refused { why: &'static str },
    /// A measurement that failed.
    Measurement { what: String, why: String },
}

impl ScaleError {
    /// An error for a key with an invalid value.
    pub fn bad_key(key: impl Into<String>, why: impl Into<String>) -> ScaleError {
        ScaleError::BadKey { key: key.into(), why: why.into() }
    }

    /// An error for a file that can't be read or written.
    pub fn file(file: &Path, why: impl fmt::Display) -> ScaleError {
        ScaleError::File { file: file.to_path_buf(), why: join_lines(&why.to_string()) }
    }

    /// An error for a scenario file that can't be parsed.
    pub fn scenario(file: &Path, why: impl fmt::Display) -> ScaleError {
        ScaleError::BadScenario { file: file.to_path_buf(), why: join_lines(&why.to_string()) }
    }
}

/// Joins the lines of a message into one; parsers return several lines, with the position of the error marked.
fn join_lines(text: &str) -> String {
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
