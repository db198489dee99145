//! An instance of a service, as the pages describe it: it announces itself to the node on its
//! machine, runs requests and answers health checks.

use crate::{
    deployment::unix_ms,
    http::{exchange, read_message, write_message, Message},
    record::Record,
};
use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub caller: String,
    pub at: Instant,
}

pub struct Instance {
    pub id: String,
    pub service: String,
    address: SocketAddr,
    reports_to: SocketAddr,
    born: u128,
    slots: u32,
    sequence: AtomicU64,
    pub is_draining: AtomicBool,
    is_stopped: AtomicBool,
    runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
    work: Duration,
    record: Record,
}

impl Instance {
    /// Starts an instance that sends a heartbeat every 1.5 s.
    pub fn start(
        id: &str,
        service: &str,
        (address, reports_to): (SocketAddr, SocketAddr),
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let instance = Arc::new(Instance {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            reports_to,
            born: unix_ms(),
            slots: 6,
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            runs: Mutex::default(),
            streams: Mutex::default(),
            work,
            record: record.clone(),
        });
        let serving = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.streams.lock().unwrap().push(copy);
                }
                let instance = Arc::clone(&serving);
                thread::spawn(move || instance.serve(stream));
            }
        });
        let reporting = Arc::clone(&instance);
        thread::spawn(move || {
            while !reporting.is_stopped.load(Ordering::Relaxed) {
                let _ = reporting.report();
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        Ok(instance)
    }

    /// Sends one heartbeat; returns the status of the answer.
    pub fn report(&self) -> Option<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let state = match self.is_draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            r#"{{"address":"{}","information":{{"service":"{}","version":"v1","zone":"zone-a","slots":{}}},"status":{{"state":"{state}","sequence":{sequence},"cold_remaining_ms":0}},"born":{}}}"#,
            self.address, self.service, self.slots, self.born
        );
        let path = format!("/instances/{}", self.id);
        let fields = [("Content-Type", "application/json".to_owned())];
        let reply = exchange(
            self.reports_to,
            "PUT",
            &path,
            &fields,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let status = reply.ok().map(|reply| reply.status);
        self.record.line(format!(
            "heartbeat of {} ({state}, {sequence}): {status:?}",
            self.id
        ));
        status
    }

    /// Sends its `DELETE` and exits: its connections end, and nothing listens any more.
    pub fn exit(&self) {
        let path = format!("/instances/{}", self.id);
        let reply = exchange(
            self.reports_to,
            "DELETE",
            &path,
            &[],
            b"",
            Duration::from_secs(1),
        );
        let status = reply.ok().map(|reply| reply.status);
        self.record
            .line(format!("DELETE of {}: {status:?}", self.id));
        self.is_stopped.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Ends the loop that accepts connections.
        let _ = TcpStream::connect(self.address);
        self.record.line(format!("instance {} has ended", self.id));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let target = request
            .first_line
            .split(' ')
            .nth(1)
            .unwrap_or("")
            .to_owned();
        if target == "/health" {
            let status = match self.is_draining.load(Ordering::Relaxed) {
                true => "HTTP/1.1 503 Draining",
                false => "HTTP/1.1 200 OK",
            };
            let fields = [
                ("X-Instance-Id", self.id.clone()),
                ("X-Server-Load", format!("0,0,{}", self.slots)),
            ];
            return write_message(writer, status, &fields, b"");
        }
        let id = request.field("X-Request-Id").unwrap_or("").to_owned();
        let expected = request.field("X-Expected-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let fields = [("X-Request-Id", id), ("X-Not-Executed", "1".to_owned())];
            return write_message(writer, "HTTP/1.1 421 Misdirected", &fields, b"");
        }
        let caller = request.field("X-Caller-Service").unwrap_or("").to_owned();
        self.record.line(format!(
            "instance {} of {} runs {id}: {}, X-Caller-Service {caller:?}",
            self.id, self.service, request.first_line
        ));
        let at = Instant::now();
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            caller,
            at,
        });
        thread::sleep(self.work);
        let fields = [
            ("X-Request-Id", id.clone()),
            ("X-Server-Stamp", format!("{}.{id}", self.id)),
        ];
        write_message(
            writer,
            "HTTP/1.1 200 OK",
            &fields,
            format!("done {id}").as_bytes(),
        )
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}
