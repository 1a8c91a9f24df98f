//! Three nodes on the loopback interface: leases expire in time, and a proposal comes into force on all nodes.

mod common;

use common::{TestDirectory, keys};
use config_node::{
    ConfigVersion, ConfigView, Error, InvalidProposal, Message, Node, NodeConfig, Proposal, ProposalId,
    ProposalOutcome, ReplicaAddress, ReplicaLog, call_replica,
};
use std::net::TcpListener;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Timeout for each step, longer than any step takes.
const TIMEOUT: Duration = Duration::from_secs(20);
const LEASE_DURATION: Duration = Duration::from_millis(800);

/// Three running nodes.
struct Cluster {
    _nodes: Vec<Node>,
    /// The views that each node publishes, by the index of its replica.
    views: Vec<Receiver<ConfigView>>,
    replicas: Vec<ReplicaAddress>,
}

/// Starts three replicas on free ports. Each one validates proposals with `validate`.
fn start_three(
    directory: &TestDirectory,
    validate: impl Fn(&str) -> Result<(), InvalidProposal> + Clone + Send + 'static,
) -> Cluster {
    let reserved_ports: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free")).collect();
    let replica = |(i, listener): (usize, &TcpListener)| ReplicaAddress {
        name: format!("m{i}"),
        address: listener.local_addr().expect("the listener has an address"),
    };
    let replicas: Vec<ReplicaAddress> = reserved_ports.iter().enumerate().map(replica).collect();
    drop(reserved_ports);
    let (mut nodes, mut views) = (Vec::new(), Vec::new());
    for ReplicaAddress { name, address } in &replicas {
        let log = directory.path().join(name);
        ReplicaLog::create(&log).expect("the log is created");
        let (sender, receiver): (Sender<ConfigView>, _) = channel();
        let config = NodeConfig {
            name: name.clone(),
            listen: Some(*address),
            replicas: replicas.clone(),
            keys: keys(),
            log,
            lease_duration: LEASE_DURATION,
        };
        let listener = Box::new(move |view: &ConfigView| drop(sender.send(view.clone())));
        nodes.push(Node::start(config, Box::new(validate.clone()), listener).expect("the node starts"));
        views.push(receiver);
    }
    Cluster { _nodes: nodes, views, replicas }
}

/// Waits until a node publishes a [`ConfigView`] that meets the condition.
fn wait_for(views: &Receiver<ConfigView>, condition: impl Fn(&ConfigView) -> bool) -> ConfigView {
    loop {
        let view = views.recv_timeout(TIMEOUT).expect("a view is published");
        if condition(&view) {
            return view;
        }
    }
}

/// Proposes a version to this replica and returns the replica's answer.
fn propose(to: &ReplicaAddress, id: u64) -> Result<Message, Error> {
    let proposal = Proposal {
        id: ProposalId(id),
        proposed_by: "t".into(),
        expected_version: None,
        text: format!("text {id}"),
    };
    call_replica(to.address, &keys(), &Message::Propose(proposal), TIMEOUT, |_| true)
}

/// Guards against a lease that outlives its validity while the thread that owns the state is blocked, as by a slow disk. Here the
/// validator of a proposal blocks the thread.
#[test]
fn a_lease_expires_in_time_while_the_thread_that_owns_the_state_is_blocked() {
    let directory = TestDirectory::new("blocked");
    let (blocked, is_blocked): (Sender<()>, _) = channel();
    let (unblock, unblocked): (Sender<()>, _) = channel();
    let (blocked, unblocked) = (Arc::new(Mutex::new(blocked)), Arc::new(Mutex::new(unblocked)));
    let validate = move |_: &str| {
        let _ = blocked.lock().map(|sender| sender.send(()));
        let _ = unblocked.lock().map(|receiver| receiver.recv_timeout(TIMEOUT));
        Ok(())
    };
    let Cluster { _nodes, views, replicas } = start_three(&directory, validate);
    views.iter().for_each(|view| drop(wait_for(view, |view| view.has_lease)));
    let proposer = thread::spawn(move || propose(&replicas[1], 1));
    is_blocked.recv_timeout(TIMEOUT).expect("the proposal is validated");
    // The thread stays blocked until `unblock` sends a message.
    wait_for(&views[1], |view| !view.has_lease);
    unblock.send(()).expect("the validator waits");
    drop(proposer.join());
    wait_for(&views[1], |view| view.has_lease);
}

#[test]
fn a_proposal_comes_into_force_on_all_nodes() {
    let directory = TestDirectory::new("in-force");
    let Cluster { _nodes, views, replicas } = start_three(&directory, |_| Ok(()));
    views.iter().for_each(|view| drop(wait_for(view, |view| view.has_lease)));
    let expected = Message::ProposalOutcome {
        proposal: ProposalId(7),
        outcome: ProposalOutcome::Accepted(ConfigVersion(1)),
    };
    let accepted = replicas.iter().any(|replica| propose(replica, 7).is_ok_and(|answer| answer == expected));
    assert!(accepted, "one of the replicas leads");
    for view in &views {
        let view =
            wait_for(view, |view| view.has_lease && view.proposed.is_none() && view.in_force.is_some());
        assert_eq!(view.in_force.map(|version| version.text), Some("text 7".into()));
    }
}
