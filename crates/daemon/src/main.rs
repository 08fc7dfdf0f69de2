//! Entry point of the `cactusholdd` binary.

use std::process::ExitCode;

use cactushold_daemon::cli::{self, Options};
use cactushold_daemon::exit::Exit;
use cactushold_daemon::{Error, daemon};

#[allow(clippy::print_stderr)]
fn main() -> ExitCode {
    let options = cli::parser().run();
    match run(&options) {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            eprintln!("cactusholdd: {error}");
            error.exit().into()
        }
    }
}

fn run(options: &Options) -> Result<(), Error> {
    if options.check {
        return daemon::check(&options.settings);
    }
    daemon::run(&options.settings)
}
