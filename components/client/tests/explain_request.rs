//! `gyard explain` must find the log lines about a failed request in the logs of several processes
//! by the caller's id alone, show them in order with the cause, and leave out other requests.

use std::{fs, path::Path, process::ExitCode};

/// Log of an entry: a request that ends as overloaded, and a nested one, whose id continues after a
/// full stop.
const ENTRY_LOG: &str = "\
1764850000.100 INFO  entry: request r1 call a1-7 service catalogue profile read configuration 3 attempt 0 weighed i-2=900us/1ms chose i-2, Expected.
1764850000.150 INFO  entry: request r1.n1 call a1-8 service lending profile read configuration 3 attempt 0 weighed i-4=900us/1ms chose i-4, Only.
1764850000.300 INFO  entry: request r1 call a1-7 ended without an answer after 200 ms, overloaded.
";
/// Log of an owner in JSON format.
const OWNER_LOG: &str = r#"{"time_ms":1764850000200,"level":"info","part":"owner","message":"call a1-7/0 at i-2: Refused(Overloaded), running 4 of 4, waiting 3, pace 500 %."}
{"time_ms":1764850000201,"level":"info","part":"owner","message":"call a1-77/0 at i-2: Start, running 4 of 4, waiting 3, pace 100 %."}
"#;
/// Log of several processes in one file, each named before the time.
const MIXED_LOG: &str = "\
  31.6 host-1 1764850001.000 INFO  entry: request r2 call b2-1 service catalogue profile write configuration 3 attempt 0 weighed i-2=900us/1ms chose i-2, Expected.
  31.7 host-2 1764850001.010 INFO  owner: call b2-1/0 failed at i-2: the connection was lost before the response.
  31.8 host-1 1764850001.020 INFO  entry: request r2 call b2-1 ended without an answer after 20 ms, upstream-lost.
  31.9 host-1 1764850001.500 INFO  entry: request r3 refused, not-configured; configuration version 0.
  32.0 host-1 1764850001.600 INFO  entry: request r4 call b2-2 service catalogue profile read configuration 3 attempt 0 weighed i-2=900us/1ms chose i-2, Expected.
";

fn explain(dir: &Path, id: &str, options: &[&str]) -> String {
    let files = ["entry.log", "owner.log", "mixed.log"].map(|name| dir.join(name));
    let mut args: Vec<String> = options.iter().map(ToString::to_string).collect();
    args.extend(["explain".to_owned(), id.to_owned()]);
    args.extend(files.iter().map(|file| file.display().to_string()));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = client::run(args, |_| None, &mut out, &mut err);
    let text = String::from_utf8([out, err].concat()).unwrap();
    let text = text.replace(&format!("{}/", dir.display()), "");
    let result = if code == ExitCode::SUCCESS {
        "done"
    } else {
        "failed"
    };
    format!("$ explain {id}\n{text}({result})\n")
}

#[test]
fn failed_requests() {
    let dir = tempfile::tempdir().unwrap();
    for (name, text) in [
        ("entry.log", ENTRY_LOG),
        ("owner.log", OWNER_LOG),
        ("mixed.log", MIXED_LOG),
    ] {
        fs::write(dir.path().join(name), text).unwrap();
    }
    let outputs = ["r1", "r2", "r3", "r4", "r5"].map(|id| explain(dir.path(), id, &[]));
    insta::assert_snapshot!(outputs.join("\n"));
}

#[test]
fn json_output() {
    let dir = tempfile::tempdir().unwrap();
    for name in ["entry.log", "owner.log", "mixed.log"] {
        fs::write(dir.path().join(name), MIXED_LOG).unwrap();
    }
    let text = explain(dir.path(), "r3", &["--output", "json"]);
    assert!(text.contains("\"code\": \"not-configured\""), "{text}");
}

/// The customer is shown by name, from the line of the decision or of the end of the call.
#[test]
fn customer_of_request() {
    let dir = tempfile::tempdir().unwrap();
    let log = "\
1764850000.100 INFO  entry: request r1 call a1-7 service lending customer choir profile read configuration 3 attempt 0 weighed i-2=900us/1ms chose i-2, Expected.
1764850000.300 INFO  entry: request r2 call a1-8 customer bells ended without an answer after 200 ms, overloaded.
";
    for name in ["entry.log", "owner.log", "mixed.log"] {
        fs::write(dir.path().join(name), log).unwrap();
    }
    for (id, customer) in [("r1", "choir"), ("r2", "bells")] {
        let text = explain(dir.path(), id, &[]);
        assert!(
            text.contains(&format!("\nCustomer: {customer}\n")),
            "{text}"
        );
        let text = explain(dir.path(), id, &["--output", "json"]);
        let field = format!("\"customer\": \"{customer}\"");
        assert!(text.contains(&field), "{text}");
    }
}

#[test]
fn missing_file() {
    let dir = tempfile::tempdir().unwrap();
    let text = explain(dir.path(), "r1", &[]);
    assert!(text.contains("entry.log: No such file"), "{text}");
    assert!(text.ends_with("(failed)\n"), "{text}");
}
