mod common;
mod crowd;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("crowd") => crowd::main(),
        _ => common::no_run("no such case"),
    }
}
