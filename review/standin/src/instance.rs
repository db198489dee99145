//! A stand-in for an application instance: serves requests, answers health checks and sends
//! heartbeats to the node on its machine.

use crate::{
    http::{Connection, Head, call_json},
    record::Record,
};
use std::{
    collections::HashMap,
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval of heartbeats, as `heartbeat_interval_ms` sets it.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Concurrent requests of one instance, as in the site files of today.
pub const SLOTS: u32 = 6;

/// One request that an instance began to work on, or rejected.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// Whether the instance began to work on it.
    pub has_run: bool,
    /// Whether the whole answer was handed to the connection.
    pub is_answered: bool,
}

/// How an instance serves one request, whose head has been read.
pub type Serve = dyn Fn(&Instance, &mut Connection, &Head) -> io::Result<()> + Send + Sync;

/// State of one incarnation of an instance.
pub struct Instance {
    pub name: String,
    service: String,
    pub address: SocketAddr,
    heartbeat_address: SocketAddr,
    born_ms: u128,
    sequence: AtomicU64,
    running: AtomicU32,
    pub is_leaving: AtomicBool,
    has_ended: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<HashMap<u64, TcpStream>>,
    record: Arc<Record>,
    serve: Box<Serve>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Instance {
    /// Starts to listen; heartbeats start with `start_heartbeats`.
    pub fn start(
        record: &Arc<Record>,
        name: &str,
        service: &str,
        address: SocketAddr,
        heartbeat_address: SocketAddr,
        serve: impl Fn(&Instance, &mut Connection, &Head) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let instance = Arc::new(Instance {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            heartbeat_address,
            born_ms: born.as_millis(),
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            record: Arc::clone(record),
            serve: Box::new(serve),
        });
        record.note(format!("instance {name} of {service} listens on {address}"));
        let accepting = Arc::clone(&instance);
        thread::spawn(move || accepting.accept(&listener));
        Ok(instance)
    }

    /// Sends heartbeats until the instance leaves or ends.
    pub fn start_heartbeats(self: &Arc<Self>) {
        let instance = Arc::clone(self);
        thread::spawn(move || {
            while !instance.has_ended() && !instance.is_leaving.load(Ordering::Acquire) {
                let body = instance.next_heartbeat("ready");
                instance.send_heartbeat(&body);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Body of the next heartbeat.
    pub fn next_heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        format!(
            r#"{{"address":"{}","information":{{"service":"{}","version":"v1","zone":"zone-a","slots":{SLOTS}}},"status":{{"state":"{state}","sequence":{sequence},"cold_remaining_ms":0}},"born":{}}}"#,
            self.address, self.service, self.born_ms
        )
    }

    /// Sends a heartbeat; true if it is acknowledged.
    pub fn send_heartbeat(&self, body: &str) -> bool {
        let path = format!("/instances/{}", self.name);
        let wait = Duration::from_secs(1);
        call_json(self.heartbeat_address, "PUT", &path, body, wait)
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Sends the DELETE with which an instance leaves; true if it is acknowledged.
    pub fn withdraw(&self) -> bool {
        let path = format!("/instances/{}", self.name);
        let wait = Duration::from_secs(1);
        call_json(self.heartbeat_address, "DELETE", &path, "", wait)
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Ends the instance at once: closes its listener and all connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Release);
        for stream in lock(&self.connections).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    /// Whether the instance has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Acquire)
    }

    /// Requests that have arrived so far, health checks excluded.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    /// Notes that a request arrived; returns its position.
    pub fn note_arrival(&self, head: &Head, has_run: bool) -> usize {
        let mut arrivals = lock(&self.arrivals);
        arrivals.push(Arrival {
            id: head.get("x-request-id").unwrap_or_default().to_owned(),
            at: Instant::now(),
            has_run,
            is_answered: false,
        });
        arrivals.len() - 1
    }

    /// Notes that the answer to a request was handed to the connection.
    pub fn note_answered(&self, position: usize) {
        lock(&self.arrivals)[position].is_answered = true;
    }

    /// Adds a line to the record.
    pub fn note(&self, line: &str) {
        self.record.note(format!("instance {}: {line}", self.name));
    }

    /// Reads the body, works for this time and answers with 200.
    pub fn run(&self, connection: &mut Connection, head: &Head, work: Duration) -> io::Result<()> {
        let position = self.note_arrival(head, true);
        self.note(&format!("runs {}", head.get("x-request-id").unwrap_or("")));
        connection.read_exact(head.content_length().unwrap_or(0), None)?;
        self.running.fetch_add(1, Ordering::AcqRel);
        thread::sleep(work);
        self.running.fetch_sub(1, Ordering::AcqRel);
        if self.has_ended() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let body = format!(
            "{} ran {}",
            self.name,
            head.get("x-request-id").unwrap_or("")
        );
        self.answer(connection, head, "200 OK", &[], body.as_bytes())?;
        self.note_answered(position);
        Ok(())
    }

    /// Sends a complete answer that echoes the request's id.
    pub fn answer(
        &self,
        connection: &mut Connection,
        head: &Head,
        status: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let running = self.running.load(Ordering::Acquire);
        let mut text = format!(
            "HTTP/1.1 {status}\r\nX-Instance-Id: {}\r\nX-Server-Load: {running},0,{SLOTS},100\r\n\
             Keep-Alive: timeout=10\r\nContent-Length: {}\r\n",
            self.name,
            body.len()
        );
        if let Some(id) = head.get("x-request-id") {
            text += &format!("X-Request-Id: {id}\r\n");
            if status.starts_with("200") {
                text += &format!("X-Server-Stamp: {}.{id}\r\n", self.name);
            }
        }
        for (name, value) in fields {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        connection.send(&bytes)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for (number, stream) in (0..).zip(listener.incoming()) {
            if self.has_ended() {
                return;
            }
            let Ok(stream) = stream else { continue };
            if let Ok(copy) = stream.try_clone() {
                lock(&self.connections).insert(number, copy);
            }
            let instance = Arc::clone(self);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut connection = Connection::new(stream);
                while let Ok(Some(head)) = connection.read_head(None) {
                    if instance.serve_request(&mut connection, &head).is_err() {
                        break;
                    }
                }
                lock(&instance.connections).remove(&number);
            });
        }
    }

    /// Serves one request: health checks and requests for another instance are answered here.
    fn serve_request(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        let (method, target) = head.request_line();
        if method == "GET" && target == "/health" {
            let status = match self.is_leaving.load(Ordering::Acquire) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            return self.answer(connection, head, status, &[], b"");
        }
        if head
            .get("x-expected-instance")
            .is_some_and(|name| name != self.name)
        {
            self.note_arrival(head, false);
            connection.read_exact(head.content_length().unwrap_or(0), None)?;
            return self.answer(connection, head, "421 Misdirected Request", &[], b"");
        }
        (self.serve)(self, connection, head)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
    }
}
