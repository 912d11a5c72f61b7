//! Counts the injected faults and writes the counts to a file when the process exits.

use std::collections::BTreeMap;
use std::sync::{Mutex, Once};

/// The environment variable that names the report file.
const REPORT_VARIABLE: &str = "MARTENRAMP_FAULTS_REPORT";

static COUNTS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());
static REGISTER_EXIT_HANDLER: Once = Once::new();

/// Counts one injected fault of a call.
pub fn count(call: &str, fault: &str) {
    REGISTER_EXIT_HANDLER.call_once(|| {
        // SAFETY: `write_report` takes no arguments, never unwinds, and stays loaded until the process ends.
        unsafe { libc::atexit(write_report) };
    });
    if let Ok(mut counts) = COUNTS.lock() {
        *counts.entry(format!("{call} {fault}")).or_default() += 1;
    }
}

extern "C" fn write_report() {
    let Ok(path) = std::env::var(REPORT_VARIABLE) else { return };
    let Ok(counts) = COUNTS.lock() else { return };
    let lines: Vec<String> = counts.iter().map(|(fault, count)| format!("{fault}: {count}\n")).collect();
    drop(counts);
    // If the report can't be written, the test that reads it fails.
    let _ = std::fs::write(path, lines.concat());
}
