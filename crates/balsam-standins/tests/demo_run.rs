//! The demonstration, which is the first command that a new contributor runs.

use balsam_standins::demo::run_demo;

/// Guards against a demonstration that no longer serves its requests.
#[actix_rt::test]
async fn demo_serves_all() {
    run_demo().await.unwrap();
}
