//! Guards against previews that change a later choice, its random factor, a trial or a probe, and
//! against previews that tell another choice than the next one.

mod common;

use common::{MS, request, router, signal, zone};
use routing::{AttemptResult, RouteRequest, Router};

const CALLS: u64 = 2_000;
const PREVIEWS: usize = 20;

/// Choices and probes of a fixed session, in which all calls fail for a while. `before` runs
/// before each choice.
fn session(mut before: impl FnMut(&Router, u64, &RouteRequest)) -> Vec<String> {
    let (mut router, _) = router(5, 7);
    let zone = zone("a");
    let mut log = Vec::new();
    for call in 0..CALLS {
        let now_us = call * MS;
        let request = RouteRequest {
            idempotent: call % 3 > 0,
            hedge: call % 11 == 0,
            ..request(&zone)
        };
        before(&router, now_us, &request);
        let choice = router.choose(now_us, &request);
        log.push(format!("{choice:?} {:?}", router.candidates()));
        for key in router.take_due_probes(now_us) {
            log.push(format!("probe {key:?}"));
            router.record_probe_reply(now_us, key, signal(call as u32 % 4, 2_000, call + 1), 300);
        }
        if let Ok(choice) = choice {
            let key = choice.upstream;
            router.record_sent(now_us, key);
            let result = match (200..230).contains(&call) {
                true => AttemptResult::Failed,
                false => AttemptResult::Ok,
            };
            let (at_us, load) = (now_us + 500, signal(call as u32 % 5, 2_000, call + 1));
            router.record_result(at_us, key, result, 500 + call * 37 % 900, Some(load));
        }
    }
    assert!(log.iter().any(|line| line.contains("Trial")), "no trial");
    log
}

#[test]
fn tell_and_leave_next_choice() {
    let mut told = Vec::new();
    let with = session(|router, now_us, request| {
        for _ in 0..PREVIEWS {
            let _ = router.preview(now_us, request);
        }
        let preview = router.preview(now_us, request);
        let candidates: Vec<_> = preview.candidates.iter().map(|c| c.candidate).collect();
        told.push(format!("{:?} {candidates:?}", preview.choice));
    });
    assert_eq!(session(|_, _, _| ()), with);
    let is_choice = |line: &String| !line.starts_with("probe");
    let chosen: Vec<String> = with.into_iter().filter(is_choice).collect();
    assert_eq!(told, chosen);
}
