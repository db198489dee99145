//! Guards against a change that is published while its subscriber starts: request limits that were
//! applied before the subscription stayed those of the former configuration.

use kernel::{Event, Events};
use model::Revision;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Time for the change to be published while the first run goes on.
const PAUSE: Duration = Duration::from_millis(100);

#[test]
fn change_during_first_run_applied() {
    let (events, current, applied) = (
        Events::default(),
        Arc::new(AtomicU64::new(1)),
        Arc::new(AtomicU64::new(0)),
    );
    let publishers = crossbeam::channel::unbounded();
    let apply = {
        let (events, current, applied) = (events.clone(), Arc::clone(&current), applied.clone());
        move || {
            let seen = current.load(Ordering::SeqCst);
            if seen == 1 {
                let (events, current) = (events.clone(), Arc::clone(&current));
                let publisher = thread::spawn(move || {
                    current.store(2, Ordering::SeqCst);
                    events.publish(&Event::ProfilesChanged(Revision::default()));
                });
                publishers.0.send(publisher).unwrap();
                thread::sleep(PAUSE);
            }
            applied.store(seen, Ordering::SeqCst);
        }
    };
    events.apply_on(|event| matches!(event, Event::ProfilesChanged(_)), apply);
    publishers.1.recv().unwrap().join().unwrap();
    assert_eq!(applied.load(Ordering::SeqCst), 2);
}
