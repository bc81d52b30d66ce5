#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace heatherdrift {

class byte_share;

/// Bound on the bytes of all messages that a process holds. When it is reached, the largest incomplete message is given
/// up, so that an endless one does not end the others.
class byte_budget : public std::enable_shared_from_this<byte_budget> {
public:
    static std::shared_ptr<byte_budget> create(std::size_t limitBytes);

    std::size_t limitBytes() const { return m_limitBytes; }
    std::size_t usedBytes() const { return m_usedBytes; }

    /// The bytes of a new message. The function gives the message up if another one needs its bytes.
    std::shared_ptr<byte_share> openShare(std::function<void()> onEvicted);

private:
    friend class byte_share;

    explicit byte_budget(std::size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }
    bool take(byte_share&, std::size_t bytes);

    std::size_t m_limitBytes;
    std::size_t m_usedBytes = 0;
    std::set<byte_share*> m_incomplete;
};

/// The bytes that one message takes from a budget, until the last copy of the message is destroyed.
class byte_share {
public:
    ~byte_share();
    byte_share(const byte_share&) = delete;
    byte_share& operator=(const byte_share&) = delete;

    /// Returns false if the message has to be given up, since it is the largest one.
    bool grow(std::size_t bytes);
    /// Gives bytes back that the message does not take any more.
    void shrink(std::size_t bytes);
    /// The message is complete and is not given up any more.
    void complete();
    std::size_t bytes() const { return m_bytes; }

private:
    friend class byte_budget;

    byte_share(std::shared_ptr<byte_budget>, std::function<void()> onEvicted);
    void release();

    std::shared_ptr<byte_budget> m_budget;
    std::function<void()> m_onEvicted;
    std::size_t m_bytes = 0;
};

/// Makes the C library return the blocks of large bodies to the kernel when they are freed. Otherwise it keeps freed
/// ones for later use, so that the process takes more than the budget counts. For the whole process.
void releaseFreedBodies();

} // namespace heatherdrift
