//! How long a key isn't served after its owner is lost.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use crate::environment::Environment;
use crate::shapes::Deployment;

/// Pause between two tries.
const TRY: Duration = Duration::from_millis(5);
/// Deadline of one try.
const TRY_MS: &str = "40";

/// Unavailable times of the keys of lost owners.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// One time for each loss, sorted.
    pub times: Vec<Duration>,
}

impl Report {
    /// The time at a quantile.
    pub fn quantile(&self, quantile: f64) -> Duration {
        let at = (self.times.len() as f64 * quantile) as usize;
        self.times.get(at.min(self.times.len().saturating_sub(1))).copied().unwrap_or_default()
    }

    /// As one line.
    pub fn line(&self) -> String {
        let ms = |quantile| self.quantile(quantile).as_millis();
        format!(
            "{} losses: min {} ms, p50 {} ms, p90 {} ms, max {} ms",
            self.times.len(),
            ms(0.0),
            ms(0.5),
            ms(0.9),
            ms(1.0)
        )
    }
}

/// Kills owners of keys of the deployment's first service one after another and replaces them.
/// With `outage`, the platform is out from before each loss until the key is served again.
pub async fn run(environment: &mut Environment, losses: usize, outage: bool) -> Report {
    let mut report = Report::default();
    for loss in 0..losses {
        let key = format!("/lookup/loss-{loss}");
        let owner = owner(environment, &key).await;
        let entry = (0..environment.daemons.len())
            .find(|index| environment.daemons[*index].service != environment.daemons[owner].service)
            .unwrap_or_default();
        if outage {
            environment.platform_faults(json!({ "outage": true })).await;
        }
        environment.daemons[owner].kill();
        let lost_at = Instant::now();
        while !is_served(environment, entry, &key).await {
            tokio::time::sleep(TRY).await;
        }
        report.times.push(lost_at.elapsed());
        if outage {
            environment.platform_faults(json!({})).await;
        }
        environment.restart(owner);
        environment.until_settled().await;
        environment.until_fresh().await;
    }
    report.times.sort();
    report
}

async fn is_served(environment: &Environment, entry: usize, path: &str) -> bool {
    let key = format!("Bearer {}", Deployment::key("crosswords"));
    let headers = [("authorization", key.as_str()), ("deadline-ms", TRY_MS)];
    let address = environment.daemons[entry].callers;
    let method = hyper::Method::GET;
    let answer = environment.http.send(method, address, path, &headers, "").await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// The daemon whose upstream runs lookups of a key.
async fn owner(environment: &Environment, path: &str) -> usize {
    loop {
        let before = runs(environment).await;
        if is_served(environment, 0, path).await {
            let after = runs(environment).await;
            let grown = before.iter().zip(&after).position(|(before, after)| after > before);
            if let Some(owner) = grown {
                return owner;
            }
        }
        tokio::time::sleep(TRY).await;
    }
}

async fn runs(environment: &Environment) -> Vec<u64> {
    let mut runs = Vec::new();
    for daemon in &environment.daemons {
        let counts = environment.http.get_json(daemon.upstream, "/_counts").await;
        runs.push(counts.unwrap_or_default()["runs"].as_u64().unwrap_or(0));
    }
    runs
}
