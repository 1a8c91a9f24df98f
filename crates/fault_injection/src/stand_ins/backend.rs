//! A backend, which listens at another address for each gatekeeper.

use super::{FailureSwitch, SLOW_ANSWER, listen};
use crate::connections::keep_silent;
use crate::history::{Observation, Recorder, now_us};
use crate::network::Network;
use crate::schedule::{FailureMode, Form};
use crate::wire;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::ops::Range;
use std::thread;
use std::time::Duration;

/// Service time of a request, us.
const WORK_US: Range<u64> = 3_000..9_000;

/// A request and the possible answers to it.
struct Request {
    /// None for a health check.
    request_id: Option<u64>,
    success: Vec<u8>,
    failure: Vec<u8>,
}

impl Request {
    fn read(form: Form, from: &mut BufReader<TcpStream>) -> Option<Self> {
        match form {
            Form::Appliance => {
                let message = wire::read_http_message(from)?;
                let request_id = message.field("x-op").and_then(|id| id.parse::<u64>().ok());
                let body = request_id.map_or(String::new(), |id| id.to_string());
                let success = wire::http_message("HTTP/1.1 200 OK", &body);
                Some(Self { request_id, success, failure: wire::http_message("HTTP/1.1 500 No", "") })
            }
            Form::Platform => {
                let arguments = wire::read_resp_command(from)?;
                let id = arguments.get(2)?;
                let request_id = u64::from_str_radix(id, 16).ok();
                let failure = b"-ERR failed\r\n".to_vec();
                Some(Self { request_id, success: wire::backend_reply(id), failure })
            }
        }
    }
}

/// A backend, which listens at another address for each gatekeeper.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// How it fails.
    pub failure: FailureSwitch,
    form: Form,
    recorder: Recorder,
}

impl Backend {
    /// A healthy backend.
    pub fn new(name: &str, form: Form, recorder: &Recorder) -> Self {
        let failure = FailureSwitch::default();
        Self { name: name.to_owned(), failure, form, recorder: recorder.clone() }
    }

    /// Listens for a gatekeeper.
    ///
    /// # Errors
    ///
    /// There is no port.
    pub fn open(&self, network: &Network, host: IpAddr, gatekeeper: &str) -> std::io::Result<SocketAddr> {
        let (backend, gatekeeper) = (self.clone(), gatekeeper.to_owned());
        listen(network, host, move |stream| backend.serve(stream, &gatekeeper))
    }

    fn serve(&self, mut stream: TcpStream, gatekeeper: &str) {
        let Ok(read) = stream.try_clone() else { return };
        let mut requests = BufReader::new(read);
        let mut random = fastrand::Rng::with_seed(now_us());
        loop {
            if self.failure.mode() == Some(FailureMode::Closed) {
                return;
            }
            let Some(request) = Request::read(self.form, &mut requests) else { return };
            let mode = self.failure.mode();
            if let Some(request_id) = request.request_id {
                let (backend, gatekeeper) = (self.name.clone(), gatekeeper.to_owned());
                self.recorder.record(Observation::AttemptArrived { request_id, backend, gatekeeper });
            }
            thread::sleep(Duration::from_micros(random.u64(WORK_US)));
            let answer = match mode {
                Some(FailureMode::Silent | FailureMode::ResponseLost) => return keep_silent(&mut stream),
                Some(FailureMode::Error | FailureMode::RestartedEmpty) => request.failure,
                Some(FailureMode::ResponseTruncated) => {
                    let _ = stream.write_all(&request.success[..request.success.len() / 2]);
                    return;
                }
                Some(FailureMode::Slow) => {
                    thread::sleep(SLOW_ANSWER);
                    request.success
                }
                Some(FailureMode::Closed) => return,
                None => request.success,
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }
}
