//! Worker roles derived from backend names.

use serde::Serialize;

/// The role of a backend's servers.
#[derive(Clone, Copy, PartialEq, Serialize)]
pub(super) enum Role {
    #[serde(rename = "read")]
    Prefill,
    #[serde(rename = "write")]
    Decode,
    #[serde(rename = "both")]
    Unified,
}

/// The role implied by a backend's name.
pub(super) fn role_of_backend(name: &str) -> Role {
    match name {
        "prompt" | "read" | "reader" | "readers" => Role::Prefill,
        "answer" | "write" | "writer" | "writers" => Role::Decode,
        _ => Role::Unified,
    }
}
