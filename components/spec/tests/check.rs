//! The protocol as built holds, and each seeded wrong variant is caught.

use spec::cases;

#[test]
fn built_protocol_holds_and_faulty_variants_are_caught() {
    for case in cases() {
        let outcome = (case.run)();
        assert_eq!(
            outcome.violation.is_some(),
            case.expect_violation,
            "{}: {}: {:?}",
            case.model,
            case.variant,
            outcome.violation
        );
    }
}
