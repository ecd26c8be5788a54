//! One short seed of the soak; longer ones are run by hand (`lab soak --help`).

use violetline_lab::soak::{play, SoakOptions};

#[actix_rt::test]
async fn one_seed() {
    let options = SoakOptions {
        first: 1,
        seeds: 1,
        seconds: 4,
        entries: 3,
        engines: 3,
        end_pause: 3_500,
        restore_pause: 1_500,
    };
    let report = play(1, &options).await.unwrap();
    assert!(report.requests > 0);
    assert_eq!(report.findings, Vec::<String>::new());
}
