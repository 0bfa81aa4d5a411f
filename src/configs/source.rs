//! Parses JSON with comments, and locates findings by file, line and column.

use crate::prelude::*;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde_json::Map;
use serde_json::Value;

/// The result of parsing.
pub type Result<T> = std::result::Result<T, Findings>;

/// A parsed text with its file name and the positions of its values.
#[derive(Debug)]
pub struct Source<'a> {
    file: String,
    text: &'a str,
    root: ast::Value<'a>,
}

impl<'a> Source<'a> {
    /// Parses `text`; `file` is the file name for findings.
    ///
    /// Comments and trailing commas are accepted; other extensions of JSON are not.
    ///
    /// # Errors
    ///
    /// The first syntax error, or all duplicate keys.
    pub fn parse(file: &str, text: &'a str) -> Result<Self> {
        let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &parse_options());
        let parsed = parsed.map_err(|error| {
            let place = position(file, text, error.range().start);
            Findings::one(place, error.kind().to_string())
        })?;
        let Some(root) = parsed.value else {
            return Err(Findings::one(position(file, text, 0), "is empty"));
        };
        let source = Self {
            file: file.to_owned(),
            text,
            root,
        };
        let mut findings = Findings::default();
        source.find_duplicate_keys(&source.root, "", &mut findings);
        match findings.is_empty() {
            true => Ok(source),
            false => Err(findings),
        }
    }

    /// Returns the original text.
    pub fn text(&self) -> &str {
        self.text
    }

    /// Returns the parsed value, without comments.
    pub fn value(&self) -> Value {
        to_json(&self.root)
    }

    /// Prefixes the place of each finding with `file:line:column`, and sorts them by position.
    pub fn locate(&self, findings: Findings) -> Findings {
        let found = findings.list.into_iter();
        let mut found: Vec<(usize, Finding)> = found
            .map(|finding| (self.start_of(&finding.place), finding))
            .collect();
        found.sort_by_key(|(start, _)| *start);
        let mut located = Findings::default();
        for (start, finding) in found {
            let place = self.place(start, &finding.place);
            located.add(place, finding.text);
        }
        located
    }

    fn place(&self, start: usize, pointer: &str) -> String {
        let position = position(&self.file, self.text, start);
        match pointer {
            "" => position,
            _ => format!("{position} {pointer}"),
        }
    }

    /// Returns the start of the innermost value on the path of `pointer` that exists.
    fn start_of(&self, pointer: &str) -> usize {
        let mut node = &self.root;
        let mut start = node.start();
        for key in pointer.split('/').skip(1) {
            let key = key.replace("~1", "/").replace("~0", "~");
            match node {
                ast::Value::Object(object) => {
                    let Some(found) = object.get(&key) else {
                        return start;
                    };
                    start = found.start();
                    node = &found.value;
                }
                ast::Value::Array(array) => {
                    let index = key.parse().unwrap_or(usize::MAX);
                    let Some(found) = array.elements.get(index) else {
                        return start;
                    };
                    start = found.start();
                    node = found;
                }
                _ => return start,
            }
        }
        start
    }

    fn find_duplicate_keys(&self, value: &ast::Value<'_>, pointer: &str, findings: &mut Findings) {
        match value {
            ast::Value::Object(object) => {
                let mut seen = std::collections::BTreeSet::new();
                for property in &object.properties {
                    let key = property.name.as_str();
                    let inner = format!("{pointer}/{}", escape(key));
                    if !seen.insert(key) {
                        let place = self.place(property.start(), &inner);
                        findings.add(place, "is a duplicate key in this object");
                    }
                    self.find_duplicate_keys(&property.value, &inner, findings);
                }
            }
            ast::Value::Array(array) => {
                for (i, element) in array.elements.iter().enumerate() {
                    self.find_duplicate_keys(element, &format!("{pointer}/{i}"), findings);
                }
            }
            _ => {}
        }
    }
}

/// Escapes a key for a JSON pointer (RFC 6901).
pub fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Returns `file:line:column`; lines and columns count from 1, columns in characters.
fn position(file: &str, text: &str, start: usize) -> String {
    let before = text.get(..start).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let last = before.rsplit('\n').next().unwrap_or("");
    let column = last.chars().count() + 1;
    format!("{file}:{line}:{column}")
}

fn to_json(value: &ast::Value<'_>) -> Value {
    match value {
        ast::Value::StringLit(text) => Value::String(text.value.to_string()),
        ast::Value::NumberLit(number) => number
            .value
            .parse::<serde_json::Number>()
            .map_or_else(|_| Value::String(number.value.to_owned()), Value::Number),
        ast::Value::BooleanLit(flag) => Value::Bool(flag.value),
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::Array(array) => Value::Array(array.elements.iter().map(to_json).collect()),
        ast::Value::Object(object) => {
            let mut map = Map::new();
            for property in &object.properties {
                map.insert(property.name.as_str().to_owned(), to_json(&property.value));
            }
            Value::Object(map)
        }
    }
}
