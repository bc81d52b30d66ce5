#pragma once

#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <utility>

namespace heatherdrift {

/// Map of bounded size that evicts the least recently used entry. Operations take O(log n).
template <typename Key, typename Value> class lru_map {
public:
    explicit lru_map(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Returns the entry or null; does not mark it as used.
    const Value* find(const Key& key) const
    {
        const auto& keys = m_entries.template get<1>();
        const auto found = keys.find(key);
        return found == keys.end() ? nullptr : &found->value;
    }

    Value* find(const Key& key) { return const_cast<Value*>(std::as_const(*this).find(key)); }

    /// Marks the entry, which must exist, as the most recently used.
    void touch(const Key& key)
    {
        auto& order = m_entries.template get<0>();
        order.relocate(order.begin(), m_entries.template project<0>(m_entries.template get<1>().find(key)));
    }

    /// Returns the entry, constructed from the arguments if missing, and marks it as the most recently used.
    template <typename... Arguments> Value& getOrInsert(const Key& key, Arguments&&... arguments)
    {
        auto& order = m_entries.template get<0>();
        auto& keys = m_entries.template get<1>();
        if (const auto found = keys.find(key); found != keys.end()) {
            order.relocate(order.begin(), m_entries.template project<0>(found));
            return found->value;
        }
        if (m_entries.size() >= m_capacity)
            order.pop_back();
        return order.push_front(entry { key, Value { std::forward<Arguments>(arguments)... } }).first->value;
    }

    void erase(const Key& key) { m_entries.template get<1>().erase(key); }
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        Key key;
        mutable Value value; // No index depends on it.
    };
    using indices = boost::multi_index::indexed_by<boost::multi_index::sequenced<>,
        boost::multi_index::ordered_unique<boost::multi_index::member<entry, Key, &entry::key>>>;

    std::size_t m_capacity;
    boost::multi_index_container<entry, indices> m_entries;
};

} // namespace heatherdrift
