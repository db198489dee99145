//! Guards the frame decoder against panics, forged or replayed frames and unbounded memory.

use mesh::{
    Channel, Frame, FrameDecoder, FrameEncoder, FrameError, FrameKind, HEADER_BYTES,
    MAX_FRAGMENT_BYTES, MessageAssembler,
};
use proptest::{collection::vec, prelude::*};

const KEY: [u8; 32] = [7; 32];

fn encode_frames(payloads: &[Vec<u8>]) -> Vec<u8> {
    let mut encoder = FrameEncoder::new(KEY);
    let mut bytes = Vec::new();
    for (id, payload) in payloads.iter().enumerate() {
        encoder.encode(
            &mut bytes,
            FrameKind::Request,
            Channel::Call,
            id as u64,
            payload,
            false,
        );
    }
    bytes
}

fn decode_all(decoder: &mut FrameDecoder, bytes: &[u8]) -> (Vec<Frame>, Result<usize, FrameError>) {
    let (mut frames, mut start) = (Vec::new(), 0);
    loop {
        match decoder.decode(&bytes[start..]) {
            Ok(Some((frame, length))) => {
                frames.push(frame);
                start += length;
            }
            Ok(None) => return (frames, Ok(start)),
            Err(error) => return (frames, Err(error)),
        }
    }
}

fn request_frame(id: u64, size: usize, more: bool) -> Frame {
    Frame {
        kind: FrameKind::Request,
        channel: Channel::Call,
        id,
        has_more: more,
        payload: vec![1; size],
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_yield_no_frames(bytes in vec(any::<u8>(), 0..2_000)) {
        let (frames, _) = decode_all(&mut FrameDecoder::new(KEY), &bytes);
        prop_assert!(frames.is_empty());
    }

    #[test]
    fn round_trip(payloads in vec(vec(any::<u8>(), 0..300), 0..20), cut in any::<prop::sample::Index>()) {
        let bytes = encode_frames(&payloads);
        let mut decoder = FrameDecoder::new(KEY);
        let cut = cut.index(bytes.len() + 1);
        let (mut frames, used) = decode_all(&mut decoder, &bytes[..cut]);
        let (rest, end) = decode_all(&mut decoder, &bytes[used.unwrap()..]);
        end.unwrap();
        frames.extend(rest);
        let got: Vec<_> = frames.into_iter().map(|frame| frame.payload).collect();
        prop_assert_eq!(got, payloads);
    }

    #[test]
    fn altered_byte_is_detected(
        payloads in vec(vec(any::<u8>(), 0..50), 1..5),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        let mut bytes = encode_frames(&payloads);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let (frames, _) = decode_all(&mut FrameDecoder::new(KEY), &bytes);
        prop_assert!(frames.len() < payloads.len());
        for (frame, payload) in frames.iter().zip(&payloads) {
            prop_assert_eq!(&frame.payload, payload);
        }
    }

    #[test]
    fn incomplete_messages_are_bounded(
        pieces in vec((0..5_u64, 0..400_usize, any::<bool>()), 0..100),
    ) {
        let mut assembler = MessageAssembler::new(500, 1_000);
        for (id, size, more) in pieces {
            match assembler.push(request_frame(id, size, more)) {
                Ok(Some(message)) => prop_assert!(message.payload.len() <= 500),
                Ok(None) => {}
                Err(_) => break,
            }
            prop_assert!(assembler.buffered_bytes() <= 1_000);
        }
    }
}

#[test]
fn replayed_or_reordered_frames_are_rejected() {
    let first = encode_frames(&[b"one".to_vec()]);
    let both = encode_frames(&[b"one".to_vec(), b"two".to_vec()]);
    let second = &both[first.len()..];
    let replay = [first.as_slice(), &first].concat();
    assert_eq!(
        decode_all(&mut FrameDecoder::new(KEY), &replay).1,
        Err(FrameError::OutOfSequence)
    );
    assert_eq!(
        decode_all(&mut FrameDecoder::new(KEY), second).1,
        Err(FrameError::OutOfSequence)
    );
    assert_eq!(
        decode_all(&mut FrameDecoder::new([8; 32]), &first).1,
        Err(FrameError::BadTag)
    );
}

#[test]
fn oversized_length_is_rejected() {
    let mut bytes = vec![0; HEADER_BYTES];
    bytes[..4].copy_from_slice(&(MAX_FRAGMENT_BYTES as u32 + 1).to_be_bytes());
    assert_eq!(
        FrameDecoder::new(KEY).decode(&bytes),
        Err(FrameError::TooLarge)
    );
}
