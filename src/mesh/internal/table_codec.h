#pragma once

#include "mesh/internal/table_copy.h"

#include <map>
#include <memory>

namespace heatherdrift {

/// Body of a message with an update; rows that the receiver already has in the given state serve as the base of a
/// difference.
std::string encodeUpdate(const table_update&, const std::vector<row_change>& base);

/// Decodes an update with the rows of the receiver's own copy. Fails with `conflict` if they are not the ones that the
/// update is based on; the sender then has to send it without a base.
result<table_update> decodeUpdate(std::string_view, const table_copy&);

/// Encodes the updates of a table for other nodes, once for each version that they hold.
class update_encoder {
public:
    explicit update_encoder(const table_copy&);

    /// Update for a node whose newest change is this one. Without a base, the node needs none of its rows to decode it.
    std::shared_ptr<const std::string> encode(row_version after, bool hasBase);

private:
    const table_copy& m_copy;
    row_version m_newestChange = 0; ///< Of the encoded updates.
    std::map<std::pair<row_version, bool>, std::shared_ptr<const std::string>> m_encoded;
};

} // namespace heatherdrift
