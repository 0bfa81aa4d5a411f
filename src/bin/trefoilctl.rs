//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    trefoilgauge::ctl::run(&args)
}
