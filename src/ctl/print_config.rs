//! `trefoilctl print-config`: the effective settings of a file, or all defaults.

use super::Result;
use super::render;
use crate::configs::Settings;
use crate::configs::file;
use crate::configs::options::OPTIONS;
use argh::FromArgs;

/// Print all settings: those of a file completed with defaults, or the defaults alone.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "print-config")]
pub(super) struct Args {
    /// a settings file
    #[argh(positional)]
    file: Option<String>,
    /// print one row for each option: default, unit, range and meaning
    #[argh(switch)]
    table: bool,
    /// print JSON; settings are always printed as JSON
    #[argh(switch)]
    json: bool,
}

pub(super) fn run(args: &Args) -> Result<()> {
    if args.table && !args.json {
        println!("| option | default | unit | range | meaning |");
        println!("| --- | --- | --- | --- | --- |");
        for option in OPTIONS {
            println!("{}", option.row());
        }
        return Ok(());
    }
    let settings = match &args.file {
        Some(path) => file::load(path)?,
        None => Settings::default(),
    };
    render::json(&settings)
}
