//! The protocol as built violates no invariant, and every deliberately faulty variant violates one.
//! A faulty variant that passes means that its model can no longer detect the fault.

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
