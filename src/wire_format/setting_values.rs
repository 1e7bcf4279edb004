//! Typed access to settings given as pairs of strings.

use crate::interface::Micros;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Why settings are invalid.
///
/// The error texts start with `INIT`, the simulator's message that carries settings, because the simulator's
/// wire and the configuration files share this parser. In errors about configuration files, such as
/// `configuration: INIT: setting my_zone is missing`, `INIT` has no meaning; it is kept because the texts are
/// part of both interfaces.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("INIT: setting {key} is missing")]
    Missing {
        /// The flat key of the setting that is not set.
        key: String,
    },
    /// A setting has an invalid value.
    #[error("INIT: field {key} has the value {value:?}")]
    Invalid {
        /// The flat key of the setting.
        key: String,
        /// The invalid value; for a list, the invalid item.
        value: String,
    },
}

impl SettingsError {
    pub(super) fn missing(key: &str) -> Self {
        SettingsError::Missing { key: key.to_owned() }
    }

    pub(super) fn invalid(key: &str, value: &str) -> Self {
        SettingsError::Invalid { key: key.to_owned(), value: value.to_owned() }
    }
}

/// Settings by key. The last value of a duplicate key applies.
pub(super) struct SettingValues<'a> {
    by_key: BTreeMap<&'a str, &'a str>,
}

impl<'a> SettingValues<'a> {
    pub fn new(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        SettingValues { by_key: pairs.collect() }
    }

    /// The value of a key; `None` if the key is not set.
    pub fn optional_text(&self, key: &str) -> Option<&'a str> {
        self.by_key.get(key).copied()
    }

    /// The value of a key that has to be set.
    pub fn required_text(&self, key: &str) -> Result<&'a str, SettingsError> {
        self.optional_text(key).ok_or_else(|| SettingsError::missing(key))
    }

    /// The parsed value of a key; `None` if the key is not set.
    pub fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        self.optional_text(key).map(|value| parse(key, value)).transpose()
    }

    /// The parsed value of a key that has to be set.
    pub fn required<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.optional(key)?.ok_or_else(|| SettingsError::missing(key))
    }

    /// An optional duration in microseconds. The wire allows fractions, which are truncated.
    pub fn optional_micros(&self, key: &str) -> Result<Option<Micros>, SettingsError> {
        Ok(self.optional::<f64>(key)?.map(|value| value as Micros))
    }

    /// A required duration; see [`Self::optional_micros`].
    pub fn required_micros(&self, key: &str) -> Result<Micros, SettingsError> {
        self.required::<f64>(key).map(|value| value as Micros)
    }

    /// A boolean; false if unspecified.
    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.optional_text(key) {
            Some("true" | "1") => Ok(true),
            Some("false" | "0") | None => Ok(false),
            Some(value) => Err(SettingsError::invalid(key, value)),
        }
    }

    /// The non-empty items of a list; no items if unspecified.
    pub fn list(&self, key: &str) -> Vec<&'a str> {
        let items = self.optional_text(key).unwrap_or("").split(',');
        items.filter(|item| !item.is_empty()).collect()
    }

    /// The parsed item of a list at an index, if the list is that long.
    pub fn list_item<T: FromStr>(&self, key: &str, index: usize) -> Result<Option<T>, SettingsError> {
        self.list(key).get(index).map(|value| parse(key, value)).transpose()
    }
}

fn parse<T: FromStr>(key: &str, value: &str) -> Result<T, SettingsError> {
    value.parse().map_err(|_| SettingsError::invalid(key, value))
}
