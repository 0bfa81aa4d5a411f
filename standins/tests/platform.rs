//! Checks that the engine accepts the configuration records of each deployment.

use trefoilgauge::prelude::Findings;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge::reducer::ledger::StagedRecord;
use trefoilgauge_standins::platform::Deployment;
use trefoilgauge_standins::platform::PlatformHandle;
use trefoilgauge_standins::platform::PlatformOptions;

/// Applies configuration records, and returns the ledger and the findings of refused ones.
fn apply_records(records: &[String]) -> (Ledger, Vec<Findings>) {
    let numbered = (0..).zip(records);
    let records = numbered.map(|(offset, record)| StagedRecord {
        offset,
        data: record.as_bytes().to_vec(),
    });
    let mut staged = Staged {
        records: records.collect(),
        next: 0,
    };
    staged.next = staged.records.len() as u64;
    let batch = Batch {
        schema: CONTROL_SCHEMA,
        id: BatchId {
            writer: "vm-1/entry".into(),
            boot: 1,
            seq: 1,
        },
        at_ms: 1,
        cfg: staged.next,
        entries: Vec::new(),
    };
    let mut ledger = Ledger::default();
    ledger.apply(0, &batch, &mut staged);
    let ruled = ledger.catalog.ruled.iter();
    let refused = ruled.map(|one| one.refused.clone());
    let refused = refused.filter(|findings| !findings.is_empty()).collect();
    (ledger, refused)
}

#[tokio::test]
async fn every_record_of_each_deployment_is_accepted() {
    for (name, workers, racks, kinds) in [
        ("instituto", 50, 7, 4),
        ("atlas", 50, 7, 3),
        ("small", 8, 2, 7),
    ] {
        let deployment = Deployment::named(name).unwrap();
        let workspaces = deployment.workspaces.clone();
        let options = PlatformOptions::new(deployment);
        let platform = PlatformHandle::spawn(options).await.unwrap();
        let records = platform.records();
        for schema in ["\"schema\":1", "\"schema\":2"] {
            let any = records.iter().any(|record| record.contains(schema));
            assert!(any, "{name}: {schema}");
        }
        let (ledger, refused) = apply_records(&records);
        assert_eq!(Vec::<Findings>::new(), refused, "{name}");
        assert_eq!(workers, ledger.fleet.hosts.len(), "{name}");
        assert_eq!(racks, ledger.catalog.racks.len(), "{name}");
        assert_eq!(kinds, ledger.catalog.kinds.len(), "{name}");
        for expected in &workspaces {
            let actual = ledger.catalog.workspace(&expected.name);
            assert_eq!(Some(expected), actual, "{name}");
        }
        for profile in &platform.deployment.kinds {
            let actual = ledger.catalog.kind(&profile.kind.name);
            assert_eq!(Some(&profile.kind), actual, "{name}");
        }
        platform.publish();
        assert_eq!(records.len(), platform.log.records("config").len());
        assert_eq!(
            platform.deployment.runners as usize + workers,
            platform.vms.newest().vms.len()
        );
        platform.stop().await;
    }
}
