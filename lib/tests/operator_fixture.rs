//! An entry's operator port before a store, with a token for each role.

use reqwest::RequestBuilder;
use sardinewood::config::Config;
use sardinewood::config::follow::WatchTimings;
use sardinewood::config::follow::follow;
use sardinewood::config::spread_link::SpreadHandle;
use sardinewood::operator;
use sardinewood::operator::api::OperatorApi;
use sardinewood::secrets::sha256_hex;
use sardinewood::store::StoreClient;
use serde_json::Value;
use serde_json::json;
use testutils::store_stand_in::StoreStandIn;
use tokio_util::sync::CancellationToken;

pub const WRITE_TOKEN: &str = "write-token-of-selma";
pub const READ_TOKEN: &str = "read-token-of-petrus";

pub struct Operators {
    pub store: StoreStandIn,
    pub http: reqwest::Client,
    pub url: String,
    stop: CancellationToken,
}

impl Operators {
    /// Starts the port; `spread` knows the other processes.
    pub async fn new(spread: Option<SpreadHandle>, config: Config) -> Self {
        let store = StoreStandIn::spawn().await.unwrap();
        for (name, role, token) in [
            ("selma", "write", WRITE_TOKEN),
            ("petrus", "read", READ_TOKEN),
        ] {
            let operator = json!({"name": name, "role": role, "token_sha256": [sha256_hex(token)]});
            store.seed("operators", name, operator);
        }
        let client = StoreClient::new(&store.url()).unwrap();
        let timings = WatchTimings::default();
        tokio::spawn(follow(client.clone(), config.clone(), timings));
        let mut catalog = config.catalog();
        let ready = catalog.wait_for(|catalog| catalog.operators.len() == 2);
        ready.await.unwrap();
        let api = OperatorApi {
            spread,
            ..OperatorApi::new("entry-1", config.clone(), client)
        };
        let stop = CancellationToken::new();
        let address = "127.0.0.1:0".parse().unwrap();
        let address = operator::server::spawn(address, api, stop.clone())
            .await
            .unwrap();
        let no_redirect = reqwest::redirect::Policy::none();
        Self {
            store,
            http: reqwest::Client::builder()
                .redirect(no_redirect)
                .build()
                .unwrap(),
            url: format!("http://{address}"),
            stop,
        }
    }

    pub async fn get(&self, path: &str) -> (u16, Value) {
        let request = self.http.get(format!("{}{path}", self.url));
        answer(request.bearer_auth(READ_TOKEN)).await
    }

    pub async fn change(&self, token: &str, change: &Value) -> (u16, Value) {
        let request = self.http.post(format!("{}/v1/changes", self.url));
        answer(request.bearer_auth(token).json(change)).await
    }
}

impl Drop for Operators {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

pub async fn answer(request: RequestBuilder) -> (u16, Value) {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.json().await.unwrap())
}
