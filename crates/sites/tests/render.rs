//! Variants of a small site made up here: what a change does, and what it is refused for. The kit is not needed.

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
fn values_are_changed_where_their_paths_lead_and_nothing_else_is() {
    let set = "[set]\n\"net.zones\" = [\"one\"]\n\"tier.fleet.conn.idle_s\" = 4\n\"class.buy.effect\" = \"unsafe\"\n\
               \"fam.plan.1.rate\" = [9, 10]\n";
    let expected = SITE
        .replace("\"pond\"", "\"lake\"")
        .replace("[\"north\", \"south\"]   # two of them", "[\"one\"]")
        .replace("idle_s = 15", "idle_s = 4")
        .replace("\"keyed\"", "\"unsafe\"")
        .replace("[4, 8]", "[9, 10]");
    assert_eq!(render(set).unwrap(), expected);
    assert_eq!(render("").unwrap(), SITE.replace("\"pond\"", "\"lake\""), "no change is no change");
}

#[test]
fn a_copy_stands_at_the_end_of_its_list_with_the_changes_of_its_original() {
    let got = render(
        "drop = [\"class.look\", \"fam.plan.0\"]\n[set]\n\"class.buy.window_ms\" = 900\n[[copy]]\nof = \"class.buy\"\n\
         set = { name = \"rent\", share = 0.1 }\n",
    )
    .unwrap();
    let (classes, rest) = got.split_once("[[class]]").unwrap().1.split_once("[fam]").unwrap();
    let names: Vec<&str> = classes.lines().filter(|line| line.starts_with("name")).collect();
    assert_eq!(names, ["name = \"buy\"", "name = \"rent\""], "in this order: {got}");
    assert_eq!(classes.matches("window_ms = 900").count(), 2);
    assert!(classes.contains("share = 0.1") && rest.contains("[4, 8]") && !rest.contains("[1, 2]"), "{got}");
}

#[test]
fn a_change_of_what_the_site_lacks_is_refused_by_its_path() {
    for (changes, why) in [
        ("[set]\n\"net.zone\" = 1", "the site lacks 'net.zone'"),
        ("[set]\n\"class.look.window_ms\" = 1", "the site lacks 'class.look.window_ms'"),
        ("[set]\n\"class.sell.share\" = 1", "the site lacks 'class.sell.share'"),
        ("[set]\n\"fam.plan.2.rate\" = 1", "the site lacks 'fam.plan.2.rate'"),
        ("[set]\n\"tier.fleet.conn\" = 1", "'tier.fleet.conn' is no single value"),
        ("drop = [\"class.sell\"]", "the site lacks 'class.sell'"),
        ("[[copy]]\nof = \"class.look\"\nset = { window_ms = 1 }", "the site lacks 'class.look.window_ms'"),
        ("[[copy]]\nof = \"net\"\nset = { x = 1 }", "'net' is no item of a list"),
    ] {
        assert_eq!(render(changes), Err(why.to_string()), "{changes}");
    }
}

#[test]
fn changes_that_make_no_sense_are_refused_in_one_line() {
    for (changes, why) in [
        ("from = \"pond\"", "'name' is missing"),
        ("name = \"lake\"", "'from' is missing"),
        ("from = \"pond\"\nname = \"../lake\"", "'name' may hold letters, digits and '-' only: \"../lake\""),
        ("from = \"pond\"\nname = \"lake\"\nadd = 1", "changes know no 'add'"),
        ("from = \"pond\"\nname = \"lake\"\nset = 1", "'set' is no table of paths and values"),
        ("from = \"pond\"\nname = \"lake\"\ndrop = 1", "'drop' is no list of paths"),
        ("from = \"pond\"\nname = \"lake\"\ncopy = 1", "'copy' is no list of tables"),
        ("from = \"pond\"\nname = \"lake\"\n[[copy]]\nof = \"x\"", "the copy of 'x' tells no 'set'"),
    ] {
        assert_eq!(Changes::read(changes).unwrap_err(), why, "{changes}");
    }
    let broken = Changes::read("from = [").unwrap_err();
    assert!(!broken.contains('\n'), "{broken}");
    let other = Changes::read("from = \"sea\"\nname = \"lake\"").unwrap().render(SITE);
    assert_eq!(other, Err("the site is 'pond', and the changes are for 'sea'".to_string()));
}

fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn tool(changes: &std::path::Path, kit: &std::path::Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_martenramp-sites")).arg(changes).arg("--kit").arg(kit).output().unwrap()
}

#[test]
fn the_tool_renders_beside_its_changes_and_says_what_is_missing() {
    let (kit, out) = (folder("kit"), folder("variants"));
    let changes = out.join("lake.changes.toml");
    std::fs::write(&changes, "from = \"pond\"\nname = \"lake\"\n").unwrap();
    let says = |done: &Output| String::from_utf8_lossy(&done.stderr).into_owned();

    let none = tool(&changes, &kit.join("not-handed-out"));
    assert!(!none.status.success() && says(&none).contains("no site files at"), "{}", says(&none));
    let empty = tool(&changes, &kit);
    assert!(!empty.status.success() && says(&empty).contains("can't read"), "{}", says(&empty));

    std::fs::write(kit.join("pond.toml"), SITE).unwrap();
    let half = tool(&changes, &kit);
    assert!(!half.status.success() && says(&half).contains("real.json"), "{}", says(&half));
    assert!(!out.join("lake.toml").exists(), "all or nothing");

    for name in ["real.json", "wire.json", "unlock.txt"] {
        std::fs::write(kit.join(name), name).unwrap();
    }
    let done = tool(&changes, &kit);
    assert!(done.status.success() && says(&done).is_empty(), "{}", says(&done));
    assert_eq!(std::fs::read_to_string(out.join("lake.toml")).unwrap(), SITE.replace("\"pond\"", "\"lake\""));
    for name in ["real.json", "wire.json", "unlock.txt"] {
        assert_eq!(std::fs::read_to_string(out.join(name)).unwrap(), name);
    }
}

#[test]
fn the_variants_that_are_kept_here_are_read_and_fit_what_they_are_for() {
    let kept = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sites");
    let files: Vec<PathBuf> = std::fs::read_dir(kept).unwrap().map(|file| file.unwrap().path()).collect();
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
