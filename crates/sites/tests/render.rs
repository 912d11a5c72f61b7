//! Tests the rendering of variants of a small site defined here: the effect of each change, and the errors for invalid
//! changes. The original site files are not needed.

use sites::Changes;
use std::path::PathBuf;
use std::process::{Command, Output};

const SITE: &str = r#"name = "pond"
family = "gate"

[net]
zones = ["north", "south"]   # two of them
same_ms = [0.1, 0.2]

[[tier]]
name = "fleet"

[tier.conn]
idle_s = 15

[[class]]
name = "look"
share = 0.7
effect = "safe"

[[class]]
name = "buy"
share = 0.3
effect = "keyed"
window_ms = 5000

[fam]
counter = true

[[fam.plan]]
rate = [1, 2]

[[fam.plan]]
rate = [4, 8]
"#;

fn render(changes: &str) -> Result<String, String> {
    Changes::read(&format!("from = \"pond\"\nname = \"lake\"\n{changes}"))?.render(SITE)
}

#[test]
fn set_changes_only_the_values_at_its_paths() {
    let set = "[set]\n\"net.zones\" = [\"one\"]\n\"tier.fleet.conn.idle_s\" = 4\n\"class.buy.effect\" = \"unsafe\"\n\
               \"fam.plan.1.rate\" = [9, 10]\n";
    let expected = SITE
        .replace("\"pond\"", "\"lake\"")
        .replace("[\"north\", \"south\"]   # two of them", "[\"one\"]")
        .replace("idle_s = 15", "idle_s = 4")
        .replace("\"keyed\"", "\"unsafe\"")
        .replace("[4, 8]", "[9, 10]");
    assert_eq!(render(set).unwrap(), expected);
    assert_eq!(
        render("").unwrap(),
        SITE.replace("\"pond\"", "\"lake\""),
        "without changes only the name differs"
    );
}

#[test]
fn a_copy_is_appended_to_its_list_and_includes_changes_of_its_original() {
    let rendered = render(
        "drop = [\"class.look\", \"fam.plan.0\"]\n[set]\n\"class.buy.window_ms\" = 900\n[[copy]]\nof = \"class.buy\"\n\
         set = { name = \"rent\", share = 0.1 }\n",
    )
    .unwrap();
    let (classes, rest) = rendered.split_once("[[class]]").unwrap().1.split_once("[fam]").unwrap();
    let names: Vec<&str> = classes.lines().filter(|line| line.starts_with("name")).collect();
    assert_eq!(names, ["name = \"buy\"", "name = \"rent\""], "wrong items or order: {rendered}");
    assert_eq!(classes.matches("window_ms = 900").count(), 2);
    assert!(
        classes.contains("share = 0.1") && rest.contains("[4, 8]") && !rest.contains("[1, 2]"),
        "{rendered}"
    );
}

#[test]
fn a_path_that_is_missing_in_the_site_is_named_in_the_error() {
    for (changes, expected_error) in [
        ("[set]\n\"net.zone\" = 1", "the site has no 'net.zone'"),
        ("[set]\n\"class.look.window_ms\" = 1", "the site has no 'class.look.window_ms'"),
        ("[set]\n\"class.sell.share\" = 1", "the site has no 'class.sell.share'"),
        ("[set]\n\"fam.plan.2.rate\" = 1", "the site has no 'fam.plan.2.rate'"),
        ("[set]\n\"tier.fleet.conn\" = 1", "'tier.fleet.conn' is not a single value"),
        ("drop = [\"class.sell\"]", "the site has no 'class.sell'"),
        ("[[copy]]\nof = \"class.look\"\nset = { window_ms = 1 }", "the site has no 'class.look.window_ms'"),
        ("[[copy]]\nof = \"net\"\nset = { x = 1 }", "'net' is not an item of an array of tables"),
    ] {
        assert_eq!(render(changes), Err(expected_error.to_string()), "{changes}");
    }
}

