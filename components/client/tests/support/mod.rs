//! Fake operator port with scripted responses, and a runner for commands.
#![allow(dead_code)]

use std::{
    io::Cursor,
    net::{SocketAddr, TcpListener},
    process::ExitCode,
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
};
use tiny_http::{Response, Server};

/// Responses in order, as status and body; `None` closes the connection without a response.
pub(crate) type Script = Vec<Option<(u16, String)>>;

/// A server that sends the responses of its script in order and records the requests.
pub(crate) struct FakeOperatorPort {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl FakeOperatorPort {
    pub(crate) fn start(script: Script) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_ip().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (log, accepting) = (Arc::clone(&requests), Arc::clone(&server));
        let thread = thread::spawn(move || {
            let mut script = script.into_iter();
            while let Ok(mut request) = accepting.recv() {
                let mut body = String::new();
                request.as_reader().read_to_string(&mut body).unwrap();
                let token = request
                    .headers()
                    .iter()
                    .find(|header| header.field.equiv("authorization"))
                    .map_or(String::new(), |header| format!(" [{}]", header.value));
                let line = format!("{} {}{token} {body}", request.method(), request.url());
                log.lock().unwrap().push(line.trim_end().to_owned());
                match script.next() {
                    Some(Some((status, body))) => {
                        let response: Response<Cursor<Vec<u8>>> = Response::from_string(body);
                        request.respond(response.with_status_code(status)).unwrap();
                    }
                    Some(None) => drop(request.into_writer()),
                    None => request
                        .respond(Response::from_string("script ended").with_status_code(500))
                        .unwrap(),
                }
            }
        });
        FakeOperatorPort {
            address,
            requests,
            server,
            thread: Some(thread),
        }
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

impl Drop for FakeOperatorPort {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

/// An address where nothing listens.
pub(crate) fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

pub(crate) fn response(status: u16, body: &str) -> Option<(u16, String)> {
    Some((status, body.to_owned()))
}

/// Response to a change that was accepted as revision 2.`number`.
pub(crate) fn accepted_change(number: u64) -> Option<(u16, String)> {
    let body = format!(
        r#"{{"revision":{{"term":2,"number":{number}}},"profile_revision":{number},"change_id":"c-1"}}"#
    );
    response(200, &body)
}

pub(crate) fn error_response(status: u16, code: &str, detail: &str) -> Option<(u16, String)> {
    let body = format!(
        r#"{{"error":"{code}","message":"What happened.","detail":"{detail}","advice":"What to do."}}"#
    );
    response(status, &body)
}

/// Response to `GET /v1/profiles/browse`.
pub(crate) const PROFILE_ENTRY: &str = r#"{"profile":{"name":"browse","idempotent":true,"deadline_ms":800},"revision":4,"generation":1}"#;

fn exit_code_of(exit: ExitCode) -> u8 {
    let shown = format!("{exit:?}");
    let is_same = |code: &u8| format!("{:?}", ExitCode::from(*code)) == shown;
    (0..=255).find(is_same).unwrap()
}

/// Runs a command against `addresses`; returns its exit code, output and errors as one text, with
/// the addresses replaced by A, B and so on.
pub(crate) fn run_command(addresses: &[SocketAddr], line: &str) -> String {
    let list: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let env = |name: &str| match name {
        "GYARD_OPERATORS" if !list.is_empty() => Some(list.join(",")),
        "GYARD_OPERATOR_TOKEN" => Some("secret-token".to_owned()),
        _ => None,
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = line.split_whitespace().map(str::to_owned);
    let exit = client::run(args, env, &mut out, &mut err);
    let (out, err) = (
        String::from_utf8(out).unwrap(),
        String::from_utf8(err).unwrap(),
    );
    let mut text = format!(
        "$ gyard {line}\n{out}{err}exit code {}\n",
        exit_code_of(exit)
    );
    assert!(!text.contains("secret-token"), "{text}");
    for (address, letter) in list.iter().zip('A'..) {
        text = text.replace(address, &letter.to_string());
    }
    text
}
