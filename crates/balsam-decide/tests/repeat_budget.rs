//! Tests the retry budget and which requests may be retried.

use balsam_decide::attempts::{AttemptTracker, Ending, Step};
use balsam_decide::budget::{Budget, BudgetTerms};
use balsam_decide::pool::Verdict;
use balsam_types::{RouteKind, ServiceName, TimeMs};
use rstest::rstest;

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 60.0,
    daemons: 10,
};

/// Guards against retries of all daemons together that exceed the budget in some window, also one
/// that does not start at a bucket boundary.
#[test]
fn any_window() {
    let service = ServiceName::new("files").expect("a valid name");
    let mut budget = Budget::new(TERMS);
    let mut taken: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for ms in (0..60_000).step_by(7) {
        if ms % 21 == 0 && !(20_000..40_000).contains(&ms) {
            budget.count_request(TimeMs(ms), &service);
            requests.push(ms);
        }
        if budget.take(TimeMs(ms), &service) {
            taken.push(ms);
        }
    }
    for start in (0..50_000).step_by(130) {
        let within = |at: &&u64| (start..start + 10_000).contains(*at);
        let earlier = |at: &&u64| (start.saturating_sub(10_000)..start).contains(*at);
        let now = requests.iter().filter(within).count();
        let before = requests.iter().filter(earlier).count();
        let allowed = 0.2 * now.max(before) as f64 + 60.0 / 10.0;
        let retries = taken.iter().filter(within).count();
        assert!(
            retries as f64 <= allowed,
            "{retries} of {allowed} from {start} ms"
        );
    }
}

/// Guards against a retry of an order that may have been executed, and against telling the caller
/// that such a request was not executed.
#[rstest]
#[case::shed(RouteKind::Order, Verdict::Shed, Step::Retry)]
#[case::not_held(RouteKind::Order, Verdict::NotHeld, Step::Retry)]
#[case::unreachable(RouteKind::Order, Verdict::Unreachable, Step::Retry)]
#[case::surplus(RouteKind::Order, Verdict::Surplus, Step::Retry)]
#[case::broken(RouteKind::Order, Verdict::Broken, Step::End(Ending::Unknown))]
#[case::failed(RouteKind::Order, Verdict::Failed, Step::Deliver)]
#[case::late(RouteKind::Order, Verdict::TimedOut, Step::End(Ending::Late))]
#[case::dropped(RouteKind::Order, Verdict::Dropped, Step::End(Ending::NotRun))]
#[case::read_broken(RouteKind::Idempotent, Verdict::Broken, Step::Retry)]
#[case::read_failed(RouteKind::Download, Verdict::Failed, Step::RetryOrDeliver)]
fn first_attempt(#[case] kind: RouteKind, #[case] verdict: Verdict, #[case] expected: Step) {
    assert_eq!(AttemptTracker::new(kind, 2).note(verdict), expected);
}

/// Guards against a later refusal that hides an earlier attempt that may have been executed.
#[test]
fn refused_after_break() {
    let mut tracker = AttemptTracker::new(RouteKind::Idempotent, 2);
    assert_eq!(tracker.note(Verdict::Broken), Step::Retry);
    assert_eq!(tracker.note(Verdict::Shed), Step::End(Ending::Unknown));
}

/// Guards against more attempts than the maximum.
#[test]
fn attempts_max() {
    let mut tracker = AttemptTracker::new(RouteKind::Order, 2);
    assert_eq!(tracker.note(Verdict::Shed), Step::Retry);
    assert_eq!(tracker.note(Verdict::Shed), Step::End(Ending::NotRun));
}
