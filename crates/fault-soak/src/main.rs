//! Runs the fault soak for one or more seeds and writes a report for each of them.

use clap::Parser;
use fault_soak::error::SoakError;
use fault_soak::oracle::{Violation, judge};
use fault_soak::report;
use fault_soak::router::Programs;
use fault_soak::run::{Options, run};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A randomized fault soak of real router processes on loopback addresses.
#[derive(Parser, Debug)]
#[command(version)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of consecutive runs, each with the next seed.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// The number of router processes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=40))]
    routers: u64,
    /// The time in seconds during which faults are injected. A run takes about 30 seconds more.
    #[arg(long, default_value_t = 16)]
    seconds: u64,
    /// Inject no faults.
    #[arg(long, visible_alias = "calm")]
    fault_free: bool,
    /// Inject only faults whose names contain one of these texts, separated by commas.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Report violations that a delay of the test harness may explain, but do not fail because of them.
    #[arg(long)]
    allow_doubtful: bool,
    /// The path of the router program.
    #[arg(long, default_value = "target/release/llm-router")]
    router: PathBuf,
    /// The path of the fault shim.
    #[arg(long, default_value = "target/release/libfault_shim.so")]
    shim: PathBuf,
    /// The directory for the logs of the routers. Without it, no logs are written.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// The directory for the reports.
    #[arg(long, default_value = "found/soak")]
    reports: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        match run_seed(&arguments, seed).await {
            Ok(0) => {}
            Ok(_violations) => failed += 1,
            Err(error) => {
                eprintln!("seed {seed}: error: {error}");
                failed += 1;
            }
        }
    }
    println!("{} seeds run, {failed} failed", arguments.runs);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one seed and writes its report. Returns the number of violations, without the doubtful ones if these
/// are allowed.
async fn run_seed(arguments: &Arguments, seed: u64) -> Result<usize, SoakError> {
    let directory = std::env::temp_dir().join(format!("fault-soak-{}-{seed}", std::process::id()));
    create_directory(&directory)?;
    let programs = Programs { router: absolute(&arguments.router)?, shim: absolute(&arguments.shim)? };
    let options = Options {
        seed,
        router_count: arguments.routers as usize,
        fault_period: Duration::from_secs(arguments.seconds),
        is_fault_free: arguments.fault_free,
        only: arguments.only.clone(),
        programs,
        directory: directory.clone(),
    };
    let finished = run(&options).await?;
    let entries = finished.testbed.history().entries();
    let verdict = judge(&entries, &finished.testbed.deployment, finished.observation_window.clone());
    println!("seed {seed}: {}", report::format_summary(&verdict));
    if let Some(logs) = &arguments.logs {
        create_directory(logs)?;
        report::write_logs(&finished, &entries, logs)?;
    }
    create_directory(&arguments.reports)?;
    let file = arguments.reports.join(format!("seed-{seed}.txt"));
    std::fs::write(&file, report::format_report(&finished, &entries, &verdict))
        .map_err(|error| SoakError::FileAccess(file, error))?;
    std::fs::remove_dir_all(&directory).map_err(|error| SoakError::FileAccess(directory, error))?;
    let is_counted = |violation: &&Violation| !(arguments.allow_doubtful && violation.is_doubtful);
    Ok(verdict.violations.iter().filter(is_counted).count())
}

fn create_directory(directory: &Path) -> Result<(), SoakError> {
    std::fs::create_dir_all(directory).map_err(|error| SoakError::FileAccess(directory.to_owned(), error))
}

fn absolute(path: &Path) -> Result<PathBuf, SoakError> {
    std::path::absolute(path).map_err(|error| SoakError::FileAccess(path.to_owned(), error))
}
