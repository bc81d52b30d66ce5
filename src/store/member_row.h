#pragma once

#include "base/identifiers.h"
#include "configuration/labels.h"
#include "store/table_store.h"

#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

enum class member_state {
    joining, ///< Registered; owns nothing yet.
    active,
    draining, ///< Gets no new partitions and hands over its own.
    fencing, ///< Another instance collects promises against it; its witness set is frozen.
    fenced, ///< No witness majority can grant its lease again.
    left, ///< Ended by itself, with nothing owned.
};

std::string_view toString(member_state);

/// Whether an instance in this state may be given partitions.
bool canOwnMore(member_state);
/// Whether a process in this state may hold a lease: joining, active or draining, and fencing until the promises are
/// in.
bool canHoldLease(member_state);

/// Row of the table "members", keyed by the instance's id.
struct member_row {
    instance_ref self;
    /// Incarnations from this one to the present have had the same control address, so all before the present have
    /// terminated; 0 if unknown.
    incarnation firstAtAddress = 0;
    member_state state = member_state::joining;
    std::string region;
    std::string availabilityZone;
    endpoint entry;
    endpoint forward;
    endpoint control;
    endpoint admin;
    label_set labels; ///< As announced by the backend server; empty until it has.
    bool checksGrants = false; ///< Whether the backend server refuses work without a valid grant.
    int slots = 0; ///< Announced by the backend server; 0 if it did not say.
    std::vector<instance_ref> witnesses;
    std::string fencedBy; ///< Instance that set the state to fencing; empty otherwise.
    std::string operationId; ///< Of the last write of the row.

    bool operator==(const member_row&) const = default;
};

/// A row with its version in the store.
struct versioned_member {
    row_version version = 0;
    member_row row;

    bool operator==(const versioned_member&) const = default;
};

constexpr const char* memberTable = "members";

row_key memberKey(const instance_id&);
std::string toJsonText(const member_row&);
/// Fails with `internal` if the text is not a member row.
result<member_row> parseMemberRow(std::string_view text);

} // namespace heatherdrift
