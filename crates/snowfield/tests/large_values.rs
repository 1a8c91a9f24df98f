//! Large values that are streamed through the real program.

mod common;

use common::admin::*;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;

/// A value of this many bytes, no two neighbours alike.
fn large(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|index| b'a' + (index % 23) as u8).collect()
}

fn framed(value: &[u8], behind: &str) -> Vec<u8> {
    [format!("*3\r\n${}\r\n", value.len()).as_bytes(), value, b"\r\n", behind.as_bytes()].concat()
}

const BEHIND: &str = "$-1\r\n$34\r\ninflight=7,queue=2,latency_ms=51.0\r\n";

/// A destination that answers each request by this, which is given its connection.
fn writes(
    answer: impl Fn(&[String], &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    listen(move |stream| {
        let mut out = stream.try_clone().expect("a second handle");
        let mut requests = std::io::BufReader::new(stream);
        while let Some(words) = read_resp_command(&mut requests) {
            if answer(&words, &mut out).is_err() {
                return;
            }
        }
    })
}

/// Reads one bulk string.
fn bulk(client: &mut Client) -> std::io::Result<Vec<u8>> {
    use std::io::BufRead;
    let mut head = String::new();
    client.reads.read_line(&mut head)?;
    let length: usize = head.trim().strip_prefix('$').expect("a bulk string").parse().expect("a length");
    let mut value = vec![0; length + 2];
    client.reads.read_exact(&mut value)?;
    assert_eq!(value.split_off(length), b"\r\n");
    Ok(value)
}

/// Guards large values: they go on unchanged whatever the pieces, their first bytes before the last have come, and what is
/// pipelined behind them stays in order.
#[test]
fn a_large_value_is_streamed() {
    let (release, word) = channel();
    let word = std::sync::Mutex::new(word);
    let value = large(3_000_001);
    let address = writes(move |words, out| {
        if words[2] != request_id(1) {
            return out.write_all(&framed(words[2].as_bytes(), BEHIND));
        }
        let whole = framed(&value, BEHIND);
        out.write_all(&whole[..70_000])?;
        word.lock().expect("no stand-in panics").recv().expect("the test goes on");
        for piece in whole[70_000..].chunks(4_999) {
            out.write_all(piece)?;
        }
        Ok(())
    });
    let (site, admin) =
        site_with_admin("large", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(&[query_of_new_tenant(1), query_of_new_tenant(2), resp_command(&["PING"])].concat());
    let mut first = [0; 40_000];
    client.reads.read_exact(&mut first).expect("the first bytes come before the last");
    assert!(first.starts_with(b"$3000001\r\nabcdef"));
    assert_eq!(read_metric(admin, "balancer_pending"), 1, "it goes on");
    release.send(()).expect("the stand-in waits");
    let mut rest = vec![0; 3_000_001 + 12 - first.len()];
    client.reads.read_exact(&mut rest).expect("the rest");
    let whole = [&first[..], &rest].concat();
    assert!(whole[10..3_000_011] == large(3_000_001)[..] && whole.ends_with(b"\r\n"));
    assert_eq!([client.reply(), client.reply()], [request_id(2), "+PONG".to_owned()]);
    let text = admin_command(admin, "telemetry");
    assert_eq!(metric(&text, "balancer_completed_total{lane=\"lookup\"}"), 2);
    assert_eq!(metric(&text, "balancer_pending"), 0);
}

/// Guards memory: many large values at once, whose clients do not read, hold a window each, and others are served meanwhile.
#[test]
fn clients_that_do_not_read_hold_little_memory_and_delay_nobody() {
    let value = large(4 << 20);
    let address = writes(move |words, out| {
        let value = if words[2].starts_with("000000000000f") { words[2].as_bytes() } else { &value };
        out.write_all(&framed(value, BEHIND))
    });
    let (site, admin) =
        site_with_admin("slow-clients", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    let mut slow: Vec<Client> = (1..=40)
        .map(|number| {
            let mut client = Client::connect(site.listen);
            client.send(&query_of_new_tenant(number));
            client.reads.read_exact(&mut [0; 1]).expect("its value has begun");
            client
        })
        .collect();
    let mut other = Client::connect(site.listen);
    for number in 0..20 {
        other.send(&query_of_new_tenant(0xf000 + number));
        assert_eq!(other.reply(), request_id(0xf000 + number));
    }
    let kilobytes = site.program.memory_kb();
    assert!(kilobytes < 64 * 1024, "160 MB are under way, and {kilobytes} kB are held");
    // Who leaves is no longer pending; who reads in the end has the whole value.
    let mut last = slow.pop().expect("there are 40");
    drop(slow);
    let mut rest = vec![0; (4 << 20) + 11];
    last.reads.read_exact(&mut rest).expect("all of it");
    assert!(rest[..9] == *b"4194304\r\n" && rest[9..][..4 << 20] == large(4 << 20)[..]);
    while read_metric(admin, "balancer_pending") > 0 {}
}

/// Guards clients against half a value taken for a whole one: where it breaks off, or what stands behind it is not sound, the
/// connection ends, and nothing follows on it.
#[test]
fn a_broken_large_value_closes_the_connection() {
    let value = large(200_000);
    let address = writes(move |words, out| {
        let whole = framed(&value, BEHIND);
        match words[2].as_str() {
            "0000000000000001" => {
                out.write_all(&whole[..150_000])?;
                Err(std::io::ErrorKind::Other.into())
            }
            "0000000000000002" => {
                let longer = [&whole[..200_011], b"longer than it says", &whole[200_011..]].concat();
                out.write_all(&longer)
            }
            "0000000000000003" => out.write_all(&framed(&value, "$-1\r\n$x\r\n")),
            _ => out.write_all(&whole),
        }
    });
    let (site, admin) =
        site_with_admin("spoilt-large", &SiteOptions { backends: &[address], ..SiteOptions::default() });
    for number in 1..=3 {
        let mut client = Client::connect(site.listen);
        client.send(&[query_of_new_tenant(number), resp_command(&["PING"])].concat());
        let mut got = Vec::new();
        // A reset is an end as well.
        let _ = client.reads.read_to_end(&mut got);
        assert!(got.len() < 200_011, "{number}: {} bytes of 200011", got.len());
    }
    let mut client = Client::connect(site.listen);
    client.send(&query_of_new_tenant(4));
    assert_eq!(bulk(&mut client).expect("a whole one"), large(200_000));
    let text = admin_command(admin, "telemetry");
    let of = |name: &str| metric(&text, &format!("balancer_{name}_total{{lane=\"lookup\"}}"));
    assert_eq!((of("completed"), of("failed"), of("rejected")), (1, 3, 0));
}
