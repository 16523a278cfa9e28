//! Streams that wait until one may begin at a build that is listed, where no endpoint of another build takes requests.

use clock::Instant;

use super::{generate, job::Job};

/// Waits until a build of the service is one at which the stream may begin, at most as long as for room.
pub async fn wait_for_build(job: &Job) {
    if !job.may_wait_for_build() || !job.gateway.awaits_build(&job.service.name) {
        return;
    }
    let begun = Instant::now();
    let until = begun + generate::max_wait(job);
    let mut admissions = job.gateway.admissions();
    while job.gateway.awaits_build(&job.service.name) {
        // the sender lives as long as the process
        if clock::timeout_at(until, admissions.changed())
            .await
            .is_err()
        {
            break;
        }
    }
    log::info!(
        request = job.metadata.id, service = &*job.service.name, waited_us = policy::micros(begun.elapsed()),
        is_served = !job.gateway.awaits_build(&job.service.name);
        "a request waited for a build at which it may begin"
    );
}
