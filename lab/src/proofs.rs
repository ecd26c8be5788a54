//! Takes each mechanism out of a scratch copy and shows that its test then fails.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use anyhow::Context;
use bpaf::Bpaf;
use serde::Deserialize;

/// The mechanisms, and how each is taken out.
const PROOFS: &str = include_str!("../proofs.json");

/// Which proofs to run.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(proof_options))]
pub struct ProofOptions {
    /// Only proofs whose test has this name
    #[bpaf(argument("TEST"), optional)]
    pub only: Option<String>,
    /// Only proofs whose suite's name begins so
    #[bpaf(argument("SUITE"), optional)]
    pub suites: Option<String>,
}

impl ProofOptions {
    /// Whether a proof is one of those asked for.
    fn includes(&self, proof: &Proof) -> bool {
        let test = self.only.as_ref().is_none_or(|only| *only == proof.test);
        let begins = |suites: &String| proof.suite.starts_with(suites.as_str());
        test && self.suites.as_ref().is_none_or(begins)
    }
}

/// One mechanism.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Proof {
    promise: String,
    mechanism: String,
    file: String,
    find: String,
    replace: String,
    package: String,
    suite: String,
    test: String,
}

/// What became of a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    FailedWithout,
    PassedWithout,
    NotBuilt,
}

/// Runs the proofs and prints a table; fails when a test passes without its mechanism.
pub fn run(options: &ProofOptions) -> anyhow::Result<ExitCode> {
    let proofs: Vec<Proof> = serde_json::from_str(PROOFS)?;
    let scratch = std::env::temp_dir().join(format!("violetline-proofs-{}", std::process::id()));
    copy_tree(&scratch)?;
    let mut all = true;
    println!("| promise | mechanism taken out | test | seen |\n|---|---|---|---|");
    for proof in &proofs {
        if !options.includes(proof) {
            continue;
        }
        let seen = prove(&scratch, proof)?;
        all &= seen == Seen::FailedWithout;
        let text = match seen {
            Seen::FailedWithout => "fails without it",
            Seen::PassedWithout => "PASSES without it",
            Seen::NotBuilt => "did not build",
        };
        let Proof {
            promise,
            mechanism,
            suite,
            test,
            ..
        } = proof;
        println!("| {promise} | {mechanism} | `{suite}::{test}` | {text} |");
    }
    std::fs::remove_dir_all(&scratch)?;
    Ok(if all {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn prove(scratch: &Path, proof: &Proof) -> anyhow::Result<Seen> {
    let path = scratch.join(&proof.file);
    let text = std::fs::read_to_string(&path)?;
    let count = text.matches(&proof.find).count();
    anyhow::ensure!(count > 0, "{}: {:?} is not there", proof.file, proof.find);
    std::fs::write(&path, text.replace(&proof.find, &proof.replace))?;
    let output = Command::new("cargo")
        .current_dir(scratch)
        .env("CARGO_TARGET_DIR", scratch.join("target"))
        .args([
            "test",
            "-p",
            &proof.package,
            "--test",
            &proof.suite,
            "--",
            "--exact",
            &proof.test,
        ])
        .output()
        .context("running cargo")?;
    std::fs::write(&path, text)?;
    let printed = String::from_utf8_lossy(&output.stdout);
    Ok(if output.status.success() {
        Seen::PassedWithout
    } else if printed.contains(&format!("test {} ... FAILED", proof.test)) {
        Seen::FailedWithout
    } else {
        Seen::NotBuilt
    })
}

/// Copies the files that git tracks, as they are in the working tree.
fn copy_tree(to: &Path) -> anyhow::Result<()> {
    let output = Command::new("git")
        .args(["ls-files"])
        .output()
        .context("running git")?;
    for name in String::from_utf8_lossy(&output.stdout).lines() {
        let target: PathBuf = to.join(name);
        if let Some(folder) = target.parent() {
            std::fs::create_dir_all(folder)?;
        }
        std::fs::copy(name, &target).with_context(|| format!("copying {name}"))?;
    }
    Ok(())
}
