//! Measures the latency of one request and reply between two mesh transports in one process. A
//! plain TCP exchange of the same size is measured beside it, as the latency that the host itself
//! causes.
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

/// Payload sizes in bytes.
const SIZES: [usize; 3] = [200, 4_096, 65_536];
/// Blocks of plain and mesh calls, which alternate.
const BLOCKS: usize = 20;
const CALLS_PER_BLOCK: usize = 100;
/// Interval between calls at 240 calls per second.
const CALL_INTERVAL: Duration = Duration::from_micros(4_166);
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

fn main() {
    let start_mesh = || {
        Mesh::builder()
            .key("measurement")
            .start()
            .expect("the transport starts")
    };
    let (client, server) = (start_mesh(), start_mesh());
    server.set_handler(Channel::Call, |inbound| {
        // Sending can't fail here, since the requester waits in this process.
        let _ = inbound.reply.send(inbound.payload);
    });
    println!("exchange,bytes,p50_us,p99_us,p999_us");
    for bytes in SIZES {
        let mut plain = connect_echo(bytes);
        let payload = vec![7; bytes];
        let mut echoed = vec![0; bytes];
        let mut latencies = [(); 2].map(|()| Histogram::<u64>::new(3).expect("a valid precision"));
        for _ in 0..BLOCKS {
            for _ in 0..CALLS_PER_BLOCK {
                thread::sleep(CALL_INTERVAL);
                let since = Instant::now();
                plain.write_all(&payload).expect("sent");
                plain.read_exact(&mut echoed).expect("answered");
                latencies[0].saturating_record(since.elapsed().as_micros() as u64);
            }
            for _ in 0..CALLS_PER_BLOCK {
                thread::sleep(CALL_INTERVAL);
                let (sender, receiver) = channel();
                let since = Instant::now();
                let deadline = since + REPLY_TIMEOUT;
                client.request(
                    server.local_id().mesh,
                    Channel::Call,
                    payload.clone(),
                    deadline,
                    move |reply| {
                        let _ = sender.send(reply);
                    },
                );
                let reply = receiver.recv().expect("one reply").expect("a reply");
                latencies[1].saturating_record(since.elapsed().as_micros() as u64);
                assert_eq!(reply.len(), bytes);
            }
        }
        for (name, latency) in ["plain tcp", "mesh"].iter().zip(&latencies) {
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| latency.value_at_quantile(q));
            println!("{name},{bytes},{p50},{p99},{p999}");
        }
    }
    client.stop();
    server.stop();
}

/// Connects to a thread that echoes messages of this size.
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
