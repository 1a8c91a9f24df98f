//! Validation of the appliance's file: each error names the key and the value.
#![allow(clippy::too_many_lines)]

use settings::appliance::ApplianceConfig;

const FILE: &str = r#"
listen = "127.0.0.1:8080"
status = "127.0.0.1:8081"
descriptions = ["loans.json"]
lender_header = "X-Lender"
[consul]
address = "127.0.0.1:8500"
agents = ["127.0.0.2:8500"]
service = "loan-server"
wait_ms = 10000
sudden_share = 0.5
flap_hold_ms = 2000
flap_longest_ms = 60000
sudden_hold_ms = 15000
[[service]]
name = "rate-server"
[register]
name = "gatekeeper"
id = "gatekeeper-0"
ttl_ms = 10000
[limits]
sockets = 1024
route_steps = 3
[cluster]
name = "m0"
listen = "127.0.0.1:7946"
peers = ["127.0.0.2:7946"]
key_file = "cluster.key"
prefix = "snowfield"
store_timeout_ms = 200
standbys = 3
skew_ms = 300
gossip_ms = 100
suspect_ms = 1000
[agreed]
listen = "127.0.0.1:7000"
lease_ms = 3000
when_apart = 0.5
voters = [{ name = "m0", address = "127.0.0.1:7000" }, { name = "m1", address = "127.0.0.1:7001" }, { name = "m2", address = "127.0.0.1:7002" }]
[probe]
path = "/health"
period_ms = 2000
timeout_ms = 500
down_after = 2
up_after = 2
most_out = 0.34
[[duty]]
name = "collect"
period_ms = 1000
timeout_ms = 900
url = "http://127.0.0.1:9000/collect"
[[duty]]
name = "report"
period_ms = 5000
url = "http://127.0.0.1:9000/report"
[[class]]
name = "lookup"
repeat = "safe"
wanted_ms = 300
deadline_ms = 1000
[[plan]]
name = "basic"
units_per_second = 10.0
burst = 20.0
[[lender]]
name = "sohar"
plan = "basic"
"#;

