//! An application instance: runs requests in slots, answers health checks and reports to the node
//! beside it.

use crate::{
    deployment::{Deployment, Machine},
    http::{self, Message},
    record::Record,
};
use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Requests that wait for a slot; further ones are rejected.
const QUEUE: usize = 12;

/// A request that reached the instance and was not rejected.
#[derive(Clone)]
pub struct Run {
    pub arrived_ms: u64,
    pub id: String,
    pub line: String,
}

/// What becomes of the answer to a request that was run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answered,
    /// The connection is reset in place of the answer.
    Reset,
    /// The instance crashes.
    Crash,
}

pub struct Instance {
    pub id: String,
    pub side: u8,
    service: &'static str,
    address: SocketAddr,
    reports_to: SocketAddr,
    slots: usize,
    work: Duration,
    born_ms: u64,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
    running: Mutex<(usize, usize)>,
    slot_freed: Condvar,
    runs: Mutex<Vec<Run>>,
    open: Mutex<Vec<TcpStream>>,
    fate: Box<dyn Fn(&Message) -> Fate + Send + Sync>,
    record: Record,
}

impl Instance {
    pub fn start(
        deployment: &Deployment,
        side: u8,
        id: &str,
        slots: usize,
        work: Duration,
        fate: impl Fn(&Message) -> Fate + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        Instance::start_at(deployment, side, id, slots, work, 0, fate)
    }

    /// Like `start`, while the time of day is ahead by this.
    pub fn start_at(
        deployment: &Deployment,
        side: u8,
        id: &str,
        slots: usize,
        work: Duration,
        ahead_ms: i64,
        fate: impl Fn(&Message) -> Fate + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let machine = Machine::Side(side);
        let address = deployment.at(machine, deployment.ports.application);
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let instance = Arc::new(Instance {
            id: id.to_owned(),
            side,
            service: deployment.services[usize::from(side)],
            address,
            reports_to: deployment.at(machine, deployment.ports.control),
            slots,
            work,
            born_ms: (born.as_millis() as u64).saturating_add_signed(ahead_ms),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            running: Mutex::default(),
            slot_freed: Condvar::new(),
            runs: Mutex::default(),
            open: Mutex::default(),
            fate: Box::new(fate),
            record: deployment.record.clone(),
        });
        let serving = Arc::clone(&instance);
        thread::spawn(move || serving.accept(&listener));
        let reporting = Arc::clone(&instance);
        thread::spawn(move || {
            while !reporting.has_ended() {
                reporting.beat();
                thread::sleep(BEAT_INTERVAL);
            }
        });
        Ok(instance)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Body of a heartbeat with this sequence number.
    pub fn heartbeat(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"information\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"cold_remaining_ms\":0}},\"born\":{}}}",
            self.address, self.service, self.slots, self.born_ms
        )
    }

    /// Reports the state now; returns the status of the answer.
    pub fn beat(&self) -> u16 {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let state = match self.is_draining.load(Ordering::Acquire) {
            true => "draining",
            false => "ready",
        };
        let status = self.send(&self.heartbeat(state, sequence));
        self.record.add(format!(
            "instance {}: heartbeat {state} sequence {sequence}: {status}",
            self.id
        ));
        status
    }

    /// Sends a heartbeat with this body in the name of the instance.
    pub fn send(&self, body: &str) -> u16 {
        let line = format!("PUT /instances/{}", self.id);
        http::request(self.reports_to, &line, body, Duration::from_secs(1)).0
    }

