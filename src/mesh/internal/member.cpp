#include "mesh/member.h"

#include "base/json_reader.h"

namespace heatherdrift {

namespace {

    constexpr integer_range slotCounts { 1, maxSlots };

} // namespace

std::string toJson(const mesh_member& member)
{
    json document { { "instance", member.node }, { "availability_zone", member.zone },
        { "address", toString(member.address) }, { "service", member.service }, { "life", member.life },
        { "backend_server", member.backendId }, { "slots", member.slots }, { "draining", member.isDraining } };
    if (member.statedStart)
        document["stated_start"] = *member.statedStart;
    return document.dump();
}

result<mesh_member> parseMember(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    mesh_member member;
    json_reader reader(document, "", error_code::bad_request);
    reader.readHeaderText("instance", member.node);
    reader.readHeaderText("availability_zone", member.zone);
    reader.readEndpoint("address", member.address);
    reader.readHeaderText("service", member.service);
    reader.readHeaderText("life", member.life);
    reader.readHeaderText("backend_server", member.backendId);
    reader.readInteger("slots", member.slots, slotCounts);
    reader.readBool("draining", member.isDraining);
    std::int64_t statedStart = -1;
    reader.readInteger("stated_start", statedStart, { 0, INT64_MAX }, json_reader::presence::optional);
    BOOST_OUTCOME_TRY(reader.finish());
    if (statedStart >= 0)
        member.statedStart = statedStart;
    return member;
}

} // namespace heatherdrift
