//! Every byte of an answer once, in order and whole, or an error.

use bytes::Bytes;
use sardinewood::answer::reader::AnswerFrame;
use sardinewood::answer::reader::AnswerReader;
use sardinewood::answer::reader::ReadStep;
use sardinewood::answer::reader::checksum;
use sardinewood::ids::AttemptId;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AnswerEnd;

const ATTEMPT: AttemptId = AttemptId {
    request: RequestId(1),
    number: 1,
};

fn head() -> AnswerFrame {
    AnswerFrame::Head {
        attempt: ATTEMPT,
        status: 200,
        headers: Vec::new(),
    }
}

fn data(offset_bytes: u64, bytes: &'static str) -> AnswerFrame {
    AnswerFrame::Data {
        attempt: ATTEMPT,
        offset_bytes,
        bytes: Bytes::from_static(bytes.as_bytes()),
    }
}

fn complete(body: &str) -> AnswerFrame {
    AnswerFrame::End {
        attempt: ATTEMPT,
        end: AnswerEnd::Complete {
            length_bytes: body.len() as u64,
            checksum: checksum(body.as_bytes()),
        },
    }
}

fn pass(bytes: &'static str) -> ReadStep {
    ReadStep::Pass(Bytes::from_static(bytes.as_bytes()))
}

#[test]
fn read_repeated_frames_passes_each_byte_once() {
    let mut reader = AnswerReader::new(ATTEMPT);
    reader.read(head());
    assert_eq!(reader.read(data(0, "dear")), pass("dear"));
    assert_eq!(reader.read(head()), ReadStep::Ignore);
    assert_eq!(reader.read(data(0, "dear")), ReadStep::Ignore);
    assert_eq!(reader.read(data(2, "ar sir")), pass(" sir"));
    assert_eq!(reader.read(complete("dear sir")), ReadStep::Whole);
    assert_eq!(reader.read(complete("dear sir")), ReadStep::Ignore);
}

#[test]
fn read_gap_resumes_once() {
    let mut reader = AnswerReader::new(ATTEMPT);
    reader.read(head());
    reader.read(data(0, "dear"));
    assert_eq!(
        reader.read(data(8, "!")),
        ReadStep::Resume { from_bytes: 4 }
    );
    assert_eq!(reader.read(data(9, "!")), ReadStep::Ignore);
    assert_eq!(reader.read(data(4, " sir")), pass(" sir"));
    assert_eq!(
        reader.read(data(9, "!")),
        ReadStep::Resume { from_bytes: 8 },
        "a new gap is asked for again"
    );
}

#[test]
fn read_end_before_last_bytes_resumes() {
    let mut reader = AnswerReader::new(ATTEMPT);
    reader.read(head());
    reader.read(data(0, "dear"));
    assert_eq!(
        reader.read(complete("dear sir")),
        ReadStep::Resume { from_bytes: 4 }
    );
}

#[test]
fn read_wrong_checksum_is_cut() {
    // The caller sees an error instead of a short or garbled success: the bytes came in
    // order and in the announced length, but one of them differs from what was sent.
    let mut reader = AnswerReader::new(ATTEMPT);
    reader.read(head());
    reader.read(data(0, "dear sir"));
    let step = reader.read(complete("dear fir"));
    assert!(
        matches!(step, ReadStep::Cut(AnswerEnd::Broken { .. })),
        "{step:?}"
    );
}

#[test]
fn read_other_attempt_is_ignored() {
    // The first attempt's bytes come late, after a second attempt has begun. Its caller
    // must get the second answer alone.
    let late = data(0, "late");
    let mut reader = AnswerReader::new(AttemptId {
        number: 2,
        ..ATTEMPT
    });
    assert_eq!(reader.read(late), ReadStep::Ignore);
    assert_eq!(reader.through_bytes(), 0);
}

#[test]
fn resume_after_doubt_reads_on() {
    let mut reader = AnswerReader::new(ATTEMPT);
    reader.read(head());
    reader.read(data(0, "dear"));
    let doubt = AnswerEnd::InDoubt {
        reason: "restarted".into(),
    };
    let end = AnswerFrame::End {
        attempt: ATTEMPT,
        end: doubt.clone(),
    };
    assert_eq!(reader.read(end), ReadStep::Cut(doubt));
    assert_eq!(reader.resume(), 4);
    assert_eq!(reader.read(data(4, " sir")), pass(" sir"));
    assert_eq!(reader.read(complete("dear sir")), ReadStep::Whole);
}
