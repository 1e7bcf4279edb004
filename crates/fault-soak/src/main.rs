//! Plays the fault soak for one or more seeds.

use clap::Parser;
use fault_soak::oracle::judge;
use fault_soak::report;
use fault_soak::router::Programs;
use fault_soak::run::{Options, play};
use fleet_emulator::clock::SECOND;
use std::path::PathBuf;
use std::process::ExitCode;

/// A randomized fault soak of real router processes on loopback.
#[derive(Parser, Debug)]
#[command(version)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played, one after another.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Router processes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=40))]
    routers: u64,
    /// For how many seconds troubles come; a run takes half a minute more.
    #[arg(long, default_value_t = 16)]
    seconds: u64,
    /// Play without any trouble.
    #[arg(long)]
    calm: bool,
    /// Play only troubles whose names hold one of these, separated by commas.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// The router program.
    #[arg(long, default_value = "target/release/llm-router")]
    router: PathBuf,
    /// The fault shim.
    #[arg(long, default_value = "target/release/libfault_shim.so")]
    shim: PathBuf,
    /// A folder for the routers' logs.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// A folder for reports.
    #[arg(long, default_value = "found/soak")]
    reports: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        match run(&arguments, seed).await {
            Ok(0) => {}
            Ok(_) => failed += 1,
            Err(error) => {
                eprintln!("seed {seed}: not played: {error}");
                failed += 1;
            }
        }
    }
    println!("{} seeds played, {failed} with violations", arguments.runs);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays one seed; how many violations there were.
async fn run(arguments: &Arguments, seed: u64) -> std::io::Result<usize> {
    let folder = std::env::temp_dir().join(format!("fault-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let shim = std::path::absolute(&arguments.shim)?;
    let programs = Programs { router: std::path::absolute(&arguments.router)?, shim: Some(shim) };
    let options = Options {
        seed,
        routers: arguments.routers as usize,
        troubled: arguments.seconds * SECOND,
        is_calm: arguments.calm,
        only: arguments.only.clone(),
        programs,
        folder: folder.clone(),
    };
    let finished = play(&options).await?;
    let entries = finished.world.history().entries();
    let (violations, summary) = judge(&entries, &finished.world.deployment, finished.watched);
    println!("seed {seed}: {}", report::headline(&violations, &summary));
    if let Some(logs) = &arguments.logs {
        std::fs::create_dir_all(logs)?;
        report::write_logs(&finished, &entries, logs)?;
    }
    std::fs::create_dir_all(&arguments.reports)?;
    let file = arguments.reports.join(format!("seed-{seed}.txt"));
    std::fs::write(file, report::text(&finished, &entries, &violations, &summary))?;
    std::fs::remove_dir_all(&folder)?;
    Ok(violations.len())
}
