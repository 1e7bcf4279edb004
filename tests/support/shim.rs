//! A router process with the fault shim preloaded, whose system calls a test can make fail.

use super::{MAX_DESCRIPTORS, RouterProcess};
use fault_plan::{CONTROL_FILE_VARIABLE, ControlBlock, SystemCallFault};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// A router process whose system calls can be made to fail.
pub struct ShimmedRouter {
    /// The router process.
    pub router: RouterProcess,
    /// The control block, which selects the system calls that fail.
    pub control: ControlBlock,
    _control_file: ControlFile,
}

/// The path of the control block's file, which is removed on drop.
struct ControlFile(PathBuf);

impl ShimmedRouter {
    /// Starts a router with the given operator's file and without faults.
    pub fn start(operator_file: &str) -> ShimmedRouter {
        let (control, control_file) = create_control_block();
        let router = start_shimmed(operator_file, &control_file);
        ShimmedRouter { router, control, _control_file: control_file }
    }

    /// Starts a router while every call to which the fault applies fails. The fault is switched off as soon
    /// as one call has failed.
    pub fn start_with_initial_fault(operator_file: &str, fault: SystemCallFault) -> ShimmedRouter {
        let (control, control_file) = create_control_block();
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

fn create_control_block() -> (ControlBlock, ControlFile) {
    let control_file = ControlFile::new();
    (ControlBlock::create(&control_file.0).unwrap(), control_file)
}

fn start_shimmed(operator_file: &str, control_file: &ControlFile) -> RouterProcess {
    let environment = [("LD_PRELOAD", shim_library()), (CONTROL_FILE_VARIABLE, control_file.0.as_path())];
    RouterProcess::start_with_environment(MAX_DESCRIPTORS, operator_file, &environment)
}

impl ControlFile {
    /// Creates a path that no other router on this host uses.
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

/// Builds the shim once. Returns the path of its library, which is in the directory of the router's binary.
fn shim_library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let build_status =
            Command::new(env!("CARGO")).args(["build", "--locked", "-p", "fault-shim"]).status().unwrap();
        assert!(build_status.success());
        let router = PathBuf::from(env!("CARGO_BIN_EXE_llm-router"));
        router.with_file_name("libfault_shim.so")
    })
}
