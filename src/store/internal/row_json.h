#pragma once

#include "base/identifiers.h"
#include "base/json_reader.h"

namespace heatherdrift {

/// Longest name of an instance, region, availability zone, pool or label.
constexpr std::size_t maximumNameBytes = 255;

failure unreadable(const std::string& path, std::string_view reason);

/// Reads a string of 1 to maximumNameBytes bytes.
void readName(json_reader&, const char* name, std::string& target);

/// Parses ["id", incarnation].
result<instance_ref> parseInstance(const json&, const std::string& path);

} // namespace heatherdrift
