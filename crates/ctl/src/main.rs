//! `cactusctl`, the command line tool for operators of cactushold.

mod cli;
mod command;
mod error;
mod exit;
mod http;
mod output;

use std::process::ExitCode;

use crate::exit::Exit;

#[allow(clippy::print_stderr)]
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = cli::parser().run();
    match command::run(&options).await {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            eprintln!("cactusctl: {error}");
            error.exit_code().into()
        }
    }
}
