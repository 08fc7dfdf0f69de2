//! What goes with a slice from its old holder to the new one: records of `Idempotency-Key`s, and
//! the workspaces' buckets.

use std::collections::HashMap;
use std::time::Duration;

use cactushold_attempt::{IdempotencyRecord, RecordState};
use cactushold_lease::{SliceId, Time};
use cactushold_quota::BucketState;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

use crate::guard::Guard;
use crate::guard::table::Recorded;
use crate::shared::View;

/// What the old holder knows of a slice's keys.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Handover {
    /// For how long the old holder itself can't exclude earlier runs.
    pub unsure: Duration,
    /// Buckets of workspaces, in a slice that holds them.
    #[serde(default)]
    pub buckets: Vec<(String, BucketState)>,
    records: Vec<Record>,
}

#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Record {
    key: String,
    position: u64,
    fingerprint: u64,
    answer: Option<Answer>,
}

#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Answer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Option<Vec<u8>>,
}

impl Handover {
    /// Collects the records of a slice.
    pub fn collect(guard: &Guard, view: &View, slice: SliceId, now: Time) -> Option<Handover> {
        let start = view.table.slice(slice)?.start;
        let (service, end) = view.table.service_and_end(slice)?;
        let unsure = view.unsure_until.get(&slice).copied().unwrap_or_default();
        let in_service = |key: &str| key.split('/').nth(1) == Some(service);
        let records = guard.records.range(start, end).filter(|(key, _)| in_service(key));
        let records = records.map(|(key, entry)| Record {
            key: key.clone(),
            position: entry.position,
            fingerprint: entry.fingerprint,
            answer: answer_of(&entry.state),
        });
        Some(Handover {
            unsure: unsure.saturating_sub(now),
            buckets: Vec::new(),
            records: records.collect(),
        })
    }

    /// Takes the records over.
    pub fn adopt(self, guard: &mut Guard, now: Time) {
        for record in self.records {
            let state = record.answer.map_or(RecordState::Unknown, |answer| {
                RecordState::Answered(Recorded {
                    status: answer.status,
                    headers: headers_of(answer.headers),
                    body: answer.body.map(Into::into),
                })
            });
            let entry = IdempotencyRecord::new(record.position, record.fingerprint, state, now);
            guard.records.import(record.key, entry);
        }
    }
}

fn answer_of(state: &RecordState<Recorded>) -> Option<Answer> {
    let RecordState::Answered(recorded) = state else { return None };
    let headers = recorded.headers.iter();
    Some(Answer {
        status: recorded.status,
        headers: headers.map(|(name, v)| (name.to_string(), v.as_bytes().to_vec())).collect(),
        body: recorded.body.as_ref().map(|body| body.to_vec()),
    })
}

fn headers_of(headers: Vec<(String, Vec<u8>)>) -> HeaderMap {
    let parse = |(name, value): (String, Vec<u8>)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(&value).ok()?))
    };
    headers.into_iter().filter_map(parse).collect()
}

/// Until when each slice's earlier runs can't be excluded.
pub type UncertainSlices = HashMap<SliceId, Time>;
