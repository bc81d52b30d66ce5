#pragma once

#include "messages/generated/control_types.h"
#include "store/table_store.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// Number of hash buckets per table; two replicas are compared bucket by bucket.
constexpr std::size_t replicaBuckets = 64;

using bucket_hashes = std::array<std::uint64_t, replicaBuckets>;

/// This node's copy of the stored rows. Rows come from the store or from other nodes. The higher version wins, so rows
/// may arrive late, more than once and in any order.
class row_replica {
public:
    /// Returns false if the replica already has this version or a newer one.
    bool merge(const stored_row&);

    const stored_row* find(const row_key&) const;
    row_version versionOf(const row_key&) const;
    /// Rows of a table in the order of their keys.
    std::vector<const stored_row*> rows(const std::string& table) const;

    /// Hash over the keys and versions of a table.
    std::uint64_t hashOf(const std::string& table) const;
    bucket_hashes bucketHashes(const std::string& table) const;
    /// Keys of the rows in buckets whose hash differs from the other replica's.
    std::vector<row_key> differing(const std::string& table, const bucket_hashes& other) const;

    std::size_t bytes() const { return m_bytes; }

private:
    struct table_copy {
        std::map<std::string, stored_row> rows;
        bucket_hashes buckets {};
    };

    std::map<std::string, table_copy> m_tables;
    std::size_t m_bytes = 0;
};

} // namespace heatherdrift
