//! UpstreamClient decision modules on the simulator's wire: standard input to standard output.

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
