//! Decoding of configuration records. Operators may publish schema versions 1 and 2 side by side.

use crate::fields::Fields;
use crate::fields::check_name;
use crate::model::ADJACENCIES;
use crate::model::Adjacency;
use crate::model::Guarantee;
use crate::model::Kind;
use crate::model::Object;
use crate::model::PRIORITIES;
use crate::model::Pool;
use crate::model::Priority;
use crate::model::Rack;
use crate::model::Runner;
use crate::model::Shape;
use crate::model::Weights;
use crate::model::Worker;
use crate::model::Workspace;
use crate::prelude::*;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The newest schema that this version supports.
pub const MAX_SCHEMA: u64 = 2;
/// The largest configuration record, in bytes.
pub const CHANGE_MAX_BYTES: usize = 262_144;

const MAX_ITEMS: usize = 4_096;
const MAX_COUNT: u64 = 1_000_000;
const MAX_TIME_MS: u64 = 86_400_000;

/// The class of an object.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A workspace.
    Workspace,
    /// A kind of work.
    Kind,
    /// A pool of upstreams.
    Pool,
    /// A rack of workers.
    Rack,
    /// The policy's weights.
    Weights,
}

const CLASSES: [(&str, Class); 5] = [
    ("workspace", Class::Workspace),
    ("kind", Class::Kind),
    ("pool", Class::Pool),
    ("rack", Class::Rack),
    ("weights", Class::Weights),
];

/// A change to one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The identifier that the publisher gave the change.
    pub id: Name,
    /// The schema in which it was published.
    pub schema: u64,
    /// The object's class.
    pub class: Class,
    /// The object's name.
    pub name: Name,
    /// The version that it replaces, 0 if there is none; see [`super::catalog::Versioned`].
    pub replaces: u64,
    /// The new object; `None` removes it.
    pub object: Option<Object>,
}

/// Why a configuration record could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// It is invalid, with every finding.
    Invalid(Findings),
    /// Its schema, which is newer than [`MAX_SCHEMA`].
    TooNew(u64),
}

/// The result of decoding.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Decodes a configuration record.
///
/// # Errors
///
/// [`DecodeError::TooNew`] if the schema is newer than [`MAX_SCHEMA`]; otherwise every finding.
pub fn decode(data: &[u8]) -> Result<Change> {
    if data.len() > CHANGE_MAX_BYTES {
        let text = format!("must have at most {CHANGE_MAX_BYTES} bytes");
        return Err(DecodeError::Invalid(Findings::one("", text)));
    }
    let value: Value = serde_json::from_slice(data)
        .map_err(|error| DecodeError::Invalid(Findings::one("", error.to_string())))?;
    decode_value(&value)
}

/// Decodes a configuration record that is already parsed as JSON.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_value(value: &Value) -> Result<Change> {
    let schema = value.get("schema").and_then(Value::as_u64);
    if let Some(schema) = schema
        && schema > MAX_SCHEMA
    {
        return Err(DecodeError::TooNew(schema));
    }
    let mut findings = Findings::default();
    let change = read_change(value, &mut findings);
    match change {
        Some(change) if findings.is_empty() => Ok(change),
        _ => Err(DecodeError::Invalid(findings)),
    }
}

fn read_change(value: &Value, findings: &mut Findings) -> Option<Change> {
    let mut fields = Fields::open(value, "", findings)?;
    let schema = fields.number("schema", 1..=MAX_SCHEMA, findings);
    let schema_ok = findings.is_empty();
    let id = fields.name("change", findings);
    let replaces = fields.number("replaces", 0..=u64::MAX, findings);
    let path = fields.text("object", findings);
    let body = fields.raw("body");
    if value.get("body").is_none() {
        findings.add("/body", "is missing: an object, or null to remove it");
    }
    fields.finish(findings);
    let (class, name) = read_path(&path, findings)?;
    if !schema_ok {
        return None;
    }
    let object = match body {
        Some(body) => Some(read_object(schema, class, &name, body, findings)?),
        None => None,
    };
    Some(Change {
        id,
        schema,
        class,
        name,
        replaces,
        object,
    })
}

fn read_path(path: &str, findings: &mut Findings) -> Option<(Class, Name)> {
    let split = path.split_once('/').and_then(|(class, name)| {
        let found = CLASSES.iter().find(|(text, _)| *text == class);
        found.map(|(_, class)| (*class, name))
    });
    let Some((class, name)) = split else {
        findings.add(
            "/object",
            "must be CLASS/NAME, CLASS one of: workspace, kind, pool, rack, weights",
        );
        return None;
    };
    check_name(name, "/object", findings);
    if class == Class::Weights && name != "main" {
        findings.add("/object", "must be weights/main");
    }
    Some((class, name.into()))
}

fn read_object(
    schema: u64,
    class: Class,
    name: &Name,
    body: &Value,
    findings: &mut Findings,
) -> Option<Object> {
    let mut fields = Fields::open(body, "/body", findings)?;
    let object = match class {
        Class::Workspace => Object::Workspace(read_workspace(schema, name, &mut fields, findings)),
        Class::Kind => Object::Kind(read_kind(schema, name, &mut fields, findings)),
        Class::Pool => Object::Pool(read_pool(name, &mut fields, findings)),
        Class::Rack => Object::Rack(read_rack(name, &mut fields, findings)),
        Class::Weights => Object::Weights(Weights {
            completion: fields.number("completion", 0..=100, findings) as u32,
        }),
    };
    fields.finish(findings);
    Some(object)
}

