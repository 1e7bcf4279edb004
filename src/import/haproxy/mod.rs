//! Converts an HAProxy configuration to an operator's file and reports the directives that have no
//! equivalent.
//!
//! HAProxy has neither prefill and decode workers nor request classes. Servers of a backend named `prompt`,
//! `read`, `reader` or `readers` become prefill workers, servers of a backend named `answer`, `write`,
//! `writer` or `writers` become decode workers, and servers of any other backend become unified workers. The
//! single request class is not idempotent, which is the safe assumption for unknown traffic.

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

/// The result of an import.
#[derive(Debug)]
pub struct Import {
    /// The content of the operator's file; the omissions are listed in a comment at its top.
    pub file: String,
    /// The directives and sections that were not imported, sorted by line.
    pub omissions: Vec<Omission>,
}

/// A directive, option or section that was not imported.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Omission {
    /// Line number in the HAProxy configuration, from 1.
    pub line: usize,
    /// What was omitted, and the reason if it is not obvious.
    pub description: String,
}

/// Converts an HAProxy configuration to an operator's file.
///
/// # Errors
/// The first malformed line, or a part that the configuration as a whole lacks.
pub fn import(text: &str) -> Result<Import, ImportError> {
    let mut document = Document::default();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        read_line(&mut document, number, line).map_err(|kind| kind.at(number))?;
    }
    let end_line = text.lines().count() + 1;
    let (routes, route_omissions) = Routes::find(&document, end_line)?;
    let content =
        operator_file::write(&routes, document.max_connections()).map_err(|kind| kind.at(end_line))?;
    let mut omissions = document.into_omissions();
    omissions.extend(route_omissions);
    omissions.sort();
    let file = header_comment(&omissions) + "\n" + &content;
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
fn header_comment(omissions: &[Omission]) -> String {
    let mut comment =
        String::from("# Imported from HAProxy's configuration. Start: llm-router serve THIS-FILE\n");
    for Omission { line, description } in omissions {
        // Quoted text may contain control characters, such as a newline, that would end the comment.
        let description = description.replace(char::is_control, " ");
        let _ = writeln!(comment, "# line {line}, not carried over: {description}");
    }
    comment
}
