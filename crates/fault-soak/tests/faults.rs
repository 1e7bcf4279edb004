//! Tests of the fault names by which the command line selects faults.

use fault_plan::SystemCallFault;
use fault_soak::faults::{
    ClientFault, DiscoveryFault, DiscoveryFaultKind, Fault, LinkDegradation, LinkFault, LinkFaultKind,
    RouterFault, RouterFaultKind, WorkerFault, WorkerFaultKind, WorkerMisbehaviour,
};

/// One fault of each group, with its current name and its former name.
fn faults_with_names() -> Vec<(Fault, &'static str, &'static str)> {
    let faults = vec![SystemCallFault::LogFull];
    let system_call_failure = RouterFaultKind::FailSystemCalls { faults, probability: 0.1 };
    let malformed_responses = WorkerFaultKind::Misbehave(WorkerMisbehaviour::MalformedResponses);
    let fragmentation = LinkFaultKind::Degrade(LinkDegradation::Fragmentation);
    vec![
        (
            Fault::Router(RouterFault { routers: vec![0], kind: system_call_failure }),
            "system-call-failure: [LogFull]",
            "CallsFail: [LogFull]",
        ),
        (
            Fault::Discovery(DiscoveryFault { routers: vec![0], kind: DiscoveryFaultKind::Outage }),
            "discovery-outage",
            "DiscoveryDown",
        ),
        (
            Fault::Worker(WorkerFault { workers: vec![0], kind: malformed_responses }),
            "worker-misbehaviour: malformed-responses",
            "WorkersMisbehave: spoils",
        ),
        (
            Fault::Link(LinkFault { workers: vec![0], kind: fragmentation }),
            "link-degradation: fragmentation",
            "LinksFaulty: in pieces",
        ),
        (Fault::Client(ClientFault::Burst { rate_multiplier: 2.0 }), "load-burst", "Burst"),
    ]
}

#[test]
fn faults_are_selected_by_their_current_and_former_names() {
    for (fault, name, former_name) in faults_with_names() {
        assert_eq!(fault.name(), name);
        assert!(fault.name_contains(name));
        assert!(fault.name_contains(former_name), "{former_name}");
        assert!(!fault.name_contains("router-kill"));
    }
}
