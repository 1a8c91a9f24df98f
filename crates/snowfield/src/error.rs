//! The errors of startup, reload, hot restart and the commands.

use membership::authentication::KeyringError;
use settings::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Exit code of all errors without an exit code of their own.
const EXIT_FAILURE: u8 = 1;
/// Exit code of `snowfield settings propose` if the replicas accepted another proposal instead.
const EXIT_CONFLICT: u8 = 3;
/// Exit code of `snowfield settings` if no majority of the replicas answers.
const EXIT_NO_MAJORITY: u8 = 4;

/// An error of the program. Operators read the texts on standard error or in the log.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// At startup, the system refused a handler for SIGHUP, SIGINT or SIGTERM.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The environment variable with the path of the platform's configuration file is not set.
    #[error("BALANCER_CONFIG names no configuration file")]
    NoConfigFile,
    /// At startup, the value of an environment variable that overrides an address cannot be parsed.
    #[error("{variable}: {value:?} is not an IP address with a port")]
    InvalidAddress {
        /// Name of the environment variable with the invalid value, for example `BALANCER_OPERATOR`.
        variable: &'static str,
        /// The invalid value, as the environment sets it.
        value: String,
    },
    /// At startup, the log format that an environment variable names is unknown.
    #[error("{variable}: {value:?} is neither \"plain\" nor \"json\"")]
    InvalidLogFormat {
        /// Name of the environment variable with the unknown log format, for example `SNOWFIELD_LOG`.
        variable: &'static str,
        /// The invalid value, as the environment sets it.
        value: String,
    },
    /// A file is missing, unreadable or not UTF-8.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// Path of the unreadable file: a configuration, description, key or plan file.
        path: PathBuf,
        /// Why opening or reading the file failed.
        source: io::Error,
    },
    /// The platform's configuration file exceeds its maximum size. Its content is not parsed.
    #[error("{}: the file is longer than the limit of {limit} bytes", path.display())]
    FileTooLong {
        /// Path of the platform's configuration file.
        path: PathBuf,
        /// Maximum size of the file in bytes.
        limit: u64,
    },
    /// A setting or a plan in a file is missing, malformed or out of range.
    #[error("invalid settings in {}: {source}", path.display())]
    Settings {
        /// Path of the configuration file or plan file with the invalid setting.
        path: PathBuf,
        /// Which setting is invalid, and why.
        source: SettingsError,
    },
    /// The policy rejects settings that passed all other checks.
    #[error("{0}")]
    Policy(#[from] policy::SettingsError),
    /// At a reload, the policy rejects settings that passed all other checks.
    #[error("the policy rejects the settings in {}: {source}", path.display())]
    PolicyOfFile {
        /// Path of the configuration file.
        path: PathBuf,
        /// Which setting is invalid, and why.
        source: policy::SettingsError,
    },
    /// An OpenAPI description is invalid.
    #[error("{0}")]
    Description(#[from] openapi::LoadError),
    /// A route names a class or service that the configuration does not define.
    #[error("{route} has the {kind} {name:?}, which the file does not define")]
    UndefinedByRoute {
        /// Description, method and path of the route.
        route: String,
        /// What the undefined name stands for: `class` or `service`.
        kind: &'static str,
        /// The class or service that the route names and the file does not define.
        name: String,
    },
    /// One request to a route takes more units than the burst of a plan. The quota would reject every such request of the plan's
    /// tenants.
    #[error("{route} takes {units} units, more than the burst of plan {plan:?}")]
    RouteExceedsBurst {
        /// Description, method and path of the route.
        route: String,
        /// Units that each request to the route takes from the tenant's quota.
        units: f64,
        /// Name of the first plan whose burst is smaller than the units of one request.
        plan: String,
    },
    /// A configuration file lacks a table that the command or the instance requires.
    #[error("{}: the table [{table}] is missing", path.display())]
    MissingTable {
        /// Path of the configuration file that lacks the table.
        path: PathBuf,
        /// Name of the missing table, without brackets.
        table: &'static str,
    },
    /// The lines of a key file are not valid keys. The keys authenticate the members of a cluster.
    #[error("invalid key file {}: {source}", path.display())]
    Keyring {
        /// Path of the invalid key file.
        path: PathBuf,
        /// What is wrong with the keys. The text never contains a key.
        source: KeyringError,
    },
    /// At startup, the socket for clients or for the status could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address that the configuration sets for this listener.
        address: SocketAddr,
        /// Why the socket could not be bound to the address.
        source: io::Error,
    },
    /// At startup, the socket of the admin listener could not be bound, or its thread could not be started.
    #[error("cannot start the admin listener on {address}: {source}")]
    AdminListener {
        /// The address that the configuration sets for this listener.
        address: SocketAddr,
        /// Why binding the socket or starting the thread failed.
        source: io::Error,
    },
    /// The sockets or threads of this instance as a member of the cluster could not be set up.
    #[error("cluster: {0}")]
    Cluster(#[from] cluster::ClusterError),
    /// The log, the socket or the threads of the node that replicates the plans could not be set up.
    #[error("cannot start the node for the replicated plans: {0}")]
    ConfigNode(#[from] config_node::Error),
    /// `snowfield settings begin` could not create the log of a replica.
    #[error("{0}")]
    ReplicaLog(#[source] config_node::Error),
    /// The file with the Consul ACL token is missing or invalid.
    #[error("consul: token_file: {0}")]
    ConsulToken(#[source] consul::TokenError),
    /// At startup, the system refused a thread for a watch on a Consul service.
    #[error("cannot start a watch on a Consul service: {0}")]
    ConsulWatch(#[source] io::Error),
    /// At startup, the system refused the thread that registers this process in Consul.
    #[error("cannot start the registration in Consul: {0}")]
    Registration(#[source] io::Error),
    /// An I/O error whose text is printed alone, without the failed operation.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection to the other process of a hot restart failed, or a message is invalid.
    #[error(transparent)]
    Handover(#[from] handover::Error),
    /// In a hot restart, the reply to [`handover::Message::RequestState`] is not [`handover::Message::State`].
    #[error("the predecessor replied to the request for its state with an unexpected message")]
    UnexpectedMessage,
    /// In a hot restart, the message with the predecessor's state carried no descriptor of its listening socket.
    #[error("the predecessor sent its state without its listening socket")]
    NoListener,
    /// In a hot restart, the worker of this predecessor did not take the snapshot for its successor in time.
    #[error("the snapshot of the policy for the successor was not ready in time")]
    StateTimeout,
    /// In a hot restart, the predecessor cannot serialize the snapshot for its successor.
    #[error("the snapshot of the policy cannot be encoded: {0}")]
    Snapshot(#[source] postcard::Error),
    /// No path in the OpenAPI descriptions matches the path given to `snowfield explain`.
    #[error("no route matches {path}")]
    NoRoute {
        /// Path of the request, as given to `snowfield explain`.
        path: String,
    },
    /// The path given to `snowfield explain` is malformed, or backends may interpret it in different ways.
    #[error("the path {path} is invalid")]
    InvalidPath {
        /// Path of the request, as given to `snowfield explain`.
        path: String,
    },
    /// Routes match the path given to `snowfield explain`, but none of them has the given method.
    #[error("{path} allows only {allowed}")]
    WrongMethod {
        /// Path of the request, as given to `snowfield explain`.
        path: String,
        /// Methods of the routes that match the path, separated by commas.
        allowed: String,
    },
    /// `snowfield status` or `snowfield watch` needs an address that the configuration file lacks.
    #[error("{}: no status address is configured", path.display())]
    NoStatusAddress {
        /// Path of the configuration file.
        path: PathBuf,
    },
    /// No gatekeeper answers at the status address.
    #[error("cannot read the status from {address}: {source}")]
    NoStatus {
        /// The configured status address.
        address: SocketAddr,
        /// Why connecting to the address, sending the request or receiving the status failed.
        source: io::Error,
    },
    /// `snowfield settings begin` was called for an instance that is not a replica. Only replicas have a log.
    #[error("this instance is not a voter; only a voter has a log")]
    NotAReplica,
    /// A replica replied to a call with a valid message of another type than the call's answer.
    #[error("a replica answered with an unexpected message")]
    UnexpectedAnswer,
    /// The text of the proposed plans exceeds the maximum size that the replicas accept.
    #[error("the file with the proposed plans is too large")]
    ProposalTooLarge,
    /// The leader of the replicas found the proposed plans invalid. The value is the leader's reason.
    #[error("the proposed plans are rejected: {0}")]
    ProposalRejected(String),
    /// A proposal was made for an expected version, but another version is in force.
    #[error("version {version}, by {proposed_by}, is in force; nothing is changed")]
    VersionConflict {
        /// Number of the version of the plans in force.
        version: u64,
        /// Name of the user who proposed this version.
        proposed_by: String,
    },
    /// The rollout of an earlier proposal is in progress. New plans can be proposed once that version is in force.
    #[error("version {version}, by {proposed_by}, is proposed and not yet in force; nothing is changed")]
    RolloutInProgress {
        /// Number of the version whose rollout is in progress.
        version: u64,
        /// Name of the user who proposed this version.
        proposed_by: String,
    },
    /// No replica answered as the leader within the timeout. A proposal may or may not have been accepted.
    #[error("no majority of the voters answers ({last_failure}); whether a proposal was accepted is unknown")]
    NoMajority {
        /// Name of the replica that was called last, and why that call failed.
        last_failure: String,
    },
}

impl Error {
    /// Returns the conversion of an I/O error on this file, for `map_err`.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::File { path: path.to_owned(), source }
    }

    /// Returns the conversion of an invalid setting in this file, for `map_err`.
    pub fn settings(path: &Path) -> impl FnOnce(SettingsError) -> Self {
        move |source| Self::Settings { path: path.to_owned(), source }
    }

    /// Returns the exit code of a process that ends with this error: 3 for a conflict, 4 without a majority, otherwise 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::VersionConflict { .. } | Self::RolloutInProgress { .. } => EXIT_CONFLICT,
            Self::NoMajority { .. } => EXIT_NO_MAJORITY,
            _ => EXIT_FAILURE,
        }
    }
}

#[cfg(test)]
mod tests;
