//! Lexer of the HAProxy configuration: splits lines into words.

use super::error::ImportErrorKind;

/// The words of a line that is not empty.
pub(super) struct Line<'a> {
    /// Line number, from 1.
    pub number: usize,
    /// The first word: the name of a directive, or the type of the section that begins.
    pub keyword: &'a str,
    /// The words after the keyword.
    pub arguments: &'a [&'a str],
}

/// Splits a line into words by HAProxy's rules for whitespace, quotes, backslashes and comments.
pub(super) fn split_words(line: &str) -> Result<Vec<String>, ImportErrorKind> {
    let mut words = Vec::new();
    // `None` between words. A word of quotes alone is empty but still a word.
    let mut word: Option<String> = None;
    let mut quote = None;
    let mut characters = line.chars();
    while let Some(character) = characters.next() {
        match (character, quote) {
            (character, Some(open)) if character == open => quote = None,
            ('"' | '\'', None) => {
                quote = Some(character);
                word.get_or_insert_default();
            }
            // Backslashes are literal within single quotes.
            ('\\', None | Some('"')) => match characters.next() {
                Some(escaped) => word.get_or_insert_default().push(escaped),
                None => return Err(ImportErrorKind::TrailingBackslash),
            },
            ('#', None) => break,
            (character, None) if character.is_whitespace() => words.extend(word.take()),
            (character, _) => word.get_or_insert_default().push(character),
        }
    }
    if quote.is_some() {
        return Err(ImportErrorKind::UnterminatedQuote);
    }
    words.extend(word);
    Ok(words)
}
