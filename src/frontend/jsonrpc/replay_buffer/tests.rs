//! Unit tests of the replay buffer.

use super::*;

#[test]
fn the_digest_depends_on_method_and_values_but_not_on_spacing_or_key_order() {
    let raw = |text: &str| RawValue::from_string(text.to_owned()).unwrap();
    let one = digest_arguments("m", Some(&raw(r#"{"a":1,"b":[2]}"#)));
    assert_eq!(one, digest_arguments("m", Some(&raw(r#"{ "b": [2], "a": 1 }"#))));
    assert_ne!(one, digest_arguments("m", Some(&raw(r#"{"a":1,"b":[3]}"#))));
    assert_ne!(one, digest_arguments("n", Some(&raw(r#"{"a":1,"b":[2]}"#))));
}
