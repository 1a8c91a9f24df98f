//! Tests the updates that watches get when the list changes.

use super::*;
use std::time::Instant;

const REMOVED: ListedChange = ListedChange { state: ListedState::Removed, has_just_started: false };
const DRAINING: ListedChange = ListedChange { state: ListedState::Draining, has_just_started: false };

fn list() -> EndpointList {
    EndpointList::new(["l0", "l1"].map(str::to_owned), 41)
}

fn address(id: &str) -> Option<SocketAddr> {
    let port = id.strip_prefix('l')?.parse::<u16>().ok()? + 7_000;
    Some(([127, 0, 0, 1], port).into())
}

fn json(id: &str, port: u16, state: &str) -> String {
    format!(
        r#"{{"uid":"{id}","endpoint":"127.0.0.1:{port}","az":"z","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

#[test]
fn a_complete_list_has_all_backends_that_are_not_removed() {
    let list = list();
    list.change("l0", REMOVED, || ());
    let text = format!(r#"{{"rev":42,"all":true,"targets":[{}]}}"#, json("l1", 7_001, "up"));
    assert_eq!(list.update(None, address), ListUpdate { revision: 42, text });
}

#[test]
fn an_update_has_only_the_backends_that_changed_including_removed_ones() {
    let list = list();
    list.change("l0", REMOVED, || ());
    list.change("l1", DRAINING, || ());
    let both = format!("{},{}", json("l0", 7_000, "removed"), json("l1", 7_001, "draining"));
    assert_eq!(
        list.update(Some(41), address).text,
        format!(r#"{{"rev":43,"all":false,"targets":[{both}]}}"#)
    );
    let last = json("l1", 7_001, "draining");
    assert_eq!(
        list.update(Some(42), address).text,
        format!(r#"{{"rev":43,"all":false,"targets":[{last}]}}"#)
    );
}

#[test]
fn a_backend_without_an_address_is_left_out() {
    let text = list().update(None, |id| address(id).filter(|_| id == "l1")).text;
    assert!(!text.contains("l0") && text.contains("l1"), "{text}");
}

#[test]
fn the_start_time_of_a_backend_is_listed() {
    let list = list();
    let before = unix_ms();
    list.change("l0", ListedChange { state: ListedState::Up, has_just_started: true }, || ());
    let backends = list.backends();
    assert!(backends[0].boot_ms >= before && backends[1].boot_ms == 0);
}

#[test]
fn a_change_wakes_a_watch_after_it_was_observed() {
    let list = list();
    list.wait_for_change(41, Duration::from_millis(1));
    let observed = Arc::new(Mutex::new(false));
    let (changing, seen) = (list.clone(), observed.clone());
    let changer = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(20));
        changing.change("l0", DRAINING, || *lock(&seen) = true);
    });
    let began = Instant::now();
    list.wait_for_change(41, Duration::from_secs(20));
    assert!(began.elapsed() < Duration::from_secs(10) && list.revision() == 42 && *lock(&observed));
    changer.join().expect("no panic");
    list.change("unknown", DRAINING, || panic!("no such backend"));
    assert_eq!(list.revision(), 42);
}
