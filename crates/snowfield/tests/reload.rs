//! Reloading the configuration at SIGHUP, in the real program.

mod common;

use common::admin::*;
use common::*;

/// Requests in flight keep a class that was removed, requests of a new class are accepted, and an invalid file changes nothing.
#[test]
fn new_settings_are_in_force_at_once_and_a_bad_file_changes_nothing() {
    let HeldBackend { address, events, release } =
        backend_holding_request(10, |words| match words[2].as_str() {
            "0000000000000014" => Behaviour::Close,
            _ => reply_with_id(words),
        });
    let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
    let (site, admin) = site_with_admin("retune", &options);
    let (mut waits, mut client) = (Client::connect(site.listen), Client::connect(site.listen));
    waits.send(&query_of_new_tenant(10));
    next_request(&events);
    let good = config(site.agent.address, &options);
    let other =
        good.replace(r#""name":"lookup""#, r#""name":"notice""#).replace("read_like", "non_idempotent");
    let reload = |text: &str, line: &str| {
        site.directory.write("config.json", text);
        site.program.signal("-HUP");
        site.program.logged(line)
    };
    reload(&other, "configuration reloaded");
    client.send(&query_of_new_tenant(11));
    assert_eq!(client.reply(), "-ERR no such class");
    let submit = |number: u32| {
        let list = "c=notice,t=team,d=2400,units=1,spread=1,first=0";
        resp_command(&["SVC.SUBMIT", &format!("{number:016x}"), &request_id(number), list, "body"])
    };
    client.send(&submit(12));
    assert_eq!(client.reply(), request_id(12), "the new class is served");
    client.send(&submit(20));
    assert_eq!(client.reply(), "-ERR failed", "not retried, since it may have run");
    for bad in [
        "",
        &other[..other.len() / 2],
        &other.replace("2500000", "0"),
        &other.replace("max-attempts", "most"),
    ] {
        reload(bad, "previous configuration kept in force");
        client.send(&submit(13));
        assert_eq!(client.reply(), request_id(13));
    }
    release.send(()).expect("the stand-in waits");
    assert_eq!(waits.reply(), request_id(10), "it keeps the class of its admission");
    let text = admin_command(admin, "telemetry");
    let of = |name: &str, class: &str| metric(&text, &format!("balancer_{name}_total{{lane=\"{class}\"}}"));
    assert_eq!((of("completed", "lookup"), of("completed", "notice"), of("failed", "notice")), (1, 5, 1));
    assert_eq!(metric(&text, "balancer_config_reloads_total"), 1);
    assert_eq!(metric(&text, "balancer_config_reload_errors_total"), 4);
}
