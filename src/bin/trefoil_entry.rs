//! The entry process of a VM.

use trefoilgauge::context::Process;
use trefoilgauge::modules::main;

fn main() -> std::process::ExitCode {
    main::run(Process::Entry)
}
