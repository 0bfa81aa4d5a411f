//! Explains a job, call, upstream or wave from collected logs of `trefoil-vm`.

use super::Error;
use super::Result;
use super::render;
use serde::Serialize;
use std::collections::BTreeSet;
use std::io::Read;

/// Events that show who led, and whether the store and the configuration were reachable.
const CONTEXT_EVENTS: [&str; 13] = [
    "TG1101", "TG1102", "TG1109", "TG1301", "TG1304", "TG1306", "TG1307", "TG1308", "TG1401",
    "TG1402", "TG1403", "TG1404", "TG1405",
];
/// The number prefix of events about upstreams.
const UPSTREAM_PREFIX: &str = "TG15";
/// The characters of an RFC 3339 timestamp down to the second.
const SECOND_CHARS: usize = 19;

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Line {
    time: String,
    vm: String,
    number: String,
    text: String,
}

/// Prints the log lines about `id` with their context; the file `-` is standard input.
pub(super) fn explain(id: &str, files: &[String], json: bool) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = read(file)
            .map_err(|error| Error::Usage(format!("log {file} cannot be read: {error}")))?;
        lines.extend(parse(file, &text));
    }
    lines.sort();
    let total = lines.len();
    let found = with_context(id, lines);
    if found.is_empty() {
        return Err(Error::Refused(format!(
            "none of {total} log lines is about {id}; its lines may have been dropped (TG1109), or a \
             VM's log is missing"
        )));
    }
    if json {
        return render::json(&found);
    }
    let head = ["time", "vm", "event", "what"];
    let row = |line: Line| vec![line.time, line.vm, line.number, line.text];
    render::table(&head, found.into_iter().map(row));
    Ok(())
}

fn read(file: &str) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    match file {
        "-" => std::io::stdin().read_to_end(&mut bytes)?,
        path => std::fs::File::open(path)?.read_to_end(&mut bytes)?,
    };
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Parses the lines that have a timestamp and an event number. A log collector may have put the
/// VM's name before the timestamp; else the name is that of the last start line (TG1101), or the
/// file's.
fn parse(file: &str, text: &str) -> Vec<Line> {
    let mut default_vm = file.to_owned();
    let mut found = Vec::new();
    for line in text.lines() {
        let Some((prefix, time, rest)) = split_time(line) else {
            continue;
        };
        let Some(at) = rest.find("TG") else {
            continue;
        };
        let (number, text) = rest[at..].split_once(' ').unwrap_or((&rest[at..], ""));
        if let Some(vm) = text
            .strip_prefix("start vm=")
            .filter(|_| number == "TG1101")
        {
            default_vm = vm.split(' ').next().unwrap_or_default().to_owned();
        }
        let vm = prefix.split_whitespace().next_back().unwrap_or(&default_vm);
        found.push(Line {
            time: time.to_owned(),
            vm: vm.to_owned(),
            number: number.to_owned(),
            text: text.trim_end().to_owned(),
        });
    }
    found
}

/// Splits a line at its timestamp, in RFC 3339 and UTC.
fn split_time(line: &str) -> Option<(&str, &str, &str)> {
    let is_time = |word: &&str| {
        let bytes = word.as_bytes();
        bytes.len() > SECOND_CHARS && bytes[4] == b'-' && bytes[10] == b'T' && word.ends_with('Z')
    };
    let time = line.split_whitespace().find(is_time)?;
    let at = line.find(time)?;
    Some((&line[..at], time, &line[at + time.len()..]))
}

/// Returns whether `text` contains `id` as a whole word.
fn contains_word(text: &str, id: &str) -> bool {
    let is_separator = |c: char| !(c.is_ascii_alphanumeric() || c == '-' || c == '_');
    text.split(is_separator).any(|word| word == id)
}

/// Returns the lines about `id`, and between the first and the last of them the events of
/// leadership, the store, the configuration and the upstreams that they name.
fn with_context(id: &str, lines: Vec<Line>) -> Vec<Line> {
    let hits: Vec<&Line> = lines
        .iter()
        .filter(|line| contains_word(&line.text, id))
        .collect();
    let (Some(first), Some(last)) = (hits.first(), hits.last()) else {
        return Vec::new();
    };
    let (from, to) = (
        to_second(&first.time).to_owned(),
        to_second(&last.time).to_owned(),
    );
    let upstreams: BTreeSet<String> = hits.iter().filter_map(|line| upstream_of(line)).collect();
    let in_range = |line: &Line| (from.as_str()..=to.as_str()).contains(&to_second(&line.time));
    let is_context = |line: &Line| {
        CONTEXT_EVENTS.contains(&line.number.as_str())
            || line.number.starts_with(UPSTREAM_PREFIX)
                && upstream_of(line).is_some_and(|name| upstreams.contains(&name))
    };
    let is_relevant =
        |line: &Line| contains_word(&line.text, id) || in_range(line) && is_context(line);
    lines
        .iter()
        .filter(|line| is_relevant(line))
        .cloned()
        .collect()
}

fn to_second(time: &str) -> &str {
    time.get(..SECOND_CHARS).unwrap_or(time)
}

fn upstream_of(line: &Line) -> Option<String> {
    let mut words = line.text.split(' ');
    words.find_map(|word| word.strip_prefix("upstream=").map(str::to_owned))
}
