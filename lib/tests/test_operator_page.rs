//! The phone page, as a browser without script uses it.

use std::time::Duration;

use indexmap::IndexMap;
use sardinewood::config::Config;
use sardinewood::operator::html::escape;
use serde_json::json;

use testutils::store_stand_in::StoreFaults;

use crate::operator_fixture::Operators;
use crate::operator_fixture::READ_TOKEN;
use crate::operator_fixture::WRITE_TOKEN;

type Fields = IndexMap<String, String>;

/// A browser that is signed in.
struct Phone<'a> {
    operators: &'a Operators,
    token: &'static str,
}

impl Phone<'_> {
    async fn get(&self, path: &str) -> (u16, String) {
        let request = self
            .operators
            .http
            .get(format!("{}{path}", self.operators.url));
        self.send(request).await
    }

    async fn post(&self, path: &str, fields: &Fields) -> (u16, String) {
        let request = self
            .operators
            .http
            .post(format!("{}{path}", self.operators.url));
        let body = serde_urlencoded::to_string(fields).unwrap();
        let form = "application/x-www-form-urlencoded";
        self.send(request.header("content-type", form).body(body))
            .await
    }

    async fn send(&self, request: reqwest::RequestBuilder) -> (u16, String) {
        let cookie = format!("other=1; sardinewood_operator={}", self.token);
        let response = request.header("cookie", cookie).send().await.unwrap();
        let status = response.status().as_u16();
        (status, response.text().await.unwrap())
    }

    /// Opens the page that asks for confirmation, and fills in the reason.
    async fn drain_form(&self, reason: &str) -> Fields {
        let (status, html) = self.get("/upstreams/lang-1/drain").await;
        assert_eq!(status, 200);
        let mut fields = fields_of(&html);
        fields.insert("reason".into(), reason.into());
        fields
    }
}

/// The fields of the form on a page, as the browser sends them back.
fn fields_of(html: &str) -> Fields {
    let inputs = html.split("<input ").skip(1);
    let attribute = |input: &str, name: &str| {
        let rest = input.split_once(&format!("{name}=\""))?.1;
        Some(unescape(rest.split_once('"')?.0))
    };
    let fields = inputs.filter_map(|input| {
        let input = input.split_once('>')?.0;
        Some((attribute(input, "name")?, attribute(input, "value")?))
    });
    fields.collect()
}

fn unescape(text: &str) -> String {
    let text = text.replace("&quot;", "\"").replace("&#39;", "'");
    text.replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&amp;", "&")
}

/// An operators' port with one upstream of version 3.
async fn with_upstream() -> Operators {
    let operators = Operators::new(None, Config::default()).await;
    let upstream = json!({
        "name": "lang-1", "data_centre": "wdh-1", "url": "http://127.0.0.1:9000", "slots": 8,
        "agent_address": "127.0.0.1:9101", "serves": {"models": ["small"]},
    });
    let asked = json!({
        "id": "c0", "kind": "upstreams", "name": "lang-1", "expected": "absent",
        "action": {"put": upstream}, "reason": "new",
    });
    assert_eq!(operators.change(WRITE_TOKEN, &asked).await.0, 200);
    operators
}

fn phone<'a>(operators: &'a Operators, token: &'static str) -> Phone<'a> {
    Phone { operators, token }
}

fn activity(operators: &Operators) -> String {
    let object = operators.store.object("upstreams", "lang-1").unwrap();
    let activity = object.value["spec"]["activity"].as_str();
    activity.unwrap_or("active").to_owned()
}

#[tokio::test]
async fn page_without_a_known_token_shows_the_way_in() {
    let operators = Operators::new(None, Config::default()).await;
    let stranger = phone(&operators, "guess");
    let (status, html) = stranger.get("/").await;
    assert_eq!((status, html.as_str()), (303, ""));
    let wrong = Fields::from([("token".to_owned(), "guess".to_owned())]);
    assert_eq!(stranger.post("/login", &wrong).await.0, 401);
    let request = operators.http.post(format!("{}/login", operators.url));
    let response = request.body(format!("token={WRITE_TOKEN}"));
    let response = response.header("content-type", "application/x-www-form-urlencoded");
    let response = response.send().await.unwrap();
    assert_eq!(response.status(), 303);
    let cookie = response.headers()["set-cookie"].to_str().unwrap();
    assert!(cookie.contains("HttpOnly; SameSite=Strict"), "{cookie}");
}

#[tokio::test]
async fn page_drain_says_what_it_will_do_before_it_does_it() {
    let operators = with_upstream().await;
    let selma = phone(&operators, WRITE_TOKEN);
    let (_, html) = selma.get("/upstreams/lang-1/drain").await;
    assert!(
        html.contains("gets no new work; what runs there is finished"),
        "{html}"
    );
    assert!(html.contains("NO slots are left for model small"), "{html}");
    assert!(html.contains("0 requests run there"), "{html}");
    assert_eq!(activity(&operators), "active", "a look changes nothing");
    let form = selma.drain_form("slow disk").await;
    let (_, html) = selma.post("/change", &form).await;
    assert!(html.contains("<b>Accepted</b> as version 4"), "{html}");
    assert!(html.contains("In force on <b>1 of 2</b>"), "{html}");
    assert!(
        html.contains("<li>lang-1</li>"),
        "its agent was never heard: {html}"
    );
    assert_eq!(activity(&operators), "draining");
    let (_, html) = selma.get("/").await;
    assert!(html.contains("an operator drains it"), "{html}");
}

