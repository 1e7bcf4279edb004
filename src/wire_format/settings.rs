//! Parses the settings of a deployment.

use super::setting_values::{SettingValues, SettingsError};
use crate::interface::{
    Class, DeduplicationScope, Idempotency, LoadReporting, Micros, Role, Settings, Tenant, WorkerKind,
};
use std::time::Duration;

/// The idle connection timeout of workers if the settings do not specify one.
const DEFAULT_IDLE_CONNECTION_TIMEOUT_US: f64 = 30e6;

/// Parses settings from flat key and value pairs. Unknown keys are ignored.
///
/// # Errors
/// The setting that is missing or invalid.
pub fn parse_settings<'a>(
    pairs: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<Settings, SettingsError> {
    let values = SettingValues::new(pairs);
    let worker_kinds = parse_worker_kinds(&values)?;
    let classes = parse_classes(&values)?;
    let tenants = parse_tenants(&values)?;
    let load_reporting = parse_load_reporting(&values)?;
    Ok(Settings {
        replica_index: values.optional("self_index")?.unwrap_or(0),
        replica_count: values.required::<u32>("replicas_of_me")?.max(1),
        zone: values.required_text("my_zone")?.to_owned(),
        worker_kinds,
        classes,
        tenants,
        over_quota_weight: values.optional("over_share_worth")?.unwrap_or(1.0),
        load_reporting,
        watch_required: values.required_text("registry_mode")? == "on_request",
        notification_delay: values.optional_micros("rules.ask_within_us")?.unwrap_or(Micros::MAX),
        health_checks_allowed: values.flag("permissions.probes")?,
        gossip_allowed: values.flag("permissions.may_tell")?,
        cancellation_allowed: values.flag("permissions.may_cancel")?,
        hedging_allowed: values.flag("permissions.second_copies")?,
        decode_can_prefill: values.flag("family_info.self_prefill")?,
        retry_after_allowed: values.flag("permissions.retry_after")?,
        max_retry_after: values.optional_micros("permissions.max_retry_after_us")?.unwrap_or(0),
        max_attempts: values.required("permissions.max_attempts")?,
        connect_timeout: values.optional_micros("permissions.connect_timeout_us")?.unwrap_or(0),
        event_interval: values.optional_micros("tick_us")?.unwrap_or(0),
        cache_hold_limit: values.optional_micros("family_info.release_us")?.unwrap_or(Micros::MAX),
        response_grace: values.optional_micros("rules.answer_slack_us")?.unwrap_or(0),
        drain_grace: values.required_micros("rules.drain_grace_us")?,
        slow_start_floor: values.required("rules.cold_from")?,
        slow_start_duration: values.required_micros("rules.cold_us")?,
        overload_multiple: values.required("rules.fall_multiple")?,
        overload_window: values.required_micros("rules.fall_us")?,
    })
}

/// How long workers keep idle connections open. A value that is not a positive finite number counts as
/// unspecified.
///
/// Not part of [`Settings`], since the policy does not use it.
pub fn idle_connection_timeout(pairs: &[(String, String)]) -> Duration {
    let specified = pairs.iter().find(|(key, _)| key == "permissions.idle_close_us");
    let micros = specified
        .and_then(|(_, value)| value.parse::<f64>().ok())
        .filter(|micros| *micros > 0.0 && micros.is_finite())
        .unwrap_or(DEFAULT_IDLE_CONNECTION_TIMEOUT_US);
    Duration::from_micros(micros as u64)
}

/// Parses the kinds of worker. Their roles and KV cache capacities are in separate lists of the same order.
fn parse_worker_kinds(values: &SettingValues<'_>) -> Result<Vec<WorkerKind>, SettingsError> {
    let names = values.list("skus").into_iter().enumerate();
    names.map(|(index, name)| parse_worker_kind(values, index, name)).collect()
}

