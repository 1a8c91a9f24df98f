//! Changes of the ranking when members join and leave.

use super::*;

fn members(count: usize) -> Members {
    let mut members = Members::default();
    members.replace((0..count).map(|i| format!("m{i}")));
    members
}

#[test]
fn only_the_jobs_of_a_member_that_left_move_and_they_spread() {
    let mut alive = members(8);
    let jobs: Vec<JobHash> = (0..800).map(|i| JobHash::of(&format!("d{i}"))).collect();
    let mut rankings: Vec<Ranking> = jobs.iter().map(|&job| Ranking::new(job, &alive, 4)).collect();
    let before: Vec<_> = rankings.iter().map(Ranking::owner).collect();
    let change = alive.replace((1..8).map(|i| format!("m{i}")));
    assert_eq!((change.joined.len(), change.left.len()), (0, 1));
    let mut taken_over = BTreeMap::new();
    for (i, ranking) in rankings.iter_mut().enumerate() {
        ranking.update(&alive, &change);
        if before[i] == Some(change.left[0]) {
            *taken_over.entry(ranking.owner()).or_insert(0) += 1;
        } else {
            assert_eq!(ranking.owner(), before[i]);
        }
    }
    assert_eq!(taken_over.len(), 7, "each of the others takes some over");
}

#[test]
fn incremental_updates_give_the_same_ranking_as_a_rebuild() {
    let mut alive = members(20);
    for job in (0..50).map(|i| JobHash::of(&format!("d{i}"))) {
        let mut ranking = Ranking::new(job, &alive, 4);
        for step in 0..10 {
            let change = alive.replace((step..20 + 2 * step).map(|i| format!("m{i}")));
            ranking.update(&alive, &change);
            assert_eq!(ranking.candidates, Ranking::new(job, &alive, 4).candidates);
        }
    }
}
