//! The samples under `deploy/` are valid and match the sizes of the two deployments.

#![expect(
    clippy::unwrap_used,
    reason = "A sample that cannot be read fails the test."
)]

use std::collections::BTreeSet;
use std::path::PathBuf;
use trefoilgauge::configs::file;
use trefoilgauge::model::Priority;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge::reducer::ledger::StagedRecord;

fn files(folder: &str) -> Vec<PathBuf> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy");
    let entries = std::fs::read_dir(root.join(folder)).unwrap();
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    files.retain(|path| path.is_file());
    files.sort();
    files
}

/// Returns a ledger with a deployment's records in force, applied in the order of their file names.
fn ledger(deployment: &str) -> Ledger {
    let mut staged = Staged::default();
    for path in files(&format!("{deployment}/config")) {
        staged.records.push_back(StagedRecord {
            offset: staged.next,
            data: std::fs::read(path).unwrap(),
        });
        staged.next += 1;
    }
    let batch = Batch {
        schema: CONTROL_SCHEMA,
        id: BatchId {
            writer: "vm-1/placer".into(),
            boot: 1,
            seq: 1,
        },
        at_ms: 1_000,
        cfg: staged.next,
        entries: Vec::new(),
    };
    let mut ledger = Ledger::default();
    let applied = ledger.apply(0, &batch, &mut staged);
    for ruled in &applied.changes {
        assert_eq!("", ruled.refused.to_string(), "{}", ruled.object);
    }
    ledger
}

#[test]
fn all_sample_settings_are_valid_with_unique_names_and_addresses() {
    for deployment in ["instituto", "atlas"] {
        let samples = files(deployment);
        let loaded: Vec<_> = samples
            .iter()
            .map(|path| file::load(path).unwrap())
            .collect();
        let names: BTreeSet<Name> = loaded.iter().map(|one| one.vm.clone()).collect();
        let centres: BTreeSet<Name> = loaded.iter().map(|one| one.centre.clone()).collect();
        let addrs: BTreeSet<Name> = loaded
            .iter()
            .map(|one| one.callers.listen.clone())
            .collect();
        assert_eq!((7, 3, 7), (names.len(), centres.len(), addrs.len()));
    }
}

#[test]
fn the_records_are_valid_together_and_match_the_deployments_sizes() {
    let cases = [("instituto", 130, 250), ("atlas", 60, 130)];
    for (deployment, cores, memory_gb) in cases {
        let ledger = ledger(deployment);
        let catalog = &ledger.catalog;
        assert_eq!(4, catalog.workspaces.len());
        assert_eq!(50, ledger.fleet.hosts.len());
        let mut hosts = ledger.fleet.hosts.values();
        assert!(hosts.all(|host| {
            (host.accelerators, host.cores, host.memory_gb) == (8, cores, memory_gb)
        }));
        let mut racks = catalog.racks.values();
        assert!(racks.all(|rack| rack.value.workers.len() <= 8));
        let pool = &catalog.pools.values().next().unwrap().value;
        assert_eq!(
            (50, 8, 60),
            (pool.runners.len(), pool.slots, pool.connections)
        );
    }
}

#[test]
fn each_kind_has_the_priority_and_idempotence_that_its_users_need() {
    let cases = [
        ("instituto", "quick_check", Priority::Urgent, true),
        ("instituto", "entry_submission", Priority::Normal, false),
        ("instituto", "relief_scan", Priority::Normal, true),
        ("instituto", "erosion_comparison", Priority::Patient, true),
        ("atlas", "quick_invoice", Priority::Urgent, false),
        ("atlas", "payroll_batch", Priority::Normal, false),
        ("atlas", "annual_ledger", Priority::Normal, true),
    ];
    for (deployment, name, priority, idempotent) in cases {
        let ledger = ledger(deployment);
        let kind = ledger.catalog.kind(name).unwrap();
        let expected = (priority, idempotent);
        assert_eq!(expected, (kind.priority, kind.idempotent), "{name}");
    }
    let completion = ["instituto", "atlas"].map(|name| ledger(name).catalog.weights().completion);
    assert!(completion[0] > 50 && completion[1] < 50);
}
