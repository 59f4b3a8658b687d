//! Reading settings from flags, variables and files of secrets.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::Path;

use indexmap::IndexMap;
use sardinewood::agent;
use sardinewood::entry;
use sardinewood::entry::settings::EntrySettings;
use sardinewood::findings::Findings;
use sardinewood::secrets::Secret;
use sardinewood::settings::Program;
use sardinewood::settings::Setting;
use sardinewood::settings::Sources;
use sardinewood::settings::Start;

const REQUIRED: [&str; 10] = [
    "--host",
    "wdh-e1",
    "--data-centre",
    "wdh",
    "--store-url",
    "http://127.0.0.1:7070/",
    "--listen",
    "127.0.0.1:8080",
    "--operator-listen",
    "127.0.0.1:8081",
];

fn read<S: Default + 'static>(
    program: &Program<S>,
    args: &[&str],
    env: &[(&str, &str)],
) -> Start<S> {
    let variables: IndexMap<&str, &str> = env.iter().copied().collect();
    program.read(Sources {
        args: args.iter().map(OsString::from).collect(),
        env: &|name| variables.get(name).map(OsString::from),
        read_file: &|path| match path {
            "/run/key" => Ok("from-file\n".to_owned()),
            _ => Err(io::Error::from(io::ErrorKind::NotFound)),
        },
    })
}

fn run(start: Start<EntrySettings>) -> EntrySettings {
    match start {
        Start::Run(settings) => settings,
        other => panic!("not started: {other:?}"),
    }
}

fn with_required<'a>(args: &[&'a str]) -> Vec<&'a str> {
    [&REQUIRED, args].concat()
}

#[derive(Debug, Default)]
struct KeySettings {
    peer_key: Secret,
}

fn key_program() -> Program<KeySettings> {
    Program {
        name: "key-example",
        about: "has a secret",
        settings: vec![Setting::secret(
            "peer-key",
            "A key.",
            |s: &mut KeySettings| &mut s.peer_key,
        )],
        words: None,
        check: |_, _: &mut Findings| {},
    }
}

#[test]
fn read_flag_wins_over_variable() {
    let args = with_required(&["--candidates", "3"]);
    let env = [
        ("SARDINEWOOD_CANDIDATES", "7"),
        ("SARDINEWOOD_QUEUE_LIMIT", "9"),
    ];
    let settings = run(read(&entry::settings::program(), &args, &env));
    assert_eq!((settings.candidates, settings.queue_limit), (3, 9));
    assert_eq!(&*settings.store_url, "http://127.0.0.1:7070");
}

#[test]
fn read_equals_sign_is_taken() {
    let args = with_required(&["--candidates=3"]);
    assert_eq!(
        run(read(&entry::settings::program(), &args, &[])).candidates,
        3
    );
}

#[test]
fn read_every_fault_is_in_one_report() {
    let args = [
        "--heartbeat-ms",
        "soon",
        "--colour",
        "red",
        "--candidates=0",
        "--listen",
        "localhost:80",
        "stray",
        "-x",
        "--log-level",
    ];
    let env = [
        ("SARDINEWOOD_HOST", "wdh/e1"),
        ("SARDINEWOOD_STORE_URL", "127.0.0.1:7070"),
        ("SARDINEWOOD_LOG_LEVEL", "loud"),
    ];
    let Start::Refuse(report) = read(&entry::settings::program(), &args, &env) else {
        panic!("wrong settings were taken");
    };
    insta::assert_snapshot!("report_of_entry", report);
}

#[test]
fn read_check_prints_settings_in_force() {
    let args = with_required(&["--check"]);
    let Start::Print(text) = read(&entry::settings::program(), &args, &[]) else {
        panic!("good settings were refused");
    };
    insta::assert_snapshot!("check_of_entry", text);
}

#[test]
fn read_check_refuses_short_silence_and_shared_port() {
    let args = with_required(&[
        "--check",
        "--silent-ms",
        "600",
        "--listen",
        "127.0.0.1:80",
        "--operator-listen",
        "127.0.0.1:80",
    ]);
    let Start::Refuse(report) = read(&entry::settings::program(), &args, &[]) else {
        panic!("wrong settings were taken");
    };
    assert!(report.contains("silent-ms = 600\n"));
    assert!(report.contains("--silent-ms: is less than twice --heartbeat-ms (1000)\n"));
    assert!(report.contains("--operator-listen: is the same address as --listen\n"));
}

#[test]
fn read_help_lists_every_setting() {
    let Start::Print(entry) = read(&entry::settings::program(), &["--help"], &[]) else {
        panic!("no help");
    };
    insta::assert_snapshot!("help_of_entry", entry);
    let Start::Print(agent) = read(&agent::settings::program(), &["--help"], &[]) else {
        panic!("no help");
    };
    insta::assert_snapshot!("help_of_agent", agent);
}

#[test]
fn read_version_names_program() {
    let start = read(&agent::settings::program(), &["--version"], &[]);
    let version = format!("sardinewood-agent {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(start, Start::Print(version));
}

#[test]
fn read_secret_comes_from_variable_or_file_only() {
    let program = key_program();
    let from_variable = read(&program, &[], &[("SARDINEWOOD_PEER_KEY", "abc")]);
    let from_flag_file = read(&program, &["--peer-key-file", "/run/key"], &[]);
    let from_file = read(&program, &[], &[("SARDINEWOOD_PEER_KEY_FILE", "/run/key")]);
    for (start, secret) in [
        (from_variable, "abc"),
        (from_flag_file, "from-file"),
        (from_file, "from-file"),
    ] {
        let Start::Run(settings) = start else {
            panic!("not started: {start:?}");
        };
        assert_eq!(settings.peer_key.expose(), secret);
    }
    let Start::Refuse(report) = read(&program, &["--peer-key", "abc"], &[]) else {
        panic!("a secret was taken from the command line");
    };
    assert!(report.contains("--peer-key: is no setting\n"));
    assert!(!report.contains("abc"), "{report}");
}

#[test]
fn read_secret_is_never_printed() {
    let program = key_program();
    let env = [("SARDINEWOOD_PEER_KEY", "abc-secret")];
    let check = read(&program, &["--check"], &env);
    let run = read(&program, &[], &env);
    let printed = format!("{check:?}{run:?}");
    assert!(printed.contains("[redacted]"));
    assert!(!printed.contains("abc-secret"), "{printed}");
}

#[test]
fn read_secret_file_missing_names_place() {
    let Start::Refuse(report) = read(&key_program(), &["--peer-key-file", "/none"], &[]) else {
        panic!("a missing file was taken");
    };
    assert!(
        report.contains("--peer-key-file: cannot read /none: "),
        "{report}"
    );
}

/// A setting that operators do not find on their page is of no use to them.
#[test]
fn read_help_settings_are_on_the_operators_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../docs/operators.md")).unwrap();
    let (Start::Print(entry), Start::Print(agent)) = (
        read(&entry::settings::program(), &["--help"], &[]),
        read(&agent::settings::program(), &["--help"], &[]),
    ) else {
        panic!("no help");
    };
    let sections = page.split("\n### ");
    for (name, help) in [("sardinewood-entry", entry), ("sardinewood-agent", agent)] {
        let section = sections.clone().find(|section| section.starts_with(name));
        let flags = help
            .lines()
            .filter_map(|line| line.trim().strip_prefix("--"));
        for (flag, _) in flags.filter_map(|line| line.split_once(", SARDINEWOOD_")) {
            let row = format!("| `--{flag}` |");
            assert!(
                section.is_some_and(|section| section.contains(&row)),
                "{name}: {row}"
            );
        }
    }
}
