//! Guards the error table of the operators' page against kinds that it omits or misstates.

use errors::ErrorKind;
use std::{collections::HashMap, fs, path::Path};

const HEADING: &str = "| code | status | outcome | meaning | what to do |";

/// Status and outcome by code, as the page's error table gives them.
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
        let row = kind.info();
        let Some((status, outcome)) = rows.remove(row.code) else {
            panic!("docs/operating.md does not list {}", row.code);
        };
        assert_eq!(status, row.status.to_string(), "status of {}", row.code);
        assert_eq!(
            outcome,
            row.outcome.header_value(),
            "outcome of {}",
            row.code
        );
    }
    assert!(rows.is_empty(), "the page lists unknown codes: {rows:?}");
}
