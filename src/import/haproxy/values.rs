//! Parsers of directive values: durations, numbers and addresses.

use super::error::ImportErrorKind;
use crate::interface::Micros;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

/// Parses a duration; a number without a unit is in milliseconds.
pub(super) fn parse_duration(text: &str) -> Result<Micros, ImportErrorKind> {
    let digit_count = text.find(|character: char| !character.is_ascii_digit()).unwrap_or(text.len());
    let unit: Micros = match &text[digit_count..] {
        "us" => 1,
        "" | "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        "d" => 86_400_000_000,
        unit => {
            return Err(ImportErrorKind::UnknownTimeUnit { unit: unit.to_owned(), text: text.to_owned() });
        }
    };
    let duration = text[..digit_count].parse::<Micros>().ok().and_then(|count| count.checked_mul(unit));
    // TOML integers are signed 64-bit.
    let duration = duration.filter(|duration| i64::try_from(*duration).is_ok());
    duration.ok_or_else(|| ImportErrorKind::InvalidDuration { text: text.to_owned() })
}

/// Parses a 32-bit number, so that sums of several fit in a TOML integer.
pub(super) fn parse_number(text: &str) -> Result<u64, ImportErrorKind> {
    let number = text.parse().ok().filter(|number| *number <= u64::from(u32::MAX));
    number.ok_or_else(|| ImportErrorKind::InvalidNumber { text: text.to_owned() })
}

/// Parses an address with a port. Returns `None` for addresses that HAProxy supports and the router does not:
/// host names, port ranges and other socket types.
pub(super) fn parse_address(text: &str) -> Result<Option<SocketAddr>, ImportErrorKind> {
    let address = text.strip_prefix("ipv4@").or(text.strip_prefix("ipv6@")).unwrap_or(text);
    if address.contains('@') || address.starts_with('/') || address.contains('$') {
        return Ok(None);
    }
    let (host, port) =
        address.rsplit_once(':').ok_or_else(|| ImportErrorKind::MissingPort { address: text.to_owned() })?;
    let is_range_or_offset = port.contains('-') || port.starts_with('+');
    if is_range_or_offset {
        return Ok(None);
    }
    let port = port
        .parse::<u16>()
        .ok()
        .filter(|port| *port > 0)
        .ok_or_else(|| ImportErrorKind::InvalidPort { port: port.to_owned() })?;
    Ok(match host.trim_start_matches('[').trim_end_matches(']') {
        "" | "*" => Some((Ipv4Addr::UNSPECIFIED, port).into()),
        "::" => Some((Ipv6Addr::UNSPECIFIED, port).into()),
        host => host.parse().ok().map(|ip| SocketAddr::new(ip, port)),
    })
}
