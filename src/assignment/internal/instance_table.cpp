#include "assignment/internal/instance_table.h"

#include "base/hash.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    std::uint64_t hashOf(const instance_ref& instance) { return hashBytes(instance.id, instance.number); }

} // namespace

instance_table::instance_table()
    : m_refs(1)
{
}

instance_index instance_table::indexOf(const instance_ref& instance) const
{
    const auto hash = hashOf(instance);
    auto entry = std::ranges::lower_bound(m_byHash, hash, {}, &hash_entry::hash);
    for (; entry != m_byHash.end() && entry->hash == hash; ++entry) {
        if (m_refs[entry->index] == instance)
            return entry->index;
    }
    return 0;
}

instance_index instance_table::append(const instance_ref& instance)
{
    const auto index = static_cast<instance_index>(m_refs.size());
    const auto hash = hashOf(instance);
    m_refs.push_back(instance);
    m_byHash.insert(std::ranges::lower_bound(m_byHash, hash, {}, &hash_entry::hash), { hash, index });
    return index;
}

std::size_t instance_table::memoryBytes() const
{
    std::size_t bytes = m_refs.capacity() * sizeof(instance_ref) + m_byHash.capacity() * sizeof(hash_entry);
    for (const auto& instance : m_refs) {
        if (instance.id.capacity() >= sizeof(std::string) / 2)
            bytes += instance.id.capacity();
    }
    return bytes;
}

instance_index instance_interner::intern(const instance_ref& instance)
{
    if (instance.id.empty())
        return 0;
    if (const auto existing = m_table->indexOf(instance))
        return existing;
    if (!m_copy) {
        m_copy = std::make_shared<instance_table>(*m_table);
        m_table = m_copy;
    }
    return m_copy->append(instance);
}

} // namespace heatherdrift
