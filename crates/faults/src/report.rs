//! Counts of the faults that really happened, written as the process exits.

use std::collections::BTreeMap;
use std::sync::{Mutex, Once};

/// The variable that names the file.
const VARIABLE: &str = "MARTENRAMP_FAULTS_REPORT";

static COUNTS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());
static AT_EXIT: Once = Once::new();

/// Notes one fault of a call.
pub fn count(call: &str, fault: &str) {
    AT_EXIT.call_once(|| {
        // SAFETY: `write` takes no arguments, unwinds nowhere, and stays loaded until the process ends.
        unsafe { libc::atexit(write) };
    });
    if let Ok(mut counts) = COUNTS.lock() {
        *counts.entry(format!("{call} {fault}")).or_default() += 1;
    }
}

extern "C" fn write() {
    let Ok(path) = std::env::var(VARIABLE) else { return };
    let Ok(counts) = COUNTS.lock() else { return };
    let lines: Vec<String> = counts.iter().map(|(fault, count)| format!("{fault}: {count}\n")).collect();
    drop(counts);
    // A report that can't be written is missed by the test that reads it.
    let _ = std::fs::write(path, lines.concat());
}
