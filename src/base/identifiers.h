#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heatherdrift {

/// Name of an instance: the slot of one backend server and the process beside it.
using instance_id = std::string;
/// Counts the processes that ran in one instance; 0 means none.
using incarnation = std::uint64_t;
/// Fencing token of a partition's assignment; only grows; 0 means never assigned.
using epoch = std::uint64_t;
/// Index of a partition in its pool; values from hotPartitionBase on belong to single hot keys.
using partition_index = std::uint32_t;

constexpr partition_index hotPartitionBase = 1u << 24;

/// One process in one instance.
struct instance_ref {
    instance_id id;
    incarnation number = 0;

    auto operator<=>(const instance_ref&) const = default;
};

/// A partition of a pool.
struct partition_id {
    std::string pool;
    partition_index index = 0;

    auto operator<=>(const partition_id&) const = default;
};

/// An IPv4 or IPv6 address with a TCP port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Whether the text may name an instance, availability zone, region, pool, selector or label.
bool isName(std::string_view);
/// What isName() demands, for error messages.
constexpr const char* nameRule = "expected 1 to 63 of [a-z0-9._-], starting with a letter";

/// "id#number".
std::string toString(const instance_ref&);
/// "ip:port", with brackets around IPv6.
std::string toString(const endpoint&);
/// Parses "ip:port" or "[ipv6]:port"; empty if the address is not a literal IP or the port is 0.
std::optional<endpoint> parseEndpoint(std::string_view);

} // namespace heatherdrift
