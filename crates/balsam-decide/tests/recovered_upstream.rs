//! The pace of upstreams that start, recover, or do not serve.

mod paced;

use balsam_decide::pace::{Pace, PaceOutcome, PaceTerms, PaceVerdict};
use balsam_types::{TimeMs, WarmupTerms};
use paced::{
    COLD_MAX, PACED_MAX, Record, SLOTS, WARMUP, WARMUP_MS, answer, most_in_second, play, terms,
};
use proptest::prelude::*;
use rstest::rstest;

const USUAL_MS: u64 = 220;

/// When upstreams stop to serve.
const DOWN_FROM: u64 = 2_000;

/// When they serve again.
const UP_FROM: u64 = 4_000;

/// Requests in a second that a warm upstream gets.
const WARM_SHARE: f64 = SLOTS as f64 * 1_000.0 / USUAL_MS as f64;

const UNREACHABLE: (u64, PaceOutcome) = (1, PaceOutcome::Unreachable);

fn assert_never_idle(record: &Record) {
    let idle_ms = record.longest_idle_ms();
    assert!(idle_ms <= 1_000, "idle for {idle_ms} ms while callers wait");
}

fn assert_full_share(record: &Record, from: u64, until: u64) {
    let per_s = record.sent(from, until) as f64 * 1_000.0 / (until - from) as f64;
    assert!(per_s >= WARM_SHARE * 0.9, "{per_s} requests per second");
}

/// Guards against a slow start of upstreams that have served for long, when their pace begins.
#[test]
fn known_upstream() {
    let mut pace = Pace::new(terms(Some(WARMUP)));
    for _ in 0..SLOTS {
        assert_eq!(pace.verdict(TimeMs(0)), PaceVerdict::Now);
        pace.record_sent(TimeMs(0));
    }
    assert_eq!(pace.verdict(TimeMs(0)), PaceVerdict::Full);
    let steady = play(&mut Pace::new(terms(None)), 10_000, |_| {
        answer(USUAL_MS, USUAL_MS)
    });
    assert_full_share(&steady, 0, 10_000);
}

/// Guards against a cold upstream that gets more than its told rate, that gets nothing, or that is
/// still held back when it has been warm for as long as it was cold.
#[rstest]
#[case::fast_answers(20)]
#[case::usual_answers(USUAL_MS)]
#[case::slow_answers(10 * USUAL_MS)]
fn cold_start(#[case] cold_ms: u64) {
    let mut pace = Pace::new(terms(Some(WARMUP)));
    pace.set_cold_until(TimeMs(0), TimeMs(WARMUP_MS));
    let record = play(&mut pace, 12_000, |arrival| {
        let is_cold = arrival.now < WARMUP_MS;
        answer(if is_cold { cold_ms } else { USUAL_MS }, USUAL_MS)
    });
    assert!(record.most_in_second(0, WARMUP_MS - 1_000) <= PACED_MAX);
    assert_never_idle(&record);
    assert_full_share(&record, 2 * WARMUP_MS, 12_000);
}

/// Guards against a row that is read again, which must neither allow another request nor hold the
/// upstream at one request in flight.
#[test]
fn row_read_again() {
    let mut pace = Pace::new(terms(Some(WARMUP)));
    let mut sent = 0;
    for now in 0..WARMUP_MS {
        if now.is_multiple_of(50) {
            pace.set_cold_until(TimeMs(now), TimeMs(WARMUP_MS + now % 200));
        }
        if pace.verdict(TimeMs(now)) == PaceVerdict::Now {
            pace.record_sent(TimeMs(now));
            let (_, outcome) = answer(1, USUAL_MS);
            pace.record_outcome(TimeMs(now), outcome);
            sent += 1;
        }
    }
    assert!((9..=11).contains(&sent), "{sent} requests in three seconds");
    assert!(pace.concurrency() > 2.0);
}

