//! Lines fitted to measured points.

use balsam_standins::measure::{Fit, fit_line};

/// Guards against capacity figures that are worked out from a wrong slope.
#[test]
fn exact_line_is_found() {
    let points = [(3.0, 10.0), (10.0, 24.0), (30.0, 64.0)];
    let Fit { base, slope } = fit_line(&points);
    assert!((base - 4.0).abs() < 1e-9, "{base}");
    assert!((slope - 2.0).abs() < 1e-9, "{slope}");
}

/// Guards against a division by zero when only one size was measured.
#[test]
fn single_point_has_no_slope() {
    let fit = fit_line(&[(10.0, 5.0)]);
    assert_eq!(
        fit,
        Fit {
            base: 5.0,
            slope: 0.0
        }
    );
}
