//! Values of directives: lengths of time, numbers, addresses.

use super::error::ImportErrorKind;
use crate::interface::Micros;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

/// A length of time; without a unit, milliseconds.
pub(super) fn parse_time(text: &str) -> Result<Micros, ImportErrorKind> {
    let digits = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
    let unit: Micros = match &text[digits..] {
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
    let time = text[..digits].parse::<Micros>().ok().and_then(|count| count.checked_mul(unit));
    // Numbers are signed in TOML.
    let time = time.filter(|time| i64::try_from(*time).is_ok());
    time.ok_or_else(|| ImportErrorKind::InvalidTime { text: text.to_owned() })
}

/// A number of at most 32 bits, so that sums of a few fit in TOML's.
pub(super) fn parse_number(text: &str) -> Result<u64, ImportErrorKind> {
    let number = text.parse().ok().filter(|number| *number <= u64::from(u32::MAX));
    number.ok_or_else(|| ImportErrorKind::InvalidNumber { text: text.to_owned() })
}

/// An address with a port; `None` for what HAProxy takes and the router can't: names, sockets of other kinds.
pub(super) fn parse_address(text: &str) -> Result<Option<SocketAddr>, ImportErrorKind> {
    let plain = text.strip_prefix("ipv4@").or(text.strip_prefix("ipv6@")).unwrap_or(text);
    if plain.contains('@') || plain.starts_with('/') || plain.contains('$') {
        return Ok(None);
    }
    let (host, port) =
        plain.rsplit_once(':').ok_or_else(|| ImportErrorKind::MissingPort { address: text.to_owned() })?;
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
