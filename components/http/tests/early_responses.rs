//! Guards against two calls that share a connection to a server that answers before it has read a
//! whole request: the next request would be written into the middle of the body before it, and the
//! thread that still writes that body could close the connection of a later call.

use http::{AsyncPool, CallError, CancelToken, PoolConfig, Request, Response};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    ops::Range,
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, channel},
    },
    thread,
    time::{Duration, Instant},
};

mod common;
use common::{TEST_TIMEOUT, far_deadline, get, listen};

/// More than the buffers of a socket hold, so that a part of the body is written later.
const LONG_BODY_BYTES: usize = 12 * 1024 * 1024;
const READ_BYTES: usize = 64 * 1024;

/// Distance of the bytes of a body that tell their position.
const MARK_DISTANCE: usize = 1024;

/// A part of the body of a request: its bytes tell the request's number, some their position.
fn body_part(number: u64, positions: Range<usize>) -> Vec<u8> {
    let mut part = vec![number as u8; positions.len()];
    let first_mark = positions.start.next_multiple_of(MARK_DISTANCE);
    for position in (first_mark..positions.end).step_by(MARK_DISTANCE) {
        part[position - positions.start] = (position / MARK_DISTANCE) as u8;
    }
    part
}

fn request(number: u64, body_bytes: usize) -> Request {
    Request {
        method: "POST".to_owned(),
        body: body_part(number, 0..body_bytes),
        ..get(&format!("/{number}"))
    }
}

/// A request as the server has read it, without its body.
struct ReceivedHead {
    number: u64,
    body_bytes: usize,
}

/// How the server treats one request.
#[derive(Clone, Copy, Debug)]
enum Script {
    /// Reads the whole body, then answers.
    ReadFirst,
    /// Answers after a part of the body, and reads on after a pause.
    AnswerEarly { read_bytes: usize, pause: Duration },
    /// Sends an interim response before it reads the body.
    InterimFirst,
    /// Answers after a part of the body and closes.
    AnswerAndClose { read_bytes: usize },
    /// Reads everything and answers only after a pause.
    AnswerLate { pause: Duration },
}

/// Serves all connections; what breaks the protocol is noted in `faults`.
struct CheckingServer {
    address: SocketAddr,
    faults: Arc<Mutex<Vec<String>>>,
}

impl CheckingServer {
    fn start(next_script: impl FnMut() -> Script + Send + 'static) -> Self {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let faults = Arc::new(Mutex::new(Vec::new()));
        let next_script = Arc::new(Mutex::new(next_script));
        thread::spawn({
            let faults = Arc::clone(&faults);
            move || accept(&listener, &next_script, &faults)
        });
        CheckingServer { address, faults }
    }

    fn faults(&self) -> Vec<String> {
        self.faults.lock().unwrap().clone()
    }
}

fn accept(
    listener: &TcpListener,
    next_script: &Arc<Mutex<impl FnMut() -> Script + Send + 'static>>,
    faults: &Arc<Mutex<Vec<String>>>,
) {
    for stream in listener.incoming() {
        let stream = stream.unwrap();
        let (next_script, faults) = (Arc::clone(next_script), Arc::clone(faults));
        thread::spawn(move || {
            let draw = || {
                let mut next = next_script.lock().unwrap();
                next()
            };
            while let Ok(Some(head)) = read_head(&stream, &faults) {
                let script = draw();
                if serve_request(&stream, &head, script, &faults).is_err() {
                    return;
                }
            }
        });
    }
}

/// Reads a head byte by byte; `None` at the end of the connection.
fn read_head(
    mut stream: &TcpStream,
    faults: &Mutex<Vec<String>>,
) -> io::Result<Option<ReceivedHead>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
        if head.len() > 1024 || !b"POST ".starts_with(&head[..head.len().min(5)]) {
            let start = String::from_utf8_lossy(&head[..head.len().min(40)]).into_owned();
            faults.lock().unwrap().push(format!("no head: {start:?}"));
            return Ok(None);
        }
    }
    let text = String::from_utf8(head).unwrap();
    let number = text.split(['/', ' ']).nth(2).unwrap().parse().unwrap();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    Ok(Some(ReceivedHead {
        number,
        body_bytes: length.unwrap().parse().unwrap(),
    }))
}

fn serve_request(
    mut stream: &TcpStream,
    head: &ReceivedHead,
    script: Script,
    faults: &Mutex<Vec<String>>,
) -> io::Result<()> {
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{}",
        head.number.to_string().len(),
        head.number
    );
    let mut body = BodyReader {
        stream,
        head,
        read: 0,
        faults,
    };
    match script {
        Script::ReadFirst => {
            body.read_to(usize::MAX)?;
            stream.write_all(answer.as_bytes())
        }
        Script::AnswerEarly { read_bytes, pause } => {
            body.read_to(read_bytes)?;
            stream.write_all(answer.as_bytes())?;
            thread::sleep(pause);
            body.read_to(usize::MAX)
        }
        Script::InterimFirst => {
            stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n")?;
            body.read_to(usize::MAX)?;
            stream.write_all(answer.as_bytes())
        }
        Script::AnswerAndClose { read_bytes } => {
            body.read_to(read_bytes)?;
            stream.write_all(answer.as_bytes())?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        Script::AnswerLate { pause } => {
            body.read_to(usize::MAX)?;
            thread::sleep(pause);
            stream.write_all(answer.as_bytes())
        }
    }
}

/// Checks each byte of a body.
struct BodyReader<'a> {
    stream: &'a TcpStream,
    head: &'a ReceivedHead,
    read: usize,
    faults: &'a Mutex<Vec<String>>,
}

