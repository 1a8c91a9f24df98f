//! The options that the Makefile and the documentation use.

use super::*;

fn parse(arguments: &str) -> Result<Options, clap::Error> {
    Options::try_parse_from(std::iter::once("proof-faults").chain(arguments.split_whitespace()))
}

#[test]
fn the_defaults_are_200_schedules_of_10_s() {
    let options = parse("").expect("options");
    assert_eq!((options.seed, options.schedules, options.length_ms()), (1, 200, 10_000));
    assert!(!options.short && !options.saves_all && options.parallelism() >= 1);
    assert!(options.output_folder().ends_with("snowfield-proof-faults"));
}

#[test]
fn every_documented_option_is_accepted() {
    let options =
        parse("--seed 500 --schedules 50 --length 14000 --parallel 12 --build a/snowfield --keep k")
            .expect("options");
    assert_eq!((options.seed, options.schedules, options.length_ms()), (500, 50, 14_000));
    assert_eq!((options.parallelism(), options.build()), (12, PathBuf::from("a/snowfield")));
    assert_eq!(options.output_folder(), PathBuf::from("k"));
    assert!(parse("--short").expect("options").short);
    assert!(parse("--keep-all").expect("options").saves_all);
    let options = parse("--replay c.toml --schedules 5").expect("options");
    assert_eq!((options.file.replay, options.schedules), (Some(PathBuf::from("c.toml")), 5));
    assert_eq!(parse("--shrink c.toml").expect("options").file.shrink, Some(PathBuf::from("c.toml")));
    assert_eq!(parse("--print 512").expect("options").file.print, Some(512));
}

#[test]
fn values_below_the_minimum_are_raised_and_the_last_of_repeated_options_wins() {
    let options = parse("--length 1 --parallel 0 --seed 3 --seed 4").expect("options");
    assert_eq!((options.length_ms(), options.parallelism(), options.seed), (2_000, 1, 4));
}

#[test]
fn invalid_arguments_are_rejected() {
    for wrong in ["--seed", "--seed x", "--what 1", "7"] {
        assert!(parse(wrong).is_err(), "{wrong}");
    }
}
