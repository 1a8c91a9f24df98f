//! Both configuration files: values of valid files, and rejection of invalid or random bytes without a panic.

use fuzz_inputs::assert_no_panic_on_malformed_input;
use settings::appliance::ApplianceConfig;
use settings::platform::PlatformConfig;

const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:6400",
"known":{"rev":41,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a","model":"m2","pod_group":3,
"state":"up","capacity_hint":1.0,"boot_ms":5}]},"settings":{"balancers":2,"me":1,"zone":0,"tick-us":4000,
"classes":[{"name":"loan-lookup","goal-time-us":600000,"deadline-us":2500000,"effect":"read_like","group":"all",
"key-ttl-us":5000000,"late-worth":0.0,"streaming":false,"worth":1.0}],
"contracts":[{"name":"standard","per-second":5.6,"depth":32.0,"ceiling-rate":10.0,"ceiling-burst":59.0,"price":1.2}],
"bounds":{"retry-after":true,"max-retry-after-us":1000000,"keepalive-us":30000000,"max-attempts":6},
"report":{"columns":["active","waiting","avg_ms"],"how":"inline"},
"specifics":{"may-count":true,"count-wait-us":30000,"largest":8},"a-key-of-tomorrow":[1,{"x":null}]}}"#;

#[test]
fn values_of_the_platform_file_are_parsed() {
    let config = PlatformConfig::parse(&mut CONFIG.as_bytes().to_vec()).unwrap();
    assert_eq!((config.name.as_str(), config.seed, config.max_sockets), ("n3", 0x8c1f_30d2_7a5b_e964, 1024));
    assert_eq!(config.counter, Some(([127, 0, 0, 1], 6400).into()));
    assert_eq!((config.cached_list.revision, config.cached_list.endpoints[0].started_ms), (41, 5));
    let settings = &config.settings;
    assert_eq!(
        (
            settings.gatekeepers,
            settings.gatekeeper_index,
            settings.tick,
            settings.max_attempts,
            settings.max_retry_after
        ),
        (2, 1, 4000, 6, 1_000_000)
    );
    assert_eq!(
        (settings.plans[0].ceiling_rate, settings.plans[0].ceiling_burst, settings.plans[0].burst),
        (10.0, 59.0, 32.0)
    );
    assert_eq!(
        (settings.shared_counter, settings.counter_timeout, settings.max_cost, settings.load_metrics.len()),
        (true, 30_000, 8.0, 3)
    );
}

#[test]
fn the_shared_counter_is_off_without_its_address() {
    let text = CONFIG.replace("\"counter\":\"127.0.0.1:6400\",", "");
    assert!(!PlatformConfig::parse(&mut text.into_bytes()).unwrap().settings.shared_counter);
}

#[test]
fn garbage_is_rejected_without_a_panic() {
    assert_no_panic_on_malformed_input(CONFIG.as_bytes(), |pieces| {
        drop(PlatformConfig::parse(&mut pieces.concat()))
    });
    let toml = include_str!("../../../deploy/openapi.toml");
    assert_no_panic_on_malformed_input(toml.as_bytes(), |pieces| {
        drop(ApplianceConfig::parse(&String::from_utf8_lossy(&pieces.concat())));
    });
}

#[test]
fn an_invalid_appliance_file_is_rejected_with_the_cause() {
    let toml = include_str!("../../../deploy/openapi.toml");
    assert!(ApplianceConfig::parse(toml).is_ok());
    for (from, to, expected) in [
        ("127.0.0.1:8081", "0.0.0.0:8081", "loopback"),
        ("descriptions = [\"loans.openapi.json\"]", "descriptions = []", "descriptions"),
        ("X-Lender", "X Lender", "lender_header"),
        ("name = \"standard\"", "name = \"basic\"", "twice"),
        ("plan = \"standard\"", "plan = \"gold\"", "gold"),
        ("burst = 16.0", "burst = 0.0", "basic"),
        ("repeat = \"unsafe\"", "repeat = \"maybe\"", "maybe"),
        ("wanted_ms = 600", "wanted_ms = 0", "classes"),
        ("service = \"loan-server\"", "service = \"\"", "service"),
        ("status =", "state =", "state"),
    ] {
        assert!(toml.contains(from), "{from}");
        let error = ApplianceConfig::parse(&toml.replacen(from, to, 1)).expect_err(expected).to_string();
        assert!(error.contains(expected), "{expected}: {error}");
    }
}
