//! The names of faults, by which the command line selects them.

use fault_plan::SystemCallFault;
use fault_soak::faults::{
    ClientFault, DiscoveryFault, DiscoveryFaultKind, Fault, LinkDegradation, LinkFault, LinkFaultKind,
    RouterFault, RouterFaultKind, WorkerFault, WorkerFaultKind, WorkerMisbehaviour,
};

/// One fault of each group, with its name and the name that earlier versions gave it.
fn named_faults() -> Vec<(Fault, &'static str, &'static str)> {
    let faults = vec![SystemCallFault::LogFull];
    let calls = RouterFaultKind::FailSystemCalls { faults, probability: 0.1 };
    let spoils = WorkerFaultKind::Misbehave(WorkerMisbehaviour::MalformedResponses);
    let pieces = LinkFaultKind::Degrade(LinkDegradation::Fragmentation);
    vec![
        (
            Fault::Router(RouterFault { routers: vec![0], kind: calls }),
            "system-call-failure: [LogFull]",
            "CallsFail: [LogFull]",
        ),
        (
            Fault::Discovery(DiscoveryFault { routers: vec![0], kind: DiscoveryFaultKind::Outage }),
            "discovery-outage",
            "DiscoveryDown",
        ),
        (
            Fault::Worker(WorkerFault { workers: vec![0], kind: spoils }),
            "worker-misbehaviour: malformed-responses",
            "WorkersMisbehave: spoils",
        ),
        (
            Fault::Link(LinkFault { workers: vec![0], kind: pieces }),
            "link-degradation: fragmentation",
            "LinksFaulty: in pieces",
        ),
        (Fault::Client(ClientFault::Burst { rate_multiplier: 2.0 }), "load-burst", "Burst"),
    ]
}

#[test]
fn faults_are_selected_by_their_names_and_by_the_names_of_earlier_versions() {
    for (fault, name, former_name) in named_faults() {
        assert_eq!(fault.name(), name);
        assert!(fault.is_named_like(name));
        assert!(fault.is_named_like(former_name), "{former_name}");
        assert!(!fault.is_named_like("router-kill"));
    }
}
