//! Retries, failure kinds, idempotency records and load balancing of requests.

mod balance;
mod retry_budget;
mod forecast;
mod grant_wait;
mod idempotency;
mod failure_kind;
mod percentile;
mod retry;

pub use crate::{
    balance::{Candidate, PowerOfTwoChoices, UpstreamScore},
    failure_kind::{Advice, FailureKind, Ran},
    forecast::{ForecastCandidate, LatencyForecast, RouteId, pick_soonest},
    grant_wait::GrantWait,
    idempotency::{IdempotencyRecord, IdempotencyRecords, RecordState, key_created_at},
    percentile::LatencyPercentile,
    retry::{Backoff, Phase, RetryDecision, may_retry, takes_precedence},
    retry_budget::RetryBudget,
};
