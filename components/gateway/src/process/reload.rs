//! Settings that can change without a restart.

use settings::gateway::Settings;

use super::Gateway;

/// Applies the bounds for all gateways together and adds new VMs on which peers may be found. Logs the other
/// settings that differ and need a restart.
pub fn apply(gateway: &Gateway, new: &Settings) {
    let old = &gateway.settings;
    gateway.metrics.reloads.inc();
    *gateway.bounds.write() = new.bounds.clone();
    gateway.peers.add_seeds(new);
    let ignored = [
        ("gateway", identity(old) != identity(new)),
        ("store", old.store != new.store),
        ("resources", old.resources != new.resources),
        ("overload", old.overload != new.overload),
        // two processes with different lease terms could both give orders
        (
            "bounds.lease_ms",
            old.bounds.lease_ms != new.bounds.lease_ms,
        ),
    ];
    let ignored: Vec<&str> = ignored
        .into_iter()
        .filter_map(|(name, differs)| differs.then_some(name))
        .collect();
    log::info!(
        grace_ms = policy::micros(new.bounds.grace_s) / 1_000, retry_ratio = new.bounds.retry_ratio,
        retry_slack = new.bounds.retry_slack, seeds = new.gateway.seeds.len(),
        needs_a_new_start = ignored.join(" ");
        "applied changed settings"
    );
}

/// Returns the settings that cannot change: who the process is and where it listens. Ports are left out, as
/// those left open in the file have been chosen since.
fn identity(settings: &Settings) -> (&str, &str, [std::net::IpAddr; 4]) {
    let gateway = &settings.gateway;
    let addresses = [
        gateway.callers.ip(),
        gateway.ready.ip(),
        gateway.metrics.ip(),
        gateway.peers.ip(),
    ];
    (&gateway.name, &gateway.data_centre, addresses)
}
