//! Imports HAProxy's configuration: writes an operator's file of what can be carried over, and lists the rest.
//!
//! HAProxy knows neither prefill and decode workers nor classes of request. The servers of a backend named `prompt`,
//! `read`, `reader` or `readers` become prefill workers, those of one named `answer`, `write`, `writer` or `writers`
//! decode workers; servers of any other do both. There is one class, which is not idempotent: the safe choice for
//! traffic of which nothing is known.

mod directives;
mod error;
mod lexer;
mod operator_file;
mod roles;
mod routes;
mod sections;
mod values;

pub use error::{ImportError, ImportErrorKind};

use lexer::Line;
use routes::Routes;
use sections::Document;
use std::fmt::Write as _;

/// What came of an import.
#[derive(Debug)]
pub struct Import {
    /// The operator's file; what could not be carried over stands at its top.
    pub file: String,
    /// What could not be carried over, in the order of lines.
    pub omissions: Vec<Omission>,
}

/// Something that could not be carried over.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Omission {
    /// Its line, from 1.
    pub line: usize,
    /// What it is, and why where that is not plain.
    pub description: String,
}

/// Reads HAProxy's configuration and writes the operator's file.
///
/// # Errors
/// The first line that is malformed, or what the whole file lacks.
pub fn import(text: &str) -> Result<Import, ImportError> {
    let mut document = Document::default();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        read_line(&mut document, number, line).map_err(|kind| kind.at(number))?;
    }
    let end = text.lines().count() + 1;
    let (routes, unreachable) = Routes::find(&document, end)?;
    let content = operator_file::write(&routes, document.max_connections()).map_err(|kind| kind.at(end))?;
    let mut omissions = document.into_omissions();
    omissions.extend(unreachable);
    omissions.sort();
    let file = heading(&omissions) + "\n" + &content;
    Ok(Import { file, omissions })
}

fn read_line(document: &mut Document, number: usize, text: &str) -> Result<(), ImportErrorKind> {
    let words = lexer::split_words(text)?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.split_first() {
        None => Ok(()),
        Some((keyword, arguments)) => document.read(&Line { number, keyword, arguments }),
    }
}

/// The comment at the top of the operator's file.
fn heading(omissions: &[Omission]) -> String {
    let mut heading =
        String::from("# Imported from HAProxy's configuration. Start: llm-router serve THIS-FILE\n");
    for Omission { line, description } in omissions {
        // Text in quotes may hold what would end the comment.
        let description = description.replace(char::is_control, " ");
        let _ = writeln!(heading, "# line {line}, not carried over: {description}");
    }
    heading
}
