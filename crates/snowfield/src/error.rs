//! The errors of startup, reload, hot restart and the commands.

use membership::authentication::KeyringError;
use settings::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Exit code of most errors.
const FAILURE: u8 = 1;
/// Exit code if another proposal was accepted instead.
const CONFLICT: u8 = 3;
/// Exit code if no majority of the replicas answers.
const NO_MAJORITY: u8 = 4;

/// An error of the program. The texts are for operators.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The environment names no configuration file.
    #[error("BALANCER_CONFIG names no configuration file")]
    NoConfigFile,
    /// An environment variable is no valid address.
    #[error("{variable}: {value:?} is no address and port")]
    InvalidAddress {
        /// The variable's name.
        variable: &'static str,
        /// The variable's value.
        value: String,
    },
    /// An environment variable is no log format.
    #[error("{variable}: {value:?} is neither \"plain\" nor \"json\"")]
    InvalidLogFormat {
        /// The variable's name.
        variable: &'static str,
        /// The variable's value.
        value: String,
    },
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A configuration file is too long.
    #[error("{}: it is too long, {limit} bytes are allowed", path.display())]
    FileTooLong {
        /// The file.
        path: PathBuf,
        /// The maximum size in bytes.
        limit: u64,
    },
    /// A configuration is invalid.
    #[error("{}: {source}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: SettingsError,
    },
    /// The policy rejects settings that passed all other checks.
    #[error("{0}")]
    Policy(#[from] policy::SettingsError),
    /// The policy rejects the settings of a file.
    #[error("{}: {source}", path.display())]
    PolicyOfFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: policy::SettingsError,
    },
    /// An OpenAPI description is invalid.
    #[error("{0}")]
    Description(#[from] openapi::LoadError),
    /// A route names a class or service that the configuration does not define.
    #[error("{route} has the {kind} {name:?}, which the file does not define")]
    UndefinedByRoute {
        /// Description, method and path.
        route: String,
        /// `class` or `service`.
        kind: &'static str,
        /// The undefined name.
        name: String,
    },
    /// A route takes more units than the burst of a plan, whose tenants' requests would always be rejected.
    #[error("{route} takes {units} units, more than the burst of plan {plan:?}")]
    RouteExceedsBurst {
        /// Description, method and path.
        route: String,
        /// Units of one request.
        units: f64,
        /// The plan's name.
        plan: String,
    },
    /// A file lacks a required table.
    #[error("{}: it has no table [{table}]", path.display())]
    MissingTable {
        /// The file.
        path: PathBuf,
        /// The table's name.
        table: &'static str,
    },
    /// A key file is invalid.
    #[error("{}: {source}", path.display())]
    Keyring {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: KeyringError,
    },
    /// An address cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The admin address cannot be listened on.
    #[error("operator {address}: {source}")]
    AdminListener {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The cluster member could not be started.
    #[error("cluster: {0}")]
    Cluster(#[from] cluster::ClusterError),
    /// The node for the replicated plans could not be started.
    #[error("agreed: {0}")]
    ConfigNode(#[from] config_node::Error),
    /// The log of a replica could not be created.
    #[error("{0}")]
    ReplicaLog(#[source] config_node::Error),
    /// The file with the Consul ACL token is missing or invalid.
    #[error("consul: token_file: {0}")]
    ConsulToken(#[source] consul::TokenError),
    /// A watch on Consul could not be started.
    #[error("consul: {0}")]
    ConsulWatch(#[source] io::Error),
    /// The registration could not be started.
    #[error("register: {0}")]
    Registration(#[source] io::Error),
    /// Any other error of a system call.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection to the predecessor of a hot restart failed.
    #[error(transparent)]
    Handover(#[from] handover::Error),
    /// The predecessor's answer is not its state.
    #[error("it sent something else")]
    UnexpectedMessage,
    /// The predecessor's state came without its listener.
    #[error("it sent no listener")]
    NoListener,
    /// The state of this process could not be collected in time.
    #[error("its state was not ready in time")]
    StateTimeout,
    /// The snapshot of the policy could not be encoded.
    #[error("the snapshot of the policy cannot be encoded: {0}")]
    Snapshot(#[source] postcard::Error),
    /// No route matches a path.
    #[error("{path}: no route")]
    NoRoute {
        /// The path.
        path: String,
    },
    /// A path is malformed.
    #[error("{path}: no path that is served")]
    InvalidPath {
        /// The path.
        path: String,
    },
    /// The route does not allow the method.
    #[error("{path} takes {allowed}")]
    WrongMethod {
        /// The path.
        path: String,
        /// The allowed methods.
        allowed: String,
    },
    /// The file names no status address.
    #[error("{}: it names no status address", path.display())]
    NoStatusAddress {
        /// The file.
        path: PathBuf,
    },
    /// The status address does not answer.
    #[error("{address}: {source}")]
    NoStatus {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A log cannot be created for an instance that is no replica.
    #[error("this instance is no voter")]
    NotAReplica,
    /// A replica answered with an unexpected message.
    #[error("an answer that is none")]
    UnexpectedAnswer,
    /// A proposal exceeds the maximum size.
    #[error("it is too large")]
    ProposalTooLarge,
    /// The replicas reject a proposal as invalid.
    #[error("{0}")]
    ProposalRejected(String),
    /// The version in force is not the expected one.
    #[error("version {version}, by {proposed_by}, is in force; nothing is changed")]
    VersionConflict {
        /// The version in force.
        version: u64,
        /// The user who proposed it.
        proposed_by: String,
    },
    /// The rollout of another version is in progress.
    #[error("version {version}, by {proposed_by}, is proposed and not yet in force; nothing is changed")]
    RolloutInProgress {
        /// The proposed version.
        version: u64,
        /// The user who proposed it.
        proposed_by: String,
    },
    /// No majority of the replicas answers.
    #[error("no majority of the voters answers ({last}); nothing is changed, or it is not known whether")]
    NoMajority {
        /// The failure of the last call.
        last: String,
    },
}

impl Error {
    /// Adds the path to an I/O error. For use with `map_err`.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::File { path: path.to_owned(), source }
    }

    /// Adds the path to an error in a configuration. For use with `map_err`.
    pub fn settings(path: &Path) -> impl FnOnce(SettingsError) -> Self {
        move |source| Self::Settings { path: path.to_owned(), source }
    }

    /// The exit code of a process that ends with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::VersionConflict { .. } | Self::RolloutInProgress { .. } => CONFLICT,
            Self::NoMajority { .. } => NO_MAJORITY,
            _ => FAILURE,
        }
    }
}

#[cfg(test)]
mod tests;
