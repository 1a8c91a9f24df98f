//! Which connections are evicted, and in which order.

use super::*;
use crate::limits::{IDLE_TIMEOUT, TYPICAL_REQUEST_BYTES};
use crate::memory::{MemoryBudget, Reservation};
use link::Connection;
use std::net::{TcpListener, TcpStream};

/// A connection table, and the client sides of its connections.
struct Fixture {
    table: ConnectionTable,
    listener: TcpListener,
    client_ends: Vec<TcpStream>,
}

impl Fixture {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self { table: ConnectionTable::new(|| 8), listener, client_ends: Vec::new() }
    }

    /// Opens a connection whose idle time is `idle`.
    fn open(&mut self, idle: Duration) -> Arc<ClientConnection> {
        let address = self.listener.local_addr().expect("the listener is bound");
        self.client_ends.push(TcpStream::connect(address).expect("the listener accepts connections"));
        let (stream, _) = self.listener.accept().expect("a connection is accepted");
        let budget = MemoryBudget::new(1 << 20);
        let client = ClientConnection::new(
            Connection::new(stream).expect("the socket is registered for events"),
            Reservation::empty(&budget),
            Reservation::empty(&budget),
        );
        lock_or_abort(&client.state).backdate_idle(idle);
        self.table.insert(client.clone());
        client
    }
}

fn take_eviction(client: &ClientConnection) -> bool {
    lock_or_abort(&client.state).take_eviction()
}

#[test]
fn evicts_the_longest_idle_connections_up_to_the_count() {
    let mut fixture = Fixture::new();
    let shorter = fixture.open(IDLE_TIMEOUT + Duration::from_millis(100));
    let longest = fixture.open(IDLE_TIMEOUT + Duration::from_millis(300));
    let longer = fixture.open(IDLE_TIMEOUT + Duration::from_millis(200));
    fixture.table.evict(0);
    fixture.table.evict(2);
    assert!(take_eviction(&longest) && take_eviction(&longer));
    assert!(!take_eviction(&shorter));
}

#[test]
fn does_not_evict_connections_in_use() {
    let mut fixture = Fixture::new();
    let in_use = fixture.open(2 * IDLE_TIMEOUT);
    lock_or_abort(&in_use.state).answers.push();
    let new = fixture.open(Duration::ZERO);
    fixture.table.evict(2);
    lock_or_abort(&in_use.state).answers.take_all();
    lock_or_abort(&new.state).backdate_idle(IDLE_TIMEOUT);
    assert!(!take_eviction(&in_use) && !take_eviction(&new));
}

#[test]
fn closes_a_connection_that_has_lingered_before_it_evicts_idle_ones() {
    let mut fixture = Fixture::new();
    let idle = fixture.open(2 * IDLE_TIMEOUT);
    let lingering = fixture.open(Duration::ZERO);
    lock_or_abort(&lingering.state).end();
    lock_or_abort(&lingering.state).backdate_idle(LINGER_TIMEOUT / LINGER_DIVISOR);
    fixture.table.evict(1);
    assert!(lingering.socket.is_closed());
    assert!(!take_eviction(&idle));
}

#[test]
fn leaves_a_connection_open_that_has_only_begun_to_linger() {
    let mut fixture = Fixture::new();
    let lingering = fixture.open(Duration::ZERO);
    lock_or_abort(&lingering.state).end();
    fixture.table.evict(1);
    assert!(!lingering.socket.is_closed());
}

#[test]
fn sheds_the_oldest_large_incomplete_command() {
    let mut fixture = Fixture::new();
    let small = fixture.open(Duration::ZERO);
    lock_or_abort(&small.state).incomplete_command.update(TYPICAL_REQUEST_BYTES - 1, false);
    let older = fixture.open(Duration::ZERO);
    lock_or_abort(&older.state).incomplete_command.update(TYPICAL_REQUEST_BYTES, false);
    let younger = fixture.open(Duration::ZERO);
    lock_or_abort(&younger.state).incomplete_command.update(2 * TYPICAL_REQUEST_BYTES, false);
    let is_shed = |client: &Arc<ClientConnection>| lock_or_abort(&client.state).incomplete_command.is_shed();
    fixture.table.shed_incomplete_command(TYPICAL_REQUEST_BYTES);
    assert_eq!([&small, &older, &younger].map(is_shed), [false, true, false]);
    fixture.table.shed_incomplete_command(TYPICAL_REQUEST_BYTES);
    assert_eq!([&small, &older, &younger].map(is_shed), [false, true, true]);
}
