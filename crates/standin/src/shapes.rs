//! The two deployments of today, as stand-ins.

use std::time::Duration;

use serde_json::{Value, json};

use crate::environment::Environment;
use crate::upstream::Shape;

/// A service with its servers.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Whether requests name a key.
    pub keyed: bool,
    /// Servers.
    pub servers: usize,
}

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Services.
    pub services: &'static [Service],
    /// Requests that a server runs at a time.
    pub slots: u32,
    /// Connections that a server takes.
    pub connections: u32,
    /// Workspaces with their rates; a few are large.
    pub workspaces: &'static [(&'static str, f64)],
}

/// The cooperative: nine servers in three zones.
pub const COOPERATIVE: Deployment = Deployment {
    name: "cooperative",
    zones: ["ub-1", "ub-2", "ub-3"],
    services: &[
        Service { name: "lookup", keyed: true, servers: 3 },
        Service { name: "ruling", keyed: false, servers: 3 },
        Service { name: "entries", keyed: false, servers: 3 },
    ],
    slots: 12,
    connections: 110,
    workspaces: &[
        ("crosswords", 900.0),
        ("contests", 700.0),
        ("schools", 500.0),
        ("club-1", 60.0),
        ("club-2", 60.0),
        ("club-3", 40.0),
        ("club-4", 40.0),
        ("club-5", 20.0),
    ],
};

/// Tanquelia: twelve servers in three zones.
pub const TANQUELIA: Deployment = Deployment {
    name: "tanquelia",
    zones: ["norte", "centro", "sur"],
    services: &[
        Service { name: "levels", keyed: true, servers: 5 },
        Service { name: "custody", keyed: false, servers: 3 },
        Service { name: "movements", keyed: false, servers: 4 },
    ],
    slots: 9,
    connections: 130,
    workspaces: &[
        ("refinery-1", 900.0),
        ("refinery-2", 700.0),
        ("terminal-1", 500.0),
        ("terminal-2", 60.0),
        ("terminal-3", 60.0),
        ("depot-1", 40.0),
        ("depot-2", 40.0),
        ("depot-3", 20.0),
    ],
};

/// Five servers in three zones, for tests.
pub const SMALL: Deployment = Deployment {
    name: "small",
    zones: ["a", "b", "c"],
    services: &[
        Service { name: "lookup", keyed: true, servers: 3 },
        Service { name: "ruling", keyed: false, servers: 2 },
    ],
    slots: 12,
    connections: 110,
    workspaces: &[("club", 1_000.0), ("school", 1_000.0), ("tiny", 20.0)],
};

impl Deployment {
    /// Key of a workspace in this stand-in deployment.
    pub fn key(workspace: &str) -> String {
        format!("key-of-{workspace}")
    }

    /// Operations of the patch that creates services, workspaces and keys.
    pub fn operations(&self) -> Value {
        let services = self.services.iter().map(|service| {
            let (slots, connections) = (self.slots, self.connections);
            json!({ "op": "set-service", "name": service.name, "service": {
                "keyed": service.keyed, "slots": slots, "connections": connections,
            }})
        });
        let workspaces = self.workspaces.iter().flat_map(|(name, rate)| {
            let hash = crate::sha256_hex(Deployment::key(name).as_bytes());
            [
                json!({ "op": "set-workspace", "name": name, "rate": rate, "burst": rate }),
                json!({ "op": "grant-key", "workspace": name, "name": "main", "hash": hash }),
            ]
        });
        services.chain(workspaces).collect()
    }

    /// Starts all servers with their daemons, waits until they have settled, and loads the
    /// configuration.
    pub async fn start(&self, environment: &mut Environment, run: Duration) {
        let mut seed = 0;
        for service in self.services {
            for at in 0..service.servers {
                seed += 1;
                let shape = Shape { slots: self.slots, run, cold: false, seed };
                let name = format!("{}-{}", service.name, at + 1);
                let zone = self.zones[at % self.zones.len()];
                environment.add(&name, zone, service.name, shape).await;
            }
        }
        environment.until_settled().await;
        let outcome = environment.patch(0, "first", 0, self.operations()).await;
        assert_eq!(outcome["outcome"], "accepted", "{outcome}");
        environment.until_version(1).await;
        environment.until_fresh().await;
    }
}
