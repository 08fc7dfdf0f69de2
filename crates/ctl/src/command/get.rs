//! The `get` command: prints the configuration.

use cactushold_config::Config;

use crate::cli::Options;
use crate::error::Error;
use crate::http::DaemonClient;
use crate::output::{print, print_json, row, table};

/// Prints the configuration in force at the first daemon that responds.
///
/// # Errors
/// No daemon responds.
pub async fn run(client: &DaemonClient, options: &Options) -> Result<(), Error> {
    let config: Config = client.get("/config").await?;
    if options.json {
        print_json(&config);
        return Ok(());
    }
    print(&format!("version {}\n\n", config.version));
    let mut rows = vec![row(&[&"SERVICE", &"KEYED", &"SLOTS", &"CONNECTIONS", &"DEADLINE"])];
    for (name, service) in &config.services {
        let deadline = format!("{} ms", service.deadline_ms);
        rows.push(row(&[name, &service.keyed, &service.slots, &service.connections, &deadline]));
    }
    print(&table(&rows));
    let mut rows = vec![row(&[&"ZONE", &"STATE"])];
    for (name, zone) in &config.zones {
        rows.push(row(&[name, &if zone.out { "out" } else { "in" }]));
    }
    print(&format!("\n{}", table(&rows)));
    let mut rows = vec![row(&[&"WORKSPACE", &"RATE", &"BURST", &"WEIGHT", &"KEYS"])];
    for (name, workspace) in &config.workspaces {
        let keys: Vec<&str> = workspace.keys.iter().map(|key| key.name.as_str()).collect();
        let keys = keys.join(",");
        let limits = (&workspace.rate, &workspace.burst);
        rows.push(row(&[name, limits.0, limits.1, &workspace.weight, &keys]));
    }
    print(&format!("\n{}", table(&rows)));
    Ok(())
}
