//! The fit selects the right order of growth, a wrong order has large residuals, and bad arguments give
//! errors that name the option.

use badgerwind_scale::fit::{best_fit, fit_order, Order, ORDERS};
use std::process::{Command, Output};

const SIZES: [u64; 7] = [10, 30, 100, 300, 1_000, 3_000, 11_000];

/// Points on a curve, each with a fixed deviation of up to 2%.
fn points(value: impl Fn(f64) -> f64) -> Vec<(u64, f64)> {
    let deviations = [0.01, -0.02, 0.015, -0.01, 0.02, -0.015, 0.005];
    SIZES
        .iter()
        .zip(deviations)
        .map(|(&size, deviation)| (size, value(size as f64) * (1.0 + deviation)))
        .collect()
}

fn examples() -> Vec<(Order, Vec<(u64, f64)>)> {
    vec![
        (Order::Constant, points(|_| 240.0)),
        (Order::Logarithm, points(|n| 3.0 + 5.0 * n.log2())),
        (Order::Linear, points(|n| 100.0 + 7.0 * n)),
        (Order::Linearithmic, points(|n| 4.0 * n * n.log2())),
        (Order::Quadratic, points(|n| 50.0 + 0.3 * n * n)),
    ]
}

#[test]
fn each_order_of_growth_is_found() {
    for (order, points) in examples() {
        let found = best_fit(&points);
        assert_eq!(found.order, order, "{points:?}");
        assert!(found.rms_residual() < 0.03, "{order:?}: {}", found.rms_residual());
    }
}

#[test]
fn a_fit_predicts_a_size_that_was_not_measured() {
    for (order, points) in examples() {
        let (last, known) = points.split_last().unwrap();
        let error = (best_fit(known).predict(last.0) - last.1).abs() / last.1;
        assert!(error < 0.15, "{order:?}: relative error {error}");
    }
}

#[test]
fn a_wrong_order_has_larger_residuals() {
    for (right, points) in examples() {
        // Only slower orders are wrong: a faster one fits slower growth with a slope near 0.
        let slower =
            |order: &Order| ORDERS.iter().position(|o| o == order) < ORDERS.iter().position(|o| *o == right);
        for wrong in ORDERS.into_iter().filter(slower) {
            let (wrong, good) = (fit_order(wrong, &points), fit_order(right, &points));
            assert!(
                wrong.rms_residual() > 2.0 * good.rms_residual(),
                "{:?} for {right:?}: {}",
                wrong.order,
                wrong.rms_residual()
            );
        }
    }
}

#[test]
fn two_points_are_too_few_to_select_an_order() {
    assert_eq!(best_fit(&[(10, 5.0), (100, 50.0)]).order, Order::Constant);
}

#[test]
fn empty_and_zero_points_fit_without_a_panic() {
    assert_eq!(best_fit(&[]).rms_residual(), 0.0);
    assert_eq!(best_fit(&[(10, 0.0), (30, 0.0), (100, 0.0)]).predict(11_000), 0.0);
}

fn scale(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_badgerwind-scale")).args(arguments).output().unwrap()
}

fn assert_rejected(arguments: &[&str], expected: &[&str]) {
    let output = scale(arguments);
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{arguments:?}");
    for text in expected {
        assert!(message.contains(text), "{arguments:?}: {message}");
    }
}

#[test]
fn bad_arguments_name_the_option_and_the_remedy() {
    let row = "members-steady";
    assert_rejected(&["row", "nothing"], &["argument ROW", "'nothing'", "badgerwind-scale list"]);
    assert_rejected(&["row", row, "--sizes", "0"], &["option --sizes", "above 0"]);
    assert_rejected(&["row", row, "--sizes", "10,0,30"], &["option --sizes", "above 0"]);
    assert_rejected(&["row", row, "--sizes", ""], &["--sizes"]);
    assert_rejected(&["row", row, "--sizes", "ten"], &["--sizes", "ten"]);
    assert_rejected(&["row", row, "--sizes", "-3"], &["-3"]);
    assert_rejected(&["row", row, "--plays", "0"], &["--plays"]);
    assert_rejected(&["row", row, "--seconds", "0"], &["--seconds"]);
    assert_rejected(
        &["row", row, "--sizes", "1000", "--memory-mib", "1"],
        &["option --sizes", "--memory-mib 1", "MiB"],
    );
    assert_rejected(
        &["row", "members-deaths", "--sizes", "65000"],
        &["option --sizes", "65000 front ends", "MiB"],
    );
    assert_rejected(&["row"], &["<ROW>"]);
    assert_rejected(&[], &["Usage"]);
}

#[test]
fn results_that_cannot_be_written_name_the_option() {
    let row = ["row", "members-steady", "--sizes", "10"];
    for option in ["--json", "--svg"] {
        let arguments = [&row[..], &[option, "/no/such/folder/row.out"]].concat();
        assert_rejected(&arguments, &[option, "/no/such/folder/row.out", "folder that exists"]);
    }
}

#[test]
fn a_row_prints_its_results_and_writes_them_to_files() {
    let folder = tempfile::tempdir().unwrap();
    let (json, svg) = (folder.path().join("row.json"), folder.path().join("row.svg"));
    let output = scale(&[
        "row",
        "members-steady",
        "--sizes",
        "10,30,100",
        "--json",
        json.to_str().unwrap(),
        "--svg",
        svg.to_str().unwrap(),
    ]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    for part in ["members-steady", "fit:", "residual", "need over bound", "extrapolated"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let results: serde_json::Value = serde_json::from_slice(&std::fs::read(json).unwrap()).unwrap();
    assert_eq!(results["row"], "members-steady");
    assert_eq!(results["slopes"][0]["points"].as_array().unwrap().len(), 3);
    assert!(std::fs::read_to_string(svg).unwrap().contains("<svg"));
}

#[test]
fn all_rows_are_listed_with_unique_names() {
    let output = scale(&["list"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let names: Vec<&str> = text.lines().filter_map(|line| line.split_whitespace().next()).collect();
    let unique: std::collections::BTreeSet<&str> = names.iter().copied().collect();
    assert!(names.contains(&"members-steady") && names.len() == unique.len(), "{names:?}");
}
