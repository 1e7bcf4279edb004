//! Runs the fault soak for one or more seeds and writes a report for each.

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
    /// The number of runs, one after another, each with the next seed.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// The number of router processes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=40))]
    routers: u64,
    /// The time in seconds during which faults are injected; a run takes half a minute more.
    #[arg(long, default_value_t = 16)]
    seconds: u64,
    /// Run without any fault.
    #[arg(long, visible_alias = "calm")]
    fault_free: bool,
    /// Inject only faults whose names contain one of these texts, separated by commas.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Report violations that a delay of the harness may explain, but do not fail for them.
    #[arg(long)]
    allow_doubtful: bool,
    /// The router program.
    #[arg(long, default_value = "target/release/llm-router")]
    router: PathBuf,
    /// The fault shim.
    #[arg(long, default_value = "target/release/libfault_shim.so")]
    shim: PathBuf,
    /// A folder for the logs of the routers.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// A folder for the reports.
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
                eprintln!("seed {seed}: not run: {error}");
                failed += 1;
            }
        }
    }
    println!("{} seeds run, {failed} with violations", arguments.runs);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one seed, writes its report and returns the number of violations that count.
async fn run_seed(arguments: &Arguments, seed: u64) -> Result<usize, SoakError> {
    let folder = std::env::temp_dir().join(format!("fault-soak-{}-{seed}", std::process::id()));
    create_folder(&folder)?;
    let programs = Programs { router: absolute(&arguments.router)?, shim: absolute(&arguments.shim)? };
    let options = Options {
        seed,
        router_count: arguments.routers as usize,
        fault_period: Duration::from_secs(arguments.seconds),
        is_fault_free: arguments.fault_free,
        only: arguments.only.clone(),
        programs,
        folder: folder.clone(),
    };
    let finished = run(&options).await?;
    let entries = finished.world.history().entries();
    let verdict = judge(&entries, &finished.world.deployment, finished.observed.clone());
    println!("seed {seed}: {}", report::headline(&verdict));
    if let Some(logs) = &arguments.logs {
        create_folder(logs)?;
        report::write_logs(&finished, &entries, logs)?;
    }
    create_folder(&arguments.reports)?;
    let file = arguments.reports.join(format!("seed-{seed}.txt"));
    std::fs::write(&file, report::text(&finished, &entries, &verdict))
        .map_err(|error| SoakError::Files(file, error))?;
    std::fs::remove_dir_all(&folder).map_err(|error| SoakError::Files(folder, error))?;
    let counts = |violation: &&Violation| !(arguments.allow_doubtful && violation.is_doubtful);
    Ok(verdict.violations.iter().filter(counts).count())
}

fn create_folder(folder: &Path) -> Result<(), SoakError> {
    std::fs::create_dir_all(folder).map_err(|error| SoakError::Files(folder.to_owned(), error))
}

fn absolute(path: &Path) -> Result<PathBuf, SoakError> {
    std::path::absolute(path).map_err(|error| SoakError::Files(path.to_owned(), error))
}
