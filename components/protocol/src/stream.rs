//! Assembles the frames of one attempt into a whole answer.
//!
//! Engines, and the network before them, deliver frames late, twice or to the wrong stream. Each
//! frame names its attempt and its offset; what does not fit is dropped and counted, and a gap is
//! never papered over. See `docs/DESIGN.md#whole-answers`.

use derive_more::{Display, Error};

/// A number of an attempt, unique over all daemons.
pub type Attempt = u64;

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It continues the answer.
    Deliver,
    /// It belongs to another attempt: drop it.
    Foreign,
    /// Its part was delivered before: drop it.
    Duplicate,
}

/// Why a stream can't go on.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// A part between was lost.
    #[display("tokens {expected} to {got} are missing")]
    Gap {
        /// The offset that had to come.
        expected: u64,
        /// The offset that came.
        got: u64,
    },
    /// A frame came after the final one.
    #[display("the answer goes on after its end")]
    AfterEnd,
}

/// Where an answer stands: what was delivered, over all attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Assembler {
    attempt: Attempt,
    offset: u64,
    finished: bool,
}

impl Assembler {
    /// Starts an answer.
    #[must_use]
    pub fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            offset: 0,
            finished: false,
        }
    }

    /// Goes on with another attempt from what was delivered.
    pub fn resume(&mut self, attempt: Attempt) {
        self.attempt = attempt;
    }

    /// The attempt whose frames are taken.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Tokens delivered so far.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the final frame was delivered.
    #[must_use]
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Takes a frame of so many tokens.
    ///
    /// # Errors
    ///
    /// [`Broken`] when the frame shows that a part was lost; the attempt must be given up.
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
