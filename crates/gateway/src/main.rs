//! Command line of the gateway: `martenramp serve`, `check-config`, `lab` and `version`.

use gateway::config::Config;
use gateway::driver::Driver;
use gateway::gateway::{ConfigReader, Gateway};
use gateway::logs::LogBuffer;
use lexopt::prelude::*;
use std::ffi::OsString;
use std::process::ExitCode;

const HELP: &str = "\
martenramp: an admission gateway for a service sold by plan

usage: martenramp serve [--config FILE]          run the gateway until SIGTERM;
                                                 SIGHUP reloads FILE
       martenramp check-config [--config FILE]   check the configuration and print a summary;
              --against OLD                      also print the changes from OLD, mark those that
                                                 contradict it, and check whether FILE may be rolled
                                                 out while gateways run on OLD
       martenramp lab run|sweep|report ...       the project's emulator; see `martenramp lab --help`
       martenramp version

FILE defaults to $LB_CONFIG; $LB_NAME, $LB_LISTEN and $LB_DISCOVERY supply what FILE leaves out.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("martenramp: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut raw_args = std::env::args_os().skip(1);
    if raw_args.next().is_some_and(|arg| arg == "lab") {
        return lab::cli::main(raw_args.collect());
    }
    let (mut command, mut config_file, mut against) = (None, None, None);
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next().map_err(|e| e.to_string())? {
        match arg {
            Short('h') | Long("help") => command = Some("help".to_string()),
            Short('V') | Long("version") => command = Some("version".to_string()),
            Long("config") => config_file = Some(args.value().map_err(|e| e.to_string())?),
            Long("against") => against = Some(args.value().map_err(|e| e.to_string())?),
            Value(name) if command.is_none() => command = Some(name.to_string_lossy().into_owned()),
            arg => return Err(arg.unexpected().to_string()),
        }
    }
    let config_path = move || {
        let path = config_file.clone().or_else(|| std::env::var_os("LB_CONFIG"));
        path.ok_or("no configuration: set LB_CONFIG".to_string())
    };
    match command.as_deref() {
        Some("serve") => {
            let config = read_config(config_path()?, Config::parse)?;
            serve(config, Box::new(move || read_config(config_path()?, Config::parse_again)))
        }
        Some("check-config") => {
            let config = read_config(config_path()?, Config::parse)?;
            println!("{}: listens at {}, discovery at {}", config.name, config.listen, config.discovery);
            println!(
                "{} methods, {} plans, {} settings",
                config.methods.len(),
                config.plans.len(),
                config.settings.len()
            );
            match against {
                Some(old) => compare(&read_config(old, Config::parse)?, &config),
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

/// Looks up a variable of the environment.
type Environment = fn(&str) -> Option<String>;

/// Reads a configuration file with one of the parsers of [`Config`].
fn read_config(
    path: OsString,
    parse: impl Fn(&str, Environment) -> Result<Config, String>,
) -> Result<Config, String> {
    let display_path = path.to_string_lossy().into_owned();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{display_path}: {e}"))?;
    parse(&text, |name| std::env::var(name).ok()).map_err(|e| format!("{display_path}: {e}"))
}

/// Prints the changes from one configuration to the next; fails if the next one may not be rolled
/// out while gateways run on the old one.
fn compare(old: &Config, new: &Config) -> Result<(), String> {
    for change in agreement::rules::changes(&old.settings, &new.settings) {
        let or_nothing = |value: Option<String>| value.unwrap_or_else(|| "nothing".to_string());
        let mark = if change.contradicts { "contradicts" } else { "harmless" };
        println!("{mark:11} {}: {} to {}", change.name, or_nothing(change.old), or_nothing(change.new));
    }
    let (Some(old), Some(new)) = (&old.agreement, &new.agreement) else {
        return Err(
            "one of the two has no 'agreement': restart all gateways to change between them".to_string()
        );
    };
    let objections = agreement::rules::objections(&old.version, &new.version);
    let (number, after) = (new.version.number, old.version.number);
    if !objections.is_empty() {
        let objections = objections.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n  ");
        return Err(format!("version {number} may not follow {after} while gateways run:\n  {objections}"));
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