#[tokio::test]
async fn page_two_phones_second_sees_what_the_first_changed() {
    // Both operators have the confirmation open. The first one stops the upstream, then the
    // second one drains it. The second sees that it is stopped, by whom and why; nothing is
    // overwritten. A second tap on the first one's button is the same change.
    let operators = with_upstream().await;
    let selma = phone(&operators, WRITE_TOKEN);
    let second = selma.drain_form("slow disk").await;
    let (_, html) = selma.get("/upstreams/lang-1/stop").await;
    let mut first = fields_of(&html);
    first.insert("reason".into(), "smoke & <b>fire</b>".into());
    for _ in 0..2 {
        let (_, html) = selma.post("/change", &first).await;
        assert!(html.contains("<b>Accepted</b> as version 4"), "{html}");
    }
    let (_, html) = selma.post("/change", &second).await;
    assert!(html.contains("Nothing was changed by you"), "{html}");
    assert!(
        html.contains("selma changed it: smoke &amp; &lt;b&gt;fire&lt;/b&gt;"),
        "{html}"
    );
    assert!(
        html.contains("activity: nothing is now &quot;stopped&quot;"),
        "{html}"
    );
    assert_eq!(activity(&operators), "stopped");
}

#[tokio::test]
async fn page_lost_answer_offers_to_ask_again() {
    // The answer of the write is lost and the replica that is read has stopped: the page says
    // that it is not known, and its button asks about the same change.
    let operators = with_upstream().await;
    let selma = phone(&operators, WRITE_TOKEN);
    let form = selma.drain_form("slow disk").await;
    operators.store.set_read_lag(Duration::MAX);
    operators.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let (_, html) = selma.post("/change", &form).await;
    assert!(html.contains("<b>Not known yet.</b>"), "{html}");
    let again = fields_of(&html);
    operators.store.set_faults(StoreFaults {
        outage: true,
        ..StoreFaults::default()
    });
    let (_, html) = selma.post("/change", &again).await;
    assert!(html.contains("<b>Not known yet.</b>"), "still not: {html}");
    operators.store.set_faults(StoreFaults::default());
    operators.store.set_read_lag(Duration::ZERO);
    let (_, html) = selma.post("/change", &again).await;
    assert!(html.contains("<b>Accepted</b> as version 4"), "{html}");
}

#[tokio::test]
async fn page_form_from_another_site_or_reader_changes_nothing() {
    let operators = with_upstream().await;
    let selma = phone(&operators, WRITE_TOKEN);
    let form = selma.drain_form("slow disk").await;
    let petrus = phone(&operators, READ_TOKEN);
    let own = petrus.drain_form("slow disk").await;
    assert_eq!(petrus.post("/change", &own).await.0, 403);
    for key in ["", own["key"].as_str()] {
        let mut forged = form.clone();
        forged.insert("key".into(), key.into());
        assert_eq!(selma.post("/change", &forged).await.0, 403);
    }
    assert_eq!(activity(&operators), "active");
}

#[tokio::test]
async fn page_profile_form_makes_and_refuses_profiles() {
    let operators = Operators::new(None, Config::default()).await;
    let selma = phone(&operators, WRITE_TOKEN);
    let (_, html) = selma.get("/profile?name=lookup").await;
    let mut form = fields_of(&html);
    form.shift_remove("non_idempotent");
    form.insert("tier".into(), "2".into());
    form.insert("deadline_ms".into(), "soon".into());
    let (_, html) = selma.post("/check-profile", &form).await;
    assert!(html.contains("<b>Refused.</b>"), "{html}");
    assert!(html.contains("profiles/lookup: deadline_ms"), "{html}");
    form.insert("deadline_ms".into(), "4000".into());
    form.insert("concurrent".into(), "5".into());
    let (_, html) = selma.post("/check-profile", &form).await;
    let mut form = fields_of(&html);
    form.insert("reason".into(), "lookups wait".into());
    let (_, html) = selma.post("/change", &form).await;
    assert!(html.contains("<b>Accepted</b>"), "{html}");
    let object = operators.store.object("profiles", "lookup").unwrap();
    assert_eq!(object.value["spec"]["limits"]["concurrent"], 5);
    assert_eq!(object.value["spec"]["deadline_ms"], 4_000);
    let (_, html) = selma.get("/audit").await;
    assert!(html.contains("selma changed it: lookups wait"), "{html}");
}

#[tokio::test]
async fn page_never_shows_a_token() {
    let operators = with_upstream().await;
    let selma = phone(&operators, WRITE_TOKEN);
    let paths = [
        "/",
        "/upstreams/lang-1",
        "/upstreams/lang-1/stop",
        "/profiles",
        "/audit",
        "/gone",
    ];
    for path in paths {
        let (_, html) = selma.get(path).await;
        assert!(!html.contains(WRITE_TOKEN), "{path}");
        assert!(
            html.contains("width=device-width") && !html.contains("<script"),
            "{path}"
        );
    }
}

proptest::proptest! {
    /// Whatever an operator writes as a reason, it stays text on another operator's page.
    #[test]
    fn escape_leaves_no_markup(text in ".{0,60}") {
        let escaped = escape(&text);
        proptest::prop_assert!(!escaped.contains(['<', '>', '"', '\'']));
        proptest::prop_assert_eq!(unescape(&escaped), text);
    }
}
