#pragma once

#include "base/failure.h"

#include <string>
#include <string_view>

namespace heatherdrift {

/// Compresses a text as a difference from a base that the receiver also holds; an empty base compresses it on its own.
/// The result contains the length and a hash of the text, and the hash of the base.
std::string encodeDelta(std::string_view text, std::string_view base);

/// Restores the text. Fails with `conflict` if the base is not the one that it was encoded with, with `bad_request` if
/// the data is damaged, and with `too_large` if the text has more bytes than the limit.
result<std::string> decodeDelta(std::string_view data, std::string_view base, std::size_t limitBytes);

} // namespace heatherdrift
