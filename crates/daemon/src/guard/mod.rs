//! The guard: the only way to the upstream beside this daemon.

mod estimate;
mod handover;
mod permit;
mod sampler;
mod serve;
mod table;

pub use self::{
    handover::{Handover, UncertainSlices},
    permit::Permit,
    serve::serve,
    table::{ANSWER_RETENTION, Guard},
};
