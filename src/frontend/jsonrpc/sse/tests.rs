//! Unit tests of the event decoder.

use super::*;

#[test]
fn events_are_decoded_wherever_the_byte_stream_is_split() {
    let wire = b": hello\r\ndata: {\"a\":1}\r\n\r\nevent: x\ndata: one\ndata: two\n\ndata: rest";
    for split in 0..wire.len() {
        let mut decoder = SseDecoder::default();
        let mut events = Vec::new();
        for part in [&wire[..split], &wire[split..]] {
            decoder.push(part).unwrap();
            while let Some(event) = decoder.next_event().unwrap() {
                events.push(event);
            }
        }
        assert_eq!(events, ["{\"a\":1}", "one\ntwo"], "split at {split}");
    }
}
