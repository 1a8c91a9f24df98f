//! Versions of the plans that the gatekeepers agree on: what the file says of it, and what a version does here.

use crate::duties;
use config_node::{ConfigView, InvalidProposal, Node, NodeConfig, ReplicaAddress};
use front_openapi::HttpExchange;
use settings::appliance::{
    ApplianceConfig, PlanConfig, ReplicaConfig, ReplicationConfig, RouteClass, apply_version, scaled,
    stricter,
};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The file's own part in it; none where it has no such table.
pub fn config(file: &ApplianceConfig, folder: &Path) -> Result<Option<NodeConfig>, String> {
    let (Some(agreed), Some(cluster)) = (&file.replication, &file.cluster) else { return Ok(None) };
    let replica = |voter: &ReplicaConfig| ReplicaAddress { name: voter.name.clone(), address: voter.address };
    Ok(Some(NodeConfig {
        name: cluster.name.clone(),
        listen: agreed.listen,
        replicas: agreed.replicas.iter().map(replica).collect(),
        keys: duties::keys(file, folder)?,
        log: folder.join(&agreed.log),
        lease_duration: Duration::from_millis(agreed.lease_duration_ms),
    }))
}

/// Starts taking part. `largest` and `pairs`: as the module's settings were made with.
///
/// # Errors
///
/// As [`Node::start`].
pub fn start(
    config: NodeConfig,
    file: &ApplianceConfig,
    (largest, pairs): (f64, Vec<RouteClass>),
    exchange: Arc<HttpExchange>,
) -> Result<Node, String> {
    let (checks, file) = (file.clone(), file.clone());
    let check = Box::new(move |text: &str| {
        apply_version(&checks, text).map(drop).map_err(|e| InvalidProposal(e.to_string()))
    });
    let on_view = Box::new(move |view: &ConfigView| {
        let Some(agreed) = &file.replication else { return };
        let plans = acts_on(&file, agreed, view);
        let settled = ApplianceConfig { plans, ..file.clone() }
            .policy_settings(largest, &pairs)
            .map_err(|e| e.to_string());
        let done = settled.and_then(|settings| exchange.update_settings(settings).map_err(|e| e.to_string()));
        if let Err(why) = done {
            tracing::warn!("agreed: a version cannot be used here ({why}); the plans of before stay");
        }
    });
    Node::start(config, check, on_view).map_err(|e| format!("agreed: {e}"))
}

/// The plans to act on.
fn acts_on(file: &ApplianceConfig, agreed: &ReplicationConfig, view: &ConfigView) -> Vec<PlanConfig> {
    // What every voter could use and this one cannot is as good as unknown: the file's own, by the stricter.
    let of = |text: &str| apply_version(file, text).unwrap_or_else(|_| file.plans.clone());
    let in_force = view.in_force.as_ref().map_or_else(|| file.plans.clone(), |v| of(&v.text));
    let known = match &view.proposed {
        Some(proposed) => stricter(&in_force, &of(&proposed.text)),
        None => in_force,
    };
    if view.has_lease { known } else { scaled(&known, agreed.share_without_lease) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use config_node::Version;

    const FILE: &str = "listen = \"127.0.0.1:0\"\ndescriptions = [\"a\"]\nlender_header = \"X-Lender\"\n\
        [consul]\naddress = \"127.0.0.1:1\"\nservice = \"s\"\n\
        [cluster]\nname = \"m0\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"k\"\n\
        [agreed]\nlisten = \"127.0.0.1:7000\"\nwhen_apart = 0.25\n\
        voters = [{ name = \"m0\", address = \"127.0.0.1:7000\" }, { name = \"m1\", address = \"127.0.0.1:7001\" }, \
        { name = \"m2\", address = \"127.0.0.1:7002\" }]\n\
        [[class]]\nname = \"c\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 1000\n\
        [[plan]]\nname = \"a\"\nunits_per_second = 40.0\nburst = 80.0\n\
        [[plan]]\nname = \"b\"\nunits_per_second = 8.0\nburst = 8.0\nceiling_per_second = 16.0\nceiling_burst = 16.0\n\
        [[lender]]\nname = \"l\"\nplan = \"a\"\n";

    fn version(number: u64, text: &str) -> Option<Version> {
        Some(Version { number, proposed_by: "x".into(), text: text.into() })
    }

    #[test]
    fn a_proposed_version_counts_by_the_stricter_and_without_a_lease_a_share() {
        let file = ApplianceConfig::parse(FILE).expect("the file can be used");
        let agreed = file.replication.clone().expect("the table is there");
        let rates = |view: &ConfigView| {
            let plans = acts_on(&file, &agreed, view);
            (plans[0].units_per_second, plans[0].burst, plans[1].ceiling_per_second)
        };
        let mut view = ConfigView { has_lease: true, ..ConfigView::default() };
        assert_eq!(rates(&view), (40.0, 80.0, 16.0));
        view.proposed = version(1, "[[plan]]\nname = \"a\"\nunits_per_second = 10.0\nburst = 100.0\n");
        assert_eq!(rates(&view), (10.0, 80.0, 16.0));
        (view.in_force, view.proposed) = (view.proposed, None);
        assert_eq!(rates(&view), (10.0, 100.0, 16.0));
        view.has_lease = false;
        assert_eq!(rates(&view), (2.5, 25.0, 4.0));
    }

    #[test]
    fn what_cannot_be_used_is_refused_by_name() {
        let file = ApplianceConfig::parse(FILE).expect("the file can be used");
        for (text, why) in [
            ("[[plan]]\nname = \"z\"\nunits_per_second = 1.0\nburst = 1.0\n", "none of the file's"),
            ("[[plan]]\nname = \"a\"\nunits_per_second = 0.0\nburst = 1.0\n", "above 0"),
            (
                "[[plan]]\nname = \"a\"\nunits_per_second = 4.0\nburst = 1.0\nceiling_per_second = 2.0\n",
                "below its quota",
            ),
            ("lender = 1", "lender"),
        ] {
            let error = apply_version(&file, text).expect_err(text).to_string();
            assert!(error.contains(why), "{error}");
        }
        for (from, to, why) in [
            ("[cluster]\nname = \"m0\"", "[cluster]\nname = \"m9\"", "only a voter"),
            ("{ name = \"m1\", address = \"127.0.0.1:7001\" }, ", "", "three or five"),
            ("when_apart = 0.25", "when_apart = 2.0", "when_apart"),
        ] {
            let error = ApplianceConfig::parse(&FILE.replace(from, to)).expect_err(to).to_string();
            assert!(error.contains(why), "{error}");
        }
    }
}
