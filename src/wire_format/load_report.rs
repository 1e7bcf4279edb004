//! The format of load reports from workers.

use crate::interface::LoadReport;

/// Workers report queued prompt tokens in thousands.
const TOKENS_PER_QUEUE_UNIT: f64 = 1000.0;

/// Why a load report is malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadReportError {
    /// An item has no separator between name and value.
    #[error("load report: no value in {item:?}")]
    MissingValue {
        /// The text of the item as the worker sent it.
        item: String,
    },
    /// The value of an item is not a number.
    #[error("load report: not a number in {item:?}")]
    InvalidValue {
        /// The text of the item as the worker sent it.
        item: String,
    },
}

impl LoadReportError {
    /// The malformed item as received.
    pub fn item(&self) -> &str {
        match self {
            LoadReportError::MissingValue { item } | LoadReportError::InvalidValue { item } => item,
        }
    }
}

/// Parses a load report: comma-separated items of the form `name:value` or `name=value`. Unknown names are
/// skipped.
///
/// # Errors
/// An item has no separator, or its value is not a number. The error is that of the first such item.
pub fn parse_load_report(text: &str) -> Result<LoadReport, LoadReportError> {
    let mut report = LoadReport::default();
    for item in text.split(',') {
        let (name, value) = item
            .split_once([':', '='])
            .ok_or_else(|| LoadReportError::MissingValue { item: item.to_owned() })?;
        let field = match name.trim() {
            "busy_reqs" => &mut report.active_requests,
            "pending" => &mut report.queued_requests,
            "x0" => &mut report.kv_cache_utilization,
            "x1" => &mut report.queued_tokens,
            _ => continue,
        };
        let value = value.trim().parse();
        *field = Some(value.map_err(|_| LoadReportError::InvalidValue { item: item.to_owned() })?);
    }
    report.queued_tokens = report.queued_tokens.map(|units| units * TOKENS_PER_QUEUE_UNIT);
    Ok(report)
}
