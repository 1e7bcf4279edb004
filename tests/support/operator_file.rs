//! The operator's file that a router under test starts with.

use std::net::SocketAddr;

/// Stands in extra text between the keys of the whole file and its last tables.
const TABLES_FOLLOW: &str = "---";

/// An operator's file with these prefill and decode workers. Of the extra text, what stands before a `---` goes to the
/// keys at the head of the file, and what stands behind it to the file's end.
pub fn operator_file(prefill_workers: &[SocketAddr], decode_workers: &[SocketAddr], extra: &str) -> String {
    let (keys, tables) = extra.split_once(TABLES_FOLLOW).unwrap_or((extra, ""));
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
