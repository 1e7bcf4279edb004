//! The router with the fault shim loaded: system calls fail when the test says so.
#![allow(dead_code)]

use super::RouterProcess;
use fault_plan::{CONTROL_VARIABLE, Control};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// A router under the shim, without any fault yet.
pub struct ShimmedRouter {
    pub router: RouterProcess,
    pub control: Control,
    _control_file: ControlFile,
}

/// The file of a control block, removed in the end.
pub struct ControlFile(PathBuf);

impl ShimmedRouter {
    pub fn start(operator_file: &str) -> ShimmedRouter {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let control_file =
            std::env::temp_dir().join(format!("fault-control-{}-{number}", std::process::id()));
        let control = Control::create(&control_file).unwrap();
        let environment = [("LD_PRELOAD", shim()), (CONTROL_VARIABLE, control_file.as_path())];
        let router = RouterProcess::start_in(1024, operator_file, &environment);
        ShimmedRouter { router, control, _control_file: ControlFile(control_file) }
    }
}

impl Drop for ControlFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The shim, built beside the router.
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
