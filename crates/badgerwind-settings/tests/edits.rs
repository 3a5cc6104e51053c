//! Edits of secrets in the text of a document, which leave everything else as it is.

use badgerwind_settings::document::parse;
use badgerwind_settings::edit::{equal_except_reloadable, remove_secret, rotate_secrets, EditError};
use badgerwind_settings::read;
use proptest::prelude::*;

const FILE: &str = include_str!("example.xml");
const END: &str = "2026-12-08T00:00:00Z";

/// The lines of `to` that `from` does not have, trimmed.
fn new_lines(from: &str, to: &str) -> Vec<String> {
    to.lines().filter(|l| !from.lines().any(|f| f == *l)).map(|l| l.trim().to_owned()).collect()
}

#[test]
fn a_new_secret_is_added_and_the_old_ones_get_an_expiry() {
    let out = rotate_secrets(FILE, "brolga-portal", "2026-c", "secrets/c.key", END).unwrap();
    assert_eq!(
        new_lines(FILE, &out),
        [
            format!("<secret name=\"2026-a\" file=\"secrets/brolga-2026-a.key\" not-after=\"{END}\"/>"),
            format!(
                "<secret name=\"2026-b\" file=\"secrets/brolga-2026-b.key\" not-before=\"2026-12-01T00:00:00Z\" \
                 not-after=\"{END}\"/>"
            ),
            "<secret name=\"2026-c\" file=\"secrets/c.key\"/>".to_owned(),
        ]
    );
    let settings = read("s.xml", &out).unwrap();
    let names: Vec<_> = settings.webhook.senders[0].secrets.iter().map(|s| s.name.as_str()).collect();
    assert_eq!(names, ["2026-a", "2026-b", "2026-c"]);
    // An earlier expiry stays; a later one is replaced.
    let again = rotate_secrets(&out, "brolga-portal", "d", "d.key", "2027-01-01T00:00:00Z").unwrap();
    assert_eq!(again.matches(END).count(), 2);
    let sooner = rotate_secrets(&out, "brolga-portal", "d", "d.key", "2026-12-02T00:00:00Z").unwrap();
    assert_eq!((sooner.matches(END).count(), sooner.matches("2026-12-02T00:00:00Z").count()), (0, 3));
}

#[test]
fn a_secret_is_removed_with_its_line() {
    let (out, file) = remove_secret(FILE, "brolga-portal", "2026-a").unwrap();
    assert_eq!(file, "secrets/brolga-2026-a.key");
    assert_eq!(out.lines().count() + 1, FILE.lines().count());
    assert_eq!(new_lines(FILE, &out), Vec::<String>::new());
    assert!(!out.contains("2026-a"));
    let put_back = rotate_secrets(&out, "brolga-portal", "2026-a", "x.key", END).unwrap();
    assert!(read("s.xml", &put_back).is_ok());
}

#[test]
fn comments_quotes_and_other_senders_stay_as_they_are() {
    let odd = "<badgerwind><!-- <sender name=\"p\"><secret name='no'/></sender> --><webhook>\n\
        <sender name='q'><secret name='s' file='q.key'/></sender>\n\
        <sender   name = 'p' ><secret name='s' file='a&amp;b.key'></secret><callback name='s'/></sender>\n\
        </webhook></badgerwind>";
    let out = rotate_secrets(odd, "p", "n", "c&d.key", END).unwrap();
    let wanted = odd.replace(
        "<secret name='s' file='a&amp;b.key'></secret>",
        &format!("<secret name=\"s\" file=\"a&amp;b.key\" not-after=\"{END}\"></secret><secret name=\"n\" file=\"c&amp;d.key\"/>"),
    );
    assert_eq!(out, wanted);
    let (out, file) = remove_secret(odd, "p", "s").unwrap();
    assert_eq!(
        (out, file.as_str()),
        (odd.replace("<secret name='s' file='a&amp;b.key'></secret>", ""), "a&b.key")
    );
}

#[test]
fn edits_of_missing_senders_and_secrets_fail() {
    assert_eq!(rotate_secrets(FILE, "nobody", "n", "f", END), Err(EditError::NoSender("nobody".into())));
    assert!(matches!(
        rotate_secrets(FILE, "brolga-portal", "2026-a", "f", END),
        Err(EditError::DuplicateSecret { .. })
    ));
    assert!(matches!(remove_secret(FILE, "brolga-portal", "x"), Err(EditError::NoSecret { .. })));
    assert!(matches!(remove_secret("<a><b></a>", "p", "x"), Err(EditError::Xml(_))));
}

#[test]
fn documents_that_differ_in_reloadable_parts_only_count_as_equal() {
    let node = |t: &str| parse("s.xml", t).unwrap();
    let rotated = rotate_secrets(FILE, "brolga-portal", "c", "c.key", END).unwrap();
    assert!(equal_except_reloadable(&node(FILE), &node(&rotated)));
    let spaced = FILE.replace("<rules", "\n\n  <!-- a note --><rules");
    assert!(equal_except_reloadable(&node(FILE), &node(&spaced)));
    for (from, to) in [
        ("max-attempts=\"4\"", "max-attempts=\"3\""),
        ("name=\"brolga-portal\"", "name=\"other\""),
        ("<log format=\"text\"/>", ""),
    ] {
        assert!(FILE.contains(from));
        assert!(!equal_except_reloadable(&node(FILE), &node(&FILE.replace(from, to))), "{from}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::with_cases(200) })]

    /// After any sequence of additions and removals the document is valid and contains the expected secrets.
    #[test]
    fn any_sequence_of_edits_leaves_a_valid_document(steps in prop::collection::vec((0u8..6, any::<bool>()), 1..12)) {
        let mut text = FILE.to_owned();
        let mut names: Vec<String> = vec!["2026-a".into(), "2026-b".into()];
        for (n, add) in steps {
            let name = format!("k{n}");
            let there = names.contains(&name);
            match add {
                true => match rotate_secrets(&text, "brolga-portal", &name, "secrets/k.key", END) {
                    Ok(out) => { prop_assert!(!there); text = out; names.push(name); }
                    Err(e) => prop_assert!(there, "{e}"),
                },
                false if names.len() > 1 => match remove_secret(&text, "brolga-portal", &name) {
                    Ok((out, _)) => { prop_assert!(there); text = out; names.retain(|x| *x != name); }
                    Err(e) => prop_assert!(!there, "{e}"),
                },
                false => {}
            }
            let settings = read("s.xml", &text).unwrap();
            let now: Vec<String> = settings.webhook.senders[0].secrets.iter().map(|s| s.name.clone()).collect();
            prop_assert_eq!(&now, &names);
        }
    }

    /// No text causes a panic.
    #[test]
    fn any_text_is_edited_or_refused(text in "[<>/a-z\"'= secretndwbhoku\\n]{0,200}") {
        let _ = rotate_secrets(&text, "p", "n", "f", END);
        let _ = remove_secret(&text, "p", "n");
    }
}
