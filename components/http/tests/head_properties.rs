//! The parsers must not panic or use unbounded memory on arbitrary bytes.

use chunked_transfer::Encoder;
use http::{BodyDecoder, Framing, parse_request_head, parse_response_head};
use proptest::{collection::vec, prelude::*};
use std::io::Write;

const MAX_HEAD: usize = 256;
const MAX_BODY: usize = 512;

/// Byte sequences built from pieces of HTTP, so that many get past the first line.
fn wire_bytes() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"GET / HTTP/1.1\r\n".to_vec()),
        Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
        Just(b"host: a\r\n".to_vec()),
        Just(b"content-length: 9\r\n".to_vec()),
        Just(b"transfer-encoding: chunked\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"ffffffffffffffff\r\n".to_vec()),
        Just(b"3\r\nabc\r\n0\r\n\r\n".to_vec()),
        vec(any::<u8>(), 0..20),
    ];
    vec(piece, 0..20).prop_map(|pieces| pieces.concat())
}

/// Passes the bytes in pieces of these lengths, repeated as needed; false if they are invalid.
fn decode_in_pieces(decoder: &mut BodyDecoder, bytes: &[u8], piece_lengths: &[usize]) -> bool {
    let (mut start, mut end) = (0, 0);
    let mut piece_lengths = piece_lengths.iter().cycle();
    while end < bytes.len() {
        end = (end + piece_lengths.next().unwrap()).min(bytes.len());
        match decoder.decode(&bytes[start..end]) {
            Ok(consumed) => start += consumed,
            Err(_) => return false,
        }
    }
    true
}

proptest! {
    #[test]
    fn request_heads(bytes in wire_bytes()) {
        if let Ok(Some(head)) = parse_request_head(&bytes, MAX_HEAD, MAX_BODY) {
            prop_assert!(head.head_bytes <= MAX_HEAD.min(bytes.len()));
            prop_assert!(!matches!(head.framing, Framing::Length(length) if length > MAX_BODY));
            prop_assert!(head.framing != Framing::UntilClose);
        } else if bytes.len() >= MAX_HEAD {
            prop_assert!(parse_request_head(&bytes, MAX_HEAD, MAX_BODY).is_err());
        }
    }

    #[test]
    fn response_heads(bytes in wire_bytes(), is_head in any::<bool>()) {
        if let Ok(Some(head)) = parse_response_head(&bytes, is_head, MAX_HEAD, MAX_BODY) {
            prop_assert!(head.head_bytes <= MAX_HEAD.min(bytes.len()));
            prop_assert!(!is_head || head.framing == Framing::Empty);
        }
    }

    #[test]
    fn bodies(bytes in wire_bytes(), piece_lengths in vec(1..50_usize, 1..10)) {
        for framing in [Framing::Chunked, Framing::Length(9), Framing::UntilClose] {
            let mut decoder = BodyDecoder::new(framing, MAX_BODY);
            decode_in_pieces(&mut decoder, &bytes, &piece_lengths);
            let body = decoder.into_body();
            prop_assert!(body.len() <= MAX_BODY);
            prop_assert!(body.capacity() <= 2 * MAX_BODY);
        }
    }

    /// Bodies of an independent encoder decode to the same bytes for any split into pieces, and the
    /// bytes of the next message are not consumed.
    #[test]
    fn chunked_bodies(
        body in vec(any::<u8>(), 0..MAX_BODY),
        size in 1..100_usize,
        piece_lengths in vec(1..50_usize, 1..10),
    ) {
        let mut wire = Vec::new();
        Encoder::with_chunks_size(&mut wire, size).write_all(&body).unwrap();
        let mut decoder = BodyDecoder::new(Framing::Chunked, MAX_BODY);
        prop_assert!(decode_in_pieces(&mut decoder, &wire[..wire.len() - 1], &piece_lengths));
        prop_assert!(!decoder.is_complete());
        let mut decoder = BodyDecoder::new(Framing::Chunked, MAX_BODY);
        prop_assert!(decode_in_pieces(&mut decoder, &wire, &piece_lengths));
        prop_assert!(decoder.is_complete());
        prop_assert_eq!(decoder.decode(b"GET").unwrap(), 0);
        prop_assert_eq!(decoder.into_body(), body);
    }
}

#[test]
fn declared_length_reserves_little() {
    let decoder = BodyDecoder::new(Framing::Length(1 << 40), 1 << 40);
    assert!(decoder.into_body().capacity() <= 64 * 1024);
}
