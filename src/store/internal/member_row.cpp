#include "store/member_row.h"

#include "store/internal/row_json.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heatherdrift {

namespace {

    constexpr std::size_t maximumWitnesses = 5;
    constexpr std::size_t maximumLabels = 64;
    constexpr std::size_t maximumLabelValueBytes = 255;
    constexpr int maximumSlots = 1000000;

    constexpr std::array<std::pair<member_state, std::string_view>, 6> stateNames { {
        { member_state::joining, "joining" },
        { member_state::active, "active" },
        { member_state::draining, "draining" },
        { member_state::fencing, "fencing" },
        { member_state::fenced, "fenced" },
        { member_state::left, "left" },
    } };

    std::optional<member_state> parseState(std::string_view name)
    {
        const auto found = std::ranges::find(stateNames, name, &std::pair<member_state, std::string_view>::second);
        if (found == stateNames.end())
            return std::nullopt;
        return found->first;
    }

    result<void> addWitness(member_row& row, const json& value, const std::string& path)
    {
        BOOST_OUTCOME_TRY(witness, parseInstance(value, path));
        if (row.witnesses.size() == maximumWitnesses)
            return unreadable(path, "too many witnesses");
        const bool isKnown
            = std::ranges::any_of(row.witnesses, [&](const auto& other) { return other.id == witness.id; });
        if (isKnown)
            return unreadable(path, "named twice");
        row.witnesses.push_back(witness);
        return outcome::success();
    }

    result<void> addLabel(member_row& row, const std::string& name, const json& value, const std::string& path)
    {
        if (!value.is_string())
            return unreadable(path, "expected a string");
        const auto text = value.get<std::string>();
        if (row.labels.size() == maximumLabels || name.empty() || name.size() > maximumNameBytes
            || text.size() > maximumLabelValueBytes)
            return unreadable(path, "label out of bounds");
        row.labels.emplace(name, text);
        return outcome::success();
    }

    void readState(json_reader& reader, member_state& target)
    {
        std::string name;
        reader.readString("state", name);
        const auto state = parseState(name);
        if (!state)
            return reader.reject("state", "unknown state");
        target = *state;
    }

} // namespace

std::string_view toString(member_state state)
{
    const auto found = std::ranges::find(stateNames, state, &std::pair<member_state, std::string_view>::first);
    return found == stateNames.end() ? "unknown" : found->second;
}

bool canOwnMore(member_state state) { return state == member_state::active; }

bool canHoldLease(member_state state)
{
    // A process learns that it is being fenced before its witnesses have given their promises; until then its grants
    // count, and the takeover waits for their end.
    return state == member_state::joining || state == member_state::active || state == member_state::draining
        || state == member_state::fencing;
}

row_key memberKey(const instance_id& id) { return { memberTable, id }; }

std::string toJsonText(const member_row& row)
{
    auto witnesses = json::array();
    for (const auto& witness : row.witnesses)
        witnesses.push_back({ witness.id, witness.number });
    json document {
        { "id", row.self.id },
        { "incarnation", row.self.number },
        { "first_at_address", row.firstAtAddress },
        { "state", toString(row.state) },
        { "region", row.region },
        { "zone", row.availabilityZone },
        { "entry", toString(row.entry) },
        { "forward", toString(row.forward) },
        { "control", toString(row.control) },
        { "admin", toString(row.admin) },
        { "labels", json::object() },
        { "checks_grants", row.checksGrants },
        { "slots", row.slots },
        { "witnesses", std::move(witnesses) },
        { "fenced_by", row.fencedBy },
        { "operation_id", row.operationId },
    };
    for (const auto& [name, value] : row.labels)
        document["labels"][name] = value;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<member_row> parseMemberRow(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::internal));
    json_reader reader(document, "", error_code::internal);
    member_row row;
    readName(reader, "id", row.self.id);
    reader.readInteger("incarnation", row.self.number, { 1, INT64_MAX });
    reader.readInteger("first_at_address", row.firstAtAddress, { 0, INT64_MAX });
    readState(reader, row.state);
    readName(reader, "region", row.region);
    readName(reader, "zone", row.availabilityZone);
    reader.readEndpoint("entry", row.entry);
    reader.readEndpoint("forward", row.forward);
    reader.readEndpoint("control", row.control);
    reader.readEndpoint("admin", row.admin);
    reader.readMembers("labels", [&](const std::string& name, const json& value, const std::string& path) {
        return addLabel(row, name, value, path);
    });
    reader.readBool("checks_grants", row.checksGrants);
    reader.readInteger("slots", row.slots, { 0, maximumSlots });
    reader.readArray(
        "witnesses", [&](const json& value, const std::string& path) { return addWitness(row, value, path); });
    reader.readString("fenced_by", row.fencedBy);
    reader.readString("operation_id", row.operationId);
    BOOST_OUTCOME_TRY(reader.finish());
    return row;
}

} // namespace heatherdrift
