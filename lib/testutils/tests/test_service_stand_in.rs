//! The plain service.

use poem::http::StatusCode;
use reqwest::Client;
use reqwest::Method;
use testutils::service_stand_in::ServiceStandIn;

#[tokio::test]
async fn echo_returns_and_records_the_whole_call() {
    let service = ServiceStandIn::spawn().await.unwrap();
    let response = Client::new()
        .request(Method::PATCH, format!("{}/a/b?c=d", service.url()))
        .header("Content-Type", "text/x-letter")
        .header("X-Request-Id", "r1")
        .body(vec![0, 255, 10])
        .send()
        .await
        .unwrap();
    assert_eq!(response.headers()["X-Echo-Method"], "PATCH");
    assert_eq!(response.headers()["X-Echo-Path"], "/a/b?c=d");
    assert_eq!(response.headers()["Content-Type"], "text/x-letter");
    assert_eq!(response.bytes().await.unwrap().as_ref(), [0, 255, 10]);
    assert_eq!(service.calls_of("r1"), 1);
    assert_eq!(service.calls()[0].path, "/a/b?c=d");
}

#[tokio::test]
async fn fail_next_fails_so_many_calls() {
    let service = ServiceStandIn::spawn().await.unwrap();
    service.fail_next(1, StatusCode::BAD_GATEWAY);
    let mut statuses = Vec::new();
    for _ in 0..2 {
        let response = Client::new().get(service.url()).send().await.unwrap();
        statuses.push(response.status().as_u16());
    }
    assert_eq!(statuses, [502, 200]);
}

#[tokio::test]
async fn lose_next_answers_runs_the_call() {
    let service = ServiceStandIn::spawn().await.unwrap();
    service.lose_next_answers(1);
    let call = Client::new().post(service.url());
    let lost = call.header("X-Request-Id", "r1").send().await;
    assert!(lost.is_err());
    assert_eq!(service.calls_of("r1"), 1);
}