    /// Begins to leave; the next heartbeat says so.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
    }

    /// Withdraws and ends; cuts the requests that it runs.
    pub fn end(&self) {
        let line = format!("DELETE /instances/{}", self.id);
        let status = http::request(self.reports_to, &line, "", Duration::from_secs(1)).0;
        self.record
            .add(format!("instance {}: DELETE: {status}; it exits", self.id));
        self.has_ended.store(true, Ordering::Release);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Ends the accepting thread.
        let _ = TcpStream::connect(self.address);
    }

    /// Whether the instance has crashed or exited.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Acquire)
    }

    /// Ends without a word: all connections are reset, and no further ones are accepted.
    pub fn crash(&self) {
        self.has_ended.store(true, Ordering::Release);
        // Ends the accepting thread, and with it the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = reset(&stream);
        }
        self.record.add(format!("instance {}: crashes", self.id));
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.has_ended() {
                return;
            }
            let Ok(stream) = stream else { return };
            if let Ok(kept) = stream.try_clone() {
                self.open.lock().unwrap().push(kept);
            }
            let instance = Arc::clone(self);
            thread::spawn(move || {
                let _ = instance.serve(&stream);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            if request.first_line.starts_with("GET /health ") {
                let status = match self.is_draining.load(Ordering::Acquire) {
                    true => 503,
                    false => 200,
                };
                self.answer(stream, status, "", "")?;
                continue;
            }
            let id = request.field("x-request-id").unwrap_or_default().to_owned();
            if id.is_empty() {
                self.answer(stream, 400, "X-Not-Executed: 1\r\n", "")?;
                continue;
            }
            let echo = format!("X-Request-Id: {id}\r\n");
            let expected = request.field("x-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                self.answer(stream, 421, &echo, "")?;
                continue;
            }
            let arrived_ms = self.record.now_ms();
            if !self.take_slot() {
                self.answer(stream, 503, &format!("{echo}X-Not-Executed: 1\r\n"), "")?;
                continue;
            }
            let line = request.first_line.trim_end_matches(" HTTP/1.1").to_owned();
            self.record
                .add(format!("instance {}: runs {id} {line}", self.id));
            self.runs.lock().unwrap().push(Run {
                arrived_ms,
                id: id.clone(),
                line,
            });
            thread::sleep(self.work);
            self.free_slot();
            let fate = (self.fate)(&request);
            if fate == Fate::Crash {
                self.crash();
                return Ok(());
            }
            if fate == Fate::Reset {
                self.record.add(format!(
                    "instance {}: the answer to {id} is lost, reset",
                    self.id
                ));
                return reset(stream);
            }
            let body = format!("done by {} for {id}", self.id);
            let stamp = format!("{echo}X-Server-Stamp: {}.{id}\r\n", self.id);
            self.answer(stream, 200, &stamp, &body)?;
        }
        Ok(())
    }

    fn answer(
        &self,
        mut stream: &TcpStream,
        status: u16,
        fields: &str,
        body: &str,
    ) -> io::Result<()> {
        let (running, waiting) = *self.running.lock().unwrap();
        let head = format!(
            "HTTP/1.1 {status} -\r\n{fields}X-Instance-Id: {}\r\nX-Server-Load: {running},{waiting},{},100\r\nContent-Length: {}\r\n\r\n",
            self.id,
            self.slots,
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())
    }

    /// Waits for a slot; false if too many wait already.
    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        if running.0 >= self.slots && running.1 >= QUEUE {
            return false;
        }
        running.1 += 1;
        while running.0 >= self.slots {
            running = self.slot_freed.wait(running).unwrap();
        }
        *running = (running.0 + 1, running.1 - 1);
        true
    }

    fn free_slot(&self) {
        self.running.lock().unwrap().0 -= 1;
        self.slot_freed.notify_one();
    }
}

/// Ends a connection by a reset, whatever handles of it are open: connecting a socket to no address
/// does that on Linux. The standard library has no function for it.
fn reset(stream: &TcpStream) -> io::Result<()> {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct NoAddress([u8; 16]);
    unsafe extern "C" {
        fn connect(fd: i32, address: *const NoAddress, length: u32) -> i32;
    }
    // The family is 0, `AF_UNSPEC`.
    let address = NoAddress([0; 16]);
    // SAFETY: the descriptor is open, and the address lives during the call and has this length.
    let result = unsafe { connect(stream.as_raw_fd(), &address, 16) };
    match result {
        0 => Err(io::ErrorKind::ConnectionReset.into()),
        _ => Err(io::Error::last_os_error()),
    }
}
