use super::*;
use replicated_config::ConfigVersion;

fn message() -> Message {
    Message::VersionChanged(ConfigVersion(1))
}

#[test]
fn a_message_is_sent_over_the_connection_of_the_clients_last_request() {
    let mut clients = ClientConnections::default();
    let (queue, first) = MessageQueue::new();
    clients.insert(ConnectionId(1), queue);
    let (queue, second) = MessageQueue::new();
    clients.insert(ConnectionId(2), queue);
    clients.set_route("m1", ConnectionId(1));
    clients.set_route("m1", ConnectionId(2));
    clients.send("m1", message());
    assert_eq!((first.try_recv().ok(), second.try_recv().ok()), (None, Some(message())));
}

#[test]
fn a_client_can_be_addressed_by_its_connection() {
    let mut clients = ClientConnections::default();
    let (queue, messages) = MessageQueue::new();
    clients.insert(ConnectionId(7), queue);
    clients.send(&ConnectionId(7).to_string(), message());
    assert_eq!(messages.try_recv().ok(), Some(message()));
}

#[test]
fn messages_to_clients_that_are_not_connected_are_dropped() {
    let mut clients = ClientConnections::default();
    let (queue, messages) = MessageQueue::new();
    clients.insert(ConnectionId(1), queue);
    clients.set_route("m1", ConnectionId(1));
    clients.remove(ConnectionId(1));
    clients.send("m1", message());
    clients.send("m2", message());
    clients.send("on 1", message());
    assert!(messages.try_recv().is_err());
}

#[test]
fn a_full_queue_drops_further_messages() {
    let (queue, messages) = MessageQueue::new();
    for _ in 0..1_000 {
        queue.send(message());
    }
    assert_eq!(messages.try_iter().count(), 64);
}
