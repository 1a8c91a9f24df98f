//! The stand-in for the HTTP endpoint that periodic jobs call.

use super::listen;
use crate::history::{Observation, Recorder};
use crate::network::Network;
use fault_harness::wire;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr};

/// Opens a target for periodic jobs. It accepts every call, so that a run that happens twice is recorded twice.
///
/// # Errors
///
/// No port is free.
pub fn open_job_target(network: &Network, host: IpAddr, recorder: &Recorder) -> std::io::Result<SocketAddr> {
    let recorder = recorder.clone();
    listen(network, host, move |mut stream| {
        let Ok(read) = stream.try_clone() else { return };
        let mut calls = BufReader::new(read);
        while let Some(call) = wire::read_http_message(&mut calls) {
            let field = |name: &str| call.field(name).unwrap_or_default().to_owned();
            let Ok(run) = field("snowfield-round").parse() else { return };
            let (job, instance) = (field("snowfield-duty"), field("snowfield-by"));
            recorder.record(Observation::JobRan { job, run, instance });
            if stream.write_all(&wire::http_message("HTTP/1.1 200 OK", "")).is_err() {
                return;
            }
        }
    })
}
