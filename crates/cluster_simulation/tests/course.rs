//! The course of the whole simulation from fixed seeds, as an earlier build of the pure crates took it.
use cluster_simulation::{Fault, Site, World};

const COURSE: &str = include_str!("fixtures/course.txt");

fn line(world: &mut World, what: &str) -> String {
    let c = world.counts();
    let gap = world.worst_gap();
    format!(
        "{what}: {} writes, {} applied, {} reads, {} datagrams of {} bytes, {} runs, {} repeated, {} late, {gap} missed in a row\n",
        c.claims.0, c.claims.1, c.reads, c.datagrams.0, c.datagrams.1, c.runs, c.doubles, c.late
    )
}

#[test]
fn a_course_from_fixed_seeds_is_that_of_the_earlier_build() {
    let mut text = String::new();
    for seed in 1..=3 {
        let site = Site {
            instances: 8,
            duties: 32,
            standbys: 4,
            period: 1_000,
            skew: 100,
            loss: 0.1,
            seed,
            ..Site::default()
        };
        let mut world = World::new(site);
        world.pass(6_000);
        text += &line(&mut world, &format!("seed {seed}, started"));
        (0..4).for_each(|i| world.kill(i));
        world.pass(6_000);
        text += &line(&mut world, "half killed");
        (0..4).for_each(|i| world.start(i));
        world.pause(5);
        world.pass(4_000);
        world.go_on(5);
        world.pass(3_000);
        text += &line(&mut world, "started again, one paused");
        world.split(|i| u8::from(i < 4), [true, false]);
        world.pass(5_000);
        text += &line(&mut world, "partitioned");
        world.split(|_| 0, [true, true]);
        world.lose_answers(20);
        world.pass(4_000);
        text += &line(&mut world, "healed, responses lost");
        world.fail(Fault::Silent);
        world.pass(3_000);
        world.fail(Fault::Lost);
        world.pass(2_000);
        world.fail(Fault::None);
        world.restart_store_empty();
        world.pass(5_000);
        text += &line(&mut world, "store emptied");
    }
    assert_eq!(text, COURSE);
}
