//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct};

/// Parsed options.
#[derive(Clone, Debug)]
pub struct Options {
    /// Only check the settings.
    pub check: bool,
    /// Settings file.
    pub settings: PathBuf,
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Options> {
    let check = bpaf::long("check").help("Check the settings and exit").switch();
    let settings = bpaf::positional::<PathBuf>("FILE").help("Settings file in TOML");
    construct!(Options { check, settings })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Routes requests to the servers that own their keys; one daemon beside each.")
        .footer("Exit codes: 0 success, 1 failure, 2 bad settings, 3 address in use.")
}
