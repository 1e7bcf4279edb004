//! Runs the routing policy for the simulator: reads events from standard input, writes actions to standard
//! output.

use std::process::ExitCode;

fn main() -> ExitCode {
    match llm_router::simulator::serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
