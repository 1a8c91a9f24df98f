//! Changes of the rankings when members join and leave.

use super::*;

fn members(count: usize) -> Members {
    let mut members = Members::default();
    members.replace((0..count).map(|i| format!("m{i}")));
    members
}

#[test]
fn only_the_jobs_of_a_departed_member_move_and_they_spread_over_all_others() {
    let mut live_members = members(8);
    let jobs: Vec<JobHash> = (0..800).map(|i| JobHash::from_name(&format!("d{i}"))).collect();
    let mut rankings: Vec<Ranking> = jobs.iter().map(|&job| Ranking::new(job, &live_members, 4)).collect();
    let owners_before: Vec<_> = rankings.iter().map(Ranking::owner).collect();
    let change = live_members.replace((1..8).map(|i| format!("m{i}")));
    assert_eq!((change.joined.len(), change.left.len()), (0, 1));
    let mut taken_over = BTreeMap::new();
    for (i, ranking) in rankings.iter_mut().enumerate() {
        ranking.update(&live_members, &change);
        if owners_before[i] == Some(change.left[0]) {
            *taken_over.entry(ranking.owner()).or_insert(0) += 1;
        } else {
            assert_eq!(ranking.owner(), owners_before[i]);
        }
    }
    assert_eq!(taken_over.len(), 7, "every remaining member takes over some of the jobs");
}

#[test]
fn incremental_updates_give_the_same_ranking_as_a_rebuild() {
    let mut live_members = members(20);
    for job in (0..50).map(|i| JobHash::from_name(&format!("d{i}"))) {
        let mut ranking = Ranking::new(job, &live_members, 4);
        for step in 0..10 {
            let change = live_members.replace((step..20 + 2 * step).map(|i| format!("m{i}")));
            ranking.update(&live_members, &change);
            assert_eq!(ranking.candidates, Ranking::new(job, &live_members, 4).candidates);
        }
    }
}
