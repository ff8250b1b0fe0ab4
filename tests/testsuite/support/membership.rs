//! What control members report of the membership of the replicated groups.

use serde_json::Value;

/// Number of replicated groups: the configuration and one ledger shard.
const GROUP_COUNT: usize = 2;

/// Returns a member's entries in the membership lists of the replicated groups, as
/// the groups' leaders report them.
pub fn memberships(status: &Value, name: &str) -> Vec<Value> {
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let mut found = Vec::new();
    for member in list(&status["members"]) {
        let groups = list(&member["replicas"]).into_iter();
        for group in groups.filter(|group| group["leader"] == member["name"]) {
            let named = list(&group["members"]).into_iter();
            found.extend(named.filter(|membership| membership["name"] == name));
        }
    }
    found
}

/// Returns whether a member is a voter in all groups, under identities that were
/// not wiped, and is listed nowhere else. An old identity that is still listed
/// means that the repair has not ended.
pub fn votes_in_all_groups(status: &Value, name: &str, wiped_ids: &[Value]) -> bool {
    let found = memberships(status, name);
    let votes = |membership: &Value| {
        membership["standing"] == "voter" && !wiped_ids.contains(&membership["id"])
    };
    found.len() == GROUP_COUNT && found.iter().all(votes)
}