/// Guards against an upstream that returns at a tenth of its speed and is flooded, left idle, or held
/// back after it has warmed up.
#[rstest]
#[case::told(Some(WARMUP))]
#[case::not_told(None)]
fn slow_return(#[case] warmup: Option<WarmupTerms>) {
    let mut pace = Pace::new(terms(warmup));
    let record = play(&mut pace, UP_FROM + 15_000, |arrival| {
        if (DOWN_FROM..UP_FROM).contains(&arrival.now) {
            return UNREACHABLE;
        }
        let up_ms = arrival.now.saturating_sub(UP_FROM);
        let is_first = arrival.now < DOWN_FROM;
        let speed = if is_first {
            1.0
        } else {
            (0.1 + 0.9 * up_ms as f64 / 5_000.0).min(1.0)
        };
        answer((USUAL_MS as f64 / speed) as u64, USUAL_MS)
    });
    assert_never_idle(&record);
    assert!(record.sent(DOWN_FROM + 1_000, UP_FROM) <= PACED_MAX);
    let most = record.most_in_second(UP_FROM, UP_FROM + WARMUP_MS - 1_000);
    // Without a told rate, R1 still is what an upstream that has just started should get.
    let most_allowed = if warmup.is_some() {
        PACED_MAX
    } else {
        COLD_MAX
    };
    assert!(most <= most_allowed, "{most} in a second");
    assert_full_share(&record, UP_FROM + 10_000, UP_FROM + 15_000);
}

/// Guards against an upstream that never gets faster and is filled up, or left idle.
#[rstest]
#[case::told(Some(WARMUP))]
#[case::not_told(None)]
fn slow_for_ever(#[case] warmup: Option<WarmupTerms>) {
    let mut pace = Pace::new(terms(warmup));
    pace.set_cold_until(TimeMs(0), TimeMs(WARMUP_MS));
    let record = play(&mut pace, 60_000, |_| answer(10 * USUAL_MS, USUAL_MS));
    assert_never_idle(&record);
    assert_eq!(record.most_in_flight(30_000), 1);
}

/// Guards against an upstream that is crashed again by what it gets as soon as it is back. Nobody
/// tells the pace that it has started.
#[test]
fn crash_above_pace() {
    let mut pace = Pace::new(terms(Some(WARMUP)));
    let mut up_from = 0;
    let mut crashes = 0;
    let mut received: Vec<u64> = Vec::new();
    let record = play(&mut pace, 30_000, |arrival| {
        if arrival.now < up_from {
            return UNREACHABLE;
        }
        received.push(arrival.now);
        let is_cold = up_from > 0 && arrival.now < up_from + WARMUP_MS;
        let in_second = most_in_second(&received, arrival.now.saturating_sub(999), u64::MAX);
        if (is_cold && in_second > PACED_MAX) || (up_from == 0 && arrival.now >= DOWN_FROM) {
            crashes += 1;
            received.clear();
            up_from = arrival.now + 1_000;
            return (1, PaceOutcome::Reset);
        }
        answer(20, USUAL_MS)
    });
    assert_eq!(crashes, 1);
    assert_never_idle(&record);
    assert!(
        record.sent(up_from + 2 * WARMUP_MS, up_from + 7_000) as f64
            >= 0.9 * 1_000.0 / 20.0 * f64::from(SLOTS)
    );
}

/// Guards against an upstream that attracts all requests because it rejects them fast, and against one
/// that is not asked again.
#[rstest]
#[case::rejected(PaceOutcome::Rejected, Some(WARMUP))]
#[case::rejected_not_told(PaceOutcome::Rejected, None)]
#[case::reset(PaceOutcome::Reset, Some(WARMUP))]
#[case::reset_not_told(PaceOutcome::Reset, None)]
fn refuses_everything(#[case] outcome: PaceOutcome, #[case] warmup: Option<WarmupTerms>) {
    let mut pace = Pace::new(terms(warmup));
    let record = play(&mut pace, 20_000, |arrival| {
        if (DOWN_FROM..12_000).contains(&arrival.now) {
            (1, outcome)
        } else {
            answer(USUAL_MS, USUAL_MS)
        }
    });
    assert!(record.most_in_second(DOWN_FROM, 11_000) <= COLD_MAX);
    assert!(record.most_in_second(DOWN_FROM + 1_000, 11_000) <= 2);
    assert_never_idle(&record);
    assert_full_share(&record, 12_000 + 2 * WARMUP_MS, 20_000);
}

