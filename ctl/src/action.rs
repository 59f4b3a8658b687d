//! The words of the command line as a typed command or query.

use std::path::PathBuf;
use std::sync::Arc;

use sardinewood::config::object::Kind;
use sardinewood::config::objects::Activity;
use sardinewood::findings::Findings;
use sardinewood::settings::check_name;
use serde_json::Value;

use crate::ctl_settings::CtlSettings;
use crate::field_edit::FieldEdit;

/// What a run does: it changes something or it answers something, never both.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Changes one object.
    Command(Command),
    /// Only reads.
    Query(Query),
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// The object's kind.
    pub kind: Kind,
    /// The object's name.
    pub name: Arc<str>,
    /// How it is changed.
    pub edit: Edit,
}

/// How an object is changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Fields are set, and the object is created if it does not exist.
    Set(Vec<FieldEdit>),
    /// It is created from fields, and must not exist.
    Add(Vec<FieldEdit>),
    /// It is replaced by the JSON of a file.
    Replace(PathBuf),
    /// An upstream's activity is set.
    Activity(Activity),
    /// It is removed.
    Delete,
}

/// A question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// The objects of a kind.
    List(Kind),
    /// One object.
    Show(Kind, Arc<str>),
    /// The state of the system.
    Status,
    /// What was decided about a request.
    Explain(Arc<str>),
    /// The same from log files, without asking an entry.
    Story(Arc<str>, Vec<PathBuf>),
    /// Changes of the past.
    Audit,
    /// Changes as they come.
    Watch,
    /// The hash of a key on standard input.
    Hash,
}

/// Reads the words, or adds what is wrong with them to `findings`.
///
/// ```
/// use sardinewood::findings::Findings;
/// use sardinewoodctl::action::{Action, Query, read_action};
/// use sardinewoodctl::ctl_settings::CtlSettings;
///
/// let settings = CtlSettings { words: vec!["status".into()], ..CtlSettings::default() };
/// let action = read_action(&settings, &mut Findings::default());
/// assert_eq!(action, Some(Action::Query(Query::Status)));
/// ```
#[must_use]
pub fn read_action(settings: &CtlSettings, findings: &mut Findings) -> Option<Action> {
    let words: Vec<_> = settings.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["status"] => Some(Action::Query(Query::Status)),
        ["audit"] => Some(Action::Query(Query::Audit)),
        ["watch"] => Some(Action::Query(Query::Watch)),
        ["hash"] => Some(Action::Query(Query::Hash)),
        ["explain", request] => Some(Action::Query(Query::Explain((*request).into()))),
        ["explain", request, files @ ..] => {
            let files = files.iter().map(PathBuf::from).collect();
            Some(Action::Query(Query::Story((*request).into(), files)))
        }
        [kind, rest @ ..] => match kind_of(kind) {
            Some(kind) => read_object_action(kind, rest, settings, findings),
            None => unknown_words(&words, findings),
        },
        [] => {
            findings.add("command line", "has no command; see --help");
            None
        }
    }
}

/// The kind that a word of a command line names.
///
/// ```
/// use sardinewood::config::object::Kind;
/// use sardinewoodctl::action::kind_of;
///
/// assert_eq!(kind_of("upstream"), Some(Kind::Upstreams));
/// assert_eq!(kind_of("upstreams"), None);
/// ```
#[must_use]
pub fn kind_of(word: &str) -> Option<Kind> {
    match word {
        "profile" => Some(Kind::Profiles),
        "upstream" => Some(Kind::Upstreams),
        "customer" => Some(Kind::Customers),
        "operator" => Some(Kind::Operators),
        _ => None,
    }
}

fn unknown_words(words: &[&str], findings: &mut Findings) -> Option<Action> {
    findings.add(words.join(" "), "is no command or query; see --help");
    None
}

fn read_object_action(
    kind: Kind,
    words: &[&str],
    settings: &CtlSettings,
    findings: &mut Findings,
) -> Option<Action> {
    if words == ["list"] {
        return Some(Action::Query(Query::List(kind)));
    }
    let [verb, name, fields @ ..] = words else {
        return unknown_words(&settings.words_as_str(), findings);
    };
    if let Err(problem) = check_name(name) {
        findings.add(*name, problem);
        return None;
    }
    let name: Arc<str> = (*name).into();
    if *verb == "show" && fields.is_empty() {
        return Some(Action::Query(Query::Show(kind, name)));
    }
    let edit = read_edit(kind, verb, fields, settings, findings)?;
    if settings.reason.trim().is_empty() {
        findings.add("--reason", "is missing; the audit trail needs to say why");
        return None;
    }
    Some(Action::Command(Command { kind, name, edit }))
}

fn read_edit(
    kind: Kind,
    verb: &str,
    fields: &[&str],
    settings: &CtlSettings,
    findings: &mut Findings,
) -> Option<Edit> {
    let upstream = kind == Kind::Upstreams;
    match (verb, fields) {
        ("delete", []) => Some(Edit::Delete),
        ("drain", []) if upstream => Some(Edit::Activity(Activity::Draining)),
        ("stop", []) if upstream => Some(Edit::Activity(Activity::Stopped)),
        ("resume", []) if upstream => Some(Edit::Activity(Activity::Active)),
        ("add", fields) if upstream => read_fields(fields, findings).map(Edit::Add),
        ("set", []) if settings.from_file.is_some() => {
            settings.from_file.clone().map(Edit::Replace)
        }
        ("set", []) => {
            findings.add("set", "needs FIELD=VALUE or --from-file");
            None
        }
        ("set", fields) if settings.from_file.is_none() => {
            read_fields(fields, findings).map(Edit::Set)
        }
        ("set", _) => {
            findings.add("--from-file", "cannot be given together with FIELD=VALUE");
            None
        }
        _ => {
            unknown_words(&settings.words_as_str(), findings);
            None
        }
    }
}

fn read_fields(words: &[&str], findings: &mut Findings) -> Option<Vec<FieldEdit>> {
    let mut edits = Vec::new();
    for word in words {
        match FieldEdit::read(word) {
            Ok(edit) => edits.push(edit),
            Err(problem) => findings.add(*word, problem),
        }
    }
    (edits.len() == words.len()).then_some(edits)
}

impl CtlSettings {
    fn words_as_str(&self) -> Vec<&str> {
        self.words.iter().map(String::as_str).collect()
    }
}

impl Command {
    /// The object after the change, from what it was before; `None` if it is removed.
    ///
    /// ```
    /// use sardinewood::config::object::Kind;
    /// use sardinewood::config::objects::Activity;
    /// use sardinewoodctl::action::{Command, Edit};
    /// use serde_json::json;
    ///
    /// let edit = Edit::Activity(Activity::Draining);
    /// let command = Command { kind: Kind::Upstreams, name: "lang-1".into(), edit };
    /// let after = command.apply(Some(&json!({"name": "lang-1"})), None);
    /// assert_eq!(after, Some(json!({"name": "lang-1", "activity": "draining"})));
    /// ```
    #[must_use]
    pub fn apply(&self, before: Option<&Value>, file: Option<Value>) -> Option<Value> {
        let empty = || serde_json::json!({"name": &*self.name});
        let mut object = before.cloned().unwrap_or_else(empty);
        match &self.edit {
            Edit::Delete => return None,
            Edit::Replace(_) => return file,
            Edit::Activity(activity) => {
                object["activity"] = serde_json::to_value(activity).unwrap_or_default();
            }
            Edit::Set(edits) | Edit::Add(edits) => {
                for edit in edits {
                    edit.apply(&mut object);
                }
            }
        }
        Some(object)
    }
}
