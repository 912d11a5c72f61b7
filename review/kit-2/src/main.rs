mod common;
mod crowd;
mod door;
mod late_repeat;
mod memory;
mod names;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("crowd") => crowd::main(),
        Some("memory") => memory::main(),
        Some("names") => names::main(),
        Some("late-repeat") => late_repeat::main(),
        Some("door") => door::main(),
        _ => common::no_run("no such case"),
    }
}
