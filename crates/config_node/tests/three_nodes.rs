//! Three nodes on loopback: leases expire in time, and a proposal comes into force everywhere.

use config_node::{
    ConfigVersion, ConfigView, Error, InvalidProposal, Message, Node, NodeConfig, Proposal, ProposalId,
    ProposalOutcome, ReplicaAddress, ReplicaLog, call,
};
use membership::authentication::Keyring;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longer than anything here may take.
const TIMEOUT: Duration = Duration::from_secs(20);
const LEASE_DURATION: Duration = Duration::from_millis(800);

fn keys() -> Keyring {
    Keyring::parse(&"ab".repeat(32)).expect("a key")
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        Self(std::env::temp_dir().join(format!("config-node-{name}-{}", std::process::id())))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Nodes, the views of each, and their addresses.
struct Cluster {
    _nodes: Vec<Node>,
    views: Vec<Receiver<ConfigView>>,
    replicas: Vec<ReplicaAddress>,
}

/// Three replicas on free ports. `validate` is each one's validator.
fn start_three(
    folder: &Folder,
    validate: impl Fn(&str) -> Result<(), InvalidProposal> + Clone + Send + 'static,
) -> Cluster {
    let free: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    let replica = |(i, listener): (usize, &TcpListener)| ReplicaAddress {
        name: format!("m{i}"),
        address: listener.local_addr().expect("an address"),
    };
    let replicas: Vec<ReplicaAddress> = free.iter().enumerate().map(replica).collect();
    drop(free);
    let (mut nodes, mut views) = (Vec::new(), Vec::new());
    for ReplicaAddress { name, address } in &replicas {
        let log = folder.0.join(name);
        ReplicaLog::create(&log).expect("it is created");
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
        nodes.push(Node::start(config, Box::new(validate.clone()), listener).expect("its port is free"));
        views.push(receiver);
    }
    Cluster { _nodes: nodes, views, replicas }
}

fn wait_for(views: &Receiver<ConfigView>, condition: impl Fn(&ConfigView) -> bool) -> ConfigView {
    loop {
        let view = views.recv_timeout(TIMEOUT).expect("it comes");
        if condition(&view) {
            return view;
        }
    }
}

fn propose(to: &ReplicaAddress, id: u64) -> Result<Message, Error> {
    let proposal = Proposal {
        id: ProposalId(id),
        proposed_by: "t".into(),
        expected_version: None,
        text: format!("text {id}"),
    };
    call(to.address, &keys(), &Message::Propose(proposal), TIMEOUT, |_| true)
}

/// Guards against a lease that lasts for as long as the thread that owns the state is blocked, as it is while its disk is. Here
/// the validator of a proposal blocks it.
#[test]
fn a_lease_expires_in_time_though_the_thread_that_owns_the_state_is_blocked() {
    let folder = Folder::new("blocked");
    let (blocked, is_blocked): (Sender<()>, _) = channel();
    let (unblock, unblocked): (Sender<()>, _) = channel();
    let (blocked, unblocked) = (Arc::new(Mutex::new(blocked)), Arc::new(Mutex::new(unblocked)));
    let validate = move |_: &str| {
        let _ = blocked.lock().map(|sender| sender.send(()));
        let _ = unblocked.lock().map(|receiver| receiver.recv_timeout(TIMEOUT));
        Ok(())
    };
    let Cluster { _nodes, views, replicas } = start_three(&folder, validate);
    views.iter().for_each(|view| drop(wait_for(view, |v| v.has_lease)));
    let proposer = thread::spawn(move || propose(&replicas[1], 1));
    is_blocked.recv_timeout(TIMEOUT).expect("the proposal is validated");
    // It is blocked until the message below, and its lease expires all the same.
    wait_for(&views[1], |v| !v.has_lease);
    unblock.send(()).expect("it waits");
    drop(proposer.join());
    wait_for(&views[1], |v| v.has_lease);
}

#[test]
fn a_proposal_comes_into_force_everywhere() {
    let folder = Folder::new("in-force");
    let Cluster { _nodes, views, replicas } = start_three(&folder, |_| Ok(()));
    views.iter().for_each(|view| drop(wait_for(view, |v| v.has_lease)));
    let expected = Message::ProposalOutcome {
        proposal: ProposalId(7),
        outcome: ProposalOutcome::Accepted(ConfigVersion(1)),
    };
    let accepted = replicas.iter().any(|replica| propose(replica, 7).is_ok_and(|answer| answer == expected));
    assert!(accepted, "one of them leads");
    for view in &views {
        let view = wait_for(view, |v| v.has_lease && v.proposed.is_none() && v.in_force.is_some());
        assert_eq!(view.in_force.map(|v| v.text), Some("text 7".into()));
    }
}