impl BodyReader<'_> {
    /// Reads up to this position, or to the end of the body.
    fn read_to(&mut self, position: usize) -> io::Result<()> {
        let end = position.min(self.head.body_bytes);
        let mut buffer = vec![0; READ_BYTES];
        while self.read < end {
            let wanted = (end - self.read).min(READ_BYTES);
            let count = (&mut &*self.stream).read(&mut buffer[..wanted])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let expected = body_part(self.head.number, self.read..self.read + count);
            if buffer[..count] != expected {
                let position = self.read;
                let fault = format!("other bytes in a body after byte {position}");
                self.faults.lock().unwrap().push(fault);
                return Err(io::ErrorKind::InvalidData.into());
            }
            self.read += count;
        }
        Ok(())
    }
}

fn start_call(
    pool: &AsyncPool,
    request: &Request,
    deadline: Instant,
    cancel: &CancelToken,
) -> Receiver<Result<Response, CallError>> {
    let (sender, receiver) = channel();
    pool.call(request, deadline, cancel, move |outcome| {
        // The test may have ended.
        let _ = sender.send(outcome);
    });
    receiver
}

fn result(receiver: &Receiver<Result<Response, CallError>>) -> Result<Response, CallError> {
    receiver.recv_timeout(2 * TEST_TIMEOUT).unwrap()
}

/// The server rejects a long body early, keeps the connection and reads on later; other requests
/// follow meanwhile.
#[test]
fn request_behind_unread_body() {
    let mut is_first = true;
    let server = CheckingServer::start(move || {
        if std::mem::take(&mut is_first) {
            Script::AnswerEarly {
                read_bytes: 64 * 1024,
                pause: Duration::from_millis(500),
            }
        } else {
            Script::ReadFirst
        }
    });
    let pool = AsyncPool::new(PoolConfig::new(server.address)).unwrap();
    let token = CancelToken::new();
    let long = start_call(&pool, &request(1, LONG_BODY_BYTES), far_deadline(), &token);
    assert_eq!(result(&long).unwrap().body, b"1");
    for number in 2..6 {
        let next = start_call(&pool, &request(number, 10), far_deadline(), &token);
        let answer = result(&next);
        assert_eq!(
            answer.map(|response| response.body),
            Ok(number.to_string().into_bytes()),
            "{:?}",
            server.faults()
        );
    }
    assert_eq!(server.faults(), Vec::<String>::new());
}

/// The deadline of a call whose response came early must not end a later call.
#[test]
fn deadline_of_unread_body() {
    let mut is_first = true;
    let server = CheckingServer::start(move || match std::mem::take(&mut is_first) {
        true => Script::AnswerEarly {
            read_bytes: 0,
            pause: TEST_TIMEOUT,
        },
        false => Script::AnswerLate {
            pause: Duration::from_millis(3_000),
        },
    });
    let pool = AsyncPool::new(PoolConfig::new(server.address)).unwrap();
    let token = CancelToken::new();
    let long_request = request(1, LONG_BODY_BYTES);
    let soon = Instant::now() + Duration::from_millis(1_500);
    let long = start_call(&pool, &long_request, soon, &token);
    assert_eq!(result(&long).unwrap().body, b"1");
    let next = start_call(&pool, &request(2, 10), far_deadline(), &token);
    assert_eq!(
        result(&next).map(|response| response.body),
        Ok(b"2".to_vec())
    );
    assert_eq!(server.faults(), Vec::<String>::new());
}

fn random_script(rng: &mut impl Rng) -> Script {
    let pause = Duration::from_millis(rng.random_range(0..30));
    let read_bytes = rng.random_range(0..LONG_BODY_BYTES);
    match rng.random_range(0..6) {
        0 | 1 => Script::AnswerEarly { read_bytes, pause },
        2 => Script::InterimFirst,
        3 => Script::AnswerAndClose { read_bytes },
        4 => Script::AnswerLate { pause },
        _ => Script::ReadFirst,
    }
}

/// Random orders of partial writes, early and late responses, cancellations and deadlines: the
/// server sees no byte where another is due, and no call gets the response to another one.
#[test]
fn random_orders() {
    const SEEDS: u64 = 6;
    const CALLS: u64 = 60;
    const CALLS_AT_ONCE: usize = 3;
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut server_rng = Pcg64Mcg::seed_from_u64(1_000 + seed);
        let server = CheckingServer::start(move || random_script(&mut server_rng));
        let config = PoolConfig {
            max_connections: CALLS_AT_ONCE,
            ..PoolConfig::new(server.address)
        };
        let pool = AsyncPool::new(config).unwrap();
        let mut running = Vec::new();
        for number in 0..CALLS {
            let body_bytes = match rng.random_range(0..3) {
                0 => rng.random_range(0..1_000),
                1 => rng.random_range(0..1_000_000),
                _ => rng.random_range(0..LONG_BODY_BYTES),
            };
            let deadline = match rng.random_range(0..5) {
                0 => Instant::now() + Duration::from_millis(rng.random_range(1..40)),
                _ => far_deadline(),
            };
            let token = CancelToken::new();
            let call = start_call(&pool, &request(number, body_bytes), deadline, &token);
            running.push((number, call));
            if rng.random_range(0..6) == 0 {
                thread::sleep(Duration::from_millis(rng.random_range(0..10)));
                token.cancel();
            }
            if running.len() >= CALLS_AT_ONCE {
                check_result(seed, &running.remove(0));
            }
        }
        for call in &running {
            check_result(seed, call);
        }
        assert_eq!(server.faults(), Vec::<String>::new(), "seed {seed}");
    }
}

fn check_result(seed: u64, (number, call): &(u64, Receiver<Result<Response, CallError>>)) {
    if let Ok(response) = result(call) {
        assert_eq!(
            response.body,
            number.to_string().into_bytes(),
            "seed {seed}"
        );
    }
}
