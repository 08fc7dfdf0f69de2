//! Sessions with real processes on the platform's protocols: a store, servers that report their
//! liveness and are granted keys in the answers, operators who write objects.

mod budgets;
mod callers_leave;
mod cases;
mod clocks;
mod config_spread;
mod configuration;
mod cut_answers;
mod cuts;
mod departures;
mod downloads;
mod endless;
mod kept_connections;
mod grace;
mod idle_servers;
mod loads;
mod logs;
mod odd_entries;
mod ownership;
mod path;
mod pipelines;
mod reload;
mod scarce;
mod server_leaves;
mod silence;
mod stalls;
mod stops;
mod traces;
