//! What an instance answers for a path that no route takes, while it hears of no changes: the
//! route may be there by now.

mod common;

use common::program;
use standins::scene::{SERVICE, look_route, start_target};
use standins::site::{RouteSpec, Site, TestRequest};
use standins::store::Trouble;
use standins::wait::wait_until;

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_hears_of_no_changes_does_not_say_that_a_route_is_missing() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &[look_route()], &[SERVICE]);
    let instance = site.ready_instance("e-1", "a-1").await;
    instance.wait_status("/look/a", 200).await;
    instance.wait_status("/new/x", 404).await;
    site.endpoint.set(Trouble::Silent);
    wait_until("a stale view", || !instance.events("view_stale").is_empty()).await;
    site.configure(2, &[look_route(), RouteSpec::new("/new/", "safe", SERVICE)], &[SERVICE]);
    let request = TestRequest::get("/new/x");
    let answer = request.send(instance.callers).await.unwrap();
    assert_eq!(answer.status, 503, "the route is there, and this instance cannot know");
    assert_eq!(answer.header("retry-after"), "0", "another instance may know");
    assert_eq!(instance.request_line(&request.id).await["outcome"], "stale-routes");
    assert_eq!(TestRequest::get("/look/a").send(instance.callers).await.unwrap().status, 200);
    site.endpoint.set(Trouble::None);
    instance.wait_status("/new/x", 200).await;
    instance.wait_status("/nowhere/x", 404).await;
}
