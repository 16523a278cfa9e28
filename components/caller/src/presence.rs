//! Whether the caller of a request still waits for the response. See `docs/DESIGN.md#callers-that-half-close`.

use std::{future::poll_fn, io, pin::Pin, task::Poll, time::Duration};

use clock::Instant;
use derive_more::Display;
use tokio::time::Sleep;

use crate::{Exchange, exchange::Side};

/// Maximum time between two probes of a caller whose side has ended. Operators require that a disconnected caller is noticed
/// within half a second.
pub(crate) const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(160);
/// A probe says nothing of a caller after this time, as it may have disconnected since.
const PROBE_VALIDITY: Duration = MAX_PROBE_INTERVAL.saturating_mul(2);
/// Time in which the system of a disconnected caller resets the connection after a probe, a few round trips.
const RESET_TIME: Duration = Duration::from_millis(50);
/// Delay before the first look for that reset; doubled each time.
const FIRST_LOOK_DELAY: Duration = Duration::from_micros(500);

/// What is known of a caller that is owed a response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Presence {
    /// Its side of the connection is open.
    Open,
    /// It has shut down its sending side, and its system still takes what is sent.
    HalfClosed,
    /// Its side has ended, and there is no way to ask its system.
    Unconfirmed,
    /// It has disconnected.
    Gone,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// Bytes were sent. The system of a disconnected caller answers them with a reset.
    Sent,
    /// Nothing can be sent now that is not part of the response.
    Impossible,
    /// The connection is lost.
    Lost,
}

impl Exchange {
    /// Returns what is known of the caller. Costs one system call as long as its side is open. Otherwise its system is asked
    /// and given the time to answer.
    pub async fn presence(&self) -> Presence {
        match self.side() {
            Side::Open => return Presence::Open,
            Side::Reset => return Presence::Gone,
            Side::Ended => {}
        }
        let recent = self.last_probe();
        let recent = recent.filter(|sent| sent.elapsed() < PROBE_VALIDITY);
        let sent = match (recent, self.is_lost()) {
            (_, true) => return Presence::Gone,
            (Some(sent), false) => sent,
            (None, false) => match self.probe() {
                Probe::Sent => Instant::now(),
                Probe::Impossible => return Presence::Unconfirmed,
                Probe::Lost => return Presence::Gone,
            },
        };
        self.wait_for_reset(sent + RESET_TIME).await
    }

    /// Waits until the caller has disconnected while the HTTP library does not read from its connection, as it holds the next
    /// request. It has to be polled after the connection by the same task.
    pub async fn disconnected_unread(&self) {
        let mut next_look: Option<Pin<Box<Sleep>>> = None;
        poll_fn(|cx| {
            if !self.is_unread() {
                next_look = None;
                return Poll::Pending;
            }
            let sleep =
                next_look.get_or_insert_with(|| Box::pin(tokio::time::sleep(MAX_PROBE_INTERVAL)));
            while sleep.as_mut().poll(cx).is_ready() {
                let delay = match self.side() {
                    Side::Open => MAX_PROBE_INTERVAL,
                    Side::Ended if !self.is_probed_lost() => RESET_TIME,
                    Side::Ended | Side::Reset => return Poll::Ready(()),
                };
                sleep.as_mut().reset(tokio::time::Instant::now() + delay);
            }
            Poll::Pending
        })
        .await;
    }

    /// Whether the connection is lost. Probes the caller if the last probe was a while ago.
    fn is_probed_lost(&self) -> bool {
        let last = self.last_probe();
        if last.is_some_and(|sent| sent.elapsed() < MAX_PROBE_INTERVAL) {
            self.is_lost()
        } else {
            self.probe() == Probe::Lost
        }
    }

    async fn wait_for_reset(&self, until: Instant) -> Presence {
        let mut delay = FIRST_LOOK_DELAY;
        loop {
            // read before the connection is looked at, as the process may stand still in between
            let now = Instant::now();
            match () {
                () if self.is_lost() => return Presence::Gone,
                () if now >= until => return Presence::HalfClosed,
                () => clock::sleep_until((now + delay).min(until)).await,
            }
            delay *= 2;
        }
    }

    /// Sends bytes that the system of a disconnected caller answers with a reset, if there are any that are not part of the
    /// response.
    pub(crate) fn probe(&self) -> Probe {
        let Some(stream) = self.stream() else {
            return Probe::Lost;
        };
        // after a connection error nobody reads what is sent
        if self.is_lost() {
            return Probe::Lost;
        }
        let Some(bytes) = self.probe_bytes() else {
            return Probe::Impossible;
        };
        match stream.try_write(bytes.as_bytes()) {
            Ok(written) if written == bytes.as_bytes().len() => {
                self.record_probe(bytes);
                Probe::Sent
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Probe::Impossible,
            // the rest of the bytes can't be sent between parts of the response
            Ok(_) | Err(_) => {
                self.record_loss();
                Probe::Lost
            }
        }
    }

    /// Whether the connection was reset or has failed.
    pub(crate) fn is_lost(&self) -> bool {
        if self.has_recorded_loss() {
            return true;
        }
        let is_healthy = self
            .stream()
            .is_some_and(|stream| matches!(stream.take_error(), Ok(None)));
        if !is_healthy {
            // the system reports an error once
            self.record_loss();
        }
        !is_healthy
    }
}
