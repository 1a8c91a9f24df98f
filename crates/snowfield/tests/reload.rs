//! New settings at SIGHUP, in the real program.

mod common;

use common::admin::*;
use common::*;

/// Guards operations under way: a class that vanishes is kept by those that came with it, a new one is let in, and a bad file
/// changes nothing.
#[test]
fn new_settings_are_in_force_at_once_and_a_bad_file_changes_nothing() {
    let (at, seen, release) = holds(10, |words| match words[2].as_str() {
        "0000000000000014" => Behaviour::Close,
        _ => Behaviour::Reply(backend_reply(&words[2])),
    });
    let shape = Shape { destinations: &[at], ..Shape::default() };
    let (site, admin) = site_with_admin("retune", &shape);
    let (mut waits, mut client) = (Client::connect(site.listen), Client::connect(site.listen));
    waits.send(&query_of_another_tenant(10));
    next_request(&seen);
    let good = config(site.agent.address, &shape);
    let other =
        good.replace(r#""name":"lookup""#, r#""name":"notice""#).replace("read_like", "non_idempotent");
    let reload = |text: &str, line: &str| {
        site.folder.write("config.json", text);
        site.program.signal("-HUP");
        site.program.logged(line)
    };
    reload(&other, "configuration reloaded");
    client.send(&query_of_another_tenant(11));
    assert_eq!(client.reply(), "-ERR no such class");
    let submit = |number: u32| {
        let list = "c=notice,t=team,d=2400,units=1,spread=1,first=0";
        resp_command(&["SVC.SUBMIT", &format!("{number:016x}"), &id(number), list, "body"])
    };
    client.send(&submit(12));
    assert_eq!(client.reply(), id(12), "the class that appeared is served");
    client.send(&submit(20));
    assert_eq!(client.reply(), "-ERR failed", "and never sent again where it may have run");
    for bad in [
        "",
        &other[..other.len() / 2],
        &other.replace("2500000", "0"),
        &other.replace("max-attempts", "most"),
    ] {
        reload(bad, "previous configuration kept in force");
        client.send(&submit(13));
        assert_eq!(client.reply(), id(13));
    }
    release.send(()).expect("the stand-in waits");
    assert_eq!(waits.reply(), id(10), "it keeps the class that it came with");
    let text = call(admin, "telemetry");
    let of = |name: &str, class: &str| metric(&text, &format!("balancer_{name}_total{{lane=\"{class}\"}}"));
    assert_eq!((of("completed", "lookup"), of("completed", "notice"), of("failed", "notice")), (1, 5, 1));
    assert_eq!(metric(&text, "balancer_config_reloads_total"), 1);
    assert_eq!(metric(&text, "balancer_config_reload_errors_total"), 4);
}
