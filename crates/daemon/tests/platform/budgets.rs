//! Further attempts stay within the platform's bound at each service by itself.

use crate::cases::{RULING, ask, deployment, lookup};

/// The bound that the settings name: attempts beyond the first for each request, and besides.
const PART: f64 = 0.2;
const RESERVE: f64 = 20.0;

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_other_services_earn_no_retries_for_one_that_sheds() {
    let environment = deployment().await;
    let rulings = [3, 4].map(|index| environment.daemons[index].server.as_ref().expect("a server"));
    for server in rulings {
        server.shed(true);
    }
    let mut requests = 0;
    for round in 0..40 {
        // Far more lookups than rulings: what they earn must not be spent on rulings.
        let lookups = (0..20).map(|at| ask(&environment, at % 5, lookup((at * 3_000) as u16)));
        futures::future::join_all(lookups).await;
        let asks = (0..5).map(|at| ask(&environment, (round + at) % 5, RULING));
        for answer in futures::future::join_all(asks).await {
            assert_eq!(answer.expect("an answer").status, 503, "a true not run");
            requests += 1;
        }
    }
    let arrivals: usize = rulings.iter().map(|server| server.arrivals()).sum();
    let further = arrivals.saturating_sub(requests) as f64;
    let bound = PART * requests as f64 + RESERVE;
    assert!(further <= bound, "{further} further attempts for {requests} requests, over {bound}");
}
