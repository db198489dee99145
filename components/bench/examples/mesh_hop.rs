//! Measures one request and reply between two transports in one process, beside a plain TCP
//! exchange of the same size as the host's own latency.
//! Run: `cargo run --release -p bench --example mesh_hop`.

use hdrhistogram::Histogram;
use mesh::{Channel, Mesh};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpListener, TcpStream},
    sync::mpsc::channel,
    thread,
    time::{Duration, Instant},
};

const SIZES: [usize; 3] = [200, 4_096, 65_536];
const BLOCKS: usize = 20;
const CALLS_PER_BLOCK: usize = 100;
/// Spacing of 240 calls per second.
const SPACING: Duration = Duration::from_micros(4_166);
const PATIENCE: Duration = Duration::from_secs(10);

fn main() {
    let start = || {
        Mesh::builder()
            .key("measurement")
            .start()
            .expect("it starts")
    };
    let (near, far) = (start(), start());
    far.set_handler(Channel::Call, |inbound| {
        // The asker is in this process and waits.
        let _ = inbound.reply.send(inbound.payload);
    });
    println!("exchange,bytes,p50_us,p99_us,p999_us");
    for bytes in SIZES {
        let mut plain = connect_echo(bytes);
        let payload = vec![7; bytes];
        let mut exchange = vec![0; bytes];
        let mut times = [(); 2].map(|()| Histogram::<u64>::new(3).expect("a valid precision"));
        for _ in 0..BLOCKS {
            for _ in 0..CALLS_PER_BLOCK {
                thread::sleep(SPACING);
                let since = Instant::now();
                plain.write_all(&payload).expect("sent");
                plain.read_exact(&mut exchange).expect("answered");
                times[0].saturating_record(since.elapsed().as_micros() as u64);
            }
            for _ in 0..CALLS_PER_BLOCK {
                thread::sleep(SPACING);
                let (sender, receiver) = channel();
                let since = Instant::now();
                let deadline = since + PATIENCE;
                near.request(
                    far.local_id().mesh,
                    Channel::Call,
                    payload.clone(),
                    deadline,
                    move |r| {
                        let _ = sender.send(r);
                    },
                );
                let reply = receiver.recv().expect("one reply").expect("a reply");
                times[1].saturating_record(since.elapsed().as_micros() as u64);
                assert_eq!(reply.len(), bytes);
            }
        }
        for (name, times) in ["plain tcp", "mesh"].iter().zip(&times) {
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| times.value_at_quantile(q));
            println!("{name},{bytes},{p50},{p99},{p999}");
        }
    }
    near.stop();
    far.stop();
}

fn connect_echo(bytes: usize) -> TcpStream {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback is usable");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        stream.set_nodelay(true).expect("an option");
        let mut message = vec![0; bytes];
        while stream.read_exact(&mut message).is_ok() && stream.write_all(&message).is_ok() {}
    });
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_nodelay(true).expect("an option");
    stream
}
