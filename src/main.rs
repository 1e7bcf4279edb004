//! The command line of the router.

use llm_router::import::haproxy::{ImportError, import};
use llm_router::logging::Log;
use llm_router::process::{ConfigSource, StartError, read_file, serve};
use std::process::ExitCode;

const USAGE: &str =
    "usage: llm-router                      serve with the JSON configuration file that NODE_CONFIG names
       llm-router serve FILE           serve with an operator's TOML file
       llm-router import haproxy FILE  convert an HAProxy configuration to an operator's file";

/// What the command line asks for.
enum Command {
    ServeFromEnvironment,
    ServeFile(String),
    ImportHaproxy(String),
    Help,
}

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{USAGE}")]
    Usage,
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("importing {file}: {source}")]
    Import { file: String, source: ImportError },
}

fn main() -> ExitCode {
    let log = Log::start();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match Command::parse(&arguments).and_then(|command| command.execute(&log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("aspenyoke: {error}");
            ExitCode::FAILURE
        }
    }
}

impl Command {
    fn parse(arguments: &[String]) -> Result<Self, CommandError> {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        match arguments.as_slice() {
            [] => Ok(Command::ServeFromEnvironment),
            ["serve", file] => Ok(Command::ServeFile((*file).to_owned())),
            ["import", "haproxy", file] => Ok(Command::ImportHaproxy((*file).to_owned())),
            ["-h" | "--help" | "help"] => Ok(Command::Help),
            _ => Err(CommandError::Usage),
        }
    }

    fn execute(self, log: &Log) -> Result<(), CommandError> {
        match self {
            Command::ServeFromEnvironment => serve(ConfigSource::from_environment()?, log)?,
            Command::ServeFile(file) => serve(ConfigSource::operator_file(&file), log)?,
            Command::ImportHaproxy(file) => import_haproxy(file)?,
            Command::Help => println!("{USAGE}"),
        }
        Ok(())
    }
}

/// Writes the operator's file to standard output, and the settings that were not imported to standard error.
fn import_haproxy(file: String) -> Result<(), CommandError> {
    let text = read_file(&file)?;
    let imported = import(&text).map_err(|source| CommandError::Import { file, source })?;
    print!("{}", imported.file);
    for omission in imported.omissions {
        eprintln!("line {}, not carried over: {}", omission.line, omission.description);
    }
    Ok(())
}
