mod common;
mod crowd;
mod memory;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("crowd") => crowd::main(),
        Some("memory") => memory::main(),
        _ => common::no_run("no such case"),
    }
}