fn parse_worker_kind(
    values: &SettingValues<'_>,
    index: usize,
    name: &str,
) -> Result<WorkerKind, SettingsError> {
    const ROLES: &str = "family_info.role_by_kind";
    let role = match values.list(ROLES).get(index).copied() {
        Some("read") => Role::Prefill,
        Some("write") => Role::Decode,
        Some("both") | None => Role::Unified,
        Some(value) => return Err(SettingsError::invalid(ROLES, value)),
    };
    let kv_cache_tokens: Option<f64> = values.list_item("family_info.kv_tokens", index)?;
    Ok(WorkerKind {
        name: name.to_owned(),
        role,
        kv_cache_tokens: kv_cache_tokens.map(|tokens| tokens as u64),
    })
}

fn parse_classes(values: &SettingValues<'_>) -> Result<Vec<Class>, SettingsError> {
    let count = values.required::<usize>("classes.count")?;
    (0..count).map(|index| parse_class(values, index)).collect()
}

fn parse_class(values: &SettingValues<'_>, index: usize) -> Result<Class, SettingsError> {
    let key = |name: &str| format!("classes.{index}.{name}");
    let micros_in_list = |list_key: &str| -> Result<Micros, SettingsError> {
        Ok(values.list_item::<f64>(list_key, index)?.unwrap_or(0.0) as Micros)
    };
    let idempotency = parse_idempotency(values, &key("effect"), &key("dedup_scope"))?;
    let first_token_objective_per_1000_tokens = micros_in_list("family_info.aim_us_per_1000_prompt_tokens")?;
    let inter_token_objective = micros_in_list("family_info.token_aim_us")?;
    Ok(Class {
        name: values.required_text(&key("name"))?.to_owned(),
        idempotency,
        deduplication_window: values.optional_micros(&key("repeat_window_us"))?.unwrap_or(0),
        first_token_objective: values.required_micros(&key("objective_us"))?,
        first_token_objective_per_1000_tokens,
        inter_token_objective,
        client_timeout: values.required_micros(&key("give_up_us"))?,
        priority_weight: values.optional(&key("value"))?.unwrap_or(1.0),
        late_weight: values.optional(&key("late_share"))?.unwrap_or(0.0),
    })
}

/// Parses the idempotency of a class and, for idempotency keys, their deduplication scope.
fn parse_idempotency(
    values: &SettingValues<'_>,
    effect_key: &str,
    scope_key: &str,
) -> Result<Idempotency, SettingsError> {
    match values.required_text(effect_key)? {
        "read_like" => Ok(Idempotency::Idempotent),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        "idempotency_key" => match values.required_text(scope_key)? {
            "all" => Ok(Idempotency::Keyed(DeduplicationScope::All)),
            "zone" => Ok(Idempotency::Keyed(DeduplicationScope::Zone)),
            "cell" => Ok(Idempotency::Keyed(DeduplicationScope::Cell)),
            value => Err(SettingsError::invalid(scope_key, value)),
        },
        value => Err(SettingsError::invalid(effect_key, value)),
    }
}

fn parse_tenants(values: &SettingValues<'_>) -> Result<Vec<Tenant>, SettingsError> {
    let count = values.optional::<usize>("tenants.count")?.unwrap_or(0);
    (0..count).map(|index| parse_tenant(values, index)).collect()
}

fn parse_tenant(values: &SettingValues<'_>, index: usize) -> Result<Tenant, SettingsError> {
    Ok(Tenant {
        name: values.required_text(&format!("tenants.{index}.name"))?.to_owned(),
        quota_per_s: values.required(&format!("tenants.{index}.quota_rps"))?,
    })
}

fn parse_load_reporting(values: &SettingValues<'_>) -> Result<LoadReporting, SettingsError> {
    const KEY: &str = "load_report.how";
    match values.optional_text(KEY) {
        Some("answers") => Ok(LoadReporting::Responses),
        Some("probe") => Ok(LoadReporting::HealthChecks),
        Some("none") | None => Ok(LoadReporting::None),
        Some(value) => Err(SettingsError::invalid(KEY, value)),
    }
}
