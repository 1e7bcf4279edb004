//! The operator's configuration file of a router under test.

use std::net::SocketAddr;

/// In the extra text, separates top-level keys from tables.
const TABLE_SEPARATOR: &str = "---";

/// Returns an operator's file that lists these prefill and decode workers. Extra text before a `---` is added
/// to the top-level keys, which TOML requires ahead of all tables; text after it is appended to the file.
pub fn operator_file(prefill_workers: &[SocketAddr], decode_workers: &[SocketAddr], extra: &str) -> String {
    let (keys, tables) = extra.split_once(TABLE_SEPARATOR).unwrap_or((extra, ""));
    let mut text = format!("name = \"test\"\nlisten = \"127.0.0.1:0\"\n{keys}\n");
    text += include_str!("settings.toml");
    text += "[known]\nseq = 1\nwhole = true\n";
    for (class, addresses) in [("prompt", prefill_workers), ("answer", decode_workers)] {
        for (index, dial) in addresses.iter().enumerate() {
            text += &format!(
                "[[known.hosts]]\nhost = \"{class}-{index}\"\ndial = \"{dial}\"\nsite = \"here\"\n\
                 class = \"{class}\"\nhealth = \"ready\"\n"
            );
        }
    }
    text + tables
}