/// Guards against an upstream that rejects a third of its requests for ever, because the pace does
/// not find how many it takes.
#[test]
fn takes_one_at_a_time() {
    let mut pace = Pace::new(terms(None));
    let record = play(&mut pace, 30_000, |arrival| {
        if arrival.in_flight > 1 {
            (1, PaceOutcome::Rejected)
        } else {
            answer(USUAL_MS, USUAL_MS)
        }
    });
    let rejected = record.outcomes.iter();
    let rejected = rejected.filter(|(_, outcome)| *outcome == PaceOutcome::Rejected);
    assert!(rejected.count() * 3 < record.outcomes.len());
    assert_never_idle(&record);
    let answered = record.outcomes.len() as f64 * 2.0 / 3.0;
    assert!(
        answered * USUAL_MS as f64 >= 15_000.0,
        "half of the time unused"
    );
}

/// Guards against one daemon without a connection that makes an upstream count as down.
#[test]
fn cut_off_daemon() {
    let mut pace = Pace::new(terms(Some(WARMUP)));
    let mut sent = 0;
    let record = play(&mut pace, 20_000, |_| {
        sent += 1;
        if sent % 20 == 0 {
            UNREACHABLE
        } else {
            answer(USUAL_MS, USUAL_MS)
        }
    });
    assert_full_share(&record, 0, 20_000);
}

/// Guards against machines that are three times slower for a fifth of the time, as they usually are on
/// shared ones, which cost an upstream a part of its slots: also if it has 0.6 times the usual speed,
/// and for as long as it is slow.
#[rstest]
#[case::a_fifth(5)]
#[case::always(1)]
fn shared_machine(#[case] slow_every: u64) {
    let mut pace = Pace::new(terms(None));
    let took_ms = |now: u64| {
        let is_slow = (now / 400).is_multiple_of(slow_every);
        if is_slow { 5 * USUAL_MS } else { USUAL_MS }
    };
    let record = play(&mut pace, 20_000, |arrival| {
        answer(took_ms(arrival.now), USUAL_MS)
    });
    // What each slot runs one after the other if it is never left free.
    let slot = std::iter::successors(Some(0), |now| Some(now + took_ms(*now)));
    let slot_requests = slot.take_while(|now| *now < 20_000).count();
    assert_eq!(record.starts.len(), SLOTS as usize * slot_requests);
}

/// Guards against a cold upstream that is held at one request in flight because its answers are slow:
/// the told rate bounds what it gets already.
#[test]
fn slow_while_cold() {
    let mut pace = Pace::new(terms(Some(WARMUP)));
    pace.set_cold_until(TimeMs(0), TimeMs(20_000));
    let record = play(&mut pace, 20_000, |_| answer(10 * USUAL_MS, USUAL_MS));
    assert_eq!(record.most_in_flight(10_000), SLOTS);
    assert!(record.most_in_second(0, 20_000) <= PACED_MAX);
}

/// Guards against an upstream with few requests that hangs and counts as serving, because fewer have
/// timed out than fill its slots, and against one that counts as down although it answers others.
#[rstest]
#[case::no_answer(None, PaceVerdict::Full)]
#[case::answers_others(Some(2_000), PaceVerdict::Now)]
fn one_timed_out(#[case] answer_at: Option<u64>, #[case] second: PaceVerdict) {
    let mut pace = Pace::new(terms(None));
    pace.record_sent(TimeMs(0));
    if let Some(at) = answer_at {
        pace.record_sent(TimeMs(at - USUAL_MS));
        let (_, outcome) = answer(USUAL_MS, USUAL_MS);
        pace.record_outcome(TimeMs(at), outcome);
    }
    pace.record_outcome(TimeMs(2_500), PaceOutcome::TimedOut);
    assert_eq!(pace.verdict(TimeMs(3_500)), PaceVerdict::Now);
    pace.record_sent(TimeMs(3_500));
    assert_eq!(pace.verdict(TimeMs(3_500)), second);
}

