//! Large values that are streamed through the real program.

mod common;

use common::admin::*;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// A value of this length, in which no two adjacent bytes are equal.
fn large_value(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|index| b'a' + (index % 23) as u8).collect()
}

/// A reply with this value and the bytes after it.
fn reply_with_value(value: &[u8], tail: &str) -> Vec<u8> {
    [format!("*3\r\n${}\r\n", value.len()).as_bytes(), value, b"\r\n", tail.as_bytes()].concat()
}

/// The part of a reply after the value: a null error, and the load report.
const REPLY_TAIL: &str = "$-1\r\n$34\r\ninflight=7,queue=2,latency_ms=51.0\r\n";

/// Starts a backend whose replies are written by `write_reply`. The connection closes when that fails.
fn start_backend_writing(
    write_reply: impl Fn(&[String], &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    start_listener(move |stream| {
        let mut writer = stream.try_clone().expect("the socket can be cloned");
        let mut requests = std::io::BufReader::new(stream);
        while let Some(words) = read_resp_command(&mut requests) {
            if write_reply(&words, &mut writer).is_err() {
                return;
            }
        }
    })
}

/// Reads one bulk string.
fn read_bulk_string(client: &mut Client) -> std::io::Result<Vec<u8>> {
    use std::io::BufRead;
    let mut head = String::new();
    client.reader.read_line(&mut head)?;
    let length: usize = head.trim().strip_prefix('$').expect("a bulk string").parse().expect("a length");
    let mut value = vec![0; length + 2];
    client.reader.read_exact(&mut value)?;
    assert_eq!(value.split_off(length), b"\r\n");
    Ok(value)
}

/// A large value is forwarded unchanged however it is split. Its first bytes are forwarded before the last ones have arrived, and
/// pipelined replies after it stay in order.
#[test]
fn a_large_value_is_forwarded_while_it_arrives() {
    let (release, released) = channel();
    let released = std::sync::Mutex::new(released);
    let value = large_value(3_000_001);
    let address = start_backend_writing(move |words, writer| {
        if words[2] != request_id(1) {
            return writer.write_all(&reply_with_value(words[2].as_bytes(), REPLY_TAIL));
        }
        let reply = reply_with_value(&value, REPLY_TAIL);
        writer.write_all(&reply[..70_000])?;
        released.lock().expect("the lock is not poisoned").recv().expect("the test releases the reply");
        for piece in reply[70_000..].chunks(4_999) {
            writer.write_all(piece)?;
        }
        Ok(())
    });
    let (site, admin) =
        start_site_with_admin("large", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&[query_of_new_tenant(1), query_of_new_tenant(2), resp_command(&["PING"])].concat());
    let mut first = [0; 40_000];
    client.reader.read_exact(&mut first).expect("the first bytes are forwarded before the last ones arrive");
    assert!(first.starts_with(b"$3000001\r\nabcdef"));
    assert_eq!(read_metric(admin, "balancer_pending"), 1, "the request is still pending");
    release.send(()).expect("the stand-in waits for the release");
    let mut rest = vec![0; 3_000_001 + 12 - first.len()];
    client.reader.read_exact(&mut rest).expect("the rest of the value arrives");
    let reply = [&first[..], &rest].concat();
    assert!(reply[10..3_000_011] == large_value(3_000_001)[..] && reply.ends_with(b"\r\n"));
    assert_eq!([client.read_reply(), client.read_reply()], [request_id(2), "+PONG".to_owned()]);
    let text = admin_command(admin, "telemetry");
    assert_eq!(metric(&text, "balancer_completed_total{lane=\"lookup\"}"), 2);
    assert_eq!(metric(&text, "balancer_pending"), 0);
}

/// Regression: the process exited at a fixed time after the start of the drain, although a backend was still sending a value.
#[test]
fn at_shutdown_a_value_that_is_still_arriving_is_forwarded_completely() {
    let (release, released) = channel();
    let released = std::sync::Mutex::new(released);
    let address = start_backend_writing(move |_, writer| {
        let reply = reply_with_value(&large_value(300_000), REPLY_TAIL);
        writer.write_all(&reply[..150_000])?;
        released.lock().expect("the lock is not poisoned").recv().expect("the test releases the reply");
        writer.write_all(&reply[150_000..])
    });
    let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
    let mut site = start_site_with_config("large-at-end", &options, |text| {
        text.replace(r#""deadline-us":2500000"#, r#""deadline-us":600000"#)
    });
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(1));
    client.reader.read_exact(&mut [0; 9]).expect("the value begins to arrive");
    site.program.terminate();
    // The overlap ends 0.5 s after the signal, as a value is arriving. Then the longest deadline and the margin take 0.9 s.
    std::thread::sleep(Duration::from_millis(2_200));
    release.send(()).expect("the stand-in waits for the release");
    let mut value = vec![0; 300_000];
    client.reader.read_exact(&mut value).expect("the whole value arrives");
    assert!(value == large_value(300_000));
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: a request that came late in a shutdown got the first bytes of a value that takes seconds, and SIGKILL cut off the
/// rest. It must get a final answer instead, and the clients must be sent to other gatekeepers.
#[test]
fn at_shutdown_a_late_request_for_a_value_that_takes_seconds_gets_an_error() {
    let address = start_backend_writing(move |words, writer| {
        if words[2] == request_id(1) {
            return writer.write_all(&reply_with_value(words[2].as_bytes(), REPLY_TAIL));
        }
        let reply = reply_with_value(&large_value(300_000), REPLY_TAIL);
        writer.write_all(&reply[..150_000])?;
        // SIGKILL comes no sooner than 3.2 s after SIGTERM.
        std::thread::sleep(Duration::from_millis(3_200));
        writer.write_all(&reply[150_000..])
    });
    let mut site = start_site("late-large", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut clients = [Client::connect(site.listen), Client::connect(site.listen)];
    site.program.terminate();
    site.program.wait_for_log("graceful shutdown started signal=15");
    let started = Instant::now();
    // Requests that come more than 0.7 s after SIGTERM must be answered before SIGKILL.
    std::thread::sleep(Duration::from_millis(900));
    clients[0].send(&query_of_new_tenant(1));
    assert_eq!(clients[0].read_reply(), request_id(1), "a small value is served");
    clients[1].send(&query_of_new_tenant(2));
    assert_eq!(clients[1].read_reply(), "-ERR failed");
    assert!(clients.iter_mut().all(Client::is_closed));
    assert_eq!(site.program.wait(), Some(0));
    assert!(started.elapsed() < Duration::from_millis(3_200), "{:?}", started.elapsed());
}

/// Regression: a value whose backend closed the connection right behind it was forwarded without its last two bytes.
#[test]
fn a_large_value_whose_backend_closes_right_behind_it_is_forwarded_completely() {
    let value = large_value(100_000);
    let reply = reply_with_value(&value, REPLY_TAIL);
    let address = start_backend_writing(move |_, writer| {
        writer.write_all(&reply)?;
        Err(std::io::ErrorKind::Other.into())
    });
    let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
    let site = start_site("closed-behind", &options);
    let mut client = Client::connect(site.listen);
    for number in 1..=10 {
        client.send(&query_of_new_tenant(number));
        assert_eq!(
            read_bulk_string(&mut client).expect("the whole value arrives"),
            value,
            "request {number}"
        );
    }
}

/// A large value whose client does not read takes the memory of one window, and other clients are served meanwhile.
#[test]
fn clients_that_do_not_read_take_little_memory_and_do_not_delay_others() {
    let value = large_value(4 << 20);
    let address = start_backend_writing(move |words, writer| {
        let value = if words[2].starts_with("000000000000f") { words[2].as_bytes() } else { &value };
        writer.write_all(&reply_with_value(value, REPLY_TAIL))
    });
    let (site, admin) = start_site_with_admin(
        "slow-clients",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
    );
    let mut slow_clients: Vec<Client> = (1..=40)
        .map(|number| {
            let mut client = Client::connect(site.listen);
            client.send(&query_of_new_tenant(number));
            client.reader.read_exact(&mut [0; 1]).expect("the value begins to arrive");
            client
        })
        .collect();
    let mut other = Client::connect(site.listen);
    for number in 0..20 {
        other.send(&query_of_new_tenant(0xf000 + number));
        assert_eq!(other.read_reply(), request_id(0xf000 + number));
    }
    let kilobytes = site.program.memory_kb();
    assert!(kilobytes < 64 * 1024, "the program holds {kilobytes} kB while values of 160 MB are in transit");
    // A client that disconnects is no longer pending; one that reads late gets the whole value.
    let mut late_reader = slow_clients.pop().expect("there are 40 clients");
    drop(slow_clients);
    let mut rest = vec![0; (4 << 20) + 11];
    late_reader.reader.read_exact(&mut rest).expect("the whole value arrives");
    assert!(rest[..9] == *b"4194304\r\n" && rest[9..][..4 << 20] == large_value(4 << 20)[..]);
    while read_metric(admin, "balancer_pending") > 0 {}
}

/// A truncated value must not pass for a complete one: if it breaks off, or the data after it is malformed, the connection is
/// closed and nothing follows on it.
#[test]
fn a_truncated_or_malformed_large_value_closes_the_connection() {
    let value = large_value(200_000);
    let address = start_backend_writing(move |words, writer| {
        let reply = reply_with_value(&value, REPLY_TAIL);
        match words[2].as_str() {
            "0000000000000001" => {
                writer.write_all(&reply[..150_000])?;
                Err(std::io::ErrorKind::Other.into())
            }
            "0000000000000002" => {
                let longer_reply = [&reply[..200_011], b"longer than it says", &reply[200_011..]].concat();
                writer.write_all(&longer_reply)
            }
            "0000000000000003" => writer.write_all(&reply_with_value(&value, "$-1\r\n$x\r\n")),
            _ => writer.write_all(&reply),
        }
    });
    let (site, admin) = start_site_with_admin(
        "spoilt-large",
        &SiteOptions { backends: &[address], ..SiteOptions::default() },
    );
    for number in 1..=3 {
        let mut client = Client::connect(site.listen);
        client.send(&[query_of_new_tenant(number), resp_command(&["PING"])].concat());
        let mut received = Vec::new();
        // A reset ends the input as well.
        let _ = client.reader.read_to_end(&mut received);
        assert!(received.len() < 200_011, "request {number}: {} of 200011 bytes arrived", received.len());
    }
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(4));
    assert_eq!(read_bulk_string(&mut client).expect("a complete value arrives"), large_value(200_000));
    let text = admin_command(admin, "telemetry");
    let total = |name: &str| metric(&text, &format!("balancer_{name}_total{{lane=\"lookup\"}}"));
    assert_eq!((total("completed"), total("failed"), total("rejected")), (1, 3, 0));
}
