//! `martenramp-sites CHANGES.toml... [--kit DIR]`: renders each variant beside its file of changes, with what the bench
//! wants beside a site file.

use sites::Changes;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Where site files are handed out, from the repository's root, and what lies beside each of them.
const KIT: &str = "../given/kit/sites";
const BESIDE: [&str; 3] = ["real.json", "wire.json", "unlock.txt"];
const USAGE: &str = "usage: martenramp-sites CHANGES.toml... [--kit DIR]";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("martenramp-sites: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    use lexopt::Arg::{Long, Short, Value};
    let (mut files, mut kit) = (Vec::<PathBuf>::new(), PathBuf::from(KIT));
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next().map_err(|e| e.to_string())? {
        match argument {
            Long("kit") => kit = arguments.value().map_err(|e| e.to_string())?.into(),
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(file) => files.push(file.into()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    if files.is_empty() {
        return Err(USAGE.to_string());
    }
    files.iter().try_for_each(|file| render(file, &kit))
}

fn render(file: &Path, kit: &Path) -> Result<(), String> {
    let read = |path: &Path| {
        std::fs::read_to_string(path).map_err(|e| format!("can't read {}: {e}", path.display()))
    };
    let at = |why: String| format!("{}: {why}", file.display());
    let changes = Changes::read(&read(file)?).map_err(at)?;
    if !kit.is_dir() {
        return Err(format!("no site files at {}; --kit names where they were handed out", kit.display()));
    }
    let site = changes.render(&read(&kit.join(&changes.from).with_extension("toml"))?).map_err(at)?;
    let beside: Vec<_> =
        BESIDE.iter().map(|name| Ok((name, read(&kit.join(name))?))).collect::<Result<_, String>>()?;
    let folder = file.parent().unwrap_or(Path::new("."));
    let made = folder.join(&changes.name).with_extension("toml");
    if made == *file {
        return Err(at("what is rendered would take the place of the changes".to_string()));
    }
    let write = |path: &Path, text: &str| {
        std::fs::write(path, text).map_err(|e| format!("can't write {}: {e}", path.display()))
    };
    beside.iter().try_for_each(|(name, text)| write(&folder.join(name), text))?;
    write(&made, &site)?;
    println!("{}", made.display());
    Ok(())
}
