//! Reloads of the configuration by SIGHUP, in the real program.

mod common;

use common::admin::*;
use common::*;

/// A request in flight keeps its class when that is removed, requests of a new class are accepted, and an invalid file changes
/// nothing.
#[test]
fn a_reload_replaces_the_classes_at_once_and_an_invalid_file_changes_nothing() {
    let HeldBackend { address, events, release } =
        start_backend_holding_request(10, |words| match words[2].as_str() {
            "0000000000000014" => Behaviour::Close,
            _ => reply_with_id(words),
        });
    let options = SiteOptions { backends: &[address], ..SiteOptions::default() };
    let (site, admin) = start_site_with_admin("retune", &options);
    let (mut waiting, mut client) = (Client::connect(site.listen), Client::connect(site.listen));
    waiting.send(&query_of_new_tenant(10));
    next_request(&events);
    let initial_config = config_text(site.agent.address, &options);
    let changed_config = initial_config
        .replace(r#""name":"lookup""#, r#""name":"notice""#)
        .replace("read_like", "non_idempotent");
    let reload = |text: &str, message: &str| {
        site.directory.write("config.json", text);
        site.program.signal("-HUP");
        site.program.wait_for_log(message)
    };
    reload(&changed_config, "configuration reloaded");
    client.send(&query_of_new_tenant(11));
    assert_eq!(client.read_reply(), "-ERR no such class");
    let submit = |number: u32| {
        let fields = "c=notice,t=team,d=2400,units=1,spread=1,first=0";
        resp_command(&["SVC.SUBMIT", &format!("{number:016x}"), &request_id(number), fields, "body"])
    };
    client.send(&submit(12));
    assert_eq!(client.read_reply(), request_id(12), "the new class is served");
    client.send(&submit(20));
    assert_eq!(client.read_reply(), "-ERR failed", "the request is not retried, since it may have run");
    for invalid_config in [
        "",
        &changed_config[..changed_config.len() / 2],
        &changed_config.replace("2500000", "0"),
        &changed_config.replace("max-attempts", "most"),
    ] {
        reload(invalid_config, "previous configuration kept in force");
        client.send(&submit(13));
        assert_eq!(client.read_reply(), request_id(13));
    }
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(waiting.read_reply(), request_id(10), "the request keeps the class that it was admitted with");
    let text = admin_command(admin, "telemetry");
    let total =
        |name: &str, class: &str| metric(&text, &format!("balancer_{name}_total{{lane=\"{class}\"}}"));
    assert_eq!(
        (total("completed", "lookup"), total("completed", "notice"), total("failed", "notice")),
        (1, 5, 1)
    );
    assert_eq!(metric(&text, "balancer_config_reloads_total"), 1);
    assert_eq!(metric(&text, "balancer_config_reload_errors_total"), 4);
}
