//! The roles of backends, by their names.

use serde::Serialize;

/// What the servers of a backend do.
#[derive(Clone, Copy, PartialEq, Serialize)]
pub(super) enum Role {
    #[serde(rename = "read")]
    Prefill,
    #[serde(rename = "write")]
    Decode,
    #[serde(rename = "both")]
    Unified,
}

/// The role that a backend's name stands for.
pub(super) fn role_of_backend(name: &str) -> Role {
    match name {
        "prompt" | "read" | "reader" | "readers" => Role::Prefill,
        "answer" | "write" | "writer" | "writers" => Role::Decode,
        _ => Role::Unified,
    }
}
