//! Output tokens counted while an answer passes through.

use sardinewood::answer::length::AnswerLength;

#[test]
fn output_tokens_stream_cut_anywhere_counts_whole_events() {
    let body = b"id: 0\ndata: {}\n\nid: 1\ndata: {}\n\ndata: [DONE]\n\n";
    for cut in 0..body.len() {
        let mut length = AnswerLength::new(true);
        length.read(&body[..cut]);
        length.read(&body[cut..]);
        assert_eq!(length.output_tokens(), Some(2), "cut at {cut}");
    }
}

#[test]
fn output_tokens_plain_long_answer_reads_the_end() {
    let mut length = AnswerLength::new(false);
    for _ in 0..100 {
        length.read(&[b'x'; 700]);
    }
    length.read(b"\"usage\": {\"completion_tokens\" : 7, \"total_tokens\": 9}}");
    assert_eq!(length.output_tokens(), Some(7));
}

#[test]
fn output_tokens_plain_without_usage_is_unknown() {
    let mut length = AnswerLength::new(false);
    length.read(b"{\"ok\": true}");
    assert_eq!(length.output_tokens(), None);
}
