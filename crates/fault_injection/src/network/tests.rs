//! Links that are cut, closed, degraded and healed.

use super::*;
use std::io::{ErrorKind, Read, Write};
use std::net::UdpSocket;

const SENDER: NodeId = NodeId(0);
const RECEIVER: NodeId = NodeId(1);
const FORWARD: Link = Link { from: SENDER, to: RECEIVER };
const TIMEOUT: Duration = Duration::from_secs(10);

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn fault(link: Link, quality: LinkQuality) -> Vec<LinkFault> {
    vec![LinkFault { link, quality }]
}

/// Starts an echo server behind a link from the sender to the receiver. Returns the address of the link.
fn echo(network: &Network) -> SocketAddr {
    let listener = TcpListener::bind(free_address()).expect("a free port");
    let target = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut buffer = [0; 1024];
                while let Ok(n) = stream.read(&mut buffer) {
                    if n == 0 || stream.write_all(&buffer[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    network.stream_link(FORWARD, free_address(), target).expect("a free port")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the link listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    stream
}

fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(bytes)?;
    let mut echoed = vec![0; bytes.len()];
    stream.read_exact(&mut echoed)?;
    Ok(echoed)
}

#[test]
fn a_cut_link_holds_data_until_it_heals() {
    let network = Network::new(1);
    let mut stream = connect(echo(&network));
    assert_eq!(exchange(&mut stream, b"one").expect("an echo"), b"one");
    // Only the direction back to the sender is cut.
    network.inject(1, fault(FORWARD.reversed(), LinkQuality::cut()));
    stream.write_all(b"two").expect("the forward direction accepts data");
    stream.set_read_timeout(Some(Duration::from_millis(400))).expect("a timeout can be set");
    assert!(stream.read(&mut [0; 3]).is_err(), "the cut direction delivers nothing");
    network.heal(1);
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    let mut echoed = [0; 3];
    stream.read_exact(&mut echoed).expect("the echo arrives after the link has healed");
    assert_eq!(&echoed, b"two");
}

#[test]
fn closed_and_degraded_links_reset_connections() {
    let network = Network::new(2);
    let address = echo(&network);
    let mut stream = connect(address);
    exchange(&mut stream, b"one").expect("an echo");
    network.inject(1, fault(FORWARD, LinkQuality { reset_share: 1.0, ..LinkQuality::default() }));
    let error = exchange(&mut stream, b"four").expect_err("the connection is reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(network.traffic().resets, 1);
    network.heal(1);
    let mut stream = connect(address);
    exchange(&mut stream, b"one").expect("an echo");
    network.inject(2, fault(FORWARD, LinkQuality::closed()));
    assert!(exchange(&mut stream, b"five").is_err());
    // The reset may arrive before the client's `connect` has returned, which then reports it.
    let outcome = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(TIMEOUT))?;
        exchange(&mut stream, b"six")
    });
    let error = outcome.expect_err("the connection ends without an echo");
    assert_ne!(error.kind(), ErrorKind::ConnectionRefused, "the link listens");
}

#[test]
fn connects_hang_on_a_cut_link_and_succeed_after_it_heals() {
    let network = Network::new(5);
    let address = echo(&network);
    exchange(&mut connect(address), b"one").expect("an echo");
    for link in [FORWARD, FORWARD.reversed()] {
        network.inject(1, fault(link, LinkQuality::cut()));
        let connects = || TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_ok();
        // The first connects may still succeed, until the backlog is full.
        assert!((0..1_000).any(|_| !connects()), "a connect hangs");
        network.heal(1);
        let echoes = |_| {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5));
            stream.is_ok_and(|mut stream| exchange(&mut stream, b"two").is_ok())
        };
        assert!((0..10).any(echoes));
    }
}

#[test]
fn the_sender_of_a_datagram_determines_its_link() {
    let network = Network::new(3);
    let open = || {
        let socket = UdpSocket::bind(free_address()).expect("a free port");
        socket.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
        socket
    };
    let (a, b, c) = (open(), open(), open());
    let [node_a, node_b, node_c] = [0, 1, 2].map(NodeId);
    network.register_sender(node_a, a.local_addr().expect("an address"));
    network.register_sender(node_b, b.local_addr().expect("an address"));
    let target = c.local_addr().expect("an address");
    let to = network.datagram_link(node_c, free_address(), target).expect("a free port");
    network.inject(1, fault(Link::new(node_a, node_c), LinkQuality::cut()));
    let duplicated = LinkQuality { duplicate_share: 1.0, ..LinkQuality::default() };
    network.inject(2, fault(Link::new(node_b, node_c), duplicated));
    a.send_to(b"from a", to).expect("the datagram is sent");
    b.send_to(b"from b", to).expect("the datagram is sent");
    let mut buffer = [0; 16];
    for _ in 0..2 {
        let n = c.recv(&mut buffer).expect("the datagram arrives twice");
        assert_eq!(&buffer[..n], b"from b");
    }
    network.heal(1);
    a.send_to(b"from a", to).expect("the datagram is sent");
    let n = c.recv(&mut buffer).expect("the datagram arrives");
    assert_eq!(&buffer[..n], b"from a");
    assert_eq!(network.traffic().dropped_datagrams, 1, "one was dropped");
}

#[test]
fn faults_on_one_link_combine_and_end_independently() {
    let network = Network::new(4);
    let slow = LinkQuality {
        delay: Duration::from_millis(5),
        loss_share: 0.5,
        bytes_per_second: 100,
        ..LinkQuality::default()
    };
    network.inject(1, fault(FORWARD, slow));
    network
        .inject(2, fault(FORWARD, LinkQuality { cut: true, loss_share: 0.5, bytes_per_second: 50, ..slow }));
    let both = network.quality(FORWARD);
    assert_eq!((both.cut, both.loss_share, both.bytes_per_second), (true, 0.75, 50));
    assert_eq!(both.delay, Duration::from_millis(10));
    network.heal(2);
    assert_eq!(network.quality(FORWARD), slow);
    network.heal(1);
    assert_eq!(network.quality(FORWARD), LinkQuality::default());
}
