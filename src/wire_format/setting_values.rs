//! Typed access to settings that come as pairs of text.

use crate::interface::Micros;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Why settings can't be used.
///
/// The texts begin with `INIT`, the simulator's message that carries settings: its wire and the configuration share
/// this decoder. So the operators of a router read, for example, `configuration: INIT: setting my_zone is missing`.
/// `INIT` has no other meaning there, and stays because the texts are part of both interfaces.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A setting that has to be stated is not.
    #[error("INIT: setting {key} is missing")]
    Missing {
        /// The setting.
        key: String,
    },
    /// A setting has a value that can't be used.
    #[error("INIT: field {key} has the value {value:?}")]
    Invalid {
        /// The setting.
        key: String,
        /// Its value: of a list, the item at fault.
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

/// Settings by key. Of a key that comes twice, the last value counts.
pub(super) struct SettingValues<'a> {
    by_key: BTreeMap<&'a str, &'a str>,
}

impl<'a> SettingValues<'a> {
    pub fn new(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        SettingValues { by_key: pairs.collect() }
    }

    /// A value that may be unstated.
    pub fn optional_text(&self, key: &str) -> Option<&'a str> {
        self.by_key.get(key).copied()
    }

    /// A value that has to be stated.
    pub fn text(&self, key: &str) -> Result<&'a str, SettingsError> {
        self.optional_text(key).ok_or_else(|| SettingsError::missing(key))
    }

    /// A value that may be unstated, parsed.
    pub fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        self.optional_text(key).map(|value| parse(key, value)).transpose()
    }

    /// A value that has to be stated, parsed.
    pub fn required<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.optional(key)?.ok_or_else(|| SettingsError::missing(key))
    }

    /// A length of time. The wire allows fractions of a microsecond, which are cut off.
    pub fn optional_micros(&self, key: &str) -> Result<Option<Micros>, SettingsError> {
        Ok(self.optional::<f64>(key)?.map(|value| value as Micros))
    }

    /// A length of time that has to be stated; see [`Self::optional_micros`].
    pub fn micros(&self, key: &str) -> Result<Micros, SettingsError> {
        self.required::<f64>(key).map(|value| value as Micros)
    }

    /// Whether something is on; off when unstated.
    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.optional_text(key) {
            Some("true" | "1") => Ok(true),
            Some("false" | "0") | None => Ok(false),
            Some(value) => Err(SettingsError::invalid(key, value)),
        }
    }

    /// The items of a list, empty ones left out; no items when unstated.
    pub fn list(&self, key: &str) -> Vec<&'a str> {
        let items = self.optional_text(key).unwrap_or("").split(',');
        items.filter(|item| !item.is_empty()).collect()
    }

    /// The item of a list at an index, if the list is that long.
    pub fn list_item<T: FromStr>(&self, key: &str, index: usize) -> Result<Option<T>, SettingsError> {
        self.list(key).get(index).map(|value| parse(key, value)).transpose()
    }
}

fn parse<T: FromStr>(key: &str, value: &str) -> Result<T, SettingsError> {
    value.parse().map_err(|_| SettingsError::invalid(key, value))
}
