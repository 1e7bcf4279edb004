//! Load reports of workers.

use crate::interface::LoadReport;

/// Workers count the tokens in their queue in thousands.
const TOKENS_PER_QUEUE_UNIT: f64 = 1000.0;

/// Why a load report can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadReportError {
    /// An item without a separator between its name and its value.
    #[error("load report: no value in {item:?}")]
    MissingValue {
        /// The item as it was sent.
        item: String,
    },
    /// A value that is not a number.
    #[error("load report: not a number in {item:?}")]
    InvalidValue {
        /// The item as it was sent.
        item: String,
    },
}

impl LoadReportError {
    /// The item that could not be read, as it was sent.
    pub fn item(&self) -> &str {
        match self {
            LoadReportError::MissingValue { item } | LoadReportError::InvalidValue { item } => item,
        }
    }
}

/// Parses a load report: `name:value` (or `name=value`) items separated by commas. Unknown names are skipped.
///
/// # Errors
/// The first item that can't be read.
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
