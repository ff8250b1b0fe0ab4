//! Spreads the choices of many entries that see the same state of the backend servers.

/// Chooses one of several backend servers by their costs in milliseconds, so that entries which
/// see the same costs do not all choose the cheapest one. `anticipated` is the cost that
/// other entries may add in total before this entry learns of it, and `random` a number from
/// 0 up to 1. Returns the place of the chosen one; `None` if there are no costs.
///
/// The anticipated cost is poured over the backend servers up to a common level. Each is
/// chosen in proportion to what it is below that level. Entries that all choose in this way
/// bring the backend servers to the same level on average. Without anticipated cost the
/// cheapest one is chosen.
#[must_use]
pub fn spread(costs: &[f64], anticipated: f64, random: f64) -> Option<usize> {
    let least = (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]))?;
    if !(anticipated > 0.0 && anticipated.is_finite()) {
        return Some(least);
    }
    let level = level(costs, costs[least], anticipated);
    let mut at = random.clamp(0.0, 1.0) * anticipated;
    for (place, cost) in costs.iter().enumerate() {
        let below = (level - cost).max(0.0);
        if at < below {
            return Some(place);
        }
        at -= below;
    }
    Some(least)
}

/// Returns the level up to which the anticipated cost fills the backend servers.
fn level(costs: &[f64], least: f64, anticipated: f64) -> f64 {
    // The level falls with each round, and servers above it drop out. It ends when none does.
    let mut level = least + anticipated;
    for _ in 0..costs.len() {
        let below = costs.iter().filter(|cost| **cost < level);
        let (count, sum) = below.fold((0_u32, 0.0), |(count, sum), cost| (count + 1, sum + cost));
        let next = (anticipated + sum) / f64::from(count.max(1));
        if next >= level - 1e-9 {
            break;
        }
        level = next;
    }
    level
}
