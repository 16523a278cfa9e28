use std::{sync::Arc, time::Duration};

use hyper::{HeaderMap, Response, header::HeaderValue};
use proptest::prelude::*;

use super::{Envelope, MAX_ENVELOPE_BYTES, Refusal};
use crate::{endpoint::Build, forwarding::receive::Decline, version::Workspace};

prop_compose! {
    fn envelopes()(
        (sender, runs, sends) in any::<(u64, u32, u32)>(),
        (route, service, name) in ("\\PC{0,40}", "\\PC{0,40}", "\\PC{0,40}"),
        (elapsed, left) in (0..1_u64 << 40, 0..1_u64 << 40),
        (demand_counted, usage_counted) in any::<(bool, bool)>(),
        priority in any::<Option<u32>>(),
        has_workspace in any::<bool>(),
        build in proptest::option::of("\\PC{0,40}"),
    ) -> Envelope {
        let workspace = Workspace { name: Arc::from(name), priority };
        Envelope {
            sender,
            route: route.into(),
            service: service.into(),
            elapsed: Duration::from_micros(elapsed),
            left: Duration::from_micros(left),
            runs,
            sends,
            demand_counted,
            usage_counted,
            build: build.map(|build| Build(build.into())),
            workspace: has_workspace.then_some(workspace),
        }
    }
}

proptest! {
    #[test]
    fn an_envelope_survives_its_way_in_a_header(envelope in envelopes()) {
        let mut headers = HeaderMap::new();
        envelope.insert_into(&mut headers);
        let bytes: usize = headers.values().map(HeaderValue::len).sum();
        prop_assert!(bytes < MAX_ENVELOPE_BYTES);
        prop_assert_eq!(Envelope::take_from(&mut headers), Some(envelope));
        prop_assert!(headers.is_empty());
    }

    #[test]
    fn a_header_that_is_no_envelope_is_no_envelope(value in "[!-~]{0,60}") {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::try_from(format!("*{value}")).expect("visible characters");
        headers.insert("forwarded-envelope", value);
        prop_assert_eq!(Envelope::take_from(&mut headers), None);
    }
}

#[test]
fn a_refusal_is_told_from_an_endpoint_s_response() {
    let mut response = Response::new(());
    assert_eq!(Refusal::of(&response, "r1"), None);
    for refusal in [
        Refusal::Declined,
        Refusal::NoPath,
        Refusal::Unavailable,
        Refusal::NotRun,
        Refusal::Unknown,
    ] {
        refusal.insert_into("r1", response.headers_mut());
        assert_eq!(Refusal::of(&response, "r1"), Some(refusal));
        assert_eq!(Refusal::of(&response, "r2"), Some(Refusal::Unknown));
    }
    // older gateways do not name the request
    response.headers_mut().remove("forwarded-refused");
    assert_eq!(Refusal::of(&response, "r1"), Some(Refusal::Unknown));
    Refusal::NotRun.insert_into("\n", response.headers_mut());
    assert_eq!(Refusal::of(&response, "r1"), Some(Refusal::NotRun));
    Refusal::remove_from(response.headers_mut());
    assert_eq!(Refusal::of(&response, "r1"), None);
    assert!(response.headers().is_empty());
}

#[test]
fn a_peer_that_does_not_know_the_sender_yet_is_not_paused() {
    assert_eq!(Decline::UnknownSender.for_peer(), Refusal::Declined);
}
