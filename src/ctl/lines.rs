//! Explains a job, call, upstream or wave from collected logs of `trefoil-vm`.

use super::Error;
use super::Result;
use super::render;
use serde::Serialize;
use std::collections::BTreeSet;
use std::io::Read;

/// Numbers whose lines tell who led, and whether the store and the configuration were reached.
const AROUND: [&str; 13] = [
    "TG1101", "TG1102", "TG1109", "TG1301", "TG1304", "TG1306", "TG1307", "TG1308", "TG1401",
    "TG1402", "TG1403", "TG1404", "TG1405",
];
/// The start of the numbers of lines about upstreams.
const UPSTREAM_EVENTS: &str = "TG15";
/// Characters of a time down to the second.
const SECOND_CHARS: usize = 19;

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Line {
    time: String,
    vm: String,
    number: String,
    text: String,
}

/// Prints what logs tell of `id`; `-` names standard input.
pub(super) fn explain(id: &str, files: &[String], json: bool) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = read(file)
            .map_err(|error| Error::Usage(format!("log {file} cannot be read: {error}")))?;
        lines.extend(parse(file, &text));
    }
    lines.sort();
    let total = lines.len();
    let found = about(id, lines);
    if found.is_empty() {
        return Err(Error::Refused(format!(
            "no line of {total} is about {id}; it may have been left out (TG1109), or a VM's log \
             is missing"
        )));
    }
    if json {
        return render::json(&found);
    }
    let head = ["time", "vm", "event", "what"];
    let cells = |line: Line| vec![line.time, line.vm, line.number, line.text];
    render::table(&head, found.into_iter().map(cells));
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

/// Parses the lines that have a time and a number; collectors may have put the VM's name before.
fn parse(file: &str, text: &str) -> Vec<Line> {
    let mut own = file.to_owned();
    let mut found = Vec::new();
    for line in text.lines() {
        let Some((before, time, rest)) = split_time(line) else {
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
            own = vm.split(' ').next().unwrap_or_default().to_owned();
        }
        let vm = before.split_whitespace().next_back().unwrap_or(&own);
        found.push(Line {
            time: time.to_owned(),
            vm: vm.to_owned(),
            number: number.to_owned(),
            text: text.trim_end().to_owned(),
        });
    }
    found
}

/// Splits a line at its time, written as RFC 3339 in UTC.
fn split_time(line: &str) -> Option<(&str, &str, &str)> {
    let is_time = |word: &&str| {
        let form = word.as_bytes();
        form.len() > SECOND_CHARS && form[4] == b'-' && form[10] == b'T' && word.ends_with('Z')
    };
    let time = line.split_whitespace().find(is_time)?;
    let at = line.find(time)?;
    Some((&line[..at], time, &line[at + time.len()..]))
}

/// Tells whether `id` stands in `text` as a whole word.
fn names(text: &str, id: &str) -> bool {
    let part = |c: char| !(c.is_ascii_alphanumeric() || c == '-' || c == '_');
    text.split(part).any(|word| word == id)
}

/// Keeps the lines about `id`, and what went on around them: the lead, the store, the
/// configuration, and the upstreams that they name.
fn about(id: &str, lines: Vec<Line>) -> Vec<Line> {
    let hits: Vec<&Line> = lines.iter().filter(|line| names(&line.text, id)).collect();
    let (Some(first), Some(last)) = (hits.first(), hits.last()) else {
        return Vec::new();
    };
    let (from, to) = (
        second(&first.time).to_owned(),
        second(&last.time).to_owned(),
    );
    let upstreams: BTreeSet<String> = hits.iter().filter_map(|line| upstream(line)).collect();
    let near = |line: &Line| (from.as_str()..=to.as_str()).contains(&second(&line.time));
    let around = |line: &Line| {
        AROUND.contains(&line.number.as_str())
            || line.number.starts_with(UPSTREAM_EVENTS)
                && upstream(line).is_some_and(|name| upstreams.contains(&name))
    };
    let keeps = |line: &Line| names(&line.text, id) || near(line) && around(line);
    lines.iter().filter(|line| keeps(line)).cloned().collect()
}

fn second(time: &str) -> &str {
    time.get(..SECOND_CHARS).unwrap_or(time)
}

fn upstream(line: &Line) -> Option<String> {
    let mut words = line.text.split(' ');
    words.find_map(|word| word.strip_prefix("upstream=").map(str::to_owned))
}
