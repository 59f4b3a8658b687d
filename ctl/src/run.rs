//! One run of the program, from its settings to its exit code.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sardinewood::findings::Findings;
use sardinewood::secrets::sha256_hex;
use serde_json::Value;

use crate::action::Action;
use crate::action::Command;
use crate::action::Edit;
use crate::action::Query;
use crate::action::read_action;
use crate::command::run_command;
use crate::ctl_settings::CtlSettings;
use crate::exit_code::End;
use crate::operator_client::OperatorClient;
use crate::output::Output;
use crate::query::run_query;
use crate::story::shown_story;
use crate::story::tell;

/// The path that means standard input.
const STANDARD_INPUT: &str = "-";

/// Runs the command or query that the settings' words name.
pub async fn run(settings: &CtlSettings, output: &mut Output) -> End {
    let mut findings = Findings::default();
    let Some(action) = read_action(settings, &mut findings) else {
        output.note(findings.to_string().trim_end());
        return End::Usage;
    };
    if action == Action::Query(Query::Hash) {
        return print_hash(output);
    }
    if let Action::Query(Query::Story(request, files)) = &action {
        return print_story(request, files, output);
    }
    let client = match open_client(settings) {
        Ok(client) => client,
        Err(problem) => {
            output.note(&problem);
            return End::Usage;
        }
    };
    let result = match &action {
        Action::Query(query) => run_query(query, now_ms(), settings, &client, output).await,
        Action::Command(command) => {
            let file = match read_object(command) {
                Ok(file) => file,
                Err(problem) => {
                    output.note(&problem);
                    return End::Usage;
                }
            };
            run_command(
                command,
                file,
                change_id(settings),
                settings,
                &client,
                output,
            )
            .await
        }
    };
    result.unwrap_or_else(|error| {
        output.note(&error.to_string());
        error.end()
    })
}

fn print_story(request: &str, files: &[PathBuf], output: &mut Output) -> End {
    match tell(request, || log_lines(files)) {
        Ok(story) => {
            output.answer(&story, shown_story);
            if story.own.is_empty() {
                End::NotFound
            } else {
                End::Done
            }
        }
        Err(problem) => {
            output.note(&problem.to_string());
            End::Usage
        }
    }
}

/// The lines of all files, one file after the other.
fn log_lines(files: &[PathBuf]) -> io::Result<impl Iterator<Item = io::Result<String>> + use<>> {
    let open = |file: &PathBuf| {
        File::open(file)
            .map(BufReader::new)
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", file.display())))
    };
    let files: Vec<BufReader<File>> = files.iter().map(open).collect::<io::Result<_>>()?;
    // A process that was killed may leave half a character behind.
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    let lines = move |file: BufReader<File>| file.split(b'\n').map(move |line| line.map(text));
    Ok(files.into_iter().flat_map(lines))
}

fn open_client(settings: &CtlSettings) -> Result<OperatorClient, String> {
    let ca_pem = match &settings.ca_file {
        None => Vec::new(),
        Some(path) => {
            let place = format!("--ca-file {}", path.display());
            std::fs::read(path).map_err(|error| format!("{place}: {error}"))?
        }
    };
    let token = &settings.operator_token;
    OperatorClient::new(&settings.entry_url, token, settings.timeout_ms, &ca_pem)
        .map_err(|error| format!("cannot set up HTTP: {error}"))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// The id of an earlier run that is settled, or a new one that no other run draws.
fn change_id(settings: &CtlSettings) -> Arc<str> {
    if settings.change_id.is_empty() {
        return format!("ctl-{:032x}", rand::random::<u128>()).into();
    }
    Arc::clone(&settings.change_id)
}

fn read_object(command: &Command) -> Result<Option<Value>, String> {
    let Edit::Replace(path) = &command.edit else {
        return Ok(None);
    };
    let place = format!("--from-file {}", path.display());
    let text = read_text(path).map_err(|error| format!("{place}: {error}"))?;
    let object = serde_json::from_str(&text).map_err(|error| format!("{place}: {error}"))?;
    Ok(Some(object))
}

fn read_text(path: &Path) -> io::Result<String> {
    if path == Path::new(STANDARD_INPUT) {
        return read_standard_input();
    }
    std::fs::read_to_string(path)
}

fn read_standard_input() -> io::Result<String> {
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn print_hash(output: &mut Output) -> End {
    match read_standard_input() {
        Ok(key) if !key.trim().is_empty() => {
            output.answer(&sha256_hex(key.trim()), |hash| format!("{hash}\n"));
            End::Done
        }
        Ok(_) => {
            output.note("standard input holds no key");
            End::Usage
        }
        Err(error) => {
            output.note(&format!("standard input: {error}"));
            End::Usage
        }
    }
}
