//! Lines and their words.

use super::error::ImportErrorKind;

/// A line that is not empty.
pub(super) struct Line<'a> {
    /// From 1.
    pub number: usize,
    /// Its first word: a directive, or the kind of section that begins.
    pub keyword: &'a str,
    /// Its other words.
    pub arguments: &'a [&'a str],
}

/// Splits a line as HAProxy does: at spaces, with quotes, backslashes and comments.
pub(super) fn split_words(line: &str) -> Result<Vec<String>, ImportErrorKind> {
    let mut words = Vec::new();
    // `None` between words. A word may be empty: one of which there are only quotes.
    let mut word: Option<String> = None;
    let mut quote = None;
    let mut letters = line.chars();
    while let Some(letter) = letters.next() {
        match (letter, quote) {
            (letter, Some(open)) if letter == open => quote = None,
            ('"' | '\'', None) => {
                quote = Some(letter);
                word.get_or_insert_default();
            }
            // Single quotes keep backslashes.
            ('\\', None | Some('"')) => match letters.next() {
                Some(escaped) => word.get_or_insert_default().push(escaped),
                None => return Err(ImportErrorKind::DanglingBackslash),
            },
            ('#', None) => break,
            (letter, None) if letter.is_whitespace() => words.extend(word.take()),
            (letter, _) => word.get_or_insert_default().push(letter),
        }
    }
    if quote.is_some() {
        return Err(ImportErrorKind::UnclosedQuote);
    }
    words.extend(word);
    Ok(words)
}
