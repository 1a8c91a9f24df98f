//! The configuration files of one run: those of `examples/quickstart/`, with the addresses of this run.

use crate::error::Error;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

const CONFIGURATION: &str = include_str!("../../../examples/quickstart/snowfield.toml");
const DESCRIPTION: &str = include_str!("../../../examples/quickstart/loans.openapi.json");
/// The file name by which the configuration refers to the OpenAPI description.
const DESCRIPTION_NAME: &str = "loans.openapi.json";

/// Addresses in `snowfield.toml` that are replaced by those of this run.
const CONFIGURED_LISTEN: &str = "127.0.0.1:8080";
const CONFIGURED_STATUS: &str = "127.0.0.1:8081";
const CONFIGURED_CONSUL: &str = "127.0.0.1:8500";

/// The first port that is tried by default. It is below the range from which Linux takes the ports of outgoing connections, so
/// that no outgoing connection takes it between the check that it is free and the gatekeeper's start.
pub const DEFAULT_FIRST_PORT: u16 = 8080;
const MAX_PORTS_TRIED: u16 = 100;

/// The configuration of one run. Dropping it removes its directory.
#[derive(Debug)]
pub struct Configuration {
    directory: PathBuf,
    /// The configuration file that `snowfield serve` gets.
    pub file: PathBuf,
    /// The file to which the gatekeeper's log is written.
    pub log: PathBuf,
    /// The address at which the gatekeeper listens for clients.
    pub listen: SocketAddr,
}

impl Configuration {
    /// Writes the files of a run to a temporary directory. `consul` is the address of Consul. The gatekeeper gets the first free
    /// ports from `first_port` on.
    ///
    /// # Errors
    ///
    /// Fails if no port is free, the example lacks an address to replace, or a file cannot be written.
    pub fn write(consul: SocketAddr, first_port: u16) -> Result<Self, Error> {
        let listen = free_address(first_port)?;
        let status = free_address(listen.port().saturating_add(1))?;
        // The listen address is replaced last: its new port may be the port that the file has for the status listener, which
        // would then be replaced as well.
        let text = replace(CONFIGURATION, CONFIGURED_CONSUL, consul)?;
        let text = replace(&text, CONFIGURED_STATUS, status)?;
        let text = replace(&text, CONFIGURED_LISTEN, listen)?;

        let directory = std::env::temp_dir().join(format!("snowfield-quickstart-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(file_error(&directory))?;
        let file = directory.join("snowfield.toml");
        let log = directory.join("snowfield.log");
        let configuration = Self { directory, file, log, listen };
        write_file(&configuration.directory.join(DESCRIPTION_NAME), DESCRIPTION)?;
        write_file(&configuration.file, &text)?;
        Ok(configuration)
    }
}

impl Drop for Configuration {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns the first loopback address with a free port, from `first_port` on.
fn free_address(first_port: u16) -> Result<SocketAddr, Error> {
    let ports = first_port..first_port.saturating_add(MAX_PORTS_TRIED);
    let addresses = ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let mut free = addresses.filter(|address| TcpListener::bind(address).is_ok());
    free.next().ok_or(Error::NoFreePort { first_port })
}

/// Replaces the address `configured` in the text of the configuration by `address`.
fn replace(text: &str, configured: &str, address: SocketAddr) -> Result<String, Error> {
    if !text.contains(configured) {
        return Err(Error::NoPlaceholder { address: configured.to_owned() });
    }
    Ok(text.replace(configured, &address.to_string()))
}

fn write_file(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(file_error(path))
}

fn file_error(path: &Path) -> impl FnOnce(std::io::Error) -> Error {
    let path = path.to_owned();
    move |source| Error::File { path, source }
}
