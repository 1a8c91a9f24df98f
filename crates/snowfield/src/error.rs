//! Everything that can go wrong at the start, at a reload, in a hot restart or in a command.

use membership::authentication::KeyringError;
use settings::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Exit code for all errors that have none of their own.
const FAILURE: u8 = 1;
/// Exit code where another proposal was accepted instead.
const CONFLICT: u8 = 3;
/// Exit code where no majority of the replicas answers.
const NO_MAJORITY: u8 = 4;

/// Why something could not be done. The texts are for operators.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The platform's variable that names the configuration is not set.
    #[error("BALANCER_CONFIG names no configuration file")]
    NoConfigFile,
    /// A variable of the environment holds no address.
    #[error("{variable}: {value:?} is no address and port")]
    InvalidAddress {
        /// The variable.
        variable: &'static str,
        /// What it holds.
        value: String,
    },
    /// A variable of the environment holds no form of log lines.
    #[error("{variable}: {value:?} is neither \"plain\" nor \"json\"")]
    InvalidLogFormat {
        /// The variable.
        variable: &'static str,
        /// What it holds.
        value: String,
    },
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is longer than any configuration.
    #[error("{}: it is too long, {limit} bytes are allowed", path.display())]
    FileTooLong {
        /// The file.
        path: PathBuf,
        /// In bytes.
        limit: u64,
    },
    /// A configuration cannot be used.
    #[error("{}: {source}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// Why.
        source: SettingsError,
    },
    /// The policy cannot work by settings that were checked before.
    #[error("{0}")]
    Policy(#[from] policy::SettingsError),
    /// The same, of a file.
    #[error("{}: {source}", path.display())]
    PolicyOfFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: policy::SettingsError,
    },
    /// An OpenAPI description cannot be used.
    #[error("{0}")]
    Description(#[from] openapi::LoadError),
    /// A route names what the configuration does not define.
    #[error("{route} has the {kind} {name:?}, which the file does not define")]
    UndefinedByRoute {
        /// Description, method and path.
        route: String,
        /// What it names.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// A route takes more units than a plan ever holds: its requests would be rejected forever.
    #[error("{route} takes {units} units, more than the burst of plan {plan:?}")]
    RouteExceedsBurst {
        /// Description, method and path.
        route: String,
        /// Of one request.
        units: f64,
        /// The plan.
        plan: String,
    },
    /// A file has no table that is needed.
    #[error("{}: it has no table [{table}]", path.display())]
    MissingTable {
        /// The file.
        path: PathBuf,
        /// The table.
        table: &'static str,
    },
    /// A key file holds no keys.
    #[error("{}: {source}", path.display())]
    Keyring {
        /// The file.
        path: PathBuf,
        /// Why.
        source: KeyringError,
    },
    /// An address cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The operators' address cannot be listened on.
    #[error("operator {address}: {source}")]
    AdminListener {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The cluster could not be joined.
    #[error("cluster: {0}")]
    Cluster(#[from] cluster::ClusterError),
    /// A node of the replicated plans could not be started, or its log not be created.
    #[error("agreed: {0}")]
    ConfigNode(#[from] config_node::Error),
    /// The log of a replica could not be created.
    #[error("{0}")]
    ReplicaLog(#[source] config_node::Error),
    /// The ACL token of Consul cannot be used.
    #[error("consul: token_file: {0}")]
    ConsulToken(#[source] consul::TokenError),
    /// A watch on Consul could not be started.
    #[error("consul: {0}")]
    ConsulWatch(#[source] io::Error),
    /// The registration could not be started.
    #[error("register: {0}")]
    Registration(#[source] io::Error),
    /// The operating system refused something else.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The predecessor of a hot restart cannot be talked to.
    #[error(transparent)]
    Handover(#[from] handover::Error),
    /// The predecessor answered with another message than its state.
    #[error("it sent something else")]
    UnexpectedMessage,
    /// The predecessor's state came without its listener.
    #[error("it sent no listener")]
    NoListener,
    /// The state of this process could not be collected in time.
    #[error("its state was not ready in time")]
    StateTimeout,
    /// The policy's snapshot could not be encoded.
    #[error("the snapshot of the policy cannot be encoded: {0}")]
    Snapshot(#[source] postcard::Error),
    /// No route serves a path.
    #[error("{path}: no route")]
    NoRoute {
        /// The path.
        path: String,
    },
    /// The path cannot be served at all.
    #[error("{path}: no path that is served")]
    InvalidPath {
        /// The path.
        path: String,
    },
    /// The route takes other methods.
    #[error("{path} takes {allowed}")]
    WrongMethod {
        /// The path.
        path: String,
        /// The methods.
        allowed: String,
    },
    /// The file names no address at which the status could be asked for.
    #[error("{}: it names no status address", path.display())]
    NoStatusAddress {
        /// The file.
        path: PathBuf,
    },
    /// Nobody answers at the status address.
    #[error("{address}: {source}")]
    NoStatus {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A log is to be created for an instance that is no replica.
    #[error("this instance is no voter")]
    NotAReplica,
    /// A replica answered with a message that is no answer.
    #[error("an answer that is none")]
    UnexpectedAnswer,
    /// A proposal is longer than a version may be.
    #[error("it is too large")]
    ProposalTooLarge,
    /// The replicas have rejected a proposal.
    #[error("{0}")]
    ProposalRejected(String),
    /// Another version than the expected one is in force.
    #[error("version {version}, by {proposed_by}, is in force; nothing is changed")]
    VersionConflict {
        /// The version in force.
        version: u64,
        /// Who proposed it.
        proposed_by: String,
    },
    /// Another version is on its way to be in force.
    #[error("version {version}, by {proposed_by}, is proposed and not yet in force; nothing is changed")]
    RolloutInProgress {
        /// The proposed version.
        version: u64,
        /// Who proposed it.
        proposed_by: String,
    },
    /// No majority of the replicas answers.
    #[error("no majority of the voters answers ({last}); nothing is changed, or it is not known whether")]
    NoMajority {
        /// What the last one did.
        last: String,
    },
}

impl Error {
    /// For `map_err` where a file could not be read.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::File { path: path.to_owned(), source }
    }

    /// For `map_err` where a configuration cannot be used.
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
