//! TCP relay that can go silent, which means that it keeps its connections open but forwards
//! nothing, and that can damage the bytes it forwards.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// Damage to the next block of bytes that is forwarded to the target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Damage {
    Alter,
    Repeat,
    Truncate,
}

/// A running relay. Its connections are numbered from 1; those up to `silent` forward nothing.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    silent: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
    damage: Arc<Mutex<Option<Damage>>>,
}

impl Relay {
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let relay = Relay {
            address: listener.local_addr().unwrap(),
            silent: Arc::default(),
            accepted: Arc::default(),
            damage: Arc::default(),
        };
        let damage = Arc::clone(&relay.damage);
        let (silent, accepted) = (Arc::clone(&relay.silent), Arc::clone(&relay.accepted));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let near = stream.unwrap();
                let far = TcpStream::connect(target).unwrap();
                let number = accepted.fetch_add(1, Ordering::SeqCst) + 1;
                forward(&near, &far, number, &silent, &damage);
                forward(&far, &near, number, &silent, &Arc::default());
            }
        });
        relay
    }

    /// Silences the connections accepted so far, but not later ones.
    pub(crate) fn silence(&self) {
        self.silent.store(self.accepted(), Ordering::SeqCst);
    }

    pub(crate) fn damage_next(&self, damage: Damage) {
        *self.damage.lock().unwrap() = Some(damage);
    }

    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }
}

fn forward(
    from: &TcpStream,
    to: &TcpStream,
    number: u64,
    silent: &Arc<AtomicU64>,
    damage: &Arc<Mutex<Option<Damage>>>,
) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    let (silent, damage) = (Arc::clone(silent), Arc::clone(damage));
    thread::spawn(move || {
        let mut bytes = [0; 4096];
        while let Ok(count) = from.read(&mut bytes) {
            let mut block = bytes[..count].to_vec();
            let mut last = block.is_empty();
            match damage.lock().unwrap().take() {
                Some(Damage::Alter) => block[count - 1] ^= 1,
                Some(Damage::Repeat) => block.extend_from_within(..),
                Some(Damage::Truncate) => {
                    block.pop();
                    last = true;
                }
                None => {}
            }
            let drop_all = silent.load(Ordering::SeqCst) >= number;
            if (!drop_all && to.write_all(&block).is_err()) || last {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}
