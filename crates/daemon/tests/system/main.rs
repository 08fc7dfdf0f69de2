//! Sessions with real processes. They assert what must hold, never how fast the machine is.

mod cases;
mod configuration;
mod departures;
mod kept_connections;
mod once;
mod network;
mod ownership;
mod path;
mod rates;
mod stops;
mod zones;
