//! Sessions with real processes on the platform's protocols: a store, servers that report their
//! liveness and are granted keys in the answers, operators who write objects.

mod budgets;
mod cases;
mod clocks;
mod configuration;
mod cut_answers;
mod endless;
mod kept_connections;
mod grace;
mod idle_servers;
mod loads;
mod logs;
mod ownership;
mod path;
mod pipelines;
mod reload;
mod silence;
mod stalls;
mod stops;