#[test]
fn invalid_changes_are_rejected_with_a_one_line_error() {
    for (changes, expected_error) in [
        ("from = \"pond\"", "'name' is missing"),
        ("name = \"lake\"", "'from' is missing"),
        ("from = \"pond\"\nname = \"../lake\"", "'name' may hold letters, digits and '-' only: \"../lake\""),
        ("from = \"pond\"\nname = \"lake\"\nadd = 1", "unknown key 'add' in the changes"),
        ("from = \"pond\"\nname = \"lake\"\nset = 1", "'set' is not a table of paths and values"),
        ("from = \"pond\"\nname = \"lake\"\ndrop = 1", "'drop' is not a list of paths"),
        ("from = \"pond\"\nname = \"lake\"\ncopy = 1", "'copy' is not an array of tables"),
        ("from = \"pond\"\nname = \"lake\"\n[[copy]]\nof = \"x\"", "the copy of 'x' has no 'set'"),
    ] {
        assert_eq!(Changes::read(changes).unwrap_err(), expected_error, "{changes}");
    }
    let broken = Changes::read("from = [").unwrap_err();
    assert!(!broken.contains('\n'), "{broken}");
    let wrong_site = Changes::read("from = \"sea\"\nname = \"lake\"").unwrap().render(SITE);
    assert_eq!(wrong_site, Err("the site is 'pond', but the changes are for 'sea'".to_string()));
}

fn fresh_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn run_command(changes: &std::path::Path, kit: &std::path::Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_martenramp-sites")).arg(changes).arg("--kit").arg(kit).output().unwrap()
}

#[test]
fn the_command_renders_next_to_its_changes_and_reports_missing_files() {
    let (kit, out) = (fresh_folder("kit"), fresh_folder("variants"));
    let changes = out.join("lake.changes.toml");
    std::fs::write(&changes, "from = \"pond\"\nname = \"lake\"\n").unwrap();
    let stderr = |done: &Output| String::from_utf8_lossy(&done.stderr).into_owned();

    let without_kit = run_command(&changes, &kit.join("not-handed-out"));
    assert!(
        !without_kit.status.success() && stderr(&without_kit).contains("no site files at"),
        "{}",
        stderr(&without_kit)
    );
    let empty_kit = run_command(&changes, &kit);
    assert!(
        !empty_kit.status.success() && stderr(&empty_kit).contains("can't read"),
        "{}",
        stderr(&empty_kit)
    );

    std::fs::write(kit.join("pond.toml"), SITE).unwrap();
    let incomplete_kit = run_command(&changes, &kit);
    assert!(
        !incomplete_kit.status.success() && stderr(&incomplete_kit).contains("real.json"),
        "{}",
        stderr(&incomplete_kit)
    );
    assert!(!out.join("lake.toml").exists(), "nothing is written when a companion file is missing");

    for name in ["real.json", "wire.json", "unlock.txt"] {
        std::fs::write(kit.join(name), name).unwrap();
    }
    let done = run_command(&changes, &kit);
    assert!(done.status.success() && stderr(&done).is_empty(), "{}", stderr(&done));
    assert_eq!(std::fs::read_to_string(out.join("lake.toml")).unwrap(), SITE.replace("\"pond\"", "\"lake\""));
    for name in ["real.json", "wire.json", "unlock.txt"] {
        assert_eq!(std::fs::read_to_string(out.join(name)).unwrap(), name);
    }
}

#[test]
fn committed_files_of_changes_parse_and_are_named_after_their_variants() {
    let committed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sites");
    let files: Vec<PathBuf> =
        std::fs::read_dir(committed).unwrap().map(|file| file.unwrap().path()).collect();
    let changes = files.iter().filter(|file| file.to_string_lossy().ends_with(".changes.toml"));
    let names: Vec<String> = changes
        .map(|file| {
            let changes = Changes::read(&std::fs::read_to_string(file).unwrap()).unwrap();
            assert!(file.ends_with(format!("{}.changes.toml", changes.name)));
            changes.name
        })
        .collect();
    assert!(names.len() >= 2, "{names:?}");
}
