//! Options of `overhead`, and the scan that its caller rests on.

use lexopt::Parser;
use sardinewood_bench::load_client::EventScan;
use sardinewood_bench::overhead::Options;
use sardinewood_bench::overhead::parse;

#[test]
fn parse_defaults_are_the_future_peak() {
    let options = parse(Parser::from_args(Vec::<&str>::new()))
        .unwrap()
        .unwrap();
    assert_eq!(options, Options::default());
    assert_eq!(options.rate * u64::from(options.output_tokens), 360_400);
}

#[test]
fn parse_refuses_what_cannot_be_measured() {
    for wrong in [
        ["--rate", "0"],
        ["--seconds", "0"],
        ["--output-tokens", "8"],
    ] {
        assert!(parse(Parser::from_args(wrong)).is_err(), "{wrong:?}");
    }
}

#[test]
fn count_marks_split_anywhere_are_counted_once() {
    let stream = b"id: 0\ndata: {\"a\":1}\n\nid: 1\ndata: ddata: [DONE]\n\n";
    for cut in 0..stream.len() {
        let mut scan = EventScan::default();
        let (left, right) = stream.split_at(cut);
        assert_eq!(scan.count(left) + scan.count(right), 3, "cut at {cut}");
        assert!(scan.done, "cut at {cut}");
    }
}
