//! Metrics as a collector receives them.

use std::net::UdpSocket;
use std::time::Duration;

use sardinewood::metrics::Metrics;
use sardinewood::objects::Tier;

/// Longer than any healthy run takes; a lost datagram fails the test here.
const GENEROUS: Duration = Duration::from_secs(20);

#[test]
fn over_udp_collector_receives_tagged_metrics() {
    let collector = UdpSocket::bind("127.0.0.1:0").unwrap();
    collector.set_read_timeout(Some(GENEROUS)).unwrap();
    let metrics = Metrics::to(Some(collector.local_addr().unwrap()), "wdh-e1", "wdh").unwrap();
    metrics.count("entry.link_lost", 2);
    metrics.count_tier("entry.done", Tier(3), 1);
    metrics.gauge("entry.waiting", 7);
    metrics.time_tier("entry.first_byte", Tier(0), 12);

    let expected = [
        "sardinewood.entry.link_lost:2|c|#host:wdh-e1,data_centre:wdh",
        "sardinewood.entry.done:1|c|#host:wdh-e1,data_centre:wdh,tier:3",
        "sardinewood.entry.waiting:7|g|#host:wdh-e1,data_centre:wdh",
        "sardinewood.entry.first_byte:12|ms|#host:wdh-e1,data_centre:wdh,tier:0",
    ];
    let mut received = Vec::new();
    let mut buffer = [0; 2048];
    while received.len() < expected.len() {
        metrics.flush();
        let length = collector.recv(&mut buffer).unwrap();
        let text = String::from_utf8(buffer[..length].to_vec()).unwrap();
        received.extend(text.lines().map(str::to_owned));
    }
    assert_eq!(received, expected);
}
