//! Guards against error kinds that the error table in docs/operating.md omits or describes wrongly.

use errors::ErrorKind;
use std::{collections::HashMap, fs, path::Path};

const HEADING: &str = "| code | status | outcome | meaning | what to do |";

/// Status and outcome by code, from the error table of the page.
fn rows_of(page: &str) -> HashMap<String, (String, String)> {
    let mut rows = HashMap::new();
    let table = page.lines().skip_while(|line| *line != HEADING).skip(2);
    for line in table.take_while(|line| line.starts_with('|')) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, code, status, outcome, ..] = cells[..] else {
            panic!("a row of the error table has too few columns: {line}");
        };
        let code = code.trim_matches('`').to_owned();
        let previous = rows.insert(
            code,
            (status.to_owned(), outcome.trim_matches('`').to_owned()),
        );
        assert!(previous.is_none(), "the page lists a code twice: {line}");
    }
    rows
}

#[test]
fn listed_kinds() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operating.md");
    let page = fs::read_to_string(&path).expect("docs/operating.md can be read");
    let mut rows = rows_of(&page);
    for kind in ErrorKind::ALL {
        let info = kind.info();
        let Some((status, outcome)) = rows.remove(info.code) else {
            panic!("docs/operating.md does not list {}", info.code);
        };
        assert_eq!(status, info.status.to_string(), "status of {}", info.code);
        assert_eq!(
            outcome,
            info.outcome.header_value(),
            "outcome of {}",
            info.code
        );
    }
    assert!(rows.is_empty(), "the page lists unknown codes: {rows:?}");
}
