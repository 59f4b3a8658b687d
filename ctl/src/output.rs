//! Where answers and progress are printed.

use serde::Serialize;

/// Answers go to standard output as text or JSON; progress and faults to standard error.
pub struct Output {
    json: bool,
    answer: Box<dyn FnMut(&str)>,
    note: Box<dyn FnMut(&str)>,
}

impl Output {
    /// Prints in the given form (`json` or `table`) through the two functions.
    ///
    /// ```
    /// use sardinewoodctl::output::Output;
    ///
    /// let mut output = Output::new("table", Box::new(|text| print!("{text}")), Box::new(|_| ()));
    /// output.answer(&1, |number| format!("{number}\n"));
    /// ```
    #[must_use]
    pub fn new(form: &str, answer: Box<dyn FnMut(&str)>, note: Box<dyn FnMut(&str)>) -> Self {
        let json = form == "json";
        Self { json, answer, note }
    }

    /// Prints to the process's own streams.
    ///
    /// ```
    /// let _ = sardinewoodctl::output::Output::of_process("json");
    /// ```
    #[must_use]
    pub fn of_process(form: &str) -> Self {
        Self::new(
            form,
            Box::new(|text| print!("{text}")),
            Box::new(|text| eprint!("{text}")),
        )
    }

    /// Prints an answer: as one line of JSON, or as the text that `shown` makes of it.
    ///
    /// ```
    /// use sardinewoodctl::output::Output;
    ///
    /// Output::of_process("json").answer(&[1, 2], |_| String::new());
    /// ```
    pub fn answer<A: Serialize>(&mut self, answer: &A, shown: impl Fn(&A) -> String) {
        if self.json {
            let json = serde_json::to_string(answer).unwrap_or_default();
            (self.answer)(&format!("{json}\n"));
        } else {
            (self.answer)(&shown(answer));
        }
    }

    /// Prints a line of progress or a fault.
    ///
    /// ```
    /// sardinewoodctl::output::Output::of_process("json").note("in force on 1 of 2");
    /// ```
    pub fn note(&mut self, line: &str) {
        (self.note)(&format!("{line}\n"));
    }
}