/// Guards against an upstream that has hung and gets a request in each slot when it goes on.
#[rstest]
#[case::told(Some(WARMUP))]
#[case::not_told(None)]
fn frozen_upstream(#[case] warmup: Option<WarmupTerms>) {
    let mut pace = Pace::new(terms(warmup));
    let record = play(&mut pace, 25_000, |arrival| {
        if (DOWN_FROM..10_000).contains(&arrival.now) {
            (2_500, PaceOutcome::TimedOut)
        } else {
            answer(USUAL_MS, USUAL_MS)
        }
    });
    assert!(
        record.sent(DOWN_FROM + 2_600, 10_000) <= 4,
        "more than one at a time"
    );
    let back = record.starts.iter().find(|at| **at >= 10_000);
    let back = *back.expect("a request after the return");
    assert_eq!(record.sent(back, back + USUAL_MS), 1);
    if warmup.is_some() {
        assert!(record.most_in_second(back, back + WARMUP_MS - 1_000) <= PACED_MAX);
    }
    assert_full_share(&record, back + 2 * WARMUP_MS, 25_000);
}

/// Guards against requests that fail together and count as failures one after the other: they must
/// neither lower the limit more than once nor lengthen the pause.
#[test]
fn failed_together() {
    let many = PaceTerms {
        slots: 10,
        warmup: None,
    };
    let after = |failures: u32, outcome: PaceOutcome| {
        let mut pace = Pace::new(many);
        for _ in 0..failures {
            pace.record_sent(TimeMs(0));
        }
        for _ in 0..failures {
            pace.record_outcome(TimeMs(50), outcome);
        }
        (pace.concurrency().to_bits(), pace.verdict(TimeMs(50)))
    };
    let rejected = PaceOutcome::Rejected;
    assert_eq!(after(1, rejected), after(9, rejected));
    let unreachable = PaceOutcome::Unreachable;
    assert_eq!(after(2, unreachable), after(10, unreachable));
}

fn outcomes() -> impl Strategy<Value = (u64, PaceOutcome)> {
    prop_oneof![
        (1_u32..3_000, 0_u32..500).prop_map(|(took_ms, usual_ms)| {
            (
                u64::from(took_ms),
                PaceOutcome::Answered { took_ms, usual_ms },
            )
        }),
        Just((1, PaceOutcome::Rejected)),
        Just((1, PaceOutcome::Reset)),
        Just((1, PaceOutcome::Unreachable)),
        Just((1, PaceOutcome::Unused)),
        Just((3_000, PaceOutcome::TimedOut)),
    ]
}

proptest! {
    /// Guards against any sequence of outcomes that leaves an upstream idle for more than a second
    /// while requests wait, or with more requests than slots.
    #[test]
    fn any_outcomes(
        outcomes in proptest::collection::vec(outcomes(), 1..60),
        is_told: bool,
    ) {
        let mut pace = Pace::new(terms(is_told.then_some(WARMUP)));
        let mut next = outcomes.iter().cycle();
        let record = play(&mut pace, 20_000, |_| *next.next().expect("an outcome"));
        prop_assert!(record.longest_idle_ms() <= 1_000);
        prop_assert!(record.most_in_flight(0) <= SLOTS);
        prop_assert!(pace.concurrency() > 0.0 && pace.concurrency() <= f64::from(SLOTS));
    }

    /// Guards against a second in which a cold upstream gets more than its told rate, whatever it
    /// answers.
    #[test]
    fn any_cold_outcomes(outcomes in proptest::collection::vec(outcomes(), 1..60)) {
        let mut pace = Pace::new(terms(Some(WARMUP)));
        pace.set_cold_until(TimeMs(0), TimeMs(10_000));
        let mut next = outcomes.iter().cycle();
        let record = play(&mut pace, 10_000, |_| *next.next().expect("an outcome"));
        prop_assert!(record.most_in_second(0, 10_000) <= PACED_MAX);
    }
}
