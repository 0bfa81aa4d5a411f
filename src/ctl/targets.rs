//! Resolves the addresses that a command connects to, from its options or a settings file.

use super::Error;
use super::Result;
use super::error::unreachable;
use crate::configs::Settings;
use crate::configs::file;
use crate::modules::http::Client;
use crate::prelude::*;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Returns the address of the log: `--log`, else that of the settings file.
pub(super) fn log_addr(log: Option<&str>, settings: Option<&str>) -> Result<Name> {
    if let Some(log) = log {
        return check_addr("--log", log);
    }
    match load(settings)? {
        Some(settings) => Ok(settings.log.addr),
        None => Err(Error::Usage(
            "needs --log IP:port or --settings FILE".to_owned(),
        )),
    }
}

/// Returns the operators' addresses of VMs: each `--vm`, else those of the settings file.
pub(super) fn vm_addrs(vms: &[String], settings: Option<&str>) -> Result<Vec<Name>> {
    if !vms.is_empty() {
        return vms.iter().map(|vm| check_addr("--vm", vm)).collect();
    }
    let found = load(settings)?;
    let found = found.map(|settings| vec![settings.ops.entry_listen, settings.ops.placer_listen]);
    Ok(found.unwrap_or_default())
}

/// Returns the operators' address of one VM.
pub(super) fn vm_addr(vm: Option<&str>, settings: Option<&str>) -> Result<Name> {
    let vms: Vec<String> = vm.map(str::to_owned).into_iter().collect();
    let found = vm_addrs(&vms, settings)?.into_iter().next();
    found.ok_or_else(|| Error::Usage("needs --vm IP:port or --settings FILE".to_owned()))
}

/// Checks an address given on the command line.
pub(super) fn check_addr(option: &str, text: &str) -> Result<Name> {
    match text.parse::<SocketAddr>() {
        Ok(addr) if addr.port() != 0 => Ok(text.into()),
        _ => Err(Error::Usage(format!(
            "{option}: must be IP:port, got {text}"
        ))),
    }
}

/// Reads JSON from the operators' interface of a VM.
pub(super) async fn read<T: DeserializeOwned>(addr: &Name, path: &str, call_ms: u64) -> Result<T> {
    let client = Client::new(call_ms);
    let found = client.get(addr, path, 0).await;
    found.map_err(|error| unreachable(addr, &error))
}

fn load(settings: Option<&str>) -> Result<Option<Settings>> {
    match settings {
        Some(path) => Ok(Some(file::load(path)?)),
        None => Ok(None),
    }
}