fn read_workspace(
    schema: u64,
    name: &Name,
    fields: &mut Fields<'_>,
    findings: &mut Findings,
) -> Workspace {
    let guarantees = match schema {
        1 => read_guaranteed_v1(fields, findings),
        _ => read_guarantees_v2(fields, findings),
    };
    let quota = fields.number("quota", 0..=MAX_COUNT, findings) as u32;
    let mut kinds = Vec::new();
    let mut seen = BTreeSet::new();
    for (place, kind) in fields.list("kinds", MAX_ITEMS, findings) {
        let Some(kind) = kind.as_str() else {
            findings.add(place, "must be the name of a kind");
            continue;
        };
        check_name(kind, &place, findings);
        let kind: Name = kind.into();
        check_unique(&mut seen, &kind, &place, findings);
        kinds.push(kind);
    }
    Workspace {
        name: name.clone(),
        guarantees,
        quota,
        kinds,
    }
}

/// Reads the guarantee of schema 1: a single shape, adjacent (on one worker up to 8 accelerators,
/// else in one rack) or not.
fn read_guaranteed_v1(fields: &mut Fields<'_>, findings: &mut Findings) -> Vec<Guarantee> {
    let place = fields.place("guaranteed");
    let Some(value) = fields.raw("guaranteed") else {
        return Vec::new();
    };
    let Some(mut inner) = Fields::open(value, &place, findings) else {
        return Vec::new();
    };
    let accelerators = inner.number("accelerators", 1..=MAX_COUNT, findings) as u32;
    let adjacency = match inner.flag_or("adjacent", false, findings) {
        true if accelerators <= 8 => Adjacency::Worker,
        true => Adjacency::Rack,
        false => Adjacency::Any,
    };
    let count = inner.number_or("count", 1, 1..=MAX_COUNT, findings) as u32;
    inner.finish(findings);
    vec![Guarantee {
        shape: Shape {
            accelerators,
            adjacency,
        },
        count,
    }]
}

fn read_guarantees_v2(fields: &mut Fields<'_>, findings: &mut Findings) -> Vec<Guarantee> {
    let mut guarantees = Vec::new();
    for (place, value) in fields.list("guarantees", 64, findings) {
        let Some(mut inner) = Fields::open(value, &place, findings) else {
            continue;
        };
        let shape = Shape {
            accelerators: inner.number("accelerators", 1..=MAX_COUNT, findings) as u32,
            adjacency: inner.choice_or("adjacency", Adjacency::Any, &ADJACENCIES, findings),
        };
        let count = inner.number_or("count", 1, 1..=MAX_COUNT, findings) as u32;
        inner.finish(findings);
        guarantees.push(Guarantee { shape, count });
    }
    guarantees
}

fn read_kind(schema: u64, name: &Name, fields: &mut Fields<'_>, findings: &mut Findings) -> Kind {
    let checkpoint = match schema {
        1 => false,
        _ => fields.flag_or("checkpoint", false, findings),
    };
    Kind {
        name: name.clone(),
        pool: fields.name("pool", findings),
        priority: fields.choice_or("priority", Priority::Normal, &PRIORITIES, findings),
        idempotent: fields.flag_or("idempotent", false, findings),
        checkpoint,
        deadline_ms: fields.number("deadline_ms", 1..=MAX_TIME_MS, findings),
        attempts: fields.number_or("attempts", 3, 1..=16, findings) as u32,
        service_ms: fields.number_or("service_ms", 1_000, 1..=MAX_TIME_MS, findings),
    }
}

fn read_pool(name: &Name, fields: &mut Fields<'_>, findings: &mut Findings) -> Pool {
    let mut pool = Pool {
        name: name.clone(),
        slots: fields.number_or("slots", 8, 1..=4_096, findings) as u32,
        connections: fields.number_or("connections", 60, 1..=65_536, findings) as u32,
        runners: Vec::new(),
    };
    let mut seen = BTreeSet::new();
    for (place, value) in fields.list("runners", MAX_ITEMS, findings) {
        let Some(mut inner) = Fields::open(value, &place, findings) else {
            continue;
        };
        let runner = Runner {
            name: inner.name("name", findings),
            centre: inner.name("centre", findings),
            addr: read_addr(&mut inner, findings),
        };
        check_unique(&mut seen, &runner.name, &inner.place("name"), findings);
        inner.finish(findings);
        pool.runners.push(runner);
    }
    pool
}

fn read_rack(name: &Name, fields: &mut Fields<'_>, findings: &mut Findings) -> Rack {
    let mut rack = Rack {
        name: name.clone(),
        centre: fields.name("centre", findings),
        workers: Vec::new(),
    };
    let mut seen = BTreeSet::new();
    for (place, value) in fields.list("workers", MAX_ITEMS, findings) {
        let Some(mut inner) = Fields::open(value, &place, findings) else {
            continue;
        };
        let worker = Worker {
            name: inner.name("name", findings),
            addr: read_addr(&mut inner, findings),
            accelerators: inner.number("accelerators", 0..=64, findings) as u32,
            cores: inner.number("cores", 0..=MAX_COUNT, findings) as u32,
            memory_gb: inner.number("memory_gb", 0..=MAX_COUNT, findings) as u32,
        };
        check_unique(&mut seen, &worker.name, &inner.place("name"), findings);
        inner.finish(findings);
        rack.workers.push(worker);
    }
    rack
}

/// Adds a finding if a name occurs twice in a list.
fn check_unique(seen: &mut BTreeSet<Name>, name: &Name, place: &str, findings: &mut Findings) {
    if !name.is_empty() && !seen.insert(name.clone()) {
        findings.add(place, format!("{name} stands twice in the list"));
    }
}

fn read_addr(fields: &mut Fields<'_>, findings: &mut Findings) -> Name {
    let text = fields.text("addr", findings);
    if text.parse::<SocketAddr>().is_err() {
        findings.add(fields.place("addr"), "must be IP:port");
    }
    text.into()
}
