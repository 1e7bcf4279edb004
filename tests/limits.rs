//! Checks of the size limits of source files, and of the pointer from the policy to its interface.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINES: usize = 400;
const MAX_COLUMNS: usize = 110;

fn policy_folder() -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "src", "policy"].iter().collect()
}

#[test]
fn policy_modules_are_within_the_line_and_column_limits() {
    let files: Vec<PathBuf> =
        fs::read_dir(policy_folder()).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(files.len() > 1, "the policy has no modules in {}", policy_folder().display());
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{}: {lines} lines", file.display());
        for (index, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_COLUMNS, "{}:{} is too wide", file.display(), index + 1);
        }
    }
}

#[test]
fn policy_refers_to_its_interface_in_its_first_lines() {
    let text = fs::read_to_string(policy_folder().join("mod.rs")).unwrap();
    assert!(text.lines().take(3).any(|line| line.contains("src/interface/")));
}

#[test]
fn source_files_are_within_the_line_limit() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "tests", "examples", "crates"] {
        collect_source_files(&root.join(folder), &mut files);
    }
    assert!(files.len() > 100, "only {} source files were found", files.len());
    for file in files {
        let lines = fs::read_to_string(&file).unwrap().lines().count();
        assert!(lines <= MAX_LINES, "{}: {lines} lines", file.display());
    }
}

fn collect_source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}
