//! Guards against flags that docs/operating.md omits.

use gumdrop::Options;
use settings::{ControlFlags, NodeFlags};
use std::{fs, path::Path};

/// Long names of the flags in a usage text.
fn flags_of(usage: &str) -> Vec<&str> {
    let words = usage.lines().flat_map(str::split_whitespace);
    words.filter(|word| word.starts_with("--")).collect()
}

#[test]
fn listed_flags() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operating.md");
    let page = fs::read_to_string(&path).expect("docs/operating.md can be read");
    let section = |from: &str, to: &str| {
        let after = page.split_once(from).expect("the heading").1;
        after.split_once(to).expect("the next heading").0.to_owned()
    };
    for (usage, from, to) in [
        (NodeFlags::usage(), "### 2.1", "### 2.2"),
        (ControlFlags::usage(), "### 2.2", "### 2.3"),
    ] {
        let listed = section(from, to);
        let flags = flags_of(usage);
        assert!(flags.len() > 5, "{usage}");
        let missing: Vec<&str> = flags
            .into_iter()
            .filter(|flag| !matches!(*flag, "--help" | "--version"))
            .filter(|flag| !listed.contains(&format!("`{flag}`")))
            .collect();
        assert!(missing.is_empty(), "section {from} lacks {missing:?}");
    }
}