#[test]
fn an_invalid_value_is_rejected_with_its_key_and_value() {
    assert!(ApplianceConfig::parse(FILE).is_ok());
    for (from, to, text) in [
        (
            "status = \"127.0.0.1:8081\"",
            "status = \"10.0.0.1:8081\"",
            "status: 10.0.0.1:8081 is not on loopback; the status has no access control",
        ),
        ("[\"loans.json\"]", "[]", "descriptions: at least one is needed"),
        (
            "\"X-Lender\"",
            "\"\"",
            "lender_header is \"\", but must be a header name of letters, digits, - and _",
        ),
        (
            "service = \"loan-server\"",
            "service = \"\"",
            "consul.service is \"\", but must be the name of a service",
        ),
        ("wait_ms = 10000", "wait_ms = 0", "consul.wait_ms is 0, but must be 1 to 600000"),
        (
            "agents = [\"127.0.0.2:8500\"]",
            "agents = [\"127.0.0.1:8500\"]",
            "consul.agents is 127.0.0.1:8500, but must be another agent than consul.address",
        ),
        (
            "sudden_share = 0.5",
            "sudden_share = 0.0",
            "consul.sudden_share is 0, but must be above 0 and at most 1",
        ),
        (
            "flap_longest_ms = 60000",
            "flap_longest_ms = 1999",
            "consul.flap_longest_ms is 1999, but must be 2000 at least",
        ),
        (
            "sudden_hold_ms = 15000",
            "sudden_hold_ms = 600001",
            "consul.sudden_hold_ms is 600001, but must be 0 to 600000",
        ),
        ("name = \"rate-server\"", "name = \"loan-server\"", "service \"loan-server\" comes twice"),
        ("name = \"rate-server\"", "name = \"\"", "a service has no name"),
        (
            "name = \"gatekeeper\"",
            "name = \"\"",
            "register.name is \"\", but must be a name that is not empty",
        ),
        ("id = \"gatekeeper-0\"", "id = \"\"", "register.id is \"\", but must be a name that is not empty"),
        ("ttl_ms = 10000", "ttl_ms = 999", "register.ttl_ms is 999, but must be 1000 at least"),
        (
            "listen = \"127.0.0.1:8080\"",
            "listen = \"127.0.0.1:0\"",
            "register: port 0 cannot be told to others; set register.address, or a port in listen",
        ),
        ("sockets = 1024", "sockets = 127", "limits.sockets is 127, but must be 128 at least"),
        ("route_steps = 3", "route_steps = 17", "limits.route_steps is 17, but must be 1 to 16"),
        (
            "name = \"m0\"\nlisten",
            "name = \"m 0\"\nlisten",
            "cluster.name is \"m 0\", but must be 1 to 64 letters, digits and any of -_.",
        ),
        (
            "peers = [\"127.0.0.2:7946\"]",
            "peers = [\"10.0.0.2:7946\"]",
            "cluster: 10.0.0.2:7946 is not on loopback; gossip is authenticated, but not encrypted",
        ),
        (
            "listen = \"127.0.0.1:7946\"",
            "listen = \"127.0.0.1:0\"",
            "cluster.listen: port 0 cannot be told to others; set a fixed port",
        ),
        (
            "prefix = \"snowfield\"",
            "prefix = \"/a\"",
            "cluster.prefix is \"/a\", but must be 1 to 128 bytes without a slash at either end",
        ),
        (
            "store_timeout_ms = 200",
            "store_timeout_ms = 9",
            "cluster.store_timeout_ms is 9, but must be 10 to 10000",
        ),
        (
            "store_timeout_ms = 200",
            "store_timeout_ms = 501",
            "cluster.store_timeout_ms is 501, more than half of the shortest period, 1000: \
             a failed lease request could not be retried in the same period",
        ),
        ("standbys = 3", "standbys = 16", "cluster.standbys is 16, but must be 0 to 15"),
        ("skew_ms = 300", "skew_ms = 10001", "cluster.skew_ms is 10001, but must be 0 to 10000"),
        ("gossip_ms = 100", "gossip_ms = 9", "cluster.gossip_ms is 9, but must be 10 to 10000"),
        ("suspect_ms = 1000", "suspect_ms = 199", "cluster.suspect_ms is 199, but must be 200 at least"),
        ("lease_ms = 3000", "lease_ms = 499", "agreed.lease_ms is 499, but must be 500 to 60000"),
        ("when_apart = 0.5", "when_apart = 1.5", "agreed.when_apart is 1.5, but must be 0 to 1"),
        (
            ", { name = \"m2\", address = \"127.0.0.1:7002\" }",
            "",
            "agreed.voters is a list of 2, but must be a list of three or five",
        ),
        ("{ name = \"m2\"", "{ name = \"m1\"", "voter \"m1\" comes twice"),
        ("127.0.0.1:7002", "127.0.0.1:7001", "voter address \"127.0.0.1:7001\" comes twice"),
        (
            "127.0.0.1:7002",
            "10.0.0.1:7002",
            "agreed: 10.0.0.1:7002 is not on loopback; messages are authenticated, but not encrypted",
        ),
        ("{ name = \"m0\"", "{ name = \"m9\"", "agreed: a voter needs listen, and only a voter has it"),
        (
            "path = \"/health\"",
            "path = \"health\"",
            "probe.path is \"health\", but must be a path that begins with a slash, of printable ASCII characters",
        ),
        ("period_ms = 2000", "period_ms = 99", "probe.period_ms is 99, but must be 100 to 86400000"),
        ("timeout_ms = 500", "timeout_ms = 2001", "probe.timeout_ms is 2001, but must be 1 to 2000"),
        ("down_after = 2", "down_after = 0", "probe.down_after is 0, but must be 1 at least"),
        ("up_after = 2", "up_after = 0", "probe.up_after is 0, but must be 1 at least"),
        (
            "most_out = 0.34",
            "most_out = 1.0",
            "probe.most_out is 1, but must be 0 or above and below 1: health checks may never take out all backends",
        ),
        ("name = \"report\"", "name = \"collect\"", "duty \"collect\" comes twice"),
        (
            "name = \"report\"",
            "name = \"\"",
            "duty.name is \"\", but must be 1 to 64 letters, digits and any of -_.",
        ),
        (
            "period_ms = 5000",
            "period_ms = 99",
            "duty \"report\": period_ms is 99, but must be 100 to 86400000",
        ),
        ("timeout_ms = 900", "timeout_ms = 0", "duty \"collect\": timeout_ms is 0, but must be 1 at least"),
        (
            "http://127.0.0.1:9000/report",
            "http://10.0.0.1:9000/report",
            "duty \"report\": url is \"http://10.0.0.1:9000/report\", but must be http://ADDRESS:PORT/PATH on loopback",
        ),
        ("name = \"basic\"", "name = \"\"", "a plan has no name"),
        ("burst = 20.0", "burst = 0.0", "plan \"basic\" needs units_per_second and burst above 0"),
        ("plan = \"basic\"", "plan = \"gold\"", "lender \"sohar\" has the unknown plan \"gold\""),
        (
            "wanted_ms = 300",
            "wanted_ms = 0",
            "the timing of the classes is invalid:\n  class \"lookup\": wanted_ms is 0; it must be above 0",
        ),
    ] {
        assert!(FILE.contains(from), "{from}");
        let error = ApplianceConfig::parse(&FILE.replacen(from, to, 1)).expect_err(text);
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn a_missing_table_or_an_empty_list_of_tables_is_rejected() {
    let (before, rest) = FILE.split_once("[cluster]").expect("a cluster");
    let (_, after) = rest.split_once("[agreed]").expect("its end");
    let error = ApplianceConfig::parse(&format!("{before}[agreed]{after}")).expect_err("no cluster");
    assert_eq!(
        error.to_string(),
        "agreed: the table [cluster] is missing; it sets this instance's name and key file"
    );
    let without_tenants = FILE.split_once("[[lender]]").expect("a tenant").0;
    // An empty list of tables has to be written as a value, above all tables.
    let error = ApplianceConfig::parse(&format!("lender = []{without_tenants}")).expect_err("no tenant");
    assert_eq!(error.to_string(), "lender: at least one is needed");
}

#[test]
fn lists_have_a_maximum_length() {
    let agents: Vec<String> = (2..=10).map(|host| format!("\"127.0.0.{host}:8500\"")).collect();
    let file = FILE.replace("agents = [\"127.0.0.2:8500\"]", &format!("agents = [{}]", agents.join(", ")));
    let error = ApplianceConfig::parse(&file).expect_err("too many agents");
    assert_eq!(error.to_string(), "consul.agents is a list of 9, but must be 8 at most");
    let services: String = (0..31).map(|number| format!("[[service]]\nname = \"s{number}\"\n")).collect();
    let file = FILE.replace("[register]", &format!("{services}[register]"));
    let error = ApplianceConfig::parse(&file).expect_err("too many services");
    assert_eq!(error.to_string(), "service is a list of 33, but must be 32 at most");
}
