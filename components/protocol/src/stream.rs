//! Assembles the frames of an answer, over all of its attempts.
//!
//! Engines and the network may deliver frames late, twice or on the wrong stream. Each frame has
//! the number of its attempt and an offset. Frames of other attempts and duplicates are dropped and
//! counted; a gap is always an error. See `docs/DESIGN.md#whole-answers`.

use derive_more::{Display, Error};

/// Number of an attempt, unique over all daemons.
pub type Attempt = u64;

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The frame continues the answer.
    Deliver,
    /// The frame belongs to another attempt: drop it.
    Foreign,
    /// Its tokens were delivered before: drop it.
    Duplicate,
}

/// A frame that doesn't continue the answer; the attempt has failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// Tokens before this frame were lost.
    #[display("tokens {expected} to {got} are missing")]
    Gap {
        /// Expected offset.
        expected: u64,
        /// Offset of the frame.
        got: u64,
    },
    /// The frame came after the final one.
    #[display("the answer goes on after its end")]
    AfterEnd,
}

/// Progress of an answer over all attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Assembler {
    attempt: Attempt,
    offset: u64,
    finished: bool,
}

impl Assembler {
    /// Starts an answer with its first attempt.
    #[must_use]
    pub fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            offset: 0,
            finished: false,
        }
    }

    /// Continues with another attempt, from the tokens delivered so far.
    pub fn resume(&mut self, attempt: Attempt) {
        self.attempt = attempt;
    }

    /// Returns the attempt whose frames are accepted.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the number of tokens delivered so far.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the final frame was delivered.
    #[must_use]
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Accepts a frame with a number of tokens.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if tokens were lost or the frame follows the final one; the attempt
    /// must then be aborted.
    pub fn accept(
        &mut self,
        attempt: Attempt,
        offset: u64,
        tokens: u64,
        last: bool,
    ) -> Result<Verdict, FrameError> {
        match () {
            () if attempt != self.attempt => Ok(Verdict::Foreign),
            () if offset < self.offset
                || (self.finished && offset == self.offset && tokens == 0) =>
            {
                Ok(Verdict::Duplicate)
            }
            () if self.finished => Err(FrameError::AfterEnd),
            () if offset > self.offset => Err(FrameError::Gap {
                expected: self.offset,
                got: offset,
            }),
            () => {
                self.offset += tokens;
                self.finished = last;
                Ok(Verdict::Deliver)
            }
        }
    }
}
