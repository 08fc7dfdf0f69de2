//! Command-line options of the daemon.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct};

/// Parsed command-line options.
#[derive(Clone, Debug)]
pub struct Options {
    /// Validate the settings and exit.
    pub check: bool,
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// Builds the command-line parser.
pub fn parser() -> OptionParser<Options> {
    let check = bpaf::long("check").help("Check the settings and exit").switch();
    let settings = bpaf::positional::<PathBuf>("FILE").help("Settings file in TOML");
    construct!(Options { check, settings })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Routes requests to the servers that own their keys; one daemon beside each.")
        .footer("Exit codes: 0 success, 1 failure, 2 bad settings, 3 address in use.")
}
