//! Connections that go silent or close.

use std::time::Duration;

use reqwest::Client;
use testutils::service_stand_in::ServiceStandIn;

/// Longer than any answer on loopback takes; a silent connection outlasts it.
const SILENCE: Duration = Duration::from_millis(200);

// The caller sees an open connection on which nothing arrives any more. Its client pools one
// connection; the switch silences that; the next call over it hangs, since nothing tells the
// client that the other end has lost track. A fresh connection works.
#[tokio::test]
async fn silence_all_leaves_new_connections_alone() {
    let service = ServiceStandIn::spawn().await.unwrap();
    let client = Client::new();
    client.get(service.url()).send().await.unwrap();
    service.connections().silence_all();
    let hanging = client.get(service.url()).timeout(SILENCE).send().await;
    assert!(hanging.unwrap_err().is_timeout());
    Client::new().get(service.url()).send().await.unwrap();
    assert_eq!(service.calls().len(), 2);
}

#[tokio::test]
async fn close_all_breaks_a_call_under_way() {
    let service = ServiceStandIn::spawn().await.unwrap();
    service.set_delay(Duration::from_secs(600));
    let call = tokio::spawn(Client::new().get(service.url()).send());
    while service.calls().is_empty() {
        tokio::task::yield_now().await;
    }
    service.connections().close_all();
    assert!(call.await.unwrap().is_err());
    assert_eq!(service.connections().open_count(), 0);
}

#[tokio::test]
async fn drop_refuses_connections() {
    let service = ServiceStandIn::spawn().await.unwrap();
    let url = service.url();
    drop(service);
    tokio::task::yield_now().await;
    assert!(Client::new().get(url).send().await.is_err());
}
