//! Former names of faults, which the command line still accepts.

/// Current prefixes of fault names, each with the former prefix that it replaced.
const FORMER_NAMES: [(&str, &str); 34] = [
    ("router-restart", "RoutersEnd"),
    ("router-kill", "RoutersKilled"),
    ("router-suspend", "RoutersHeldUp"),
    ("wall-clock-step", "WallClockStepped"),
    ("system-call-failure", "CallsFail"),
    ("log-backpressure", "LogUnread"),
    ("truncated-configuration", "BrokenConfiguration"),
    ("discovery-move", "DiscoveryMoves"),
    ("discovery-outage", "DiscoveryDown"),
    ("discovery-delay", "DiscoverySlow"),
    ("watch-stall", "WatchesSilent"),
    ("watch-reset", "WatchesReset"),
    ("worker-crash", "WorkersDie"),
    ("worker-replacement", "WorkersReplaced"),
    ("worker-freeze", "WorkersFrozen"),
    ("worker-misbehaviour: errors", "WorkersMisbehave: errors"),
    ("worker-misbehaviour: rejections", "WorkersMisbehave: turns away"),
    ("worker-misbehaviour: close-before-response", "WorkersMisbehave: breaks before"),
    ("worker-misbehaviour: close-during-response", "WorkersMisbehave: breaks during"),
    ("worker-misbehaviour: hangs", "WorkersMisbehave: hangs"),
    ("worker-misbehaviour: malformed-responses", "WorkersMisbehave: spoils"),
    ("worker-misbehaviour: unsolicited-responses", "WorkersMisbehave: answers twice"),
    ("worker-misbehaviour: slow", "WorkersMisbehave: slow"),
    ("link-partition", "LinksSilent"),
    ("link-degradation: resets", "LinksFaulty: resets"),
    ("link-degradation: connect-delay", "LinksFaulty: slow to connect"),
    ("link-degradation: fragmentation", "LinksFaulty: in pieces"),
    ("link-degradation: idle-close", "LinksFaulty: closes idle"),
    ("link-degradation: idle-drop", "LinksFaulty: forgets idle"),
    ("misbehaving-clients", "BadClients"),
    ("idle-connections", "IdleCrowd"),
    ("impatient-clients", "ImpatientClients"),
    ("slow-clients", "SlowClients"),
    ("load-burst", "Burst"),
];

/// The former name of the fault that is now called `name`.
pub fn former_name(name: &str) -> Option<String> {
    FORMER_NAMES.iter().find_map(|(current, former)| {
        let rest = name.strip_prefix(current)?;
        Some(format!("{former}{rest}"))
    })
}
