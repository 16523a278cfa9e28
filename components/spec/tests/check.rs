//! The protocol as built holds, and each seeded wrong variant is caught.

use spec::cases;

#[test]
fn what_is_built_holds_and_what_is_wrong_is_caught() {
    for case in cases() {
        let outcome = (case.run)();
        assert_eq!(
            outcome.broken.is_some(),
            case.wrong,
            "{}: {}: {:?}",
            case.model,
            case.variant,
            outcome.broken
        );
    }
}
