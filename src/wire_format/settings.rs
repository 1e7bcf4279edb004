//! The settings of a deployment.

use super::setting_values::{SettingValues, SettingsError};
use crate::interface::{
    Class, DeduplicationScope, Idempotency, LoadReporting, Micros, Role, Settings, Tenant, WorkerKind,
};
use std::time::Duration;

/// When workers close idle connections, where the deployment does not state it.
const DEFAULT_IDLE_CONNECTION_TIMEOUT_US: f64 = 30e6;

/// Reads the settings from keys and values in the form of the simulator's wire. Unknown keys are skipped.
///
/// # Errors
/// The setting that is missing or has a value that can't be used.
pub fn read_settings<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Settings, SettingsError> {
    let values = SettingValues::new(pairs);
    let worker_kinds = read_worker_kinds(&values)?;
    let classes = read_classes(&values)?;
    let tenants = read_tenants(&values)?;
    let load_reporting = read_load_reporting(&values)?;
    Ok(Settings {
        replica_index: values.optional("self_index")?.unwrap_or(0),
        replica_count: values.required::<u32>("replicas_of_me")?.max(1),
        zone: values.text("my_zone")?.to_owned(),
        worker_kinds,
        classes,
        tenants,
        over_quota_weight: values.optional("over_share_worth")?.unwrap_or(1.0),
        load_reporting,
        watch_required: values.text("registry_mode")? == "on_request",
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
        answer_grace: values.optional_micros("rules.answer_slack_us")?.unwrap_or(0),
        drain_grace: values.micros("rules.drain_grace_us")?,
        slow_start_floor: values.required("rules.cold_from")?,
        slow_start_duration: values.micros("rules.cold_us")?,
        overload_multiple: values.required("rules.fall_multiple")?,
        overload_window: values.micros("rules.fall_us")?,
    })
}

/// When workers close idle connections. A value that is not a positive number counts as unstated.
///
/// The policy has no use for it, hence it is not among the [`Settings`].
pub fn idle_connection_timeout(pairs: &[(String, String)]) -> Duration {
    let stated = pairs.iter().find(|(key, _)| key == "permissions.idle_close_us");
    let micros = stated
        .and_then(|(_, value)| value.parse::<f64>().ok())
        .filter(|micros| *micros > 0.0 && micros.is_finite())
        .unwrap_or(DEFAULT_IDLE_CONNECTION_TIMEOUT_US);
    Duration::from_micros(micros as u64)
}

/// Reads the kinds of workers. Their roles and memory stand in lists of their own, in the same order.
fn read_worker_kinds(values: &SettingValues<'_>) -> Result<Vec<WorkerKind>, SettingsError> {
    let names = values.list("skus").into_iter().enumerate();
    names.map(|(index, name)| read_worker_kind(values, index, name)).collect()
}

fn read_worker_kind(
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
    let memory: Option<f64> = values.list_item("family_info.kv_tokens", index)?;
    Ok(WorkerKind { name: name.to_owned(), role, kv_cache_tokens: memory.map(|tokens| tokens as u64) })
}

fn read_classes(values: &SettingValues<'_>) -> Result<Vec<Class>, SettingsError> {
    let count = values.required::<usize>("classes.count")?;
    (0..count).map(|index| read_class(values, index)).collect()
}

fn read_class(values: &SettingValues<'_>, index: usize) -> Result<Class, SettingsError> {
    let key = |name: &str| format!("classes.{index}.{name}");
    let micros_of_list = |list: &str| -> Result<Micros, SettingsError> {
        Ok(values.list_item::<f64>(list, index)?.unwrap_or(0.0) as Micros)
    };
    let idempotency = read_idempotency(values, &key("effect"), &key("dedup_scope"))?;
    let first_token_objective_per_1000_tokens = micros_of_list("family_info.aim_us_per_1000_prompt_tokens")?;
    let inter_token_objective = micros_of_list("family_info.token_aim_us")?;
    Ok(Class {
        name: values.text(&key("name"))?.to_owned(),
        idempotency,
        deduplication_window: values.optional_micros(&key("repeat_window_us"))?.unwrap_or(0),
        first_token_objective: values.micros(&key("objective_us"))?,
        first_token_objective_per_1000_tokens,
        inter_token_objective,
        client_timeout: values.micros(&key("give_up_us"))?,
        priority_weight: values.optional(&key("value"))?.unwrap_or(1.0),
        late_weight: values.optional(&key("late_share"))?.unwrap_or(0.0),
    })
}

/// Reads whether requests of a class may be repeated and, if their key allows it, among which workers.
fn read_idempotency(
    values: &SettingValues<'_>,
    effect_key: &str,
    scope_key: &str,
) -> Result<Idempotency, SettingsError> {
    match values.text(effect_key)? {
        "read_like" => Ok(Idempotency::Idempotent),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        "idempotency_key" => match values.text(scope_key)? {
            "all" => Ok(Idempotency::Keyed(DeduplicationScope::All)),
            "zone" => Ok(Idempotency::Keyed(DeduplicationScope::Zone)),
            "cell" => Ok(Idempotency::Keyed(DeduplicationScope::Cell)),
            value => Err(SettingsError::invalid(scope_key, value)),
        },
        value => Err(SettingsError::invalid(effect_key, value)),
    }
}

fn read_tenants(values: &SettingValues<'_>) -> Result<Vec<Tenant>, SettingsError> {
    let count = values.optional::<usize>("tenants.count")?.unwrap_or(0);
    (0..count).map(|index| read_tenant(values, index)).collect()
}

fn read_tenant(values: &SettingValues<'_>, index: usize) -> Result<Tenant, SettingsError> {
    Ok(Tenant {
        name: values.text(&format!("tenants.{index}.name"))?.to_owned(),
        quota_per_s: values.required(&format!("tenants.{index}.quota_rps"))?,
    })
}

fn read_load_reporting(values: &SettingValues<'_>) -> Result<LoadReporting, SettingsError> {
    const KEY: &str = "load_report.how";
    match values.optional_text(KEY) {
        Some("answers") => Ok(LoadReporting::Responses),
        Some("probe") => Ok(LoadReporting::HealthChecks),
        Some("none") | None => Ok(LoadReporting::None),
        Some(value) => Err(SettingsError::invalid(KEY, value)),
    }
}
