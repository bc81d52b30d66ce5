#include "http/byte_budget.h"

#include <algorithm>
#include <utility>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace heatherdrift {

namespace {

    constexpr int mappedBlockBytes = 128 * 1024; ///< The library's initial value.

} // namespace

void releaseFreedBodies()
{
#ifdef __GLIBC__
    // Setting the threshold keeps the library from raising it to the size of each block that is freed.
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
#endif
}

std::shared_ptr<byte_budget> byte_budget::create(std::size_t limitBytes)
{
    return std::shared_ptr<byte_budget>(new byte_budget(limitBytes));
}

std::shared_ptr<byte_share> byte_budget::openShare(std::function<void()> onEvicted)
{
    std::shared_ptr<byte_share> share(new byte_share(shared_from_this(), std::move(onEvicted)));
    m_incomplete.insert(share.get());
    return share;
}

bool byte_budget::take(byte_share& share, std::size_t bytes)
{
    while (m_usedBytes + bytes > m_limitBytes) {
        const auto largest
            = std::ranges::max_element(m_incomplete, {}, [](const byte_share* other) { return other->m_bytes; });
        if (largest == m_incomplete.end() || (*largest)->m_bytes <= share.m_bytes + bytes)
            return false;
        auto& evicted = **largest;
        const auto onEvicted = std::move(evicted.m_onEvicted);
        evicted.release();
        if (onEvicted)
            onEvicted();
    }
    m_usedBytes += bytes;
    share.m_bytes += bytes;
    return true;
}

byte_share::byte_share(std::shared_ptr<byte_budget> budget, std::function<void()> onEvicted)
    : m_budget(std::move(budget))
    , m_onEvicted(std::move(onEvicted))
{
}

byte_share::~byte_share() { release(); }

bool byte_share::grow(std::size_t bytes) { return m_budget->take(*this, bytes); }

void byte_share::shrink(std::size_t bytes)
{
    m_bytes -= bytes;
    m_budget->m_usedBytes -= bytes;
}

void byte_share::complete()
{
    m_onEvicted = nullptr;
    m_budget->m_incomplete.erase(this);
}

void byte_share::release()
{
    m_budget->m_incomplete.erase(this);
    m_budget->m_usedBytes -= std::exchange(m_bytes, 0);
}

} // namespace heatherdrift
