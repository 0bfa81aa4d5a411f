//! Tests that the list of VMs lags behind changes and can return older revisions.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;
use trefoilgauge::platform::Member;
use trefoilgauge::platform::MemberList;
use trefoilgauge::platform::Role;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::vms::VmsHandle;
use trefoilgauge_standins::vms::VmsOptions;

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        role: Role::Entry,
        centre: "centre-1".into(),
        addr: "127.0.0.1:1".into(),
        leaving: false,
    }
}

async fn shown(vms: &VmsHandle) -> (u64, Vec<String>) {
    let client = Client::new(Duration::from_secs(20));
    let url = format!("http://{}/v1/vms", vms.addr());
    let list: MemberList = client.get(&url).await.unwrap().json().unwrap();
    let names = list.vms.iter().map(|one| match one.leaving {
        true => format!("{} leaves", one.name),
        false => one.name.to_string(),
    });
    (list.revision, names.collect())
}

#[tokio::test]
async fn changes_show_after_the_lag_and_one_read_returns_an_older_list() {
    let options = VmsOptions {
        lag_ms: 3_600_000,
        members: vec![member("vm-1")],
    };
    let vms = VmsHandle::spawn(options).await.unwrap();
    vms.join(member("vm-2"));
    vms.leave("vm-1");
    assert_eq!((1, vec!["vm-1".to_owned()]), shown(&vms).await);
    vms.set_lag(0);
    let newest = (3, vec!["vm-1 leaves".to_owned(), "vm-2".to_owned()]);
    assert_eq!(newest, shown(&vms).await);
    vms.go_back(2);
    assert_eq!((1, vec!["vm-1".to_owned()]), shown(&vms).await);
    assert_eq!(newest, shown(&vms).await);
    vms.remove("vm-1");
    assert_eq!((4, vec!["vm-2".to_owned()]), shown(&vms).await);
}
