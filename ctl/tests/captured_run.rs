//! Runs the program inside a test and keeps what it prints.

use std::cell::RefCell;
use std::ffi::OsString;
use std::rc::Rc;

use sardinewood::settings::Sources;
use sardinewood::settings::Start;
use sardinewoodctl::ctl_settings::CtlSettings;
use sardinewoodctl::ctl_settings::program;
use sardinewoodctl::exit_code::End;
use sardinewoodctl::output::Output;
use sardinewoodctl::run::run;

use crate::fake_operator_api::TOKEN;

/// What a run printed and how it ended.
#[derive(Debug)]
pub struct Captured {
    pub end: End,
    pub answer: String,
    pub notes: String,
}

/// Reads a command line as the program does.
pub fn read(args: &[&str], token: &str) -> Start<CtlSettings> {
    program().read(Sources {
        args: args.iter().map(OsString::from).collect(),
        env: &|name| (name == "SARDINEWOOD_OPERATOR_TOKEN").then(|| token.into()),
        read_file: &|_| Err(std::io::Error::from(std::io::ErrorKind::NotFound)),
    })
}

/// Runs a command line against the entry at `url`.
pub async fn run_line(url: &str, args: &[&str]) -> Captured {
    run_as(url, TOKEN, args).await
}

/// The same with another token.
pub async fn run_as(url: &str, token: &str, args: &[&str]) -> Captured {
    let args = [args, &["--entry-url", url]].concat();
    let settings = match read(&args, token) {
        Start::Run(settings) => settings,
        other => panic!("the command line is wrong: {other:?}"),
    };
    let (answer, notes) = (Rc::default(), Rc::default());
    let mut output = Output::new(&settings.output, keep(&answer), keep(&notes));
    let end = run(&settings, &mut output).await;
    Captured {
        end,
        answer: answer.take(),
        notes: notes.take(),
    }
}

fn keep(text: &Rc<RefCell<String>>) -> Box<dyn FnMut(&str)> {
    let text = Rc::clone(text);
    Box::new(move |more| text.borrow_mut().push_str(more))
}
