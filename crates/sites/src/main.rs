//! Command `martenramp-sites CHANGES.toml... [--kit DIR]`: renders each variant of a site next to its file of changes,
//! together with the files that the bench expects next to a site file.

use sites::Changes;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Default folder of the original site files, relative to the root of the repository.
const KIT: &str = "../given/kit/sites";
/// Files that the bench expects next to a site file; they are copied from the kit.
const COMPANION_FILES: [&str; 3] = ["real.json", "wire.json", "unlock.txt"];
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

/// Writes the site that a file of changes describes, and the companion files, into the folder of that file. All inputs
/// are read before anything is written.
fn render(file: &Path, kit: &Path) -> Result<(), String> {
    let read = |path: &Path| {
        std::fs::read_to_string(path).map_err(|e| format!("can't read {}: {e}", path.display()))
    };
    let in_file = |why: String| format!("{}: {why}", file.display());
    let changes = Changes::read(&read(file)?).map_err(in_file)?;
    if !kit.is_dir() {
        return Err(format!("no site files at {}; pass their folder with --kit", kit.display()));
    }
    let site = changes.render(&read(&kit.join(&changes.from).with_extension("toml"))?).map_err(in_file)?;
    let companions: Vec<_> = COMPANION_FILES
        .iter()
        .map(|name| Ok((name, read(&kit.join(name))?)))
        .collect::<Result<_, String>>()?;
    let folder = file.parent().unwrap_or(Path::new("."));
    let rendered = folder.join(&changes.name).with_extension("toml");
    if rendered == *file {
        return Err(in_file("the rendered site would overwrite the file of changes".to_string()));
    }
    let write = |path: &Path, text: &str| {
        std::fs::write(path, text).map_err(|e| format!("can't write {}: {e}", path.display()))
    };
    companions.iter().try_for_each(|(name, text)| write(&folder.join(name), text))?;
    write(&rendered, &site)?;
    println!("{}", rendered.display());
    Ok(())
}
