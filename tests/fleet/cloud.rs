//! The platform that manages machines, as a test controls it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use trefoilgauge::fleet::event::Downed;
use trefoilgauge::fleet::model::Machine;
use trefoilgauge::prelude::*;

/// How long a machine is down, in milliseconds.
pub(crate) const UPKEEP_MS: u64 = 2_000;

/// One machine.
#[derive(Debug)]
pub(crate) struct FakeMachine {
    /// The upstream that it runs.
    pub upstream: Name,
    /// When it is up again.
    pub down_until: Option<u64>,
    /// Waves for which it was down.
    pub waves: BTreeSet<u64>,
}

/// All machines.
#[derive(Debug, Default)]
pub(crate) struct Cloud {
    pub machines: BTreeMap<Name, FakeMachine>,
    /// Takes calls, does what they ask and answers nothing.
    pub silent: bool,
    /// Orders that came, also those without effect.
    pub orders: u32,
    /// The most machines that were down at once.
    pub most_down: usize,
}

impl Cloud {
    /// Adds the machine of an upstream.
    pub(crate) fn add(&mut self, upstream: &Name) {
        let entry = FakeMachine {
            upstream: upstream.clone(),
            down_until: None,
            waves: BTreeSet::new(),
        };
        self.machines.insert(format!("m-{upstream}").into(), entry);
    }

    /// Lists all machines.
    pub(crate) fn list(&self) -> Option<Vec<Machine>> {
        let all = self.machines.iter().map(|(id, machine)| Machine {
            id: id.clone(),
            up: machine.down_until.is_none(),
            upstream: machine.upstream.clone(),
        });
        (!self.silent).then(|| all.collect())
    }

    /// Takes a machine down; returns the upstream that is gone with it.
    pub(crate) fn take_down(&mut self, now: u64, id: &Name, wave: u64) -> (Downed, Option<Name>) {
        self.orders += 1;
        let silent = self.silent;
        let heard = |answer| if silent { Downed::Silent } else { answer };
        let Some(machine) = self.machines.get_mut(id) else {
            return (heard(Downed::Unknown), None);
        };
        if machine.waves.contains(&wave) {
            return (heard(Downed::Yes), None);
        }
        if machine.down_until.is_some() {
            return (heard(Downed::Busy), None);
        }
        machine.waves.insert(wave);
        machine.down_until = Some(now + UPKEEP_MS);
        let gone = machine.upstream.clone();
        let down = self.machines.values().filter(|b| b.down_until.is_some());
        self.most_down = self.most_down.max(down.count());
        (heard(Downed::Yes), Some(gone))
    }

    /// Brings machines back; returns their new upstreams.
    pub(crate) fn work(&mut self, now: u64) -> Vec<Name> {
        let mut back = Vec::new();
        for machine in self.machines.values_mut() {
            if machine.down_until.is_some_and(|until| until <= now) {
                machine.down_until = None;
                machine.upstream = format!("{}+", machine.upstream).into();
                back.push(machine.upstream.clone());
            }
        }
        back
    }
}
