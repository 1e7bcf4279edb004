//! The router with the fault shim loaded: system calls fail when the test says so.

use super::RouterProcess;
use fault_plan::{CONTROL_FILE_VARIABLE, ControlBlock, SystemCallFault};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Descriptors that the router is granted.
const DESCRIPTORS: usize = 1024;

/// A router under the shim, without any fault yet.
pub struct ShimmedRouter {
    /// The router.
    pub router: RouterProcess,
    /// Says which system calls fail.
    pub control: ControlBlock,
    _control_file: ControlFile,
}

/// The file through which the test and the shim share the control block; dropping this removes it.
struct ControlFile(PathBuf);

impl ShimmedRouter {
    /// Starts a router with this operator's file.
    pub fn start(operator_file: &str) -> ShimmedRouter {
        let (control, control_file) = new_control();
        let router = start_shimmed(operator_file, &control_file);
        ShimmedRouter { router, control, _control_file: control_file }
    }

    /// Starts a router while the calls that the fault applies to fail, until the first of them has failed.
    pub fn start_under(operator_file: &str, fault: SystemCallFault) -> ShimmedRouter {
        let (control, control_file) = new_control();
        control.set_period(fault, 1).unwrap();
        let router = std::thread::scope(|scope| {
            scope.spawn(|| {
                while control.injection_count(fault).unwrap() == 0 {
                    std::thread::sleep(Duration::from_millis(5));
                }
                control.set_period(fault, 0).unwrap();
            });
            start_shimmed(operator_file, &control_file)
        });
        ShimmedRouter { router, control, _control_file: control_file }
    }
}

fn new_control() -> (ControlBlock, ControlFile) {
    let control_file = ControlFile::new();
    (ControlBlock::create(&control_file.0).unwrap(), control_file)
}

fn start_shimmed(operator_file: &str, control_file: &ControlFile) -> RouterProcess {
    let environment = [("LD_PRELOAD", shim()), (CONTROL_FILE_VARIABLE, control_file.0.as_path())];
    RouterProcess::start_in(DESCRIPTORS, operator_file, &environment)
}

impl ControlFile {
    /// A path that no other router of this machine uses.
    fn new() -> ControlFile {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("fault-control-{}-{number}", std::process::id());
        ControlFile(std::env::temp_dir().join(name))
    }
}

impl Drop for ControlFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The shim's library, built beside the router.
fn shim() -> &'static Path {
    static SHIM: OnceLock<PathBuf> = OnceLock::new();
    SHIM.get_or_init(|| {
        let built =
            Command::new(env!("CARGO")).args(["build", "--locked", "-p", "fault-shim"]).status().unwrap();
        assert!(built.success());
        let router = PathBuf::from(env!("CARGO_BIN_EXE_llm-router"));
        router.with_file_name("libfault_shim.so")
    })
}
