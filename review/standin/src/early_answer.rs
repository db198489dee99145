//! An instance answers before it has read a long body, keeps the connection and reads on later.

use crate::{
    Outcome, Play, Verdict,
    deployment::Options,
    document::{HOST, Route, document},
    http::{Connection, Head, call, client_request, find},
    instance::Instance,
    setup,
};
use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Length of the long body; the configuration allows 64 MiB.
const BODY_BYTES: usize = 12 << 20;
/// Part of the body that the instance reads before it answers.
const READ_FIRST_BYTES: usize = 64 << 10;
/// Time after the answer from which the instance reads on.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Deadline of the requests, that of `order-place`.
const DEADLINE_MS: u64 = 5_000;
/// Ordinary requests before the long one, and the clients that send them.
const ORDINARY: usize = 300;
const CLIENTS: usize = 6;
/// Answers of the instance for each one that it garbles, at least: `x` is .02.
const ANSWERS_FOR_EACH: usize = 50;
const WORK: Duration = Duration::from_millis(20);

/// What the instance read where the rest of the long body was due.
#[derive(Default)]
struct Rest {
    bytes: usize,
    /// Offset in the body and text of the first bytes that aren't of the body.
    foreign: Option<(usize, String)>,
    has_ended: bool,
}

pub fn play(play: &Play) -> Outcome {
    let has_trouble = play.has_trouble;
    let rest = Arc::new(Mutex::new(Rest::default()));
    let read = Arc::clone(&rest);
    let serve = move |instance: &Instance, connection: &mut Connection, head: &Head| {
        if head.request_line().1.starts_with("/long/") && has_trouble {
            reject_early(instance, connection, head, &read)
        } else {
            instance.run(connection, head, WORK)
        }
    };
    let options = Options {
        cores: 5,
        nodes: vec!["huvo11a", "wuno96b", "wuno96b"],
        bounds: Vec::new(),
    };
    let route = |prefix, kind| Route {
        prefix,
        kind,
        service: "wuno96b",
        timeout_ms: DEADLINE_MS,
        target_ms: 1_500,
        attempts: 1,
    };
    let routes = [route("/long/", "unsafe"), route("/short/", "safe")];
    let running = setup::start(
        play,
        options,
        &document(1, &["huvo11a", "wuno96b"], &routes),
        serve,
    )?;
    running.wait_until_served(0, "/short/warm")?;
    let at = running.deployment.call_address(0);
    let ordinary = |each: usize, name: &'static str| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let record = Arc::clone(&play.record);
                thread::spawn(move || {
                    for number in 0..each {
                        let id = format!("{name}-{client}-{number}");
                        let request = client_request("GET", "/short/1", HOST, &id, 2_000, b"");
                        let answer = call(at, &request, Duration::from_secs(3)).map(|a| a.status);
                        record.note(format!("client: {id} is answered {answer:?}"));
                    }
                })
            })
            .collect();
        clients.into_iter().for_each(|client| drop(client.join()));
    };
    ordinary(ORDINARY / CLIENTS, "before");
    let body: Vec<u8> = (0..BODY_BYTES).map(pattern).collect();
    let request = client_request("POST", "/long/1", HOST, "long-1", DEADLINE_MS, &body);
    play.record.note(format!(
        "client: sends long-1 with {BODY_BYTES} bytes of body"
    ));
    let answer = call(at, &request, Duration::from_secs(6));
    play.record.note(format!(
        "client: long-1 is answered {:?}",
        answer.map(|a| a.status)
    ));
    ordinary(2, "after");
    thread::sleep(Duration::from_secs(2));
    let garbled = running
        .instances
        .iter()
        .map(|instance| instance.arrivals())
        .find(|arrivals| arrivals.iter().any(|arrival| arrival.id == "long-1"));
    let answers = garbled.map_or(0, |arrivals| arrivals.len());
    play.record.note(format!(
        "the instance that got long-1 answered {answers} requests"
    ));
    if answers < ANSWERS_FOR_EACH {
        return Err("too few answers for one that is garbled".to_owned());
    }
    let rest = rest.lock().unwrap_or_else(PoisonError::into_inner);
    if has_trouble {
        play.record.note(format!(
            "instance: read {} bytes where {} of the body were due, ended: {}",
            rest.bytes,
            BODY_BYTES - READ_FIRST_BYTES,
            rest.has_ended
        ));
    }
    match &rest.foreign {
        Some((offset, text)) => {
            play.record.note(format!(
                "instance: at byte {offset} of the body of long-1 it got {text:?}"
            ));
            Ok(Verdict::Broken)
        }
        None => Ok(Verdict::Held),
    }
}

/// Byte of the long body at this offset; never a printable character.
fn pattern(offset: usize) -> u8 {
    128 + (offset % 113) as u8
}

/// Rejects the request before its body is in, keeps the connection, and reads the rest later.
fn reject_early(
    instance: &Instance,
    connection: &mut Connection,
    head: &Head,
    rest: &Mutex<Rest>,
) -> io::Result<()> {
    instance.note_arrival(head, false);
    let length = head.content_length().unwrap_or(0);
    let first = connection.read_exact(READ_FIRST_BYTES.min(length), None)?;
    let mut offset = first.len();
    instance.answer(
        connection,
        head,
        "503 Service Unavailable",
        &[("X-Not-Executed", "1")],
        b"",
    )?;
    instance.note("rejected a long request before its body was in, and keeps the connection");
    thread::sleep(PAUSE);
    let until = Instant::now() + Duration::from_secs(5);
    while offset < length {
        let bytes = match connection.read_some(length - offset, Some(until)) {
            Ok(bytes) if !bytes.is_empty() => bytes,
            _ => break,
        };
        let mut rest = rest.lock().unwrap_or_else(PoisonError::into_inner);
        let other = (0..bytes.len()).find(|index| bytes[*index] != pattern(offset + index));
        if let (Some(index), None) = (other, &rest.foreign) {
            let end = (index + 160).min(bytes.len());
            let text: String = bytes[index..end]
                .iter()
                .map(|byte| {
                    if byte.is_ascii() {
                        char::from(*byte)
                    } else {
                        '.'
                    }
                })
                .collect();
            let end = find(text.as_bytes(), b"\r\n\r\n").unwrap_or(text.len());
            rest.foreign = Some((offset + index, text[..end].to_owned()));
        }
        rest.bytes += bytes.len();
        offset += bytes.len();
    }
    rest.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .has_ended = true;
    Err(io::ErrorKind::ConnectionAborted.into())
}
