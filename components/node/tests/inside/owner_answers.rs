//! Guards against an answer that an owner of an earlier build passes on although its status is none of
//! a final response.

use super::decode_answer;
use errors::ErrorKind;
use wire::{HttpMessage, encode};

fn answer(status: &str) -> Vec<u8> {
    encode(&HttpMessage {
        start_line: (status.to_owned(), "Odd".to_owned()),
        headers: vec![("x-stamp".to_owned(), "odd".to_owned())],
        body: b"odd".to_vec(),
    })
}

#[test]
fn no_final_status() {
    for status in ["0", "1", "99", "100", "199", "600", "999", "65535"] {
        let error = decode_answer(&answer(status)).unwrap_err();
        assert_eq!(error, ErrorKind::UpstreamLost, "status {status}");
    }
    for status in ["", "OK", "-200", "65536"] {
        let error = decode_answer(&answer(status)).unwrap_err();
        assert_eq!(error, ErrorKind::Internal, "status {status:?}");
    }
    for status in [200, 404, 599] {
        let response = decode_answer(&answer(&status.to_string())).unwrap();
        assert_eq!(response.status, status);
    }
}
