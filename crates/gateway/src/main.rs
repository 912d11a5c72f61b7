//! The command line: `martenramp serve`, `check-config`, `lab`, `version`.

use gateway::config::Config;
use gateway::driver::Driver;
use gateway::gateway::{ConfigReader, Gateway};
use gateway::logs::LogBuffer;
use lexopt::prelude::*;
use std::process::ExitCode;

const HELP: &str = "\
martenramp: an admission gateway for a service sold by plan

usage: martenramp serve [--config FILE]          run the gateway until SIGTERM;
                                                 SIGHUP makes it read FILE again
       martenramp check-config [--config FILE]   read the configuration and say what it holds;
              --against OLD                      and what changes from OLD, what of it contradicts, and
                                                 whether it may follow while gateways run on OLD
       martenramp lab run|sweep|report ...           the project's own emulator; see `martenramp lab --help`
       martenramp version

FILE is $LB_CONFIG unless given; $LB_NAME, $LB_LISTEN and $LB_DISCOVERY tell what it leaves out.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("martenramp: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut words = std::env::args_os().skip(1);
    if words.next().is_some_and(|word| word == "lab") {
        return lab::cli::main(words.collect());
    }
    let (mut command, mut file, mut against) = (None, None, None);
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next().map_err(|e| e.to_string())? {
        match arg {
            Short('h') | Long("help") => command = Some("help".to_string()),
            Short('V') | Long("version") => command = Some("version".to_string()),
            Long("config") => file = Some(args.value().map_err(|e| e.to_string())?),
            Long("against") => against = Some(args.value().map_err(|e| e.to_string())?),
            Value(word) if command.is_none() => command = Some(word.to_string_lossy().into_owned()),
            arg => return Err(arg.unexpected().to_string()),
        }
    }
    let read = |path: std::ffi::OsString| {
        let shown = path.to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{shown}: {e}"))?;
        Config::parse(&text, |name| std::env::var(name).ok()).map_err(|e| format!("{shown}: {e}"))
    };
    let config = move || {
        let path = file.clone().or_else(|| std::env::var_os("LB_CONFIG"));
        read(path.ok_or("no configuration: set LB_CONFIG")?)
    };
    match command.as_deref() {
        Some("serve") => serve(config()?, Box::new(config)),
        Some("check-config") => {
            let config = config()?;
            println!("{}: listens at {}, discovery at {}", config.name, config.listen, config.discovery);
            println!(
                "{} methods, {} plans, {} settings",
                config.methods.len(),
                config.plans.len(),
                config.settings.len()
            );
            match against {
                Some(old) => compare(&read(old)?, &config),
                None => Ok(()),
            }
        }
        Some("version") => {
            println!("martenramp {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("no command '{other}'; try --help")),
        None => Err("no command; try --help".to_string()),
    }
}

/// Says what changes from one configuration to the next; an error if the next may not follow while gateways run.
fn compare(old: &Config, new: &Config) -> Result<(), String> {
    for change in agreement::rules::changes(&old.settings, &new.settings) {
        let shown = |value: Option<String>| value.unwrap_or_else(|| "nothing".to_string());
        let mark = if change.contradicts { "contradicts" } else { "harmless" };
        println!("{mark:11} {}: {} to {}", change.name, shown(change.old), shown(change.new));
    }
    let (Some(old), Some(new)) = (&old.agreement, &new.agreement) else {
        return Err(
            "no 'agreement' in one of the two: restart all gateways to change between them".to_string()
        );
    };
    let why = agreement::rules::objections(&old.version, &new.version);
    let (number, after) = (new.version.number, old.version.number);
    if !why.is_empty() {
        let why = why.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n  ");
        return Err(format!("version {number} may not follow {after} while gateways run:\n  {why}"));
    }
    println!("version {number} may follow {after}");
    Ok(())
}

fn serve(mut config: Config, read_again: ConfigReader) -> Result<(), String> {
    let logs = LogBuffer::default();
    let log = logs.logger(&config.name);
    let listen = config.listen;
    let (driver, net, listen) = Driver::new(listen).map_err(|e| format!("can't listen at {listen}: {e}"))?;
    config.listen = listen;
    let mut gateway = Gateway::new(config, read_again, net, log);
    let ended = driver.run(&mut gateway, &logs).map_err(|e| e.to_string());
    gateway.log_end();
    logs.write_pending();
    ended
}
