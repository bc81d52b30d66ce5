#pragma once

#include "admission/admission_request.h"

#include <array>
#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

namespace heatherdrift {

struct waiting_call {
    admission_request request;
    time_point enqueuedAt {};
    time_point expiresAt {}; ///< Latest time at which the call may start.

    std::uint64_t id() const { return request.id; }
    std::size_t level() const { return request.level.index(); }
    const std::string& workspace() const { return request.workspace; }
    time_point deadline() const { return request.deadline; }
};

/// Calls that wait for a slot. Lookups and changes take O(log n).
class waiting_calls {
public:
    void insert(waiting_call);
    /// Removes and returns the call; nullopt if it is not waiting.
    std::optional<waiting_call> remove(std::uint64_t id);

    /// The workspace's call with the earliest or the latest deadline at the level, or null.
    const waiting_call* first(admission_level, const std::string& workspace) const;
    const waiting_call* last(admission_level, const std::string& workspace) const;
    /// The call that expires first, or null.
    const waiting_call* nextToExpire() const;

    /// Number of the workspace's calls at the level that have an earlier deadline or the same.
    std::size_t countBefore(admission_level, const std::string& workspace, time_point deadline) const;
    std::size_t count(admission_level level) const { return m_counts[level.index()]; }
    std::size_t count(call_length) const;
    std::size_t countAbove(admission_level) const;
    /// Highest or lowest priority among the waiting calls of the class.
    std::optional<admission_level> highest(call_length) const;
    std::optional<admission_level> lowest(call_length) const;

private:
    using by_id = boost::multi_index::const_mem_fun<waiting_call, std::uint64_t, &waiting_call::id>;
    using by_order = boost::multi_index::composite_key<waiting_call,
        boost::multi_index::const_mem_fun<waiting_call, std::size_t, &waiting_call::level>,
        boost::multi_index::const_mem_fun<waiting_call, const std::string&, &waiting_call::workspace>,
        boost::multi_index::const_mem_fun<waiting_call, time_point, &waiting_call::deadline>, by_id>;
    using indices = boost::multi_index::indexed_by<boost::multi_index::hashed_unique<by_id>,
        boost::multi_index::ranked_unique<by_order>,
        boost::multi_index::ordered_non_unique<
            boost::multi_index::member<waiting_call, time_point, &waiting_call::expiresAt>>>;

    boost::multi_index_container<waiting_call, indices> m_calls;
    std::array<std::size_t, levelCount> m_counts {};
};

} // namespace heatherdrift
